#pragma once

#include "sched/fleet_private.h"
#include "sched/plan.h"
#include "sched/reserve.h"
#include "sched/urgency.h"

/* State of one planning round: the waiting units and the free resources. */

/* A unit that waits to be started. */
typedef struct {
	ledger_unit_t *unit;
	int priority;
	urgency_t urgency;
	int64_t since_ms; /* submitted or due */
	int64_t latest_start_ms;
	bool covered;          /* by the guarantee of its tenant */
	int64_t reclaim_ms;    /* may preempt urgent work from then on */
	int64_t may_spread_ms; /* may leave its preferred rack from then on */
} waiting_unit_t;

typedef struct {
	fleet_t *fleet;
	int64_t now_ms;
	plan_worker_t *workers;
	worker_t **views; /* in the order of workers */
	size_t count;
	int free;      /* free accelerators of usable workers */
	int releasing; /* accelerators of runs being stopped */
	int headroom;  /* free accelerators reserved for urgent work */
	reserve_t *reserve;
} round_t;

/* fleet_waiting.c */
GArray *waiting_collect(fleet_t *fleet, int64_t now_ms);
int waiting_accelerators(const waiting_unit_t *item);
bool waiting_respects_headroom(const waiting_unit_t *item);

/* fleet_round.c */
void round_begin(round_t *round, fleet_t *fleet, int64_t now_ms);
void round_begin_placing(round_t *round);
void round_end(round_t *round);
void round_prepare_unit(round_t *round, const waiting_unit_t *item);
void round_reserve_chosen(round_t *round, const step_spec_t *step);

/* fleet_displace.c */
bool round_preempt(
    round_t *round, const waiting_unit_t *item, const plan_unit_t *unit);
