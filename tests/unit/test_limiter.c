#include <check.h>
#include <stdlib.h>

#include "policy/limiter.h"
#include "tests/unit/runner.h"

/* Guards against a rate or a burst above or below the configured one. */
START_TEST(rate_and_burst)
{
	limiter_t *limiter = limiter_create();
	int taken = 0;

	for (int i = 0; i < 50; i++)
		taken += limiter_take(limiter, "a", 100, 20, 1000) == 0;
	ck_assert_int_eq(taken, 20);
	ck_assert_int_eq(limiter_take(limiter, "a", 100, 20, 1000), 10);
	ck_assert_int_eq(limiter_take(limiter, "a", 100, 20, 1005), 5);
	ck_assert_int_eq(limiter_take(limiter, "a", 100, 20, 1010), 0);
	taken = 0;
	for (int64_t now = 1011; now <= 3010; now++)
		taken += limiter_take(limiter, "a", 100, 20, now) == 0;
	ck_assert_int_eq(taken, 200);
	limiter_destroy(limiter);
}
END_TEST

/* Guards against tenants that share a bucket. */
START_TEST(separate_buckets)
{
	limiter_t *limiter = limiter_create();

	ck_assert_int_eq(limiter_take(limiter, "a", 1, 1, 0), 0);
	ck_assert_int_gt(limiter_take(limiter, "a", 1, 1, 0), 0);
	ck_assert_int_eq(limiter_take(limiter, "b", 1, 1, 0), 0);
	limiter_destroy(limiter);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("limiter");
	TCase *tcase = tcase_create("limiter");

	tcase_add_test(tcase, rate_and_burst);
	tcase_add_test(tcase, separate_buckets);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
