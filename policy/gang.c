#include <errno.h>

#include "policy/gang_private.h"

/* Creates the state machine of an attempt; act executes its actions. */
gang_t *
gang_create(int members, gang_act_t *act, void *ctx)
{
	gang_t *gang = g_new0(gang_t, 1);

	gang->job_chart = chart_builtin("job");
	gang->task_chart = chart_builtin("task");
	gang->act = act;
	gang->ctx = ctx;
	gang->members = members;
	gang->member = g_new0(member_t, (gsize)members);
	gang->job_state = chart_initial(gang->job_chart);
	gang->failed_member = -1;
	gang->result_unknown_ms = NEVER;
	gang->reason = "";
	for (int m = 0; m < members; m++)
		gang->member[m].state = chart_initial(gang->task_chart);
	return gang;
}

void
gang_destroy(gang_t *gang)
{
	if (gang == NULL)
		return;
	g_free(gang->member);
	g_free(gang);
}

static bool
job_is(const gang_t *gang, const char *state)
{
	return gang->job_state == chart_state(gang->job_chart, state);
}

bool
gang_task_is(const gang_t *gang, int member, const char *state)
{
	return gang->member[member].state ==
	       chart_state(gang->task_chart, state);
}

/* Applies an event of charts/task.chart; an event not allowed is ignored. */
static void
step_task(gang_t *gang, int member, const char *event)
{
	chart_step(gang->task_chart, &gang->member[member].state, event);
}

/* Calls a member's backend server. */
void
gang_call(gang_t *gang, int member, gang_action_kind_t kind)
{
	member_t *m = &gang->member[member];
	gang_action_t action = {
	    .kind = kind, .member = member, .reason = gang->reason};

	m->call = kind;
	m->pending = true;
	m->called_ms = gang->now_ms;
	/* After a takeover the lease end is unknown until a member's stop is
	 * confirmed: the predecessor may still renew leases. */
	if ((kind == GANG_RESERVE || kind == GANG_START ||
		kind == GANG_RENEW) &&
	    (!gang->resumed || gang->stop_confirmed))
		m->lease_end_ms = gang->now_ms + GANG_CALL_MS + GANG_LEASE_MS;
	gang->act(gang->ctx, &action);
}

void
gang_propose(gang_t *gang, gang_action_kind_t kind)
{
	gang_action_t action = {.kind = kind,
	    .member = -1,
	    .end = gang->end,
	    .reason = gang->reason};

	gang->result_unknown_ms = NEVER;
	gang->act(gang->ctx, &action);
}

static void
enter_phase(gang_t *gang, phase_t phase)
{
	gang->phase = phase;
	gang->phase_started_ms = gang->now_ms;
	gang->result_unknown_ms = NEVER;
}

static void
finish(gang_t *gang)
{
	gang_action_t action = {.kind = GANG_OVER, .member = -1};

	if (gang->phase == PHASE_OVER)
		return;
	enter_phase(gang, PHASE_OVER);
	gang->act(gang->ctx, &action);
}

/* Returns whether the member is released: it has finished or stopped, or its
 * lease has expired, so that it can no longer run or be reserved. */
static bool
is_released(const gang_t *gang, int member)
{
	const member_t *m = &gang->member[member];

	return m->finished || gang_task_is(gang, member, "stopped") ||
	       gang->now_ms >= m->lease_end_ms;
}

/* Selects an attempt end that the job's state in the log permits. */
void
gang_choose_end(gang_t *gang)
{
	if (job_is(gang, "stopping"))
		gang->end = JOB_END_STOPPED;
	else if (job_is(gang, "starting"))
		gang->end = JOB_END_ABORTED;
	else if (gang->end == JOB_END_ABORTED || gang->end == JOB_END_STOPPED)
		gang->end = JOB_END_LOST;
}

/* Proposes the end of the attempt once no member can run or be reserved. */
void
gang_end_if_all_released(gang_t *gang)
{
	if (gang->phase != PHASE_STOPPING)
		return;
	for (int m = 0; m < gang->members; m++) {
		if (!is_released(gang, m))
			return;
	}
	gang_choose_end(gang);
	enter_phase(gang, PHASE_END_PROPOSED);
	gang_propose(gang, GANG_PROPOSE_END);
}

/* Stops all members; the end is proposed once all have stopped. */
void
gang_stop_all(gang_t *gang, job_end_t end, const char *reason)
{
	if (gang->phase >= PHASE_STOPPING)
		return;
	gang->end = end;
	gang->reason = reason;
	enter_phase(gang, PHASE_STOPPING);
	for (int m = 0; m < gang->members; m++) {
		if (!gang->member[m].finished)
			gang_call(gang, m, GANG_STOP);
	}
	gang_end_if_all_released(gang);
}

/* Begins a new attempt by proposing its start. */
void
gang_begin(gang_t *gang, int64_t now_ms)
{
	gang->now_ms = now_ms;
	enter_phase(gang, PHASE_START_PROPOSED);
	gang_propose(gang, GANG_PROPOSE_START);
}

static void
start_all(gang_t *gang)
{
	enter_phase(gang, PHASE_STARTING);
	for (int m = 0; m < gang->members; m++)
		gang_call(gang, m, GANG_START);
}

/* See gang.h. */
void
gang_resume(gang_t *gang, const char *job_state, int64_t now_ms)
{
	gang->now_ms = now_ms;
	gang->resumed = true;
	gang->job_state = chart_state(gang->job_chart, job_state);
	for (int m = 0; m < gang->members; m++) {
		gang->member[m].last_answer_ms = now_ms;
		/* The predecessor may renew until a stop is confirmed. */
		gang->member[m].lease_end_ms = NEVER;
	}
	if (job_is(gang, "running"))
		start_all(gang);
	else if (job_is(gang, "starting"))
		gang_stop_all(gang, JOB_END_ABORTED, "the placer was replaced");
	else if (job_is(gang, "stopping"))
		gang_stop_all(gang, JOB_END_STOPPED, "cancelled");
	else
		finish(gang);
}

/* Reserves all members after the start was applied to the log. */
static void
start_applied(gang_t *gang)
{
	if (job_is(gang, "waiting"))
		chart_step(gang->job_chart, &gang->job_state, "start");
	enter_phase(gang, PHASE_RESERVING);
	if (job_is(gang, "stopping")) {
		gang_stop_all(gang, JOB_END_STOPPED, "cancelled");
		return;
	}
	for (int m = 0; m < gang->members; m++)
		gang_call(gang, m, GANG_RESERVE);
}

static void
proposal_applied(gang_t *gang, gang_action_kind_t kind)
{
	if (kind == GANG_PROPOSE_START) {
		start_applied(gang);
	} else if (kind == GANG_PROPOSE_GO) {
		if (job_is(gang, "starting"))
			chart_step(gang->job_chart, &gang->job_state, "go");
		start_all(gang);
	} else {
		finish(gang);
	}
}

/* See gang.h. */
void
gang_proposed(gang_t *gang, gang_action_kind_t kind, int code, int64_t now_ms)
{
	static const phase_t awaited[] = {
	    [GANG_PROPOSE_START] = PHASE_START_PROPOSED,
	    [GANG_PROPOSE_GO] = PHASE_GO_PROPOSED,
	    [GANG_PROPOSE_END] = PHASE_END_PROPOSED,
	};

	gang->now_ms = now_ms;
	if (kind > GANG_PROPOSE_END || gang->phase != awaited[kind])
		return;
	if (code == -ESTALE || code == -ENOENT) {
		/* The job belongs to another placer or attempt. */
		finish(gang);
	} else if (code == 0) {
		proposal_applied(gang, kind);
	} else if (kind == GANG_PROPOSE_START && code != -ETIMEDOUT) {
		finish(gang);
	} else if (kind == GANG_PROPOSE_GO && code == -EALREADY) {
		gang_stop_all(
		    gang, JOB_END_ABORTED, "the attempt may not go on");
	} else {
		gang->result_unknown_ms = now_ms;
	}
}

static bool
all_tasks_are(const gang_t *gang, const char *state)
{
	for (int m = 0; m < gang->members; m++) {
		if (!gang_task_is(gang, m, state))
			return false;
	}
	return true;
}

/* Proposes to start the members once all are reserved. */
static void
propose_go_if_reserved(gang_t *gang)
{
	if (gang->phase != PHASE_RESERVING || !all_tasks_are(gang, "reserved"))
		return;
	enter_phase(gang, PHASE_GO_PROPOSED);
	gang_propose(gang, GANG_PROPOSE_GO);
}

/*
 * Enters PHASE_RUNNING once every member runs or has finished, and proposes the
 * end once all have finished.
 */
static void
check_started(gang_t *gang)
{
	bool all_finished = true;

	if (gang->phase != PHASE_STARTING && gang->phase != PHASE_RUNNING)
		return;
	for (int m = 0; m < gang->members; m++) {
		if (!gang->member[m].finished &&
		    !gang_task_is(gang, m, "running"))
			return;
		all_finished &= gang->member[m].finished;
	}
	if (gang->phase == PHASE_STARTING) {
		enter_phase(gang, PHASE_RUNNING);
		gang->renewed_ms = gang->now_ms;
	}
	if (!all_finished)
		return;
	gang->end = JOB_END_DONE;
	gang->reason = "";
	enter_phase(gang, PHASE_END_PROPOSED);
	gang_propose(gang, GANG_PROPOSE_END);
}

/* Updates the state of a member from an answer of its backend server. */
static void
apply_answer(gang_t *gang, int member, gang_answer_t answer)
{
	member_t *m = &gang->member[member];

	m->last_answer_ms = gang->now_ms;
	switch (answer) {
	case GANG_IS_RESERVED:
		step_task(gang, member, "reserve");
		break;
	case GANG_IS_RUNNING:
		step_task(gang, member, "run");
		step_task(gang, member, "start");
		break;
	case GANG_IS_DONE:
		step_task(gang, member, "run");
		step_task(gang, member, "start");
		step_task(gang, member, "finish");
		m->finished = true;
		break;
	case GANG_IS_FAILED:
		m->finished = true;
		if (gang->failed_member < 0)
			gang->failed_member = member;
		break;
	case GANG_IS_STOPPED:
		step_task(gang, member, "stop");
		break;
	case GANG_REFUSED:
	case GANG_NO_ANSWER:
		break;
	}
}

/*
 * A confirmed stop makes the predecessor end its renewals, too, so that all
 * leases expire within one renewal interval, one call and one lease.
 */
static void
limit_predecessor_leases(gang_t *gang)
{
	int64_t latest =
	    gang->now_ms + GANG_RENEW_MS + GANG_CALL_MS + GANG_LEASE_MS;

	if (gang->stop_confirmed)
		return;
	gang->stop_confirmed = true;
	for (int m = 0; m < gang->members; m++)
		gang->member[m].lease_end_ms =
		    MIN(gang->member[m].lease_end_ms, latest);
}

/* Reacts to an answer according to the phase. */
static void
act_on_answer(
    gang_t *gang, int member, gang_action_kind_t kind, gang_answer_t answer)
{
	if (gang->phase == PHASE_STOPPING) {
		if (answer == GANG_IS_STOPPED || answer == GANG_IS_DONE ||
		    answer == GANG_IS_FAILED)
			limit_predecessor_leases(gang);
		gang_end_if_all_released(gang);
		return;
	}
	if (gang->failed_member >= 0) {
		gang_stop_all(gang, JOB_END_FAILED, "a member failed");
		return;
	}
	if (kind == GANG_RESERVE &&
	    (answer == GANG_REFUSED || answer == GANG_IS_STOPPED)) {
		gang_stop_all(gang, JOB_END_ABORTED, "a member was refused");
		return;
	}
	if (answer == GANG_IS_STOPPED ||
	    (answer == GANG_REFUSED && kind == GANG_START)) {
		/* A finished member refuses a renewal as well: ask for its
		 * state. */
		if (kind == GANG_RENEW)
			gang_call(gang, member, GANG_POLL);
		else
			gang_stop_all(gang, JOB_END_LOST, "a member was lost");
		return;
	}
	propose_go_if_reserved(gang);
	check_started(gang);
}

/* Handles the answer to a call; late and duplicate answers are allowed. */
void
gang_answered(gang_t *gang, int member, gang_action_kind_t kind,
    gang_answer_t answer, int64_t now_ms)
{
	member_t *m = &gang->member[member];

	gang->now_ms = now_ms;
	if (gang->phase == PHASE_OVER)
		return;
	if (m->call == kind)
		m->pending = false;
	if (answer == GANG_NO_ANSWER || (m->finished && kind != GANG_STOP))
		return;
	/* An answer to a reservation is stale after that phase. */
	if (kind == GANG_RESERVE && gang->phase != PHASE_RESERVING)
		return;
	/* A refused renewal does not prove that the member stopped: it may have
	 * finished. */
	if (kind != GANG_RENEW || answer != GANG_IS_STOPPED)
		apply_answer(gang, member, answer);
	act_on_answer(gang, member, kind, answer);
}

/* See gang.h. */
void
gang_job_state_changed(gang_t *gang, const char *job_state, int64_t now_ms)
{
	gang->now_ms = now_ms;
	if (gang->phase == PHASE_OVER)
		return;
	gang->job_state = chart_state(gang->job_chart, job_state);
	/* The result of the start proposal is reported by gang_proposed. */
	if (!job_is(gang, "stopping") || gang->phase == PHASE_START_PROPOSED)
		return;
	if (gang->phase == PHASE_END_PROPOSED && gang->end == JOB_END_DONE) {
		/* The job was cancelled first, so the log refuses this end. */
		enter_phase(gang, PHASE_STOPPING);
		gang_end_if_all_released(gang);
		return;
	}
	gang_stop_all(gang, JOB_END_STOPPED, "cancelled");
}

/* See gang.h. */
void
gang_reclaim(gang_t *gang, const char *reason, int64_t now_ms)
{
	gang->now_ms = now_ms;
	if (gang->phase == PHASE_RESERVING || gang->phase == PHASE_GO_PROPOSED)
		gang_stop_all(gang, JOB_END_ABORTED, reason);
	else if (gang->phase != PHASE_START_PROPOSED)
		gang_stop_all(gang, JOB_END_RECLAIMED, reason);
}

/* See gang.h. */
void
gang_worker_lost(gang_t *gang, int member, int64_t now_ms)
{
	member_t *m = &gang->member[member];

	gang->now_ms = now_ms;
	m->lease_end_ms =
	    MIN(m->lease_end_ms, now_ms + GANG_CALL_MS + GANG_LEASE_MS);
	if (gang->phase > PHASE_START_PROPOSED && !m->finished)
		gang_stop_all(gang,
		    job_is(gang, "starting") ? JOB_END_ABORTED : JOB_END_LOST,
		    "a worker was lost");
}

void
gang_suspend_renewals(gang_t *gang)
{
	gang->renewals_suspended = true;
}

bool
gang_is_running(const gang_t *gang)
{
	return gang->phase == PHASE_RUNNING;
}

bool
gang_is_over(const gang_t *gang)
{
	return gang->phase == PHASE_OVER;
}

int
gang_failed_member(const gang_t *gang)
{
	return gang->failed_member;
}
