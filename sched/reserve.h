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

reserve_t *reserve_create(const plan_worker_t *workers, size_t count);
void reserve_destroy(reserve_t *reserve);
void reserve_take(reserve_t *reserve, size_t worker, int accelerators);
void reserve_choose(reserve_t *reserve, int headroom, int accelerators);
bool reserve_keeps(const reserve_t *reserve, size_t worker);
