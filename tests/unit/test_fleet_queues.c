#include <check.h>

#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Jobs whose queue is removed from the configuration. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define FILLER "00000000000000a2"
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

static bool
job_runs(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

static bool
filler_runs(void *ctx)
{
	return bed_running(ctx, FILLER) == 2;
}

static bool
is_completed(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_COMPLETED;
}

static bool
is_failed(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_FAILED;
}

/* Opens two workers; the job waits for a place while its queue is renamed. */
static void
open_renamed(bed_t *bed)
{
	bed_open(bed, 2, 8);
	bed_submit(bed, FILLER, "batch", 2, 8, false);
	WAIT(bed, filler_runs);
	bed_submit(bed, JOB, "batch", 1, 8, false);
	bed_replace_queues(bed, 2, "renamed");
}

/*
 * Guards against review/3: an accepted job never runs once a configuration
 * replaces its queue by one of another name; also after a change of leader and
 * further configurations.
 */
START_TEST(job_of_a_removed_queue_runs)
{
	bed_t bed;

	open_renamed(&bed);
	for (uint64_t number = 3; number < 3 + (uint64_t)_i; number++)
		bed_replace_queues(&bed, number, "other");
	if (_i > 0)
		bed_restart_fleet(&bed);
	bed_end_tasks(&bed, FILLER, RUN_DONE);
	WAIT(&bed, job_runs);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/* Guards against a job that fails for ever as its queue's limit is gone. */
START_TEST(attempts_of_a_removed_queue_are_limited)
{
	bed_t bed;

	open_renamed(&bed);
	bed_end_tasks(&bed, FILLER, RUN_DONE);
	for (int attempt = 0; attempt < 2; attempt++) {
		WAIT(&bed, job_runs);
		bed_end_tasks(&bed, JOB, RUN_FAILED);
		if (attempt == 0)
			bed_run_for(&bed, 100);
	}
	WAIT(&bed, is_failed);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet queues");
	TCase *tcase = tcase_create("fleet queues");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_loop_test(tcase, job_of_a_removed_queue_runs, 0, 3);
	tcase_add_test(tcase, attempts_of_a_removed_queue_are_limited);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
