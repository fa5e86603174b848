#include "state/config_guarantees.h"

#include <errno.h>
#include <string.h>

#include "state/config.h"

#define MAX_EXTRA_WORKERS 4096 /* added in the search for a fitting size */

/* The declared workers of one failure domain. */
typedef struct {
	const char *name;
	int racks;
	int workers_per_rack;
	int accelerators;
	int extra_workers; /* added to the last rack */
} hardware_t;

/* One guarantee of the document with its place in it. */
typedef struct {
	cells_guarantee_t shape;
	size_t index; /* in the guarantees of its workspace */
} entry_t;

static int
integer_of(const json_t *object, const char *key)
{
	return (int)json_integer_value(json_object_get(object, key));
}

/* Reads an adjacency, ADJACENT_ANY for an unknown name. */
static adjacency_t
adjacency_of(const json_t *guarantee)
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

/* Builds the tree of cells of a domain's declared hardware. */
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
			/* One slot for each accelerator: slots never limit. */
			cells_add_worker(cells, worker, rack,
			    hardware->accelerators,
			    MAX(hardware->accelerators, 1));
		}
	}
	return cells;
}

/* Tells whether the first count guarantees fit together. */
static bool
fits(
    const hardware_t *hardware, const GArray *entries, size_t count, err_t *err)
{
	cells_guarantee_t *shapes = g_new(cells_guarantee_t, count + 1);
	cells_t *cells = build_cells(hardware);
	int rc;

	for (size_t i = 0; i < count; i++)
		shapes[i] = g_array_index(entries, entry_t, i).shape;
	rc = cells_set_guarantees(cells, shapes, count, err);
	cells_destroy(cells);
	g_free(shapes);
	return rc == 0;
}

/* Returns the largest value below *field with which it fits, 0 for none. */
static int
largest_fitting(
    const hardware_t *hardware, const GArray *entries, size_t count, int *field)
{
	int original = *field;
	int low = 0;
	int high = original;

	while (high - low > 1) {
		int middle = low + (high - low) / 2;

		*field = middle;
		if (fits(hardware, entries, count, NULL))
			low = middle;
		else
			high = middle;
	}
	*field = original;
	return low;
}

/* Returns how many workers more in one rack make it fit, 0 for none. */
static int
workers_needed(const hardware_t *hardware, const GArray *entries, size_t count)
{
	hardware_t larger = *hardware;
	int low = 0;
	int high = 1;

	for (;; high *= 2) {
		if (high > MAX_EXTRA_WORKERS)
			return 0;
		larger.extra_workers = high;
		if (fits(&larger, entries, count, NULL))
			break;
		low = high;
	}
	while (high - low > 1) {
		larger.extra_workers = low + (high - low) / 2;
		if (fits(&larger, entries, count, NULL))
			high = larger.extra_workers;
		else
			low = larger.extra_workers;
	}
	return high;
}

/*
 * Names the smallest change that makes the last of count guarantees fit,
 * counted in accelerators: fewer members, fewer shapes or more workers.
 */
static void
smallest_change(
    const hardware_t *hardware, GArray *entries, size_t count, GString *out)
{
	entry_t *entry = &g_array_index(entries, entry_t, count - 1);
	cells_guarantee_t *shape = &entry->shape;
	int members =
	    largest_fitting(hardware, entries, count, &shape->members);
	int shapes = largest_fitting(hardware, entries, count, &shape->count);
	int workers = workers_needed(hardware, entries, count);
	int fewer_members = shape->members - members;
	int fewer_shapes = shape->count - shapes;
	long cost_members =
	    (long)fewer_members * shape->accelerators * shape->count;
	long cost_shapes =
	    (long)fewer_shapes * shape->accelerators * shape->members;
	long cost_workers = (long)workers * hardware->accelerators;

	if (members > 0 && (shapes == 0 || cost_members <= cost_shapes) &&
	    (workers == 0 || cost_members <= cost_workers))
		g_string_append_printf(out, "%d member%s fewer", fewer_members,
		    fewer_members == 1 ? "" : "s");
	else if (shapes > 0 && (workers == 0 || cost_shapes <= cost_workers))
		g_string_append_printf(out, "count %d lower", fewer_shapes);
	else if (workers > 0)
		g_string_append_printf(out, "%d worker%s more in one rack",
		    workers, workers == 1 ? "" : "s");
	else
		g_string_append(out, "the guarantee removed");
}

/* Checks all guarantees of one domain together. */
static int
check_domain(const hardware_t *hardware, GArray *entries, err_t *err)
{
	const entry_t *entry;
	GString *change;
	err_t why = {0};
	size_t low = 0;
	size_t high = entries->len;

	if (entries->len == 0 || fits(hardware, entries, entries->len, &why))
		return 0;
	/* The first guarantee that does not fit with those before it. */
	while (high - low > 1) {
		size_t middle = low + (high - low) / 2;

		if (fits(hardware, entries, middle, NULL))
			low = middle;
		else
			high = middle;
	}
	fits(hardware, entries, high, &why);
	change = g_string_new("");
	smallest_change(hardware, entries, high, change);
	entry = &g_array_index(entries, entry_t, high - 1);
	err_set(err, -ENOSPC, "config", NULL,
	    "/workspaces/%s/guarantees/%zu: expected a guarantee that fits %s: "
	    "fits with %s (%.80s)",
	    entry->shape.workspace, entry->index, hardware->name, change->str,
	    why.text);
	g_string_free(change, TRUE);
	return -ENOSPC;
}

/* Collects the guarantees that name the domain, in document order. */
static GArray *
collect(const json_t *config, const char *domain)
{
	GArray *entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	json_t *workspace;
	json_t *guarantee;
	const char *name;
	size_t index;

	json_object_foreach (
	    json_object_get(config, "workspaces"), name, workspace) {
		json_array_foreach (json_object_get(workspace, "guarantees"),
		    index, guarantee) {
			entry_t entry = {
			    .shape = {.workspace = name,
				.count = integer_of(guarantee, "count"),
				.members = integer_of(guarantee, "members"),
				.accelerators =
				    integer_of(guarantee, "accelerators"),
				.adjacency = adjacency_of(guarantee)},
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
 * Tells whether every guarantee of a checked document can be honoured at once
 * on the declared hardware of its failure domain.  Returns -ENOSPC; err names
 * the first guarantee that does not fit with those before it and the smallest
 * change, counted in accelerators, that makes it fit.
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
		    .racks = integer_of(domain, "racks"),
		    .workers_per_rack = integer_of(domain, "workers_per_rack"),
		    .accelerators =
			integer_of(domain, "accelerators_per_worker"),
		};
		GArray *entries = collect(config, name);

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
	GArray *entries = collect(config, domain);
	GArray *shapes = g_array_new(FALSE, TRUE, sizeof(cells_guarantee_t));

	for (guint i = 0; i < entries->len; i++)
		g_array_append_val(
		    shapes, g_array_index(entries, entry_t, i).shape);
	g_array_free(entries, TRUE);
	return shapes;
}
