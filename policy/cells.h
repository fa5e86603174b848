#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "rpc/protocol.h"

#define CELLS_MAX_ACCELERATORS 32 /* per worker; one bit each in a mask */

/*
 * The accelerators of one failure domain, organized as a tree of cells, with
 * the guarantees of each workspace and the running jobs.  Does no I/O and reads
 * no clock.
 */
typedef struct cells_t cells_t;

/*
 * A workspace's guarantee: `count` units, each of which can run one job of
 * `members` members with `accelerators` accelerators per member.
 */
typedef struct {
	const char *workspace;
	int count;
	int members;
	int accelerators;
	adjacency_t adjacency;
} cells_guarantee_t;

/*
 * A job's request for resources; accelerators are per member.  Its shape is the
 * members, accelerators and adjacency.
 */
typedef struct {
	const char *job;
	const char *workspace;
	int members;
	int accelerators;
	adjacency_t adjacency;
} cells_request_t;

/* Where one member of a job runs. */
typedef struct {
	char worker[NAME_MAX_LEN + 1];
	uint32_t accelerator_mask;
} cells_place_t;

cells_t *cells_create(void);
void cells_destroy(cells_t *cells);
/* slots: the most job members that can run on the worker at once. */
int cells_add_worker(cells_t *cells, const char *worker, const char *rack,
    int accelerators, int slots);
int cells_remove_worker(cells_t *cells, const char *worker);
/*
 * Marks a worker's hardware as usable or failed.  Idle units with cells on
 * failed hardware get other cells where possible.
 */
int cells_set_usable(cells_t *cells, const char *worker, bool usable);
/*
 * Replaces the guarantees.  -ENOSPC: a heuristic search found no placement for
 * all of them, even on idle hardware; err names one of them and the smallest
 * reduction that helps.  Guaranteed jobs recorded before the first call are
 * bound to units only by that call, so a new leader records every running job
 * first.
 */
int cells_set_guarantees(cells_t *cells, const cells_guarantee_t *guarantees,
    size_t count, err_t *err);
/*
 * Finds places for a shape, either guaranteed (out of the workspace's
 * guarantee) or opportunistic, and fills places[members].  For a guaranteed
 * shape, calls victim for each opportunistic job that must be stopped first.
 * -ENOSPC: no place now.  -E2BIG: larger than the limits, the hardware or the
 * workspace's guarantee.  -EDQUOT: no unused part of the workspace's guarantee
 * can hold the shape, or it has none.
 */
int cells_find(const cells_t *cells, const cells_request_t *shape,
    bool guaranteed, cells_place_t *places,
    void (*victim)(void *ctx, const char *job), void *ctx, err_t *why);
/* Like cells_find, but returns -ENOSPC for every failure, without a reason. */
int cells_try_find(const cells_t *cells, const cells_request_t *shape,
    bool guaranteed, cells_place_t *places,
    void (*victim)(void *ctx, const char *job), void *ctx);
/*
 * Finds places for an opportunistic shape outside every reserved cell, and
 * calls victim for each opportunistic job that must be stopped first.  Ignores
 * holds.
 */
int cells_find_reclaiming(const cells_t *cells, const cells_request_t *shape,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx);
/*
 * Finds opportunistic places that will be free once the first *needed jobs of
 * the list have ended.  *needed is a power of two or count, as the search
 * doubles the number of jobs until it finds places.
 */
int cells_find_after_jobs_end(const cells_t *cells,
    const cells_request_t *shape, const char *const *jobs, size_t count,
    cells_place_t *places, size_t *needed);
/*
 * Excludes a worker from searches.  Unlike a failure (cells_set_usable), this
 * leaves the reserved cells where they are.
 */
void cells_set_excluded(cells_t *cells, const char *worker, bool excluded);
/* Visits each job that uses one of the places, once per place that it uses. */
void cells_visit_jobs_on(const cells_t *cells, const cells_place_t *places,
    int count, void (*visit)(void *ctx, const char *job), void *ctx);
/*
 * Keeps cells_find, cells_try_find and cells_find_after_jobs_end from choosing
 * the given places for opportunistic jobs until cells_unhold.
 * cells_find_reclaiming ignores holds.
 */
int cells_hold(
    cells_t *cells, const char *name, const cells_place_t *places, int count);
void cells_unhold(cells_t *cells, const char *name);
/* Finds opportunistic places among the first MAX_MEMBERS places of a hold. */
int cells_find_in_hold(const cells_t *cells, const char *name,
    const cells_request_t *shape, cells_place_t *places);
int cells_allocate(cells_t *cells, const cells_request_t *shape,
    bool guaranteed, const cells_place_t *places);
int cells_release(cells_t *cells, const char *job);
/*
 * Sets the work, in milliseconds, that is lost if the job is stopped now.  Of
 * equally many jobs that could be stopped, those that lose less are preferred.
 */
int cells_set_lost_work(cells_t *cells, const char *job, int64_t lost_ms);
/* Whether the job is bound to its workspace's guarantee. */
bool cells_is_guaranteed(const cells_t *cells, const char *job);
/*
 * Verifies that every guarantee can be claimed in full.  -ENOSPC: err names a
 * workspace whose guarantee is at risk for lack of usable hardware.  -EIO: the
 * internal records are inconsistent.
 */
int cells_check(const cells_t *cells, err_t *err);
/*
 * Visits each guarantee that is at risk, i.e. has incomplete units (units that
 * lack accelerators), with the number of these units.
 */
void cells_visit_at_risk(const cells_t *cells,
    void (*visit)(void *ctx, const cells_guarantee_t *guarantee, int units),
    void *ctx);
int cells_total_accelerators(const cells_t *cells);
int cells_free_accelerators(const cells_t *cells);
int cells_largest_free(const cells_t *cells, adjacency_t adjacency);
