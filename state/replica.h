#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/settings.h"
#include "rpc/endpoint.h"
#include "state/machine.h"
#include "state/raft.h"

/*
 * Connects raft with the storage thread, the state machine and the RPC
 * endpoint.  Every instance has one; without the replica role it is a learner.
 */
typedef struct replica_t replica_t;

/*
 * Ends a proposal.  err->code 0: committed and applied, result is valid until
 * the function returns.  -ENOTCONN, -EROFS and -ENOSPC: not proposed and never
 * applied.  -EINVAL and -EMSGSIZE: not proposed, as the command exceeds a
 * limit.  -ETIMEDOUT: the outcome is unknown, it may still be applied.
 */
typedef void replica_done_t(
    void *ctx, const err_t *err, const command_result_t *result);

/* Called after each applied command, on every instance, in log order. */
typedef void replica_applied_t(void *ctx, uint64_t index,
    const command_t *command, const command_result_t *result);

replica_t *replica_create(struct ev_loop *loop, const settings_t *settings,
    endpoint_t *endpoint, uint64_t incarnation, err_t *err);
void replica_destroy(replica_t *replica);
void replica_set_applied(
    replica_t *replica, replica_applied_t *applied, void *ctx);
void replica_serve_raft(replica_t *replica, raft_message_t *message);
void replica_serve_propose(
    replica_t *replica, propose_args_t *args, endpoint_request_t *request);
void replica_propose(replica_t *replica, const command_t *command,
    int64_t deadline_ms, replica_done_t *done, void *ctx);
void replica_propose_in_term(replica_t *replica, const command_t *command,
    uint64_t term, replica_done_t *done, void *ctx);
/* Ends once reads here see all that was committed before; result is NULL. */
void replica_read_barrier(
    replica_t *replica, int64_t deadline_ms, replica_done_t *done, void *ctx);
const machine_t *replica_machine(const replica_t *replica);
bool replica_is_leader(const replica_t *replica);
/* Whether it leads and has applied all entries of earlier terms. */
bool replica_is_caught_up_leader(const replica_t *replica);
/* As replica_is_caught_up_leader, and no other instance can lead at this
 * moment. */
bool replica_has_lease(const replica_t *replica);
const char *replica_leader_id(const replica_t *replica);
/* Address of an instance; its id is NULL if the settings do not list it. */
peer_info_t replica_peer_info(const replica_t *replica, const char *id);
/* Whether the applied state was confirmed by a leader within 2 s. */
bool replica_is_confirmed(const replica_t *replica);
/* Whether a leader confirmed the state since the process started. */
bool replica_was_confirmed(const replica_t *replica);
/*
 * Whether the next replica may be replaced: all voters present and caught up.
 * Only the leader knows; false on every other instance.
 */
bool replica_safe_to_replace(const replica_t *replica);
/* Announces to all instances that this one drains or no longer does. */
void replica_set_draining(replica_t *replica, bool draining);
/* The raft participant, for status reports. */
const raft_t *replica_raft(const replica_t *replica);
