#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/fleet_private.h"
#include "sched/pace.h"
#include "sched/plan.h"

#define START_RETRY_MS 30
#define STOP_RETRY_MS 200
/* An order without an answer is not carried out any more after so long. */
#define LATE_ORDER_MS 12000
/* More than any number of attempts. */
#define UNLIMITED_ATTEMPTS 1000000

/* ---- runs ---- */

/* Creates a run of a unit on the given places; sends no order yet. */
run_t *
run_create(fleet_t *fleet, ledger_unit_t *unit, uint32_t number,
    const unit_place_t *places)
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
	run->step = ledger_step(unit);
	run->shape = run->step->shape;
	run->number = number;
	run->member_count = unit->members;
	run->members = g_new0(member_t, unit->members);
	run->priority = queue != NULL ? queue->priority : QUEUE_PRIORITY_URGENT;
	run->needs_ticket = queue != NULL && queue->needs_ticket;
	run->created_ms = fleet_now_ms();
	for (int i = 0; i < unit->members; i++) {
		member_t *member = &run->members[i];
		fleet_worker_t unknown = {.id = places[i].worker,
		    .service = (char *)"",
		    .address = (char *)"",
		    .domain = (char *)"",
		    .rack = (char *)"",
		    .born = places[i].born};

		member->run = run;
		member->pace = PACE_FULL;
		member->index = unit->first + i;
		member->checkpoint = g_strdup(unit->checkpoint);
		member->worker = fleet_find_worker(fleet, places[i].worker);
		/*
		 * A deregistered worker may run tasks until its lease expires.
		 */
		if (member->worker == NULL) {
			member->worker = worker_create(fleet, &unknown);
			member->worker->reachable = false;
		}
		g_ptr_array_add(member->worker->members, member);
		plan_add(&member->worker->held, &run->shape, 1);
	}
	unit->leader_run = run;
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
	run->retired = true;
	g_ptr_array_remove_fast(run->fleet->runs, run);
	g_ptr_array_add(run->fleet->retired_runs, run);
}

/* Frees retired runs that no order and no unit refers to. */
void
fleet_reap_runs(fleet_t *fleet)
{
	for (guint i = fleet->retired_runs->len; i-- > 0;) {
		run_t *run = g_ptr_array_index(fleet->retired_runs, i);

		if (run->orders_in_flight > 0 || run->unit != NULL)
			continue;
		g_ptr_array_remove_index_fast(fleet->retired_runs, i);
		run_free(run);
	}
}

/* The resources of the run count as soon to be free from now on. */
static void
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

static void
member_detach(member_t *member)
{
	const run_t *run = member->run;

	g_ptr_array_remove_fast(member->worker->members, member);
	plan_subtract(&member->worker->held, &run->shape, 1);
	if (run->releasing)
		plan_subtract(&member->worker->releasing, &run->shape, 1);
	member->worker = NULL;
	member->state = MEMBER_ENDED;
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

static bool
all_members_ended(const run_t *run)
{
	for (int i = 0; i < run->member_count; i++) {
		if (run->members[i].state != MEMBER_ENDED)
			return false;
	}
	return true;
}

/* Reports and retires a committed run whose members have all ended. */
static void
retire_if_ended(run_t *run)
{
	if (run->retired || !run->start_committed || !all_members_ended(run))
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

static void
update_checkpoint(member_t *member, const char *checkpoint)
{
	if (checkpoint[0] == '\0' ||
	    strcmp(member->checkpoint, checkpoint) == 0)
		return;
	g_free(member->checkpoint);
	member->checkpoint = g_strdup(checkpoint);
	member->saved_ms = fleet_now_ms();
}

/*
 * Stops the other members unless one is done, since the unit cannot succeed
 * once a member has ended without success. Retires the run once all have ended.
 */
static void
after_member_end(run_t *run, const char *reason)
{
	if (!run->any_done)
		run_stop(run, reason);
	retire_if_ended(run);
}

/* Records that the member, and so its job, was seen at work. */
static void
note_begun(member_t *member)
{
	ledger_unit_t *unit = member->run->unit;

	if (member->at_work_since_ms == 0)
		member->at_work_since_ms = fleet_now_ms();
	if (unit != NULL)
		unit->job->begun = true;
}

/* Handles an end that the worker listed. */
void
member_ended(member_t *member, run_outcome_t how, const char *checkpoint)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};
	run_t *run = member->run;

	note_begun(member);
	update_checkpoint(member, checkpoint);
	if (how == RUN_DONE)
		member_done(member, fleet_now_ms());
	else
		member_record_waste(member, names[how]);
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
	after_member_end(run, names[how]);
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
	after_member_end(run, why);
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

void
member_reported_running(
    member_t *member, const running_task_t *task, int64_t now_ms)
{
	note_begun(member);
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

/* ---- orders ---- */

/*
 * Registers an order in flight; its run and worker stay allocated until
 * member_order_end.
 */
member_order_t *
member_order_begin(member_t *member)
{
	member_order_t *order = g_new0(member_order_t, 1);

	order->run = member->run;
	order->worker = member->worker;
	order->born = member->worker->info.born;
	order->member = (int)(member - member->run->members);
	order->sent_us = clock_mono_us();
	order->run->orders_in_flight++;
	order->worker->orders_in_flight++;
	order->link.data = order;
	g_queue_push_tail_link(&order->run->fleet->member_orders, &order->link);
	return order;
}

/*
 * Records the answer and returns the order's member, or NULL if the run or the
 * worker is retired or the member has ended.
 */
static member_t *
member_order_answered(member_order_t *order, const order_answer_t *answer)
{
	member_t *member = &order->run->members[order->member];

	member->order_in_flight = false;
	if (answer->outcome != ORDER_NO_ANSWER)
		histogram_record(order->run->fleet->order_latency,
		    clock_mono_us() - order->sent_us);
	if (!order->worker->retired)
		worker_update_from_answer(order->worker, order->born, answer);
	if (order->run->retired || order->worker->retired ||
	    member->state == MEMBER_ENDED)
		return NULL;
	return member;
}

void
member_order_end(member_order_t *order)
{
	order->run->orders_in_flight--;
	order->worker->orders_in_flight--;
	g_queue_unlink(&order->run->fleet->member_orders, &order->link);
	g_free(order);
}

void
fleet_drop_orders(fleet_t *fleet)
{
	while (fleet->member_orders.length > 0)
		member_order_end(g_queue_peek_head(&fleet->member_orders));
	for (guint i = 0; i < fleet->retired_workers->len; i++)
		((worker_t *)g_ptr_array_index(fleet->retired_workers, i))
		    ->orders_in_flight = 0;
}

/*
 * Records that the worker refuses later starts of the member's run, unless it
 * has restarted since the order was sent.
 */
static void
note_stop_answered(member_t *member, const member_order_t *order)
{
	worker_t *worker = member->worker;

	member->answer_sequence = fleet_next_sequence(member->run->fleet);
	worker->needs_poll = true;
	if (order->born == worker->info.born)
		member->stop = STOP_ANSWERED;
	else
		member_forget_stop(member);
}

/*
 * Handles a refused start. The refusal is final unless another start of the run
 * was executed, or got no answer and may still be; in the second case the run
 * is stopped.
 */
static void
handle_refused_start(member_t *member, const char *reason)
{
	run_t *run = member->run;

	evlog("start_refused", "{s:s,s:i,s:i,s:i,s:s,s:s}", "job", run->job,
	    "step", run->name.step, "index", member->index, "run",
	    (int)run->number, "worker", member->worker->info.id, "reason",
	    reason);
	if (member->state == MEMBER_RUNNING)
		return;
	if (member->starts_unanswered > 0) {
		run_stop(run, reason);
		return;
	}
	member_detach(member);
	after_member_end(run, reason);
}

/* Logs a start that the worker may still carry out. */
static void
note_unanswered_start(member_t *member, const member_order_t *order)
{
	const run_t *run = member->run;
	const worker_t *worker = member->worker;

	member->starts_unanswered++;
	member->unanswered_ms = order->sent_us / CLOCK_US_PER_MS;
	counter_add(run->fleet->starts_unanswered, 1);
	evlog("start_unanswered", "{s:s,s:i,s:i,s:i,s:s,s:I,s:i}", "job",
	    run->job, "step", run->name.step, "index", member->index, "run",
	    (int)run->number, "worker", worker->info.id, "born",
	    (json_int_t)worker->info.born, "count", member->starts_unanswered);
}

static void
on_started(void *ctx, const order_answer_t *answer)
{
	member_order_t *order = ctx;
	member_t *member = member_order_answered(order, answer);
	int64_t now_ms = fleet_now_ms();

	if (member == NULL)
		goto done;
	member->retry_ms = now_ms + START_RETRY_MS;
	switch (answer->outcome) {
	case ORDER_OK:
		note_begun(member);
		member->state = MEMBER_RUNNING;
		member->answer_sequence =
		    fleet_next_sequence(member->run->fleet);
		member->percent_ms = now_ms;
		member_started(member, now_ms);
		break;
	case ORDER_NO_ANSWER:
		note_unanswered_start(member, order);
		break;
	case ORDER_STALE_RUN:
		/*
		 * The task was stopped or has ended; the next poll tells which.
		 */
		note_stop_answered(member, order);
		break;
	case ORDER_NO_ROOM:
		counter_add(order->run->fleet->refused_no_room, 1);
		member->worker->needs_poll = true;
		handle_refused_start(member, "no_room");
		break;
	case ORDER_UNHEALTHY:
		handle_refused_start(member, "unhealthy");
		break;
	case ORDER_NO_TICKET:
		handle_refused_start(member, "no_ticket");
		break;
	case ORDER_INVALID:
		handle_refused_start(member, "invalid");
		break;
	case ORDER_OTHER_INCARNATION:
		handle_refused_start(member, "other_incarnation");
		break;
	case ORDER_LEASE_EXPIRED: /* run_tick resends the start */
	case ORDER_FENCED:        /* a newer leader exists */
		break;
	}
	fleet_schedule_work(order->run->fleet);
done:
	member_order_end(order);
}

static void
send_start(member_t *member, int64_t now_ms)
{
	run_t *run = member->run;
	fleet_t *fleet = run->fleet;
	const body_t *payload;
	char *step = NULL;
	order_target_t target = {&member->worker->info,
	    worker_fence(member->worker), ORDER_ANSWER_TIMEOUT_MS};
	start_order_t order = {
	    .task = member_task(member),
	    .run = run->number,
	    .checkpoint = run->unit->checkpoint,
	};

	/*
	 * Without a lease another instance may lead; run_tick tries again, also
	 * where the worker's clock is not known yet.
	 */
	if (!fleet_leads(fleet))
		return;
	order.lease_end_ms = worker_grant_lease(member->worker, now_ms);
	if (order.lease_end_ms == 0)
		return;
	if (run->needs_ticket) {
		step = fleet_step_name(
		    run->job, run->name.occurrence, run->name.step);
		order.ticket = tickets_find(fleet->tickets, step,
		    target.worker->id, target.worker->born, now_ms);
	}
	payload = &run->unit->job->submit.spec.payload;
	order.payload = (str_t){payload->body_t_val, payload->body_t_len};
	member->state = MEMBER_SENT;
	member->order_in_flight = true;
	counter_add(fleet->starts, 1);
	fleet->orders.start(fleet->orders.ctx, &target, &order, on_started,
	    member_order_begin(member));
	g_free(step);
}

static void
on_stopped(void *ctx, const order_answer_t *answer)
{
	member_order_t *order = ctx;
	member_t *member = member_order_answered(order, answer);
	int64_t now_ms = fleet_now_ms();

	if (member == NULL)
		goto done;
	member->retry_ms = now_ms + STOP_RETRY_MS;
	if (answer->outcome == ORDER_OK)
		note_stop_answered(member, order);
	fleet_schedule_work(order->run->fleet);
done:
	member_order_end(order);
}

static void
send_stop(member_t *member)
{
	run_t *run = member->run;
	fleet_t *fleet = run->fleet;
	order_target_t target = {&member->worker->info,
	    worker_fence(member->worker), ORDER_ANSWER_TIMEOUT_MS};
	task_name_t task = member_task(member);

	/* Without a lease another instance may lead; run_tick tries again. */
	if (!fleet_leads(fleet))
		return;
	member->stop = STOP_SENT;
	member->order_in_flight = true;
	counter_add(fleet->stops, 1);
	fleet->orders.stop(fleet->orders.ctx, &target, &task, run->number,
	    on_stopped, member_order_begin(member));
}

/*
 * Returns why a member must not get its first start any more, as worker_
 * no_start_reason of its worker; NULL if each of them may.
 */
static const char *
unsent_start_obstacle(const run_t *run)
{
	const char *reason = NULL;

	for (int i = 0; i < run->member_count && reason == NULL; i++) {
		const member_t *member = &run->members[i];

		if (member->state == MEMBER_UNSENT)
			reason = worker_no_start_reason(member->worker);
	}
	return reason;
}

/*
 * Handles a member that the worker does not list. Where the worker must get no
 * start, not even a repeated one, the run is stopped, so that the unit runs
 * elsewhere.
 */
void
member_not_started(member_t *member)
{
	const char *reason = worker_no_start_reason(member->worker);

	if (reason != NULL && member->state == MEMBER_SENT &&
	    !member->order_in_flight)
		run_stop(member->run, reason);
}

/* Sends the starts of all members once the start of the run is committed. */
void
run_on_start_committed(run_t *run)
{
	const char *obstacle = unsent_start_obstacle(run);
	int64_t now_ms = fleet_now_ms();

	run->start_committed = true;
	/* The stop was requested before the commit; carry it out now. */
	if (run->stopping) {
		run->stopping = false;
		run_stop(run, run->stop_reason);
	} else if (obstacle != NULL) {
		run_stop(run, obstacle);
	}
	for (int i = 0; i < run->member_count && !run->stopping; i++) {
		if (run->members[i].state == MEMBER_UNSENT)
			send_start(&run->members[i], now_ms);
	}
	retire_if_ended(run);
}

/*
 * Stops members that may be on a worker; others end immediately. A run whose
 * start is not committed is stopped once it is.
 */
void
run_stop(run_t *run, const char *reason)
{
	if (run->stopping || run->retired)
		return;
	run->stopping = true;
	run->stop_reason = reason;
	run_release(run);
	if (!run->start_committed)
		return;
	evlog("run_stop", "{s:s,s:i,s:i,s:i,s:s}", "job", run->job, "step",
	    run->name.step, "unit", run->name.unit, "run", (int)run->number,
	    "reason", reason);
	for (int i = 0; i < run->member_count; i++) {
		member_t *member = &run->members[i];

		if (member->state == MEMBER_UNSENT)
			member_detach(member);
		else if (member->state != MEMBER_ENDED &&
			 !member->order_in_flight && member->stop == STOP_NONE)
			send_stop(member);
	}
	retire_if_ended(run);
}

void
run_supersede(run_t *run, uint32_t ended_run)
{
	if (run == NULL || run->retired || run->number <= ended_run)
		return;
	run->end_proposed = true;
	run_stop(run, "already_done");
}

static void
member_tick(member_t *member, int64_t now_ms)
{
	const run_t *run = member->run;
	const char *obstacle;

	if (member->order_in_flight || now_ms < member->retry_ms)
		return;
	/* Once the unit is done, no further member is started. */
	if (run->stopping || (run->any_done && member->state == MEMBER_SENT)) {
		if (member->stop != STOP_ANSWERED)
			send_stop(member);
		return;
	}
	/* Of a start without an answer, a poll decides: member_not_started. */
	obstacle = worker_no_start_reason(member->worker);
	if (obstacle != NULL) {
		if (member->state == MEMBER_UNSENT)
			run_stop(member->run, obstacle);
		return;
	}
	/* A start renews the lease, which must not happen while unreachable. */
	if ((member->state == MEMBER_SENT || member->state == MEMBER_UNSENT) &&
	    member->stop == STOP_NONE && member->worker->reachable &&
	    !member->worker->needs_poll && run->unit != NULL)
		send_start(member, now_ms);
}

/* Sends the orders that are due, also again after no answer or a refusal. */
void
run_tick(run_t *run, int64_t now_ms)
{
	if (!run->start_committed || run->retired)
		return;
	for (int i = 0; i < run->member_count; i++) {
		if (run->members[i].state != MEMBER_ENDED)
			member_tick(&run->members[i], now_ms);
	}
}
