#include "tests/unit/entry_world.h"
#include "tests/unit/runner.h"

#include <xxhash.h>

static void
check_error(call_t *call, int status, const char *outcome, const char *error)
{
	ck_assert_msg(call->status == status &&
			  strcmp(text_of(call, "outcome"), outcome) == 0 &&
			  strcmp(text_of(call, "error"), error) == 0,
	    "expected %d %s %s, found %s", status, outcome, error,
	    call->received->str);
	call_end(call);
}

/* Guards against a lost or changed result, and a status that says otherwise. */
START_TEST(repeatable_round_trip)
{
	worker_t worker;
	call_t call;
	char path[200];

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	call_do(&call, 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true,"
	    "\"input\":{\"tag\":\"t\",\"x\":[1,2]}}");
	ck_assert_int_eq(call.status, 200);
	ck_assert_str_eq(text_of(&call, "outcome"), "done");
	ck_assert_str_eq(text_of(&call, "worker"), "w1");
	ck_assert_str_eq(text_of(&call, "request"), call.id);
	ck_assert_int_eq(json_array_size(json_object_get(
			     json_object_get(call.body, "result"), "x")),
	    2);
	ck_assert_int_eq(runs_of("t"), 1);
	ck_assert_int_eq(fake.claims_proposed, 0);
	g_snprintf(path, sizeof(path), "/v1/requests/%s", call.id);
	call_end(&call);
	call_do(&call, 0, "GET", path, NULL, NULL);
	ck_assert_int_eq(call.status, 200);
	ck_assert_str_eq(text_of(&call, "state"), "done");
	ck_assert_ptr_nonnull(json_object_get(call.body, "result"));
	call_end(&call);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against bodies that are half understood. */
START_TEST(bad_requests)
{
	call_t call;

	world_start(1, LONG_LEASE);
	call_do(&call, 0, "POST", "/v1/requests", NULL, "{\"tenant\":");
	check_error(&call, 400, "did_not_run", "bad_request");
	call_do(&call, 0, "POST", "/v1/requests", NULL, "{\"tenant\":\"a b\"}");
	ck_assert_str_eq(text_of(&call, "path"), "/tenant");
	check_error(&call, 400, "did_not_run", "bad_request");
	call_do(&call, 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"unknown\":1}");
	ck_assert_str_eq(text_of(&call, "path"), "/unknown");
	check_error(&call, 400, "did_not_run", "bad_request");
	call_do(&call, 0, "POST", "/v1/requests", NULL, "{\"tenant\":\"a\"}");
	check_error(&call, 422, "did_not_run", "key_malformed");
	call_do(
	    &call, 0, "POST", "/v1/requests", "17-short", "{\"tenant\":\"a\"}");
	check_error(&call, 422, "did_not_run", "key_malformed");
	call_do(&call, 0, "POST", "/v1/requests", "17-longenough",
	    "{\"tenant\":\"a\"}");
	check_error(&call, 422, "did_not_run", "key_expired");
	call_do(&call, 0, "GET", "/v1/other", NULL, NULL);
	check_error(&call, 404, "did_not_run", "not_found");
	call_do(&call, 0, "DELETE", "/v1/requests", NULL, NULL);
	check_error(&call, 405, "did_not_run", "bad_method");
	call_do(&call, 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true}");
	check_error(&call, 503, "did_not_run", "no_backend");
	fake.starting = true;
	call_do(&call, 0, "GET", "/v1/ready", NULL, NULL);
	check_error(&call, 503, "did_not_run", "starting");
	call_do(&call, 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true}");
	check_error(&call, 503, "did_not_run", "starting");
	world_stop();
}
END_TEST

#define PLAN(tag, sleep_ms)                           \
	"{\"tenant\":\"a\",\"input\":{\"tag\":\"" tag \
	"\",\"sleep_ms\":" #sleep_ms "}}"

/* Guards against dispatch before the claim is committed, and second runs. */
START_TEST(claim_before_dispatch)
{
	worker_t worker;
	call_t call;
	char *first;

	world_start(2, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 0));
	ck_assert_int_eq(call.status, 200);
	first = g_strdup(text_of(&call, "request"));
	call_end(&call);
	for (int instance = 0; instance < 2; instance++) {
		call_do(&call, instance, "POST", "/v1/requests", key_of(1),
		    PLAN("p", 0));
		ck_assert_int_eq(call.status, 200);
		ck_assert_str_eq(text_of(&call, "request"), first);
		call_end(&call);
		call_do(&call, instance, "POST", "/v1/requests", key_of(1),
		    PLAN("q", 0));
		check_error(&call, 422, "did_not_run", "key_reused");
	}
	ck_assert_int_eq(runs_of("p"), 1);
	ck_assert_int_eq(runs_of("q"), 0);
	ck_assert_int_eq(worker.unclaimed, 0);
	g_free(first);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against a second run when the key is resent while the first runs. */
START_TEST(resend_while_running)
{
	worker_t worker;
	call_t call[3];

	world_start(2, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	call_start(
	    &call[0], 0, "POST", "/v1/requests", key_of(1), PLAN("p", 300));
	turn(100, NULL);
	call_start(
	    &call[1], 0, "POST", "/v1/requests", key_of(1), PLAN("p", 300));
	call_start(
	    &call[2], 1, "POST", "/v1/requests", key_of(1), PLAN("p", 300));
	for (int i = 0; i < 3; i++) {
		call_wait(&call[i]);
		ck_assert_int_eq(call[i].status, 200);
		ck_assert_str_eq(text_of(&call[i], "outcome"), "done");
		call_end(&call[i]);
	}
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against running without a majority, and refusing what needs none. */
START_TEST(no_majority)
{
	worker_t worker;
	call_t call;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	fake.commit = COMMIT_REFUSED;
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 0));
	check_error(&call, 503, "did_not_run", "no_quorum");
	fake.commit = COMMIT_WITHOUT_ANSWER;
	call_do(&call, 0, "POST", "/v1/requests", key_of(2), PLAN("p", 0));
	check_error(&call, 503, "did_not_run", "no_quorum");
	fake.commit = COMMIT;
	fake.confirmed = false;
	call_do(&call, 0, "POST", "/v1/requests", key_of(3), PLAN("p", 0));
	check_error(&call, 503, "did_not_run", "no_quorum");
	ck_assert_int_eq(worker.puts, 0);
	call_do(&call, 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true}");
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	/* With the majority back the same keys can be used. */
	fake.confirmed = true;
	for (int i = 1; i <= 3; i++) {
		call_do(
		    &call, 0, "POST", "/v1/requests", key_of(i), PLAN("p", 0));
		ck_assert_msg(call.status == 200, "%s", call.received->str);
		call_end(&call);
	}
	ck_assert_int_eq(runs_of("p"), 3);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/*
 * Guards against "did not run" about a key that was sent before: the instance
 * that refuses the resend does not know what became of the first sending.
 */
START_TEST(refused_resend)
{
	worker_t worker;
	call_t call;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	calls_are_resent = true;
	fake.confirmed = false;
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 0));
	check_error(&call, 503, "unknown", "no_quorum");
	calls_are_resent = false;
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 0));
	check_error(&call, 503, "did_not_run", "no_quorum");
	fake.confirmed = true;
	ck_assert_int_eq(worker.puts, 0);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against a rerun of a task whose answer got lost. */
START_TEST(answer_lost)
{
	worker_t worker[2];
	call_t call;

	world_start(1, LONG_LEASE);
	for (int i = 0; i < 2; i++) {
		worker_start(&worker[i], i ? "w2" : "w1", "d1", 8);
		worker[i].answers_lost = true;
		worker_announce(&worker[i], 0);
	}
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 50));
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	call_do(&call, 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true,\"declared_ms\":10,"
	    "\"input\":{\"tag\":\"r\"}}");
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	ck_assert_int_eq(runs_of("p"), 1);
	ck_assert_int_eq(runs_of("r"), 1);
	worker_stop(&worker[0]);
	worker_stop(&worker[1]);
	world_stop();
}
END_TEST

/* Guards against giving up a request that never arrived, and against its late
 * arrival: the id is stopped first. */
START_TEST(request_lost)
{
	worker_t worker;
	call_t call;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker.requests_lost = true;
	worker_announce(&worker, 0);
	call_start(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 0));
	turn(1500, &call.done);
	worker.requests_lost = false;
	call_wait(&call);
	ck_assert_msg(call.status == 200, "%s", call.received->str);
	call_end(&call);
	ck_assert_int_eq(worker.stops, 1);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against taking "never seen" for "did not run" after a restart. */
START_TEST(worker_restarted)
{
	worker_t worker;
	call_t call;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker.answers_lost = true;
	worker_announce(&worker, 0);
	call_start(
	    &call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 5000));
	turn(300, &call.done);
	ck_assert_int_eq(runs_of("p"), 1);
	worker.answers_lost = false;
	worker_restart(&worker);
	turn(1500, &call.done); /* asked and stopped before the announcement */
	worker_announce(&worker, 0);
	call_wait(&call);
	check_error(&call, 502, "unknown", "backend_failed");
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 5000));
	ck_assert_str_eq(text_of(&call, "outcome"), "unknown");
	call_end(&call);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

static void
claim_by_hand(int key, const char *body, int64_t age_ms)
{
	command_t command = {.kind = COMMAND_CLAIM};
	command_result_t result;

	command.command_t_u.claim = (claim_command_t){
	    .tenant = "a",
	    .key = (char *)key_of(key),
	    .digest = XXH3_64bits(body, strlen(body)),
	    .task = "i9-1-1.1.1",
	    .worker = "w1",
	    .instance = "i9",
	    .time_ms = clock_real_ms() - age_ms,
	};
	fake_apply(&command, &result);
	ck_assert_int_eq(result.code, 0);
	machine_result_free(&result);
}

/* Guards against a second run when the claiming instance is lost: the backend
 * server is asked, and an answer that it gives for forgotten tasks too counts
 * only while it can't have forgotten. */
START_TEST(claiming_instance_lost)
{
	static const char body[] = PLAN("p", 0);
	worker_t worker;
	call_t call;
	task_run_t *task;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	claim_by_hand(1, body, 600000);
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), body);
	check_error(&call, 502, "unknown", "backend_failed");
	ck_assert_int_eq(runs_of("p"), 0);
	claim_by_hand(2, body, 1000);
	call_do(&call, 0, "POST", "/v1/requests", key_of(2), body);
	ck_assert_msg(call.status == 200, "%s", call.received->str);
	call_end(&call);
	ck_assert_int_eq(worker.stops, 1);
	ck_assert_int_eq(runs_of("p"), 1);
	/* The late PUT of the lost instance finds its id stopped. */
	task = g_hash_table_lookup(worker.tasks, "i9-1-1.1.1");
	ck_assert_str_eq(task->state, "stopped");
	/* Done there: its result is the answer. */
	g_hash_table_remove(worker.tasks, "i9-1-1.1.1");
	task = task_add(&worker, "i9-1-1.1.1");
	task->state = "done";
	task->ran = true;
	claim_by_hand(3, body, 1000);
	call_do(&call, 0, "POST", "/v1/requests", key_of(3), body);
	ck_assert_msg(call.status == 200, "%s", call.received->str);
	call_end(&call);
	ck_assert_int_eq(runs_of("p"), 1);
	/* It can't be asked. */
	worker.unreachable = true;
	claim_by_hand(4, body, 1000);
	call_do(&call, 0, "POST", "/v1/requests", key_of(4), body);
	check_error(&call, 502, "unknown", "backend_failed");
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against an answer that claims more than is known at the deadline. */
START_TEST(deadlines)
{
	worker_t worker;
	call_t call[3];

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 1);
	worker_announce(&worker, 0);
	call_start(&call[0], 0, "POST", "/v1/requests", key_of(1),
	    "{\"tenant\":\"a\",\"deadline_ms\":300,"
	    "\"input\":{\"tag\":\"p\",\"sleep_ms\":800}}");
	turn(100, NULL);
	call_start(&call[1], 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true,\"deadline_ms\":100,"
	    "\"input\":{\"tag\":\"q\"}}");
	call_wait(&call[0]);
	call_wait(&call[1]);
	check_error(&call[0], 504, "unknown", "timeout");
	check_error(&call[1], 504, "did_not_run", "timeout");
	/* It went on, and the key gives its result. */
	call_do(&call[2], 0, "POST", "/v1/requests", key_of(1),
	    "{\"tenant\":\"a\",\"deadline_ms\":300,"
	    "\"input\":{\"tag\":\"p\",\"sleep_ms\":800}}");
	if (call[2].status == 504) {
		call_end(&call[2]);
		turn(600, NULL);
		call_do(&call[2], 0, "POST", "/v1/requests", key_of(1),
		    "{\"tenant\":\"a\",\"deadline_ms\":300,"
		    "\"input\":{\"tag\":\"p\",\"sleep_ms\":800}}");
	}
	ck_assert_msg(call[2].status == 200, "%s", call[2].received->str);
	call_end(&call[2]);
	ck_assert_int_eq(runs_of("p"), 1);
	ck_assert_int_eq(runs_of("q"), 0);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against cancelled requests that run, or are said not to have run. */
START_TEST(cancel)
{
	worker_t worker;
	call_t running;
	call_t queued;
	call_t call;
	char path[200];

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 1);
	worker_announce(&worker, 0);
	call_start(
	    &running, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 20000));
	turn(100, NULL);
	call_start(&queued, 0, "POST", "/v1/requests", key_of(2), PLAN("q", 0));
	turn(100, NULL);
	g_snprintf(path, sizeof(path), "/v1/requests/i1-5f-2");
	call_do(&call, 0, "GET", path, NULL, NULL);
	ck_assert_str_eq(text_of(&call, "state"), "queued");
	call_end(&call);
	call_do(&call, 0, "DELETE", path, NULL, NULL);
	ck_assert_int_eq(call.status, 200);
	ck_assert_str_eq(text_of(&call, "state"), "did_not_run");
	call_end(&call);
	call_wait(&queued);
	check_error(&queued, 409, "did_not_run", "cancelled");
	call_do(&call, 0, "DELETE", "/v1/requests/i1-5f-1", NULL, NULL);
	ck_assert_int_eq(call.status, 200);
	ck_assert_str_eq(text_of(&call, "state"), "unknown");
	call_end(&call);
	call_wait(&running);
	check_error(&running, 409, "unknown", "cancelled");
	ck_assert_int_eq(worker.running, 0);
	/* It had started: the key must not start it again. */
	call_do(&call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 20000));
	check_error(&call, 409, "unknown", "cancelled");
	ck_assert_int_eq(runs_of("p"), 1);
	ck_assert_int_eq(runs_of("q"), 0);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against work for callers that have gone, and against stopping what
 * may not be repeated. */
START_TEST(caller_gone)
{
	worker_t worker;
	call_t call[2];

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	call_start(&call[0], 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true,"
	    "\"input\":{\"tag\":\"r\",\"sleep_ms\":20000}}");
	call_start(
	    &call[1], 0, "POST", "/v1/requests", key_of(1), PLAN("p", 2000));
	turn(200, NULL);
	ck_assert_int_eq(worker.running, 2);
	call_end(&call[0]);
	call_end(&call[1]);
	turn(300, NULL);
	ck_assert_int_eq(worker.running, 1);
	ck_assert_int_eq(worker.stops, 1);
	call_do(
	    &call[1], 0, "POST", "/v1/requests", key_of(1), PLAN("p", 2000));
	ck_assert_int_eq(call[1].status, 200);
	call_end(&call[1]);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("entry");
	TCase *tcase = tcase_create("entry");

	loop = ev_default_loop(0);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, repeatable_round_trip);
	tcase_add_test(tcase, bad_requests);
	tcase_add_test(tcase, claim_before_dispatch);
	tcase_add_test(tcase, resend_while_running);
	tcase_add_test(tcase, no_majority);
	tcase_add_test(tcase, refused_resend);
	tcase_add_test(tcase, answer_lost);
	tcase_add_test(tcase, request_lost);
	tcase_add_test(tcase, worker_restarted);
	tcase_add_test(tcase, claiming_instance_lost);
	tcase_add_test(tcase, deadlines);
	tcase_add_test(tcase, cancel);
	tcase_add_test(tcase, caller_gone);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
