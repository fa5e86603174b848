#pragma once

#include <glib.h>

#include "policy/cells.h"

/*
 * Decides where and when the jobs of one failure domain run, and which jobs are
 * reclaimed.  Does no I/O; the current time is a parameter and must not
 * decrease.
 */
typedef struct placement_t placement_t;

/*
 * Target for the time from submission to start of an urgent job; up to
 * PLACEMENT_RECLAIM_LIMIT_MS of it is the reclaim of other jobs.  Equals the
 * default threshold of the objective "guarantees" in state/config.c.  Checked
 * by tests; no decision depends on it.
 */
#define PLACEMENT_URGENT_START_MS 7900

/*
 * Steps of a reclaim: the job has PLACEMENT_CHECKPOINT_MS to make a checkpoint,
 * is throttled for PLACEMENT_THROTTLE_MS and then stopped.  Its members' leases
 * are not renewed from the first step on.  The limit is longer than
 * GANG_LEASE_MS, so that the leases have expired and the job has ended by then
 * even if no server answers.
 */
#define PLACEMENT_CHECKPOINT_MS 2000
#define PLACEMENT_THROTTLE_MS 500
#define PLACEMENT_RECLAIM_LIMIT_MS 5500

/* A job is large with more than one member or at least this many
 * accelerators. */
#define PLACEMENT_LARGE_ACCELERATORS 8

/* Maximum number of reservations at a time.  Together they cover at most half
 * of the domain; a single reservation may cover more. */
#define PLACEMENT_MAX_RESERVATIONS 16

/* A large job gets a reservation after waiting this long. */
#define PLACEMENT_RESERVE_AFTER_MS 5000

/*
 * Any other job with accelerators gets a reservation after this time.  Without
 * it, jobs of two accelerators waited 31,906 s at p99 in a domain of 2,700
 * workers.
 */
#define PLACEMENT_RESERVE_ANY_AFTER_MS (10 * 60 * 1000)

/*
 * A job with a reservation that has waited for PLACEMENT_MAX_WAIT_MS reclaims
 * the opportunistic jobs in its reserved places that have run for at least
 * PLACEMENT_MIN_RUN_MS in their present attempt; without this minimum two
 * overdue jobs would reclaim each other repeatedly.  Only guaranteed and urgent
 * jobs can make it wait longer than PLACEMENT_MAX_WAIT_MS plus
 * PLACEMENT_MIN_RUN_MS.
 */
#define PLACEMENT_MAX_WAIT_MS (30 * 60 * 1000)
#define PLACEMENT_MIN_RUN_MS (10 * 60 * 1000)

typedef struct {
	const char *id;
	const char *tenant;
	const char *workspace;
	int members;
	int accelerators; /* of each member */
	adjacency_t adjacency;
	job_priority_t priority;
	int64_t declared_ms;
	int64_t deadline_ms; /* latest time to start, 0 for none */
	int64_t submitted_ms;
	uint64_t sequence;
} placement_job_t;

typedef enum {
	PLACEMENT_START,      /* start the job at places */
	PLACEMENT_REFUSE,     /* it can never run, or missed its deadline */
	PLACEMENT_CHECKPOINT, /* make a checkpoint; stop renewing leases */
	PLACEMENT_MIGRATE,    /* make a checkpoint; the job keeps running */
	PLACEMENT_THROTTLE,
	PLACEMENT_STOP,
	PLACEMENT_LEASES_EXPIRED, /* stop not confirmed, but its leases have
				     expired */
} placement_kind_t;

typedef struct {
	placement_kind_t kind;
	char job[NAME_MAX_LEN + 1];
	char reason[256];
	bool guaranteed;
	int members;
	cells_place_t places[MAX_MEMBERS];
} placement_decision_t;

/* How an attempt ended. */
typedef enum {
	PLACEMENT_DONE,      /* finished; the job is removed */
	PLACEMENT_FAILED,    /* the job is faulty and is removed */
	PLACEMENT_CANCELLED, /* the job is removed */
	PLACEMENT_LOST,      /* lost, aborted or reclaimed; queued again */
} placement_end_t;

placement_t *placement_create(void);
void placement_destroy(placement_t *placement);
const cells_t *placement_cells(const placement_t *placement);

int placement_add_worker(placement_t *placement, const char *worker,
    const char *rack, int accelerators, int slots);
void placement_remove_worker(placement_t *placement, const char *worker);
int placement_set_guarantees(placement_t *placement,
    const cells_guarantee_t *guarantees, size_t count, err_t *err);
/* quota: maximum of opportunistic accelerators, 0 for no limit. */
void placement_set_tenant(
    placement_t *placement, const char *tenant, int weight, int quota);

int placement_submit(placement_t *placement, const placement_job_t *job);
/* Adds a job that is already running, as after a takeover. */
int placement_restore(placement_t *placement, const placement_job_t *job,
    bool guaranteed, const cells_place_t *places, int64_t now_ms);
void placement_ended(placement_t *placement, const char *job,
    placement_end_t end, int64_t now_ms);
void placement_checkpointed(
    placement_t *placement, const char *job, int64_t now_ms);
/*
 * Records that a job failed on a worker.  Returns whether the job itself is
 * considered faulty: it has failed on two workers or three times.
 */
bool placement_record_failure(placement_t *placement, const char *job,
    const char *worker, int64_t now_ms);

/* Returns the next decision, or false if there is none now. */
bool placement_decide(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision);
/* Appends the job's state and the reason; -ENOENT for an unknown job. */
int placement_explain(const placement_t *placement, const char *job,
    int64_t now_ms, GString *out);
size_t placement_waiting(const placement_t *placement);
