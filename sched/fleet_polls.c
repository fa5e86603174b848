#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "sched/fleet_private.h"

/*
 * Polls workers: what runs on them, what has ended, and the renewal of their
 * leases.
 */

/* A poll that waits for an end; ends are told at once. */
#define POLL_WAIT_MS 2000
/* Where tasks disturb each other, which changes within seconds. */
#define POLL_WAIT_SHARED_MS 500
#define POLL_WAIT_LEASE_PERCENT 40
#define POLL_ANSWER_MS 1000
/* So that a worker which was cut off is found before its lease ends. */
#define POLL_ANSWER_UNREACHABLE_MS 300
/* Longest wait for the commit of ends before the next poll. */
#define POLL_HOLD_MS 40
/* A worker that lists ends answers at once; these are not settled yet. */
#define POLL_UNSETTLED_MS 200
#define POLL_RETRY_MS 150
#define POLL_RETRY_UNREACHABLE_MS 500

/* Takes the end of a run as evidence about its worker. */
static void
note_evidence(worker_t *worker, const run_t *run, run_how_t how, int64_t now_ms)
{
	suspicion_t *suspicion = &worker->suspicion;
	bool again = run->unit != NULL && run->unit->failures > 0;

	if (how == RUN_DONE)
		suspicion_succeeded(suspicion, run->started_ms);
	if (how == RUN_FAILED &&
	    suspicion_failed(suspicion, run->job, again, now_ms))
		evlog("worker_suspect", "{s:s,s:i,s:I,s:s}", "worker",
		    worker->info.id, "jobs", suspicion->jobs, "quarantine_ms",
		    (json_int_t)(suspicion->until_ms - now_ms), "job",
		    run->job);
}

static bool
is_task_of(const member_t *member, const task_name_t *task, uint32_t run)
{
	return member->run->number == run && member->index == task->index &&
	       member->run->name.step == task->step &&
	       member->run->name.occurrence == task->occurrence &&
	       strcmp(member->run->job, task->job) == 0;
}

static member_t *
find_member(const worker_t *worker, const task_name_t *task, uint32_t run)
{
	for (guint i = 0; i < worker->members->len; i++) {
		member_t *member = g_ptr_array_index(worker->members, i);

		if (is_task_of(member, task, run))
			return member;
	}
	return NULL;
}

static void
on_stray_stopped(void *ctx, const order_answer_t *answer)
{
	worker_t *worker = ctx;

	worker->orders--;
}

/* Stops a task that runs although nothing says that it should. */
static void
stop_stray(worker_t *worker, const running_task_t *task)
{
	fleet_t *fleet = worker->fleet;
	order_target_t target = {&worker->info, fleet->term, POLL_ANSWER_MS};

	evlog("stray", "{s:s,s:s,s:i}", "worker", worker->info.id, "job",
	    task->task.job, "run", (int)task->run);
	worker->orders++;
	fleet->orders.stop(fleet->orders.ctx, &target, &task->task, task->run,
	    on_stray_stopped, worker);
}

static void
keep_end(worker_t *worker, const ended_task_t *end, const member_t *member)
{
	kept_end_t *kept = g_new0(kept_end_t, 1);

	kept->number = end->number;
	/* Other ends change nothing that a successor would need. */
	if (member != NULL &&
	    (end->how == RUN_DONE || end->how == RUN_FAILED)) {
		kept->job = g_strdup(member->run->job);
		kept->unit = member->run->name;
		kept->unit.job = kept->job;
		kept->run = member->run->number;
	}
	g_queue_push_tail(&worker->kept, kept);
}

/* Whether the run's outcome is committed, so that its ends may be forgotten. */
static bool
is_settled(const worker_t *worker, const kept_end_t *end)
{
	const ledger_unit_t *unit;

	if (end->job == NULL)
		return true;
	unit = ledger_unit(fleet_ledger(worker->fleet), &end->unit);
	if (end->late)
		return unit == NULL || unit->state == UNIT_DONE ||
		       ledger_job_has_ended(unit->job);
	return unit == NULL || unit->state != UNIT_PLACED ||
	       unit->run != end->run;
}

/* Returns the number up to which ends may be forgotten. */
static uint64_t
acknowledgeable(worker_t *worker)
{
	kept_end_t *end;

	while ((end = g_queue_peek_head(&worker->kept)) != NULL &&
	       is_settled(worker, end)) {
		worker->acked_end = MAX(worker->acked_end, end->number);
		g_queue_pop_head(&worker->kept);
		kept_end_free(end);
	}
	return worker->acked_end;
}

/*
 * An end of a run that is not followed any more.  Work that was done counts,
 * also when the worker was given up in the meantime.
 */
static void
take_late_end(worker_t *worker, const ended_task_t *end)
{
	ledger_t *ledger = fleet_ledger(worker->fleet);
	const ledger_job_t *job = ledger_job(ledger, end->task.job);
	kept_end_t *kept = g_queue_peek_tail(&worker->kept);
	ledger_unit_t *unit;

	if (end->how != RUN_DONE || job == NULL || ledger_job_has_ended(job))
		return;
	unit = ledger_unit_of_task(
	    job, end->task.occurrence, end->task.step, end->task.index);
	if (unit == NULL || unit->state == UNIT_DONE || end->run > unit->run ||
	    ledger_step(unit)->long_running)
		return;
	kept->job = g_strdup(end->task.job);
	kept->unit =
	    (unit_name_t){kept->job, unit->occurrence, unit->step, unit->first};
	kept->run = end->run;
	kept->late = true;
	evlog("late_done", "{s:s,s:i,s:i,s:i,s:s}", "job", kept->job, "step",
	    unit->step, "unit", unit->first, "run", (int)end->run, "worker",
	    worker->info.id);
	fleet_event_done(worker->fleet, &kept->unit, end->run);
}

static void
take_ends(worker_t *worker, const order_answer_t *answer, int64_t now_ms)
{
	for (size_t i = 0; i < answer->ended_count; i++) {
		const ended_task_t *end = &answer->ended[i];
		member_t *member;

		if (end->number <= worker->seen_end)
			continue;
		worker->seen_end = end->number;
		member = find_member(worker, &end->task, end->run);
		keep_end(worker, end, member);
		if (member == NULL) {
			take_late_end(worker, end);
			continue;
		}
		note_evidence(worker, member->run, end->how, now_ms);
		member_ended(member, end->how, end->checkpoint);
	}
}

static bool
is_listed(const member_t *member, const order_answer_t *answer)
{
	for (size_t i = 0; i < answer->running_count; i++) {
		const running_task_t *task = &answer->running[i];

		if (is_task_of(member, &task->task, task->run))
			return true;
	}
	return false;
}

/*
 * A member that the worker lists neither as running nor as ended, although an
 * order about it was answered before the poll was sent, is not there and will
 * not come.
 */
static void
take_missing(worker_t *worker, const order_answer_t *answer)
{
	for (guint i = worker->members->len; i-- > 0;) {
		member_t *member;

		if (i >= worker->members->len)
			continue;
		member = g_ptr_array_index(worker->members, i);
		if (member->settled > worker->poll_sent ||
		    is_listed(member, answer))
			continue;
		if (member->state == MEMBER_RUNNING ||
		    (member->state == MEMBER_SENT &&
			member->stop == STOP_ANSWERED))
			member_lost(member, "not_listed");
	}
}

static void
take_lists(worker_t *worker, const order_answer_t *answer, int64_t now_ms)
{
	take_ends(worker, answer, now_ms);
	for (size_t i = 0; i < answer->running_count; i++) {
		const running_task_t *task = &answer->running[i];
		member_t *member = find_member(worker, &task->task, task->run);

		if (member != NULL)
			member_listed_running(member, task, now_ms);
		else
			stop_stray(worker, task);
	}
	take_missing(worker, answer);
}

/* Gives up every task on the worker. */
void
worker_lose_members(worker_t *worker, const char *why)
{
	while (worker->members->len > 0)
		member_lost(g_ptr_array_index(
				worker->members, worker->members->len - 1),
		    why);
}

static void
on_unreachable(worker_t *worker, int64_t now_ms)
{
	if (worker->reachable)
		evlog("worker_lost", "{s:s,s:I,s:i}", "worker", worker->info.id,
		    "heard_ms_ago", (json_int_t)(now_ms - worker->heard_ms),
		    "members", (int)worker->members->len);
	worker->reachable = false;
	worker->next_poll_ms =
	    now_ms + (worker->members->len > 0 ? POLL_RETRY_MS
					       : POLL_RETRY_UNREACHABLE_MS);
}

static void
on_polled(void *ctx, const order_answer_t *answer)
{
	worker_t *worker = ctx;
	int64_t now_ms = fleet_now_ms();

	worker->orders--;
	worker->polling = false;
	worker->poll_done_ms = now_ms;
	if (worker->gone)
		return;
	switch (answer->outcome) {
	case ORDER_NO_ANSWER:
		on_unreachable(worker, now_ms);
		break;
	case ORDER_OTHER_INCARNATION:
		evlog("worker_gone", "{s:s,s:s}", "worker", worker->info.id,
		    "reason", "other_incarnation");
		worker_lose_members(worker, "other_incarnation");
		worker->info.gone = TRUE;
		fleet_event_worker(worker->fleet, &worker->info, NULL, NULL);
		worker->expelled = true;
		break;
	case ORDER_OK:
		worker_clock_note(&worker->clock, answer->clock_ms, now_ms);
		if (!worker->reachable)
			evlog(
			    "worker_back", "{s:s}", "worker", worker->info.id);
		worker->reachable = true;
		worker->next_poll_ms = now_ms;
		if (answer->born > worker->info.born) {
			worker->info.born = answer->born;
			worker_note_new_incarnation(worker);
			worker_clock_note(
			    &worker->clock, answer->clock_ms, now_ms);
		}
		worker->told_end = MAX(worker->told_end, worker->asked_end);
		take_lists(worker, answer, now_ms);
		worker_adjust_pace(worker);
		acknowledgeable(worker);
		if (worker->kept.length > 0 &&
		    worker->fleet->proposal == NULL &&
		    worker->fleet->events.ends.ends_len == 0)
			worker->next_poll_ms = now_ms + POLL_UNSETTLED_MS;
		break;
	default:
		worker->next_poll_ms = now_ms + POLL_RETRY_UNREACHABLE_MS;
		break;
	}
	fleet_kick(worker->fleet);
}

static bool
has_committed_member(const worker_t *worker)
{
	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		if (member->run->committed)
			return true;
	}
	return false;
}

/* A poll must come back well before the lease that it gave has ended. */
static int64_t
poll_wait_ms(const worker_t *worker)
{
	int64_t wait_ms =
	    worker_is_shared(worker) ? POLL_WAIT_SHARED_MS : POLL_WAIT_MS;

	return MIN(wait_ms,
	    worker->fleet->bounds.lease_ms * POLL_WAIT_LEASE_PERCENT / 100);
}

/*
 * Polls the worker: renews its lease, learns what runs and what has ended.
 * A worker that did not answer gets no longer lease, so that its tasks can be
 * counted as gone at a known time.
 */
void
worker_poll(worker_t *worker, int64_t now_ms)
{
	fleet_t *fleet = worker->fleet;
	bool busy = has_committed_member(worker);
	poll_order_t order = {.acknowledged = acknowledgeable(worker)};
	order_target_t target = {&worker->info, fleet->term, POLL_ANSWER_MS};

	if (busy && worker->reachable) {
		order.lease_end_ms = worker_lease_end(worker, now_ms);
		if (!worker->needs_poll)
			order.wait_ms = poll_wait_ms(worker);
		target.timeout_ms += order.wait_ms;
	}
	if (!worker->reachable)
		target.timeout_ms = POLL_ANSWER_UNREACHABLE_MS;
	worker->needs_poll = false;
	worker->asked_end = order.acknowledged;
	worker->polling = true;
	worker->poll_sent = fleet_step(fleet);
	worker->orders++;
	counter_add(fleet->polls, 1);
	fleet->orders.poll(
	    fleet->orders.ctx, &target, &order, on_polled, worker);
}

static bool
wants_poll(worker_t *worker)
{
	/* A worker that is back may list ends, and can be used again. */
	if (worker->needs_poll || !worker->reachable ||
	    has_committed_member(worker))
		return true;
	return acknowledgeable(worker) > worker->told_end;
}

/* Regular work for one worker; called often. */
void
worker_tick(worker_t *worker, int64_t now_ms)
{
	if (!worker->reachable && now_ms > worker->held_until_ms)
		worker_lose_members(worker, "lease_ended");
	if (worker->polling || now_ms < worker->next_poll_ms ||
	    worker->info.address[0] == '\0')
		return;
	/* Ends are committed first, so that the poll can acknowledge them. */
	if (worker->kept.length > 0 && worker->fleet->proposal != NULL &&
	    !worker->needs_poll && now_ms - worker->poll_done_ms < POLL_HOLD_MS)
		return;
	if (wants_poll(worker))
		worker_poll(worker, now_ms);
}
