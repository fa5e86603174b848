#include "policy/slots.h"

#include <string.h>

/* A backend server that said "busy" gets no work for this long. */
#define BUSY_REST_MS 50

struct slots_t {
	GHashTable *by_id;
	GPtrArray *list; /* the same workers, for scans */
	int short_reserved;
	int64_t lease_ms;
	int largest; /* number of slots of the largest worker */
	guint next;  /* where the next scan starts, to spread equal choices */
};

/*
 * Returns how many connections of a backend server one instance may use, for
 * all its tasks together.  At least one, or the instance could not ask what
 * became of a task.
 */
int
slots_connection_share(int connections, int instances)
{
	return MAX(connections / MAX(instances, 1), 1);
}

/*
 * Returns how many slots of a backend server its owner may use: a request
 * keeps a connection while it runs, and one stays free for control calls.
 */
int
slots_share(int slots, int connection_share)
{
	return MIN(slots, MAX(connection_share - 1, 1));
}

static void
worker_free(void *data)
{
	slots_worker_t *worker = data;

	g_free(worker->id);
	g_free(worker);
}

/*
 * Creates an empty table.  Batch work and members of jobs leave short_reserved
 * slots of each worker free; a lease lasts lease_ms after an announcement.
 */
slots_t *
slots_create(int short_reserved, int64_t lease_ms)
{
	slots_t *slots = g_new0(slots_t, 1);

	slots->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	slots->list = g_ptr_array_new_with_free_func(worker_free);
	slots->short_reserved = short_reserved;
	slots->lease_ms = lease_ms;
	return slots;
}

/* Ends the table. */
void
slots_destroy(slots_t *slots)
{
	if (slots == NULL)
		return;
	g_hash_table_unref(slots->by_id);
	g_ptr_array_unref(slots->list);
	g_free(slots);
}

/*
 * Adds a worker or changes its size.  A new worker has no lease until it is
 * seen; a new generation ends a leave.
 */
slots_worker_t *
slots_set(slots_t *slots, const char *id, uint64_t generation, int count)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker == NULL) {
		worker = g_new0(slots_worker_t, 1);
		worker->id = g_strdup(id);
		worker->seen_ms = INT64_MIN / 2;
		worker->lease_ended = true;
		worker->generation = generation;
		g_hash_table_insert(slots->by_id, worker->id, worker);
		g_ptr_array_add(slots->list, worker);
	}
	if (worker->generation != generation)
		worker->leaving = false;
	worker->generation = generation;
	worker->slots = count;
	slots->largest = MAX(slots->largest, count);
	return worker;
}

/* Removes a worker, whose slots then need no release. */
void
slots_remove(slots_t *slots, const char *id)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker == NULL)
		return;
	g_hash_table_remove(slots->by_id, id);
	g_ptr_array_remove_fast(slots->list, worker);
}

/* Returns a worker or NULL. */
slots_worker_t *
slots_find(const slots_t *slots, const char *id)
{
	return g_hash_table_lookup(slots->by_id, id);
}

/* Renews the lease. */
void
slots_seen(slots_worker_t *worker, int64_t now_ms)
{
	worker->seen_ms = MAX(worker->seen_ms, now_ms);
	worker->lease_ended = false;
}

/* No new work from now on. */
void
slots_leave(slots_worker_t *worker)
{
	worker->leaving = true;
}

/* Sets how many members of jobs it holds. */
void
slots_set_members(slots_worker_t *worker, int members)
{
	worker->members = members;
}

/* Notes an answer "busy, did not run". */
void
slots_busy(slots_worker_t *worker, int64_t now_ms)
{
	worker->rest_until_ms = now_ms + BUSY_REST_MS;
}

static bool
has_lease(const slots_t *slots, const slots_worker_t *worker, int64_t now_ms)
{
	return !worker->leaving && now_ms < worker->seen_ms + slots->lease_ms;
}

/*
 * Tells whether it may get new work: it holds a lease, does not leave and does
 * not rest.
 */
bool
slots_usable(const slots_t *slots, const slots_worker_t *worker, int64_t now_ms)
{
	return has_lease(slots, worker, now_ms) &&
	       now_ms >= worker->rest_until_ms;
}

/* Returns how many more tasks of the lane fit. */
static int
room(const slots_t *slots, const slots_worker_t *worker, lane_t lane)
{
	int batch = worker->used[LANE_BATCH] + worker->members;
	int left = worker->slots - batch - worker->used[LANE_SHORT];

	if (lane == LANE_BATCH)
		left = MIN(left, worker->slots - slots->short_reserved - batch);
	return MAX(left, 0);
}

/*
 * Takes a slot on the best-ranked usable worker that has room in the lane, the
 * one with most room among equals.  Returns NULL when there is none.
 */
slots_worker_t *
slots_take(
    slots_t *slots, lane_t lane, int64_t now_ms, slots_rank_t *rank, void *ctx)
{
	slots_worker_t *best = NULL;
	int best_rank = 0;
	int best_room = 0;

	for (guint i = 0; i < slots->list->len; i++) {
		slots_worker_t *worker = g_ptr_array_index(
		    slots->list, (slots->next + i) % slots->list->len);
		int left = room(slots, worker, lane);
		int worker_rank;

		/* Ranking costs more than the rest: only for those that can
		 * still win. */
		if (left == 0 ||
		    (best != NULL && best_rank == 0 && left <= best_room))
			continue;
		if (!slots_usable(slots, worker, now_ms))
			continue;
		worker_rank = rank != NULL ? rank(ctx, worker) : 0;
		if (worker_rank < 0)
			continue;
		if (best == NULL || worker_rank < best_rank ||
		    (worker_rank == best_rank && left > best_room)) {
			best = worker;
			best_rank = worker_rank;
			best_room = left;
		}
		/* No other one can be better than one that is all free. */
		if (best_rank == 0 && best_room == slots->largest)
			break;
	}
	slots->next++;
	if (best != NULL)
		best->used[lane]++;
	return best;
}

/* Gives a slot back; a worker that was removed meanwhile is ignored. */
void
slots_release(slots_t *slots, const char *id, lane_t lane)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker != NULL && worker->used[lane] > 0)
		worker->used[lane]--;
}

/* Counts a running task against another lane from now on. */
void
slots_move(slots_t *slots, const char *id, lane_t from, lane_t to)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker == NULL || worker->used[from] == 0)
		return;
	worker->used[from]--;
	worker->used[to]++;
}

/* Returns how many tasks of the lane could start now on all workers. */
int
slots_free(const slots_t *slots, lane_t lane, int64_t now_ms)
{
	int sum = 0;

	for (guint i = 0; i < slots->list->len; i++) {
		const slots_worker_t *worker =
		    g_ptr_array_index(slots->list, i);

		if (slots_usable(slots, worker, now_ms))
			sum += room(slots, worker, lane);
	}
	return sum;
}

/*
 * Returns how many slots the lane has in all, used ones too, on workers that
 * the rank does not exclude.  Workers that rest after "busy" count: the rest is
 * far shorter than a wait.
 */
int
slots_total(const slots_t *slots, lane_t lane, int64_t now_ms,
    slots_rank_t *rank, void *ctx)
{
	int sum = 0;

	for (guint i = 0; i < slots->list->len; i++) {
		const slots_worker_t *worker =
		    g_ptr_array_index(slots->list, i);

		if (has_lease(slots, worker, now_ms) &&
		    (rank == NULL || rank(ctx, worker) >= 0))
			sum += room(slots, worker, lane) + worker->used[lane];
	}
	return sum;
}

/* Returns a worker whose lease has ended, each once; NULL when none is left. */
slots_worker_t *
slots_next_ended(slots_t *slots, int64_t now_ms)
{
	for (guint i = 0; i < slots->list->len; i++) {
		slots_worker_t *worker = g_ptr_array_index(slots->list, i);

		if (worker->lease_ended ||
		    now_ms < worker->seen_ms + slots->lease_ms)
			continue;
		worker->lease_ended = true;
		return worker;
	}
	return NULL;
}

/* Visits every worker. */
void
slots_each(const slots_t *slots,
    void (*visit)(void *ctx, slots_worker_t *worker), void *ctx)
{
	for (guint i = 0; i < slots->list->len; i++)
		visit(ctx, g_ptr_array_index(slots->list, i));
}
