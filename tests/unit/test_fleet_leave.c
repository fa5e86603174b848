#include <check.h>

#include "common/clock.h"
#include "sched/fleet_private.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Workers that leave, with tasks that run on them. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))
/* A worker waits so long for the acknowledgement of a call. */
#define ACKNOWLEDGE_MS 1000

static bool
job_runs(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

static bool
is_completed(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_COMPLETED;
}

static bool
was_started_again(void *ctx)
{
	return bed_starts(ctx) > 1;
}

static void
on_departed(void *ctx, fleet_outcome_t outcome)
{
	ck_assert_int_eq(outcome, FLEET_OK);
	*(bool *)ctx = true;
}

static bool
is_set(void *ctx)
{
	return *(bool *)ctx;
}

static bed_worker_t *
busy_worker(bed_t *bed)
{
	for (size_t i = 0; i < bed->worker_count; i++) {
		if (bed->workers[i].tasks->len > 0)
			return &bed->workers[i];
	}
	ck_abort_msg("no worker is busy");
}

static void
leave(bed_t *bed, const bed_worker_t *worker, bool *departed)
{
	fleet_deregister(bed->fleet, worker->info.id, worker->info.born,
	    on_departed, departed);
}

/* Opens two workers and starts a job on one of them, which is returned. */
static bed_worker_t *
open_with_job(bed_t *bed)
{
	bed_open(bed, 2, 8);
	bed_submit(bed, JOB, "batch", 1, 8, false);
	WAIT(bed, job_runs);
	return busy_worker(bed);
}

/*
 * Guards against review/2: a task is started elsewhere while a worker that
 * leaves still runs it, because its connections are refused, as behind a cut.
 */
START_TEST(refused_connections_are_no_end)
{
	bool departed = false;
	bed_worker_t *worker;
	int64_t start_ms;
	bed_t bed;

	worker = open_with_job(&bed);
	/* Refused before it deregisters, or right after. */
	worker->refuses = _i == 0;
	if (_i == 0)
		bed_run_for(&bed, 50);
	start_ms = clock_mono_ms();
	leave(&bed, worker, &departed);
	worker->refuses = true;
	bed_run_for(&bed, BED_LEASE_MS / 2);
	ck_assert(!departed);
	ck_assert_int_eq(bed_starts(&bed), 1);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	/* It does not wait for the tasks longer than the worker waits for it.
	 */
	ck_assert(system_wait(bed.loop, is_set, &departed));
	ck_assert_int_lt(clock_mono_ms() - start_ms, ACKNOWLEDGE_MS);
	WAIT(&bed, was_started_again);
	ck_assert_int_ge(clock_mono_ms() - start_ms, BED_LEASE_MS);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against tasks that wait for the end of the lease though their worker
 * could be asked: they are stopped, and the worker is let go once they are.
 */
START_TEST(tasks_are_stopped_before_the_acknowledgement)
{
	bool departed = false;
	bed_worker_t *worker;
	bed_t bed;

	worker = open_with_job(&bed);
	leave(&bed, worker, &departed);
	ck_assert(system_wait(bed.loop, is_set, &departed));
	ck_assert_uint_eq(worker->tasks->len, 0);
	worker->refuses = true;
	WAIT(&bed, job_runs);
	ck_assert_int_eq(bed_starts(&bed), 2);
	ck_assert(!bed.duplicate_run);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a worker that stays unused because an earlier incarnation was
 * about to leave when it started.
 */
START_TEST(next_incarnation_is_used)
{
	bool departed = false;
	bed_worker_t *worker;
	size_t number;
	bed_t bed;

	worker = open_with_job(&bed);
	number = (size_t)(worker - bed.workers);
	worker->refuses = true;
	leave(&bed, worker, &departed);
	bed_run_for(&bed, 50);
	worker->refuses = false;
	bed_restart_worker(&bed, number);
	ck_assert(system_wait(bed.loop, is_set, &departed));
	/* The other one is lost: what runs, runs here. */
	bed.workers[1 - number].unreachable = true;
	bed_run_for(&bed, 3 * BED_LEASE_MS);
	bed_submit(&bed, "00000000000000a2", "batch", 1, 8, false);
	for (int i = 0; i < 40 && worker->tasks->len == 0; i++)
		bed_run_for(&bed, 50);
	ck_assert_uint_eq(worker->tasks->len, 1);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against review/4: a deregistration that was held up strikes out the
 * incarnation that has started under the ID since.
 */
START_TEST(late_deregistration_spares_the_next_incarnation)
{
	bool departed = false;
	uint64_t born;
	bed_t bed;

	bed_open(&bed, 1, 8);
	born = bed.workers[0].info.born;
	bed_restart_worker(&bed, 0);
	bed_run_for(&bed, 50);
	/* It names the incarnation that has ended, or none. */
	fleet_deregister(bed.fleet, bed.workers[0].info.id, _i == 0 ? born : 0,
	    on_departed, &departed);
	ck_assert(system_wait(bed.loop, is_set, &departed));
	for (int i = 0; i < 5; i++) {
		bed_announce(&bed, 0);
		bed_run_for(&bed, 50);
	}
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_runs);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/* Guards against a draining worker whose call names no incarnation. */
START_TEST(unnamed_deregistration_of_a_draining_worker)
{
	bool departed = false;
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed.workers[0].info.draining = true;
	bed_announce(&bed, 0);
	bed_run_for(&bed, 50);
	fleet_deregister(
	    bed.fleet, bed.workers[0].info.id, 0, on_departed, &departed);
	ck_assert(system_wait(bed.loop, is_set, &departed));
	bed_run_for(&bed, 50);
	ck_assert_uint_eq(g_hash_table_size(bed.fleet->workers), 0);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet leave");
	TCase *tcase = tcase_create("fleet leave");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_loop_test(tcase, refused_connections_are_no_end, 0, 2);
	tcase_add_test(tcase, tasks_are_stopped_before_the_acknowledgement);
	tcase_add_test(tcase, next_incarnation_is_used);
	tcase_add_loop_test(
	    tcase, late_deregistration_spares_the_next_incarnation, 0, 2);
	tcase_add_test(tcase, unnamed_deregistration_of_a_draining_worker);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
