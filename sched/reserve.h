#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "sched/plan.h"

/*
 * Chooses the racks that are kept for urgent work.  Load pattern: urgent gangs
 * want one rack each while batch work fills every gap.  Where the room that is
 * kept is scattered over all racks, each such gang has to stop runs.  Pure.
 */
typedef struct reserve_t reserve_t;

/* Sums up what is free by rack; the workers must outlive it. */
reserve_t *reserve_create(const plan_worker_t *workers, size_t count);
void reserve_destroy(reserve_t *reserve);
/* Counts accelerators on a worker as taken. */
void reserve_take(reserve_t *reserve, size_t worker, int accelerators);
/*
 * Keeps the emptiest racks that together have headroom accelerators free.  The
 * last of them is left open if a unit of that many accelerators fits beside.
 */
void reserve_choose(reserve_t *reserve, int headroom, int accelerators);
/* Whether the worker's rack is kept. */
bool reserve_keeps(const reserve_t *reserve, size_t worker);
