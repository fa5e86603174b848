#include "tests/unit/entry_world.h"
#include "tests/unit/runner.h"

#define MAX_CALLS 40

static call_t calls[MAX_CALLS];

#define REPEATABLE(tag, declared_ms, sleep_ms)                                \
	"{\"tenant\":\"a\",\"repeatable\":true,\"declared_ms\":" #declared_ms \
	",\"deadline_ms\":60000,\"input\":{\"tag\":\"" tag                    \
	"\",\"sleep_ms\":" #sleep_ms "}}"

static void
start_calls(int from, int to, const char *body)
{
	for (int i = from; i < to; i++)
		call_start(&calls[i], 0, "POST", "/v1/requests", NULL, body);
}

static int
end_calls(int from, int to, int status)
{
	int count = 0;

	for (int i = from; i < to; i++) {
		call_wait(&calls[i]);
		count += calls[i].status == status;
		call_end(&calls[i]);
	}
	return count;
}

static int64_t
counter_of(const char *name)
{
	return counter_value(counter_get(name, ""));
}

/* Guards against batch work in the slots kept for short requests, and against
 * more tasks than slots. */
START_TEST(batch_leaves_room)
{
	worker_t worker;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	start_calls(0, 12, REPEATABLE("batch", 5000, 2000));
	turn(200, NULL);
	ck_assert_int_eq(worker.running, 6);
	start_calls(12, 22, REPEATABLE("short", 100, 0));
	ck_assert_int_eq(end_calls(12, 22, 200), 10);
	ck_assert_int_eq(runs_of("batch"), 6);
	ck_assert_int_eq(end_calls(0, 12, 200), 12);
	ck_assert_int_le(worker.max_running, 8);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against losing or repeating a request that a full server refused. */
START_TEST(busy_server)
{
	worker_t worker;
	call_t call;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker.busy_next = 2;
	worker_announce(&worker, 0);
	call_do(&call, 0, "POST", "/v1/requests", key_of(1),
	    "{\"tenant\":\"a\",\"input\":{\"tag\":\"p\"}}");
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	ck_assert_int_eq(worker.puts, 3);
	ck_assert_int_eq(worker.unclaimed, 0);
	ck_assert_int_eq(runs_of("p"), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against blaming servers for a request that fails everywhere, and
 * against trying it on all of them. */
START_TEST(bad_request_blamed)
{
	worker_t worker[4];
	int puts = 0;

	world_start(1, LONG_LEASE);
	for (int i = 0; i < 4; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		worker_start(&worker[i], id, "d1", 8);
		worker[i].fail_all = true;
		worker_announce(&worker[i], 0);
	}
	start_calls(0, 1, REPEATABLE("bad", 100, 0));
	call_wait(&calls[0]);
	ck_assert_int_eq(calls[0].status, 502);
	ck_assert_str_eq(text_of(&calls[0], "outcome"), "done");
	call_end(&calls[0]);
	for (int i = 0; i < 4; i++)
		puts += worker[i].puts;
	ck_assert_int_eq(puts, 2);
	ck_assert_int_eq(counter_of("quarantines_total"), 0);
	for (int i = 0; i < 4; i++)
		worker_stop(&worker[i]);
	world_stop();
}
END_TEST

/* Guards against a faulty server that keeps failing requests which others
 * could have served. */
START_TEST(bad_server_quarantined)
{
	worker_t worker[2];

	world_start(1, LONG_LEASE);
	for (int i = 0; i < 2; i++) {
		worker_start(&worker[i], i ? "w2" : "w1", "d1", 8);
		worker[i].fail_all = i == 0;
		worker_announce(&worker[i], 0);
	}
	for (int round = 0; round < 10; round++) {
		start_calls(0, 1, REPEATABLE("r", 100, 0));
		ck_assert_int_eq(end_calls(0, 1, 200), 1);
	}
	turn(100, NULL);
	ck_assert_int_eq(counter_of("quarantines_total"), 1);
	ck_assert_int_le(worker[0].puts, 3);
	for (int i = 0; i < 2; i++)
		worker_stop(&worker[i]);
	world_stop();
}
END_TEST

/* Guards against retries that double the load while everything fails. */
START_TEST(retries_bounded)
{
	worker_t worker[2];
	int puts = 0;

	world_start(1, LONG_LEASE);
	for (int i = 0; i < 2; i++) {
		worker_start(&worker[i], i ? "w2" : "w1", "d1", 64);
		worker[i].fail_all = true;
		worker_announce(&worker[i], 0);
	}
	/* All at once, before the servers are known to fail. */
	start_calls(0, 12, REPEATABLE("r", 100, 200));
	ck_assert_int_eq(end_calls(0, 12, 502), 12);
	for (int i = 0; i < 2; i++) {
		puts += worker[i].puts;
		worker_stop(&worker[i]);
	}
	ck_assert_int_le(puts, 12 + 4);
	world_stop();
}
END_TEST

/* Guards against a long request declared as short that holds up others. */
START_TEST(long_short_request)
{
	worker_t worker;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 3);
	worker_announce(&worker, 0);
	start_calls(0, 3, REPEATABLE("long", 100, 4000));
	turn(200, NULL);
	start_calls(3, 6, REPEATABLE("short", 100, 0));
	ck_assert_int_eq(end_calls(3, 6, 200), 3);
	/* Stopped and waiting in the batch lane, which has one slot. */
	ck_assert_int_ge(worker.stops, 1);
	ck_assert_int_ge(counter_of("reclassified_total"), 1);
	ck_assert_int_eq(end_calls(0, 3, 200), 3);
	ck_assert_int_le(runs_of("long"), 6);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against work for a server whose lease ended or that leaves. */
START_TEST(lease_and_leave)
{
	worker_t worker;
	call_t call;

	world_start(1, "\"worker_lease_ms\":1000,");
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	start_calls(0, 1, REPEATABLE("r", 100, 0));
	ck_assert_int_eq(end_calls(0, 1, 200), 1);
	turn(1300, NULL);
	start_calls(0, 1, REPEATABLE("r", 100, 0));
	ck_assert_int_eq(end_calls(0, 1, 503), 1);
	ck_assert_int_eq(worker.puts, 1);
	ck_assert_int_eq(counter_of("lease_ends_total"), 1);
	worker_announce(&worker, 0);
	call_do(&call, 0, "POST", "/v1/workers/w1/leave", NULL,
	    "{\"generation\":7}");
	ck_assert_int_eq(call.status, 409);
	call_end(&call);
	call_do(&call, 0, "POST", "/v1/workers/w1/leave", NULL,
	    "{\"generation\":1}");
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	worker_announce(&worker, 0);
	start_calls(0, 1, REPEATABLE("r", 100, 0));
	ck_assert_int_eq(end_calls(0, 1, 503), 1);
	ck_assert_int_eq(worker.puts, 1);
	/* Back after a restart. */
	worker_restart(&worker);
	worker_announce(&worker, 0);
	start_calls(0, 1, REPEATABLE("r", 100, 0));
	ck_assert_int_eq(end_calls(0, 1, 200), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

static void
serve_seen(int64_t sent_ms)
{
	seen_item_t item = {.worker = (char *)"w1", .generation = 1};
	seen_args_t args = {.incarnation = 1,
	    .sent_ms = sent_ms,
	    .items.items_len = 1,
	    .items.items_val = &item};

	entry_serve_rpc(fake.instances[0].entry, "i2", RPC_SEEN, &args, NULL);
}

/* Guards against new work after the end of a lease whose announcement was held
 * up on its way from another instance. */
START_TEST(held_up_announcement)
{
	worker_t worker;

	world_start(1, "\"worker_lease_ms\":1000,");
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	serve_seen(clock_mono_ms());
	turn(1300, NULL);
	serve_seen(clock_mono_ms() - 1100);
	start_calls(0, 1, REPEATABLE("r", 100, 0));
	ck_assert_int_eq(end_calls(0, 1, 503), 1);
	ck_assert_int_eq(worker.puts, 0);
	serve_seen(clock_mono_ms());
	start_calls(0, 1, REPEATABLE("r", 100, 0));
	ck_assert_int_eq(end_calls(0, 1, 200), 1);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against work for a server that is lost between claim and dispatch. */
START_TEST(owner_changes_during_claim)
{
	worker_t worker;
	call_t call;
	command_t command = {.kind = COMMAND_WORKER_OWNER};
	command_result_t result;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	call_start(&call, 0, "POST", "/v1/requests", key_of(1),
	    "{\"tenant\":\"a\",\"deadline_ms\":500,"
	    "\"input\":{\"tag\":\"p\"}}");
	fake.hold = true;
	turn(100, NULL);
	ck_assert_uint_eq(fake.proposals.length, 1);
	/* Another instance owns the server before the claim is committed. */
	command.command_t_u.worker_owner = (worker_owner_command_t){.id = "w1",
	    .owner = "i9",
	    .expected_fence = machine_worker(fake.machine, "w1")->fence};
	fake_apply(&command, &result);
	ck_assert_int_eq(result.code, 0);
	machine_result_free(&result);
	fake.hold = false;
	ev_idle_start(loop, &fake.idle);
	call_wait(&call);
	ck_assert_int_eq(worker.puts, 0);
	ck_assert_str_eq(text_of(&call, "outcome"), "did_not_run");
	call_end(&call);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against queues that grow past what a deadline allows. */
START_TEST(hopeless_refused_at_once)
{
	worker_t worker;
	int64_t started_ms;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 1);
	worker_announce(&worker, 0);
	for (int i = 0; i < 3; i++) {
		start_calls(0, 1, REPEATABLE("r", 400, 300));
		ck_assert_int_eq(end_calls(0, 1, 200), 1);
	}
	start_calls(0, 8, REPEATABLE("r", 400, 300));
	turn(50, NULL);
	started_ms = clock_mono_ms();
	call_start(&calls[8], 0, "POST", "/v1/requests", NULL,
	    "{\"tenant\":\"a\",\"repeatable\":true,\"deadline_ms\":1000}");
	call_wait(&calls[8]);
	ck_assert_int_eq(calls[8].status, 503);
	ck_assert_str_eq(text_of(&calls[8], "error"), "deadline");
	ck_assert_str_eq(text_of(&calls[8], "outcome"), "did_not_run");
	ck_assert_int_lt(clock_mono_ms() - started_ms, 1000);
	call_end(&calls[8]);
	ck_assert_int_eq(end_calls(0, 8, 200), 8);
	worker_stop(&worker);
	world_stop();
}
END_TEST

/* Guards against a tenant above the limits of the configuration. */
START_TEST(tenant_limits)
{
	static const char patch[] =
	    "{\"tenants\":{\"a\":{\"rate_per_s\":0.01,\"burst\":5}}}";
	command_t command = {.kind = COMMAND_PATCH};
	command_result_t result;
	worker_t worker;
	int served = 0;

	world_start(1, LONG_LEASE);
	worker_start(&worker, "w1", "d1", 8);
	worker_announce(&worker, 0);
	command.command_t_u.patch = (patch_command_t){.id = "p",
	    .base = machine_config_version(fake.machine),
	    .author = "t",
	    .time_ms = clock_real_ms(),
	    .patch.body_t_len = sizeof(patch) - 1,
	    .patch.body_t_val = (char *)patch};
	fake_apply(&command, &result);
	ck_assert_msg(result.code == 0, "%s", result.text);
	machine_result_free(&result);
	start_calls(0, 10, REPEATABLE("r", 100, 0));
	for (int i = 0; i < 10; i++) {
		call_wait(&calls[i]);
		served += calls[i].status == 200;
		if (calls[i].status != 200)
			ck_assert_str_eq(
			    text_of(&calls[i], "error"), "rate_limit");
		call_end(&calls[i]);
	}
	ck_assert_int_eq(served, 5);
	worker_stop(&worker);
	world_stop();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("entry_load");
	TCase *tcase = tcase_create("entry_load");

	loop = ev_default_loop(0);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, batch_leaves_room);
	tcase_add_test(tcase, busy_server);
	tcase_add_test(tcase, bad_request_blamed);
	tcase_add_test(tcase, bad_server_quarantined);
	tcase_add_test(tcase, retries_bounded);
	tcase_add_test(tcase, long_short_request);
	tcase_add_test(tcase, lease_and_leave);
	tcase_add_test(tcase, held_up_announcement);
	tcase_add_test(tcase, owner_changes_during_claim);
	tcase_add_test(tcase, hopeless_refused_at_once);
	tcase_add_test(tcase, tenant_limits);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
