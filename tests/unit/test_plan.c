#include <glib.h>
#include <string.h>

#include "sched/preempt.h"
#include "sched/plan.h"
#include "tests/unit/runner.h"

#define WORKERS 8
#define PER_RACK 4
#define PER_DOMAIN 4
#define ACCELERATORS 8

typedef struct {
	fleet_worker_t info[WORKERS];
	char names[WORKERS][3][8];
	plan_worker_t workers[WORKERS];
	step_spec_t step;
	plan_unit_t unit;
} fixture_t;

/* Two racks of four idle workers, and a unit to place. */
static void
fixture_open(fixture_t *fixture, int members, int accelerators)
{
	memset(fixture, 0, sizeof(*fixture));
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(fixture->names[i][0], 8, "w%d", i);
		g_snprintf(fixture->names[i][1], 8, "r%d", i / PER_RACK);
		g_snprintf(fixture->names[i][2], 8, "d%d", i / PER_DOMAIN);
		fixture->info[i] = (fleet_worker_t){
		    .id = fixture->names[i][0],
		    .rack = fixture->names[i][1],
		    .domain = fixture->names[i][2],
		    .service = (char *)"svc",
		    .capacity = {64000, 64000, ACCELERATORS},
		};
		fixture->workers[i] = (plan_worker_t){
		    .worker = &fixture->info[i],
		    .free = fixture->info[i].capacity,
		    .usable = true,
		};
	}
	fixture->step = (step_spec_t){
	    .count = members,
	    .shape = {1000, 1000, accelerators},
	    .gang = members > 1,
	    .same_rack = members > 1,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)"",
	};
	fixture->unit = (plan_unit_t){
	    .service = "svc", .step = &fixture->step, .members = members};
}

static bool
try_plan(fixture_t *fixture)
{
	pool_t *pool = pool_create(fixture->workers, WORKERS);
	bool placed;

	for (int i = 0; i < WORKERS; i++)
		fixture->workers[i].chosen = 0;
	placed = plan_unit(pool, &fixture->unit, PLAN_FREE);
	pool_destroy(pool);
	return placed;
}

static bool
try_preempt(fixture_t *fixture, const preemptible_member_t *members,
    preemptible_run_t *runs)
{
	pool_t *pool = pool_create(fixture->workers, WORKERS);
	bool chosen = preempt_choose_runs(
	    pool, &fixture->unit, members, WORKERS, runs, WORKERS);

	pool_destroy(pool);
	return chosen;
}

static int
chosen_in(const fixture_t *fixture, int rack)
{
	int count = 0;

	for (int i = rack * PER_RACK; i < (rack + 1) * PER_RACK; i++)
		count += fixture->workers[i].chosen;
	return count;
}

/* Guards against a gang that spans racks although one has space for it. */
START_TEST(gang_in_one_rack)
{
	fixture_t fixture;

	fixture_open(&fixture, 4, 8);
	fixture.workers[1].free.accelerators = 0;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 0), 0);
	ck_assert_int_eq(chosen_in(&fixture, 1), 4);
	fixture.workers[5].free.accelerators = 0;
	ck_assert(!try_plan(&fixture));
	fixture.unit.may_spread = true;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 0) + chosen_in(&fixture, 1), 4);
}
END_TEST

/*
 * Load pattern: a failure domain is cut off while gangs run.  Guards against a
 * gang that spans two domains or racks although one has space for it: the loss
 * of any member ends the whole gang.
 */
START_TEST(gang_in_one_domain)
{
	fixture_t fixture;

	fixture_open(&fixture, 4, 8);
	fixture.step.same_rack = false;
	fixture.workers[0].free.accelerators = 0;
	fixture.workers[1].free.accelerators = 0;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 0), 0);
	/* Racks of two workers: no rack has space, but domain 1 has. */
	for (int i = 0; i < WORKERS; i++)
		g_snprintf(fixture.names[i][1], 8, "r%d", i / 2);
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 0), 0);
	fixture.workers[7].free.accelerators = 0;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 0) + chosen_in(&fixture, 1), 4);
}
END_TEST

/* Guards against small tasks that fragment idle workers. */
START_TEST(small_tasks_are_packed)
{
	fixture_t fixture;

	fixture_open(&fixture, 1, 1);
	fixture.workers[3].free.accelerators = 5;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(fixture.workers[3].chosen, 1);
}
END_TEST

/* Guards against ignored per-worker limits, labels and unusable workers. */
START_TEST(constraints)
{
	fixture_t fixture;

	fixture_open(&fixture, 1, 1);
	for (int i = 0; i < WORKERS; i++)
		fixture.workers[i].usable = i == 2;
	fixture.step.max_per_worker = 1;
	ck_assert(try_plan(&fixture));
	fixture.workers[2].same_step = 1;
	ck_assert(!try_plan(&fixture));
	fixture.workers[2].same_step = 0;
	fixture.step.label = (char *)"b";
	ck_assert(!try_plan(&fixture));
}
END_TEST

/* Guards against accepting jobs that cannot run even on an idle fleet. */
START_TEST(never_fits)
{
	fixture_t fixture;

	fixture_open(&fixture, 1, ACCELERATORS + 1);
	ck_assert(!plan_can_ever_fit(fixture.workers, WORKERS, &fixture.unit));
	fixture_open(&fixture, WORKERS, ACCELERATORS);
	for (int i = 0; i < WORKERS; i++)
		fixture.workers[i].free = (resources_t){0};
	ck_assert(plan_can_ever_fit(fixture.workers, WORKERS, &fixture.unit));
}
END_TEST

/* Fills each worker with one run, with the given losses. */
static void
fill_workers(fixture_t *fixture, preemptible_member_t *members,
    preemptible_run_t *runs, const int64_t *loss)
{
	for (int i = 0; i < WORKERS; i++) {
		fixture->workers[i].free.accelerators = 0;
		members[i] = (preemptible_member_t){
		    .worker = (size_t)i, .run = (size_t)i, .shape = {0, 0, 8}};
		runs[i] = (preemptible_run_t){.loss = loss[i]};
	}
}

/*
 * Load pattern: an urgent gang arrives while the fleet is full.  Guards against
 * preempting more than needed: only the cheapest runs of the rack with the
 * lowest loss are preempted, and no more than the gang needs.
 */
START_TEST(preempts_least_loss)
{
	static const int64_t loss[WORKERS] = {9, 9, 9, 9, 1, 2, 3, 50};
	preemptible_member_t members[WORKERS];
	preemptible_run_t runs[WORKERS];
	fixture_t fixture;

	fixture_open(&fixture, 3, 8);
	fill_workers(&fixture, members, runs, loss);
	ck_assert(try_preempt(&fixture, members, runs));
	for (int i = 0; i < WORKERS; i++)
		ck_assert_int_eq(runs[i].preempted, i >= 4 && i <= 6);
	ck_assert_int_eq(chosen_in(&fixture, 1), 3);
}
END_TEST

/* Guards against preemption where resources are free or cannot suffice. */
START_TEST(preempts_only_if_needed)
{
	static const int64_t loss[WORKERS] = {1, 1, 1, 1, 1, 1, 1, 1};
	preemptible_member_t members[WORKERS];
	preemptible_run_t runs[WORKERS];
	fixture_t fixture;

	fixture_open(&fixture, 4, 8);
	fill_workers(&fixture, members, runs, loss);
	for (int i = 0; i < 3; i++) {
		fixture.workers[i].free.accelerators = 8;
		members[i].shape.accelerators = 0;
	}
	ck_assert(try_preempt(&fixture, members, runs));
	for (int i = 0; i < WORKERS; i++)
		ck_assert_int_eq(runs[i].preempted, i == 3);
	fixture.step.shape.accelerators = 9;
	for (int i = 0; i < WORKERS; i++)
		runs[i].preempted = false;
	ck_assert(!try_preempt(&fixture, members, runs));
	for (int i = 0; i < WORKERS; i++)
		ck_assert(!runs[i].preempted);
}
END_TEST

/* Returns the worker with the single task. */
static int
chosen_worker(fixture_t *fixture)
{
	ck_assert(try_plan(fixture));
	for (int i = 0; i < WORKERS; i++) {
		if (fixture->workers[i].chosen > 0)
			return i;
	}
	return -1;
}

/*
 * Load pattern: some workers are half as fast as usual, others twice as fast,
 * and urgent tasks arrive among others.  Guards against urgent tasks on slow
 * workers while others are free, and against tasks with time to spare that
 * leave slow workers idle; a full fleet still uses every worker.
 */
START_TEST(speed_of_single_tasks)
{
	fixture_t fixture;

	fixture_open(&fixture, 1, 1);
	fixture.workers[2].speed_percent = 46;
	fixture.workers[2].free.accelerators = 1; /* the least to spare */
	ck_assert_int_eq(chosen_worker(&fixture), 2);
	fixture.unit.needed_speed_percent = 61;
	ck_assert_int_ne(chosen_worker(&fixture), 2);
	fixture.workers[2].free.accelerators = ACCELERATORS;
	fixture.workers[3].free.accelerators = 1;
	fixture.workers[3].speed_percent = 218;
	fixture.unit.needed_speed_percent = 33;
	ck_assert_int_eq(chosen_worker(&fixture), 2);
	fixture.workers[2].speed_percent = 0;
	fixture.workers[4].free.accelerators = 1;
	fixture.workers[3].free.accelerators = ACCELERATORS;
	ck_assert_int_eq(chosen_worker(&fixture), 4);
	fixture.unit.prefers_fast = true;
	ck_assert_int_eq(chosen_worker(&fixture), 3);
	/* The fastest of the slow ones, if only these are left. */
	for (int i = 0; i < WORKERS; i++)
		fixture.workers[i].speed_percent = i == 5 ? 60 : 46;
	fixture.workers[4].free.accelerators = ACCELERATORS;
	ck_assert_int_eq(chosen_worker(&fixture), 5);
	fixture.unit.avoids_slow = true;
	ck_assert(!try_plan(&fixture));
}
END_TEST

/* Returns how many members are on workers known as slow or fast. */
static int
chosen_unlike(const fixture_t *fixture)
{
	int count = 0;

	for (int i = 0; i < WORKERS; i++) {
		if (fixture->workers[i].speed_percent > 0)
			count += fixture->workers[i].chosen;
	}
	return count;
}

/*
 * Load pattern: as above, with gangs.  Guards against a gang that waits for one
 * slow member although it fits on workers of like speed: in another rack, or,
 * where racks do not matter to it, in several.
 */
START_TEST(speed_of_gangs)
{
	fixture_t fixture;

	fixture_open(&fixture, 3, 8);
	fixture.unit.needed_speed_percent = 61;
	fixture.workers[0].free.accelerators = 0; /* rack 0 is the fullest */
	fixture.workers[1].speed_percent = 46;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 1), 3);
	/* With time to spare, still not one slow member for all. */
	fixture.unit.needed_speed_percent = 33;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_unlike(&fixture), 0);
	/* All slow members are as good, and leave the others free. */
	fixture.workers[2].speed_percent = 46;
	fixture.workers[3].speed_percent = 46;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_unlike(&fixture), 3);
	/* Only several racks together have three fast workers. */
	fixture.unit.needed_speed_percent = 61;
	fixture.workers[3].speed_percent = 0;
	fixture.workers[4].speed_percent = 46;
	fixture.workers[5].speed_percent = 46;
	fixture.step.same_rack = false;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_unlike(&fixture), 0);
	fixture.step.same_rack = true;
	ck_assert(try_plan(&fixture));
	ck_assert_int_gt(chosen_unlike(&fixture), 0);
}
END_TEST

/*
 * Load pattern: as above.  Guards against an urgent gang beside fast workers
 * that hold it, and against fast members that wait for usual ones.
 */
START_TEST(fast_gangs)
{
	fixture_t fixture;

	fixture_open(&fixture, 3, 8);
	fixture.unit.needed_speed_percent = 61;
	fixture.unit.prefers_fast = true;
	for (int i = 5; i < WORKERS; i++)
		fixture.workers[i].speed_percent = 218;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_unlike(&fixture), 3);
	fixture.workers[7].free.accelerators = 0;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_unlike(&fixture), 0);
}
END_TEST

/*
 * Load pattern: tasks slow each other down on the fullest workers.  Guards
 * against a task that joins them although there is room elsewhere, that waits
 * for such room, or that takes an idle worker which a gang needs.
 */
START_TEST(crowded_workers_are_avoided)
{
	fixture_t fixture;

	fixture_open(&fixture, 1, 1);
	fixture.workers[2].free.accelerators = 1;
	fixture.workers[5].free.accelerators = 4;
	ck_assert_int_eq(chosen_worker(&fixture), 2);
	fixture.workers[2].crowding = 3;
	ck_assert_int_eq(chosen_worker(&fixture), 5);
	fixture.workers[5].crowding = 4;
	ck_assert_int_eq(chosen_worker(&fixture), 2);
	/* Suspects come last, however little they are crowded. */
	fixture.workers[5].crowding = 0;
	fixture.workers[5].penalty = 10;
	ck_assert_int_eq(chosen_worker(&fixture), 2);
	/* The fleet is full but for a crowded worker. */
	for (int i = 0; i < WORKERS; i++)
		fixture.workers[i].free.accelerators = i == 2;
	ck_assert_int_eq(chosen_worker(&fixture), 2);
}
END_TEST

/* Guards against a gang that leaves its rack because of crowding. */
START_TEST(crowded_gang_stays_together)
{
	fixture_t fixture;

	fixture_open(&fixture, 2, 4);
	for (int i = 0; i < PER_RACK; i++) {
		fixture.workers[i].crowding = i < 2 ? 5 : 0;
		fixture.workers[i].free.accelerators = 4;
	}
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(fixture.workers[2].chosen, 1);
	ck_assert_int_eq(fixture.workers[3].chosen, 1);
	fixture.workers[3].free.accelerators = 0;
	ck_assert(try_plan(&fixture));
	ck_assert_int_eq(chosen_in(&fixture, 0), 2);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("plan");
	TCase *tcase = tcase_create("plan");

	tcase_add_test(tcase, gang_in_one_rack);
	tcase_add_test(tcase, gang_in_one_domain);
	tcase_add_test(tcase, small_tasks_are_packed);
	tcase_add_test(tcase, constraints);
	tcase_add_test(tcase, never_fits);
	tcase_add_test(tcase, preempts_least_loss);
	tcase_add_test(tcase, preempts_only_if_needed);
	tcase_add_test(tcase, speed_of_single_tasks);
	tcase_add_test(tcase, speed_of_gangs);
	tcase_add_test(tcase, fast_gangs);
	tcase_add_test(tcase, crowded_workers_are_avoided);
	tcase_add_test(tcase, crowded_gang_stays_together);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
