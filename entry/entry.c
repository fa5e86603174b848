#include "entry/entry.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/log.h"
#include "entry/internal.h"

#define IDLE_TIMEOUT_S 75 /* of a caller's kept connection */
#define KEY_FUTURE_MS 300000
#define DEFAULT_KEY_WINDOW_MS 86400000
#define MIN_KEY_RANDOM 8
#define MAX_KEY_RANDOM 64
#define MAX_ANSWER_FROM_WORKER BODY_MAX_LEN

/* Returns the name of an outcome in the public protocol. */
const char *
outcome_name(outcome_t outcome)
{
	static const char *const names[] = {
	    [OUTCOME_DONE] = "done",
	    [OUTCOME_DID_NOT_RUN] = "did_not_run",
	    [OUTCOME_UNKNOWN] = "unknown",
	    [OUTCOME_RUNNING] = "running",
	};

	return names[outcome];
}

/* Writes a new id, unique in the system across restarts. */
void
entry_new_id(entry_t *entry, const char *prefix, char *id, size_t size)
{
	g_snprintf(id, size, "%s%s-%" PRIx64 "-%" PRIu64, prefix,
	    entry->settings->instance, entry->incarnation, ++entry->next_id);
}

/* Builds the error body of docs/INTERFACES.md. */
json_t *
entry_error(entry_t *entry, const char *outcome, const char *error,
    const char *path, int64_t retry_after_ms, const char *text)
{
	json_t *body = json_pack("{s:s, s:s, s:s}", "outcome", outcome, "error",
	    error, "path", path);
	char *valid = g_utf8_make_valid(text, -1);

	json_object_set_new(body, "text", json_string(valid));
	g_free(valid);
	if (retry_after_ms > 0)
		json_object_set_new(
		    body, "retry_after_ms", json_integer(retry_after_ms));
	json_object_set_new(body, "config_version",
	    json_integer(
		(json_int_t)machine_config_version(entry_machine(entry))));
	return body;
}

/* Whether the caller says that it has sent the same key before. */
bool
entry_is_resend(http_request_t *http)
{
	return http_header(http, "X-Chervilhold-Resend").data != NULL;
}

/* A refusal for the moment says nothing about an earlier sending. */
static bool
is_for_the_moment(int status)
{
	return status == 429 || status == 503;
}

/* Answers with an error. */
void
entry_refuse(entry_t *entry, http_request_t *http, int status,
    const char *outcome, const char *error, const char *path,
    int64_t retry_after_ms, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	metrics_refusal(error);
	if (is_for_the_moment(status) && entry_is_resend(http) &&
	    strcmp(outcome, outcome_name(OUTCOME_DID_NOT_RUN)) == 0)
		outcome = outcome_name(OUTCOME_UNKNOWN);
	http_answer_json(http, status,
	    entry_error(entry, outcome, error, path, retry_after_ms, text));
	g_free(text);
}

/* Reads a JSON body by a table; answers and returns false when it is bad. */
bool
entry_read_body(entry_t *entry, http_request_t *http, const field_t *table,
    size_t count, void *out, json_t **root)
{
	field_problem_t problem;

	*root = fields_read(http_body(http), table, count, out, &problem);
	if (*root != NULL)
		return true;
	entry_refuse(entry, http, 400, "did_not_run", "bad_request",
	    problem.path, 0, "%s", problem.text);
	return false;
}

static bool
is_well_formed_key(str_t key, long long *stamp_ms)
{
	str_t stamp;
	str_t random;

	if (!str_cut(key, '-', &stamp, &random) ||
	    str_to_int64(stamp, stamp_ms) != 0 || random.len < MIN_KEY_RANDOM ||
	    random.len > MAX_KEY_RANDOM)
		return false;
	for (size_t i = 0; i < random.len; i++) {
		if (!g_ascii_isalnum(random.data[i]))
			return false;
	}
	return true;
}

/*
 * Reads the Idempotency-Key into key, of NAME_MAX_LEN + 1 bytes; answers and
 * returns false when it is missing or not valid now.
 */
bool
entry_read_key(entry_t *entry, http_request_t *http, char *key)
{
	str_t text = http_header(http, "Idempotency-Key");
	const json_t *window = json_object_get(
	    machine_config(entry_machine(entry)), "claim_window_ms");
	int64_t window_ms = json_is_integer(window) ? json_integer_value(window)
						    : DEFAULT_KEY_WINDOW_MS;
	int64_t now_ms = clock_real_ms();
	long long stamp_ms;

	if (text.data == NULL) {
		entry_refuse(entry, http, 422, "did_not_run", "key_malformed",
		    "", 0, "the header Idempotency-Key is required");
		return false;
	}
	if (!is_well_formed_key(text, &stamp_ms) ||
	    str_copy(text, key, NAME_MAX_LEN + 1) != 0) {
		entry_refuse(entry, http, 422, "did_not_run", "key_malformed",
		    "", 0,
		    "expected <unix time in ms>-<%d to %d of [A-Za-z0-9]>",
		    MIN_KEY_RANDOM, MAX_KEY_RANDOM);
		return false;
	}
	if (stamp_ms < now_ms - window_ms ||
	    stamp_ms > now_ms + KEY_FUTURE_MS) {
		entry_refuse(entry, http, 422, "did_not_run", "key_expired", "",
		    0, "the key is not valid at %lld", (long long)now_ms);
		return false;
	}
	return true;
}

/* Returns the digest that tells a resent body from another one. */
uint64_t
entry_digest(str_t body)
{
	return XXH3_64bits(body.data, body.len);
}

/* Takes a reference to a request for a call that can't be aborted. */
ticket_t *
ticket_create(const request_t *request)
{
	ticket_t *ticket = g_new0(ticket_t, 1);

	ticket->handle = g_rc_box_acquire(request->entry->handle);
	memcpy(ticket->id, request->id, sizeof(ticket->id));
	memcpy(ticket->task, request->task, sizeof(ticket->task));
	ticket->started_us = clock_mono_us();
	return ticket;
}

/* Frees the ticket; NULL when the request has ended or tries another task. */
request_t *
ticket_redeem(ticket_t *ticket)
{
	entry_t *entry = ticket->handle->entry;
	request_t *request = NULL;

	if (entry != NULL)
		request = g_hash_table_lookup(entry->by_id, ticket->id);
	if (request != NULL && strcmp(request->task, ticket->task) != 0)
		request = NULL;
	g_rc_box_release(ticket->handle);
	g_free(ticket);
	return request;
}

static void
answer_ready(entry_t *entry, http_request_t *http)
{
	if (entry->draining)
		entry_refuse(entry, http, 503, "did_not_run", "draining", "", 0,
		    "this instance is leaving");
	else if (!replica_was_confirmed(entry->replica))
		entry_refuse(entry, http, 503, "did_not_run", "starting", "",
		    1000, "this instance is not ready");
	else
		http_answer_json(http, 200, json_pack("{s:b}", "ready", 1));
}

typedef enum {
	ROUTE_READY,
	ROUTE_REQUEST_POST,
	ROUTE_REQUEST_GET,
	ROUTE_REQUEST_DELETE,
	ROUTE_JOB_POST,
	ROUTE_JOB_GET,
	ROUTE_JOB_RESULT,
	ROUTE_JOB_DELETE,
	ROUTE_WORKER_POST,
	ROUTE_WORKER_LEAVE,
} route_id_t;

typedef struct {
	const char *method;
	const char *path; /* "*" stands for one name */
	route_id_t id;
	bool is_new_work; /* refused while draining */
} route_t;

static const route_t routes[] = {
    {"GET", "/v1/ready", ROUTE_READY, .is_new_work = false},
    {"POST", "/v1/requests", ROUTE_REQUEST_POST, .is_new_work = true},
    {"GET", "/v1/requests/*", ROUTE_REQUEST_GET, .is_new_work = false},
    {"DELETE", "/v1/requests/*", ROUTE_REQUEST_DELETE, .is_new_work = false},
    {"POST", "/v1/jobs", ROUTE_JOB_POST, .is_new_work = true},
    {"GET", "/v1/jobs/*/result", ROUTE_JOB_RESULT, .is_new_work = false},
    {"GET", "/v1/jobs/*", ROUTE_JOB_GET, .is_new_work = false},
    {"DELETE", "/v1/jobs/*", ROUTE_JOB_DELETE, .is_new_work = false},
    {"POST", "/v1/workers", ROUTE_WORKER_POST, .is_new_work = false},
    {"POST", "/v1/workers/*/leave", ROUTE_WORKER_LEAVE, .is_new_work = false},
};

/* Matches a path with a pattern and returns what stands for its "*". */
static bool
match(const char *pattern, str_t path, str_t *name)
{
	const char *star = strchr(pattern, '*');
	str_t head = {
	    pattern, star != NULL ? (size_t)(star - pattern) : strlen(pattern)};
	str_t tail = str_from(star != NULL ? star + 1 : "");

	if (star == NULL)
		return str_equal(path, head);
	if (!str_starts(path, head) || path.len <= head.len + tail.len ||
	    memcmp(path.data + path.len - tail.len, tail.data, tail.len) != 0)
		return false;
	*name = (str_t){path.data + head.len, path.len - head.len - tail.len};
	return memchr(name->data, '/', name->len) == NULL;
}

static void
serve_route(
    entry_t *entry, const route_t *route, http_request_t *http, str_t name)
{
	switch (route->id) {
	case ROUTE_READY:
		answer_ready(entry, http);
		break;
	case ROUTE_REQUEST_POST:
		requests_post(entry, http);
		break;
	case ROUTE_REQUEST_GET:
		requests_get(entry, http, name);
		break;
	case ROUTE_REQUEST_DELETE:
		requests_delete(entry, http, name);
		break;
	case ROUTE_JOB_POST:
		jobs_post(entry, http);
		break;
	case ROUTE_JOB_GET:
		jobs_get(entry, http, name, false);
		break;
	case ROUTE_JOB_RESULT:
		jobs_get(entry, http, name, true);
		break;
	case ROUTE_JOB_DELETE:
		jobs_delete(entry, http, name);
		break;
	case ROUTE_WORKER_POST:
		workers_post(entry, http);
		break;
	case ROUTE_WORKER_LEAVE:
		workers_leave(entry, http, name);
		break;
	}
}

/* Serves a request of a caller or backend server. */
static void
on_http(void *ctx, http_request_t *http)
{
	entry_t *entry = ctx;
	str_t path = http_path(http);
	bool path_known = false;
	str_t name = {NULL, 0};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const route_t *route = &routes[i];

		if (!match(route->path, path, &name))
			continue;
		path_known = true;
		if (!str_equal(http_method(http), str_from(route->method)))
			continue;
		if (route->id != ROUTE_READY &&
		    ((route->is_new_work && entry->draining) ||
			!replica_was_confirmed(entry->replica)))
			answer_ready(entry, http);
		else
			serve_route(entry, route, http, name);
		return;
	}
	if (path_known)
		entry_refuse(entry, http, 405, "did_not_run", "bad_method", "",
		    0, "this route has no such method");
	else
		entry_refuse(entry, http, 404, "did_not_run", "not_found", "",
		    0, "no such route");
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_t *entry = watcher->data;
	int64_t now_ms = clock_mono_ms();

	dispatch_sweep(entry, now_ms);
	waiters_expire(entry, now_ms);
	ended_expire(entry, now_ms);
	claims_sweep(entry, now_ms);
	workers_sweep(entry, now_ms);
	ownership_sweep(entry, now_ms);
	dispatch_run(entry);
	forward_share(entry, now_ms);
	for (int lane = 0; lane < LANE_COUNT; lane++)
		counter_set(entry->metrics.waiting[lane],
		    lanes_waiting(entry->lanes, (lane_t)lane));
	counter_set(
	    entry->metrics.quarantines, health_quarantine_count(entry->health));
	drain_sweep(entry, now_ms);
}

/* Dispatches once for everything that happened in this turn of the loop. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	entry_t *entry = watcher->data;

	if (entry->dispatch_wanted)
		dispatch_run(entry);
}

static void
peer_free(void *data)
{
	peer_t *peer = data;

	g_free(peer->id);
	g_free(peer);
}

static void
create_parts(entry_t *entry)
{
	const settings_t *settings = entry->settings;

	entry->handle = g_rc_box_new0(handle_t);
	entry->handle->entry = entry;
	metrics_create(&entry->metrics);
	/* Lowered by the workers' own limits as they announce themselves. */
	entry->connections = INT32_MAX;
	entry->client = client_create(entry->loop, 0, MAX_ANSWER_FROM_WORKER);
	entry->lanes = lanes_create((int)settings->queue_limit);
	entry->limiter = limiter_create();
	entry->slots = slots_create(
	    (int)settings->short_reserved_slots, settings->worker_lease_ms);
	entry->health = health_create();
	entry->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	entry->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	entry->ended = g_hash_table_new(g_str_hash, g_str_equal);
	entry->transits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	entry->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	entry->last_seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	entry->seen = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	entry->moving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&entry->active);
	g_queue_init(&entry->waiters);
	g_queue_init(&entry->ended_order);
	g_queue_init(&entry->claim_ends);
	entry->seen_sent_ms = clock_mono_ms();
	ev_timer_init(
	    &entry->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
	entry->tick.data = entry;
	ev_timer_start(entry->loop, &entry->tick);
	ev_prepare_init(&entry->prepare, on_prepare);
	entry->prepare.data = entry;
	ev_prepare_start(entry->loop, &entry->prepare);
}

static size_t
body_limit(void *ctx, const http_request_t *http)
{
	const entry_t *entry = ctx;

	return str_equal(http_method(http), STR_LIT("GET"))
		   ? 0
		   : (size_t)entry->settings->max_body_bytes;
}

/*
 * Creates the entry task and listens on the HTTP port.  Settings, endpoint and
 * replica must outlive it; their open calls may end after it.
 */
entry_t *
entry_create(struct ev_loop *loop, const settings_t *settings,
    endpoint_t *endpoint, replica_t *replica, mem_budget_t *memory,
    uint64_t incarnation, err_t *err)
{
	listener_options_t options = {
	    .address = settings->address,
	    .port = (uint16_t)settings->http_port,
	    .max_body_bytes = (size_t)settings->max_body_bytes,
	    .body_limit = body_limit,
	    .max_connections = MIN((unsigned)settings->max_connections,
		mem_budget_connections(memory, MEM_CALLERS)),
	    .idle_timeout_s = IDLE_TIMEOUT_S,
	    .memory = mem_budget_share(memory, MEM_CALLERS),
	};
	entry_t *entry = g_new0(entry_t, 1);

	entry->loop = loop;
	entry->settings = settings;
	entry->endpoint = endpoint;
	entry->replica = replica;
	entry->incarnation = incarnation;
	create_parts(entry);
	entry->listener = listener_create(loop, &options, on_http, entry, err);
	if (entry->listener == NULL) {
		entry_destroy(entry);
		return NULL;
	}
	return entry;
}

/* Ends the task; open requests are answered with what is known of them. */
void
entry_destroy(entry_t *entry)
{
	ended_t *ended;

	if (entry == NULL)
		return;
	ev_timer_stop(entry->loop, &entry->tick);
	ev_prepare_stop(entry->loop, &entry->prepare);
	while (entry->active.length > 0)
		request_fail_by_fate(entry->active.head->data, 503, "draining",
		    "the instance has stopped");
	listener_destroy(entry->listener);
	client_destroy(entry->client);
	claims_destroy(entry);
	while ((ended = g_queue_pop_head(&entry->ended_order)) != NULL)
		g_free(ended);
	lanes_destroy(entry->lanes);
	limiter_destroy(entry->limiter);
	slots_destroy(entry->slots);
	health_destroy(entry->health);
	g_hash_table_unref(entry->by_id);
	g_hash_table_unref(entry->by_key);
	g_hash_table_unref(entry->ended);
	g_hash_table_unref(entry->peers);
	g_hash_table_unref(entry->transits);
	g_hash_table_unref(entry->last_seen);
	g_hash_table_unref(entry->seen);
	g_hash_table_unref(entry->moving);
	entry->handle->entry = NULL;
	g_rc_box_release(entry->handle);
	g_free(entry);
}

/* Returns the port of callers and backend servers. */
uint16_t
entry_port(const entry_t *entry)
{
	return listener_port(entry->listener);
}

/* Returns the client of backend servers. */
client_t *
entry_client(const entry_t *entry)
{
	return entry->client;
}

/* Serves a call of another instance. */
void
entry_serve_rpc(entry_t *entry, const char *peer, uint32_t procedure,
    void *args, endpoint_request_t *request)
{
	switch (procedure) {
	case RPC_FORWARD:
		forward_serve(entry, args, request);
		break;
	case RPC_ASK:
		forward_serve_ask(entry, args, request);
		break;
	case RPC_SEEN:
		workers_serve_seen(entry, peer, args);
		break;
	case RPC_SHARE:
		forward_serve_share(entry, args);
		break;
	default:
		log_line(LOG_WARNING, "unexpected procedure %u from %s",
		    procedure, peer);
		break;
	}
}

/* Follows a command that was applied to the replicated state. */
void
entry_applied(
    entry_t *entry, const command_t *command, const command_result_t *result)
{
	if (result->code != 0)
		return;
	switch (command->kind) {
	case COMMAND_WORKER_ADD:
		workers_sync_one(entry, command->command_t_u.worker.id);
		break;
	case COMMAND_WORKER_LEAVE:
		workers_sync_one(entry, command->command_t_u.worker_leave);
		break;
	case COMMAND_WORKER_OWNER:
		workers_sync_one(entry, command->command_t_u.worker_owner.id);
		break;
	case COMMAND_WORKER_REMOVE:
		workers_sync_one(entry, command->command_t_u.worker_remove.id);
		break;
	case COMMAND_JOB_START:
	case COMMAND_JOB_END:
	case COMMAND_JOB_CANCEL:
		entry->members_changed = true;
		entry->dispatch_wanted = true;
		break;
	default:
		break;
	}
}
