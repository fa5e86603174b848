#include <glib.h>
#include <string.h>

#include "sched/displace.h"
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
} bed_t;

/* Two racks of four idle workers, and a unit of that many members. */
static void
bed_open(bed_t *bed, int members, int accelerators)
{
	memset(bed, 0, sizeof(*bed));
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(bed->names[i][0], 8, "w%d", i);
		g_snprintf(bed->names[i][1], 8, "r%d", i / PER_RACK);
		g_snprintf(bed->names[i][2], 8, "d%d", i / PER_DOMAIN);
		bed->info[i] = (fleet_worker_t){
		    .id = bed->names[i][0],
		    .rack = bed->names[i][1],
		    .domain = bed->names[i][2],
		    .service = (char *)"svc",
		    .capacity = {64000, 64000, ACCELERATORS},
		};
		bed->workers[i] = (plan_worker_t){
		    .worker = &bed->info[i],
		    .free = bed->info[i].capacity,
		    .usable = true,
		};
	}
	bed->step = (step_spec_t){
	    .count = members,
	    .shape = {1000, 1000, accelerators},
	    .gang = members > 1,
	    .same_rack = members > 1,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)"",
	};
	bed->unit = (plan_unit_t){
	    .service = "svc", .step = &bed->step, .members = members};
}

static int
chosen_in(const bed_t *bed, int rack)
{
	int count = 0;

	for (int i = rack * PER_RACK; i < (rack + 1) * PER_RACK; i++)
		count += bed->workers[i].chosen;
	return count;
}

/* Guards against a gang that is spread over racks although one holds it. */
START_TEST(gang_in_one_rack)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed.workers[1].free.accelerators = 0;
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	ck_assert_int_eq(chosen_in(&bed, 0), 0);
	ck_assert_int_eq(chosen_in(&bed, 1), 4);
	bed.workers[5].free.accelerators = 0;
	ck_assert(!plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	bed.unit.may_spread = true;
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	ck_assert_int_eq(chosen_in(&bed, 0) + chosen_in(&bed, 1), 4);
}
END_TEST

/*
 * Load pattern: a failure domain is cut off while gangs run.  Guards against a
 * gang that reaches into a second domain, or rack, although one holds it: each
 * member that is lost ends all of it.
 */
START_TEST(gang_in_one_domain)
{
	bed_t bed;

	bed_open(&bed, 4, 8);
	bed.step.same_rack = false;
	bed.workers[0].free.accelerators = 0;
	bed.workers[1].free.accelerators = 0;
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	ck_assert_int_eq(chosen_in(&bed, 0), 0);
	for (int i = 0; i < WORKERS; i++)
		g_snprintf(bed.names[i][1], 8, "r%d", i / 2);
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	ck_assert_int_eq(chosen_in(&bed, 0), 0);
	bed.workers[7].free.accelerators = 0;
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	ck_assert_int_eq(chosen_in(&bed, 0) + chosen_in(&bed, 1), 4);
}
END_TEST

/* Guards against small tasks that break up whole workers. */
START_TEST(small_tasks_pack)
{
	bed_t bed;

	bed_open(&bed, 1, 1);
	bed.workers[3].free.accelerators = 5;
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	ck_assert_int_eq(bed.workers[3].chosen, 1);
}
END_TEST

/* Guards against limits for each worker, labels and unusable workers. */
START_TEST(constraints)
{
	bed_t bed;

	bed_open(&bed, 1, 1);
	for (int i = 0; i < WORKERS; i++)
		bed.workers[i].usable = i == 2;
	bed.step.max_per_worker = 1;
	ck_assert(plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	bed.workers[2].same_step = 1;
	ck_assert(!plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
	bed.workers[2].same_step = 0;
	bed.step.label = (char *)"b";
	ck_assert(!plan_unit(bed.workers, WORKERS, &bed.unit, PLAN_FREE));
}
END_TEST

/* Guards against jobs that are kept although no fleet state could run them. */
START_TEST(never_fits)
{
	bed_t bed;

	bed_open(&bed, 1, ACCELERATORS + 1);
	ck_assert(!plan_can_ever_fit(bed.workers, WORKERS, &bed.unit));
	bed_open(&bed, WORKERS, ACCELERATORS);
	for (int i = 0; i < WORKERS; i++)
		bed.workers[i].free = (resources_t){0};
	ck_assert(plan_can_ever_fit(bed.workers, WORKERS, &bed.unit));
}
END_TEST

/* Fills every worker with one run of the given loss. */
static void
fill(bed_t *bed, displaceable_t *members, displaceable_run_t *runs,
    const int64_t *loss)
{
	for (int i = 0; i < WORKERS; i++) {
		bed->workers[i].free.accelerators = 0;
		members[i] = (displaceable_t){
		    .worker = (size_t)i, .run = (size_t)i, .shape = {0, 0, 8}};
		runs[i] = (displaceable_run_t){.loss = loss[i]};
	}
}

/*
 * Load pattern: an urgent gang meets a full fleet.  Guards against stopping
 * more work than needed: the rack that loses the least is taken, and only as
 * many runs as make room.
 */
START_TEST(displaces_least)
{
	static const int64_t loss[WORKERS] = {9, 9, 9, 9, 1, 2, 3, 50};
	displaceable_t members[WORKERS];
	displaceable_run_t runs[WORKERS];
	bed_t bed;

	bed_open(&bed, 3, 8);
	fill(&bed, members, runs, loss);
	ck_assert(displace_choose(
	    bed.workers, WORKERS, &bed.unit, members, WORKERS, runs, WORKERS));
	for (int i = 0; i < WORKERS; i++)
		ck_assert_int_eq(runs[i].stop, i >= 4 && i <= 6);
	ck_assert_int_eq(chosen_in(&bed, 1), 3);
}
END_TEST

/* Guards against stops for room that is free, or that will not suffice. */
START_TEST(displaces_only_for_use)
{
	static const int64_t loss[WORKERS] = {1, 1, 1, 1, 1, 1, 1, 1};
	displaceable_t members[WORKERS];
	displaceable_run_t runs[WORKERS];
	bed_t bed;

	bed_open(&bed, 4, 8);
	fill(&bed, members, runs, loss);
	for (int i = 0; i < 3; i++) {
		bed.workers[i].free.accelerators = 8;
		members[i].shape.accelerators = 0;
	}
	ck_assert(displace_choose(
	    bed.workers, WORKERS, &bed.unit, members, WORKERS, runs, WORKERS));
	for (int i = 0; i < WORKERS; i++)
		ck_assert_int_eq(runs[i].stop, i == 3);
	bed.step.shape.accelerators = 9;
	for (int i = 0; i < WORKERS; i++)
		runs[i].stop = false;
	ck_assert(!displace_choose(
	    bed.workers, WORKERS, &bed.unit, members, WORKERS, runs, WORKERS));
	for (int i = 0; i < WORKERS; i++)
		ck_assert(!runs[i].stop);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("plan");
	TCase *tcase = tcase_create("plan");

	tcase_add_test(tcase, gang_in_one_rack);
	tcase_add_test(tcase, gang_in_one_domain);
	tcase_add_test(tcase, small_tasks_pack);
	tcase_add_test(tcase, constraints);
	tcase_add_test(tcase, never_fits);
	tcase_add_test(tcase, displaces_least);
	tcase_add_test(tcase, displaces_only_for_use);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
