#include "sched/pace.h"

#include "common/evlog.h"
#include "sched/fleet_private.h"

static bool
has_latency_target(const member_t *member)
{
	return member->run->step->latency_target_ms > 0;
}

static void
on_paced(void *ctx, const order_answer_t *answer)
{
	member_order_t *order = ctx;

	if (answer->outcome == ORDER_OK)
		order->run->members[order->member].pace = order->percent;
	member_order_end(order);
}

static void
send_pace(member_t *member, int percent)
{
	fleet_t *fleet = member->run->fleet;
	order_target_t target = {&member->worker->info,
	    worker_fence(member->worker), ORDER_ANSWER_TIMEOUT_MS};
	task_name_t task = member_task(member);
	member_order_t *order = member_order_begin(member);

	order->percent = percent;
	evlog("pace", "{s:s,s:i,s:i,s:s,s:i,s:i}", "job", member->run->job,
	    "step", member->run->name.step, "index", member->index, "worker",
	    member->worker->info.id, "before", member->pace, "percent",
	    percent);
	fleet->orders.pace(fleet->orders.ctx, &target, &task,
	    member->run->number, percent, on_paced, order);
}

/*
 * Returns the member whose latency is highest relative to its target, or NULL
 * if none on the worker has a target. The load of a member with a latency
 * target is its tail latency in ms.
 */
static const member_t *
worst_latency_member(const worker_t *worker)
{
	const member_t *worst = NULL;

	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		if (!has_latency_target(member))
			continue;
		if (worst == NULL ||
		    (int64_t)member->load *
			    worst->run->step->latency_target_ms >
			(int64_t)worst->load *
			    member->run->step->latency_target_ms)
			worst = member;
	}
	return worst;
}

/* Whether tasks on leftover CPU run beside tasks with a latency target. */
bool
worker_has_interference(const worker_t *worker)
{
	bool has_leftover_task = false;

	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		has_leftover_task |= member->run->step->uses_leftover_cpu;
	}
	return has_leftover_task && worst_latency_member(worker) != NULL;
}

static bool
may_be_paced(const member_t *member)
{
	return member->run->step->uses_leftover_cpu &&
	       member->state == MEMBER_RUNNING;
}

/*
 * Whether some task that still works is known to slow down the one with the
 * worst latency. A paused task uses no CPU, so it is not blamed.
 */
static bool
has_known_cause(const worker_t *worker, const member_t *worst, int64_t now_ms)
{
	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		if (may_be_paced(member) &&
		    member_slowdown_percent(worst, member, now_ms) > 0)
			return true;
	}
	return false;
}

/*
 * Throttles tasks on leftover CPU while a task beside them misses its latency
 * target, and raises their share again afterwards. Where some are known to be
 * the cause, only these are throttled.
 */
void
worker_adjust_pace(worker_t *worker, int64_t now_ms)
{
	const member_t *worst = worst_latency_member(worker);
	bool cause_known =
	    worst != NULL && has_known_cause(worker, worst, now_ms);

	if (worker->fleet->orders.pace == NULL)
		return;
	for (guint i = 0; i < worker->members->len; i++) {
		member_t *member = g_ptr_array_index(worker->members, i);
		int percent = PACE_FULL;

		if (!may_be_paced(member))
			continue;
		if (worst != NULL)
			percent = pace_next(member->pace, worst->load,
			    worst->run->step->latency_target_ms);
		if (percent < member->pace && cause_known &&
		    member_slowdown_percent(worst, member, now_ms) == 0)
			continue;
		if (percent != member->pace)
			send_pace(member, percent);
	}
}
