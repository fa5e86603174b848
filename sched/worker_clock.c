#include "sched/worker_clock.h"

#include <glib.h>

/* Up to 2% for the worker's clock and 1% for ours. */
#define MAX_DRIFT_PERCENT 3
#define PERCENT 100
/* Covers rounding to milliseconds and the delivery time of an order. */
#define LEASE_SLACK_MS 200

bool
worker_clock_is_known(const worker_clock_t *clock)
{
	return clock->at_ms != 0;
}

/* Returns the lower bound of the worker's clock at now_ms, in milliseconds. */
int64_t
worker_clock_lower_bound(const worker_clock_t *clock, int64_t now_ms)
{
	int64_t elapsed_ms = MAX(now_ms - clock->at_ms, 0);

	return clock->clock_ms +
	       elapsed_ms * (PERCENT - MAX_DRIFT_PERCENT) / PERCENT;
}

/* Updates the bound from an answer, which may have been delayed; 0: no time. */
void
worker_clock_update(worker_clock_t *clock, int64_t clock_ms, int64_t now_ms)
{
	if (clock_ms <= 0)
		return;
	if (worker_clock_is_known(clock))
		clock_ms =
		    MAX(clock_ms, worker_clock_lower_bound(clock, now_ms));
	clock->clock_ms = clock_ms;
	clock->at_ms = now_ms;
}

/* Returns our time by which a lease given now has surely expired there. */
int64_t
worker_clock_lease_expiry(int64_t now_ms, int64_t lease_ms)
{
	return now_ms + lease_ms * (PERCENT + MAX_DRIFT_PERCENT) / PERCENT +
	       LEASE_SLACK_MS;
}
