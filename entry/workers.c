#include <string.h>

#include "entry/internal.h"

#define SEEN_INTERVAL_MS 200
#define SYNC_INTERVAL_MS 1000

typedef struct {
	const char *id;
	const char *address;
	int64_t port;
	const char *domain;
	const char *rack;
	int64_t slots;
	int64_t connections;
	int64_t accelerators;
	int64_t generation;
	int64_t running;
	json_t *usage;
} announcement_t;

#define AT(member) offsetof(announcement_t, member)
#define INTEGER(member, low, high) \
#member, FIELD_INTEGER, AT(member), .min = (low), .max = (high)

static const field_t announcement_fields[] = {
    {"id", FIELD_NAME, AT(id), .required = true},
    {"address", FIELD_ADDRESS, AT(address), .required = true},
    {INTEGER(port, 1, 65535), .required = true},
    {"domain", FIELD_NAME, AT(domain), .required = true},
    {"rack", FIELD_NAME, AT(rack), .required = true},
    {INTEGER(slots, 1, 1024), .required = true},
    {INTEGER(connections, 1, 65536), .required = true},
    {INTEGER(accelerators, 0, 32), .required = true},
    {INTEGER(generation, INT64_MIN, INT64_MAX), .required = true},
    {INTEGER(running, 0, INT32_MAX)},
    {"usage", FIELD_OBJECT, AT(usage), .required = false},
};

static const field_t leave_fields[] = {
    {INTEGER(generation, INT64_MIN, INT64_MAX), .required = true},
};

static int
connection_share(const entry_t *entry, const machine_worker_t *worker)
{
	return slots_connection_share(
	    worker->connections, (int)entry->settings->peer_count);
}

/*
 * Lowers the limit of connections to what the smallest backend server allows.
 * Those of other owners count too: members of jobs and tasks of earlier owners
 * are called through the same client.
 */
static void
limit_connections(entry_t *entry, const machine_worker_t *worker)
{
	int share = connection_share(entry, worker);

	if (share >= entry->connections)
		return;
	entry->connections = share;
	client_set_connections(entry->client, share);
}

static void
remember_seen(entry_t *entry, const char *id, int64_t seen_ms)
{
	int64_t *kept = g_hash_table_lookup(entry->last_seen, id);

	if (kept == NULL) {
		kept = g_new0(int64_t, 1);
		g_hash_table_insert(entry->last_seen, g_strdup(id), kept);
	}
	*kept = MAX(*kept, seen_ms);
}

/* Puts what the replicated state says of a worker into the local tables. */
static void
take_over(entry_t *entry, const machine_worker_t *worker)
{
	bool is_new = slots_find(entry->slots, worker->id) == NULL;
	slots_worker_t *slot =
	    slots_set(entry->slots, worker->id, worker->generation,
		slots_share(worker->slots, connection_share(entry, worker)));
	const int64_t *seen = g_hash_table_lookup(entry->last_seen, worker->id);

	if (worker->leaving)
		slots_leave(slot);
	if (is_new) {
		health_add(entry->health, worker->id, worker->domain);
		entry->members_changed = true;
		if (seen != NULL)
			slots_renew_lease(slot, *seen);
	}
	entry->dispatch_wanted = true;
}

/* Follows a change of one worker in the replicated state. */
void
workers_sync_one(entry_t *entry, const char *id)
{
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), id);

	if (worker != NULL)
		limit_connections(entry, worker);
	if (worker != NULL && entry_is_self(entry, worker->owner)) {
		take_over(entry, worker);
		return;
	}
	slots_remove(entry->slots, id);
	health_remove(entry->health, id);
}

static bool
sync_visit(void *ctx, const machine_worker_t *worker)
{
	workers_sync_one(ctx, worker->id);
	return true;
}

static void
collect_removed(void *ctx, slots_worker_t *worker)
{
	void **args = ctx;

	if (machine_worker(entry_machine(args[0]), worker->id) == NULL)
		g_ptr_array_add(args[1], g_strdup(worker->id));
}

/* Follows all workers; needed after a snapshot, which has no commands. */
void
workers_sync(entry_t *entry)
{
	GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
	void *args[] = {entry, removed};

	machine_each_worker(entry_machine(entry), sync_visit, entry);
	slots_foreach(entry->slots, collect_removed, args);
	for (guint i = 0; i < removed->len; i++)
		workers_sync_one(entry, g_ptr_array_index(removed, i));
	g_ptr_array_unref(removed);
	entry->members_changed = true;
}

static bool
count_job(void *ctx, const machine_job_t *job)
{
	entry_t *entry = ctx;
	const chart_t *chart = chart_builtin("job");
	bool is_placed = job->state == chart_state(chart, "starting") ||
			 job->state == chart_state(chart, "running") ||
			 job->state == chart_state(chart, "stopping");

	for (size_t i = 0; is_placed && i < job->placed_count; i++) {
		slots_worker_t *slot =
		    slots_find(entry->slots, job->members[i].worker);

		if (slot != NULL)
			slots_set_members(slot, slot->members + 1);
	}
	return true;
}

static void
clear_members(void *ctx, slots_worker_t *worker)
{
	slots_set_members(worker, 0);
}

/* Counts the members of jobs on each owned worker. */
void
workers_count_members(entry_t *entry)
{
	entry->members_changed = false;
	slots_foreach(entry->slots, clear_members, NULL);
	machine_each_job(entry_machine(entry), count_job, entry);
}

/* Notes that a worker announced itself at seen_ms; renews its lease here. */
static void
note_seen(entry_t *entry, const char *id, uint64_t generation, int64_t seen_ms,
    bool leaving)
{
	slots_worker_t *slot = slots_find(entry->slots, id);

	if (!leaving)
		remember_seen(entry, id, seen_ms);
	if (slot == NULL || slot->generation != generation)
		return;
	if (leaving)
		slots_leave(slot);
	else
		slots_renew_lease(slot, seen_ms);
	entry->dispatch_wanted = true;
}

static void
clear_item(void *data)
{
	g_free(((seen_item_t *)data)->worker);
}

static void
queue_seen(entry_t *entry, const machine_worker_t *worker, int64_t seen_ms,
    int running)
{
	GArray *items = g_hash_table_lookup(entry->seen, worker->owner);
	seen_item_t item = {.worker = g_strdup(worker->id),
	    .generation = worker->generation,
	    .running = running,
	    /* Counted from the last batch until this one is sent. */
	    .age_ms = (int)(seen_ms - entry->seen_sent_ms)};

	if (items == NULL) {
		items = g_array_new(FALSE, TRUE, sizeof(seen_item_t));
		g_array_set_clear_func(items, clear_item);
		g_hash_table_insert(
		    entry->seen, g_strdup(worker->owner), items);
	}
	if (items->len < MAX_BATCH)
		g_array_append_val(items, item);
	else
		clear_item(&item);
}

/* Renews the lease here and, in the next batch, at the owner. */
static void
pass_on_seen(entry_t *entry, const char *id, uint64_t generation,
    int64_t seen_ms, int running)
{
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), id);

	note_seen(entry, id, generation, seen_ms, false);
	if (worker != NULL && worker->generation == generation &&
	    !entry_is_self(entry, worker->owner))
		queue_seen(entry, worker, seen_ms, running);
}

static void
send_seen(entry_t *entry, int64_t now_ms)
{
	GHashTableIter iter;
	void *owner;
	void *value;

	g_hash_table_iter_init(&iter, entry->seen);
	while (g_hash_table_iter_next(&iter, &owner, &value)) {
		GArray *items = value;
		seen_args_t args = {.incarnation = entry->incarnation,
		    .sent_ms = now_ms,
		    .items.items_len = items->len,
		    .items.items_val = (seen_item_t *)(void *)items->data};

		for (guint i = 0; i < items->len; i++)
			args.items.items_val[i].age_ms =
			    (int)(now_ms - entry->seen_sent_ms) -
			    args.items.items_val[i].age_ms;
		endpoint_send(entry->endpoint, owner, RPC_SEEN, &args);
	}
	g_hash_table_remove_all(entry->seen);
	entry->seen_sent_ms = now_ms;
}

/*
 * Serves RPC_SEEN: announcements that arrived at another instance.  A lease is
 * shortened by the time in a queue of the sender or on a stalled connection.
 */
void
workers_serve_seen(entry_t *entry, const char *peer, const seen_args_t *args)
{
	transit_t *transit = g_hash_table_lookup(entry->transits, peer);
	int64_t now_ms = clock_mono_ms();
	int64_t excess_ms;

	if (transit == NULL) {
		transit = g_new0(transit_t, 1);
		g_hash_table_insert(entry->transits, g_strdup(peer), transit);
	}
	excess_ms = transit_excess_ms(
	    transit, args->incarnation, args->sent_ms, now_ms);

	for (u_int i = 0; i < args->items.items_len; i++) {
		const seen_item_t *item = &args->items.items_val[i];

		note_seen(entry, item->worker, item->generation,
		    now_ms - MAX(item->age_ms, 0) - excess_ms, item->leaving);
	}
}

static void
answer_announcement(entry_t *entry, http_request_t *http, const char *id)
{
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), id);

	if (worker == NULL) {
		entry_refuse(entry, http, 503, "did_not_run", "no_quorum", "",
		    1000, "worker %s is not registered", id);
		return;
	}
	http_answer_json(http, 200,
	    json_pack("{s:I, s:I, s:I, s:s}", "lease_ms",
		(json_int_t)entry->settings->worker_lease_ms, "fence",
		(json_int_t)worker->fence, "config_version",
		(json_int_t)machine_config_version(entry_machine(entry)),
		"owner", worker->owner));
}

/* An announcement or a leave whose command is being committed. */
typedef struct {
	handle_t *handle;
	http_request_t *http;
	char *id;
	int64_t seen_ms;
	uint64_t generation;
	int running;
	bool told_owner;
	bool leaving;
} pending_t;

static pending_t *
pending_create(
    entry_t *entry, http_request_t *http, const char *id, uint64_t generation)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->handle = g_rc_box_acquire(entry->handle);
	pending->http = http;
	pending->id = g_strdup(id);
	pending->generation = generation;
	pending->seen_ms = clock_mono_ms();
	return pending;
}

static void
on_committed(void *ctx, const err_t *err, const command_result_t *result)
{
	pending_t *pending = ctx;
	entry_t *entry = pending->handle->entry;

	if (entry == NULL) {
		http_answer_error(pending->http, 503, "did_not_run", "draining",
		    "", 0, "the instance has stopped");
	} else if (err->code != 0 && !pending->told_owner) {
		entry_refuse(entry, pending->http, 503, "did_not_run",
		    "no_quorum", "", 1000,
		    "the change was not confirmed by a majority: %.100s",
		    err->text);
	} else if (pending->leaving) {
		http_answer_json(pending->http, 200, json_object());
	} else if (result->code != 0) {
		entry_refuse(entry, pending->http, 400, "did_not_run",
		    "bad_request", "", 0, "%.200s", result->text);
	} else {
		workers_sync_one(entry, pending->id);
		pass_on_seen(entry, pending->id, pending->generation,
		    pending->seen_ms, pending->running);
		answer_announcement(entry, pending->http, pending->id);
	}
	g_rc_box_release(pending->handle);
	g_free(pending->id);
	g_free(pending);
}

static void
propose_worker(entry_t *entry, http_request_t *http,
    const announcement_t *given, const machine_worker_t *known)
{
	command_t command = {.kind = COMMAND_WORKER_ADD};
	worker_command_t *worker = &command.command_t_u.worker;
	pending_t *pending =
	    pending_create(entry, http, given->id, (uint64_t)given->generation);
	GHashTable *counts = ownership_count(entry);
	const char *owner =
	    ownership_choose(entry, counts, given->id, given->domain, NULL);

	pending->running = (int)given->running;
	g_hash_table_unref(counts);
	if (known != NULL)
		owner = known->owner;
	else if (owner == NULL)
		owner = entry->settings->instance;
	worker->id = (char *)given->id;
	worker->address = (char *)given->address;
	worker->port = (int)given->port;
	worker->domain = (char *)given->domain;
	worker->rack = (char *)given->rack;
	worker->slots = (int)given->slots;
	worker->connections = (int)given->connections;
	worker->accelerators = (int)given->accelerators;
	worker->generation = (uint64_t)given->generation;
	worker->owner = (char *)owner;
	worker->time_ms = clock_real_ms();
	replica_propose(entry->replica, &command, PROPOSE_DEADLINE_MS,
	    on_committed, pending);
}

/*
 * Serves POST /v1/workers.  Only a new worker or a new generation goes through
 * the log; other announcements renew the lease.
 */
void
workers_post(entry_t *entry, http_request_t *http)
{
	announcement_t given = {0};
	const machine_worker_t *known;
	json_t *root;

	if (!entry_read_body(entry, http, announcement_fields,
		G_N_ELEMENTS(announcement_fields), &given, &root))
		return;
	known = machine_worker(entry_machine(entry), given.id);
	if (known == NULL || known->generation != (uint64_t)given.generation) {
		propose_worker(entry, http, &given, known);
	} else {
		pass_on_seen(entry, known->id, known->generation,
		    clock_mono_ms(), (int)given.running);
		answer_announcement(entry, http, known->id);
	}
	json_decref(root);
}

/* Tells the owner at once; returns whether it certainly knows. */
static bool
tell_owner_of_leave(entry_t *entry, const machine_worker_t *worker)
{
	seen_item_t item = {.worker = worker->id,
	    .generation = worker->generation,
	    .leaving = true};
	seen_args_t args = {.incarnation = entry->incarnation,
	    .sent_ms = clock_mono_ms(),
	    .items.items_len = 1,
	    .items.items_val = &item};

	note_seen(entry, worker->id, worker->generation, 0, true);
	if (entry_is_self(entry, worker->owner))
		return true;
	endpoint_send(entry->endpoint, worker->owner, RPC_SEEN, &args);
	return false;
}

/* Serves POST /v1/workers/{id}/leave. */
void
workers_leave(entry_t *entry, http_request_t *http, str_t id)
{
	announcement_t given = {0};
	command_t command = {.kind = COMMAND_WORKER_LEAVE};
	const machine_worker_t *worker = NULL;
	char name[NAME_MAX_LEN + 1];
	pending_t *pending;
	json_t *root;

	if (!entry_read_body(entry, http, leave_fields,
		G_N_ELEMENTS(leave_fields), &given, &root))
		return;
	json_decref(root);
	if (str_copy(id, name, sizeof(name)) == 0)
		worker = machine_worker(entry_machine(entry), name);
	if (worker == NULL) {
		entry_refuse(entry, http, 404, "did_not_run", "not_found", "",
		    0, "no such worker");
		return;
	}
	if (worker->generation != (uint64_t)given.generation) {
		entry_refuse(entry, http, 409, "did_not_run", "conflict",
		    "/generation", 0, "worker %s has another generation", name);
		return;
	}
	pending = pending_create(entry, http, name, worker->generation);
	pending->leaving = true;
	pending->told_owner = tell_owner_of_leave(entry, worker);
	command.command_t_u.worker_leave = name;
	replica_propose(entry->replica, &command, PROPOSE_DEADLINE_MS,
	    on_committed, pending);
}

/* Sends announcements on, notices ended leases, follows the state. */
void
workers_sweep(entry_t *entry, int64_t now_ms)
{
	while (slots_next_expired(entry->slots, now_ms) != NULL)
		counter_add(entry->metrics.lease_ends, 1);
	if (now_ms - entry->seen_sent_ms >= SEEN_INTERVAL_MS)
		send_seen(entry, now_ms);
	if (now_ms - entry->synced_ms >= SYNC_INTERVAL_MS) {
		entry->synced_ms = now_ms;
		workers_sync(entry);
	}
}
