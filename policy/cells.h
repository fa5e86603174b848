#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "rpc/protocol.h"

#define CELLS_MAX_ACCELERATORS 32 /* of one worker; bits of a mask */

/*
 * The accelerators of one failure domain as a tree of cells, with what each
 * workspace was guaranteed and what runs.  Pure: no sockets, no clock.
 */
typedef struct cells_t cells_t;

/* A guaranteed shape of a workspace: count times members x accelerators. */
typedef struct {
	const char *workspace;
	int count;
	int members;
	int accelerators;
	adjacency_t adjacency;
} cells_guarantee_t;

/* What a job asks for. */
typedef struct {
	const char *job;
	const char *workspace;
	int members;
	int accelerators;
	adjacency_t adjacency;
} cells_shape_t;

typedef struct {
	char worker[NAME_MAX_LEN + 1];
	uint32_t accelerator_mask;
} cells_place_t;

cells_t *cells_create(void);
void cells_destroy(cells_t *cells);
int cells_add_worker(cells_t *cells, const char *worker, const char *rack,
    int accelerators, int slots);
int cells_remove_worker(cells_t *cells, const char *worker);
int cells_set_usable(cells_t *cells, const char *worker, bool usable);
/*
 * Puts guarantees into effect.  -ENOSPC: they do not fit together on the whole
 * hardware; err names one of them and the smallest change.  Guaranteed jobs
 * taken before the first call are only noted, and bound by it; a successor
 * therefore takes every running job first.
 */
int cells_set_guarantees(cells_t *cells, const cells_guarantee_t *guarantees,
    size_t count, err_t *err);
/*
 * Finds places for a shape, guaranteed (out of the workspace's guarantee) or
 * opportunistic.  Fills places[members].  For a guaranteed shape the jobs to
 * reclaim are returned through victim.  -ENOSPC: no place now.  -E2BIG: never.
 * -EDQUOT: the workspace's guarantee is used up.
 */
int cells_find(const cells_t *cells, const cells_shape_t *shape,
    bool guaranteed, cells_place_t *places,
    void (*victim)(void *ctx, const char *job), void *ctx, err_t *why);
/* The same without the reason: -ENOSPC whenever there is no place. */
int cells_try(const cells_t *cells, const cells_shape_t *shape, bool guaranteed,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx);
/* Opportunistic places outside every guarantee, with the jobs to reclaim. */
int cells_find_reclaiming(const cells_t *cells, const cells_shape_t *shape,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx);
/*
 * Finds opportunistic places that will be free once the first *needed of the
 * jobs have ended; *needed is a power of two or count.
 */
int cells_plan(const cells_t *cells, const cells_shape_t *shape,
    const char *const *jobs, size_t count, cells_place_t *places,
    size_t *needed);
/* Leaves a worker out of searches, without moving any guarantee. */
void cells_avoid(cells_t *cells, const char *worker, bool avoided);
/* Visits each job with a member on one of the places, some of them twice. */
void cells_users(const cells_t *cells, const cells_place_t *places, int count,
    void (*visit)(void *ctx, const char *job), void *ctx);
/* Keeps opportunistic work off some places until cells_unhold. */
int cells_hold(
    cells_t *cells, const char *name, const cells_place_t *places, int count);
void cells_unhold(cells_t *cells, const char *name);
/* Finds opportunistic places inside the places of one hold. */
int cells_try_held(const cells_t *cells, const char *name,
    const cells_shape_t *shape, cells_place_t *places);
int cells_take(cells_t *cells, const cells_shape_t *shape, bool guaranteed,
    const cells_place_t *places);
int cells_release(cells_t *cells, const char *job);
/* Work that is lost when the job is stopped now; decides whom to reclaim. */
int cells_set_cost(cells_t *cells, const char *job, int64_t lost_ms);
/* Whether the job runs inside its workspace's guarantee. */
bool cells_is_guaranteed(const cells_t *cells, const char *job);
/*
 * Verifies that every guarantee can be reclaimed.  -ENOSPC names who is at risk
 * for lack of usable hardware; -EIO is a fault of the records.
 */
int cells_check(const cells_t *cells, err_t *err);
/* Visits what can't be honoured now: units of a guarantee without cells. */
void cells_each_at_risk(const cells_t *cells,
    void (*visit)(void *ctx, const cells_guarantee_t *guarantee, int units),
    void *ctx);
int cells_total_accelerators(const cells_t *cells);
int cells_free_accelerators(const cells_t *cells);
int cells_largest_free(const cells_t *cells, adjacency_t adjacency);
