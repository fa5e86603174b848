#include <glib.h>
#include <string.h>

#include "sched/plan.h"
#include "sched/reserve.h"
#include "tests/unit/runner.h"

#define RACKS 4
#define PER_RACK 3
#define WORKERS (RACKS * PER_RACK)
#define ACCELERATORS 8
#define HEADROOM 24 /* three whole workers */

typedef struct {
	char ids[WORKERS][8];
	char racks[WORKERS][8];
	fleet_worker_t info[WORKERS];
	plan_worker_t workers[WORKERS];
	pool_t *pool;
	reserve_t *reserve;
} fixture_t;

/* Four racks of three workers; consecutive workers are in different racks. */
static void
fixture_open(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(fixture->ids[i], 8, "w%02d", i);
		g_snprintf(fixture->racks[i], 8, "r%d", i % RACKS);
		fixture->info[i] = (fleet_worker_t){.id = fixture->ids[i],
		    .rack = fixture->racks[i],
		    .domain = (char *)"d",
		    .service = (char *)"svc",
		    .capacity = {64000, 64000, ACCELERATORS}};
		fixture->workers[i] =
		    (plan_worker_t){.worker = &fixture->info[i],
			.free = fixture->info[i].capacity,
			.usable = true};
	}
	fixture->pool = pool_create(fixture->workers, WORKERS);
	fixture->reserve = reserve_create(fixture->pool);
}

static void
fixture_close(fixture_t *fixture)
{
	reserve_destroy(fixture->reserve);
	pool_destroy(fixture->pool);
}

static bool
place(fixture_t *fixture, int members, bool urgent)
{
	step_spec_t step = {.count = members,
	    .shape = {1000, 1000, ACCELERATORS},
	    .gang = members > 1,
	    .same_rack = members > 1,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)""};
	plan_unit_t unit = {.service = "svc",
	    .step = &step,
	    .members = members,
	    .avoids_reserved = !urgent};

	/* Urgent work may use the headroom. */
	reserve_choose_racks(
	    fixture->reserve, urgent ? 0 : HEADROOM, ACCELERATORS);
	if (!plan_unit(fixture->pool, &unit, PLAN_FREE))
		return false;
	for (size_t i = 0; i < pool_choice_size(fixture->pool); i++) {
		size_t worker = pool_choice(fixture->pool, i);

		pool_take(fixture->pool, worker, &step.shape,
		    fixture->workers[worker].chosen);
	}
	return true;
}

/*
 * Load pattern: batch tasks fill all resources but the headroom for urgent
 * work, then an urgent gang arrives that needs a single rack.  Guards against
 * headroom that is scattered over the racks.
 */
START_TEST(urgent_gang_meets_full_fleet)
{
	fixture_t fixture;
	int placed = 0;

	fixture_open(&fixture);
	while (place(&fixture, 1, false))
		placed++;
	ck_assert_int_eq(placed, WORKERS - HEADROOM / ACCELERATORS);
	ck_assert(place(&fixture, HEADROOM / ACCELERATORS, true));
	fixture_close(&fixture);
}
END_TEST

/* Guards against batch work that is kept out without any headroom. */
START_TEST(no_headroom_reserves_nothing)
{
	fixture_t fixture;

	fixture_open(&fixture);
	reserve_choose_racks(fixture.reserve, 0, ACCELERATORS);
	for (size_t i = 0; i < WORKERS; i++)
		ck_assert(!reserve_is_rack_reserved(fixture.reserve, i));
	fixture_close(&fixture);
}
END_TEST

/* Guards against a whole rack reserved for a small part of its resources. */
START_TEST(rack_with_surplus)
{
	fixture_t fixture;

	fixture_open(&fixture);
	/* A rack has 24; besides a headroom of 8, a unit of 16 fits. */
	reserve_choose_racks(fixture.reserve, 8, 16);
	for (size_t i = 0; i < WORKERS; i++)
		ck_assert(!reserve_is_rack_reserved(fixture.reserve, i));
	reserve_choose_racks(fixture.reserve, 8, 17);
	for (size_t i = 0; i < WORKERS; i++)
		ck_assert_int_eq(reserve_is_rack_reserved(fixture.reserve, i),
		    i % RACKS == 0);
	fixture_close(&fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("reserve");
	TCase *tcase = tcase_create("reserve");

	tcase_add_test(tcase, urgent_gang_meets_full_fleet);
	tcase_add_test(tcase, no_headroom_reserves_nothing);
	tcase_add_test(tcase, rack_with_surplus);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
