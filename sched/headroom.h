#pragma once

#include <stdint.h>

/*
 * Estimates how many accelerators to keep free of non-urgent work.  Load
 * pattern: urgent jobs arrive steadily while batch work fills all free
 * capacity, so that each arrival preempts runs that have to start again.  After
 * a time without a leader, the urgent callers that could not be served come
 * back within seconds of the batch work that was waiting.  Does no I/O and
 * reads no clock.
 */
#define HEADROOM_SLOTS 16 /* of 250 ms: a window of 4 s */

/* A sliding window of urgent demand; zero-initialised. */
typedef struct {
	int64_t newest_start_ms;        /* start of the newest slot */
	int newest;                     /* index of the newest slot */
	int64_t demand[HEADROOM_SLOTS]; /* accelerators requested, by slot */
	int64_t unknown_until_ms;       /* demand is not known before then */
} headroom_t;

/* Records the accelerators that an urgent job requests. */
void headroom_record(headroom_t *headroom, int accelerators, int64_t now_ms);
/* Forgets the demand; until it is known again, the most is kept free. */
void headroom_restart(headroom_t *headroom, int64_t now_ms);
/* Returns the accelerators to keep free, at most 30% of capacity. */
int headroom_target(headroom_t *headroom, int capacity, int64_t now_ms);
