#include "sched/pace.h"

#include <glib.h>

/* The speed rises while the tail is below this share of the target. */
#define RAISE_BELOW_PERCENT 80
#define RAISE_STEP_PERCENT 15
#define PAUSE_BELOW_PERCENT 10
#define PERCENT 100

/*
 * Halves the speed when the target is missed, raises it in fixed steps while
 * the tail is well below the target, and keeps it in between.
 */
int
pace_next(int percent, int tail_ms, int target_ms)
{
	if (target_ms <= 0)
		return PACE_FULL;
	if (tail_ms > target_ms)
		return percent / 2 < PAUSE_BELOW_PERCENT ? 0 : percent / 2;
	if ((int64_t)tail_ms * PERCENT <
	    (int64_t)target_ms * RAISE_BELOW_PERCENT)
		return MIN(percent + RAISE_STEP_PERCENT, PACE_FULL);
	return percent;
}
