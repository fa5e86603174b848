#include <glib.h>

#include "sched/fleet_private.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/*
 * What workers say about themselves and their tasks, and what the leader must
 * not conclude from it.
 */

#define TEST_TIMEOUT_S 60
#define JOB "00000000000000aa"
#define OTHER "00000000000000bb"

#define WAIT(bed, met) ck_assert(system_wait((bed)->loop, (met), (bed)))

static bool
job_has_1_task(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

static bool
both_jobs_run(void *ctx)
{
	return bed_running(ctx, JOB) == 1 && bed_running(ctx, OTHER) == 1;
}

static bool
both_are_completed(void *ctx)
{
	return bed_state(ctx, JOB) == BATCH_STATE_COMPLETED &&
	       bed_state(ctx, OTHER) == BATCH_STATE_COMPLETED;
}

/* ---- answers to polls ---- */

/*
 * An empty list of an earlier incarnation, or without the time of birth, comes
 * while a task runs.  Guards against giving the task up and starting it again.
 * _i is the time of birth in the list.
 */
START_TEST(list_of_earlier_incarnation_proves_nothing)
{
	order_answer_t forged = {.outcome = ORDER_OK, .born = (uint64_t)_i};
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_restart_worker(&bed, 0);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	WAIT(&bed, job_has_1_task);
	bed.workers[0].forged_poll = &forged;
	bed_run_for(&bed, 200);
	bed.workers[0].forged_poll = NULL;
	bed_run_for(&bed, 100);
	ck_assert(!bed.duplicate_run);
	ck_assert_int_eq(bed_starts(&bed), 1);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	bed_close(&bed);
}
END_TEST

/*
 * Two tasks end, and the worker lists one end at a time.  Guards against taking
 * the task of the second end for lost and starting it again after it is done.
 */
START_TEST(ends_beyond_the_list)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	bed_submit(&bed, OTHER, "batch", 1, 1, false);
	WAIT(&bed, both_jobs_run);
	bed.workers[0].max_listed_ends = 1;
	bed_end_tasks(&bed, NULL, RUN_DONE);
	WAIT(&bed, both_are_completed);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_close(&bed);
}
END_TEST

/*
 * A garbled answer lists an end with a number far ahead.  Guards against
 * skipping the ends that follow, and acknowledging them before they are read.
 */
START_TEST(end_number_far_ahead)
{
	ended_task_t end = {.number = UINT64_C(1) << 39,
	    .task = {.job = "00000000000000ff"},
	    .run = 1,
	    .how = RUN_DONE,
	    .checkpoint = ""};
	order_answer_t forged = {
	    .outcome = ORDER_OK, .born = 1, .ended = &end, .ended_count = 1};
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, OTHER, "batch", 1, 1, false);
	while (bed_running(&bed, OTHER) == 0)
		bed_run_for(&bed, 1);
	bed_end_tasks(&bed, OTHER, RUN_DONE);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	WAIT(&bed, job_has_1_task);
	bed_run_for(&bed, 50);
	bed.workers[0].forged_poll = &forged;
	bed_run_for(&bed, 200);
	bed.workers[0].forged_poll = NULL;
	bed_run_for(&bed, 100);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, both_are_completed);
	ck_assert_int_eq(bed_starts(&bed), 2);
	bed_close(&bed);
}
END_TEST

/* ---- late announcements ---- */

static const worker_t *
known_worker(const bed_t *bed)
{
	return fleet_find_worker(bed->fleet, bed->workers[0].info.id);
}

/*
 * The first announcement that a new leader hears is a late one of an earlier
 * incarnation.  Guards against sending orders to the address of that one.
 */
START_TEST(earlier_incarnation_replaces_nothing)
{
	fleet_worker_t earlier;
	bed_t bed;

	bed_open(&bed, 1, 8);
	earlier = bed.workers[0].info;
	earlier.address = (char *)"10.0.0.2";
	bed_restart_worker(&bed, 0);
	bed_run_for(&bed, 100);
	bed_restart_fleet_unannounced(&bed);
	bed_announce_as(&bed, &earlier, 1000);
	ck_assert_uint_eq(known_worker(&bed)->info.born, earlier.born + 1);
	ck_assert_str_eq(known_worker(&bed)->info.address, "10.0.0.1");
	bed_close(&bed);
}
END_TEST

/*
 * The first announcement that a new leader hears was sent before the worker
 * drained.  Guards against placing units on the worker again.
 */
START_TEST(draining_is_final)
{
	fleet_worker_t ready;
	bed_t bed;

	bed_open(&bed, 1, 8);
	ready = bed.workers[0].info;
	bed.workers[0].info.draining = true;
	bed_announce(&bed, 0);
	bed_run_for(&bed, 100);
	bed_restart_fleet_unannounced(&bed);
	bed_announce_as(&bed, &ready, 1);
	ck_assert(known_worker(&bed)->draining);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	bed_run_for(&bed, 200);
	ck_assert_int_eq(bed_starts(&bed), 0);
	/* The next incarnation is ready. */
	bed.workers[0].info.draining = false;
	bed_restart_worker(&bed, 0);
	WAIT(&bed, job_has_1_task);
	bed_close(&bed);
}
END_TEST

/* ---- other writers ---- */

/*
 * An announcement under a worker's id names a service that is not configured.
 * Guards against moving the worker there. The bed's workers announce themselves
 * before the first configuration.
 */
START_TEST(unknown_service_changes_nothing)
{
	fleet_worker_t foreign;
	bed_t bed;

	bed_open(&bed, 1, 8);
	foreign = bed.workers[0].info;
	foreign.service = (char *)"elsewhere";
	foreign.address = (char *)"10.0.0.2";
	bed_announce_as(&bed, &foreign, 1000);
	ck_assert_str_eq(known_worker(&bed)->info.service, "svc");
	ck_assert_str_eq(known_worker(&bed)->info.address, "10.0.0.1");
	foreign.id = (char *)"w9";
	bed_announce_as(&bed, &foreign, 1000);
	ck_assert_ptr_null(fleet_find_worker(bed.fleet, "w9"));
	/* Its own announcements are no late ones. */
	bed.workers[0].info.draining = true;
	bed_announce(&bed, 0);
	ck_assert(known_worker(&bed)->draining);
	bed_run_for(&bed, 50);
	bed_close(&bed);
}
END_TEST

/* ---- restarts learned from a poll ---- */

static bool
restart_is_known(void *ctx)
{
	return known_worker(ctx)->info.born == 2;
}

/*
 * A poll shows that the worker has restarted, with less capacity; its sequence
 * numbers start anew.  Guards against starts before the capacity is known, and
 * against taking its announcements for late ones.
 */
START_TEST(restart_learned_from_poll)
{
	fleet_worker_t *info;
	bed_t bed;

	bed_open(&bed, 1, 8);
	info = &bed.workers[0].info;
	bed.sequence = 1000;
	bed_announce(&bed, 0);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	bed_restart_worker_unannounced(&bed, 0);
	info->capacity.accelerators = 4;
	WAIT(&bed, restart_is_known);
	bed_run_for(&bed, 100);
	ck_assert_int_eq(bed_starts(&bed), 1);
	bed_announce_as(&bed, info, 1);
	ck_assert_int_eq(known_worker(&bed)->info.capacity.accelerators, 4);
	bed_submit(&bed, OTHER, "batch", 1, 4, false);
	bed_run_for(&bed, 200);
	ck_assert_int_eq(bed_running(&bed, OTHER), 1);
	bed_restart_fleet_unannounced(&bed);
	ck_assert_uint_eq(known_worker(&bed)->info.born, 2);
	bed_close(&bed);
}
END_TEST

/* Guards against taking the new incarnation for a draining one for good. */
START_TEST(draining_ends_with_incarnation)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	bed.workers[0].info.draining = true;
	bed_announce(&bed, 0);
	bed_run_for(&bed, 50);
	bed_restart_worker_unannounced(&bed, 0);
	bed.workers[0].info.draining = false;
	WAIT(&bed, restart_is_known);
	bed_announce_as(&bed, &bed.workers[0].info, 1);
	WAIT(&bed, job_has_1_task);
	bed_close(&bed);
}
END_TEST

/* ---- draining workers ---- */

static void
announce_draining(bed_t *bed, size_t worker)
{
	bed->workers[worker].info.draining = true;
	bed_announce(bed, worker);
}

static bool
start_was_sent(void *ctx)
{
	const bed_t *bed = ctx;

	return bed->fleet->runs->len == 1 &&
	       ((run_t *)g_ptr_array_index(bed->fleet->runs, 0))
		   ->start_committed;
}

static bool
start_is_proposed(void *ctx)
{
	return ((bed_t *)ctx)->fleet->runs->len == 1;
}

/*
 * The start on a worker is lost, and the worker announces that it drains.
 * Guards against sending the start again, and against a unit that does not run
 * elsewhere. _i is 1 for a gang, 0 for two single tasks.
 */
START_TEST(lost_start_is_not_repeated_while_draining)
{
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed.workers[0].loses_starts = true;
	bed_submit(&bed, JOB, "batch", 2, 8, _i == 1);
	bed_run_for(&bed, 50);
	announce_draining(&bed, 0);
	bed_run_for(&bed, 10);
	bed.workers[0].loses_starts = false;
	bed_run_for(&bed, 600);
	ck_assert_int_eq(bed.workers[0].starts, 0);
	/* A gang waits for room as a whole; single tasks do not. */
	ck_assert_int_eq(bed_running(&bed, JOB), _i == 1 ? 0 : 1);
	bed_end_tasks(&bed, JOB, RUN_DONE);
	if (_i == 0)
		WAIT(&bed, job_has_1_task);
	ck_assert_int_eq(bed.workers[0].starts, 0);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/*
 * The worker announces that it drains while the start is being committed.
 * Guards against sending the first start after that.
 */
START_TEST(first_start_is_not_sent_while_draining)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, start_is_proposed);
	ck_assert(!start_was_sent(&bed));
	announce_draining(&bed, 0);
	bed_run_for(&bed, 300);
	ck_assert_int_eq(bed.workers[0].starts, 0);
	bed_close(&bed);
}
END_TEST

/*
 * A new leader does not know which starts reached a draining worker.  Guards
 * against stopping tasks that run there.
 */
START_TEST(tasks_on_draining_worker_are_adopted)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_has_1_task);
	announce_draining(&bed, 0);
	bed_run_for(&bed, 50);
	bed_restart_fleet_unannounced(&bed);
	bed_run_for(&bed, 700);
	ck_assert_int_eq(bed.workers[0].stops, 0);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against an acknowledgement without a commit for an announcement that
 * is being proposed, or waits for that, while the fleet ends.
 */
START_TEST(announcement_while_fleet_ends)
{
	fleet_worker_t draining;
	bed_t bed;

	bed_open(&bed, 2, 8);
	for (size_t i = 0; i < 2; i++) {
		draining = bed.workers[i].info;
		draining.draining = true;
		bed_announce_as(&bed, &draining, 1000);
		/* The first one is in flight by now. */
		if (i == 0)
			fleet_events_propose(bed.fleet);
	}
	bed_close(&bed);
	ck_assert_int_eq(bed.announcements_done, 2);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet announcements");
	TCase *tcase = tcase_create("fleet announcements");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_loop_test(
	    tcase, list_of_earlier_incarnation_proves_nothing, 0, 2);
	tcase_add_test(tcase, ends_beyond_the_list);
	tcase_add_test(tcase, end_number_far_ahead);
	tcase_add_test(tcase, earlier_incarnation_replaces_nothing);
	tcase_add_test(tcase, draining_is_final);
	tcase_add_test(tcase, unknown_service_changes_nothing);
	tcase_add_test(tcase, restart_learned_from_poll);
	tcase_add_test(tcase, draining_ends_with_incarnation);
	tcase_add_loop_test(
	    tcase, lost_start_is_not_repeated_while_draining, 0, 2);
	tcase_add_test(tcase, first_start_is_not_sent_while_draining);
	tcase_add_test(tcase, tasks_on_draining_worker_are_adopted);
	tcase_add_test(tcase, announcement_while_fleet_ends);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
