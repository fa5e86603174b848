#pragma once

#include <glib.h>

#include "policy/health.h"
#include "policy/placement.h"

typedef enum {
	PJOB_WAITING,
	PJOB_CLAIMED, /* has places that reclaimed jobs still occupy */
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
 * results: a failed search fails again until the version of its kind has grown.
 */
typedef struct {
	int members;
	int accelerators;
	adjacency_t adjacency;
	uint64_t failed_version;
	uint64_t checked_version; /* hardware, 0: not checked */
	uint64_t reserve_version; /* of a failed reservation */
	/* Of a failed search in the places of each reservation. */
	uint64_t held_version[PLACEMENT_MAX_RESERVATIONS];
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
	GQueue jobs;               /* pjob_t, by order */
	uint64_t failed_version;   /* of a failed claim in the guarantee */
	uint64_t searched_version; /* guaranteed_version of a failed search */
	uint64_t backfill_version;
	uint64_t urgent_version; /* of a failed search with reclaim */
} bucket_t;

struct tenant_t {
	char *name;
	int weight;
	int quota;
	int used; /* opportunistic accelerators */
	int waiting;
	double run_time_ratio; /* mean of actual / declared run time */
	GPtrArray *buckets;    /* bucket_t */
};

typedef struct {
	char *id;
	const char *workspace;
	bucket_t *bucket;
	GList link; /* in the queue of its bucket */
	pjob_state_t state;
	int64_t declared_ms;
	int64_t deadline_ms;
	int64_t submitted_ms;
	int64_t waiting_ms; /* start of the present wait */
	uint64_t sequence;
	int64_t attained; /* accelerator-milliseconds of earlier attempts */
	int level;        /* queue level by attained service */
	int64_t started_ms;
	bool guaranteed;
	reservation_t *reservation; /* NULL for none */
	bool backfill;              /* runs in the places of a reservation */
	bool cancelled; /* to be removed once its members have ended */
	cells_place_t *places;
	guint placed_index; /* index in placement_t.placed */
	int64_t reclaim_ms; /* start of the reclaim */
	reclaim_step_t step;
	char *claimant; /* id of the job it is reclaimed for */
	health_request_t failures;
	int failed_attempts;
	const char *rule; /* the reason for the last decision */
} pjob_t;

/* Places kept free for one waiting job. */
struct reservation_t {
	char hold[24];            /* name of the hold in cells */
	pjob_t *job;              /* NULL: unused */
	int64_t expected_free_ms; /* when the places are expected to be free */
	uint64_t tried_version;   /* of the last attempt to start the job */
	bool tried_overdue;       /* whether the job was overdue then */
	bool migration_considered;
	const pjob_t *blocker; /* job in its places that may not be reclaimed */
	cells_place_t places[MAX_MEMBERS];
};

struct placement_t {
	cells_t *cells;
	health_t *health;
	GHashTable *workers;  /* worker to rack */
	GHashTable *suspects; /* workers out of use because of their health */
	int64_t health_checked_ms;
	GHashTable *tenants;
	GPtrArray *tenant_list; /* tenant_t, last sorted by share */
	GPtrArray *shapes;      /* shape_t */
	GPtrArray *buckets;     /* bucket_t */
	GHashTable *jobs;
	size_t waiting;
	uint64_t version; /* grows when a search may newly succeed */
	/* The same for guarantees; opportunistic jobs do not change it. */
	uint64_t guaranteed_version;
	uint64_t
	    hardware_version;     /* grows when hardware or guarantees change */
	GPtrArray *placed;        /* pjob_t that occupy accelerators */
	GPtrArray *claimed;       /* pjob_t in PJOB_CLAIMED */
	GPtrArray *reclaiming;    /* pjob_t being reclaimed or migrating */
	GPtrArray *with_deadline; /* waiting pjob_t with a deadline */
	int64_t deadlines_checked_ms;
	uint64_t
	    hardware_seen_version; /* hardware_version, and when it changed */
	int64_t hardware_seen_ms;
	reservation_t reservations[PLACEMENT_MAX_RESERVATIONS];
	int reserved_size; /* accelerators in all reservations */
	int reserved_count;
	int64_t plan_searched_ms; /* last search for a reservation */
};

/* Not a valid job id, so it can't clash with the holds named after jobs. */
#define RESERVATION_HOLD "/reservation%d"

/* placement.c */
cells_shape_t placement_shape(const pjob_t *job);
int placement_size(const pjob_t *job);
pjob_t *placement_find(const placement_t *placement, const char *job);
void placement_enqueue(placement_t *placement, pjob_t *job);
void placement_dequeue(placement_t *placement, pjob_t *job);
void placement_delete_job(placement_t *placement, pjob_t *job);
int placement_claim(placement_t *placement, pjob_t *job, bool guaranteed,
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
