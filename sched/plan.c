#include "sched/plan.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A worker that may take members of the unit. */
typedef struct {
	plan_worker_t *worker;
	int places;
	bool near_data;
	int leftover; /* accelerators, then cores, that stay free */
} candidate_t;

/* Groups are compared by the members that they hold and what they waste. */
typedef struct {
	const char *name;
	int places;
	int penalty;
	bool near_data;
} group_t;

static int
quotient(int room, int need)
{
	if (need <= 0)
		return G_MAXINT;
	return room < 0 ? 0 : room / need;
}

/* How many tasks of that shape fit into the room. */
int
plan_fit(const resources_t *room, const resources_t *shape)
{
	int fit = quotient(room->cpu_milli, shape->cpu_milli);

	fit = MIN(fit, quotient(room->memory_mb, shape->memory_mb));
	return MIN(fit, quotient(room->accelerators, shape->accelerators));
}

/* Subtracts tasks from the room, which may become negative. */
void
plan_take(resources_t *room, const resources_t *shape, int count)
{
	room->cpu_milli -= shape->cpu_milli * count;
	room->memory_mb -= shape->memory_mb * count;
	room->accelerators -= shape->accelerators * count;
}

/* Adds what tasks give back. */
void
plan_give(resources_t *room, const resources_t *shape, int count)
{
	plan_take(room, shape, -count);
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

/* Whether the unit may run on the worker, room aside. */
bool
plan_may_hold(const plan_worker_t *worker, const plan_unit_t *unit)
{
	if (worker->barred || (worker->on_trial && unit->members > 1))
		return false;
	return worker->usable &&
	       strcmp(worker->worker->service, unit->service) == 0 &&
	       has_label(worker->worker, unit->step->label);
}

static resources_t
room_of(const plan_worker_t *worker, plan_room_t kind)
{
	resources_t room = worker->free;

	if (kind >= PLAN_RELEASING)
		plan_give(&room, &worker->releasing, 1);
	return room;
}

/* Members that the worker can take, by its room and the step's limit. */
static int
places_on(
    const plan_worker_t *worker, const plan_unit_t *unit, plan_room_t kind)
{
	resources_t room = room_of(worker, kind);
	int places = plan_fit(&room, &unit->step->shape);

	if (unit->step->max_per_worker > 0)
		places = MIN(places,
		    MAX(unit->step->max_per_worker - worker->same_step, 0));
	return MIN(places, unit->members);
}

/*
 * Sound workers first, then those near the data, then those that are left with
 * the least, so that whole workers stay free for large tasks.
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
	if (first->leftover != second->leftover)
		return first->leftover - second->leftover;
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
    plan_room_t kind)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (size_t i = 0; i < count; i++) {
		plan_worker_t *worker = &workers[i];
		resources_t room = room_of(worker, kind);
		candidate_t candidate = {.worker = worker};

		worker->chosen = 0;
		if (!plan_may_hold(worker, unit))
			continue;
		if (unit->needs_ticket && !worker->has_ticket)
			continue;
		candidate.places = places_on(worker, unit, kind);
		candidate.near_data = is_near_data(worker->worker, unit->step);
		if (candidate.places == 0 ||
		    (!candidate.near_data && !unit->may_spread))
			continue;
		plan_take(&room, &unit->step->shape, candidate.places);
		candidate.leftover =
		    room.accelerators * 1000 + room.cpu_milli / 1000;
		g_array_append_val(found, candidate);
	}
	g_array_sort(found, compare_candidates);
	return found;
}

/* How workers are grouped: a rack, a failure domain, or all of them. */
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

/* Puts members on the candidates of a group, in their order. */
static void
fill(GArray *candidates, group_kind_t kind, const char *group, int members)
{
	for (guint i = 0; i < candidates->len && members > 0; i++) {
		candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);

		if (strcmp(group_of(candidate, kind), group) != 0)
			continue;
		candidate->worker->chosen = MIN(candidate->places, members);
		members -= candidate->worker->chosen;
	}
}

static group_t *
find_group(GArray *groups, const char *name)
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
is_better_group(const group_t *group, const group_t *than)
{
	if (than == NULL)
		return true;
	if (group->near_data != than->near_data)
		return group->near_data;
	if (group->penalty != than->penalty)
		return group->penalty < than->penalty;
	return group->places < than->places;
}

/* Returns the group that holds all members and wastes the least, or NULL. */
static const char *
choose_group(GArray *candidates, group_kind_t kind, int members)
{
	GArray *groups = g_array_new(FALSE, FALSE, sizeof(group_t));
	const group_t *best = NULL;
	const char *name = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);
		group_t *group = find_group(groups, group_of(candidate, kind));

		/* Candidates are sorted, so the worst one needed counts. */
		if (group->places < members)
			group->penalty = candidate->worker->penalty;
		group->places += candidate->places;
		group->near_data = candidate->near_data;
	}
	for (guint i = 0; i < groups->len; i++) {
		const group_t *group = &g_array_index(groups, group_t, i);

		if (group->places >= members && is_better_group(group, best))
			best = group;
	}
	if (best != NULL)
		name = best->name;
	g_array_unref(groups);
	return name;
}

/*
 * The smallest kind of group within which the unit is looked for first.  A gang
 * ends with any of its members, so it keeps to as few failure domains as it
 * can.
 */
static group_kind_t
first_group(const plan_unit_t *unit)
{
	return unit->members > 1 ? GROUP_RACK : GROUP_ALL;
}

static group_kind_t
last_group(const plan_unit_t *unit)
{
	bool one_rack = unit->step->same_rack && unit->members > 1;

	return one_rack && !unit->may_spread ? GROUP_RACK : GROUP_ALL;
}

/*
 * Chooses workers for all members of a unit and leaves the number of members in
 * each worker's chosen.  False when they do not fit; chosen is 0 then.
 */
bool
plan_unit(plan_worker_t *workers, size_t count, const plan_unit_t *unit,
    plan_room_t kind)
{
	GArray *candidates = find_candidates(workers, count, unit, kind);
	group_kind_t last = last_group(unit);
	group_kind_t group;
	const char *name = NULL;

	for (group = first_group(unit); group <= last; group++) {
		name = choose_group(candidates, group, unit->members);
		if (name != NULL)
			break;
	}
	if (name != NULL)
		fill(candidates, group, name, unit->members);
	g_array_unref(candidates);
	return name != NULL;
}

/* Whether the unit would fit if nothing else ran. */
bool
plan_can_ever_fit(
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit)
{
	int places = 0;

	for (size_t i = 0; i < count && places < unit->members; i++) {
		int fit =
		    plan_fit(&workers[i].worker->capacity, &unit->step->shape);

		if (strcmp(workers[i].worker->service, unit->service) != 0 ||
		    !has_label(workers[i].worker, unit->step->label))
			continue;
		if (unit->step->max_per_worker > 0)
			fit = MIN(fit, unit->step->max_per_worker);
		places += MIN(fit, unit->members);
	}
	return places >= unit->members;
}
