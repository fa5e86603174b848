#include "common/clock.h"
#include "common/loop_watch.h"
#include "tests/unit/once/once.h"

/*
 * Event loop in virtual time. It stands in for the clocks, for the timers of
 * libev and for the watch of the event loop.
 */

#define REAL_BASE_MS INT64_C(1800000000000)
#define MONO_BASE_US INT64_C(5000000000)

typedef struct {
	int64_t at_us;
	uint64_t sequence;
	int owner; /* instance whose code it runs, or ONCE_NO_OWNER */
	int generation;
	event_fn_t *fn;
	void *ctx;
	ev_timer *timer; /* in place of fn */
	int timer_id;
} event_t;

world_t *once_world;

/* ---- random numbers ---- */

int64_t
once_between(world_t *world, int64_t low, int64_t high)
{
	return low +
	       (int64_t)(g_rand_double(world->rand) * (double)(high - low));
}

bool
once_chance(world_t *world, double probability)
{
	return probability > 0 && g_rand_double(world->rand) < probability;
}

/* ---- events ---- */

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *first = a;
	const event_t *second = b;

	if (first->at_us != second->at_us)
		return first->at_us < second->at_us ? -1 : 1;
	return first->sequence < second->sequence ? -1 : 1;
}

static void
insert(world_t *world, event_t *event)
{
	event->sequence = ++world->event_sequence;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

static event_t *
event_create(world_t *world, int64_t at_us, int owner)
{
	event_t *event = g_new0(event_t, 1);

	event->at_us = MAX(at_us, world->now_us);
	event->owner = owner;
	if (owner != ONCE_NO_OWNER)
		event->generation = world->instances[owner].generation;
	return event;
}

/* Runs fn at a time; an instance's events wait while it is frozen. */
void
loop_at(world_t *world, int64_t at_us, int owner, event_fn_t *fn, void *ctx)
{
	event_t *event = event_create(world, at_us, owner);

	event->fn = fn;
	event->ctx = ctx;
	insert(world, event);
}

void
loop_after(world_t *world, int64_t delay_us, event_fn_t *fn, void *ctx)
{
	loop_at(world, world->now_us + delay_us, ONCE_NO_OWNER, fn, ctx);
}

static void
drop(event_t *event)
{
	if (event->timer == NULL)
		event->fn(event->ctx, true);
	g_free(event);
}

static void
fire_timer(world_t *world, event_t *event)
{
	ev_timer *timer = event->timer;
	struct ev_loop *loop =
	    (struct ev_loop *)(void *)&world->instances[event->owner];

	if (timer->active != event->timer_id)
		return;
	timer->active = 0;
	if (timer->repeat > 0)
		ev_timer_again(loop, timer);
	timer->cb(loop, timer, EV_TIMER);
}

static void
fire(world_t *world, event_t *event)
{
	instance_t *instance = event->owner == ONCE_NO_OWNER
				   ? NULL
				   : &world->instances[event->owner];

	if (instance != NULL &&
	    (!instance->alive || instance->generation != event->generation)) {
		drop(event);
		return;
	}
	if (instance != NULL && instance->frozen) {
		g_queue_push_tail(&instance->held, event);
		return;
	}
	world->current = event->owner;
	if (event->timer != NULL)
		fire_timer(world, event);
	else
		event->fn(event->ctx, false);
	world->current = ONCE_NO_OWNER;
	g_free(event);
}

static event_t *
next_event(world_t *world, int64_t until_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(world->events);
	event_t *event;

	if (g_sequence_iter_is_end(iter))
		return NULL;
	event = g_sequence_get(iter);
	if (event->at_us > until_us)
		return NULL;
	g_sequence_remove(iter);
	return event;
}

/* Runs events until a time or until a check fails. */
void
loop_run(world_t *world, int64_t until_us)
{
	event_t *event;

	while (world->failure == NULL &&
	       (event = next_event(world, until_us)) != NULL) {
		world->now_us = event->at_us;
		fire(world, event);
	}
	if (world->failure == NULL)
		world->now_us = until_us;
}

/* Delivers at once what an instance missed while it was frozen. */
void
loop_release(world_t *world, instance_t *instance)
{
	event_t *event;

	while ((event = g_queue_pop_head(&instance->held)) != NULL) {
		event->at_us = world->now_us;
		insert(world, event);
	}
}

/* Drops all events. */
void
loop_clear(world_t *world)
{
	event_t *event;

	for (int i = 0; i < ONCE_INSTANCES; i++)
		loop_release(world, &world->instances[i]);
	while ((event = next_event(world, INT64_MAX)) != NULL)
		drop(event);
}

/* ---- replacements of libev's timers ---- */

static void
schedule(struct ev_loop *loop, ev_timer *timer)
{
	instance_t *instance = (instance_t *)(void *)loop;
	world_t *world = instance->world;
	event_t *event = event_create(world,
	    world->now_us + (int64_t)(timer->at * ONCE_US_PER_S),
	    instance->index);

	timer->active = ++world->timer_ids;
	event->timer = timer;
	event->timer_id = timer->active;
	insert(world, event);
}

void
ev_timer_start(struct ev_loop *loop, ev_timer *timer)
{
	if (timer->active == 0)
		schedule(loop, timer);
}

void
ev_timer_stop(struct ev_loop *loop, ev_timer *timer)
{
	timer->active = 0;
}

void
ev_timer_again(struct ev_loop *loop, ev_timer *timer)
{
	timer->active = 0;
	if (timer->repeat <= 0)
		return;
	timer->at = timer->repeat;
	schedule(loop, timer);
}

/* ---- replacements of the clocks and of the watch of the loop ---- */

int64_t
clock_mono_us(void)
{
	return MONO_BASE_US + once_world->now_us;
}

int64_t
clock_mono_ms(void)
{
	return clock_mono_us() / CLOCK_US_PER_MS;
}

int64_t
clock_real_ms(void)
{
	return REAL_BASE_MS + once_world->now_us / CLOCK_US_PER_MS;
}

void
loop_watch_enter(const char *work)
{
}

void
loop_watch_leave(void)
{
}

int64_t
loop_watch_resumed_ms(void)
{
	if (once_world->current == ONCE_NO_OWNER)
		return 0;
	return once_world->instances[once_world->current].resumed_ms;
}
