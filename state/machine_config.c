#include <errno.h>
#include <string.h>

#include "state/config.h"
#include "state/machine_private.h"

/* Limits the changes in a conflict response, to fit into a result body. */
#define MAX_CHANGES_BYTES 1048576

static void
outcome_free(void *data)
{
	patch_outcome_t *outcome = data;

	g_free(outcome->id);
	g_free(outcome->text);
	g_free(outcome);
}

static void
version_free(void *data)
{
	machine_version_t *version = data;

	g_free(version->patch_id);
	g_free(version->author);
	g_free(version->patch);
	g_free(version);
}

/* Creates the empty tables and activates the default document as version 1. */
void
machine_config_create(machine_t *machine)
{
	machine->outcomes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, outcome_free);
	machine->outcome_order = g_queue_new();
	machine->versions = g_ptr_array_new_with_free_func(version_free);
	machine_config_activate(machine, config_default(), 1);
}

/* Frees the configuration, its history and the patch outcomes. */
void
machine_config_destroy(machine_t *machine)
{
	json_decref(machine->config);
	g_queue_free(machine->outcome_order);
	g_hash_table_unref(machine->outcomes);
	g_ptr_array_unref(machine->versions);
}

/* Puts a valid document into force; steals the reference. */
void
machine_config_activate(machine_t *machine, json_t *config, uint64_t version)
{
	json_decref(machine->config);
	machine->config = config;
	machine->config_version = version;
	machine->claim_window_ms =
	    json_integer_value(json_object_get(config, "claim_window_ms"));
}

/* Records an outcome; drops the oldest one above MACHINE_MAX_PATCH_OUTCOMES. */
void
machine_outcome_add(machine_t *machine, patch_outcome_t *outcome)
{
	g_hash_table_insert(machine->outcomes, outcome->id, outcome);
	g_queue_push_tail(machine->outcome_order, outcome);
	if (machine->outcome_order->length > MACHINE_MAX_PATCH_OUTCOMES) {
		patch_outcome_t *oldest =
		    g_queue_pop_head(machine->outcome_order);

		g_hash_table_remove(machine->outcomes, oldest->id);
	}
}

/* Records a version; drops the oldest one above MACHINE_MAX_VERSIONS. */
void
machine_version_add(machine_t *machine, machine_version_t *version)
{
	g_ptr_array_add(machine->versions, version);
	if (machine->versions->len > MACHINE_MAX_VERSIONS)
		g_ptr_array_remove_index(machine->versions, 0);
}

/* Iterates over the recorded versions >= from, oldest first. */
void
machine_each_version(const machine_t *machine, uint64_t from,
    bool (*visit)(void *ctx, const machine_version_t *version), void *ctx)
{
	const machine_version_t *first;
	uint64_t at = 0;

	if (machine->versions->len == 0)
		return;
	first = g_ptr_array_index(machine->versions, 0);
	if (from > first->number)
		at = from - first->number;
	for (; at < machine->versions->len; at++) {
		if (!visit(ctx, g_ptr_array_index(machine->versions, at)))
			return;
	}
}

/* Changes for a conflict response, up to and including version last. */
typedef struct {
	uint64_t last;
	size_t bytes;
	bool is_truncated;
	json_t *changes;
} changes_t;

static bool
add_change(void *ctx, const machine_version_t *version)
{
	changes_t *changes = ctx;

	if (version->number > changes->last)
		return false;
	changes->bytes += strlen(version->patch);
	if (changes->bytes > MAX_CHANGES_BYTES) {
		changes->is_truncated = true;
		return false;
	}
	json_array_append_new(changes->changes,
	    json_pack("{s:I, s:s, s:o}", "version", (json_int_t)version->number,
		"author", version->author, "patch",
		json_loads(version->patch, JSON_DECODE_ANY, NULL)));
	return true;
}

/* Builds the conflict response described in docs/INTERFACES.md. */
static json_t *
conflict_json(const machine_t *machine, const patch_outcome_t *outcome)
{
	changes_t changes = {
	    .last = outcome->version,
	    .changes = json_array(),
	};
	json_t *body;

	if (outcome->base < outcome->version)
		machine_each_version(
		    machine, outcome->base + 1, add_change, &changes);
	body = json_pack("{s:s, s:s, s:I, s:o}", "outcome", "refused", "error",
	    "conflict", "version", (json_int_t)outcome->version, "changes",
	    changes.changes);
	if (changes.is_truncated)
		json_object_set_new(body, "changes_truncated", json_true());
	return body;
}

/* Builds the response for an invalid patch from "PATH: expected WHAT". */
static json_t *
invalid_json(const patch_outcome_t *outcome)
{
	const char *split = strstr(outcome->text, ": expected ");
	size_t path_len = split != NULL ? (size_t)(split - outcome->text) : 0;

	return json_pack("{s:s, s:s, s:s%, s:s}", "outcome", "refused", "error",
	    "invalid", "path", outcome->text, path_len, "text",
	    split != NULL ? split + 2 : outcome->text);
}

/* Sets result from a recorded outcome, see patch_outcome_t. */
static void
put_outcome(const machine_t *machine, const patch_outcome_t *outcome,
    command_result_t *result)
{
	json_t *body;

	result->config_version = outcome->version;
	if (outcome->code == 0) {
		body = json_pack("{s:s, s:I}", "outcome", "accepted", "version",
		    (json_int_t)outcome->version);
	} else if (outcome->code == -ESTALE) {
		machine_fail(result, outcome->code,
		    "version %" G_GUINT64_FORMAT
		    " is in force, not %" G_GUINT64_FORMAT,
		    outcome->version, outcome->base);
		body = conflict_json(machine, outcome);
	} else {
		machine_fail(result, outcome->code, "%s", outcome->text);
		body = invalid_json(outcome);
	}
	machine_put_json(result, body);
}

/*
 * Parses the patch and returns the resulting document, NULL with err set if the
 * patch is invalid or a guarantee does not fit.  The caller frees *patch.
 */
static json_t *
build_patched_config(
    const machine_t *machine, const body_t *text, json_t **patch, err_t *err)
{
	json_t *config;
	json_error_t where;

	if (text->body_t_len > CONFIG_MAX_PATCH_BYTES) {
		err_set(err, -EINVAL, "patch", NULL,
		    ": expected a patch of at most %d bytes",
		    CONFIG_MAX_PATCH_BYTES);
		return NULL;
	}
	*patch = json_loadb(text->body_t_val, text->body_t_len,
	    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &where);
	if (*patch == NULL) {
		err_set(err, -EINVAL, "patch", NULL,
		    ": expected JSON: %s, line %d", where.text, where.line);
		return NULL;
	}
	config = config_patch(machine->config, *patch, err);
	if (config == NULL)
		return NULL;
	if (json_equal(json_object_get(config, "hardware"),
		json_object_get(machine->config, "hardware")) &&
	    json_equal(json_object_get(config, "workspaces"),
		json_object_get(machine->config, "workspaces")))
		return config; /* the guarantees still fit */
	if (config_check_guarantees(config, err) != 0) {
		json_decref(config);
		return NULL;
	}
	return config;
}

/* Records an accepted patch as a new version and puts it into force. */
static void
accept_patch(machine_t *machine, const patch_command_t *command, json_t *config,
    const json_t *patch)
{
	machine_version_t *version = g_new0(machine_version_t, 1);

	version->number = machine->config_version + 1;
	version->patch_id = g_strdup(command->id);
	version->author = g_strdup(command->author);
	version->time_ms = command->time_ms;
	version->patch = json_dumps(patch, JSON_COMPACT);
	machine_version_add(machine, version);
	machine_config_activate(machine, config, version->number);
}

/*
 * Applies a configuration patch.  A known patch id gets its recorded outcome
 * and is not applied again, even if its content differs.  Codes: 0, -ESTALE
 * (another version is in force), -EINVAL (the patch or the resulting document
 * is invalid), -ENOSPC (a guarantee does not fit).  A patch without an id gets
 * -EINVAL without data, and no outcome is recorded.
 */
void
machine_apply_patch(machine_t *machine, const patch_command_t *command,
    command_result_t *result)
{
	patch_outcome_t *outcome =
	    g_hash_table_lookup(machine->outcomes, command->id);
	json_t *patch = NULL;
	json_t *config;
	err_t err = {0};

	if (outcome != NULL) {
		put_outcome(machine, outcome, result);
		return;
	}
	if (command->id[0] == '\0') {
		machine_fail(result, -EINVAL, "/id: expected a patch id");
		return;
	}
	outcome = g_new0(patch_outcome_t, 1);
	outcome->id = g_strdup(command->id);
	outcome->base = command->base;
	outcome->version = machine->config_version;
	outcome->text = g_strdup("");
	if (command->base != machine->config_version) {
		outcome->code = -ESTALE;
	} else {
		config = build_patched_config(
		    machine, &command->patch, &patch, &err);
		if (config != NULL) {
			accept_patch(machine, command, config, patch);
			outcome->version = machine->config_version;
		} else {
			outcome->code = err.code;
			machine_set_string(&outcome->text, err.text);
		}
		json_decref(patch);
	}
	put_outcome(machine, outcome, result);
	machine_outcome_add(machine, outcome);
}

/* Returns the version of the configuration in force. */
uint64_t
machine_config_version(const machine_t *machine)
{
	return machine->config_version;
}

/* Returns the document in force; valid until the next command is applied. */
const json_t *
machine_config(const machine_t *machine)
{
	return machine->config;
}
