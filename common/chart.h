#pragma once

#include <glib.h>

#include "common/err.h"
#include "common/str.h"

/*
 * A state chart read from text.  Lines are "state NAME [final]" and
 * "FROM EVENT -> TO"; the first state is the initial one; "*" as FROM stands
 * for every state that is not final.
 */
typedef struct chart_t chart_t;

chart_t *chart_parse(const char *name, str_t text, err_t *err);
void chart_destroy(chart_t *chart);
int chart_initial(const chart_t *chart);
int chart_state(const chart_t *chart, const char *name);
int chart_event(const chart_t *chart, const char *name);
const char *chart_state_name(const chart_t *chart, int state);
bool chart_is_final(const chart_t *chart, int state);
int chart_next(const chart_t *chart, int state, int event);
int chart_step(const chart_t *chart, int *state, const char *event);
void chart_diagram(const chart_t *chart, GString *out);
const chart_t *chart_builtin(const char *name);
const char *chart_builtin_name(size_t index);
int chart_check_builtin(err_t *err);
