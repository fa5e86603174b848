#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "rpc/protocol.h"
#include "sched/ledger.h"

/*
 * The replicated state machine.  It is deterministic, does no I/O and reads no
 * clock: its time is the highest time_ms of the commands applied so far.
 * "Machine" always means the state machine, never a host.
 */
typedef struct machine_t machine_t;

typedef struct {
	char *id;
	char *address;
	int port;
	char *domain;
	char *rack;
	int slots;
	int connections;
	int accelerators;
	uint64_t generation; /* changes when the backend server restarts */
	uint64_t fence; /* fencing token, new for each generation and owner */
	char *owner;    /* id of the instance that dispatches to it */
	bool leaving;   /* no attempt starts on it */
} machine_worker_t;

/* The claim of a tenant's idempotency key by the task that may run it. */
typedef struct {
	char *tenant;
	char *key;
	char *task;
	char *worker;
	char *instance;
	uint64_t digest;
	claim_state_t state;
	int http_status;
	bool answer_dropped; /* too long to be kept */
	char *answer;
	size_t answer_len;
	int64_t time_ms; /* when last opened or ended */
} machine_claim_t;

typedef struct {
	char *worker;
	char *task;
	uint64_t fence;
	uint32_t accelerator_mask;
} machine_member_t;

typedef struct {
	char *id;
	char *tenant;
	char *workspace;
	char *domain;
	char *key; /* idempotency key */
	uint64_t digest;
	int member_count; /* requested */
	int accelerators; /* of each member */
	adjacency_t adjacency;
	job_priority_t priority;
	int64_t declared_ms;
	int64_t deadline_ms; /* unix time, 0 for none */
	int64_t submitted_ms;
	int64_t started_ms; /* when the attempt began to run, 0 before */
	int64_t ended_ms;
	int state; /* state of charts/job.chart */
	uint32_t attempt;
	uint64_t epoch;            /* of the placer that started the attempt */
	bool guaranteed;           /* current attempt uses the guarantee */
	machine_member_t *members; /* of the current attempt */
	size_t placed_count;       /* length of members */
	char *reason;
	uint64_t config_version; /* in force when the attempt started */
	char *body;
	size_t body_len;
	char *result;
	size_t result_len;
	uint64_t sequence; /* order of submission */
} machine_job_t;

typedef struct {
	char *id;
	bool alive;
	bool draining;
	uint64_t incarnation;
} machine_instance_t;

/* The instance that places the jobs of a failure domain. */
typedef struct {
	char *domain;
	char *instance;
	uint64_t epoch; /* rises with each change of the placer */
} machine_placer_t;

/* An accepted configuration patch and the version that it created. */
typedef struct {
	uint64_t number;
	char *patch_id;
	char *author;
	int64_t time_ms;
	char *patch; /* JSON text of the merge patch */
} machine_version_t;

machine_t *machine_create(void);
void machine_destroy(machine_t *machine);
void machine_apply(machine_t *machine, uint64_t index, command_t *command,
    command_result_t *result);
void machine_result_free(command_result_t *result);
int machine_save(const machine_t *machine, GByteArray *out);
int machine_load(machine_t *machine, str_t bytes);

uint64_t machine_config_version(const machine_t *machine);
const json_t *machine_config(const machine_t *machine);
int64_t machine_time_ms(const machine_t *machine);
ledger_t *machine_ledger(const machine_t *machine);
uint64_t machine_index(const machine_t *machine);

const machine_worker_t *machine_worker(
    const machine_t *machine, const char *id);
const machine_claim_t *machine_claim(
    const machine_t *machine, const char *tenant, const char *key);
const machine_job_t *machine_job(const machine_t *machine, const char *id);
const machine_job_t *machine_job_by_key(
    const machine_t *machine, const char *tenant, const char *key);
const machine_instance_t *machine_instance(
    const machine_t *machine, const char *id);
const machine_placer_t *machine_placer(
    const machine_t *machine, const char *domain);

/*
 * Iterate in a fixed order until the callback returns false: workers and
 * instances by id, jobs by submission, claims by the time stamp in their key,
 * then tenant and key, versions by number.
 */
void machine_each_worker(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_worker_t *worker), void *ctx);
void machine_each_job(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_job_t *job), void *ctx);
void machine_each_claim(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_claim_t *claim), void *ctx);
void machine_each_instance(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_instance_t *instance), void *ctx);
void machine_each_version(const machine_t *machine, uint64_t from,
    bool (*visit)(void *ctx, const machine_version_t *version), void *ctx);
size_t machine_claim_count(const machine_t *machine);
