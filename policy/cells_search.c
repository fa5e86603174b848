#include <errno.h>
#include <string.h>

#include "policy/cells_private.h"

/* Cost of an accelerator that is not preferred; outweighs the other terms. */
#define OTHER_COST 1024

/* Returns the level of the smallest block with enough accelerators. */
int
cells_level(int accelerators)
{
	int level = 0;

	while ((1 << level) < accelerators)
		level++;
	return level;
}

/* Returns a mask of the given number of lowest accelerators. */
uint32_t
cells_low_mask(int accelerators)
{
	return accelerators >= CELLS_MAX_ACCELERATORS
		   ? UINT32_MAX
		   : (1u << accelerators) - 1;
}

static uint32_t
block_mask(int level, int index)
{
	return cells_low_mask(1 << level) << (index << level);
}

/* Returns a subset of avail of the given size, largest aligned blocks first. */
static uint32_t
take_bits(uint32_t avail, int accelerators)
{
	uint32_t taken = 0;

	for (int level = CELLS_LEVELS - 1; level >= 0; level--) {
		for (int i = 0; i < (CELLS_MAX_ACCELERATORS >> level); i++) {
			uint32_t block = block_mask(level, i);

			if ((1 << level) > accelerators)
				break;
			if ((avail & ~taken & block) != block)
				continue;
			taken |= block;
			accelerators -= 1 << level;
		}
	}
	return taken;
}

/*
 * Chooses the accelerators of one member inside one aligned block of avail.
 * Returns 0 when no block has enough.  Prefers the block that uses the fewest
 * accelerators outside prefer, then the one whose enclosing blocks have the
 * fewest accelerators available, to limit fragmentation.
 */
uint32_t
cells_choose_block(uint32_t avail, int accelerators, uint32_t prefer)
{
	int level = cells_level(accelerators);
	uint32_t best = 0;
	int best_cost = 0;

	for (int i = 0; i < (CELLS_MAX_ACCELERATORS >> level); i++) {
		uint32_t inside = avail & block_mask(level, i);
		uint32_t mask;
		int cost;

		if (avail >> (i << level) == 0)
			break;
		if (__builtin_popcount(inside) < accelerators)
			continue;
		if (__builtin_popcount(inside & prefer) >= accelerators)
			inside &= prefer;
		mask = __builtin_popcount(inside) == accelerators
			   ? inside
			   : take_bits(inside, accelerators);
		cost = __builtin_popcount(mask & ~prefer) * OTHER_COST;
		for (int up = level; up < CELLS_LEVELS; up++)
			cost += __builtin_popcount(
			    avail & block_mask(up, i >> (up - level)));
		if (best == 0 || cost < best_cost) {
			best = mask;
			best_cost = cost;
		}
	}
	return best;
}

worker_t *
cells_worker_at(const cells_t *cells, int worker)
{
	return g_ptr_array_index(cells->workers, (guint)worker);
}

static rack_t *
rack_at(const cells_t *cells, int rack)
{
	return g_ptr_array_index(cells->racks, (guint)rack);
}

/* Adds (sign 1) or removes (-1) the blocks of one worker in counts. */
static void
add_block_counts(block_counts_t *counts, uint32_t avail, int sign)
{
	uint32_t whole = avail; /* first accelerators of full blocks */

	counts->total += sign * __builtin_popcount(avail);
	for (int level = 0; level < CELLS_LEVELS; level++) {
		uint32_t larger = 0;
		int count = __builtin_popcount(whole);

		counts->blocks[level] += sign * count;
		if (level + 1 < CELLS_LEVELS) {
			/* First accelerators of blocks of the next level. */
			static const uint32_t starts[] = {0x55555555,
			    0x11111111, 0x01010101, 0x00010001, 0x00000001};

			larger =
			    whole & (whole >> (1 << level)) & starts[level];
		}
		counts->maximal[level] +=
		    sign * (count - 2 * __builtin_popcount(larger));
		whole = larger;
	}
}

/* Sets the available accelerators of a worker and updates its rack's counts. */
void
cells_set_avail(
    const cells_t *cells, int worker, cells_view_t view, uint32_t mask)
{
	worker_t *w = cells_worker_at(cells, worker);
	block_counts_t *counts = &rack_at(cells, w->rack)->counts[view];

	if (w->avail[view] == mask)
		return;
	add_block_counts(counts, w->avail[view], -1);
	add_block_counts(counts, mask, 1);
	w->avail[view] = mask;
}

/* Recomputes every view of a worker from its jobs, reservations and holds. */
void
cells_update_views(const cells_t *cells, int worker)
{
	worker_t *w = cells_worker_at(cells, worker);
	uint32_t all = w->present ? cells_low_mask(w->accelerators) : 0;
	uint32_t usable_mask = w->usable && !w->excluded ? all : 0;
	uint32_t masks[VIEW_COUNT] = {
	    [VIEW_UNRESERVED] =
		usable_mask & ~w->used & ~w->held & ~w->reserved,
	    [VIEW_FREE] = usable_mask & ~w->used & ~w->held,
	    [VIEW_UNGUARANTEED] = usable_mask & ~w->guaranteed & ~w->reserved,
	    [VIEW_ALL] = all,
	    [VIEW_ASSUMED] =
		usable_mask & (~w->used | w->assumed_free) & ~w->held,
	};

	w->slots_left[VIEW_FREE] = w->slots - w->slots_used;
	w->slots_left[VIEW_UNGUARANTEED] =
	    w->slots - w->slots_guaranteed - w->slots_reserved;
	/*
	 * Excludes the reserved slots: otherwise, jobs that need only a slot
	 * took the last ones of workers with reserved cells and left 826 of
	 * 3,000 accelerators unusable for lack of a slot.
	 */
	w->slots_left[VIEW_UNRESERVED] =
	    w->slots_left[VIEW_FREE] - w->slots_reserved;
	if (w->excluded) {
		w->slots_left[VIEW_FREE] = 0;
		w->slots_left[VIEW_UNGUARANTEED] = 0;
		w->slots_left[VIEW_UNRESERVED] = 0;
	}
	w->slots_left[VIEW_ALL] = w->slots;
	w->slots_left[VIEW_ASSUMED] =
	    w->slots_left[VIEW_FREE] + w->slots_assumed_free;
	for (int view = 0; view < VIEW_COUNT; view++)
		cells_set_avail(cells, worker, (cells_view_t)view,
		    w->slots_left[view] > 0 ? masks[view] : 0);
}

/* Marks a place as used in one view until unoccupy is called. */
static void
occupy(const cells_t *cells, cells_view_t view, const place_t *place)
{
	worker_t *w = cells_worker_at(cells, place->worker);

	w->slots_left[view]--;
	cells_set_avail(cells, place->worker, view,
	    w->slots_left[view] > 0 ? w->avail[view] & ~place->mask : 0);
}

/* Reverts occupy for the first count places. */
static void
unoccupy(const cells_t *cells, const place_t *places, int count)
{
	for (int i = 0; i < count; i++)
		cells_update_views(cells, places[i].worker);
}

/*
 * Finds a worker of a rack with a maximal block of exactly the given level, the
 * one with the fewest available accelerators, and chooses a block there.
 */
static bool
pick_in_rack(const cells_t *cells, cells_view_t view, int rack, int level,
    int accelerators, place_t *place)
{
	const rack_t *r = rack_at(cells, rack);
	int best_total = 0;

	place->worker = CELLS_NONE;
	for (guint i = 0; i < r->workers->len; i++) {
		int id = g_array_index(r->workers, int, i);
		uint32_t avail = cells_worker_at(cells, id)->avail[view];
		int total = __builtin_popcount(avail);
		block_counts_t counts = {0};

		if (total < accelerators ||
		    (place->worker != CELLS_NONE && total >= best_total))
			continue;
		add_block_counts(&counts, avail, 1);
		if (counts.maximal[level] == 0)
			continue;
		place->worker = id;
		best_total = total;
	}
	if (place->worker == CELLS_NONE)
		return false;
	place->mask = cells_choose_block(
	    cells_worker_at(cells, place->worker)->avail[view], accelerators,
	    UINT32_MAX);
	return true;
}

/*
 * Finds the place of a member by scanning all workers: for sizes that are not a
 * power of two, and for members that need only a slot.
 */
static bool
pick_by_scan(const cells_t *cells, cells_view_t view, int rack,
    int accelerators, place_t *place)
{
	const GArray *in_rack =
	    rack != CELLS_NONE ? rack_at(cells, rack)->workers : NULL;
	guint count = in_rack != NULL ? in_rack->len : cells->workers->len;
	int best_rank = 0;

	place->worker = CELLS_NONE;
	for (guint i = 0; i < count; i++) {
		int id =
		    in_rack != NULL ? g_array_index(in_rack, int, i) : (int)i;
		const worker_t *w = cells_worker_at(cells, id);
		int total = __builtin_popcount(w->avail[view]);
		int rank = total;
		uint32_t mask = 0;

		/* Prefers most slots beyond the free accelerators. */
		if (accelerators == 0)
			rank = total - w->slots_left[view];
		if (!w->present || (!w->usable && view != VIEW_ALL) ||
		    w->slots_left[view] <= 0 || total < accelerators ||
		    (place->worker != CELLS_NONE && rank >= best_rank))
			continue;
		if (accelerators > 0)
			mask = cells_choose_block(
			    w->avail[view], accelerators, UINT32_MAX);
		if (accelerators > 0 && mask == 0)
			continue;
		*place = (place_t){id, mask};
		best_rank = rank;
	}
	return place->worker != CELLS_NONE;
}

/*
 * Finds the place of one member: the smallest maximal block that is large
 * enough, in the rack with the fewest available accelerators, so that larger
 * blocks stay unfragmented.
 */
static bool
pick(const cells_t *cells, cells_view_t view, int rack, int accelerators,
    place_t *place)
{
	int level = cells_level(accelerators);

	if (accelerators != 1 << level)
		return pick_by_scan(cells, view, rack, accelerators, place);
	for (; level < CELLS_LEVELS; level++) {
		int best = CELLS_NONE;

		if (rack != CELLS_NONE) {
			if (rack_at(cells, rack)->counts[view].maximal[level] >
			    0)
				best = rack;
		} else {
			int best_total = 0;

			for (guint i = 0; i < cells->racks->len; i++) {
				const block_counts_t *counts =
				    &rack_at(cells, (int)i)->counts[view];

				if (counts->maximal[level] == 0 ||
				    (best != CELLS_NONE &&
					counts->total >= best_total))
					continue;
				best = (int)i;
				best_total = counts->total;
			}
		}
		if (best != CELLS_NONE)
			return pick_in_rack(
			    cells, view, best, level, accelerators, place);
	}
	return false;
}

/* Places members one by one in a rack, or anywhere if rack is CELLS_NONE. */
static int
search_greedy(const cells_t *cells, cells_view_t view, int members,
    int accelerators, int rack, place_t *places)
{
	int i;

	for (i = 0; i < members; i++) {
		if (!pick(cells, view, rack, accelerators, &places[i]))
			break;
		occupy(cells, view, &places[i]);
	}
	unoccupy(cells, places, i);
	return i == members ? 0 : -ENOSPC;
}

/* Tries the racks that may hold the shape, fewest available first. */
static int
search_rack(const cells_t *cells, cells_view_t view, int members,
    int accelerators, place_t *places)
{
	int level = cells_level(accelerators);
	bool exact = accelerators == 1 << level;
	bool *tried = g_new0(bool, cells->racks->len + 1);
	int rc = -ENOSPC;

	while (rc != 0) {
		int best = CELLS_NONE;
		int best_available = 0;

		for (guint i = 0; i < cells->racks->len; i++) {
			const block_counts_t *counts =
			    &rack_at(cells, (int)i)->counts[view];
			int available =
			    exact ? counts->blocks[level] : counts->total;
			int need = exact ? members : members * accelerators;

			if (tried[i] || available < need ||
			    (best != CELLS_NONE && available >= best_available))
				continue;
			best = (int)i;
			best_available = available;
		}
		if (best == CELLS_NONE)
			break;
		tried[best] = true;
		rc = search_greedy(
		    cells, view, members, accelerators, best, places);
	}
	g_free(tried);
	return rc;
}

/* Places all members on one worker; false when they do not fit there. */
bool
cells_fit_on_worker(
    uint32_t avail, int worker, int members, int accelerators, place_t *places)
{
	for (int i = 0; i < members; i++) {
		uint32_t mask = 0;

		if (accelerators > 0)
			mask =
			    cells_choose_block(avail, accelerators, UINT32_MAX);
		if (accelerators > 0 && mask == 0)
			return false;
		avail &= ~mask;
		places[i] = (place_t){worker, mask};
	}
	return true;
}

/* Finds the worker with the fewest available accelerators for all members. */
static int
search_worker(const cells_t *cells, cells_view_t view, int members,
    int accelerators, int rack, place_t *places)
{
	place_t tried[MAX_MEMBERS];
	int best_total = 0;
	bool found = false;

	for (guint i = 0; i < cells->workers->len; i++) {
		const worker_t *w = cells_worker_at(cells, (int)i);
		int total = __builtin_popcount(w->avail[view]);

		if (total < members * accelerators || !w->present ||
		    (!w->usable && view != VIEW_ALL) ||
		    w->slots_left[view] < members ||
		    (rack != CELLS_NONE && w->rack != rack) ||
		    (found && total >= best_total))
			continue;
		if (!cells_fit_on_worker(
			w->avail[view], (int)i, members, accelerators, tried))
			continue;
		memcpy(places, tried, sizeof(*tried) * (size_t)members);
		best_total = total;
		found = true;
	}
	return found ? 0 : -ENOSPC;
}

/*
 * Finds places for a shape among the accelerators and slots of a view, in the
 * given rack, or in any if rack is CELLS_NONE.  Returns -ENOSPC when there are
 * none.
 */
int
cells_search(const cells_t *cells, cells_view_t view, int members,
    int accelerators, adjacency_t adjacency, int rack, place_t *places)
{
	if (adjacency == ADJACENT_WORKER)
		return search_worker(
		    cells, view, members, accelerators, rack, places);
	if (adjacency == ADJACENT_RACK && rack == CELLS_NONE)
		return search_rack(cells, view, members, accelerators, places);
	return search_greedy(cells, view, members, accelerators, rack, places);
}

/* Uses a slot for one member: the reserved one, else a spare one. */
static void
take_slot(pool_area_t *pool, int count, int chosen)
{
	if (pool[chosen].has_reserved_slot) {
		pool[chosen].has_reserved_slot = false;
		return;
	}
	for (int i = 0; i < count; i++) {
		if (pool[i].worker == pool[chosen].worker)
			pool[i].spare_slots--;
	}
}

/*
 * Places all members in cells of the pool, in the given rack and worker;
 * CELLS_NONE means any.  Modifies the pool, also on failure.
 */
static bool
place_in_pool(const cells_t *cells, pool_area_t *pool, int count, int rack,
    int worker, const cells_request_t *shape, place_t *places)
{
	for (int m = 0; m < shape->members; m++) {
		int best = CELLS_NONE;
		uint32_t best_mask = 0;
		int best_cost = 0;

		for (int i = 0; i < count; i++) {
			const worker_t *w =
			    cells_worker_at(cells, pool[i].worker);
			uint32_t mask;
			int cost;

			if ((rack != CELLS_NONE && w->rack != rack) ||
			    (worker != CELLS_NONE &&
				pool[i].worker != worker) ||
			    (!pool[i].has_reserved_slot &&
				pool[i].spare_slots <= 0))
				continue;
			mask = cells_choose_block(
			    pool[i].mask, shape->accelerators, ~w->used);
			if (mask == 0)
				continue;
			cost = __builtin_popcount(mask & w->used) * OTHER_COST +
			       __builtin_popcount(pool[i].mask);
			if (best != CELLS_NONE && cost >= best_cost)
				continue;
			best = i;
			best_mask = mask;
			best_cost = cost;
		}
		if (best == CELLS_NONE)
			return false;
		places[m] = (place_t){pool[best].worker, best_mask};
		pool[best].mask &= ~best_mask;
		take_slot(pool, count, best);
	}
	return true;
}

/*
 * Finds places for a shape inside a pool of cells, preferring accelerators on
 * which nothing runs.  Returns -ENOSPC when the shape does not fit.
 */
int
cells_search_pool(const cells_t *cells, const pool_area_t *pool, int count,
    const cells_request_t *shape, place_t *places)
{
	pool_area_t *left;
	int rc = -ENOSPC;
	int total = 0;

	for (int i = 0; i < count; i++)
		total += __builtin_popcount(pool[i].mask);
	if (total < shape->members * shape->accelerators)
		return rc;
	left = g_new(pool_area_t, (gsize)count + 1);

	for (int first = 0; first < count; first++) {
		const worker_t *w = cells_worker_at(cells, pool[first].worker);
		int rack =
		    shape->adjacency == ADJACENT_RACK ? w->rack : CELLS_NONE;
		int worker = shape->adjacency == ADJACENT_WORKER
				 ? pool[first].worker
				 : CELLS_NONE;

		memcpy(left, pool, sizeof(*pool) * (size_t)count);
		if (place_in_pool(
			cells, left, count, rack, worker, shape, places))
			rc = 0;
		if (rc == 0 || (rack == CELLS_NONE && worker == CELLS_NONE))
			break;
	}
	g_free(left);
	return rc;
}
