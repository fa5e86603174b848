#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sched/plan.h"

/*
 * Selects the lower-priority runs to preempt so that an urgent unit can start.
 * Load pattern: an urgent gang arrives while the fleet is full; every preempted
 * run has to be run again.  Does no I/O and reads no clock.
 */

/* A task of a preemptible run.  All tasks of a run are preempted together. */
typedef struct {
	size_t worker; /* index of the worker that runs it */
	size_t run;    /* index in the array of runs */
	resources_t shape;
} preemptible_member_t;

typedef struct {
	int64_t loss;   /* work lost if it is preempted, in core-milliseconds */
	bool preempted; /* preempt it; set by preempt_choose_runs */
} preemptible_run_t;

/*
 * Places the unit on free resources, resources being released and resources of
 * preempted runs, under the constraints of plan_unit.  Picks runs greedily by
 * lowest loss.  On success sets the pool's choice and `preempted` of each run;
 * returns false and changes neither if the unit cannot be placed.
 */
bool preempt_choose_runs(pool_t *pool, const plan_unit_t *unit,
    const preemptible_member_t *members, size_t member_count,
    preemptible_run_t *runs, size_t run_count);
