#include <check.h>
#include <stdlib.h>

#include "policy/admission.h"

/* Guards against requests that wait although they can't be served in time,
 * and against refusals before anything is known. */
START_TEST(predicts_wait)
{
	admission_t admission = {0};

	ck_assert(admission_fits(&admission, LANE_SHORT, 1000, 8, 100, 10));
	for (int i = 0; i < 200; i++)
		admission_served(&admission, LANE_SHORT, 100);
	ck_assert_int_eq(
	    admission_wait_ms(&admission, LANE_SHORT, 80, 8), 1000);
	ck_assert(admission_fits(&admission, LANE_SHORT, 80, 8, 100, 1100));
	ck_assert(!admission_fits(&admission, LANE_SHORT, 80, 8, 100, 1099));
	ck_assert_int_eq(admission_wait_ms(&admission, LANE_BATCH, 80, 8), 0);
}
END_TEST

/* Guards against a prediction that stays at an old rate. */
START_TEST(follows_changes)
{
	admission_t admission = {0};

	for (int i = 0; i < 200; i++)
		admission_served(&admission, LANE_BATCH, 100);
	for (int i = 0; i < 100; i++)
		admission_served(&admission, LANE_BATCH, 1000);
	ck_assert_int_ge(admission_wait_ms(&admission, LANE_BATCH, 1, 1), 950);
}
END_TEST

/* Guards against refusing a request for an overstated declared time. */
START_TEST(declared_is_not_trusted)
{
	admission_t admission = {0};

	admission_served(&admission, LANE_BATCH, 50);
	ck_assert(admission_fits(&admission, LANE_BATCH, 0, 4, 3600000, 10000));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("admission");
	TCase *tcase = tcase_create("admission");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, predicts_wait);
	tcase_add_test(tcase, follows_changes);
	tcase_add_test(tcase, declared_is_not_trusted);
	suite_add_tcase(suite, tcase);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
