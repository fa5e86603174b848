#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "rpc/protocol.h"

/*
 * The gang protocol for one attempt of one job: either all members run or none.
 * A state machine without I/O.  Its inputs are applied commands, the answers of
 * backend servers and the current time; it requests actions by its callback.
 */
typedef struct gang_t gang_t;

/* Lease duration of a reservation and of a running member. */
#define GANG_LEASE_MS 5000
#define GANG_RENEW_MS 1000
/* A call without an answer is considered failed after this time. */
#define GANG_CALL_MS 1000
/* Time limit for reserving all members; the attempt is aborted after it. */
#define GANG_RESERVE_LIMIT_MS 3000
/*
 * Upper bound for the time in which only some members of a gang run.  When a
 * member is lost, a renewal may be in transit to the others, and the lease that
 * it extends must expire first.
 */
#define GANG_MAX_PARTIAL_RUN_MS \
	(GANG_LEASE_MS + GANG_RENEW_MS + 2 * GANG_CALL_MS)

typedef enum {
	/* Proposals to the log. */
	GANG_PROPOSE_START, /* start the attempt: reserve its members */
	GANG_PROPOSE_GO,    /* all members are reserved: start them */
	GANG_PROPOSE_END,   /* end the attempt */
	/* Calls to the backend server of a member. */
	GANG_RESERVE,
	GANG_START, /* run the reserved member */
	GANG_RENEW, /* renew its lease */
	GANG_POLL,  /* query its state */
	GANG_STOP,
	GANG_OVER, /* the attempt has ended; no further calls or ticks needed */
} gang_action_kind_t;

typedef struct {
	gang_action_kind_t kind;
	int member;    /* of calls to backend servers */
	job_end_t end; /* for GANG_PROPOSE_END */
	const char *reason;
} gang_action_t;

/* The callback may call gang functions except gang_destroy. */
typedef void gang_act_t(void *ctx, const gang_action_t *action);

/* The answer of a backend server to a call about a member. */
typedef enum {
	GANG_IS_RESERVED,
	GANG_IS_RUNNING,
	GANG_IS_DONE,
	GANG_IS_FAILED,
	GANG_IS_STOPPED, /* or unknown to the server */
	GANG_REFUSED,    /* busy or fenced: the call had no effect */
	GANG_NO_ANSWER,  /* no answer: the call may have been executed */
} gang_answer_t;

gang_t *gang_create(int members, gang_act_t *act, void *ctx);
void gang_destroy(gang_t *gang);
void gang_begin(gang_t *gang, int64_t now_ms);
/* Continues an attempt after its placer (entry/placer.h) was replaced.
 * job_state: a state of charts/job.chart. */
void gang_resume(gang_t *gang, const char *job_state, int64_t now_ms);
/* Reports the result of a proposal; one with -ETIMEDOUT is repeated. */
void gang_proposed(
    gang_t *gang, gang_action_kind_t kind, int code, int64_t now_ms);
void gang_answered(gang_t *gang, int member, gang_action_kind_t call,
    gang_answer_t answer, int64_t now_ms);
void gang_tick(gang_t *gang, int64_t now_ms);
/* Reports a new job state in the log; stops the members if cancelled. */
void gang_job_state_changed(
    gang_t *gang, const char *job_state, int64_t now_ms);
/* Stops the attempt and returns the job to the queue. */
void gang_reclaim(gang_t *gang, const char *reason, int64_t now_ms);
/* Reports that the worker of a member was lost, and so the member's lease. */
void gang_worker_lost(gang_t *gang, int member, int64_t now_ms);
/* Stops renewing leases, for example when the job is being reclaimed. */
void gang_suspend_renewals(gang_t *gang);
bool gang_is_running(const gang_t *gang);
bool gang_is_over(const gang_t *gang);
/* The member that failed, -1 for none. */
int gang_failed_member(const gang_t *gang);
