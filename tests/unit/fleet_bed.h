#pragma once

#include <ev.h>
#include <stdbool.h>

#include "rpc/endpoint.h"
#include "sched/fleet.h"
#include "state/replica.h"
#include "tests/unit/system.h"

/*
 * Test bed: one replica with a fleet and in-memory workers. Orders pass through
 * a queue instead of sockets, so a test can lose, delay or refuse them.
 */

#define BED_MAX_WORKERS 8
#define BED_LEASE_MS 400
#define BED_RETENTION_MS 3000
#define BED_RECLAIM_MS 1000
#define BED_SLOW_WORKER_PERCENT 67

/* A task on a worker. */
typedef struct {
	char *job;
	task_name_t task;
	uint32_t run;
	bool stopping;
} bed_task_t;

typedef struct bed_worker_t bed_worker_t;
/* Returns the load that a task on the worker reports. */
typedef int bed_load_t(const bed_worker_t *worker, const bed_task_t *task);

struct bed_worker_t {
	fleet_worker_t info;
	int64_t
	    clock_base_ms;    /* offset of its clock, new in each incarnation */
	uint64_t fence;       /* the highest token seen */
	int64_t lease_end_ms; /* on the worker's clock */
	uint64_t next_end;
	GHashTable *refused; /* task -> highest run that ended or was stopped */
	GPtrArray *tasks;    /* bed_task_t */
	GArray *ends;        /* bed_end_t, not acknowledged */
	bool unreachable;    /* orders neither arrive nor are answered */
	bool refuses;        /* same, and the sender learns it at once */
	/* Orders get ORDER_OTHER_INCARNATION. */
	bool answers_as_other_incarnation;
	bool drops_start_answers; /* starts are executed, their answers lost */
	bool loses_starts;        /* starts neither arrive nor are answered */
	bool slow_refusals;       /* starts are refused as busy, slowly */
	int delayed_starts;       /* so many wait for bed_deliver_delayed */
	int delayed_polls;        /* same */
	bool fails_tasks;         /* each task fails as soon as it starts */
	const order_answer_t *forged_poll; /* if set, answers polls */
	guint max_listed_ends; /* in the answer of a poll; 0: no limit */
	int percent;           /* progress listed of each task */
	int starts;
	int stops;
	int wrong_incarnation_starts; /* starts for an ended incarnation */
	int unanswered_polls;
	int64_t max_poll_timeout_ms; /* of polls after an unanswered one */
	bed_load_t *load;            /* NULL: tasks report no load */
};

typedef struct {
	struct ev_loop *loop;
	system_t *system;
	endpoint_t *endpoint;
	replica_t *replica;
	fleet_t *fleet;
	bed_worker_t workers[BED_MAX_WORKERS];
	size_t worker_count;
	GQueue orders;         /* order_t in flight */
	GQueue delayed_orders; /* order_t without an answer, not executed */
	ev_timer delivery_timer;
	int poll_delay_ms;      /* answers to polls take so long */
	bool stale_polls;       /* a poll shows what ran when it was sent */
	bool duplicate_run;     /* one task ran twice at the same time */
	int fenced_orders;      /* delayed orders with an outdated token */
	int announcements_done; /* announcements that were acknowledged */
	bool fleet_ends;        /* the fleet is being destroyed */
	uint64_t sequence;
	bool avoids_interference; /* takes effect with bed_restart_fleet */
} bed_t;

void bed_open(bed_t *bed, size_t workers, int accelerators);
void bed_close(bed_t *bed);
/*
 * Replaces the fleet, as a leader change does: state is rebuilt from the ledger
 * and announcements.
 */
void bed_restart_fleet(bed_t *bed);
/* Same, but no worker announces itself to the new leader. */
void bed_restart_fleet_unannounced(bed_t *bed);
/* Discards the orders in flight without an answer. */
void bed_drop_orders(bed_t *bed);
void bed_configure(bed_t *bed);
/* Replaces the configuration by one with a single queue of priority 1. */
void bed_replace_queues(bed_t *bed, uint64_t number, const char *queue);
/* Commits an order about a failure domain: "d1" of 4 workers, then "d2". */
void bed_set_domain_service(
    bed_t *bed, const char *domain, bool out_of_service);
/*
 * Submits a job of one step of 1 s. queue is "urgent" (priority 0), "batch" (1)
 * or "prompt" (1, late 0.7 s after submission).
 */
void bed_submit(bed_t *bed, const char *id, const char *queue, int tasks,
    int accelerators, bool gang);
/* Same to "batch", of tasks of which a worker holds 6,400. */
void bed_submit_small(bed_t *bed, const char *id, int tasks, bool gang);
/* Same, for a tenant: "hall" is guaranteed 16 accelerators, others none. */
void bed_submit_for(bed_t *bed, const char *tenant, const char *id,
    const char *queue, int tasks, int accelerators, bool gang);
/* Same, with the data of its tasks in a rack; 4 workers make a rack. */
void bed_submit_near(bed_t *bed, const char *rack, const char *id,
    const char *queue, int tasks, int accelerators);
/* Submits a long-running task to the queue "batch". */
void bed_submit_long_running(bed_t *bed, const char *id, int accelerators);
/* Same, several, of which so many may be missing at a time. */
void bed_submit_lasting(bed_t *bed, const char *id, int tasks, int accelerators,
    int miss_tolerance);
/*
 * Submits a task of an image to the queue "batch": a long-running one with a
 * latency target, or one on leftover CPU if accelerators is 0.
 */
void bed_submit_image(
    bed_t *bed, const char *id, const char *image, int accelerators);
void bed_cancel(bed_t *bed, const char *id);
void bed_announce(bed_t *bed, size_t worker);
/* Announces info in place of what the worker is. */
void bed_announce_as(bed_t *bed, const fleet_worker_t *info, uint64_t sequence);
/* The worker crashes and starts again under its ID; its clock starts anew. */
void bed_restart_worker(bed_t *bed, size_t worker);
/* Same, but the worker does not announce itself yet. */
void bed_restart_worker_unannounced(bed_t *bed, size_t worker);
/* The workers execute the delayed orders, each in its present incarnation. */
void bed_deliver_delayed(bed_t *bed);
/*
 * Ends every task of the job, or of all jobs when job is NULL, on its worker;
 * the leader learns of it by a poll.
 */
void bed_end_tasks(bed_t *bed, const char *job, run_outcome_t how);
/* Ends the first task on a worker. */
void bed_end_task(bed_t *bed, size_t worker, run_outcome_t how);
int bed_running(const bed_t *bed, const char *job);
int bed_starts(const bed_t *bed);
/* Number of jobs that can still be read, ended ones included. */
int bed_jobs(const bed_t *bed);
batch_state_t bed_state(const bed_t *bed, const char *job);
void bed_run_for(bed_t *bed, int64_t ms);
