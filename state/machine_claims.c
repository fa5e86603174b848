#include <errno.h>
#include <string.h>

#include "state/machine_private.h"

static int
compare_claims(const void *a, const void *b, void *ctx)
{
	const claim_entry_t *x = a;
	const claim_entry_t *y = b;
	int order;

	if (x->stamp_ms != y->stamp_ms)
		return x->stamp_ms < y->stamp_ms ? -1 : 1;
	order = strcmp(x->claim.key, y->claim.key);
	return order != 0 ? order : strcmp(x->claim.tenant, y->claim.tenant);
}

static void
claim_free(void *data)
{
	claim_entry_t *entry = data;

	g_free(entry->claim.tenant);
	g_free(entry->claim.key);
	g_free(entry->claim.task);
	g_free(entry->claim.worker);
	g_free(entry->claim.instance);
	g_free(entry->claim.answer);
	g_free(entry);
}

/* Creates the empty claim table. */
void
machine_claims_create(machine_t *machine)
{
	machine->claims =
	    g_tree_new_full(compare_claims, NULL, NULL, claim_free);
}

void
machine_claims_destroy(machine_t *machine)
{
	g_tree_unref(machine->claims);
}

/* Adds a claim; the machine takes ownership. */
void
machine_claims_insert(machine_t *machine, claim_entry_t *entry)
{
	g_tree_replace(machine->claims, entry, entry);
}

/* Drops the claims whose keys have expired, oldest first. */
void
machine_claims_expire(machine_t *machine)
{
	for (;;) {
		GTreeNode *node = g_tree_node_first(machine->claims);
		claim_entry_t *entry;

		if (node == NULL)
			return;
		entry = g_tree_node_key(node);
		if (entry->stamp_ms >= machine->min_key_stamp_ms)
			return;
		g_tree_remove(machine->claims, entry);
	}
}

static claim_entry_t *
find_claim(const machine_t *machine, const char *tenant, const char *key)
{
	claim_entry_t probe = {
	    .claim = {.tenant = (char *)tenant, .key = (char *)key},
	};

	if (machine_parse_key(key, &probe.stamp_ms) != 0)
		return NULL;
	return g_tree_lookup(machine->claims, &probe);
}

/* Returns the result data that describes a claim. */
static json_t *
claim_json(const machine_claim_t *claim)
{
	static const char *const states[] = {
	    [CLAIM_OPEN] = "open",
	    [CLAIM_DONE] = "done",
	    [CLAIM_DID_NOT_RUN] = "did_not_run",
	};
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:i, s:b}", "task",
	    claim->task, "worker", claim->worker, "instance", claim->instance,
	    "state", states[claim->state], "http_status", claim->http_status,
	    "answer_dropped", claim->answer_dropped);
	json_t *answer = json_stringn(
	    claim->answer != NULL ? claim->answer : "", claim->answer_len);

	if (answer != NULL) {
		json_object_set_new(body, "answer", answer);
	} else {
		/* Not UTF-8, hence no valid JSON string. */
		char *text = g_base64_encode(
		    (const guchar *)claim->answer, claim->answer_len);

		json_object_set_new(body, "answer_base64", json_string(text));
		g_free(text);
	}
	return body;
}

/* Opens a new claim, or reopens one that ended as CLAIM_DID_NOT_RUN. */
static void
open_claim(machine_claim_t *claim, const claim_command_t *command)
{
	machine_set_string(&claim->task, command->task);
	machine_set_string(&claim->worker, command->worker);
	machine_set_string(&claim->instance, command->instance);
	claim->digest = command->digest;
	claim->state = CLAIM_OPEN;
	claim->http_status = 0;
	claim->answer_dropped = false;
	g_free(claim->answer);
	claim->answer = NULL;
	claim->answer_len = 0;
	claim->time_ms = command->time_ms;
}

/* Handles a claim command for a key that has been claimed before. */
static void
handle_repeated_claim(machine_claim_t *claim, const claim_command_t *command,
    command_result_t *result)
{
	bool is_same_task = strcmp(claim->task, command->task) == 0;

	if (claim->digest != command->digest) {
		machine_fail(result, -EKEYREJECTED,
		    "the key was used with another body");
		return;
	}
	if (claim->state == CLAIM_DID_NOT_RUN && !is_same_task) {
		open_claim(claim, command);
		return;
	}
	/* The proposal was resent after a change of leader. */
	if (claim->state == CLAIM_OPEN && is_same_task)
		return;
	machine_fail(
	    result, -EEXIST, "the key is claimed by task %s", claim->task);
	machine_put_json(result, claim_json(claim));
}

/*
 * Claims an idempotency key for one task.  Codes: 0, -EEXIST (claimed by
 * another task, done, or ended by this task as CLAIM_DID_NOT_RUN; the data
 * describes the claim), -EKEYREJECTED (claimed with another digest),
 * -EKEYEXPIRED (time stamp outside the claim window), -EINVAL (malformed key).
 */
void
machine_apply_claim(machine_t *machine, const claim_command_t *command,
    command_result_t *result)
{
	claim_entry_t *entry =
	    find_claim(machine, command->tenant, command->key);
	int64_t stamp_ms;

	if (machine_parse_key(command->key, &stamp_ms) != 0) {
		machine_fail(result, -EINVAL,
		    "expected a key <unix ms>-<8 to 64 of [A-Za-z0-9]>");
		return;
	}
	if (entry != NULL) {
		handle_repeated_claim(&entry->claim, command, result);
		return;
	}
	if (machine_check_key_window(machine, stamp_ms, result) != 0)
		return;
	entry = g_new0(claim_entry_t, 1);
	entry->stamp_ms = stamp_ms;
	entry->claim.tenant = g_strdup(command->tenant);
	entry->claim.key = g_strdup(command->key);
	open_claim(&entry->claim, command);
	machine_claims_insert(machine, entry);
}

/*
 * Ends a task's claim as done or did-not-run.  Idempotent.  Codes: 0, -ENOENT
 * (the task has no claim on the key), -EALREADY (ended in the other state),
 * -EINVAL (neither of the two states).
 */
void
machine_apply_claim_end(machine_t *machine, const claim_end_command_t *command,
    command_result_t *result)
{
	claim_entry_t *entry =
	    find_claim(machine, command->tenant, command->key);
	machine_claim_t *claim;

	if (command->state != CLAIM_DONE &&
	    command->state != CLAIM_DID_NOT_RUN) {
		machine_fail(
		    result, -EINVAL, "a claim cannot end in the state open");
		return;
	}
	if (entry == NULL || strcmp(entry->claim.task, command->task) != 0) {
		machine_fail(result, -ENOENT, "task %s has no claim on the key",
		    command->task);
		return;
	}
	claim = &entry->claim;
	if (claim->state != CLAIM_OPEN) {
		if (claim->state != command->state)
			machine_fail(result, -EALREADY,
			    "the claim has already ended in another state");
		return;
	}
	claim->state = command->state;
	claim->http_status = command->http_status;
	claim->time_ms = command->time_ms;
	claim->answer_dropped =
	    command->answer_dropped ||
	    command->answer.body_t_len > MACHINE_MAX_ANSWER_BYTES;
	if (claim->answer_dropped || command->answer.body_t_len == 0)
		return;
	claim->answer_len = command->answer.body_t_len;
	claim->answer =
	    g_memdup2(command->answer.body_t_val, claim->answer_len);
}

/* Returns the claim on a tenant's key, NULL if there is none. */
const machine_claim_t *
machine_claim(const machine_t *machine, const char *tenant, const char *key)
{
	const claim_entry_t *entry = find_claim(machine, tenant, key);

	return entry != NULL ? &entry->claim : NULL;
}

/* Iterates over all claims in order of their keys' time stamps. */
void
machine_each_claim(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_claim_t *claim), void *ctx)
{
	for (GTreeNode *node = g_tree_node_first(machine->claims); node != NULL;
	     node = g_tree_node_next(node)) {
		const claim_entry_t *entry = g_tree_node_key(node);

		if (!visit(ctx, &entry->claim))
			return;
	}
}

/* Returns the number of claims, ended ones included. */
size_t
machine_claim_count(const machine_t *machine)
{
	return (size_t)g_tree_nnodes(machine->claims);
}
