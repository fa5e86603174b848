#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "rpc/protocol.h"

/*
 * The workers of one planning round, indexed by rack and by free accelerators.
 * Load pattern: thousands of workers, most of them full, and more waiting units
 * than can start; a decision must not look at each worker.  Does no I/O and
 * reads no clock.
 */
typedef struct pool_t pool_t;

/* Which resources of a worker count as available. */
typedef enum {
	PLAN_FREE,
	PLAN_RELEASING, /* free, or held by runs that are being stopped */
} plan_available_t;

#define PLAN_AVAILABLE_KINDS 2

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
	/* 0: not known; 100: the usual speed of the service's workers */
	int speed_percent;
	int same_step; /* tasks of the unit's step that run here */
	int chosen;    /* members placed here by the last call */
	int crowding;  /* 0: none; lower is better, see crowding.h */
} plan_worker_t;

pool_t *pool_create(plan_worker_t *workers, size_t count);
void pool_destroy(pool_t *pool);
size_t pool_size(const pool_t *pool);
plan_worker_t *pool_worker(const pool_t *pool, size_t worker);
const char *pool_rack_name(const pool_t *pool, size_t worker);

/* The workers that the last plan chose members for. */
size_t pool_choice_size(const pool_t *pool);
size_t pool_choice(const pool_t *pool, size_t i);
void pool_clear_choice(pool_t *pool);
/*
 * The worker that the last plan would have chosen for a single task but for its
 * crowding, or NULL.
 */
const plan_worker_t *pool_passed_over(const pool_t *pool);

void pool_take(
    pool_t *pool, size_t worker, const resources_t *shape, int count);
void pool_add_releasing(pool_t *pool, size_t worker, const resources_t *shape);
void pool_disable(pool_t *pool, size_t worker);
