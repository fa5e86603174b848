#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry/internal.h"

/* Silence on a call before its task is asked after; see docs/design.md. */
#define SILENT_AFTER_MS 1000
/* The call of a request that may not be repeated outlives its caller. */
#define KEPT_CALL_MS 86400000
/* Waiting requests passed over in one turn because their own workers are full.
 */
#define MAX_SKIPPED 16

typedef struct {
	entry_t *entry;
	const request_t *request;
	int64_t now_ms;
	bool found;
} rank_t;

static int
rank_worker(void *ctx, const slots_worker_t *worker)
{
	const rank_t *rank = ctx;

	return health_rank(rank->entry->health, worker->id,
	    &rank->request->health, rank->now_ms);
}

static void
check_other(void *ctx, slots_worker_t *worker)
{
	rank_t *rank = ctx;

	if (slots_usable(rank->entry->slots, worker, rank->now_ms) &&
	    rank_worker(rank, worker) >= 0)
		rank->found = true;
}

/* Tells whether some backend server is left that the request may try. */
static bool
others_are_left(request_t *request, int64_t now_ms)
{
	rank_t rank = {request->entry, request, now_ms, false};

	slots_foreach(request->entry->slots, check_other, &rank);
	return rank.found;
}

/* Binds a request to a worker on which a slot was taken for it. */
static void
attempt_start(request_t *request, const slots_worker_t *slot, int64_t now_ms)
{
	entry_t *entry = request->entry;
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), slot->id);
	lane_t lane = request->item.lane;

	if (request->attempt == 0)
		histogram_record(entry->metrics.queue_us[lane],
		    clock_mono_us() - request->arrived_us);
	request_waited(request, now_ms);
	request->taken_ms = now_ms;
	g_free(request->worker);
	request->worker = g_strdup(slot->id);
	request->slot_lane = lane;
	request->holds_slot = true;
	request->fence = worker->fence;
	request->stopping = STOP_NONE;
	request->stopped_ms = 0;
	request->probe_failures = 0;
	request->attempt++;
	g_snprintf(request->task, sizeof(request->task), "%.90s.%d.%" PRIx64,
	    request->id, request->attempt, worker->generation);
	health_started(entry->health, slot->id, now_ms);
	if (request->repeatable)
		dispatch_send(request);
	else
		claims_begin(request);
}

/* Returns how many slots serve the lane of a request, taken ones too. */
int
dispatch_slots(request_t *request, int64_t now_ms)
{
	rank_t rank = {request->entry, request, now_ms, false};

	return slots_total(request->entry->slots, request->item.lane, now_ms,
	    rank_worker, &rank);
}

static bool
is_owned(const entry_t *entry, const char *id)
{
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), id);

	return worker != NULL && entry_is_self(entry, worker->owner);
}

/* Finds a place for a request here or elsewhere; false when there is none. */
static bool
dispatch_one(request_t *request, int64_t now_ms)
{
	entry_t *entry = request->entry;
	rank_t rank = {entry, request, now_ms, false};
	slots_worker_t *slot = slots_take(
	    entry->slots, request->item.lane, now_ms, rank_worker, &rank);

	if (slot != NULL && !is_owned(entry, slot->id)) {
		/* Moved to another owner since the last applied command. */
		slots_remove(entry->slots, slot->id);
		return false;
	}
	if (slot == NULL)
		return forward_try(request);
	attempt_start(request, slot, now_ms);
	return true;
}

/*
 * Dispatches a new request without queueing it when none waits before it;
 * false when it has to wait.
 */
bool
dispatch_at_once(request_t *request, int64_t now_ms)
{
	entry_t *entry = request->entry;

	if (entry->members_changed)
		workers_count_members(entry);
	return lanes_waiting(entry->lanes, request->item.lane) == 0 &&
	       dispatch_one(request, now_ms);
}

static void
dispatch_lane(entry_t *entry, lane_t lane, int64_t now_ms)
{
	lanes_item_t *skipped[MAX_SKIPPED];
	lanes_item_t *item;
	int count = 0;

	while (count < MAX_SKIPPED &&
	       (item = lanes_next(entry->lanes, lane)) != NULL) {
		request_t *request =
		    (request_t *)((char *)item - offsetof(request_t, item));
		bool is_picky = request->health.failures > 0;

		if (dispatch_one(request, now_ms))
			continue;
		skipped[count++] = item;
		/* One that may not go back to a server blocks no others. */
		if (!is_picky)
			break;
	}
	while (count > 0)
		lanes_put_back(entry->lanes, skipped[--count]);
}

/* Dispatches waiting requests while there are slots, short ones first. */
void
dispatch_run(entry_t *entry)
{
	int64_t now_ms = clock_mono_ms();

	entry->dispatch_wanted = false;
	if (entry->members_changed)
		workers_count_members(entry);
	dispatch_lane(entry, LANE_SHORT, now_ms);
	dispatch_lane(entry, LANE_BATCH, now_ms);
}

static GString *
put_body(const request_t *request)
{
	GString *body = g_string_sized_new(256);

	append_number(body, "{\"mode\":\"run\",\"lease_ms\":", TASK_LEASE_MS);
	g_string_append(body, ",\"tenant\":\"");
	g_string_append(body, request->tenant);
	append_number(body, "\",\"declared_ms\":", request->declared_ms);
	g_string_append(body, ",\"input\":");
	g_string_append(body, request->input);
	return g_string_append_c(body, '}');
}

static void on_put(void *ctx, const err_t *err, const client_answer_t *answer);

/*
 * Sends the task to the worker whose slot the request holds.  The lease and
 * the owner are looked at again: a claim takes a while.
 */
void
dispatch_send(request_t *request)
{
	entry_t *entry = request->entry;
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), request->worker);
	const slots_worker_t *slot = slots_find(entry->slots, request->worker);
	char path[NAME_MAX_LEN + 16];
	int64_t now_ms = clock_mono_ms();
	client_request_t call = {.method = "PUT", .path = path};
	GString *body;

	request->state = REQUEST_RUNNING;
	if (worker == NULL || slot == NULL || worker->fence != request->fence ||
	    !entry_is_self(entry, worker->owner) ||
	    !slots_usable(entry->slots, slot, now_ms)) {
		dispatch_did_not_run(request);
		return;
	}
	body = put_body(request);
	g_strlcpy(path, "/v1/tasks/", sizeof(path));
	g_strlcat(path, request->task, sizeof(path));
	call.address = worker->address;
	call.port = worker->port;
	call.fence = request->fence;
	call.config_version = machine_config_version(entry_machine(entry));
	call.body = (str_t){body->str, body->len};
	call.deadline_ms = KEPT_CALL_MS;
	/* A kept connection that closes unanswered leaves open whether the task
	 * ran; the server may have restarted and forgotten it. */
	call.fresh_connection = !request->repeatable;
	request->may_have_run = true;
	request->started_ms = now_ms;
	request->renewed_ms = now_ms;
	request->known_ms = now_ms;
	request->next_check_ms =
	    now_ms + MAX(SILENT_AFTER_MS, 2 * request->declared_ms);
	request->call = client_start(entry->client, &call, on_put, request);
	g_string_free(body, TRUE);
}

static void
end_attempt(request_t *request)
{
	if (request->call != NULL)
		client_abort(request->call);
	if (request->probe != NULL)
		client_abort(request->probe);
	if (request->renewal != NULL)
		client_abort(request->renewal);
	request->call = NULL;
	request->probe = NULL;
	request->renewal = NULL;
	request->stopping = STOP_NONE;
	request_release_slot(request);
}

/*
 * Tries a repeatable request on another backend server within the retry budget,
 * or ends it with the given error.
 */
void
dispatch_retry(request_t *request, int status, const char *error,
    outcome_t outcome, const char *text)
{
	entry_t *entry = request->entry;
	int64_t now_ms = clock_mono_ms();
	health_verdict_t verdict = health_failed(
	    entry->health, request->worker, &request->health, now_ms);

	if (outcome == OUTCOME_UNKNOWN)
		task_stop_and_forget(request);
	end_attempt(request);
	if (verdict == HEALTH_RETRY_ELSEWHERE && !request->cancelled &&
	    now_ms < request->deadline_ms && others_are_left(request, now_ms)) {
		if (retry_budget_take(&entry->retry_budget, now_ms)) {
			counter_add(entry->metrics.retries, 1);
			request_requeue(request);
			return;
		}
		counter_add(entry->metrics.retries_denied, 1);
	}
	request_fail(request, outcome, status, error, 0,
	    "backend server %s: %s", request->worker, text);
}

/* Queues a request again whose present attempt was certainly not run. */
void
dispatch_did_not_run(request_t *request)
{
	if (request->key != NULL) {
		claims_end(request, CLAIM_DID_NOT_RUN, 0, (str_t){NULL, 0});
		request->may_have_run = false;
	}
	/* Of a repeatable request earlier attempts may have run; the answer
	 * then stays "unknown". */
	if (request->repeatable && request->health.failures == 0 &&
	    !request->requeued)
		request->may_have_run = false;
	end_attempt(request);
	if (request->cancelled)
		request_fail_by_fate(
		    request, 409, "cancelled", "cancelled before it ran");
	else if (clock_mono_ms() >= request->deadline_ms)
		request_fail_by_fate(
		    request, 504, "timeout", "the deadline has passed");
	else
		request_requeue(request);
}

/* Queues a request whose task was stopped to run as batch work. */
void
dispatch_requeue(request_t *request)
{
	end_attempt(request);
	if (clock_mono_ms() >= request->deadline_ms)
		request_fail_by_fate(
		    request, 504, "timeout", "the deadline has passed");
	else
		request_requeue(request);
}

static void
on_put_stopped(request_t *request, task_fate_t fate)
{
	/* The answer to the stop is on its way when there is a probe. */
	if (request->probe != NULL)
		return;
	if (request->stopping == STOP_CANCEL)
		dispatch_cancelled(request, fate);
	else if (fate == TASK_STOPPED_NOT_RUN)
		dispatch_did_not_run(request);
	else
		probe_start(request);
}

static void
on_put(void *ctx, const err_t *err, const client_answer_t *answer)
{
	request_t *request = ctx;
	entry_t *entry = request->entry;
	int64_t now_ms = clock_mono_ms();
	task_fate_t fate = task_fate(err, answer);
	slots_worker_t *slot = slots_find(entry->slots, request->worker);

	request->call = NULL;
	switch (fate) {
	case TASK_DONE:
		dispatch_done(request, answer);
		break;
	case TASK_FAILED:
		dispatch_failed(request, answer);
		break;
	case TASK_BUSY:
	case TASK_FENCED:
		if (slot != NULL)
			slots_back_off(slot, now_ms);
		dispatch_did_not_run(request);
		break;
	case TASK_NOT_SENT:
		health_unreachable(entry->health, request->worker, now_ms);
		dispatch_did_not_run(request);
		break;
	case TASK_STOPPED_RAN:
	case TASK_STOPPED_NOT_RUN:
		on_put_stopped(request, fate);
		break;
	case TASK_ACTIVE:
	case TASK_UNSEEN:
	case TASK_LOST:
		/* Its task is asked after by id, before anything else. */
		if (request->probe == NULL)
			probe_start(request);
		break;
	}
}

/* Stops the running task of a request. */
void
dispatch_stop(request_t *request, stop_reason_t reason)
{
	probe_stop(request, reason);
}

static void
on_renewed(void *ctx, const err_t *err, const client_answer_t *answer)
{
	((request_t *)ctx)->renewal = NULL;
}

static void
renew(request_t *request, int64_t now_ms)
{
	char body[48];

	if (now_ms - request->renewed_ms < TASK_RENEW_MS ||
	    request->renewal != NULL)
		return;
	request->renewed_ms = now_ms;
	g_snprintf(body, sizeof(body), "{\"lease_ms\":%d}", TASK_LEASE_MS);
	request->renewal =
	    task_call(request, "POST", "/renew", body, on_renewed);
}

/* Judges a request that holds a slot of the short lane. */
static void
judge(request_t *request, int64_t now_ms)
{
	entry_t *entry = request->entry;
	lanes_verdict_t verdict;

	if (request->slot_lane != LANE_SHORT || !request->holds_slot)
		return;
	verdict =
	    lanes_reclassify(now_ms - request->started_ms, request->repeatable,
		request->requeued, lanes_waiting(entry->lanes, LANE_SHORT));
	if (verdict == LANES_KEEP)
		return;
	counter_add(entry->metrics.reclassified, 1);
	slots_move(entry->slots, request->worker, LANE_SHORT, LANE_BATCH);
	request->slot_lane = LANE_BATCH;
	if (verdict != LANES_STOP_AND_REQUEUE || request->stopping != STOP_NONE)
		return;
	request->requeued = true;
	request->lane_changed = true;
	request->item.lane = LANE_BATCH;
	dispatch_stop(request, STOP_REQUEUE);
}

/* Answers the caller of a request whose deadline has passed. */
static void
time_out(request_t *request)
{
	json_t *body;
	char *text;

	if (request->repeatable) {
		if (request->state == REQUEST_RUNNING)
			task_stop_and_forget(request);
		request_fail_by_fate(
		    request, 504, "timeout", "the deadline has passed");
		return;
	}
	if (request->state == REQUEST_ASKING) {
		request_fail(request, OUTCOME_UNKNOWN, 504, "timeout", 0,
		    "the request under this key still runs");
		return;
	}
	if (request->http == NULL && request->rpc == NULL)
		return;
	/* The request goes on: a resend of the key gets its result. */
	body = entry_error(request->entry, "unknown", "timeout", "", 0,
	    "the deadline has passed; the request may still run");
	text = json_dumps(body, JSON_COMPACT);
	request_reply(request, OUTCOME_UNKNOWN, 504, str_from(text), "timeout");
	free(text);
	json_decref(body);
}

static void
sweep_request(request_t *request, int64_t now_ms)
{
	if (request->state == REQUEST_QUEUED ||
	    request->state == REQUEST_CLAIMING)
		return;
	if (now_ms >= request->deadline_ms &&
	    (request->repeatable || request->http != NULL ||
		request->rpc != NULL || request->state == REQUEST_ASKING)) {
		time_out(request);
		return;
	}
	if (request->state == REQUEST_FORWARDED)
		return;
	if (request->state == REQUEST_RUNNING) {
		renew(request, now_ms);
		judge(request, now_ms);
	}
	if (request->worker != NULL && request->task[0] != '\0')
		probe_sweep(request, now_ms);
	else if (request->state == REQUEST_ASKING &&
		 now_ms >= request->next_check_ms)
		claims_resolve(request);
}

/* Looks at every request: deadlines, silent calls, long short requests. */
void
dispatch_sweep(entry_t *entry, int64_t now_ms)
{
	lanes_item_t *item;
	GList *next;

	while ((item = lanes_remove_expired(entry->lanes, now_ms)) != NULL) {
		request_t *request =
		    (request_t *)((char *)item - offsetof(request_t, item));

		request_waited(request, now_ms);
		request_fail_by_fate(request, 504, "timeout",
		    "the deadline passed in the queue");
	}
	for (GList *at = entry->active.head; at != NULL; at = next) {
		next = at->next;
		sweep_request(at->data, now_ms);
	}
}
