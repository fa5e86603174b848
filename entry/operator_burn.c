#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "entry/operator_private.h"

/* Refusals of service; those by a tenant's own limits do not count. */
static const char *const refusals[] = {"queue_full", "overloaded", "deadline",
    "timeout", "no_backend", "no_quorum"};

/* Places in fed: two for each histogram, then one for each refusal. */
enum {
	FED_ANSWERS,
	FED_SLOW,
	FED_DISPATCHES,
	FED_LATE,
	FED_REFUSALS,
	FED_COUNT = FED_REFUSALS + G_N_ELEMENTS(refusals)
};

static const json_t *
objectives_of(const operator_t *op)
{
	return json_object_get(
	    machine_config(operator_machine(op)), "objectives");
}

/* Returns the increase of a value since the last call for this place. */
static int64_t
increase(operator_t *op, int place, int64_t value)
{
	int64_t delta = value - op->fed[place];

	op->fed[place] = value;
	return MAX(delta, 0);
}

/* Returns the events of a histogram above the threshold of an objective. */
static int64_t
count_above(
    const operator_t *op, const histogram_t *histogram, const char *objective)
{
	const json_t *threshold = json_object_get(
	    json_object_get(objectives_of(op), objective), "threshold_ms");

	if (threshold == NULL)
		return 0;
	return histogram_count_above(
	    histogram, json_integer_value(threshold) * CLOCK_US_PER_MS);
}

/*
 * Counts what the entry task's metrics say about the objectives since the last
 * call: short requests answered in time, slowly or refused, and how long they
 * waited for a slot, which is where long ones would block them.
 */
void
operator_feed_objectives(operator_t *op)
{
	const histogram_t *answers = histogram_get("request_short_seconds",
	    "Time from arrival to answer of short requests.");
	const histogram_t *waits = histogram_get("queue_short_seconds",
	    "Time from arrival to dispatch of short requests.");
	int64_t all;
	int64_t bad;

	if (op->fed == NULL)
		op->fed = g_new0(int64_t, FED_COUNT);
	all = increase(op, FED_ANSWERS, histogram_count(answers));
	bad = increase(
	    op, FED_SLOW, count_above(op, answers, OBJECTIVE_SERVICE_AT_PEAK));
	objective_count(OBJECTIVE_SERVICE_AT_PEAK, false, "slow", bad);
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		char *name = g_strdup_printf(
		    "refusals_total{reason=\"%s\"}", refusals[i]);
		int64_t refused = increase(op, FED_REFUSALS + (int)i,
		    counter_value(
			counter_get(name, "Requests refused, by reason.")));

		objective_count(
		    OBJECTIVE_SERVICE_AT_PEAK, false, refusals[i], refused);
		bad += refused;
		g_free(name);
	}
	/* A refused request was answered as well. */
	objective_count(OBJECTIVE_SERVICE_AT_PEAK, true, "", all - bad);
	all = increase(op, FED_DISPATCHES, histogram_count(waits));
	bad = increase(
	    op, FED_LATE, count_above(op, waits, OBJECTIVE_HEAD_OF_LINE));
	objective_count(OBJECTIVE_HEAD_OF_LINE, false, "waited_for_slot", bad);
	objective_count(OBJECTIVE_HEAD_OF_LINE, true, "", all - bad);
}

/* GET /v1/burn, or as one HTML page with format=html */
void
operator_burn(operator_t *op, http_request_t *request, str_t parameter)
{
	str_t format = http_query(request, "format");
	int64_t now_ms = clock_real_ms();
	GString *page;

	operator_feed_objectives(op);
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
		    name, ms <= json_integer_value(threshold), cause, 1);
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
