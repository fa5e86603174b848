#include <errno.h>
#include <string.h>

#include "state/machine_private.h"

static int
compare_sequences(const void *a, const void *b, void *ctx)
{
	const job_entry_t *x = a;
	const job_entry_t *y = b;

	if (x->job.sequence == y->job.sequence)
		return 0;
	return x->job.sequence < y->job.sequence ? -1 : 1;
}

static int
compare_keys(const void *a, const void *b, void *ctx)
{
	const job_key_t *x = a;
	const job_key_t *y = b;
	int order;

	if (x->stamp_ms != y->stamp_ms)
		return x->stamp_ms < y->stamp_ms ? -1 : 1;
	order = strcmp(x->key, y->key);
	return order != 0 ? order : strcmp(x->tenant, y->tenant);
}

static void
job_free(void *data)
{
	job_entry_t *entry = data;
	machine_job_t *job = &entry->job;

	for (size_t i = 0; i < job->placed_count; i++) {
		g_free(job->members[i].worker);
		g_free(job->members[i].task);
	}
	g_free(job->members);
	g_free(job->id);
	g_free(job->tenant);
	g_free(job->workspace);
	g_free(job->domain);
	g_free(job->key);
	g_free(job->reason);
	g_free(job->body);
	g_free(job->result);
	g_free(entry);
}

static void
key_free(void *data)
{
	job_key_t *key = data;

	g_free(key->tenant);
	g_free(key->key);
	g_free(key->job);
	g_free(key);
}

/* Creates the empty job tables. */
void
machine_jobs_create(machine_t *machine)
{
	machine->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	machine->job_order =
	    g_tree_new_full(compare_sequences, NULL, NULL, NULL);
	machine->job_keys = g_tree_new_full(compare_keys, NULL, NULL, key_free);
	machine->finished = g_queue_new();
	machine->accelerators_in_use =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	machine->opportunistic_in_use =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Frees the job tables with all jobs. */
void
machine_jobs_destroy(machine_t *machine)
{
	g_tree_unref(machine->job_order);
	g_tree_unref(machine->job_keys);
	g_queue_free(machine->finished);
	g_hash_table_unref(machine->accelerators_in_use);
	g_hash_table_unref(machine->opportunistic_in_use);
	g_hash_table_unref(machine->jobs);
}

/* Adds a job; the machine takes ownership. */
void
machine_jobs_insert(machine_t *machine, job_entry_t *entry)
{
	g_hash_table_insert(machine->jobs, entry->job.id, entry);
	g_tree_insert(machine->job_order, entry, entry);
	if (machine_job_is_placed(machine, &entry->job))
		machine_account_attempt(machine, &entry->job, true);
}

/* Adds a job's idempotency key; the machine takes ownership. */
void
machine_jobs_insert_key(machine_t *machine, job_key_t *key)
{
	g_tree_replace(machine->job_keys, key, key);
}

/*
 * Drops expired keys, and finished jobs past their retention time or above
 * MACHINE_MAX_FINISHED_JOBS.  A key is kept until it expires even if its job is
 * gone, so that a late resend cannot run the job again.
 */
void
machine_jobs_expire(machine_t *machine)
{
	int64_t min_ended_ms = machine->time_ms - MACHINE_FINISHED_JOB_MS;
	GTreeNode *node;
	job_entry_t *entry;

	while ((node = g_tree_node_first(machine->job_keys)) != NULL) {
		job_key_t *key = g_tree_node_key(node);

		if (key->stamp_ms >= machine->min_key_stamp_ms)
			break;
		g_tree_remove(machine->job_keys, key);
	}
	while ((entry = g_queue_peek_head(machine->finished)) != NULL) {
		if (machine->finished->length <= MACHINE_MAX_FINISHED_JOBS &&
		    entry->job.ended_ms >= min_ended_ms)
			break;
		g_queue_pop_head(machine->finished);
		g_tree_remove(machine->job_order, entry);
		g_hash_table_remove(machine->jobs, entry->job.id);
	}
}

static const job_key_t *
find_key(const machine_t *machine, const char *tenant, const char *key)
{
	job_key_t probe = {.tenant = (char *)tenant, .key = (char *)key};

	if (machine_parse_key(key, &probe.stamp_ms) != 0)
		return NULL;
	return g_tree_lookup(machine->job_keys, &probe);
}

/* Sets the data of result to the id and state of a job. */
static void
put_job(const machine_t *machine, const machine_job_t *job,
    command_result_t *result)
{
	machine_put_json(
	    result, json_pack("{s:s, s:s}", "job", job->id, "state",
			chart_state_name(machine->job_chart, job->state)));
}

/* Handles a submission whose idempotency key is known. */
static void
handle_repeated_submit(const machine_t *machine, const job_command_t *command,
    const char *id, uint64_t digest, command_result_t *result)
{
	const machine_job_t *job = machine_job(machine, id);

	if (digest != command->digest) {
		machine_fail(result, -EKEYREJECTED,
		    "the key was used with another body");
		return;
	}
	if (job == NULL) {
		machine_fail(result, -EKEYEXPIRED,
		    "job %s of this key has ended and is no longer kept", id);
		return;
	}
	put_job(machine, job, result);
}

/* Creates the entry of a submitted job under the next sequence number. */
static job_entry_t *
new_job_entry(machine_t *machine, const job_command_t *command)
{
	job_entry_t *entry = g_new0(job_entry_t, 1);
	machine_job_t *job = &entry->job;

	job->id = g_strdup(command->id);
	job->tenant = g_strdup(command->tenant);
	job->workspace = g_strdup(command->workspace);
	job->domain = g_strdup(command->domain);
	job->key = g_strdup(command->key);
	job->reason = g_strdup("");
	job->digest = command->digest;
	job->member_count = command->members;
	job->accelerators = command->accelerators;
	job->adjacency = command->adjacency;
	job->priority = command->priority;
	job->declared_ms = command->declared_ms;
	job->deadline_ms = command->deadline_ms;
	job->submitted_ms = command->time_ms;
	job->state = chart_initial(machine->job_chart);
	job->body_len = command->body.body_t_len;
	job->body = g_memdup2(command->body.body_t_val, job->body_len);
	job->sequence = ++machine->last_sequence;
	return entry;
}

/*
 * Accepts a job.  A key that the tenant has used returns the job submitted
 * with it.  Codes: 0, -EINVAL (id, key, members or accelerators),
 * -EKEYREJECTED (key used with another digest), -EKEYEXPIRED (time stamp
 * outside the claim window, or the key's job is no longer kept), -EEXIST (the
 * id is that of another tenant's job or of a job with another key).  With code
 * 0 the data holds the id and state of the job.
 */
void
machine_apply_job_submit(
    machine_t *machine, const job_command_t *command, command_result_t *result)
{
	const machine_job_t *job = machine_job(machine, command->id);
	const job_key_t *known =
	    find_key(machine, command->tenant, command->key);
	job_key_t *key;
	int64_t stamp_ms;

	if (command->id[0] == '\0' || command->members < 1 ||
	    command->members > MAX_MEMBERS || command->accelerators < 0 ||
	    command->accelerators > 32 ||
	    machine_parse_key(command->key, &stamp_ms) != 0) {
		machine_fail(result, -EINVAL,
		    "job \"%s\": expected an id, a valid key, 1..%d members "
		    "and 0..32 accelerators",
		    command->id, MAX_MEMBERS);
		return;
	}
	if (known != NULL) {
		handle_repeated_submit(
		    machine, command, known->job, known->digest, result);
		return;
	}
	if (job != NULL) {
		machine_fail(result, -EEXIST,
		    "job %s exists with a different key", command->id);
		return;
	}
	if (machine_check_key_window(machine, stamp_ms, result) != 0)
		return;
	key = g_new0(job_key_t, 1);
	key->stamp_ms = stamp_ms;
	key->tenant = g_strdup(command->tenant);
	key->key = g_strdup(command->key);
	key->job = g_strdup(command->id);
	key->digest = command->digest;
	machine_jobs_insert_key(machine, key);
	machine_jobs_insert(machine, new_job_entry(machine, command));
	put_job(machine, machine_job(machine, command->id), result);
}

/*
 * Cancels a job of the tenant.  Idempotent.  Codes: 0, -ENOENT, -EPERM (another
 * tenant's job), -EALREADY (in another final state).  The data holds the id and
 * state of the job.
 */
void
machine_apply_job_cancel(machine_t *machine,
    const job_cancel_command_t *command, command_result_t *result)
{
	job_entry_t *entry = g_hash_table_lookup(machine->jobs, command->job);
	const chart_t *chart = machine->job_chart;
	machine_job_t *job;

	if (entry == NULL) {
		machine_fail(result, -ENOENT, "no job %s", command->job);
		return;
	}
	job = &entry->job;
	if (strcmp(job->tenant, command->tenant) != 0) {
		machine_fail(
		    result, -EPERM, "job %s is another tenant's", command->job);
		return;
	}
	if (chart_step(chart, &job->state, "cancel") == 0) {
		if (chart_is_final(chart, job->state)) {
			machine_set_string(&job->reason, "cancelled");
			machine_finish_job(machine, entry);
		}
	} else if (chart_is_final(chart, job->state) &&
		   job->state != chart_state(chart, "cancelled")) {
		machine_fail(result, -EALREADY, "job %s is %s", job->id,
		    chart_state_name(chart, job->state));
	}
	put_job(machine, job, result);
}

/* Returns a job, NULL if the id is unknown. */
const machine_job_t *
machine_job(const machine_t *machine, const char *id)
{
	const job_entry_t *entry = g_hash_table_lookup(machine->jobs, id);

	return entry != NULL ? &entry->job : NULL;
}

/* Returns the job of a tenant's key, NULL if there is none. */
const machine_job_t *
machine_job_by_key(
    const machine_t *machine, const char *tenant, const char *key)
{
	const job_key_t *known = find_key(machine, tenant, key);

	return known != NULL ? machine_job(machine, known->job) : NULL;
}

/* Iterates over all jobs in order of submission. */
void
machine_each_job(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_job_t *job), void *ctx)
{
	for (GTreeNode *node = g_tree_node_first(machine->job_order);
	     node != NULL; node = g_tree_node_next(node)) {
		const job_entry_t *entry = g_tree_node_key(node);

		if (!visit(ctx, &entry->job))
			return;
	}
}
