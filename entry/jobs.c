#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/internal.h"

#define DEFAULT_DECLARED_MS 3600000

static const char *const adjacency_names[] = {
    [ADJACENT_ANY] = "any",
    [ADJACENT_DOMAIN] = "domain",
    [ADJACENT_RACK] = "rack",
    [ADJACENT_WORKER] = "worker",
    NULL,
};

static const char *const priority_names[] = {
    [PRIORITY_OPPORTUNISTIC] = "opportunistic",
    [PRIORITY_GUARANTEED] = "guaranteed",
    [PRIORITY_URGENT] = "urgent",
    NULL,
};

typedef struct {
	const char *tenant;
	const char *workspace;
	int64_t members;
	int64_t accelerators;
	int adjacency;
	int priority;
	const char *domain;
	int64_t declared_ms;
	int64_t deadline_ms;
	json_t *input;
} job_given_t;

#define AT(member) offsetof(job_given_t, member)

static const field_t job_fields[] = {
    {"tenant", FIELD_NAME, AT(tenant), .required = true},
    {"workspace", FIELD_NAME, AT(workspace), .required = true},
    {"members", FIELD_INTEGER, AT(members), .min = 1, .max = MAX_MEMBERS},
    {"accelerators", FIELD_INTEGER, AT(accelerators), .min = 0, .max = 32},
    {"adjacency", FIELD_CHOICE, AT(adjacency), .choices = adjacency_names},
    {"priority", FIELD_CHOICE, AT(priority), .choices = priority_names},
    {"domain", FIELD_NAME, AT(domain), .required = false},
    {"declared_ms", FIELD_INTEGER, AT(declared_ms), .min = 0, .max = INT64_MAX},
    {"deadline_ms", FIELD_INTEGER, AT(deadline_ms), .min = 1,
	.max = INT32_MAX * 1000LL},
    {"input", FIELD_ANY, AT(input), .required = false},
};

static int64_t
integer_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Tells whether the declared hardware of a domain could hold a job's gang. */
static bool
domain_can_hold(const json_t *hardware, const job_given_t *given)
{
	int64_t per_worker = integer_of(hardware, "accelerators_per_worker");
	int64_t workers = integer_of(hardware, "workers_per_rack");
	int64_t members_per_worker;

	if (given->accelerators == 0)
		return true;
	members_per_worker = per_worker / given->accelerators;
	if (given->adjacency == ADJACENT_WORKER)
		workers = 1;
	else if (given->adjacency != ADJACENT_RACK)
		workers *= integer_of(hardware, "racks");
	return members_per_worker * workers >= given->members;
}

/*
 * Tells whether some domain that the job may run in could hold it.  Without
 * declared hardware nothing is certain, so it may.
 */
static bool
can_ever_run(const entry_t *entry, const job_given_t *given)
{
	json_t *hardware =
	    json_object_get(machine_config(entry_machine(entry)), "hardware");
	const char *domain;
	json_t *of_domain;

	if (json_object_size(hardware) == 0)
		return true;
	json_object_foreach (hardware, domain, of_domain) {
		if ((given->domain == NULL ||
			strcmp(given->domain, domain) == 0) &&
		    domain_can_hold(of_domain, given))
			return true;
	}
	return false;
}

static const json_t *
fitting_guarantee(const entry_t *entry, const job_given_t *given)
{
	const json_t *workspaces =
	    json_object_get(machine_config(entry_machine(entry)), "workspaces");
	const json_t *list = json_object_get(
	    json_object_get(workspaces, given->workspace), "guarantees");
	const json_t *guarantee;
	size_t i;

	json_array_foreach (list, i, guarantee) {
		if (integer_of(guarantee, "members") >= given->members &&
		    integer_of(guarantee, "accelerators") >=
			given->accelerators)
			return guarantee;
	}
	return NULL;
}

/* Sums of one domain: its accelerators less those of members of jobs. */
typedef struct {
	const char *domain;
	int64_t free;
} free_t;

static bool
add_worker(void *ctx, const machine_worker_t *worker)
{
	free_t *sum = ctx;

	if (strcmp(worker->domain, sum->domain) == 0 && !worker->leaving)
		sum->free += worker->accelerators;
	return true;
}

static bool
subtract_job(void *ctx, const machine_job_t *job)
{
	free_t *sum = ctx;

	if (strcmp(job->domain, sum->domain) == 0 && job->ended_ms == 0)
		sum->free -=
		    (int64_t)job->accelerators * (int64_t)job->placed_count;
	return true;
}

/*
 * Chooses the home failure domain: the named one, one with a fitting guarantee
 * of the workspace, or the one with the most free accelerators.
 */
static const char *
home_domain(const entry_t *entry, const job_given_t *given)
{
	const json_t *guarantee = fitting_guarantee(entry, given);
	const char *best = entry->settings->failure_domain;
	const json_t *hardware =
	    json_object_get(machine_config(entry_machine(entry)), "hardware");
	int64_t best_free = INT64_MIN;

	if (given->domain != NULL)
		return given->domain;
	if (guarantee != NULL)
		return json_string_value(json_object_get(guarantee, "domain"));
	for (size_t i = 0; i < entry->settings->peer_count; i++) {
		free_t sum = {entry->settings->peers[i].failure_domain, 0};
		const json_t *of_domain = json_object_get(hardware, sum.domain);

		if (of_domain != NULL && !domain_can_hold(of_domain, given))
			continue;
		machine_each_worker(entry_machine(entry), add_worker, &sum);
		machine_each_job(entry_machine(entry), subtract_job, &sum);
		if (sum.free > best_free) {
			best_free = sum.free;
			best = sum.domain;
		}
	}
	return best;
}

static const char *
state_name(const machine_job_t *job)
{
	return chart_state_name(chart_builtin("job"), job->state);
}

static void
answer_accepted(http_request_t *http, const machine_job_t *job)
{
	http_answer_json(http, 202,
	    json_pack("{s:s, s:s}", "job", job->id, "state", state_name(job)));
}

/* A job route that waits for the replicas. */
typedef struct {
	handle_t *handle;
	http_request_t *http;
	char *id;
	char *tenant;
	char *key;
	bool result;
} wait_t;

static wait_t *
wait_create(entry_t *entry, http_request_t *http, const char *id,
    const char *tenant, const char *key)
{
	wait_t *wait = g_new0(wait_t, 1);

	wait->handle = g_rc_box_acquire(entry->handle);
	wait->http = http;
	wait->id = g_strdup(id);
	wait->tenant = g_strdup(tenant);
	wait->key = g_strdup(key);
	return wait;
}

static void
wait_free(wait_t *wait)
{
	g_rc_box_release(wait->handle);
	g_free(wait->id);
	g_free(wait->tenant);
	g_free(wait->key);
	g_free(wait);
}

/* Answers when the replicas did not confirm; true when it did. */
static bool
refused_by_replicas(wait_t *wait, const err_t *err, const char *outcome)
{
	entry_t *entry = wait->handle->entry;

	if (entry == NULL)
		http_answer_error(wait->http, 503, outcome, "draining", "", 0,
		    "the instance has stopped");
	else if (err->code == -ETIMEDOUT)
		entry_refuse(entry, wait->http, 503, outcome, "no_quorum", "",
		    1000, "not confirmed by a majority in time");
	else if (err->code != 0)
		entry_refuse(entry, wait->http, 503, "did_not_run", "no_quorum",
		    "", 1000, "not confirmed by a majority: %.100s", err->text);
	else
		return false;
	return true;
}

static void
refuse_submission(
    entry_t *entry, http_request_t *http, const command_result_t *result)
{
	const char *error = "bad_request";
	int status = 400;

	if (result->code == -EKEYREJECTED || result->code == -EKEYEXPIRED) {
		status = 422;
		error = result->code == -EKEYREJECTED ? "key_reused"
						      : "key_expired";
	} else if (result->code == -EDQUOT) {
		status = 429;
		error = "quota";
	}
	entry_refuse(entry, http, status, "did_not_run", error, "", 0, "%.200s",
	    result->text);
}

static void
on_submitted(void *ctx, const err_t *err, const command_result_t *result)
{
	wait_t *wait = ctx;
	entry_t *entry = wait->handle->entry;
	const machine_job_t *job;

	if (refused_by_replicas(wait, err, "unknown"))
		goto done;
	job = machine_job_by_key(entry_machine(entry), wait->tenant, wait->key);
	if (result->code == 0 && job != NULL)
		answer_accepted(wait->http, job);
	else
		refuse_submission(entry, wait->http, result);
done:
	wait_free(wait);
}

static void
submit(entry_t *entry, http_request_t *http, const job_given_t *given,
    const char *key)
{
	command_t command = {.kind = COMMAND_JOB_SUBMIT};
	job_command_t *job = &command.command_t_u.job;
	char id[NAME_MAX_LEN + 1];
	char *body = given->input != NULL ? json_dumps(given->input,
						JSON_COMPACT | JSON_ENCODE_ANY)
					  : strdup("null");

	entry_new_id(entry, "j-", id, sizeof(id));
	*job = (job_command_t){
	    .id = id,
	    .tenant = (char *)given->tenant,
	    .workspace = (char *)given->workspace,
	    .key = (char *)key,
	    .digest = entry_digest(http_body(http)),
	    .domain = (char *)home_domain(entry, given),
	    .members = (int)given->members,
	    .accelerators = (int)given->accelerators,
	    .adjacency = (adjacency_t)given->adjacency,
	    .priority = (job_priority_t)given->priority,
	    .declared_ms = given->declared_ms,
	    .deadline_ms = given->deadline_ms > 0
			       ? clock_real_ms() + given->deadline_ms
			       : 0,
	    .time_ms = clock_real_ms(),
	    .body.body_t_val = body,
	    .body.body_t_len = (u_int)strlen(body),
	};
	replica_propose(entry->replica, &command, PROPOSE_DEADLINE_MS,
	    on_submitted, wait_create(entry, http, id, given->tenant, key));
	free(body);
}

/* Serves POST /v1/jobs. */
void
jobs_post(entry_t *entry, http_request_t *http)
{
	job_given_t given = {.members = 1,
	    .accelerators = 1,
	    .adjacency = ADJACENT_DOMAIN,
	    .priority = PRIORITY_GUARANTEED,
	    .declared_ms = DEFAULT_DECLARED_MS};
	char key[NAME_MAX_LEN + 1];
	const machine_job_t *known;
	json_t *root;

	if (!entry_read_body(entry, http, job_fields, G_N_ELEMENTS(job_fields),
		&given, &root))
		return;
	if (!entry_read_key(entry, http, key))
		goto done;
	known = machine_job_by_key(entry_machine(entry), given.tenant, key);
	if (known != NULL && known->digest == entry_digest(http_body(http)))
		answer_accepted(http, known);
	else if (!can_ever_run(entry, &given))
		entry_refuse(entry, http, 422, "did_not_run", "never", "", 0,
		    "no hardware could ever hold %lld members of %lld "
		    "accelerators with adjacency \"%s\"",
		    (long long)given.members, (long long)given.accelerators,
		    adjacency_names[given.adjacency]);
	else
		submit(entry, http, &given, key);
done:
	json_decref(root);
}

static json_t *
members_json(const machine_job_t *job)
{
	json_t *members = json_array();

	for (size_t i = 0; i < job->placed_count; i++) {
		const machine_member_t *member = &job->members[i];
		json_t *accelerators = json_array();

		for (int bit = 0; bit < 32; bit++) {
			if (member->accelerator_mask & (1u << bit))
				json_array_append_new(
				    accelerators, json_integer(bit));
		}
		json_array_append_new(members,
		    json_pack("{s:s, s:s, s:o}", "worker", member->worker,
			"task", member->task, "accelerators", accelerators));
	}
	return members;
}

static void
answer_status(http_request_t *http, const machine_job_t *job)
{
	http_answer_json(http, 200,
	    json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:o, s:b, s:s, s:I, s:I, "
		      "s:I, s:I}",
		"job", job->id, "tenant", job->tenant, "workspace",
		job->workspace, "domain", job->domain, "state", state_name(job),
		"attempt", (json_int_t)job->attempt, "members",
		members_json(job), "guaranteed", job->guaranteed, "reason",
		job->reason, "config_version", (json_int_t)job->config_version,
		"submitted_ms", (json_int_t)job->submitted_ms, "started_ms",
		(json_int_t)job->started_ms, "ended_ms",
		(json_int_t)job->ended_ms));
}

static void
answer_result(entry_t *entry, http_request_t *http, const machine_job_t *job)
{
	const char *state = state_name(job);
	json_t *results;
	json_t *body;

	if (strcmp(state, "done") == 0) {
		results = json_loadb(job->result, job->result_len, 0, NULL);
		http_answer_json(http, 200,
		    json_pack("{s:s, s:s, s:o}", "job", job->id, "outcome",
			"done", "results",
			results != NULL ? results : json_array()));
	} else if (!chart_is_final(chart_builtin("job"), job->state)) {
		http_answer_json(http, 202,
		    json_pack("{s:s, s:s}", "job", job->id, "state", state));
	} else {
		/* A failed one ran; a cancelled or refused one may have. */
		body = entry_error(entry,
		    strcmp(state, "failed") == 0 ? "done"
		    : job->attempt == 0          ? "did_not_run"
						 : "unknown",
		    "conflict", "", 0, job->reason);
		json_object_set_new(body, "state", json_string(state));
		http_answer_json(http, 409, body);
	}
}

static void
answer_job(entry_t *entry, http_request_t *http, const char *id, bool result)
{
	const machine_job_t *job = machine_job(entry_machine(entry), id);

	if (job == NULL)
		entry_refuse(entry, http, 404, "did_not_run", "not_found", "",
		    0, "no job %s", id);
	else if (result)
		answer_result(entry, http, job);
	else
		answer_status(http, job);
}

static void
on_current(void *ctx, const err_t *err, const command_result_t *result)
{
	wait_t *wait = ctx;

	if (!refused_by_replicas(wait, err, "unknown"))
		answer_job(
		    wait->handle->entry, wait->http, wait->id, wait->result);
	wait_free(wait);
}

/*
 * Serves GET /v1/jobs/{id} and /v1/jobs/{id}/result.  A job that is not known
 * here may have been submitted elsewhere just now.
 */
void
jobs_get(entry_t *entry, http_request_t *http, str_t id, bool result)
{
	char name[NAME_MAX_LEN + 1];
	wait_t *wait;

	if (!fields_is_name(id) || str_copy(id, name, sizeof(name)) != 0)
		name[0] = '\0';
	if (name[0] == '\0' ||
	    machine_job(entry_machine(entry), name) != NULL) {
		answer_job(entry, http, name, result);
		return;
	}
	wait = wait_create(entry, http, name, "", "");
	wait->result = result;
	replica_read_barrier(
	    entry->replica, PROPOSE_DEADLINE_MS, on_current, wait);
}

static void
on_cancelled(void *ctx, const err_t *err, const command_result_t *result)
{
	wait_t *wait = ctx;
	entry_t *entry = wait->handle->entry;
	const machine_job_t *job;

	if (refused_by_replicas(wait, err, "unknown"))
		goto done;
	job = machine_job(entry_machine(entry), wait->id);
	if (result->code == -ENOENT || job == NULL)
		entry_refuse(entry, wait->http, 404, "did_not_run", "not_found",
		    "", 0, "no job %s", wait->id);
	else if (result->code == -EPERM)
		entry_refuse(entry, wait->http, 403, "did_not_run", "wrong_key",
		    "", 0, "job %s is another tenant's", wait->id);
	else
		answer_accepted(wait->http, job);
done:
	wait_free(wait);
}

/* Serves DELETE /v1/jobs/{id}?tenant=NAME. */
void
jobs_delete(entry_t *entry, http_request_t *http, str_t id)
{
	command_t command = {.kind = COMMAND_JOB_CANCEL};
	str_t tenant = http_query(http, "tenant");
	char tenant_name[NAME_MAX_LEN + 1];
	char name[NAME_MAX_LEN + 1];

	if (!fields_is_name(tenant) ||
	    str_copy(tenant, tenant_name, sizeof(tenant_name)) != 0) {
		entry_refuse(entry, http, 400, "did_not_run", "bad_request",
		    "?tenant", 0, "expected the name of the job's tenant");
		return;
	}
	if (!fields_is_name(id) || str_copy(id, name, sizeof(name)) != 0) {
		entry_refuse(entry, http, 404, "did_not_run", "not_found", "",
		    0, "no such job");
		return;
	}
	command.command_t_u.job_cancel = (job_cancel_command_t){
	    .job = name, .tenant = tenant_name, .time_ms = clock_real_ms()};
	replica_propose(entry->replica, &command, PROPOSE_DEADLINE_MS,
	    on_cancelled, wait_create(entry, http, name, tenant_name, ""));
}
