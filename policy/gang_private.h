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
	gang_action_kind_t call; /* the last call */
	bool pending;            /* no answer to the last call yet */
	int64_t called_ms;       /* time of the last call */
	int64_t lease_end_ms;    /* latest possible end of its lease */
	int64_t last_answer_ms;  /* time of the last answer */
	bool finished;           /* done or failed, not stopped */
} member_t;

struct gang_t {
	const chart_t *job_chart;
	const chart_t *task_chart;
	gang_act_t *act;
	void *ctx;
	phase_t phase;
	int job_state; /* of charts/job.chart, as last read from the log */
	int members;
	member_t *member;
	int64_t now_ms;
	int64_t phase_started_ms; /* start of the phase */
	/* when the last proposal failed or got no result; NEVER if none did */
	int64_t result_unknown_ms;
	int64_t renewed_ms; /* last renewal of all leases */
	bool renewals_suspended;
	bool resumed; /* another placer began it and may still renew leases */
	bool stop_confirmed; /* a member has stopped or finished */
	int failed_member;   /* -1 for none */
	job_end_t end;
	const char *reason;
};

/* gang.c */
bool gang_task_is(const gang_t *gang, int member, const char *state);
void gang_call(gang_t *gang, int member, gang_action_kind_t kind);
void gang_propose(gang_t *gang, gang_action_kind_t kind);
void gang_choose_end(gang_t *gang);
void gang_end_if_all_released(gang_t *gang);
void gang_stop_all(gang_t *gang, job_end_t end, const char *reason);
