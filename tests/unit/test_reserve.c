#include <glib.h>
#include <string.h>

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
	reserve_t *reserve;
} bed_t;

/* Racks of three workers; in the order of their names they alternate. */
static void
bed_open(bed_t *bed)
{
	memset(bed, 0, sizeof(*bed));
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(bed->ids[i], 8, "w%02d", i);
		g_snprintf(bed->racks[i], 8, "r%d", i % RACKS);
		bed->info[i] = (fleet_worker_t){.id = bed->ids[i],
		    .rack = bed->racks[i],
		    .domain = (char *)"d",
		    .service = (char *)"svc",
		    .capacity = {64000, 64000, ACCELERATORS}};
		bed->workers[i] = (plan_worker_t){.worker = &bed->info[i],
		    .free = bed->info[i].capacity,
		    .usable = true};
	}
	bed->reserve = reserve_create(bed->workers, WORKERS);
}

static bool
place(bed_t *bed, int members, bool urgent)
{
	step_spec_t step = {.count = members,
	    .shape = {1000, 1000, ACCELERATORS},
	    .gang = members > 1,
	    .same_rack = members > 1,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)""};
	plan_unit_t unit = {
	    .service = "svc", .step = &step, .members = members};

	reserve_choose(bed->reserve, urgent ? 0 : HEADROOM, ACCELERATORS);
	for (size_t i = 0; i < WORKERS; i++)
		bed->workers[i].barred = reserve_keeps(bed->reserve, i);
	if (!plan_unit(bed->workers, WORKERS, &unit, PLAN_FREE))
		return false;
	for (size_t i = 0; i < WORKERS; i++) {
		int taken = bed->workers[i].chosen * ACCELERATORS;

		plan_take(
		    &bed->workers[i].free, &step.shape, bed->workers[i].chosen);
		reserve_take(bed->reserve, i, taken);
	}
	return true;
}

/*
 * Load pattern: batch tasks fill every gap but the room kept for urgent work,
 * then an urgent gang that wants one rack arrives.  Guards against room that is
 * kept in pieces, one in each rack.
 */
START_TEST(urgent_gang_meets_full_fleet)
{
	bed_t bed;
	int placed = 0;

	bed_open(&bed);
	while (place(&bed, 1, false))
		placed++;
	ck_assert_int_eq(placed, WORKERS - HEADROOM / ACCELERATORS);
	ck_assert(place(&bed, HEADROOM / ACCELERATORS, true));
	reserve_destroy(bed.reserve);
}
END_TEST

/* Guards against batch work that is kept out when nothing urgent comes. */
START_TEST(nothing_is_kept)
{
	bed_t bed;

	bed_open(&bed);
	reserve_choose(bed.reserve, 0, ACCELERATORS);
	for (size_t i = 0; i < WORKERS; i++)
		ck_assert(!reserve_keeps(bed.reserve, i));
	reserve_destroy(bed.reserve);
}
END_TEST

/* Guards against a rack that is kept whole for a small part of its room. */
START_TEST(rack_with_surplus)
{
	bed_t bed;

	bed_open(&bed);
	reserve_choose(bed.reserve, 8, 16);
	for (size_t i = 0; i < WORKERS; i++)
		ck_assert(!reserve_keeps(bed.reserve, i));
	reserve_choose(bed.reserve, 8, 17);
	for (size_t i = 0; i < WORKERS; i++)
		ck_assert_int_eq(reserve_keeps(bed.reserve, i), i % RACKS == 0);
	reserve_destroy(bed.reserve);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("reserve");
	TCase *tcase = tcase_create("reserve");

	tcase_add_test(tcase, urgent_gang_meets_full_fleet);
	tcase_add_test(tcase, nothing_is_kept);
	tcase_add_test(tcase, rack_with_surplus);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
