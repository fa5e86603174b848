#include "state/config_check.h"

#include <glib.h>
#include <string.h>

#include "common/err.h"
#include "state/config.h"

/* An invalid document may have thousands of errors; the rest is left out. */
#define MAX_ERRORS 20

/* ---- errors ---- */

/* Returns the path of an error text "PATH: expected WHAT". */
static char *
path_of(const err_t *err)
{
	const char *end = strstr(err->text, ": expected ");

	return g_strndup(err->text, end != NULL ? (gsize)(end - err->text) : 0);
}

static void
add_error(const err_t *err, const char *path, findings_t *findings)
{
	const char *text = err->text;

	if (g_str_has_prefix(text, path) &&
	    g_str_has_prefix(text + strlen(path), ": "))
		text += strlen(path) + 2;
	findings_add(findings, FINDING_ERROR, path, "%s", text);
}

static char *
unescape_token(const char *token)
{
	GString *out = g_string_new(token);

	g_string_replace(out, "~1", "/", 0);
	g_string_replace(out, "~0", "~", 0);
	return g_string_free(out, FALSE);
}

static json_t *
child_of(json_t *node, const char *token)
{
	if (json_is_array(node))
		return json_array_get(
		    node, (size_t)g_ascii_strtoull(token, NULL, 10));
	return json_object_get(node, token);
}

static bool
remove_child(json_t *node, const char *token)
{
	/* An element is kept in place, as later ones are named by number. */
	if (json_is_array(node))
		return false;
	return json_object_del(node, token) == 0;
}

/* Removes the value that a JSON pointer names, to find the next error. */
static bool
remove_value(json_t *root, const char *pointer)
{
	char **tokens = g_strsplit(pointer, "/", -1);
	guint count = g_strv_length(tokens);
	json_t *node = root;
	bool removed = false;

	for (guint i = 1; i < count && node != NULL; i++) {
		char *token = unescape_token(tokens[i]);

		if (i + 1 == count)
			removed = remove_child(node, token);
		else
			node = child_of(node, token);
		g_free(token);
	}
	g_strfreev(tokens);
	return removed;
}

/*
 * Takes the value that an error names out of the document.  Where it is
 * required, so that its absence is the next error, the values around it follow,
 * and those of the whole document get their initial values.
 */
static bool
repair(json_t *config, const char *path)
{
	json_t *initial = config_default();
	char *at = g_strdup(path);
	bool removed = remove_value(config, at);

	while (!removed && at[0] != '\0') {
		*strrchr(at, '/') = '\0';
		removed = remove_value(config, at);
	}
	json_object_update_missing(config, initial);
	json_decref(initial);
	g_free(at);
	return removed;
}

/*
 * Adds the errors of the document. The check stops at the first one, so its
 * cause is taken out of a copy, which is checked again.
 */
static void
find_errors(const json_t *config, findings_t *findings)
{
	json_t *copy = json_deep_copy(config);
	bool goes_on = true;
	char *last = g_strdup("");
	err_t err = {0};

	for (int i = 0; goes_on && i < MAX_ERRORS; i++) {
		char *path;

		if (config_check(copy, &err) == 0)
			break;
		path = path_of(&err);
		/* The value of the last error is required. */
		if (i == 0 || strcmp(path, last) != 0)
			add_error(&err, path, findings);
		goes_on = repair(copy, path);
		g_free(last);
		last = path;
	}
	g_free(last);
	json_decref(copy);
}

/* ---- warnings ---- */

static json_int_t
int_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static json_int_t
guaranteed_accelerators(const json_t *workspace)
{
	json_int_t sum = 0;
	json_t *guarantee;
	size_t i;

	json_array_foreach (
	    json_object_get(workspace, "guarantees"), i, guarantee)
		sum += int_of(guarantee, "count") *
		       int_of(guarantee, "members") *
		       int_of(guarantee, "accelerators");
	return sum;
}

/* Warns of a quota below what the tenant's workspaces are guaranteed. */
static void
check_quota(const json_t *config, const char *tenant, const json_t *quota,
    findings_t *findings)
{
	json_int_t guaranteed = 0;
	const char *name;
	json_t *workspace;
	char *path;

	if (quota == NULL)
		return;
	json_object_foreach (
	    json_object_get(config, "workspaces"), name, workspace) {
		if (g_strcmp0(
			json_string_value(json_object_get(workspace, "tenant")),
			tenant) == 0)
			guaranteed += guaranteed_accelerators(workspace);
	}
	path = g_strconcat("/tenants/", tenant, "/quota_accelerators", NULL);
	if (guaranteed > json_integer_value(quota))
		findings_add(findings, FINDING_WARNING, path,
		    "the quota of %lld is below the %lld accelerators that "
		    "its workspaces are guaranteed",
		    (long long)json_integer_value(quota),
		    (long long)guaranteed);
	else if (json_integer_value(quota) == 0)
		findings_add(findings, FINDING_WARNING, path,
		    "no job with accelerators of this tenant can start");
	g_free(path);
}

static void
check_tenants(const json_t *config, findings_t *findings)
{
	const char *name;
	json_t *tenant;

	json_object_foreach (json_object_get(config, "tenants"), name, tenant)
		check_quota(config, name,
		    json_object_get(tenant, "quota_accelerators"), findings);
}

static void
check_workspaces(const json_t *config, findings_t *findings)
{
	const char *name;
	json_t *workspace;

	json_object_foreach (
	    json_object_get(config, "workspaces"), name, workspace) {
		char *path = g_strconcat("/workspaces/", name, NULL);

		if (json_array_size(json_object_get(workspace, "guarantees")) ==
		    0)
			findings_add(findings, FINDING_WARNING, path,
			    "no guarantee: nothing is kept for its jobs");
		g_free(path);
	}
}

static void
check_hardware(const json_t *config, findings_t *findings)
{
	const char *name;
	json_t *domain;

	json_object_foreach (
	    json_object_get(config, "hardware"), name, domain) {
		char *path = g_strconcat("/hardware/", name, NULL);

		if (int_of(domain, "accelerators_per_worker") == 0)
			findings_add(findings, FINDING_WARNING, path,
			    "no accelerators: no guarantee can name it");
		g_free(path);
	}
}

/* Events are counted for the objectives of the initial configuration only. */
static void
check_objectives(const json_t *config, findings_t *findings)
{
	json_t *initial = config_default();
	const json_t *known = json_object_get(initial, "objectives");
	const char *name;
	json_t *objective;

	json_object_foreach (
	    json_object_get(config, "objectives"), name, objective) {
		char *path = g_strconcat("/objectives/", name, NULL);

		if (json_object_get(known, name) == NULL)
			findings_add(findings, FINDING_WARNING, path,
			    "no event is counted for this objective");
		else if (json_object_get(objective, "threshold_ms") == NULL)
			findings_add(findings, FINDING_WARNING, path,
			    "without threshold_ms no event counts as slow");
		g_free(path);
	}
	json_decref(initial);
}

void
config_review(const json_t *config, findings_t *findings)
{
	err_t err = {0};
	char *path;

	find_errors(config, findings);
	if (findings_count(findings, FINDING_ERROR) > 0)
		return;
	if (config_check_guarantees(config, &err) != 0) {
		path = path_of(&err);
		add_error(&err, path, findings);
		g_free(path);
	}
	check_tenants(config, findings);
	check_workspaces(config, findings);
	check_hardware(config, findings);
	check_objectives(config, findings);
}

/* ---- differences ---- */

/*
 * What a change in each section does, in the order in which changes are listed.
 */
static const struct {
	const char *section;
	const char *added;
	const char *removed;
	const char *changed;
} effects[] = {
    {"workspaces", "its guarantees are kept free; jobs there may be reclaimed",
	"its running jobs lose the guarantee and may be reclaimed",
	"running jobs that only the old guarantees cover may be reclaimed"},
    {"hardware", "guarantees may name it", "no guarantee may name it",
	"guarantees must fit the new size"},
    {"tenants", "its limits replace the defaults",
	"the default limits apply to its requests",
	"applies to requests and starts from now on; what runs goes on"},
    {"objectives", "burn rates are reported for it",
	"no burn rate is reported for it",
	"burn rates are computed with the new value"},
};

static char *
value_text(const json_t *value)
{
	return json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

/* Adds a change for each leaf that differs below two present values. */
static void
compare_values(const char *path, const json_t *before, const json_t *after,
    const char *effect, findings_t *findings)
{
	char *old_text;
	char *new_text;
	const char *key;
	json_t *value;

	if (json_equal((json_t *)before, (json_t *)after))
		return;
	if (json_is_object(before) && json_is_object(after)) {
		json_object_foreach ((json_t *)before, key, value) {
			char *child = g_strconcat(path, "/", key, NULL);

			compare_values(child, value,
			    json_object_get(after, key), effect, findings);
			g_free(child);
		}
		json_object_foreach ((json_t *)after, key, value) {
			char *child = g_strconcat(path, "/", key, NULL);

			if (json_object_get(before, key) == NULL)
				compare_values(
				    child, NULL, value, effect, findings);
			g_free(child);
		}
		return;
	}
	old_text = before != NULL ? value_text(before) : g_strdup("absent");
	new_text = after != NULL ? value_text(after) : g_strdup("absent");
	findings_add(findings, FINDING_CHANGE, path, "%s becomes %s: %s",
	    old_text, new_text, effect);
	g_free(old_text);
	g_free(new_text);
}

/* Compares the entries of one section: removed, changed, then added ones. */
static void
compare_section(
    size_t n, const json_t *before, const json_t *after, findings_t *findings)
{
	const char *name;
	json_t *entry;

	json_object_foreach ((json_t *)before, name, entry) {
		char *path =
		    g_strdup_printf("/%s/%s", effects[n].section, name);

		if (json_object_get(after, name) == NULL)
			findings_add(findings, FINDING_CHANGE, path,
			    "removed: %s", effects[n].removed);
		g_free(path);
	}
	json_object_foreach ((json_t *)before, name, entry) {
		const json_t *other = json_object_get(after, name);
		char *path =
		    g_strdup_printf("/%s/%s", effects[n].section, name);

		if (other != NULL)
			compare_values(
			    path, entry, other, effects[n].changed, findings);
		g_free(path);
	}
	json_object_foreach ((json_t *)after, name, entry) {
		char *path =
		    g_strdup_printf("/%s/%s", effects[n].section, name);

		if (json_object_get(before, name) == NULL)
			findings_add(findings, FINDING_CHANGE, path,
			    "added: %s", effects[n].added);
		g_free(path);
	}
}

void
config_compare(const json_t *current, const json_t *next, findings_t *findings)
{
	for (size_t n = 0; n < G_N_ELEMENTS(effects); n++)
		compare_section(n, json_object_get(current, effects[n].section),
		    json_object_get(next, effects[n].section), findings);
	compare_values("/claim_window_ms",
	    json_object_get(current, "claim_window_ms"),
	    json_object_get(next, "claim_window_ms"),
	    "idempotency keys are remembered for that long", findings);
}

/* Returns the patch in the text, or NULL with an error added. */
static json_t *
read_patch(str_t text, findings_t *findings)
{
	json_error_t where;
	json_t *patch;

	if (text.len > CONFIG_MAX_PATCH_BYTES) {
		findings_add(findings, FINDING_ERROR, "",
		    "expected a patch of at most %d bytes",
		    CONFIG_MAX_PATCH_BYTES);
		return NULL;
	}
	patch = json_loadb(text.data, text.len,
	    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &where);
	if (patch == NULL)
		findings_add(findings, FINDING_ERROR, "",
		    "line %d, column %d: %s", where.line, where.column,
		    where.text);
	else if (!json_is_object(patch))
		findings_add(findings, FINDING_ERROR, "",
		    "expected a JSON object as merge patch");
	return patch;
}

void
config_check_text(str_t text, const json_t *base, findings_t *findings)
{
	json_t *patch = read_patch(text, findings);
	json_t *config;

	if (json_is_object(patch)) {
		config = config_merge(base, patch);
		config_review(config, findings);
		if (findings_count(findings, FINDING_ERROR) == 0)
			config_compare(base, config, findings);
		json_decref(config);
	}
	json_decref(patch);
}
