#include "common/evlog.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"

#define MAX_KINDS 64
#define LINES_PER_S 200 /* of one kind */
#define WINDOW_MS 1000

typedef struct {
	const char *name;
	int64_t window_ms;
	int lines;
	int left_out;
} kind_t;

static struct {
	char instance[64];
	bool is_open;
	kind_t kinds[MAX_KINDS];
	size_t kind_count;
	counter_t *dropped;
} state;

/* Starts the log; nothing is written before. */
void
evlog_open(const char *instance)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	g_strlcpy(state.instance, instance, sizeof(state.instance));
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	state.dropped = counter_get("evlog_dropped_total",
	    "lines left out, for want of budget or room");
	state.is_open = true;
}

static kind_t *
kind_of(const char *name)
{
	for (size_t i = 0; i < state.kind_count; i++) {
		if (strcmp(state.kinds[i].name, name) == 0)
			return &state.kinds[i];
	}
	if (state.kind_count == MAX_KINDS)
		return &state.kinds[MAX_KINDS - 1];
	state.kinds[state.kind_count].name = name;
	return &state.kinds[state.kind_count++];
}

/* Takes one line of the kind's budget; false when it is used up. */
static bool
take_budget(kind_t *kind, int64_t now_ms, int *left_out)
{
	*left_out = 0;
	if (now_ms - kind->window_ms >= WINDOW_MS) {
		*left_out = kind->left_out;
		kind->window_ms = now_ms;
		kind->lines = 0;
		kind->left_out = 0;
	}
	if (kind->lines >= LINES_PER_S) {
		kind->left_out++;
		counter_add(state.dropped, 1);
		return false;
	}
	kind->lines++;
	return true;
}

/* A full pipe costs the line; a part that was written is not completed. */
static void
write_line(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	size_t len;

	if (text == NULL)
		return;
	len = strlen(text);
	text[len] = '\n';
	if (write(STDOUT_FILENO, text, len + 1) < 0)
		counter_add(state.dropped, 1);
	free(text);
}

void
evlog(const char *kind, const char *format, ...)
{
	json_error_t error;
	json_t *fields;
	json_t *line;
	va_list args;
	int left_out;

	if (!state.is_open ||
	    !take_budget(kind_of(kind), clock_mono_ms(), &left_out))
		return;
	va_start(args, format);
	fields = json_vpack_ex(&error, 0, format, args);
	va_end(args);
	line = json_pack("{s:I,s:s,s:s}", "t", (json_int_t)clock_real_ms(),
	    "instance", state.instance, "event", kind);
	if (fields != NULL)
		json_object_update(line, fields);
	else
		json_object_set_new(line, "error", json_string(error.text));
	if (left_out > 0)
		json_object_set_new(line, "left_out", json_integer(left_out));
	write_line(line);
	json_decref(fields);
	json_decref(line);
}
