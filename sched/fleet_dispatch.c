#include "common/clock.h"
#include "sched/fleet_private.h"

/*
 * Admission of starts and stops. An order holds a request with its buffers, and
 * one that waits long for a connection to its worker gets no answer in time, so
 * that those in flight are bounded, by worker and in all; the others wait as a
 * link in a queue of their worker. Stops go before urgent starts, and those
 * before the others.
 */

/* Starts and stops in flight to all workers. */
#define MAX_ORDERS_IN_FLIGHT 1024
/* Beyond them, for stops and urgent starts. */
#define ORDERS_IN_FLIGHT_RESERVE 256
/*
 * Orders are sent for so much of each period, so that their number does not
 * hold heartbeats and votes up.
 */
#define DISPATCH_BUDGET_US 10000
#define DISPATCH_PERIOD_US 20000

static const char *
tenant_of(const member_t *member)
{
	return member->run->owner->submit.tenant;
}

static bool
has_room(const worker_t *worker, order_class_t class)
{
	bool has_precedence = class != ORDER_CLASS_START;
	int limit = MAX_ORDERS_IN_FLIGHT +
		    (has_precedence ? ORDERS_IN_FLIGHT_RESERVE : 0);

	return worker->fleet->orders_in_flight < limit &&
	       order_window_has_room(&worker->window, has_precedence);
}

/* Counts an order as in flight. */
void
worker_order_sent(worker_t *worker)
{
	order_window_sent(&worker->window);
	worker->fleet->orders_in_flight++;
}

void
worker_order_ended(worker_t *worker, bool answered)
{
	order_window_ended(&worker->window, answered);
	worker->fleet->orders_in_flight--;
}

/* Whether a stop of a task without a run here may be sent now. */
bool
worker_may_stop_stray(const worker_t *worker)
{
	return has_room(worker, ORDER_CLASS_STOP);
}

/* Takes a member out of the queue of its worker, if it is in one. */
void
member_unqueue(member_t *member)
{
	if (!member->queued)
		return;
	member->queued = false;
	order_queue_remove(member->worker->queues[member->queue_class],
	    tenant_of(member), &member->queue_link);
}

static void
member_queue(member_t *member, order_class_t class)
{
	if (member->queued)
		return;
	member->queued = true;
	member->queue_class = class;
	member->queue_link.data = member;
	order_queue_push(member->worker->queues[class], tenant_of(member),
	    &member->queue_link);
}

/* Whether the time for sending orders in this period is used up. */
static bool
is_over_budget(fleet_t *fleet)
{
	int64_t now_us = clock_mono_us();

	if (now_us - fleet->dispatch_since_us >= DISPATCH_PERIOD_US) {
		fleet->dispatch_since_us = now_us;
		fleet->dispatch_spent_us = 0;
	}
	return fleet->dispatch_spent_us > DISPATCH_BUDGET_US;
}

/* Sends an order of the class and counts the time that it takes. */
static void
send_order(member_t *member, order_class_t class, int64_t now_ms)
{
	fleet_t *fleet = member->run->fleet;
	int64_t start_us = clock_mono_us();

	if (class == ORDER_CLASS_STOP)
		member_send_stop(member);
	else
		member_send_start(member, now_ms);
	fleet->dispatch_spent_us += clock_mono_us() - start_us;
}

/*
 * Sends the start of a member, unless its run is to be stopped, its unit is
 * done or no longer refers to the run.
 */
static void
start_member(member_t *member, order_class_t class, int64_t now_ms)
{
	run_t *run = member->run;

	if (run->any_done || run->unit == NULL) {
		if (member->state != MEMBER_UNSENT)
			return;
		member_detach(member);
		run_retire_if_ended(run);
		return;
	}
	if (!run->stopping && member->stop == STOP_NONE &&
	    !member->order_in_flight)
		send_order(member, class, now_ms);
}

/* Sends the next order of a class; returns false if none waits or may go. */
static bool
send_next(worker_t *worker, order_class_t class, int64_t now_ms)
{
	GList *next = order_queue_peek(worker->queues[class]);
	member_t *member;

	if (next == NULL || !has_room(worker, class))
		return false;
	member = next->data;
	member_unqueue(member);
	if (class != ORDER_CLASS_STOP)
		start_member(member, class, now_ms);
	else if (!member->order_in_flight && member->stop != STOP_ANSWERED)
		send_order(member, class, now_ms);
	return true;
}

/*
 * Whether starts may be sent: they renew the lease, which must not happen while
 * the worker is unreachable.  Where it may get no start any more, run_tick
 * stops the runs that wait.
 */
static bool
may_send_starts(const worker_t *worker)
{
	return worker->reachable && !worker->needs_poll &&
	       worker_no_start_reason(worker) == NULL;
}

/* Sends what waits as far as there is room and time. */
void
worker_dispatch(worker_t *worker, int64_t now_ms)
{
	for (int class = 0; class < ORDER_CLASSES; class ++) {
		if (class != ORDER_CLASS_STOP && !may_send_starts(worker))
			return;
		do {
			if (is_over_budget(worker->fleet)) {
				fleet_schedule_work(worker->fleet);
				return;
			}
		} while (send_next(worker, class, now_ms));
	}
}

/*
 * Whether an order may go at once rather than behind others that wait. Where
 * only the time is used up, the work timer sends it.
 */
static bool
may_go_at_once(worker_t *worker, order_class_t class)
{
	if (order_queue_length(worker->queues[class]) > 0 ||
	    !has_room(worker, class))
		return false;
	if (!is_over_budget(worker->fleet))
		return true;
	fleet_schedule_work(worker->fleet);
	return false;
}

/*
 * Sends the start of a member, also again, or queues it behind others. Where it
 * cannot be sent now, run_tick asks again.
 */
void
member_start(member_t *member, int64_t now_ms)
{
	order_class_t class = member->run->priority == QUEUE_PRIORITY_URGENT
				  ? ORDER_CLASS_URGENT_START
				  : ORDER_CLASS_START;

	if (may_go_at_once(member->worker, class))
		start_member(member, class, now_ms);
	else
		member_queue(member, class);
}

/* Same with a stop, in place of a start that waits. */
void
member_stop(member_t *member)
{
	member_unqueue(member);
	if (may_go_at_once(member->worker, ORDER_CLASS_STOP))
		send_order(member, ORDER_CLASS_STOP, fleet_now_ms());
	else
		member_queue(member, ORDER_CLASS_STOP);
}
