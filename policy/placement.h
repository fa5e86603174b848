#pragma once

#include <glib.h>

#include "policy/cells.h"

/*
 * The placement decisions for one failure domain over its waiting and running
 * jobs.  Pure: the time is passed in and never goes back.
 */
typedef struct placement_t placement_t;

/* Time from submission within which urgent work starts, reclaim included. */
#define PLACEMENT_URGENT_START_MS 7900

/*
 * Reclaiming a job: a checkpoint is awaited this long, then the job is
 * throttled, shortly after that stopped.  Its members' leases (5 s) are not
 * renewed from the first step on, so that after the limit it has ended even if
 * no answer came.
 */
#define PLACEMENT_CHECKPOINT_MS 2000
#define PLACEMENT_THROTTLE_MS 500
#define PLACEMENT_RECLAIM_LIMIT_MS 5500

/* A job of more than one member or this many accelerators is large. */
#define PLACEMENT_LARGE_ACCELERATORS 8

/* Reservations at once; together they cover at most half of the domain. */
#define PLACEMENT_MAX_RESERVATIONS 16

/* A large job gets a reservation when it has waited this long. */
#define PLACEMENT_RESERVE_AFTER_MS 5000

/*
 * Any other job with accelerators gets one after this long: without it, jobs of
 * two accelerators waited 31,906 s at p99 in a domain of 2,700 workers.
 */
#define PLACEMENT_RESERVE_ANY_AFTER_MS (10 * 60 * 1000)

/*
 * A large job that has waited this long reclaims the opportunistic work in its
 * reservation, once that has run for the minimum in its present attempt: two
 * overdue jobs would otherwise reclaim each other without end.  Only guaranteed
 * and urgent work can make it wait longer than both together.
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
	int64_t deadline_ms; /* to be started by then, 0 for none */
	int64_t submitted_ms;
	uint64_t sequence;
} placement_job_t;

typedef enum {
	PLACEMENT_START,      /* start the job at places */
	PLACEMENT_REFUSE,     /* it can never run, or not in time */
	PLACEMENT_CHECKPOINT, /* and renew no leases from now on */
	PLACEMENT_MIGRATE,    /* checkpoint only; the job goes on */
	PLACEMENT_THROTTLE,
	PLACEMENT_STOP,
	PLACEMENT_GONE, /* no answer to the stop; its leases have ended */
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
	PLACEMENT_DONE,      /* finished; the job leaves */
	PLACEMENT_FAILED,    /* the job is to blame; it leaves */
	PLACEMENT_CANCELLED, /* it leaves */
	PLACEMENT_LOST,      /* waits again: lost, aborted or reclaimed */
} placement_end_t;

placement_t *placement_create(void);
void placement_destroy(placement_t *placement);
const cells_t *placement_cells(const placement_t *placement);

int placement_add_worker(placement_t *placement, const char *worker,
    const char *rack, int accelerators, int slots);
void placement_remove_worker(placement_t *placement, const char *worker);
int placement_set_guarantees(placement_t *placement,
    const cells_guarantee_t *guarantees, size_t count, err_t *err);
/* quota: opportunistic accelerators at most, 0 for no limit. */
void placement_set_tenant(
    placement_t *placement, const char *tenant, int weight, int quota);

int placement_submit(placement_t *placement, const placement_job_t *job);
/* A job that runs already, as found by a successor. */
int placement_restore(placement_t *placement, const placement_job_t *job,
    bool guaranteed, const cells_place_t *places, int64_t now_ms);
void placement_ended(placement_t *placement, const char *job,
    placement_end_t end, int64_t now_ms);
void placement_checkpointed(
    placement_t *placement, const char *job, int64_t now_ms);
/*
 * Evidence against a worker and a job: the job failed there.  Returns whether
 * the job is to blame, as it has failed on two workers or three times.
 */
bool placement_failed_on(placement_t *placement, const char *job,
    const char *worker, int64_t now_ms);

/* Takes the next decision; false when there is none now. */
bool placement_decide(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision);
/* Appends why a job waits or where it runs; -ENOENT for an unknown job. */
int placement_explain(const placement_t *placement, const char *job,
    int64_t now_ms, GString *out);
size_t placement_waiting(const placement_t *placement);
