#pragma once

#include <glib.h>

#include "policy/health.h"
#include "policy/placement.h"

/*
 * Terms: A guarantee is a workspace's right to accelerators (policy/cells.h). A
 * reservation keeps places free for one waiting job until it can start there
 * outside guarantees.  A hold is how cells keeps opportunistic jobs off places:
 * each reservation has one, and so has each job being reclaimed.  Places are
 * assigned to a job when they are allocated to it in cells, which can be before
 * it starts.
 */

typedef enum {
	PJOB_WAITING,
	PJOB_ASSIGNED, /* has places that reclaimed jobs may still occupy */
	PJOB_RUNNING,
	PJOB_MIGRATING,  /* runs; stopped after its checkpoint */
	PJOB_RECLAIMING, /* being reclaimed */
} pjob_state_t;

/* The next step of reclaiming a job. */
typedef enum {
	STEP_CHECKPOINT,
	STEP_THROTTLE,
	STEP_STOP,
	STEP_AWAIT_END, /* wait for the end or the time limit */
} reclaim_step_t;

/*
 * Size and adjacency of a job, shared by all tenants, with cached search
 * results: a search that failed is not repeated until the version in
 * placement_t that it was recorded with has changed.
 */
typedef struct {
	int members;
	int accelerators;
	adjacency_t adjacency;
	/* version at the last failed search of free places */
	uint64_t free_failed_version;
	/* hardware_version at the last check of impossible; 0: not checked */
	uint64_t checked_hardware_version;
	/* version at the last failed attempt to make a reservation */
	uint64_t reservation_failed_version;
	/* version at the last failed search in each reservation's places */
	uint64_t backfill_failed_version[PLACEMENT_MAX_RESERVATIONS];
	bool impossible;             /* no hardware can hold it */
	char impossible_reason[256]; /* the reason for that */
} shape_t;

typedef struct tenant_t tenant_t;
typedef struct reservation_t reservation_t;

/* Waiting jobs of the same tenant, workspace, priority and shape. */
typedef struct {
	tenant_t *tenant;
	const char *workspace; /* interned */
	job_priority_t priority;
	shape_t *shape;
	GQueue jobs; /* pjob_t, by order */
	/* version when places found in the guarantee could not be assigned */
	uint64_t assign_failed_version;
	/* guaranteed_version at the last failed search in the guarantee */
	uint64_t guarantee_failed_version;
	/* version at the last search in the places of all reservations */
	uint64_t backfill_searched_version;
	/* version at the last failed search outside guarantees with reclaim */
	uint64_t urgent_failed_version;
} job_queue_t;

struct tenant_t {
	char *name;
	int weight;
	int quota;
	int used; /* opportunistic accelerators */
	int waiting;
	double run_time_ratio; /* mean of actual / declared run time */
	GPtrArray *queues;     /* job_queue_t */
};

typedef struct {
	char *id;
	const char *workspace;
	job_queue_t *queue;
	GList link; /* in queue->jobs */
	pjob_state_t state;
	int64_t declared_ms;
	int64_t deadline_ms;
	int64_t submitted_ms;
	int64_t waiting_since_ms; /* start of the present wait */
	uint64_t sequence;
	int64_t attained_accelerator_ms; /* service in earlier attempts */
	int level; /* queue level by attained service, 0 is first */
	int64_t started_ms;
	bool guaranteed;
	reservation_t *reservation; /* NULL for none */
	bool backfill;  /* runs in places reserved for another job */
	bool cancelled; /* unused */
	cells_place_t *places;
	guint placed_index;         /* index in placement_t.placed */
	int64_t reclaim_started_ms; /* start of the reclaim or migration */
	reclaim_step_t step;
	char *claimant; /* id of the job it is reclaimed for */
	health_request_t failures;
	int failed_attempts;
	const char *reason; /* why the job is in its state */
} pjob_t;

/* Places kept free for one waiting job. */
struct reservation_t {
	char hold[24];            /* name of the hold in cells */
	pjob_t *job;              /* NULL: unused */
	int64_t expected_free_ms; /* when the places are expected to be free */
	uint64_t tried_version;   /* of the last attempt to start the job */
	bool tried_overdue; /* whether its job was overdue at that attempt */
	bool migration_considered;
	const pjob_t *blocker; /* job in its places that may not be reclaimed */
	cells_place_t places[MAX_MEMBERS];
};

struct placement_t {
	cells_t *cells;
	health_t *health;
	GHashTable *workers;          /* worker to rack */
	GHashTable *unusable_workers; /* taken out of use because of health */
	int64_t health_checked_ms;
	GHashTable *tenants;
	GPtrArray *tenant_list; /* tenant_t, last sorted by share */
	GPtrArray *shapes;      /* shape_t */
	GPtrArray *queues;      /* job_queue_t */
	GHashTable *jobs;
	size_t waiting;
	uint64_t version; /* grows when a search may newly succeed */
	/* The same for guarantees; opportunistic jobs do not change it. */
	uint64_t guaranteed_version;
	uint64_t
	    hardware_version;     /* grows when hardware or guarantees change */
	GPtrArray *placed;        /* pjob_t that occupy accelerators */
	GPtrArray *assigned;      /* pjob_t in PJOB_ASSIGNED */
	GPtrArray *reclaiming;    /* pjob_t being reclaimed or migrating */
	GPtrArray *with_deadline; /* waiting pjob_t with a deadline */
	int64_t deadlines_checked_ms;
	/* The last hardware_version that refuse_impossible has seen, and when
	 * it first saw it. */
	uint64_t hardware_settle_version;
	int64_t hardware_changed_ms;
	reservation_t reservations[PLACEMENT_MAX_RESERVATIONS];
	int reserved_accelerators; /* in all reservations */
	int reserved_count;
	int64_t reservation_searched_ms; /* last search for a reservation */
};

/* Not a valid job id, so it can't clash with the holds named after jobs. */
#define RESERVATION_HOLD "/reservation%d"

/* placement.c */
cells_request_t placement_shape(const pjob_t *job);
int placement_accelerators(const pjob_t *job);
pjob_t *placement_find(const placement_t *placement, const char *job);
void placement_enqueue(placement_t *placement, pjob_t *job);
void placement_dequeue(placement_t *placement, pjob_t *job);
void placement_delete_job(placement_t *placement, pjob_t *job);
int placement_assign(placement_t *placement, pjob_t *job, bool guaranteed,
    const cells_place_t *places, int64_t now_ms);
void placement_release(placement_t *placement, pjob_t *job, int64_t now_ms);

bool placement_within_quota(const pjob_t *job);

/* placement_reclaim.c */
void placement_reclaim(placement_t *placement, pjob_t *victim,
    const pjob_t *claimant, int64_t now_ms);
bool placement_is_blocked(const placement_t *placement, const pjob_t *job);
bool placement_advance_reclaims(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision);
void placement_migrate(placement_t *placement, int64_t now_ms);

/* placement_reserve.c */
int64_t placement_expected_end(const pjob_t *job, int64_t now_ms);
void placement_record_run_time(pjob_t *job, int64_t now_ms);
void placement_reserve(placement_t *placement, pjob_t *job, int64_t now_ms);
void placement_drop_reservation(
    placement_t *placement, reservation_t *reservation);
void placement_drop_reservations(placement_t *placement);
void placement_clear_blocker(placement_t *placement, const pjob_t *job);
bool placement_use_reservation(placement_t *placement, int64_t now_ms);
GPtrArray *placement_in_reservation(
    const placement_t *placement, const reservation_t *reservation);
int placement_backfill(placement_t *placement, const pjob_t *job,
    int64_t now_ms, cells_place_t *places);
bool placement_overlap(
    const cells_place_t *a, int a_count, const cells_place_t *b, int b_count);

/* placement_health.c */
void placement_check_health(placement_t *placement, int64_t now_ms);
