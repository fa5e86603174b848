#pragma once

/*
 * Throttles tasks that run on leftover CPU next to tasks that serve users. Load
 * pattern: the interference with the serving tasks changes within seconds.
 * Pure.
 */
#define PACE_FULL 100

/*
 * Returns the next speed in percent, given the current one and the highest tail
 * latency of the serving tasks.
 */
int pace_next(int percent, int tail_ms, int target_ms);
