#include "sched/worker_clock.h"

#include <glib.h>

/* Up to 2% for the worker's clock and 1% for the leader's. */
#define MAX_DRIFT_PERCENT 3
#define PERCENT 100
/* Keeps sums of times within 64 bits. */
#define MAX_CLOCK_MS (INT64_C(1) << 53)
/* Covers rounding to milliseconds and the delivery time of an order. */
#define LEASE_SLACK_MS 200

bool
worker_clock_is_known(const worker_clock_t *clock)
{
	return clock->heard_ms != 0;
}

/* Returns the lower bound of the worker's clock at now_ms, in milliseconds. */
int64_t
worker_clock_lower_bound(const worker_clock_t *clock, int64_t now_ms)
{
	int64_t elapsed_ms = MAX(now_ms - clock->heard_ms, 0);

	return clock->clock_ms +
	       elapsed_ms * (PERCENT - MAX_DRIFT_PERCENT) / PERCENT;
}

/*
 * Updates the bound from an answer, which may have been delayed; clock_ms is 0
 * if the answer has no time. A time out of range was garbled.
 */
void
worker_clock_update(worker_clock_t *clock, int64_t clock_ms, int64_t now_ms)
{
	if (clock_ms <= 0 || clock_ms > MAX_CLOCK_MS)
		return;
	if (worker_clock_is_known(clock))
		clock_ms =
		    MAX(clock_ms, worker_clock_lower_bound(clock, now_ms));
	clock->clock_ms = clock_ms;
	clock->heard_ms = now_ms;
}

/*
 * Returns the leader's time at which a lease granted now has certainly expired
 * on the worker.
 */
int64_t
worker_clock_lease_expiry(int64_t now_ms, int64_t lease_ms)
{
	return now_ms + lease_ms * (PERCENT + MAX_DRIFT_PERCENT) / PERCENT +
	       LEASE_SLACK_MS;
}
