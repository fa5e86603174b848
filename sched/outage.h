#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How often an instance asks whether the leader still answers. */
#define OUTAGE_PROBE_INTERVAL_MS 1000
/* The same while it does not, or right after a probe without an answer. */
#define OUTAGE_PROBE_RETRY_MS 200
#define OUTAGE_PROBE_TIMEOUT_MS 400

/*
 * Decides how long an instance holds a caller's call, and when the caller
 * should come back, while no leader answers.  Load pattern: a burst of callers
 * meets control instances that are all down for seconds; each call that is sent
 * to one of them then ends with an unknown outcome, and callers that come back
 * at once have used up their retries before a leader is back.  Does no I/O and
 * reads no clock.
 */

/* What is known of a call that has no answer yet; times in milliseconds. */
typedef struct {
	int64_t age_ms;     /* since the call came in */
	int64_t timeout_ms; /* time that the caller waits for its answer */
	int64_t silent_ms;  /* since a leader last answered this instance */
	bool may_be_stored; /* an attempt was sent and had no answer */
} outage_call_t;

/* Whether the call is tried again rather than given up now. */
bool outage_holds_call(const outage_call_t *call);
/* Returns after how long a refused caller should come back. */
int outage_retry_after_ms(int64_t silent_ms);
/*
 * Whether an instance that was last heard so long ago has to answer a probe
 * before it is sent a call.
 */
bool outage_needs_probe(int64_t silent_ms);
/*
 * Whether the instance offers itself to new callers although no leader has
 * answered it for so long.  Load pattern: a failure domain is cut off for
 * seconds; as long as its instances say that they are ready, its callers are
 * not sent to those that still reach a leader.
 */
bool outage_is_ready(int64_t silent_ms);
