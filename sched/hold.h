#pragma once

#include "sched/plan.h"

/*
 * Keeps workers free for a unit that waits.  Load pattern: the fleet is full, a
 * gang waits and small tasks behind it take each resource as it becomes free,
 * so that never enough of them are free at once.  Does no I/O and reads no
 * clock.
 */

/*
 * Disables workers, at most max_workers, for the rest of the round so that the
 * unit fits once what runs on them has ended.  Returns their number, 0 if the
 * unit would not fit on so few.  Of equal workers it takes those with the most
 * available resources, so that repeated calls take the same ones.
 */
size_t hold_workers(pool_t *pool, const plan_unit_t *unit, size_t max_workers);
