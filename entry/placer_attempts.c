#include <errno.h>
#include <string.h>

#include "common/chart.h"
#include "common/clock.h"
#include "common/log.h"
#include "entry/placer_private.h"

/* A proposal without an answer yet. */
typedef struct {
	placer_t *placer; /* NULL when that has gone */
	char *job;
	uint64_t serial; /* of the attempt, 0 for none */
	gang_action_kind_t kind;
} proposal_t;

/* Forgets every open proposal; their answers are then ignored. */
void
placer_proposals_abandon(placer_t *placer)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, placer->proposals);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		((proposal_t *)key)->placer = NULL;
	g_hash_table_remove_all(placer->proposals);
}

static void
on_proposed(void *ctx, const err_t *err, const command_result_t *result)
{
	proposal_t *proposal = ctx;
	placer_t *placer = proposal->placer;
	attempt_t *attempt = NULL;
	int code = err->code;

	if (code == 0 && result != NULL)
		code = result->code;
	else if (code != 0 && proposal->kind != GANG_PROPOSE_START)
		code = -ETIMEDOUT; /* a go or end is made again */
	if (placer != NULL) {
		g_hash_table_remove(placer->proposals, proposal);
		attempt = g_hash_table_lookup(placer->attempts, proposal->job);
	}
	if (attempt != NULL && attempt->serial == proposal->serial)
		gang_proposed(
		    attempt->gang, proposal->kind, code, clock_mono_ms());
	/* A refusal that failed leaves the job waiting. */
	if (placer != NULL && proposal->serial == 0 && code != 0)
		placer_job_changed(placer, proposal->job);
	g_free(proposal->job);
	g_free(proposal);
}

static void
propose(placer_t *placer, const command_t *command, const char *job,
    uint64_t serial, gang_action_kind_t kind)
{
	proposal_t *proposal = g_new0(proposal_t, 1);

	proposal->placer = placer;
	proposal->job = g_strdup(job);
	proposal->serial = serial;
	proposal->kind = kind;
	g_hash_table_add(placer->proposals, proposal);
	replica_propose(
	    placer->replica, command, PLACER_PROPOSE_MS, on_proposed, proposal);
}

static void
propose_start(attempt_t *attempt)
{
	placer_t *placer = attempt->placer;
	const machine_t *machine = placer_machine(placer);
	job_member_t members[MAX_MEMBERS];
	command_t command = {
	    .kind = COMMAND_JOB_START,
	    .command_t_u.job_start =
		{
		    .job = attempt->job,
		    .attempt = attempt->number,
		    .domain = placer->settings->failure_domain,
		    .epoch = placer->epoch,
		    .guaranteed = attempt->guaranteed,
		    .members.members_len = (u_int)attempt->count,
		    .members.members_val = members,
		    .time_ms = clock_real_ms(),
		},
	};

	for (int m = 0; m < attempt->count; m++) {
		placer_member_t *member = &attempt->members[m];
		const machine_worker_t *worker =
		    machine_worker(machine, member->worker);

		members[m] = (job_member_t){
		    .worker = member->worker,
		    .accelerator_mask = member->mask,
		    .task = member->task,
		    .fence = worker != NULL ? worker->fence : 0,
		};
	}
	propose(placer, &command, attempt->job, attempt->serial,
	    GANG_PROPOSE_START);
}

static void
propose_go(attempt_t *attempt)
{
	command_t command = {
	    .kind = COMMAND_JOB_GO,
	    .command_t_u.job_go =
		{
		    .job = attempt->job,
		    .attempt = attempt->number,
		    .epoch = attempt->placer->epoch,
		    .time_ms = clock_real_ms(),
		},
	};

	propose(attempt->placer, &command, attempt->job, attempt->serial,
	    GANG_PROPOSE_GO);
}

/* Returns the members' results as JSON text, NULL when there are none. */
static char *
results_of(const attempt_t *attempt)
{
	json_t *results = json_array();
	char *text;

	for (int m = 0; m < attempt->count; m++) {
		json_t *result = attempt->members[m].result;

		if (result != NULL)
			json_array_append(results, result);
		else
			json_array_append_new(results, json_null());
	}
	text = json_dumps(results, JSON_COMPACT);
	json_decref(results);
	return text;
}

/*
 * Tells the health records where a member failed, once.  A job that failed on
 * one worker only is tried elsewhere.
 */
static bool
is_job_to_blame(attempt_t *attempt)
{
	int failed = gang_failed_member(attempt->gang);

	if (!attempt->judged && failed >= 0) {
		attempt->judged = true;
		attempt->blame_job = placement_record_failure(
		    attempt->placer->placement, attempt->job,
		    attempt->members[failed].worker, clock_mono_ms());
	}
	return attempt->blame_job;
}

static void
propose_end(attempt_t *attempt, const gang_action_t *action)
{
	job_end_t end = action->end;
	char *result = NULL;
	command_t command = {
	    .kind = COMMAND_JOB_END,
	    .command_t_u.job_end =
		{
		    .job = attempt->job,
		    .attempt = attempt->number,
		    .epoch = attempt->placer->epoch,
		    .reason = (char *)action->reason,
		    .time_ms = clock_real_ms(),
		},
	};

	if (end == JOB_END_FAILED && !is_job_to_blame(attempt))
		end = JOB_END_LOST;
	if (end == JOB_END_DONE)
		result = results_of(attempt);
	command.command_t_u.job_end.end = end;
	command.command_t_u.job_end.result.body_t_val = result;
	command.command_t_u.job_end.result.body_t_len =
	    result != NULL ? (u_int)strlen(result) : 0;
	propose(attempt->placer, &command, attempt->job, attempt->serial,
	    GANG_PROPOSE_END);
	free(result);
}

/* Refuses a waiting job. */
void
placer_propose_refusal(placer_t *placer, const char *id, const char *why)
{
	const machine_job_t *job = machine_job(placer_machine(placer), id);
	command_t command = {
	    .kind = COMMAND_JOB_END,
	    .command_t_u.job_end =
		{
		    .job = (char *)id,
		    .epoch = placer->epoch,
		    .end = JOB_END_REFUSED,
		    .reason = (char *)why,
		    .time_ms = clock_real_ms(),
		},
	};

	if (job == NULL)
		return;
	command.command_t_u.job_end.attempt = job->attempt;
	propose(placer, &command, id, 0, GANG_PROPOSE_END);
}

/* Carries out what the gang protocol asks for. */
static void
act(void *ctx, const gang_action_t *action)
{
	attempt_t *attempt = ctx;

	switch (action->kind) {
	case GANG_PROPOSE_START:
		propose_start(attempt);
		break;
	case GANG_PROPOSE_GO:
		propose_go(attempt);
		break;
	case GANG_PROPOSE_END:
		propose_end(attempt, action);
		break;
	case GANG_RESERVE:
	case GANG_START:
	case GANG_RENEW:
	case GANG_POLL:
	case GANG_STOP:
		placer_call(attempt, action->member, action->kind, EXTRA_NONE);
		break;
	case GANG_OVER:
		break;
	}
}

attempt_t *
placer_attempt_create(placer_t *placer, const char *job, uint32_t number,
    bool guaranteed, int count)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->placer = placer;
	attempt->job = g_strdup(job);
	attempt->number = number;
	attempt->serial = ++placer->next_serial;
	attempt->guaranteed = guaranteed;
	attempt->count = count;
	attempt->members = g_new0(placer_member_t, (gsize)count);
	attempt->calls = g_ptr_array_new_with_free_func(placer_call_free);
	attempt->checkpoints_left = count;
	attempt->gang = gang_create(count, act, attempt);
	return attempt;
}

void
placer_attempt_destroy(void *data)
{
	attempt_t *attempt = data;

	g_ptr_array_unref(attempt->calls);
	gang_destroy(attempt->gang);
	for (int m = 0; m < attempt->count; m++) {
		g_free(attempt->members[m].checkpoint);
		json_decref(attempt->members[m].result);
	}
	g_free(attempt->members);
	g_free(attempt->job);
	g_free(attempt);
}

/* Begins the attempt that was decided. */
void
placer_attempt_start(placer_t *placer, const placement_decision_t *start)
{
	const machine_job_t *job =
	    machine_job(placer_machine(placer), start->job);
	int64_t now_ms = clock_mono_ms();
	attempt_t *attempt;

	if (job == NULL ||
	    g_hash_table_contains(placer->attempts, start->job)) {
		placement_ended(
		    placer->placement, start->job, PLACEMENT_LOST, now_ms);
		return;
	}
	attempt = placer_attempt_create(placer, start->job, job->attempt + 1,
	    start->guaranteed, start->members);
	for (int m = 0; m < attempt->count; m++) {
		placer_member_t *member = &attempt->members[m];

		g_strlcpy(member->worker, start->places[m].worker,
		    sizeof(member->worker));
		member->mask = start->places[m].accelerator_mask;
		g_snprintf(member->task, sizeof(member->task), "%.100s.%u.%d",
		    attempt->job, attempt->number, m);
	}
	g_hash_table_insert(placer->attempts, attempt->job, attempt);
	gang_begin(attempt->gang, now_ms);
}

/* Settles or goes on with an attempt of a predecessor. */
void
placer_attempt_resume(placer_t *placer, const machine_job_t *job)
{
	attempt_t *attempt = placer_attempt_create(placer, job->id,
	    job->attempt, job->guaranteed, (int)job->placed_count);

	for (int m = 0; m < attempt->count; m++) {
		placer_member_t *member = &attempt->members[m];

		g_strlcpy(member->worker, job->members[m].worker,
		    sizeof(member->worker));
		g_strlcpy(
		    member->task, job->members[m].task, sizeof(member->task));
		member->mask = job->members[m].accelerator_mask;
	}
	g_hash_table_insert(placer->attempts, attempt->job, attempt);
	gang_resume(attempt->gang,
	    chart_state_name(chart_builtin("job"), job->state),
	    clock_mono_ms());
}

/* Tells the placement how an attempt ended, as the log has it. */
static void
report_end(placer_t *placer, const attempt_t *attempt, int64_t now_ms)
{
	const machine_job_t *job =
	    machine_job(placer_machine(placer), attempt->job);
	const char *state =
	    job != NULL ? chart_state_name(chart_builtin("job"), job->state)
			: "cancelled";
	placement_end_t end = PLACEMENT_CANCELLED;

	if (strcmp(state, "waiting") == 0)
		end = PLACEMENT_LOST;
	else if (strcmp(state, "done") == 0)
		end = PLACEMENT_DONE;
	else if (strcmp(state, "failed") == 0)
		end = PLACEMENT_FAILED;
	if (end != PLACEMENT_LOST)
		g_hash_table_remove(placer->checkpoints, attempt->job);
	placement_ended(placer->placement, attempt->job, end, now_ms);
}

/* Removes the attempts that need no more attention. */
void
placer_reap(placer_t *placer, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		if (!gang_is_over(attempt->gang))
			continue;
		report_end(placer, attempt, now_ms);
		g_hash_table_iter_remove(&iter);
	}
}
