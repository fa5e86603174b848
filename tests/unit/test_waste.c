#include <glib.h>

#include "common/counters.h"
#include "sched/waste.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* The work that is thrown away, by cause. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define OTHER "00000000000000a2"
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

/* Guards against stops whose cause an operator cannot see. */
START_TEST(causes_have_names)
{
	static const char *const reasons[] = {"preempted", "already_done",
	    "worker_draining", "cancelled", "failed", "broken", "no_room",
	    "lease_ended", "worker_restarted"};
	static const char *const expected[] = {"preempted", "superseded",
	    "drained", "cancelled", "failed", "gang_incomplete",
	    "start_refused", "lease", "worker_lost"};
	resources_t shape = {52000, 1000, 4};

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		ck_assert_str_eq(
		    waste_cause_name(waste_cause(reasons[i])), expected[i]);
	ck_assert_str_eq(waste_cause_name(waste_cause("")), "other");
	/* 52 cores and 4 accelerators of 8 cores each, 13 times, for 10 ms. */
	ck_assert_int_eq(waste_core_ms(&shape, 13, 10), 10920);
}
END_TEST

static int64_t
thrown_away(const char *what, const char *reason)
{
	char *name = g_strdup_printf(
	    "fleet_thrown_away_%s_total{reason=\"%s\"}", what, reason);
	int64_t value = counter_value(counter_get(name, ""));

	g_free(name);
	return value;
}

static bool
job_runs(void *ctx)
{
	return bed_running(ctx, JOB) == 4;
}

static bool
other_runs(void *ctx)
{
	return bed_running(ctx, OTHER) == 4;
}

static bool
all_are_counted(void *ctx)
{
	return thrown_away("tasks", "failed") == 4;
}

/*
 * Guards against work that is counted under another cause, and against counting
 * what a job has done that completed.
 */
START_TEST(preempted_and_broken_gangs_are_counted)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_runs);
	bed_run_for(&bed, 100);
	bed_submit(&bed, OTHER, "urgent", 4, 8, true);
	WAIT(&bed, other_runs);
	ck_assert_int_eq(thrown_away("tasks", "preempted"), 4);
	ck_assert_int_gt(thrown_away("core_ms", "preempted"), 0);
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	WAIT(&bed, job_runs);
	ck_assert_int_eq(thrown_away("tasks", "failed"), 0);
	bed_end_task(&bed, 0, RUN_FAILED);
	WAIT(&bed, all_are_counted);
	ck_assert_int_eq(thrown_away("tasks", "gang_incomplete"), 0);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("waste");
	TCase *tcase = tcase_create("waste");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, causes_have_names);
	tcase_add_test(tcase, preempted_and_broken_gangs_are_counted);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
