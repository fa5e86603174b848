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

/* A stand-in for a backend server with one task id. */
typedef struct {
	int state; /* of charts/task.chart */
	bool was_reserved;
	bool ran;
	int64_t lease_ms;
	int64_t end_ms;
	bool reachable[2]; /* by each placer */
	bool refuses;      /* the next call that would change it */
} server_t;

/* What goes wrong, at the step of the given number. */
typedef enum {
	FAULT_NONE,
	FAULT_DIES_BEFORE, /* the action is not carried out */
	FAULT_DIES_AFTER,  /* it is, but its answer is lost */
	FAULT_PAUSED,      /* and goes on when a successor took over */
	FAULT_ISOLATED,    /* from the log; a successor takes over */
	FAULT_REFUSED,     /* by the member that is called */
	FAULT_UNREACHABLE, /* that member, from then on */
	FAULT_CRASHED,     /* that member loses everything */
	FAULT_CANCELLED,
	FAULT_RECLAIMED,
	FAULT_COUNT,
} fault_t;

typedef struct world_t world_t;

typedef struct {
	world_t *world;
	int id;
	gang_t *gang;
	uint64_t epoch;
	bool alive;
	bool isolated;
	int64_t paused_until_ms;
} placer_t;

/* A message on its way. */
typedef struct {
	int64_t due_ms;
	bool is_answer;
	placer_t *placer;
	gang_action_t action;
	gang_answer_t answer;
	int code;
} message_t;

struct world_t {
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
	bool duplicate; /* every message arrives twice, the second one late */
	int64_t partial_ms;
	int64_t longest_partial_ms;
	int starts;
};

static bool
server_is(const world_t *world, int member, const char *state)
{
	return world->servers[member].state ==
	       chart_state(world->task_chart, state);
}

static void
send_message(world_t *world, message_t message)
{
	message.due_ms = world->now_ms + TICK_MS;
	g_array_append_val(world->messages, message);
	if (world->duplicate) {
		message.due_ms += 7 * TICK_MS;
		g_array_append_val(world->messages, message);
	}
}

/* Carries out a call on a backend server as docs/INTERFACES.md says. */
static gang_answer_t
serve(world_t *world, int member, gang_action_kind_t kind)
{
	server_t *server = &world->servers[member];
	int before = server->state;

	if (server->refuses && kind != GANG_STOP && kind != GANG_POLL) {
		server->refuses = false;
		return GANG_REFUSED;
	}
	switch (kind) {
	case GANG_RESERVE:
		if (chart_step(world->task_chart, &server->state, "reserve") ==
		    0) {
			server->lease_ms = world->now_ms + GANG_LEASE_MS;
			server->was_reserved = true;
		}
		break;
	case GANG_START:
		if (chart_step(world->task_chart, &server->state, "start") ==
		    0) {
			ck_assert_msg(
			    !server->ran, "member %d ran twice", member);
			server->ran = true;
			for (int m = 0; m < MEMBERS; m++)
				ck_assert_msg(world->servers[m].was_reserved,
				    "member %d started before member %d was "
				    "reserved",
				    member, m);
			world->starts++;
			server->lease_ms = world->now_ms + GANG_LEASE_MS;
			server->end_ms = world->now_ms + RUN_MS;
		}
		break;
	case GANG_RENEW:
		if (server_is(world, member, "reserved") ||
		    server_is(world, member, "running"))
			server->lease_ms = world->now_ms + GANG_LEASE_MS;
		else
			return GANG_IS_STOPPED;
		break;
	case GANG_STOP:
		chart_step(world->task_chart, &server->state, "stop");
		break;
	default:
		break;
	}
	if (before == chart_state(world->task_chart, "unknown") &&
	    server->state == before)
		return GANG_IS_STOPPED;
	if (server_is(world, member, "reserved"))
		return GANG_IS_RESERVED;
	if (server_is(world, member, "running"))
		return GANG_IS_RUNNING;
	return server_is(world, member, "done") ? GANG_IS_DONE
						: GANG_IS_STOPPED;
}

/* Tells every placer with a connection to the log what it applied. */
static void
tell_placers(world_t *world)
{
	for (int p = 0; p < 2; p++) {
		placer_t *placer = &world->placers[p];

		if (placer->alive && !placer->isolated &&
		    placer->paused_until_ms <= world->now_ms &&
		    placer->gang != NULL)
			gang_logged(placer->gang,
			    chart_state_name(
				world->job_chart, world->job_state),
			    world->now_ms);
	}
}

/* Applies a proposal as the replicated state machine does. */
static int
apply(world_t *world, const placer_t *placer, const gang_action_t *action)
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

	if (placer->epoch != world->epoch)
		return -ESTALE;
	if (action->kind == GANG_PROPOSE_GO &&
	    world->job_state == chart_state(world->job_chart, "running"))
		return 0;
	if (chart_step(world->job_chart, &world->job_state, event) != 0)
		return -EALREADY;
	tell_placers(world);
	return 0;
}

static void
cancel_job(world_t *world)
{
	if (chart_step(world->job_chart, &world->job_state, "cancel") != 0)
		return;
	tell_placers(world);
}

static void
die(world_t *world, placer_t *placer)
{
	placer->alive = false;
	world->takeover_ms = world->now_ms + SUCCESSOR_AFTER_MS;
}

/* Lets the fault happen; returns whether the action is still carried out. */
static bool
fault_strikes(world_t *world, placer_t *placer, const gang_action_t *action)
{
	server_t *server =
	    action->member >= 0 ? &world->servers[action->member] : NULL;

	switch (world->fault) {
	case FAULT_DIES_BEFORE:
		die(world, placer);
		return false;
	case FAULT_DIES_AFTER:
		die(world, placer);
		return true;
	case FAULT_PAUSED:
		placer->paused_until_ms = world->now_ms + PAUSE_MS;
		world->takeover_ms = world->now_ms + SUCCESSOR_AFTER_MS;
		return true;
	case FAULT_ISOLATED:
		placer->isolated = true;
		world->takeover_ms = world->now_ms + SUCCESSOR_AFTER_MS;
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
			server->state =
			    chart_state(world->task_chart, "stopped");
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
	world_t *world = placer->world;

	if (!placer->alive || action->kind == GANG_OVER)
		return;
	if (placer->id == 0 && ++world->actions == world->fault_at &&
	    !fault_strikes(world, placer, action))
		return;
	send_message(world, (message_t){.placer = placer, .action = *action});
}

static void
deliver(world_t *world, const message_t *message)
{
	placer_t *placer = message->placer;
	message_t answer = *message;

	if (message->is_answer) {
		if (!placer->alive)
			return;
		if (message->action.kind <= GANG_PROPOSE_END)
			gang_proposed(placer->gang, message->action.kind,
			    message->code, world->now_ms);
		else
			gang_answered(placer->gang, message->action.member,
			    message->action.kind, message->answer,
			    world->now_ms);
		return;
	}
	answer.is_answer = true;
	if (message->action.kind <= GANG_PROPOSE_END) {
		answer.code = placer->isolated
				  ? -ETIMEDOUT
				  : apply(world, placer, &message->action);
	} else if (!world->servers[message->action.member]
			.reachable[placer->id]) {
		answer.answer = GANG_SILENT;
	} else {
		answer.answer =
		    serve(world, message->action.member, message->action.kind);
	}
	send_message(world, answer);
}

static void
take_over(world_t *world)
{
	placer_t *successor = &world->placers[1];

	world->takeover_ms = 0;
	world->epoch++;
	successor->alive = true;
	successor->epoch = world->epoch;
	successor->gang = gang_create(MEMBERS, act, successor);
	gang_resume(successor->gang,
	    chart_state_name(world->job_chart, world->job_state),
	    world->now_ms);
}

/* Moves the backend servers on and measures how long a part runs alone. */
static void
step_servers(world_t *world)
{
	int running = 0;
	int finished = 0;

	for (int m = 0; m < MEMBERS; m++) {
		server_t *server = &world->servers[m];

		if (server_is(world, m, "running") &&
		    world->now_ms >= server->end_ms)
			chart_step(world->task_chart, &server->state, "finish");
		if (world->now_ms >= server->lease_ms)
			chart_step(world->task_chart, &server->state, "expire");
		running += server_is(world, m, "running");
		finished += server_is(world, m, "done");
	}
	if (running == 0 || running + finished == MEMBERS)
		world->partial_ms = 0;
	else
		world->partial_ms += TICK_MS;
	world->longest_partial_ms =
	    MAX(world->longest_partial_ms, world->partial_ms);
}

static bool
is_paused(const placer_t *placer)
{
	return placer->world->now_ms < placer->paused_until_ms;
}

static void
step(world_t *world)
{
	world->now_ms += TICK_MS;
	step_servers(world);
	for (guint i = 0; i < world->messages->len;) {
		message_t message =
		    g_array_index(world->messages, message_t, i);

		if (message.due_ms > world->now_ms ||
		    (message.is_answer && is_paused(message.placer))) {
			i++;
			continue;
		}
		g_array_remove_index(world->messages, i);
		deliver(world, &message);
	}
	if (world->takeover_ms != 0 && world->now_ms >= world->takeover_ms)
		take_over(world);
	for (int p = 0; p < 2; p++) {
		if (world->placers[p].alive && !is_paused(&world->placers[p]) &&
		    world->placers[p].gang != NULL)
			gang_tick(world->placers[p].gang, world->now_ms);
	}
}

/* Runs one attempt to its end; returns the actions of the first placer. */
static int
run(fault_t fault, int at, bool duplicate)
{
	world_t world = {.task_chart = chart_builtin("task"),
	    .job_chart = chart_builtin("job"),
	    .epoch = 1,
	    .fault = fault,
	    .fault_at = at,
	    .duplicate = duplicate};
	bool triggered = false;
	bool done;
	int held = 0;

	world.messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	world.job_state = chart_initial(world.job_chart);
	for (int m = 0; m < MEMBERS; m++)
		world.servers[m] =
		    (server_t){.state = chart_initial(world.task_chart),
			.lease_ms = INT64_MAX,
			.reachable = {true, true}};
	for (int p = 0; p < 2; p++)
		world.placers[p] = (placer_t){.world = &world, .id = p};
	world.placers[0].alive = true;
	world.placers[0].epoch = 1;
	world.placers[0].gang = gang_create(MEMBERS, act, &world.placers[0]);
	gang_begin(world.placers[0].gang, 0);
	while (world.now_ms < END_MS) {
		step(&world);
		if (!triggered && at > 0 && world.actions >= at) {
			triggered = true;
			if (fault == FAULT_CANCELLED)
				cancel_job(&world);
			if (fault == FAULT_RECLAIMED)
				gang_reclaim(world.placers[0].gang, "test",
				    world.now_ms);
		}
	}
	done = world.job_state == chart_state(world.job_chart, "done");
	for (int m = 0; m < MEMBERS; m++) {
		held += server_is(&world, m, "reserved") ||
			server_is(&world, m, "running");
		ck_assert_msg(!done || server_is(&world, m, "done") ||
				  fault == FAULT_CRASHED,
		    "fault %d at %d: done without member %d", fault, at, m);
	}
	ck_assert_msg(held == 0, "fault %d at %d: %d members held at the end",
	    fault, at, held);
	ck_assert_msg(world.longest_partial_ms <= GANG_PARTIAL_MS,
	    "fault %d at %d: a part ran alone for %d ms", fault, at,
	    (int)world.longest_partial_ms);
	ck_assert_msg(
	    done ||
		world.job_state == chart_state(world.job_chart, "waiting") ||
		world.job_state == chart_state(world.job_chart, "cancelled"),
	    "fault %d at %d: job left %s", fault, at,
	    chart_state_name(world.job_chart, world.job_state));
	ck_assert_msg(done || fault != FAULT_NONE, "job not done");
	for (int p = 0; p < 2; p++) {
		ck_assert_msg(world.placers[p].gang == NULL ||
				  !world.placers[p].alive ||
				  gang_is_over(world.placers[p].gang) ||
				  world.placers[p].isolated,
		    "fault %d at %d: placer %d is not done", fault, at, p);
		gang_destroy(world.placers[p].gang);
	}
	g_array_unref(world.messages);
	return world.actions;
}

/* Guards against an undisturbed gang that does not run, once, to its end. */
START_TEST(undisturbed)
{
	int actions = run(FAULT_NONE, 0, false);

	ck_assert_int_gt(actions, 3 + 2 * MEMBERS);
	ck_assert_int_lt(actions, MAX_ACTIONS);
	run(FAULT_NONE, 0, true);
}
END_TEST

/*
 * Guards against a part of a gang that runs without the whole, and against
 * members that stay reserved, whatever goes wrong at any single step.
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
	tcase_add_test(tcase, undisturbed);
	tcase_add_test(tcase, every_fault_at_every_step);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
