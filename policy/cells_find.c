#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "policy/cells_private.h"

/*
 * A possible placement and the opportunistic jobs that must be stopped for
 * it.
 */
typedef struct {
	bool found;
	place_t places[MAX_MEMBERS];
	GPtrArray *victims; /* job_t */
	int64_t lost_ms;
	bool splits; /* may leave an idle unit unclaimable */
	int size;    /* accelerators of its unit; INT_MAX if several */
} candidate_t;

static void
add_victim(candidate_t *candidate, job_t *job)
{
	if (g_ptr_array_find(candidate->victims, job, NULL))
		return;
	g_ptr_array_add(candidate->victims, job);
	candidate->lost_ms += job->lost_ms;
}

/* Returns how many members of a job run on a worker. */
static int
members_on(const job_t *job, int worker)
{
	int count = 0;

	for (int p = 0; p < job->members; p++)
		count += job->places[p].worker == worker;
	return count;
}

/*
 * Adds opportunistic jobs of a worker to the victims, those with the least lost
 * work first, until enough slots are free for the new members.
 */
static void
reclaim_slots(
    const cells_t *cells, candidate_t *candidate, int worker, int needed)
{
	const worker_t *w = cells_worker_at(cells, worker);
	int left = w->slots - w->slots_used;

	for (guint v = 0; v < candidate->victims->len; v++)
		left += members_on(
		    g_ptr_array_index(candidate->victims, v), worker);
	while (left < needed) {
		job_t *best = NULL;

		for (guint i = 0; i < w->jobs->len; i++) {
			job_t *job = g_ptr_array_index(w->jobs, i);

			if (job->guaranteed ||
			    g_ptr_array_find(candidate->victims, job, NULL))
				continue;
			if (best == NULL || job->lost_ms < best->lost_ms)
				best = job;
		}
		if (best == NULL)
			return;
		add_victim(candidate, best);
		left += members_on(best, worker);
	}
}

/* Collects the opportunistic jobs to stop for a candidate's places. */
static void
collect_victims(const cells_t *cells, candidate_t *candidate, int members)
{
	g_ptr_array_set_size(candidate->victims, 0);
	candidate->lost_ms = 0;
	for (int m = 0; m < members; m++) {
		const place_t *place = &candidate->places[m];
		const worker_t *w = cells_worker_at(cells, place->worker);

		if ((w->used & place->mask) == 0)
			continue;
		for (guint i = 0; i < w->jobs->len; i++) {
			job_t *job = g_ptr_array_index(w->jobs, i);

			for (int p = 0; p < job->members; p++) {
				if (job->places[p].worker == place->worker &&
				    (job->places[p].mask & place->mask) != 0)
					add_victim(candidate, job);
			}
		}
	}
	for (int m = 0; m < members; m++) {
		int needed = 0;

		for (int k = 0; k < members; k++)
			needed += candidate->places[k].worker ==
				  candidate->places[m].worker;
		reclaim_slots(
		    cells, candidate, candidate->places[m].worker, needed);
	}
}

/*
 * Whether candidate a is better than b.  Prefers candidates that do not split
 * an idle unit of another shape, which could not be claimed in full afterwards;
 * then the fewest jobs to stop, the least lost work and the smallest unit.
 */
static bool
is_better(const candidate_t *a, const candidate_t *b)
{
	if (!b->found)
		return true;
	if (a->splits != b->splits)
		return b->splits;
	if (a->victims->len != b->victims->len)
		return a->victims->len < b->victims->len;
	if (a->lost_ms != b->lost_ms)
		return a->lost_ms < b->lost_ms;
	return a->size < b->size;
}

/*
 * Makes the candidate the best one if it is better.  Swaps them, so that the
 * victim array of the old best can be reused.
 */
static void
keep_if_better(candidate_t *candidate, candidate_t *best)
{
	candidate_t swap;

	candidate->found = true;
	if (!is_better(candidate, best))
		return;
	swap = *best;
	*best = *candidate;
	*candidate = swap;
}

/* Appends the usable cells of a unit to a pool; returns the new count. */
static int
add_to_pool(
    const cells_t *cells, const unit_t *unit, pool_area_t *pool, int count)
{
	for (int m = 0; m < unit->members; m++) {
		const cell_t *cell = &unit->cells[m];
		const worker_t *w;

		if (cell->worker == CELLS_NONE)
			continue;
		w = cells_worker_at(cells, cell->worker);
		if (!w->usable || !w->present || w->excluded)
			continue;
		pool[count++] = (pool_area_t){
		    .worker = cell->worker,
		    .mask = cell->mask & ~w->guaranteed,
		    .has_reserved_slot = cell->running == 0,
		    .spare_slots =
			w->slots - w->slots_guaranteed - w->slots_reserved,
		};
	}
	return count;
}

/* Searches the cells of one unit. */
static void
search_unit(const cells_t *cells, const unit_t *unit,
    const cells_request_t *shape, candidate_t *candidate, candidate_t *best)
{
	pool_area_t pool[MAX_MEMBERS];
	int count = add_to_pool(cells, unit, pool, 0);

	if (cells_search_pool(cells, pool, count, shape, candidate->places) !=
	    0)
		return;
	collect_victims(cells, candidate, shape->members);
	candidate->splits =
	    unit->running == 0 && !cells_unit_has_shape(unit, shape->members,
				      shape->accelerators, shape->adjacency);
	candidate->size = unit->members * unit->accelerators;
	keep_if_better(candidate, best);
}

/* Whether the unit is idle, complete and of exactly this shape. */
static bool
is_exchangeable(const unit_t *unit, const cells_request_t *shape)
{
	return unit->running == 0 &&
	       cells_unit_has_shape(unit, shape->members, shape->accelerators,
		   shape->adjacency) &&
	       cells_unit_is_complete(unit);
}

/* Properties of a workspace's units with respect to a requested shape. */
typedef struct {
	bool exchangeable; /* a unit of this shape is idle and complete */
	bool at_risk;      /* a unit of this shape is incomplete */
	bool can_hold;     /* a single unit is large enough */
} unit_summary_t;

static unit_summary_t
summarize_units(const cells_t *cells, const cells_request_t *shape)
{
	const char *workspace = g_intern_string(shape->workspace);
	unit_summary_t summary = {0};

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != workspace)
			continue;
		summary.exchangeable |= is_exchangeable(unit, shape);
		summary.can_hold |= cells_unit_can_hold(unit, shape->members,
		    shape->accelerators, shape->adjacency);
		summary.at_risk |= cells_unit_has_shape(unit, shape->members,
				       shape->accelerators, shape->adjacency) &&
				   !cells_unit_is_complete(unit);
	}
	return summary;
}

/*
 * Searches the cells of each of the workspace's units.  Idle units of another
 * shape are skipped while a unit of this shape is at risk, so that a hardware
 * failure affects only the guarantee that was placed on it.
 */
static void
search_own_units(const cells_t *cells, const cells_request_t *shape,
    const unit_summary_t *summary, candidate_t *candidate, candidate_t *best)
{
	const char *workspace = g_intern_string(shape->workspace);

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != workspace)
			continue;
		if (summary->at_risk && unit->running == 0 &&
		    !cells_unit_has_shape(unit, shape->members,
			shape->accelerators, shape->adjacency))
			continue;
		search_unit(cells, unit, shape, candidate, best);
	}
}

/*
 * Searches the cells of other workspaces' idle units of the same shape, because
 * cells_bind can move the own unit there and the other unit be placed again.
 */
static void
search_other_units(const cells_t *cells, const cells_request_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	const char *workspace = g_intern_string(shape->workspace);

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (best->found && best->victims->len == 0)
			return;
		if (unit->workspace != workspace &&
		    is_exchangeable(unit, shape))
			search_unit(cells, unit, shape, candidate, best);
	}
}

/* Searches the cells of all the workspace's units as one pool. */
static void
search_union(const cells_t *cells, const cells_request_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	const char *workspace = g_intern_string(shape->workspace);
	pool_area_t *pool;
	size_t total = 0;
	int count = 0;

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace == workspace)
			total += (size_t)unit->members;
	}
	pool = g_new(pool_area_t, total + 1);
	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace == workspace)
			count = add_to_pool(cells, unit, pool, count);
	}
	if (cells_search_pool(cells, pool, count, shape, candidate->places) ==
	    0) {
		collect_victims(cells, candidate, shape->members);
		candidate->splits = true;
		candidate->size = INT_MAX;
		keep_if_better(candidate, best);
	}
	g_free(pool);
}

/*
 * Finds the best candidate for a guaranteed job: the cells of the workspace's
 * own units, or places to which one of these units can move without affecting
 * the guarantees of other workspaces.
 */
static void
search_guaranteed(const cells_t *cells, const cells_request_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	unit_summary_t summary = summarize_units(cells, shape);

	search_own_units(cells, shape, &summary, candidate, best);
	/* Cells of an exchangeable unit may still be on excluded workers. */
	if (summary.exchangeable && (!best->found || best->victims->len > 0))
		search_other_units(cells, shape, candidate, best);
	if (summary.exchangeable && (!best->found || best->victims->len > 0) &&
	    cells_search(cells, VIEW_UNRESERVED, shape->members,
		shape->accelerators,
		cells_effective_adjacency(shape->members, shape->adjacency),
		CELLS_NONE, candidate->places) == 0) {
		collect_victims(cells, candidate, shape->members);
		candidate->splits = false;
		candidate->size = shape->members * shape->accelerators;
		keep_if_better(candidate, best);
	}
	/* A job uses several units only if no single one is large enough. */
	if (!best->found && !summary.can_hold)
		search_union(cells, shape, candidate, best);
}

/* Finds slots for a guaranteed job that uses no accelerators. */
static void
search_slots(const cells_t *cells, const cells_request_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	if (cells_search(cells, VIEW_UNGUARANTEED, shape->members, 0,
		cells_effective_adjacency(shape->members, shape->adjacency),
		CELLS_NONE, candidate->places) != 0)
		return;
	collect_victims(cells, candidate, shape->members);
	keep_if_better(candidate, best);
}

static const char *
adjacency_text(adjacency_t adjacency)
{
	static const char *const texts[] = {
	    [ADJACENT_ANY] = "the domain",
	    [ADJACENT_DOMAIN] = "the domain",
	    [ADJACENT_RACK] = "one rack",
	    [ADJACENT_WORKER] = "one worker",
	};

	return texts[adjacency];
}

/* Reports why a guaranteed job has no place. */
static int
explain_guaranteed(
    const cells_t *cells, const cells_request_t *shape, err_t *why)
{
	const char *workspace = g_intern_string(shape->workspace);
	int holding = 0;
	int at_risk = 0;
	int total = 0;

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != workspace)
			continue;
		total += unit->members * unit->accelerators;
		holding += cells_unit_can_hold(unit, shape->members,
		    shape->accelerators, shape->adjacency);
		at_risk += !cells_unit_is_complete(unit);
	}
	if (total == 0)
		return err_set(why, -EDQUOT, "cells", shape->workspace,
		    "the workspace has no guarantee in this domain");
	if (at_risk > 0)
		return err_set(why, -ENOSPC, "cells", shape->workspace,
		    "%d units of the guarantee are at risk for lack of usable "
		    "hardware",
		    at_risk);
	if (holding == 0 && shape->members * shape->accelerators > total)
		return err_set(why, -E2BIG, "cells", shape->workspace,
		    "%d x %d (members x accelerators) exceed the %d "
		    "accelerators of the guarantee",
		    shape->members, shape->accelerators, total);
	return err_set(why, -EDQUOT, "cells", shape->workspace,
	    "no unused part of the guarantee holds %d x %d in %s",
	    shape->members, shape->accelerators,
	    adjacency_text(shape->adjacency));
}

/*
 * Reports why a shape has no place.  Returns -E2BIG when it can never have one,
 * else -ENOSPC or -EDQUOT.
 */
static int
explain(const cells_t *cells, const cells_request_t *shape, bool guaranteed,
    err_t *why)
{
	place_t places[MAX_MEMBERS];

	if (cells_search(cells, VIEW_ALL, shape->members, shape->accelerators,
		cells_effective_adjacency(shape->members, shape->adjacency),
		CELLS_NONE, places) != 0)
		return err_set(why, -E2BIG, "cells", shape->workspace,
		    "the hardware never holds %d x %d accelerators in %s",
		    shape->members, shape->accelerators,
		    adjacency_text(shape->adjacency));
	if (guaranteed && shape->accelerators > 0)
		return explain_guaranteed(cells, shape, why);
	return err_set(why, -ENOSPC, "cells", shape->workspace,
	    "%d accelerators are free, but not %d x %d in %s",
	    cells_free_accelerators(cells), shape->members, shape->accelerators,
	    adjacency_text(shape->adjacency));
}

/* Converts worker indices to worker names. */
void
cells_copy_places(
    const cells_t *cells, const place_t *from, int count, cells_place_t *places)
{
	for (int i = 0; i < count; i++) {
		const worker_t *w = cells_worker_at(cells, from[i].worker);

		g_strlcpy(places[i].worker, w->id, sizeof(places[i].worker));
		places[i].accelerator_mask = from[i].mask;
	}
}

/* Finds places for an opportunistic job, preferably outside reserved cells. */
static int
find_opportunistic(
    const cells_t *cells, const cells_request_t *shape, place_t *places)
{
	adjacency_t adjacency =
	    cells_effective_adjacency(shape->members, shape->adjacency);

	if (cells_search(cells, VIEW_UNRESERVED, shape->members,
		shape->accelerators, adjacency, CELLS_NONE, places) == 0)
		return 0;
	return cells_search(cells, VIEW_FREE, shape->members,
	    shape->accelerators, adjacency, CELLS_NONE, places);
}

/* Whether the members and accelerators of a shape are within the limits. */
static bool
shape_in_range(const cells_request_t *shape)
{
	return shape->members >= 1 && shape->members <= MAX_MEMBERS &&
	       shape->accelerators >= 0 &&
	       shape->accelerators <= CELLS_MAX_ACCELERATORS;
}

/*
 * Returns the places and victims of the best candidate to the caller, or
 * -ENOSPC, and frees the victim lists of both candidates.
 */
static int
return_best(const cells_t *cells, const cells_request_t *shape,
    candidate_t *candidate, candidate_t *best, cells_place_t *places,
    void (*victim)(void *ctx, const char *job), void *ctx)
{
	int rc = best->found ? 0 : -ENOSPC;

	if (best->found) {
		cells_copy_places(cells, best->places, shape->members, places);
		for (guint i = 0; i < best->victims->len && victim != NULL; i++)
			victim(ctx,
			    ((job_t *)g_ptr_array_index(best->victims, i))->id);
	}
	g_ptr_array_unref(candidate->victims);
	g_ptr_array_unref(best->victims);
	return rc;
}

/* See cells.h. */
int
cells_try_find(const cells_t *cells, const cells_request_t *shape,
    bool guaranteed, cells_place_t *places,
    void (*victim)(void *ctx, const char *job), void *ctx)
{
	candidate_t candidate;
	candidate_t best;

	if (!shape_in_range(shape))
		return -ENOSPC;
	if (!guaranteed) {
		if (find_opportunistic(cells, shape, best.places) != 0)
			return -ENOSPC;
		cells_copy_places(cells, best.places, shape->members, places);
		return 0;
	}
	candidate = (candidate_t){.victims = g_ptr_array_new()};
	best = (candidate_t){.victims = g_ptr_array_new()};
	if (shape->accelerators == 0)
		search_slots(cells, shape, &candidate, &best);
	else
		search_guaranteed(cells, shape, &candidate, &best);
	return return_best(
	    cells, shape, &candidate, &best, places, victim, ctx);
}

/* See cells.h. */
int
cells_find_reclaiming(const cells_t *cells, const cells_request_t *shape,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx)
{
	candidate_t candidate = {.victims = g_ptr_array_new()};
	candidate_t best = {.victims = g_ptr_array_new()};

	if (shape_in_range(shape) &&
	    cells_search(cells, VIEW_UNGUARANTEED, shape->members,
		shape->accelerators,
		cells_effective_adjacency(shape->members, shape->adjacency),
		CELLS_NONE, candidate.places) == 0) {
		collect_victims(cells, &candidate, shape->members);
		keep_if_better(&candidate, &best);
	}
	return return_best(
	    cells, shape, &candidate, &best, places, victim, ctx);
}

/* See cells.h.  Deterministic: the same state gives the same places. */
int
cells_find(const cells_t *cells, const cells_request_t *shape, bool guaranteed,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx, err_t *why)
{
	if (!shape_in_range(shape))
		return err_set(why, -E2BIG, "cells", shape->workspace,
		    "%d x %d (members x accelerators) exceed the limit of "
		    "%d x %d",
		    shape->members, shape->accelerators, MAX_MEMBERS,
		    CELLS_MAX_ACCELERATORS);
	if (cells_try_find(cells, shape, guaranteed, places, victim, ctx) == 0)
		return 0;
	return explain(cells, shape, guaranteed, why);
}
