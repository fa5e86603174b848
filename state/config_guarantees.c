#include "state/config_guarantees.h"

#include <errno.h>
#include <string.h>

#include "state/config.h"

/* Most additional workers that an error message proposes. */
#define MAX_EXTRA_WORKERS 4096

/* Declared hardware of one failure domain. */
typedef struct {
	const char *name;
	int racks;
	int workers_per_rack;
	int accelerators;  /* of each worker */
	int extra_workers; /* added to the last rack */
} hardware_t;

/* A guarantee and its position in the document. */
typedef struct {
	cells_guarantee_t shape;
	size_t index; /* in the guarantees array of its workspace */
} guarantee_entry_t;

static int
get_int(const json_t *object, const char *key)
{
	return (int)json_integer_value(json_object_get(object, key));
}

/* Returns ADJACENT_ANY for an unknown name. */
static adjacency_t
parse_adjacency(const json_t *guarantee)
{
	static const char *const names[] = {
	    [ADJACENT_ANY] = "any",
	    [ADJACENT_DOMAIN] = "domain",
	    [ADJACENT_RACK] = "rack",
	    [ADJACENT_WORKER] = "worker",
	};
	const char *name =
	    json_string_value(json_object_get(guarantee, "adjacency"));

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_strcmp0(name, names[i]) == 0)
			return (adjacency_t)i;
	}
	return ADJACENT_ANY;
}

/* Builds the cell tree of a domain's declared hardware. */
static cells_t *
build_cells(const hardware_t *hardware)
{
	cells_t *cells = cells_create();
	char worker[64];
	char rack[32];

	for (int r = 0; r < hardware->racks; r++) {
		int count = hardware->workers_per_rack;

		if (r == hardware->racks - 1)
			count += hardware->extra_workers;
		g_snprintf(rack, sizeof(rack), "r%d", r);
		for (int w = 0; w < count; w++) {
			g_snprintf(worker, sizeof(worker), "r%dw%d", r, w);
			/* A slot per accelerator: slots never limit members. */
			cells_add_worker(cells, worker, rack,
			    hardware->accelerators,
			    MAX(hardware->accelerators, 1));
		}
	}
	return cells;
}

/*
 * Returns whether the first count guarantees fit together on the cells.  Passes
 * no err: to build its text, cells_set_guarantees would try every guarantee.
 */
static bool
fits(cells_t *cells, const GArray *entries, size_t count)
{
	cells_guarantee_t *shapes = g_new(cells_guarantee_t, count + 1);
	int rc;

	for (size_t i = 0; i < count; i++)
		shapes[i] = g_array_index(entries, guarantee_entry_t, i).shape;
	rc = cells_set_guarantees(cells, shapes, count, NULL);
	g_free(shapes);
	return rc == 0;
}

/* Returns whether the guarantees fit with more workers in the last rack. */
static bool
fits_with_workers(const hardware_t *hardware, int extra_workers,
    const GArray *entries, size_t count)
{
	hardware_t larger = *hardware;
	cells_t *cells;
	bool fitting;

	larger.extra_workers = extra_workers;
	cells = build_cells(&larger);
	fitting = fits(cells, entries, count);
	cells_destroy(cells);
	return fitting;
}

/*
 * Returns the largest value below *field with which the guarantees fit, 0 for
 * none.  field points into an element of entries; its value is changed during
 * the search and then restored.
 */
static int
largest_fitting(cells_t *cells, const GArray *entries, size_t count, int *field)
{
	int original = *field;
	int low = 0;
	int high = original;

	while (high - low > 1) {
		int middle = low + (high - low) / 2;

		*field = middle;
		if (fits(cells, entries, count))
			low = middle;
		else
			high = middle;
	}
	*field = original;
	return low;
}

/* Returns the shortage of accelerators, without regard to adjacency. */
static long
missing_accelerators(
    const hardware_t *hardware, const GArray *entries, size_t count)
{
	long missing = -(long)hardware->racks * hardware->workers_per_rack *
		       hardware->accelerators;

	for (size_t i = 0; i < count; i++) {
		const cells_guarantee_t *shape =
		    &g_array_index(entries, guarantee_entry_t, i).shape;

		missing +=
		    (long)shape->count * shape->members * shape->accelerators;
	}
	return MAX(missing, 0);
}

/*
 * Returns the smallest number of additional workers, 1..limit, with which the
 * guarantees fit; 0 if limit workers are too few.
 */
static int
workers_needed(
    const hardware_t *hardware, int limit, const GArray *entries, size_t count)
{
	long missing = missing_accelerators(hardware, entries, count);
	int low = (int)MIN(
	    MAX((missing - 1) / hardware->accelerators + 1, 1), limit + 1L);
	int high = limit;

	if (low > limit)
		return 0;
	if (fits_with_workers(hardware, low, entries, count))
		return low;
	if (!fits_with_workers(hardware, high, entries, count))
		return 0;
	while (high - low > 1) {
		int middle = low + (high - low) / 2;

		if (fits_with_workers(hardware, middle, entries, count))
			high = middle;
		else
			low = middle;
	}
	return high;
}

/*
 * Appends to out the smallest change, measured in accelerators, that makes the
 * last of count guarantees fit: fewer members, a lower count or more workers.
 * The search for additional workers starts at the shortage of accelerators and
 * ends where another change is smaller, because trying every number took 380 ms
 * to reject a patch with 540 workers.
 */
static void
append_smallest_change(const hardware_t *hardware, cells_t *cells,
    GArray *entries, size_t count, GString *out)
{
	cells_guarantee_t *shape =
	    &g_array_index(entries, guarantee_entry_t, count - 1).shape;
	int members = largest_fitting(cells, entries, count, &shape->members);
	int fitting_count =
	    largest_fitting(cells, entries, count, &shape->count);
	int fewer_members = shape->members - members;
	int fewer_count = shape->count - fitting_count;
	long cost_members =
	    (long)fewer_members * shape->accelerators * shape->count;
	long cost_count =
	    (long)fewer_count * shape->accelerators * shape->members;
	long best = (long)shape->count * shape->members * shape->accelerators;
	int workers = 0;

	if (members > 0)
		best = MIN(best, cost_members);
	if (fitting_count > 0)
		best = MIN(best, cost_count);
	if (hardware->accelerators > 0)
		workers = workers_needed(hardware,
		    (int)MIN((best - 1) / hardware->accelerators + 1,
			MAX_EXTRA_WORKERS),
		    entries, count);
	if (workers > 0 && (long)workers * hardware->accelerators < best) {
		g_string_append_printf(out, "%d worker%s more in one rack",
		    workers, workers == 1 ? "" : "s");
	} else if (members > 0 && cost_members == best) {
		g_string_append_printf(out, "%d member%s fewer", fewer_members,
		    fewer_members == 1 ? "" : "s");
	} else if (fitting_count > 0) {
		g_string_append_printf(out, "count %d lower", fewer_count);
	} else if (workers > 0) {
		g_string_append_printf(out, "%d worker%s more in one rack",
		    workers, workers == 1 ? "" : "s");
	} else {
		g_string_append(out, "the guarantee removed");
	}
}

/* Reports the first guarantee that does not fit with those before it. */
static int
report_unsatisfiable(
    const hardware_t *hardware, cells_t *cells, GArray *entries, err_t *err)
{
	const guarantee_entry_t *entry;
	GString *change;
	size_t low = 0;
	size_t high = entries->len;

	while (high - low > 1) {
		size_t middle = low + (high - low) / 2;

		if (fits(cells, entries, middle))
			low = middle;
		else
			high = middle;
	}
	change = g_string_new("");
	append_smallest_change(hardware, cells, entries, high, change);
	entry = &g_array_index(entries, guarantee_entry_t, high - 1);
	err_set(err, -ENOSPC, "config", NULL,
	    "/workspaces/%s/guarantees/%zu: expected a guarantee that fits %s: "
	    "fits with %s (%d racks of %d x %d accelerators, %zu guarantees "
	    "come first)",
	    entry->shape.workspace, entry->index, hardware->name, change->str,
	    hardware->racks, hardware->workers_per_rack, hardware->accelerators,
	    high - 1);
	g_string_free(change, TRUE);
	return -ENOSPC;
}

/* Checks that all guarantees of one domain fit together. */
static int
check_domain(const hardware_t *hardware, GArray *entries, err_t *err)
{
	cells_t *cells;
	int rc = 0;

	if (entries->len == 0)
		return 0;
	cells = build_cells(hardware);
	if (!fits(cells, entries, entries->len))
		rc = report_unsatisfiable(hardware, cells, entries, err);
	cells_destroy(cells);
	return rc;
}

/* Returns the guarantees in the domain, in document order. */
static GArray *
collect_domain_guarantees(const json_t *config, const char *domain)
{
	GArray *entries = g_array_new(FALSE, TRUE, sizeof(guarantee_entry_t));
	json_t *workspace;
	json_t *guarantee;
	const char *name;
	size_t index;

	json_object_foreach (
	    json_object_get(config, "workspaces"), name, workspace) {
		json_array_foreach (json_object_get(workspace, "guarantees"),
		    index, guarantee) {
			guarantee_entry_t entry = {
			    .shape = {.workspace = name,
				.count = get_int(guarantee, "count"),
				.members = get_int(guarantee, "members"),
				.accelerators =
				    get_int(guarantee, "accelerators"),
				.adjacency = parse_adjacency(guarantee)},
			    .index = index,
			};

			if (g_strcmp0(json_string_value(
					  json_object_get(guarantee, "domain")),
				domain) == 0)
				g_array_append_val(entries, entry);
		}
	}
	return entries;
}

/*
 * Checks that all guarantees of a valid document fit together on the declared
 * hardware of their failure domains.  Returns -ENOSPC if not; err names the
 * first guarantee that does not fit with those before it and the smallest
 * change, measured in accelerators, that makes it fit.
 */
int
config_check_guarantees(const json_t *config, err_t *err)
{
	const char *name;
	json_t *domain;
	int rc = 0;

	json_object_foreach (
	    json_object_get(config, "hardware"), name, domain) {
		hardware_t hardware = {
		    .name = name,
		    .racks = get_int(domain, "racks"),
		    .workers_per_rack = get_int(domain, "workers_per_rack"),
		    .accelerators = get_int(domain, "accelerators_per_worker"),
		};
		GArray *entries = collect_domain_guarantees(config, name);

		rc = check_domain(&hardware, entries, err);
		g_array_free(entries, TRUE);
		if (rc != 0)
			break;
	}
	return rc;
}

/* See state/config_guarantees.h. */
GArray *
config_guarantees(const json_t *config, const char *domain)
{
	GArray *entries = collect_domain_guarantees(config, domain);
	GArray *shapes = g_array_new(FALSE, TRUE, sizeof(cells_guarantee_t));

	for (guint i = 0; i < entries->len; i++)
		g_array_append_val(
		    shapes, g_array_index(entries, guarantee_entry_t, i).shape);
	g_array_free(entries, TRUE);
	return shapes;
}
