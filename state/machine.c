#include "state/machine.h"

#include <errno.h>
#include <stdarg.h>
#include <string.h>

#include "state/machine_private.h"

#define MIN_KEY_SUFFIX_LEN 8
#define MAX_KEY_SUFFIX_LEN 64

/* Sets code and text of result and returns the code, a negative errno. */
int
machine_fail(command_result_t *result, int code, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_free(result->text);
	result->text = g_strdup_vprintf(format, args);
	va_end(args);
	result->code = code;
	return code;
}

/* Sets the data of result to a JSON value; steals the reference. */
void
machine_put_json(command_result_t *result, json_t *value)
{
	g_free(result->data.body_t_val);
	result->data.body_t_val = json_dumps(value, JSON_COMPACT);
	result->data.body_t_len = result->data.body_t_val != NULL
				      ? (u_int)strlen(result->data.body_t_val)
				      : 0;
	json_decref(value);
}

/* Replaces *slot by a copy of value; NULL is copied as "". */
void
machine_set_string(char **slot, const char *value)
{
	char *copy = g_strdup(value != NULL ? value : "");

	g_free(*slot);
	*slot = copy;
}

/*
 * Parses an idempotency key "<unix milliseconds>-<8 to 64 of [A-Za-z0-9]>".
 * Returns -EINVAL for any other text.
 */
int
machine_parse_key(const char *key, int64_t *stamp_ms)
{
	long long value;
	str_t stamp;
	str_t suffix;

	if (!str_cut(str_from(key), '-', &stamp, &suffix) ||
	    str_to_int64(stamp, &value) != 0 ||
	    suffix.len < MIN_KEY_SUFFIX_LEN || suffix.len > MAX_KEY_SUFFIX_LEN)
		return -EINVAL;
	for (size_t i = 0; i < suffix.len; i++) {
		if (!g_ascii_isalnum(suffix.data[i]))
			return -EINVAL;
	}
	*stamp_ms = value;
	return 0;
}

/*
 * Returns -EKEYEXPIRED with a text in result if a key's time stamp is expired
 * or too far ahead of the machine's time, else 0.
 */
int
machine_check_key_window(
    const machine_t *machine, int64_t stamp_ms, command_result_t *result)
{
	if (stamp_ms > machine->time_ms + MACHINE_MAX_KEY_AHEAD_MS)
		return machine_fail(result, -EKEYEXPIRED,
		    "key time stamp is %" G_GINT64_FORMAT " ms in the future",
		    stamp_ms - machine->time_ms);
	if (stamp_ms < machine->min_key_stamp_ms)
		return machine_fail(result, -EKEYEXPIRED,
		    "key expired %" G_GINT64_FORMAT " ms ago",
		    machine->min_key_stamp_ms - stamp_ms);
	return 0;
}

/* Returns an empty machine with the default configuration, version 1. */
machine_t *
machine_create(void)
{
	machine_t *machine = g_new0(machine_t, 1);

	machine->job_chart = chart_builtin("job");
	machine_config_create(machine);
	machine_claims_create(machine);
	machine_workers_create(machine);
	machine_jobs_create(machine);
	machine->ledger = ledger_create();
	return machine;
}

/* Frees a machine; NULL is allowed. */
void
machine_destroy(machine_t *machine)
{
	if (machine == NULL)
		return;
	ledger_destroy(machine->ledger);
	machine_jobs_destroy(machine);
	machine_workers_destroy(machine);
	machine_claims_destroy(machine);
	machine_config_destroy(machine);
	g_free(machine);
}

/* Returns the time that the proposing instance put into a command, or 0. */
static int64_t
command_time_ms(const command_t *command)
{
	switch (command->kind) {
	case COMMAND_PATCH:
		return command->command_t_u.patch.time_ms;
	case COMMAND_CLAIM:
		return command->command_t_u.claim.time_ms;
	case COMMAND_CLAIM_END:
		return command->command_t_u.claim_end.time_ms;
	case COMMAND_WORKER_ADD:
		return command->command_t_u.worker.time_ms;
	case COMMAND_JOB_SUBMIT:
		return command->command_t_u.job.time_ms;
	case COMMAND_JOB_START:
		return command->command_t_u.job_start.time_ms;
	case COMMAND_JOB_GO:
		return command->command_t_u.job_go.time_ms;
	case COMMAND_JOB_END:
		return command->command_t_u.job_end.time_ms;
	case COMMAND_JOB_CANCEL:
		return command->command_t_u.job_cancel.time_ms;
	case COMMAND_INSTANCE:
		return command->command_t_u.instance.time_ms;
	default:
		return 0;
	}
}

/*
 * Advances the oldest accepted key time stamp, then drops expired claims, job
 * keys and finished jobs, oldest first.
 */
static void
expire_records(machine_t *machine)
{
	int64_t min_stamp_ms = machine->time_ms - machine->claim_window_ms;

	machine->min_key_stamp_ms =
	    MAX(machine->min_key_stamp_ms, min_stamp_ms);
	machine_claims_expire(machine);
	machine_jobs_expire(machine);
}

static void
dispatch(machine_t *machine, command_t *command, command_result_t *result)
{
	switch (command->kind) {
	case COMMAND_NOOP:
		return;
	case COMMAND_PATCH:
		machine_apply_patch(
		    machine, &command->command_t_u.patch, result);
		return;
	case COMMAND_CLAIM:
		machine_apply_claim(
		    machine, &command->command_t_u.claim, result);
		return;
	case COMMAND_CLAIM_END:
		machine_apply_claim_end(
		    machine, &command->command_t_u.claim_end, result);
		return;
	case COMMAND_WORKER_ADD:
		machine_apply_worker_add(
		    machine, &command->command_t_u.worker, result);
		return;
	case COMMAND_WORKER_LEAVE:
		machine_apply_worker_leave(
		    machine, command->command_t_u.worker_leave, result);
		return;
	case COMMAND_WORKER_OWNER:
		machine_apply_worker_owner(
		    machine, &command->command_t_u.worker_owner, result);
		return;
	case COMMAND_WORKER_REMOVE:
		machine_apply_worker_remove(
		    machine, &command->command_t_u.worker_remove, result);
		return;
	case COMMAND_PLACER:
		machine_apply_placer(
		    machine, &command->command_t_u.placer, result);
		return;
	case COMMAND_JOB_SUBMIT:
		machine_apply_job_submit(
		    machine, &command->command_t_u.job, result);
		return;
	case COMMAND_JOB_START:
		machine_apply_job_start(
		    machine, &command->command_t_u.job_start, result);
		return;
	case COMMAND_JOB_GO:
		machine_apply_job_go(
		    machine, &command->command_t_u.job_go, result);
		return;
	case COMMAND_JOB_END:
		machine_apply_job_end(
		    machine, &command->command_t_u.job_end, result);
		return;
	case COMMAND_JOB_CANCEL:
		machine_apply_job_cancel(
		    machine, &command->command_t_u.job_cancel, result);
		return;
	case COMMAND_INSTANCE:
		machine_apply_instance(
		    machine, &command->command_t_u.instance, result);
		return;
	case COMMAND_REPLACE:
		machine_apply_drain(
		    machine, command->command_t_u.replace, result);
		return;
	case COMMAND_FLEET_CONFIG:
		result->code = ledger_apply_config(
		    machine->ledger, &command->command_t_u.fleet_config);
		return;
	case COMMAND_BATCH_SUBMIT:
		result->code = ledger_apply_submit(
		    machine->ledger, &command->command_t_u.batch_submit);
		return;
	case COMMAND_BATCH_CANCEL:
		result->code = ledger_apply_cancel(
		    machine->ledger, command->command_t_u.batch_cancel);
		return;
	case COMMAND_FLEET_EVENTS:
		result->code = ledger_apply_events(
		    machine->ledger, &command->command_t_u.fleet_events);
		return;
	case COMMAND_DOMAIN_SERVICE:
		result->code = ledger_apply_domain_service(
		    machine->ledger, &command->command_t_u.domain_service);
		return;
	case COMMAND_GANG_START:
		result->code = ledger_apply_gang_start(
		    machine->ledger, &command->command_t_u.gang_start);
		return;
	}
	machine_fail(
	    result, -ENOSYS, "unknown command kind %d", (int)command->kind);
}

/*
 * Applies one committed command.  The outcome depends only on the state and
 * the command.  Fills result; the caller frees it with machine_result_free.
 */
void
machine_apply(machine_t *machine, uint64_t index, command_t *command,
    command_result_t *result)
{
	memset(result, 0, sizeof(*result));
	machine->index = index;
	machine->time_ms = MAX(machine->time_ms, command_time_ms(command));
	expire_records(machine);
	dispatch(machine, command, result);
	result->index = index;
	if (result->config_version == 0)
		result->config_version = machine->config_version;
	if (result->text == NULL)
		result->text = g_strdup("");
}

/* Frees the contents of a result filled by machine_apply, not result itself. */
void
machine_result_free(command_result_t *result)
{
	g_free(result->data.body_t_val);
	g_free(result->text);
	memset(result, 0, sizeof(*result));
}

/* Returns the state of the batch jobs, which the machine owns. */
ledger_t *
machine_ledger(const machine_t *machine)
{
	return machine->ledger;
}

/* Returns the machine's time: the highest time_ms in a command so far. */
int64_t
machine_time_ms(const machine_t *machine)
{
	return machine->time_ms;
}

/* Returns the index of the last applied command. */
uint64_t
machine_index(const machine_t *machine)
{
	return machine->index;
}
