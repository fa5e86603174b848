#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/scan_planner.h"
#include "common/clock.h"
#include "sched/plan.h"

/*
 * Cost of one decision of the planner of batch jobs on a full fleet, by its
 * size, beside the planner that looks at all workers.  Prints lines
 * "NAME VALUE UNIT TARGET ok|short|info".
 */

#define SEED 20261204
#define MAX_WORKERS 2700
#define PER_RACK 12
#define DOMAINS 6
#define ACCELERATORS 8
#define NAME_LEN 12
#define DECISIONS 20000
#define SCAN_DECISIONS 400
#define GANG_PERCENT 30
#define MAX_GANG 12
#define MAX_GROWTH 2.0
/* The budget of a planning round, see sched/fleet_round.c. */
#define MAX_SLICE_US 10000

typedef struct {
	size_t count;
	fleet_worker_t info[MAX_WORKERS];
	char names[MAX_WORKERS][3][NAME_LEN];
	plan_worker_t workers[MAX_WORKERS];
	pool_t *pool;
	GRand *random;
} fleet_view_t;

/* Idle workers in racks, racks in failure domains. */
static fleet_view_t *
view_create(size_t count)
{
	fleet_view_t *view = g_new0(fleet_view_t, 1);

	view->count = count;
	view->random = g_rand_new_with_seed(SEED);
	for (size_t i = 0; i < count; i++) {
		size_t rack = i / PER_RACK;

		g_snprintf(view->names[i][0], NAME_LEN, "i-%zu", i);
		g_snprintf(view->names[i][1], NAME_LEN, "r%zu", rack);
		g_snprintf(view->names[i][2], NAME_LEN, "d%zu", rack % DOMAINS);
		view->info[i] = (fleet_worker_t){
		    .id = view->names[i][0],
		    .rack = view->names[i][1],
		    .domain = view->names[i][2],
		    .service = (char *)"svc",
		    .capacity = {64000, 262144, ACCELERATORS},
		};
		view->workers[i] = (plan_worker_t){.worker = &view->info[i],
		    .free = view->info[i].capacity,
		    .usable = true};
	}
	view->pool = pool_create(view->workers, count);
	return view;
}

static void
view_destroy(fleet_view_t *view)
{
	pool_destroy(view->pool);
	g_rand_free(view->random);
	g_free(view);
}

/* A single task or a gang, with the sizes of the users' jobs. */
static plan_unit_t
draw_unit(fleet_view_t *view, step_spec_t *step)
{
	static const int accelerators[] = {1, 2, 4, 8, 8};
	bool gang = g_rand_int_range(view->random, 0, 100) < GANG_PERCENT;

	*step = (step_spec_t){
	    .shape = {5600, 16000,
		accelerators[g_rand_int_range(
		    view->random, 0, G_N_ELEMENTS(accelerators))]},
	    .gang = gang,
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)"",
	};
	return (plan_unit_t){.service = "svc",
	    .step = step,
	    .members =
		gang ? g_rand_int_range(view->random, 2, MAX_GANG + 1) : 1};
}

/* Gives a worker's resources back until a unit of that size may fit again. */
static void
free_some(fleet_view_t *view, int accelerators)
{
	while (accelerators > 0) {
		size_t worker = (size_t)g_rand_int_range(
		    view->random, 0, (gint32)view->count);
		plan_worker_t *plan_worker = &view->workers[worker];
		resources_t held = plan_worker->worker->capacity;

		plan_subtract(&held, &plan_worker->free, 1);
		accelerators -= MAX(held.accelerators, 1);
		pool_take(view->pool, worker, &held, -1);
	}
}

static void
take_chosen(fleet_view_t *view, const step_spec_t *step)
{
	for (size_t i = 0; i < view->count; i++) {
		if (view->workers[i].chosen > 0)
			pool_take(view->pool, i, &step->shape,
			    view->workers[i].chosen);
	}
}

/* Time for decisions on a full fleet. */
typedef struct {
	double mean_us;
	double longest_us;
} cost_t;

/* Places units as they come; frees workers whenever one does not fit. */
static cost_t
measure(size_t count, int decisions, bool scan)
{
	fleet_view_t *view = view_create(count);
	cost_t cost = {0};
	double total_us = 0;

	/* The first decisions fill the fleet. */
	for (int i = -(int)count * 2; i < decisions; i++) {
		step_spec_t step;
		plan_unit_t unit = draw_unit(view, &step);
		gint64 start = g_get_monotonic_time();
		bool placed =
		    scan && i >= 0
			? scan_plan_unit(view->workers, count, &unit, PLAN_FREE)
			: plan_unit(view->pool, &unit, PLAN_FREE);
		double took_us = (double)(g_get_monotonic_time() - start);

		if (placed)
			take_chosen(view, &step);
		else
			free_some(view, unit.members * step.shape.accelerators);
		pool_clear_choice(view->pool);
		if (i < 0)
			continue;
		total_us += took_us;
		cost.longest_us = MAX(cost.longest_us, took_us);
	}
	cost.mean_us = total_us / decisions;
	view_destroy(view);
	return cost;
}

int
main(void)
{
	static const size_t sizes[] = {48, 350, 1100, 2700};
	double smallest_us = 0;
	double growth = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		cost_t cost = measure(sizes[i], DECISIONS, false);
		cost_t scan = measure(sizes[i], SCAN_DECISIONS, true);

		printf("planning.w%zu.decision %.3f us - info\n", sizes[i],
		    cost.mean_us);
		printf("planning.w%zu.scan_decision %.3f us - info\n", sizes[i],
		    scan.mean_us);
		printf("planning.w%zu.longest_decision %.0f us <=%d %s\n",
		    sizes[i], cost.longest_us, MAX_SLICE_US,
		    cost.longest_us <= MAX_SLICE_US ? "ok" : "short");
		if (i == 0)
			smallest_us = cost.mean_us;
		growth = cost.mean_us / smallest_us;
	}
	printf("planning.growth %.2f ratio <=%.0f %s\n", growth, MAX_GROWTH,
	    growth <= MAX_GROWTH ? "ok" : "short");
	return 0;
}
