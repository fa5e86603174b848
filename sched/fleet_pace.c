#include "sched/pace.h"

#include "common/evlog.h"
#include "sched/fleet_private.h"

#define PACE_ANSWER_MS 700

static bool
serves_users(const member_t *member)
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
	order_target_t target = {
	    &member->worker->info, fleet->term, PACE_ANSWER_MS};
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

/* Returns the serving task that misses its target the most, or NULL. */
static const member_t *
worst_serving(const worker_t *worker)
{
	const member_t *worst = NULL;

	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		if (!serves_users(member))
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

/* Whether tasks that fill run beside tasks that serve users. */
bool
worker_is_shared(const worker_t *worker)
{
	bool fills = false;

	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		fills |= member->run->step->uses_leftover_cpu;
	}
	return fills && worst_serving(worker) != NULL;
}

/* Slows what fills beside tasks that miss their target, or lets it go again. */
void
worker_adjust_pace(worker_t *worker)
{
	const member_t *worst = worst_serving(worker);

	if (worker->fleet->orders.pace == NULL)
		return;
	for (guint i = 0; i < worker->members->len; i++) {
		member_t *member = g_ptr_array_index(worker->members, i);
		int percent = PACE_FULL;

		if (!member->run->step->uses_leftover_cpu ||
		    member->state != MEMBER_RUNNING)
			continue;
		if (worst != NULL)
			percent = pace_next(member->pace, worst->load,
			    worst->run->step->latency_target_ms);
		if (percent != member->pace)
			send_pace(member, percent);
	}
}
