#include <glib.h>

#include "sched/plan_private.h"

/* Chooses workers for the members of a gang. */

/* A worker that can take at least one member of the unit. */
typedef struct {
	size_t worker;
	int fitting;
	int penalty;
	bool near_data;
	plan_speed_class_t speed_class;
	int slowness; /* of a worker that is too slow */
	int crowding;
	int spare; /* see search_spare_after */
} candidate_t;

/* Members that fit on a set of workers. */
typedef struct {
	int trusted;                      /* on workers without a penalty */
	int by_speed[PLAN_SPEED_CLASSES]; /* of these */
	int all;
} fitting_t;

/*
 * How well a set of workers suits a gang; lower is better.  A gang is as slow
 * as its slowest member, so that workers of like speed are used best.
 */
typedef enum {
	SUITS_BEST,       /* trusted workers of the class that suits it best */
	SUITS_LIKE_SPEED, /* trusted workers of one class, none too slow */
	SUITS_IN_TIME,    /* trusted workers, none too slow */
	SUITS_TRUSTED,
	SUITS_AT_ALL,
	SUITS_NOT, /* not all members fit */
} suits_t;

/* Whether usual workers are as good as any for the unit. */
static bool
usual_is_best(const search_t *search)
{
	return !search->pool->is_uneven || !search->unit->prefers_fast;
}

static suits_t
suits(const search_t *search, const fitting_t *fitting)
{
	int members = search->unit->members;
	const int *by_speed = fitting->by_speed;
	int in_time = fitting->trusted - by_speed[PLAN_TOO_SLOW];
	bool usual_alone = by_speed[PLAN_SPEED_USUAL] >= members;

	if (by_speed[PLAN_SPEED_FIRST] >= members ||
	    (usual_alone && usual_is_best(search)))
		return SUITS_BEST;
	if (usual_alone)
		return SUITS_LIKE_SPEED;
	if (in_time >= members)
		return SUITS_IN_TIME;
	if (fitting->trusted >= members)
		return SUITS_TRUSTED;
	return fitting->all >= members ? SUITS_AT_ALL : SUITS_NOT;
}

static void
add_fitting(const search_t *search, size_t worker, fitting_t *sum)
{
	const plan_worker_t *plan_worker = &search->pool->workers[worker];
	int fitting = search_fitting_on(search, worker);

	sum->all += fitting;
	if (plan_worker->penalty > 0)
		return;
	sum->trusted += fitting;
	sum->by_speed[plan_speed_class(plan_worker, search->unit)] += fitting;
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

/*
 * Lowest penalty first, then near the data, then best speed, then least
 * crowded, then least to spare.
 */
static int
compare_candidates(const void *a, const void *b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->penalty != second->penalty)
		return first->penalty - second->penalty;
	if (first->near_data != second->near_data)
		return first->near_data ? -1 : 1;
	if (first->speed_class != second->speed_class)
		return first->speed_class < second->speed_class ? -1 : 1;
	if (first->slowness != second->slowness)
		return first->slowness - second->slowness;
	if (first->crowding != second->crowding)
		return first->crowding - second->crowding;
	if (first->spare != second->spare)
		return first->spare - second->spare;
	return first->worker < second->worker ? -1 : 1;
}

static void
add_candidate(const search_t *search, size_t worker, GArray *candidates)
{
	const plan_worker_t *plan_worker = &search->pool->workers[worker];
	candidate_t candidate = {
	    .worker = worker,
	    .fitting = search_fitting_on(search, worker),
	    .penalty = plan_worker->penalty,
	    .crowding = plan_worker->crowding,
	    .near_data = !search->has_data_rack ||
			 search->pool->rack_of[worker] == search->data_rack,
	    .speed_class = plan_speed_class(plan_worker, search->unit),
	};

	if (candidate.fitting == 0)
		return;
	candidate.slowness = plan_slowness(plan_worker, candidate.speed_class);
	candidate.spare = search_spare_after(search, worker, candidate.fitting);
	g_array_append_val(candidates, candidate);
}

/*
 * Returns the first class of which the trusted workers alone hold the gang, or
 * PLAN_SPEED_USUAL if none does.
 */
static plan_speed_class_t
class_that_holds(const search_t *search, const GArray *candidates)
{
	int by_speed[PLAN_SPEED_CLASSES] = {0};

	for (guint i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);

		if (candidate->penalty == 0)
			by_speed[candidate->speed_class] += candidate->fitting;
	}
	for (int c = PLAN_SPEED_FIRST; c < PLAN_TOO_SLOW; c++) {
		if (by_speed[c] >= search->unit->members)
			return (plan_speed_class_t)c;
	}
	return PLAN_SPEED_USUAL;
}

/*
 * Moves workers of better classes behind those that hold the gang alone.  A
 * slow member would slow down the rest, a fast one would wait for it.
 */
static void
prefer_like_speed(const search_t *search, GArray *candidates)
{
	plan_speed_class_t first = class_that_holds(search, candidates);

	for (guint i = 0; i < candidates->len; i++) {
		candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);

		if (candidate->speed_class < first)
			candidate->speed_class = PLAN_TOO_SLOW;
	}
}

/* Assigns the members to the best candidates; frees the array. */
static void
assign_members(const search_t *search, GArray *candidates)
{
	int left = search->unit->members;

	if (search->pool->is_uneven)
		prefer_like_speed(search, candidates);
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
 * Places the unit in the fullest rack of those that suit it best, and no worse
 * than given.
 */
static bool
try_racks(const search_t *search, suits_t worst)
{
	const pool_rack_t *best = NULL;
	const pool_rack_t *rack = NULL;
	suits_t best_suits = SUITS_NOT;

	while (best_suits != SUITS_BEST &&
	       (rack = next_rack(search, rack)) != NULL) {
		fitting_t fitting = fitting_in_rack(search, rack);
		suits_t rack_suits = suits(search, &fitting);

		if (rack_suits > worst || rack_suits >= best_suits)
			continue;
		best = rack;
		best_suits = rack_suits;
	}
	if (best == NULL)
		return false;
	assign_in_rack(search, best);
	return true;
}

/* Whether a failure domain is a better choice than another for the unit. */
static bool
is_better_domain(
    const search_t *search, const fitting_t *domain, const fitting_t *other)
{
	suits_t domain_suits = suits(search, domain);
	suits_t other_suits = suits(search, other);

	if (domain_suits != other_suits)
		return domain_suits < other_suits;
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
try_domains(const search_t *search, suits_t worst)
{
	const pool_t *pool = search->pool;
	fitting_t *sums;
	GArray *candidates;
	int best = POOL_NONE;

	if (!any_domain_may_hold(search))
		return false;
	sums = g_new0(fitting_t, pool->domain_count + 1);
	for (size_t i = 0; i < pool->count; i++)
		add_fitting(search, i, &sums[pool->domain_of[i]]);
	for (size_t d = 0; d < pool->domain_count; d++) {
		if (suits(search, &sums[d]) > worst)
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
try_everywhere(const search_t *search, suits_t worst)
{
	const pool_t *pool = search->pool;
	GArray *candidates;
	fitting_t sum = {0};

	if (!group_may_hold(search, &pool->total))
		return false;
	for (size_t i = 0; i < pool->count; i++)
		add_fitting(search, i, &sum);
	if (suits(search, &sum) > worst)
		return false;
	candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	for (size_t i = 0; i < pool->count; i++)
		add_candidate(search, i, candidates);
	assign_members(search, candidates);
	return true;
}

/*
 * Places a gang on workers that suit it no worse than given.  It ends when any
 * member is lost, so it should span as few failure domains as possible: one
 * rack, then one failure domain, then any.
 */
static bool
try_groups(const search_t *search, suits_t worst, bool may_span_racks)
{
	if (try_racks(search, worst))
		return true;
	return may_span_racks &&
	       (try_domains(search, worst) || try_everywhere(search, worst));
}

/*
 * Looks for the workers of the best speed everywhere before it takes any
 * others; where racks matter to the step, it does so within racks only.
 */
bool
plan_gang(const search_t *search)
{
	const plan_unit_t *unit = search->unit;
	bool same_rack = unit->step->same_rack;

	if (try_data_rack(search))
		return true;
	if (search->has_data_rack && !unit->may_spread)
		return false;
	if (search->pool->is_uneven &&
	    (try_groups(search, SUITS_BEST, !same_rack) ||
		try_groups(search, SUITS_IN_TIME, !same_rack)))
		return true;
	return try_groups(search, SUITS_AT_ALL, !same_rack || unit->may_spread);
}
