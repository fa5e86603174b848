#pragma once

#include <ev.h>
#include <stdint.h>

#include "common/err.h"
#include "common/mem_budget.h"
#include "common/settings.h"
#include "entry/client.h"
#include "rpc/endpoint.h"
#include "state/replica.h"

/*
 * The task that serves callers and backend servers: queues, limits, claims,
 * dispatch, forwarding, jobs.  Everything runs on one loop.
 */
typedef struct entry_t entry_t;

entry_t *entry_create(struct ev_loop *loop, const settings_t *settings,
    endpoint_t *endpoint, replica_t *replica, mem_budget_t *memory,
    uint64_t incarnation, err_t *err);
void entry_destroy(entry_t *entry);
uint16_t entry_port(const entry_t *entry);
/*
 * The client of backend servers, which keeps the instance's share of their
 * connections; owned by the entry.
 */
client_t *entry_client(const entry_t *entry);
/* RPC_FORWARD, RPC_ASK, RPC_SEEN and RPC_SHARE; see endpoint_serve_t. */
void entry_serve_rpc(entry_t *entry, const char *peer, uint32_t procedure,
    void *args, endpoint_request_t *request);
/* Called after each applied command. */
void entry_applied(
    entry_t *entry, const command_t *command, const command_result_t *result);
/* drained is called once when nothing is left; never from here. */
void entry_drain(entry_t *entry, void (*drained)(void *ctx), void *ctx);
