#include "policy/slots.h"

#include <string.h>

/* A backend server that answered "busy" gets no new work for this time. */
#define BUSY_BACKOFF_MS 50

struct slots_t {
	GHashTable *by_id;
	GPtrArray *list; /* the same workers in an array */
	int short_reserved;
	int64_t lease_ms;
	int largest; /* number of slots of the largest worker */
	guint next;  /* index at which the next scan starts, for round robin */
};

/*
 * Returns how many connections to a backend server one instance may open in
 * total.  At least one, which it needs to query the state of a task.
 */
int
slots_connection_share(int connections, int instances)
{
	return MAX(connections / MAX(instances, 1), 1);
}

/*
 * Returns how many slots of a backend server its owner may use.  A running
 * request occupies a connection, and one is kept free for control calls unless
 * the share is a single connection.
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
 * Creates an empty table.  On each worker short_reserved slots are not
 * available to batch requests.  A lease expires lease_ms after the last
 * announcement.
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
 * Adds a worker or changes its number of slots.  A new worker has no lease
 * before slots_renew_lease; a new generation clears the leaving flag.
 */
slots_worker_t *
slots_set(slots_t *slots, const char *id, uint64_t generation, int count)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker == NULL) {
		worker = g_new0(slots_worker_t, 1);
		worker->id = g_strdup(id);
		/* No lease yet: long past, but far from an overflow. */
		worker->announced_ms = INT64_MIN / 2;
		worker->lease_expiry_reported = true;
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

/* Removes a worker; its taken slots need not be released. */
void
slots_remove(slots_t *slots, const char *id)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker == NULL)
		return;
	g_hash_table_remove(slots->by_id, id);
	g_ptr_array_remove_fast(slots->list, worker);
}

slots_worker_t *
slots_find(const slots_t *slots, const char *id)
{
	return g_hash_table_lookup(slots->by_id, id);
}

/* Renews the lease after an announcement. */
void
slots_renew_lease(slots_worker_t *worker, int64_t now_ms)
{
	worker->announced_ms = MAX(worker->announced_ms, now_ms);
	worker->lease_expiry_reported = false;
}

/* Marks the worker as leaving: no new work is dispatched to it. */
void
slots_leave(slots_worker_t *worker)
{
	worker->leaving = true;
}

/* Sets the number of job members on the worker. */
void
slots_set_members(slots_worker_t *worker, int members)
{
	worker->members = members;
}

/* Backs off for BUSY_BACKOFF_MS after an answer "busy, did not run". */
void
slots_back_off(slots_worker_t *worker, int64_t now_ms)
{
	worker->backoff_until_ms = now_ms + BUSY_BACKOFF_MS;
}

static bool
has_lease(const slots_t *slots, const slots_worker_t *worker, int64_t now_ms)
{
	return !worker->leaving &&
	       now_ms < worker->announced_ms + slots->lease_ms;
}

/*
 * Returns whether the worker may get new work: it has a lease, is not leaving
 * and is not in a back-off.
 */
bool
slots_usable(const slots_t *slots, const slots_worker_t *worker, int64_t now_ms)
{
	return has_lease(slots, worker, now_ms) &&
	       now_ms >= worker->backoff_until_ms;
}

/* Returns how many slots are free for the lane. */
static int
free_slots(const slots_t *slots, const slots_worker_t *worker, lane_t lane)
{
	int batch = worker->used[LANE_BATCH] + worker->members;
	int left = worker->slots - batch - worker->used[LANE_SHORT];

	if (lane == LANE_BATCH)
		left = MIN(left, worker->slots - slots->short_reserved - batch);
	return MAX(left, 0);
}

/*
 * Takes a slot on the best-ranked usable worker with a free slot for the lane;
 * among equal ranks on the one with the most free slots.  Returns NULL if there
 * is none.
 */
slots_worker_t *
slots_take(
    slots_t *slots, lane_t lane, int64_t now_ms, slots_rank_t *rank, void *ctx)
{
	slots_worker_t *best = NULL;
	int best_rank = 0;
	int best_free = 0;

	for (guint i = 0; i < slots->list->len; i++) {
		slots_worker_t *worker = g_ptr_array_index(
		    slots->list, (slots->next + i) % slots->list->len);
		int left = free_slots(slots, worker, lane);
		int worker_rank;

		/* Ranking is the expensive part: skip workers that can't be
		 * better than the best one so far. */
		if (left == 0 ||
		    (best != NULL && best_rank == 0 && left <= best_free))
			continue;
		if (!slots_usable(slots, worker, now_ms))
			continue;
		worker_rank = rank != NULL ? rank(ctx, worker) : 0;
		if (worker_rank < 0)
			continue;
		if (best == NULL || worker_rank < best_rank ||
		    (worker_rank == best_rank && left > best_free)) {
			best = worker;
			best_rank = worker_rank;
			best_free = left;
		}
		/* No worker can be better than an idle one of full size. */
		if (best_rank == 0 && best_free == slots->largest)
			break;
	}
	slots->next++;
	if (best != NULL)
		best->used[lane]++;
	return best;
}

/* Releases a slot; does nothing if the worker was removed. */
void
slots_release(slots_t *slots, const char *id, lane_t lane)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker != NULL && worker->used[lane] > 0)
		worker->used[lane]--;
}

/* Moves a running task to another lane. */
void
slots_move(slots_t *slots, const char *id, lane_t from, lane_t to)
{
	slots_worker_t *worker = slots_find(slots, id);

	if (worker == NULL || worker->used[from] == 0)
		return;
	worker->used[from]--;
	worker->used[to]++;
}

/* Returns the number of free slots for the lane on all usable workers. */
int
slots_free(const slots_t *slots, lane_t lane, int64_t now_ms)
{
	int sum = 0;

	for (guint i = 0; i < slots->list->len; i++) {
		const slots_worker_t *worker =
		    g_ptr_array_index(slots->list, i);

		if (slots_usable(slots, worker, now_ms))
			sum += free_slots(slots, worker, lane);
	}
	return sum;
}

/*
 * Returns the total number of slots for the lane, free and used, on workers
 * that the rank does not exclude.  Workers in a back-off count, because it is
 * far shorter than a typical wait.
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
			sum += free_slots(slots, worker, lane) +
			       worker->used[lane];
	}
	return sum;
}

/* Returns a worker whose lease has expired, each one once; NULL if none. */
slots_worker_t *
slots_next_expired(slots_t *slots, int64_t now_ms)
{
	for (guint i = 0; i < slots->list->len; i++) {
		slots_worker_t *worker = g_ptr_array_index(slots->list, i);

		if (worker->lease_expiry_reported ||
		    now_ms < worker->announced_ms + slots->lease_ms)
			continue;
		worker->lease_expiry_reported = true;
		return worker;
	}
	return NULL;
}

/* Calls visit for every worker. */
void
slots_foreach(const slots_t *slots,
    void (*visit)(void *ctx, slots_worker_t *worker), void *ctx)
{
	for (guint i = 0; i < slots->list->len; i++)
		visit(ctx, g_ptr_array_index(slots->list, i));
}
