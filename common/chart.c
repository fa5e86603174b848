#include "common/chart.h"

#include <errno.h>
#include <string.h>

#define CHART_MAX_STATES 32
#define CHART_MAX_EVENTS 32
#define CHART_NONE (-1)

struct chart_t {
	char *name;
	GPtrArray *states;
	GPtrArray *events;
	bool is_final[CHART_MAX_STATES];
	int next[CHART_MAX_STATES][CHART_MAX_EVENTS];
};

static int
index_of(const GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), name) == 0)
			return (int)i;
	}
	return CHART_NONE;
}

static int
index_or_add(GPtrArray *names, const char *name)
{
	int index = index_of(names, name);

	if (index != CHART_NONE)
		return index;
	g_ptr_array_add(names, g_strdup(name));
	return (int)names->len - 1;
}

/* Reads "state NAME [final]". */
static int
parse_state(chart_t *chart, char **words, guint count, err_t *err)
{
	int state;

	if (chart->states->len == CHART_MAX_STATES)
		return err_set(err, -E2BIG, "chart", NULL,
		    "%s: more than %d states", chart->name, CHART_MAX_STATES);
	if (index_of(chart->states, words[1]) != CHART_NONE)
		return err_set(err, -EEXIST, "chart", NULL,
		    "%s: state %s is declared twice", chart->name, words[1]);
	state = index_or_add(chart->states, words[1]);
	chart->is_final[state] = count == 3 && strcmp(words[2], "final") == 0;
	return 0;
}

/* Adds one transition; a second one for the same pair is an error. */
static int
add_transition(chart_t *chart, int from, int event, int to, err_t *err)
{
	if (chart->is_final[from])
		return err_set(err, -EINVAL, "chart", NULL,
		    "%s: final state %s has a transition", chart->name,
		    chart_state_name(chart, from));
	if (chart->next[from][event] != CHART_NONE)
		return err_set(err, -EEXIST, "chart", NULL,
		    "%s: two transitions for %s on %s", chart->name,
		    chart_state_name(chart, from),
		    (char *)g_ptr_array_index(chart->events, (guint)event));
	chart->next[from][event] = to;
	return 0;
}

/* Reads "FROM EVENT -> TO". */
static int
parse_transition(chart_t *chart, char **words, err_t *err)
{
	int from = index_of(chart->states, words[0]);
	int to = index_of(chart->states, words[3]);
	int event;
	int rc;

	if (to == CHART_NONE ||
	    (from == CHART_NONE && strcmp(words[0], "*") != 0))
		return err_set(err, -ENOENT, "chart", NULL,
		    "%s: undeclared state in \"%s %s -> %s\"", chart->name,
		    words[0], words[1], words[3]);
	event = index_or_add(chart->events, words[1]);
	if (event == CHART_MAX_EVENTS)
		return err_set(err, -E2BIG, "chart", NULL,
		    "%s: more than %d events", chart->name, CHART_MAX_EVENTS);
	if (from != CHART_NONE)
		return add_transition(chart, from, event, to, err);
	for (from = 0; from < (int)chart->states->len; from++) {
		if (chart->is_final[from])
			continue;
		rc = add_transition(chart, from, event, to, err);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static int
parse_line(chart_t *chart, const char *line, err_t *err)
{
	char **raw = g_strsplit_set(line, " \t", -1);
	char *words[5];
	guint count = 0;
	int rc = 0;

	for (char **word = raw; *word != NULL && count < 5; word++) {
		if (**word != '\0')
			words[count++] = *word;
	}
	if (count == 0 || words[0][0] == '#')
		goto done;
	if (count >= 2 && count <= 3 && strcmp(words[0], "state") == 0)
		rc = parse_state(chart, words, count, err);
	else if (count == 4 && strcmp(words[2], "->") == 0)
		rc = parse_transition(chart, words, err);
	else
		rc = err_set(err, -EINVAL, "chart", NULL,
		    "%s: cannot read \"%s\"", chart->name, line);
done:
	g_strfreev(raw);
	return rc;
}

static void
mark_reachable(const chart_t *chart, int state, bool *seen)
{
	if (seen[state])
		return;
	seen[state] = true;
	for (guint event = 0; event < chart->events->len; event++) {
		if (chart->next[state][event] != CHART_NONE)
			mark_reachable(chart, chart->next[state][event], seen);
	}
}

/* Refuses states that cannot be reached or that cannot be left. */
static int
check_graph(const chart_t *chart, err_t *err)
{
	bool seen[CHART_MAX_STATES] = {false};

	if (chart->states->len == 0)
		return err_set(
		    err, -EINVAL, "chart", NULL, "%s: no states", chart->name);
	mark_reachable(chart, 0, seen);
	for (int state = 0; state < (int)chart->states->len; state++) {
		bool has_exit = chart->is_final[state];

		if (!seen[state])
			return err_set(err, -EINVAL, "chart", NULL,
			    "%s: state %s cannot be reached", chart->name,
			    chart_state_name(chart, state));
		for (guint event = 0; event < chart->events->len; event++)
			has_exit |= chart->next[state][event] != CHART_NONE;
		if (!has_exit)
			return err_set(err, -EINVAL, "chart", NULL,
			    "%s: state %s is not final and has no transition",
			    chart->name, chart_state_name(chart, state));
	}
	return 0;
}

/*
 * Reads and checks a chart.  Returns NULL and fills err for a syntax error, an
 * unreachable state or a state that is neither final nor has a transition.
 */
chart_t *
chart_parse(const char *name, str_t text, err_t *err)
{
	chart_t *chart = g_new0(chart_t, 1);
	char *copy = g_strndup(text.data, text.len);
	char **lines = g_strsplit(copy, "\n", -1);
	int rc = 0;

	chart->name = g_strdup(name);
	chart->states = g_ptr_array_new_with_free_func(g_free);
	chart->events = g_ptr_array_new_with_free_func(g_free);
	memset(chart->next, 0xff, sizeof(chart->next));
	for (char **line = lines; *line != NULL && rc == 0; line++)
		rc = parse_line(chart, *line, err);
	if (rc == 0)
		rc = check_graph(chart, err);
	g_strfreev(lines);
	g_free(copy);
	if (rc != 0) {
		chart_destroy(chart);
		return NULL;
	}
	return chart;
}

/* Ends a chart; NULL is allowed. */
void
chart_destroy(chart_t *chart)
{
	if (chart == NULL)
		return;
	g_ptr_array_unref(chart->states);
	g_ptr_array_unref(chart->events);
	g_free(chart->name);
	g_free(chart);
}

/* Returns the initial state. */
int
chart_initial(const chart_t *chart)
{
	return 0;
}

/* Returns the number of a state, -1 when there is none of that name. */
int
chart_state(const chart_t *chart, const char *name)
{
	return index_of(chart->states, name);
}

/* Returns the number of an event, -1 when there is none of that name. */
int
chart_event(const chart_t *chart, const char *name)
{
	return index_of(chart->events, name);
}

/* Returns the name of a state. */
const char *
chart_state_name(const chart_t *chart, int state)
{
	if (state < 0 || state >= (int)chart->states->len)
		return "invalid";
	return g_ptr_array_index(chart->states, (guint)state);
}

/* Tells whether a state is final. */
bool
chart_is_final(const chart_t *chart, int state)
{
	return chart->is_final[state];
}

/* Returns the state after an event, -ENOENT when the chart has none. */
int
chart_next(const chart_t *chart, int state, int event)
{
	if (event < 0 || chart->next[state][event] == CHART_NONE)
		return -ENOENT;
	return chart->next[state][event];
}

/*
 * Moves *state by the named event.  Returns -ENOENT and leaves *state when the
 * chart has no such transition.
 */
int
chart_step(const chart_t *chart, int *state, const char *event)
{
	int next = chart_next(chart, *state, chart_event(chart, event));

	if (next < 0)
		return next;
	*state = next;
	return 0;
}

/* Appends the chart as a Mermaid state diagram. */
void
chart_diagram(const chart_t *chart, GString *out)
{
	g_string_append(out, "stateDiagram-v2\n");
	g_string_append_printf(
	    out, "    [*] --> %s\n", chart_state_name(chart, 0));
	for (int state = 0; state < (int)chart->states->len; state++) {
		for (guint event = 0; event < chart->events->len; event++) {
			int next = chart->next[state][event];

			if (next == CHART_NONE)
				continue;
			g_string_append_printf(out, "    %s --> %s : %s\n",
			    chart_state_name(chart, state),
			    chart_state_name(chart, next),
			    (char *)g_ptr_array_index(chart->events, event));
		}
		if (chart->is_final[state])
			g_string_append_printf(out, "    %s --> [*]\n",
			    chart_state_name(chart, state));
	}
}
