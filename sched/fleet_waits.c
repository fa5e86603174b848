#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "sched/fleet_round.h"

/*
 * Why units wait: counters by reason, and a warning about a job that stands
 * still though its workers have room for it.
 */

/* A job with nothing at work stands still after so long. */
#define STILL_MS 3000
/* Before that, it gives up its preferences where there is ample room. */
#define GIVE_UP_PREFERENCES_MS 2000
#define LOG_INTERVAL_MS 1000
/* Bounds what the checks add to a round. */
#define MAX_CHECKS 8
/* Room for so many times the unit makes a wait hard to explain. */
#define AMPLE_ROOM 2

static const char *const names[WAIT_REASONS] = {
    [WAIT_ROOM] = "room",
    [WAIT_HEADROOM] = "headroom",
    [WAIT_RESERVED] = "reserved",
    [WAIT_RACK] = "rack",
    [WAIT_TICKET] = "ticket",
    [WAIT_EARLIER] = "earlier",
    [WAIT_RELEASING] = "releasing",
    [WAIT_NO_WORKER] = "no_worker",
    [WAIT_OUT_OF_SERVICE] = "out_of_service",
    [WAIT_NO_QUEUE] = "no_queue",
};

/* Creates the counters. */
void
waits_init(fleet_t *fleet)
{
	for (int i = 0; i < WAIT_REASONS; i++) {
		char *name = g_strdup_printf(
		    "fleet_waits_total{reason=\"%s\"}", names[i]);

		fleet->waits[i] = counter_get(name,
		    i == 0 ? "steps passed over by a planning round" : "");
		g_free(name);
	}
	fleet->stills = counter_get("fleet_stills_total",
	    "rounds that found a job still though there is ample room");
}

/* Counts a step that was passed over. */
void
waits_record(fleet_t *fleet, wait_reason_t why)
{
	counter_add(fleet->waits[why], 1);
}

/* What the workers of a step's service and label have. */
typedef struct {
	int usable;
	int members;  /* of the unit that would fit */
	int free;     /* accelerators */
	int capacity; /* accelerators */
} room_t;

static room_t
measure_room(const round_t *round, const plan_unit_t *plan)
{
	room_t room = {0};

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *worker = &round->plan_workers[i];

		if (!plan_is_eligible(worker, plan))
			continue;
		room.usable++;
		room.members +=
		    plan_members_that_fit(worker, plan, &worker->free);
		room.free += worker->free.accelerators;
		room.capacity += worker->worker->capacity.accelerators;
	}
	return room;
}

/* Finds out which condition keeps a unit from places that would fit. */
static wait_reason_t
refine_reason(round_t *round, const plan_unit_t *plan, const room_t *room)
{
	plan_unit_t other = *plan;

	if (room->usable == 0)
		return WAIT_NO_WORKER;
	if (round->why != WAIT_ROOM && round->why != WAIT_EARLIER)
		return round->why;
	other.may_spread = true;
	if (!plan->may_spread && plan_unit(round->pool, &other, PLAN_FREE))
		return WAIT_RACK;
	other = *plan;
	other.avoids_reserved = false;
	if (plan->avoids_reserved && plan_unit(round->pool, &other, PLAN_FREE))
		return WAIT_RESERVED;
	other = *plan;
	other.needs_ticket = false;
	if (plan->needs_ticket && plan_unit(round->pool, &other, PLAN_FREE))
		return WAIT_TICKET;
	return round->why;
}

/* Whether no unit of the job has been at work for so long. */
static bool
stands_still(const round_t *round, const waiting_step_t *item, int64_t for_ms)
{
	int64_t since_ms = item->unit->job->still_since_ms;

	return since_ms != 0 && round->now_ms - since_ms >= for_ms;
}

/* Whether half of the accelerators of the service's workers are free. */
static bool
is_idle(const round_t *round, const char *service)
{
	int capacity = 0;
	int free = 0;

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *worker = &round->plan_workers[i];

		if (!worker->usable ||
		    strcmp(worker->worker->service, service) != 0)
			continue;
		free += MAX(worker->free.accelerators, 0);
		capacity += worker->worker->capacity.accelerators;
	}
	return free * AMPLE_ROOM >= capacity;
}

/*
 * Whether the step's job stands still while the workers of its service have
 * ample room: it is better started far from its data, over several racks, or
 * in a rack kept for urgent work than not at all.
 */
bool
waits_in_vain(round_t *round, const waiting_step_t *item, const char *service)
{
	if (!stands_still(round, item, GIVE_UP_PREFERENCES_MS))
		return false;
	if (round->service == NULL || strcmp(round->service, service) != 0) {
		round->service = service;
		round->service_is_idle = is_idle(round, service);
	}
	return round->service_is_idle;
}

/*
 * Refines round->why for a job of which nothing is at work for STILL_MS, and
 * logs it when the workers have ample room.
 */
void
waits_check(round_t *round, const waiting_step_t *item, const plan_unit_t *plan)
{
	fleet_t *fleet = round->fleet;
	room_t room;

	if (round->now_ms < fleet->next_still_ms ||
	    round->still_checks >= MAX_CHECKS ||
	    !stands_still(round, item, STILL_MS) ||
	    !waits_in_vain(round, item, plan->service))
		return;
	round->still_checks++;
	room = measure_room(round, plan);
	round->why = refine_reason(round, plan, &room);
	if (room.members < AMPLE_ROOM * plan->members ||
	    room.free * AMPLE_ROOM < room.capacity)
		return;
	fleet->next_still_ms = round->now_ms + LOG_INTERVAL_MS;
	counter_add(fleet->stills, 1);
	evlog("unit_still", "{s:s,s:i,s:i,s:i,s:s,s:I,s:i,s:i,s:i,s:i,s:i,s:s}",
	    "job", item->unit->job->submit.id, "step", item->unit->step, "unit",
	    item->unit->first, "members", plan->members, "reason",
	    names[round->why], "waits_ms",
	    (json_int_t)(round->now_ms - item->unit->job->still_since_ms),
	    "fitting", room.members, "free", room.free, "capacity",
	    room.capacity, "headroom", round->headroom_accelerators, "priority",
	    item->priority, "data_rack", plan->step->data_rack);
}
