#include <string.h>

#include "sched/plan.h"
#include "sched/pool_private.h"
#include "tests/unit/runner.h"

#define WORKERS 60
#define RACKS 7
#define DOMAINS 3
#define STEPS 3000
#define ACCELERATORS 8

typedef struct {
	fleet_worker_t info[WORKERS];
	char names[WORKERS][3][8];
	plan_worker_t workers[WORKERS];
	pool_t *pool;
	GRand *random;
} fixture_t;

static void
fixture_open(fixture_t *fixture, guint32 seed)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->random = g_rand_new_with_seed(seed);
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(fixture->names[i][0], 8, "w%d", i);
		g_snprintf(fixture->names[i][1], 8, "r%d", i % RACKS);
		g_snprintf(fixture->names[i][2], 8, "d%d", i % DOMAINS);
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
		    .usable = g_rand_boolean(fixture->random),
		};
	}
	fixture->pool = pool_create(fixture->workers, WORKERS);
}

static void
fixture_close(fixture_t *fixture)
{
	pool_destroy(fixture->pool);
	g_rand_free(fixture->random);
}

static void
change_at_random(fixture_t *fixture)
{
	size_t worker = (size_t)g_rand_int_range(fixture->random, 0, WORKERS);
	resources_t shape = {
	    1000, 500, g_rand_int_range(fixture->random, 0, 5)};

	switch (g_rand_int_range(fixture->random, 0, 100)) {
	case 0:
		pool_disable(fixture->pool, worker);
		break;
	case 1 ... 40:
		pool_add_releasing(fixture->pool, worker, &shape);
		break;
	default:
		/* A negative count gives back; free may become negative. */
		pool_take(fixture->pool, worker, &shape,
		    g_rand_int_range(fixture->random, -2, 3));
		break;
	}
}

static void
expect_equal_lists(const pool_lists_t *a, const pool_lists_t *b)
{
	int listed = 0;

	for (size_t i = 0; i < WORKERS; i++)
		ck_assert_int_eq(a->list[i], b->list[i]);
	for (int list = 0; list < POOL_LISTS; list++) {
		int prev = POOL_NONE;

		for (int worker = a->head[list]; worker != POOL_NONE;
		     worker = a->next[worker]) {
			ck_assert_int_eq(a->list[worker], list);
			ck_assert_int_eq(a->prev[worker], prev);
			prev = worker;
			listed++;
		}
	}
	for (size_t i = 0; i < WORKERS; i++)
		listed -= a->list[i] != POOL_NONE;
	ck_assert_int_eq(listed, 0);
}

/*
 * Guards against an index that drifts from the workers: after any series of
 * changes it equals one made from nothing.
 */
START_TEST(index_equals_a_new_one)
{
	fixture_t fixture;

	fixture_open(&fixture, (guint32)_i);
	for (int step = 0; step < STEPS; step++) {
		pool_t *fresh;

		change_at_random(&fixture);
		if (step % 50 != 0)
			continue;
		fresh = pool_create(fixture.workers, WORKERS);
		for (size_t r = 0; r < fresh->rack_count; r++)
			ck_assert_mem_eq(fixture.pool->racks[r].accelerators,
			    fresh->racks[r].accelerators,
			    sizeof(fresh->racks[r].accelerators));
		for (int kind = 0; kind < PLAN_AVAILABLE_KINDS; kind++)
			expect_equal_lists(
			    &fixture.pool->lists[kind], &fresh->lists[kind]);
		pool_destroy(fresh);
	}
	fixture_close(&fixture);
}
END_TEST

/* Whether any worker can take one task of that shape. */
static bool
fits_somewhere(const fixture_t *fixture, const resources_t *shape)
{
	for (size_t i = 0; i < WORKERS; i++) {
		if (fixture->workers[i].usable &&
		    plan_fit(&fixture->workers[i].free, shape) > 0)
			return true;
	}
	return false;
}

/* Guards against a search by the index that misses a worker with room. */
START_TEST(search_finds_what_fits)
{
	fixture_t fixture;
	step_spec_t step = {.count = 1,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)""};
	plan_unit_t unit = {.service = "svc", .step = &step, .members = 1};

	fixture_open(&fixture, (guint32)_i);
	for (int i = 0; i < STEPS; i++) {
		bool fits;

		step.shape =
		    (resources_t){g_rand_int_range(fixture.random, 0, 30000),
			g_rand_int_range(fixture.random, 0, 30000),
			g_rand_int_range(fixture.random, 0, 9)};
		fits = fits_somewhere(&fixture, &step.shape);
		ck_assert_int_eq(
		    plan_unit(fixture.pool, &unit, PLAN_FREE), fits);
		if (fits)
			pool_take(fixture.pool, pool_choice(fixture.pool, 0),
			    &step.shape, 1);
		else
			change_at_random(&fixture);
	}
	fixture_close(&fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pool");
	TCase *tcase = tcase_create("pool");

	tcase_add_loop_test(tcase, index_equals_a_new_one, 0, 5);
	tcase_add_loop_test(tcase, search_finds_what_fits, 0, 5);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
