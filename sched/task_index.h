#pragma once

#include "sched/fleet_private.h"

/*
 * Finds the members on a worker by task and run, for the lists of a poll, which
 * may name thousands of tasks.
 */
typedef struct task_index_t task_index_t;

task_index_t *task_index_create(const worker_t *worker);
void task_index_destroy(task_index_t *index);
member_t *task_index_find(
    const task_index_t *index, const task_name_t *task, uint32_t run);
