#include "common/loop_watch.h"

#include <jansson.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/evlog.h"

/* One event loop a process is watched. */
static struct {
	struct ev_loop *loop; /* NULL: none */
	ev_check check;
	ev_prepare prepare;
	bool ticks;
	int64_t turn_us; /* start of this turn, 0 during a wait */
	int64_t last_us; /* start of the last turn */
	int64_t resumed_ms;
	const char *work;
	int64_t work_us;
	const char *longest_work; /* of this turn */
	int64_t longest_us;
	histogram_t *turns;
	counter_t *over_budget;
} watch;

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
	watch.longest_work = "other";
	watch.longest_us = 0;
}

/* The turn has ended: the loop is about to wait. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	int64_t took_us;

	if (watch.turn_us == 0)
		return;
	took_us = clock_mono_us() - watch.turn_us;
	watch.turn_us = 0;
	histogram_record(watch.turns, took_us);
	if (took_us <= LOOP_TURN_BUDGET_MS * CLOCK_US_PER_MS)
		return;
	counter_add(watch.over_budget, 1);
	evlog("loop_turn", "{s:I,s:s,s:I}", "took_ms",
	    (json_int_t)(took_us / CLOCK_US_PER_MS), "longest",
	    watch.longest_work, "longest_ms",
	    (json_int_t)(watch.longest_us / CLOCK_US_PER_MS));
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
	watch.work = work;
	watch.work_us = clock_mono_us();
}

void
loop_watch_leave(void)
{
	int64_t took_us = clock_mono_us() - watch.work_us;

	if (took_us <= watch.longest_us)
		return;
	watch.longest_us = took_us;
	watch.longest_work = watch.work;
}

int64_t
loop_watch_resumed_ms(void)
{
	return watch.resumed_ms;
}
