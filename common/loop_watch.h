#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Watches the event loop of the process.  A turn, from the wait for events to
 * the next wait, holds everything else up: heartbeats, announcements and
 * elections.  Turns over the budget are counted and logged with the work that
 * took longest.
 */

/* A tenth of the shortest default election timeout. */
#define LOOP_TURN_BUDGET_MS 50
#define LOOP_HELD_MS 250

/*
 * ticks says that timers end each wait well within LOOP_HELD_MS, so that a
 * longer gap is a pause of the process.
 */
void loop_watch_start(struct ev_loop *loop, bool ticks);
void loop_watch_stop(void);
/*
 * Names the work that runs until loop_watch_leave, by a literal. Work inside
 * other work counts for itself only.
 */
void loop_watch_enter(const char *work);
void loop_watch_leave(void);
/*
 * Monotonic time in milliseconds at which the loop last came back after it had
 * not read its sockets for LOOP_HELD_MS, 0: never.  What was not heard before
 * then proves nothing about its sender.
 */
int64_t loop_watch_resumed_ms(void);
