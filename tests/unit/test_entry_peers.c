#include "tests/unit/entry_world.h"
#include "tests/unit/runner.h"

static int64_t
counter_of(const char *name)
{
	return counter_value(counter_get(name, ""));
}

#define REPEATABLE(tag, sleep_ms)                                         \
	"{\"tenant\":\"a\",\"repeatable\":true,\"input\":{\"tag\":\"" tag \
	"\",\"sleep_ms\":" #sleep_ms "}}"
#define PLAN(tag, sleep_ms)                           \
	"{\"tenant\":\"a\",\"input\":{\"tag\":\"" tag \
	"\",\"sleep_ms\":" #sleep_ms "}}"

/* Two instances; the worker is in the domain of the first, which owns it. */
static void
start_two(worker_t *worker, int slots)
{
	world_start(2, LONG_LEASE);
	worker_start(worker, "w1", "d1", slots);
	worker_announce(worker, 1);
	ck_assert_str_eq(machine_worker(fake.machine, "w1")->owner, "i1");
	/* The announcement reaches the owner, its share the other one. */
	turn(1500, NULL);
}

/* Guards against an instance without backend servers that serves nobody. */
START_TEST(forwarded)
{
	worker_t worker;
	call_t call;
	char path[200];

	start_two(&worker, 8);
	call_do(&call, 1, "POST", "/v1/requests", key_of(1), PLAN("p", 0));
	ck_assert_msg(call.status == 200, "%s", call.received->str);
	ck_assert_str_eq(text_of(&call, "worker"), "w1");
	ck_assert_str_eq(text_of(&call, "request"), call.id);
	g_snprintf(path, sizeof(path), "/v1/requests/%s", call.id);
	call_end(&call);
	ck_assert_int_eq(counter_of("forwards_total"), 1);
	ck_assert_int_eq(worker.unclaimed, 0);
	call_do(&call, 0, "GET", path, NULL, NULL);
	ck_assert_str_eq(text_of(&call, "state"), "done");
	call_end(&call);
	call_do(&call, 0, "GET", "/v1/requests/i2-5f-99", NULL, NULL);
	ck_assert_int_eq(call.status, 404);
	call_end(&call);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/*
 * Load pattern: short requests one after another at an instance without backend
 * servers.  Guards against slots of the other instance that count as taken
 * until it shares its numbers again, which it does once a second when they have
 * not changed.
 */
START_TEST(forwarded_in_series)
{
	int64_t start_ms;
	worker_t worker;
	call_t call;

	start_two(&worker, 8);
	start_ms = clock_mono_ms();
	for (int i = 0; i < 24; i++) {
		call_do(
		    &call, 1, "POST", "/v1/requests", NULL, REPEATABLE("p", 0));
		ck_assert_int_eq(call.status, 200);
		call_end(&call);
	}
	ck_assert_int_lt(clock_mono_ms() - start_ms, 1000);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against a second run when the other instance's answer gets lost. */
START_TEST(forward_answer_lost)
{
	worker_t worker;
	call_t call;

	start_two(&worker, 8);
	fake.instances[0].no_answer = true;
	call_start(&call, 1, "POST", "/v1/requests", key_of(1), PLAN("p", 200));
	turn(1000, &call.done);
	fake.instances[0].no_answer = false;
	call_wait(&call);
	ck_assert_msg(call.status == 200, "%s", call.received->str);
	call_end(&call);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against a cancellation that reaches the wrong instance. */
START_TEST(cancel_elsewhere)
{
	worker_t worker;
	call_t running;
	call_t call;

	start_two(&worker, 8);
	call_start(
	    &running, 1, "POST", "/v1/requests", key_of(1), PLAN("p", 20000));
	turn(200, NULL);
	ck_assert_int_eq(worker.running, 1);
	call_do(&call, 0, "DELETE", "/v1/requests/i2-5f-1", NULL, NULL);
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	call_wait(&running);
	ck_assert_int_eq(running.status, 409);
	ck_assert_str_eq(text_of(&running, "outcome"), "unknown");
	call_end(&running);
	ck_assert_int_eq(worker.running, 0);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against a second run of a plan whose instance crashed. */
START_TEST(instance_crashes)
{
	worker_t worker;
	call_t call;
	call_t again;

	start_two(&worker, 8);
	call_start(
	    &call, 0, "POST", "/v1/requests", key_of(1), PLAN("p", 1500));
	turn(200, NULL);
	ck_assert_int_eq(runs_of("p"), 1);
	fake_kill(0);
	call_end(&call);
	call_do(&again, 1, "POST", "/v1/requests", key_of(1), PLAN("p", 1500));
	ck_assert_msg(again.status == 200, "%s", again.received->str);
	call_end(&again);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against workers that stay with a dead owner, and against two owners
 * under one fence. */
START_TEST(owner_replaced)
{
	command_t command = {.kind = COMMAND_INSTANCE};
	command_result_t result;
	worker_t worker;
	call_t call;
	uint64_t fence;

	world_start(3, LONG_LEASE);
	worker_start(&worker, "w1", "d3", 8);
	worker_announce(&worker, 0);
	ck_assert_str_eq(machine_worker(fake.machine, "w1")->owner, "i3");
	fence = machine_worker(fake.machine, "w1")->fence;
	fake_kill(2);
	command.command_t_u.instance =
	    (instance_command_t){.id = "i3", .alive = false};
	fake_apply(&command, &result);
	machine_result_free(&result);
	turn(2000, NULL);
	ck_assert_str_ne(machine_worker(fake.machine, "w1")->owner, "i3");
	ck_assert_uint_gt(machine_worker(fake.machine, "w1")->fence, fence);
	worker_announce(&worker, 0);
	turn(1500, NULL);
	call_do(&call, 0, "POST", "/v1/requests", NULL, REPEATABLE("r", 0));
	ck_assert_msg(call.status == 200, "%s", call.received->str);
	call_end(&call);
	worker_stop(&worker);
	world_stop();
}
END_TEST

static void
on_drained(void *ctx)
{
	*(bool *)ctx = true;
}

/* Guards against a shutdown that interrupts requests or leaves backend servers
 * without an owner. */
START_TEST(drain)
{
	worker_t worker;
	call_t running[2];
	call_t call;
	bool drained = false;

	start_two(&worker, 8);
	call_start(
	    &running[0], 0, "POST", "/v1/requests", key_of(1), PLAN("p", 2000));
	call_start(&running[1], 1, "POST", "/v1/requests", NULL,
	    REPEATABLE("r", 2000));
	turn(200, NULL);
	ck_assert_int_eq(worker.running, 2);
	entry_drain(fake.instances[0].entry, on_drained, &drained);
	call_do(&call, 0, "GET", "/v1/ready", NULL, NULL);
	ck_assert_int_eq(call.status, 503);
	ck_assert_str_eq(text_of(&call, "error"), "draining");
	call_end(&call);
	call_do(&call, 0, "POST", "/v1/requests", NULL, REPEATABLE("x", 0));
	ck_assert_int_eq(call.status, 503);
	ck_assert_str_eq(text_of(&call, "outcome"), "did_not_run");
	call_end(&call);
	ck_assert(!drained);
	for (int i = 0; i < 2; i++) {
		call_wait(&running[i]);
		ck_assert_msg(
		    running[i].status == 200, "%s", running[i].received->str);
		call_end(&running[i]);
	}
	turn(GIVE_UP_S * 1000, &drained);
	ck_assert(drained);
	ck_assert_str_eq(machine_worker(fake.machine, "w1")->owner, "i2");
	ck_assert_int_eq(runs_of("p") + runs_of("r"), 2);
	worker_announce(&worker, 1);
	call_do(&call, 1, "POST", "/v1/requests", NULL, REPEATABLE("r", 0));
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against jobs that are submitted twice, shown to be something else, or
 * cancelled by other tenants. */
START_TEST(jobs)
{
	static const char body[] =
	    "{\"tenant\":\"a\",\"workspace\":\"w\",\"members\":2,"
	    "\"accelerators\":4,\"adjacency\":\"rack\"}";
	call_t call;
	char path[300];
	char id[200];

	world_start(2, LONG_LEASE);
	call_do(&call, 0, "POST", "/v1/jobs", NULL, body);
	ck_assert_int_eq(call.status, 422);
	call_end(&call);
	call_do(&call, 0, "POST", "/v1/jobs", key_of(1),
	    "{\"tenant\":\"a\",\"workspace\":\"w\",\"members\":65}");
	ck_assert_int_eq(call.status, 400);
	ck_assert_str_eq(text_of(&call, "path"), "/members");
	call_end(&call);
	call_do(&call, 0, "POST", "/v1/jobs", key_of(1), body);
	ck_assert_msg(call.status == 202, "%s", call.received->str);
	ck_assert_str_eq(text_of(&call, "state"), "waiting");
	g_strlcpy(id, text_of(&call, "job"), sizeof(id));
	call_end(&call);
	call_do(&call, 1, "POST", "/v1/jobs", key_of(1), body);
	ck_assert_int_eq(call.status, 202);
	ck_assert_str_eq(text_of(&call, "job"), id);
	call_end(&call);
	call_do(&call, 1, "POST", "/v1/jobs", key_of(1),
	    "{\"tenant\":\"a\",\"workspace\":\"w\"}");
	ck_assert_int_eq(call.status, 422);
	ck_assert_str_eq(text_of(&call, "error"), "key_reused");
	call_end(&call);
	g_snprintf(path, sizeof(path), "/v1/jobs/%s", id);
	call_do(&call, 1, "GET", path, NULL, NULL);
	ck_assert_int_eq(call.status, 200);
	ck_assert_str_eq(text_of(&call, "tenant"), "a");
	call_end(&call);
	g_snprintf(path, sizeof(path), "/v1/jobs/%s/result", id);
	call_do(&call, 1, "GET", path, NULL, NULL);
	ck_assert_int_eq(call.status, 202);
	call_end(&call);
	g_snprintf(path, sizeof(path), "/v1/jobs/%s?tenant=b", id);
	call_do(&call, 0, "DELETE", path, NULL, NULL);
	ck_assert_int_eq(call.status, 403);
	call_end(&call);
	g_snprintf(path, sizeof(path), "/v1/jobs/%s?tenant=a", id);
	call_do(&call, 0, "DELETE", path, NULL, NULL);
	ck_assert_int_eq(call.status, 202);
	ck_assert_str_eq(text_of(&call, "state"), "cancelled");
	call_end(&call);
	g_snprintf(path, sizeof(path), "/v1/jobs/%s/result", id);
	call_do(&call, 0, "GET", path, NULL, NULL);
	ck_assert_int_eq(call.status, 409);
	ck_assert_str_eq(text_of(&call, "outcome"), "did_not_run");
	call_end(&call);
	call_do(&call, 0, "GET", "/v1/jobs/other", NULL, NULL);
	ck_assert_int_eq(call.status, 404);
	call_end(&call);
	fake.commit = COMMIT_REFUSED;
	call_do(&call, 0, "POST", "/v1/jobs", key_of(2), body);
	ck_assert_int_eq(call.status, 503);
	ck_assert_str_eq(text_of(&call, "outcome"), "did_not_run");
	call_end(&call);
	world_stop();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("entry_peers");
	TCase *tcase = tcase_create("entry_peers");

	loop = ev_default_loop(0);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, forwarded);
	tcase_add_test(tcase, forwarded_in_series);
	tcase_add_test(tcase, forward_answer_lost);
	tcase_add_test(tcase, cancel_elsewhere);
	tcase_add_test(tcase, instance_crashes);
	tcase_add_test(tcase, owner_replaced);
	tcase_add_test(tcase, drain);
	tcase_add_test(tcase, jobs);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
