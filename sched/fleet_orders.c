#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/fleet_private.h"

/* Sends the start and stop orders of runs and handles their answers. */

#define START_RETRY_MS 30
#define STOP_RETRY_MS 200

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
	worker_order_ended(order->worker, answer->outcome != ORDER_NO_ANSWER);
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
	run_after_member_end(run, reason);
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
		member_note_begun(member);
		member->start_answered = true;
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

/* Sends a start, unless that has to wait for a lease or the worker's clock. */
void
member_send_start(member_t *member, int64_t now_ms)
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
	worker_order_sent(member->worker);
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

/* Sends a stop, unless that has to wait for a lease. */
void
member_send_stop(member_t *member)
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
	worker_order_sent(member->worker);
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
			member_start(&run->members[i], now_ms);
	}
	run_retire_if_ended(run);
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
			member_stop(member);
	}
	run_retire_if_ended(run);
}

void
run_supersede(run_t *run, uint32_t ended_run)
{
	if (run == NULL || run->retired || run->number <= ended_run)
		return;
	run->end_proposed = true;
	run_stop(run, "already_done");
}

static bool
is_stop_queued(const member_t *member)
{
	return member->queued && member->queue_class == ORDER_CLASS_STOP;
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
		if (member->stop != STOP_ANSWERED && !is_stop_queued(member))
			member_stop(member);
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
	if (member->queued || member->stop != STOP_NONE ||
	    !member->worker->reachable || member->worker->needs_poll ||
	    run->unit == NULL)
		return;
	if (member->state == MEMBER_UNSENT || member->state == MEMBER_SENT)
		member_start(member, now_ms);
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
