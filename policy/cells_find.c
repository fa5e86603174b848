#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "policy/cells_private.h"

/* A possible outcome of a guaranteed search with what it reclaims. */
typedef struct {
	bool found;
	place_t places[MAX_MEMBERS];
	GPtrArray *victims; /* job_t */
	int64_t lost_ms;
	bool splits; /* breaks an unused unit of another shape */
	int size;    /* of the unit it uses */
} candidate_t;

static void
add_victim(candidate_t *candidate, job_t *job)
{
	if (g_ptr_array_find(candidate->victims, job, NULL))
		return;
	g_ptr_array_add(candidate->victims, job);
	candidate->lost_ms += job->lost_ms;
}

/* Members of a job that run on a worker. */
static int
members_on(const job_t *job, int worker)
{
	int count = 0;

	for (int p = 0; p < job->members; p++)
		count += job->places[p].worker == worker;
	return count;
}

/* Adds opportunistic jobs of a worker until the new members have slots. */
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

/* Collects the opportunistic jobs in the way of a candidate's places. */
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
 * Keeps the workspace's larger units whole, as they could not be claimed in
 * full afterwards; then prefers the fewest jobs to reclaim, the least lost work
 * and the smallest unit.
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

/* Keeps a candidate when it is better than the best so far. */
static void
consider(candidate_t *candidate, candidate_t *best)
{
	candidate_t swap;

	candidate->found = true;
	if (!is_better(candidate, best))
		return;
	swap = *best;
	*best = *candidate;
	*candidate = swap;
}

/* Adds the usable cells of a unit to a pool; returns the new count. */
static int
add_to_pool(const cells_t *cells, const unit_t *unit, pool_t *pool, int count)
{
	for (int m = 0; m < unit->members; m++) {
		const cell_t *cell = &unit->cells[m];
		const worker_t *w;

		if (cell->worker == CELLS_NONE)
			continue;
		w = cells_worker_at(cells, cell->worker);
		if (!w->usable || !w->present || w->avoided)
			continue;
		pool[count++] = (pool_t){
		    .worker = cell->worker,
		    .mask = cell->mask & ~w->guaranteed,
		    .has_slot = cell->work == 0,
		    .spare = w->slots - w->slots_guaranteed - w->slots_reserved,
		};
	}
	return count;
}

/* Looks into the cells of one unit. */
static void
search_unit(const cells_t *cells, const unit_t *unit,
    const cells_shape_t *shape, candidate_t *candidate, candidate_t *best)
{
	pool_t pool[MAX_MEMBERS];
	int count = add_to_pool(cells, unit, pool, 0);

	if (cells_search_within(cells, pool, count, shape, candidate->places) !=
	    0)
		return;
	collect_victims(cells, candidate, shape->members);
	candidate->splits =
	    unit->work == 0 && !cells_unit_same(unit, shape->members,
				   shape->accelerators, shape->adjacency);
	candidate->size = unit->members * unit->accelerators;
	consider(candidate, best);
}

/* Whether an unused unit has its cells and exactly this shape. */
static bool
is_exchangeable(const unit_t *unit, const cells_shape_t *shape)
{
	return unit->work == 0 &&
	       cells_unit_same(unit, shape->members, shape->accelerators,
		   shape->adjacency) &&
	       cells_unit_is_whole(unit);
}

/* What the units of a workspace allow for a shape. */
typedef struct {
	bool exchangeable; /* one of this shape is unused and placed */
	bool at_risk;      /* one of this shape is not placed */
	bool holds;        /* one is large enough */
} options_t;

static options_t
options_of(const cells_t *cells, const cells_shape_t *shape)
{
	const char *workspace = g_intern_string(shape->workspace);
	options_t options = {0};

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != workspace)
			continue;
		options.exchangeable |= is_exchangeable(unit, shape);
		options.holds |= cells_unit_holds(unit, shape->members,
		    shape->accelerators, shape->adjacency);
		options.at_risk |= cells_unit_same(unit, shape->members,
				       shape->accelerators, shape->adjacency) &&
				   !cells_unit_is_whole(unit);
	}
	return options;
}

/*
 * Looks into the cells of the workspace's units.  Unused units of another shape
 * are left alone while one of this shape is at risk, so that failed hardware
 * costs no more than the guarantee that it held.
 */
static void
search_own_units(const cells_t *cells, const cells_shape_t *shape,
    const options_t *options, candidate_t *candidate, candidate_t *best)
{
	const char *workspace = g_intern_string(shape->workspace);

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != workspace)
			continue;
		if (options->at_risk && unit->work == 0 &&
		    !cells_unit_same(unit, shape->members, shape->accelerators,
			shape->adjacency))
			continue;
		search_unit(cells, unit, shape, candidate, best);
	}
}

/*
 * Looks into the cells of other workspaces' unused units of the same shape:
 * two such units can exchange their cells.
 */
static void
search_other_units(const cells_t *cells, const cells_shape_t *shape,
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

/* Looks into all cells of the workspace at once. */
static void
search_union(const cells_t *cells, const cells_shape_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	const char *workspace = g_intern_string(shape->workspace);
	pool_t *pool;
	size_t total = 0;
	int count = 0;

	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace == workspace)
			total += (size_t)unit->members;
	}
	pool = g_new(pool_t, total + 1);
	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace == workspace)
			count = add_to_pool(cells, unit, pool, count);
	}
	if (cells_search_within(cells, pool, count, shape, candidate->places) ==
	    0) {
		collect_victims(cells, candidate, shape->members);
		candidate->splits = true;
		candidate->size = INT_MAX;
		consider(candidate, best);
	}
	g_free(pool);
}

/*
 * Finds the candidate for guaranteed work: a unit's own cells, or cells that it
 * may move to without taking anything that is guaranteed to others.
 */
static void
search_guaranteed(const cells_t *cells, const cells_shape_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	options_t options = options_of(cells, shape);

	search_own_units(cells, shape, &options, candidate, best);
	/* Nothing is found when the unit's workers are avoided. */
	if (options.exchangeable && (!best->found || best->victims->len > 0))
		search_other_units(cells, shape, candidate, best);
	if (options.exchangeable && (!best->found || best->victims->len > 0) &&
	    cells_search(cells, VIEW_OPEN, shape->members, shape->accelerators,
		cells_tightest(shape->members, shape->adjacency), CELLS_NONE,
		candidate->places) == 0) {
		collect_victims(cells, candidate, shape->members);
		candidate->splits = false;
		candidate->size = shape->members * shape->accelerators;
		consider(candidate, best);
	}
	/* Several units serve one job only when no single one ever could. */
	if (!best->found && !options.holds)
		search_union(cells, shape, candidate, best);
}

/* Finds slots for guaranteed work without accelerators. */
static void
search_slots(const cells_t *cells, const cells_shape_t *shape,
    candidate_t *candidate, candidate_t *best)
{
	if (cells_search(cells, VIEW_HARD, shape->members, 0,
		cells_tightest(shape->members, shape->adjacency), CELLS_NONE,
		candidate->places) != 0)
		return;
	collect_victims(cells, candidate, shape->members);
	consider(candidate, best);
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

/* Tells why guaranteed work has no place. */
static int
explain_guaranteed(const cells_t *cells, const cells_shape_t *shape, err_t *why)
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
		holding += cells_unit_holds(unit, shape->members,
		    shape->accelerators, shape->adjacency);
		at_risk += !cells_unit_is_whole(unit);
	}
	if (total == 0)
		return err_set(why, -EDQUOT, "cells", shape->workspace,
		    "the workspace has no guarantee in this domain");
	if (at_risk > 0)
		return err_set(why, -ENOSPC, "cells", shape->workspace,
		    "%d units of the guarantee are at risk: failed hardware",
		    at_risk);
	if (holding == 0 && shape->members * shape->accelerators > total)
		return err_set(why, -E2BIG, "cells", shape->workspace,
		    "%d x %d accelerators exceed the guarantee of %d",
		    shape->members, shape->accelerators, total);
	return err_set(why, -EDQUOT, "cells", shape->workspace,
	    "no unused part of the guarantee holds %d x %d in %s",
	    shape->members, shape->accelerators,
	    adjacency_text(shape->adjacency));
}

/* Tells why a shape has no place, and whether it could ever have one. */
static int
explain(const cells_t *cells, const cells_shape_t *shape, bool guaranteed,
    err_t *why)
{
	place_t places[MAX_MEMBERS];

	if (cells_search(cells, VIEW_ALL, shape->members, shape->accelerators,
		cells_tightest(shape->members, shape->adjacency), CELLS_NONE,
		places) != 0)
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

/* Writes places with the names of their workers. */
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

/* Finds places for opportunistic work, outside reserved cells if possible. */
static int
find_opportunistic(
    const cells_t *cells, const cells_shape_t *shape, place_t *places)
{
	adjacency_t adjacency =
	    cells_tightest(shape->members, shape->adjacency);

	if (cells_search(cells, VIEW_OPEN, shape->members, shape->accelerators,
		adjacency, CELLS_NONE, places) == 0)
		return 0;
	return cells_search(cells, VIEW_FREE, shape->members,
	    shape->accelerators, adjacency, CELLS_NONE, places);
}

/* Whether the sizes of a shape are within what cells can describe. */
static bool
in_range(const cells_shape_t *shape)
{
	return shape->members >= 1 && shape->members <= MAX_MEMBERS &&
	       shape->accelerators >= 0 &&
	       shape->accelerators <= CELLS_MAX_ACCELERATORS;
}

/* Hands out a found candidate and ends both. */
static int
finish(const cells_t *cells, const cells_shape_t *shape, candidate_t *candidate,
    candidate_t *best, cells_place_t *places,
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
cells_try(const cells_t *cells, const cells_shape_t *shape, bool guaranteed,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx)
{
	candidate_t candidate;
	candidate_t best;

	if (!in_range(shape))
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
	return finish(cells, shape, &candidate, &best, places, victim, ctx);
}

/* See cells.h. */
int
cells_find_reclaiming(const cells_t *cells, const cells_shape_t *shape,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx)
{
	candidate_t candidate = {.victims = g_ptr_array_new()};
	candidate_t best = {.victims = g_ptr_array_new()};

	if (in_range(shape) &&
	    cells_search(cells, VIEW_HARD, shape->members, shape->accelerators,
		cells_tightest(shape->members, shape->adjacency), CELLS_NONE,
		candidate.places) == 0) {
		collect_victims(cells, &candidate, shape->members);
		consider(&candidate, &best);
	}
	return finish(cells, shape, &candidate, &best, places, victim, ctx);
}

/* See cells.h.  Equal states give equal results. */
int
cells_find(const cells_t *cells, const cells_shape_t *shape, bool guaranteed,
    cells_place_t *places, void (*victim)(void *ctx, const char *job),
    void *ctx, err_t *why)
{
	if (!in_range(shape))
		return err_set(why, -E2BIG, "cells", shape->workspace,
		    "%d x %d accelerators exceed %d x %d", shape->members,
		    shape->accelerators, MAX_MEMBERS, CELLS_MAX_ACCELERATORS);
	if (cells_try(cells, shape, guaranteed, places, victim, ctx) == 0)
		return 0;
	return explain(cells, shape, guaranteed, why);
}
