#include <glib.h>

#include "sched/fleet_private.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/*
 * A failure domain out of service: workers w0 to w3 (rack r0) are in d1, w4 and
 * w5 (rack r1) in d2.
 */

#define TEST_TIMEOUT_S 60
#define JOB "00000000000000aa"
#define WORKERS 6
#define WORKERS_OF_D1 4

#define WAIT(bed, met) ck_assert(system_wait((bed)->loop, (met), (bed)))

static void
wait_for_running(bed_t *bed, int tasks)
{
	while (bed_running(bed, JOB) != tasks)
		bed_run_for(bed, 1);
}

static int
starts_in_d1(const bed_t *bed)
{
	int starts = 0;

	for (size_t i = 0; i < WORKERS_OF_D1; i++)
		starts += bed->workers[i].starts;
	return starts;
}

static bool
has_unanswered_start(void *ctx)
{
	const bed_t *bed = ctx;
	const run_t *run;

	if (bed->fleet->runs->len == 0)
		return false;
	run = g_ptr_array_index(bed->fleet->runs, 0);
	return run->members[0].starts_unanswered > 0;
}

static bool
is_being_committed(void *ctx)
{
	const bed_t *bed = ctx;

	return bed->fleet->runs->len > 0 && bed->fleet->proposal != NULL;
}

/*
 * Guards against starts there by a planner, a new leader or for a worker that
 * joins, and against a domain that stays out when it is back in service.
 */
START_TEST(no_start_until_back)
{
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	bed_set_domain_service(&bed, "d1", true);
	bed_submit(&bed, JOB, "batch", WORKERS, 8, false);
	wait_for_running(&bed, 2);
	ck_assert_int_gt(
	    counter_value(bed.fleet->waits[WAIT_OUT_OF_SERVICE]), 0);
	bed_restart_fleet(&bed);
	bed_restart_worker(&bed, 1);
	bed_run_for(&bed, 200);
	ck_assert_int_eq(starts_in_d1(&bed), 0);
	bed_set_domain_service(&bed, "d1", false);
	wait_for_running(&bed, WORKERS);
	bed_close(&bed);
}
END_TEST

/* Guards against work that is thrown away: what runs there may finish. */
START_TEST(what_runs_may_finish)
{
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	bed_submit_near(&bed, "r0", JOB, "batch", 1, 8);
	wait_for_running(&bed, 1);
	bed_set_domain_service(&bed, "d1", true);
	bed_run_for(&bed, 200);
	ck_assert_int_eq(bed_running(&bed, JOB), 1);
	ck_assert_int_eq(bed_starts(&bed), 1);
	ck_assert_int_eq(bed.workers[0].stops + bed.workers[1].stops +
			     bed.workers[2].stops + bed.workers[3].stops,
	    0);
	bed_close(&bed);
}
END_TEST

/*
 * The order is committed between the decision to start a task and the commit of
 * that start.  Guards against sending it.
 */
START_TEST(start_being_committed)
{
	domain_service_t order = {(char *)"d1", TRUE};
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	bed_submit_near(&bed, "r0", JOB, "batch", 1, 8);
	WAIT(&bed, is_being_committed);
	ledger_apply_domain_service(fleet_ledger(bed.fleet), &order);
	domains_on_committed(bed.fleet, &order);
	wait_for_running(&bed, 1);
	ck_assert_int_eq(starts_in_d1(&bed), 0);
	bed_close(&bed);
}
END_TEST

/*
 * Starts there get no answer.  Guards against repeating them after the order,
 * by the same or by a new leader (_i), and against a task that waits there.
 */
START_TEST(unanswered_start)
{
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	for (size_t i = 0; i < WORKERS_OF_D1; i++)
		bed.workers[i].loses_starts = true;
	bed_submit_near(&bed, "r0", JOB, "batch", 1, 8);
	WAIT(&bed, has_unanswered_start);
	bed_set_domain_service(&bed, "d1", true);
	/* Until what was sent before the order is lost. */
	bed_run_for(&bed, 5);
	if (_i == 1)
		bed_restart_fleet(&bed);
	for (size_t i = 0; i < WORKERS_OF_D1; i++)
		bed.workers[i].loses_starts = false;
	wait_for_running(&bed, 1);
	ck_assert_int_eq(starts_in_d1(&bed), 0);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

static batch_spec_t
gang_of(step_spec_t *step, int members)
{
	*step = (step_spec_t){.count = members,
	    .shape = {1000, 1000, 8},
	    .gang = TRUE,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)""};
	return (batch_spec_t){.steps = {1, step}};
}

/*
 * Guards against jobs that are accepted though they cannot begin, and against
 * refusing what fits, or what is due later.
 */
START_TEST(smaller_room)
{
	step_spec_t step;
	batch_spec_t spec = gang_of(&step, 3);
	const char *reason;
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	/* Long enough for all workers to have announced themselves. */
	bed.fleet->leading_since_ms -= 3600000;
	ck_assert(fleet_can_ever_run(bed.fleet, "svc", &spec, &reason));
	bed_set_domain_service(&bed, "d1", true);
	ck_assert(!fleet_can_ever_run(bed.fleet, "svc", &spec, &reason));
	ck_assert_str_eq(reason,
	    "a step needs workers of a failure domain that is out of service");
	spec.repeat_count = 1;
	ck_assert(fleet_can_ever_run(bed.fleet, "svc", &spec, &reason));
	spec = gang_of(&step, 2);
	ck_assert(fleet_can_ever_run(bed.fleet, "svc", &spec, &reason));
	bed_close(&bed);
}
END_TEST

static int
running_in_d1(const bed_t *bed)
{
	int running = 0;

	for (size_t i = 0; i < WORKERS_OF_D1; i++)
		running += (int)bed->workers[i].tasks->len;
	return running;
}

/* Returns how many of the four tasks are missing while some are moved. */
static int
missing_while_moved(const bed_t *bed)
{
	bool moves = false;
	int at_work = 0;

	for (guint i = 0; i < bed->fleet->runs->len; i++) {
		const run_t *run = g_ptr_array_index(bed->fleet->runs, i);

		at_work +=
		    !run->stopping && run->members[0].state == MEMBER_RUNNING;
		moves |=
		    g_strcmp0(run->stop_reason, "domain_out_of_service") == 0;
	}
	return moves ? 4 - at_work : 0;
}

/*
 * Four long-running tasks in a failure domain that goes out of service, with
 * room elsewhere.  Guards against tasks that stay though their step tolerates
 * missing ones, and against moving more at a time than it tolerates (_i).
 */
START_TEST(long_running_tasks_move)
{
	bed_t bed;
	int missing = 0;

	bed_open(&bed, WORKERS, 8);
	bed_set_domain_service(&bed, "d2", true);
	bed_submit_lasting(&bed, JOB, 4, 4, _i);
	for (size_t i = 0; i < WORKERS; i++)
		bed.workers[i].percent = 100;
	wait_for_running(&bed, 4);
	bed_set_domain_service(&bed, "d2", false);
	bed_set_domain_service(&bed, "d1", true);
	for (int ms = 0; ms < (_i == 0 ? 1500 : 20000); ms += 2) {
		bed_run_for(&bed, 2);
		missing = MAX(missing, missing_while_moved(&bed));
		if (running_in_d1(&bed) == 0 && bed_running(&bed, JOB) == 4)
			break;
	}
	ck_assert_int_le(missing, _i);
	ck_assert_int_eq(running_in_d1(&bed), _i == 0 ? 4 : 0);
	ck_assert(!bed.duplicate_run);
	bed_close(&bed);
}
END_TEST

/* Guards against moving long-running tasks that have nowhere to go. */
START_TEST(no_move_without_room)
{
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	bed_submit_lasting(&bed, JOB, WORKERS, 8, 2);
	for (size_t i = 0; i < WORKERS; i++)
		bed.workers[i].percent = 100;
	wait_for_running(&bed, WORKERS);
	bed_set_domain_service(&bed, "d1", true);
	bed_run_for(&bed, 1500);
	ck_assert_int_eq(bed_starts(&bed), WORKERS);
	ck_assert_int_eq(bed_running(&bed, JOB), WORKERS);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against an operator who does not learn that guarantees are at risk:
 * 16 accelerators are guaranteed, 48 or 16 or 0 are in service.
 */
START_TEST(guarantees_at_risk)
{
	counter_t *gauge;
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	gauge = bed.fleet->guarantees_at_risk;
	bed_set_domain_service(&bed, "d1", true);
	bed_run_for(&bed, 120);
	ck_assert_int_eq(counter_value(gauge), 0);
	bed_set_domain_service(&bed, "d2", true);
	bed_run_for(&bed, 120);
	ck_assert_int_eq(counter_value(gauge), 1);
	bed_set_domain_service(&bed, "d1", false);
	bed_run_for(&bed, 120);
	ck_assert_int_eq(counter_value(gauge), 0);
	bed_close(&bed);
}
END_TEST

static void
ignore_outcome(void *ctx, fleet_outcome_t outcome)
{
}

/*
 * Guards against workers that count as cold for ever, or where the settings do
 * not say how slow a cold one is.
 */
START_TEST(cold_workers_are_slow)
{
	fleet_announcement_t announcement = {.cold_left_ms = 2000};
	const worker_t *worker;
	int64_t now_ms;
	bed_t bed;

	bed_open(&bed, 1, 8);
	bed.fleet->timing.cold_stretch_percent = 200;
	announcement.worker = bed.workers[0].info;
	announcement.sequence = 1000;
	fleet_announce(bed.fleet, &announcement, ignore_outcome, NULL);
	worker = fleet_find_worker(bed.fleet, "w0");
	now_ms = fleet_now_ms();
	ck_assert_int_eq(worker_speed_now(worker, 0, now_ms), 50);
	ck_assert_int_eq(worker_speed_now(worker, 60, now_ms), 30);
	ck_assert_int_eq(worker_speed_now(worker, 220, now_ms), 50);
	ck_assert_int_eq(worker_speed_now(worker, 0, now_ms + 2000), 0);
	ck_assert_int_eq(worker_speed_now(worker, 60, now_ms + 2000), 60);
	bed.fleet->timing.cold_stretch_percent = 0;
	ck_assert_int_eq(worker_speed_now(worker, 60, now_ms), 60);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet_domains");
	TCase *tcase = tcase_create("fleet_domains");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, no_start_until_back);
	tcase_add_test(tcase, what_runs_may_finish);
	tcase_add_test(tcase, start_being_committed);
	tcase_add_loop_test(tcase, unanswered_start, 0, 2);
	tcase_add_test(tcase, smaller_room);
	tcase_add_loop_test(tcase, long_running_tasks_move, 0, 3);
	tcase_add_test(tcase, no_move_without_room);
	tcase_add_test(tcase, guarantees_at_risk);
	tcase_add_test(tcase, cold_workers_are_slow);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
