#pragma once

#include "sched/plan.h"

/* Like plan_unit, on workers without an index. */
bool scan_plan_unit(plan_worker_t *workers, size_t count,
    const plan_unit_t *unit, plan_available_t kind);
