#include "policy/cells.h"

#include <errno.h>
#include <string.h>

#include "policy/cells_private.h"

static void
worker_free(void *data)
{
	worker_t *worker = data;

	g_ptr_array_unref(worker->jobs);
	g_free(worker->id);
	g_free(worker);
}

static void
rack_free(void *data)
{
	rack_t *rack = data;

	g_array_unref(rack->workers);
	g_free(rack->name);
	g_free(rack);
}

void
cells_job_free(void *data)
{
	job_t *job = data;

	g_free(job->places);
	g_free(job->id);
	g_free(job);
}

/* Creates an empty model of a failure domain. */
cells_t *
cells_create(void)
{
	cells_t *cells = g_new0(cells_t, 1);

	cells->workers = g_ptr_array_new_with_free_func(worker_free);
	cells->racks = g_ptr_array_new_with_free_func(rack_free);
	cells->worker_ids = g_hash_table_new(g_str_hash, g_str_equal);
	cells->rack_ids = g_hash_table_new(g_str_hash, g_str_equal);
	cells->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, cells_job_free);
	cells->holds = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	cells->guarantees = g_array_new(FALSE, FALSE, sizeof(guarantee_t));
	cells->units = g_ptr_array_new_with_free_func(cells_unit_free);
	return cells;
}

void
cells_destroy(cells_t *cells)
{
	if (cells == NULL)
		return;
	g_hash_table_unref(cells->worker_ids);
	g_hash_table_unref(cells->rack_ids);
	g_hash_table_unref(cells->jobs);
	g_hash_table_unref(cells->holds);
	g_ptr_array_unref(cells->units);
	g_array_unref(cells->guarantees);
	g_ptr_array_unref(cells->racks);
	g_ptr_array_unref(cells->workers);
	g_free(cells);
}

/* Returns the index of a worker, or CELLS_NONE if the id is unknown. */
int
cells_worker_find(const cells_t *cells, const char *id)
{
	void *value = g_hash_table_lookup(cells->worker_ids, id);

	return value != NULL ? GPOINTER_TO_INT(value) - 1 : CELLS_NONE;
}

static int
rack_find_or_add(cells_t *cells, const char *name)
{
	void *value = g_hash_table_lookup(cells->rack_ids, name);
	rack_t *rack;

	if (value != NULL)
		return GPOINTER_TO_INT(value) - 1;
	rack = g_new0(rack_t, 1);
	rack->name = g_strdup(name);
	rack->workers = g_array_new(FALSE, FALSE, sizeof(int));
	g_ptr_array_add(cells->racks, rack);
	g_hash_table_insert(
	    cells->rack_ids, rack->name, GINT_TO_POINTER(cells->racks->len));
	return (int)cells->racks->len - 1;
}

/* Moves a worker from its current rack, if any, to another rack. */
static void
worker_move(cells_t *cells, int index, int to)
{
	worker_t *worker = cells_worker_at(cells, index);
	rack_t *rack;

	if (worker->rack == to)
		return;
	if (worker->rack != CELLS_NONE) {
		for (int view = 0; view < VIEW_COUNT; view++)
			cells_set_avail(cells, index, (cells_view_t)view, 0);
		rack = g_ptr_array_index(cells->racks, (guint)worker->rack);
		for (guint i = 0; i < rack->workers->len; i++) {
			if (g_array_index(rack->workers, int, i) == index) {
				g_array_remove_index(rack->workers, i);
				break;
			}
		}
	}
	rack = g_ptr_array_index(cells->racks, (guint)to);
	g_array_append_val(rack->workers, index);
	worker->rack = to;
}

/*
 * Adds a worker, or updates the rack, accelerator count and slot count of an
 * existing one and marks it usable.  A changed accelerator count clears its
 * idle cells.  Returns -EINVAL when a count is out of range.
 */
int
cells_add_worker(cells_t *cells, const char *worker, const char *rack,
    int accelerators, int slots)
{
	int index = cells_worker_find(cells, worker);
	worker_t *w;

	if (accelerators < 0 || accelerators > CELLS_MAX_ACCELERATORS ||
	    slots < 1)
		return -EINVAL;
	if (index == CELLS_NONE) {
		w = g_new0(worker_t, 1);
		w->id = g_strdup(worker);
		w->rack = CELLS_NONE;
		w->jobs = g_ptr_array_new();
		g_ptr_array_add(cells->workers, w);
		g_hash_table_insert(cells->worker_ids, w->id,
		    GINT_TO_POINTER(cells->workers->len));
		index = (int)cells->workers->len - 1;
	}
	w = cells_worker_at(cells, index);
	if (w->present && w->accelerators != accelerators)
		cells_remove_worker(cells, worker);
	worker_move(cells, index, rack_find_or_add(cells, rack));
	w->accelerators = accelerators;
	w->slots = slots;
	w->present = true;
	w->usable = true;
	cells_update_views(cells, index);
	cells_place_incomplete_units(cells);
	return 0;
}

/* Removes a worker; its jobs stay recorded until they are released. */
int
cells_remove_worker(cells_t *cells, const char *worker)
{
	int index = cells_worker_find(cells, worker);

	if (index == CELLS_NONE || !cells_worker_at(cells, index)->present)
		return -ENOENT;
	cells_worker_at(cells, index)->present = false;
	cells_update_views(cells, index);
	cells_place_incomplete_units(cells);
	return 0;
}

/* Marks a worker's hardware as usable or failed. */
int
cells_set_usable(cells_t *cells, const char *worker, bool usable)
{
	int index = cells_worker_find(cells, worker);

	if (index == CELLS_NONE || !cells_worker_at(cells, index)->present)
		return -ENOENT;
	if (cells_worker_at(cells, index)->usable == usable)
		return 0;
	cells_worker_at(cells, index)->usable = usable;
	cells_update_views(cells, index);
	cells_place_incomplete_units(cells);
	return 0;
}

/*
 * Returns the largest count, below the current one, with which a guarantee fits
 * together with the others, or -1 if the others do not fit without it.
 */
static int
largest_count(const cells_t *cells, GArray *guarantees, guint which)
{
	guarantee_t *g = &g_array_index(guarantees, guarantee_t, which);
	int wanted = g->count;
	int low = 0;
	int high = wanted - 1;

	g->count = 0;
	if (cells_first_unplaceable(cells, guarantees) != CELLS_NONE)
		low = -1;
	while (low >= 0 && low < high) {
		g->count = (low + high + 1) / 2;
		if (cells_first_unplaceable(cells, guarantees) == CELLS_NONE)
			low = g->count;
		else
			high = g->count - 1;
	}
	g->count = wanted;
	return low;
}

/*
 * Reports why a set of guarantees does not fit: names the first guarantee that
 * cannot be placed, and the reduction of a single count that makes the set fit
 * at the cost of the fewest accelerators.
 */
static int
explain_refusal(
    const cells_t *cells, GArray *guarantees, int failed, err_t *err)
{
	const guarantee_t *f =
	    &g_array_index(guarantees, guarantee_t, (guint)failed);
	const guarantee_t *best = NULL;
	int best_count = 0;
	int best_change = 0;

	for (guint i = 0; i < guarantees->len; i++) {
		const guarantee_t *g =
		    &g_array_index(guarantees, guarantee_t, i);
		int count = largest_count(cells, guarantees, i);
		int change = (g->count - count) * g->members * g->accelerators;

		if (count < 0 || (best != NULL && change >= best_change))
			continue;
		best = g;
		best_count = count;
		best_change = change;
	}
	if (best == NULL)
		return err_set(err, -ENOSPC, "guarantees", f->workspace,
		    "%d units of %d x %d (members x accelerators) for "
		    "workspace %s do not fit, and reducing a single guarantee "
		    "is not enough",
		    f->count, f->members, f->accelerators, f->workspace);
	return err_set(err, -ENOSPC, "guarantees", f->workspace,
	    "%d units of %d x %d (members x accelerators) for workspace %s do "
	    "not fit; the set fits with %d instead of %d units of %d x %d for "
	    "workspace %s",
	    f->count, f->members, f->accelerators, f->workspace, best_count,
	    best->count, best->members, best->accelerators, best->workspace);
}

/* See cells.h. */
int
cells_set_guarantees(cells_t *cells, const cells_guarantee_t *guarantees,
    size_t count, err_t *err)
{
	GArray *set = g_array_new(FALSE, FALSE, sizeof(guarantee_t));
	int failed;

	for (size_t i = 0; i < count; i++) {
		const cells_guarantee_t *g = &guarantees[i];
		guarantee_t copy = {g_intern_string(g->workspace), g->count,
		    g->members, g->accelerators, g->adjacency};

		if (g->count < 0 || g->members < 1 ||
		    g->members > MAX_MEMBERS || g->accelerators < 1 ||
		    g->accelerators > CELLS_MAX_ACCELERATORS) {
			g_array_unref(set);
			return err_set(err, -EINVAL, "guarantees", g->workspace,
			    "a guarantee of %d units of %d x %d (members x "
			    "accelerators) is out of range",
			    g->count, g->members, g->accelerators);
		}
		g_array_append_val(set, copy);
	}
	failed = cells_first_unplaceable(cells, set);
	if (failed != CELLS_NONE) {
		int rc = err != NULL ? explain_refusal(cells, set, failed, err)
				     : -ENOSPC;

		g_array_unref(set);
		return rc;
	}
	cells_apply_guarantees(cells, set);
	return 0;
}

/*
 * Resolves the worker names of a job's places to indices.  Returns -ENOENT for
 * an unknown worker, -EINVAL for accelerators that the worker does not have or
 * a wrong number of them, -EBUSY for accelerators in use.
 */
static int
resolve_places(const cells_t *cells, const cells_request_t *shape,
    const cells_place_t *places, place_t *out)
{
	for (int p = 0; p < shape->members; p++) {
		int index = cells_worker_find(cells, places[p].worker);
		uint32_t mask = places[p].accelerator_mask;
		const worker_t *w;

		if (index == CELLS_NONE)
			return -ENOENT;
		w = cells_worker_at(cells, index);
		if ((mask & ~cells_low_mask(w->accelerators)) != 0 ||
		    __builtin_popcount(mask) != shape->accelerators)
			return -EINVAL;
		if ((w->used & mask) != 0)
			return -EBUSY;
		for (int q = 0; q < p; q++) {
			if (out[q].worker == index && (out[q].mask & mask) != 0)
				return -EBUSY;
		}
		out[p] = (place_t){index, mask};
	}
	return 0;
}

/* Marks the accelerators and slots of a job as used or free. */
static void
set_used(const cells_t *cells, job_t *job, bool used)
{
	for (int p = 0; p < job->members; p++) {
		worker_t *w = cells_worker_at(cells, job->places[p].worker);

		if (used) {
			w->used |= job->places[p].mask;
			w->slots_used++;
			g_ptr_array_add(w->jobs, job);
		} else {
			w->used &= ~job->places[p].mask;
			w->slots_used--;
			g_ptr_array_remove(w->jobs, job);
		}
		cells_update_views(cells, job->places[p].worker);
	}
}

/* Returns, for each unit, whether it is complete; the caller frees it. */
static bool *
list_complete_units(const cells_t *cells)
{
	bool *complete = g_new0(bool, cells->units->len + 1);

	for (guint i = 0; i < cells->units->len; i++)
		complete[i] =
		    cells_unit_is_complete(g_ptr_array_index(cells->units, i));
	return complete;
}

static bool
all_still_complete(const cells_t *cells, const bool *complete)
{
	for (guint i = 0; i < cells->units->len; i++) {
		if (complete[i] &&
		    !cells_unit_is_complete(g_ptr_array_index(cells->units, i)))
			return false;
	}
	return true;
}

/* Whether the job overlaps cells that another workspace's jobs are bound to. */
static bool
overlaps_other_guaranteed(const cells_t *cells, const job_t *job)
{
	for (guint i = 0; i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->running == 0 || unit->workspace == job->workspace)
			continue;
		for (int m = 0; m < unit->members; m++) {
			for (int p = 0; p < job->members; p++) {
				if (unit->cells[m].running > 0 &&
				    unit->cells[m].worker ==
					job->places[p].worker &&
				    (unit->cells[m].mask &
					job->places[p].mask) != 0)
					return true;
			}
		}
	}
	return false;
}

/*
 * Binds a job to the guarantee of its workspace.  Returns -EBUSY, and reverts
 * the binding, when a unit that is complete now would no longer be.
 */
static int
bind_checked(cells_t *cells, job_t *job)
{
	cell_t *saved;
	bool *complete;
	int rc;

	if (cells_cover_job(cells, job))
		return cells_bind(cells, job);
	if (overlaps_other_guaranteed(cells, job))
		return -EBUSY;
	complete = list_complete_units(cells);
	saved = cells_units_save(cells->units);
	rc = cells_bind(cells, job);
	if (rc != 0)
		goto out;
	cells_place_incomplete_units(cells);
	if (all_still_complete(cells, complete))
		goto out;
	cells_unbind(cells, job);
	cells_units_restore(cells, cells->units, saved);
	rc = -EBUSY;
out:
	g_free(complete);
	g_free(saved);
	return rc;
}

/*
 * Records that a job runs at these places.  Returns -EBUSY when they are not
 * free or a guarantee would be put at risk, -EDQUOT when the workspace's
 * guarantee is used up, -EEXIST when the job is already recorded, -ENOENT for
 * an unknown worker, -EINVAL for wrong members or accelerators.
 */
int
cells_allocate(cells_t *cells, const cells_request_t *shape, bool guaranteed,
    const cells_place_t *places)
{
	place_t resolved[MAX_MEMBERS];
	job_t *job;
	int rc;

	if (shape->members < 1 || shape->members > MAX_MEMBERS)
		return -EINVAL;
	if (g_hash_table_contains(cells->jobs, shape->job))
		return -EEXIST;
	rc = resolve_places(cells, shape, places, resolved);
	if (rc != 0)
		return rc;
	job = g_new0(job_t, 1);
	job->id = g_strdup(shape->job);
	job->workspace = g_intern_string(shape->workspace);
	job->members = shape->members;
	job->accelerators = shape->accelerators;
	job->adjacency = shape->adjacency;
	job->started_guaranteed = guaranteed;
	job->places =
	    g_memdup2(resolved, sizeof(place_t) * (gsize)shape->members);
	if (guaranteed && cells->guarantees->len > 0)
		rc = bind_checked(cells, job);
	if (rc != 0) {
		cells_job_free(job);
		return rc;
	}
	set_used(cells, job, true);
	g_hash_table_insert(cells->jobs, job->id, job);
	return 0;
}

/* Records that a job has ended; -ENOENT when the job is unknown. */
int
cells_release(cells_t *cells, const char *id)
{
	job_t *job = g_hash_table_lookup(cells->jobs, id);
	bool guaranteed;

	if (job == NULL)
		return -ENOENT;
	guaranteed = job->guaranteed;
	if (guaranteed)
		cells_unbind(cells, job);
	set_used(cells, job, false);
	g_hash_table_remove(cells->jobs, id);
	if (guaranteed)
		cells_place_incomplete_units(cells);
	return 0;
}

int
cells_set_lost_work(cells_t *cells, const char *id, int64_t lost_ms)
{
	job_t *job = g_hash_table_lookup(cells->jobs, id);

	if (job == NULL)
		return -ENOENT;
	job->lost_ms = lost_ms;
	return 0;
}

bool
cells_is_guaranteed(const cells_t *cells, const char *id)
{
	const job_t *job = g_hash_table_lookup(cells->jobs, id);

	return job != NULL && job->guaranteed;
}

/* See cells.h. */
void
cells_visit_at_risk(const cells_t *cells,
    void (*visit)(void *ctx, const cells_guarantee_t *guarantee, int units),
    void *ctx)
{
	for (guint i = 0; i < cells->guarantees->len; i++) {
		const guarantee_t *g =
		    &g_array_index(cells->guarantees, guarantee_t, i);
		cells_guarantee_t at_risk = {g->workspace, g->count, g->members,
		    g->accelerators, g->adjacency};
		int units = 0;

		for (guint k = 0; k < cells->units->len; k++) {
			const unit_t *unit = g_ptr_array_index(cells->units, k);

			units += unit->guarantee_index == (int)i &&
				 !cells_unit_is_complete(unit);
		}
		if (units > 0)
			visit(ctx, &at_risk, units);
	}
}

/* Returns the number of accelerators of all present workers. */
int
cells_total_accelerators(const cells_t *cells)
{
	int total = 0;

	for (guint i = 0; i < cells->racks->len; i++)
		total += ((rack_t *)g_ptr_array_index(cells->racks, i))
			     ->counts[VIEW_ALL]
			     .total;
	return total;
}

/* Returns the number of accelerators in VIEW_FREE, so without held ones. */
int
cells_free_accelerators(const cells_t *cells)
{
	return cells_largest_free(cells, ADJACENT_DOMAIN);
}

/*
 * Returns the largest number of accelerators in VIEW_FREE on any one worker, in
 * any one rack, or in the whole domain, as selected by adjacency.
 */
int
cells_largest_free(const cells_t *cells, adjacency_t adjacency)
{
	int total = 0;
	int largest = 0;

	for (guint i = 0; i < cells->racks->len; i++) {
		const rack_t *rack = g_ptr_array_index(cells->racks, i);

		total += rack->counts[VIEW_FREE].total;
		largest = MAX(largest, rack->counts[VIEW_FREE].total);
	}
	if (adjacency == ADJACENT_RACK)
		return largest;
	if (adjacency != ADJACENT_WORKER)
		return total;
	largest = 0;
	for (guint i = 0; i < cells->workers->len; i++) {
		const worker_t *w = cells_worker_at(cells, (int)i);

		largest = MAX(largest, __builtin_popcount(w->avail[VIEW_FREE]));
	}
	return largest;
}
