#include "sched/displace.h"

#include <glib.h>
#include <string.h>

/* Stopping a run on a suspect worker is no use; its room costs this much. */
#define SUSPECT_LOSS 1000000000
#define ANY_RACK (-1)

/* Lists of member indexes, one for each key; all lists lie in one array. */
typedef struct {
	size_t *first; /* by key; the list ends where the next one begins */
	size_t *members;
} index_t;

typedef struct {
	plan_worker_t *workers;
	size_t count;
	const plan_unit_t *unit;
	const displaceable_t *members;
	size_t member_count;
	const displaceable_run_t *runs;
	size_t run_count;
	index_t by_worker;
	index_t by_run;
	int *racks; /* number of each worker's rack */
	int rack_count;
	bool *may_hold; /* by worker, racks aside */
} problem_t;

/* The runs to stop on one worker so that it takes one member more. */
typedef struct {
	bool is_current; /* nothing on the worker has changed since */
	int64_t loss;    /* INT64_MAX: there are no such runs */
	GArray *runs;    /* size_t */
} bundle_t;

/* A choice under way: what would be stopped, and the room that gives. */
typedef struct {
	bool *stop; /* by run */
	resources_t *room;
	bundle_t *bundles; /* by worker */
	int64_t loss;
} choice_t;

/* ---- indexes ---- */

static size_t
key_of(const displaceable_t *member, bool by_run)
{
	return by_run ? member->run : member->worker;
}

/* Lists the members by worker, or by run. */
static index_t
index_members(const problem_t *problem, bool by_run)
{
	size_t keys = by_run ? problem->run_count : problem->count;
	index_t index = {
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
index_free(index_t *index)
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
	problem->may_hold = g_new0(bool, problem->count);
	for (size_t i = 0; i < problem->count; i++) {
		const plan_worker_t *worker = &problem->workers[i];

		problem->may_hold[i] =
		    plan_may_hold(worker, problem->unit) &&
		    (!problem->unit->needs_ticket || worker->has_ticket);
	}
}

static void
problem_clear(problem_t *problem)
{
	index_free(&problem->by_worker);
	index_free(&problem->by_run);
	g_free(problem->racks);
	g_free(problem->may_hold);
}

/* The number of a rack, or -2 when no worker is in it. */
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

static int
places_in(const problem_t *problem, const resources_t *room, size_t worker)
{
	const step_spec_t *step = problem->unit->step;
	int places = plan_fit(room, &step->shape);

	if (step->max_per_worker > 0)
		places = MIN(places, MAX(step->max_per_worker -
					     problem->workers[worker].same_step,
					 0));
	return MIN(places, problem->unit->members);
}

static bool
is_allowed(const problem_t *problem, size_t i, int rack)
{
	return problem->may_hold[i] &&
	       (rack == ANY_RACK || problem->racks[i] == rack);
}

static bool
holds(const GArray *runs, size_t run)
{
	for (guint i = 0; i < runs->len; i++) {
		if (g_array_index(runs, size_t, i) == run)
			return true;
	}
	return false;
}

/* The run on the worker with the least loss that is not chosen yet. */
static size_t
cheapest_on(const problem_t *problem, size_t worker, const bool *stop,
    const GArray *chosen)
{
	const index_t *index = &problem->by_worker;
	size_t best = problem->run_count;

	for (size_t m = index->first[worker]; m < index->first[worker + 1];
	     m++) {
		size_t run = problem->members[index->members[m]].run;

		if (stop[run] || holds(chosen, run))
			continue;
		if (best == problem->run_count ||
		    problem->runs[run].loss < problem->runs[best].loss)
			best = run;
	}
	return best;
}

/* Adds what the run's members on one worker hold. */
static void
give_back(
    const problem_t *problem, size_t worker, size_t run, resources_t *room)
{
	const index_t *index = &problem->by_worker;

	for (size_t m = index->first[worker]; m < index->first[worker + 1];
	     m++) {
		const displaceable_t *member =
		    &problem->members[index->members[m]];

		if (member->run == run)
			plan_give(room, &member->shape, 1);
	}
}

/* Finds the bundle of one worker. */
static void
price_worker(const problem_t *problem, choice_t *choice, size_t worker)
{
	bundle_t *bundle = &choice->bundles[worker];
	resources_t room = choice->room[worker];
	int before = places_in(problem, &room, worker);

	bundle->is_current = true;
	bundle->loss = problem->workers[worker].penalty > 0 ? SUSPECT_LOSS : 0;
	if (bundle->runs == NULL)
		bundle->runs = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_array_set_size(bundle->runs, 0);
	while (places_in(problem, &room, worker) <= before) {
		size_t run =
		    cheapest_on(problem, worker, choice->stop, bundle->runs);

		if (run == problem->run_count) {
			bundle->loss = INT64_MAX;
			return;
		}
		g_array_append_val(bundle->runs, run);
		bundle->loss += problem->runs[run].loss;
		give_back(problem, worker, run, &room);
	}
}

/* ---- a choice ---- */

static int
count_places(const problem_t *problem, const choice_t *choice, int rack)
{
	int places = 0;

	for (size_t i = 0; i < problem->count; i++) {
		if (is_allowed(problem, i, rack))
			places += places_in(problem, &choice->room[i], i);
	}
	return places;
}

/* Stops a run whole; bundles of the workers that held it are outdated. */
static void
take_run(const problem_t *problem, choice_t *choice, size_t run)
{
	const index_t *index = &problem->by_run;

	choice->stop[run] = true;
	choice->loss += problem->runs[run].loss;
	for (size_t m = index->first[run]; m < index->first[run + 1]; m++) {
		const displaceable_t *member =
		    &problem->members[index->members[m]];

		plan_give(&choice->room[member->worker], &member->shape, 1);
		choice->bundles[member->worker].is_current = false;
	}
}

/* Adds the cheapest bundle of any worker of the rack; false without one. */
static bool
add_cheapest(const problem_t *problem, choice_t *choice, int rack)
{
	const bundle_t *best = NULL;

	for (size_t i = 0; i < problem->count; i++) {
		bundle_t *bundle = &choice->bundles[i];

		if (!is_allowed(problem, i, rack))
			continue;
		if (!bundle->is_current)
			price_worker(problem, choice, i);
		if (bundle->loss != INT64_MAX &&
		    (best == NULL || bundle->loss < best->loss))
			best = bundle;
	}
	if (best == NULL)
		return false;
	for (guint i = 0; i < best->runs->len; i++)
		take_run(problem, choice, g_array_index(best->runs, size_t, i));
	return true;
}

static void
choice_free(const problem_t *problem, choice_t *choice)
{
	for (size_t i = 0; i < problem->count; i++) {
		if (choice->bundles[i].runs != NULL)
			g_array_unref(choice->bundles[i].runs);
	}
	g_free(choice->bundles);
	g_free(choice->stop);
	g_free(choice->room);
	g_free(choice);
}

/* Makes room for the whole unit in one rack, or NULL when it cannot. */
static choice_t *
choose_in(const problem_t *problem, int rack)
{
	choice_t *choice = g_new0(choice_t, 1);

	choice->stop = g_new0(bool, problem->run_count);
	choice->room = g_new0(resources_t, problem->count);
	choice->bundles = g_new0(bundle_t, problem->count);
	for (size_t i = 0; i < problem->count; i++) {
		choice->room[i] = problem->workers[i].free;
		plan_give(&choice->room[i], &problem->workers[i].releasing, 1);
	}
	while (count_places(problem, choice, rack) < problem->unit->members) {
		if (add_cheapest(problem, choice, rack))
			continue;
		choice_free(problem, choice);
		return NULL;
	}
	return choice;
}

static choice_t *
choose_rack(const problem_t *problem, int *rack)
{
	choice_t *best = NULL;

	for (int number = 0; number < problem->rack_count; number++) {
		choice_t *choice = choose_in(problem, number);

		if (choice == NULL)
			continue;
		if (best != NULL && best->loss <= choice->loss) {
			choice_free(problem, choice);
			continue;
		}
		if (best != NULL)
			choice_free(problem, best);
		best = choice;
		*rack = number;
	}
	return best;
}

static void
put_members(const problem_t *problem, const choice_t *choice, int rack)
{
	int left = problem->unit->members;

	for (size_t i = 0; i < problem->count; i++) {
		problem->workers[i].chosen = 0;
		if (left == 0 || !is_allowed(problem, i, rack))
			continue;
		problem->workers[i].chosen =
		    MIN(left, places_in(problem, &choice->room[i], i));
		left -= problem->workers[i].chosen;
	}
}

static choice_t *
choose(const problem_t *problem, int *rack)
{
	const plan_unit_t *unit = problem->unit;
	const char *data_rack = unit->step->data_rack;

	*rack = ANY_RACK;
	if (unit->may_spread)
		return choose_in(problem, *rack);
	if (data_rack[0] != '\0') {
		*rack = rack_number(problem, data_rack);
		return choose_in(problem, *rack);
	}
	if (unit->step->same_rack && unit->members > 1)
		return choose_rack(problem, rack);
	return choose_in(problem, *rack);
}

bool
displace_choose(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    const displaceable_t *members, size_t member_count,
    displaceable_run_t *runs, size_t run_count)
{
	problem_t problem = {.workers = workers,
	    .count = count,
	    .unit = unit,
	    .members = members,
	    .member_count = member_count,
	    .runs = runs,
	    .run_count = run_count};
	int rack;
	choice_t *choice;

	problem_prepare(&problem);
	choice = choose(&problem, &rack);
	if (choice != NULL) {
		put_members(&problem, choice, rack);
		for (size_t run = 0; run < run_count; run++)
			runs[run].stop = choice->stop[run];
		choice_free(&problem, choice);
	}
	problem_clear(&problem);
	return choice != NULL;
}
