#pragma once

#include <ev.h>
#include <stdbool.h>

#include "rpc/endpoint.h"
#include "sched/fleet.h"
#include "state/replica.h"
#include "tests/unit/system.h"

/*
 * One replica with a fleet and workers that live in memory: no sockets between
 * them, so that a test decides which order is lost, late or refused.
 */

#define BED_WORKERS 8
#define BED_LEASE_MS 400
#define BED_KEEP_MS 3000
#define BED_RECLAIM_MS 1000

/* A task on a worker. */
typedef struct {
	char *job;
	task_name_t task;
	uint32_t run;
	bool stopping;
} bed_task_t;

typedef struct {
	fleet_worker_t info;
	int64_t lease_end_ms; /* on its clock */
	uint64_t next_end;
	GPtrArray *tasks;       /* bed_task_t */
	GArray *ends;           /* bed_end_t, not acknowledged */
	bool silent;            /* orders neither arrive nor are answered */
	bool other_incarnation; /* another incarnation answers at its address */
	bool swallows;          /* starts arrive, their answers are lost */
	bool fails;             /* what starts fails at once */
	int starts;
	int stops;
	int misdirected; /* starts for an incarnation that has ended */
	int unanswered_polls;
	int64_t patience_ms; /* of the polls after one without an answer */
} bed_worker_t;

typedef struct {
	struct ev_loop *loop;
	system_t *system;
	endpoint_t *endpoint;
	replica_t *replica;
	fleet_t *fleet;
	bed_worker_t workers[BED_WORKERS];
	size_t worker_count;
	GQueue orders; /* to be carried out in the next turn */
	ev_timer turn;
	bool stale_polls; /* a poll shows what ran when it was sent */
	bool two_runs;    /* one task ran twice at the same time */
	int answers;      /* of commands that the test has proposed */
	uint64_t sequence;
} bed_t;

void bed_open(bed_t *bed, size_t workers, int accelerators);
void bed_close(bed_t *bed);
/* A successor in the same process: the view is built anew. */
void bed_restart_fleet(bed_t *bed);
/* Orders that are under way neither arrive nor are answered. */
void bed_drop_orders(bed_t *bed);
void bed_configure(bed_t *bed);
/* A job of one step of 1 s; queue is "urgent" (priority 0), "batch" (1) or
 * "prompt" (1, late 0.7 s after it was handed in). */
void bed_submit(bed_t *bed, const char *id, const char *queue, int tasks,
    int accelerators, bool gang);
/* The same of a tenant: "hall" is guaranteed 16 accelerators, others none. */
void bed_submit_for(bed_t *bed, const char *tenant, const char *id,
    const char *queue, int tasks, int accelerators, bool gang);
/* A task that lasts, in the queue "batch". */
void bed_submit_lasting(bed_t *bed, const char *id, int accelerators);
void bed_cancel(bed_t *bed, const char *id);
void bed_announce(bed_t *bed, size_t worker);
void bed_restart_worker(bed_t *bed, size_t worker);
/* Ends every task of the job, or of all jobs when job is NULL. */
void bed_end_tasks(bed_t *bed, const char *job, run_how_t how);
int bed_running(const bed_t *bed, const char *job);
int bed_starts(const bed_t *bed);
/* Number of jobs that can still be read, ended ones included. */
int bed_jobs(const bed_t *bed);
batch_state_t bed_state(const bed_t *bed, const char *job);
void bed_run_for(bed_t *bed, int64_t ms);
