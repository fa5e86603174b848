#include "bench/scan_planner.h"

#include <glib.h>
#include <string.h>

/*
 * The planner before workers were indexed: it looks at all workers for each
 * unit and sorts them.  bench_planning compares with it.
 */

/* A worker that can take at least one member of the unit. */
typedef struct {
	plan_worker_t *worker;
	int fitting;
	bool near_data;
	int spare; /* free accelerators, then cores, once it is filled */
} candidate_t;

/* A set of candidates that together may hold the whole unit. */
typedef struct {
	const char *name;
	int fitting;
	int penalty;
	bool near_data;
} group_t;

static resources_t
available_on(const plan_worker_t *worker, plan_available_t kind)
{
	resources_t available = worker->free;

	if (kind >= PLAN_RELEASING)
		plan_add(&available, &worker->releasing, 1);
	return available;
}

/*
 * Orders by lowest penalty, then those near the data, then those with the least
 * resources to spare, so that whole workers stay free for large tasks.
 */
static int
compare_candidates(const void *a, const void *b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->worker->penalty != second->worker->penalty)
		return first->worker->penalty - second->worker->penalty;
	if (first->near_data != second->near_data)
		return first->near_data ? -1 : 1;
	if (first->spare != second->spare)
		return first->spare - second->spare;
	return strcmp(first->worker->worker->id, second->worker->worker->id);
}

static bool
is_near_data(const fleet_worker_t *worker, const step_spec_t *step)
{
	return step->data_rack[0] == '\0' ||
	       strcmp(step->data_rack, worker->rack) == 0;
}

static GArray *
find_candidates(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    plan_available_t kind)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (size_t i = 0; i < count; i++) {
		plan_worker_t *worker = &workers[i];
		resources_t available = available_on(worker, kind);
		candidate_t candidate = {.worker = worker};

		worker->chosen = 0;
		if (!plan_is_eligible(worker, unit))
			continue;
		if (unit->needs_ticket && !worker->has_ticket)
			continue;
		candidate.fitting =
		    plan_members_that_fit(worker, unit, &available);
		candidate.near_data = is_near_data(worker->worker, unit->step);
		if (candidate.fitting == 0 ||
		    (!candidate.near_data && !unit->may_spread))
			continue;
		plan_subtract(
		    &available, &unit->step->shape, candidate.fitting);
		/* Accelerators count first: no worker has 1000 cores. */
		candidate.spare =
		    available.accelerators * 1000 + available.cpu_milli / 1000;
		g_array_append_val(found, candidate);
	}
	g_array_sort(found, compare_candidates);
	return found;
}

/* The kinds of groups, smallest first. */
typedef enum {
	GROUP_RACK,
	GROUP_DOMAIN,
	GROUP_ALL,
} group_kind_t;

static const char *
group_of(const candidate_t *candidate, group_kind_t kind)
{
	const fleet_worker_t *worker = candidate->worker->worker;

	switch (kind) {
	case GROUP_RACK:
		return worker->rack;
	case GROUP_DOMAIN:
		return worker->domain;
	case GROUP_ALL:
		break;
	}
	return "";
}

/* Assigns members to the candidates of a group, best candidates first. */
static void
assign_members(
    GArray *candidates, group_kind_t kind, const char *group, int members)
{
	for (guint i = 0; i < candidates->len && members > 0; i++) {
		candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);

		if (strcmp(group_of(candidate, kind), group) != 0)
			continue;
		candidate->worker->chosen = MIN(candidate->fitting, members);
		members -= candidate->worker->chosen;
	}
}

static group_t *
get_or_add_group(GArray *groups, const char *name)
{
	group_t added = {.name = name};

	for (guint i = 0; i < groups->len; i++) {
		group_t *group = &g_array_index(groups, group_t, i);

		if (strcmp(group->name, name) == 0)
			return group;
	}
	g_array_append_val(groups, added);
	return &g_array_index(groups, group_t, groups->len - 1);
}

static bool
is_better_group(const group_t *group, const group_t *other)
{
	if (other == NULL)
		return true;
	if (group->near_data != other->near_data)
		return group->near_data;
	if (group->penalty != other->penalty)
		return group->penalty < other->penalty;
	return group->fitting < other->fitting;
}

/*
 * Returns the name of the best group that all members fit into, or NULL.  The
 * best is near the data (in its rack, or the step names none), then has the
 * lowest penalty, then fits the fewest members.
 */
static const char *
choose_group(GArray *candidates, group_kind_t kind, int members)
{
	GArray *groups = g_array_new(FALSE, FALSE, sizeof(group_t));
	const group_t *best = NULL;
	const char *name = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);
		group_t *group =
		    get_or_add_group(groups, group_of(candidate, kind));

		/*
		 * Ends up as the penalty of the worst candidate needed, as the
		 * candidates are sorted by penalty.
		 */
		if (group->fitting < members)
			group->penalty = candidate->worker->penalty;
		group->fitting += candidate->fitting;
		group->near_data = candidate->near_data;
	}
	for (guint i = 0; i < groups->len; i++) {
		const group_t *group = &g_array_index(groups, group_t, i);

		if (group->fitting >= members && is_better_group(group, best))
			best = group;
	}
	if (best != NULL)
		name = best->name;
	g_array_unref(groups);
	return name;
}

/*
 * Returns the smallest kind of group to try.  A gang ends when any member is
 * lost, so it should span as few failure domains as possible.
 */
static group_kind_t
smallest_kind(const plan_unit_t *unit)
{
	return unit->members > 1 ? GROUP_RACK : GROUP_ALL;
}

/* Returns the largest kind of group to try. */
static group_kind_t
largest_kind(const plan_unit_t *unit)
{
	bool one_rack = unit->step->same_rack && unit->members > 1;

	return one_rack && !unit->may_spread ? GROUP_RACK : GROUP_ALL;
}

/*
 * Chooses workers for all members of a unit and sets `chosen` of each worker to
 * its number of members.  Returns false, with chosen 0, if they do not fit.
 */
bool
scan_plan_unit(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    plan_available_t kind)
{
	GArray *candidates = find_candidates(workers, count, unit, kind);
	group_kind_t last = largest_kind(unit);
	group_kind_t group;
	const char *name = NULL;

	for (group = smallest_kind(unit); group <= last; group++) {
		name = choose_group(candidates, group, unit->members);
		if (name != NULL)
			break;
	}
	if (name != NULL)
		assign_members(candidates, group, name, unit->members);
	g_array_unref(candidates);
	return name != NULL;
}
