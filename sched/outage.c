#include "sched/outage.h"

#include <glib.h>

/* An outage that has lasted so long is not expected to end soon. */
#define LONG_OUTAGE_MS 10000
/*
 * Share of the time until its deadline in which a call is tried again, so that
 * the caller has time left to try elsewhere.
 */
#define HOLD_PERCENT 45
#define PERCENT 100
#define MIN_RETRY_AFTER_MS 1000
/* Callers try a few times only, but a leader may be back at any moment. */
#define MAX_RETRY_AFTER_MS 4000
/* An answer comes within it, also from another region. */
#define ROUND_TRIP_MS 100
/* Far above a round trip, below the interval of pings between instances. */
#define MAX_SILENCE_MS 200

/*
 * A leader may be back at any moment, so calls are held, but not through an
 * outage whose end is not in sight.  What may be stored cannot be refused; only
 * a leader can tell what became of it.
 */
bool
outage_holds_call(const outage_call_t *call)
{
	if (!call->may_be_stored && call->silent_ms >= LONG_OUTAGE_MS)
		return false;
	return call->age_ms < call->timeout_ms * HOLD_PERCENT / PERCENT;
}

/*
 * An outage that has lasted for some time is expected to last half as long
 * again, so that few retries outlast a long one and a short one delays nobody.
 */
int
outage_retry_after_ms(int64_t silent_ms)
{
	return (int)CLAMP(
	    silent_ms / 2, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
}

bool
outage_needs_probe(int64_t silent_ms)
{
	return silent_ms > MAX_SILENCE_MS;
}

/* One probe may fail: the next one, sent soon after it, tells. */
bool
outage_is_ready(int64_t silent_ms)
{
	return silent_ms < OUTAGE_PROBE_INTERVAL_MS + OUTAGE_PROBE_TIMEOUT_MS +
			       OUTAGE_PROBE_RETRY_MS + ROUND_TRIP_MS;
}
