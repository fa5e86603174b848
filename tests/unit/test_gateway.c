#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "rpc/endpoint.h"
#include "sched/gateway.h"
#include "tests/unit/runner.h"
#include "tests/unit/system.h"

#define TEST_TIMEOUT_S 60
#define DEADLINE_MS 20000

/* Instance 1 has a gateway; 2 and 3 serve its calls. */
typedef struct {
	struct ev_loop *loop;
	system_t *system;
	endpoint_t *endpoints[3];
	gateway_t *gateway;
	settings_t *entry; /* settings of instance 1, which name only 2 */
	batch_reply_t replies[3];
	int served[3];
	int answers;
	gateway_outcome_t outcome;
	batch_answer_t answer;
} bed_t;

typedef struct {
	bed_t *bed;
	int index;
} server_t;

static server_t servers[3];

static void
serve(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
	server_t *server = ctx;
	bed_t *bed = server->bed;

	bed->served[server->index]++;
	if (request != NULL)
		endpoint_answer(request, &bed->replies[server->index]);
}

static void
on_found(void *ctx, const settings_peer_t *peer)
{
	bed_t *bed = ctx;

	if (settings_add_peer(bed->entry, peer) == 0)
		endpoint_add_peer(
		    bed->endpoints[0], settings_peer(bed->entry, peer->id));
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
bed_open(bed_t *bed)
{
	err_t err;

	memset(bed, 0, sizeof(*bed));
	bed->loop = ev_loop_new(0);
	bed->system = system_create(3, 3, "");
	bed->entry = bed->system->settings[0];
	bed->entry->role_replica = false;
	/* The seeds of the entry instance do not name instance 3. */
	forget_last_peer(bed->entry);
	bed->entry->peers[0].is_replica = false;
	for (int i = 0; i < 3; i++) {
		servers[i] = (server_t){bed, i};
		bed->replies[i] = reply_of(BATCH_NOT_LEADER);
		bed->endpoints[i] = endpoint_create(bed->loop,
		    bed->system->settings[i], 1, serve, &servers[i], &err);
		ck_assert_msg(bed->endpoints[i] != NULL, "%s", err.text);
	}
	endpoint_on_found(bed->endpoints[0], on_found, bed);
	bed->gateway = gateway_create(bed->loop, bed->entry, bed->endpoints[0]);
}

static void
bed_close(bed_t *bed)
{
	for (int i = 0; i < 3; i++)
		endpoint_destroy(bed->endpoints[i]);
	gateway_destroy(bed->gateway);
	/* The copied peer is freed with the settings of the system. */
	system_destroy(bed->system);
	ev_loop_destroy(bed->loop);
}

static void
on_answer(void *ctx, gateway_outcome_t outcome, const batch_reply_t *reply)
{
	bed_t *bed = ctx;

	bed->answers++;
	bed->outcome = outcome;
	bed->answer = reply != NULL ? reply->answer : BATCH_UNCERTAIN;
}

static bool
is_answered(void *ctx)
{
	return ((bed_t *)ctx)->answers > 0;
}

static bool
is_ready(void *ctx)
{
	return gateway_is_ready(((bed_t *)ctx)->gateway);
}

static bool
sees_second(void *ctx)
{
	return endpoint_peer_is_up(((bed_t *)ctx)->endpoints[0], "i2");
}

static void
call(bed_t *bed, batch_verb_t verb)
{
	batch_call_t call = {
	    .verb = verb,
	    .host = g_strdup("h"),
	    .path = g_strdup("/q/0"),
	    .api_key = g_strdup(""),
	    .spec.payload = {0, g_strdup("")},
	};

	gateway_call(bed->gateway, &call, DEADLINE_MS, on_answer, bed);
}

#define WAIT(bed, met) ck_assert(system_wait((bed)->loop, (met), (bed)))

/*
 * Guards against an entry instance that cannot find a leader which its seeds do
 * not name: after a loss of power everywhere, the instance that it knew had not
 * heard of the leader when the two connected.
 */
START_TEST(unknown_leader)
{
	bed_t bed;

	bed_open(&bed);
	endpoint_on_found(bed.endpoints[1], ignore_found, NULL);
	endpoint_on_found(bed.endpoints[2], ignore_found, NULL);
	bed.replies[1].leader =
	    peer_info_of(settings_peer(bed.system->settings[1], "i3"));
	bed.replies[2] = reply_of(BATCH_ACCEPTED);
	WAIT(&bed, sees_second);
	call(&bed, BATCH_SUBMIT);
	WAIT(&bed, is_answered);
	ck_assert_int_eq(bed.outcome, GATEWAY_ANSWERED);
	ck_assert_int_eq(bed.answer, BATCH_ACCEPTED);
	ck_assert_int_eq(bed.answers, 1);
	WAIT(&bed, is_ready);
	bed_close(&bed);
}
END_TEST

/*
 * Guards against a call that is held until its deadline while no leader
 * answers, and against a refusal that says "not run" for a call whose fate is
 * not known: a leader that answers "uncertain" may have stored the job.
 */
START_TEST(uncertain_is_unknown)
{
	bed_t bed;
	batch_call_t call = {
	    .verb = BATCH_SUBMIT,
	    .host = g_strdup("h"),
	    .path = g_strdup("/q/0"),
	    .api_key = g_strdup(""),
	    .spec.payload = {0, g_strdup("")},
	};
	int64_t since_ms;

	bed_open(&bed);
	endpoint_on_found(bed.endpoints[1], ignore_found, NULL);
	bed.replies[1] = reply_of(BATCH_UNCERTAIN);
	WAIT(&bed, sees_second);
	since_ms = clock_mono_ms();
	gateway_call(bed.gateway, &call, DEADLINE_MS, on_answer, &bed);
	WAIT(&bed, is_answered);
	/* The caller keeps half of its time to ask again. */
	ck_assert_int_lt(clock_mono_ms() - since_ms, DEADLINE_MS / 2);
	ck_assert_int_eq(bed.outcome, GATEWAY_UNKNOWN);
	bed_close(&bed);
}
END_TEST

/* Guards against calls that wait although no instance can be reached. */
START_TEST(cut_off)
{
	bed_t bed;

	bed_open(&bed);
	endpoint_destroy(bed.endpoints[1]);
	endpoint_destroy(bed.endpoints[2]);
	bed.endpoints[1] = NULL;
	bed.endpoints[2] = NULL;
	call(&bed, BATCH_STATUS);
	ck_assert_int_eq(bed.answers, 1);
	ck_assert_int_eq(bed.outcome, GATEWAY_NOT_RUN);
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("gateway");
	TCase *tcase = tcase_create("gateway");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, unknown_leader);
	tcase_add_test(tcase, uncertain_is_unknown);
	tcase_add_test(tcase, cut_off);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
