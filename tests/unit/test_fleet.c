#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

#define TEST_TIMEOUT_S 120
#define JOB "00000000000000aa"
#define OTHER "00000000000000bb"
#define THIRD "00000000000000cc"

/* POLL_TIMEOUT_UNREACHABLE_MS of sched/fleet_polls.c */
#define UNREACHABLE_POLL_TIMEOUT_MS 300

#define WAIT(bed, met) ck_assert(system_wait((bed)->loop, (met), (bed)))

static bool
job_has_4_tasks(void *ctx)
{
	return bed_running(ctx, JOB) == 4;
}

static bool
job_has_1_task(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
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

static bool
nothing_runs(void *ctx)
{
	return bed_running(ctx, NULL) == 0;
}

static bool
one_task_runs(void *ctx)
{
	return bed_running(ctx, NULL) == 1;
}

static bool
other_has_4_tasks(void *ctx)
{
	return bed_running(ctx, OTHER) == 4;
}

/* Guards against a gang that is started in part, or whose end is not seen. */
START_TEST(gang_completes)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	ck_assert_int_eq(bed_state(&bed, JOB), BATCH_STATE_ACTIVE);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	ck_assert_int_eq(bed_starts(&bed), 4);
	bed_close(&bed);
}
END_TEST

static int64_t
recorded(const char *name)
{
	return histogram_count(histogram_get(name, ""));
}

/* Guards against waits that on-call engineers cannot see in the metrics. */
START_TEST(latencies_are_recorded)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_submit(&bed, OTHER, "urgent", 4, 8, true);
	WAIT(&bed, other_has_4_tasks);
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	WAIT(&bed, job_has_4_tasks);
	/* The second start of the first job is not a first start. */
	ck_assert_int_eq(
	    recorded("fleet_first_start_seconds{urgent=\"no\"}"), 1);
	ck_assert_int_eq(
	    recorded("fleet_first_start_seconds{urgent=\"yes\"}"), 1);
	/* Three times 4 starts; stops count too. */
	ck_assert_int_ge(recorded("fleet_order_seconds"), 12);
	bed_close(&bed);
}
END_TEST

/* Guards against a gang of which only a part fits and is started. */
START_TEST(gang_waits_for_room)
{
	bed_t bed;

	bed_open(&bed, 3, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	bed_run_for(&bed, 200);
	ck_assert_int_eq(bed_starts(&bed), 0);
	ck_assert_int_eq(bed_state(&bed, JOB), BATCH_STATE_PENDING);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a duplicate run of a task whose start got no answer: the same
 * run is resent, and the worker accepts it as already started.
 */
START_TEST(lost_start_answer)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	for (int i = 0; i < 4; i++)
		bed.workers[i].drops_start_answers = true;
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_run_for(&bed, 300);
	for (int i = 0; i < 4; i++)
		bed.workers[i].drops_start_answers = false;
	bed_run_for(&bed, 200);
	ck_assert_int_eq(bed_running(&bed, JOB), 4);
	ck_assert_int_eq(bed_starts(&bed), 4);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against two runs of a task at once: an unreachable worker runs its
 * task until its lease has expired.
 */
START_TEST(unreachable_worker_keeps_task)
{
	bed_t bed;
	int64_t cut_ms;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	for (int i = 0; i < 2; i++)
		bed.workers[i].unreachable = bed.workers[i].tasks->len > 0;
	cut_ms = clock_mono_ms();
	bed_run_for(&bed, 50);
	while (bed_starts(&bed) < 2 && clock_mono_ms() < cut_ms + 20000)
		bed_run_for(&bed, 5);
	ck_assert_int_eq(bed_starts(&bed), 2);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/*
 * Setting: workers are unreachable for almost as long as their lease.
 * Guards against a reconnect that is noticed only after the lease has expired,
 * because an earlier poll that has not timed out delays the next one.
 */
START_TEST(unreachable_poll_timeout_is_short)
{
	bed_t bed;
	int unreachable;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	unreachable = bed.workers[0].tasks->len > 0 ? 0 : 1;
	bed.workers[unreachable].unreachable = true;
	while (bed.workers[unreachable].unanswered_polls < 2)
		bed_run_for(&bed, 5);
	ck_assert_int_gt(bed.workers[unreachable].max_poll_timeout_ms, 0);
	ck_assert_int_le(bed.workers[unreachable].max_poll_timeout_ms,
	    UNREACHABLE_POLL_TIMEOUT_MS);
	bed.workers[unreachable].unreachable = false;
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a third start after an end "done" was seen: an unreachable
 * worker completes its task, the task is started elsewhere, and the end is
 * listed after the reconnect. The second run is then stopped.
 */
START_TEST(done_reported_after_reconnect)
{
	bed_t bed;
	int unreachable;
	int starts;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	unreachable = bed.workers[0].tasks->len > 0 ? 0 : 1;
	bed.workers[unreachable].unreachable = true;
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, job_has_1_task);
	starts = bed_starts(&bed);
	bed.workers[unreachable].unreachable = false;
	WAIT(&bed, is_completed);
	WAIT(&bed, nothing_runs);
	ck_assert_int_eq(bed_starts(&bed), starts);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against placing a unit on a worker whose incarnation is known to have
 * ended: its resources look free until the worker is removed.
 */
START_TEST(ended_incarnation_gets_no_start)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	bed_submit(&bed, OTHER, "batch", 1, 8, false);
	bed.workers[0].answers_as_other_incarnation = true;
	bed_run_for(&bed, 400);
	ck_assert_int_eq(bed.workers[0].wrong_incarnation_starts, 0);
	bed.workers[0].answers_as_other_incarnation = false;
	bed_restart_worker(&bed, 0);
	WAIT(&bed, one_task_runs);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

static bool
all_have_started(void *ctx)
{
	return bed_starts(ctx) >= 60;
}

/*
 * Guards against treating a task as lost because a poll sent just before its
 * start does not list it. The answer of the poll arrives after that of the
 * start, in the same millisecond.
 */
START_TEST(stale_poll)
{
	bed_t bed;
	char id[17];

	bed_open(&bed, 1, 8);
	bed.stale_polls = true;
	for (int i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		bed_submit(&bed, id, "batch", 1, 1, false);
		bed_run_for(&bed, 4);
		if (i % 6 == 5) {
			bed_end_tasks(&bed, NULL, RUN_DONE);
			bed_run_for(&bed, 10);
		}
	}
	WAIT(&bed, all_have_started);
	bed_run_for(&bed, 20);
	ck_assert(!bed.duplicate_run);
	ck_assert_int_eq(bed_starts(&bed), 60);
	bed_close(&bed);
}
END_TEST

/* Guards against waiting for the lease of a restarted worker to expire. */
START_TEST(restarted_worker_gets_new_run)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	bed_restart_worker(&bed, 0);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	WAIT(&bed, job_has_1_task);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a new leader that restarts running tasks instead of adopting
 * the runs that the workers list.
 */
START_TEST(new_leader_adopts_runs)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 700);
	ck_assert_int_eq(bed_running(&bed, JOB), 4);
	ck_assert_int_eq(bed_starts(&bed), 4);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/* Guards against losing an end because the leader failed before its commit. */
START_TEST(new_leader_reads_ends)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	/* Lose the poll in flight. */
	while (bed.orders.length == 0)
		bed_run_for(&bed, 1);
	bed_drop_orders(&bed);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	bed_restart_fleet(&bed);
	WAIT(&bed, is_completed);
	ck_assert_int_eq(bed_starts(&bed), 1);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a member that holds resources for good: its start is lost, and
 * another member of the gang ends "done". It gets no further start but a stop.
 */
START_TEST(lost_start_of_done_gang)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed.workers[1].loses_starts = true;
	bed_submit(&bed, JOB, "batch", 2, 8, true);
	WAIT(&bed, job_has_1_task);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed.workers[1].loses_starts = false;
	bed_run_for(&bed, 400);
	ck_assert_int_eq(bed.workers[1].starts, 0);
	ck_assert_int_eq(bed.workers[1].stops, 1);
	bed_close(&bed);
}
END_TEST

/* Guards against more attempts than the queue allows. */
START_TEST(attempts_are_limited)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	WAIT(&bed, job_has_1_task);
	bed_end_tasks(&bed, JOB, RUN_FAILED);
	WAIT(&bed, job_has_1_task);
	bed_end_tasks(&bed, JOB, RUN_FAILED);
	WAIT(&bed, is_failed);
	bed_run_for(&bed, 100);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_close(&bed);
}
END_TEST

static bool
three_run(void *ctx)
{
	return bed_running(ctx, NULL) == 3;
}

/*
 * Setting: the fleet is full, and the only worker with room fails every
 * task. Guards against a worker that uses up the attempts of all waiting jobs,
 * and against one that stays unused after it has recovered.
 */
START_TEST(failing_worker_with_room)
{
	enum { JOBS = 6 };
	bed_worker_t *failing = NULL;
	char id[17];
	bed_t bed;

	bed_open(&bed, 3, 8);
	bed_submit(&bed, JOB, "batch", 2, 8, true);
	while (bed_running(&bed, JOB) < 2)
		bed_run_for(&bed, 5);
	for (int i = 0; i < 3; i++) {
		if (bed.workers[i].tasks->len == 0)
			failing = &bed.workers[i];
	}
	ck_assert(failing != NULL);
	failing->fails_tasks = true;
	for (int i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		bed_submit(&bed, id, "batch", 1, 8, false);
	}
	bed_run_for(&bed, 500);
	ck_assert_int_le(failing->starts, 2);
	for (int i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		ck_assert_int_ne(bed_state(&bed, id), BATCH_STATE_FAILED);
	}
	failing->fails_tasks = false;
	while (failing->tasks->len == 0)
		bed_run_for(&bed, 5);
	bed_end_tasks(&bed, NULL, RUN_DONE);
	WAIT(&bed, three_run);
	bed_close(&bed);
}
END_TEST

/* Guards against tasks of a cancelled job that keep running. */
START_TEST(cancel_stops_tasks)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_cancel(&bed, JOB);
	WAIT(&bed, nothing_runs);
	ck_assert_int_eq(bed_state(&bed, JOB), BATCH_STATE_ABORTED);
	bed_run_for(&bed, 100);
	ck_assert_int_eq(bed_starts(&bed), 4);
	bed_close(&bed);
}
END_TEST

/*
 * Setting: an urgent gang meets a full fleet. Guards against urgent work
 * that waits behind batch work, and against batch work that is not resumed.
 */
START_TEST(urgent_preempts_batch)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_submit(&bed, OTHER, "urgent", 4, 8, true);
	WAIT(&bed, other_has_4_tasks);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	WAIT(&bed, job_has_4_tasks);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

static bool
other_has_2_tasks(void *ctx)
{
	return bed_running(ctx, OTHER) == 2;
}

/*
 * Setting: urgent jobs of one tenant fill the fleet when another tenant
 * claims its guarantee. Guards against a guaranteed job that waits for them,
 * and against preempting guaranteed jobs for other urgent work.
 */
START_TEST(guarantee_is_reclaimed)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit_for(&bed, "desk", JOB, "urgent", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_submit_for(&bed, "hall", OTHER, "urgent", 2, 8, true);
	WAIT(&bed, other_has_2_tasks);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	bed_submit_for(&bed, "hall", THIRD, "urgent", 3, 8, true);
	bed_run_for(&bed, 300);
	ck_assert_int_eq(bed_running(&bed, OTHER), 2);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

static bool
other_fills_fleet(void *ctx)
{
	return bed_running(ctx, OTHER) == 32;
}

/*
 * Opens the bed, runs one urgent job, then submits small batch tasks that fill
 * the fleet up to the headroom, and runs the bed for fill_ms.
 */
static void
open_filled_to_headroom(bed_t *bed, int64_t fill_ms)
{
	bed_open(bed, 4, 8);
	bed_submit(bed, JOB, "urgent", 1, 8, false);
	WAIT(bed, job_has_1_task);
	bed_end_tasks(bed, JOB, RUN_DONE);
	WAIT(bed, is_completed);
	bed_submit(bed, OTHER, "batch", 32, 1, false);
	bed_run_for(bed, fill_ms);
}

/*
 * Setting: urgent jobs arrive all the time while batch work fills every
 * gap. Guards against batch work that takes the room of the next arrival, and
 * against room that is kept when no urgent job comes any more.
 */
START_TEST(keeps_headroom)
{
	bed_t bed;

	open_filled_to_headroom(&bed, 300);
	/* 32 accelerators less the 8 of the urgent job. */
	ck_assert_int_ge(bed_running(&bed, OTHER), 24);
	ck_assert_int_lt(bed_running(&bed, OTHER), 32);
	WAIT(&bed, other_fills_fleet);
	bed_close(&bed);
}
END_TEST

static bool
third_has_1_task(void *ctx)
{
	return bed_running(ctx, THIRD) == 1;
}

/*
 * Setting: urgent jobs come while batch work fills the fleet, and a long-
 * running task is submitted. Guards against holding that task back for urgent
 * work that may come.
 */
START_TEST(long_running_task_ignores_headroom)
{
	bed_t bed;

	open_filled_to_headroom(&bed, 100);
	ck_assert_int_lt(bed_running(&bed, OTHER), 32);
	bed_submit_long_running(&bed, THIRD, 1);
	WAIT(&bed, third_has_1_task);
	bed_close(&bed);
}
END_TEST

static bool
no_job_is_kept(void *ctx)
{
	return bed_jobs(ctx) == 0;
}

/*
 * Guards against a retention that begins only when the job before is forgotten:
 * ended jobs are then kept longer than ended_job_retention_ms, and memory
 * grows.
 */
START_TEST(ended_jobs_are_forgotten)
{
	enum { JOBS = 12 };
	int64_t start_ms;
	char id[17];
	bed_t bed;

	bed_open(&bed, 2, 8);
	for (int i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		bed_submit(&bed, id, "batch", 1, 1, false);
	}
	bed_run_for(&bed, 100);
	bed_end_tasks(&bed, NULL, RUN_DONE);
	WAIT(&bed, nothing_runs);
	start_ms = clock_mono_ms();
	WAIT(&bed, no_job_is_kept);
	/* Each is kept for one interval; a second one is for the commits. */
	ck_assert_int_lt(clock_mono_ms() - start_ms, 2 * BED_RETENTION_MS);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a crash of a leader that shuts down while a proposal is being
 * committed. _i is the delay in ms.
 */
START_TEST(shutdown_during_commit)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 32, 1, false);
	bed_run_for(&bed, _i);
	bed_close(&bed);
}
END_TEST

static bool
third_has_4_tasks(void *ctx)
{
	return bed_running(ctx, THIRD) == 4;
}

/*
 * Setting: demand exceeds capacity. Guards against a job that becomes late
 * because it waits behind one that is late already; the late one runs
 * afterwards.
 */
START_TEST(on_time_job_precedes_late_job)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, job_has_4_tasks);
	bed_submit(&bed, OTHER, "prompt", 4, 8, true);
	bed_run_for(&bed, 900);
	bed_submit(&bed, THIRD, "prompt", 4, 8, true);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, third_has_4_tasks);
	ck_assert_int_eq(bed_running(&bed, OTHER), 0);
	bed_end_tasks(&bed, THIRD, RUN_DONE);
	WAIT(&bed, other_has_4_tasks);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet");
	TCase *tcase = tcase_create("fleet");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, gang_completes);
	tcase_add_test(tcase, latencies_are_recorded);
	tcase_add_test(tcase, gang_waits_for_room);
	tcase_add_test(tcase, lost_start_answer);
	tcase_add_test(tcase, unreachable_worker_keeps_task);
	tcase_add_test(tcase, unreachable_poll_timeout_is_short);
	tcase_add_test(tcase, done_reported_after_reconnect);
	tcase_add_test(tcase, ended_incarnation_gets_no_start);
	tcase_add_test(tcase, stale_poll);
	tcase_add_test(tcase, restarted_worker_gets_new_run);
	tcase_add_test(tcase, new_leader_adopts_runs);
	tcase_add_test(tcase, new_leader_reads_ends);
	tcase_add_test(tcase, lost_start_of_done_gang);
	tcase_add_test(tcase, attempts_are_limited);
	tcase_add_test(tcase, failing_worker_with_room);
	tcase_add_test(tcase, cancel_stops_tasks);
	tcase_add_test(tcase, urgent_preempts_batch);
	tcase_add_test(tcase, guarantee_is_reclaimed);
	tcase_add_test(tcase, keeps_headroom);
	tcase_add_test(tcase, long_running_task_ignores_headroom);
	tcase_add_test(tcase, on_time_job_precedes_late_job);
	tcase_add_test(tcase, ended_jobs_are_forgotten);
	tcase_add_loop_test(tcase, shutdown_during_commit, 0, 6);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
