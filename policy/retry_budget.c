#include "policy/retry_budget.h"

#include <glib.h>

#define TOKENS_PER_SUCCESS 0.1
/* Limits the burst of retries after a long period without failures. */
#define MAX_TOKENS 100.0
/* Minimum budget of an instance with little traffic: one retry per second with
 * a burst of 3. */
#define FLOOR_TOKENS 3.0
#define FLOOR_TOKENS_PER_MS 0.001

/* Records a success, which adds to the budget. */
void
retry_budget_success(retry_budget_t *budget)
{
	budget->tokens = MIN(budget->tokens + TOKENS_PER_SUCCESS, MAX_TOKENS);
}

/* Takes one retry from the budget; false if it is exhausted. */
bool
retry_budget_take(retry_budget_t *budget, int64_t now_ms)
{
	if (budget->refilled_ms == 0) {
		budget->tokens = MAX(budget->tokens, FLOOR_TOKENS);
	} else if (budget->tokens < FLOOR_TOKENS) {
		budget->tokens = MIN(FLOOR_TOKENS,
		    budget->tokens + (double)(now_ms - budget->refilled_ms) *
					 FLOOR_TOKENS_PER_MS);
	}
	budget->refilled_ms = now_ms;
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
