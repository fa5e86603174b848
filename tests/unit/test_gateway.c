#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock.h"
#include "rpc/endpoint.h"
#include "sched/gateway.h"
#include "tests/unit/runner.h"
#include "tests/unit/system.h"

#define TEST_TIMEOUT_S 60
#define DEADLINE_MS 20000

/*
 * Instance i1 (index 0) runs a gateway and is called the entry instance; i2 and
 * i3 (indexes 1 and 2) answer its calls.
 */
typedef struct {
	struct ev_loop *loop;
	system_t *system;
	endpoint_t *endpoints[3];
	gateway_t *gateway;
	settings_t *entry_settings; /* of i1; names only i2 as peer */
	batch_reply_t replies[3];
	/* In place of the reply after the first call that is no probe. */
	batch_answer_t later_answer;
	bool answers_differ;
	int served[3];
	int answers;
	gateway_outcome_t outcome;
	batch_answer_t answer;
	int pending_count; /* of the last answer */
} fixture_t;

typedef struct {
	fixture_t *fixture;
	int index;
} server_t;

static server_t servers[3];

static void
serve(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
	server_t *server = ctx;
	fixture_t *fixture = server->fixture;
	batch_reply_t *reply = &fixture->replies[server->index];

	fixture->served[server->index]++;
	if (request != NULL)
		endpoint_answer(request, reply);
	if (fixture->answers_differ &&
	    ((const batch_call_t *)args)->verb != BATCH_LEADER)
		reply->answer = fixture->later_answer;
}

static void
on_found(void *ctx, const settings_peer_t *peer)
{
	fixture_t *fixture = ctx;

	if (settings_add_peer(fixture->entry_settings, peer) == 0)
		endpoint_add_peer(fixture->endpoints[0],
		    settings_peer(fixture->entry_settings, peer->id));
}

static void
ignore_found(void *ctx, const settings_peer_t *peer)
{
}

static batch_reply_t
reply_of(batch_answer_t answer)
{
	return (batch_reply_t){.answer = answer,
	    .leader = {.id = (char *)"",
		.address = (char *)"",
		.domain = (char *)""},
	    .reason = (char *)""};
}

static void
forget_last_peer(settings_t *settings)
{
	settings_peer_t *last = &settings->peers[--settings->peer_count];

	g_free(last->id);
	g_free(last->address);
	g_free(last->failure_domain);
	memset(last, 0, sizeof(*last));
}

static void
fixture_open(fixture_t *fixture)
{
	err_t err;

	memset(fixture, 0, sizeof(*fixture));
	fixture->loop = ev_loop_new(0);
	fixture->system = system_create(3, 3, "");
	fixture->entry_settings = fixture->system->settings[0];
	fixture->entry_settings->role_replica = false;
	/* The entry instance's settings do not name i3. */
	forget_last_peer(fixture->entry_settings);
	/* The entry instance itself is no replica. */
	fixture->entry_settings->peers[0].is_replica = false;
	for (int i = 0; i < 3; i++) {
		servers[i] = (server_t){fixture, i};
		fixture->replies[i] = reply_of(BATCH_NOT_LEADER);
		fixture->endpoints[i] = endpoint_create(fixture->loop,
		    fixture->system->settings[i], 1, serve, &servers[i], &err);
		ck_assert_msg(fixture->endpoints[i] != NULL, "%s", err.text);
	}
	endpoint_on_found(fixture->endpoints[0], on_found, fixture);
	fixture->gateway = gateway_create(
	    fixture->loop, fixture->entry_settings, fixture->endpoints[0]);
}

static void
fixture_close(fixture_t *fixture)
{
	for (int i = 0; i < 3; i++)
		endpoint_destroy(fixture->endpoints[i]);
	gateway_destroy(fixture->gateway);
	/* system_destroy frees the peer that was added to the settings. */
	system_destroy(fixture->system);
	ev_loop_destroy(fixture->loop);
}

static void
on_answer(void *ctx, gateway_outcome_t outcome, const batch_reply_t *reply)
{
	fixture_t *fixture = ctx;

	fixture->answers++;
	fixture->outcome = outcome;
	fixture->answer = reply != NULL ? reply->answer : BATCH_UNCERTAIN;
	fixture->pending_count = reply != NULL ? reply->pending_count : -1;
}

static bool
is_answered(void *ctx)
{
	return ((fixture_t *)ctx)->answers > 0;
}

static bool
is_ready(void *ctx)
{
	return gateway_is_ready(((fixture_t *)ctx)->gateway);
}

static bool
is_second_connected(void *ctx)
{
	return endpoint_peer_is_up(((fixture_t *)ctx)->endpoints[0], "i2");
}

static void
call(fixture_t *fixture, batch_verb_t verb)
{
	batch_call_t call = {
	    .verb = verb,
	    .host = g_strdup("h"),
	    .path = g_strdup("/q/0"),
	    .api_key = g_strdup(""),
	    .spec.payload = {0, g_strdup("")},
	};

	gateway_call(fixture->gateway, &call, DEADLINE_MS, on_answer, fixture);
}

#define WAIT(fixture, met) \
	ck_assert(system_wait((fixture)->loop, (met), (fixture)))

/*
 * Guards against an entry instance that cannot find a leader missing from its
 * settings.  This came about after all instances lost power: the only peer
 * that the entry instance knew did not know the leader yet when they connected.
 */
START_TEST(leader_not_in_settings)
{
	fixture_t fixture;

	fixture_open(&fixture);
	endpoint_on_found(fixture.endpoints[1], ignore_found, NULL);
	endpoint_on_found(fixture.endpoints[2], ignore_found, NULL);
	fixture.replies[1].leader =
	    peer_info_of(settings_peer(fixture.system->settings[1], "i3"));
	fixture.replies[2] = reply_of(BATCH_ACCEPTED);
	WAIT(&fixture, is_second_connected);
	call(&fixture, BATCH_SUBMIT);
	WAIT(&fixture, is_answered);
	ck_assert_int_eq(fixture.outcome, GATEWAY_ANSWERED);
	ck_assert_int_eq(fixture.answer, BATCH_ACCEPTED);
	ck_assert_int_eq(fixture.answers, 1);
	WAIT(&fixture, is_ready);
	fixture_close(&fixture);
}
END_TEST

/*
 * Guards against a call that is retried until its deadline while no leader
 * confirms it, and against the outcome "not run" for a call whose result is
 * unknown: a leader that answers "uncertain" may have stored the job.
 */
START_TEST(uncertain_answer_is_unknown)
{
	fixture_t fixture;
	batch_call_t call = {
	    .verb = BATCH_SUBMIT,
	    .host = g_strdup("h"),
	    .path = g_strdup("/q/0"),
	    .api_key = g_strdup(""),
	    .spec.payload = {0, g_strdup("")},
	};
	int64_t since_ms;

	fixture_open(&fixture);
	endpoint_on_found(fixture.endpoints[1], ignore_found, NULL);
	fixture.replies[1] = reply_of(BATCH_UNCERTAIN);
	WAIT(&fixture, is_second_connected);
	since_ms = clock_mono_ms();
	gateway_call(fixture.gateway, &call, DEADLINE_MS, on_answer, &fixture);
	WAIT(&fixture, is_answered);
	/* The client has at least half of its time left for a retry. */
	ck_assert_int_lt(clock_mono_ms() - since_ms, DEADLINE_MS / 2);
	ck_assert_int_eq(fixture.outcome, GATEWAY_UNKNOWN);
	fixture_close(&fixture);
}
END_TEST

/*
 * Guards against a refusal that says "not accepted" about a job that may have
 * been stored by the first of two attempts. _i is the index of the refusal.
 */
START_TEST(refusal_after_uncertain_answer)
{
	static const batch_answer_t refusals[] = {
	    BATCH_REFUSED, BATCH_NO_CONFIG, BATCH_NO_QUEUE, BATCH_NO_KEY};
	fixture_t fixture;

	fixture_open(&fixture);
	endpoint_on_found(fixture.endpoints[1], ignore_found, NULL);
	fixture.replies[1] = reply_of(BATCH_UNCERTAIN);
	fixture.answers_differ = true;
	fixture.later_answer = refusals[_i];
	WAIT(&fixture, is_second_connected);
	call(&fixture, BATCH_SUBMIT);
	WAIT(&fixture, is_answered);
	ck_assert_int_eq(fixture.outcome, GATEWAY_UNKNOWN);
	fixture_close(&fixture);
}
END_TEST

/* Guards against calls that wait although no replica is connected. */
START_TEST(no_replica_connected)
{
	fixture_t fixture;

	fixture_open(&fixture);
	endpoint_destroy(fixture.endpoints[1]);
	endpoint_destroy(fixture.endpoints[2]);
	fixture.endpoints[1] = NULL;
	fixture.endpoints[2] = NULL;
	call(&fixture, BATCH_STATUS);
	ck_assert_int_eq(fixture.answers, 1);
	ck_assert_int_eq(fixture.outcome, GATEWAY_NOT_RUN);
	fixture_close(&fixture);
}
END_TEST

/* ---- a leader in a process of its own, which can be frozen ---- */

static void
serve_as_leader(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
	batch_reply_t reply = reply_of(BATCH_PENDING_COUNT);
	int *submits = ctx;

	*submits += ((const batch_call_t *)args)->verb == BATCH_SUBMIT;
	reply.pending_count = *submits;
	endpoint_answer(request, &reply);
}

/*
 * Starts a process in which i2 answers every call as the leader, with the
 * number of submitted jobs that reached it.
 */
static pid_t
start_leader(const fixture_t *fixture)
{
	struct ev_loop *loop;
	pid_t pid = fork();
	int submits = 0;
	err_t err;

	if (pid != 0)
		return pid;
	loop = ev_loop_new(0);
	endpoint_create(loop, fixture->system->settings[1], 2, serve_as_leader,
	    &submits, &err);
	ev_run(loop, 0);
	_exit(0);
}

static void
run_for(fixture_t *fixture, int64_t ms)
{
	int64_t end_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < end_ms) {
		ev_run(fixture->loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

/*
 * Guards against a call that is sent to a leader that has just frozen or lost
 * power: nobody knows its outcome then, and the caller cannot be told that it
 * did not run.
 */
START_TEST(silent_leader_gets_no_call)
{
	fixture_t fixture;
	pid_t leader;

	fixture_open(&fixture);
	endpoint_destroy(fixture.endpoints[1]);
	fixture.endpoints[1] = NULL;
	leader = start_leader(&fixture);
	ck_assert_int_gt(leader, 0);
	WAIT(&fixture, is_ready);
	kill(leader, SIGSTOP);
	run_for(&fixture, 300);
	call(&fixture, BATCH_SUBMIT);
	WAIT(&fixture, is_answered);
	ck_assert_int_eq(fixture.outcome, GATEWAY_NOT_RUN);
	kill(leader, SIGCONT);
	WAIT(&fixture, is_second_connected);
	WAIT(&fixture, is_ready);
	fixture.answers = 0;
	call(&fixture, BATCH_STATUS);
	WAIT(&fixture, is_answered);
	ck_assert_int_eq(fixture.outcome, GATEWAY_ANSWERED);
	ck_assert_int_eq(fixture.pending_count, 0);
	kill(leader, SIGKILL);
	waitpid(leader, NULL, 0);
	fixture_close(&fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("gateway");
	TCase *tcase = tcase_create("gateway");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, leader_not_in_settings);
	tcase_add_test(tcase, uncertain_answer_is_unknown);
	tcase_add_loop_test(tcase, refusal_after_uncertain_answer, 0, 4);
	tcase_add_test(tcase, no_replica_connected);
	tcase_add_test(tcase, silent_leader_gets_no_call);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
