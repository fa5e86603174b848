#pragma once

#include "sched/fleet_private.h"
#include "sched/plan.h"
#include "sched/reserve.h"
#include "sched/urgency.h"

/* One round of planning: what waits, and the room that there is. */

/* A unit that waits for its start. */
typedef struct {
	ledger_unit_t *unit;
	int priority;
	urgency_t urgency;
	int64_t since_ms; /* handed in, or due */
	int64_t latest_start_ms;
	bool covered;          /* by the guarantee of its tenant */
	int64_t reclaim_ms;    /* from then on at the cost of urgent work */
	int64_t may_spread_ms; /* from then on without its rack */
} waiting_t;

typedef struct {
	fleet_t *fleet;
	int64_t now_ms;
	plan_worker_t *workers;
	worker_t **views; /* of the same index */
	size_t count;
	int free;      /* accelerators on usable workers, at most */
	int releasing; /* the same of runs that are being stopped */
	int headroom;  /* of the free ones, kept for urgent work */
	reserve_t *reserve;
} round_t;

/* fleet_waiting.c */
GArray *waiting_collect(fleet_t *fleet, int64_t now_ms);
int waiting_accelerators(const waiting_t *item);
bool waiting_yields(const waiting_t *item);

/* fleet_round.c */
void round_begin(round_t *round, fleet_t *fleet, int64_t now_ms);
void round_begin_placing(round_t *round);
void round_end(round_t *round);
void round_prepare(round_t *round, const waiting_t *item);
void round_take(round_t *round, const step_spec_t *step);

/* fleet_displace.c */
bool round_displace(
    round_t *round, const waiting_t *item, const plan_unit_t *unit);
