#include "sched/suspicion.h"
#include "tests/unit/runner.h"

/* Guards against a worker that draws one job after another and fails them. */
START_TEST(failing_worker)
{
	suspicion_t suspicion = {0};

	ck_assert(!suspicion_failed(&suspicion, "a", false, 1000));
	ck_assert(suspicion_bars(&suspicion, "a", 1000));
	ck_assert(!suspicion_bars(&suspicion, "b", 1000));
	ck_assert(suspicion_failed(&suspicion, "b", false, 1100));
	ck_assert_int_eq(
	    suspicion_level(&suspicion, 1100), SUSPICION_QUARANTINE);
	ck_assert_int_eq(suspicion_level(&suspicion, 2100), SUSPICION_TRIAL);
	/* The trial fails: the next quarantine is twice as long. */
	ck_assert(suspicion_failed(&suspicion, "c", true, 2200));
	ck_assert_int_eq(
	    suspicion_level(&suspicion, 4199), SUSPICION_QUARANTINE);
	ck_assert_int_eq(suspicion_level(&suspicion, 4200), SUSPICION_TRIAL);
	suspicion_succeeded(&suspicion, 4300);
	ck_assert_int_eq(suspicion_level(&suspicion, 4400), SUSPICION_NONE);
	ck_assert(!suspicion_failed(&suspicion, "d", false, 4500));
}
END_TEST

/* Guards against a sound worker that is blamed for jobs which fail anywhere. */
START_TEST(failing_jobs)
{
	suspicion_t suspicion = {0};

	for (int i = 0; i < 10; i++)
		ck_assert(!suspicion_failed(&suspicion, "a", false, 1000 + i));
	ck_assert(!suspicion_failed(&suspicion, "b", true, 1100));
	suspicion_succeeded(&suspicion, 1200);
	ck_assert(!suspicion_failed(&suspicion, "c", false, 1300));
	ck_assert_int_eq(suspicion_level(&suspicion, 1300), SUSPICION_NONE);
}
END_TEST

/* Guards against work from before the fault that passes for a recovery. */
START_TEST(older_work_ends)
{
	suspicion_t suspicion = {0};

	suspicion_failed(&suspicion, "a", false, 1000);
	suspicion_failed(&suspicion, "b", false, 1100);
	suspicion_succeeded(&suspicion, 900);
	ck_assert_int_eq(
	    suspicion_level(&suspicion, 1200), SUSPICION_QUARANTINE);
}
END_TEST

/* Guards against a worker that stays unused where no single task waits, as a
 * gang is no trial. */
START_TEST(trial_ends)
{
	suspicion_t suspicion = {0};

	suspicion_failed(&suspicion, "a", false, 1000);
	suspicion_failed(&suspicion, "b", false, 1100);
	ck_assert_int_eq(suspicion_level(&suspicion, 7099), SUSPICION_TRIAL);
	ck_assert_int_eq(suspicion_level(&suspicion, 7100), SUSPICION_NONE);
	ck_assert(suspicion_failed(&suspicion, "c", false, 7200));
}
END_TEST

/* Guards against a job that never comes back to the only worker it fits on. */
START_TEST(bar_ends)
{
	suspicion_t suspicion = {0};

	suspicion_failed(&suspicion, "a", false, 1000);
	ck_assert(suspicion_bars(&suspicion, "a", 2999));
	ck_assert(!suspicion_bars(&suspicion, "a", 3000));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("suspicion");
	TCase *tcase = tcase_create("suspicion");

	tcase_add_test(tcase, failing_worker);
	tcase_add_test(tcase, failing_jobs);
	tcase_add_test(tcase, older_work_ends);
	tcase_add_test(tcase, trial_ends);
	tcase_add_test(tcase, bar_ends);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
