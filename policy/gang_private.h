#pragma once

#include <glib.h>

#include "common/chart.h"
#include "policy/gang.h"

#define NEVER INT64_MAX

typedef enum {
	PHASE_NEW,
	PHASE_START_PROPOSED,
	PHASE_RESERVING,
	PHASE_GO_PROPOSED,
	PHASE_STARTING,
	PHASE_RUNNING,
	PHASE_STOPPING,
	PHASE_END_PROPOSED,
	PHASE_OVER,
} phase_t;

typedef struct {
	int state;               /* of charts/task.chart */
	gang_action_kind_t call; /* made last */
	bool pending;            /* the last call has no answer yet */
	int64_t called_ms;
	int64_t leased_ms; /* end of the longest lease it may have */
	int64_t heard_ms;  /* last sign of life */
	bool finished;     /* done or failed by itself */
} member_t;

struct gang_t {
	const chart_t *job_chart;
	const chart_t *task_chart;
	gang_act_t *act;
	void *ctx;
	phase_t phase;
	int job_state; /* of charts/job.chart, as in the log */
	int members;
	member_t *member;
	int64_t now_ms;
	int64_t phase_ms;    /* start of the phase */
	int64_t proposed_ms; /* NEVER: no proposal is to be repeated */
	int64_t renewed_ms;
	bool renewals_held;
	bool resumed;        /* a predecessor may still renew leases */
	bool stop_confirmed; /* one member at least */
	int failed;
	job_end_t end;
	const char *reason;
};

/* gang.c */
bool gang_task_is(const gang_t *gang, int member, const char *state);
void gang_call(gang_t *gang, int member, gang_action_kind_t kind);
void gang_propose(gang_t *gang, gang_action_kind_t kind);
void gang_choose_end(gang_t *gang);
void gang_end_if_settled(gang_t *gang);
void gang_stop_all(gang_t *gang, job_end_t end, const char *reason);
