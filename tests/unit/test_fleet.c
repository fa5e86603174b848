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

#define WAIT(bed, met) ck_assert(system_wait((bed)->loop, (met), (bed)))

static bool
four_run(void *ctx)
{
	return bed_running(ctx, JOB) == 4;
}

static bool
one_runs(void *ctx)
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
other_or_job_runs(void *ctx)
{
	return bed_running(ctx, NULL) == 1;
}

static bool
other_runs(void *ctx)
{
	return bed_running(ctx, OTHER) == 4;
}

/* Guards against a gang that is started in part, or whose end is not seen. */
START_TEST(gang_completes)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
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
START_TEST(waits_are_measured)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
	bed_submit(&bed, OTHER, "urgent", 4, 8, true);
	WAIT(&bed, other_runs);
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	WAIT(&bed, four_run);
	/* The second start of the first job is not a first start. */
	ck_assert_int_eq(
	    recorded("fleet_first_start_seconds{urgent=\"no\"}"), 1);
	ck_assert_int_eq(
	    recorded("fleet_first_start_seconds{urgent=\"yes\"}"), 1);
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
 * Guards against a second run of a task whose start got no answer: the same run
 * is sent again, and the first copy counts as arrived.
 */
START_TEST(answer_lost)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	for (int i = 0; i < 4; i++)
		bed.workers[i].swallows = true;
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
	bed_run_for(&bed, 300);
	for (int i = 0; i < 4; i++)
		bed.workers[i].swallows = false;
	bed_run_for(&bed, 200);
	ck_assert_int_eq(bed_running(&bed, JOB), 4);
	ck_assert_int_eq(bed_starts(&bed), 4);
	ck_assert(!bed.two_runs);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against two runs of one task at a time: a worker that is cut off holds
 * its task until its lease has ended.
 */
START_TEST(cut_worker)
{
	bed_t bed;
	int64_t cut_ms;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, one_runs);
	for (int i = 0; i < 2; i++)
		bed.workers[i].silent = bed.workers[i].tasks->len > 0;
	cut_ms = clock_mono_ms();
	bed_run_for(&bed, 50);
	while (bed_starts(&bed) < 2 && clock_mono_ms() < cut_ms + 20000)
		bed_run_for(&bed, 5);
	ck_assert_int_eq(bed_starts(&bed), 2);
	ck_assert(!bed.two_runs);
	bed_close(&bed);
}
END_TEST

/*
 * Load pattern: workers are cut off for nearly as long as their lease lasts.
 * Guards against a healed cut that is noticed too late to renew the lease,
 * because a call from the time of the cut is still waited for.
 */
START_TEST(cut_is_retried_soon)
{
	bed_t bed;
	int cut;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, one_runs);
	cut = bed.workers[0].tasks->len > 0 ? 0 : 1;
	bed.workers[cut].silent = true;
	while (bed.workers[cut].unanswered_polls < 2)
		bed_run_for(&bed, 5);
	ck_assert_int_gt(bed.workers[cut].patience_ms, 0);
	ck_assert_int_le(bed.workers[cut].patience_ms, 300);
	bed.workers[cut].silent = false;
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a start after an end "done" was seen: a worker that was cut
 * off ends its task, the task is started elsewhere, and the end is listed when
 * the cut has healed.  The work is done; the second run is of no use.
 */
START_TEST(done_behind_cut)
{
	bed_t bed;
	int cut;
	int starts;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, one_runs);
	cut = bed.workers[0].tasks->len > 0 ? 0 : 1;
	bed.workers[cut].silent = true;
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, one_runs);
	starts = bed_starts(&bed);
	bed.workers[cut].silent = false;
	WAIT(&bed, is_completed);
	WAIT(&bed, nothing_runs);
	ck_assert_int_eq(bed_starts(&bed), starts);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a unit that is placed on a worker which has just been found to
 * be gone: its room polls free until it is taken out of the view.
 */
START_TEST(worker_gone)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, one_runs);
	bed_submit(&bed, OTHER, "batch", 1, 8, false);
	bed.workers[0].other_incarnation = true;
	bed_run_for(&bed, 400);
	ck_assert_int_eq(bed.workers[0].misdirected, 0);
	bed.workers[0].other_incarnation = false;
	bed_restart_worker(&bed, 0);
	WAIT(&bed, other_or_job_runs);
	ck_assert(!bed.two_runs);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a task that is taken for lost because a poll, made just before
 * it started, does not list it: the poll's answer arrives after the start's, in
 * the same millisecond.
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
	ck_assert(!bed.two_runs);
	ck_assert_int_eq(bed_starts(&bed), 60);
	bed_close(&bed);
}
END_TEST

/* Guards against waiting out a lease of a worker that has restarted. */
START_TEST(restarted_worker)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, one_runs);
	bed_restart_worker(&bed, 0);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	WAIT(&bed, one_runs);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a successor that starts again what runs: it learns the runs
 * from the workers and adopts them.
 */
START_TEST(successor_adopts)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 700);
	ck_assert_int_eq(bed_running(&bed, JOB), 4);
	ck_assert_int_eq(bed_starts(&bed), 4);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, is_completed);
	bed_close(&bed);
}
END_TEST

/* Guards against an end that is lost because the leader died before its commit.
 */
START_TEST(successor_reads_ends)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, one_runs);
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

/* Guards against more attempts than the queue allows. */
START_TEST(attempts_end)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	WAIT(&bed, one_runs);
	bed_end_tasks(&bed, JOB, RUN_FAILED);
	WAIT(&bed, one_runs);
	bed_end_tasks(&bed, JOB, RUN_FAILED);
	WAIT(&bed, is_failed);
	bed_run_for(&bed, 100);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_close(&bed);
}
END_TEST

/*
 * Load pattern: the fleet is full, and the only worker with room fails all that
 * it starts.  Guards against a worker that uses up the attempts of every job
 * that waits, and against one that stays unused after it has recovered.
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
	failing->fails = true;
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
	failing->fails = false;
	while (failing->tasks->len == 0)
		bed_run_for(&bed, 5);
	bed_end_tasks(&bed, NULL, RUN_DONE);
	bed_run_for(&bed, 50);
	ck_assert_int_eq(bed_running(&bed, NULL), 3);
	bed_close(&bed);
}
END_TEST

/* Guards against tasks of a cancelled job that go on. */
START_TEST(cancel_stops)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
	bed_cancel(&bed, JOB);
	WAIT(&bed, nothing_runs);
	ck_assert_int_eq(bed_state(&bed, JOB), BATCH_STATE_ABORTED);
	bed_run_for(&bed, 100);
	ck_assert_int_eq(bed_starts(&bed), 4);
	bed_close(&bed);
}
END_TEST

/*
 * Load pattern: an urgent gang meets a full fleet.  Guards against urgent work
 * that waits behind batch work, and against batch work that is not resumed.
 */
START_TEST(urgent_displaces)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
	bed_submit(&bed, OTHER, "urgent", 4, 8, true);
	WAIT(&bed, other_runs);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	WAIT(&bed, four_run);
	ck_assert(!bed.two_runs);
	bed_close(&bed);
}
END_TEST

static bool
half_runs(void *ctx)
{
	return bed_running(ctx, OTHER) == 2;
}

/*
 * Load pattern: urgent jobs of one tenant fill the fleet when another one calls
 * in what it was guaranteed.  Guards against a guarantee that waits for them,
 * and against covered work that is stopped for other urgent work.
 */
START_TEST(guarantee_is_reclaimed)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit_for(&bed, "desk", JOB, "urgent", 4, 8, true);
	WAIT(&bed, four_run);
	bed_submit_for(&bed, "hall", OTHER, "urgent", 2, 8, true);
	WAIT(&bed, half_runs);
	ck_assert_int_eq(bed_running(&bed, JOB), 0);
	bed_submit_for(&bed, "hall", THIRD, "urgent", 3, 8, true);
	bed_run_for(&bed, 300);
	ck_assert_int_eq(bed_running(&bed, OTHER), 2);
	ck_assert(!bed.two_runs);
	bed_close(&bed);
}
END_TEST

static bool
others_fill(void *ctx)
{
	return bed_running(ctx, OTHER) == 32;
}

/* An urgent job has come and gone; small batch tasks fill what is left. */
static void
fill_beside_headroom(bed_t *bed, int64_t ms)
{
	bed_open(bed, 4, 8);
	bed_submit(bed, JOB, "urgent", 1, 8, false);
	WAIT(bed, one_runs);
	bed_end_tasks(bed, JOB, RUN_DONE);
	WAIT(bed, is_completed);
	bed_submit(bed, OTHER, "batch", 32, 1, false);
	bed_run_for(bed, ms);
}

/*
 * Load pattern: urgent jobs arrive all the time while batch work fills every
 * gap.  Guards against batch work that takes the room of the next arrival, and
 * against room that is kept when no urgent job comes any more.
 */
START_TEST(keeps_headroom)
{
	bed_t bed;

	fill_beside_headroom(&bed, 300);
	ck_assert_int_ge(bed_running(&bed, OTHER), 24);
	ck_assert_int_lt(bed_running(&bed, OTHER), 32);
	WAIT(&bed, others_fill);
	bed_close(&bed);
}
END_TEST

static bool
third_lasts(void *ctx)
{
	return bed_running(ctx, THIRD) == 1;
}

/*
 * Load pattern: as above, and a task that lasts needs a place.  Guards against
 * one that is kept out for urgent work which may come.
 */
START_TEST(lasting_task_needs_no_headroom)
{
	bed_t bed;

	fill_beside_headroom(&bed, 100);
	ck_assert_int_lt(bed_running(&bed, OTHER), 32);
	bed_submit_lasting(&bed, THIRD, 1);
	bed_run_for(&bed, 100);
	ck_assert(third_lasts(&bed));
	bed_close(&bed);
}
END_TEST

static bool
none_is_known(void *ctx)
{
	return bed_jobs(ctx) == 0;
}

/* Guards against ended jobs that are kept far longer than promised: the time of
 * each began when the one before it was forgotten, so memory grew. */
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
	WAIT(&bed, none_is_known);
	/* Each is kept for one interval; a second one is for the commits. */
	ck_assert_int_lt(clock_mono_ms() - start_ms, 2 * BED_KEEP_MS);
	bed_close(&bed);
}
END_TEST

/* Guards against a crash of a leader that is told to stop while what it has
 * decided is being committed. */
START_TEST(stops_while_committing)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 32, 1, false);
	bed_run_for(&bed, _i);
	bed_close(&bed);
}
END_TEST

static bool
third_runs(void *ctx)
{
	return bed_running(ctx, THIRD) == 4;
}

/*
 * Load pattern: demand above the room.  Guards against a job that becomes late
 * because it waits behind one that is late already; that one runs afterwards.
 */
START_TEST(late_after_on_time)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed_submit(&bed, JOB, "batch", 4, 8, true);
	WAIT(&bed, four_run);
	bed_submit(&bed, OTHER, "prompt", 4, 8, true);
	bed_run_for(&bed, 900);
	bed_submit(&bed, THIRD, "prompt", 4, 8, true);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, third_runs);
	ck_assert_int_eq(bed_running(&bed, OTHER), 0);
	bed_end_tasks(&bed, THIRD, RUN_DONE);
	WAIT(&bed, other_runs);
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
	tcase_add_test(tcase, waits_are_measured);
	tcase_add_test(tcase, gang_waits_for_room);
	tcase_add_test(tcase, answer_lost);
	tcase_add_test(tcase, cut_worker);
	tcase_add_test(tcase, cut_is_retried_soon);
	tcase_add_test(tcase, done_behind_cut);
	tcase_add_test(tcase, worker_gone);
	tcase_add_test(tcase, stale_poll);
	tcase_add_test(tcase, restarted_worker);
	tcase_add_test(tcase, successor_adopts);
	tcase_add_test(tcase, successor_reads_ends);
	tcase_add_test(tcase, attempts_end);
	tcase_add_test(tcase, failing_worker_with_room);
	tcase_add_test(tcase, cancel_stops);
	tcase_add_test(tcase, urgent_displaces);
	tcase_add_test(tcase, guarantee_is_reclaimed);
	tcase_add_test(tcase, keeps_headroom);
	tcase_add_test(tcase, lasting_task_needs_no_headroom);
	tcase_add_test(tcase, late_after_on_time);
	tcase_add_test(tcase, ended_jobs_are_forgotten);
	tcase_add_loop_test(tcase, stops_while_committing, 0, 6);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
