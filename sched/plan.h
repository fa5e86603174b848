#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "sched/pool.h"

/*
 * Chooses workers for one unit.  Pure: no I/O, no clock, and no state between
 * calls but the pool's.
 */

/* Speed of a worker whose speed is not known. */
#define PLAN_USUAL_SPEED_PERCENT 100

/*
 * How the speed of a worker suits a unit; lower is better.  A unit that is
 * short of time prefers fast workers, one with time to spare slow ones that
 * suffice.
 */
typedef enum {
	PLAN_SPEED_FIRST,
	PLAN_SPEED_USUAL,
	PLAN_TOO_SLOW,
	PLAN_SPEED_CLASSES,
} plan_speed_class_t;

typedef struct {
	const char *service;
	const step_spec_t *step;
	int members;
	bool needs_ticket;
	bool avoids_reserved; /* takes no worker of a reserved rack */
	bool may_spread;      /* ignore same_rack and data_rack */
	/*
	 * Speed in percent that a worker needs for a result in time; 0: the
	 * speed makes no difference.
	 */
	int needed_speed_percent;
	bool prefers_fast; /* it is short of time */
	bool avoids_slow;  /* takes no worker that is too slow */
} plan_unit_t;

bool plan_unit(pool_t *pool, const plan_unit_t *unit, plan_available_t kind);
plan_speed_class_t plan_speed_class(
    const plan_worker_t *worker, const plan_unit_t *unit);
bool plan_is_eligible(const plan_worker_t *worker, const plan_unit_t *unit);
/* Whether the unit could be kept near its data, or together, if it ran alone.
 */
bool plan_locality_is_possible(const pool_t *pool, const plan_unit_t *unit);
void plan_subtract(resources_t *available, const resources_t *shape, int count);
void plan_add(resources_t *available, const resources_t *shape, int count);
int plan_members_that_fit(const plan_worker_t *worker, const plan_unit_t *unit,
    const resources_t *available);
int plan_fit(const resources_t *available, const resources_t *shape);
bool plan_can_ever_fit(
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit);
