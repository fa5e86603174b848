#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "rpc/protocol.h"

/*
 * Chooses workers for one unit.  Pure: no I/O, no clock, and no state between
 * calls.
 */

/* The planner's view of a worker. */
typedef struct {
	const fleet_worker_t *worker;
	resources_t free;      /* may be negative if some is reserved */
	resources_t releasing; /* held by runs that are being stopped */
	bool usable;
	bool excluded;   /* excluded for this unit */
	bool on_trial;   /* may take one single task, see suspicion.h */
	bool has_ticket; /* an adviser's ticket for the unit's step */
	int penalty;     /* for slowness or faults; lower is better */
	int same_step;   /* tasks of the unit's step that run here */
	int chosen;      /* members placed here by the last call */
} plan_worker_t;

typedef struct {
	const char *service;
	const step_spec_t *step;
	int members;
	bool needs_ticket;
	bool may_spread; /* ignore same_rack and data_rack */
} plan_unit_t;

/* Which resources of a worker count as available. */
typedef enum {
	PLAN_FREE,
	PLAN_RELEASING, /* free, or held by runs that are being stopped */
} plan_room_t;

bool plan_unit(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    plan_room_t room);
bool plan_is_eligible(const plan_worker_t *worker, const plan_unit_t *unit);
void plan_subtract(resources_t *room, const resources_t *shape, int count);
void plan_add(resources_t *room, const resources_t *shape, int count);
int plan_fit(const resources_t *room, const resources_t *shape);
bool plan_can_ever_fit(
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit);
