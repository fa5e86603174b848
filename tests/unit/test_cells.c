#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/cells.h"
#include "tests/unit/runner.h"

#define DEFAULT_SEED 20261204
#define RANDOM_ROUNDS 40
#define RANDOM_STEPS 150
#define MAX_JOBS 256
#define MAX_WORKERS 16
#define MAX_GUARANTEES 6

typedef struct {
	char names[MAX_JOBS][16];
	int count;
} victims_t;

static void
add_victim_name(void *ctx, const char *job)
{
	victims_t *victims = ctx;

	ck_assert_int_lt(victims->count, MAX_JOBS);
	g_strlcpy(victims->names[victims->count++], job, 16);
}

/* Adds racks r0.. of workers with 8 accelerators and 8 slots each. */
static cells_t *
create_uniform(int racks, int workers_per_rack)
{
	cells_t *cells = cells_create();

	for (int r = 0; r < racks; r++) {
		for (int w = 0; w < workers_per_rack; w++) {
			char worker[32];
			char rack[32];

			snprintf(worker, sizeof(worker), "w%d-%d", r, w);
			snprintf(rack, sizeof(rack), "r%d", r);
			ck_assert_int_eq(
			    cells_add_worker(cells, worker, rack, 8, 8), 0);
		}
	}
	return cells;
}

static cells_request_t
shape_of(const char *job, const char *workspace, int members, int accelerators,
    adjacency_t adjacency)
{
	return (cells_request_t){
	    job, workspace, members, accelerators, adjacency};
}

/* Finds places for a job, releases the victims and records the job. */
static int
find_and_allocate(cells_t *cells, const cells_request_t *shape, bool guaranteed,
    victims_t *victims)
{
	cells_place_t places[MAX_MEMBERS];
	victims_t unused = {0};
	int rc;

	if (victims == NULL)
		victims = &unused;
	rc = cells_find(
	    cells, shape, guaranteed, places, add_victim_name, victims, NULL);
	if (rc != 0)
		return rc;
	for (int i = 0; i < victims->count; i++) {
		ck_assert_msg(!cells_is_guaranteed(cells, victims->names[i]),
		    "guaranteed job %s was reclaimed", victims->names[i]);
		ck_assert_int_eq(cells_release(cells, victims->names[i]), 0);
	}
	return cells_allocate(cells, shape, guaranteed, places);
}

/*
 * Guards against opportunistic jobs of one workspace blocking another's
 * guarantee: they fill the domain, and the guarantee must still be claimable.
 */
START_TEST(guarantee_claimable_when_full)
{
	cells_t *cells = create_uniform(2, 2);
	cells_guarantee_t guarantee = {"a", 1, 2, 8, ADJACENT_RACK};
	victims_t victims = {0};
	cells_request_t wanted = shape_of("g", "a", 2, 8, ADJACENT_RACK);
	err_t err;

	ck_assert_int_eq(cells_set_guarantees(cells, &guarantee, 1, &err), 0);
	for (int i = 0; i < 32; i++) {
		char name[16];
		cells_request_t shape =
		    shape_of(name, "b", 1, 1, ADJACENT_DOMAIN);

		snprintf(name, sizeof(name), "o%d", i);
		ck_assert_int_eq(
		    find_and_allocate(cells, &shape, false, NULL), 0);
	}
	ck_assert_int_eq(cells_free_accelerators(cells), 0);
	ck_assert_int_eq(cells_check(cells, &err), 0);
	ck_assert_int_eq(find_and_allocate(cells, &wanted, true, &victims), 0);
	ck_assert_int_eq(victims.count, 16); /* one per accelerator of g */
	ck_assert_int_eq(cells_check(cells, &err), 0);
	cells_destroy(cells);
}
END_TEST

/*
 * Guards against guaranteed jobs of one workspace running on accelerators that
 * another workspace's unused guarantee needs.
 */
START_TEST(guarantees_do_not_share)
{
	cells_t *cells = create_uniform(1, 2);
	cells_guarantee_t guarantees[] = {
	    {"a", 1, 1, 8, ADJACENT_DOMAIN},
	    {"b", 1, 1, 8, ADJACENT_DOMAIN},
	};
	cells_request_t a1 = shape_of("a1", "a", 1, 8, ADJACENT_DOMAIN);
	cells_request_t a2 = shape_of("a2", "a", 1, 8, ADJACENT_DOMAIN);
	cells_request_t b1 = shape_of("b1", "b", 1, 8, ADJACENT_DOMAIN);
	cells_request_t c1 = shape_of("c1", "c", 1, 8, ADJACENT_DOMAIN);
	cells_place_t places[MAX_MEMBERS];
	err_t err;

	ck_assert_int_eq(cells_set_guarantees(cells, guarantees, 2, &err), 0);
	ck_assert_int_eq(find_and_allocate(cells, &a1, true, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &a2, true, NULL), -EDQUOT);
	ck_assert_int_eq(find_and_allocate(cells, &c1, true, NULL), -EDQUOT);
	ck_assert_int_eq(
	    cells_find(cells, &b1, true, places, NULL, NULL, NULL), 0);
	ck_assert_int_eq(cells_allocate(cells, &a2, true, places), -EDQUOT);
	ck_assert_int_eq(find_and_allocate(cells, &b1, true, NULL), 0);
	ck_assert_int_eq(cells_check(cells, &err), 0);
	ck_assert_int_eq(cells_release(cells, "a1"), 0);
	ck_assert_int_eq(cells_release(cells, "a1"), -ENOENT);
	ck_assert_int_eq(find_and_allocate(cells, &a2, true, NULL), 0);
	cells_destroy(cells);
}
END_TEST

/* Guards against accepting guarantees that do not fit the hardware. */
START_TEST(refuses_guarantees_that_do_not_fit)
{
	static const struct {
		cells_guarantee_t guarantees[3];
		size_t count;
		int code;
		const char *text;
	} table[] = {
	    {{{"a", 4, 1, 8, ADJACENT_DOMAIN}}, 1, 0, NULL},
	    {{{"a", 5, 1, 8, ADJACENT_DOMAIN}}, 1, -ENOSPC,
		"fits with 4 instead of 5 units of 1 x 8 for workspace a"},
	    {{{"a", 1, 3, 8, ADJACENT_RACK}}, 1, -ENOSPC,
		"fits with 0 instead of 1 units of 3 x 8 for workspace a"},
	    {{{"a", 1, 2, 8, ADJACENT_WORKER}}, 1, -ENOSPC,
		"fits with 0 instead of 1 units of 2 x 8 for workspace a"},
	    {{{"a", 1, 2, 4, ADJACENT_WORKER}, {"b", 6, 2, 2, ADJACENT_WORKER}},
		2, 0, NULL},
	    {{{"a", 2, 2, 8, ADJACENT_RACK}, {"b", 1, 1, 1, ADJACENT_ANY}}, 2,
		-ENOSPC,
		"fits with 0 instead of 1 units of 1 x 1 for workspace b"},
	    {{{"a", 3, 1, 8, ADJACENT_ANY}, {"b", 9, 1, 1, ADJACENT_ANY}}, 2,
		-ENOSPC,
		"fits with 8 instead of 9 units of 1 x 1 for workspace b"},
	    {{{"a", 1, 0, 8, ADJACENT_ANY}}, 1, -EINVAL, "out of range"},
	    {{{"a", 1, 1, 33, ADJACENT_ANY}}, 1, -EINVAL, "out of range"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		cells_t *cells = create_uniform(2, 2);
		err_t err = {0};
		int rc = cells_set_guarantees(
		    cells, table[i].guarantees, table[i].count, &err);

		ck_assert_msg(
		    rc == table[i].code, "row %zu: %d %s", i, rc, err.text);
		if (table[i].text != NULL)
			ck_assert_msg(strstr(err.text, table[i].text) != NULL,
			    "row %zu: %s", i, err.text);
		ck_assert_int_eq(cells_check(cells, &err), 0);
		cells_destroy(cells);
	}
}
END_TEST

/* Guards against small jobs fragmenting large blocks without need. */
START_TEST(packing_keeps_large_blocks)
{
	cells_t *cells = create_uniform(2, 2);
	cells_request_t large = shape_of("large", "a", 2, 8, ADJACENT_RACK);
	cells_request_t one = shape_of("s8", "a", 1, 1, ADJACENT_DOMAIN);
	cells_place_t first[MAX_MEMBERS];
	cells_place_t second[MAX_MEMBERS];
	char name[16];

	for (int i = 0; i < 8; i++) {
		cells_request_t shape =
		    shape_of(name, "a", 1, 1, ADJACENT_DOMAIN);

		snprintf(name, sizeof(name), "s%d", i);
		ck_assert_int_eq(
		    find_and_allocate(cells, &shape, false, NULL), 0);
		ck_assert_int_eq(cells_largest_free(cells, ADJACENT_WORKER), 8);
	}
	ck_assert_int_eq(cells_largest_free(cells, ADJACENT_RACK), 16);
	ck_assert_int_eq(cells_free_accelerators(cells), 24);
	/* Searching changes nothing. */
	ck_assert_int_eq(
	    cells_find(cells, &one, false, first, NULL, NULL, NULL), 0);
	ck_assert_int_eq(
	    cells_find(cells, &one, false, second, NULL, NULL, NULL), 0);
	ck_assert_str_eq(first[0].worker, second[0].worker);
	ck_assert_int_eq(find_and_allocate(cells, &large, false, NULL), 0);
	cells_destroy(cells);
}
END_TEST

/* Guards against slot-only jobs using up slots that accelerators need. */
START_TEST(slots_stay_for_accelerators)
{
	cells_t *cells = cells_create();
	cells_request_t two = shape_of("two", "a", 2, 1, ADJACENT_DOMAIN);
	char name[16];

	ck_assert_int_eq(cells_add_worker(cells, "w0", "r0", 1, 4), 0);
	ck_assert_int_eq(cells_add_worker(cells, "w1", "r0", 1, 4), 0);
	for (int i = 0; i < 6; i++) {
		cells_request_t shape =
		    shape_of(name, "a", 1, 0, ADJACENT_DOMAIN);

		snprintf(name, sizeof(name), "n%d", i);
		ck_assert_int_eq(
		    find_and_allocate(cells, &shape, false, NULL), 0);
	}
	ck_assert_int_eq(find_and_allocate(cells, &two, false, NULL), 0);
	cells_destroy(cells);
}
END_TEST

/*
 * Guards against jobs that need only a slot taking the last one of a worker
 * with a reserved cell, which makes its accelerator unusable.
 */
START_TEST(slots_stay_beside_reserved_cells)
{
	cells_t *cells = cells_create();
	cells_guarantee_t guarantee = {"a", 1, 2, 1, ADJACENT_RACK};
	err_t err;

	for (int w = 0; w < 4; w++) {
		char worker[16];

		snprintf(worker, sizeof(worker), "w%d", w);
		ck_assert_int_eq(
		    cells_add_worker(cells, worker, "r0", 1, 8), 0);
	}
	ck_assert_int_eq(cells_set_guarantees(cells, &guarantee, 1, &err), 0);
	for (int i = 0; i < 32; i++) {
		char name[16];
		cells_request_t shape =
		    shape_of(name, "b", 1, i < 28 ? 0 : 1, ADJACENT_DOMAIN);

		snprintf(name, sizeof(name), "o%d", i);
		ck_assert_msg(
		    find_and_allocate(cells, &shape, false, NULL) == 0,
		    "job %d of 32 has no place", i);
	}
	ck_assert_int_eq(cells_check(cells, &err), 0);
	cells_destroy(cells);
}
END_TEST

/* Guards against reclaiming a job that would lose more work than another. */
START_TEST(reclaims_least_work)
{
	cells_t *cells = create_uniform(1, 2);
	cells_guarantee_t guarantees[] = {
	    {"a", 1, 1, 8, ADJACENT_DOMAIN},
	    {"b", 1, 1, 8, ADJACENT_DOMAIN},
	};
	cells_request_t x = shape_of("x", "c", 1, 8, ADJACENT_DOMAIN);
	cells_request_t y = shape_of("y", "c", 1, 8, ADJACENT_DOMAIN);
	cells_request_t a = shape_of("a1", "a", 1, 8, ADJACENT_DOMAIN);
	victims_t victims = {0};

	ck_assert_int_eq(cells_set_guarantees(cells, guarantees, 2, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &x, false, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &y, false, NULL), 0);
	ck_assert_int_eq(cells_set_lost_work(cells, "x", 5000), 0);
	ck_assert_int_eq(cells_set_lost_work(cells, "y", 100), 0);
	ck_assert_int_eq(cells_set_lost_work(cells, "z", 100), -ENOENT);
	ck_assert_int_eq(find_and_allocate(cells, &a, true, &victims), 0);
	ck_assert_int_eq(victims.count, 1);
	ck_assert_str_eq(victims.names[0], "y");
	ck_assert_int_eq(cells_check(cells, NULL), 0);
	cells_destroy(cells);
}
END_TEST

/* Guards against assuming that all workers have the same size. */
START_TEST(uneven_hardware)
{
	cells_t *cells = cells_create();
	cells_guarantee_t guarantee = {"a", 1, 1, 6, ADJACENT_DOMAIN};
	cells_request_t six = shape_of("six", "a", 1, 6, ADJACENT_DOMAIN);
	cells_request_t two = shape_of("two", "b", 2, 1, ADJACENT_WORKER);
	cells_request_t four = shape_of("four", "b", 1, 4, ADJACENT_DOMAIN);

	ck_assert_int_eq(cells_add_worker(cells, "w6", "r0", 6, 8), 0);
	ck_assert_int_eq(cells_add_worker(cells, "w3", "r0", 3, 1), 0);
	ck_assert_int_eq(cells_add_worker(cells, "w33", "r0", 33, 1), -EINVAL);
	ck_assert_int_eq(cells_set_guarantees(cells, &guarantee, 1, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &two, false, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &four, false, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &six, true, NULL), 0);
	ck_assert_int_eq(find_and_allocate(cells, &four, false, NULL), -ENOSPC);
	four.accelerators = 7;
	ck_assert_int_eq(find_and_allocate(cells, &four, false, NULL), -E2BIG);
	cells_destroy(cells);
}
END_TEST

static void
count_at_risk(void *ctx, const cells_guarantee_t *guarantee, int units)
{
	*(int *)ctx += units;
	ck_assert_str_eq(guarantee->workspace, "a");
}

/* Guards against a hardware failure affecting guarantees that still fit. */
START_TEST(failures_put_guarantees_at_risk)
{
	cells_t *cells = create_uniform(2, 2);
	cells_guarantee_t guarantees[] = {
	    {"a", 1, 2, 8, ADJACENT_RACK},
	    {"b", 1, 1, 8, ADJACENT_DOMAIN},
	};
	cells_request_t a = shape_of("a1", "a", 2, 8, ADJACENT_RACK);
	cells_request_t b = shape_of("b1", "b", 1, 8, ADJACENT_DOMAIN);
	err_t err = {0};
	int at_risk = 0;

	ck_assert_int_eq(cells_set_guarantees(cells, guarantees, 2, &err), 0);
	ck_assert_int_eq(cells_set_usable(cells, "w0-0", false), 0);
	ck_assert_int_eq(cells_check(cells, &err), 0);
	ck_assert_int_eq(cells_remove_worker(cells, "w1-1"), 0);
	ck_assert_int_eq(cells_check(cells, &err), -ENOSPC);
	ck_assert_str_eq(err.peer, "a");
	cells_visit_at_risk(cells, count_at_risk, &at_risk);
	ck_assert_int_eq(at_risk, 1);
	ck_assert_int_eq(find_and_allocate(cells, &a, true, NULL), -ENOSPC);
	ck_assert_int_eq(find_and_allocate(cells, &b, true, NULL), 0);
	ck_assert_int_eq(cells_add_worker(cells, "w1-1", "r1", 8, 8), 0);
	ck_assert_int_eq(cells_set_usable(cells, "w0-0", true), 0);
	ck_assert_int_eq(cells_check(cells, &err), 0);
	ck_assert_int_eq(find_and_allocate(cells, &a, true, NULL), 0);
	cells_destroy(cells);
}
END_TEST

/*
 * Guards against a new leader not binding running jobs to their guarantee when
 * they run at places that it would not have chosen itself.
 */
START_TEST(new_leader_binds_running_jobs)
{
	cells_t *cells = create_uniform(2, 2);
	cells_guarantee_t guarantee = {"a", 2, 1, 8, ADJACENT_DOMAIN};
	cells_request_t a1 = shape_of("a1", "a", 1, 8, ADJACENT_DOMAIN);
	cells_request_t a2 = shape_of("a2", "a", 1, 8, ADJACENT_DOMAIN);
	cells_place_t at = {"w1-1", 0xff};
	err_t err;

	ck_assert_int_eq(cells_allocate(cells, &a1, true, &at), 0);
	ck_assert(!cells_is_guaranteed(cells, "a1"));
	ck_assert_int_eq(cells_set_guarantees(cells, &guarantee, 1, &err), 0);
	ck_assert(cells_is_guaranteed(cells, "a1"));
	ck_assert_int_eq(find_and_allocate(cells, &a2, true, NULL), 0);
	ck_assert_int_eq(cells_check(cells, &err), 0);
	guarantee.count = 1;
	ck_assert_int_eq(cells_set_guarantees(cells, &guarantee, 1, &err), 0);
	ck_assert_int_eq(
	    cells_is_guaranteed(cells, "a1") + cells_is_guaranteed(cells, "a2"),
	    1);
	ck_assert_int_eq(cells_check(cells, &err), 0);
	cells_destroy(cells);
}
END_TEST

/* ---- random test ---- */

typedef struct {
	char name[16];
	cells_request_t shape;
	bool guaranteed;
	int max_units; /* upper bound of the units it uses */
	cells_place_t places[MAX_MEMBERS];
} model_job_t;

/* What the random test expects of the cells. */
typedef struct {
	GRand *rand;
	cells_t *cells;
	model_job_t jobs[MAX_JOBS];
	int job_count;
	int next_job;
	bool usable[MAX_WORKERS];
	int worker_count;
	cells_guarantee_t guarantees[MAX_GUARANTEES];
	int guarantee_count;
	int step;
	uint32_t seed;
} model_t;

static const char *const workspaces[] = {"a", "b", "c"};

/* Removes a job from the model and the cells. */
static void
model_release(model_t *model, int index)
{
	ck_assert_int_eq(
	    cells_release(model->cells, model->jobs[index].name), 0);
	model->jobs[index] = model->jobs[--model->job_count];
	if (index < model->job_count) {
		model_job_t *moved = &model->jobs[index];

		moved->shape.job = moved->name;
	}
}

static int
model_index(const model_t *model, const char *name)
{
	for (int i = 0; i < model->job_count; i++) {
		if (strcmp(model->jobs[i].name, name) == 0)
			return i;
	}
	return -1;
}

/* Finds places for one job and records it; false when there is no place. */
static bool
model_place(
    model_t *model, cells_request_t shape, bool guaranteed, int max_units)
{
	model_job_t job = {.guaranteed = guaranteed, .max_units = max_units};
	victims_t victims = {0};
	int rc;

	if (model->job_count == MAX_JOBS)
		return false;
	snprintf(job.name, sizeof(job.name), "j%d", model->next_job++);
	job.shape = shape;
	job.shape.job = job.name;
	rc = cells_find(model->cells, &job.shape, guaranteed, job.places,
	    add_victim_name, &victims, NULL);
	if (rc != 0)
		return false;
	for (int i = 0; i < victims.count; i++) {
		ck_assert_msg(
		    !cells_is_guaranteed(model->cells, victims.names[i]),
		    "seed %u step %d: guaranteed job %s was reclaimed",
		    model->seed, model->step, victims.names[i]);
		model_release(model, model_index(model, victims.names[i]));
	}
	rc = cells_allocate(model->cells, &job.shape, guaranteed, job.places);
	ck_assert_msg(rc == 0, "seed %u step %d: cells_allocate: %d",
	    model->seed, model->step, rc);
	model->jobs[model->job_count] = job;
	model->jobs[model->job_count].shape.job =
	    model->jobs[model->job_count].name;
	model->job_count++;
	return true;
}

static cells_request_t
random_shape(model_t *model)
{
	static const int sizes[] = {1, 1, 1, 2, 2, 3, 4, 6, 8, 0};

	return (cells_request_t){NULL,
	    workspaces[g_rand_int_range(model->rand, 0, 3)],
	    g_rand_int_range(model->rand, 1, 4),
	    sizes[g_rand_int_range(model->rand, 0, G_N_ELEMENTS(sizes))],
	    (adjacency_t)g_rand_int_range(model->rand, 0, 4)};
}

/* Sets random guarantees; if they are refused, the old ones stay in effect. */
static void
random_guarantees(model_t *model)
{
	static const int sizes[] = {1, 2, 3, 4, 6, 8};
	cells_guarantee_t set[MAX_GUARANTEES];
	int count = g_rand_int_range(model->rand, 1, MAX_GUARANTEES + 1);

	for (int i = 0; i < count; i++)
		set[i] = (cells_guarantee_t){
		    workspaces[g_rand_int_range(model->rand, 0, 3)],
		    g_rand_int_range(model->rand, 1, 4),
		    g_rand_int_range(model->rand, 1, 4),
		    sizes[g_rand_int_range(
			model->rand, 0, G_N_ELEMENTS(sizes))],
		    (adjacency_t)g_rand_int_range(model->rand, 0, 4)};
	if (cells_set_guarantees(model->cells, set, (size_t)count, NULL) != 0)
		return;
	memcpy(model->guarantees, set, sizeof(set));
	model->guarantee_count = count;
	/* A running job may now use smaller units, at worst one per
	 * accelerator. */
	for (int i = 0; i < model->job_count; i++) {
		const cells_request_t *shape = &model->jobs[i].shape;

		model->jobs[i].max_units = shape->members * shape->accelerators;
	}
}

typedef struct {
	const char *workspace;
	int units;
} at_risk_t;

static void
sum_at_risk(void *ctx, const cells_guarantee_t *guarantee, int units)
{
	at_risk_t *at_risk = ctx;

	if (strcmp(at_risk->workspace, guarantee->workspace) == 0)
		at_risk->units += units;
}

/* Lower bound of the units that a workspace can claim: unused, not at risk. */
static int
claimable_units(const model_t *model, const char *workspace)
{
	at_risk_t at_risk = {workspace, 0};
	int units = 0;

	for (int i = 0; i < model->guarantee_count; i++) {
		if (strcmp(model->guarantees[i].workspace, workspace) == 0)
			units += model->guarantees[i].count;
	}
	cells_visit_at_risk(model->cells, sum_at_risk, &at_risk);
	for (int i = 0; i < model->job_count; i++) {
		const model_job_t *job = &model->jobs[i];

		if (strcmp(job->shape.workspace, workspace) == 0 &&
		    cells_is_guaranteed(model->cells, job->name))
			units -= job->max_units;
	}
	return units - at_risk.units;
}

/*
 * Claims all guarantees of every workspace at once, checks that each gets its
 * claimable units, then releases them and restores the reclaimed opportunistic
 * jobs at their former places.
 */
static void
claim_all_guarantees(model_t *model)
{
	model_job_t *before =
	    g_memdup2(model->jobs, sizeof(*before) * MAX_JOBS);
	int count_before = model->job_count;
	int first_new_job = model->next_job;
	int wanted[3];
	int claimed[3] = {0, 0, 0};

	for (int w = 0; w < 3; w++)
		wanted[w] = claimable_units(model, workspaces[w]);
	for (int i = 0; i < model->guarantee_count; i++) {
		const cells_guarantee_t *g = &model->guarantees[i];
		cells_request_t shape = {NULL, g->workspace, g->members,
		    g->accelerators, g->adjacency};

		for (int n = 0; n < g->count; n++) {
			int w = g->workspace[0] - 'a';

			claimed[w] += model_place(model, shape, true, 1);
		}
	}
	for (int w = 0; w < 3; w++)
		ck_assert_msg(claimed[w] >= wanted[w],
		    "seed %u step %d: workspace %s claimed %d of %d units",
		    model->seed, model->step, workspaces[w], claimed[w],
		    wanted[w]);
	for (int i = model->job_count - 1; i >= 0; i--) {
		if (atoi(model->jobs[i].name + 1) >= first_new_job)
			model_release(model, i);
	}
	for (int i = 0; i < count_before; i++) {
		model_job_t *job = &before[i];

		job->shape.job = job->name;
		if (model_index(model, job->name) >= 0)
			continue;
		ck_assert_int_eq(cells_allocate(model->cells, &job->shape,
				     false, job->places),
		    0);
		job->guaranteed = false;
		model->jobs[model->job_count] = *job;
		model->jobs[model->job_count].shape.job =
		    model->jobs[model->job_count].name;
		model->job_count++;
	}
	g_free(before);
}

static void
random_step(model_t *model)
{
	int roll = g_rand_int_range(model->rand, 0, 100);
	char worker[16];
	int w;

	if (roll < 35) { /* 35%: opportunistic job */
		model_place(model, random_shape(model), false, 0);
	} else if (roll < 50 && model->guarantee_count > 0) {
		/* 15%: guaranteed job of a guaranteed shape */
		const cells_guarantee_t *g =
		    &model->guarantees[g_rand_int_range(
			model->rand, 0, model->guarantee_count)];

		model_place(model,
		    (cells_request_t){NULL, g->workspace, g->members,
			g->accelerators, g->adjacency},
		    true, g->members);
	} else if (roll < 60) { /* 10%: guaranteed job of a random shape */
		cells_request_t shape = random_shape(model);

		model_place(model, shape, true,
		    shape.accelerators > 0 ? shape.members * 2 : 0);
	} else if (roll < 85) { /* 25%: a job ends */
		if (model->job_count > 0)
			model_release(model,
			    g_rand_int_range(model->rand, 0, model->job_count));
	} else if (roll < 95) { /* 10%: a worker fails or recovers */
		w = g_rand_int_range(model->rand, 0, model->worker_count);
		snprintf(worker, sizeof(worker), "w%d", w);
		model->usable[w] = !model->usable[w];
		ck_assert_int_eq(
		    cells_set_usable(model->cells, worker, model->usable[w]),
		    0);
	} else { /* 5%: new guarantees */
		random_guarantees(model);
	}
}

static void
random_round(uint32_t seed)
{
	static const int accelerators[] = {8, 8, 8, 4, 6, 1, 16};
	model_t *model = g_new0(model_t, 1);
	err_t err = {0};
	int total = 0;

	model->seed = seed;
	model->rand = g_rand_new_with_seed(seed);
	model->cells = cells_create();
	model->worker_count = g_rand_int_range(model->rand, 4, MAX_WORKERS + 1);
	for (int w = 0; w < model->worker_count; w++) {
		char worker[16];
		char rack[16];
		int n = accelerators[g_rand_int_range(
		    model->rand, 0, G_N_ELEMENTS(accelerators))];

		snprintf(worker, sizeof(worker), "w%d", w);
		snprintf(rack, sizeof(rack), "r%d", w / 4);
		ck_assert_int_eq(
		    cells_add_worker(model->cells, worker, rack, n, 8), 0);
		model->usable[w] = true;
		total += n;
	}
	random_guarantees(model);
	for (model->step = 0; model->step < RANDOM_STEPS; model->step++) {
		int rc;

		random_step(model);
		rc = cells_check(model->cells, &err);
		ck_assert_msg(rc == 0 || rc == -ENOSPC,
		    "seed %u step %d: %s: %s", seed, model->step, err.peer,
		    err.text);
		claim_all_guarantees(model);
		rc = cells_check(model->cells, &err);
		ck_assert_msg(rc == 0 || rc == -ENOSPC,
		    "seed %u step %d after claims: %s: %s", seed, model->step,
		    err.peer, err.text);
	}
	while (model->job_count > 0)
		model_release(model, 0);
	for (int w = 0; w < model->worker_count; w++) {
		char worker[16];

		snprintf(worker, sizeof(worker), "w%d", w);
		cells_set_usable(model->cells, worker, true);
	}
	ck_assert_int_eq(cells_free_accelerators(model->cells), total);
	ck_assert_msg(cells_check(model->cells, &err) == 0,
	    "seed %u: at the end: %s", seed, err.text);
	cells_destroy(model->cells);
	g_rand_free(model->rand);
	g_free(model);
}

/*
 * Guards against sequences of placements, releases, failures, repairs and
 * configuration changes after which a guarantee cannot be claimed in full.
 */
START_TEST(random_operations)
{
	const char *text = g_getenv("CELLS_SEED");
	uint32_t seed =
	    text != NULL ? (uint32_t)strtoul(text, NULL, 10) : DEFAULT_SEED;

	printf("CELLS_SEED=%u\n", seed);
	for (int round = 0; round < RANDOM_ROUNDS; round++)
		random_round(seed + (uint32_t)round);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("cells");
	TCase *tcase = tcase_create("cells");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, guarantee_claimable_when_full);
	tcase_add_test(tcase, guarantees_do_not_share);
	tcase_add_test(tcase, refuses_guarantees_that_do_not_fit);
	tcase_add_test(tcase, packing_keeps_large_blocks);
	tcase_add_test(tcase, slots_stay_for_accelerators);
	tcase_add_test(tcase, slots_stay_beside_reserved_cells);
	tcase_add_test(tcase, reclaims_least_work);
	tcase_add_test(tcase, uneven_hardware);
	tcase_add_test(tcase, failures_put_guarantees_at_risk);
	tcase_add_test(tcase, new_leader_binds_running_jobs);
	tcase_add_test(tcase, random_operations);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
