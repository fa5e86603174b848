#include <check.h>

#include "common/clock.h"
#include "common/counters.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Why units wait: reasons, and jobs that stand still with ample room. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define FILLER "00000000000000a2"
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

static int64_t
waits_for(const char *reason)
{
	char *name =
	    g_strdup_printf("fleet_waits_total{reason=\"%s\"}", reason);
	int64_t value = counter_value(counter_get(name, ""));

	g_free(name);
	return value;
}

static bool
waits_for_room(void *ctx)
{
	return waits_for("room") > 0;
}

static bool
filler_runs(void *ctx)
{
	return bed_running(ctx, FILLER) == 2;
}

/* Guards against waits without a reason, and against a warning about a job that
 * waits because everything is in use. */
START_TEST(waits_for_free_room)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, FILLER, "batch", 2, 8, false);
	WAIT(&bed, filler_runs);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, waits_for_room);
	bed_run_for(&bed, 3500);
	ck_assert_int_eq(
	    counter_value(counter_get("fleet_stills_total", "")), 0);
	bed_close(&bed);
}
END_TEST

static bool
rack_is_full(void *ctx)
{
	return bed_running(ctx, FILLER) == 4;
}

static bool
job_runs(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

/*
 * Guards against the second record of issue 29 as far as it is understood: a
 * job waits for a place near its data while half of the workers are idle.
 */
START_TEST(idle_workers_beat_a_full_rack)
{
	int64_t start_ms;
	bed_t bed;

	bed_open(&bed, 8, 8);
	bed_submit_near(&bed, "r0", FILLER, "batch", 4, 8);
	WAIT(&bed, rack_is_full);
	bed_submit_near(&bed, "r0", JOB, "batch", 1, 8);
	start_ms = clock_mono_ms();
	/* Soon freed, the rack is worth waiting for. */
	bed_run_for(&bed, 1000);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	ck_assert_int_gt(waits_for("room"), 0);
	for (int i = 0; i < 40 && !job_runs(&bed); i++)
		bed_run_for(&bed, 50);
	ck_assert(job_runs(&bed));
	ck_assert_int_lt(clock_mono_ms() - start_ms, 3000);
	ck_assert_int_eq(
	    counter_value(counter_get("fleet_stills_total", "")), 0);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet waits");
	TCase *tcase = tcase_create("fleet waits");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, waits_for_free_room);
	tcase_add_test(tcase, idle_workers_beat_a_full_rack);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
