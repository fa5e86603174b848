#include <stdlib.h>
#include <string.h>

#include "entry/internal.h"

/* A task whose backend server can't be reached is asked after this often. */
#define PROBE_RETRY_MS 500
#define PROBE_ATTEMPTS 3
#define PROBE_RUNNING_MS 1000
/*
 * A backend server that restarted has forgotten its tasks and says "never
 * seen".  Its announcement with a new generation comes within a second, so the
 * answer counts only after this.
 */
#define RESTART_SHOWS_MS 1500
/* Backend servers keep ended tasks for 10 min; less a margin for clocks. */
#define FORGOTTEN_AFTER_MS 540000

static task_fate_t
fate_of_state(const char *state, const json_t *body)
{
	if (g_strcmp0(state, "done") == 0)
		return TASK_DONE;
	if (g_strcmp0(state, "failed") == 0)
		return TASK_FAILED;
	if (g_strcmp0(state, "running") == 0 ||
	    g_strcmp0(state, "reserved") == 0)
		return TASK_ACTIVE;
	if (g_strcmp0(state, "stopped") == 0)
		return json_is_false(json_object_get(body, "ran"))
			   ? TASK_STOPPED_NOT_RUN
			   : TASK_STOPPED_RAN;
	return TASK_LOST;
}

/* Reads what an answer of a backend server says about a task. */
task_fate_t
task_fate(const err_t *err, const client_answer_t *answer)
{
	const char *state =
	    json_string_value(json_object_get(answer->json, "state"));
	const char *error =
	    json_string_value(json_object_get(answer->json, "error"));

	if (err->code != 0)
		return answer->not_sent ? TASK_NOT_SENT : TASK_LOST;
	switch (answer->status) {
	case 200:
		return fate_of_state(state, answer->json);
	case 404:
		return g_strcmp0(state, "unknown") == 0 ? TASK_UNSEEN
							: TASK_LOST;
	case 409:
		return g_strcmp0(error, "fenced") == 0 ? TASK_FENCED
						       : TASK_LOST;
	case 410:
		/* Without "ran" it was stopped before it was ever seen. */
		return g_strcmp0(state, "stopped") == 0 &&
			       !json_is_true(
				   json_object_get(answer->json, "ran"))
			   ? TASK_STOPPED_NOT_RUN
			   : TASK_STOPPED_RAN;
	case 503:
		return g_strcmp0(error, "busy") == 0 ? TASK_BUSY : TASK_LOST;
	default:
		return TASK_LOST;
	}
}

/*
 * Starts a short call about the request's task on a fresh connection, since the
 * present one may be silent.  NULL when the backend server is not known.
 */
client_call_t *
task_call(request_t *request, const char *method, const char *action,
    const char *body, client_done_t *done)
{
	entry_t *entry = request->entry;
	const machine_worker_t *worker =
	    machine_worker(entry_machine(entry), request->worker);
	char path[NAME_MAX_LEN + 64];
	client_request_t call = {.method = method,
	    .path = path,
	    .body = str_from(body),
	    .config_version = machine_config_version(entry_machine(entry)),
	    .deadline_ms = CONTROL_DEADLINE_MS,
	    .fresh_connection = true};

	if (worker == NULL)
		return NULL;
	g_snprintf(path, sizeof(path), "/v1/tasks/%s%s", request->task, action);
	call.address = worker->address;
	call.port = worker->port;
	call.fence = worker->fence;
	return client_start(entry->client, &call, done, request);
}

static void
on_forgotten(void *ctx, const err_t *err, const client_answer_t *answer)
{
}

/* Stops the task of an attempt whose result nobody needs. */
void
task_stop_and_forget(request_t *request)
{
	if (request->worker != NULL && request->task[0] != '\0')
		task_call(request, "POST", "/stop", "{}", on_forgotten);
}

/*
 * Tells whether the backend server has not restarted since the task was
 * dispatched: the last part of a task id is the generation.
 */
bool
task_generation_is_current(const request_t *request)
{
	const machine_worker_t *worker =
	    machine_worker(entry_machine(request->entry), request->worker);
	const char *dot = strrchr(request->task, '.');

	return worker != NULL && dot != NULL &&
	       g_ascii_strtoull(dot + 1, NULL, 16) == worker->generation;
}

/* Ends an attempt that was certainly not run, and so lets it be tried again. */
static void
certainly_not_run(request_t *request)
{
	if (request->state == REQUEST_ASKING)
		claims_release(request);
	else
		dispatch_did_not_run(request);
}

static void
fate_stays_unknown(request_t *request, const char *text)
{
	request->may_have_run = true;
	request_fail(request, OUTCOME_UNKNOWN, 502, "backend_failed", 0,
	    "backend server %s: %s", request->worker, text);
}

static void
unreachable(request_t *request)
{
	int64_t now_ms = clock_mono_ms();

	request->next_check_ms = now_ms + PROBE_RETRY_MS;
	if (++request->probe_failures < PROBE_ATTEMPTS)
		return;
	if (request->state == REQUEST_ASKING) {
		fate_stays_unknown(request, "cannot be asked");
	} else if (request->repeatable) {
		dispatch_retry(request, 502, "backend_failed", OUTCOME_UNKNOWN,
		    "cannot be asked");
	} else if (request->http == NULL && request->rpc == NULL &&
		   now_ms >= request->deadline_ms) {
		/* The claim stays open; a resend asks again. */
		fate_stays_unknown(request, "cannot be asked");
	}
}

/* Never seen: stopped there first, so that a late PUT can't run it. */
static void
never_seen(request_t *request)
{
	if (!task_generation_is_current(request))
		fate_stays_unknown(request, "it has restarted");
	else if (clock_mono_ms() - request->known_ms >= FORGOTTEN_AFTER_MS)
		fate_stays_unknown(request, "it may have forgotten the task");
	else
		probe_stop(request, STOP_NEVER_SEEN);
}

static void
stopped_before_run(request_t *request)
{
	int64_t now_ms = clock_mono_ms();

	if (request->state == REQUEST_RUNNING && request->repeatable) {
		certainly_not_run(request);
		return;
	}
	if (request->stopped_ms == 0)
		request->stopped_ms = now_ms;
	if (!task_generation_is_current(request))
		fate_stays_unknown(request, "it has restarted");
	else if (now_ms - request->stopped_ms >= RESTART_SHOWS_MS)
		certainly_not_run(request);
	else
		request->next_check_ms = request->stopped_ms + RESTART_SHOWS_MS;
}

static void
stopped_after_start(request_t *request)
{
	static const char text[] = "the task was stopped after it had started";

	if (request->state == REQUEST_RUNNING &&
	    request->stopping == STOP_REQUEUE)
		dispatch_requeue(request);
	else if (request->state == REQUEST_RUNNING && request->repeatable)
		dispatch_retry(
		    request, 502, "backend_failed", OUTCOME_UNKNOWN, text);
	else
		dispatch_end_partly_run(request, 502, "backend_failed", text);
}

/* Puts an answer about the task into effect. */
static void
settle(request_t *request, task_fate_t fate, const client_answer_t *answer)
{

	if (fate != TASK_LOST && fate != TASK_NOT_SENT)
		request->probe_failures = 0;
	switch (fate) {
	case TASK_DONE:
		dispatch_done(request, answer);
		break;
	case TASK_FAILED:
		dispatch_failed(request, answer);
		break;
	case TASK_ACTIVE:
		request->known_ms = clock_mono_ms();
		request->next_check_ms = clock_mono_ms() + PROBE_RUNNING_MS;
		break;
	case TASK_STOPPED_NOT_RUN:
		stopped_before_run(request);
		break;
	case TASK_STOPPED_RAN:
		stopped_after_start(request);
		break;
	case TASK_UNSEEN:
		never_seen(request);
		break;
	case TASK_BUSY:
	case TASK_FENCED:
	case TASK_NOT_SENT:
	case TASK_LOST:
		unreachable(request);
		break;
	}
}

static void
on_probe(void *ctx, const err_t *err, const client_answer_t *answer)
{
	request_t *request = ctx;

	request->probe = NULL;
	settle(request, task_fate(err, answer), answer);
}

/* Asks the backend server what became of the request's task. */
void
probe_start(request_t *request)
{
	entry_t *entry = request->entry;

	if (request->probe != NULL)
		return;
	counter_add(entry->metrics.probes, 1);
	request->next_check_ms = clock_mono_ms() + CONTROL_DEADLINE_MS;
	request->probe = task_call(request, "GET", "", NULL, on_probe);
	if (request->probe == NULL)
		unreachable(request);
}

static void
on_stopped(void *ctx, const err_t *err, const client_answer_t *answer)
{
	request_t *request = ctx;
	task_fate_t fate = task_fate(err, answer);

	request->probe = NULL;
	if (request->stopping == STOP_CANCEL &&
	    (fate == TASK_STOPPED_NOT_RUN || fate == TASK_STOPPED_RAN ||
		fate == TASK_LOST || fate == TASK_NOT_SENT)) {
		dispatch_cancelled(request, fate);
		return;
	}
	if (fate == TASK_DONE || fate == TASK_FAILED) {
		/* The answer to a stop need not carry the result. */
		request->stopping = STOP_NONE;
		probe_start(request);
		return;
	}
	if (request->stopping == STOP_NEVER_SEEN &&
	    (fate == TASK_LOST || fate == TASK_NOT_SENT))
		request->stopping = STOP_NONE;
	settle(request, fate, answer);
}

/* Stops the request's task; what is answered decides how it goes on. */
void
probe_stop(request_t *request, stop_reason_t reason)
{
	if (request->probe != NULL)
		client_abort(request->probe);
	request->stopping = reason;
	request->next_check_ms = clock_mono_ms() + 2 * CONTROL_DEADLINE_MS;
	request->probe = task_call(request, "POST", "/stop", "{}", on_stopped);
	if (request->probe == NULL)
		unreachable(request);
}

/* Asks again when it is time. */
void
probe_sweep(request_t *request, int64_t now_ms)
{
	if (request->probe != NULL || now_ms < request->next_check_ms)
		return;
	if (request->stopped_ms != 0)
		stopped_before_run(request);
	else
		probe_start(request);
}
