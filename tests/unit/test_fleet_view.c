#include <glib.h>

#include "common/clock.h"
#include "common/loop_watch.h"
#include "sched/fleet_private.h"
#include "sched/plan.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* The leader's view of workers and jobs, compared with what it stands for. */

#define TEST_TIMEOUT_S 120
#define WORKERS 6
#define ROUNDS 120
#define JOB "00000000000000aa"
/* Longer than a poll may take: its answer is given up after the pause. */
#define PAUSE_MS 1600

static void
expect_equal(const resources_t *a, const resources_t *b)
{
	ck_assert_int_eq(a->cpu_milli, b->cpu_milli);
	ck_assert_int_eq(a->memory_mb, b->memory_mb);
	ck_assert_int_eq(a->accelerators, b->accelerators);
}

static void
check_worker(const worker_t *worker)
{
	resources_t held = {0};
	resources_t releasing = {0};

	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);
		const run_t *run = member->run;

		plan_add(&held, &run->shape, 1);
		if (run->stopping || run->any_done)
			plan_add(&releasing, &run->shape, 1);
	}
	expect_equal(&worker->held, &held);
	expect_equal(&worker->releasing, &releasing);
}

static void
check_job(ledger_job_t *job)
{
	size_t waiting = 0;

	for (size_t i = 0; i < job->unit_count; i++) {
		const ledger_unit_t *unit = ledger_unit_at(job, i);

		waiting += unit->state == UNIT_WAITING;
		ck_assert_ptr_eq(ledger_unit_of_task(job, unit->occurrence,
				     unit->step, unit->first),
		    unit);
	}
	ck_assert_uint_eq(job->units_waiting, waiting);
}

static void
check_view(bed_t *bed)
{
	GQueue *open = ledger_open_jobs(fleet_ledger(bed->fleet));
	GHashTableIter iter;
	gpointer worker;

	g_hash_table_iter_init(&iter, bed->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		check_worker(worker);
	for (GList *at = open->head; at != NULL; at = at->next)
		check_job(at->data);
}

static void
change_at_random(bed_t *bed, GRand *random, int round)
{
	static const char *const queues[] = {"batch", "urgent", "prompt"};
	static const run_outcome_t ends[] = {
	    RUN_DONE, RUN_FAILED, RUN_LEASE_EXPIRED};
	size_t worker = (size_t)g_rand_int_range(random, 0, WORKERS);
	char id[17];

	g_snprintf(id, sizeof(id), "%016x",
	    g_rand_int_range(random, MAX(round - 8, 0), round + 1) + 1);
	switch (g_rand_int_range(random, 0, 8)) {
	case 0:
		bed_end_tasks(bed, NULL, ends[g_rand_int_range(random, 0, 3)]);
		break;
	case 1:
		bed_end_tasks(bed, id, ends[g_rand_int_range(random, 0, 3)]);
		break;
	case 2:
		bed_cancel(bed, id);
		break;
	case 3:
		bed_restart_worker(bed, worker);
		break;
	case 4:
		bed->workers[worker].unreachable =
		    !bed->workers[worker].unreachable;
		break;
	default:
		g_snprintf(id, sizeof(id), "%016x", round + 1);
		bed_submit(bed, id, queues[g_rand_int_range(random, 0, 3)],
		    g_rand_int_range(random, 1, 6),
		    g_rand_int_range(random, 1, 9), g_rand_boolean(random));
		break;
	}
}

/*
 * Guards against counts that drift: what runs hold on a worker, and the units
 * of a job that wait, equal what is counted from nothing after any series of
 * starts, ends, preemptions, cancellations and losses.
 */
START_TEST(counts_follow_changes)
{
	GRand *random = g_rand_new_with_seed((guint32)_i);
	bed_t bed;

	bed_open(&bed, WORKERS, 8);
	for (int round = 0; round < ROUNDS; round++) {
		change_at_random(&bed, random, round);
		bed_run_for(&bed, 8);
		check_view(&bed);
	}
	bed_close(&bed);
	g_rand_free(random);
}
END_TEST

static bool
task_runs(void *ctx)
{
	return bed_running(ctx, JOB) == 1;
}

static bool
is_polling(void *ctx)
{
	bed_t *bed = ctx;

	return fleet_find_worker(bed->fleet, bed->workers[0].info.id)->polling;
}

/*
 * The leader's process is paused while a worker answers.  Guards against a
 * worker that counts as lost because the leader did not listen.
 */
START_TEST(pause_of_leader_blames_no_worker)
{
	bed_t bed;
	worker_t *worker;
	int64_t end_ms;

	bed_open(&bed, 1, 8);
	loop_watch_start(bed.loop, true);
	bed_submit(&bed, JOB, "batch", 1, 1, false);
	ck_assert(system_wait(bed.loop, task_runs, &bed));
	worker = fleet_find_worker(bed.fleet, bed.workers[0].info.id);
	bed_run_for(&bed, 50);
	bed.workers[0].unreachable = true;
	ck_assert(system_wait(bed.loop, is_polling, &bed));
	g_usleep(PAUSE_MS * CLOCK_US_PER_MS);
	end_ms = clock_mono_ms() + 100;
	while (clock_mono_ms() < end_ms) {
		ev_run(bed.loop, EVRUN_NOWAIT);
		ck_assert(worker->reachable);
		g_usleep(50);
	}
	loop_watch_stop();
	bed_close(&bed);
}
END_TEST

static void
on_departed(void *ctx, fleet_outcome_t outcome)
{
	*(bool *)ctx = outcome == FLEET_OK;
}

static bool
is_set(void *ctx)
{
	return *(bool *)ctx;
}

/*
 * An announcement of a worker that has left arrives late: at once, and at the
 * next leader.  Guards against using such a worker again.
 */
START_TEST(departed_worker_stays_away)
{
	bool departed = false;
	bed_t bed;

	bed_open(&bed, 1, 8);
	fleet_deregister(bed.fleet, bed.workers[0].info.id,
	    bed.workers[0].info.born, on_departed, &departed);
	bed_announce(&bed, 0);
	ck_assert(system_wait(bed.loop, is_set, &departed));
	bed_announce(&bed, 0);
	ck_assert_uint_eq(g_hash_table_size(bed.fleet->workers), 0);
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 300);
	bed_announce(&bed, 0);
	ck_assert(bed.fleet->leading);
	ck_assert_uint_eq(g_hash_table_size(bed.fleet->workers), 0);
	/* A new incarnation under the same id is another matter. */
	bed_restart_worker(&bed, 0);
	ck_assert_uint_eq(g_hash_table_size(bed.fleet->workers), 1);
	bed_run_for(&bed, 100);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a job that is missing from the count of those that have not
 * begun: its start is decided, but reaches no worker.
 */
START_TEST(job_without_a_task_at_work_is_pending)
{
	const ledger_t *ledger;
	bed_t bed;

	bed_open(&bed, 2, 8);
	ledger = fleet_ledger(bed.fleet);
	for (size_t i = 0; i < bed.worker_count; i++)
		bed.workers[i].loses_starts = true;
	bed_submit(&bed, JOB, "batch", 1, 8, false);
	bed_run_for(&bed, 300);
	ck_assert_int_eq(ledger_pending_count(ledger, "batch"), 1);
	ck_assert_int_eq(ledger_pending_count(ledger, "urgent"), 0);
	for (size_t i = 0; i < bed.worker_count; i++)
		bed.workers[i].loses_starts = false;
	ck_assert(system_wait(bed.loop, task_runs, &bed));
	bed_run_for(&bed, 100);
	ck_assert_int_eq(ledger_pending_count(ledger, "batch"), 0);
	/* A new leader learns it from the worker. */
	bed_restart_fleet(&bed);
	bed_run_for(&bed, 300);
	ck_assert_int_eq(ledger_pending_count(ledger, "batch"), 0);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet view");
	TCase *tcase = tcase_create("fleet view");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_loop_test(tcase, counts_follow_changes, 0, 6);
	tcase_add_test(tcase, pause_of_leader_blames_no_worker);
	tcase_add_test(tcase, departed_worker_stays_away);
	tcase_add_test(tcase, job_without_a_task_at_work_is_pending);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
