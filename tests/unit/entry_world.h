#pragma once

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "entry/listener.h"
#include "tests/unit/entry_fakes.h"

/* Backend servers and callers inside a unit test of the entry task. */

#define GIVE_UP_S 30 /* only stops a test that would hang */
#define LONG_LEASE "\"worker_lease_ms\":600000,"

static struct ev_loop *loop;
/* Whether calls say that they are sent again. */
static bool calls_are_resent;

typedef struct {
	char id[16];
	char domain[8];
	listener_t *listener;
	uint64_t generation;
	uint64_t fence;
	int slots;
	GHashTable *tasks; /* id -> task_t */
	int running;
	int max_running;
	int batch_running;
	int puts;
	int stops;
	int busy_next;      /* so many PUTs are answered "busy" */
	bool fail_all;      /* every task runs and fails */
	bool answers_lost;  /* tasks run, the answers to PUT never come */
	bool requests_lost; /* a PUT never arrives */
	int unclaimed;      /* PUTs of a task that has no open claim */
	bool unreachable;   /* nothing is answered */
	GPtrArray *unanswered;
} worker_t;

typedef struct {
	worker_t *worker;
	char *id;
	const char *state;
	bool ran;
	json_t *result;
	ev_timer timer;
	http_request_t *put;
} task_run_t;

static GHashTable *runs; /* input tag -> number of starts */

static int
runs_of(const char *tag)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(runs, tag));
}

static json_t *
task_json(const task_run_t *task)
{
	json_t *body = json_pack("{s:s, s:s, s:b}", "task", task->id, "state",
	    task->state, "ran", task->ran);

	if (strcmp(task->state, "done") == 0)
		json_object_set(body, "result", task->result);
	if (strcmp(task->state, "failed") == 0)
		json_object_set_new(body, "text", json_string("it failed"));
	return body;
}

static void
task_end(task_run_t *task, const char *state)
{
	http_request_t *put = task->put;

	if (task->ran && strcmp(task->state, "running") == 0)
		task->worker->running--;
	ev_timer_stop(loop, &task->timer);
	task->state = state;
	task->put = NULL;
	if (put != NULL)
		http_answer_json(put, strcmp(state, "stopped") == 0 ? 410 : 200,
		    task_json(task));
}

static void
on_task_timer(struct ev_loop *l, ev_timer *timer, int events)
{
	task_run_t *task = timer->data;

	task_end(task, task->worker->fail_all ? "failed" : "done");
}

static void
task_free(void *data)
{
	task_run_t *task = data;

	ev_timer_stop(loop, &task->timer);
	if (task->put != NULL)
		g_ptr_array_add(task->worker->unanswered, task->put);
	json_decref(task->result);
	g_free(task->id);
	g_free(task);
}

static task_run_t *
task_add(worker_t *worker, const char *id)
{
	task_run_t *task = g_new0(task_run_t, 1);

	task->worker = worker;
	task->id = g_strdup(id);
	task->state = "stopped";
	task->result = json_null();
	ev_init(&task->timer, on_task_timer);
	task->timer.data = task;
	g_hash_table_insert(worker->tasks, task->id, task);
	return task;
}

typedef struct {
	const char *task;
	bool found;
} find_claim_t;

static bool
is_claim_of(void *ctx, const machine_claim_t *claim)
{
	find_claim_t *find = ctx;

	find->found |=
	    strcmp(claim->task, find->task) == 0 && claim->state == CLAIM_OPEN;
	return !find->found;
}

static void
worker_put(worker_t *worker, http_request_t *http, const char *id)
{
	json_t *body =
	    json_loadb(http_body(http).data, http_body(http).len, 0, NULL);
	json_t *input = json_object_get(body, "input");
	const char *tag = json_string_value(json_object_get(input, "tag"));
	int64_t sleep_ms =
	    json_integer_value(json_object_get(input, "sleep_ms"));
	task_run_t *task = g_hash_table_lookup(worker->tasks, id);
	find_claim_t find = {id, false};

	worker->puts++;
	machine_each_claim(fake.machine, is_claim_of, &find);
	worker->unclaimed += !find.found;
	if (worker->requests_lost) {
		g_ptr_array_add(worker->unanswered, http);
	} else if (task == NULL && (worker->busy_next > 0 ||
				       worker->running >= worker->slots)) {
		worker->busy_next -= worker->busy_next > 0;
		http_answer_json(
		    http, 503, json_pack("{s:s}", "error", "busy"));
	} else if (task != NULL) {
		http_answer_json(http,
		    strcmp(task->state, "stopped") == 0 ? 410 : 200,
		    task_json(task));
	} else {
		task = task_add(worker, id);
		task->state = "running";
		task->ran = true;
		json_decref(task->result);
		task->result = json_incref(input);
		worker->running++;
		worker->max_running = MAX(worker->max_running, worker->running);
		if (tag != NULL)
			g_hash_table_insert(runs, g_strdup(tag),
			    GINT_TO_POINTER(runs_of(tag) + 1));
		if (worker->answers_lost)
			g_ptr_array_add(worker->unanswered, http);
		else
			task->put = http;
		ev_timer_set(&task->timer, (double)sleep_ms / 1000.0, 0);
		ev_timer_start(loop, &task->timer);
	}
	json_decref(body);
}

static void
on_worker_http(void *ctx, http_request_t *http)
{
	worker_t *worker = ctx;
	str_t path = http_path(http);
	char *text = g_strndup(path.data, path.len);
	char **parts = g_strsplit(text, "/", -1);
	const char *id = parts[3] != NULL ? parts[3] : "";
	const char *action = parts[3] != NULL ? parts[4] : NULL;
	task_run_t *task = g_hash_table_lookup(worker->tasks, id);
	uint64_t fence = g_ascii_strtoull(
	    http_header(http, "X-Chervilhold-Fence").data, NULL, 10);

	if (worker->unreachable) {
		g_ptr_array_add(worker->unanswered, http);
		goto done;
	}
	if (fence < worker->fence) {
		http_answer_json(
		    http, 409, json_pack("{s:s}", "error", "fenced"));
		goto done;
	}
	worker->fence = fence;
	if (action == NULL && str_equal(http_method(http), STR_LIT("PUT"))) {
		worker_put(worker, http, id);
	} else if (g_strcmp0(action, "stop") == 0) {
		worker->stops++;
		if (task == NULL)
			task = task_add(worker, id);
		else if (strcmp(task->state, "running") == 0)
			task_end(task, "stopped");
		http_answer_json(http, 200, task_json(task));
	} else if (task == NULL) {
		http_answer_json(
		    http, 404, json_pack("{s:s}", "state", "unknown"));
	} else {
		http_answer_json(http, 200, task_json(task));
	}
done:
	g_strfreev(parts);
	g_free(text);
}

static void
worker_start(worker_t *worker, const char *id, const char *domain, int slots)
{
	listener_options_t options = {.address = "127.0.0.1",
	    .max_body_bytes = 1 << 20,
	    .max_connections = 1000,
	    .idle_timeout_s = 60};
	err_t err = {0};

	memset(worker, 0, sizeof(*worker));
	g_strlcpy(worker->id, id, sizeof(worker->id));
	g_strlcpy(worker->domain, domain, sizeof(worker->domain));
	worker->generation = 1;
	worker->slots = slots;
	worker->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	worker->unanswered = g_ptr_array_new();
	worker->listener =
	    listener_create(loop, &options, on_worker_http, worker, &err);
	ck_assert_msg(worker->listener != NULL, "%s", err.text);
}

static void
worker_stop(worker_t *worker)
{
	g_hash_table_unref(worker->tasks);
	listener_destroy(worker->listener);
	for (guint i = 0; i < worker->unanswered->len; i++)
		http_answer_json(g_ptr_array_index(worker->unanswered, i), 200,
		    json_object());
	g_ptr_array_unref(worker->unanswered);
}

/* Forgets everything, as a restarted process does. */
static inline void
worker_restart(worker_t *worker)
{
	g_hash_table_remove_all(worker->tasks);
	worker->running = 0;
	worker->generation++;
	worker->fence = 0;
}

/* ---- callers ---- */

typedef struct {
	int fd;
	ev_io io;
	GString *received;
	bool done;
	int status;
	json_t *body;
	char id[160]; /* of the request */
} call_t;

static void
call_parse(call_t *call)
{
	const char *body = strstr(call->received->str, "\r\n\r\n");
	const char *id = strstr(call->received->str, "X-Chervilhold-Request: ");

	call->done = true;
	ev_io_stop(loop, &call->io);
	if (body == NULL)
		return;
	call->status = atoi(call->received->str + 9);
	call->body = json_loads(body + 4, JSON_DECODE_ANY, NULL);
	if (id != NULL)
		sscanf(id, "X-Chervilhold-Request: %159s", call->id);
}

static void
on_call_data(struct ev_loop *l, ev_io *watcher, int events)
{
	call_t *call = watcher->data;
	char buffer[8192];
	ssize_t n = recv(watcher->fd, buffer, sizeof(buffer), 0);

	if (n > 0)
		g_string_append_len(call->received, buffer, n);
	else if (n == 0 || errno != EAGAIN)
		call_parse(call);
}

/* Starts a call to an instance; key and body may be NULL. */
static void
call_start(call_t *call, int instance, const char *method, const char *path,
    const char *key, const char *body)
{
	uint16_t port = entry_port(fake.instances[instance].entry);
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	GString *text = g_string_new(NULL);

	memset(call, 0, sizeof(*call));
	call->received = g_string_new(NULL);
	call->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
	    connect(call->fd, (struct sockaddr *)&to, sizeof(to)), 0);
	g_string_printf(text,
	    "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", method, path);
	if (key != NULL)
		g_string_append_printf(text, "Idempotency-Key: %s\r\n", key);
	if (calls_are_resent)
		g_string_append(text, "X-Chervilhold-Resend: 1\r\n");
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n%s",
	    body != NULL ? strlen(body) : 0, body != NULL ? body : "");
	ck_assert_int_eq(send(call->fd, text->str, text->len, MSG_NOSIGNAL),
	    (ssize_t)text->len);
	g_string_free(text, TRUE);
	fcntl(call->fd, F_SETFL, O_NONBLOCK);
	ev_io_init(&call->io, on_call_data, call->fd, EV_READ);
	call->io.data = call;
	ev_io_start(loop, &call->io);
}

static void
call_end(call_t *call)
{
	if (call->received == NULL)
		return;
	ev_io_stop(loop, &call->io);
	close(call->fd);
	g_string_free(call->received, TRUE);
	json_decref(call->body);
	call->received = NULL;
	call->body = NULL;
}

static void
on_world_tick(struct ev_loop *l, ev_timer *watcher, int events)
{
}

/* Turns the loop for ms, or until *flag is true. */
static void
turn(int64_t ms, const bool *flag)
{
	int64_t end_ms = clock_mono_ms() + ms;
	ev_timer tick;

	ev_timer_init(&tick, on_world_tick, 0.005, 0.005);
	ev_timer_start(loop, &tick);
	while ((flag == NULL || !*flag) && clock_mono_ms() < end_ms)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &tick);
}

static void
call_wait(call_t *call)
{
	turn(GIVE_UP_S * 1000, &call->done);
	ck_assert_msg(call->done, "no answer");
}

static const char *
text_of(const call_t *call, const char *field)
{
	const char *text =
	    json_string_value(json_object_get(call->body, field));

	return text != NULL ? text : "";
}

/* Calls and waits for the answer. */
static void
call_do(call_t *call, int instance, const char *method, const char *path,
    const char *key, const char *body)
{
	call_start(call, instance, method, path, key, body);
	call_wait(call);
}

static void
worker_announce(worker_t *worker, int instance)
{
	call_t call;
	char *body = g_strdup_printf(
	    "{\"id\":\"%s\",\"address\":\"127.0.0.1\",\"port\":%d,"
	    "\"domain\":\"%s\",\"rack\":\"r1\",\"slots\":%d,"
	    "\"connections\":64,\"accelerators\":8,\"generation\":%d}",
	    worker->id, listener_port(worker->listener), worker->domain,
	    worker->slots, (int)worker->generation);

	call_do(&call, instance, "POST", "/v1/workers", NULL, body);
	ck_assert_int_eq(call.status, 200);
	call_end(&call);
	g_free(body);
}

/* A key of now; the same number gives the same key within a test. */
static const char *
key_of(int number)
{
	static int64_t stamp_ms;
	static char key[64];

	if (stamp_ms == 0)
		stamp_ms = clock_real_ms();
	g_snprintf(
	    key, sizeof(key), "%lld-test%08d", (long long)stamp_ms, number);
	return key;
}

static void
world_start(int instances, const char *extra)
{
	counters_reset();
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_start(loop, instances, extra);
}

static void
world_stop(void)
{
	fake_stop();
	g_hash_table_unref(runs);
}
