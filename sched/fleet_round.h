#pragma once

#include "sched/fleet_private.h"
#include "sched/plan.h"
#include "sched/pool.h"
#include "sched/reserve.h"
#include "sched/urgency.h"

/* The waiting units of a step.  They have the same needs. */
typedef struct {
	ledger_unit_t *unit; /* the first that waits */
	size_t first;        /* its index in the job */
	size_t end;          /* index after the last unit of the step */
	int priority;
	urgency_t urgency;
	int64_t since_ms; /* submitted or due */
	int64_t latest_start_ms;
	bool has_precedence; /* guaranteed; reclaim limit not passed */
	int64_t may_preempt_urgent_ms; /* from then on */
	int64_t may_spread_ms; /* may leave its preferred rack from then on */
	int needed_speed_percent; /* see plan_unit_t */
	bool prefers_fast;
	int64_t may_run_slowly_ms; /* may take a slow worker from then on */
} waiting_step_t;

/* State of one planning round: the workers and their free resources. */
typedef struct {
	fleet_t *fleet;
	int64_t now_ms;
	int64_t start_us;
	plan_worker_t *plan_workers;
	worker_t **workers; /* in the order of plan_workers */
	size_t count;
	pool_t *pool;
	GArray *suspects;      /* size_t, workers on which a job has failed */
	bool excludes;         /* a suspect worker is excluded for the step */
	GArray *blocked;       /* plan_unit_t that could not be placed */
	size_t started;        /* units */
	int free_accelerators; /* of usable workers */
	int64_t free_speed;    /* same, each with its speed in percent */
	int releasing_accelerators; /* of runs being stopped */
	int headroom_accelerators;  /* kept free for urgent work */
	GArray *out_of_service;     /* size_t, usable but for their domain */
	int out_of_service_accelerators; /* free there */
	reserve_t *reserve;
	wait_reason_t why; /* set when a step is passed over */
	/* The service that waits_in_vain was last asked about. */
	const char *service;
	bool service_is_idle;
	int still_checks;
	int crowding_steps; /* for which plan_worker_t.crowding was set */
	bool has_crowding;  /* set for the step that is being placed */
} round_t;

/* fleet_waiting.c */
GArray *waiting_collect(fleet_t *fleet, int64_t now_ms);
/* Whether the unit still waits and no start of it is being committed. */
bool waiting_is_waiting(const ledger_unit_t *unit);
int waiting_accelerators(const waiting_step_t *item);
bool waiting_respects_headroom(const waiting_step_t *item);

/* fleet_round.c */
void round_begin(round_t *round, fleet_t *fleet, int64_t now_ms);
void round_begin_placing(round_t *round);
void round_end(round_t *round);
void round_prepare_step(round_t *round, const waiting_step_t *item);
void round_choose_reserve(round_t *round, const waiting_step_t *item);
void round_subtract_chosen(round_t *round, const step_spec_t *step);
void round_subtract_free(round_t *round, const step_spec_t *step);
bool round_is_over_budget(const round_t *round);

/* fleet_domains.c */
void domains_begin_round(round_t *round);
size_t domains_keep_in_service(round_t *round);
bool domains_could_hold(const round_t *round, const plan_unit_t *unit);
void domains_log_wait(const round_t *round, const waiting_step_t *item);

/* fleet_crowding.c */
void round_prepare_crowding(round_t *round, const waiting_step_t *item);
void round_log_passed_over(const round_t *round, const waiting_step_t *item);

/* fleet_waits.c */
void waits_init(fleet_t *fleet);
bool waits_in_vain(
    round_t *round, const waiting_step_t *item, const char *service);
void waits_record(fleet_t *fleet, wait_reason_t why);
void waits_check(
    round_t *round, const waiting_step_t *item, const plan_unit_t *plan);

/* fleet_speed.c */
void round_apply_speed(round_t *round);
int round_speed(const round_t *round, size_t worker);

/* fleet_preempt.c */
bool round_preempt(
    round_t *round, const waiting_step_t *item, const plan_unit_t *unit);
