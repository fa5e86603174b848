#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "entry/operator_private.h"

static const json_t *
objectives_of(const operator_t *op)
{
	return json_object_get(
	    machine_config(operator_machine(op)), "objectives");
}

/* GET /v1/burn, or as one HTML page with format=html */
void
operator_burn(operator_t *op, http_request_t *request, str_t parameter)
{
	str_t format = http_query(request, "format");
	int64_t now_ms = clock_real_ms();
	GString *page;

	burn_sample(op->burn, now_ms);
	if (!str_equal(format, STR_LIT("html"))) {
		http_answer_json(request, 200,
		    burn_report(op->burn, objectives_of(op), now_ms));
		return;
	}
	page = g_string_new("");
	burn_html(op->burn, objectives_of(op), now_ms, page);
	http_answer_bytes(request, 200, "text/html; charset=utf-8",
	    (str_t){page->str, page->len});
	g_string_free(page, TRUE);
}

/* Counts an event that took ms against the threshold of its objective. */
static void
count_duration(
    const operator_t *op, const char *name, int64_t ms, const char *cause)
{
	const json_t *objective = json_object_get(objectives_of(op), name);
	const json_t *threshold = json_object_get(objective, "threshold_ms");

	if (threshold != NULL)
		objective_count(
		    name, ms <= json_integer_value(threshold), cause);
}

/*
 * Counts what an applied command says about the objectives: how long an
 * accepted patch took until it was in force here, and how long a guaranteed
 * attempt waited.  To be called for each applied command.
 */
void
operator_applied(
    operator_t *op, const command_t *command, const command_result_t *result)
{
	const job_go_command_t *go = &command->command_t_u.job_go;
	const machine_job_t *job;

	if (result->code != 0)
		return;
	if (command->kind == COMMAND_PATCH)
		count_duration(op, OBJECTIVE_CONFIG_IN_FORCE,
		    clock_real_ms() - command->command_t_u.patch.time_ms,
		    "late_apply");
	if (command->kind != COMMAND_JOB_GO)
		return;
	job = machine_job(operator_machine(op), go->job);
	/* A later attempt waited for the end of the one before it. */
	if (job != NULL && job->guaranteed && job->attempt == 1 &&
	    job->started_ms == go->time_ms)
		count_duration(op, OBJECTIVE_GUARANTEES,
		    job->started_ms - job->submitted_ms, "late_start");
}
