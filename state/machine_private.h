#pragma once

#include "common/chart.h"
#include "state/machine.h"

/* Internal declarations of the state machine, private to state/machine*.c. */

#define MACHINE_MAX_PATCH_OUTCOMES 10000 /* recorded outcomes of patches */
#define MACHINE_MAX_VERSIONS 10000
#define MACHINE_MAX_FINISHED_JOBS 20000
#define MACHINE_FINISHED_JOB_MS 86400000 /* finished jobs kept: one day */
#define MACHINE_MAX_ANSWER_BYTES 65536
#define MACHINE_MAX_KEY_AHEAD_MS \
	300000 /* ahead of machine->time_ms; 5 minutes */

/*
 * The recorded outcome of a patch.  Responses are built from it, so that a
 * resent patch gets a byte-identical response, as long as the versions that a
 * conflict response lists are kept.
 */
typedef struct {
	char *id;
	int code;      /* 0, -ESTALE (conflict), -EINVAL or -ENOSPC (invalid) */
	uint64_t base; /* version that the patch was based on */
	uint64_t version; /* created version, or that in force when refused */
	char *text;       /* "PATH: expected WHAT"; PATH may be "" */
} patch_outcome_t;

/* A claim and its sort key. */
typedef struct {
	int64_t stamp_ms; /* time stamp in the key; determines expiry */
	machine_claim_t claim;
} claim_entry_t;

/* Idempotency key of a job; kept until it expires, even without the job. */
typedef struct {
	int64_t stamp_ms;
	char *tenant;
	char *key;
	char *job;
	uint64_t digest;
} job_key_t;

typedef struct {
	machine_job_t job;
	bool has_ended_attempt; /* the next two are valid */
	/* The last attempt that ended, to recognise a repeated end command. */
	uint32_t ended_attempt;
	job_end_t end; /* how it ended */
} job_entry_t;

struct machine_t {
	uint64_t index;
	int64_t time_ms;
	const chart_t *job_chart;

	json_t *config;
	uint64_t config_version;
	int64_t claim_window_ms; /* maximum age of claim and job keys */
	GHashTable *outcomes;    /* patch id -> patch_outcome_t */
	GQueue *outcome_order;   /* patch_outcome_t, oldest first, not owned */
	GPtrArray *versions;     /* machine_version_t, consecutive numbers */

	/*
	 * Keys with an older time stamp are rejected.  Never decreases, even
	 * when the claim window is extended: a key whose claim has been dropped
	 * could otherwise be claimed again.
	 */
	int64_t min_key_stamp_ms;
	GTree *claims;   /* claim_entry_t by stamp, tenant and key */
	GTree *job_keys; /* job_key_t by stamp, tenant and key */

	ledger_t *ledger;
	GTree *workers; /* machine_worker_t by id */
	uint64_t last_fence;
	GTree *instances; /* machine_instance_t by id */
	GTree *placers;   /* machine_placer_t by domain */

	GHashTable *jobs; /* id -> job_entry_t */
	GTree *job_order; /* job_entry_t by sequence, not owned */
	GQueue *finished; /* job_entry_t in order of completion, not owned */
	uint64_t last_sequence;
	/* Derived from the placed jobs, not in the snapshot. */
	GHashTable *accelerators_in_use;  /* worker id -> mask */
	GHashTable *opportunistic_in_use; /* tenant -> accelerators */
};

/* Sets code (negative errno) and text of result, not data; returns code. */
int machine_fail(command_result_t *result, int code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Sets the data of result to a JSON value; steals the reference. */
void machine_put_json(command_result_t *result, json_t *value);
/* Parses "<unix milliseconds>-<8 to 64 of [A-Za-z0-9]>". */
int machine_parse_key(const char *key, int64_t *stamp_ms);
int machine_check_key_window(
    const machine_t *machine, int64_t stamp_ms, command_result_t *result);
/* Replaces *slot by a copy of value; NULL is copied as "". */
void machine_set_string(char **slot, const char *value);

void machine_config_create(machine_t *machine);
void machine_config_destroy(machine_t *machine);
void machine_config_activate(
    machine_t *machine, json_t *config, uint64_t version);
void machine_outcome_add(machine_t *machine, patch_outcome_t *outcome);
void machine_version_add(machine_t *machine, machine_version_t *version);
void machine_apply_patch(machine_t *machine, const patch_command_t *command,
    command_result_t *result);

void machine_claims_create(machine_t *machine);
void machine_claims_destroy(machine_t *machine);
void machine_claims_insert(machine_t *machine, claim_entry_t *entry);
void machine_claims_expire(machine_t *machine);
void machine_apply_claim(machine_t *machine, const claim_command_t *command,
    command_result_t *result);
void machine_apply_claim_end(machine_t *machine,
    const claim_end_command_t *command, command_result_t *result);

void machine_workers_create(machine_t *machine);
void machine_workers_destroy(machine_t *machine);
void machine_apply_worker_add(machine_t *machine,
    const worker_command_t *command, command_result_t *result);
void machine_apply_worker_leave(
    machine_t *machine, const char *id, command_result_t *result);
void machine_apply_worker_owner(machine_t *machine,
    const worker_owner_command_t *command, command_result_t *result);
void machine_apply_worker_remove(machine_t *machine,
    const worker_owner_command_t *command, command_result_t *result);
void machine_apply_instance(machine_t *machine,
    const instance_command_t *command, command_result_t *result);
void machine_apply_drain(
    machine_t *machine, const char *id, command_result_t *result);
void machine_apply_placer(machine_t *machine, const placer_command_t *command,
    command_result_t *result);

void machine_jobs_create(machine_t *machine);
void machine_jobs_destroy(machine_t *machine);
void machine_jobs_insert(machine_t *machine, job_entry_t *entry);
void machine_jobs_insert_key(machine_t *machine, job_key_t *key);
void machine_jobs_expire(machine_t *machine);
void machine_apply_job_submit(
    machine_t *machine, const job_command_t *command, command_result_t *result);
void machine_apply_job_cancel(machine_t *machine,
    const job_cancel_command_t *command, command_result_t *result);

void machine_apply_job_start(machine_t *machine,
    const job_start_command_t *command, command_result_t *result);
void machine_apply_job_go(machine_t *machine, const job_go_command_t *command,
    command_result_t *result);
void machine_apply_job_end(machine_t *machine, const job_end_command_t *command,
    command_result_t *result);
/*
 * Adds an attempt's accelerators to those in use (placed) or removes them from
 * there.
 */
void machine_account_attempt(
    machine_t *machine, const machine_job_t *job, bool placed);
bool machine_job_is_placed(const machine_t *machine, const machine_job_t *job);
void machine_finish_job(machine_t *machine, job_entry_t *entry);
