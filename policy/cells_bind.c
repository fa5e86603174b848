#include <errno.h>
#include <string.h>

#include "policy/cells_private.h"

/* Adds (sign 1) or removes (-1) a job's members in the cells they run in. */
static void
count_job_in_cells(const cells_t *cells, const job_t *job, int sign)
{
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != job->workspace)
			continue;
		for (int m = 0; m < unit->members; m++) {
			cell_t *cell = &unit->cells[m];

			if (cell->worker == CELLS_NONE)
				continue;
			for (int p = 0; p < job->members; p++) {
				if (job->places[p].worker == cell->worker &&
				    (job->places[p].mask & cell->mask) != 0)
					cells_unit_add_member(
					    cells, unit, cell, sign);
			}
		}
	}
}

/* Whether the workspace's cells contain every place of the job. */
bool
cells_cover_job(const cells_t *cells, const job_t *job)
{
	for (int p = 0; p < job->members; p++) {
		uint32_t left = job->places[p].mask;

		for (guint i = 0; i < cells->units->len && left != 0; i++) {
			const unit_t *unit = g_ptr_array_index(cells->units, i);

			if (unit->workspace != job->workspace)
				continue;
			for (int m = 0; m < unit->members; m++) {
				if (unit->cells[m].worker ==
				    job->places[p].worker)
					left &= ~unit->cells[m].mask;
			}
		}
		if (left != 0)
			return false;
	}
	return true;
}

/*
 * Returns the smallest aligned block that can hold one of the unit's cells and
 * contains the first accelerator of the mask.
 */
static uint32_t
block_around(const unit_t *unit, uint32_t mask)
{
	int level = cells_level(unit->accelerators);
	int first = __builtin_ctz(mask) >> level << level;

	return cells_low_mask(1 << level) << first;
}

/*
 * Computes the cells that a unit needs to contain the places of a job; members
 * in the same block share a cell if it is large enough.  Returns the number of
 * cells, or CELLS_NONE if the unit cannot contain the job.
 */
static int
plan_cells(const cells_t *cells, const unit_t *unit, const job_t *job,
    place_t *planned)
{
	int count = 0;

	for (int p = 0; p < job->members; p++) {
		const place_t *place = &job->places[p];
		uint32_t block = block_around(unit, place->mask);
		int m = 0;

		if ((place->mask & ~block) != 0 ||
		    job->accelerators > unit->accelerators)
			return CELLS_NONE;
		while (m < count &&
		       (planned[m].worker != place->worker ||
			   (planned[m].mask & ~block) != 0 ||
			   __builtin_popcount(planned[m].mask | place->mask) >
			       unit->accelerators))
			m++;
		if (m == unit->members)
			return CELLS_NONE;
		if (m == count)
			planned[count++] = (place_t){place->worker, 0};
		planned[m].mask |= place->mask;
		if ((unit->adjacency == ADJACENT_WORKER &&
			place->worker != planned[0].worker) ||
		    (unit->adjacency == ADJACENT_RACK &&
			cells_worker_at(cells, place->worker)->rack !=
			    cells_worker_at(cells, planned[0].worker)->rack))
			return CELLS_NONE;
	}
	return count;
}

/*
 * Cost of moving a unit, i.e. replacing its cells by ones that contain the
 * places of a job; least is best.  Size counts first, then a different shape,
 * then being complete.
 */
static int
move_cost(const unit_t *unit, const job_t *job)
{
	int cost = unit->members * unit->accelerators * 4;

	if (!cells_unit_has_shape(
		unit, job->members, job->accelerators, job->adjacency))
		cost += 2;
	return cells_unit_is_complete(unit) ? cost : cost + 1;
}

/* Chooses an idle unit to move to a job that runs outside its cells. */
static unit_t *
choose_unit(const cells_t *cells, const job_t *job)
{
	place_t planned[MAX_MEMBERS];
	unit_t *best = NULL;

	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->workspace != job->workspace || unit->running > 0 ||
		    plan_cells(cells, unit, job, planned) == CELLS_NONE)
			continue;
		if (best == NULL || move_cost(unit, job) < move_cost(best, job))
			best = unit;
	}
	return best;
}

/*
 * Removes the job's accelerators from one cell.  A cell without guaranteed
 * members is cleared entirely.
 */
static void
remove_from_cell(
    const cells_t *cells, unit_t *unit, int member, const job_t *job)
{
	cell_t *cell = &unit->cells[member];

	for (int p = 0; p < job->members && cell->worker != CELLS_NONE; p++) {
		uint32_t shared = cell->mask & job->places[p].mask;

		if (cell->worker != job->places[p].worker || shared == 0)
			continue;
		if (cell->running == 0) {
			cells_unit_clear_cell(cells, unit, member);
			continue;
		}
		cell->mask &= ~shared;
		cells_worker_at(cells, cell->worker)->reserved &= ~shared;
		cells_update_views(cells, cell->worker);
	}
}

/* Removes the job's accelerators from the cells of every unit. */
static void
remove_from_cells(const cells_t *cells, const job_t *job)
{
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		for (int m = 0; m < unit->members; m++)
			remove_from_cell(cells, unit, m, job);
	}
}

/*
 * Returns the accelerators of a workspace's jobs started as guaranteed,
 * bound or not.
 */
static uint32_t
guaranteed_mask(const worker_t *w, int worker, const char *workspace)
{
	uint32_t mask = 0;

	for (guint i = 0; i < w->jobs->len; i++) {
		const job_t *job = g_ptr_array_index(w->jobs, i);

		if (!job->started_guaranteed || job->workspace != workspace)
			continue;
		for (int p = 0; p < job->members; p++) {
			if (job->places[p].worker == worker)
				mask |= job->places[p].mask;
		}
	}
	return mask;
}

/* Adds accelerators from left to mask until it has the requested number. */
static uint32_t
add_bits(uint32_t mask, uint32_t left, int accelerators)
{
	while (__builtin_popcount(mask) < accelerators && left != 0) {
		mask |= left & -left;
		left &= left - 1;
	}
	return mask;
}

/*
 * Adds accelerators of the cell's block until the cell has its full size, those
 * with guaranteed jobs of its own workspace first.  `others` holds the
 * accelerators of the unit's other cells on the same worker.
 */
static void
complete_cell(
    const cells_t *cells, const unit_t *unit, uint32_t others, place_t *cell)
{
	const worker_t *w = cells_worker_at(cells, cell->worker);
	uint32_t block = block_around(unit, cell->mask) & ~others;
	uint32_t own = guaranteed_mask(w, cell->worker, unit->workspace) &
		       block & ~w->reserved & ~cell->mask;
	uint32_t left = w->avail[VIEW_UNGUARANTEED] & block & ~cell->mask;

	cell->mask = add_bits(cell->mask, own, unit->accelerators);
	cell->mask = add_bits(cell->mask, left, unit->accelerators);
}

/* Moves a unit so that its cells contain the places of a job. */
static void
move_unit(const cells_t *cells, unit_t *unit, const job_t *job)
{
	place_t planned[MAX_MEMBERS];
	int count = plan_cells(cells, unit, job, planned);

	remove_from_cells(cells, job);
	cells_unit_clear(cells, unit);
	for (int m = 0; m < count; m++) {
		uint32_t others = 0;

		for (int k = 0; k < count; k++) {
			if (k != m && planned[k].worker == planned[m].worker)
				others |= planned[k].mask;
		}
		complete_cell(cells, unit, others, &planned[m]);
		cells_unit_set_cell(cells, unit, m, &planned[m]);
	}
}

/*
 * Binds a guaranteed job to its workspace's units.  If the job runs outside
 * their cells, an idle unit is moved to it.  Returns -EDQUOT when no idle unit
 * can hold the job.
 */
int
cells_bind(cells_t *cells, job_t *job)
{
	if (!cells_cover_job(cells, job)) {
		unit_t *unit = choose_unit(cells, job);

		if (unit == NULL)
			return -EDQUOT;
		move_unit(cells, unit, job);
	}
	job->guaranteed = true;
	for (int p = 0; p < job->members; p++) {
		worker_t *w = cells_worker_at(cells, job->places[p].worker);

		w->guaranteed |= job->places[p].mask;
		w->slots_guaranteed++;
	}
	count_job_in_cells(cells, job, 1);
	for (int p = 0; p < job->members; p++)
		cells_update_views(cells, job->places[p].worker);
	return 0;
}

/* Unbinds a job.  A unit that cells_bind moved keeps its new cells. */
void
cells_unbind(cells_t *cells, job_t *job)
{
	job->guaranteed = false;
	for (int p = 0; p < job->members; p++) {
		worker_t *w = cells_worker_at(cells, job->places[p].worker);

		w->guaranteed &= ~job->places[p].mask;
		w->slots_guaranteed--;
	}
	count_job_in_cells(cells, job, -1);
	for (int p = 0; p < job->members; p++)
		cells_update_views(cells, job->places[p].worker);
}

/*
 * Gives each new unit the cells of an old unit with the same workspace and
 * shape, the old units with the most bound members first.
 */
static void
carry_over_cells(cells_t *cells, GPtrArray *old)
{
	bool *kept = g_new0(bool, old->len + 1);

	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);
		const unit_t *from = NULL;
		guint chosen = 0;

		for (guint k = 0; k < old->len; k++) {
			const unit_t *unit_k = g_ptr_array_index(old, k);

			if (kept[k] || unit_k->workspace != unit->workspace ||
			    unit_k->members != unit->members ||
			    unit_k->accelerators != unit->accelerators ||
			    unit_k->adjacency != unit->adjacency ||
			    (from != NULL && unit_k->running <= from->running))
				continue;
			from = unit_k;
			chosen = k;
		}
		if (from == NULL)
			continue;
		kept[chosen] = true;
		unit->was_complete = cells_unit_is_complete(from);
		for (int m = 0; m < unit->members; m++) {
			place_t place = {
			    from->cells[m].worker, from->cells[m].mask};

			if (place.worker != CELLS_NONE)
				cells_unit_set_cell(cells, unit, m, &place);
		}
	}
	g_free(kept);
}

/* Sorts the jobs with the most accelerators first, then by id. */
static int
compare_jobs(const void *a, const void *b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;
	int size_x = x->members * x->accelerators;
	int size_y = y->members * y->accelerators;

	return size_x != size_y ? size_y - size_x : strcmp(x->id, y->id);
}

/* Marks or unmarks the accelerators of a job as used by guaranteed work. */
static void
mark_guaranteed(const cells_t *cells, const job_t *job, bool guaranteed)
{
	for (int p = 0; p < job->members; p++) {
		worker_t *w = cells_worker_at(cells, job->places[p].worker);

		if (guaranteed)
			w->guaranteed |= job->places[p].mask;
		else
			w->guaranteed &= ~job->places[p].mask;
		cells_update_views(cells, job->places[p].worker);
	}
}

/*
 * Binds jobs to new units: first the jobs inside cells that were carried over,
 * then the rest.  The accelerators of all jobs are marked as guaranteed
 * beforehand, so that no cell is extended over another workspace's guaranteed
 * job.
 */
static void
bind_all(cells_t *cells, GPtrArray *jobs)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		job->guaranteed = false;
		mark_guaranteed(cells, job, true);
	}
	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < jobs->len; i++) {
			job_t *job = g_ptr_array_index(jobs, i);

			if (!job->guaranteed &&
			    (pass > 0 || cells_cover_job(cells, job)))
				cells_bind(cells, job);
		}
	}
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		if (!job->guaranteed)
			mark_guaranteed(cells, job, false);
	}
}

/*
 * Replaces the guarantees and takes ownership of the array.  A guaranteed job
 * that the new set does not cover continues as opportunistic work.
 */
void
cells_apply_guarantees(cells_t *cells, GArray *guarantees)
{
	GPtrArray *old = cells->units;
	GPtrArray *jobs = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cells->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((job_t *)value)->started_guaranteed)
			g_ptr_array_add(jobs, value);
	}
	g_ptr_array_sort(jobs, compare_jobs);
	for (guint i = 0; i < cells->workers->len; i++) {
		worker_t *w = cells_worker_at(cells, (int)i);

		w->reserved = 0;
		w->guaranteed = 0;
		w->slots_reserved = 0;
		w->slots_guaranteed = 0;
		cells_update_views(cells, (int)i);
	}
	g_array_unref(cells->guarantees);
	cells->guarantees = guarantees;
	cells->units = cells_units_create(guarantees);
	carry_over_cells(cells, old);
	bind_all(cells, jobs);
	cells_place_incomplete_units(cells);
	g_ptr_array_unref(jobs);
	g_ptr_array_unref(old);
}
