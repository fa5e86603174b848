#include <check.h>

#include "sched/fleet_private.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Starts that the ledger refuses, and starts that are large. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define NEXT_JOB "00000000000000a2"
/* More than unit_start_t has places, on two workers. */
#define LARGE_GANG (MAX_BATCH + 1)
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

static bool
job_runs(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

static bool
next_job_runs(void *ctx)
{
	return bed_running(ctx, NEXT_JOB) == 1;
}

static bool
is_given_up(void *ctx)
{
	const bed_t *bed = ctx;

	return bed->fleet->runs->len == 0;
}

static bool
is_completed(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_COMPLETED;
}

static bool
is_aborted(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_ABORTED;
}

static bool
large_gang_is_started(void *ctx)
{
	return bed_starts(ctx) >= LARGE_GANG;
}

/* Opens one worker whose task ends as done after it was given up as lost. */
static void
open_with_late_end(bed_t *bed)
{
	bed_open(bed, 1, 8);
	bed_submit(bed, JOB, "batch", 1, 8, false);
	WAIT(bed, job_runs);
	bed->workers[0].unreachable = true;
	bed_end_task(bed, 0, RUN_DONE);
	WAIT(bed, is_given_up);
}

/* Each run is known to the worker's accounts until its start is refused. */
static void
check_room_is_free(bed_t *bed)
{
	ck_assert_uint_eq(bed->fleet->runs->len, 0);
	bed_submit(bed, NEXT_JOB, "batch", 1, 8, false);
	WAIT(bed, next_job_runs);
}

/*
 * Guards against review/7: a late end and the next run of its unit are decided
 * together, and the run, whose start is refused, keeps its place for ever.
 */
START_TEST(late_end_frees_the_room_of_the_next_run)
{
	bed_t bed;

	open_with_late_end(&bed);
	bed.workers[0].unreachable = false;
	WAIT(&bed, is_completed);
	bed_run_for(&bed, 100);
	check_room_is_free(&bed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a run that keeps its place after its job was cancelled before
 * the start was committed.
 */
START_TEST(cancelled_job_frees_the_room_of_its_start)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	bed_cancel(&bed, JOB);
	WAIT(&bed, is_aborted);
	bed_run_for(&bed, 100);
	check_room_is_free(&bed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against review/6: a gang with more members than a start has places
 * ends all scheduling, as the leader steps down whenever it decides the start.
 */
START_TEST(large_gang_starts)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit_small(&bed, JOB, LARGE_GANG, true);
	bed_submit(&bed, NEXT_JOB, "batch", 1, 8, false);
	WAIT(&bed, next_job_runs);
	WAIT(&bed, large_gang_is_started);
	bed_close(&bed);
}
END_TEST

/* Guards against a new leader that does not know where a large gang runs. */
START_TEST(large_gang_is_adopted)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit_small(&bed, JOB, LARGE_GANG, true);
	WAIT(&bed, large_gang_is_started);
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 100);
	ck_assert_uint_eq(bed.fleet->runs->len, 1);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet starts");
	TCase *tcase = tcase_create("fleet starts");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, late_end_frees_the_room_of_the_next_run);
	tcase_add_test(tcase, cancelled_job_frees_the_room_of_its_start);
	tcase_add_test(tcase, large_gang_starts);
	tcase_add_test(tcase, large_gang_is_adopted);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
