#include "sched/fleet_private.h"

/*
 * First starts that wait for the answers to others.  An order holds a request
 * with its buffers, and one that waits long for a connection to its worker gets
 * no answer in time, so that both are bounded.  Starts of urgent queues do not
 * wait.
 */

#define MAX_STARTS_IN_FLIGHT 1024

static bool
has_room_for_start(const worker_t *worker)
{
	return worker->starts_in_flight < MAX_STARTS_PER_WORKER &&
	       worker->fleet->starts_in_flight < MAX_STARTS_IN_FLIGHT;
}

static void
queue_start(member_t *member)
{
	member->start_queued = true;
	member->start_link.data = member;
	g_queue_push_tail_link(
	    &member->worker->queued_starts, &member->start_link);
}

/* Takes a member out of the queue of its worker, if it is in it. */
void
member_unqueue_start(member_t *member)
{
	if (!member->start_queued)
		return;
	member->start_queued = false;
	g_queue_unlink(&member->worker->queued_starts, &member->start_link);
}

/* Sends the first start of a member, or queues it behind others. */
void
member_start(member_t *member, int64_t now_ms)
{
	const worker_t *worker = member->worker;
	bool may_go =
	    worker->queued_starts.length == 0 && has_room_for_start(worker);

	if (may_go || member->run->priority == QUEUE_PRIORITY_URGENT)
		member_send_start(member, now_ms);
	else
		queue_start(member);
}

/*
 * Sends the start of a member that has waited, unless its unit is done or no
 * longer refers to the run.
 */
static void
start_queued_member(member_t *member, int64_t now_ms)
{
	run_t *run = member->run;

	member_unqueue_start(member);
	if (run->any_done || run->unit == NULL) {
		member_detach(member);
		run_retire_if_ended(run);
		return;
	}
	member_send_start(member, now_ms);
}

/*
 * Sends queued starts as far as there is room.  A start renews the lease, which
 * must not happen while the worker is unreachable.  Where the worker may get no
 * start any more, run_tick stops the runs that wait.
 */
void
worker_send_queued_starts(worker_t *worker, int64_t now_ms)
{
	if (!worker->reachable || worker->needs_poll ||
	    worker_no_start_reason(worker) != NULL)
		return;
	while (worker->queued_starts.length > 0 && has_room_for_start(worker))
		start_queued_member(
		    g_queue_peek_head(&worker->queued_starts), now_ms);
}
