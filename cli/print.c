#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

/* Returns a value as text for a table; the caller frees it. */
static char *
value_text(const json_t *value)
{
	if (value == NULL || json_is_null(value))
		return g_strdup("-");
	if (json_is_string(value))
		return g_strdup(json_string_length(value) > 0
				    ? json_string_value(value)
				    : "-");
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (json_is_real(value))
		return g_strdup_printf("%.4g", json_real_value(value));
	if (json_is_array(value))
		return g_strdup_printf("%zu", json_array_size(value));
	return json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

/* Prints a list of objects as aligned columns. */
void
print_table(const json_t *list, const column_t *columns, size_t count)
{
	GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
	int *widths = g_new0(int, count);
	size_t index;
	json_t *row;

	for (size_t c = 0; c < count; c++)
		g_ptr_array_add(cells, g_strdup(columns[c].title));
	json_array_foreach ((json_t *)list, index, row) {
		for (size_t c = 0; c < count; c++)
			g_ptr_array_add(cells, value_text(json_object_get(
						   row, columns[c].member)));
	}
	for (guint i = 0; i < cells->len; i++)
		widths[i % count] = MAX(widths[i % count],
		    (int)strlen(g_ptr_array_index(cells, i)));
	for (guint i = 0; i < cells->len; i++) {
		bool is_last = i % count == count - 1;

		printf("%-*s%s", is_last ? 0 : widths[i % count],
		    (char *)g_ptr_array_index(cells, i), is_last ? "\n" : "  ");
	}
	g_free(widths);
	g_ptr_array_unref(cells);
}

/* Prints "title: value" lines. */
void
print_members(const json_t *object, const column_t *columns, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		char *text =
		    value_text(json_object_get(object, columns[i].member));

		printf("%s: %s\n", columns[i].title, text);
		g_free(text);
	}
}

/* Prints an answer as indented JSON. */
int
print_json(const char *body)
{
	json_t *value = json_loads(body, JSON_DECODE_ANY, NULL);

	if (value == NULL) {
		fprintf(stderr, "chervilhold: the answer is no JSON; check "
				"that --url names the operator port\n");
		return EXIT_REFUSED;
	}
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
	json_decref(value);
	return EXIT_OK;
}

/* Tells what to do next about an error code of docs/INTERFACES.md. */
static const char *
next_step(const char *error)
{
	static const struct {
		const char *error;
		const char *step;
	} steps[] = {
	    {"no_key", "pass --key-file with the operator key"},
	    {"wrong_key", "pass --key-file with a key that may do this"},
	    {"not_found", "check the name with the list of the same kind"},
	    {"no_quorum", "check `chervilhold status` at other instances"},
	    {"timeout", "send the same command again with the same --id"},
	    {"invalid", "correct the patch at that path and apply it again"},
	    {"draining", "name another instance with --url"},
	    {"starting", "wait, or name another instance with --url"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		if (strcmp(steps[i].error, error) == 0)
			return steps[i].step;
	}
	return "see docs/INTERFACES.md for this error";
}

static const char *
member(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : "";
}

/* Explains an answer that is no success and returns the exit code. */
int
report_failure(const char *what, long status, const char *body)
{
	json_t *answer = json_loads(body, 0, NULL);
	const char *error = member(answer, "error");
	const char *path = member(answer, "path");

	if (status == 0) {
		fprintf(stderr,
		    "chervilhold: %s: no instance answered; check --url or "
		    "CHERVILHOLD_URL (http://ADDRESS:OPERATOR_PORT)\n",
		    what);
		json_decref(answer);
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr, "chervilhold: %s: %s%s%s%s%s (HTTP %ld)\n", what,
	    error[0] != '\0' ? error : "unexpected answer",
	    path[0] != '\0' ? " at " : "", path,
	    member(answer, "text")[0] != '\0' ? ": " : "",
	    member(answer, "text"), status);
	fprintf(stderr, "next: %s\n", next_step(error));
	json_decref(answer);
	if (status == 409)
		return EXIT_CONFLICT;
	return status == 503 || status == 504 ? EXIT_UNREACHABLE : EXIT_REFUSED;
}
