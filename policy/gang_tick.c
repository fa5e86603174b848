#include "policy/gang_private.h"

#define PROPOSAL_REPEAT_MS 500
/* No lease is renewed while a member has not answered for this time: two
 * renewal intervals. */
#define ANSWER_OVERDUE_MS (2 * GANG_RENEW_MS)
/* A member that has not answered for this time counts as lost; its lease is
 * about to expire. */
#define MEMBER_LOST_MS (GANG_LEASE_MS - GANG_RENEW_MS)
/* Time limit for starting all members; they are stopped before their leases
 * expire. */
#define START_LIMIT_MS (GANG_LEASE_MS - GANG_RENEW_MS)
#define NO_ANSWER "a member does not answer"

/* Repeats a call once the previous one has timed out. */
static void
repeat_call(gang_t *gang, int member, gang_action_kind_t kind)
{
	member_t *m = &gang->member[member];

	if (gang->now_ms - m->called_ms >= GANG_CALL_MS)
		gang_call(gang, member, kind);
}

/*
 * Renews all leases if every member has answered within ANSWER_OVERDUE_MS,
 * otherwise none.  Stops all members if one has not answered for
 * MEMBER_LOST_MS.
 */
static void
tick_running(gang_t *gang)
{
	bool all_alive = true;

	for (int m = 0; m < gang->members; m++) {
		const member_t *member = &gang->member[m];
		int64_t silent_ms = gang->now_ms - member->last_answer_ms;

		if (member->finished)
			continue;
		all_alive = all_alive && silent_ms < ANSWER_OVERDUE_MS;
		if (silent_ms >= MEMBER_LOST_MS) {
			gang_stop_all(gang, JOB_END_LOST, NO_ANSWER);
			return;
		}
	}
	if (gang->renewals_suspended || !all_alive ||
	    gang->now_ms - gang->renewed_ms < GANG_RENEW_MS)
		return;
	gang->renewed_ms = gang->now_ms;
	for (int m = 0; m < gang->members; m++) {
		if (!gang->member[m].finished)
			gang_call(gang, m, GANG_RENEW);
	}
	for (int m = 0; m < gang->members && gang->phase == PHASE_RUNNING;
	     m++) {
		if (!gang->member[m].finished)
			gang_call(gang, m, GANG_POLL);
	}
}

static void
tick_starting(gang_t *gang)
{
	if (gang->now_ms - gang->phase_started_ms >= START_LIMIT_MS) {
		gang_stop_all(gang, JOB_END_LOST, "a member did not start");
		return;
	}
	for (int m = 0; m < gang->members; m++) {
		if (!gang->member[m].finished &&
		    !gang_task_is(gang, m, "running"))
			repeat_call(gang, m, GANG_START);
	}
}

static void
tick_reserving(gang_t *gang)
{
	if (gang->now_ms - gang->phase_started_ms >= GANG_RESERVE_LIMIT_MS) {
		gang_stop_all(gang, JOB_END_ABORTED, NO_ANSWER);
		return;
	}
	for (int m = 0; m < gang->members; m++) {
		if (!gang_task_is(gang, m, "reserved"))
			repeat_call(gang, m, GANG_RESERVE);
	}
}

static void
tick_stopping(gang_t *gang)
{
	for (int m = 0; m < gang->members; m++) {
		if (!gang->member[m].finished &&
		    !gang_task_is(gang, m, "stopped"))
			repeat_call(gang, m, GANG_STOP);
	}
	gang_end_if_all_released(gang);
}

/* Repeats a proposal whose result is unknown. */
static void
repeat_proposal(gang_t *gang, gang_action_kind_t kind)
{
	if (gang->result_unknown_ms != NEVER &&
	    gang->now_ms - gang->result_unknown_ms >= PROPOSAL_REPEAT_MS)
		gang_propose(gang, kind);
}

/* Handles retries, renewals and timeouts; call it about every 100 ms. */
void
gang_tick(gang_t *gang, int64_t now_ms)
{
	gang->now_ms = now_ms;
	switch (gang->phase) {
	case PHASE_START_PROPOSED:
		repeat_proposal(gang, GANG_PROPOSE_START);
		break;
	case PHASE_RESERVING:
		tick_reserving(gang);
		break;
	case PHASE_GO_PROPOSED:
		repeat_proposal(gang, GANG_PROPOSE_GO);
		break;
	case PHASE_STARTING:
		tick_starting(gang);
		break;
	case PHASE_RUNNING:
		tick_running(gang);
		break;
	case PHASE_STOPPING:
		tick_stopping(gang);
		break;
	case PHASE_END_PROPOSED:
		gang_choose_end(gang);
		repeat_proposal(gang, GANG_PROPOSE_END);
		break;
	case PHASE_NEW:
	case PHASE_OVER:
		break;
	}
}
