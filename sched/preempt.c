#include "sched/preempt.h"

#include <glib.h>
#include <string.h>

/*
 * Loss in core-milliseconds that is added on a suspect worker, so that its runs
 * are preempted last: the unit would probably fail there too.
 */
#define SUSPECT_WORKER_LOSS 1000000000
#define ANY_RACK (-1)
#define NO_RACK (-2)

/* Member indexes grouped by key, stored in one array. */
typedef struct {
	size_t *first; /* offset in members; key k ends at first[k + 1] */
	size_t *members;
} member_index_t;

/* The inputs of one search and indexes over them. */
typedef struct {
	plan_worker_t *workers;
	size_t count;
	const plan_unit_t *unit;
	const preemptible_member_t *members;
	size_t member_count;
	const preemptible_run_t *runs;
	size_t run_count;
	member_index_t by_worker;
	member_index_t by_run;
	int *racks; /* rack number, by worker */
	int rack_count;
	bool *is_eligible; /* by worker; ignores rack constraints */
} search_t;

/* Runs to preempt on one worker so that at least one more member fits. */
typedef struct {
	bool is_computed; /* cleared when resources of the worker are freed */
	int64_t loss;     /* INT64_MAX: preempting all runs is not enough */
	GArray *runs;     /* size_t */
} victims_t;

/* A partial solution. */
typedef struct {
	bool *preempted;        /* runs to preempt */
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
	size_t keys = by_run ? search->run_count : search->count;
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
number_racks(search_t *search)
{
	GHashTable *numbers = g_hash_table_new(g_str_hash, g_str_equal);

	search->racks = g_new0(int, search->count);
	for (size_t i = 0; i < search->count; i++) {
		char *name = search->workers[i].worker->rack;
		gpointer number;

		if (!g_hash_table_lookup_extended(
			numbers, name, NULL, &number)) {
			number = GINT_TO_POINTER(search->rack_count++);
			g_hash_table_insert(numbers, name, number);
		}
		search->racks[i] = GPOINTER_TO_INT(number);
	}
	g_hash_table_unref(numbers);
}

static void
search_prepare(search_t *search)
{
	search->by_worker = index_members(search, false);
	search->by_run = index_members(search, true);
	number_racks(search);
	search->is_eligible = g_new0(bool, search->count);
	for (size_t i = 0; i < search->count; i++) {
		const plan_worker_t *worker = &search->workers[i];

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
	g_free(search->racks);
	g_free(search->is_eligible);
}

/* Returns the number of a rack, or NO_RACK if no worker is in it. */
static int
rack_number(const search_t *search, const char *name)
{
	for (size_t i = 0; i < search->count; i++) {
		if (strcmp(search->workers[i].worker->rack, name) == 0)
			return search->racks[i];
	}
	return NO_RACK;
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
	const step_spec_t *step = search->unit->step;
	int fitting = plan_fit(available, &step->shape);

	if (step->max_per_worker > 0)
		fitting =
		    MIN(fitting, MAX(step->max_per_worker -
					 search->workers[worker].same_step,
				     0));
	return MIN(fitting, search->unit->members);
}

static bool
is_allowed(const search_t *search, size_t i, int rack)
{
	return search->is_eligible[i] &&
	       (rack == ANY_RACK || search->racks[i] == rack);
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
	    search->workers[worker].penalty > 0 ? SUSPECT_WORKER_LOSS : 0;
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

static int
count_fitting_members(
    const search_t *search, const solution_t *solution, int rack)
{
	int fitting = 0;

	for (size_t i = 0; i < search->count; i++) {
		if (is_allowed(search, i, rack))
			fitting += members_that_fit(
			    search, &solution->available[i], i);
	}
	return fitting;
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
 * Adds the victims with the lowest loss among the workers of the rack.
 * Returns false if no worker has any.
 */
static bool
add_cheapest_victims(const search_t *search, solution_t *solution, int rack)
{
	const victims_t *best = NULL;

	for (size_t i = 0; i < search->count; i++) {
		victims_t *victims = &solution->victims[i];

		if (!is_allowed(search, i, rack))
			continue;
		if (!victims->is_computed)
			find_victims(search, solution, i);
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

static void
solution_free(const search_t *search, solution_t *solution)
{
	for (size_t i = 0; i < search->count; i++) {
		if (solution->victims[i].runs != NULL)
			g_array_unref(solution->victims[i].runs);
	}
	g_free(solution->victims);
	g_free(solution->preempted);
	g_free(solution->available);
	g_free(solution);
}

/*
 * Selects runs to preempt in one rack, or in all with ANY_RACK, until the whole
 * unit fits. Returns NULL if it cannot.
 */
static solution_t *
solve_rack(const search_t *search, int rack)
{
	solution_t *solution = g_new0(solution_t, 1);

	solution->preempted = g_new0(bool, search->run_count);
	solution->available = g_new0(resources_t, search->count);
	solution->victims = g_new0(victims_t, search->count);
	for (size_t i = 0; i < search->count; i++) {
		solution->available[i] = search->workers[i].free;
		plan_add(
		    &solution->available[i], &search->workers[i].releasing, 1);
	}
	while (count_fitting_members(search, solution, rack) <
	       search->unit->members) {
		if (add_cheapest_victims(search, solution, rack))
			continue;
		solution_free(search, solution);
		return NULL;
	}
	return solution;
}

/* Solves each rack alone and keeps the solution with the lowest loss. */
static solution_t *
solve_cheapest_rack(const search_t *search, int *rack)
{
	solution_t *best = NULL;

	for (int number = 0; number < search->rack_count; number++) {
		solution_t *solution = solve_rack(search, number);

		if (solution == NULL)
			continue;
		if (best != NULL && best->loss <= solution->loss) {
			solution_free(search, solution);
			continue;
		}
		if (best != NULL)
			solution_free(search, best);
		best = solution;
		*rack = number;
	}
	return best;
}

static void
assign_members(const search_t *search, const solution_t *solution, int rack)
{
	int left = search->unit->members;

	for (size_t i = 0; i < search->count; i++) {
		search->workers[i].chosen = 0;
		if (left == 0 || !is_allowed(search, i, rack))
			continue;
		search->workers[i].chosen = MIN(
		    left, members_that_fit(search, &solution->available[i], i));
		left -= search->workers[i].chosen;
	}
}

static solution_t *
solve(const search_t *search, int *rack)
{
	const plan_unit_t *unit = search->unit;
	const char *data_rack = unit->step->data_rack;

	*rack = ANY_RACK;
	if (unit->may_spread)
		return solve_rack(search, *rack);
	if (data_rack[0] != '\0') {
		*rack = rack_number(search, data_rack);
		return solve_rack(search, *rack);
	}
	if (unit->step->same_rack && unit->members > 1)
		return solve_cheapest_rack(search, rack);
	return solve_rack(search, *rack);
}

bool
preempt_choose_runs(plan_worker_t *workers, size_t count,
    const plan_unit_t *unit, const preemptible_member_t *members,
    size_t member_count, preemptible_run_t *runs, size_t run_count)
{
	search_t search = {.workers = workers,
	    .count = count,
	    .unit = unit,
	    .members = members,
	    .member_count = member_count,
	    .runs = runs,
	    .run_count = run_count};
	int rack;
	solution_t *solution;

	search_prepare(&search);
	solution = solve(&search, &rack);
	if (solution != NULL) {
		assign_members(&search, solution, rack);
		for (size_t run = 0; run < run_count; run++)
			runs[run].preempted = solution->preempted[run];
		solution_free(&search, solution);
	}
	search_clear(&search);
	return solution != NULL;
}
