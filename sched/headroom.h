#pragma once

#include <stdint.h>

/*
 * Estimates how many accelerators to keep free of non-urgent work.  Load
 * pattern: urgent jobs arrive steadily while batch work fills all free
 * capacity, so that each arrival preempts runs that have to start again.  Pure.
 */
#define HEADROOM_SLOTS 16

/* A sliding window of urgent demand; zero-initialised. */
typedef struct {
	int64_t slot_ms;                /* start of the newest slot */
	int newest;                     /* index of the newest slot */
	int64_t demand[HEADROOM_SLOTS]; /* accelerators requested, by slot */
} headroom_t;

/* Records the accelerators that an urgent job requests. */
void headroom_record(headroom_t *headroom, int accelerators, int64_t now_ms);
/* Returns the accelerators to keep free, at most a fixed share of capacity. */
int headroom_target(headroom_t *headroom, int capacity, int64_t now_ms);
