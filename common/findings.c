#include "common/findings.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>

#include "common/json_place.h"

typedef struct {
	finding_kind_t kind;
	char *pointer;
	char *text;
} finding_t;

struct findings_t {
	GPtrArray *list; /* finding_t, in the order in which they were added */
};

static void
finding_free(void *data)
{
	finding_t *finding = data;

	g_free(finding->pointer);
	g_free(finding->text);
	g_free(finding);
}

findings_t *
findings_create(void)
{
	findings_t *findings = g_new0(findings_t, 1);

	findings->list = g_ptr_array_new_with_free_func(finding_free);
	return findings;
}

void
findings_destroy(findings_t *findings)
{
	g_ptr_array_unref(findings->list);
	g_free(findings);
}

void
findings_add(findings_t *findings, finding_kind_t kind, const char *pointer,
    const char *format, ...)
{
	finding_t *finding = g_new0(finding_t, 1);
	char *text;
	va_list args;

	va_start(args, format);
	finding->kind = kind;
	/* Texts that were cut may end within a character. */
	finding->pointer = g_utf8_make_valid(pointer, -1);
	text = g_strdup_vprintf(format, args);
	finding->text = g_utf8_make_valid(text, -1);
	g_free(text);
	va_end(args);
	g_ptr_array_add(findings->list, finding);
}

size_t
findings_count(const findings_t *findings, finding_kind_t kind)
{
	size_t count = 0;

	for (guint i = 0; i < findings->list->len; i++) {
		const finding_t *finding = g_ptr_array_index(findings->list, i);

		count += finding->kind == kind;
	}
	return count;
}

/* See findings.h; a line of 0 means that the text does not have the place. */
json_t *
findings_json(const findings_t *findings, str_t text)
{
	static const char *const names[FINDING_KINDS] = {
	    [FINDING_ERROR] = "errors",
	    [FINDING_WARNING] = "warnings",
	    [FINDING_CHANGE] = "changes",
	};
	json_t *out = json_object();

	for (int kind = 0; kind < FINDING_KINDS; kind++)
		json_object_set_new(out, names[kind], json_array());
	for (guint i = 0; i < findings->list->len; i++) {
		const finding_t *finding = g_ptr_array_index(findings->list, i);

		json_array_append_new(
		    json_object_get(out, names[finding->kind]),
		    json_pack("{s:s, s:i, s:s}", "path", finding->pointer,
			"line", json_place_line(text, finding->pointer), "text",
			finding->text));
	}
	return out;
}

static void
print_line(const finding_t *finding, str_t text, const char *name)
{
	static const char *const kinds[FINDING_KINDS] = {
	    [FINDING_ERROR] = "error",
	    [FINDING_WARNING] = "warning",
	    [FINDING_CHANGE] = "change",
	};
	int line = json_place_line(text, finding->pointer);

	if (line > 0)
		printf("%s:%d: ", name, line);
	else
		printf("%s: ", name);
	printf("%s: %s%s%s\n", kinds[finding->kind], finding->pointer,
	    finding->pointer[0] != '\0' ? ": " : "", finding->text);
}

void
findings_print(
    const findings_t *findings, str_t text, const char *name, bool as_json)
{
	json_t *out;

	if (as_json) {
		out = findings_json(findings, text);
		json_dumpf(out, stdout, JSON_INDENT(2));
		putchar('\n');
		json_decref(out);
		return;
	}
	for (guint i = 0; i < findings->list->len; i++)
		print_line(g_ptr_array_index(findings->list, i), text, name);
	printf("errors: %zu, warnings: %zu, changes: %zu\n",
	    findings_count(findings, FINDING_ERROR),
	    findings_count(findings, FINDING_WARNING),
	    findings_count(findings, FINDING_CHANGE));
}

int
findings_exit_code(const findings_t *findings)
{
	if (findings_count(findings, FINDING_ERROR) > 0)
		return FINDINGS_EXIT_ERRORS;
	if (findings_count(findings, FINDING_WARNING) > 0)
		return FINDINGS_EXIT_WARNINGS;
	return FINDINGS_EXIT_FINE;
}
