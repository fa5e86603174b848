#include <glib.h>
#include <string.h>
#include <time.h>

#include "sched/preempt.h"
#include "tests/unit/runner.h"

/*
 * Load pattern: urgent gangs arrive while a large fleet is full of single
 * tasks. The leader chooses the runs to preempt in its event loop, between
 * heartbeats.
 */

#define WORKERS 350
#define PER_RACK 20
#define PER_WORKER 8
#define MEMBERS (WORKERS * PER_WORKER)
#define GANG 13
#define REPETITIONS 20
/* A tenth of the default heartbeat interval; the loop has other work too. */
#define MAX_CHOICE_MS 10.0

typedef struct {
	fleet_worker_t info[WORKERS];
	char ids[WORKERS][8];
	char racks[WORKERS][8];
	plan_worker_t workers[WORKERS];
	preemptible_member_t members[MEMBERS];
	preemptible_run_t runs[MEMBERS];
	step_spec_t step;
	plan_unit_t unit;
} fixture_t;

/* A full fleet; each worker holds eight runs of one accelerator. */
static fixture_t *
fixture_create(bool same_rack)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	for (size_t i = 0; i < WORKERS; i++) {
		g_snprintf(fixture->ids[i], 8, "w%zu", i);
		g_snprintf(fixture->racks[i], 8, "r%zu", i / PER_RACK);
		fixture->info[i] = (fleet_worker_t){
		    .id = fixture->ids[i],
		    .rack = fixture->racks[i],
		    .domain = (char *)"d",
		    .service = (char *)"svc",
		};
		fixture->workers[i] = (plan_worker_t){
		    .worker = &fixture->info[i], .usable = true};
	}
	for (size_t m = 0; m < MEMBERS; m++) {
		fixture->members[m] = (preemptible_member_t){
		    .worker = m / PER_WORKER, .run = m, .shape = {8000, 16, 1}};
		/* 7919 is prime, so that each run has a different loss. */
		fixture->runs[m].loss = (int64_t)(m * 7919 % MEMBERS) + 1;
	}
	fixture->step = (step_spec_t){
	    .count = GANG,
	    .shape = {32000, 64, 4},
	    .gang = true,
	    .same_rack = same_rack,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)"",
	};
	fixture->unit = (plan_unit_t){
	    .service = "svc", .step = &fixture->step, .members = GANG};
	return fixture;
}

static bool
preempt(fixture_t *fixture)
{
	pool_t *pool = pool_create(fixture->workers, WORKERS);
	bool chosen = preempt_choose_runs(pool, &fixture->unit,
	    fixture->members, MEMBERS, fixture->runs, MEMBERS);

	pool_destroy(pool);
	return chosen;
}

static double
cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/*
 * Guards against a search that blocks the leader's event loop: a search of 32
 * ms (350 workers) made the leader lose its leadership whenever urgent work
 * arrived.
 */
START_TEST(search_does_not_block_loop)
{
	fixture_t *fixture = fixture_create(_i == 1);
	double start_ms = cpu_ms();

	for (int i = 0; i < REPETITIONS; i++)
		ck_assert(preempt(fixture));
	ck_assert_double_lt((cpu_ms() - start_ms) / REPETITIONS, MAX_CHOICE_MS);
	g_free(fixture);
}
END_TEST

/* Guards against members placed where too little is freed, against more runs
 * preempted than needed, and against a same-rack gang that spans racks. */
START_TEST(gang_fits_into_freed_resources)
{
	fixture_t *fixture = fixture_create(true);
	int freed[WORKERS] = {0};
	const char *rack = NULL;
	int placed = 0;
	int stopped = 0;

	ck_assert(preempt(fixture));
	for (size_t m = 0; m < MEMBERS; m++) {
		freed[fixture->members[m].worker] += fixture->runs[m].preempted;
		stopped += fixture->runs[m].preempted;
	}
	for (size_t i = 0; i < WORKERS; i++) {
		const plan_worker_t *worker = &fixture->workers[i];

		if (worker->chosen == 0)
			continue;
		placed += worker->chosen;
		ck_assert_int_ge(freed[i], 4 * worker->chosen);
		if (rack == NULL)
			rack = worker->worker->rack;
		ck_assert_str_eq(worker->worker->rack, rack);
	}
	ck_assert_int_eq(placed, GANG);
	ck_assert_int_eq(stopped, 4 * GANG);
	g_free(fixture);
}
END_TEST

/* Guards against stale losses: preempting a run with members on two workers
 * frees resources on both, so the second worker adds no loss. */
START_TEST(run_spans_two_workers)
{
	fixture_t *fixture = fixture_create(false);

	fixture->unit.members = 2;
	fixture->step.shape = (resources_t){8000, 16, 1};
	for (size_t m = 0; m < MEMBERS; m++)
		fixture->runs[m].loss = 1000;
	/* Run 0 has a member on the first and on the last worker. */
	fixture->members[MEMBERS - 1].run = 0;
	fixture->runs[0].loss = 10;
	ck_assert(preempt(fixture));
	ck_assert(fixture->runs[0].preempted);
	for (size_t m = 1; m < MEMBERS; m++)
		ck_assert(!fixture->runs[m].preempted);
	ck_assert_int_eq(fixture->workers[0].chosen, 1);
	ck_assert_int_eq(fixture->workers[WORKERS - 1].chosen, 1);
	g_free(fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("preempt");
	TCase *tcase = tcase_create("preempt");

	tcase_add_loop_test(tcase, search_does_not_block_loop, 0, 2);
	tcase_add_test(tcase, gang_fits_into_freed_resources);
	tcase_add_test(tcase, run_spans_two_workers);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
