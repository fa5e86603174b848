#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "rpc/endpoint.h"

/*
 * Passes callers' calls about batch jobs on to the leader, from an instance
 * that keeps no state.  All calls are idempotent by the id of the job, so one
 * without an answer is sent again, also to another leader.
 */
typedef struct gateway_t gateway_t;

typedef enum {
	GATEWAY_ANSWERED, /* reply holds the leader's answer */
	GATEWAY_NOT_RUN,  /* it was never sent to a leader */
	GATEWAY_UNKNOWN,  /* it was sent, and its fate is not known */
} gateway_outcome_t;

/* Called once; reply is NULL unless the call was answered. */
typedef void gateway_done_t(
    void *ctx, gateway_outcome_t outcome, const batch_reply_t *reply);

gateway_t *gateway_create(
    struct ev_loop *loop, const settings_t *settings, endpoint_t *endpoint);
void gateway_destroy(gateway_t *gateway);
/* Takes what call holds.  deadline_ms counts from now. */
void gateway_call(gateway_t *gateway, batch_call_t *call, int64_t deadline_ms,
    gateway_done_t *done, void *ctx);
/* Whether a leader with a configuration was heard of lately. */
bool gateway_is_ready(const gateway_t *gateway);
