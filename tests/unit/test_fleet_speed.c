#include <glib.h>

#include "common/clock.h"
#include "common/counters.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/*
 * A fleet of which one worker is slow.  Load pattern: tasks of equal length on
 * all workers, then tasks whose objective a slow worker misses.
 */

#define TEST_TIMEOUT_S 60
#define WORKERS 8
#define SLOW 7 /* index of the slow worker */
#define ACCELERATORS 8
#define TASK_MS 1200
/* At least that of sched/fleet_speed.c. */
#define FIT_INTERVAL_MS 600
#define JOB "00000000000000aa"
#define FIRST "00000000000000dd"
#define PROMPT "00000000000000bb"
#define LAST "00000000000000cc"

#define WAIT(bed, met) ck_assert(system_wait((bed)->loop, (met), (bed)))

static int
slow_workers(void)
{
	return (int)counter_value(gauge_get("fleet_slow_workers", ""));
}

static bool
all_run(void *ctx)
{
	return bed_running(ctx, JOB) == WORKERS * ACCELERATORS;
}

/* Tasks whose lease lapsed on a busy machine run again: these end too. */
static bool
job_ended(void *ctx)
{
	bed_end_tasks(ctx, JOB, RUN_DONE);
	return bed_state(ctx, JOB) == BATCH_STATE_COMPLETED;
}

static bool
first_runs(void *ctx)
{
	return bed_running(ctx, FIRST) == 1;
}

static bool
others_are_full(void *ctx)
{
	return bed_running(ctx, PROMPT) == WORKERS - 1;
}

static bool
last_runs(void *ctx)
{
	return bed_running(ctx, LAST) == 1;
}

static void
end_on(bed_t *bed, int worker)
{
	while (bed->workers[worker].tasks->len > 0)
		bed_end_task(bed, (size_t)worker, RUN_DONE);
}

/* Fills the workers with tasks; one takes twice as long for them. */
static void
learn(bed_t *bed)
{
	bed_open(bed, WORKERS, ACCELERATORS);
	/* Only ends tell the progress. */
	for (int w = 0; w < WORKERS; w++)
		bed->workers[w].percent = 0;
	bed_submit(bed, JOB, "batch", WORKERS * ACCELERATORS, 1, false);
	WAIT(bed, all_run);
	bed_run_for(bed, TASK_MS);
	for (int w = 0; w < WORKERS; w++) {
		if (w != SLOW)
			end_on(bed, w);
	}
	bed_run_for(bed, TASK_MS);
	end_on(bed, SLOW);
	WAIT(bed, job_ended);
	/* A planning round, which estimates the speeds. */
	bed_run_for(bed, FIT_INTERVAL_MS);
	bed_submit(bed, FIRST, "batch", 1, 1, false);
	WAIT(bed, first_runs);
	bed_end_tasks(bed, FIRST, RUN_DONE);
	bed_submit(bed, PROMPT, "prompt", WORKERS - 1, ACCELERATORS, false);
	WAIT(bed, others_are_full);
}

/*
 * Guards against work on a slow worker while others are free, and against work
 * that waits for ever because only a slow one is left.
 */
START_TEST(slow_worker_is_last)
{
	bed_t bed;

	learn(&bed);
	ck_assert_int_eq(slow_workers(), 1);
	ck_assert_uint_eq(bed.workers[SLOW].tasks->len, 0);
	bed_submit(&bed, LAST, "prompt", 1, ACCELERATORS, false);
	WAIT(&bed, last_runs);
	ck_assert_uint_eq(bed.workers[SLOW].tasks->len, 1);
	bed_close(&bed);
}
END_TEST

/* Guards against a worker that is blamed for its previous incarnation. */
START_TEST(restart_forgets)
{
	bed_t bed;

	learn(&bed);
	ck_assert_int_eq(slow_workers(), 1);
	bed_restart_worker(&bed, SLOW);
	bed_submit(&bed, LAST, "prompt", 1, ACCELERATORS, false);
	WAIT(&bed, last_runs);
	ck_assert_int_eq(slow_workers(), 0);
	bed_close(&bed);
}
END_TEST

/*
 * Failure: the leader is replaced.  Guards against estimates that outlive what
 * they were made from.
 */
START_TEST(new_leader_learns_anew)
{
	bed_t bed;

	learn(&bed);
	ck_assert_int_eq(slow_workers(), 1);
	bed_restart_fleet(&bed);
	ck_assert_int_eq(slow_workers(), 0);
	bed_submit(&bed, LAST, "prompt", 1, ACCELERATORS, false);
	WAIT(&bed, last_runs);
	ck_assert_int_eq(slow_workers(), 0);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet_speed");
	TCase *tcase = tcase_create("fleet_speed");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, slow_worker_is_last);
	tcase_add_test(tcase, restart_forgets);
	tcase_add_test(tcase, new_leader_learns_anew);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
