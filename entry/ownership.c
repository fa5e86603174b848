#include <string.h>

#include "entry/internal.h"

/* Tells whether an instance may be given workers. */
static bool
is_live(const entry_t *entry, const char *id)
{
	const machine_instance_t *instance =
	    machine_instance(entry_machine(entry), id);

	if (instance != NULL && instance->draining)
		return false;
	if (entry_is_self(entry, id))
		return !entry->draining;
	if (instance != NULL)
		return instance->alive;
	return endpoint_peer_is_up(entry->endpoint, id);
}

static bool
count_visit(void *ctx, const machine_worker_t *worker)
{
	ownership_add(ctx, worker->owner);
	return true;
}

/* Counts the workers of each instance; a table of id -> count. */
GHashTable *
ownership_count(const entry_t *entry)
{
	GHashTable *counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	machine_each_worker(entry_machine(entry), count_visit, counts);
	return counts;
}

/* Counts one more worker of an instance. */
void
ownership_add(GHashTable *counts, const char *instance)
{
	int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, instance));

	g_hash_table_insert(
	    counts, g_strdup(instance), GINT_TO_POINTER(count + 1));
}

/*
 * Returns the live instance that owns fewest workers, one of the domain before
 * others; NULL when there is none but except.  Among equal ones the worker's
 * name decides, since several instances choose at once after a start.
 */
const char *
ownership_choose(const entry_t *entry, GHashTable *counts, const char *worker,
    const char *domain, const char *except)
{
	size_t peer_count = entry->settings->peer_count;
	size_t first = g_str_hash(worker) % MAX(peer_count, 1);
	const char *best = NULL;
	bool best_is_near = false;
	int best_count = 0;

	for (size_t i = 0; i < peer_count; i++) {
		const settings_peer_t *peer =
		    &entry->settings->peers[(first + i) % peer_count];
		bool is_near = strcmp(peer->failure_domain, domain) == 0;
		int count =
		    GPOINTER_TO_INT(g_hash_table_lookup(counts, peer->id));

		if (g_strcmp0(peer->id, except) == 0 ||
		    !is_live(entry, peer->id))
			continue;
		if (best == NULL || (is_near && !best_is_near) ||
		    (is_near == best_is_near && count < best_count)) {
			best = peer->id;
			best_is_near = is_near;
			best_count = count;
		}
	}
	return best;
}

typedef struct {
	handle_t *handle;
	char *worker;
} move_t;

static void
on_moved(void *ctx, const err_t *err, const command_result_t *result)
{
	move_t *move = ctx;

	if (move->handle->entry != NULL)
		g_hash_table_remove(move->handle->entry->moving, move->worker);
	g_rc_box_release(move->handle);
	g_free(move->worker);
	g_free(move);
}

/* Proposes a new owner of a worker, unless that is under way. */
void
ownership_move(
    entry_t *entry, const machine_worker_t *worker, const char *owner)
{
	command_t command = {.kind = COMMAND_WORKER_OWNER};
	move_t *move;

	if (!g_hash_table_add(entry->moving, g_strdup(worker->id)))
		return;
	move = g_new0(move_t, 1);
	move->handle = g_rc_box_acquire(entry->handle);
	move->worker = g_strdup(worker->id);
	command.command_t_u.worker_owner = (worker_owner_command_t){
	    .id = worker->id,
	    .owner = (char *)owner,
	    .expected_fence = worker->fence,
	};
	replica_propose(
	    entry->replica, &command, PROPOSE_DEADLINE_MS, on_moved, move);
}

/* A worker and where it goes; moves are proposed after the walk. */
typedef struct {
	entry_t *entry;
	GPtrArray *workers;
	const char *owner;
	const char *domain;
} walk_t;

static bool
owner_is_lost(const entry_t *entry, const char *owner)
{
	const machine_instance_t *instance;

	if (entry_is_self(entry, owner))
		return false;
	instance = machine_instance(entry_machine(entry), owner);
	return instance != NULL && !instance->alive;
}

static bool
collect_lost(void *ctx, const machine_worker_t *worker)
{
	walk_t *walk = ctx;

	if (owner_is_lost(walk->entry, worker->owner))
		g_ptr_array_add(walk->workers, (void *)worker);
	return true;
}

static bool
collect_of_owner(void *ctx, const machine_worker_t *worker)
{
	walk_t *walk = ctx;

	if (strcmp(worker->owner, walk->owner) == 0 &&
	    (walk->domain == NULL || strcmp(worker->domain, walk->domain) == 0))
		g_ptr_array_add(walk->workers, (void *)worker);
	return true;
}

static void
move_lost(entry_t *entry)
{
	walk_t walk = {.entry = entry, .workers = g_ptr_array_new()};
	GHashTable *counts = ownership_count(entry);

	machine_each_worker(entry_machine(entry), collect_lost, &walk);
	for (guint i = 0; i < walk.workers->len; i++) {
		const machine_worker_t *worker =
		    g_ptr_array_index(walk.workers, i);
		const char *owner = ownership_choose(
		    entry, counts, worker->id, worker->domain, worker->owner);

		if (owner == NULL)
			continue;
		ownership_add(counts, owner);
		ownership_move(entry, worker, owner);
	}
	g_hash_table_unref(counts);
	g_ptr_array_unref(walk.workers);
}

/* How many workers of the domain an instance owns. */
static GPtrArray *
owned_in_domain(entry_t *entry, const char *owner, const char *domain)
{
	walk_t walk = {.entry = entry,
	    .workers = g_ptr_array_new(),
	    .owner = owner,
	    .domain = domain};

	machine_each_worker(entry_machine(entry), collect_of_owner, &walk);
	return walk.workers;
}

/*
 * Moves one worker of a domain from the live instance that owns most of them to
 * one of the domain that owns at least two fewer, or that is nearer.  Without
 * this an instance that restarted would never own any again.
 */
static bool
balance_domain(entry_t *entry, GHashTable *counts, const char *domain)
{
	const char *to = ownership_choose(entry, counts, "", domain, NULL);
	GPtrArray *own;
	bool moved = false;

	if (to == NULL)
		return false;
	own = owned_in_domain(entry, to, domain);
	for (size_t i = 0; i < entry->settings->peer_count && !moved; i++) {
		const settings_peer_t *peer = &entry->settings->peers[i];
		bool is_near = strcmp(peer->failure_domain, domain) == 0;
		GPtrArray *theirs;

		if (strcmp(peer->id, to) == 0 || !is_live(entry, peer->id))
			continue;
		theirs = owned_in_domain(entry, peer->id, domain);
		if (theirs->len > 0 &&
		    (!is_near || theirs->len >= own->len + 2)) {
			ownership_move(entry, g_ptr_array_index(theirs, 0), to);
			moved = true;
		}
		g_ptr_array_unref(theirs);
	}
	g_ptr_array_unref(own);
	return moved;
}

static bool
domain_has_instance(const entry_t *entry, const char *domain)
{
	for (size_t i = 0; i < entry->settings->peer_count; i++) {
		if (strcmp(entry->settings->peers[i].failure_domain, domain) ==
			0 &&
		    is_live(entry, entry->settings->peers[i].id))
			return true;
	}
	return false;
}

/* Moves workers of lost instances; only the leader's instance does. */
void
ownership_sweep(entry_t *entry, int64_t now_ms)
{
	GHashTable *counts;

	if (now_ms - entry->ownership_ms < OWNERSHIP_CHECK_MS ||
	    !replica_is_leader(entry->replica))
		return;
	entry->ownership_ms = now_ms;
	move_lost(entry);
	counts = ownership_count(entry);
	for (size_t i = 0; i < entry->settings->peer_count; i++) {
		const char *domain = entry->settings->peers[i].failure_domain;

		if (g_hash_table_size(entry->moving) == 0 &&
		    domain_has_instance(entry, domain) &&
		    balance_domain(entry, counts, domain))
			break;
	}
	g_hash_table_unref(counts);
}

/*
 * Hands the idle workers of a draining instance to others; returns how many it
 * still owns and could hand over.  Busy ones follow when their tasks end,
 * because a new owner does not count the slots that these hold.
 */
int
ownership_hand_over(entry_t *entry)
{
	GPtrArray *own =
	    owned_in_domain(entry, entry->settings->instance, NULL);
	GHashTable *counts = ownership_count(entry);
	int left = 0;

	for (guint i = 0; i < own->len; i++) {
		const machine_worker_t *worker = g_ptr_array_index(own, i);
		const slots_worker_t *slot =
		    slots_find(entry->slots, worker->id);
		const char *to = ownership_choose(entry, counts, worker->id,
		    worker->domain, entry->settings->instance);

		if (to == NULL)
			continue;
		left++;
		if (slot != NULL &&
		    slot->used[LANE_SHORT] + slot->used[LANE_BATCH] > 0)
			continue;
		ownership_add(counts, to);
		ownership_move(entry, worker, to);
	}
	g_hash_table_unref(counts);
	g_ptr_array_unref(own);
	return left;
}
