#include "sched/plan.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "sched/pool_private.h"

/*
 * Workers with the same number of available accelerators that are compared for
 * one task.  The others differ in cores only.
 */
#define MAX_COMPARED 16
/* Weight of an accelerator against a core in what a worker has to spare. */
#define SPARE_PER_ACCELERATOR 1000
#define MILLI 1000

/* The inputs of one decision. */
typedef struct {
	pool_t *pool;
	const plan_unit_t *unit;
	plan_available_t kind;
	int service;   /* number in the pool */
	int data_rack; /* number in the pool, POOL_NONE if it has no worker */
	bool has_data_rack;
} search_t;

/* A worker that can take at least one member of the unit. */
typedef struct {
	size_t worker;
	int fitting;
	int penalty;
	bool near_data;
	int spare; /* see spare_after */
} candidate_t;

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

/* Whether the unit may run on the worker, given enough free resources. */
bool
plan_is_eligible(const plan_worker_t *worker, const plan_unit_t *unit)
{
	if (worker->excluded || (worker->on_trial && unit->members > 1))
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
	    search->pool->service_of[worker] != search->service)
		return false;
	if (unit->needs_ticket && !plan_worker->has_ticket)
		return false;
	if (unit->avoids_reserved && search->pool->racks[rack].reserved)
		return false;
	return has_label(plan_worker->worker, unit->step->label);
}

/* Returns how many members the worker can take now. */
static int
fitting_on(const search_t *search, size_t worker)
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
static int
spare_after(const search_t *search, size_t worker, int members)
{
	resources_t available =
	    pool_available(search->pool, worker, search->kind);

	plan_subtract(&available, &search->unit->step->shape, members);
	return available.accelerators * SPARE_PER_ACCELERATOR +
	       available.cpu_milli / MILLI;
}

/* ---- single tasks ---- */

/* The best worker found so far for a single task. */
typedef struct {
	int worker; /* POOL_NONE: none yet */
	int spare;
	int compared;
	bool suspects; /* take workers with a penalty, and only these */
} best_t;

/*
 * Compares one more worker.  The one with the least to spare is the best, so
 * that whole workers stay free for large tasks.
 */
static void
consider(const search_t *search, size_t worker, best_t *best)
{
	int spare;

	if ((search->pool->workers[worker].penalty > 0) != best->suspects ||
	    fitting_on(search, worker) == 0)
		return;
	best->compared++;
	spare = spare_after(search, worker, 1);
	if (best->worker != POOL_NONE && best->spare <= spare)
		return;
	best->worker = (int)worker;
	best->spare = spare;
}

static void
consider_rack(const search_t *search, int number, best_t *best)
{
	const pool_rack_t *rack = &search->pool->racks[number];

	for (size_t i = 0; i < rack->count; i++)
		consider(search, search->pool->by_rack[rack->first + i], best);
}

/* Considers workers by ascending available accelerators until one fits. */
static void
consider_all(const search_t *search, best_t *best)
{
	const pool_lists_t *lists = &search->pool->lists[search->kind];
	int need = MAX(search->unit->step->shape.accelerators, 0);

	for (int list = MIN(need, POOL_MAX_LISTED);
	     list < POOL_LISTS && best->worker == POOL_NONE; list++) {
		for (int worker = lists->head[list];
		     worker != POOL_NONE && best->compared < MAX_COMPARED;
		     worker = lists->next[worker])
			consider(search, (size_t)worker, best);
	}
}

/* Prefers workers without a penalty, then those near the data. */
static bool
place_single(const search_t *search)
{
	best_t best = {.worker = POOL_NONE};

	for (int pass = 0; pass < 2 && best.worker == POOL_NONE; pass++) {
		best.suspects = pass == 1;
		if (search->data_rack != POOL_NONE)
			consider_rack(search, search->data_rack, &best);
		if (best.worker == POOL_NONE &&
		    (!search->has_data_rack || search->unit->may_spread))
			consider_all(search, &best);
	}
	if (best.worker == POOL_NONE)
		return false;
	pool_choose(search->pool, (size_t)best.worker, 1);
	return true;
}

/* ---- gangs ---- */

/* Members that fit on a set of workers. */
typedef struct {
	int trusted; /* on workers without a penalty */
	int all;
} fitting_t;

static void
add_fitting(const search_t *search, size_t worker, fitting_t *sum)
{
	int fitting = fitting_on(search, worker);

	sum->all += fitting;
	if (search->pool->workers[worker].penalty == 0)
		sum->trusted += fitting;
}

static fitting_t
fitting_in_rack(const search_t *search, const pool_rack_t *rack)
{
	fitting_t sum = {0};

	for (size_t i = 0; i < rack->count; i++)
		add_fitting(
		    search, search->pool->by_rack[rack->first + i], &sum);
	return sum;
}

/* Whether the accelerators of a group leave open that the whole unit fits. */
static bool
group_may_hold(const search_t *search, const pool_counts_t *counts)
{
	return pool_fit_at_most(search->pool, counts, search->kind,
		   search->unit->step->shape.accelerators) >=
	       search->unit->members;
}

static bool
may_hold(const search_t *search, const pool_rack_t *rack)
{
	return rack->accelerators[search->kind] >=
		   search->unit->members *
		       search->unit->step->shape.accelerators &&
	       group_may_hold(search, &rack->counts);
}

/* Lowest penalty first, then near the data, then least to spare. */
static int
compare_candidates(const void *a, const void *b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->penalty != second->penalty)
		return first->penalty - second->penalty;
	if (first->near_data != second->near_data)
		return first->near_data ? -1 : 1;
	if (first->spare != second->spare)
		return first->spare - second->spare;
	return first->worker < second->worker ? -1 : 1;
}

static void
add_candidate(const search_t *search, size_t worker, GArray *candidates)
{
	candidate_t candidate = {
	    .worker = worker,
	    .fitting = fitting_on(search, worker),
	    .penalty = search->pool->workers[worker].penalty,
	    .near_data = !search->has_data_rack ||
			 search->pool->rack_of[worker] == search->data_rack,
	};

	if (candidate.fitting == 0)
		return;
	candidate.spare = spare_after(search, worker, candidate.fitting);
	g_array_append_val(candidates, candidate);
}

/* Assigns the members to the best candidates; frees the array. */
static void
assign_members(const search_t *search, GArray *candidates)
{
	int left = search->unit->members;

	g_array_sort(candidates, compare_candidates);
	for (guint i = 0; i < candidates->len && left > 0; i++) {
		const candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);
		int members = MIN(candidate->fitting, left);

		pool_choose(search->pool, candidate->worker, members);
		left -= members;
	}
	g_array_unref(candidates);
}

static void
assign_in_rack(const search_t *search, const pool_rack_t *rack)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (size_t i = 0; i < rack->count; i++)
		add_candidate(
		    search, search->pool->by_rack[rack->first + i], candidates);
	assign_members(search, candidates);
}

static bool
try_data_rack(const search_t *search)
{
	const pool_rack_t *rack;

	if (search->data_rack == POOL_NONE)
		return false;
	rack = &search->pool->racks[search->data_rack];
	if (!may_hold(search, rack) ||
	    fitting_in_rack(search, rack).all < search->unit->members)
		return false;
	assign_in_rack(search, rack);
	return true;
}

/*
 * Returns the rack with the fewest available accelerators that may hold the
 * unit, among those after the given one in that order, or NULL.
 */
static const pool_rack_t *
next_rack(const search_t *search, const pool_rack_t *after)
{
	const pool_t *pool = search->pool;
	const pool_rack_t *best = NULL;
	int from = after != NULL ? after->accelerators[search->kind] : -1;

	for (size_t r = 0; r < pool->rack_count; r++) {
		const pool_rack_t *rack = &pool->racks[r];
		int accelerators = rack->accelerators[search->kind];

		if (accelerators < from ||
		    (accelerators == from && rack <= after) ||
		    !may_hold(search, rack))
			continue;
		if (best == NULL ||
		    accelerators < best->accelerators[search->kind])
			best = rack;
	}
	return best;
}

/*
 * Places the unit in the fullest rack that holds it, on workers without a
 * penalty where possible.
 */
static bool
try_racks(const search_t *search)
{
	const pool_rack_t *with_suspects = NULL;
	const pool_rack_t *rack = NULL;

	while ((rack = next_rack(search, rack)) != NULL) {
		fitting_t fitting = fitting_in_rack(search, rack);

		if (fitting.trusted >= search->unit->members)
			break;
		if (fitting.all >= search->unit->members &&
		    with_suspects == NULL)
			with_suspects = rack;
	}
	if (rack == NULL)
		rack = with_suspects;
	if (rack == NULL)
		return false;
	assign_in_rack(search, rack);
	return true;
}

/* Whether a failure domain is a better choice than another for the unit. */
static bool
is_better_domain(
    const search_t *search, const fitting_t *domain, const fitting_t *other)
{
	int members = search->unit->members;
	bool trusted = domain->trusted >= members;

	if (trusted != (other->trusted >= members))
		return trusted;
	return domain->all < other->all;
}

static bool
any_domain_may_hold(const search_t *search)
{
	const pool_t *pool = search->pool;

	for (size_t d = 0; d < pool->domain_count; d++) {
		if (group_may_hold(search, &pool->domains[d]))
			return true;
	}
	return false;
}

/* Places the unit in the failure domain with the least space that holds it. */
static bool
try_domains(const search_t *search)
{
	const pool_t *pool = search->pool;
	fitting_t *sums;
	GArray *candidates;
	int best = POOL_NONE;

	if (!any_domain_may_hold(search))
		return false;
	sums = g_new0(fitting_t, pool->domain_count);
	for (size_t i = 0; i < pool->count; i++)
		add_fitting(search, i, &sums[pool->domain_of[i]]);
	for (size_t d = 0; d < pool->domain_count; d++) {
		if (sums[d].all < search->unit->members)
			continue;
		if (best == POOL_NONE ||
		    is_better_domain(search, &sums[d], &sums[best]))
			best = (int)d;
	}
	g_free(sums);
	if (best == POOL_NONE)
		return false;
	candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	for (size_t i = 0; i < pool->count; i++) {
		if (pool->domain_of[i] == best)
			add_candidate(search, i, candidates);
	}
	assign_members(search, candidates);
	return true;
}

static bool
try_everywhere(const search_t *search)
{
	const pool_t *pool = search->pool;
	GArray *candidates;
	fitting_t sum = {0};

	if (!group_may_hold(search, &pool->total))
		return false;
	for (size_t i = 0; i < pool->count; i++)
		add_fitting(search, i, &sum);
	if (sum.all < search->unit->members)
		return false;
	candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	for (size_t i = 0; i < pool->count; i++)
		add_candidate(search, i, candidates);
	assign_members(search, candidates);
	return true;
}

/*
 * A gang ends when any member is lost, so it should span as few failure domains
 * as possible: one rack, then one failure domain, then any.
 */
static bool
place_gang(const search_t *search)
{
	const plan_unit_t *unit = search->unit;

	if (try_data_rack(search))
		return true;
	if (search->has_data_rack && !unit->may_spread)
		return false;
	if (try_racks(search))
		return true;
	if (unit->step->same_rack && !unit->may_spread)
		return false;
	return try_domains(search) || try_everywhere(search);
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
	return unit->members == 1 ? place_single(&search) : place_gang(&search);
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
