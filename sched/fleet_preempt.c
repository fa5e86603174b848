#include "common/clock.h"
#include "sched/preempt.h"
#include "sched/fleet_round.h"

/* Selects the runs to preempt for an urgent unit, by the work lost. */

#define MILLI 1000
/* Weight of an accelerator in lost work. */
#define CORES_PER_ACCELERATOR 8
/* Makes preempting urgent work a last resort. */
#define URGENT_LOSS_FACTOR 100

static bool
is_covered(const run_t *run)
{
	return run->unit != NULL && run->unit->job->covered;
}

/*
 * Whether item may preempt run: a run of lower priority, or, once a guaranteed
 * item has waited until may_preempt_urgent_ms, any run that no guarantee
 * covers. Runs that are uncommitted, stopping, partly done or long-running are
 * never preempted.
 */
static bool
may_preempt(const run_t *run, const waiting_step_t *item, int64_t now_ms)
{
	if (!run->start_committed || run->stopping || run->any_done ||
	    run->step->long_running)
		return false;
	return run->priority > item->priority ||
	       (item->has_precedence && now_ms >= item->may_preempt_urgent_ms &&
		   !is_covered(run));
}

/*
 * Returns the work lost by stopping the run, in core-milliseconds since its
 * last checkpoint. An accelerator counts as CORES_PER_ACCELERATOR cores; a step
 * that checkpoints is assumed to lose at most one second.
 */
static int64_t
lost_work(const run_t *run, int64_t now_ms)
{
	int64_t ran_ms = now_ms - run->created_ms;
	int64_t cores =
	    MAX(run->shape.cpu_milli / MILLI +
		    CORES_PER_ACCELERATOR * (int64_t)run->shape.accelerators,
		1);

	if (run->step->checkpoints)
		ran_ms = MIN(ran_ms, CLOCK_MS_PER_S);
	if (run->priority == QUEUE_PRIORITY_URGENT)
		cores *= URGENT_LOSS_FACTOR;
	return ran_ms * cores * run->member_count;
}

/* Preemption candidates in the form that preempt_choose_runs takes. */
typedef struct {
	GArray *members;     /* preemptible_member_t */
	GArray *runs;        /* preemptible_run_t */
	GPtrArray *run_refs; /* run_t of the same index */
} preemptible_set_t;

static void
add_preemptible(preemptible_set_t *set, run_t *run, int64_t now_ms)
{
	preemptible_run_t entry = {.loss = lost_work(run, now_ms)};

	g_ptr_array_add(set->run_refs, run);
	g_array_append_val(set->runs, entry);
	for (int i = 0; i < run->member_count; i++) {
		const worker_t *worker = run->members[i].worker;
		preemptible_member_t member = {
		    .run = set->run_refs->len - 1, .shape = run->shape};

		/* A retired worker is not part of the round. */
		if (worker == NULL || worker->retired)
			continue;
		member.worker = worker->plan_index;
		g_array_append_val(set->members, member);
	}
}

static void
collect_preemptible(
    round_t *round, const waiting_step_t *item, preemptible_set_t *set)
{
	const GPtrArray *runs = round->fleet->runs;

	for (guint i = 0; i < runs->len; i++) {
		run_t *run = g_ptr_array_index(runs, i);

		if (may_preempt(run, item, round->now_ms))
			add_preemptible(set, run, round->now_ms);
	}
}

static void
add_releasing(round_t *round, const preemptible_member_t *member)
{
	pool_add_releasing(round->pool, member->worker, &member->shape);
	round->releasing_accelerators += member->shape.accelerators;
}

static void
stop_chosen(round_t *round, const preemptible_set_t *set)
{
	for (guint r = 0; r < set->run_refs->len; r++) {
		if (!g_array_index(set->runs, preemptible_run_t, r).preempted)
			continue;
		counter_add(round->fleet->preempted, 1);
		run_stop(g_ptr_array_index(set->run_refs, r), "preempted");
	}
	for (guint m = 0; m < set->members->len; m++) {
		const preemptible_member_t *member =
		    &g_array_index(set->members, preemptible_member_t, m);

		if (g_array_index(set->runs, preemptible_run_t, member->run)
			.preempted)
			add_releasing(round, member);
	}
}

/*
 * Preempts other runs so that the unit can start later; returns false if no set
 * of runs frees enough room.
 */
bool
round_preempt(
    round_t *round, const waiting_step_t *item, const plan_unit_t *unit)
{
	preemptible_set_t set = {
	    .members = g_array_new(FALSE, FALSE, sizeof(preemptible_member_t)),
	    .runs = g_array_new(FALSE, FALSE, sizeof(preemptible_run_t)),
	    .run_refs = g_ptr_array_new(),
	};
	bool chosen;

	collect_preemptible(round, item, &set);
	chosen = preempt_choose_runs(round->pool, unit,
	    (const preemptible_member_t *)(void *)set.members->data,
	    set.members->len, (preemptible_run_t *)(void *)set.runs->data,
	    set.runs->len);
	if (chosen)
		stop_chosen(round, &set);
	g_array_unref(set.members);
	g_array_unref(set.runs);
	g_ptr_array_unref(set.run_refs);
	return chosen;
}
