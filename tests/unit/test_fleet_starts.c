#include <check.h>
#include <string.h>

#include "sched/fleet_private.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Decisions that the ledger refuses, and many or large ones. */

#define TEST_TIMEOUT_S 40
#define JOB "00000000000000a1"
#define NEXT_JOB "00000000000000a2"
/* More than unit_start_t has places, on two workers. */
#define LARGE_GANG (MAX_BATCH + 1)
#define MANY_TASKS 50
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

static bool
many_tasks_run(void *ctx)
{
	return bed_running(ctx, JOB) == MANY_TASKS;
}

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

static void
count_success(void *ctx, fleet_outcome_t outcome)
{
	if (outcome == FLEET_OK)
		++*(int *)ctx;
}

static bool
nothing_is_queued(void *ctx)
{
	const bed_t *bed = ctx;

	return bed->fleet->proposal == NULL && bed->fleet->batches.length == 0;
}

/*
 * Guards against review/9: more events than a command holds, or than its bytes
 * hold, are queued at once, and the leader steps down.
 */
START_TEST(many_events_are_split)
{
	unit_name_t unit = {(char *)JOB, 0, 0, 0};
	int64_t leading_since_ms;
	int committed = 0;
	bed_t bed;

	bed_open(&bed, 1, 8);
	leading_since_ms = bed.fleet->leading_since_ms;
	for (int i = 0; i <= MAX_BATCH; i++) {
		fleet_event_worker(
		    bed.fleet, &bed.workers[0].info, count_success, &committed);
		fleet_event_late_done(bed.fleet, &unit, 1);
		fleet_event_forget(bed.fleet, JOB);
	}
	WAIT(&bed, nothing_is_queued);
	ck_assert_int_eq(committed, MAX_BATCH + 1);
	ck_assert_int_eq(bed.fleet->leading_since_ms, leading_since_ms);
	bed_close(&bed);
}
END_TEST

static void
record_outcome(void *ctx, fleet_outcome_t outcome)
{
	*(fleet_outcome_t *)ctx = outcome;
}

/*
 * Guards against an event that no command can hold: its proposal fails, which
 * costs the term and everything that was decided with it.
 */
START_TEST(event_beyond_the_limits_is_left_out)
{
	char id[NAME_MAX_LEN + 2];
	fleet_outcome_t outcome = FLEET_OK;
	fleet_worker_t worker;
	int64_t leading_since_ms;
	int committed = 0;
	bed_t bed;

	memset(id, 'w', sizeof(id) - 1);
	id[sizeof(id) - 1] = '\0';
	bed_open(&bed, 1, 8);
	leading_since_ms = bed.fleet->leading_since_ms;
	worker = bed.workers[0].info;
	fleet_event_worker(bed.fleet, &worker, count_success, &committed);
	worker.id = id;
	fleet_event_worker(bed.fleet, &worker, record_outcome, &outcome);
	WAIT(&bed, nothing_is_queued);
	ck_assert_int_eq(committed, 1);
	ck_assert_int_eq(outcome, FLEET_NO_ANSWER);
	ck_assert_int_eq(bed.fleet->leading_since_ms, leading_since_ms);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against the same with a start: the run is dropped, and its job waits
 * before it is decided again.
 */
START_TEST(start_beyond_the_limits_is_left_out)
{
	char id[NAME_MAX_LEN + 2];
	int64_t leading_since_ms;
	ledger_unit_t *unit;
	char *job;
	run_t *run;
	bed_t bed;

	memset(id, 'j', sizeof(id) - 1);
	id[sizeof(id) - 1] = '\0';
	bed_open(&bed, 1, 8);
	leading_since_ms = bed.fleet->leading_since_ms;
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_runs);
	bed_submit(&bed, NEXT_JOB, "batch", 1, 8, false);
	run = g_ptr_array_index(bed.fleet->runs, 0);
	unit = ledger_unit_at(ledger_job(fleet_ledger(bed.fleet), NEXT_JOB), 0);
	run = run_create(bed.fleet, unit, 1, &run->unit->places);
	job = run->job;
	run->job = id;
	fleet_event_start(bed.fleet, run);
	run->job = job;
	ck_assert(run->retired);
	ck_assert_int_gt(unit->job->hold_until_ms, fleet_now_ms());
	bed_end_tasks(&bed, JOB, RUN_DONE);
	WAIT(&bed, next_job_runs);
	ck_assert_int_eq(bed.fleet->leading_since_ms, leading_since_ms);
	bed_close(&bed);
}
END_TEST

/* Guards against review/9 with real starts: more fit at once than a command. */
START_TEST(wide_step_starts)
{
	int64_t leading_since_ms;
	bed_t bed;

	bed_open(&bed, 2, 8);
	leading_since_ms = bed.fleet->leading_since_ms;
	bed_submit_small(&bed, JOB, LARGE_GANG, false);
	WAIT(&bed, large_gang_is_started);
	ck_assert_int_eq(bed.fleet->leading_since_ms, leading_since_ms);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a checkpoint that no end can carry: the leader steps down. It
 * is left out, and the one before is kept.
 */
START_TEST(long_checkpoint_is_left_out)
{
	char checkpoint[TEXT_MAX_LEN + 2];
	running_task_t task = {.checkpoint = "saved"};
	int64_t leading_since_ms;
	member_t *member;
	bed_t bed;

	memset(checkpoint, 'c', sizeof(checkpoint) - 1);
	checkpoint[sizeof(checkpoint) - 1] = '\0';
	bed_open(&bed, 1, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_runs);
	leading_since_ms = bed.fleet->leading_since_ms;
	member = ((run_t *)g_ptr_array_index(bed.fleet->runs, 0))->members;
	member_reported_running(member, &task, fleet_now_ms());
	task.checkpoint = checkpoint;
	member_reported_running(member, &task, fleet_now_ms());
	ck_assert_str_eq(member->checkpoint, "saved");
	bed_end_tasks(&bed, JOB, RUN_FAILED);
	WAIT(&bed, job_runs);
	ck_assert_int_eq(bed.fleet->leading_since_ms, leading_since_ms);
	bed_close(&bed);
}
END_TEST

static bool
starts_are_in_flight(void *ctx)
{
	const bed_t *bed = ctx;

	return bed->fleet->orders_in_flight > 0;
}

/* Returns the state of the first member of the job's run, UNSENT without. */
static member_state_t
first_member_state(const bed_t *bed, const char *job)
{
	for (guint i = 0; i < bed->fleet->runs->len; i++) {
		const run_t *run = g_ptr_array_index(bed->fleet->runs, i);

		if (strcmp(run->job, job) == 0)
			return run->members[0].state;
	}
	return MEMBER_UNSENT;
}

/*
 * Guards against a start for each task of a wide job in flight at once: they
 * fill the leader's memory, and wait for a connection longer than for an
 * answer. Urgent starts do not wait for them.
 */
START_TEST(starts_in_flight_are_bounded)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed.workers[0].delayed_starts = LARGE_GANG;
	bed_submit_small(&bed, JOB, LARGE_GANG, true);
	WAIT(&bed, starts_are_in_flight);
	for (int i = 0; i < 20; i++) {
		ck_assert_int_le(bed.fleet->orders_in_flight, ORDER_WINDOW_MAX);
		bed_run_for(&bed, 5);
	}
	bed_submit(&bed, NEXT_JOB, "urgent", 1, 8, false);
	bed_run_for(&bed, 20);
	ck_assert_int_ne(first_member_state(&bed, NEXT_JOB), MEMBER_UNSENT);
	bed_close(&bed);
}
END_TEST

/* Checks that the lists of runs and members say where each of them is. */
static void
check_lists(const bed_t *bed)
{
	const worker_t *worker =
	    fleet_find_worker(bed->fleet, bed->workers[0].info.id);

	for (guint i = 0; i < bed->fleet->runs->len; i++) {
		const run_t *run = g_ptr_array_index(bed->fleet->runs, i);

		ck_assert_uint_eq(run->fleet_index, i);
	}
	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		ck_assert_uint_eq(member->worker_index, i);
	}
}

/*
 * Guards against a run or a member that is not found in its list: its end would
 * leave a pointer to freed memory, or take out another one.
 */
START_TEST(lists_follow_ends_in_any_order)
{
	GRand *random = g_rand_new_with_seed(1);
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit_small(&bed, JOB, MANY_TASKS, false);
	WAIT(&bed, many_tasks_run);
	check_lists(&bed);
	for (int i = 0; i < MANY_TASKS; i++) {
		guint next =
		    g_rand_int_range(random, 0, (gint32)bed.fleet->runs->len);
		run_t *run = g_ptr_array_index(bed.fleet->runs, next);

		member_ended(run->members, RUN_STOPPED, "");
		check_lists(&bed);
	}
	ck_assert_uint_eq(bed.fleet->runs->len, 0);
	g_rand_free(random);
	bed_close(&bed);
}
END_TEST

static bool
wide_step_is_placed(void *ctx)
{
	const bed_t *bed = ctx;
	guint runs = bed->fleet->runs->len;

	return runs == LARGE_GANG &&
	       ((run_t *)g_ptr_array_index(bed->fleet->runs, runs - 1))
		   ->start_committed;
}

/* Checks the orders in flight for a while, as starts and stops are due. */
static void
check_orders_are_bounded(bed_t *bed, guint limit)
{
	for (int i = 0; i < 20; i++) {
		ck_assert_uint_le(bed->fleet->member_orders.length, limit);
		bed_run_for(bed, 5);
	}
}

/*
 * Guards against a new leader that sends the starts of all runs again at once:
 * they time out together, and the loop is held for seconds.
 */
START_TEST(adopted_starts_are_bounded)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed.workers[0].delayed_starts = G_MAXINT;
	bed_submit_small(&bed, JOB, LARGE_GANG, false);
	WAIT(&bed, wide_step_is_placed);
	bed_restart_fleet(&bed);
	WAIT(&bed, starts_are_in_flight);
	check_orders_are_bounded(&bed, ORDER_WINDOW_MAX);
	bed_close(&bed);
}
END_TEST

/* Same with the stops of a cancelled job. */
START_TEST(stops_in_flight_are_bounded)
{
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed_submit_small(&bed, JOB, LARGE_GANG, false);
	WAIT(&bed, large_gang_is_started);
	bed.workers[0].unreachable = true;
	bed_cancel(&bed, JOB);
	check_orders_are_bounded(&bed, ORDER_WINDOW_MAX + ORDER_WINDOW_RESERVE);
	bed.workers[0].unreachable = false;
	WAIT(&bed, is_given_up);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a start that was queued before its worker began to drain, and
 * is sent after the leader has learned of it.
 */
START_TEST(queued_starts_do_not_go_to_a_draining_worker)
{
	worker_t *worker;
	guint queued;
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed.workers[0].delayed_starts = LARGE_GANG;
	bed_submit_small(&bed, JOB, LARGE_GANG, true);
	WAIT(&bed, starts_are_in_flight);
	bed.workers[0].info.draining = true;
	bed_announce(&bed, 0);
	worker = fleet_find_worker(bed.fleet, bed.workers[0].info.id);
	ck_assert(worker->draining);
	queued = order_queue_length(worker->queues[ORDER_CLASS_START]);
	ck_assert_uint_gt(queued, 0);
	/* As if all starts in flight had been answered. */
	worker->window.in_flight -= ORDER_WINDOW_MAX;
	worker->needs_poll = false;
	worker_dispatch(worker, fleet_now_ms());
	ck_assert_uint_eq(
	    order_queue_length(worker->queues[ORDER_CLASS_START]), queued);
	worker->window.in_flight += ORDER_WINDOW_MAX;
	bed_close(&bed);
}
END_TEST

static bool
is_forgotten(void *ctx)
{
	return bed_jobs(ctx) == 0;
}

/*
 * Guards against a run that refers to the steps of a job that was forgotten: an
 * earlier run was done, while a start of this one may still be carried out.
 */
START_TEST(job_is_kept_while_a_run_refers_to_it)
{
	int first;
	bed_t bed;

	bed_open(&bed, 2, 8);
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	WAIT(&bed, job_runs);
	first = bed.workers[0].tasks->len > 0 ? 0 : 1;
	bed.workers[first].unreachable = true;
	bed.workers[1 - first].delayed_starts = 1;
	bed_end_task(&bed, (size_t)first, RUN_DONE);
	WAIT(&bed, job_runs);
	bed.workers[1 - first].unreachable = true;
	bed.workers[first].unreachable = false;
	WAIT(&bed, is_completed);
	bed_run_for(&bed, BED_RETENTION_MS + 1500);
	ck_assert_uint_eq(bed.fleet->runs->len, 1);
	ck_assert_int_eq(bed_jobs(&bed), 1);
	bed.workers[1 - first].unreachable = false;
	WAIT(&bed, is_forgotten);
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
	tcase_add_test(tcase, many_events_are_split);
	tcase_add_test(tcase, event_beyond_the_limits_is_left_out);
	tcase_add_test(tcase, start_beyond_the_limits_is_left_out);
	tcase_add_test(tcase, wide_step_starts);
	tcase_add_test(tcase, long_checkpoint_is_left_out);
	tcase_add_test(tcase, starts_in_flight_are_bounded);
	tcase_add_test(tcase, lists_follow_ends_in_any_order);
	tcase_add_test(tcase, adopted_starts_are_bounded);
	tcase_add_test(tcase, stops_in_flight_are_bounded);
	tcase_add_test(tcase, queued_starts_do_not_go_to_a_draining_worker);
	tcase_add_test(tcase, job_is_kept_while_a_run_refers_to_it);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
