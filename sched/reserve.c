#include "sched/reserve.h"

#include <glib.h>
#include <string.h>

typedef struct {
	const char *name;
	int free; /* accelerators */
	bool reserved;
} rack_t;

struct reserve_t {
	GArray *racks;      /* rack_t */
	GPtrArray *by_free; /* rack_t, sorted by reserve_choose_racks */
	int *rack_index;    /* by worker, -1 if it is not usable */
};

static int
get_or_add_rack(GArray *racks, const char *name)
{
	rack_t added = {.name = name};

	for (guint i = 0; i < racks->len; i++) {
		if (strcmp(g_array_index(racks, rack_t, i).name, name) == 0)
			return (int)i;
	}
	g_array_append_val(racks, added);
	return (int)racks->len - 1;
}

/* Sums up free accelerators by rack.  The workers must outlive the result. */
reserve_t *
reserve_create(const plan_worker_t *workers, size_t count)
{
	reserve_t *reserve = g_new0(reserve_t, 1);

	reserve->racks = g_array_new(FALSE, FALSE, sizeof(rack_t));
	reserve->rack_index = g_new0(int, count);
	for (size_t i = 0; i < count; i++) {
		reserve->rack_index[i] = -1;
		if (!workers[i].usable)
			continue;
		reserve->rack_index[i] =
		    get_or_add_rack(reserve->racks, workers[i].worker->rack);
		/* A negative allocation adds to the free accelerators. */
		reserve_note_allocated(
		    reserve, i, -MAX(workers[i].free.accelerators, 0));
	}
	reserve->by_free = g_ptr_array_new();
	for (guint i = 0; i < reserve->racks->len; i++)
		g_ptr_array_add(reserve->by_free,
		    &g_array_index(reserve->racks, rack_t, i));
	return reserve;
}

void
reserve_destroy(reserve_t *reserve)
{
	if (reserve == NULL)
		return;
	g_ptr_array_unref(reserve->by_free);
	g_array_unref(reserve->racks);
	g_free(reserve->rack_index);
	g_free(reserve);
}

static rack_t *
rack_of(const reserve_t *reserve, size_t worker)
{
	int rack = reserve->rack_index[worker];

	return rack < 0 ? NULL : &g_array_index(reserve->racks, rack_t, rack);
}

/* Subtracts accelerators that were allocated on a worker. */
void
reserve_note_allocated(reserve_t *reserve, size_t worker, int accelerators)
{
	rack_t *rack = rack_of(reserve, worker);

	if (rack != NULL)
		rack->free -= accelerators;
}

/* Most free first, then by name, so that the choice is stable. */
static gint
compare_racks(gconstpointer a, gconstpointer b)
{
	const rack_t *first = *(const rack_t *const *)a;
	const rack_t *second = *(const rack_t *const *)b;

	if (first->free != second->free)
		return second->free - first->free;
	return strcmp(first->name, second->name);
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

	g_ptr_array_sort(reserve->by_free, compare_racks);
	for (guint i = 0; i < reserve->by_free->len; i++) {
		rack_t *rack = g_ptr_array_index(reserve->by_free, i);

		rack->reserved =
		    reserved < headroom &&
		    reserved + rack->free - unit_accelerators < headroom;
		reserved += rack->free;
	}
}

/* Whether the worker's rack is reserved. */
bool
reserve_is_rack_reserved(const reserve_t *reserve, size_t worker)
{
	const rack_t *rack = rack_of(reserve, worker);

	return rack != NULL && rack->reserved;
}
