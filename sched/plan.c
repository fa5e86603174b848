#include "sched/plan.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "sched/plan_private.h"

/*
 * Workers with the same number of available accelerators that are compared for
 * one task.  The others differ in cores only.
 */
#define MAX_COMPARED 16
/* Weight of an accelerator against a core in what a worker has to spare. */
#define SPARE_PER_ACCELERATOR 1000
#define MILLI 1000

static int
tasks_that_fit(int available, int need)
{
	if (need <= 0)
		return G_MAXINT;
	return available < 0 ? 0 : available / need;
}

/* Returns how many tasks of that shape fit into the available resources. */
int
plan_fit(const resources_t *available, const resources_t *shape)
{
	int fit = tasks_that_fit(available->cpu_milli, shape->cpu_milli);

	fit = MIN(fit, tasks_that_fit(available->memory_mb, shape->memory_mb));
	return MIN(
	    fit, tasks_that_fit(available->accelerators, shape->accelerators));
}

/* Subtracts the resources of count tasks; available may become negative. */
void
plan_subtract(resources_t *available, const resources_t *shape, int count)
{
	available->cpu_milli -= shape->cpu_milli * count;
	available->memory_mb -= shape->memory_mb * count;
	available->accelerators -= shape->accelerators * count;
}

/* Adds the resources of count tasks. */
void
plan_add(resources_t *available, const resources_t *shape, int count)
{
	plan_subtract(available, shape, -count);
}

static bool
has_label(const fleet_worker_t *worker, const char *label)
{
	if (label[0] == '\0')
		return true;
	for (u_int i = 0; i < worker->labels.labels_len; i++) {
		if (strcmp(worker->labels.labels_val[i], label) == 0)
			return true;
	}
	return false;
}

/* Returns how the speed of the worker suits the unit. */
plan_speed_class_t
plan_speed_class(const plan_worker_t *worker, const plan_unit_t *unit)
{
	int speed = worker->speed_percent;

	if (unit->needed_speed_percent == 0 || speed == 0)
		return PLAN_SPEED_USUAL;
	if (speed > PLAN_USUAL_SPEED_PERCENT)
		return unit->prefers_fast ? PLAN_SPEED_FIRST : PLAN_SPEED_USUAL;
	return speed < unit->needed_speed_percent || unit->prefers_fast
		   ? PLAN_TOO_SLOW
		   : PLAN_SPEED_FIRST;
}

/* Whether the unit waits for a faster worker rather than take this one. */
static bool
is_avoided(const plan_worker_t *worker, const plan_unit_t *unit)
{
	return unit->avoids_slow &&
	       plan_speed_class(worker, unit) == PLAN_TOO_SLOW;
}

/* Whether the unit may run on the worker, given enough free resources. */
bool
plan_is_eligible(const plan_worker_t *worker, const plan_unit_t *unit)
{
	if (worker->excluded || (worker->on_trial && unit->members > 1) ||
	    is_avoided(worker, unit))
		return false;
	return worker->usable &&
	       strcmp(worker->worker->service, unit->service) == 0 &&
	       has_label(worker->worker, unit->step->label);
}

/* Returns how many members the available resources and the step allow. */
int
plan_members_that_fit(const plan_worker_t *worker, const plan_unit_t *unit,
    const resources_t *available)
{
	int fitting = plan_fit(available, &unit->step->shape);

	if (unit->step->max_per_worker > 0)
		fitting = MIN(fitting,
		    MAX(unit->step->max_per_worker - worker->same_step, 0));
	return MIN(fitting, unit->members);
}

/* ---- one worker ---- */

/* Like plan_is_eligible, with the numbers of the pool and its reserved racks.
 */
static bool
is_eligible(const search_t *search, size_t worker)
{
	const plan_worker_t *plan_worker = &search->pool->workers[worker];
	const plan_unit_t *unit = search->unit;
	int rack = search->pool->rack_of[worker];

	if (!plan_worker->usable || plan_worker->excluded ||
	    (plan_worker->on_trial && unit->members > 1) ||
	    is_avoided(plan_worker, unit) ||
	    search->pool->service_of[worker] != search->service)
		return false;
	if (unit->needs_ticket && !plan_worker->has_ticket)
		return false;
	if (unit->avoids_reserved && search->pool->racks[rack].reserved)
		return false;
	return has_label(plan_worker->worker, unit->step->label);
}

/* Returns how many members the worker can take now. */
int
search_fitting_on(const search_t *search, size_t worker)
{
	resources_t available =
	    pool_available(search->pool, worker, search->kind);

	if (!is_eligible(search, worker))
		return 0;
	return plan_members_that_fit(
	    &search->pool->workers[worker], search->unit, &available);
}

/*
 * Returns what the worker has to spare once it holds that many members:
 * accelerators, then cores.
 */
int
search_spare_after(const search_t *search, size_t worker, int members)
{
	resources_t available =
	    pool_available(search->pool, worker, search->kind);

	plan_subtract(&available, &search->unit->step->shape, members);
	return available.accelerators * SPARE_PER_ACCELERATOR +
	       available.cpu_milli / MILLI;
}

/* Returns how much slower than usual a worker is that is too slow, else 0. */
int
plan_slowness(const plan_worker_t *worker, plan_speed_class_t speed_class)
{
	if (speed_class != PLAN_TOO_SLOW)
		return 0;
	return PLAN_USUAL_SPEED_PERCENT - worker->speed_percent;
}

/* ---- single tasks ---- */

/* A worker for a single task. */
typedef struct {
	int worker; /* POOL_NONE: none yet */
	plan_speed_class_t speed_class;
	int slowness;
	int crowding;
	int spare;
} choice_t;

/* The best workers found so far for a single task. */
typedef struct {
	choice_t choice;
	choice_t if_uncrowded; /* what it would be without any crowding */
	int compared;
	bool suspects; /* take workers with a penalty, and only these */
	plan_speed_class_t slowest_class; /* take none of a later class */
} best_t;

/* Whether a choice is better than the best one so far. */
static bool
is_better(const choice_t *choice, const choice_t *best)
{
	if (best->worker == POOL_NONE)
		return true;
	if (choice->speed_class != best->speed_class)
		return choice->speed_class < best->speed_class;
	if (choice->slowness != best->slowness)
		return choice->slowness < best->slowness;
	if (choice->crowding != best->crowding)
		return choice->crowding < best->crowding;
	return choice->spare < best->spare;
}

/*
 * Compares one more worker.  Among those of the best speed and the least
 * crowding, the one with the least to spare is the best, so that whole workers
 * stay free for large tasks.
 */
static void
consider(const search_t *search, size_t worker, best_t *best)
{
	const plan_worker_t *plan_worker = &search->pool->workers[worker];
	choice_t choice = {.worker = (int)worker};

	choice.speed_class = plan_speed_class(plan_worker, search->unit);
	if ((plan_worker->penalty > 0) != best->suspects ||
	    choice.speed_class > best->slowest_class ||
	    search_fitting_on(search, worker) == 0)
		return;
	choice.slowness = plan_slowness(plan_worker, choice.speed_class);
	choice.spare = search_spare_after(search, worker, 1);
	best->compared++;
	if (is_better(&choice, &best->if_uncrowded))
		best->if_uncrowded = choice;
	choice.crowding = plan_worker->crowding;
	if (is_better(&choice, &best->choice))
		best->choice = choice;
}

static void
consider_rack(const search_t *search, int number, best_t *best)
{
	const pool_rack_t *rack = &search->pool->racks[number];

	for (size_t i = 0; i < rack->count; i++)
		consider(search, search->pool->by_rack[rack->first + i], best);
}

/* Whether the worker's accelerators are all free, and so kept for gangs. */
static bool
is_whole(const search_t *search, size_t worker)
{
	int accelerators =
	    search->pool->workers[worker].worker->capacity.accelerators;

	return accelerators > 0 &&
	       pool_available(search->pool, worker, search->kind)
		       .accelerators >= accelerators;
}

/*
 * Considers workers with more available accelerators for a place without
 * crowding, but none that is whole.
 */
static void
consider_less_crowded(const search_t *search, int first_list, best_t *best)
{
	const pool_lists_t *lists = &search->pool->lists[search->kind];

	for (int list = first_list;
	     list < POOL_LISTS && best->choice.crowding > 0; list++) {
		best->compared = 0;
		for (int worker = lists->head[list];
		     worker != POOL_NONE && best->compared < MAX_COMPARED;
		     worker = lists->next[worker]) {
			if (!is_whole(search, (size_t)worker))
				consider(search, (size_t)worker, best);
		}
	}
}

/* Considers workers by ascending available accelerators until one fits. */
static void
consider_all(const search_t *search, best_t *best)
{
	const pool_lists_t *lists = &search->pool->lists[search->kind];
	int need = MAX(search->unit->step->shape.accelerators, 0);
	int list = MIN(need, POOL_MAX_LISTED);

	for (; list < POOL_LISTS && best->choice.worker == POOL_NONE; list++) {
		for (int worker = lists->head[list];
		     worker != POOL_NONE && best->compared < MAX_COMPARED;
		     worker = lists->next[worker])
			consider(search, (size_t)worker, best);
	}
	if (best->choice.worker != POOL_NONE)
		consider_less_crowded(search, list, best);
}

/*
 * Considers workers of one speed class after the other, as consider_all stops
 * at the first that fits.  All workers of an even pool are of the usual class.
 */
static void
consider_by_speed(const search_t *search, best_t *best)
{
	bool is_uneven = search->pool->is_uneven;
	int first = is_uneven ? PLAN_SPEED_FIRST : PLAN_SPEED_USUAL;
	int last = is_uneven ? PLAN_TOO_SLOW : PLAN_SPEED_USUAL;

	for (int speed_class = first;
	     speed_class <= last && best->choice.worker == POOL_NONE;
	     speed_class++) {
		best->slowest_class = (plan_speed_class_t)speed_class;
		best->compared = 0;
		consider_all(search, best);
	}
}

/* Prefers workers without a penalty, then those near the data. */
static bool
place_single(const search_t *search)
{
	best_t best = {
	    .choice = {.worker = POOL_NONE},
	    .if_uncrowded = {.worker = POOL_NONE},
	};

	for (int pass = 0; pass < 2 && best.choice.worker == POOL_NONE;
	     pass++) {
		best.suspects = pass == 1;
		best.slowest_class = PLAN_TOO_SLOW;
		if (search->data_rack != POOL_NONE)
			consider_rack(search, search->data_rack, &best);
		if (best.choice.worker == POOL_NONE &&
		    (!search->has_data_rack || search->unit->may_spread))
			consider_by_speed(search, &best);
	}
	if (best.choice.worker == POOL_NONE)
		return false;
	pool_choose(search->pool, (size_t)best.choice.worker, 1);
	if (best.if_uncrowded.worker != best.choice.worker)
		search->pool->passed_over = best.if_uncrowded.worker;
	return true;
}

/*
 * Chooses workers for all members of a unit; pool_choice and `chosen` of the
 * workers tell which.  Returns false, with no choice, if they do not fit.
 */
bool
plan_unit(pool_t *pool, const plan_unit_t *unit, plan_available_t kind)
{
	search_t search = {
	    .pool = pool,
	    .unit = unit,
	    .kind = kind,
	    .service = pool_service_number(pool, unit->service),
	    .data_rack = POOL_NONE,
	    .has_data_rack = unit->step->data_rack[0] != '\0',
	};

	pool_clear_choice(pool);
	if (search.has_data_rack)
		search.data_rack =
		    pool_rack_number(pool, unit->step->data_rack);
	return unit->members == 1 ? place_single(&search) : plan_gang(&search);
}

/* ---- what is possible at all ---- */

/* Whether the rack could hold the unit if nothing else ran. */
static bool
rack_can_hold(
    const pool_t *pool, const plan_unit_t *unit, const pool_rack_t *rack)
{
	int fitting = 0;

	for (size_t i = 0; i < rack->count && fitting < unit->members; i++) {
		const plan_worker_t *worker =
		    &pool->workers[pool->by_rack[rack->first + i]];

		if (worker->usable)
			fitting += plan_fit(
			    &worker->worker->capacity, &unit->step->shape);
	}
	return fitting >= unit->members;
}

bool
plan_locality_is_possible(const pool_t *pool, const plan_unit_t *unit)
{
	const step_spec_t *step = unit->step;
	int data_rack;

	if (step->data_rack[0] != '\0') {
		data_rack = pool_rack_number(pool, step->data_rack);
		return data_rack != POOL_NONE &&
		       rack_can_hold(pool, unit, &pool->racks[data_rack]);
	}
	if (!step->same_rack || unit->members == 1)
		return true;
	for (size_t r = 0; r < pool->rack_count; r++) {
		if (rack_can_hold(pool, unit, &pool->racks[r]))
			return true;
	}
	return false;
}

/* Whether the unit would fit if all workers were idle and usable. */
bool
plan_can_ever_fit(
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit)
{
	int fitting = 0;

	for (size_t i = 0; i < count && fitting < unit->members; i++) {
		int fit =
		    plan_fit(&workers[i].worker->capacity, &unit->step->shape);

		if (strcmp(workers[i].worker->service, unit->service) != 0 ||
		    !has_label(workers[i].worker, unit->step->label))
			continue;
		if (unit->step->max_per_worker > 0)
			fit = MIN(fit, unit->step->max_per_worker);
		fitting += MIN(fit, unit->members);
	}
	return fitting >= unit->members;
}
