#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Estimates a worker's monotonic clock from the timestamps in its answers.  The
 * worker's clock may run slower than the leader's, so this keeps only a lower
 * bound: a lease computed from it never ends later than intended.
 */
typedef struct {
	int64_t clock_ms; /* lower bound of the worker's clock at heard_ms */
	int64_t heard_ms; /* the leader's monotonic time, 0: no answer yet */
} worker_clock_t;

void worker_clock_update(
    worker_clock_t *clock, int64_t clock_ms, int64_t now_ms);
bool worker_clock_is_known(const worker_clock_t *clock);
int64_t worker_clock_lower_bound(const worker_clock_t *clock, int64_t now_ms);
int64_t worker_clock_lease_expiry(int64_t now_ms, int64_t lease_ms);
