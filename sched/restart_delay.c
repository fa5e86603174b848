#include "sched/restart_delay.h"

#include <glib.h>

/* The part of a delay by which tasks that end together are spread. */
#define JITTER 0.2

/*
 * Counts an end after worked_ms of work and sets when the task may run again.
 * jitter is from 0 to 1; the higher, the sooner.
 */
void
restart_delay_after_end(
    restart_delay_t *delay, int64_t worked_ms, int64_t now_ms, double jitter)
{
	/* By the number of quick ends before. */
	static const int64_t delays_ms[] = {0, 3000, RESTART_MAX_DELAY_MS};
	int64_t delay_ms;

	if (worked_ms >= RESTART_STEADY_MS)
		delay->quick_ends = 0;
	delay_ms =
	    delays_ms[MIN(delay->quick_ends, (int)G_N_ELEMENTS(delays_ms) - 1)];
	delay->quick_ends++;
	delay->until_ms =
	    delay_ms > 0
		? now_ms + (int64_t)((double)delay_ms * (1 - JITTER * jitter))
		: 0;
}
