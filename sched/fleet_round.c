#include <string.h>

#include "common/clock.h"
#include "sched/fleet_round.h"

/* Resources available in one planning round, and the part reserved. */

/*
 * plan_worker_t.penalty of a suspect worker, others have 0. Planning prefers
 * the lowest penalty.
 */
#define PENALTY_SUSPECT 10
/*
 * Suspects are restricted only if they are at most 1/N of the workers; if there
 * are more, the jobs are at fault.
 */
#define SUSPECT_LIMIT_DIVISOR 2
/*
 * A round holds the event loop no longer than this, a tenth of the heartbeat
 * interval between instances; the next round goes on with the rest.
 */
#define ROUND_BUDGET_US 10000

/* Restricts suspect workers, unless too many are suspect. */
static void
apply_suspicion(round_t *round)
{
	size_t suspects = 0;

	for (size_t i = 0; i < round->count; i++)
		suspects += suspicion_level(&round->workers[i]->suspicion,
				round->now_ms) != SUSPICION_NONE;
	for (size_t i = 0; i < round->count && suspects > 0; i++) {
		const worker_t *worker = round->workers[i];
		plan_worker_t *plan_worker = &round->plan_workers[i];
		suspicion_level_t level =
		    suspicion_level(&worker->suspicion, round->now_ms);

		plan_worker->penalty =
		    level != SUSPICION_NONE ? PENALTY_SUSPECT : 0;
		if (level == SUSPICION_NONE ||
		    suspects * SUSPECT_LIMIT_DIVISOR > round->count)
			continue;
		plan_worker->on_trial = true;
		if (level == SUSPICION_QUARANTINE || worker->members->len > 0)
			plan_worker->usable = false;
	}
}

/* Sums free and releasing accelerators and computes the headroom. */
static void
sum_accelerators(round_t *round)
{
	int capacity = 0;

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *plan_worker = &round->plan_workers[i];
		int free = MAX(plan_worker->free.accelerators, 0);

		if (!plan_worker->usable)
			continue;
		capacity += plan_worker->worker->capacity.accelerators;
		round->free_accelerators += free;
		round->free_speed += (int64_t)free * round_speed(round, i);
		round->releasing_accelerators +=
		    plan_worker->releasing.accelerators;
	}
	round->headroom_accelerators =
	    headroom_target(&round->fleet->headroom, capacity, round->now_ms);
}

/* Lowers the speeds of cold workers. */
static void
apply_cold(round_t *round)
{
	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *plan_worker = &round->plan_workers[i];

		plan_worker->speed_percent = worker_speed_now(round->workers[i],
		    plan_worker->speed_percent, round->now_ms);
	}
}

/* Snapshots the workers and their resources; release with round_end. */
void
round_begin(round_t *round, fleet_t *fleet, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	*round = (round_t){
	    .fleet = fleet, .now_ms = now_ms, .start_us = clock_mono_us()};
	round->count = g_hash_table_size(fleet->workers);
	round->plan_workers = g_new0(plan_worker_t, round->count);
	round->workers = g_new0(worker_t *, round->count);
	round->count = 0;
	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;
		plan_worker_t *plan_worker = &round->plan_workers[round->count];

		worker->plan_index = round->count;
		round->workers[round->count++] = worker;
		plan_worker->worker = &worker->info;
		plan_worker->free = worker->info.capacity;
		plan_subtract(&plan_worker->free, &worker->held, 1);
		plan_worker->releasing = worker->releasing;
		plan_worker->usable = worker_is_usable(worker, now_ms);
	}
	apply_suspicion(round);
	round_apply_speed(round);
	apply_cold(round);
	sum_accelerators(round);
	domains_begin_round(round);
}

static void
find_suspects(round_t *round)
{
	round->suspects = g_array_new(FALSE, FALSE, sizeof(size_t));
	for (size_t i = 0; i < round->count; i++) {
		if (round->workers[i]->suspicion.last_job[0] != '\0')
			g_array_append_val(round->suspects, i);
	}
}

/*
 * Indexes the workers, which placing units needs; call it before
 * round_prepare_step.
 */
void
round_begin_placing(round_t *round)
{
	round->pool = pool_create(round->plan_workers, round->count);
	round->reserve = reserve_create(round->pool);
	find_suspects(round);
}

void
round_end(round_t *round)
{
	g_array_unref(round->out_of_service);
	reserve_destroy(round->reserve);
	pool_destroy(round->pool);
	if (round->suspects != NULL)
		g_array_unref(round->suspects);
	if (round->blocked != NULL)
		g_array_unref(round->blocked);
	g_free(round->plan_workers);
	g_free(round->workers);
}

bool
round_is_over_budget(const round_t *round)
{
	return clock_mono_us() - round->start_us > ROUND_BUDGET_US;
}

/* Excludes workers on which the step's job has just failed. */
static void
exclude_suspects(round_t *round, const waiting_step_t *item)
{
	const char *job = item->unit->job->submit.id;

	round->excludes = false;
	for (guint i = 0; i < round->suspects->len; i++) {
		size_t worker = g_array_index(round->suspects, size_t, i);
		bool excluded = suspicion_excludes_job(
		    &round->workers[worker]->suspicion, job, round->now_ms);

		round->plan_workers[worker].excluded = excluded;
		round->excludes |= excluded;
	}
}

/* Returns how many tasks of the step the worker holds. */
static int
count_same_step(const worker_t *worker, const waiting_step_t *item)
{
	const step_spec_t *step = ledger_step(item->unit);
	int count = 0;

	for (guint m = 0; m < worker->members->len; m++) {
		const member_t *member = g_ptr_array_index(worker->members, m);

		count += member->run->step == step &&
			 member->run->name.occurrence == item->unit->occurrence;
	}
	return count;
}

/*
 * Updates what depends on the step: the workers that are excluded and, if the
 * step limits tasks per worker, how many of its tasks run there.
 */
void
round_prepare_step(round_t *round, const waiting_step_t *item)
{
	exclude_suspects(round, item);
	round_prepare_crowding(round, item);
	if (ledger_step(item->unit)->max_per_worker <= 0)
		return;
	for (size_t i = 0; i < round->count; i++)
		round->plan_workers[i].same_step =
		    count_same_step(round->workers[i], item);
}

/* Reserves racks for urgent work beside one unit of the step. */
void
round_choose_reserve(round_t *round, const waiting_step_t *item)
{
	reserve_choose_racks(round->reserve, round->headroom_accelerators,
	    waiting_accelerators(item));
}

/* Subtracts what the last plan chose from the sums of free accelerators. */
void
round_subtract_free(round_t *round, const step_spec_t *step)
{
	for (size_t i = 0; i < pool_choice_size(round->pool); i++) {
		size_t worker = pool_choice(round->pool, i);
		int taken = round->plan_workers[worker].chosen *
			    step->shape.accelerators;

		round->free_accelerators -= taken;
		round->free_speed -=
		    (int64_t)taken * round_speed(round, worker);
	}
}

/*
 * Subtracts what the last plan chose from the free resources. A worker on trial
 * that was chosen takes no more units this round.
 */
void
round_subtract_chosen(round_t *round, const step_spec_t *step)
{
	for (size_t i = 0; i < pool_choice_size(round->pool); i++) {
		size_t worker = pool_choice(round->pool, i);
		plan_worker_t *plan_worker = &round->plan_workers[worker];

		pool_take(
		    round->pool, worker, &step->shape, plan_worker->chosen);
		plan_worker->same_step += plan_worker->chosen;
		if (plan_worker->on_trial)
			pool_disable(round->pool, worker);
	}
}
