#include <check.h>

#include "sched/restart_delay.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Back-off of long-running tasks that end by themselves. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define NOW_MS 1000

/* Returns the delay after an end. */
static int64_t
delay_after(restart_delay_t *delay, int64_t worked_ms, double jitter)
{
	restart_delay_after_end(delay, worked_ms, NOW_MS, jitter);
	return delay->until_ms > 0 ? delay->until_ms - NOW_MS : 0;
}

/* Guards against a single fault that keeps a task away. */
START_TEST(single_end_costs_no_time)
{
	restart_delay_t delay = {0};

	ck_assert_int_eq(delay_after(&delay, 10, 0), 0);
	ck_assert_int_eq(delay_after(&delay, RESTART_STEADY_MS, 0), 0);
}
END_TEST

START_TEST(delay_grows_to_its_bound)
{
	restart_delay_t delay = {0};

	delay_after(&delay, 10, 0);
	ck_assert_int_eq(delay_after(&delay, 10, 0), 3000);
	for (int i = 0; i < 5; i++)
		ck_assert_int_eq(
		    delay_after(&delay, 10, 0), RESTART_MAX_DELAY_MS);
	ck_assert_int_eq(delay_after(&delay, 10, 1), 4000);
	ck_assert_int_eq(delay_after(&delay, RESTART_STEADY_MS, 0), 0);
}
END_TEST

/*
 * Guards against starts without end of a task that fails as soon as it is
 * there: they take the starts of everybody else.
 */
START_TEST(crash_loop_is_slowed_down)
{
	bed_t bed;

	bed_open(&bed, BED_MAX_WORKERS, 8);
	for (size_t i = 0; i < bed.worker_count; i++)
		bed.workers[i].fails_tasks = true;
	bed_submit_long_running(&bed, JOB, 1);
	bed_run_for(&bed, 2000);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_run_for(&bed, 2000);
	ck_assert_int_eq(bed_starts(&bed), 3);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("restart_delay");
	TCase *tcase = tcase_create("delays");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, single_end_costs_no_time);
	tcase_add_test(tcase, delay_grows_to_its_bound);
	tcase_add_test(tcase, crash_loop_is_slowed_down);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
