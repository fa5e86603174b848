#include <check.h>
#include <stdlib.h>

#include "policy/retry_budget.h"
#include "tests/unit/runner.h"

/* Guards against retries that amplify an overload: at most 10% of successes. */
START_TEST(share_of_successes)
{
	retry_budget_t budget = {0};
	int taken = 0;

	/* Use up the minimum budget. */
	for (int i = 0; i < 100; i++)
		retry_budget_take(&budget, 1000);
	for (int i = 0; i < 500; i++)
		retry_budget_success(&budget);
	for (int i = 0; i < 500; i++)
		taken += retry_budget_take(&budget, 1000);
	ck_assert_int_ge(taken, 49);
	ck_assert_int_le(taken, 50);
}
END_TEST

/* Guards against an instance without successes that never retries, and against
 * a minimum budget above one retry per second. */
START_TEST(small_floor)
{
	retry_budget_t budget = {0};
	int taken = 0;

	for (int64_t now = 1; now <= 20000; now++)
		taken += retry_budget_take(&budget, now);
	ck_assert_int_ge(taken, 20);
	ck_assert_int_le(taken, 24);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("retry_budget");
	TCase *tcase = tcase_create("retry_budget");

	tcase_add_test(tcase, share_of_successes);
	tcase_add_test(tcase, small_floor);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
