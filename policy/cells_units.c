#include <errno.h>
#include <string.h>

#include "policy/cells_private.h"

/*
 * Each unit of a guarantee has its own cells: accelerators reserved for it, on
 * which only guaranteed jobs of its workspace and opportunistic jobs of any
 * workspace may run.  Cells of different units are disjoint, so stopping the
 * opportunistic jobs in them makes all guarantees claimable at once.
 */

/*
 * Penalty, in accelerators, for leaving a unit unplaced that had its cells
 * before.  It outweighs placing any other units instead, so that a hardware
 * failure does not put more units at risk than necessary.
 */
#define DISPLACED_PENALTY 100000

/* Placement orders to try when all idle units are placed again. */
#define REPACK_ATTEMPTS 8

void
cells_unit_free(void *data)
{
	unit_t *unit = data;

	g_free(unit->cells);
	g_free(unit);
}

/* Creates the units of an array of guarantee_t, none of them placed. */
GPtrArray *
cells_units_create(const GArray *guarantees)
{
	GPtrArray *units = g_ptr_array_new_with_free_func(cells_unit_free);

	for (guint i = 0; i < guarantees->len; i++) {
		const guarantee_t *g =
		    &g_array_index(guarantees, guarantee_t, i);

		for (int n = 0; n < g->count; n++) {
			unit_t *unit = g_new0(unit_t, 1);

			unit->guarantee_index = (int)i;
			unit->members = g->members;
			unit->accelerators = g->accelerators;
			unit->adjacency =
			    cells_effective_adjacency(g->members, g->adjacency);
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
cell_is_complete(const unit_t *unit, const cell_t *cell)
{
	return cell->worker != CELLS_NONE &&
	       __builtin_popcount(cell->mask) >= unit->accelerators;
}

/* Whether every member of the unit has a cell of full size. */
bool
cells_unit_is_complete(const unit_t *unit)
{
	for (int m = 0; m < unit->members; m++) {
		if (!cell_is_complete(unit, &unit->cells[m]))
			return false;
	}
	return true;
}

/*
 * Returns the adjacency to search with.  ADJACENT_ANY means ADJACENT_DOMAIN
 * here, as there is only one domain, and a single member needs no adjacency.
 */
adjacency_t
cells_effective_adjacency(int members, adjacency_t adjacency)
{
	return members == 1 || adjacency == ADJACENT_ANY ? ADJACENT_DOMAIN
							 : adjacency;
}

bool
cells_unit_has_shape(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency)
{
	return unit->members == members && unit->accelerators == accelerators &&
	       unit->adjacency == cells_effective_adjacency(members, adjacency);
}

/* Whether a unit, wherever it is placed, can hold a shape. */
bool
cells_unit_can_hold(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency)
{
	int level = cells_level(accelerators);
	bool is_power_of_two =
	    unit->accelerators == 1 << cells_level(unit->accelerators);
	int members_per_cell =
	    is_power_of_two ? unit->accelerators >> level : 1;

	if (accelerators > unit->accelerators)
		return false;
	/* The enum orders adjacencies from loosest to tightest. */
	if (unit->adjacency >= cells_effective_adjacency(members, adjacency))
		return members <= unit->members * members_per_cell;
	return members <=
	       members_per_cell; /* within one cell, so on one worker */
}

/* Sets the cell of one member; reserves its accelerators and a slot. */
void
cells_unit_set_cell(
    const cells_t *cells, unit_t *unit, int member, const place_t *place)
{
	worker_t *w = cells_worker_at(cells, place->worker);

	unit->cells[member] = (cell_t){place->worker, place->mask, 0};
	w->reserved |= place->mask;
	w->slots_reserved++;
	cells_update_views(cells, place->worker);
}

/* Clears the cell of one member unless a guaranteed job runs in it. */
void
cells_unit_clear_cell(const cells_t *cells, unit_t *unit, int member)
{
	cell_t *cell = &unit->cells[member];
	worker_t *w;

	if (cell->worker == CELLS_NONE || cell->running > 0)
		return;
	w = cells_worker_at(cells, cell->worker);
	w->reserved &= ~cell->mask;
	w->slots_reserved--;
	cells_update_views(cells, cell->worker);
	*cell = (cell_t){.worker = CELLS_NONE};
}

void
cells_unit_clear(const cells_t *cells, unit_t *unit)
{
	for (int m = 0; m < unit->members; m++)
		cells_unit_clear_cell(cells, unit, m);
}

/*
 * Adds (sign 1) or removes (-1) one guaranteed job member in a cell.  The first
 * member uses the slot reserved for the cell; the last one gives it back.
 */
void
cells_unit_add_member(
    const cells_t *cells, unit_t *unit, cell_t *cell, int sign)
{
	worker_t *w = cells_worker_at(cells, cell->worker);

	if (sign > 0 && cell->running == 0)
		w->slots_reserved--;
	cell->running += sign;
	unit->running += sign;
	if (sign < 0 && cell->running == 0)
		w->slots_reserved++;
	cells_update_views(cells, cell->worker);
}

/*
 * Returns the worker of a cell in which a guaranteed job runs, or CELLS_NONE if
 * the unit is idle.
 */
static int
worker_in_use(const unit_t *unit)
{
	for (int m = 0; m < unit->members; m++) {
		if (unit->cells[m].running > 0)
			return unit->cells[m].worker;
	}
	return CELLS_NONE;
}

/*
 * Gives a cell to each member without one, adjacent to the cells in use.  First
 * gives up all cells of an idle, incomplete unit with rack or worker adjacency.
 * Returns -ENOSPC when not all members can get one.
 */
static int
place_unit(const cells_t *cells, unit_t *unit, cells_view_t view)
{
	place_t places[MAX_MEMBERS];
	int in_use = worker_in_use(unit);
	int rack = CELLS_NONE;
	int missing = 0;
	int next = 0;
	int rc;

	if (in_use == CELLS_NONE && unit->adjacency >= ADJACENT_RACK &&
	    !cells_unit_is_complete(unit))
		cells_unit_clear(cells, unit);
	for (int m = 0; m < unit->members; m++)
		missing += unit->cells[m].worker == CELLS_NONE;
	if (missing == 0)
		return cells_unit_is_complete(unit) ? 0 : -ENOSPC;
	if (in_use != CELLS_NONE && unit->adjacency == ADJACENT_RACK)
		rack = cells_worker_at(cells, in_use)->rack;
	if (in_use != CELLS_NONE && unit->adjacency == ADJACENT_WORKER) {
		const worker_t *w = cells_worker_at(cells, in_use);

		rc = w->slots_left[view] >= missing &&
			     cells_fit_on_worker(w->avail[view], in_use,
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

/* Sorts large, tightly adjacent units first, as they fit in fewest places. */
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
	return x->guarantee_index - y->guarantee_index;
}

/*
 * Places units in the given order and collects those that do not fit.  Returns
 * a cost: the accelerators not placed, plus DISPLACED_PENALTY per failed unit
 * that was complete.
 */
static int
place_in_order(const cells_t *cells, GPtrArray *order, GPtrArray *failed)
{
	int cost = 0;

	g_ptr_array_set_size(failed, 0);
	for (guint i = 0; i < order->len; i++) {
		unit_t *unit = g_ptr_array_index(order, i);

		if (place_unit(cells, unit, VIEW_UNGUARANTEED) == 0)
			continue;
		cost += unit->members * unit->accelerators;
		if (unit->was_complete)
			cost += DISPLACED_PENALTY;
		g_ptr_array_add(failed, unit);
	}
	return cost;
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

/* Copies the cells of units for cells_units_restore; the caller frees them. */
cell_t *
cells_units_save(GPtrArray *units)
{
	GArray *saved = g_array_new(FALSE, FALSE, sizeof(cell_t));

	for (guint i = 0; i < units->len; i++) {
		unit_t *unit = g_ptr_array_index(units, i);

		g_array_append_vals(saved, unit->cells, (guint)unit->members);
	}
	return (cell_t *)(void *)g_array_free(saved, FALSE);
}

/* Restores the cells without guaranteed jobs; the others never move. */
void
cells_units_restore(const cells_t *cells, GPtrArray *units, const cell_t *saved)
{
	for (guint i = 0; i < units->len; i++)
		cells_unit_clear(cells, g_ptr_array_index(units, i));
	for (guint i = 0; i < units->len; i++) {
		unit_t *unit = g_ptr_array_index(units, i);

		for (int m = 0; m < unit->members; m++, saved++) {
			place_t place = {saved->worker, saved->mask};

			if (saved->worker != CELLS_NONE &&
			    unit->cells[m].worker == CELLS_NONE)
				cells_unit_set_cell(cells, unit, m, &place);
		}
	}
}

/*
 * Places all idle units again, in several orders, and keeps the result with the
 * least cost (see place_in_order) if it is below cost_before; otherwise the
 * cells stay as they were.
 */
static void
repack_idle_units(cells_t *cells, int cost_before)
{
	GPtrArray *units = g_ptr_array_new();
	GPtrArray *order;
	GPtrArray *failed = g_ptr_array_new();
	cell_t *best;
	int best_cost = cost_before;

	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->running == 0)
			g_ptr_array_add(units, unit);
	}
	g_ptr_array_sort(units, compare_units);
	order = g_ptr_array_copy(units, NULL, NULL);
	best = cells_units_save(units);
	for (int n = 0; n < REPACK_ATTEMPTS && best_cost > 0; n++) {
		int cost;

		if (n > 0)
			move_to_front(order, failed);
		for (guint i = 0; i < units->len; i++)
			cells_unit_clear(cells, g_ptr_array_index(units, i));
		cost = place_in_order(cells, order, failed);
		if (cost < best_cost) {
			g_free(best);
			best = cells_units_save(units);
			best_cost = cost;
		}
	}
	cells_units_restore(cells, units, best);
	g_free(best);
	g_ptr_array_unref(failed);
	g_ptr_array_unref(order);
	g_ptr_array_unref(units);
}

/* Clears idle cells that are too small or on failed or removed workers. */
static void
clear_unusable_cells(const cells_t *cells, unit_t *unit)
{
	for (int m = 0; m < unit->members; m++) {
		cell_t *cell = &unit->cells[m];
		const worker_t *w;

		if (cell->worker == CELLS_NONE || cell->running > 0)
			continue;
		w = cells_worker_at(cells, cell->worker);
		if (!w->usable || !w->present || !cell_is_complete(unit, cell))
			cells_unit_clear_cell(cells, unit, m);
	}
}

/*
 * Places the incomplete units whose was_complete has the given value,
 * preferably where nothing runs.
 */
static void
place_incomplete_pass(const cells_t *cells, bool was_complete)
{
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		if (unit->was_complete == was_complete &&
		    !cells_unit_is_complete(unit) &&
		    place_unit(cells, unit, VIEW_UNRESERVED) != 0)
			place_unit(cells, unit, VIEW_UNGUARANTEED);
	}
}

/*
 * Places every incomplete unit, preferably where nothing runs, and moves idle
 * units if necessary.  Units that cannot be placed are at risk until hardware
 * becomes available.
 */
void
cells_place_incomplete_units(cells_t *cells)
{
	int missing = 0;
	bool repack_needed = false;

	for (guint i = 0; i < cells->units->len; i++)
		clear_unusable_cells(cells, g_ptr_array_index(cells->units, i));
	place_incomplete_pass(cells, true);
	place_incomplete_pass(cells, false);
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		unit->was_complete = cells_unit_is_complete(unit);
		if (!unit->was_complete && unit->running == 0) {
			missing += unit->members * unit->accelerators;
			repack_needed = true;
		}
	}
	if (!repack_needed)
		return;
	repack_idle_units(cells, missing);
	for (guint i = 0; i < cells->units->len; i++) {
		unit_t *unit = g_ptr_array_index(cells->units, i);

		unit->was_complete = cells_unit_is_complete(unit);
	}
}

/*
 * Returns the index of the first guarantee for which no placement together
 * with the others was found on idle, fully usable hardware, or CELLS_NONE when
 * all were placed.  Tries only REPACK_ATTEMPTS orders, so it may miss a
 * placement.
 */
int
cells_first_unplaceable(const cells_t *cells, const GArray *guarantees)
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
	repack_idle_units(empty, INT_MAX);
	for (guint i = 0; i < empty->units->len; i++) {
		const unit_t *unit = g_ptr_array_index(empty->units, i);

		if (first == CELLS_NONE && !cells_unit_is_complete(unit))
			first = unit->guarantee_index;
	}
	cells_destroy(empty);
	return first;
}
