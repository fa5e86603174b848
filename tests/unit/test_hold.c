#include <glib.h>
#include <string.h>

#include "sched/hold.h"
#include "tests/unit/runner.h"

#define WORKERS 12
#define PER_RACK 4
#define ACCELERATORS 8
#define TICKS 400

typedef struct {
	fleet_worker_t info[WORKERS];
	char names[WORKERS][2][8];
	plan_worker_t workers[WORKERS];
	GRand *random;
	step_spec_t task;
	step_spec_t gang;
} fixture_t;

static step_spec_t
make_step(int count, int accelerators)
{
	return (step_spec_t){.count = count,
	    .shape = {1000, 1000, accelerators},
	    .gang = count > 1,
	    .same_rack = count > 1,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)""};
}

/* Three racks, all full of single tasks of one accelerator. */
static void
fixture_open(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->random = g_rand_new_with_seed(7);
	fixture->task = make_step(1, 1);
	fixture->gang = make_step(3, ACCELERATORS);
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(fixture->names[i][0], 8, "w%d", i);
		g_snprintf(fixture->names[i][1], 8, "r%d", i / PER_RACK);
		fixture->info[i] = (fleet_worker_t){
		    .id = fixture->names[i][0],
		    .rack = fixture->names[i][1],
		    .domain = fixture->names[i][1],
		    .service = (char *)"svc",
		    .capacity = {64000, 64000, ACCELERATORS},
		};
		fixture->workers[i] = (plan_worker_t){
		    .worker = &fixture->info[i], .free = {56000, 56000, 0}};
	}
}

/* One of the running tasks ends. */
static void
end_one_task(fixture_t *fixture)
{
	for (;;) {
		plan_worker_t *worker = &fixture->workers[g_rand_int_range(
		    fixture->random, 0, WORKERS)];

		if (worker->free.accelerators == ACCELERATORS)
			continue;
		plan_add(&worker->free, &fixture->task.shape, 1);
		return;
	}
}

/* A planning round: the gang first, then as many tasks as fit.  Returns whether
 * the gang was placed. */
static bool
play_round(fixture_t *fixture, bool holds)
{
	plan_unit_t gang = {
	    .service = "svc", .step = &fixture->gang, .members = 3};
	plan_unit_t task = {
	    .service = "svc", .step = &fixture->task, .members = 1};
	pool_t *pool;
	bool placed;

	for (int i = 0; i < WORKERS; i++)
		fixture->workers[i].usable = true;
	pool = pool_create(fixture->workers, WORKERS);
	placed = plan_unit(pool, &gang, PLAN_FREE);
	if (!placed && holds)
		ck_assert_uint_eq(hold_workers(pool, &gang, WORKERS), 3);
	while (!placed && plan_unit(pool, &task, PLAN_FREE))
		pool_take(pool, pool_choice(pool, 0), &task.step->shape, 1);
	pool_destroy(pool);
	return placed;
}

/* Returns after how many ended tasks the gang starts, TICKS if it does not. */
static int
ticks_until_gang_starts(bool holds)
{
	fixture_t fixture;
	int tick = 0;

	fixture_open(&fixture);
	while (tick < TICKS && !play_round(&fixture, holds)) {
		end_one_task(&fixture);
		tick++;
	}
	g_rand_free(fixture.random);
	return tick;
}

/*
 * Guards against a gang that starves while single tasks behind it fill each
 * accelerator as it becomes free.
 */
START_TEST(gang_behind_small_tasks)
{
	ck_assert_int_eq(ticks_until_gang_starts(false), TICKS);
	/* A third of the tasks end on any three workers of twelve in 96. */
	ck_assert_int_lt(ticks_until_gang_starts(true), TICKS);
}
END_TEST

/* Guards against holding more workers than allowed, or where it is no use. */
START_TEST(holds_only_what_helps)
{
	fixture_t fixture;
	plan_unit_t gang = {
	    .service = "svc", .step = &fixture.gang, .members = 3};
	pool_t *pool;

	fixture_open(&fixture);
	for (int i = 0; i < WORKERS; i++)
		fixture.workers[i].usable = true;
	pool = pool_create(fixture.workers, WORKERS);
	ck_assert_uint_eq(hold_workers(pool, &gang, 2), 0);
	gang.members = PER_RACK + 1;
	ck_assert_uint_eq(hold_workers(pool, &gang, WORKERS), 0);
	gang.may_spread = true;
	ck_assert_uint_eq(hold_workers(pool, &gang, WORKERS), PER_RACK + 1);
	pool_destroy(pool);
	g_rand_free(fixture.random);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("hold");
	TCase *tcase = tcase_create("hold");

	tcase_add_test(tcase, gang_behind_small_tasks);
	tcase_add_test(tcase, holds_only_what_helps);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
