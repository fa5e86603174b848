#include "sched/suspicion.h"
#include "tests/unit/runner.h"

/* Guards against a worker that keeps getting jobs and fails them all. */
START_TEST(failing_worker)
{
	suspicion_t suspicion = {0};

	ck_assert(!suspicion_record_failure(&suspicion, "a", false, 1000));
	ck_assert(suspicion_excludes_job(&suspicion, "a", 1000));
	ck_assert(!suspicion_excludes_job(&suspicion, "b", 1000));
	ck_assert(suspicion_record_failure(&suspicion, "b", false, 1100));
	ck_assert_int_eq(
	    suspicion_level(&suspicion, 1100), SUSPICION_QUARANTINE);
	ck_assert_int_eq(suspicion_level(&suspicion, 2100), SUSPICION_TRIAL);
	/* The trial fails: the next quarantine is twice as long. */
	ck_assert(suspicion_record_failure(&suspicion, "c", true, 2200));
	ck_assert_int_eq(
	    suspicion_level(&suspicion, 4199), SUSPICION_QUARANTINE);
	ck_assert_int_eq(suspicion_level(&suspicion, 4200), SUSPICION_TRIAL);
	suspicion_record_success(&suspicion, 4300);
	ck_assert_int_eq(suspicion_level(&suspicion, 4400), SUSPICION_NONE);
	ck_assert(!suspicion_record_failure(&suspicion, "d", false, 4500));
}
END_TEST

/* Guards against a healthy worker quarantined for jobs that fail anywhere. */
START_TEST(failing_jobs)
{
	suspicion_t suspicion = {0};

	for (int i = 0; i < 10; i++)
		ck_assert(!suspicion_record_failure(
		    &suspicion, "a", false, 1000 + i));
	ck_assert(!suspicion_record_failure(&suspicion, "b", true, 1100));
	suspicion_record_success(&suspicion, 1200);
	ck_assert(!suspicion_record_failure(&suspicion, "c", false, 1300));
	ck_assert_int_eq(suspicion_level(&suspicion, 1300), SUSPICION_NONE);
}
END_TEST

/* Guards against a run from before the fault that counts as recovery. */
START_TEST(success_from_before_failure)
{
	suspicion_t suspicion = {0};

	suspicion_record_failure(&suspicion, "a", false, 1000);
	suspicion_record_failure(&suspicion, "b", false, 1100);
	suspicion_record_success(&suspicion, 900);
	ck_assert_int_eq(
	    suspicion_level(&suspicion, 1200), SUSPICION_QUARANTINE);
}
END_TEST

/* Guards against a worker that stays in trial forever, and thus gets no gangs,
 * because no single task is waiting. */
START_TEST(trial_ends)
{
	suspicion_t suspicion = {0};

	suspicion_record_failure(&suspicion, "a", false, 1000);
	suspicion_record_failure(&suspicion, "b", false, 1100);
	ck_assert_int_eq(suspicion_level(&suspicion, 7099), SUSPICION_TRIAL);
	ck_assert_int_eq(suspicion_level(&suspicion, 7100), SUSPICION_NONE);
	ck_assert(suspicion_record_failure(&suspicion, "c", false, 7200));
}
END_TEST

/* Guards against a job that may never return to the only worker it fits. */
START_TEST(job_exclusion_ends)
{
	suspicion_t suspicion = {0};

	suspicion_record_failure(&suspicion, "a", false, 1000);
	ck_assert(suspicion_excludes_job(&suspicion, "a", 2999));
	ck_assert(!suspicion_excludes_job(&suspicion, "a", 3000));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("suspicion");
	TCase *tcase = tcase_create("suspicion");

	tcase_add_test(tcase, failing_worker);
	tcase_add_test(tcase, failing_jobs);
	tcase_add_test(tcase, success_from_before_failure);
	tcase_add_test(tcase, trial_ends);
	tcase_add_test(tcase, job_exclusion_ends);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
