#include <check.h>

#include "common/clock.h"
#include "common/counters.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/*
 * The fleet and workers that restart under their ID.  An order names the
 * worker by its ID only, so one that was sent to an earlier incarnation and got
 * no answer may be executed by a later one, which knows of no run, no stop and
 * no fencing token.
 */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define OTHER "00000000000000a2"
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

static bool
job_has_1_task(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

static bool
job_has_2_tasks(void *ctx)
{
	return bed_running(ctx, JOB) == 2;
}

static bool
is_completed(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_COMPLETED;
}

/* Returns the worker with the highest number that runs a task. */
static size_t
last_busy_worker(const bed_t *bed)
{
	size_t worker = bed->worker_count;

	while (worker > 0 && bed->workers[worker - 1].tasks->len == 0)
		worker--;
	ck_assert_uint_gt(worker, 0);
	return worker - 1;
}

/*
 * Submits a job whose first starts get no answer and are repeated; the copies
 * of the starts are delayed.
 */
static void
submit_with_delayed_starts(bed_t *bed, int tasks)
{
	for (size_t i = 0; i < bed->worker_count; i++)
		bed->workers[i].delayed_starts = 1;
	bed_submit(bed, JOB, "batch", tasks, 8, tasks > 1);
	WAIT(bed, tasks > 1 ? job_has_2_tasks : job_has_1_task);
	for (size_t i = 0; i < bed->worker_count; i++)
		bed->workers[i].delayed_starts = 0;
}

/*
 * Restarts a worker that drains afterwards, so that the unit's next run is on
 * other workers.
 */
static void
restart_and_drain(bed_t *bed, size_t worker)
{
	bed->workers[worker].info.draining = true;
	bed_restart_worker(bed, worker);
}

/*
 * Guards against two runs of a task at once: a start without an answer was
 * repeated, its worker restarts, the task is started elsewhere, and the new
 * incarnation executes the first copy of the start.
 */
START_TEST(delayed_start_in_next_incarnation)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	submit_with_delayed_starts(&bed, 1);
	restart_and_drain(&bed, last_busy_worker(&bed));
	WAIT(&bed, job_has_1_task);
	bed_deliver_delayed(&bed);
	ck_assert(!bed.duplicate_run);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against review/5: a task is given up with the lease of its worker,
 * which is cut off and restarts; its first start, without an answer, is carried
 * out by the new incarnation while the task runs elsewhere.
 */
START_TEST(delayed_start_behind_a_cut)
{
	bed_worker_t *worker;
	size_t number;
	bed_t bed;

	bed_open(&bed, 2, 8);
	submit_with_delayed_starts(&bed, 1);
	number = last_busy_worker(&bed);
	worker = &bed.workers[number];
	worker->unreachable = true;
	bed_run_for(&bed, BED_LEASE_MS / 2);
	bed_restart_worker_unannounced(&bed, number);
	bed_run_for(&bed, 3 * BED_LEASE_MS);
	bed_deliver_delayed(&bed);
	ck_assert_int_eq(worker->starts, 2);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	ck_assert(!bed.duplicate_run);
	worker->unreachable = false;
	bed_announce(&bed, number);
	bed_run_for(&bed, BED_LEASE_MS);
	WAIT(&bed, job_has_1_task);
	ck_assert(!bed.duplicate_run);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/* Ends the job's task and returns how many ends are not acknowledged later. */
static guint
ends_left_after_success(bed_t *bed, int64_t ms)
{
	bed_end_tasks(bed, JOB, RUN_DONE);
	WAIT(bed, is_completed);
	bed_run_for(bed, ms);
	return bed->workers[0].ends->len;
}

/*
 * Guards against review/10: the end of a task is acknowledged while a start
 * without an answer may still be carried out by the next incarnation of its
 * worker, after the success.
 */
START_TEST(end_is_kept_while_a_start_may_come)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	submit_with_delayed_starts(&bed, 1);
	ck_assert_uint_eq(ends_left_after_success(&bed, 3 * BED_LEASE_MS), 1);
	bed_close(&bed);
}
END_TEST

/*
 * Ends are acknowledged at once if all starts were answered, or if the only
 * start was carried out and its answer lost.
 */
START_TEST(end_is_acknowledged)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed.workers[0].drops_start_answers = _i == 1;
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	bed_run_for(&bed, BED_LEASE_MS / 8);
	ck_assert_uint_eq(ends_left_after_success(&bed, BED_LEASE_MS), 0);
	bed_close(&bed);
}
END_TEST

/* Same for one member of a gang, whose other members are stopped. */
START_TEST(delayed_start_of_gang_in_next_incarnation)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	submit_with_delayed_starts(&bed, 2);
	restart_and_drain(&bed, last_busy_worker(&bed));
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	WAIT(&bed, job_has_2_tasks);
	bed_deliver_delayed(&bed);
	ck_assert(!bed.duplicate_run);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/* Same when the leader changes before it learns of the restart. */
START_TEST(delayed_start_after_leader_change)
{
	bed_t bed;
	size_t worker;

	bed_open(&bed, 2, 8);
	submit_with_delayed_starts(&bed, 1);
	worker = last_busy_worker(&bed);
	bed.workers[worker].info.draining = true;
	bed_restart_worker_unannounced(&bed, worker);
	bed_restart_fleet(&bed);
	WAIT(&bed, job_has_1_task);
	bed_deliver_delayed(&bed);
	ck_assert(!bed.duplicate_run);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a new leader that takes the end of the lease for the end of
 * the starts of the one before: a cut-off worker restarts, and carries out one
 * of them while the task runs elsewhere.
 */
START_TEST(delayed_start_behind_a_cut_and_a_leader_change)
{
	bed_worker_t *worker;
	size_t number;
	bed_t bed;

	bed_open(&bed, 2, 8);
	submit_with_delayed_starts(&bed, 1);
	number = last_busy_worker(&bed);
	worker = &bed.workers[number];
	worker->unreachable = true;
	bed_restart_fleet(&bed);
	bed_run_for(&bed, BED_LEASE_MS / 2);
	bed_restart_worker_unannounced(&bed, number);
	bed_run_for(&bed, 8 * BED_LEASE_MS);
	bed_deliver_delayed(&bed);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	ck_assert(!bed.duplicate_run);
	worker->unreachable = false;
	bed_announce(&bed, number);
	bed_run_for(&bed, BED_LEASE_MS);
	WAIT(&bed, job_has_1_task);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

static bool
poll_is_delayed(void *ctx)
{
	return ((bed_t *)ctx)->delayed_orders.length > 0;
}

static bool
other_has_1_task(void *ctx)
{
	return bed_running(ctx, OTHER) == 1;
}

static bool
other_is_completed(void *ctx)
{
	return bed_state(ctx, OTHER) == BATCH_STATE_COMPLETED;
}

/*
 * Guards against a task that runs again after it was done: a poll that was sent
 * to an earlier incarnation acknowledges an end of the next one, which the
 * leader has not read.
 */
START_TEST(delayed_poll_in_next_incarnation)
{
	bed_worker_t *worker;
	int starts;
	bed_t bed;

	bed_open(&bed, 1, 8);
	worker = &bed.workers[0];
	bed_submit(&bed, JOB, "batch", 2, 1, false);
	WAIT(&bed, job_has_2_tasks);
	bed_end_task(&bed, 0, RUN_DONE);
	WAIT(&bed, job_has_1_task);
	bed_run_for(&bed, 50);
	worker->delayed_polls = 1;
	WAIT(&bed, poll_is_delayed);
	bed_restart_worker(&bed, 0);
	bed_cancel(&bed, JOB);
	bed_submit(&bed, OTHER, "batch", 1, 8, false);
	WAIT(&bed, other_has_1_task);
	starts = bed_starts(&bed);
	worker->unreachable = true;
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	bed_deliver_delayed(&bed);
	ck_assert_int_eq(bed.fenced_orders, 1);
	worker->unreachable = false;
	WAIT(&bed, other_is_completed);
	ck_assert_int_eq(bed_starts(&bed), starts);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a refusal of a later copy of a start that ends a member which
 * a poll has listed as running in the meantime.
 */
START_TEST(refused_copy_of_running_task)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	for (size_t i = 0; i < 2; i++)
		bed.workers[i].delayed_starts = 1;
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	while (bed.delayed_orders.length == 0)
		bed_run_for(&bed, 1);
	for (size_t i = 0; i < 2; i++) {
		bed.workers[i].slow_refusals =
		    bed.workers[i].delayed_starts == 0;
		bed.workers[i].delayed_starts = 0;
	}
	/* The first copy times out after 120 ms; the second is in flight. */
	bed_run_for(&bed, 200);
	bed_deliver_delayed(&bed);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	bed_run_for(&bed, 400);
	ck_assert(!bed.duplicate_run);
	ck_assert_int_eq(bed_starts(&bed), 1);
	bed_close(&bed);
}
END_TEST

/*
 * Same for a new leader, whose first start of a run that the leader before has
 * started is refused by a busy worker after a poll has listed the task.
 */
START_TEST(refused_start_of_new_leader)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	bed_run_for(&bed, 50);
	bed.workers[last_busy_worker(&bed)].slow_refusals = true;
	bed.poll_delay_ms = 80;
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 1000);
	ck_assert(!bed.duplicate_run);
	ck_assert_int_eq(bed_starts(&bed), 1);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against stops of sound runs after a leader change, because the ledger
 * was not told of a restart that a poll showed first.
 */
START_TEST(leader_change_after_restart_shown_by_poll)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, OTHER, "batch", 1, 1, false);
	while (bed_running(&bed, NULL) == 0)
		bed_run_for(&bed, 1);
	bed_restart_worker_unannounced(&bed, 0);
	bed_run_for(&bed, 500);
	bed_announce(&bed, 0);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	WAIT(&bed, job_has_1_task);
	bed_run_for(&bed, 300);
	bed.workers[0].stops = 0;
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 500);
	ck_assert_int_eq(bed.workers[0].stops, 0);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a start without an answer that is executed by the next
 * incarnation after the run has ended and the end was acknowledged.
 */
START_TEST(delayed_start_after_end)
{
	bed_t bed;
	size_t worker;

	bed_open(&bed, 2, 8);
	submit_with_delayed_starts(&bed, 1);
	worker = last_busy_worker(&bed);
	bed_run_for(&bed, 50);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_run_for(&bed, 100);
	restart_and_drain(&bed, worker);
	bed_run_for(&bed, 200);
	bed_deliver_delayed(&bed);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	bed_close(&bed);
}
END_TEST

/* Same, stopped on its first worker and in progress on another one. */
START_TEST(delayed_start_after_stop)
{
	bed_t bed;
	size_t worker;

	bed_open(&bed, 2, 8);
	submit_with_delayed_starts(&bed, 1);
	worker = last_busy_worker(&bed);
	bed_run_for(&bed, 50);
	bed.workers[worker].info.draining = true;
	bed_announce(&bed, worker);
	bed_run_for(&bed, 50);
	bed_end_tasks(&bed, JOB, RUN_STOPPED);
	WAIT(&bed, job_has_1_task);
	ck_assert_uint_ne(last_busy_worker(&bed), worker);
	bed_run_for(&bed, 50);
	bed_restart_worker(&bed, worker);
	bed_run_for(&bed, 200);
	bed_deliver_delayed(&bed);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/*
 * Setting: orders reach only worker _i, though the announcements of all arrive,
 * when a new leader takes over. Guards against a task that is placed on one of
 * the others, where it is lost until its lease has ended.
 */
START_TEST(new_leader_waits_for_first_poll)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	for (int i = 0; i < 4; i++)
		bed.workers[i].unreachable = i != _i;
	bed.poll_delay_ms = 200;
	bed_restart_fleet(&bed);
	bed_submit(&bed, JOB, "urgent", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	ck_assert_int_eq(bed.workers[_i].starts, 1);
	ck_assert_int_eq(counter_value(counter_get("fleet_starts_total", "")),
	    bed.workers[_i].starts);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet_restarts");
	TCase *tcase = tcase_create("fleet_restarts");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, delayed_start_in_next_incarnation);
	tcase_add_test(tcase, delayed_start_behind_a_cut);
	tcase_add_test(tcase, end_is_kept_while_a_start_may_come);
	tcase_add_loop_test(tcase, end_is_acknowledged, 0, 2);
	tcase_add_test(tcase, delayed_start_of_gang_in_next_incarnation);
	tcase_add_test(tcase, delayed_start_after_leader_change);
	tcase_add_test(tcase, delayed_poll_in_next_incarnation);
	tcase_add_test(tcase, refused_copy_of_running_task);
	tcase_add_test(tcase, refused_start_of_new_leader);
	tcase_add_test(tcase, leader_change_after_restart_shown_by_poll);
	tcase_add_test(tcase, delayed_start_after_end);
	tcase_add_test(tcase, delayed_start_after_stop);
	tcase_add_loop_test(tcase, new_leader_waits_for_first_poll, 0, 4);
	tcase_add_test(tcase, delayed_start_behind_a_cut_and_a_leader_change);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
