#include "common/loop_watch.h"

#include <jansson.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/evlog.h"

/* Kinds of work that are told apart, and how deep they may call each other. */
#define MAX_KINDS 16
#define MAX_DEPTH 8

/* The time of one kind of work in this turn. */
typedef struct {
	const char *name; /* a literal */
	int64_t us;
} kind_t;

/* One event loop a process is watched. */
static struct {
	struct ev_loop *loop; /* NULL: none */
	ev_check check;
	ev_prepare prepare;
	bool ticks;
	int64_t turn_us; /* start of this turn, 0 during a wait */
	int64_t last_us; /* start of the last turn */
	int64_t resumed_ms;
	kind_t kinds[MAX_KINDS];
	size_t kind_count;
	const char *stack[MAX_DEPTH]; /* the work under way, the inmost last */
	size_t depth;
	int64_t since_us; /* the time up to here is accounted for */
	histogram_t *turns;
	counter_t *over_budget;
} watch;

/* Adds the time since the last change of work to the work under way. */
static void
account(void)
{
	int64_t now_us = clock_mono_us();
	int64_t took_us = now_us - watch.since_us;
	const char *name;
	size_t i = 0;

	watch.since_us = now_us;
	if (watch.depth == 0 || watch.depth > MAX_DEPTH)
		return;
	name = watch.stack[watch.depth - 1];
	while (i < watch.kind_count && watch.kinds[i].name != name)
		i++;
	if (i == MAX_KINDS)
		return;
	if (i == watch.kind_count)
		watch.kinds[watch.kind_count++] = (kind_t){.name = name};
	watch.kinds[i].us += took_us;
}

/*
 * Returns the kind of work that took longest in a turn of that length; what no
 * kind accounts for is "other".
 */
static kind_t
longest_kind(int64_t turn_us)
{
	kind_t other = {.name = "other", .us = turn_us};
	kind_t longest = {.us = -1};

	for (size_t i = 0; i < watch.kind_count; i++) {
		other.us -= watch.kinds[i].us;
		if (watch.kinds[i].us > longest.us)
			longest = watch.kinds[i];
	}
	return other.us > longest.us ? other : longest;
}

/* A wait has ended: the turn begins, before any other callback. */
static void
on_check(struct ev_loop *loop, ev_check *watcher, int events)
{
	int64_t now_us = clock_mono_us();

	if (watch.ticks && watch.last_us != 0 &&
	    now_us - watch.last_us >= LOOP_HELD_MS * CLOCK_US_PER_MS) {
		watch.resumed_ms = now_us / CLOCK_US_PER_MS;
		evlog("loop_resumed", "{s:I}", "after_ms",
		    (json_int_t)((now_us - watch.last_us) / CLOCK_US_PER_MS));
	}
	watch.last_us = now_us;
	watch.turn_us = now_us;
	watch.kind_count = 0;
}

/* The turn has ended: the loop is about to wait. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	int64_t took_us;
	kind_t longest;

	if (watch.turn_us == 0)
		return;
	took_us = clock_mono_us() - watch.turn_us;
	watch.turn_us = 0;
	histogram_record(watch.turns, took_us);
	if (took_us <= LOOP_TURN_BUDGET_MS * CLOCK_US_PER_MS)
		return;
	counter_add(watch.over_budget, 1);
	longest = longest_kind(took_us);
	evlog("loop_turn", "{s:I,s:s,s:I}", "took_ms",
	    (json_int_t)(took_us / CLOCK_US_PER_MS), "longest", longest.name,
	    "longest_ms", (json_int_t)(longest.us / CLOCK_US_PER_MS));
}

void
loop_watch_start(struct ev_loop *loop, bool ticks)
{
	watch.loop = loop;
	watch.ticks = ticks;
	watch.last_us = 0;
	watch.turn_us = 0;
	watch.resumed_ms = 0;
	watch.turns = histogram_get(
	    "loop_turn_seconds", "time between two waits of the event loop");
	watch.over_budget = counter_get("loop_turns_over_budget_total",
	    "turns of the event loop over their budget");
	ev_check_init(&watch.check, on_check);
	ev_set_priority(&watch.check, EV_MAXPRI);
	ev_check_start(loop, &watch.check);
	ev_prepare_init(&watch.prepare, on_prepare);
	ev_set_priority(&watch.prepare, EV_MINPRI);
	ev_prepare_start(loop, &watch.prepare);
}

void
loop_watch_stop(void)
{
	if (watch.loop == NULL)
		return;
	ev_check_stop(watch.loop, &watch.check);
	ev_prepare_stop(watch.loop, &watch.prepare);
	watch.loop = NULL;
}

void
loop_watch_enter(const char *work)
{
	account();
	if (watch.depth < MAX_DEPTH)
		watch.stack[watch.depth] = work;
	watch.depth++;
}

void
loop_watch_leave(void)
{
	account();
	watch.depth--;
}

int64_t
loop_watch_resumed_ms(void)
{
	return watch.resumed_ms;
}
