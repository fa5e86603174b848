#include <string.h>

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

static void
subtract_members(const worker_t *worker, plan_worker_t *plan_worker)
{
	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);
		const run_t *run = member->run;

		plan_subtract(&plan_worker->free, &run->shape, 1);
		if (run->stopping || run->any_done)
			plan_add(&plan_worker->releasing, &run->shape, 1);
	}
}

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

		if (!plan_worker->usable)
			continue;
		capacity += plan_worker->worker->capacity.accelerators;
		round->free_accelerators +=
		    MAX(plan_worker->free.accelerators, 0);
		round->releasing_accelerators +=
		    plan_worker->releasing.accelerators;
	}
	round->headroom_accelerators =
	    headroom_target(&round->fleet->headroom, capacity, round->now_ms);
}

/* Snapshots the workers and their resources; release with round_end. */
void
round_begin(round_t *round, fleet_t *fleet, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	*round = (round_t){.fleet = fleet, .now_ms = now_ms};
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
		plan_worker->usable = worker_is_usable(worker, now_ms);
		subtract_members(worker, plan_worker);
	}
	apply_suspicion(round);
	sum_accelerators(round);
}

/*
 * Creates round->reserve, which placing units needs; call it before
 * round_prepare_unit.
 */
void
round_begin_placing(round_t *round)
{
	round->reserve = reserve_create(round->plan_workers, round->count);
}

void
round_end(round_t *round)
{
	reserve_destroy(round->reserve);
	g_free(round->plan_workers);
	g_free(round->workers);
}

/*
 * Whether the unit must avoid racks reserved for urgent work: it respects the
 * headroom and needs no label or data rack.
 */
static bool
avoids_reserve(const waiting_unit_t *item)
{
	const step_spec_t *step = ledger_step(item->unit);

	return waiting_respects_headroom(item) && step->label[0] == '\0' &&
	       step->data_rack[0] == '\0';
}

/*
 * Excludes workers on which the unit's job has just failed, and racks reserved
 * for urgent work.
 */
static void
exclude_workers(round_t *round, const waiting_unit_t *item)
{
	const char *job = item->unit->job->submit.id;
	bool avoids = avoids_reserve(item);

	if (avoids)
		reserve_choose_racks(round->reserve,
		    round->headroom_accelerators, waiting_accelerators(item));
	for (size_t i = 0; i < round->count; i++)
		round->plan_workers[i].excluded =
		    suspicion_excludes_job(
			&round->workers[i]->suspicion, job, round->now_ms) ||
		    (avoids && reserve_is_rack_reserved(round->reserve, i));
}

/*
 * Updates the per-unit fields of the workers: which are excluded and, if the
 * step limits tasks per worker, how many of its tasks run there.
 */
void
round_prepare_unit(round_t *round, const waiting_unit_t *item)
{
	const step_spec_t *step = ledger_step(item->unit);

	exclude_workers(round, item);
	if (step->max_per_worker <= 0)
		return;
	for (size_t i = 0; i < round->count; i++) {
		const GPtrArray *members = round->workers[i]->members;

		round->plan_workers[i].same_step = 0;
		for (guint m = 0; m < members->len; m++) {
			const member_t *member = g_ptr_array_index(members, m);
			const run_t *run = member->run;

			if (run->step == step &&
			    run->name.occurrence == item->unit->occurrence)
				round->plan_workers[i].same_step++;
		}
	}
}

/*
 * Subtracts what the last plan chose from the free resources. A worker on trial
 * that was chosen takes no more units this round.
 */
void
round_subtract_chosen(round_t *round, const step_spec_t *step)
{
	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *plan_worker = &round->plan_workers[i];

		plan_subtract(
		    &plan_worker->free, &step->shape, plan_worker->chosen);
		reserve_note_allocated(round->reserve, i,
		    plan_worker->chosen * step->shape.accelerators);
		if (plan_worker->on_trial && plan_worker->chosen > 0)
			plan_worker->usable = false;
	}
}
