#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "entry/placer_private.h"

void
placer_call_free(void *data)
{
	placer_call_t *call = data;

	client_abort(call->handle);
	g_free(call);
}

/* Reads the state that a backend server reports. */
static gang_answer_t
state_of(const json_t *json, gang_answer_t otherwise)
{
	static const struct {
		const char *name;
		gang_answer_t answer;
	} states[] = {
	    {"reserved", GANG_IS_RESERVED},
	    {"running", GANG_IS_RUNNING},
	    {"done", GANG_IS_DONE},
	    {"failed", GANG_IS_FAILED},
	    {"stopped", GANG_IS_STOPPED},
	    {"unknown", GANG_IS_STOPPED},
	};
	const char *state = json_string_value(json_object_get(json, "state"));

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
		if (g_strcmp0(state, states[i].name) == 0)
			return states[i].answer;
	}
	return otherwise;
}

/*
 * Translates an answer.  A fenced call is repeated with the present fence, so
 * it counts as unanswered.  Only a poll brings a result, so that other calls do
 * not tell that a member is done.
 */
static gang_answer_t
translate(gang_action_kind_t kind, const client_answer_t *answer)
{
	gang_answer_t state;

	if (answer == NULL || answer->status == 0 || answer->status == 409)
		return GANG_NO_ANSWER;
	if (answer->status == 404 || answer->status == 410)
		return GANG_IS_STOPPED;
	if (answer->status != 200)
		return kind == GANG_RESERVE ? GANG_REFUSED : GANG_NO_ANSWER;
	state = state_of(answer->json, GANG_IS_RUNNING);
	if ((kind == GANG_START || kind == GANG_RENEW) &&
	    (state == GANG_IS_DONE || state == GANG_IS_FAILED))
		return GANG_IS_RUNNING;
	return state;
}

/* Notes a checkpoint; the last one of a job ends the wait for it. */
static void
on_checkpoint(attempt_t *attempt, int member, const client_answer_t *answer)
{
	const char *name =
	    answer != NULL && answer->status == 200
		? json_string_value(json_object_get(answer->json, "checkpoint"))
		: NULL;
	GPtrArray *names;

	if (name == NULL)
		return;
	if (attempt->members[member].checkpoint == NULL)
		attempt->checkpoints_left--;
	g_free(attempt->members[member].checkpoint);
	attempt->members[member].checkpoint = g_strdup(name);
	if (attempt->checkpoints_left != 0)
		return;
	names = g_ptr_array_new_with_free_func(g_free);
	for (int m = 0; m < attempt->count; m++)
		g_ptr_array_add(
		    names, g_strdup(attempt->members[m].checkpoint));
	g_hash_table_insert(
	    attempt->placer->checkpoints, g_strdup(attempt->job), names);
	placement_checkpointed(
	    attempt->placer->placement, attempt->job, clock_mono_ms());
}

static void
on_answer(void *ctx, const err_t *err, const client_answer_t *answer)
{
	placer_call_t *call = ctx;
	attempt_t *attempt = call->attempt;
	int member = call->member;
	gang_action_kind_t kind = call->kind;
	extra_t extra = call->extra;
	guint index;

	if (err != NULL && err->code != 0)
		answer = NULL;
	if (g_ptr_array_find(attempt->calls, call, &index))
		g_ptr_array_steal_index_fast(attempt->calls, index);
	g_free(call);
	if (extra == EXTRA_CHECKPOINT) {
		on_checkpoint(attempt, member, answer);
	} else if (extra == EXTRA_NONE) {
		if (kind == GANG_POLL && answer != NULL &&
		    answer->status == 200 &&
		    attempt->members[member].result == NULL &&
		    state_of(answer->json, GANG_NO_ANSWER) == GANG_IS_DONE)
			attempt->members[member].result = json_incref(
			    json_object_get(answer->json, "result"));
		gang_answered(attempt->gang, member, kind,
		    translate(kind, answer), clock_mono_ms());
	}
}

/* Returns the body of a reservation, NULL when the job is not known. */
static char *
reservation_body(const attempt_t *attempt, int member)
{
	const placer_member_t *m = &attempt->members[member];
	const machine_job_t *job =
	    machine_job(placer_machine(attempt->placer), attempt->job);
	const GPtrArray *checkpoints =
	    g_hash_table_lookup(attempt->placer->checkpoints, attempt->job);
	json_t *input;
	json_t *body;
	json_t *accelerators;
	char *text;

	if (job == NULL)
		return NULL;
	input = json_loadb(job->body, job->body_len, JSON_DECODE_ANY, NULL);
	accelerators = json_array();
	for (int i = 0; i < CELLS_MAX_ACCELERATORS; i++) {
		if ((m->mask >> i & 1) != 0)
			json_array_append_new(accelerators, json_integer(i));
	}
	body = json_pack("{s:s, s:i, s:s, s:I, s:o, s:o}", "mode", "reserve",
	    "lease_ms", GANG_LEASE_MS, "tenant", job->tenant, "declared_ms",
	    (json_int_t)job->declared_ms, "accelerators", accelerators, "input",
	    input != NULL ? input : json_object());
	if (checkpoints != NULL && (guint)member < checkpoints->len)
		json_object_set_new(body, "checkpoint",
		    json_string(g_ptr_array_index(checkpoints, (guint)member)));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

typedef struct {
	const char *method;
	const char *suffix;
	const char *body;
} route_t;

static route_t
route_of(gang_action_kind_t kind, extra_t extra)
{
	if (extra == EXTRA_CHECKPOINT)
		return (route_t){"POST", "/checkpoint", "{}"};
	if (extra == EXTRA_THROTTLE)
		return (route_t){"POST", "/throttle", "{\"percent\": 1}"};
	switch (kind) {
	case GANG_RESERVE:
		return (route_t){"PUT", "", NULL};
	case GANG_START:
		return (route_t){"POST", "/start", "{}"};
	case GANG_RENEW:
		return (route_t){"POST", "/renew",
		    "{\"lease_ms\": " G_STRINGIFY(GANG_LEASE_MS) "}"};
	case GANG_STOP:
		return (route_t){"POST", "/stop", "{}"};
	default:
		return (route_t){"GET", "", ""};
	}
}

/*
 * Calls the backend server of a member under its present fence.  Without a
 * record of it, or when the last call is still open, nothing is sent; the gang
 * protocol repeats what it needs.
 */
void
placer_call(
    attempt_t *attempt, int member, gang_action_kind_t kind, extra_t extra)
{
	placer_t *placer = attempt->placer;
	const machine_t *machine = placer_machine(placer);
	const placer_member_t *m = &attempt->members[member];
	const machine_worker_t *worker = machine_worker(machine, m->worker);
	route_t route = route_of(kind, extra);
	char path[NAME_MAX_LEN + 64];
	char *body = NULL;
	placer_call_t *call;

	if (worker == NULL)
		return;
	if (route.body == NULL) {
		body = reservation_body(attempt, member);
		if (body == NULL)
			return;
	}
	g_snprintf(path, sizeof(path), "/v1/tasks/%s%s", m->task, route.suffix);
	call = g_new0(placer_call_t, 1);
	call->attempt = attempt;
	call->member = member;
	call->kind = kind;
	call->extra = extra;
	g_ptr_array_add(attempt->calls, call);
	call->handle = client_start(placer->client,
	    &(client_request_t){.address = worker->address,
		.port = worker->port,
		.method = route.method,
		.path = path,
		.fence = worker->fence,
		.config_version = machine_config_version(machine),
		.body = str_from(body != NULL ? body : route.body),
		.deadline_ms = GANG_CALL_MS},
	    on_answer, call);
	free(body);
}
