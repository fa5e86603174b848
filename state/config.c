#include "state/config.h"

#include <errno.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "rpc/protocol.h"

/* Longer paths are cut, so that the expected value still fits in err_t. */
#define MAX_PATH_LEN 200
#define MIN_CLAIM_WINDOW_MS 60000     /* one minute */
#define MAX_CLAIM_WINDOW_MS 604800000 /* one week */
/*
 * Bounds the run time of config_check_guarantees, which every instance calls
 * when it applies a patch.
 */
#define MAX_WORKERS_PER_DOMAIN 4096
#define MAX_TENANTS 10000 /* also the limit of workspaces */

typedef enum {
	NODE_OBJECT,  /* known keys, each with its own rule */
	NODE_MAP,     /* any name as key, at most max entries */
	NODE_ARRAY,   /* at most max elements */
	NODE_INTEGER, /* min..max */
	NODE_NUMBER,  /* min..max */
	NODE_NAME,
	NODE_CHOICE, /* one of adjacency_values */
} node_kind_t;

/*
 * Schema of one document node.  "*" in the path matches any map key or array
 * index.
 */
typedef struct {
	const char *path;
	node_kind_t kind;
	double min;
	double max;
	bool required;
} rule_t;

static const char *const adjacency_values[] = {
    [ADJACENT_ANY] = "any",
    [ADJACENT_DOMAIN] = "domain",
    [ADJACENT_RACK] = "rack",
    [ADJACENT_WORKER] = "worker",
};

static const rule_t rules[] = {
    {"", NODE_OBJECT, 0, 0, true},
    {"/claim_window_ms", NODE_INTEGER, MIN_CLAIM_WINDOW_MS, MAX_CLAIM_WINDOW_MS,
	true},
    {"/hardware", NODE_MAP, 0, 64, true},
    {"/hardware/*", NODE_OBJECT, 0, 0, false},
    {"/hardware/*/racks", NODE_INTEGER, 1, 1024, true},
    {"/hardware/*/workers_per_rack", NODE_INTEGER, 1, 1024, true},
    {"/hardware/*/accelerators_per_worker", NODE_INTEGER, 0, 32, true},
    {"/tenants", NODE_MAP, 0, MAX_TENANTS, true},
    {"/tenants/*", NODE_OBJECT, 0, 0, false},
    {"/tenants/*/weight", NODE_INTEGER, 1, 1000, false},
    {"/tenants/*/rate_per_s", NODE_NUMBER, 0.001, 1e6, false},
    {"/tenants/*/burst", NODE_INTEGER, 1, 1e6, false},
    {"/tenants/*/queue", NODE_INTEGER, 1, 1e6, false},
    {"/tenants/*/quota_accelerators", NODE_INTEGER, 0, 1e6, false},
    {"/workspaces", NODE_MAP, 0, MAX_TENANTS, true},
    {"/workspaces/*", NODE_OBJECT, 0, 0, false},
    {"/workspaces/*/tenant", NODE_NAME, 0, 0, true},
    {"/workspaces/*/guarantees", NODE_ARRAY, 0, 64, false},
    {"/workspaces/*/guarantees/*", NODE_OBJECT, 0, 0, false},
    {"/workspaces/*/guarantees/*/domain", NODE_NAME, 0, 0, true},
    {"/workspaces/*/guarantees/*/count", NODE_INTEGER, 1, 4096, true},
    {"/workspaces/*/guarantees/*/members", NODE_INTEGER, 1, MAX_MEMBERS, true},
    {"/workspaces/*/guarantees/*/accelerators", NODE_INTEGER, 1, 32, true},
    {"/workspaces/*/guarantees/*/adjacency", NODE_CHOICE, 0, 0, true},
    {"/objectives", NODE_MAP, 0, 64, true},
    {"/objectives/*", NODE_OBJECT, 0, 0, false},
    {"/objectives/*/target", NODE_NUMBER, 0.5, 0.999999, true},
    {"/objectives/*/threshold_ms", NODE_INTEGER, 1, 86400000, false},
};

static const char default_text[] =
    "{\"claim_window_ms\": 86400000,"
    " \"hardware\": {"
    "  \"d1\": {\"racks\": 2, \"workers_per_rack\": 6,"
    "   \"accelerators_per_worker\": 8},"
    "  \"d2\": {\"racks\": 2, \"workers_per_rack\": 6,"
    "   \"accelerators_per_worker\": 8},"
    "  \"d3\": {\"racks\": 2, \"workers_per_rack\": 6,"
    "   \"accelerators_per_worker\": 8},"
    "  \"d4\": {\"racks\": 2, \"workers_per_rack\": 6,"
    "   \"accelerators_per_worker\": 8}},"
    " \"tenants\": {}, \"workspaces\": {},"
    " \"objectives\": {"
    "  \"service_at_peak\": {\"target\": 0.99, \"threshold_ms\": 500},"
    "  \"head_of_line\": {\"target\": 0.99, \"threshold_ms\": 500},"
    "  \"guarantees\": {\"target\": 0.999, \"threshold_ms\": 7900},"
    "  \"config_in_force\": {\"target\": 0.999, \"threshold_ms\": 5000}}}";

/* Returns the initial configuration: four failure domains, no tenants. */
json_t *
config_default(void)
{
	return json_loads(default_text, 0, NULL);
}

/* Sets err to "PATH: expected WHAT" and returns -EINVAL. */
static int
report_expected(err_t *err, const char *path, const char *what)
{
	return err_set(err, -EINVAL, "config", NULL, "%.*s: expected %s",
	    MAX_PATH_LEN, path, what);
}

/* Tells whether s matches [A-Za-z0-9._:-]{1,128}. */
static bool
is_name(const char *s)
{
	size_t len = strlen(s);

	return len >= 1 && len <= NAME_MAX_LEN &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyz"
			 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-") == len;
}

/* Appends an escaped reference token to a JSON pointer (RFC 6901). */
static void
append_pointer_token(GString *path, const char *token)
{
	g_string_append_c(path, '/');
	for (; *token != '\0'; token++) {
		if (*token == '~')
			g_string_append(path, "~0");
		else if (*token == '/')
			g_string_append(path, "~1");
		else
			g_string_append_c(path, *token);
	}
}

static const rule_t *
find_rule(const char *pattern)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		if (strcmp(rules[i].path, pattern) == 0)
			return &rules[i];
	}
	return NULL;
}

/*
 * Returns the last key of the rule's path if the rule describes a direct child
 * of the pattern, NULL otherwise.
 */
static const char *
child_key(const rule_t *rule, const GString *pattern)
{
	const char *key;

	if (strncmp(rule->path, pattern->str, pattern->len) != 0 ||
	    rule->path[pattern->len] != '/')
		return NULL;
	key = rule->path + pattern->len + 1;
	return strchr(key, '/') == NULL ? key : NULL;
}

/* State of a document walk: path of the current node and its rule pattern. */
typedef struct {
	GString *path;
	GString *pattern;
	err_t *err;
} walk_t;

static int check_node(walk_t *walk, const json_t *node);

/* Checks a child node; key_pattern is its token or "*". */
static int
check_child(walk_t *walk, const char *token, const char *key_pattern,
    const json_t *child)
{
	gsize path_len = walk->path->len;
	gsize pattern_len = walk->pattern->len;
	int rc;

	append_pointer_token(walk->path, token);
	g_string_append_c(walk->pattern, '/');
	g_string_append(walk->pattern, key_pattern);
	rc = check_node(walk, child);
	g_string_truncate(walk->path, path_len);
	g_string_truncate(walk->pattern, pattern_len);
	return rc;
}

/* Reports an unknown key and lists the keys that its object accepts. */
static int
report_unknown_key(walk_t *walk, const char *key)
{
	GString *known = g_string_new("one of");
	int rc;

	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		const char *name = child_key(&rules[i], walk->pattern);

		if (name != NULL)
			g_string_append_printf(known, " %s", name);
	}
	append_pointer_token(walk->path, key);
	rc = report_expected(walk->err, walk->path->str, known->str);
	g_string_free(known, TRUE);
	return rc;
}

static int
check_object(walk_t *walk, const json_t *node)
{
	const char *key;
	json_t *child;
	int rc;

	if (!json_is_object(node))
		return report_expected(walk->err, walk->path->str, "an object");
	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		key = child_key(&rules[i], walk->pattern);
		if (key == NULL || !rules[i].required ||
		    json_object_get(node, key) != NULL)
			continue;
		append_pointer_token(walk->path, key);
		return report_expected(walk->err, walk->path->str, "a value");
	}
	json_object_foreach ((json_t *)node, key, child) {
		gsize len = walk->pattern->len;
		bool known;

		g_string_append_printf(walk->pattern, "/%s", key);
		known = strpbrk(key, "/*") == NULL &&
			find_rule(walk->pattern->str) != NULL;
		g_string_truncate(walk->pattern, len);
		if (!known)
			return report_unknown_key(walk, key);
		rc = check_child(walk, key, key, child);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static int
check_map(walk_t *walk, const json_t *node, const rule_t *rule)
{
	char what[64];
	const char *key;
	json_t *child;
	int rc;

	if (!json_is_object(node))
		return report_expected(walk->err, walk->path->str, "an object");
	if ((double)json_object_size(node) > rule->max) {
		g_snprintf(
		    what, sizeof(what), "at most %.0f entries", rule->max);
		return report_expected(walk->err, walk->path->str, what);
	}
	json_object_foreach ((json_t *)node, key, child) {
		if (!is_name(key)) {
			append_pointer_token(walk->path, key);
			return report_expected(walk->err, walk->path->str,
			    "a name of 1..128 of [A-Za-z0-9._:-]");
		}
		rc = check_child(walk, key, "*", child);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static int
check_array(walk_t *walk, const json_t *node, const rule_t *rule)
{
	char text[64];
	size_t index;
	json_t *child;
	int rc;

	if (!json_is_array(node) || (double)json_array_size(node) > rule->max) {
		g_snprintf(text, sizeof(text),
		    "an array of at most %.0f entries", rule->max);
		return report_expected(walk->err, walk->path->str, text);
	}
	json_array_foreach ((json_t *)node, index, child) {
		g_snprintf(text, sizeof(text), "%zu", index);
		rc = check_child(walk, text, "*", child);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static int
check_number(walk_t *walk, const json_t *node, const rule_t *rule)
{
	bool is_integer = rule->kind == NODE_INTEGER;
	double value = json_number_value(node);
	char what[64];

	if ((is_integer ? json_is_integer(node) : json_is_number(node)) &&
	    value >= rule->min && value <= rule->max)
		return 0;
	g_snprintf(what, sizeof(what), "%s %.15g..%.15g",
	    is_integer ? "an integer" : "a number", rule->min, rule->max);
	return report_expected(walk->err, walk->path->str, what);
}

static int
check_choice(walk_t *walk, const json_t *node)
{
	for (size_t i = 0; i < G_N_ELEMENTS(adjacency_values); i++) {
		if (g_strcmp0(json_string_value(node), adjacency_values[i]) ==
		    0)
			return 0;
	}
	return report_expected(
	    walk->err, walk->path->str, "any, domain, rack or worker");
}

/* Checks a node and its descendants against the rules. */
static int
check_node(walk_t *walk, const json_t *node)
{
	const rule_t *rule = find_rule(walk->pattern->str);

	if (rule == NULL)
		return report_expected(
		    walk->err, walk->path->str, "no such key");
	switch (rule->kind) {
	case NODE_OBJECT:
		return check_object(walk, node);
	case NODE_MAP:
		return check_map(walk, node, rule);
	case NODE_ARRAY:
		return check_array(walk, node, rule);
	case NODE_INTEGER:
	case NODE_NUMBER:
		return check_number(walk, node, rule);
	case NODE_CHOICE:
		return check_choice(walk, node);
	case NODE_NAME:
		if (json_is_string(node) && is_name(json_string_value(node)))
			return 0;
		return report_expected(walk->err, walk->path->str,
		    "a name of 1..128 of [A-Za-z0-9._:-]");
	}
	return -EINVAL;
}

/* Checks that every referenced tenant and failure domain is declared. */
static int
check_references(const json_t *config, err_t *err)
{
	const json_t *tenants = json_object_get(config, "tenants");
	const json_t *hardware = json_object_get(config, "hardware");
	json_t *workspace;
	json_t *guarantee;
	const char *name;
	char path[MAX_PATH_LEN];
	size_t index;

	json_object_foreach (
	    json_object_get(config, "workspaces"), name, workspace) {
		const char *tenant =
		    json_string_value(json_object_get(workspace, "tenant"));

		if (json_object_get(tenants, tenant) == NULL) {
			g_snprintf(
			    path, sizeof(path), "/workspaces/%s/tenant", name);
			return report_expected(
			    err, path, "the name of a tenant");
		}
		json_array_foreach (json_object_get(workspace, "guarantees"),
		    index, guarantee) {
			const char *domain = json_string_value(
			    json_object_get(guarantee, "domain"));

			if (json_object_get(hardware, domain) != NULL)
				continue;
			g_snprintf(path, sizeof(path),
			    "/workspaces/%s/guarantees/%zu/domain", name,
			    index);
			return report_expected(
			    err, path, "a failure domain named in /hardware");
		}
	}
	return 0;
}

/* Limits racks * workers_per_rack, a product that the rules cannot express. */
static int
check_sizes(const json_t *config, err_t *err)
{
	char path[MAX_PATH_LEN];
	char what[64];
	const char *name;
	json_t *domain;

	json_object_foreach (
	    json_object_get(config, "hardware"), name, domain) {
		json_int_t racks =
		    json_integer_value(json_object_get(domain, "racks"));
		json_int_t workers = json_integer_value(
		    json_object_get(domain, "workers_per_rack"));

		if (racks * workers <= MAX_WORKERS_PER_DOMAIN)
			continue;
		g_snprintf(path, sizeof(path), "/hardware/%s/racks", name);
		g_snprintf(what, sizeof(what), "at most %d workers in a domain",
		    MAX_WORKERS_PER_DOMAIN);
		return report_expected(err, path, what);
	}
	return 0;
}

/*
 * Validates types, ranges, keys and references of a document.  Returns -EINVAL
 * with "PATH: expected WHAT" in err for the first error.
 */
int
config_check(const json_t *config, err_t *err)
{
	walk_t walk = {
	    .path = g_string_new(""),
	    .pattern = g_string_new(""),
	    .err = err,
	};
	int rc = check_node(&walk, config);

	g_string_free(walk.path, TRUE);
	g_string_free(walk.pattern, TRUE);
	if (rc != 0)
		return rc;
	rc = check_sizes(config, err);
	return rc != 0 ? rc : check_references(config, err);
}

/* Returns a new value: target after the merge patch (RFC 7396). */
json_t *
config_merge(const json_t *target, const json_t *patch)
{
	const char *key;
	json_t *value;
	json_t *out;

	if (!json_is_object(patch))
		return json_deep_copy(patch);
	/* A shallow copy suffices: documents are not modified once built. */
	out = json_is_object(target) ? json_copy((json_t *)target)
				     : json_object();
	json_object_foreach ((json_t *)patch, key, value) {
		if (json_is_null(value))
			json_object_del(out, key);
		else
			json_object_set_new(out, key,
			    config_merge(json_object_get(out, key), value));
	}
	return out;
}

/*
 * Returns a new document: config after the merge patch.  Returns NULL with
 * "PATH: expected WHAT" in err if the patch or the resulting document is
 * invalid.  Does not check that guarantees fit, see config_check_guarantees.
 */
json_t *
config_patch(const json_t *config, const json_t *patch, err_t *err)
{
	json_t *out;

	if (!json_is_object(patch)) {
		report_expected(err, "", "a JSON object as merge patch");
		return NULL;
	}
	out = config_merge(config, patch);
	if (config_check(out, err) != 0) {
		json_decref(out);
		return NULL;
	}
	return out;
}
