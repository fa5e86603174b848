#include "sched/reserve.h"

#include <string.h>

#include "sched/pool_private.h"

struct reserve_t {
	pool_t *pool;
	pool_rack_t **by_free; /* sorted by reserve_choose_racks */
};

/* The pool must outlive the result. */
reserve_t *
reserve_create(pool_t *pool)
{
	reserve_t *reserve = g_new0(reserve_t, 1);

	reserve->pool = pool;
	reserve->by_free = g_new(pool_rack_t *, pool->rack_count);
	for (size_t r = 0; r < pool->rack_count; r++)
		reserve->by_free[r] = &pool->racks[r];
	return reserve;
}

/* Frees the reserve; NULL is allowed. */
void
reserve_destroy(reserve_t *reserve)
{
	if (reserve == NULL)
		return;
	g_free(reserve->by_free);
	g_free(reserve);
}

/* Most free first, then by name, so that the choice is stable. */
static bool
is_before(const pool_rack_t *first, const pool_rack_t *second)
{
	if (first->accelerators[PLAN_FREE] != second->accelerators[PLAN_FREE])
		return first->accelerators[PLAN_FREE] >
		       second->accelerators[PLAN_FREE];
	return strcmp(first->name, second->name) < 0;
}

/* Insertion sort: between two units of a round few racks change places. */
static void
sort_racks(reserve_t *reserve)
{
	pool_rack_t **racks = reserve->by_free;

	for (size_t i = 1; i < reserve->pool->rack_count; i++) {
		pool_rack_t *rack = racks[i];
		size_t to = i;

		for (; to > 0 && is_before(rack, racks[to - 1]); to--)
			racks[to] = racks[to - 1];
		racks[to] = rack;
	}
}

/*
 * Reserves the racks with the most free accelerators until they add up to
 * headroom.  Leaves the last of them open if the headroom stays covered after a
 * unit of unit_accelerators was placed in it.
 */
void
reserve_choose_racks(reserve_t *reserve, int headroom, int unit_accelerators)
{
	int reserved = 0;

	sort_racks(reserve);
	for (size_t i = 0; i < reserve->pool->rack_count; i++) {
		pool_rack_t *rack = reserve->by_free[i];
		int free = rack->accelerators[PLAN_FREE];

		rack->reserved = reserved < headroom &&
				 reserved + free - unit_accelerators < headroom;
		reserved += free;
	}
}

/* Whether the worker's rack is reserved. */
bool
reserve_is_rack_reserved(const reserve_t *reserve, size_t worker)
{
	return reserve->pool->racks[reserve->pool->rack_of[worker]].reserved;
}
