#include <string.h>

#include "tests/unit/once/once.h"

/*
 * Announcements, drains, deregistrations and restarts of workers. A worker
 * whose deregistration is not acknowledged runs on for some seconds.
 */

#define ANNOUNCE_US (ONCE_ANNOUNCE_MS * ONCE_US_PER_MS)
#define MAX_ANNOUNCE_JITTER_US (50 * ONCE_US_PER_MS)
#define MIN_TRAVEL_US 500
#define MAX_TRAVEL_US (30 * ONCE_US_PER_MS)
#define MIN_LATE_US ONCE_US_PER_S
#define MAX_LATE_US (9 * ONCE_US_PER_S)
#define DRAIN_US (ONCE_US_PER_S * 3 / 2)
#define MAX_DRAIN_EXTRA_US (3 * ONCE_US_PER_S)
#define DEREGISTER_RETRY_US ONCE_US_PER_S
#define MIN_UNACKNOWLEDGED_US (2 * ONCE_US_PER_S)
#define MAX_UNACKNOWLEDGED_US (6 * ONCE_US_PER_S)
#define RACK_SLOTS 4

/* A message of a worker to the leader; lives stay allocated for the day. */
typedef struct {
	life_t *life;
	int instance;
	fleet_announcement_t announcement;
	bool deregisters;
} message_t;

/* ---- restarts ---- */

typedef struct {
	world_t *world;
	int slot;
	char *id; /* NULL: a new one */
} restart_t;

/* A worker starts under a new id. */
void
slot_start(world_t *world, int slot)
{
	char *name = g_strdup_printf("w%02d-%d", slot, ++world->life_count);

	life_create(world, slot, name);
	g_free(name);
}

static bool
is_up(const world_t *world, const char *id)
{
	for (int slot = 0; slot < world->slots; slot++) {
		if (world->lives[slot] != NULL &&
		    strcmp(world->lives[slot]->id, id) == 0)
			return true;
	}
	return false;
}

static void
on_restart(void *ctx, bool dropped)
{
	restart_t *restart = ctx;
	world_t *world = restart->world;

	if (!dropped && world->lives[restart->slot] == NULL) {
		if (restart->id == NULL || is_up(world, restart->id))
			slot_start(world, restart->slot);
		else
			life_create(world, restart->slot, restart->id);
	}
	g_free(restart->id);
	g_free(restart);
}

/* Returns the id under which a worker returns, or NULL for a new one. */
static const char *
next_id(const life_t *life, once_kind_t kind)
{
	const GPtrArray *all = life->world->all_lives;
	const life_t *other;

	if (kind == KIND_REBIRTH)
		return life->id;
	if (kind != KIND_RETURN)
		return NULL;
	other = g_ptr_array_index(
	    all, (guint)once_between(life->world, 0, all->len));
	return other->id;
}

static void
restart_later(life_t *life, once_kind_t kind, int64_t down_us)
{
	restart_t *restart = g_new0(restart_t, 1);

	*restart =
	    (restart_t){life->world, life->slot, g_strdup(next_id(life, kind))};
	loop_after(life->world, down_us, on_restart, restart);
}

/* What follows a planned end. */
static void
restart_after_leaving(life_t *life)
{
	world_t *world = life->world;
	once_kind_t kind = KIND_CRASH;

	if (world->kinds[KIND_REBIRTH] && once_chance(world, 0.5))
		kind = KIND_REBIRTH;
	restart_later(life, kind,
	    once_between(world, ONCE_US_PER_S / 2, 4 * ONCE_US_PER_S));
}

/* The slot's worker crashes and starts again. */
void
slot_restart(world_t *world, int slot, once_kind_t kind, int64_t down_us)
{
	life_t *life = world->lives[slot];

	life_end(life, once_kind_names[kind]);
	restart_later(life, kind, down_us);
}

/* ---- messages ---- */

static bool
is_cut_from(const life_t *life, int instance)
{
	return life->world->cut_from_us[instance][life->slot] >
	       life->world->now_us;
}

/* Whether the worker reaches an instance, which passes the message on. */
static bool
reaches_leader(const life_t *life)
{
	const world_t *world = life->world;

	if (world->leader == ONCE_NO_OWNER)
		return false;
	if (!is_cut_from(life, world->leader))
		return true;
	for (int i = 0; i < ONCE_INSTANCES; i++) {
		if (world->instances[i].alive &&
		    !world->instances[i].isolated && !is_cut_from(life, i))
			return !world->instances[world->leader].isolated;
	}
	return false;
}

static bool
hears_back(const life_t *life, int instance)
{
	return life->up && life->world->cut_to_us[instance][life->slot] <=
			       life->world->now_us;
}

static void on_deregister_due(void *ctx, bool dropped);

static void
on_acknowledged(void *ctx, bool dropped)
{
	message_t *message = ctx;
	life_t *life = message->life;
	world_t *world = life->world;

	if (dropped || !hears_back(life, message->instance))
		goto done;
	if (message->deregisters) {
		life_end(life, "deregistered");
		restart_after_leaving(life);
	} else if (message->announcement.worker.draining &&
		   !life->deregistering) {
		life->deregistering = true;
		loop_after(world,
		    DRAIN_US + once_between(world, 0, MAX_DRAIN_EXTRA_US),
		    on_deregister_due, life);
	}
done:
	g_free(message);
}

static void
on_fleet_done(void *ctx, fleet_outcome_t outcome)
{
	message_t *message = ctx;
	world_t *world = message->life->world;

	if (outcome != FLEET_OK ||
	    (message->deregisters &&
		once_chance(world, world->chance[KIND_LOST_DEREGISTER]))) {
		g_free(message);
		return;
	}
	loop_after(world, once_between(world, MIN_TRAVEL_US, MAX_TRAVEL_US),
	    on_acknowledged, message);
}

static void
on_message(void *ctx, bool dropped)
{
	message_t *message = ctx;
	life_t *life = message->life;
	fleet_t *fleet;

	if (dropped) {
		g_free(message);
		return;
	}
	fleet = life->world->instances[message->instance].fleet;
	if (!fleet_leads(fleet)) {
		g_free(message);
		return;
	}
	if (!message->deregisters) {
		fleet_announce(
		    fleet, &message->announcement, on_fleet_done, message);
		return;
	}
	life->world->deregistrations++;
	story_add(life->world, NULL, life->id,
	    "i%d takes the deregistration of %s (born %lu)", message->instance,
	    life->id, (unsigned long)life->born % 1000000);
	fleet_deregister(fleet, life->id, life->born, on_fleet_done, message);
}

static void
send_message(message_t *message, once_kind_t late)
{
	life_t *life = message->life;
	world_t *world = life->world;
	int64_t delay_us = once_between(world, MIN_TRAVEL_US, MAX_TRAVEL_US);

	if (!reaches_leader(life)) {
		g_free(message);
		return;
	}
	message->instance = world->leader;
	if (once_chance(world, world->chance[late]))
		delay_us = once_between(world, MIN_LATE_US, MAX_LATE_US);
	loop_at(world, world->now_us + delay_us, message->instance, on_message,
	    message);
}

/* ---- announcements ---- */

#define ADDRESS "10.0.0.1" /* the port names the slot */
static const char *const racks[] = {"r0", "r1", "r2", "r3"};

static void
announce(life_t *life)
{
	message_t *message = g_new0(message_t, 1);

	message->life = life;
	message->announcement = (fleet_announcement_t){
	    .worker = {.id = life->id,
		.born = life->born,
		.service = (char *)"svc",
		.address = (char *)ADDRESS,
		.port = life->slot,
		.domain = (char *)"d1",
		.rack = (char *)racks[life->slot / RACK_SLOTS],
		.capacity = {64000, 64000, ONCE_ACCELERATORS},
		.draining = life->draining},
	    .sequence = ++life->sequence,
	    .clock_ms = life_clock_ms(life),
	};
	send_message(message, KIND_LATE_ANNOUNCE);
}

static void
on_announce_due(void *ctx, bool dropped)
{
	life_t *life = ctx;

	if (!dropped && life->up)
		life_announce_regularly(life);
}

void
life_announce_regularly(life_t *life)
{
	announce(life);
	loop_after(life->world,
	    ANNOUNCE_US + once_between(life->world, 0, MAX_ANNOUNCE_JITTER_US),
	    on_announce_due, life);
}

/* ---- planned ends ---- */

/* The worker reports that it drains. */
void
life_drain(life_t *life)
{
	if (life->draining)
		return;
	life->draining = true;
	story_add(life->world, NULL, life->id, "%s drains", life->id);
	announce(life);
}

static void
on_unacknowledged(void *ctx, bool dropped)
{
	life_t *life = ctx;

	if (dropped || !life->up)
		return;
	life_end(life, "left without an acknowledgement");
	restart_after_leaving(life);
}

static void
deregister(life_t *life)
{
	message_t *message = g_new0(message_t, 1);

	message->life = life;
	message->deregisters = true;
	story_add(life->world, NULL, life->id, "%s deregisters", life->id);
	send_message(message, KIND_LATE_DEREGISTER);
}

static void
on_deregister_again(void *ctx, bool dropped)
{
	life_t *life = ctx;

	if (dropped || !life->up)
		return;
	deregister(life);
	loop_after(life->world, DEREGISTER_RETRY_US, on_deregister_again, life);
}

static void
on_deregister_due(void *ctx, bool dropped)
{
	life_t *life = ctx;

	if (dropped || !life->up)
		return;
	on_deregister_again(life, false);
	loop_after(life->world,
	    once_between(
		life->world, MIN_UNACKNOWLEDGED_US, MAX_UNACKNOWLEDGED_US),
	    on_unacknowledged, life);
}
