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
	resources_t free;      /* negative if runs hold more than capacity */
	resources_t releasing; /* held by runs that are being stopped */
	bool usable;           /* false: takes no unit at all in this round */
	bool excluded;         /* takes none of this unit */
	bool on_trial;         /* may take one single task, see suspicion.h */
	bool has_ticket;       /* an adviser's ticket for the unit's step */
	int penalty;           /* of a suspect worker; lower is better */
	int same_step;         /* tasks of the unit's step that run here */
	int chosen;            /* members placed here by the last call */
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
} plan_available_t;

bool plan_unit(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    plan_available_t kind);
bool plan_is_eligible(const plan_worker_t *worker, const plan_unit_t *unit);
void plan_subtract(resources_t *available, const resources_t *shape, int count);
void plan_add(resources_t *available, const resources_t *shape, int count);
int plan_fit(const resources_t *available, const resources_t *shape);
bool plan_can_ever_fit(
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit);
