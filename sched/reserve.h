#pragma once

#include "sched/pool.h"

/*
 * Chooses racks to reserve for urgent work.  Load pattern: urgent gangs need
 * one rack each while batch work fills all free capacity.  If the headroom were
 * scattered over all racks, each such gang would have to preempt runs.  Does no
 * I/O and reads no clock.
 */
typedef struct reserve_t reserve_t;

reserve_t *reserve_create(pool_t *pool);
void reserve_destroy(reserve_t *reserve);
void reserve_choose_racks(
    reserve_t *reserve, int headroom, int unit_accelerators);
bool reserve_is_rack_reserved(const reserve_t *reserve, size_t worker);
