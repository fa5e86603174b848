#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "rpc/protocol.h"

/*
 * Chooses workers for one unit.  Pure: no I/O, no clock, no memory of earlier
 * calls.
 */

/* A worker as the planner sees it. */
typedef struct {
	const fleet_worker_t *worker;
	resources_t free;      /* may be negative where room is reserved */
	resources_t releasing; /* held by runs that are being stopped */
	bool usable;
	bool barred;     /* for this unit, whatever its room */
	bool on_trial;   /* takes one single task, see suspicion.h */
	bool has_ticket; /* for the unit, where it needs one */
	int penalty;     /* lower is better; evidence of slowness or faults */
	int same_step;   /* tasks of the unit's step that run here */
	int chosen;      /* members that the last call has put here */
} plan_worker_t;

typedef struct {
	const char *service;
	const step_spec_t *step;
	int members;
	bool needs_ticket;
	bool may_spread; /* a gang may leave its rack, a task its data */
} plan_unit_t;

/* What of a worker counts as room. */
typedef enum {
	PLAN_FREE,
	PLAN_RELEASING, /* free now or after stops that are under way */
} plan_room_t;

bool plan_unit(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    plan_room_t room);
bool plan_may_hold(const plan_worker_t *worker, const plan_unit_t *unit);
void plan_take(resources_t *room, const resources_t *shape, int count);
void plan_give(resources_t *room, const resources_t *shape, int count);
int plan_fit(const resources_t *room, const resources_t *shape);
bool plan_can_ever_fit(
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit);
