#include <errno.h>

#include "policy/cells_private.h"

/* Recomputes which accelerators of a worker are held. */
static void
update_held(const cells_t *cells, int worker)
{
	worker_t *w = cells_worker_at(cells, worker);
	GHashTableIter iter;
	void *value;

	w->held = 0;
	g_hash_table_iter_init(&iter, cells->holds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GArray *places = value;

		for (guint i = 0; i < places->len; i++) {
			const place_t *place =
			    &g_array_index(places, place_t, i);

			if (place->worker == worker)
				w->held |= place->mask;
		}
	}
	cells_update_views(cells, worker);
}

/* See cells.h.  -EEXIST: the name is in use; -ENOENT: unknown worker. */
int
cells_hold(
    cells_t *cells, const char *name, const cells_place_t *places, int count)
{
	GArray *held;

	if (g_hash_table_contains(cells->holds, name))
		return -EEXIST;
	held = g_array_new(FALSE, FALSE, sizeof(place_t));
	for (int i = 0; i < count; i++) {
		place_t place = {cells_worker_find(cells, places[i].worker),
		    places[i].accelerator_mask};

		if (place.worker == CELLS_NONE) {
			g_array_unref(held);
			return -ENOENT;
		}
		g_array_append_val(held, place);
	}
	g_hash_table_insert(cells->holds, g_strdup(name), held);
	for (guint i = 0; i < held->len; i++) {
		const place_t *place = &g_array_index(held, place_t, i);

		cells_worker_at(cells, place->worker)->held |= place->mask;
		cells_update_views(cells, place->worker);
	}
	return 0;
}

/* See cells.h.  An unknown name is ignored. */
void
cells_unhold(cells_t *cells, const char *name)
{
	GArray *held = g_hash_table_lookup(cells->holds, name);

	if (held == NULL)
		return;
	g_array_ref(held);
	g_hash_table_remove(cells->holds, name);
	for (guint i = 0; i < held->len; i++)
		update_held(cells, g_array_index(held, place_t, i).worker);
	g_array_unref(held);
}

/* See cells.h.  Returns -ENOSPC when the shape does not fit. */
int
cells_find_in_hold(const cells_t *cells, const char *name,
    const cells_request_t *shape, cells_place_t *places)
{
	const GArray *held = g_hash_table_lookup(cells->holds, name);
	pool_area_t pool[MAX_MEMBERS];
	place_t found[MAX_MEMBERS];
	int count = 0;

	/* A hold covers accelerators, not slots. */
	if (shape->accelerators == 0)
		return -ENOSPC;
	for (guint i = 0; held != NULL && i < held->len && i < MAX_MEMBERS;
	     i++) {
		const place_t *place = &g_array_index(held, place_t, i);
		const worker_t *w = cells_worker_at(cells, place->worker);

		if (w->present && w->usable && (place->mask & ~w->used) != 0 &&
		    w->slots_left[VIEW_FREE] > 0)
			pool[count++] = (pool_area_t){
			    .worker = place->worker,
			    .mask = place->mask & ~w->used,
			    .spare_slots = w->slots_left[VIEW_FREE],
			};
	}
	if (cells_search_pool(cells, pool, count, shape, found) != 0)
		return -ENOSPC;
	cells_copy_places(cells, found, shape->members, places);
	return 0;
}

/* See cells.h.  An unknown worker is ignored. */
void
cells_set_excluded(cells_t *cells, const char *worker, bool excluded)
{
	int id = cells_worker_find(cells, worker);

	if (id == CELLS_NONE)
		return;
	cells_worker_at(cells, id)->excluded = excluded;
	cells_update_views(cells, id);
}

/* Sets or clears the assumption, for VIEW_ASSUMED, that a job has ended. */
static void
assume_ended(const cells_t *cells, const char *id, bool ended)
{
	const job_t *job = g_hash_table_lookup(cells->jobs, id);

	if (job == NULL)
		return;
	for (int p = 0; p < job->members; p++) {
		worker_t *w = cells_worker_at(cells, job->places[p].worker);

		if (ended) {
			w->assumed_free |= job->places[p].mask;
			w->slots_assumed_free++;
		} else {
			w->assumed_free &= ~job->places[p].mask;
			w->slots_assumed_free--;
		}
		cells_update_views(cells, job->places[p].worker);
	}
}

/* See cells.h. */
int
cells_find_after_jobs_end(const cells_t *cells, const cells_request_t *shape,
    const char *const *jobs, size_t count, cells_place_t *places,
    size_t *needed)
{
	place_t found[MAX_MEMBERS];
	size_t ended = 0;
	size_t next = 1;
	int rc = -ENOSPC;

	while (rc != 0 && ended < count) {
		for (; ended < MIN(next, count); ended++)
			assume_ended(cells, jobs[ended], true);
		rc = cells_search(cells, VIEW_ASSUMED, shape->members,
		    shape->accelerators,
		    cells_effective_adjacency(shape->members, shape->adjacency),
		    CELLS_NONE, found);
		next *= 2;
	}
	*needed = ended;
	while (ended > 0)
		assume_ended(cells, jobs[--ended], false);
	if (rc == 0)
		cells_copy_places(cells, found, shape->members, places);
	return rc;
}

/* See cells.h. */
void
cells_visit_jobs_on(const cells_t *cells, const cells_place_t *places,
    int count, void (*visit)(void *ctx, const char *job), void *ctx)
{
	for (int i = 0; i < count; i++) {
		int id = cells_worker_find(cells, places[i].worker);
		const worker_t *w;

		if (id == CELLS_NONE)
			continue;
		w = cells_worker_at(cells, id);
		if ((w->used & places[i].accelerator_mask) == 0)
			continue;
		for (guint k = 0; k < w->jobs->len; k++) {
			const job_t *job = g_ptr_array_index(w->jobs, k);

			for (int p = 0; p < job->members; p++) {
				if (job->places[p].worker == id &&
				    (job->places[p].mask &
					places[i].accelerator_mask) != 0) {
					visit(ctx, job->id);
					break;
				}
			}
		}
	}
}
