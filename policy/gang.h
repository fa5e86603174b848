#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "rpc/protocol.h"

/*
 * The gang protocol for one attempt of one job as a pure state machine: all
 * members run or none.  It is driven by applied commands, by the backend
 * servers' answers and by the time passed in, and acts only through its
 * callback.
 */
typedef struct gang_t gang_t;

/* Lease of a reservation and of a running member. */
#define GANG_LEASE_MS 5000
#define GANG_RENEW_MS 1000
/* An unanswered call is over by then. */
#define GANG_CALL_MS 1000
/* Reserving all members takes this long at most. */
#define GANG_RESERVE_LIMIT_MS 3000
/*
 * A part of a gang runs without the whole at most this long: a renewal may be
 * on its way when a member is lost, and the lease it brings has to end.
 */
#define GANG_PARTIAL_MS (GANG_LEASE_MS + GANG_RENEW_MS + 2 * GANG_CALL_MS)

typedef enum {
	GANG_PROPOSE_START,
	GANG_PROPOSE_GO,
	GANG_PROPOSE_END,
	GANG_RESERVE,
	GANG_START,
	GANG_RENEW,
	GANG_POLL,
	GANG_STOP,
	GANG_OVER, /* the attempt needs no more attention */
} gang_action_kind_t;

typedef struct {
	gang_action_kind_t kind;
	int member;    /* for calls to backend servers */
	job_end_t end; /* for GANG_PROPOSE_END */
	const char *reason;
} gang_action_t;

/* May call back into the gang, but not destroy it. */
typedef void gang_act_t(void *ctx, const gang_action_t *action);

/* What a backend server says about a member. */
typedef enum {
	GANG_IS_RESERVED,
	GANG_IS_RUNNING,
	GANG_IS_DONE,
	GANG_IS_FAILED,
	GANG_IS_STOPPED, /* or was never seen */
	GANG_REFUSED,    /* busy or fenced: the call changed nothing */
	GANG_SILENT,     /* no answer: it may have been carried out */
} gang_answer_t;

gang_t *gang_create(int members, gang_act_t *act, void *ctx);
void gang_destroy(gang_t *gang);
void gang_begin(gang_t *gang, int64_t now_ms);
/* Takes over an attempt that the log shows in a state of charts/job.chart. */
void gang_resume(gang_t *gang, const char *job_state, int64_t now_ms);
/* Ends a proposal; -ETIMEDOUT: unknown, it is made again. */
void gang_proposed(
    gang_t *gang, gang_action_kind_t kind, int code, int64_t now_ms);
void gang_answered(gang_t *gang, int member, gang_action_kind_t call,
    gang_answer_t answer, int64_t now_ms);
void gang_tick(gang_t *gang, int64_t now_ms);
/* The job's state in the log has changed; a cancelled job is stopped. */
void gang_logged(gang_t *gang, const char *job_state, int64_t now_ms);
/* Stops the attempt so that the job waits again. */
void gang_reclaim(gang_t *gang, const char *reason, int64_t now_ms);
/* The worker of a member is gone, and with it the lease. */
void gang_worker_lost(gang_t *gang, int member, int64_t now_ms);
/* Suspends renewals, as for a job that is being reclaimed. */
void gang_hold_renewals(gang_t *gang);
bool gang_is_running(const gang_t *gang);
bool gang_is_over(const gang_t *gang);
/* The member that failed, -1 for none. */
int gang_failed_member(const gang_t *gang);
