#include <string.h>

#include "sched/fleet_round.h"
#include "sched/pace.h"

/*
 * Moves long-running tasks out of failure domains that are out of service.  A
 * task is moved by stopping it, so that it is placed again: only where there is
 * room for it, and only while its step tolerates one more task that is missing.
 */

/* A stopped task has ended and is at work elsewhere, or counts as missing. */
#define MOVE_INTERVAL_MS 1000

/* Whether all members of the run are known to be at work. */
static bool
is_at_work(const run_t *run)
{
	if (run == NULL || run->stopping || run->any_done)
		return false;
	for (int i = 0; i < run->member_count; i++) {
		const member_t *member = &run->members[i];

		if (member->state != MEMBER_RUNNING ||
		    member->percent < PACE_FULL || !member->worker->reachable)
			return false;
	}
	return true;
}

/* Returns how many other units of the run's step are not at work. */
static int
count_missing(const run_t *run)
{
	const ledger_unit_t *unit = run->unit;
	int missing = 0;
	size_t count;
	size_t first =
	    ledger_step_units(unit->job, unit->occurrence, unit->step, &count);

	for (size_t i = first; i < first + count; i++) {
		const ledger_unit_t *other = ledger_known_unit(unit->job, i);

		if (other != unit &&
		    (other == NULL || !is_at_work(other->leader_run)))
			missing++;
	}
	return missing;
}

/* Whether the run lasts and has a member where no start is allowed. */
static bool
should_move(const run_t *run)
{
	if (!run->step->long_running || !run->start_committed ||
	    run->stopping || run->end_proposed || run->unit == NULL)
		return false;
	for (int i = 0; i < run->member_count; i++) {
		const worker_t *worker = run->members[i].worker;

		if (worker != NULL && worker->out_of_service)
			return true;
	}
	return false;
}

/*
 * Whether the free room in service holds the run's unit and leaves the headroom
 * for urgent work; if so, the round counts the room as taken.
 */
static bool
take_room(round_t *round, const run_t *run)
{
	const fleet_queue_t *queue = ledger_queue(
	    fleet_ledger(run->fleet), run->unit->job->submit.queue);
	waiting_step_t item = {.unit = run->unit};
	int left = round->free_accelerators - waiting_accelerators(&item);
	plan_unit_t plan = {
	    .step = run->step,
	    .members = run->member_count,
	    .may_spread = true,
	};

	if (queue == NULL || left < round->headroom_accelerators)
		return false;
	plan.service = queue->service;
	plan.needs_ticket = queue->needs_ticket;
	round_prepare_step(round, &item);
	if (!plan_unit(round->pool, &plan, PLAN_FREE))
		return false;
	round_subtract_chosen(round, run->step);
	round->free_accelerators = left;
	return true;
}

/* Returns the runs that should move, to be unreferenced. */
static GPtrArray *
collect_runs(const fleet_t *fleet)
{
	GPtrArray *runs = g_ptr_array_new();

	for (guint i = 0; i < fleet->runs->len; i++) {
		run_t *run = g_ptr_array_index(fleet->runs, i);

		if (should_move(run))
			g_ptr_array_add(runs, run);
	}
	return runs;
}

/* Stops the long-running tasks that may move now. */
void
fleet_relocate(fleet_t *fleet, int64_t now_ms)
{
	GPtrArray *runs;
	round_t round;

	if (now_ms < fleet->next_relocation_ms ||
	    g_hash_table_size(ledger_domains_out(fleet_ledger(fleet))) == 0)
		return;
	fleet->next_relocation_ms = now_ms + MOVE_INTERVAL_MS;
	runs = collect_runs(fleet);
	if (runs->len > 0) {
		round_begin(&round, fleet, now_ms);
		round_begin_placing(&round);
		for (guint i = 0; i < runs->len; i++) {
			run_t *run = g_ptr_array_index(runs, i);

			if (count_missing(run) < run->step->miss_tolerance &&
			    take_room(&round, run))
				run_stop(run, "domain_out_of_service");
		}
		round_end(&round);
	}
	g_ptr_array_unref(runs);
}
