#pragma once

/*
 * Computes the speed limit of tasks that use CPU left idle by serving tasks,
 * which have a latency target, on the same worker.  Load pattern: the
 * interference with the serving tasks changes within seconds. Does no I/O and
 * reads no clock.
 */
#define PACE_FULL 100

/*
 * Returns the next speed in percent, given the current one and the highest tail
 * latency of the serving tasks.  A speed of 0 pauses the task; a target of 0
 * means that there is none.
 */
int pace_next(int percent, int tail_ms, int target_ms);
