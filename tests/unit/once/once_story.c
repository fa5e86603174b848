#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "common/evlog.h"
#include "tests/unit/once/once.h"

/* The events of a day, kept for the report about a unit that ran twice. */

typedef struct {
	int64_t at_us;
	char *job;    /* NULL: concerns no job */
	char *worker; /* NULL: concerns no worker */
	char *text;
} entry_t;

static void
add(world_t *world, const char *job, const char *worker, char *text)
{
	entry_t *entry = g_new0(entry_t, 1);

	*entry =
	    (entry_t){world->now_us, g_strdup(job), g_strdup(worker), text};
	g_ptr_array_add(world->story, entry);
}

void
story_add(world_t *world, const char *job, const char *worker,
    const char *format, ...)
{
	va_list args;

	if (!world->recording)
		return;
	va_start(args, format);
	add(world, job, worker, g_strdup_vprintf(format, args));
	va_end(args);
}

/* Replaces the event log: its lines become part of the story. */
void
evlog(const char *kind, const char *format, ...)
{
	world_t *world = once_world;
	json_error_t error;
	json_t *fields;
	char *line;
	va_list args;

	if (world == NULL || !world->recording)
		return;
	va_start(args, format);
	fields = json_vpack_ex(&error, 0, format, args);
	va_end(args);
	line = json_dumps(fields, JSON_COMPACT);
	add(world, json_string_value(json_object_get(fields, "job")),
	    json_string_value(json_object_get(fields, "worker")),
	    g_strdup_printf("i%d %s %s", world->current, kind, line));
	free(line);
	json_decref(fields);
}

/* Collects the workers on which tasks of the failed job were. */
static GHashTable *
workers_of_job(const world_t *world)
{
	GHashTable *workers = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < world->story->len; i++) {
		const entry_t *entry = g_ptr_array_index(world->story, i);

		if (entry->worker != NULL &&
		    g_strcmp0(entry->job, world->failed_job) == 0)
			g_hash_table_add(workers, entry->worker);
	}
	return workers;
}

/* Prints what concerns the failed job, its workers or the leaders. */
void
story_print(const world_t *world)
{
	GHashTable *workers;

	if (world->failed_job == NULL)
		return;
	workers = workers_of_job(world);
	for (guint i = 0; i < world->story->len; i++) {
		const entry_t *entry = g_ptr_array_index(world->story, i);

		if (entry->job != NULL &&
		    strcmp(entry->job, world->failed_job) != 0)
			continue;
		if (entry->job == NULL && entry->worker != NULL &&
		    !g_hash_table_contains(workers, entry->worker))
			continue;
		printf("  %8.3f %s\n", (double)entry->at_us / ONCE_US_PER_S,
		    entry->text);
	}
	g_hash_table_unref(workers);
}

static void
entry_free(void *data)
{
	entry_t *entry = data;

	g_free(entry->job);
	g_free(entry->worker);
	g_free(entry->text);
	g_free(entry);
}

void
story_clear(world_t *world)
{
	g_ptr_array_set_free_func(world->story, entry_free);
	g_ptr_array_unref(world->story);
}
