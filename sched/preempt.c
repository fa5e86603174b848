#include "sched/preempt.h"

#include <glib.h>
#include <string.h>

/* Added loss on a suspect worker: preempting there is of little use. */
#define PENALIZED_WORKER_LOSS 1000000000
#define ANY_RACK (-1)

/* Member indexes grouped by key, stored in one array. */
typedef struct {
	size_t *first; /* offset in members; key k ends at first[k + 1] */
	size_t *members;
} member_index_t;

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
} problem_t;

/* Runs to preempt on one worker so that at least one more member fits. */
typedef struct {
	bool is_current; /* false: the worker changed, compute it again */
	int64_t loss;    /* INT64_MAX: no runs make room for a member */
	GArray *runs;    /* size_t */
} victims_t;

/* A partial solution: the runs to preempt and the resources then free. */
typedef struct {
	bool *stop; /* by run */
	resources_t *room;
	victims_t *victims; /* by worker */
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
index_members(const problem_t *problem, bool by_run)
{
	size_t keys = by_run ? problem->run_count : problem->count;
	member_index_t index = {
	    .first = g_new0(size_t, keys + 1),
	    .members = g_new0(size_t, problem->member_count),
	};
	size_t *next = g_new0(size_t, keys + 1);

	for (size_t m = 0; m < problem->member_count; m++)
		index.first[key_of(&problem->members[m], by_run) + 1]++;
	for (size_t k = 0; k < keys; k++)
		index.first[k + 1] += index.first[k];
	memcpy(next, index.first, (keys + 1) * sizeof(*next));
	for (size_t m = 0; m < problem->member_count; m++)
		index.members[next[key_of(&problem->members[m], by_run)]++] = m;
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
number_racks(problem_t *problem)
{
	GHashTable *numbers = g_hash_table_new(g_str_hash, g_str_equal);

	problem->racks = g_new0(int, problem->count);
	for (size_t i = 0; i < problem->count; i++) {
		char *name = problem->workers[i].worker->rack;
		gpointer number;

		if (!g_hash_table_lookup_extended(
			numbers, name, NULL, &number)) {
			number = GINT_TO_POINTER(problem->rack_count++);
			g_hash_table_insert(numbers, name, number);
		}
		problem->racks[i] = GPOINTER_TO_INT(number);
	}
	g_hash_table_unref(numbers);
}

static void
problem_prepare(problem_t *problem)
{
	problem->by_worker = index_members(problem, false);
	problem->by_run = index_members(problem, true);
	number_racks(problem);
	problem->is_eligible = g_new0(bool, problem->count);
	for (size_t i = 0; i < problem->count; i++) {
		const plan_worker_t *worker = &problem->workers[i];

		problem->is_eligible[i] =
		    plan_is_eligible(worker, problem->unit) &&
		    (!problem->unit->needs_ticket || worker->has_ticket);
	}
}

static void
problem_clear(problem_t *problem)
{
	index_free(&problem->by_worker);
	index_free(&problem->by_run);
	g_free(problem->racks);
	g_free(problem->is_eligible);
}

/* Returns the number of a rack, or -2 if no worker is in it. */
static int
rack_number(const problem_t *problem, const char *name)
{
	for (size_t i = 0; i < problem->count; i++) {
		if (strcmp(problem->workers[i].worker->rack, name) == 0)
			return problem->racks[i];
	}
	return ANY_RACK - 1;
}

/* ---- one worker ---- */

/* Returns how many members fit into room on the worker. */
static int
members_that_fit(
    const problem_t *problem, const resources_t *room, size_t worker)
{
	const step_spec_t *step = problem->unit->step;
	int fitting = plan_fit(room, &step->shape);

	if (step->max_per_worker > 0)
		fitting =
		    MIN(fitting, MAX(step->max_per_worker -
					 problem->workers[worker].same_step,
				     0));
	return MIN(fitting, problem->unit->members);
}

static bool
is_allowed(const problem_t *problem, size_t i, int rack)
{
	return problem->is_eligible[i] &&
	       (rack == ANY_RACK || problem->racks[i] == rack);
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
 * Returns the run with the lowest loss on the worker that is neither stopped
 * nor chosen yet, or run_count if there is none.
 */
static size_t
cheapest_run_on(const problem_t *problem, size_t worker, const bool *stop,
    const GArray *chosen)
{
	const member_index_t *index = &problem->by_worker;
	size_t best = problem->run_count;

	for (size_t m = index->first[worker]; m < index->first[worker + 1];
	     m++) {
		size_t run = problem->members[index->members[m]].run;

		if (stop[run] || contains_run(chosen, run))
			continue;
		if (best == problem->run_count ||
		    problem->runs[run].loss < problem->runs[best].loss)
			best = run;
	}
	return best;
}

/* Adds the resources of the run's members on the worker to room. */
static void
add_run_resources(
    const problem_t *problem, size_t worker, size_t run, resources_t *room)
{
	const member_index_t *index = &problem->by_worker;

	for (size_t m = index->first[worker]; m < index->first[worker + 1];
	     m++) {
		const preemptible_member_t *member =
		    &problem->members[index->members[m]];

		if (member->run == run)
			plan_add(room, &member->shape, 1);
	}
}

/*
 * Computes the victims of one worker: its runs by ascending loss until one more
 * member fits.
 */
static void
find_victims(const problem_t *problem, solution_t *solution, size_t worker)
{
	victims_t *candidate = &solution->victims[worker];
	resources_t room = solution->room[worker];
	int before = members_that_fit(problem, &room, worker);

	candidate->is_current = true;
	candidate->loss =
	    problem->workers[worker].penalty > 0 ? PENALIZED_WORKER_LOSS : 0;
	if (candidate->runs == NULL)
		candidate->runs = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_array_set_size(candidate->runs, 0);
	while (members_that_fit(problem, &room, worker) <= before) {
		size_t run = cheapest_run_on(
		    problem, worker, solution->stop, candidate->runs);

		if (run == problem->run_count) {
			candidate->loss = INT64_MAX;
			return;
		}
		g_array_append_val(candidate->runs, run);
		candidate->loss += problem->runs[run].loss;
		add_run_resources(problem, worker, run, &room);
	}
}

/* ---- solutions ---- */

static int
count_fitting_members(
    const problem_t *problem, const solution_t *solution, int rack)
{
	int fitting = 0;

	for (size_t i = 0; i < problem->count; i++) {
		if (is_allowed(problem, i, rack))
			fitting +=
			    members_that_fit(problem, &solution->room[i], i);
	}
	return fitting;
}

/* Preempts a run and invalidates the victims of all workers it ran on. */
static void
preempt_run(const problem_t *problem, solution_t *solution, size_t run)
{
	const member_index_t *index = &problem->by_run;

	solution->stop[run] = true;
	solution->loss += problem->runs[run].loss;
	for (size_t m = index->first[run]; m < index->first[run + 1]; m++) {
		const preemptible_member_t *member =
		    &problem->members[index->members[m]];

		plan_add(&solution->room[member->worker], &member->shape, 1);
		solution->victims[member->worker].is_current = false;
	}
}

/*
 * Preempts the victims with the lowest loss among the workers of the rack.
 * Returns false if no worker has any.
 */
static bool
preempt_cheapest(const problem_t *problem, solution_t *solution, int rack)
{
	const victims_t *best = NULL;

	for (size_t i = 0; i < problem->count; i++) {
		victims_t *candidate = &solution->victims[i];

		if (!is_allowed(problem, i, rack))
			continue;
		if (!candidate->is_current)
			find_victims(problem, solution, i);
		if (candidate->loss != INT64_MAX &&
		    (best == NULL || candidate->loss < best->loss))
			best = candidate;
	}
	if (best == NULL)
		return false;
	for (guint i = 0; i < best->runs->len; i++)
		preempt_run(
		    problem, solution, g_array_index(best->runs, size_t, i));
	return true;
}

static void
solution_free(const problem_t *problem, solution_t *solution)
{
	for (size_t i = 0; i < problem->count; i++) {
		if (solution->victims[i].runs != NULL)
			g_array_unref(solution->victims[i].runs);
	}
	g_free(solution->victims);
	g_free(solution->stop);
	g_free(solution->room);
	g_free(solution);
}

/*
 * Preempts runs in one rack, or in all with ANY_RACK, until the whole unit
 * fits. Returns NULL if it cannot.
 */
static solution_t *
solve_rack(const problem_t *problem, int rack)
{
	solution_t *solution = g_new0(solution_t, 1);

	solution->stop = g_new0(bool, problem->run_count);
	solution->room = g_new0(resources_t, problem->count);
	solution->victims = g_new0(victims_t, problem->count);
	for (size_t i = 0; i < problem->count; i++) {
		solution->room[i] = problem->workers[i].free;
		plan_add(&solution->room[i], &problem->workers[i].releasing, 1);
	}
	while (count_fitting_members(problem, solution, rack) <
	       problem->unit->members) {
		if (preempt_cheapest(problem, solution, rack))
			continue;
		solution_free(problem, solution);
		return NULL;
	}
	return solution;
}

/* Solves each rack alone and keeps the solution with the lowest loss. */
static solution_t *
solve_cheapest_rack(const problem_t *problem, int *rack)
{
	solution_t *best = NULL;

	for (int number = 0; number < problem->rack_count; number++) {
		solution_t *solution = solve_rack(problem, number);

		if (solution == NULL)
			continue;
		if (best != NULL && best->loss <= solution->loss) {
			solution_free(problem, solution);
			continue;
		}
		if (best != NULL)
			solution_free(problem, best);
		best = solution;
		*rack = number;
	}
	return best;
}

static void
assign_members(const problem_t *problem, const solution_t *solution, int rack)
{
	int left = problem->unit->members;

	for (size_t i = 0; i < problem->count; i++) {
		problem->workers[i].chosen = 0;
		if (left == 0 || !is_allowed(problem, i, rack))
			continue;
		problem->workers[i].chosen =
		    MIN(left, members_that_fit(problem, &solution->room[i], i));
		left -= problem->workers[i].chosen;
	}
}

static solution_t *
solve(const problem_t *problem, int *rack)
{
	const plan_unit_t *unit = problem->unit;
	const char *data_rack = unit->step->data_rack;

	*rack = ANY_RACK;
	if (unit->may_spread)
		return solve_rack(problem, *rack);
	if (data_rack[0] != '\0') {
		*rack = rack_number(problem, data_rack);
		return solve_rack(problem, *rack);
	}
	if (unit->step->same_rack && unit->members > 1)
		return solve_cheapest_rack(problem, rack);
	return solve_rack(problem, *rack);
}

bool
preempt_choose_runs(plan_worker_t *workers, size_t count,
    const plan_unit_t *unit, const preemptible_member_t *members,
    size_t member_count, preemptible_run_t *runs, size_t run_count)
{
	problem_t problem = {.workers = workers,
	    .count = count,
	    .unit = unit,
	    .members = members,
	    .member_count = member_count,
	    .runs = runs,
	    .run_count = run_count};
	int rack;
	solution_t *solution;

	problem_prepare(&problem);
	solution = solve(&problem, &rack);
	if (solution != NULL) {
		assign_members(&problem, solution, rack);
		for (size_t run = 0; run < run_count; run++)
			runs[run].stop = solution->stop[run];
		solution_free(&problem, solution);
	}
	problem_clear(&problem);
	return solution != NULL;
}
