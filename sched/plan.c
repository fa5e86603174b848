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

/* Racks are compared by the number of members they hold and what they waste. */
typedef struct {
	const char *name;
	int places;
	int penalty;
	bool near_data;
} rack_t;

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

/* Puts members on the candidates of a rack, NULL for any, in their order. */
static bool
fill(GArray *candidates, const char *rack, int members)
{
	for (guint i = 0; i < candidates->len && members > 0; i++) {
		candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);

		if (rack != NULL &&
		    strcmp(candidate->worker->worker->rack, rack) != 0)
			continue;
		candidate->worker->chosen = MIN(candidate->places, members);
		members -= candidate->worker->chosen;
	}
	return members == 0;
}

static rack_t *
rack_of(GArray *racks, const char *name)
{
	rack_t added = {.name = name};

	for (guint i = 0; i < racks->len; i++) {
		rack_t *rack = &g_array_index(racks, rack_t, i);

		if (strcmp(rack->name, name) == 0)
			return rack;
	}
	g_array_append_val(racks, added);
	return &g_array_index(racks, rack_t, racks->len - 1);
}

static bool
is_better_rack(const rack_t *rack, const rack_t *than)
{
	if (than == NULL)
		return true;
	if (rack->near_data != than->near_data)
		return rack->near_data;
	if (rack->penalty != than->penalty)
		return rack->penalty < than->penalty;
	return rack->places < than->places;
}

/* Returns the rack that holds all members and wastes the least, or NULL. */
static const char *
choose_rack(GArray *candidates, int members)
{
	GArray *racks = g_array_new(FALSE, FALSE, sizeof(rack_t));
	const rack_t *best = NULL;
	const char *name = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
		    &g_array_index(candidates, candidate_t, i);
		rack_t *rack = rack_of(racks, candidate->worker->worker->rack);

		/* Candidates are sorted, so the worst one needed counts. */
		if (rack->places < members)
			rack->penalty = candidate->worker->penalty;
		rack->places += candidate->places;
		rack->near_data = candidate->near_data;
	}
	for (guint i = 0; i < racks->len; i++) {
		const rack_t *rack = &g_array_index(racks, rack_t, i);

		if (rack->places >= members && is_better_rack(rack, best))
			best = rack;
	}
	if (best != NULL)
		name = best->name;
	g_array_unref(racks);
	return name;
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
	bool one_rack = unit->step->same_rack && unit->members > 1;
	const char *rack = NULL;
	bool placed;

	if (one_rack)
		rack = choose_rack(candidates, unit->members);
	placed = one_rack && rack == NULL && !unit->may_spread
		     ? false
		     : fill(candidates, rack, unit->members);
	g_array_unref(candidates);
	for (size_t i = 0; !placed && i < count; i++)
		workers[i].chosen = 0;
	return placed;
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
