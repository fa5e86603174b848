#include <glib.h>
#include <stdbool.h>

#include "sched/speed.h"
#include "tests/unit/runner.h"

/*
 * Load pattern: a fleet of which a quarter runs at another speed than the rest,
 * under steps of many tasks whose lengths differ from step to step.
 */

#define WORKERS 40
#define UNLIKE_EVERY 4
#define UNLIKE (WORKERS / UNLIKE_EVERY)
#define STEP_TASKS 30
#define STEP_INTERVAL_MS 250
#define SLOW_PERCENT 67
/* Ends on each worker, on average, until the fleet is known. */
#define LEARNING_ENDS 20
#define LEARNING_STEPS (LEARNING_ENDS * WORKERS / STEP_TASKS)
#define NOISE 0.15

typedef struct {
	speed_history_t histories[WORKERS];
	speed_history_t *refs[WORKERS];
	double speeds[WORKERS]; /* relative */
	GRand *random;
	uint64_t tasks;
	uint64_t kinds;
	int64_t now_ms;
} world_t;

static void
world_open(world_t *world, guint32 seed, double unlike_speed)
{
	*world =
	    (world_t){.random = g_rand_new_with_seed(seed), .now_ms = 1000};
	for (int i = 0; i < WORKERS; i++) {
		world->refs[i] = &world->histories[i];
		world->speeds[i] = i % UNLIKE_EVERY == 0 ? unlike_speed : 1.0;
	}
}

static void
world_close(world_t *world)
{
	g_rand_free(world->random);
}

static void
fit(world_t *world)
{
	speed_fit(world->refs, WORKERS, SLOW_PERCENT, world->now_ms);
}

/* A task of the kind ends on the worker. */
static void
end_task(world_t *world, uint64_t kind, int worker, double work_ms)
{
	speed_observation_t observation = {
	    .kind = kind,
	    .task = ++world->tasks,
	    .full_ms = (int64_t)(work_ms / world->speeds[worker]),
	    .seen_ms = world->now_ms,
	    .family = 1,
	    .weight = SPEED_WEIGHT_TASK,
	};

	speed_observe(&world->histories[worker], &observation);
}

/* A gang has a member on each of some workers. */
static void
run_gang(world_t *world, int first, int members, double work_ms)
{
	uint64_t kind = ++world->kinds;

	for (int m = 0; m < members; m++) {
		int worker = (first + m) % WORKERS;
		speed_observation_t observation = {
		    .kind = kind,
		    .task = kind,
		    .full_ms = (int64_t)(work_ms / world->speeds[worker]),
		    .seen_ms = world->now_ms,
		    .weight = SPEED_WEIGHT_GANG,
		};

		speed_observe(&world->histories[worker], &observation);
	}
}

static int
count_known(const world_t *world, bool unlike)
{
	int count = 0;

	for (int i = 0; i < WORKERS; i++) {
		if ((i % UNLIKE_EVERY == 0) == unlike)
			count += world->histories[i].percent > 0;
	}
	return count;
}

/*
 * Runs steps of tasks on random workers; noise is the spread of their work.
 * Returns how often a worker counted as slow or fast.
 */
static int
run_steps(world_t *world, int steps, double noise)
{
	int known = 0;

	for (int s = 0; s < steps; s++) {
		uint64_t kind = ++world->kinds;
		double step_ms = g_rand_double_range(world->random, 1e3, 2e4);

		world->now_ms += STEP_INTERVAL_MS;
		for (int t = 0; t < STEP_TASKS; t++)
			end_task(world, kind,
			    g_rand_int_range(world->random, 0, WORKERS),
			    step_ms * g_rand_double_range(
					  world->random, 1 - noise, 1 + noise));
		fit(world);
		known += count_known(world, true) + count_known(world, false);
	}
	return known;
}

/* Guards against workers that stay unknown, and usual ones that are blamed. */
START_TEST(quarter_is_learned)
{
	static const double speeds[] = {0.5, 2.2};
	double speed = speeds[_i];

	for (guint32 seed = 1; seed <= 20; seed++) {
		world_t world;

		world_open(&world, seed, speed);
		run_steps(&world, LEARNING_STEPS, NOISE);
		ck_assert_int_eq(count_known(&world, true), UNLIKE);
		ck_assert_int_eq(count_known(&world, false), 0);
		ck_assert_int_gt(world.histories[0].percent, (int)(speed * 80));
		ck_assert_int_lt(
		    world.histories[0].percent, (int)(speed * 120));
		world_close(&world);
	}
}
END_TEST

/*
 * Guards against a wrong measure: the first kinds run mostly on workers of the
 * smaller part, which look usual among themselves.
 */
START_TEST(minority_is_no_measure)
{
	world_t world;

	world_open(&world, 1, 2.2);
	for (int round = 0; round < 6; round++) {
		uint64_t kind = ++world.kinds;

		for (int t = 0; t < STEP_TASKS; t++)
			end_task(&world, kind,
			    t % 5 == 0 ? 1 + t % 3 : t % 10 * UNLIKE_EVERY,
			    5000);
	}
	run_steps(&world, LEARNING_STEPS, NOISE);
	ck_assert_int_eq(count_known(&world, true), UNLIKE);
	ck_assert_int_eq(count_known(&world, false), 0);
	world_close(&world);
}
END_TEST

/* Gangs tell the speed of workers that have no other tasks. */
START_TEST(gangs_tell)
{
	world_t world;

	world_open(&world, 1, 0.5);
	for (int g = 0; g < 2 * WORKERS; g++)
		run_gang(&world, g * 3, 6, 2000 + 100 * g);
	fit(&world);
	ck_assert_int_eq(count_known(&world, true), UNLIKE);
	ck_assert_int_eq(count_known(&world, false), 0);
	world_close(&world);
}
END_TEST

/* Guards against learning from chance, also where tasks of a step differ. */
START_TEST(noise_teaches_nothing)
{
	static const double noises[] = {NOISE, 0.3, 0.9};

	for (guint32 seed = 1; seed <= 20; seed++) {
		world_t world;

		world_open(&world, seed, 1.0);
		ck_assert_int_eq(run_steps(&world, 100, noises[_i]), 0);
		world_close(&world);
	}
}
END_TEST

/*
 * Guards against blaming a worker for a kind of task that is slow everywhere,
 * and for a single straggler, however often it is polled.
 */
START_TEST(slow_kind_teaches_nothing)
{
	world_t world;

	world_open(&world, 1, 1.0);
	run_steps(&world, LEARNING_STEPS, NOISE);
	world.kinds++;
	for (int t = 0; t < STEP_TASKS; t++)
		end_task(&world, world.kinds, t % 6, 60000);
	for (int i = 0; i < 10; i++) {
		world.tasks = 1000000;
		end_task(&world, world.kinds, 0, 600000);
		fit(&world);
		ck_assert_int_eq(count_known(&world, true), 0);
		ck_assert_int_eq(count_known(&world, false), 0);
	}
	world_close(&world);
}
END_TEST

/*
 * Guards against a worker that stays slow for ever: one that is fast again, and
 * one that gets no work any more.
 */
START_TEST(recovery)
{
	world_t world;

	world_open(&world, 7, 0.5);
	run_steps(&world, LEARNING_STEPS, NOISE);
	ck_assert_int_eq(count_known(&world, true), UNLIKE);
	for (int i = 0; i < WORKERS; i++)
		world.speeds[i] = 1.0;
	run_steps(&world, LEARNING_STEPS, NOISE);
	ck_assert_int_eq(count_known(&world, true), 0);
	ck_assert_int_eq(count_known(&world, false), 0);
	world_close(&world);

	world_open(&world, 7, 0.5);
	run_steps(&world, LEARNING_STEPS, NOISE);
	world.now_ms += 200000;
	fit(&world);
	ck_assert_int_eq(count_known(&world, true), 0);
	world_close(&world);
}
END_TEST

/*
 * Guards against slow workers that look usual because they get all the work
 * with time to spare, and fast ones because they get all that is urgent.
 */
START_TEST(parts_of_a_fleet)
{
	world_t world;

	world_open(&world, 3, 0.5);
	run_steps(&world, LEARNING_STEPS, NOISE);
	for (int step = 0; step < 40; step++) {
		uint64_t kind = ++world.kinds;

		world.now_ms += STEP_INTERVAL_MS;
		for (int t = 0; t < STEP_TASKS; t++)
			end_task(&world, kind, t % UNLIKE * UNLIKE_EVERY, 3000);
		fit(&world);
	}
	ck_assert_int_eq(count_known(&world, true), UNLIKE);
	ck_assert_int_eq(count_known(&world, false), 0);
	world_close(&world);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("speed");
	TCase *tcase = tcase_create("speed");

	tcase_add_loop_test(tcase, quarter_is_learned, 0, 2);
	tcase_add_test(tcase, minority_is_no_measure);
	tcase_add_test(tcase, gangs_tell);
	tcase_add_loop_test(tcase, noise_teaches_nothing, 0, 3);
	tcase_add_test(tcase, slow_kind_teaches_nothing);
	tcase_add_test(tcase, recovery);
	tcase_add_test(tcase, parts_of_a_fleet);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
