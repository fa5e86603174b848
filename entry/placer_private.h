#pragma once

#include <jansson.h>

#include "entry/placer.h"
#include "policy/gang.h"
#include "policy/placement.h"

#define PLACER_TICK_MS 50
#define PLACER_PROPOSE_MS 3000

typedef struct attempt_t attempt_t;

/* Calls about a job beside the gang protocol. */
typedef enum {
	EXTRA_NONE,
	EXTRA_CHECKPOINT,
	EXTRA_THROTTLE,
} extra_t;

/* A call to a backend server on behalf of an attempt. */
typedef struct {
	attempt_t *attempt;
	int member;
	gang_action_kind_t kind;
	extra_t extra;
	client_call_t *handle;
} placer_call_t;

typedef struct {
	char worker[NAME_MAX_LEN + 1];
	char task[NAME_MAX_LEN + 1];
	uint32_t mask;
	char *checkpoint; /* of this attempt */
	json_t *result;
} placer_member_t;

struct attempt_t {
	placer_t *placer;
	char *job;
	uint32_t number;
	uint64_t serial; /* unlike number never used twice by one placer */
	bool guaranteed;
	int count;
	placer_member_t *members;
	gang_t *gang;
	GPtrArray *calls;
	int checkpoints_left;
	bool judged; /* a failed member was reported to the placement */
	bool blame_job;
};

struct placer_t {
	struct ev_loop *loop;
	const settings_t *settings;
	replica_t *replica;
	client_t *client;
	ev_timer timer;
	bool claiming;
	struct claim_t *claim; /* open, NULL for none */
	int64_t claim_ms;
	uint64_t epoch; /* 0: not the active placer */
	placement_t *placement;
	GHashTable *attempts;    /* by job */
	GHashTable *checkpoints; /* GPtrArray of names by job */
	GHashTable *proposals;   /* those without an answer */
	uint64_t next_serial;
	bool config_changed;
	guint left_out; /* guarantees that do not fit the present hardware */
};

const machine_t *placer_machine(const placer_t *placer);
void placer_job_changed(placer_t *placer, const char *job);

/* placer_attempts.c */
attempt_t *placer_attempt_create(placer_t *placer, const char *job,
    uint32_t number, bool guaranteed, int count);
void placer_attempt_destroy(void *attempt);
void placer_attempt_start(placer_t *placer, const placement_decision_t *start);
void placer_attempt_resume(placer_t *placer, const machine_job_t *job);
void placer_reap(placer_t *placer, int64_t now_ms);
void placer_propose_refusal(placer_t *placer, const char *job, const char *why);
void placer_proposals_abandon(placer_t *placer);

/* placer_calls.c */
void placer_call(
    attempt_t *attempt, int member, gang_action_kind_t kind, extra_t extra);
void placer_call_free(void *call);
