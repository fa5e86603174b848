#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "rpc/endpoint.h"

/*
 * Forwards client calls about batch jobs from a stateless instance to the
 * leader.  All calls are idempotent by job id, so a call without an answer is
 * sent again, possibly to another leader.
 */
typedef struct gateway_t gateway_t;

typedef enum {
	GATEWAY_ANSWERED, /* reply is the leader's answer */
	GATEWAY_NOT_RUN,  /* no leader received it */
	GATEWAY_UNKNOWN,  /* a leader may have received and executed it */
} gateway_outcome_t;

/* Called once for each call; reply is NULL unless the call was answered. */
typedef void gateway_done_t(
    void *ctx, gateway_outcome_t outcome, const batch_reply_t *reply);

gateway_t *gateway_create(
    struct ev_loop *loop, const settings_t *settings, endpoint_t *endpoint);
void gateway_destroy(gateway_t *gateway);
/* Takes over the contents of request.  Its deadline is timeout_ms from now. */
void gateway_call(gateway_t *gateway, batch_call_t *request, int64_t timeout_ms,
    gateway_done_t *done, void *ctx);
/* Whether a leader that has a configuration has answered recently. */
bool gateway_is_ready(const gateway_t *gateway);
/* When a caller whose call was not run should come back. */
int gateway_retry_after_ms(const gateway_t *gateway);
