#include <glib.h>
#include <string.h>
#include <time.h>

#include "sched/displace.h"
#include "tests/unit/runner.h"

/*
 * Load pattern: urgent gangs meet a large fleet that is full of single tasks.
 * The leader chooses what to stop in its event loop, between two heartbeats.
 */

#define WORKERS 350
#define PER_RACK 20
#define PER_WORKER 8
#define MEMBERS (WORKERS * PER_WORKER)
#define GANG 13
#define CHOICES 20
/* A fifth of a heartbeat interval (50 ms), as the loop has other work too. */
#define MAX_CHOICE_MS 10.0

typedef struct {
	fleet_worker_t info[WORKERS];
	char names[WORKERS][2][8];
	plan_worker_t workers[WORKERS];
	displaceable_t members[MEMBERS];
	displaceable_run_t runs[MEMBERS];
	step_spec_t step;
	plan_unit_t unit;
} bed_t;

/* A full fleet; each worker holds eight runs of one accelerator. */
static bed_t *
bed_create(bool same_rack)
{
	bed_t *bed = g_new0(bed_t, 1);

	for (size_t i = 0; i < WORKERS; i++) {
		g_snprintf(bed->names[i][0], 8, "w%zu", i);
		g_snprintf(bed->names[i][1], 8, "r%zu", i / PER_RACK);
		bed->info[i] = (fleet_worker_t){
		    .id = bed->names[i][0],
		    .rack = bed->names[i][1],
		    .service = (char *)"svc",
		};
		bed->workers[i] =
		    (plan_worker_t){.worker = &bed->info[i], .usable = true};
	}
	for (size_t m = 0; m < MEMBERS; m++) {
		bed->members[m] = (displaceable_t){
		    .worker = m / PER_WORKER, .run = m, .shape = {8000, 16, 1}};
		/* Some order that is not the one of the workers. */
		bed->runs[m].loss = (int64_t)(m * 7919 % MEMBERS) + 1;
	}
	bed->step = (step_spec_t){
	    .count = GANG,
	    .shape = {32000, 64, 4},
	    .gang = true,
	    .same_rack = same_rack,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)"",
	};
	bed->unit = (plan_unit_t){
	    .service = "svc", .step = &bed->step, .members = GANG};
	return bed;
}

static bool
choose(bed_t *bed)
{
	return displace_choose(bed->workers, WORKERS, &bed->unit, bed->members,
	    MEMBERS, bed->runs, MEMBERS);
}

static double
cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/* Guards against a choice that stops the leader's loop: 32 ms with 350 workers
 * made it lose its leadership whenever urgent work arrived. */
START_TEST(large_fleet_in_time)
{
	bed_t *bed = bed_create(_i == 1);
	double start_ms = cpu_ms();

	for (int i = 0; i < CHOICES; i++)
		ck_assert(choose(bed));
	ck_assert_double_lt((cpu_ms() - start_ms) / CHOICES, MAX_CHOICE_MS);
	g_free(bed);
}
END_TEST

/* Guards against members without the room that the stopped runs give, against
 * more stops than members need, and against a gang that leaves its rack. */
START_TEST(large_fleet_makes_room)
{
	bed_t *bed = bed_create(true);
	int freed[WORKERS] = {0};
	const char *rack = NULL;
	int chosen = 0;
	int stopped = 0;

	ck_assert(choose(bed));
	for (size_t m = 0; m < MEMBERS; m++) {
		freed[bed->members[m].worker] += bed->runs[m].stop;
		stopped += bed->runs[m].stop;
	}
	for (size_t i = 0; i < WORKERS; i++) {
		const plan_worker_t *worker = &bed->workers[i];

		if (worker->chosen == 0)
			continue;
		chosen += worker->chosen;
		ck_assert_int_ge(freed[i], 4 * worker->chosen);
		if (rack == NULL)
			rack = worker->worker->rack;
		ck_assert_str_eq(worker->worker->rack, rack);
	}
	ck_assert_int_eq(chosen, GANG);
	ck_assert_int_eq(stopped, 4 * GANG);
	g_free(bed);
}
END_TEST

/* Guards against outdated prices: a run on two workers that is stopped for one
 * of them gives room on the other, which then costs nothing more. */
START_TEST(run_on_two_workers)
{
	bed_t *bed = bed_create(false);

	bed->unit.members = 2;
	bed->step.shape = (resources_t){8000, 16, 1};
	for (size_t m = 0; m < MEMBERS; m++)
		bed->runs[m].loss = 1000;
	/* One run holds a place on the first and on the last worker. */
	bed->members[MEMBERS - 1].run = 0;
	bed->runs[0].loss = 10;
	ck_assert(choose(bed));
	ck_assert(bed->runs[0].stop);
	for (size_t m = 1; m < MEMBERS; m++)
		ck_assert(!bed->runs[m].stop);
	ck_assert_int_eq(bed->workers[0].chosen, 1);
	ck_assert_int_eq(bed->workers[WORKERS - 1].chosen, 1);
	g_free(bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("displace");
	TCase *tcase = tcase_create("displace");

	tcase_add_loop_test(tcase, large_fleet_in_time, 0, 2);
	tcase_add_test(tcase, large_fleet_makes_room);
	tcase_add_test(tcase, run_on_two_workers);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
