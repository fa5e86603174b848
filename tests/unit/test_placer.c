#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/chart.h"
#include "common/clock.h"
#include "entry/placer.h"
#include "policy/gang.h"
#include "rpc/codec.h"
#include "tests/unit/runner.h"

/*
 * The placer task with a replicated state machine and backend servers inside
 * the test: this file defines the functions of state/replica.h and
 * entry/client.h that the task uses, so that the linker takes no others.
 */

#define WORKERS 2
#define GIVE_UP_MS 30000 /* only stops a test that would hang */
#define TURN_MS 5
#define RUN_MS 200

struct replica_t {
	int unused;
};

typedef struct {
	GByteArray *bytes;
	replica_done_t *done;
	void *ctx;
} proposal_t;

struct client_call_t {
	char *method;
	char *path;
	char *body;
	int port;
	uint64_t fence;
	client_done_t *done;
	void *ctx;
};

/* A task of a stand-in backend server. */
typedef struct {
	int state; /* of charts/task.chart */
	int worker;
	int starts;
	uint32_t mask;
	int64_t lease_ms;
	int64_t end_ms;
	bool fails;
	bool failed;
	char *checkpoint;
} task_run_t;

static struct {
	struct ev_loop *loop;
	machine_t *machine;
	uint64_t index;
	bool confirmed;
	GQueue proposals;
	GQueue calls;
	GHashTable *tasks;
	placer_t *placers[2];
	settings_t settings[2];
	ev_timer timer;
	int refuse_next; /* reservations */
	int fail_worker; /* every task there fails, -1 for none */
	int64_t run_ms;
	bool never_ends;
	bool unreachable;
	int checkpoints_given;
} fake;

static const chart_t *chart;

static bool
task_is(const task_run_t *task, const char *state)
{
	return task->state == chart_state(chart, state);
}

static void
apply(command_t *command, command_result_t *result)
{
	memset(result, 0, sizeof(*result));
	machine_apply(fake.machine, ++fake.index, command, result);
	for (int p = 0; p < 2; p++)
		placer_applied(fake.placers[p], command, result);
}

static void
apply_only(command_t command)
{
	command_result_t result;

	apply(&command, &result);
	ck_assert_msg(result.code == 0, "command %d: %d %s", command.kind,
	    result.code, result.text);
	machine_result_free(&result);
}

void
replica_propose(replica_t *replica, const command_t *command,
    int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	proposal_t *proposal = g_new0(proposal_t, 1);

	proposal->bytes = codec_encode_command(command);
	ck_assert_ptr_nonnull(proposal->bytes);
	proposal->done = done;
	proposal->ctx = ctx;
	g_queue_push_tail(&fake.proposals, proposal);
}

const machine_t *
replica_machine(const replica_t *replica)
{
	return fake.machine;
}

bool
replica_is_confirmed(const replica_t *replica)
{
	return fake.confirmed;
}

static void
commit(proposal_t *proposal)
{
	str_t bytes = {
	    (const char *)proposal->bytes->data, proposal->bytes->len};
	command_t command = {0};
	command_result_t result = {0};
	err_t err = {0};

	ck_assert_int_eq(
	    codec_decode((xdrproc_t)xdr_command_t, bytes, &command), 0);
	if (fake.confirmed)
		apply(&command, &result);
	else
		err_set(&err, -ENOTCONN, "propose", NULL, "no majority");
	proposal->done(proposal->ctx, &err, err.code == 0 ? &result : NULL);
	machine_result_free(&result);
	codec_free((xdrproc_t)xdr_command_t, &command);
	g_byte_array_unref(proposal->bytes);
	g_free(proposal);
}

static void
call_free(client_call_t *call)
{
	g_free(call->method);
	g_free(call->path);
	g_free(call->body);
	g_free(call);
}

client_call_t *
client_start(client_t *client, const client_request_t *request,
    client_done_t *done, void *ctx)
{
	client_call_t *call = g_new0(client_call_t, 1);

	call->method = g_strdup(request->method);
	call->path = g_strdup(request->path);
	call->body = g_strndup(request->body.data, request->body.len);
	call->port = request->port;
	call->fence = request->fence;
	call->done = done;
	call->ctx = ctx;
	g_queue_push_tail(&fake.calls, call);
	return call;
}

void
client_abort(client_call_t *call)
{
	g_queue_remove(&fake.calls, call);
	call_free(call);
}

static void
task_free(void *data)
{
	task_run_t *task = data;

	g_free(task->checkpoint);
	g_free(task);
}

static task_run_t *
task_of(const char *id, int worker)
{
	task_run_t *task = g_hash_table_lookup(fake.tasks, id);

	if (task == NULL) {
		task = g_new0(task_run_t, 1);
		task->state = chart_initial(chart);
		task->worker = worker;
		task->lease_ms = INT64_MAX;
		g_hash_table_insert(fake.tasks, g_strdup(id), task);
	}
	return task;
}

/* Reserves accelerators; those of another task are never given twice. */
static int
serve_reserve(task_run_t *task, const char *text)
{
	json_t *body = json_loads(text, 0, NULL);
	json_t *accelerators = json_object_get(body, "accelerators");
	uint32_t mask = 0;
	GHashTableIter iter;
	json_t *item;
	void *value;
	size_t i;
	int status = 200;

	ck_assert_ptr_nonnull(body);
	ck_assert_str_eq(
	    json_string_value(json_object_get(body, "mode")), "reserve");
	json_array_foreach (accelerators, i, item)
		mask |= 1u << json_integer_value(item);
	g_hash_table_iter_init(&iter, fake.tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		task_run_t *other = value;

		if (other != task && other->worker == task->worker &&
		    (task_is(other, "reserved") || task_is(other, "running")) &&
		    (other->mask & mask) != 0)
			status = 503;
	}
	if (fake.refuse_next > 0) {
		fake.refuse_next--;
		status = 503;
	}
	if (status == 200 && chart_step(chart, &task->state, "reserve") == 0) {
		task->mask = mask;
		task->lease_ms = clock_mono_ms() + GANG_LEASE_MS;
		if (json_object_get(body, "checkpoint") != NULL)
			fake.checkpoints_given++;
	}
	json_decref(body);
	return status;
}

static int
serve(client_call_t *call)
{
	char **parts = g_strsplit(call->path, "/", 6);
	const char *verb = parts[4] != NULL ? parts[4] : "";
	task_run_t *task = task_of(parts[3], call->port);
	int status = 200;

	if (strcmp(call->method, "PUT") == 0) {
		status = serve_reserve(task, call->body);
	} else if (strcmp(verb, "start") == 0) {
		if (chart_step(chart, &task->state, "start") == 0) {
			task->starts++;
			task->end_ms = fake.never_ends
					   ? INT64_MAX
					   : clock_mono_ms() + fake.run_ms;
		}
	} else if (strcmp(verb, "renew") == 0) {
		if (task_is(task, "running"))
			task->lease_ms = clock_mono_ms() + GANG_LEASE_MS;
	} else if (strcmp(verb, "stop") == 0) {
		chart_step(chart, &task->state, "stop");
	}
	if (status == 200 && task_is(task, "stopped") &&
	    strcmp(verb, "stop") != 0)
		status = 410;
	g_strfreev(parts);
	return status;
}

static void
answer(client_call_t *call)
{
	char **parts = g_strsplit(call->path, "/", 6);
	client_answer_t answer = {0};
	err_t err = {0};
	task_run_t *task;

	if (fake.unreachable) {
		err_set(&err, -ETIMEDOUT, "call", "worker", "no answer");
		call->done(call->ctx, &err, &answer);
	} else {
		answer.status = serve(call);
		task = task_of(parts[3], call->port);
		answer.json = json_pack("{s:s, s:s, s:i, s:s}", "state",
		    task->failed ? "failed"
				 : chart_state_name(chart, task->state),
		    "checkpoint", "c1", "result", task->worker, "task",
		    parts[3]);
		call->done(call->ctx, &err, &answer);
		json_decref(answer.json);
	}
	g_strfreev(parts);
	call_free(call);
}

static void
on_turn(struct ev_loop *loop, ev_timer *timer, int events)
{
	guint proposals = fake.proposals.length;
	guint calls = fake.calls.length;
	int64_t now_ms = clock_mono_ms();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fake.tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		task_run_t *task = value;

		if (now_ms >= task->lease_ms)
			chart_step(chart, &task->state, "expire");
		if (task_is(task, "running") && now_ms >= task->end_ms) {
			task->failed = task->worker == fake.fail_worker;
			chart_step(chart, &task->state, "finish");
		}
	}
	while (proposals-- > 0)
		commit(g_queue_pop_head(&fake.proposals));
	while (calls-- > 0 && fake.calls.length > 0)
		answer(g_queue_pop_head(&fake.calls));
}

static void
add_worker(int number)
{
	char id[8];

	g_snprintf(id, sizeof(id), "w%d", number);
	apply_only((command_t){.kind = COMMAND_WORKER_ADD,
	    .command_t_u.worker = {.id = id,
		.address = (char *)"127.0.0.1",
		.port = number,
		.domain = (char *)"d1",
		.rack = (char *)"r1",
		.slots = 8,
		.connections = 64,
		.accelerators = 8,
		.generation = 1,
		.owner = (char *)"i1",
		.time_ms = clock_real_ms()}});
}

static void
start_placer(int number)
{
	static const char *const ids[] = {"i1", "i2"};
	err_t err = {0};

	fake.settings[number].instance = (char *)ids[number];
	fake.settings[number].failure_domain = (char *)"d1";
	fake.placers[number] =
	    placer_create(fake.loop, &fake.settings[number], NULL, NULL, &err);
	ck_assert_ptr_nonnull(fake.placers[number]);
}

static void
set_instance(const char *id, bool alive)
{
	apply_only((command_t){.kind = COMMAND_INSTANCE,
	    .command_t_u.instance = {.id = (char *)id,
		.alive = alive,
		.incarnation = 1,
		.time_ms = clock_real_ms()}});
}

static void
setup(void)
{
	memset(&fake, 0, sizeof(fake));
	chart = chart_builtin("task");
	fake.loop = ev_loop_new(EVFLAG_AUTO);
	fake.machine = machine_create();
	fake.confirmed = true;
	fake.fail_worker = -1;
	fake.run_ms = RUN_MS;
	fake.tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, task_free);
	ev_timer_init(&fake.timer, on_turn, TURN_MS / 1000.0, TURN_MS / 1000.0);
	ev_timer_start(fake.loop, &fake.timer);
	set_instance("i1", true);
	set_instance("i2", true);
	for (int w = 0; w < WORKERS; w++)
		add_worker(w);
	start_placer(0);
}

static void
stop_placer(int number)
{
	placer_destroy(fake.placers[number]);
	fake.placers[number] = NULL;
}

static void
teardown(void)
{
	for (int p = 0; p < 2; p++)
		stop_placer(p);
	while (fake.proposals.length > 0)
		commit(g_queue_pop_head(&fake.proposals));
	while (fake.calls.length > 0)
		call_free(g_queue_pop_head(&fake.calls));
	ev_timer_stop(fake.loop, &fake.timer);
	g_hash_table_unref(fake.tasks);
	machine_destroy(fake.machine);
	ev_loop_destroy(fake.loop);
}

static void
submit(const char *id, int members, int accelerators, job_priority_t priority)
{
	char key[64];

	g_snprintf(key, sizeof(key), "%" G_GINT64_FORMAT "-key0000%s",
	    clock_real_ms(), id);
	apply_only((command_t){.kind = COMMAND_JOB_SUBMIT,
	    .command_t_u.job = {.id = (char *)id,
		.tenant = (char *)"t",
		.workspace = (char *)"ws",
		.key = key,
		.domain = (char *)"d1",
		.members = members,
		.accelerators = accelerators,
		.adjacency = ADJACENT_RACK,
		.priority = priority,
		.declared_ms = 1000,
		.time_ms = clock_real_ms(),
		.body = {2, (char *)"{}"}}});
}

static bool
job_is(const char *id, const char *state)
{
	const machine_job_t *job = machine_job(fake.machine, id);

	return job != NULL &&
	       job->state == chart_state(chart_builtin("job"), state);
}

/* Runs the loop until the job has the state. */
static void
wait_for(const char *id, const char *state)
{
	int64_t limit_ms = clock_mono_ms() + GIVE_UP_MS;
	GString *text = g_string_new(NULL);

	while (!job_is(id, state)) {
		ev_run(fake.loop, EVRUN_ONCE);
		if (clock_mono_ms() < limit_ms)
			continue;
		for (int p = 0; p < 2; p++)
			placer_explain(fake.placers[p], id, text);
		ck_abort_msg("job %s is %s, not %s: %s", id,
		    chart_state_name(chart_builtin("job"),
			machine_job(fake.machine, id)->state),
		    state, text->str);
	}
	g_string_free(text, TRUE);
}

static int
held_tasks(void)
{
	GHashTableIter iter;
	void *value;
	int held = 0;

	g_hash_table_iter_init(&iter, fake.tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		held += task_is(value, "reserved") || task_is(value, "running");
	return held;
}

/* Guards against a gang that does not run in full or loses its results. */
START_TEST(runs_a_gang)
{
	const machine_job_t *job;

	setup();
	submit("j", 2, 8, PRIORITY_OPPORTUNISTIC);
	wait_for("j", "done");
	job = machine_job(fake.machine, "j");
	ck_assert_uint_eq(job->attempt, 1);
	ck_assert_msg(
	    job->result_len == 5 && (memcmp(job->result, "[0,1]", 5) == 0 ||
					memcmp(job->result, "[1,0]", 5) == 0),
	    "%.*s", (int)job->result_len, job->result);
	ck_assert_int_eq(held_tasks(), 0);
	teardown();
}
END_TEST

/* Guards against a refusal that leaves the other members reserved. */
START_TEST(member_refuses)
{
	setup();
	fake.refuse_next = 1;
	submit("j", 2, 8, PRIORITY_OPPORTUNISTIC);
	wait_for("j", "done");
	ck_assert_uint_eq(machine_job(fake.machine, "j")->attempt, 2);
	ck_assert_int_eq(held_tasks(), 0);
	teardown();
}
END_TEST

/* Guards against a job that is refused for one bad worker's fault. */
START_TEST(failure_is_tried_elsewhere)
{
	setup();
	fake.fail_worker = 0;
	submit("j", 1, 8, PRIORITY_OPPORTUNISTIC);
	wait_for("j", "done");
	ck_assert_uint_eq(machine_job(fake.machine, "j")->attempt, 2);
	/* This one can't avoid the bad worker and must not be tried for ever.
	 */
	submit("k", 2, 8, PRIORITY_OPPORTUNISTIC);
	wait_for("k", "failed");
	ck_assert_uint_eq(machine_job(fake.machine, "k")->attempt, 3);
	teardown();
}
END_TEST

/* Guards against a cancelled job whose members run on. */
START_TEST(cancels_a_running_job)
{
	setup();
	fake.never_ends = true;
	submit("j", 2, 4, PRIORITY_OPPORTUNISTIC);
	wait_for("j", "running");
	apply_only((command_t){.kind = COMMAND_JOB_CANCEL,
	    .command_t_u.job_cancel = {.job = (char *)"j",
		.tenant = (char *)"t",
		.time_ms = clock_real_ms()}});
	wait_for("j", "cancelled");
	ck_assert_int_eq(held_tasks(), 0);
	teardown();
}
END_TEST

/*
 * Guards against urgent work that starts beside the work it reclaims, and
 * against reclaimed work that starts over instead of at its checkpoint.
 */
START_TEST(reclaims_for_urgent_work)
{
	setup();
	fake.never_ends = true;
	submit("o", 2, 8, PRIORITY_OPPORTUNISTIC);
	wait_for("o", "running");
	fake.never_ends = false;
	submit("u", 1, 8, PRIORITY_URGENT);
	wait_for("u", "done");
	wait_for("o", "done");
	ck_assert_uint_eq(machine_job(fake.machine, "o")->attempt, 2);
	ck_assert_int_eq(fake.checkpoints_given, 2);
	teardown();
}
END_TEST

/* Lets another instance take over when the job has the state. */
static void
replace_placer_at(const char *state)
{
	wait_for("j", state);
	stop_placer(0);
	start_placer(1);
	set_instance("i1", false);
}

/* Guards against a successor that forgets or repeats a running attempt. */
START_TEST(successor_goes_on)
{
	setup();
	fake.run_ms = 2000;
	submit("j", 2, 8, PRIORITY_OPPORTUNISTIC);
	replace_placer_at("running");
	wait_for("j", "done");
	ck_assert_uint_eq(machine_job(fake.machine, "j")->attempt, 1);
	ck_assert_uint_eq(machine_placer(fake.machine, "d1")->epoch, 2);
	ck_assert_int_eq(held_tasks(), 0);
	teardown();
}
END_TEST

/* Guards against a half-made attempt that a successor leaves reserved. */
START_TEST(successor_aborts)
{
	setup();
	submit("j", 2, 8, PRIORITY_OPPORTUNISTIC);
	replace_placer_at("starting");
	wait_for("j", "done");
	ck_assert_uint_eq(machine_job(fake.machine, "j")->attempt, 2);
	ck_assert_int_eq(held_tasks(), 0);
	teardown();
}
END_TEST

/* Guards against a gang that is not requeued when a worker is gone. */
START_TEST(worker_is_lost)
{
	const machine_worker_t *worker;

	setup();
	fake.never_ends = true;
	submit("j", 2, 8, PRIORITY_OPPORTUNISTIC);
	wait_for("j", "running");
	worker = machine_worker(fake.machine, "w1");
	apply_only((command_t){.kind = COMMAND_WORKER_REMOVE,
	    .command_t_u.worker_remove = {.id = (char *)"w1",
		.owner = (char *)"",
		.expected_fence = worker->fence}});
	wait_for("j", "waiting");
	fake.never_ends = false;
	add_worker(1);
	wait_for("j", "done");
	ck_assert_int_eq(held_tasks(), 0);
	teardown();
}
END_TEST

/* Guards against attempts that start without a majority of the replicas. */
START_TEST(no_start_without_quorum)
{
	int64_t until_ms;

	setup();
	submit("i", 1, 1, PRIORITY_OPPORTUNISTIC);
	wait_for("i", "done");
	fake.confirmed = false;
	submit("j", 1, 1, PRIORITY_OPPORTUNISTIC);
	until_ms = clock_mono_ms() + 500;
	while (clock_mono_ms() < until_ms)
		ev_run(fake.loop, EVRUN_ONCE);
	ck_assert(job_is("j", "waiting"));
	ck_assert_int_eq(held_tasks(), 0);
	fake.confirmed = true;
	wait_for("j", "done");
	teardown();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("placer");
	TCase *tcase = tcase_create("placer");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, runs_a_gang);
	tcase_add_test(tcase, member_refuses);
	tcase_add_test(tcase, failure_is_tried_elsewhere);
	tcase_add_test(tcase, cancels_a_running_job);
	tcase_add_test(tcase, reclaims_for_urgent_work);
	tcase_add_test(tcase, successor_goes_on);
	tcase_add_test(tcase, successor_aborts);
	tcase_add_test(tcase, worker_is_lost);
	tcase_add_test(tcase, no_start_without_quorum);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
