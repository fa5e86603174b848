/*
 * standin2-worker ADDRESS PORT CHECKPOINT_BYTES CONTROL...: a backend server of
 * the platform that checkpoints its tasks.  A task takes as many milliseconds
 * as its spec says; it has a new checkpoint, a text of CHECKPOINT_BYTES bytes,
 * with each second of work and when it is stopped.  Prints one line a start and
 * end.  Fences, leases, ends and their acknowledgement follow PROTOCOL.md.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "entry/client.h"
#include "entry/listener.h"

#define MAX_BODY_BYTES 1048576
#define MAX_CONNECTIONS 64
#define IDLE_S 120
#define BEAT_S 0.5
#define TURN_S 0.01
#define CALL_MS 1000
#define HOLD_MAX_MS 6000
#define MAX_WAIT_MS 2000
#define MAX_ENDS_LISTED 500
#define SAVE_MS 1000
#define PERCENT 100
#define ID "w-ckpt"

typedef struct {
	char *name;
	int run;
	int64_t started_ms;
	int64_t ends_ms;
	int saves; /* checkpoints so far */
} task_t;

typedef struct {
	int64_t number;
	char *name;
	int run;
	const char *how;
	int saves;
} end_t;

static struct {
	const char *address;
	int port;
	int checkpoint_bytes;
	char **controls;
	int control_count;
	int next_control;
	client_t *client;
	int64_t born_ms;
	int64_t clock_base_ms;
	int64_t sequence;
	int64_t fence;
	int64_t lease_end_ms;
	int64_t next_end;
	GPtrArray *tasks;    /* task_t */
	GQueue ends;         /* end_t */
	GHashTable *highest; /* task -> highest run that ended or was stopped */
	http_request_t *held; /* a poll that waits for an end */
	int64_t held_until_ms;
} worker;

static int64_t
now_ms(void)
{
	return clock_mono_ms() - worker.clock_base_ms;
}

/* Returns the text of a checkpoint, to be freed. */
static char *
checkpoint_text(int saves)
{
	char *text = g_strnfill((gsize)worker.checkpoint_bytes, 'c');
	char *number = g_strdup_printf("%d", saves);

	if (saves == 0)
		text[0] = '\0';
	else
		memcpy(text, number, strlen(number));
	g_free(number);
	return text;
}

static void
raise_highest(const char *name, int run)
{
	if (run > GPOINTER_TO_INT(g_hash_table_lookup(worker.highest, name)))
		g_hash_table_replace(
		    worker.highest, g_strdup(name), GINT_TO_POINTER(run));
}

static void
end_task(guint i, const char *how)
{
	task_t *task = g_ptr_array_index(worker.tasks, i);
	end_t *end = g_new0(end_t, 1);

	printf("end %s %d %s %lld\n", task->name, task->run, how,
	    (long long)now_ms());
	*end = (end_t){++worker.next_end, g_strdup(task->name), task->run, how,
	    task->saves + (strcmp(how, "stopped") == 0)};
	g_queue_push_tail(&worker.ends, end);
	raise_highest(task->name, task->run);
	g_free(task->name);
	g_free(task);
	g_ptr_array_remove_index(worker.tasks, i);
}

static json_t *
with_clock(void)
{
	return json_pack("{s:I}", "clockMs", (json_int_t)now_ms());
}

static json_t *
lists(void)
{
	json_t *body = with_clock();
	json_t *running = json_array();
	json_t *ended = json_array();

	for (guint i = 0; i < worker.tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker.tasks, i);
		int64_t length_ms = MAX(task->ends_ms - task->started_ms, 1);
		char *saved = checkpoint_text(task->saves);

		json_array_append_new(running,
		    json_pack("[s,i,s,i]", task->name, task->run, saved,
			(int)MIN((now_ms() - task->started_ms) * PERCENT /
				     length_ms,
			    PERCENT - 1)));
		g_free(saved);
	}
	for (const GList *at = worker.ends.head;
	     at != NULL && json_array_size(ended) < MAX_ENDS_LISTED;
	     at = at->next) {
		const end_t *end = at->data;
		char *saved = checkpoint_text(end->saves);

		json_array_append_new(ended,
		    json_pack("[I,s,i,s,s]", (json_int_t)end->number, end->name,
			end->run, end->how, saved));
		g_free(saved);
	}
	json_object_set_new(body, "born", json_integer(worker.born_ms));
	json_object_set_new(body, "running", running);
	json_object_set_new(body, "finishedRuns", ended);
	return body;
}

static void
answer_held(void)
{
	http_request_t *request = worker.held;

	worker.held = NULL;
	http_answer_json(request, 200, lists());
}

static void
turn(void)
{
	int64_t now = now_ms();

	for (guint i = worker.tasks->len; i-- > 0;) {
		task_t *task = g_ptr_array_index(worker.tasks, i);

		task->saves = (int)((now - task->started_ms) / SAVE_MS);
		if (now > worker.lease_end_ms)
			end_task(i, "lapsed");
		else if (now >= task->ends_ms)
			end_task(i, "done");
	}
	if (worker.held != NULL &&
	    (worker.ends.length > 0 || now >= worker.held_until_ms))
		answer_held();
	fflush(stdout);
}

/* ---- orders ---- */

static void
refuse(http_request_t *request, const char *reason)
{
	json_t *body = with_clock();

	json_object_set_new(body, "reason", json_string(reason));
	http_answer_json(request, 409, body);
}

static void
extend_lease(const json_t *order)
{
	int64_t until_ms =
	    json_integer_value(json_object_get(order, "untilMs"));

	worker.lease_end_ms = MAX(
	    worker.lease_end_ms, MIN(until_ms, now_ms() + HOLD_MAX_MS));
}

static int
find_task(const char *name, int run)
{
	for (guint i = 0; i < worker.tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker.tasks, i);

		if (task->run == run && strcmp(task->name, name) == 0)
			return (int)i;
	}
	return -1;
}

static void
start(http_request_t *request, const json_t *order, const char *name, int run)
{
	const char *spec = json_string_value(json_object_get(order, "spec"));
	const char *saved =
	    json_string_value(json_object_get(order, "checkpoint"));
	task_t *task;

	if (find_task(name, run) >= 0) {
		extend_lease(order);
		http_answer_json(request, 200, with_clock());
		return;
	}
	if (run <= GPOINTER_TO_INT(g_hash_table_lookup(worker.highest, name))) {
		extend_lease(order);
		refuse(request, "old");
		return;
	}
	if (json_integer_value(json_object_get(order, "untilMs")) < now_ms()) {
		refuse(request, "late");
		return;
	}
	extend_lease(order);
	task = g_new0(task_t, 1);
	*task = (task_t){.name = g_strdup(name), .run = run};
	task->started_ms = now_ms();
	task->ends_ms = task->started_ms + strtol(spec, NULL, 10);
	g_ptr_array_add(worker.tasks, task);
	printf("start %s %d %lld checkpoint of %zu bytes\n", name, run,
	    (long long)now_ms(), saved != NULL ? strlen(saved) : 0);
	http_answer_json(request, 200, with_clock());
}

static void
stop(http_request_t *request, const char *name, int run)
{
	int i = find_task(name, run);

	raise_highest(name, run);
	if (i >= 0)
		end_task((guint)i, "stopped");
	http_answer_json(request, 200, with_clock());
}

static void
hold(http_request_t *request, const json_t *order)
{
	int64_t cursor =
	    json_integer_value(json_object_get(order, "ackCursor"));
	int64_t wait_ms = json_integer_value(json_object_get(order, "waitMs"));
	end_t *end;

	extend_lease(order);
	while ((end = g_queue_peek_head(&worker.ends)) != NULL &&
	       end->number <= cursor) {
		printf("ack %s %d %s\n", end->name, end->run, end->how);
		g_queue_pop_head(&worker.ends);
		g_free(end->name);
		g_free(end);
	}
	if (worker.held != NULL)
		answer_held();
	worker.held = request;
	worker.held_until_ms = now_ms() + MIN(wait_ms, MAX_WAIT_MS);
}

static void
on_request(void *ctx, http_request_t *request)
{
	str_t path = http_path(request);
	str_t text = http_body(request);
	str_t expected = http_header(request, "X-Expect-Instance");
	json_t *order = json_loadb(text.data, text.len, 0, NULL);
	const char *name = json_string_value(json_object_get(order, "task"));
	int run = (int)json_integer_value(json_object_get(order, "runId"));
	int64_t fence =
	    json_integer_value(json_object_get(order, "fencingToken"));

	turn();
	if (expected.data != NULL && !str_equal(expected, STR_LIT(ID))) {
		http_answer_json(request, 421, with_clock());
	} else if (fence < worker.fence) {
		refuse(request, "fence");
	} else {
		worker.fence = fence;
		if (str_equal(path, STR_LIT("/api/hold")))
			hold(request, order);
		else if (str_equal(path, STR_LIT("/api/run-start")) &&
			 name != NULL)
			start(request, order, name, run);
		else if (str_equal(path, STR_LIT("/api/run-stop")) &&
			 name != NULL)
			stop(request, name, run);
		else
			http_answer_json(request, 400, with_clock());
	}
	json_decref(order);
	turn();
}

/* ---- announcements ---- */

static void
on_announced(void *ctx, const err_t *err, const client_answer_t *answer)
{
	if (err->code != 0 || answer->status / 100 != 2)
		worker.next_control++;
}

static void
announce(void)
{
	static const char *const headers[] = {NULL};
	const char *control =
	    worker.controls[worker.next_control % worker.control_count];
	char **parts = g_strsplit(control, ":", 2);
	json_t *body = json_pack(
	    "{s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s]}", "service",
	    "svc", "zone", "z1", "version", "v1", "slots", 8, "state", "ready",
	    "coldLeftMs", 0, "capacity", "cpu", 64000, "memMb", 64000, "gpu", 8,
	    "labels", "a", "r0");
	client_request_t request = {.address = parts[0],
	    .port = (int)strtol(parts[1], NULL, 10),
	    .method = "POST",
	    .path = "/api/instances/" ID "/heartbeat",
	    .headers = headers,
	    .deadline_ms = CALL_MS};
	char *text;

	json_object_set_new(body, "addr",
	    json_sprintf("%s:%d", worker.address, worker.port));
	json_object_set_new(body, "clockMs", json_integer(now_ms()));
	json_object_set_new(body, "born", json_integer(worker.born_ms));
	json_object_set_new(body, "seq", json_integer(++worker.sequence));
	text = json_dumps(body, JSON_COMPACT);
	request.body = str_from(text);
	client_start(worker.client, &request, on_announced, NULL);
	free(text);
	json_decref(body);
	g_strfreev(parts);
}

static void
on_turn(struct ev_loop *loop, ev_timer *watcher, int events)
{
	turn();
}

static void
on_beat(struct ev_loop *loop, ev_timer *watcher, int events)
{
	announce();
}

int
main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	listener_options_t listen = {.max_body_bytes = MAX_BODY_BYTES,
	    .max_connections = MAX_CONNECTIONS,
	    .idle_timeout_s = IDLE_S};
	err_t err = {0};
	ev_timer turns;
	ev_timer beats;

	if (argc < 5)
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	worker.address = argv[1];
	worker.port = (int)strtol(argv[2], NULL, 10);
	worker.checkpoint_bytes = (int)strtol(argv[3], NULL, 10);
	worker.controls = argv + 4;
	worker.control_count = argc - 4;
	worker.born_ms = clock_real_ms();
	worker.clock_base_ms = clock_mono_ms() - 1000;
	worker.tasks = g_ptr_array_new();
	worker.highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	worker.client = client_create(loop, 2, MAX_BODY_BYTES);
	listen.address = worker.address;
	listen.port = (uint16_t)worker.port;
	if (listener_create(loop, &listen, on_request, NULL, &err) == NULL) {
		fprintf(stderr, "%s\n", err.text);
		return EXIT_FAILURE;
	}
	ev_timer_init(&turns, on_turn, TURN_S, TURN_S);
	ev_timer_start(loop, &turns);
	ev_timer_init(&beats, on_beat, 0, BEAT_S);
	ev_timer_start(loop, &beats);
	ev_run(loop, 0);
	return EXIT_SUCCESS;
}
