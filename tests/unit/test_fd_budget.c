#include "common/fd_budget.h"
#include "tests/unit/runner.h"

/* Guards against shares that add up to more than the limit. */
START_TEST(shares_fit)
{
	for (int limit = FD_BUDGET_MIN_LIMIT; limit < 70000; limit += 97) {
		fd_budget_t budget = fd_budget_share(limit);

		ck_assert_int_ge(budget.files, 64);
		ck_assert_int_ge(budget.listeners, 16);
		ck_assert_int_ge(budget.clients, 64);
		ck_assert_int_le(budget.files + budget.peers +
				     budget.listeners + budget.clients,
		    limit);
	}
}
END_TEST

/*
 * Load pattern: 3,000 workers announce themselves at six instances, the leader
 * waits for ends on a connection to each, and 300 entry instances are connected
 * to it.  Guards against a limit of 4,096 that is too small for them.
 */
START_TEST(holds_a_large_fleet)
{
	fd_budget_t budget = fd_budget_share(4096);

	ck_assert_int_ge(budget.listeners, 3000 / 6 + 32);
	ck_assert_int_ge(budget.clients, 3000 + 100);
	ck_assert_int_ge(budget.peers, 300 + 16);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fd_budget");
	TCase *tcase = tcase_create("fd_budget");

	tcase_add_test(tcase, shares_fit);
	tcase_add_test(tcase, holds_a_large_fleet);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
