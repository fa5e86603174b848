#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits retries to a fraction of successes, so that retries do not amplify an
 * overload.  Zero-initialise before use.  Does no I/O; the current time is a
 * parameter.
 */
typedef struct {
	double tokens;
	int64_t refilled_ms;
} retry_budget_t;

void retry_budget_success(retry_budget_t *budget);
bool retry_budget_take(retry_budget_t *budget, int64_t now_ms);
