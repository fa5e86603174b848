#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "common/loop_watch.h"
#include "sched/fleet_private.h"
#include "sched/task_index.h"

/*
 * Polls workers to learn which tasks run and which have ended, and to renew
 * their leases.
 */

/* Long poll: a worker answers early when a task ends. */
#define POLL_WAIT_MS 2000
/* Shorter where tasks slow each other down, which varies within seconds. */
#define POLL_WAIT_INTERFERENCE_MS 500
#define POLL_WAIT_LEASE_PERCENT 40
/* Time for an answer beyond the wait of a poll, also to a stop of a stray. */
#define POLL_TIMEOUT_MS 1000
/* Short enough to notice a reconnected worker before its lease ends. */
#define POLL_TIMEOUT_UNREACHABLE_MS 300
/* A poll is delayed by at most this, to acknowledge ends being committed. */
#define ENDS_COMMIT_WAIT_MS 40
/*
 * Interval of polls while ends cannot be acknowledged: the worker does not wait
 * then, so polls would follow each other at once.
 */
#define POLL_UNCOMMITTED_MS 200
/* Ends that a worker may have numbered without listing them. */
#define MAX_END_GAP (1 << 20)
#define POLL_RETRY_MS 150
#define POLL_RETRY_UNREACHABLE_MS 500

/* Updates the suspicion of the worker with the result of a run. */
static void
update_suspicion(
    worker_t *worker, const run_t *run, run_outcome_t how, int64_t now_ms)
{
	suspicion_t *suspicion = &worker->suspicion;
	bool failed_before = run->unit != NULL && run->unit->failures > 0;

	if (how == RUN_DONE)
		suspicion_record_success(suspicion, run->created_ms);
	if (how == RUN_FAILED && suspicion_record_failure(suspicion, run->job,
				     failed_before, now_ms))
		evlog("worker_suspect", "{s:s,s:i,s:I,s:s}", "worker",
		    worker->info.id, "jobs", suspicion->jobs, "quarantine_ms",
		    (json_int_t)(suspicion->until_ms - now_ms), "job",
		    run->job);
}

static void
on_stray_stopped(void *ctx, const order_answer_t *answer)
{
	worker_t *worker = ctx;

	worker->orders_in_flight--;
	worker->stray_stops--;
	worker_order_ended(worker, answer->outcome != ORDER_NO_ANSWER);
	/* The next poll lists the strays that are left. */
	if (worker->strays_left && worker->stray_stops == 0) {
		worker->strays_left = false;
		worker->needs_poll = true;
		fleet_schedule_work(worker->fleet);
	}
}

/* Logs a stray with what the ledger says of its unit. */
static void
log_stray(const worker_t *worker, const running_task_t *stray)
{
	static const char *const states[] = {
	    "waiting", "placed", "done", "failed"};
	fleet_t *fleet = worker->fleet;
	const task_name_t *task = &stray->task;
	ledger_job_t *job = ledger_job(fleet_ledger(fleet), task->job);
	const ledger_unit_t *unit = NULL;

	if (job != NULL)
		unit = ledger_unit_of_task(
		    job, task->occurrence, task->step, task->index);
	counter_add(fleet->strays, 1);
	if (unit != NULL && unit->state == UNIT_PLACED &&
	    unit->run != stray->run)
		counter_add(fleet->overlaps, 1);
	evlog("stray", "{s:s,s:I,s:s,s:i,s:i,s:i,s:s,s:i}", "worker",
	    worker->info.id, "born", (json_int_t)worker->info.born, "job",
	    task->job, "step", task->step, "index", task->index, "run",
	    (int)stray->run, "unit", unit != NULL ? states[unit->state] : "",
	    "unit_run", unit != NULL ? (int)unit->run : 0);
}

/* Stops a task that a worker runs without a matching run here. */
static void
stop_stray(worker_t *worker, const running_task_t *task)
{
	fleet_t *fleet = worker->fleet;
	order_target_t target = {
	    &worker->info, worker_fence(worker), POLL_TIMEOUT_MS};

	/* A later poll lists it again. */
	if (!fleet_leads(fleet))
		return;
	if (!worker_may_stop_stray(worker)) {
		worker->strays_left = true;
		return;
	}
	log_stray(worker, task);
	worker->orders_in_flight++;
	worker->stray_stops++;
	worker_order_sent(worker);
	fleet->orders.stop(fleet->orders.ctx, &target, &task->task, task->run,
	    on_stray_stopped, worker);
}

static void
add_pending_end(
    worker_t *worker, const ended_task_t *end, const member_t *member)
{
	pending_end_t *pending = g_new0(pending_end_t, 1);

	pending->number = end->number;
	/*
	 * Only these ends are acknowledged after their commit, so that a new
	 * leader still learns of them.
	 */
	if (member != NULL &&
	    (end->how == RUN_DONE || end->how == RUN_FAILED)) {
		pending->job = g_strdup(member->run->job);
		pending->unit = member->run->name;
		pending->unit.job = pending->job;
		pending->run = member->run->number;
		pending->hold_until_ms = member_late_start_ms(member);
	}
	g_queue_push_tail(&worker->pending_ends, pending);
}

/*
 * Whether the run's outcome is committed, so that the worker may discard the
 * end.
 */
static bool
is_end_committed(const worker_t *worker, const pending_end_t *end)
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

/*
 * Whether the end is kept at the worker for a while: a start of its run may
 * still be carried out in the worker's next incarnation, and must not come
 * after an acknowledged success.  Ends that are not listed yet go first.
 */
static bool
is_end_held(const worker_t *worker, const pending_end_t *end, int64_t now_ms)
{
	return now_ms < end->hold_until_ms && !worker->more_ends;
}

/*
 * Drops committed ends from the front of the list and returns the highest end
 * number that may be acknowledged.
 */
static uint64_t
advance_ackable_end(worker_t *worker)
{
	int64_t now_ms = fleet_now_ms();
	pending_end_t *end;

	while ((end = g_queue_peek_head(&worker->pending_ends)) != NULL &&
	       is_end_committed(worker, end) &&
	       !is_end_held(worker, end, now_ms)) {
		worker->ackable_end = MAX(worker->ackable_end, end->number);
		g_queue_pop_head(&worker->pending_ends);
		pending_end_free(end);
	}
	return worker->ackable_end;
}

/* Whether the ends wait for the end of a hold rather than for a commit. */
static bool
is_head_held(const worker_t *worker, int64_t now_ms)
{
	const pending_end_t *end = worker->pending_ends.head->data;

	return is_end_held(worker, end, now_ms);
}

/* Logs an end of an open job that is acknowledged without being counted. */
static void
log_uncounted_end(
    const worker_t *worker, const ended_task_t *end, const ledger_unit_t *unit)
{
	counter_add(worker->fleet->ends_uncounted, 1);
	evlog("end_uncounted", "{s:s,s:I,s:s,s:i,s:i,s:i,s:i}", "worker",
	    worker->info.id, "born", (json_int_t)worker->info.born, "job",
	    end->task.job, "step", end->task.step, "index", end->task.index,
	    "run", (int)end->run, "unit_run",
	    unit != NULL ? (int)unit->run : 0);
}

/*
 * Processes the end of a run that is no longer tracked. A completed task counts
 * even if it was treated as lost in the meantime. The end is the last of
 * pending_ends.
 */
static void
process_late_end(worker_t *worker, const ended_task_t *end)
{
	ledger_t *ledger = fleet_ledger(worker->fleet);
	ledger_job_t *job = ledger_job(ledger, end->task.job);
	pending_end_t *pending = g_queue_peek_tail(&worker->pending_ends);
	ledger_unit_t *unit;

	if (end->how != RUN_DONE || job == NULL || ledger_job_has_ended(job))
		return;
	unit = ledger_unit_of_task(
	    job, end->task.occurrence, end->task.step, end->task.index);
	if (unit == NULL || unit->state == UNIT_DONE || end->run > unit->run ||
	    ledger_step(unit)->long_running) {
		log_uncounted_end(worker, end, unit);
		return;
	}
	pending->job = g_strdup(end->task.job);
	pending->unit = (unit_name_t){
	    pending->job, unit->occurrence, unit->step, unit->first};
	pending->run = end->run;
	pending->late = true;
	evlog("late_done", "{s:s,s:i,s:i,s:i,s:s}", "job", pending->job, "step",
	    unit->step, "unit", unit->first, "run", (int)end->run, "worker",
	    worker->info.id);
	fleet_event_late_done(worker->fleet, &pending->unit, end->run);
}

static void
process_ends(worker_t *worker, const order_answer_t *answer,
    const task_index_t *index, int64_t now_ms)
{
	for (size_t i = 0; i < answer->ended_count; i++) {
		const ended_task_t *end = &answer->ended[i];
		member_t *member;

		if (end->number <= worker->last_end_number)
			continue;
		worker->last_end_number = end->number;
		member = task_index_find(index, &end->task, end->run);
		add_pending_end(worker, end, member);
		if (member == NULL) {
			process_late_end(worker, end);
			continue;
		}
		update_suspicion(worker, member->run, end->how, now_ms);
		member_ended(member, end->how, end->checkpoint);
	}
}

/*
 * Handles a member that the worker lists neither as running nor as ended. It is
 * lost unless a start may still be executed; then the run is stopped first.
 */
static void
process_unlisted(member_t *member)
{
	if (member->state == MEMBER_RUNNING && member_may_still_start(member)) {
		member->state = MEMBER_SENT;
		run_stop(member->run, "not_listed");
	} else if (member->state == MEMBER_RUNNING ||
		   (member->state == MEMBER_SENT &&
		       member->stop == STOP_ANSWERED)) {
		member_lost(member, "not_listed");
	} else {
		member_not_started(member);
	}
}

/*
 * Handles the members that the worker does not list and about which it answered
 * no order after the poll was sent. A list of ends that was cut off proves
 * nothing, since a member may have ended beyond it.
 */
static void
process_missing(worker_t *worker, const order_answer_t *answer)
{
	if (answer->more_ends)
		return;
	for (guint i = worker->members->len; i-- > 0;) {
		member_t *member;

		/* member_lost may detach several members. */
		if (i >= worker->members->len)
			continue;
		member = g_ptr_array_index(worker->members, i);
		if (member->answer_sequence <= worker->poll_sequence &&
		    member->listed_sequence != worker->poll_sequence)
			process_unlisted(member);
	}
}

static void
process_poll_lists(
    worker_t *worker, const order_answer_t *answer, int64_t now_ms)
{
	task_index_t *index = task_index_create(worker);

	worker->more_ends = answer->more_ends;
	process_ends(worker, answer, index, now_ms);
	for (size_t i = 0; i < answer->running_count; i++) {
		const running_task_t *task = &answer->running[i];
		member_t *member =
		    task_index_find(index, &task->task, task->run);

		if (member == NULL) {
			stop_stray(worker, task);
			continue;
		}
		member->listed_sequence = worker->poll_sequence;
		member_reported_running(member, task, now_ms);
	}
	task_index_destroy(index);
	process_missing(worker, answer);
}

/*
 * Gives up the tasks of a worker whose lease has ended, except those of which a
 * start may still arrive.
 */
static void
worker_end_lease(worker_t *worker, int64_t now_ms)
{
	GPtrArray *members = g_ptr_array_copy(worker->members, NULL, NULL);

	for (guint i = 0; i < members->len; i++) {
		member_t *member = g_ptr_array_index(members, i);

		/* member_lost may detach several members. */
		if (member->worker == worker &&
		    !member_may_start_later(member, now_ms))
			member_lost(member, "lease_ended");
	}
	g_ptr_array_unref(members);
}

/* Treats every task on the worker as lost. */
static void
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
		    "heard_ms_ago",
		    (json_int_t)(now_ms - worker->last_announced_ms), "members",
		    (int)worker->members->len);
	worker->reachable = false;
	worker->next_poll_ms =
	    now_ms + (worker->members->len > 0 ? POLL_RETRY_MS
					       : POLL_RETRY_UNREACHABLE_MS);
}

/*
 * Whether the ends continue those listed so far. A number far ahead was
 * garbled: ends below it would be skipped and acknowledged before they were
 * listed.
 */
static bool
ends_continue(const worker_t *worker, const order_answer_t *answer)
{
	uint64_t last = worker->last_end_number;

	/* A new leader knows no number; another incarnation starts anew. */
	if (answer->born != worker->info.born)
		last = 0;
	for (size_t i = 0; i < answer->ended_count; i++) {
		if (last != 0 && answer->ended[i].number > last + MAX_END_GAP)
			return false;
		last = MAX(last, answer->ended[i].number);
	}
	return true;
}

/*
 * An answer of an earlier incarnation, or with garbled numbers of ends, proves
 * nothing about this incarnation and counts as none.
 */
static order_outcome_t
poll_outcome(const worker_t *worker, const order_answer_t *answer)
{
	if (answer->outcome != ORDER_OK || (answer->born >= worker->info.born &&
					       ends_continue(worker, answer)))
		return answer->outcome;
	evlog("poll_ignored", "{s:s,s:I,s:I}", "worker", worker->info.id,
	    "born", (json_int_t)answer->born, "expected",
	    (json_int_t)worker->info.born);
	return ORDER_NO_ANSWER;
}

/*
 * Whether a poll that was sent to an earlier incarnation, perhaps at another
 * address, was not answered by the present one. It tells nothing about that
 * one.
 */
static bool
is_for_earlier_incarnation(const worker_t *worker, const order_answer_t *answer)
{
	return worker->poll_born != worker->info.born &&
	       (answer->outcome != ORDER_OK ||
		   answer->born != worker->info.born);
}

static void
on_poll_answer(void *ctx, const order_answer_t *answer)
{
	worker_t *worker = ctx;
	int64_t now_ms = fleet_now_ms();

	worker->orders_in_flight--;
	worker->polling = false;
	worker->poll_done_ms = now_ms;
	worker->poll_confirmed = false;
	if (worker->retired)
		return;
	if (is_for_earlier_incarnation(worker, answer)) {
		worker->needs_poll = true;
		fleet_schedule_work(worker->fleet);
		return;
	}
	switch (poll_outcome(worker, answer)) {
	case ORDER_NO_ANSWER:
		/* This process was paused: the answer may have come. */
		if (loop_watch_resumed_ms() >= worker->poll_sent_ms)
			worker->needs_poll = true;
		else
			on_unreachable(worker, now_ms);
		break;
	case ORDER_OTHER_INCARNATION:
		evlog("worker_gone", "{s:s,s:s}", "worker", worker->info.id,
		    "reason", "other_incarnation");
		worker_lose_members(worker, "other_incarnation");
		worker_depart(worker, NULL, NULL);
		worker->retire_pending = true;
		break;
	case ORDER_OK:
		worker_clock_update(&worker->clock, answer->clock_ms, now_ms);
		if (!worker->reachable)
			evlog(
			    "worker_back", "{s:s}", "worker", worker->info.id);
		worker->reachable = true;
		worker->unconfirmed = false;
		worker->next_poll_ms = now_ms;
		/* The worker restarted before its announcement arrived. */
		if (answer->born > worker->info.born) {
			worker_learn_incarnation(worker, answer->born);
			worker_clock_update(
			    &worker->clock, answer->clock_ms, now_ms);
		}
		worker->poll_confirmed = true;
		worker->confirmed_ack =
		    MAX(worker->confirmed_ack, worker->sent_ack);
		loop_watch_enter("lists of tasks");
		process_poll_lists(worker, answer, now_ms);
		loop_watch_leave();
		worker_observe_crowding(worker, now_ms);
		worker_adjust_pace(worker, now_ms);
		advance_ackable_end(worker);
		if (worker->pending_ends.length > 0 &&
		    (is_head_held(worker, now_ms) ||
			!fleet_is_proposing_ends(worker->fleet)))
			worker->next_poll_ms = now_ms + POLL_UNCOMMITTED_MS;
		break;
	default:
		worker->next_poll_ms = now_ms + POLL_RETRY_UNREACHABLE_MS;
		break;
	}
	fleet_schedule_work(worker->fleet);
}

/*
 * Returns the end to acknowledge, 0 for none. If the worker has restarted, it
 * would acknowledge ends of the next incarnation, so what was confirmed is not
 * sent again, and nothing is sent after a poll without an answer until the
 * present incarnation has answered one.
 */
static uint64_t
next_acknowledgement(worker_t *worker)
{
	uint64_t end = advance_ackable_end(worker);

	return worker->poll_confirmed && end > worker->confirmed_ack ? end : 0;
}

static bool
has_committed_member(const worker_t *worker)
{
	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		if (member->run->start_committed)
			return true;
	}
	return false;
}

/* A poll must return well before the lease that it renewed expires. */
static int64_t
poll_wait_ms(const worker_t *worker)
{
	int64_t wait_ms = worker_has_interference(worker)
			      ? POLL_WAIT_INTERFERENCE_MS
			      : POLL_WAIT_MS;

	return MIN(wait_ms,
	    worker->fleet->timing.lease_ms * POLL_WAIT_LEASE_PERCENT / 100);
}

/*
 * Polls the worker. The lease is renewed only while the worker is reachable, so
 * that its tasks are known to have stopped once the last lease has expired.
 */
void
worker_poll(worker_t *worker, int64_t now_ms)
{
	fleet_t *fleet = worker->fleet;
	bool busy = has_committed_member(worker);
	poll_order_t order = {.acknowledged = next_acknowledgement(worker)};
	order_target_t target = {
	    &worker->info, worker_fence(worker), POLL_TIMEOUT_MS};

	if (busy && worker->reachable) {
		/* What a worker that leaves still runs is being stopped. */
		if (!worker->leaving)
			order.lease_end_ms = worker_grant_lease(worker, now_ms);
		if (!worker->needs_poll)
			order.wait_ms = poll_wait_ms(worker);
		target.timeout_ms += order.wait_ms;
	}
	if (!worker->reachable)
		target.timeout_ms = POLL_TIMEOUT_UNREACHABLE_MS;
	worker->needs_poll = false;
	worker->sent_ack = order.acknowledged;
	worker->polling = true;
	worker->poll_sent_ms = now_ms;
	worker->poll_sequence = fleet_next_sequence(fleet);
	worker->poll_born = worker->info.born;
	worker->orders_in_flight++;
	counter_add(fleet->polls, 1);
	fleet->orders.poll(
	    fleet->orders.ctx, &target, &order, on_poll_answer, worker);
}

static bool
wants_poll(worker_t *worker)
{
	/* Polling detects a reconnect and collects ends missed so far. */
	if (worker->needs_poll || !worker->reachable ||
	    has_committed_member(worker))
		return true;
	return advance_ackable_end(worker) > worker->confirmed_ack;
}

/* Checks the lease and polls the worker when due; called often. */
void
worker_tick(worker_t *worker, int64_t now_ms)
{
	if (!worker->reachable && now_ms > worker->lease_expiry_ms)
		worker_end_lease(worker, now_ms);
	worker_dispatch(worker, now_ms);
	if (worker->polling || now_ms < worker->next_poll_ms ||
	    worker->info.address[0] == '\0')
		return;
	/* Wait for the commit so that the poll can acknowledge the ends. */
	if (worker->pending_ends.length > 0 &&
	    worker->fleet->proposal != NULL && !worker->needs_poll &&
	    now_ms - worker->poll_done_ms < ENDS_COMMIT_WAIT_MS)
		return;
	if (wants_poll(worker))
		worker_poll(worker, now_ms);
}
