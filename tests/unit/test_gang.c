#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/chart.h"
#include "policy/gang.h"
#include "tests/unit/runner.h"

#define MEMBERS 3
#define TICK_MS 100
#define RUN_MS 6000
#define END_MS 60000
#define SUCCESSOR_AFTER_MS 1500
#define PAUSE_MS 4000
#define MAX_ACTIONS 200

/* A simulated backend server with one task. */
typedef struct {
	int state; /* of charts/task.chart */
	bool was_reserved;
	bool ran;
	int64_t lease_end_ms;
	int64_t run_end_ms;
	bool reachable[2]; /* by each placer */
	bool refuses;      /* the next call except stop and poll */
} server_t;

/* The fault to inject at the action with the given number. */
typedef enum {
	FAULT_NONE,
	FAULT_DIES_BEFORE, /* placer dies; the action is not executed */
	FAULT_DIES_AFTER,  /* placer dies; the action is executed */
	FAULT_PAUSED,      /* placer resumes after a successor took over */
	FAULT_ISOLATED,    /* placer can't reach the log; successor starts */
	FAULT_REFUSED,     /* the called member refuses */
	FAULT_UNREACHABLE, /* the called member, permanently */
	FAULT_CRASHED,     /* the called member loses its state */
	FAULT_CANCELLED,
	FAULT_RECLAIMED,
	FAULT_COUNT,
} fault_t;

typedef struct sim_t sim_t;

typedef struct {
	sim_t *sim;
	int id;
	gang_t *gang;
	uint64_t epoch;
	bool alive;
	bool isolated;
	int64_t paused_until_ms;
} placer_t;

/* A message in transit. */
typedef struct {
	int64_t due_ms;
	bool is_answer;
	placer_t *placer;
	gang_action_t action;
	gang_answer_t answer;
	int code;
} message_t;

struct sim_t {
	const chart_t *task_chart;
	const chart_t *job_chart;
	server_t servers[MEMBERS];
	placer_t placers[2];
	int job_state;
	uint64_t epoch;
	GArray *messages;
	int64_t now_ms;
	int64_t takeover_ms;
	int actions;
	fault_t fault;
	int fault_at;
	bool duplicate; /* deliver every message a second time, late */
	int64_t partial_ms;
	int64_t longest_partial_ms;
	int starts;
};

static bool
server_is(const sim_t *sim, int member, const char *state)
{
	return sim->servers[member].state ==
	       chart_state(sim->task_chart, state);
}

static void
send_message(sim_t *sim, message_t message)
{
	message.due_ms = sim->now_ms + TICK_MS;
	g_array_append_val(sim->messages, message);
	if (sim->duplicate) {
		message.due_ms += 7 * TICK_MS;
		g_array_append_val(sim->messages, message);
	}
}

/* Executes a call on a backend server as specified in docs/INTERFACES.md. */
static gang_answer_t
execute_call(sim_t *sim, int member, gang_action_kind_t kind)
{
	server_t *server = &sim->servers[member];
	int before = server->state;

	if (server->refuses && kind != GANG_STOP && kind != GANG_POLL) {
		server->refuses = false;
		return GANG_REFUSED;
	}
	switch (kind) {
	case GANG_RESERVE:
		if (chart_step(sim->task_chart, &server->state, "reserve") ==
		    0) {
			server->lease_end_ms = sim->now_ms + GANG_LEASE_MS;
			server->was_reserved = true;
		}
		break;
	case GANG_START:
		if (chart_step(sim->task_chart, &server->state, "start") == 0) {
			ck_assert_msg(
			    !server->ran, "member %d ran twice", member);
			server->ran = true;
			for (int m = 0; m < MEMBERS; m++)
				ck_assert_msg(sim->servers[m].was_reserved,
				    "member %d started before member %d was "
				    "reserved",
				    member, m);
			sim->starts++;
			server->lease_end_ms = sim->now_ms + GANG_LEASE_MS;
			server->run_end_ms = sim->now_ms + RUN_MS;
		}
		break;
	case GANG_RENEW:
		if (server_is(sim, member, "reserved") ||
		    server_is(sim, member, "running"))
			server->lease_end_ms = sim->now_ms + GANG_LEASE_MS;
		else
			return GANG_IS_STOPPED;
		break;
	case GANG_STOP:
		chart_step(sim->task_chart, &server->state, "stop");
		break;
	default:
		break;
	}
	if (before == chart_state(sim->task_chart, "unknown") &&
	    server->state == before)
		return GANG_IS_STOPPED;
	if (server_is(sim, member, "reserved"))
		return GANG_IS_RESERVED;
	if (server_is(sim, member, "running"))
		return GANG_IS_RUNNING;
	return server_is(sim, member, "done") ? GANG_IS_DONE : GANG_IS_STOPPED;
}

/* Reports the job state to every placer that can read the log. */
static void
notify_placers(sim_t *sim)
{
	for (int p = 0; p < 2; p++) {
		placer_t *placer = &sim->placers[p];

		if (placer->alive && !placer->isolated &&
		    placer->paused_until_ms <= sim->now_ms &&
		    placer->gang != NULL)
			gang_job_state_changed(placer->gang,
			    chart_state_name(sim->job_chart, sim->job_state),
			    sim->now_ms);
	}
}

/* Applies a proposal as the replicated state machine does. */
static int
apply(sim_t *sim, const placer_t *placer, const gang_action_t *action)
{
	static const char *const ends[] = {
	    [JOB_END_DONE] = "finish",
	    [JOB_END_FAILED] = "fail",
	    [JOB_END_ABORTED] = "abort",
	    [JOB_END_LOST] = "lose",
	    [JOB_END_RECLAIMED] = "reclaim",
	    [JOB_END_REFUSED] = "refuse",
	    [JOB_END_STOPPED] = "stopped",
	};
	const char *event = action->kind == GANG_PROPOSE_START ? "start"
			    : action->kind == GANG_PROPOSE_GO
				? "go"
				: ends[action->end];

	if (placer->epoch != sim->epoch)
		return -ESTALE;
	if (action->kind == GANG_PROPOSE_GO &&
	    sim->job_state == chart_state(sim->job_chart, "running"))
		return 0;
	if (chart_step(sim->job_chart, &sim->job_state, event) != 0)
		return -EALREADY;
	notify_placers(sim);
	return 0;
}

static void
cancel_job(sim_t *sim)
{
	if (chart_step(sim->job_chart, &sim->job_state, "cancel") != 0)
		return;
	notify_placers(sim);
}

static void
kill_placer(sim_t *sim, placer_t *placer)
{
	placer->alive = false;
	sim->takeover_ms = sim->now_ms + SUCCESSOR_AFTER_MS;
}

/* Injects the fault; returns whether the action is still executed. */
static bool
inject_fault(sim_t *sim, placer_t *placer, const gang_action_t *action)
{
	server_t *server =
	    action->member >= 0 ? &sim->servers[action->member] : NULL;

	switch (sim->fault) {
	case FAULT_DIES_BEFORE:
		kill_placer(sim, placer);
		return false;
	case FAULT_DIES_AFTER:
		kill_placer(sim, placer);
		return true;
	case FAULT_PAUSED:
		placer->paused_until_ms = sim->now_ms + PAUSE_MS;
		sim->takeover_ms = sim->now_ms + SUCCESSOR_AFTER_MS;
		return true;
	case FAULT_ISOLATED:
		placer->isolated = true;
		sim->takeover_ms = sim->now_ms + SUCCESSOR_AFTER_MS;
		return true;
	case FAULT_REFUSED:
		if (server != NULL)
			server->refuses = true;
		return true;
	case FAULT_UNREACHABLE:
		if (server != NULL)
			server->reachable[0] = server->reachable[1] = false;
		return true;
	case FAULT_CRASHED:
		if (server != NULL) {
			server->state = chart_state(sim->task_chart, "stopped");
			server->ran = false;
		}
		return true;
	case FAULT_CANCELLED:
	case FAULT_RECLAIMED:
	case FAULT_NONE:
	case FAULT_COUNT:
		break;
	}
	return true;
}

static void
act(void *ctx, const gang_action_t *action)
{
	placer_t *placer = ctx;
	sim_t *sim = placer->sim;

	if (!placer->alive || action->kind == GANG_OVER)
		return;
	if (placer->id == 0 && ++sim->actions == sim->fault_at &&
	    !inject_fault(sim, placer, action))
		return;
	send_message(sim, (message_t){.placer = placer, .action = *action});
}

static void
deliver(sim_t *sim, const message_t *message)
{
	placer_t *placer = message->placer;
	message_t answer = *message;

	if (message->is_answer) {
		if (!placer->alive)
			return;
		if (message->action.kind <= GANG_PROPOSE_END)
			gang_proposed(placer->gang, message->action.kind,
			    message->code, sim->now_ms);
		else
			gang_answered(placer->gang, message->action.member,
			    message->action.kind, message->answer, sim->now_ms);
		return;
	}
	answer.is_answer = true;
	if (message->action.kind <= GANG_PROPOSE_END) {
		answer.code = placer->isolated
				  ? -ETIMEDOUT
				  : apply(sim, placer, &message->action);
	} else if (!sim->servers[message->action.member]
			.reachable[placer->id]) {
		answer.answer = GANG_NO_ANSWER;
	} else {
		answer.answer = execute_call(
		    sim, message->action.member, message->action.kind);
	}
	send_message(sim, answer);
}

static void
take_over(sim_t *sim)
{
	placer_t *successor = &sim->placers[1];

	sim->takeover_ms = 0;
	sim->epoch++;
	successor->alive = true;
	successor->epoch = sim->epoch;
	successor->gang = gang_create(MEMBERS, act, successor);
	gang_resume(successor->gang,
	    chart_state_name(sim->job_chart, sim->job_state), sim->now_ms);
}

/* Advances the backend servers and measures how long only some members run. */
static void
step_servers(sim_t *sim)
{
	int running = 0;
	int finished = 0;

	for (int m = 0; m < MEMBERS; m++) {
		server_t *server = &sim->servers[m];

		if (server_is(sim, m, "running") &&
		    sim->now_ms >= server->run_end_ms)
			chart_step(sim->task_chart, &server->state, "finish");
		if (sim->now_ms >= server->lease_end_ms)
			chart_step(sim->task_chart, &server->state, "expire");
		running += server_is(sim, m, "running");
		finished += server_is(sim, m, "done");
	}
	if (running == 0 || running + finished == MEMBERS)
		sim->partial_ms = 0;
	else
		sim->partial_ms += TICK_MS;
	sim->longest_partial_ms = MAX(sim->longest_partial_ms, sim->partial_ms);
}

static bool
is_paused(const placer_t *placer)
{
	return placer->sim->now_ms < placer->paused_until_ms;
}

static void
step(sim_t *sim)
{
	sim->now_ms += TICK_MS;
	step_servers(sim);
	for (guint i = 0; i < sim->messages->len;) {
		message_t message = g_array_index(sim->messages, message_t, i);

		if (message.due_ms > sim->now_ms ||
		    (message.is_answer && is_paused(message.placer))) {
			i++;
			continue;
		}
		g_array_remove_index(sim->messages, i);
		deliver(sim, &message);
	}
	if (sim->takeover_ms != 0 && sim->now_ms >= sim->takeover_ms)
		take_over(sim);
	for (int p = 0; p < 2; p++) {
		if (sim->placers[p].alive && !is_paused(&sim->placers[p]) &&
		    sim->placers[p].gang != NULL)
			gang_tick(sim->placers[p].gang, sim->now_ms);
	}
}

/*
 * Runs one attempt to its end and checks the invariants.  Returns the number of
 * actions of the first placer.
 */
static int
run(fault_t fault, int at, bool duplicate)
{
	sim_t sim = {.task_chart = chart_builtin("task"),
	    .job_chart = chart_builtin("job"),
	    .epoch = 1,
	    .fault = fault,
	    .fault_at = at,
	    .duplicate = duplicate};
	bool triggered = false;
	bool done;
	int held = 0;

	sim.messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	sim.job_state = chart_initial(sim.job_chart);
	for (int m = 0; m < MEMBERS; m++)
		sim.servers[m] =
		    (server_t){.state = chart_initial(sim.task_chart),
			.lease_end_ms = INT64_MAX,
			.reachable = {true, true}};
	for (int p = 0; p < 2; p++)
		sim.placers[p] = (placer_t){.sim = &sim, .id = p};
	sim.placers[0].alive = true;
	sim.placers[0].epoch = 1;
	sim.placers[0].gang = gang_create(MEMBERS, act, &sim.placers[0]);
	gang_begin(sim.placers[0].gang, 0);
	while (sim.now_ms < END_MS) {
		step(&sim);
		if (!triggered && at > 0 && sim.actions >= at) {
			triggered = true;
			if (fault == FAULT_CANCELLED)
				cancel_job(&sim);
			if (fault == FAULT_RECLAIMED)
				gang_reclaim(
				    sim.placers[0].gang, "test", sim.now_ms);
		}
	}
	done = sim.job_state == chart_state(sim.job_chart, "done");
	for (int m = 0; m < MEMBERS; m++) {
		held += server_is(&sim, m, "reserved") ||
			server_is(&sim, m, "running");
		ck_assert_msg(!done || server_is(&sim, m, "done") ||
				  fault == FAULT_CRASHED,
		    "fault %d at %d: done without member %d", fault, at, m);
	}
	ck_assert_msg(held == 0, "fault %d at %d: %d members held at the end",
	    fault, at, held);
	ck_assert_msg(sim.longest_partial_ms <= GANG_MAX_PARTIAL_RUN_MS,
	    "fault %d at %d: only some members ran for %d ms", fault, at,
	    (int)sim.longest_partial_ms);
	ck_assert_msg(
	    done || sim.job_state == chart_state(sim.job_chart, "waiting") ||
		sim.job_state == chart_state(sim.job_chart, "cancelled"),
	    "fault %d at %d: job left %s", fault, at,
	    chart_state_name(sim.job_chart, sim.job_state));
	ck_assert_msg(done || fault != FAULT_NONE, "job not done");
	for (int p = 0; p < 2; p++) {
		ck_assert_msg(sim.placers[p].gang == NULL ||
				  !sim.placers[p].alive ||
				  gang_is_over(sim.placers[p].gang) ||
				  sim.placers[p].isolated,
		    "fault %d at %d: placer %d is not done", fault, at, p);
		gang_destroy(sim.placers[p].gang);
	}
	g_array_unref(sim.messages);
	return sim.actions;
}

/* Guards against an attempt that does not complete in the absence of faults, or
 * runs a member twice. */
START_TEST(without_faults)
{
	int actions = run(FAULT_NONE, 0, false);

	ck_assert_int_gt(actions, 3 + 2 * MEMBERS);
	ck_assert_int_lt(actions, MAX_ACTIONS);
	run(FAULT_NONE, 0, true);
}
END_TEST

/*
 * Guards against a gang of which only some members run, and against members
 * that stay reserved, for every fault at every single step.
 */
START_TEST(every_fault_at_every_step)
{
	for (int duplicate = 0; duplicate < 2; duplicate++) {
		int actions = run(FAULT_NONE, 0, duplicate != 0);

		for (fault_t fault = FAULT_DIES_BEFORE; fault < FAULT_COUNT;
		     fault++) {
			for (int at = 1; at <= actions; at++)
				run(fault, at, duplicate != 0);
		}
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("gang");
	TCase *tcase = tcase_create("gang");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, without_faults);
	tcase_add_test(tcase, every_fault_at_every_step);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
