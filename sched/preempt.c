#include "sched/preempt.h"

#include <string.h>

#include "sched/pool_private.h"

/*
 * Loss in core-milliseconds that is added on a suspect worker, so that its runs
 * are preempted last: the unit would probably fail there too.
 */
#define SUSPECT_WORKER_LOSS 1000000000
#define ANY_RACK (-1)

/* Member indexes grouped by key, stored in one array. */
typedef struct {
	size_t *first; /* offset in members; key k ends at first[k + 1] */
	size_t *members;
} member_index_t;

/* The inputs of one search and indexes over them. */
typedef struct {
	pool_t *pool;
	const plan_unit_t *unit;
	const preemptible_member_t *members;
	size_t member_count;
	const preemptible_run_t *runs;
	size_t run_count;
	member_index_t by_worker;
	member_index_t by_run;
	bool *is_eligible; /* by worker; ignores rack constraints */
} search_t;

/* Workers that a solution may use: some consecutive ones of pool_t.by_rack. */
typedef struct {
	size_t first;
	size_t count;
} range_t;

/* Runs to preempt on one worker so that at least one more member fits. */
typedef struct {
	bool is_computed; /* cleared when resources of the worker are freed */
	int64_t loss;     /* INT64_MAX: preempting all runs is not enough */
	GArray *runs;     /* size_t */
} victims_t;

/* A partial solution; its arrays are reused for the next range of workers. */
typedef struct {
	bool *preempted;        /* runs to preempt */
	GArray *runs;           /* size_t, the same as a list */
	resources_t *available; /* by worker; once the runs have stopped */
	victims_t *victims;     /* by worker */
	int64_t loss;
} solution_t;

/* ---- indexes ---- */

static size_t
key_of(const preemptible_member_t *member, bool by_run)
{
	return by_run ? member->run : member->worker;
}

/* Groups the members by run if by_run is set, else by worker. */
static member_index_t
index_members(const search_t *search, bool by_run)
{
	size_t keys = by_run ? search->run_count : search->pool->count;
	member_index_t index = {
	    .first = g_new0(size_t, keys + 1),
	    .members = g_new0(size_t, search->member_count),
	};
	size_t *next = g_new0(size_t, keys + 1);

	for (size_t m = 0; m < search->member_count; m++)
		index.first[key_of(&search->members[m], by_run) + 1]++;
	for (size_t k = 0; k < keys; k++)
		index.first[k + 1] += index.first[k];
	memcpy(next, index.first, (keys + 1) * sizeof(*next));
	for (size_t m = 0; m < search->member_count; m++)
		index.members[next[key_of(&search->members[m], by_run)]++] = m;
	g_free(next);
	return index;
}

static void
index_free(member_index_t *index)
{
	g_free(index->first);
	g_free(index->members);
}

static void
search_prepare(search_t *search)
{
	search->by_worker = index_members(search, false);
	search->by_run = index_members(search, true);
	search->is_eligible = g_new0(bool, search->pool->count + 1);
	for (size_t i = 0; i < search->pool->count; i++) {
		const plan_worker_t *worker = &search->pool->workers[i];

		search->is_eligible[i] =
		    plan_is_eligible(worker, search->unit) &&
		    (!search->unit->needs_ticket || worker->has_ticket);
	}
}

static void
search_clear(search_t *search)
{
	index_free(&search->by_worker);
	index_free(&search->by_run);
	g_free(search->is_eligible);
}

/* Returns the workers of a rack, or all of them with ANY_RACK. */
static range_t
range_of(const search_t *search, int rack)
{
	if (rack == ANY_RACK)
		return (range_t){0, search->pool->count};
	return (range_t){
	    search->pool->racks[rack].first, search->pool->racks[rack].count};
}

/* ---- one worker ---- */

/*
 * Returns how many members the available resources and the step allow on the
 * worker.
 */
static int
members_that_fit(
    const search_t *search, const resources_t *available, size_t worker)
{
	if (!search->is_eligible[worker])
		return 0;
	return plan_members_that_fit(
	    &search->pool->workers[worker], search->unit, available);
}

/* Returns what is available if every preemptible run is preempted. */
static resources_t
available_at_most(const search_t *search, size_t worker)
{
	const member_index_t *index = &search->by_worker;
	resources_t available =
	    pool_available(search->pool, worker, PLAN_RELEASING);

	for (size_t m = index->first[worker]; m < index->first[worker + 1]; m++)
		plan_add(
		    &available, &search->members[index->members[m]].shape, 1);
	return available;
}

static bool
contains_run(const GArray *runs, size_t run)
{
	for (guint i = 0; i < runs->len; i++) {
		if (g_array_index(runs, size_t, i) == run)
			return true;
	}
	return false;
}

/*
 * Returns the run with the lowest loss on the worker that neither the
 * solution nor the victims contain yet, or run_count if there is none.
 */
static size_t
cheapest_run_on(const search_t *search, size_t worker, const bool *preempted,
    const GArray *victims)
{
	const member_index_t *index = &search->by_worker;
	size_t best = search->run_count;

	for (size_t m = index->first[worker]; m < index->first[worker + 1];
	     m++) {
		size_t run = search->members[index->members[m]].run;

		if (preempted[run] || contains_run(victims, run))
			continue;
		if (best == search->run_count ||
		    search->runs[run].loss < search->runs[best].loss)
			best = run;
	}
	return best;
}

/* Adds the resources of the run's members on the worker to available. */
static void
add_run_resources(
    const search_t *search, size_t worker, size_t run, resources_t *available)
{
	const member_index_t *index = &search->by_worker;

	for (size_t m = index->first[worker]; m < index->first[worker + 1];
	     m++) {
		const preemptible_member_t *member =
		    &search->members[index->members[m]];

		if (member->run == run)
			plan_add(available, &member->shape, 1);
	}
}

/*
 * Computes the victims of one worker: its runs by ascending loss until one more
 * member fits.
 */
static void
find_victims(const search_t *search, solution_t *solution, size_t worker)
{
	victims_t *victims = &solution->victims[worker];
	resources_t available = solution->available[worker];
	int before = members_that_fit(search, &available, worker);

	victims->is_computed = true;
	victims->loss =
	    search->pool->workers[worker].penalty > 0 ? SUSPECT_WORKER_LOSS : 0;
	if (victims->runs == NULL)
		victims->runs = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_array_set_size(victims->runs, 0);
	while (members_that_fit(search, &available, worker) <= before) {
		size_t run = cheapest_run_on(
		    search, worker, solution->preempted, victims->runs);

		if (run == search->run_count) {
			victims->loss = INT64_MAX;
			return;
		}
		g_array_append_val(victims->runs, run);
		victims->loss += search->runs[run].loss;
		add_run_resources(search, worker, run, &available);
	}
}

/* ---- solutions ---- */

static solution_t
solution_create(const search_t *search)
{
	return (solution_t){
	    .preempted = g_new0(bool, search->run_count + 1),
	    .runs = g_array_new(FALSE, FALSE, sizeof(size_t)),
	    .available = g_new0(resources_t, search->pool->count + 1),
	    .victims = g_new0(victims_t, search->pool->count + 1),
	};
}

static void
solution_clear(const search_t *search, solution_t *solution)
{
	for (size_t i = 0; i < search->pool->count; i++) {
		if (solution->victims[i].runs != NULL)
			g_array_unref(solution->victims[i].runs);
	}
	g_array_unref(solution->runs);
	g_free(solution->victims);
	g_free(solution->preempted);
	g_free(solution->available);
}

/* Empties the solution; it may then use the workers of the range. */
static void
solution_reset(const search_t *search, solution_t *solution, range_t range)
{
	for (guint i = 0; i < solution->runs->len; i++)
		solution->preempted[g_array_index(solution->runs, size_t, i)] =
		    false;
	g_array_set_size(solution->runs, 0);
	solution->loss = 0;
	for (size_t i = range.first; i < range.first + range.count; i++) {
		size_t worker = search->pool->by_rack[i];

		solution->available[worker] =
		    pool_available(search->pool, worker, PLAN_RELEASING);
		solution->victims[worker].is_computed = false;
	}
}

static int
count_fitting_members(
    const search_t *search, const solution_t *solution, range_t range)
{
	int fitting = 0;

	for (size_t i = range.first; i < range.first + range.count; i++) {
		size_t worker = search->pool->by_rack[i];

		fitting += members_that_fit(
		    search, &solution->available[worker], worker);
	}
	return fitting;
}

/* Whether the unit fits into the range if every run there is preempted. */
static bool
can_be_solved(const search_t *search, range_t range)
{
	int fitting = 0;

	for (size_t i = range.first; i < range.first + range.count; i++) {
		size_t worker = search->pool->by_rack[i];
		resources_t available = available_at_most(search, worker);

		fitting += members_that_fit(search, &available, worker);
	}
	return fitting >= search->unit->members;
}

/*
 * Adds a run to the solution and invalidates the victims of all workers it ran
 * on.
 */
static void
add_run(const search_t *search, solution_t *solution, size_t run)
{
	const member_index_t *index = &search->by_run;

	solution->preempted[run] = true;
	g_array_append_val(solution->runs, run);
	solution->loss += search->runs[run].loss;
	for (size_t m = index->first[run]; m < index->first[run + 1]; m++) {
		const preemptible_member_t *member =
		    &search->members[index->members[m]];

		plan_add(
		    &solution->available[member->worker], &member->shape, 1);
		solution->victims[member->worker].is_computed = false;
	}
}

/*
 * Adds the victims with the lowest loss among the workers of the range.
 * Returns false if no worker has any.
 */
static bool
add_cheapest_victims(
    const search_t *search, solution_t *solution, range_t range)
{
	const victims_t *best = NULL;

	for (size_t i = range.first; i < range.first + range.count; i++) {
		size_t worker = search->pool->by_rack[i];
		victims_t *victims = &solution->victims[worker];

		if (!search->is_eligible[worker])
			continue;
		if (!victims->is_computed)
			find_victims(search, solution, worker);
		if (victims->loss != INT64_MAX &&
		    (best == NULL || victims->loss < best->loss))
			best = victims;
	}
	if (best == NULL)
		return false;
	for (guint i = 0; i < best->runs->len; i++)
		add_run(search, solution, g_array_index(best->runs, size_t, i));
	return true;
}

/*
 * Selects runs to preempt on the workers of the range until the whole unit
 * fits.  Returns false if it cannot, or not with a loss below max_loss.
 */
static bool
solve_range(const search_t *search, solution_t *solution, range_t range,
    int64_t max_loss)
{
	if (!can_be_solved(search, range))
		return false;
	solution_reset(search, solution, range);
	while (count_fitting_members(search, solution, range) <
	       search->unit->members) {
		if (!add_cheapest_victims(search, solution, range) ||
		    solution->loss >= max_loss)
			return false;
	}
	return solution->loss < max_loss;
}

/* Returns the rack in which preemption loses least, or ANY_RACK if none can
 * hold the unit. */
static int
find_cheapest_rack(const search_t *search, solution_t *solution)
{
	int64_t least = INT64_MAX;
	int best = ANY_RACK;

	for (size_t r = 0; r < search->pool->rack_count; r++) {
		if (!solve_range(
			search, solution, range_of(search, (int)r), least))
			continue;
		least = solution->loss;
		best = (int)r;
	}
	return best;
}

static void
assign_members(
    const search_t *search, const solution_t *solution, range_t range)
{
	int left = search->unit->members;

	pool_clear_choice(search->pool);
	for (size_t i = range.first; i < range.first + range.count && left > 0;
	     i++) {
		size_t worker = search->pool->by_rack[i];
		int fitting = members_that_fit(
		    search, &solution->available[worker], worker);

		if (fitting == 0)
			continue;
		pool_choose(search->pool, worker, MIN(left, fitting));
		left -= MIN(left, fitting);
	}
}

/* Stores in range where the unit may be placed; false if nowhere. */
static bool
choose_range(const search_t *search, solution_t *solution, range_t *range)
{
	const plan_unit_t *unit = search->unit;
	const char *data_rack = unit->step->data_rack;
	int rack = ANY_RACK;

	if (!unit->may_spread && data_rack[0] != '\0') {
		rack = pool_rack_number(search->pool, data_rack);
		if (rack == POOL_NONE)
			return false;
	} else if (!unit->may_spread && unit->step->same_rack &&
		   unit->members > 1) {
		rack = find_cheapest_rack(search, solution);
		if (rack == ANY_RACK)
			return false;
	}
	*range = range_of(search, rack);
	return true;
}

bool
preempt_choose_runs(pool_t *pool, const plan_unit_t *unit,
    const preemptible_member_t *members, size_t member_count,
    preemptible_run_t *runs, size_t run_count)
{
	search_t search = {.pool = pool,
	    .unit = unit,
	    .members = members,
	    .member_count = member_count,
	    .runs = runs,
	    .run_count = run_count};
	solution_t solution;
	range_t range;
	bool solved;

	search_prepare(&search);
	solution = solution_create(&search);
	solved = choose_range(&search, &solution, &range) &&
		 solve_range(&search, &solution, range, INT64_MAX);
	if (solved) {
		assign_members(&search, &solution, range);
		for (size_t run = 0; run < run_count; run++)
			runs[run].preempted = solution.preempted[run];
	}
	solution_clear(&search, &solution);
	search_clear(&search);
	return solved;
}
