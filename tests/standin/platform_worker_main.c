/*
 * standin-platform_worker: backend servers that speak the platform's protocol.
 * A task takes as many milliseconds as its payload says; "fail" makes it fail.
 * Prints "start TASK RUN WORKER MS" and "end TASK RUN WORKER MS HOW".
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
#define MAX_CONNECTIONS 256
#define IDLE_S 120
#define BEAT_S 0.5
#define TURN_S 0.01
#define CALL_MS 1000

typedef struct {
	char *name;
	json_int_t run;
	int64_t ends_ms;
	bool fails;
} task_t;

typedef struct {
	http_request_t *request;
	int64_t until_ms;
} held_t;

typedef struct {
	int number;
	char *id;
	int port;
	listener_t *listener;
	GPtrArray *tasks; /* task_t */
	json_t *ends;     /* rows that are not acknowledged */
	json_t *highest;  /* task -> highest run that ended or was stopped */
	json_int_t next_end;
	json_int_t fence;
	int64_t lease_end_ms;
	held_t held; /* at most one poll waits */
	json_int_t sequence;
} worker_t;

static struct {
	char *address;
	int first_port;
	int count;
	int accelerators;
	int first_number;
	char *advertised;
	char **controls;
} options;

static const GOptionEntry entries[] = {
    {"address", 0, 0, G_OPTION_ARG_STRING, &options.address,
	"Address to listen on", "IP"},
    {"port", 0, 0, G_OPTION_ARG_INT, &options.first_port, "First port", "N"},
    {"count", 0, 0, G_OPTION_ARG_INT, &options.count, "Backend servers", "N"},
    {"accelerators", 0, 0, G_OPTION_ARG_INT, &options.accelerators,
	"Accelerators of each", "N"},
    {"first", 0, 0, G_OPTION_ARG_INT, &options.first_number,
	"Number of the first backend server", "N"},
    {"advertise", 0, 0, G_OPTION_ARG_STRING, &options.advertised,
	"Address to announce instead, with the same ports", "IP"},
    {"control", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.controls,
	"Control address, ADDRESS:PORT; may be given several times", "A"},
    {NULL},
};

static client_t *client;
static worker_t *workers;
static int64_t born_ms;
static size_t next_control;

static json_t *
answer_body(void)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_mono_ms(),
	    "born", (json_int_t)born_ms);
}

static void
refuse(http_request_t *request, const char *reason)
{
	json_t *body = answer_body();

	json_object_set_new(body, "reason", json_string(reason));
	http_answer_json(request, 409, body);
}

static void
free_task(void *data)
{
	task_t *task = data;

	g_free(task->name);
	g_free(task);
}

/* A task of a lapsed lease has ended with it, even if the process stood still.
 */
static void
end_task(worker_t *worker, guint i, const char *how)
{
	const task_t *task = g_ptr_array_index(worker->tasks, i);

	printf("end %s %d %s %lld %s\n", task->name, (int)task->run, worker->id,
	    (long long)MIN(clock_mono_ms(), worker->lease_end_ms), how);
	fflush(stdout);
	json_array_append_new(
	    worker->ends, json_pack("[I,s,I,s,s]", ++worker->next_end,
			      task->name, task->run, how, ""));
	json_object_set_new(
	    worker->highest, task->name, json_integer(task->run));
	g_ptr_array_remove_index(worker->tasks, i);
}

static task_t *
find_task(const worker_t *worker, const char *name, guint *index)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		if (strcmp(task->name, name) == 0) {
			*index = i;
			return task;
		}
	}
	return NULL;
}

static void
on_start(worker_t *worker, http_request_t *request, const json_t *order)
{
	const char *name = json_string_value(json_object_get(order, "task"));
	const char *spec = json_string_value(json_object_get(order, "spec"));
	json_int_t run = json_integer_value(json_object_get(order, "runId"));
	int64_t until = json_integer_value(json_object_get(order, "untilMs"));
	task_t *task;
	guint i;

	worker->lease_end_ms = MAX(worker->lease_end_ms, until);
	task = find_task(worker, name, &i);
	if (task != NULL && task->run == run) {
		http_answer_json(request, 200, answer_body());
	} else if (task != NULL || json_integer_value(json_object_get(
				       worker->highest, name)) >= run) {
		refuse(request, "old");
	} else if (until < clock_mono_ms()) {
		refuse(request, "late");
	} else {
		task = g_new0(task_t, 1);
		task->name = g_strdup(name);
		task->run = run;
		task->fails = strcmp(spec, "fail") == 0;
		task->ends_ms = clock_mono_ms() + strtol(spec, NULL, 10);
		g_ptr_array_add(worker->tasks, task);
		printf("start %s %d %s %lld\n", name, (int)run, worker->id,
		    (long long)clock_mono_ms());
		fflush(stdout);
		http_answer_json(request, 200, answer_body());
	}
}

static void
on_stop(worker_t *worker, http_request_t *request, const json_t *order)
{
	const char *name = json_string_value(json_object_get(order, "task"));
	json_int_t run = json_integer_value(json_object_get(order, "runId"));
	const task_t *task;
	guint i;

	task = find_task(worker, name, &i);
	if (task != NULL && task->run == run)
		end_task(worker, i, "stopped");
	else if (json_integer_value(json_object_get(worker->highest, name)) <
		 run)
		json_object_set_new(worker->highest, name, json_integer(run));
	http_answer_json(request, 200, answer_body());
}

static void
answer_poll(worker_t *worker)
{
	json_t *body = answer_body();
	json_t *running = json_array();

	for (guint i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);

		json_array_append_new(running,
		    json_pack("[s,I,s,i]", task->name, task->run, "", 50));
	}
	json_object_set_new(body, "running", running);
	json_object_set(body, "finishedRuns", worker->ends);
	http_answer_json(worker->held.request, 200, body);
	worker->held.request = NULL;
}

static void
on_poll(worker_t *worker, http_request_t *request, const json_t *order)
{
	json_int_t acknowledged =
	    json_integer_value(json_object_get(order, "ackCursor"));

	worker->lease_end_ms = MAX(worker->lease_end_ms,
	    json_integer_value(json_object_get(order, "untilMs")));
	while (json_integer_value(json_array_get(
		   json_array_get(worker->ends, 0), 0)) <= acknowledged &&
	       json_array_size(worker->ends) > 0)
		json_array_remove(worker->ends, 0);
	if (worker->held.request != NULL)
		answer_poll(worker);
	worker->held = (held_t){
	    request, clock_mono_ms() +
			 json_integer_value(json_object_get(order, "waitMs"))};
	if (json_array_size(worker->ends) > 0 ||
	    clock_mono_ms() >= worker->held.until_ms)
		answer_poll(worker);
}

static void
on_request(void *ctx, http_request_t *request)
{
	worker_t *worker = ctx;
	str_t body = http_body(request);
	json_t *order = json_loadb(body.data, body.len, 0, NULL);
	json_int_t fence =
	    json_integer_value(json_object_get(order, "fencingToken"));

	if (fence < worker->fence) {
		printf("fenced %s\n", worker->id);
		fflush(stdout);
		refuse(request, "fence");
	} else if (str_equal(http_path(request), STR_LIT("/api/run-start")))
		on_start(worker, request, order);
	else if (str_equal(http_path(request), STR_LIT("/api/run-stop")))
		on_stop(worker, request, order);
	else if (str_equal(http_path(request), STR_LIT("/api/hold")))
		on_poll(worker, request, order);
	else
		http_answer_json(request, 404, json_object());
	worker->fence = MAX(worker->fence, fence);
	json_decref(order);
}

static void
on_turn(struct ev_loop *loop, ev_timer *watcher, int events)
{
	int64_t now_ms = clock_mono_ms();

	for (int w = 0; w < options.count; w++) {
		worker_t *worker = &workers[w];

		for (guint i = worker->tasks->len; i-- > 0;) {
			const task_t *task =
			    g_ptr_array_index(worker->tasks, i);

			if (now_ms > worker->lease_end_ms)
				end_task(worker, i, "lapsed");
			else if (task->fails)
				end_task(worker, i, "failed");
			else if (now_ms >= task->ends_ms)
				end_task(worker, i, "done");
		}
		if (worker->held.request != NULL &&
		    (json_array_size(worker->ends) > 0 ||
			now_ms >= worker->held.until_ms))
			answer_poll(worker);
	}
}

static void
on_beaten(void *ctx, const err_t *err, const client_answer_t *answer)
{
	if (err->code != 0 || answer->status != 200)
		next_control++;
}

static void
beat(worker_t *worker)
{
	static const char *const headers[] = {NULL};
	size_t controls = g_strv_length(options.controls);
	char **parts =
	    g_strsplit(options.controls[next_control % controls], ":", 2);
	char *path = g_strdup_printf("/api/instances/%s/heartbeat", worker->id);
	char *address = g_strdup_printf("%s:%d",
	    options.advertised != NULL ? options.advertised : options.address,
	    worker->port);
	char rack[8];
	json_t *body;
	char *text;
	client_request_t request = {
	    .address = parts[0],
	    .port = (int)strtol(parts[1], NULL, 10),
	    .method = "POST",
	    .path = path,
	    .headers = headers,
	    .deadline_ms = CALL_MS,
	};

	g_snprintf(rack, sizeof(rack), "r%d", worker->number / 4);
	body = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
	    "service", "svc", "addr", address, "zone", "d1", "version", "v1",
	    "slots", 8, "state", "ready", "capacity", "cpu", 64000, "memMb",
	    64000, "gpu", options.accelerators, "labels", "a", rack, "clockMs",
	    (json_int_t)clock_mono_ms(), "seq", ++worker->sequence, "born",
	    (json_int_t)born_ms);
	text = json_dumps(body, JSON_COMPACT);
	request.body = str_from(text);
	client_start(client, &request, on_beaten, NULL);
	free(text);
	json_decref(body);
	g_free(address);
	g_free(path);
	g_strfreev(parts);
}

static void
on_beat(struct ev_loop *loop, ev_timer *watcher, int events)
{
	for (int w = 0; w < options.count; w++)
		beat(&workers[w]);
}

static void
start_worker(struct ev_loop *loop, int number)
{
	worker_t *worker = &workers[number];
	listener_options_t listen = {
	    .address = options.address,
	    .port =
		(uint16_t)(options.first_port + options.first_number + number),
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_connections = MAX_CONNECTIONS,
	    .idle_timeout_s = IDLE_S,
	};
	err_t err = {0};

	worker->number = options.first_number + number;
	worker->id = g_strdup_printf("w%02d", worker->number);
	worker->port = listen.port;
	worker->tasks = g_ptr_array_new_with_free_func(free_task);
	worker->ends = json_array();
	worker->highest = json_object();
	worker->listener =
	    listener_create(loop, &listen, on_request, worker, &err);
	if (worker->listener == NULL) {
		fprintf(stderr, "%s\n", err.text);
		exit(EXIT_FAILURE);
	}
}

static void
stop_worker(worker_t *worker)
{
	if (worker->held.request != NULL)
		answer_poll(worker);
	listener_destroy(worker->listener);
	g_ptr_array_unref(worker->tasks);
	json_decref(worker->ends);
	json_decref(worker->highest);
	g_free(worker->id);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	ev_signal stop;
	ev_timer turn;
	ev_timer beats;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    options.controls == NULL)
		return EXIT_FAILURE;
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	born_ms = clock_real_ms();
	client = client_create(loop, 4, MAX_BODY_BYTES);
	workers = g_new0(worker_t, options.count);
	for (int w = 0; w < options.count; w++)
		start_worker(loop, w);
	ev_timer_init(&turn, on_turn, TURN_S, TURN_S);
	ev_timer_start(loop, &turn);
	ev_timer_init(&beats, on_beat, 0, BEAT_S);
	ev_timer_start(loop, &beats);
	ev_signal_init(&stop, on_signal, SIGTERM);
	ev_signal_start(loop, &stop);
	ev_run(loop, 0);
	for (int w = 0; w < options.count; w++)
		stop_worker(&workers[w]);
	g_free(workers);
	client_destroy(client);
	g_strfreev(options.controls);
	g_free(options.address);
	g_free(options.advertised);
	return EXIT_SUCCESS;
}
