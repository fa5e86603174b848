#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/settings.h"
#include "rpc/protocol.h"

/*
 * The RPC endpoint of one instance: its listener and one outgoing connection to
 * each other instance.  All calls are non-blocking and run on one loop.
 */
typedef struct endpoint_t endpoint_t;

/* A call that waits for its answer; answered once by endpoint_answer. */
typedef struct endpoint_request_t endpoint_request_t;

/*
 * Serves a call.  args is the decoded argument struct of the procedure, valid
 * until the function returns.  request is NULL for one-way procedures
 * (RPC_RAFT, RPC_SEEN, RPC_SHARE).
 */
typedef void endpoint_serve_t(void *ctx, const char *peer, uint32_t procedure,
    void *args, endpoint_request_t *request);

/*
 * Ends a call.  On success err->code is 0 and result is the decoded result
 * struct, valid until the function returns; otherwise result is NULL.
 * -ECONNREFUSED, -EHOSTUNREACH and -ENOBUFS mean that the call was not sent;
 * any other error means that its fate is unknown.  deadline_ms of endpoint_call
 * counts from the call.
 */
typedef void endpoint_done_t(void *ctx, const err_t *err, void *result);

/*
 * Tells of a replica that another instance knows and the settings do not name.
 * The callee may add it to the settings and call endpoint_add_peer.
 */
typedef void endpoint_found_t(void *ctx, const settings_peer_t *peer);

endpoint_t *endpoint_create(struct ev_loop *loop, const settings_t *settings,
    uint64_t incarnation, endpoint_serve_t *serve, void *ctx, err_t *err);
void endpoint_destroy(endpoint_t *endpoint);
void endpoint_call(endpoint_t *endpoint, const char *peer, uint32_t procedure,
    void *args, int64_t deadline_ms, endpoint_done_t *done, void *ctx);
int endpoint_send(
    endpoint_t *endpoint, const char *peer, uint32_t procedure, void *args);
void endpoint_answer(endpoint_request_t *request, void *result);
bool endpoint_peer_is_up(const endpoint_t *endpoint, const char *peer);
int64_t endpoint_peer_silent_ms(const endpoint_t *endpoint, const char *peer);
void endpoint_on_found(
    endpoint_t *endpoint, endpoint_found_t *found, void *ctx);
/* How a peer of the settings is reached; borrows its strings. */
peer_info_t peer_info_of(const settings_peer_t *peer);
/* Reports a replica that another instance has named, as HELLO would. */
void endpoint_report_peer(endpoint_t *endpoint, const peer_info_t *peer);
/* Connects to a peer of the settings that was added after the start. */
void endpoint_add_peer(endpoint_t *endpoint, const settings_peer_t *peer);
void endpoint_on_peer(endpoint_t *endpoint,
    void (*changed)(void *ctx, const char *peer, bool up), void *ctx);
