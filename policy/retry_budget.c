#include "policy/retry_budget.h"

#include <glib.h>

#define TOKENS_PER_SUCCESS 0.1
/* Bounds the burst of retries after a long time without failures. */
#define MAX_TOKENS 100.0
/* An instance with little traffic may still retry: one a second, up to 3. */
#define FLOOR_TOKENS 3.0
#define FLOOR_TOKENS_PER_MS 0.001

/* Counts a success. */
void
retry_budget_success(retry_budget_t *budget)
{
	budget->tokens = MIN(budget->tokens + TOKENS_PER_SUCCESS, MAX_TOKENS);
}

/* Takes one retry out of the budget; false when it is used up. */
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
