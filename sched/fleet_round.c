#include <string.h>

#include "sched/fleet_round.h"

/* Resources available in one planning round, and the part reserved. */

/* Added to plan_worker_t.penalty of a suspect worker. */
#define PENALTY_SUSPECT 10
/* If more than half of the workers are suspect, the jobs are to blame. */
#define MAX_SUSPECTS_DIVISOR 2

static void
subtract_members(const worker_t *view, plan_worker_t *worker)
{
	for (guint i = 0; i < view->members->len; i++) {
		const member_t *member = g_ptr_array_index(view->members, i);
		const run_t *run = member->run;

		plan_subtract(&worker->free, &run->shape, 1);
		if (run->stopping || run->any_done)
			plan_add(&worker->releasing, &run->shape, 1);
	}
}

/* Restricts suspect workers, unless too many are suspect. */
static void
apply_suspicion(round_t *round)
{
	size_t suspects = 0;

	for (size_t i = 0; i < round->count; i++)
		suspects += suspicion_level(&round->views[i]->suspicion,
				round->now_ms) != SUSPICION_NONE;
	for (size_t i = 0; i < round->count && suspects > 0; i++) {
		const worker_t *view = round->views[i];
		plan_worker_t *worker = &round->workers[i];
		suspicion_level_t level =
		    suspicion_level(&view->suspicion, round->now_ms);

		worker->penalty = level != SUSPICION_NONE ? PENALTY_SUSPECT : 0;
		if (level == SUSPICION_NONE ||
		    suspects * MAX_SUSPECTS_DIVISOR > round->count)
			continue;
		worker->on_trial = true;
		if (level == SUSPICION_QUARANTINE || view->members->len > 0)
			worker->usable = false;
	}
}

/* Sums free and releasing accelerators and computes the headroom. */
static void
sum_accelerators(round_t *round)
{
	int capacity = 0;

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *worker = &round->workers[i];

		if (!worker->usable)
			continue;
		capacity += worker->worker->capacity.accelerators;
		round->free += MAX(worker->free.accelerators, 0);
		round->releasing += worker->releasing.accelerators;
	}
	round->headroom =
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
	round->workers = g_new0(plan_worker_t, round->count);
	round->views = g_new0(worker_t *, round->count);
	round->count = 0;
	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *view = value;
		plan_worker_t *worker = &round->workers[round->count];

		view->plan_index = round->count;
		round->views[round->count++] = view;
		worker->worker = &view->info;
		worker->free = view->info.capacity;
		worker->usable = worker_is_usable(view, now_ms);
		subtract_members(view, worker);
	}
	apply_suspicion(round);
	sum_accelerators(round);
}

/* Sums free resources by rack; call before round_prepare_unit. */
void
round_begin_placing(round_t *round)
{
	round->reserve = reserve_create(round->workers, round->count);
}

void
round_end(round_t *round)
{
	reserve_destroy(round->reserve);
	g_free(round->workers);
	g_free(round->views);
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
bar_workers(round_t *round, const waiting_unit_t *item)
{
	const char *job = item->unit->job->submit.id;
	bool avoids = avoids_reserve(item);

	if (avoids)
		reserve_choose_racks(round->reserve, round->headroom,
		    waiting_accelerators(item));
	for (size_t i = 0; i < round->count; i++)
		round->workers[i].excluded =
		    suspicion_excludes_job(
			&round->views[i]->suspicion, job, round->now_ms) ||
		    (avoids && reserve_is_reserved(round->reserve, i));
}

/*
 * Updates the per-unit fields of the workers: which are excluded and, if the
 * step limits tasks per worker, how many of its tasks run there.
 */
void
round_prepare_unit(round_t *round, const waiting_unit_t *item)
{
	const step_spec_t *step = ledger_step(item->unit);

	bar_workers(round, item);
	if (step->max_per_worker <= 0)
		return;
	for (size_t i = 0; i < round->count; i++) {
		const GPtrArray *members = round->views[i]->members;

		round->workers[i].same_step = 0;
		for (guint m = 0; m < members->len; m++) {
			const member_t *member = g_ptr_array_index(members, m);
			const run_t *run = member->run;

			if (run->step == step &&
			    run->name.occurrence == item->unit->occurrence)
				round->workers[i].same_step++;
		}
	}
}

/* Subtracts the chosen resources for the rest of the round. */
void
round_reserve_chosen(round_t *round, const step_spec_t *step)
{
	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *worker = &round->workers[i];

		plan_subtract(&worker->free, &step->shape, worker->chosen);
		reserve_note_allocated(round->reserve, i,
		    worker->chosen * step->shape.accelerators);
		if (worker->on_trial && worker->chosen > 0)
			worker->usable = false;
	}
}
