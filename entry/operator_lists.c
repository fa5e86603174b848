#include <string.h>

#include "common/chart.h"
#include "common/counters.h"
#include "entry/operator_private.h"

#define DEFAULT_JOBS 1000 /* in one answer, the newest */

static const char *
state_name(const machine_job_t *job)
{
	return chart_state_name(chart_builtin("job"), job->state);
}

static json_t *
members_json(const machine_job_t *job)
{
	json_t *list = json_array();

	for (size_t i = 0; i < job->placed_count; i++)
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:i}", "worker",
			job->members[i].worker, "task", job->members[i].task,
			"accelerators", job->accelerators));
	return list;
}

static json_t *
job_json(const machine_job_t *job)
{
	static const char *const priorities[] = {
	    [PRIORITY_OPPORTUNISTIC] = "opportunistic",
	    [PRIORITY_GUARANTEED] = "guaranteed",
	    [PRIORITY_URGENT] = "urgent",
	};

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:o, "
			 "s:b, s:s, s:I, s:I, s:I, s:I}",
	    "job", job->id, "tenant", job->tenant, "workspace", job->workspace,
	    "domain", job->domain, "state", state_name(job), "priority",
	    priorities[job->priority], "attempt", (int)job->attempt,
	    "member_count", job->member_count, "accelerators",
	    job->accelerators, "members", members_json(job), "guaranteed",
	    job->guaranteed, "reason", job->reason, "config_version",
	    (json_int_t)job->config_version, "submitted_ms",
	    (json_int_t)job->submitted_ms, "started_ms",
	    (json_int_t)job->started_ms, "ended_ms", (json_int_t)job->ended_ms);
}

/* Which jobs a list asks for. */
typedef struct {
	str_t state;
	str_t tenant;
	GQueue *jobs;
	guint limit;
	bool is_truncated;
} job_filter_t;

static bool
filter_job(void *ctx, const machine_job_t *job)
{
	job_filter_t *filter = ctx;

	if (filter->state.data != NULL &&
	    !str_equal(filter->state, str_from(state_name(job))))
		return true;
	if (filter->tenant.data != NULL &&
	    !str_equal(filter->tenant, str_from(job->tenant)))
		return true;
	g_queue_push_tail(filter->jobs, (void *)job);
	if (filter->jobs->length > filter->limit) {
		filter->is_truncated = true;
		g_queue_pop_head(filter->jobs);
	}
	return true;
}

/* GET /v1/jobs?state=S&tenant=T&limit=N; the newest, in order of submission. */
void
operator_jobs(operator_t *op, http_request_t *request, str_t parameter)
{
	job_filter_t filter = {
	    .state = http_query(request, "state"),
	    .tenant = http_query(request, "tenant"),
	    .jobs = g_queue_new(),
	};
	int64_t limit = DEFAULT_JOBS;
	json_t *list;

	if (!operator_query_number(request, "limit", &limit)) {
		g_queue_free(filter.jobs);
		return;
	}
	filter.limit = (guint)MIN(limit, G_MAXINT32);
	machine_each_job(operator_machine(op), filter_job, &filter);
	list = json_array();
	for (GList *at = filter.jobs->head; at != NULL; at = at->next)
		json_array_append_new(list, job_json(at->data));
	g_queue_free(filter.jobs);
	http_answer_json(request, 200,
	    json_pack(
		"{s:o, s:b}", "jobs", list, "truncated", filter.is_truncated));
}

/* Counts accelerators in use by worker id. */
static bool
count_taken(void *ctx, const machine_job_t *job)
{
	GHashTable *taken = ctx;

	if (chart_is_final(chart_builtin("job"), job->state))
		return true;
	for (size_t i = 0; i < job->placed_count; i++) {
		int count = GPOINTER_TO_INT(
		    g_hash_table_lookup(taken, job->members[i].worker));

		g_hash_table_insert(taken, job->members[i].worker,
		    GINT_TO_POINTER(count + job->accelerators));
	}
	return true;
}

typedef struct {
	json_t *list;
	GHashTable *taken;
} worker_list_t;

static bool
add_worker(void *ctx, const machine_worker_t *worker)
{
	worker_list_t *workers = ctx;

	json_array_append_new(workers->list,
	    json_pack("{s:s, s:s, s:i, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:I, "
		      "s:I, s:b}",
		"worker", worker->id, "address", worker->address, "port",
		worker->port, "domain", worker->domain, "rack", worker->rack,
		"slots", worker->slots, "connections", worker->connections,
		"accelerators", worker->accelerators, "accelerators_used",
		GPOINTER_TO_INT(
		    g_hash_table_lookup(workers->taken, worker->id)),
		"owner", worker->owner, "fence", (json_int_t)worker->fence,
		"generation", (json_int_t)worker->generation, "leaving",
		worker->leaving));
	return true;
}

/* GET /v1/workers */
void
operator_workers(operator_t *op, http_request_t *request, str_t parameter)
{
	const machine_t *machine = operator_machine(op);
	worker_list_t workers = {
	    .list = json_array(),
	    .taken = g_hash_table_new(g_str_hash, g_str_equal),
	};

	machine_each_job(machine, count_taken, workers.taken);
	machine_each_worker(machine, add_worker, &workers);
	g_hash_table_unref(workers.taken);
	http_answer_json(
	    request, 200, json_pack("{s:o}", "workers", workers.list));
}

/* Accelerators of a workspace's jobs. */
typedef struct {
	const char *workspace;
	int guaranteed;
	int opportunistic;
	int waiting;
} use_t;

static bool
count_use(void *ctx, const machine_job_t *job)
{
	use_t *use = ctx;
	const chart_t *chart = chart_builtin("job");
	int accelerators = job->member_count * job->accelerators;

	if (strcmp(job->workspace, use->workspace) != 0 ||
	    chart_is_final(chart, job->state))
		return true;
	if (job->state == chart_initial(chart))
		use->waiting += accelerators;
	else if (job->guaranteed)
		use->guaranteed += accelerators;
	else
		use->opportunistic += accelerators;
	return true;
}

/* GET /v1/workspaces; uses are in accelerators. */
void
operator_workspaces(operator_t *op, http_request_t *request, str_t parameter)
{
	const machine_t *machine = operator_machine(op);
	json_t *list = json_array();
	const char *name;
	json_t *workspace;

	json_object_foreach (
	    json_object_get(machine_config(machine), "workspaces"), name,
	    workspace) {
		json_t *guarantees = json_object_get(workspace, "guarantees");
		use_t use = {.workspace = name};

		machine_each_job(machine, count_use, &use);
		json_array_append_new(list,
		    json_pack("{s:s, s:O, s:o, s:i, s:i, s:i}", "workspace",
			name, "tenant", json_object_get(workspace, "tenant"),
			"guarantees",
			guarantees != NULL ? json_incref(guarantees)
					   : json_array(),
			"guaranteed_running", use.guaranteed,
			"opportunistic_running", use.opportunistic, "waiting",
			use.waiting));
	}
	http_answer_json(request, 200, json_pack("{s:o}", "workspaces", list));
}

/* GET /metrics */
void
operator_metrics(operator_t *op, http_request_t *request, str_t parameter)
{
	const machine_t *machine = operator_machine(op);
	GString *text = g_string_new("");

	counter_set(gauge_get("config_version", "Version in force."),
	    (int64_t)machine_config_version(machine));
	counter_set(gauge_get("claims", "Claims that are kept."),
	    (int64_t)machine_claim_count(machine));
	counter_set(gauge_get("applied_index", "Last applied log entry."),
	    (int64_t)machine_index(machine));
	counters_export(text);
	http_answer_bytes(request, 200, "text/plain; version=0.0.4",
	    (str_t){text->str, text->len});
	g_string_free(text, TRUE);
}
