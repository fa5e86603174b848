#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

/* One line of an event log that concerns the traced id. */
typedef struct {
	json_int_t time_ms;
	json_t *fields;
} line_t;

/* Whether a value is the id, or a path that ends in it. */
static bool
names_id(const json_t *value, const char *id)
{
	const char *text = json_string_value(value);

	return text != NULL && g_str_has_suffix(text, id);
}

static bool
concerns(const json_t *fields, const char *id)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)fields, key, value) {
		if (names_id(value, id))
			return true;
	}
	return false;
}

/* Finds the JSON object in a line, which other tools may have prefixed. */
static json_t *
read_fields(const char *text)
{
	const char *start = strstr(text, "{\"t\"");

	return start != NULL ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL)
			     : NULL;
}

static void
collect_line(GArray *lines, const char *text, const char *id)
{
	line_t line = {.fields = read_fields(text)};

	if (!json_is_object(line.fields) || !concerns(line.fields, id)) {
		json_decref(line.fields);
		return;
	}
	line.time_ms = json_integer_value(json_object_get(line.fields, "t"));
	g_array_append_val(lines, line);
}

static int
collect_file(GArray *lines, const char *path, const char *id)
{
	GError *error = NULL;
	char *text;
	char **split;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "chervilhold: %s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	split = g_strsplit(text, "\n", -1);
	for (size_t i = 0; split[i] != NULL; i++)
		collect_line(lines, split[i], id);
	g_strfreev(split);
	g_free(text);
	return EXIT_OK;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const line_t *first = a;
	const line_t *second = b;

	return first->time_ms < second->time_ms
		   ? -1
		   : first->time_ms > second->time_ms;
}

static void
print_line(const line_t *line, json_int_t start_ms)
{
	const char *key;
	json_t *value;

	printf("%+8lld ms  %-12s %-12s", (long long)(line->time_ms - start_ms),
	    json_string_value(json_object_get(line->fields, "instance")),
	    json_string_value(json_object_get(line->fields, "event")));
	json_object_foreach (line->fields, key, value) {
		char *text;

		if (strcmp(key, "t") == 0 || strcmp(key, "instance") == 0 ||
		    strcmp(key, "event") == 0)
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY);
		printf(" %s=%s", key, text);
		free(text);
	}
	putchar('\n');
}

/*
 * Prints what the event logs say of a request, job or worker, in order of time.
 * Instances' clocks may differ by some milliseconds.
 */
int
command_trace(const options_t *options, const char *id)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(line_t));
	char *const *paths = options->logs;
	int code = EXIT_OK;

	for (size_t i = 0; paths != NULL && paths[i] != NULL && code == EXIT_OK;
	     i++)
		code = collect_file(lines, paths[i], id);
	g_array_sort(lines, compare_lines);
	for (guint i = 0; i < lines->len; i++) {
		line_t *line = &g_array_index(lines, line_t, i);

		print_line(line, g_array_index(lines, line_t, 0).time_ms);
	}
	for (guint i = 0; i < lines->len; i++)
		json_decref(g_array_index(lines, line_t, i).fields);
	if (code == EXIT_OK && lines->len == 0) {
		fprintf(stderr, "chervilhold: no line names \"%s\"\n", id);
		code = EXIT_REFUSED;
	}
	g_array_unref(lines);
	return code;
}
