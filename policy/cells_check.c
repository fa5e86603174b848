#include <errno.h>

#include "policy/cells_private.h"

/* What the check has counted on one worker so far. */
typedef struct {
	uint32_t work;  /* accelerators of guaranteed jobs */
	uint32_t cells; /* accelerators of cells */
	int slots;      /* of guaranteed jobs and idle cells */
} tally_t;

/* Counts the accelerators and slots of guaranteed jobs. */
static int
count_jobs(const cells_t *cells, tally_t *tally, err_t *err)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cells->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (!job->guaranteed)
			continue;
		for (int p = 0; p < job->members; p++) {
			tally_t *t = &tally[job->places[p].worker];

			if ((t->work & job->places[p].mask) != 0)
				return err_set(err, -EIO, "cells",
				    job->workspace,
				    "job %s shares accelerators with other "
				    "guaranteed work",
				    job->id);
			t->work |= job->places[p].mask;
			t->slots++;
		}
	}
	return 0;
}

/*
 * Counts one cell of a unit.  Its accelerators must lie in one aligned block,
 * and must be claimable if no guaranteed job runs in the cell.
 */
static int
check_cell(const cells_t *cells, const unit_t *unit, const cell_t *cell,
    tally_t *tally, err_t *err)
{
	const worker_t *w = cells_worker_at(cells, cell->worker);
	tally_t *t = &tally[cell->worker];
	int level = cells_level(unit->accelerators);
	int first = __builtin_ctz(cell->mask) >> level;
	int last = (31 - __builtin_clz(cell->mask)) >> level;

	if (first != last)
		return err_set(err, -EIO, "cells", unit->workspace,
		    "a cell on worker %s spans more than one block", w->id);
	if ((t->cells & cell->mask) != 0)
		return err_set(err, -EIO, "cells", unit->workspace,
		    "two cells overlap on worker %s", w->id);
	t->cells |= cell->mask;
	if (cell->running > 0)
		return 0;
	if (!w->usable || !w->present || (t->work & cell->mask) != 0)
		return err_set(err, -EIO, "cells", unit->workspace,
		    "an idle cell on worker %s can't be claimed", w->id);
	if (++t->slots > w->slots)
		return err_set(err, -EIO, "cells", unit->workspace,
		    "no slot on worker %s is left for an idle cell", w->id);
	return 0;
}

/* Counts the cells of one unit and checks their adjacency. */
static int
check_unit(const cells_t *cells, const unit_t *unit, tally_t *tally, err_t *err)
{
	const cell_t *first = NULL;

	for (int m = 0; m < unit->members; m++) {
		const cell_t *cell = &unit->cells[m];
		int rc;

		if (cell->worker == CELLS_NONE)
			continue;
		rc = check_cell(cells, unit, cell, tally, err);
		if (rc != 0)
			return rc;
		if (first == NULL)
			first = cell;
		if ((unit->adjacency == ADJACENT_WORKER &&
			cell->worker != first->worker) ||
		    (unit->adjacency == ADJACENT_RACK &&
			cells_worker_at(cells, cell->worker)->rack !=
			    cells_worker_at(cells, first->worker)->rack))
			return err_set(err, -EIO, "cells", unit->workspace,
			    "the cells of one unit of a guarantee are not "
			    "adjacent");
	}
	return 0;
}

/*
 * Verifies that all guarantees can be claimed at once: if every opportunistic
 * job were stopped, each unit of each guarantee would have its cells.  Does not
 * rely on the block counts and views that searches use.  -ENOSPC: err names a
 * workspace whose guarantee is at risk for lack of usable hardware; the other
 * guarantees can be claimed.  -EIO: the records are inconsistent, a bug in this
 * module.
 */
int
cells_check(const cells_t *cells, err_t *err)
{
	tally_t *tally = g_new0(tally_t, (gsize)cells->workers->len + 1);
	const unit_t *at_risk = NULL;
	int rc = count_jobs(cells, tally, err);

	for (guint i = 0; rc == 0 && i < cells->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(cells->units, i);

		rc = check_unit(cells, unit, tally, err);
		if (rc == 0 && at_risk == NULL && !cells_unit_is_complete(unit))
			at_risk = unit;
	}
	for (guint i = 0; rc == 0 && i < cells->workers->len; i++) {
		const worker_t *w = cells_worker_at(cells, (int)i);

		if ((tally[i].work & ~tally[i].cells) != 0)
			rc = err_set(err, -EIO, "cells", w->id,
			    "guaranteed work on worker %s is outside every "
			    "guarantee",
			    w->id);
	}
	if (rc == 0 && at_risk != NULL)
		rc = err_set(err, -ENOSPC, "cells", at_risk->workspace,
		    "the guarantee of %d x %d accelerators of workspace %s is "
		    "at risk: no usable hardware is left for it",
		    at_risk->members, at_risk->accelerators,
		    at_risk->workspace);
	g_free(tally);
	return rc;
}
