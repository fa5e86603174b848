#include <stdarg.h>
#include <string.h>

#include "common/chart.h"
#include "entry/operator_private.h"

static void add_reason(json_t *reasons, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_reason(json_t *reasons, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	json_array_append_new(reasons, json_string(text));
	g_free(text);
}

/* The place of a waiting job among those of its domain. */
typedef struct {
	const machine_job_t *job;
	int waiting;
	int ahead;
	int opportunistic; /* accelerators of the tenant in use */
} place_t;

static bool
count_place(void *ctx, const machine_job_t *other)
{
	place_t *place = ctx;
	const chart_t *chart = chart_builtin("job");

	if (other->state == chart_initial(chart)) {
		if (strcmp(other->domain, place->job->domain) != 0)
			return true;
		place->waiting++;
		if (other->sequence < place->job->sequence)
			place->ahead++;
		return true;
	}
	if (!chart_is_final(chart, other->state) && !other->guaranteed &&
	    strcmp(other->tenant, place->job->tenant) == 0)
		place->opportunistic +=
		    other->member_count * other->accelerators;
	return true;
}

/* Names the guarantees of a domain: of one workspace, or of all others. */
static int
add_guarantees(json_t *reasons, const json_t *config, const machine_job_t *job,
    bool own, const char *format)
{
	const char *name;
	json_t *workspace;
	json_t *guarantee;
	size_t index;
	int count = 0;

	json_object_foreach (
	    json_object_get(config, "workspaces"), name, workspace) {
		if ((strcmp(name, job->workspace) == 0) != own)
			continue;
		json_array_foreach (json_object_get(workspace, "guarantees"),
		    index, guarantee) {
			char *text;

			if (g_strcmp0(json_string_value(
					  json_object_get(guarantee, "domain")),
				job->domain) != 0)
				continue;
			count++;
			text = json_dumps(guarantee, JSON_COMPACT);
			add_reason(reasons, "%s: workspace %s, %s", format,
			    name, text);
			g_free(text);
		}
	}
	return count;
}

static void
explain_waiting(operator_t *op, const machine_job_t *job, json_t *reasons)
{
	const machine_t *machine = operator_machine(op);
	const machine_placer_t *placer = machine_placer(machine, job->domain);
	const json_t *tenant = json_object_get(
	    json_object_get(machine_config(machine), "tenants"), job->tenant);
	const json_t *quota = json_object_get(tenant, "quota_accelerators");
	place_t place = {.job = job};
	GString *latest = g_string_new("");

	machine_each_job(machine, count_place, &place);
	add_reason(reasons,
	    "waiting in domain %s: %d jobs wait there, %d of them were "
	    "submitted earlier",
	    job->domain, place.waiting, place.ahead);
	if (placer == NULL)
		add_reason(
		    reasons, "domain %s has no active placer", job->domain);
	if (!replica_is_confirmed(op->replica))
		add_reason(reasons,
		    "this instance has no contact to the leader; without a "
		    "majority no attempt starts");
	if (add_guarantees(reasons, machine_config(machine), job, true,
		"guarantee of its own") == 0)
		add_reason(reasons,
		    "workspace %s has no guarantee in domain %s: it runs on "
		    "what is free",
		    job->workspace, job->domain);
	if (quota != NULL)
		add_reason(reasons,
		    "tenant %s uses %d of its quota of %d opportunistic "
		    "accelerators and wants %d",
		    job->tenant, place.opportunistic,
		    (int)json_integer_value(quota),
		    job->member_count * job->accelerators);
	if (job->attempt > 0)
		add_reason(
		    reasons, "attempt %u ended: %s", job->attempt, job->reason);
	if (op->explain != NULL)
		op->explain(op->explain_ctx, job->id, latest);
	if (latest->len > 0)
		add_reason(reasons, "placer: %s", latest->str);
	g_string_free(latest, TRUE);
}

static void
explain_placed(operator_t *op, const machine_job_t *job, json_t *reasons)
{
	const json_t *config = machine_config(operator_machine(op));

	add_reason(reasons,
	    "attempt %u, decided under configuration %" G_GUINT64_FORMAT
	    " and epoch %" G_GUINT64_FORMAT,
	    job->attempt, job->config_version, job->epoch);
	if (job->guaranteed) {
		add_reason(reasons, "it uses the guarantee of workspace %s",
		    job->workspace);
		return;
	}
	add_reason(reasons, "it is opportunistic and may be reclaimed");
	add_guarantees(reasons, config, job, false, "may be reclaimed by");
}

/* GET /v1/explain/{id} */
void
operator_explain(operator_t *op, http_request_t *request, str_t parameter)
{
	const chart_t *chart = chart_builtin("job");
	char id[NAME_MAX_LEN + 1];
	const machine_job_t *job = NULL;
	json_t *reasons;

	if (str_copy(parameter, id, sizeof(id)) == 0)
		job = machine_job(operator_machine(op), id);
	if (job == NULL) {
		http_answer_error(request, 404, "refused", "not_found", "", 0,
		    "no job %.*s; ended jobs are kept for a day",
		    STR_ARG(parameter));
		return;
	}
	reasons = json_array();
	if (chart_is_final(chart, job->state))
		add_reason(reasons, "attempt %u ended: %s", job->attempt,
		    job->reason[0] != '\0'
			? job->reason
			: chart_state_name(chart, job->state));
	else if (job->state == chart_initial(chart))
		explain_waiting(op, job, reasons);
	else
		explain_placed(op, job, reasons);
	http_answer_json(request, 200,
	    json_pack("{s:s, s:s, s:o}", "job", job->id, "state",
		chart_state_name(chart, job->state), "reasons", reasons));
}
