#pragma once

#include <stdint.h>

/*
 * Back-off between the runs of a long-running task that ends by itself, again
 * and again, after little work. A single end costs no time; the delay stays
 * within what a task may be away.
 */

/* After so much work an end is not counted together with those before. */
#define RESTART_STEADY_MS 10000
#define RESTART_MAX_DELAY_MS 5000

typedef struct {
	int quick_ends;   /* one after the other, without a stretch of work */
	int64_t until_ms; /* no run before then; 0: at once */
} restart_delay_t;

void restart_delay_after_end(
    restart_delay_t *delay, int64_t worked_ms, int64_t now_ms, double jitter);
