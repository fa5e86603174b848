#pragma once

#include <glib.h>

#include "policy/health.h"
#include "policy/placement.h"

typedef enum {
	PJOB_WAITING,
	PJOB_CLAIMED, /* has its places, waits for reclaimed work to leave them
		       */
	PJOB_RUNNING,
	PJOB_MIGRATING, /* runs; stopped once its checkpoint is made */
	PJOB_DRAINING,  /* is being reclaimed */
} pjob_state_t;

typedef enum {
	STEP_CHECKPOINT,
	STEP_THROTTLE,
	STEP_STOP,
	STEP_GONE,
} reclaim_step_t;

/* A shape over all tenants: what failed once fails until capacity grows. */
typedef struct {
	int members;
	int accelerators;
	adjacency_t adjacency;
	uint64_t failed_version;
	uint64_t checked_version; /* of the hardware, 0 when not checked */
	uint64_t reserve_version; /* a reservation failed */
	/* Of the failed search in the places of each reservation. */
	uint64_t held_version[PLACEMENT_MAX_RESERVATIONS];
	bool never;
	char why[256];
} shape_t;

typedef struct tenant_t tenant_t;
typedef struct reservation_t reservation_t;

/* Waiting jobs that differ only in order. */
typedef struct {
	tenant_t *tenant;
	const char *workspace; /* interned */
	job_priority_t priority;
	shape_t *shape;
	GQueue jobs;               /* pjob_t, by order */
	uint64_t failed_version;   /* of a claim in the guarantee */
	uint64_t searched_version; /* guaranteed, of a search that failed */
	uint64_t backfill_version;
	uint64_t urgent_version; /* of the search that reclaims */
} bucket_t;

struct tenant_t {
	char *name;
	int weight;
	int quota;
	int used; /* opportunistic accelerators */
	int waiting;
	double stretch;     /* observed over declared run time */
	GPtrArray *buckets; /* bucket_t */
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
	int64_t waiting_ms; /* since when it waits */
	uint64_t sequence;
	int64_t attained; /* accelerator milliseconds of earlier attempts */
	int level;        /* of attained service */
	int64_t started_ms;
	bool guaranteed;
	reservation_t *reservation; /* that it has */
	bool backfill;  /* placed in a reservation for the time being */
	bool cancelled; /* leaves once its members have ended */
	cells_place_t *places;
	guint placed_index; /* in placed, while it has accelerators */
	int64_t reclaim_ms; /* start of the reclaim */
	reclaim_step_t step;
	char *claimant; /* for whom it is reclaimed */
	health_request_t failures;
	int failed_attempts;
	const char *rule; /* that decided last */
} pjob_t;

/* Places kept for one large job. */
struct reservation_t {
	char hold[24];
	pjob_t *job; /* NULL for none */
	int64_t expected_ms;
	uint64_t tried_version;
	bool tried_overdue;
	bool migration_considered;
	const pjob_t *blocker; /* in its places and not to be reclaimed */
	cells_place_t places[MAX_MEMBERS];
};

struct placement_t {
	cells_t *cells;
	health_t *health;
	GHashTable *workers;  /* rack by worker */
	GHashTable *suspects; /* workers that are not usable for their health */
	int64_t health_checked_ms;
	GHashTable *tenants;
	GPtrArray *tenant_list; /* tenant_t, by share when last sorted */
	GPtrArray *shapes;      /* shape_t */
	GPtrArray *buckets;     /* bucket_t */
	GHashTable *jobs;
	size_t waiting;
	uint64_t version; /* grows when a search may newly succeed */
	/* The same for guarantees, which opportunistic work does not touch. */
	uint64_t guaranteed_version;
	uint64_t
	    hardware_version; /* grows when hardware or guarantees change */
	GPtrArray *placed;    /* pjob_t with accelerators */
	GPtrArray *claimed;   /* pjob_t */
	GPtrArray *draining;  /* pjob_t, also migrating */
	GPtrArray *timed;     /* waiting pjob_t with a deadline */
	int64_t deadlines_checked_ms;
	uint64_t hardware_seen; /* version, and when it was first seen */
	int64_t hardware_seen_ms;
	reservation_t reservations[PLACEMENT_MAX_RESERVATIONS];
	int reserved_size;
	int reserved_count;
	int64_t planned_ms; /* last search for a reservation that failed */
};

/* Not a valid job id, which names the other holds. */
#define RESERVATION_HOLD "/reservation%d"

/* placement.c */
cells_shape_t placement_shape(const pjob_t *job);
int placement_size(const pjob_t *job);
pjob_t *placement_find(const placement_t *placement, const char *job);
void placement_enqueue(placement_t *placement, pjob_t *job);
void placement_dequeue(placement_t *placement, pjob_t *job);
void placement_forget(placement_t *placement, pjob_t *job);
int placement_claim(placement_t *placement, pjob_t *job, bool guaranteed,
    const cells_place_t *places, int64_t now_ms);
void placement_unclaim(placement_t *placement, pjob_t *job, int64_t now_ms);

bool placement_within_quota(const pjob_t *job);

/* placement_reclaim.c */
void placement_reclaim(placement_t *placement, pjob_t *victim,
    const pjob_t *claimant, int64_t now_ms);
bool placement_is_blocked(const placement_t *placement, const pjob_t *job);
bool placement_drain(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision);
void placement_migrate(placement_t *placement, int64_t now_ms);

/* placement_reserve.c */
int64_t placement_expected_end(const pjob_t *job, int64_t now_ms);
void placement_observe(pjob_t *job, int64_t now_ms);
void placement_reserve(placement_t *placement, pjob_t *job, int64_t now_ms);
void placement_drop_reservation(
    placement_t *placement, reservation_t *reservation);
void placement_drop_reservations(placement_t *placement);
void placement_unblock(placement_t *placement, const pjob_t *job);
bool placement_use_reservation(placement_t *placement, int64_t now_ms);
GPtrArray *placement_in_reservation(
    const placement_t *placement, const reservation_t *reservation);
int placement_backfill(placement_t *placement, const pjob_t *job,
    int64_t now_ms, cells_place_t *places);
bool placement_overlap(
    const cells_place_t *a, int a_count, const cells_place_t *b, int b_count);

/* placement_health.c */
void placement_check_health(placement_t *placement, int64_t now_ms);
