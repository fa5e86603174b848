#include <errno.h>
#include <string.h>

#include "policy/cells_private.h"

/*
 * Each unit of a guarantee always has its own cells: accelerators reserved for
 * it, on which only its own workspace's guaranteed work and any opportunistic
 * work may run.  Cells of different units are disjoint, so stopping the
 * opportunistic work in them frees every guarantee at once.
 */

/*
 * Weight of a unit that had its cells: no other unit may get its place instead,
 * so that failed hardware puts no more at risk than it must.
 */
#define HONOURED_WEIGHT 100000

/* Orders tried when all unused units are placed anew. */
#define REFIT_ATTEMPTS 8

void
cells_unit_free(void *data)
{
	unit_t *unit = data;

	g_free(unit->cells);
	g_free(unit);
}

/* Returns the units of a set of guarantees (guarantee_t), none placed. */
GPtrArray *
cells_units_create(const GArray *guarantees)
{
	GPtrArray *units = g_ptr_array_new_with_free_func(cells_unit_free);

	for (guint i = 0; i < guarantees->len; i++) {
		const guarantee_t *g =
		    &g_array_index(guarantees, guarantee_t, i);

		for (int n = 0; n < g->count; n++) {
			unit_t *unit = g_new0(unit_t, 1);

			unit->guarantee = (int)i;
			unit->members = g->members;
			unit->accelerators = g->accelerators;
			unit->adjacency =
			    cells_tightest(g->members, g->adjacency);
			unit->workspace = g->workspace;
			unit->cells = g_new0(cell_t, (gsize)g->members);
			for (int m = 0; m < g->members; m++)
				unit->cells[m].worker = CELLS_NONE;
			g_ptr_array_add(units, unit);
		}
	}
	return units;
}

static bool
cell_is_whole(const unit_t *unit, const cell_t *cell)
{
	return cell->worker != CELLS_NONE &&
	       __builtin_popcount(cell->mask) >= unit->accelerators;
}

/* Whether every member of the unit has its accelerators. */
bool
cells_unit_is_whole(const unit_t *unit)
{
	for (int m = 0; m < unit->members; m++) {
		if (!cell_is_whole(unit, &unit->cells[m]))
			return false;
	}
	return true;
}

/*
 * Returns the adjacency to search with: one domain is all there is, and a
 * single member is adjacent to itself.
 */
adjacency_t
cells_tightest(int members, adjacency_t adjacency)
{
	return members == 1 || adjacency == ADJACENT_ANY ? ADJACENT_DOMAIN
							 : adjacency;
}

bool
cells_unit_same(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency)
{
	return unit->members == members && unit->accelerators == accelerators &&
	       unit->adjacency == cells_tightest(members, adjacency);
}

/* Whether a unit, wherever it is placed, has room for a smaller shape. */
bool
cells_unit_holds(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency)
{
	int level = cells_level(accelerators);
	bool even = unit->accelerators == 1 << cells_level(unit->accelerators);
	int fit = even ? unit->accelerators >> level : 1;

	if (accelerators > unit->accelerators)
		return false;
	if (unit->adjacency >= cells_tightest(members, adjacency))
		return members <= unit->members * fit;
	return members <= fit; /* one cell is always on one worker */
}

/* Places one member of a unit and reserves its accelerators. */
void
cells_unit_set_cell(
    const cells_t *cells, unit_t *unit, int member, const place_t *place)
{
	worker_t *w = cells_worker_at(cells, place->worker);

	unit->cells[member] = (cell_t){place->worker, place->mask, 0};
	w->reserved |= place->mask;
	w->slots_reserved++;
	cells_refresh(cells, place->worker);
}

/* Gives up the place of one member without work. */
void
cells_unit_clear_cell(const cells_t *cells, unit_t *unit, int member)
{
	cell_t *cell = &unit->cells[member];
	worker_t *w;

	if (cell->worker == CELLS_NONE || cell->work > 0)
		return;
	w = cells_worker_at(cells, cell->worker);
	w->reserved &= ~cell->mask;
	w->slots_reserved--;
	cells_refresh(cells, cell->worker);
	*cell = (cell_t){.worker = CELLS_NONE};
}

void
cells_unit_clear(const cells_t *cells, unit_t *unit)
{
	for (int m = 0; m < unit->members; m++)
		cells_unit_clear_cell(cells, unit, m);
}

/* Adds or takes off one guaranteed member inside a cell. */
void
cells_unit_work(const cells_t *cells, unit_t *unit, cell_t *cell, int sign)
{
	worker_t *w = cells_worker_at(cells, cell->worker);

	if (sign > 0 && cell->work == 0)
		w->slots_reserved--;
	cell->work += sign;
	unit->work += sign;
	if (sign < 0 && cell->work == 0)
		w->slots_reserved++;
	cells_refresh(cells, cell->worker);
}

/* The place that the members without work have to be adjacent to. */
static int
pinned_worker(const unit_t *unit)
{
	for (int m = 0; m < unit->members; m++) {
		if (unit->cells[m].work > 0)
			return unit->cells[m].worker;
	}
	return CELLS_NONE;
}

/* Finds places for the members that have none; all of them or -ENOSPC. */
static int
place_unit(const cells_t *cells, unit_t *unit, cells_view_t view)
{
	place_t places[MAX_MEMBERS];
	int pinned = pinned_worker(unit);
	int rack = CELLS_NONE;
	int missing = 0;
	int next = 0;
	int rc;

	if (pinned == CELLS_NONE && unit->adjacency >= ADJACENT_RACK &&
	    !cells_unit_is_whole(unit))
		cells_unit_clear(cells, unit);
	for (int m = 0; m < unit->members; m++)
		missing += unit->cells[m].worker == CELLS_NONE;
	if (missing == 0)
		return cells_unit_is_whole(unit) ? 0 : -ENOSPC;
	if (pinned != CELLS_NONE && unit->adjacency == ADJACENT_RACK)
		rack = cells_worker_at(cells, pinned)->rack;
	if (pinned != CELLS_NONE && unit->adjacency == ADJACENT_WORKER) {
		const worker_t *w = cells_worker_at(cells, pinned);

		rc = w->slots_left[view] >= missing &&
			     cells_fit_on_worker(w->avail[view], pinned,
				 missing, unit->accelerators, places)
			 ? 0
			 : -ENOSPC;
	} else {
		rc = cells_search(cells, view, missing, unit->accelerators,
		    unit->adjacency, rack, places);
	}
	if (rc != 0)
		return rc;
	for (int m = 0; m < unit->members; m++) {
		if (unit->cells[m].worker == CELLS_NONE)
			cells_unit_set_cell(cells, unit, m, &places[next++]);
	}
	return 0;
}

/* Larger and more adjacent units first, as they have the fewest places. */
static int
compare_units(const void *a, const void *b)
{
	const unit_t *x = *(unit_t *const *)a;
	const unit_t *y = *(unit_t *const *)b;
	int size_x = x->adjacency >= ADJACENT_RACK
			 ? x->members * x->accelerators
			 : x->accelerators;
	int size_y = y->adjacency >= ADJACENT_RACK
			 ? y->members * y->accelerators
			 : y->accelerators;

	if (size_x != size_y)
		return size_y - size_x;
	if (x->accelerators != y->accelerators)
		return y->accelerators - x->accelerators;
	return x->guarantee - y->guarantee;
}

/* Places units in the given order; returns the accelerators not placed. */
static int
place_in_order(const cells_t *cells, GPtrArray *order, GPtrArray *failed)
{
	int missing = 0;

	g_ptr_array_set_size(failed, 0);
	for (guint i = 0; i < order->len; i++) {
		unit_t *unit = g_ptr_array_index(order, i);

		if (place_unit(cells, unit, VIEW_HARD) == 0)
			continue;
		missing += unit->members * unit->accelerators;
		if (unit->honoured)
			missing += HONOURED_WEIGHT;
		g_ptr_array_add(failed, unit);
	}
	return missing;
}

/* Moves the failed units to the front, keeping the order otherwise. */
static void
move_to_front(GPtrArray *order, GPtrArray *failed)
{
	GPtrArray *rest = g_ptr_array_new();

	for (guint i = 0; i < order->len; i++) {
		if (!g_ptr_array_find(
			failed, g_ptr_array_index(order, i), NULL))
			g_ptr_array_add(rest, g_ptr_array_index(order, i));
	}
	g_ptr_array_set_size(order, 0);
	for (guint i = 0; i < failed->len; i++)
		g_ptr_array_add(order, g_ptr_array_index(failed, i));
	for (guint i = 0; i < rest->len; i++)
		g_ptr_array_add(order, g_ptr_array_index(rest, i));
	g_ptr_array_unref(rest);
}

/* Copies the cells of units, to be put back by cells_units_load. */
cell_t *
cells_units_save(GPtrArray *order)
{
	GArray *saved = g_array_new(FALSE, FALSE, sizeof(cell_t));

	for (guint i = 0; i < order->len; i++) {
		unit_t *unit = g_ptr_array_index(order, i);

		g_array_append_vals(saved, unit->cells, (guint)unit->members);
	}
	return (cell_t *)(void *)g_array_free(saved, FALSE);
}

/* Puts back the cells without work; the others have not moved. */
void
cells_units_load(const cells_t *cells, GPtrArray *order, const cell_t *saved)
{
	for (guint i = 0; i < order->len; i++)
		cells_unit_clear(cells, g_ptr_array_index(order, i));
	for (guint i = 0; i < order->len; i++) {
		unit_t *unit = g_ptr_array_index(order, i);

		for (int m = 0; m < unit->members; m++, saved++) {
			place_t place = {saved->worker, saved->mask};

			if (saved->worker != CELLS_NONE &&
			    unit->cells[m].worker == CELLS_NONE)
				cells_unit_set_cell(cells, unit, m, &place);
		}
	}
}

/*
 * Places every unit without work anew and keeps the best outcome, if it leaves
 * fewer accelerators without a place than missing_before.
 */
static void
refit(cells_t *cells, int missing_before)
{
	GPtrArray *order = g_ptr_array_new();
	GPtrArray *sequence;
	GPtrArray *failed = g_ptr_array_new();
	cell_t *best;
	int best_missing = missing_before;

	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->work == 0)
			g_ptr_array_add(order, unit);
	}
	g_ptr_array_sort(order, compare_units);
	sequence = g_ptr_array_copy(order, NULL, NULL);
	best = cells_units_save(order);
	for (int n = 0; n < REFIT_ATTEMPTS && best_missing > 0; n++) {
		int missing;

		if (n > 0)
			move_to_front(sequence, failed);
		for (guint i = 0; i < order->len; i++)
			cells_unit_clear(cells, g_ptr_array_index(order, i));
		missing = place_in_order(cells, sequence, failed);
		if (missing < best_missing) {
			g_free(best);
			best = cells_units_save(order);
			best_missing = missing;
		}
	}
	cells_units_load(cells, order, best);
	g_free(best);
	g_ptr_array_unref(failed);
	g_ptr_array_unref(sequence);
	g_ptr_array_unref(order);
}

/* Gives up cells that can't serve: on failed hardware or not complete. */
static void
clear_broken(const cells_t *cells, unit_t *unit)
{
	for (int m = 0; m < unit->members; m++) {
		cell_t *cell = &unit->cells[m];
		const worker_t *w;

		if (cell->worker == CELLS_NONE || cell->work > 0)
			continue;
		w = cells_worker_at(cells, cell->worker);
		if (!w->usable || !w->present || !cell_is_whole(unit, cell))
			cells_unit_clear_cell(cells, unit, m);
	}
}

/* Places units that lack cells, where nothing runs if possible. */
static void
place_missing(const cells_t *cells, bool honoured)
{
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->honoured == honoured && !cells_unit_is_whole(unit) &&
		    place_unit(cells, unit, VIEW_OPEN) != 0)
			place_unit(cells, unit, VIEW_HARD);
	}
}

/*
 * Gives a place to every unit that has none, where nothing runs if possible.
 * What can't be placed is at risk until hardware returns.
 */
void
cells_repair(cells_t *cells)
{
	int missing = 0;
	bool movable = false;

	for (guint i = 0; i < cells->units->len; i++)
		clear_broken(cells, g_ptr_array_index(cells->units, i));
	place_missing(cells, true);
	place_missing(cells, false);
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		unit->honoured = cells_unit_is_whole(unit);
		if (!unit->honoured && unit->work == 0) {
			missing += unit->members * unit->accelerators;
			movable = true;
		}
	}
	if (!movable)
		return;
	refit(cells, missing);
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		unit->honoured = cells_unit_is_whole(unit);
	}
}

/*
 * Returns the first guarantee that can't be placed together with the others on
 * the whole hardware without any work, CELLS_NONE when all fit.
 */
int
cells_fit_empty(const cells_t *cells, const GArray *guarantees)
{
	cells_t *empty = cells_create();
	int first = CELLS_NONE;

	for (guint i = 0; i < cells->workers->len; i++) {
		const worker_t *w = cells_worker_at(cells, (int)i);
		const rack_t *rack =
		    g_ptr_array_index(cells->racks, (guint)w->rack);

		if (w->present)
			cells_add_worker(empty, w->id, rack->name,
			    w->accelerators, w->slots);
	}
	g_ptr_array_unref(empty->units);
	empty->units = cells_units_create(guarantees);
	refit(empty, INT_MAX);
	for (guint i = 0; i < empty->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(empty->units, i);

		if (first == CELLS_NONE && !cells_unit_is_whole(unit))
			first = unit->guarantee;
	}
	cells_destroy(empty);
	return first;
}
