#include <string.h>

#include "common/chart.h"
#include "entry/operator_private.h"
#include "policy/cells.h"
#include "state/config_guarantees.h"

/* The cells of one domain with all running jobs and the new guarantees. */
typedef struct {
	const machine_t *machine;
	const char *domain;
	cells_t *cells;
	GPtrArray *victims; /* job ids, owned */
	bool take_guaranteed;
} simulation_t;

static bool
add_worker(void *ctx, const machine_worker_t *worker)
{
	simulation_t *simulation = ctx;

	if (strcmp(worker->domain, simulation->domain) == 0 && !worker->leaving)
		cells_add_worker(simulation->cells, worker->id, worker->rack,
		    worker->accelerators, worker->slots);
	return true;
}

static cells_request_t
shape_of(const machine_job_t *job)
{
	return (cells_request_t){
	    .job = job->id,
	    .workspace = job->workspace,
	    .members = job->member_count,
	    .accelerators = job->accelerators,
	    .adjacency = job->adjacency,
	};
}

static bool
take_job(void *ctx, const machine_job_t *job)
{
	simulation_t *simulation = ctx;
	cells_request_t shape = shape_of(job);
	cells_place_t *places;

	if (job->placed_count == 0 ||
	    job->guaranteed != simulation->take_guaranteed ||
	    strcmp(job->domain, simulation->domain) != 0 ||
	    chart_is_final(chart_builtin("job"), job->state))
		return true;
	places = g_new0(cells_place_t, job->placed_count);
	for (size_t i = 0; i < job->placed_count; i++) {
		g_strlcpy(places[i].worker, job->members[i].worker,
		    sizeof(places[i].worker));
		places[i].accelerator_mask = job->members[i].accelerator_mask;
	}
	/* A guarantee that the patch removes leaves its job opportunistic. */
	if (cells_allocate(
		simulation->cells, &shape, job->guaranteed, places) != 0 &&
	    job->guaranteed)
		cells_allocate(simulation->cells, &shape, false, places);
	g_free(places);
	return true;
}

static void
add_victim(void *ctx, const char *job)
{
	g_ptr_array_add(ctx, g_strdup(job));
}

/* Uses a guarantee as often as it allows and records what it displaces. */
static void
claim_guarantee(
    simulation_t *simulation, const cells_guarantee_t *guarantee, guint number)
{
	cells_place_t *places = g_new0(cells_place_t, guarantee->members);
	char name[64];
	cells_request_t shape = {
	    .job = name,
	    .workspace = guarantee->workspace,
	    .members = guarantee->members,
	    .accelerators = guarantee->accelerators,
	    .adjacency = guarantee->adjacency,
	};

	for (int i = 0; i < guarantee->count; i++) {
		guint before = simulation->victims->len;

		g_snprintf(name, sizeof(name), "plan-%u-%d", number, i);
		if (cells_find(simulation->cells, &shape, true, places,
			add_victim, simulation->victims, NULL) != 0) {
			g_ptr_array_set_size(simulation->victims, (gint)before);
			break;
		}
		for (guint v = before; v < simulation->victims->len; v++)
			cells_release(simulation->cells,
			    g_ptr_array_index(simulation->victims, v));
		cells_allocate(simulation->cells, &shape, true, places);
	}
	g_free(places);
}

/* Tells whether the patch changes the guarantees of a workspace. */
static bool
is_changed(const machine_t *machine, const json_t *config, const char *name)
{
	const json_t *old = json_object_get(
	    json_object_get(machine_config(machine), "workspaces"), name);
	const json_t *new =
	    json_object_get(json_object_get(config, "workspaces"), name);

	return !json_equal(json_object_get(old, "guarantees"),
	    json_object_get(new, "guarantees"));
}

/* Simulates one domain and appends the jobs that are displaced. */
static void
plan_domain(const machine_t *machine, const json_t *config, const char *domain,
    json_t *list)
{
	GArray *guarantees = config_guarantees(config, domain);
	simulation_t simulation = {
	    .machine = machine,
	    .domain = domain,
	    .cells = cells_create(),
	    .victims = g_ptr_array_new_with_free_func(g_free),
	    .take_guaranteed = true,
	};

	machine_each_worker(machine, add_worker, &simulation);
	/* Jobs that run are taken first: set_guarantees binds them. */
	machine_each_job(machine, take_job, &simulation);
	simulation.take_guaranteed = false;
	machine_each_job(machine, take_job, &simulation);
	/* Fails when workers are missing; what fits is then not known. */
	if (cells_set_guarantees(simulation.cells,
		(const cells_guarantee_t *)(const void *)guarantees->data,
		guarantees->len, NULL) != 0)
		goto done;
	for (guint i = 0; i < guarantees->len; i++) {
		const cells_guarantee_t *guarantee =
		    &g_array_index(guarantees, cells_guarantee_t, i);

		if (is_changed(machine, config, guarantee->workspace))
			claim_guarantee(&simulation, guarantee, i);
	}
	for (guint i = 0; i < simulation.victims->len; i++) {
		const machine_job_t *job = machine_job(
		    machine, g_ptr_array_index(simulation.victims, i));

		if (job != NULL)
			json_array_append_new(list,
			    json_pack("{s:s, s:s, s:s, s:i}", "job", job->id,
				"tenant", job->tenant, "workspace",
				job->workspace, "accelerators",
				job->member_count * job->accelerators));
	}
done:
	cells_destroy(simulation.cells);
	g_ptr_array_unref(simulation.victims);
	g_array_free(guarantees, TRUE);
}

/*
 * Lists the running jobs that would be reclaimed if each workspace whose
 * guarantees the new configuration changes used all of them at once.
 */
json_t *
operator_reclaims(const machine_t *machine, const json_t *config)
{
	json_t *list = json_array();
	const char *domain;
	json_t *hardware;

	json_object_foreach (
	    json_object_get(config, "hardware"), domain, hardware) {
		plan_domain(machine, config, domain, list);
	}
	return list;
}
