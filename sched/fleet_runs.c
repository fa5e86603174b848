#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/fleet_private.h"
#include "sched/pace.h"
#include "sched/plan.h"

/* An order without an answer is not carried out any more after so long. */
#define LATE_ORDER_MS 12000
/* More than any number of attempts. */
#define UNLIMITED_ATTEMPTS 1000000

/* ---- runs ---- */

/*
 * Returns the worker of a range. One that has deregistered may run tasks until
 * its lease expires, so it is created as unreachable.
 */
static worker_t *
worker_of_range(fleet_t *fleet, const place_range_t *range)
{
	worker_t *worker = fleet_find_worker(fleet, range->worker);
	fleet_worker_t unknown = {.id = range->worker,
	    .service = (char *)"",
	    .address = (char *)"",
	    .domain = (char *)"",
	    .rack = (char *)"",
	    .born = range->born};

	if (worker != NULL)
		return worker;
	worker = worker_create(fleet, &unknown);
	worker->reachable = false;
	return worker;
}

static void
add_member(run_t *run, int number, worker_t *worker)
{
	member_t *member = &run->members[number];

	member->run = run;
	member->pace = PACE_FULL;
	member->index = run->unit->first + number;
	member->checkpoint = g_strdup(run->unit->checkpoint);
	member->worker = worker;
	member->worker_index = worker->members->len;
	g_ptr_array_add(worker->members, member);
	plan_add(&worker->held, &run->shape, 1);
}

/* Adds the members, as many as the unit has, on the workers of the ranges. */
static void
add_members(run_t *run, const place_ranges_t *places)
{
	int number = 0;

	run->members = g_new0(member_t, run->member_count);
	for (u_int i = 0; i < places->place_ranges_t_len; i++) {
		const place_range_t *range = &places->place_ranges_t_val[i];
		worker_t *worker = worker_of_range(run->fleet, range);

		for (int k = 0; k < range->members; k++)
			add_member(run, number++, worker);
	}
}

/* Creates a run of a unit on the given places; sends no order yet. */
run_t *
run_create(fleet_t *fleet, ledger_unit_t *unit, uint32_t number,
    const place_ranges_t *places)
{
	run_t *run = g_new0(run_t, 1);
	const fleet_queue_t *queue =
	    ledger_queue(fleet_ledger(fleet), unit->job->submit.queue);

	run->fleet = fleet;
	run->unit = unit;
	run->job = g_strdup(unit->job->submit.id);
	run->name = (unit_name_t){.job = run->job,
	    .occurrence = unit->occurrence,
	    .step = unit->step,
	    .unit = unit->first};
	run->owner = unit->job;
	run->owner->runs++;
	run->step = ledger_step(unit);
	run->shape = run->step->shape;
	run->number = number;
	run->member_count = unit->members;
	run->members_left = unit->members;
	run->priority = queue != NULL ? queue->priority : QUEUE_PRIORITY_URGENT;
	run->needs_ticket = queue != NULL && queue->needs_ticket;
	run->created_ms = fleet_now_ms();
	add_members(run, places);
	unit->leader_run = run;
	run->fleet_index = fleet->runs->len;
	g_ptr_array_add(fleet->runs, run);
	return run;
}

static void
run_free(run_t *run)
{
	for (int i = 0; i < run->member_count; i++) {
		g_free(run->members[i].checkpoint);
		g_free(run->members[i].crowding);
	}
	g_free(run->members);
	g_free(run->job);
	g_free(run);
}

/* Removes a run from fleet->runs; fleet_reap_runs frees it. */
static void
run_retire(run_t *run)
{
	GPtrArray *runs = run->fleet->runs;

	run->retired = true;
	run->owner->runs--;
	g_ptr_array_remove_index_fast(runs, run->fleet_index);
	if (run->fleet_index < runs->len)
		((run_t *)g_ptr_array_index(runs, run->fleet_index))
		    ->fleet_index = run->fleet_index;
	g_ptr_array_add(run->fleet->retired_runs, run);
}

/* Frees retired runs that no order, unit or proposal refers to. */
void
fleet_reap_runs(fleet_t *fleet)
{
	for (guint i = fleet->retired_runs->len; i-- > 0;) {
		run_t *run = g_ptr_array_index(fleet->retired_runs, i);

		if (run->orders_in_flight > 0 || run->unit != NULL ||
		    run->start_undecided)
			continue;
		g_ptr_array_remove_index_fast(fleet->retired_runs, i);
		run_free(run);
	}
}

void
run_release(run_t *run)
{
	if (run->releasing)
		return;
	run->releasing = true;
	for (int i = 0; i < run->member_count; i++) {
		worker_t *worker = run->members[i].worker;

		if (worker != NULL)
			plan_add(&worker->releasing, &run->shape, 1);
	}
}

/* Takes a member out of its worker's list. */
static void
remove_from_worker(const member_t *member)
{
	GPtrArray *members = member->worker->members;
	guint index = member->worker_index;

	g_ptr_array_remove_index_fast(members, index);
	if (index < members->len)
		((member_t *)g_ptr_array_index(members, index))->worker_index =
		    index;
}

void
member_detach(member_t *member)
{
	const run_t *run = member->run;

	member_unqueue(member);
	remove_from_worker(member);
	plan_subtract(&member->worker->held, &run->shape, 1);
	if (run->releasing)
		plan_subtract(&member->worker->releasing, &run->shape, 1);
	member->worker = NULL;
	member->state = MEMBER_ENDED;
	member->run->members_left--;
}

/* Detaches a unit from its run when the end is committed or the run dropped. */
void
unit_detach_run(ledger_unit_t *unit)
{
	run_t *run = unit->leader_run;

	if (run == NULL)
		return;
	unit->leader_run = NULL;
	run->unit = NULL;
}

/* Discards a run without sending orders. */
void
run_drop(run_t *run)
{
	for (int i = 0; i < run->member_count; i++) {
		member_t *member = &run->members[i];

		if (member->worker != NULL)
			member_detach(member);
	}
	if (run->unit != NULL)
		unit_detach_run(run->unit);
	run_retire(run);
}

/*
 * Handles the outcome of the proposal that held the run's start.  A run that is
 * still uncommitted was refused by the ledger, as its unit or job had ended; it
 * is dropped, whether or not a unit refers to it.
 */
void
run_settle_start(run_t *run)
{
	run->start_undecided = false;
	if (run->retired || run->start_committed)
		return;
	counter_add(run->fleet->runs_refused, 1);
	evlog("run_refused", "{s:s,s:i,s:i,s:i,s:i}", "job", run->job,
	    "occurrence", run->name.occurrence, "step", run->name.step, "unit",
	    run->name.unit, "run", (int)run->number);
	run_drop(run);
}

static int
max_attempts_of(const run_t *run)
{
	const fleet_queue_t *queue;

	if (run->step->long_running)
		return UNLIMITED_ATTEMPTS;
	queue = ledger_queue(
	    fleet_ledger(run->fleet), run->unit->job->submit.queue);
	return queue != NULL ? queue->max_attempts : UNLIMITED_ATTEMPTS;
}

static void
log_end(const run_t *run, const char *result)
{
	evlog("run_end", "{s:s,s:i,s:i,s:i,s:i,s:s,s:s,s:I,s:I}", "job",
	    run->job, "occurrence", run->name.occurrence, "step",
	    run->name.step, "unit", run->name.unit, "run", (int)run->number,
	    "result", result, "reason",
	    run->stop_reason != NULL ? run->stop_reason : "", "after_ms",
	    (json_int_t)(fleet_now_ms() - run->created_ms), "wasted_core_ms",
	    (json_int_t)run->wasted_core_ms);
}

static void
propose_end(run_t *run, unit_result_t result)
{
	static const char *const names[] = {"done", "failed", "lost"};
	fleet_t *fleet = run->fleet;
	counter_t *const counters[] = {
	    fleet->ends_done, fleet->ends_failed, fleet->ends_lost};
	bool final = result == UNIT_RESULT_FAILED && run->unit != NULL &&
		     run->unit->failures + 1 >= max_attempts_of(run);

	run->end_proposed = true;
	counter_add(counters[result], 1);
	log_end(run, names[result]);
	fleet_event_end(fleet, run, result, final);
}

/* Reports and retires a committed run whose members have all ended. */
void
run_retire_if_ended(run_t *run)
{
	if (run->retired || !run->start_committed || run->members_left > 0)
		return;
	if (!run->end_proposed)
		propose_end(run,
		    run->any_failed ? UNIT_RESULT_FAILED : UNIT_RESULT_LOST);
	run_retire(run);
}

/* ---- members ---- */

task_name_t
member_task(const member_t *member)
{
	return (task_name_t){.job = member->run->job,
	    .occurrence = member->run->name.occurrence,
	    .step = member->run->name.step,
	    .index = member->index};
}

/* Logs the first checkpoint of a member that is left out. */
static void
note_long_checkpoint(member_t *member, size_t bytes)
{
	const run_t *run = member->run;

	counter_add(run->fleet->checkpoints_left_out, 1);
	if (member->checkpoint_was_long)
		return;
	member->checkpoint_was_long = true;
	evlog("checkpoint_left_out", "{s:s,s:i,s:i,s:i,s:I,s:i}", "job",
	    run->job, "step", run->name.step, "index", member->index, "run",
	    (int)run->number, "bytes", (json_int_t)bytes, "limit",
	    TEXT_MAX_LEN);
}

/*
 * Takes over a new checkpoint.  One that is too long for the ledger is left
 * out: the task resumes from the one before.
 */
static void
update_checkpoint(member_t *member, const char *checkpoint)
{
	if (checkpoint[0] == '\0' ||
	    strcmp(member->checkpoint, checkpoint) == 0)
		return;
	if (strlen(checkpoint) > TEXT_MAX_LEN) {
		note_long_checkpoint(member, strlen(checkpoint));
		return;
	}
	g_free(member->checkpoint);
	member->checkpoint = g_strdup(checkpoint);
	member->saved_ms = fleet_now_ms();
}

/*
 * Stops the other members unless one is done, since the unit cannot succeed
 * once a member has ended without success. Retires the run once all have ended.
 */
void
run_after_member_end(run_t *run, const char *reason)
{
	if (!run->any_done)
		run_stop(run, reason);
	run_retire_if_ended(run);
}

/* Records that the member, and so its job, was seen at work. */
void
member_note_begun(member_t *member)
{
	ledger_unit_t *unit = member->run->unit;

	if (member->at_work_since_ms == 0)
		member->at_work_since_ms = fleet_now_ms();
	if (unit != NULL)
		unit->job->begun = true;
}

/*
 * Holds a long-running task back whose run ended by itself, if it does so again
 * and again.
 */
static void
delay_restart(const member_t *member, int64_t now_ms)
{
	const run_t *run = member->run;
	ledger_unit_t *unit = run->unit;
	int64_t worked_ms = now_ms - member->at_work_since_ms;

	if (!run->step->long_running || run->stopping || unit == NULL)
		return;
	restart_delay_after_end(
	    &unit->restart, worked_ms, now_ms, g_random_double());
	if (unit->restart.until_ms == 0)
		return;
	counter_add(run->fleet->restarts_delayed, 1);
	evlog("restart_delayed", "{s:s,s:i,s:i,s:I,s:i,s:I}", "job", run->job,
	    "step", run->name.step, "unit", run->name.unit, "worked_ms",
	    (json_int_t)worked_ms, "quick_ends", unit->restart.quick_ends,
	    "delay_ms", (json_int_t)(unit->restart.until_ms - now_ms));
}

/* Handles an end that the worker listed. */
void
member_ended(member_t *member, run_outcome_t how, const char *checkpoint)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};
	run_t *run = member->run;

	member_note_begun(member);
	update_checkpoint(member, checkpoint);
	if (how == RUN_DONE)
		member_done(member, fleet_now_ms());
	else
		member_record_waste(member, names[how]);
	if (how == RUN_DONE || how == RUN_FAILED)
		delay_restart(member, fleet_now_ms());
	if (how == RUN_FAILED)
		evlog("task_failed", "{s:s,s:i,s:i,s:i,s:s}", "job", run->job,
		    "step", run->name.step, "index", member->index, "run",
		    (int)run->number, "worker", member->worker->info.id);
	member_detach(member);
	if (how == RUN_FAILED)
		run->any_failed = true;
	/*
	 * The first member that is done completes the unit, also a gang. A
	 * long-running task is restarted however it ends.
	 */
	if (how == RUN_DONE && !run->any_done && !run->step->long_running) {
		run->any_done = true;
		run_release(run);
		if (!run->end_proposed)
			propose_end(run, UNIT_RESULT_DONE);
	}
	run_after_member_end(run, names[how]);
}

/* Logs what the leader knows of a member that it gives up. */
static void
log_lost(const member_t *member, const char *why)
{
	static const char *const states[] = {
	    "unsent", "sent", "running", "ended"};
	const run_t *run = member->run;
	const worker_t *worker = member->worker;

	evlog("task_lost", "{s:s,s:i,s:i,s:i,s:s,s:s,s:I,s:s,s:i,s:b,s:b,s:I}",
	    "job", run->job, "step", run->name.step, "index", member->index,
	    "run", (int)run->number, "worker", worker->info.id, "reason", why,
	    "born", (json_int_t)worker->info.born, "state",
	    states[member->state], "starts_unanswered",
	    member->starts_unanswered, "stop_answered",
	    (int)(member->stop == STOP_ANSWERED), "reachable",
	    (int)worker->reachable, "lease_left_ms",
	    (json_int_t)(worker->lease_expiry_ms - fleet_now_ms()));
}

/* Handles a member that will not run any more and whose end is unknown. */
void
member_lost(member_t *member, const char *why)
{
	run_t *run = member->run;

	log_lost(member, why);
	member_record_waste(member, why);
	member_detach(member);
	run_after_member_end(run, why);
}

/* Discards the answer to a stop, which a later incarnation has not seen. */
void
member_forget_stop(member_t *member)
{
	member->stop = STOP_NONE;
	member->retry_ms = 0;
}

/*
 * Whether a start without an answer may still be executed.  The worker refuses
 * it once it has answered a stop of the run.
 */
bool
member_may_still_start(const member_t *member)
{
	return member->starts_unanswered > 0 && member->stop != STOP_ANSWERED;
}

/*
 * Whether a start that was sent may be carried out in a later incarnation of
 * the worker, which has seen neither a stop nor a fencing token.  Only time
 * tells, as long as nothing is heard of that incarnation.
 */
bool
member_may_start_later(const member_t *member, int64_t now_ms)
{
	bool start_in_flight =
	    member->order_in_flight && member->stop == STOP_NONE;

	return start_in_flight ||
	       (member->starts_unanswered > 0 &&
		   now_ms - member->unanswered_ms < LATE_ORDER_MS);
}

/*
 * Returns until when a start of a run that has ended may be carried out by a
 * later incarnation of the worker, 0 if none may.  Of the starts that were sent
 * without an answer, one was carried out unless another was answered.
 */
int64_t
member_late_start_ms(const member_t *member)
{
	int copies = member->starts_unanswered;

	if (member->order_in_flight && member->stop == STOP_NONE)
		copies++;
	if (!member->start_answered)
		copies--;
	return copies > 0 ? member->unanswered_ms + LATE_ORDER_MS : 0;
}

void
member_reported_running(
    member_t *member, const running_task_t *task, int64_t now_ms)
{
	member_note_begun(member);
	if (member->state == MEMBER_UNSENT || member->state == MEMBER_SENT)
		member->state = MEMBER_RUNNING;
	if (task->percent > member->percent || member->percent_ms == 0) {
		member->percent = task->percent;
		member->percent_ms = now_ms;
	}
	member->load = task->load;
	member_progressed(member, task->percent, now_ms);
	update_checkpoint(member, task->checkpoint);
}
