#include <errno.h>
#include <stdarg.h>
#include <string.h>

#include "entry/internal.h"

#define DEFAULT_DECLARED_MS 100
#define DEFAULT_DEADLINE_MS 10000
#define MAX_DEADLINE_MS 86400000
/* Of tenants that the configuration does not name. */
#define DEFAULT_WEIGHT 1
#define DEFAULT_RATE_PER_S 100.0
#define DEFAULT_BURST 200.0
#define DEFAULT_QUEUE 500
#define NO_BACKEND_RETRY_MS 1000
/* A key that can't be used: no sending of this body under it has run. */
#define STATUS_NEVER_VALID 422

typedef struct {
	const char *tenant;
	const char *workspace;
	bool repeatable;
	int64_t declared_ms;
	int64_t deadline_ms;
	json_t *input;
} submission_t;

#define AT(member) offsetof(submission_t, member)

static const field_t submission_fields[] = {
    {"tenant", FIELD_NAME, AT(tenant), .required = true},
    {"workspace", FIELD_NAME, AT(workspace), .required = false},
    {"repeatable", FIELD_BOOL, AT(repeatable), .required = false},
    {"declared_ms", FIELD_INTEGER, AT(declared_ms), .max = INT32_MAX},
    {"deadline_ms", FIELD_INTEGER, AT(deadline_ms), .min = 1,
	.max = MAX_DEADLINE_MS},
    {"input", FIELD_ANY, AT(input), .required = false},
};

static lane_t
lane_of(const entry_t *entry, int64_t declared_ms)
{
	return declared_ms <= entry->settings->short_limit_ms ? LANE_SHORT
							      : LANE_BATCH;
}

/* Creates an empty request under an id of this system. */
request_t *
request_create(entry_t *entry, const char *id)
{
	request_t *request = g_new0(request_t, 1);

	request->entry = entry;
	g_strlcpy(request->id, id, sizeof(request->id));
	request->item.id = request->id;
	request->link.data = request;
	request->arrived_us = clock_mono_us();
	g_queue_push_tail_link(&entry->active, &request->link);
	g_hash_table_insert(entry->by_id, request->id, request);
	return request;
}

static void
request_free(request_t *request)
{
	entry_t *entry = request->entry;

	request_release_slot(request);
	if (request->call != NULL)
		client_abort(request->call);
	if (request->probe != NULL)
		client_abort(request->probe);
	if (request->renewal != NULL)
		client_abort(request->renewal);
	if (request->state == REQUEST_QUEUED && request->item.by_deadline)
		lanes_remove(entry->lanes, &request->item);
	if (request->by_key != NULL &&
	    g_hash_table_lookup(entry->by_key, request->by_key) == request)
		g_hash_table_remove(entry->by_key, request->by_key);
	g_hash_table_remove(entry->by_id, request->id);
	g_queue_unlink(&entry->active, &request->link);
	health_clear_request(&request->health);
	g_free(request->input);
	if (request->waiters != NULL)
		g_ptr_array_unref(request->waiters);
	g_free(request->tenant);
	g_free(request->workspace);
	g_free(request->key);
	g_free(request->by_key);
	g_free(request->worker);
	g_free(request->forwarded_to);
	g_free(request);
}

/* Gives the slot of the present attempt back. */
void
request_release_slot(request_t *request)
{
	entry_t *entry = request->entry;

	if (!request->holds_slot)
		return;
	request->holds_slot = false;
	slots_release(entry->slots, request->worker, request->slot_lane);
	health_inconclusive(entry->health, request->worker);
	entry->dispatch_wanted = true;
}

/*
 * Ends a request: answers its caller and everybody who waits, keeps the answer
 * and frees the request.
 */
void
request_end_text(request_t *request, outcome_t outcome, int status, str_t body,
    const char *worker)
{
	entry_t *entry = request->entry;
	int64_t latency_us = clock_mono_us() - request->arrived_us;

	if (worker != NULL && g_strcmp0(worker, request->worker) != 0 &&
	    !request->holds_slot) {
		g_free(request->worker);
		request->worker = g_strdup(worker);
	}
	counter_add(entry->metrics.requests[request->item.lane][outcome], 1);
	histogram_record(
	    entry->metrics.latency_us[request->item.lane], latency_us);
	request_reply(request, outcome, status, body, "");
	request_reply_waiters(request, outcome, status, body, "");
	ended_add(entry, request, outcome, status, body);
	request_free(request);
}

/* Ends a request with a JSON body; takes the reference. */
void
request_end(request_t *request, outcome_t outcome, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	request_end_text(request, outcome, status, str_from(text), NULL);
	free(text);
}

static void
fail_va(request_t *request, outcome_t outcome, int status, const char *error,
    int64_t retry_after_ms, const char *format, va_list args)
{
	char *text = g_strdup_vprintf(format, args);

	/* A refusal does not undo a lost attempt, nor an earlier sending whose
	 * fate is not known here. */
	if (outcome == OUTCOME_DID_NOT_RUN &&
	    (request->may_have_run ||
		(request->resent && status != STATUS_NEVER_VALID)))
		outcome = OUTCOME_UNKNOWN;
	if (outcome == OUTCOME_DID_NOT_RUN)
		metrics_refusal(error);
	request_end(request, outcome, status,
	    entry_error(request->entry, outcome_name(outcome), error, "",
		retry_after_ms, text));
	g_free(text);
}

/* Ends a request with the error body of docs/INTERFACES.md. */
void
request_fail(request_t *request, outcome_t outcome, int status,
    const char *error, int64_t retry_after_ms, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fail_va(request, outcome, status, error, retry_after_ms, format, args);
	va_end(args);
}

/* Like request_fail; the outcome follows from what became of the attempts. */
void
request_fail_by_fate(
    request_t *request, int status, const char *error, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fail_va(request, OUTCOME_DID_NOT_RUN, status, error, 0, format, args);
	va_end(args);
}

/* Limits of a tenant in the configuration in force. */
typedef struct {
	int weight;
	double rate_per_s;
	double burst;
	int queue;
} limits_t;

static double
number_or(const json_t *object, const char *key, double otherwise)
{
	const json_t *value = json_object_get(object, key);

	return json_is_number(value) ? json_number_value(value) : otherwise;
}

static limits_t
limits_of(const entry_t *entry, const char *tenant)
{
	const json_t *config = machine_config(entry_machine(entry));
	const json_t *found =
	    json_object_get(json_object_get(config, "tenants"), tenant);

	return (limits_t){
	    .weight = (int)number_or(found, "weight", DEFAULT_WEIGHT),
	    .rate_per_s = number_or(found, "rate_per_s", DEFAULT_RATE_PER_S),
	    .burst = number_or(found, "burst", DEFAULT_BURST),
	    .queue = (int)number_or(found, "queue", DEFAULT_QUEUE),
	};
}

/* Tells whether some backend server may take it; ends the request otherwise. */
static bool
has_backend(request_t *request, int64_t now_ms)
{
	entry_t *entry = request->entry;

	if (slots_total(entry->slots, request->item.lane, now_ms, NULL, NULL) >
		0 ||
	    forward_has_peer(entry, now_ms))
		return true;
	request_fail(request, OUTCOME_DID_NOT_RUN, 503, "no_backend",
	    NO_BACKEND_RETRY_MS, "no backend server can take it");
	return false;
}

/* Tells whether it can be served in time; ends the request otherwise. */
static bool
can_be_served(request_t *request, const limits_t *limits, int64_t now_ms)
{
	entry_t *entry = request->entry;
	admission_request_t asked = {
	    .lane = request->item.lane,
	    .ahead = lanes_ahead(entry->lanes, request->item.lane,
		request->tenant, limits->weight),
	    .slots = dispatch_slots(request, now_ms),
	    .declared_ms = request->declared_ms,
	    .needs_claim = !request->repeatable,
	    .left_ms = request->deadline_ms - now_ms,
	    .now_ms = now_ms,
	};

	/* One that was passed on to here is not passed on again. */
	if (request->rpc == NULL && !request->no_forward)
		asked.slots += forward_room(entry, asked.lane, now_ms);
	request->predicted_ms = admission_predict_wait_ms(
	    &entry->admission, asked.lane, asked.ahead, asked.slots);
	if (admission_fits(&entry->admission, &asked))
		return true;
	request_fail(request, OUTCOME_DID_NOT_RUN, 503, "deadline",
	    request->predicted_ms,
	    "the predicted wait is %lld ms, with up to %lld ms more",
	    (long long)request->predicted_ms,
	    (long long)admission_margin_ms(&entry->admission, asked.lane,
		(double)request->predicted_ms, now_ms));
	return false;
}

/* Tells the admission how long a request waited for its first slot. */
void
request_waited(request_t *request, int64_t now_ms)
{
	entry_t *entry = request->entry;

	if (request->queued_ms > 0)
		admission_record_wait(&entry->admission, request->item.lane,
		    request->predicted_ms, now_ms - request->queued_ms, now_ms);
	else if (request->attempt == 0 && request->forwards == 0)
		admission_record_wait(
		    &entry->admission, request->item.lane, 0, 0, now_ms);
	request->queued_ms = 0;
}

/*
 * Queues a request, or ends it with a refusal and returns false.  Requests
 * passed on by another instance were counted by the limits there.
 */
bool
request_admit(request_t *request)
{
	entry_t *entry = request->entry;
	limits_t limits = limits_of(entry, request->tenant);
	bool from_peer = request->rpc != NULL;
	int64_t now_ms = clock_mono_ms();
	int64_t wait_ms = 0;
	int rc;

	if (!request->repeatable && !replica_is_confirmed(entry->replica)) {
		request_fail(request, OUTCOME_DID_NOT_RUN, 503, "no_quorum",
		    1000, "no contact with a majority of the replicas");
		return false;
	}
	if (!from_peer)
		wait_ms = limiter_take(entry->limiter, request->tenant,
		    limits.rate_per_s, limits.burst, now_ms);
	if (wait_ms > 0) {
		request_fail(request, OUTCOME_DID_NOT_RUN, 429, "rate_limit",
		    wait_ms, "tenant %s is above its rate of %g/s",
		    request->tenant, limits.rate_per_s);
		return false;
	}
	request->state = REQUEST_QUEUED;
	request->item.deadline_ms = request->deadline_ms;
	if (dispatch_at_once(request, now_ms))
		return true;
	if (!has_backend(request, now_ms) ||
	    !can_be_served(request, &limits, now_ms))
		return false;
	request->queued_ms = now_ms;
	rc = lanes_add(entry->lanes, &request->item, request->tenant,
	    limits.weight, from_peer ? INT32_MAX : limits.queue);
	if (rc == -ENOBUFS) {
		request_fail(request, OUTCOME_DID_NOT_RUN, 429, "queue_full",
		    250, "tenant %s has %d requests waiting", request->tenant,
		    limits.queue);
		return false;
	}
	if (rc != 0) {
		request_fail(request, OUTCOME_DID_NOT_RUN, 503, "overloaded",
		    250, "%lld requests wait in this instance",
		    (long long)entry->settings->queue_limit);
		return false;
	}
	entry->dispatch_wanted = true;
	return true;
}

/* Queues a request again after an attempt, ahead of others of its tenant. */
void
request_requeue(request_t *request)
{
	entry_t *entry = request->entry;
	limits_t limits = limits_of(entry, request->tenant);
	bool had_turn =
	    request->item.tenant != NULL && request->item.by_deadline == NULL;

	request->state = REQUEST_QUEUED;
	request->task[0] = '\0';
	request->stopped_ms = 0;
	request->probe_failures = 0;
	entry->dispatch_wanted = true;
	request->item.deadline_ms = request->deadline_ms;
	if (had_turn && !request->lane_changed) {
		lanes_put_back(entry->lanes, &request->item);
		return;
	}
	request->lane_changed = false;
	if (lanes_add(entry->lanes, &request->item, request->tenant,
		limits.weight, INT32_MAX) != 0)
		request_fail_by_fate(request, 503, "overloaded",
		    "%lld requests wait in this instance",
		    (long long)entry->settings->queue_limit);
}

/*
 * Queues a request again that another instance did not run, or refuses it when
 * it can no longer be served in time.
 */
void
request_requeue_if_in_time(request_t *request)
{
	limits_t limits = limits_of(request->entry, request->tenant);
	int64_t now_ms = clock_mono_ms();

	if (now_ms >= request->deadline_ms)
		request_fail_by_fate(
		    request, 504, "timeout", "the deadline has passed");
	else if (can_be_served(request, &limits, now_ms))
		request_requeue(request);
}

/* The caller has gone: nobody needs the result of a repeatable request. */
static void
on_gone(void *ctx)
{
	request_t *request = ctx;
	http_request_t *http = request->http;

	request->http = NULL;
	http_answer_error(
	    http, 409, "unknown", "cancelled", "", 0, "the client has gone");
	if (request->waiters != NULL && request->waiters->len > 0)
		return;
	if (request->repeatable || request->state == REQUEST_QUEUED)
		request_drop(request);
}

/* Ends a request that nobody waits for. */
void
request_drop(request_t *request)
{
	if (request->state == REQUEST_FORWARDED)
		forward_cancel(request);
	if (request->state == REQUEST_RUNNING && request->may_have_run)
		task_stop_and_forget(request);
	request_fail_by_fate(request, 409, "cancelled", "the caller has gone");
}

/* Joins the request that runs under the same key; false when there is none. */
static bool
join_running(entry_t *entry, http_request_t *http, const submission_t *given,
    const char *by_key, uint64_t digest)
{
	request_t *running = g_hash_table_lookup(entry->by_key, by_key);

	if (running == NULL)
		return false;
	if (running->digest != digest) {
		entry_refuse(entry, http, 422, "did_not_run", "key_reused", "",
		    0, "the key was used with another body");
		return true;
	}
	http_add_header(http, "X-Chervilhold-Request", running->id);
	request_wait(
	    running, http, NULL, false, clock_mono_ms() + given->deadline_ms);
	return true;
}

static void
fill(request_t *request, const submission_t *given, str_t body, const char *key)
{
	entry_t *entry = request->entry;

	request->tenant = g_strdup(given->tenant);
	request->workspace =
	    g_strdup(given->workspace != NULL ? given->workspace : "");
	request->repeatable = given->repeatable;
	request->input = json_text(body, "input", given->input);
	request->declared_ms = given->declared_ms;
	request->deadline_ms =
	    request->arrived_us / CLOCK_US_PER_MS + given->deadline_ms;
	request->item.lane = lane_of(entry, given->declared_ms);
	request->item.cost = 1;
	if (given->repeatable)
		return;
	request->key = g_strdup(key);
	request->by_key = g_strdup_printf("%s %s", given->tenant, key);
	g_hash_table_replace(entry->by_key, request->by_key, request);
}

/* Starts a request: resends of a claimed key are resolved, others queued. */
static void
start(request_t *request)
{
	entry_t *entry = request->entry;

	if (!request->repeatable && replica_is_confirmed(entry->replica) &&
	    machine_claim(
		entry_machine(entry), request->tenant, request->key) != NULL)
		claims_resolve(request);
	else
		request_admit(request);
}

/* Serves POST /v1/requests. */
void
requests_post(entry_t *entry, http_request_t *http)
{
	submission_t given = {.declared_ms = DEFAULT_DECLARED_MS,
	    .deadline_ms = DEFAULT_DEADLINE_MS};
	char key[NAME_MAX_LEN + 1] = "";
	char id[NAME_MAX_LEN + 1];
	request_t *request;
	uint64_t digest;
	char *by_key;
	json_t *root;
	bool joined;

	if (!entry_read_body(entry, http, submission_fields,
		G_N_ELEMENTS(submission_fields), &given, &root))
		return;
	if (!given.repeatable && !entry_read_key(entry, http, key))
		goto done;
	digest = entry_digest(http_body(http));
	if (!given.repeatable) {
		by_key = g_strdup_printf("%s %s", given.tenant, key);
		joined = join_running(entry, http, &given, by_key, digest);
		g_free(by_key);
		if (joined)
			goto done;
	}
	entry_new_id(entry, "", id, sizeof(id));
	request = request_create(entry, id);
	request->digest = digest;
	request->resent = entry_is_resend(http);
	request->http = http;
	http_add_header(http, "X-Chervilhold-Request", id);
	http_on_gone(http, on_gone, request);
	fill(request, &given, http_body(http), key);
	start(request);
done:
	json_decref(root);
}

/*
 * Finds what a request of another instance has to wait for: the same request
 * after a lost answer, or one under the same key.
 */
static request_t *
find_same(const entry_t *entry, const forward_args_t *args, const char *by_key)
{
	request_t *same = g_hash_table_lookup(entry->by_id, args->task);

	if (same == NULL && args->key[0] != '\0')
		same = g_hash_table_lookup(entry->by_key, by_key);
	return same;
}

/* Serves RPC_FORWARD under the id that the request has where it came from. */
void
requests_from_peer(
    entry_t *entry, const forward_args_t *args, endpoint_request_t *rpc)
{
	submission_t given = {.declared_ms = DEFAULT_DECLARED_MS};
	str_t body = {args->body.body_t_val, args->body.body_t_len};
	field_problem_t problem;
	request_t *request;
	char *by_key;
	json_t *root = fields_read(body, submission_fields,
	    G_N_ELEMENTS(submission_fields), &given, &problem);

	if (root == NULL) {
		answer_rpc(rpc, OUTCOME_DID_NOT_RUN, 400, "", "bad_request",
		    (str_t){NULL, 0});
		return;
	}
	given.deadline_ms = args->deadline_ms;
	by_key = g_strdup_printf("%s %s", given.tenant, args->key);
	request = find_same(entry, args, by_key);
	if (request != NULL && (request->state == REQUEST_FORWARDED ||
				   request->digest != entry_digest(body))) {
		/* Two instances that wait for each other would wait until
		 * the deadline. */
		answer_rpc(rpc, OUTCOME_DID_NOT_RUN, 503, "", "same_key",
		    (str_t){NULL, 0});
	} else if (request != NULL) {
		request_wait(request, NULL, rpc, false,
		    clock_mono_ms() + given.deadline_ms);
	} else {
		request = request_create(entry, args->task);
		request->digest = entry_digest(body);
		request->rpc = rpc;
		fill(request, &given, body, args->key);
		start(request);
	}
	g_free(by_key);
	json_decref(root);
}

/* Cancels a request; it ends now or when the stop is answered. */
void
request_cancel(request_t *request)
{
	if (request->cancelled)
		return;
	request->cancelled = true;
	switch (request->state) {
	case REQUEST_QUEUED:
		request_fail_by_fate(request, 409, "cancelled",
		    "cancelled before it was dispatched");
		break;
	case REQUEST_CLAIMING:
		/* claims.c ends it when the proposal returns. */
		break;
	case REQUEST_RUNNING:
		dispatch_stop(request, STOP_CANCEL);
		break;
	case REQUEST_ASKING:
		request_fail(request, OUTCOME_UNKNOWN, 409, "cancelled", 0,
		    "an earlier request under this key may still run");
		break;
	case REQUEST_FORWARDED:
		forward_cancel(request);
		break;
	}
}
