#include <check.h>
#include <curl/curl.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "entry/burn.h"
#include "entry/operator_private.h"
#include "tests/unit/machine_driver.h"
#include "tests/unit/raft_sim.h"
#include "tests/unit/runner.h"

#define OPERATOR_KEY "operator-key-0123456789"
#define READER_KEY "reader-key-0123456789"
#define SETTLE_MS 3000 /* simulated */

/* ---- a replica that applies each proposal at once ---- */

struct replica_t {
	driver_t driver;
	int propose_code; /* 0, or how each proposal fails */
	int lost_answers; /* proposals that are applied but time out */
	bool safe_to_replace;
	const raft_t *raft;
	operator_t *op;
};

const machine_t *
replica_machine(const replica_t *replica)
{
	return replica->driver.machine;
}

bool
replica_is_confirmed(const replica_t *replica)
{
	return true;
}

bool
replica_is_leader(const replica_t *replica)
{
	return true;
}

const char *
replica_leader_id(const replica_t *replica)
{
	return "i1";
}

bool
replica_safe_to_replace(const replica_t *replica)
{
	return replica->safe_to_replace;
}

const raft_t *
replica_raft(const replica_t *replica)
{
	return replica->raft;
}

void
replica_propose(replica_t *replica, const command_t *command,
    int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	err_t err = {.code = replica->propose_code};

	if (err.code == 0) {
		driver_apply(&replica->driver, (command_t *)command);
		operator_applied(replica->op, command, &replica->driver.result);
	}
	if (err.code == 0 && replica->lost_answers > 0) {
		replica->lost_answers--;
		err.code = -ETIMEDOUT;
	}
	done(ctx, &err, err.code == 0 ? &replica->driver.result : NULL);
}

/* ---- the operator routes under test ---- */

typedef struct {
	struct ev_loop *loop;
	settings_t settings;
	replica_t replica;
	operator_t *op;
	ev_async wake;
	char *folder;
	sim_t *sim;
	sim_node_t *leader;
	/* Of the call in flight. */
	const char *method;
	const char *key;
	const char *body;
	char *url;
	GString *answer;
	long status;
} fixture_t;

static fixture_t fixture;

static size_t
receive(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static void *
call_thread(void *ctx)
{
	fixture_t *f = ctx;
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = NULL;
	char *line = g_strdup_printf("Authorization: Bearer %s", f->key);

	if (f->key[0] != '\0')
		headers = curl_slist_append(headers, line);
	curl_easy_setopt(curl, CURLOPT_URL, f->url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, f->method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (f->body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, f->body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, f->answer);
	curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &f->status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(line);
	ev_async_send(f->loop, &f->wake);
	return NULL;
}

static void
stop_loop(struct ev_loop *loop, ev_async *async, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Makes one call and returns its status; the body is in fixture.answer. */
static long
call_as(const char *key, const char *method, const char *path, const char *body)
{
	GThread *thread;

	g_string_truncate(fixture.answer, 0);
	fixture.status = 0;
	fixture.method = method;
	fixture.key = key;
	fixture.body = body;
	fixture.url = g_strdup_printf(
	    "http://127.0.0.1:%u%s", operator_port(fixture.op), path);
	thread = g_thread_new("call", call_thread, &fixture);
	ev_run(fixture.loop, 0);
	g_thread_join(thread);
	g_free(fixture.url);
	return fixture.status;
}

static long
call(const char *method, const char *path, const char *body)
{
	return call_as(OPERATOR_KEY, method, path, body);
}

#define ck_answer(part)                                          \
	ck_assert_msg(strstr(fixture.answer->str, part) != NULL, \
	    "answer is %s", fixture.answer->str)

static char *
write_key(const char *folder, const char *name, const char *key)
{
	char *path = g_build_filename(folder, name, NULL);

	ck_assert(g_file_set_contents(path, key, -1, NULL));
	return path;
}

static void
setup(void)
{
	char *folder = g_dir_make_tmp("operator-XXXXXX", NULL);
	err_t err = {0};

	memset(&fixture, 0, sizeof(fixture));
	fixture.loop = ev_loop_new(EVFLAG_AUTO);
	fixture.answer = g_string_new("");
	fixture.settings.instance = "i1";
	fixture.settings.address = "127.0.0.1";
	fixture.settings.peer_count = 1;
	fixture.settings.peers[0] = (settings_peer_t){
	    .id = "i1",
	    .failure_domain = "d1",
	};
	fixture.settings.max_body_bytes = 65536;
	fixture.settings.operator_key_file =
	    write_key(folder, "operator", OPERATOR_KEY "\n");
	fixture.settings.reader_key_file =
	    write_key(folder, "reader", READER_KEY);
	fixture.sim = sim_create(1, 3, 0, true);
	fixture.leader = sim_wait_leader(fixture.sim, SETTLE_MS);
	ck_assert_ptr_nonnull(fixture.leader);
	fixture.replica.raft = fixture.leader->raft;
	driver_open(&fixture.replica.driver);
	fixture.op = operator_create(
	    fixture.loop, &fixture.settings, &fixture.replica, NULL, &err);
	ck_assert_msg(fixture.op != NULL, "%s", err.text);
	fixture.replica.op = fixture.op;
	ev_async_init(&fixture.wake, stop_loop);
	ev_async_start(fixture.loop, &fixture.wake);
	fixture.folder = folder;
}

static void
teardown(void)
{
	operator_destroy(fixture.op);
	ev_async_stop(fixture.loop, &fixture.wake);
	ev_loop_destroy(fixture.loop);
	driver_close(&fixture.replica.driver);
	sim_destroy(fixture.sim);
	g_string_free(fixture.answer, TRUE);
	g_unlink(fixture.settings.operator_key_file);
	g_unlink(fixture.settings.reader_key_file);
	g_rmdir(fixture.folder);
	g_free(fixture.folder);
	g_free(fixture.settings.operator_key_file);
	g_free(fixture.settings.reader_key_file);
}

/* Guards against routes that answer without a key or with the wrong one. */
START_TEST(keys)
{
	ck_assert_int_eq(call_as("", "GET", "/v1/config", NULL), 401);
	ck_answer("\"error\":\"no_key\"");
	ck_assert_int_eq(
	    call_as("wrong-key-0123456789", "GET", "/v1/config", NULL), 403);
	ck_assert_int_eq(call_as(READER_KEY, "GET", "/v1/config", NULL), 200);
	ck_assert_int_eq(call_as(READER_KEY, "PATCH", "/v1/config", "{}"), 403);
	ck_assert_int_eq(
	    call_as(OPERATOR_KEY "x", "PATCH", "/v1/config", "{}"), 403);
	ck_assert_int_eq(
	    call_as(READER_KEY, "POST", "/v1/instances/i1/drain", ""), 403);
	ck_assert_int_eq(call("GET", "/v1/nothing", NULL), 404);
	ck_assert_int_eq(call("DELETE", "/v1/config", NULL), 405);
}
END_TEST

/* Guards against a patch that is applied twice, and against outcomes that
 * differ from docs/INTERFACES.md. */
START_TEST(patches)
{
	const char *first = "{\"id\":\"f1\",\"base\":1,\"author\":\"ana\","
			    "\"patch\":{\"tenants\":{\"hall\":{}}}}";

	ck_assert_int_eq(call("PATCH", "/v1/config", first), 200);
	ck_answer("{\"outcome\":\"accepted\",\"version\":2}");
	ck_assert_int_eq(call("PATCH", "/v1/config", first), 200);
	ck_answer("{\"outcome\":\"accepted\",\"version\":2}");
	ck_assert_int_eq(call("PATCH", "/v1/config",
			     "{\"id\":\"f2\",\"base\":1,\"patch\":{}}"),
	    409);
	ck_answer("\"changes\":[{\"version\":2,\"author\":\"ana\",");
	ck_assert_int_eq(call("PATCH", "/v1/config",
			     "{\"id\":\"f3\",\"base\":2,\"patch\":{\"x\":1}}"),
	    422);
	ck_answer("\"path\":\"/x\"");
	ck_assert_int_eq(
	    call("PATCH", "/v1/config", "{\"id\":\"f4\",\"patch\":{}}"), 400);
	ck_answer("\"path\":\"/base\"");
	ck_assert_int_eq(call("PATCH", "/v1/config",
			     "{\"id\":\"f5\",\"base\":2,\"patch\":{},\"y\":1}"),
	    400);
	ck_answer("\"path\":\"/y\"");
	ck_assert_int_eq(call("PATCH", "/v1/config", "{"), 400);
	ck_assert_int_eq(call("GET", "/v1/config?min_version=2", NULL), 200);
	ck_answer("\"version\":2");
	ck_assert_int_eq(call("GET", "/v1/config/history?from=2", NULL), 200);
	ck_answer("\"patch_id\":\"f1\"");
	ck_assert_int_eq(call("GET", "/v1/config?min_version=x", NULL), 400);
}
END_TEST

static void
patch_later(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_timer_stop(loop, timer);
	driver_patch(&fixture.replica.driver, "later", 1, "{}");
}

/* Guards against a wait for a version that ends before it is in force, or that
 * never ends when it does not come. */
START_TEST(version_waits)
{
	ev_timer timer;

	ev_timer_init(&timer, patch_later, 0.1, 0);
	ev_timer_start(fixture.loop, &timer);
	ck_assert_int_eq(call("GET", "/v1/config?min_version=2", NULL), 200);
	ck_answer("\"version\":2");
	/* An older version than the reader asks for is not an answer. */
	ck_assert_int_eq(call("GET", "/v1/config?min_version=9", NULL), 503);
	ck_answer("\"error\":\"no_quorum\"");
	ck_assert_int_eq(call("GET", "/v1/config", NULL), 200);
	ck_answer("\"version\":2");
}
END_TEST

/* Guards against a check that changes the configuration. */
START_TEST(checks_only)
{
	ck_assert_int_eq(call("PATCH", "/v1/config",
			     "{\"id\":\"c1\",\"base\":1,\"check_only\":true,"
			     "\"patch\":{\"tenants\":{\"hall\":{}}}}"),
	    200);
	ck_answer("\"outcome\":\"valid\"");
	ck_assert_int_eq(call("PATCH", "/v1/config",
			     "{\"id\":\"c1\",\"base\":1,\"check_only\":true,"
			     "\"patch\":{\"tenants\":3}}"),
	    422);
	ck_assert_int_eq(call("POST", "/v1/config/plan",
			     "{\"patch\":{\"tenants\":{\"hall\":3}}}"),
	    200);
	ck_answer("\"valid\":false,\"path\":\"/tenants/hall\"");
	ck_assert_uint_eq(
	    machine_config_version(fixture.replica.driver.machine), 1);
}
END_TEST

/* Guards against a proposal whose fate is reported wrongly. */
START_TEST(proposal_fails)
{
	const char *patch = "{\"id\":\"f1\",\"base\":1,\"patch\":{}}";

	fixture.replica.propose_code = -ENOTCONN;
	ck_assert_int_eq(call("PATCH", "/v1/config", patch), 503);
	ck_answer("\"outcome\":\"refused\",\"error\":\"no_quorum\"");
	fixture.replica.propose_code = -EMSGSIZE;
	ck_assert_int_eq(call("PATCH", "/v1/config", patch), 413);
	fixture.replica.propose_code = -ETIMEDOUT;
	ck_assert_int_eq(call("PATCH", "/v1/config", patch), 504);
	ck_answer("\"outcome\":\"unknown\",\"error\":\"timeout\"");
}
END_TEST

static void
explain_placer(void *ctx, const char *job, GString *out)
{
	g_string_append_printf(out, "no 2 free workers for %s", job);
}

/* Guards against lists and explanations that lack what the state holds. */
START_TEST(lists)
{
	driver_t *d = &fixture.replica.driver;

	operator_set_explain(fixture.op, explain_placer, NULL);
	driver_patch(d, "p1", 1,
	    "{\"tenants\":{\"hall\":{\"quota_accelerators\":4}},"
	    "\"workspaces\":{\"tours\":{\"tenant\":\"hall\"}}}");
	driver_add_worker(d, "w0", 1, "i1");
	driver_submit(d, "j1", "1800000000000-abcdefgh", 1, 1, 4);
	ck_assert_int_eq(call("GET", "/v1/explain/j1", NULL), 200);
	ck_answer("domain d1 has no active placer");
	ck_answer("placer: no 2 free workers for j1");
	ck_answer("uses 0 of its quota of 4");
	driver_set_placer(d, "d1", "i1", 0);
	driver_start(d, "j1", 1, 1, false, 1, 0xf);
	ck_assert_int_eq(call("GET", "/v1/jobs?state=starting", NULL), 200);
	ck_answer("\"worker\":\"w0\",\"task\":\"j1.1.0\"");
	ck_assert_int_eq(call("GET", "/v1/jobs?state=done", NULL), 200);
	ck_answer("{\"jobs\":[],");
	ck_assert_int_eq(call("GET", "/v1/workers", NULL), 200);
	ck_answer("\"accelerators_used\":4");
	ck_assert_int_eq(call("GET", "/v1/workspaces", NULL), 200);
	ck_answer("\"opportunistic_running\":4");
	ck_assert_int_eq(call("GET", "/v1/explain/j1", NULL), 200);
	ck_answer("opportunistic and may be reclaimed");
	ck_assert_int_eq(call("GET", "/v1/explain/j9", NULL), 404);
	ck_assert_int_eq(call("GET", "/metrics", NULL), 200);
	ck_answer("chervilhold_config_version 2\n");
}
END_TEST

static void
count_drain(void *ctx)
{
	++*(int *)ctx;
}

/* Guards against a drain of another instance or of an earlier incarnation, and
 * against one that does not reach this instance. */
START_TEST(drain_of_self)
{
	int drains = 0;

	operator_set_drain(fixture.op, 2, count_drain, &drains);
	driver_report_instance(&fixture.replica.driver, "i1", true);
	driver_report_instance(&fixture.replica.driver, "i2", true);
	ck_assert_int_eq(call("POST", "/v1/instances/i1/drain", ""), 202);
	ck_assert_int_eq(call("GET", "/v1/status", NULL), 200);
	ck_assert_int_eq(drains, 0);
	operator_set_drain(fixture.op, 1, count_drain, &drains);
	ck_assert_int_eq(call("POST", "/v1/instances/i2/drain", ""), 202);
	ck_assert_int_eq(call("GET", "/v1/status", NULL), 200);
	ck_assert_int_eq(drains, 0);
	ck_assert_int_eq(call("POST", "/v1/instances/i1/drain", ""), 202);
	ck_assert_int_eq(call("GET", "/v1/status", NULL), 200);
	ck_assert_int_eq(drains, 1);
}
END_TEST

/* Guards against a drain that is not recorded. */
START_TEST(instances)
{
	driver_report_instance(&fixture.replica.driver, "i1", true);
	ck_assert_int_eq(call("POST", "/v1/instances/i1/drain", ""), 202);
	ck_assert(
	    machine_instance(fixture.replica.driver.machine, "i1")->draining);
	ck_assert_int_eq(call("POST", "/v1/instances/i9/drain", ""), 404);
	ck_assert_int_eq(call("POST", "/v1/instances/i1/replace", ""), 202);
	ck_assert_int_eq(call("GET", "/v1/status", NULL), 200);
	ck_answer("\"role\":\"leader\"");
	ck_answer("\"draining\":true");
	ck_answer("\"safe_to_continue\":false");
	fixture.replica.safe_to_replace = true;
	ck_assert_int_eq(call("GET", "/v1/status", NULL), 200);
	ck_answer("\"safe_to_continue\":true");
}
END_TEST

/* Guards against objectives that miss slow, late or refused requests. */
START_TEST(burn_feeds)
{
	histogram_t *answers = histogram_get("request_short_seconds", "");
	histogram_t *waits = histogram_get("queue_short_seconds", "");

	for (int i = 0; i < 9; i++)
		histogram_record(answers, 1000);
	histogram_record(answers, 2000000);
	histogram_record(waits, 1000);
	histogram_record(waits, 900000);
	counter_add(
	    counter_get("refusals_total{reason=\"queue_full\"}", ""), 3);
	ck_assert_int_eq(call("GET", "/v1/burn", NULL), 200);
	ck_assert_int_eq(call("GET", "/v1/burn", NULL), 200);
	ck_answer("\"worst_cause\":\"queue_full\",\"windows\":{\"5m\":{"
		  "\"good\":6,\"bad\":4,");
	ck_answer("\"worst_cause\":\"waited_for_slot\",\"windows\":{"
		  "\"5m\":{\"good\":1,\"bad\":1,");
}
END_TEST

/* Guards against a page that needs anything from outside. */
START_TEST(burn_page)
{
	ck_assert_int_eq(call("GET", "/v1/burn?format=html", NULL), 200);
	ck_answer("<svg ");
	ck_answer("<h2>service_at_peak</h2>");
	ck_assert_ptr_null(strstr(fixture.answer->str, "http://"));
	ck_assert_int_eq(call("GET", "/v1/burn", NULL), 200);
	ck_answer("\"objective\":\"config_in_force\"");
}
END_TEST

/* Guards against a plan that hides the jobs that a guarantee would reclaim. */
START_TEST(plan_reclaims)
{
	driver_t *d = &fixture.replica.driver;
	const char *plan =
	    "{\"patch\":{\"tenants\":{\"hall\":{}},\"hardware\":{\"d1\":"
	    "{\"racks\":1,\"workers_per_rack\":2}},\"workspaces\":{\"w\":"
	    "{\"tenant\":\"hall\",\"guarantees\":[{\"domain\":\"d1\","
	    "\"count\":1,\"members\":%d,\"accelerators\":8,"
	    "\"adjacency\":\"rack\"}]}}}}";
	char *body = g_strdup_printf(plan, 1);

	driver_set_placer(d, "d1", "i1", 0);
	driver_add_worker(d, "w0", 1, "i1");
	driver_add_worker(d, "w1", 1, "i1");
	driver_submit(d, "j1", "1800000000000-abcdefgh", 1, 1, 4);
	ck_assert_int_eq(driver_start(d, "j1", 1, 1, false, 1, 0xf), 0);
	ck_assert_int_eq(call("POST", "/v1/config/plan", body), 200);
	ck_answer("\"valid\":true");
	ck_answer("\"reclaims\":[]");
	g_free(body);
	body = g_strdup_printf(plan, 2);
	ck_assert_int_eq(call("POST", "/v1/config/plan", body), 200);
	ck_answer("\"reclaims\":[{\"job\":\"j1\",\"tenant\":\"hall\"");
	g_free(body);
}
END_TEST

/* ---- the command-line tool ---- */

static void *
cli_thread(void *ctx)
{
	fixture_t *f = ctx;
	char **words = g_strsplit(f->body, " ", -1);
	char *output = NULL;
	char *errors = NULL;
	int wait_status = 0;

	if (g_spawn_sync(NULL, words, NULL, G_SPAWN_DEFAULT, NULL, NULL,
		&output, &errors, &wait_status, NULL))
		f->status = wait_status >> 8; /* WEXITSTATUS */
	g_string_append_printf(f->answer, "%s%s", output, errors);
	g_free(output);
	g_free(errors);
	g_strfreev(words);
	ev_async_send(f->loop, &f->wake);
	return NULL;
}

/* Runs the tool against a closed port and the real one. */
static long
cli(const char *arguments)
{
	const char *build = g_getenv("CHERVILHOLD_BUILD");
	GThread *thread;
	char *command =
	    g_strdup_printf("%s/chervilhold --url http://127.0.0.1:1 --url "
			    "http://127.0.0.1:%u --key-file %s %s",
		build != NULL ? build : "build", operator_port(fixture.op),
		fixture.settings.operator_key_file, arguments);

	g_string_truncate(fixture.answer, 0);
	fixture.status = -1;
	fixture.body = command;
	thread = g_thread_new("cli", cli_thread, &fixture);
	ev_run(fixture.loop, 0);
	g_thread_join(thread);
	g_free(command);
	return fixture.status;
}

static long
cli_apply(const char *patch, const char *arguments)
{
	char *path = write_key(fixture.folder, "patch.json", patch);
	char *command = g_strdup_printf("apply %s %s", path, arguments);
	long code = cli(command);

	g_unlink(path);
	g_free(path);
	g_free(command);
	return code;
}

/* Guards against exit codes that differ from the manual page. */
START_TEST(cli_exit_codes)
{
	ck_assert_int_eq(cli_apply("{}", "--author ana"), 0);
	ck_answer("version 2: accepted");
	ck_assert_int_eq(cli_apply("{}", "--base 1 --author ana"), 4);
	ck_answer("--base 2`");
	ck_assert_int_eq(cli_apply("{\"x\":1}", "--author ana"), 1);
	ck_answer("invalid at /x: expected one of");
	ck_assert_int_eq(cli_apply("{}", "--check-only"), 0);
	ck_answer("version 2: the patch would be accepted");
	ck_assert_int_eq(cli_apply("{", "--author ana"), 2);
	ck_assert_int_eq(cli("status --what"), 2);
	ck_assert_int_eq(cli("status more"), 2);
	ck_assert_int_eq(cli("fly"), 2);
	ck_assert_int_eq(cli("--help"), 0);
	ck_answer("Exit codes:");
	ck_assert_int_eq(cli("apply --help"), 0);
	ck_answer("--check-only");
	ck_assert_int_eq(cli("explain j1"), 1);
	ck_answer("no job j1");
	ck_assert_int_eq(cli("status"), 0);
	ck_answer("config version: 2");
	ck_assert_int_eq(cli("history --json"), 0);
	ck_answer("\"author\": \"ana\"");
	fixture.replica.propose_code = -ENOTCONN;
	ck_assert_int_eq(cli_apply("{}", "--author ana"), 3);
	ck_answer("--id cli-");
}
END_TEST

/* Guards against a patch that a lost answer applies twice. */
START_TEST(cli_lost_answer)
{
	fixture.replica.lost_answers = 2;
	ck_assert_int_eq(cli_apply("{}", "--author ana"), 0);
	ck_answer("version 2: accepted");
	ck_assert_int_eq(fixture.replica.lost_answers, 0);
	ck_assert_uint_eq(
	    machine_config_version(fixture.replica.driver.machine), 2);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("operator");
	TCase *tcase = tcase_create("operator");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	/* Only stops a test that would hang. */
	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, keys);
	tcase_add_test(tcase, patches);
	tcase_add_test(tcase, version_waits);
	tcase_add_test(tcase, checks_only);
	tcase_add_test(tcase, proposal_fails);
	tcase_add_test(tcase, lists);
	tcase_add_test(tcase, plan_reclaims);
	tcase_add_test(tcase, drain_of_self);
	tcase_add_test(tcase, instances);
	tcase_add_test(tcase, burn_feeds);
	tcase_add_test(tcase, burn_page);
	tcase_add_test(tcase, cli_exit_codes);
	tcase_add_test(tcase, cli_lost_answer);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
