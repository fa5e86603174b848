#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds retries to a share of successes, so that they can't multiply an
 * overload.  Zero-initialised; pure, the clock is passed in.
 */
typedef struct {
	double tokens;
	int64_t refilled_ms;
} retry_budget_t;

void retry_budget_success(retry_budget_t *budget);
bool retry_budget_take(retry_budget_t *budget, int64_t now_ms);
