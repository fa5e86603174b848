#include "tests/standin/platform_worker.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "entry/listener.h"
#include "tests/standin/life.h"
#include "tests/standin/order_faults.h"

#define MAX_BODY_BYTES 1048576
#define MAX_CONNECTIONS 256
#define IDLE_S 120
#define CALL_MS 1000
#define DEREGISTER_RETRY_MS 500
#define MAX_WAIT_MS 2000
#define WORKERS_PER_RACK 4
#define ID_BYTES 32
/* Later incarnations count from far below, so that mixed-up clocks show. */
#define FIRST_CLOCK_MS 1000000
#define NEXT_CLOCK_MS 1000

/* A poll that waits for an end. */
typedef struct {
	http_request_t *request; /* NULL: none waits */
	int64_t until_ms;
} held_poll_t;

/* A request that is never answered; it is kept until its caller has gone. */
typedef struct {
	platform_worker_t *worker;
	http_request_t *request;
	GList link;
} silent_request_t;

/* An order under way that nobody waits for any more. */
typedef struct {
	order_kind_t kind;
	char *expected_id; /* NULL: any incarnation */
	json_t *order;
	int64_t due_ms;
	GList link;
} late_order_t;

/* A planned end; times are 0 until they are known. */
typedef struct {
	int64_t deregister_ms;
	int64_t next_try_ms;
	int64_t linger_ms; /* how long it runs without an acknowledgement */
	bool is_ack_lost;
	bool is_acknowledged;
} departure_t;

struct platform_worker_t {
	struct ev_loop *loop;
	platform_worker_options_t options;
	char id[ID_BYTES];
	int life_number;
	life_t *life;         /* NULL while it is down and once it has left */
	int64_t return_ms;    /* when it is up again, 0: not to be */
	int64_t born_real_ms; /* of the latest incarnation */
	listener_t *listener;
	order_faults_t faults;
	held_poll_t held;
	GQueue silent; /* silent_request_t */
	GQueue late;   /* late_order_t */
	departure_t departure;
	int64_t sequence;
	size_t next_control;
};

/* ---- answers ---- */

/* Ends a request whose caller has gone, so that the answer reaches nobody. */
static void
silent_request_free(silent_request_t *silent)
{
	http_answer_json(silent->request, 500, json_object());
	g_free(silent);
}

static void
on_caller_gone(void *ctx)
{
	silent_request_t *silent = ctx;

	g_queue_unlink(&silent->worker->silent, &silent->link);
	silent_request_free(silent);
}

/* Leaves a request without an answer. */
static void
leave_unanswered(platform_worker_t *worker, http_request_t *request)
{
	silent_request_t *silent = g_new0(silent_request_t, 1);

	silent->worker = worker;
	silent->request = request;
	silent->link.data = silent;
	g_queue_push_tail_link(&worker->silent, &silent->link);
	http_on_gone(request, on_caller_gone, silent);
}

/* Answers, takes the reference of body. */
static void
answer_order(platform_worker_t *worker, order_kind_t kind,
    http_request_t *request, int status, json_t *body)
{
	order_fault_t fault = order_faults_answer(&worker->faults, kind);
	char *text;

	if (fault.is_lost) {
		leave_unanswered(worker, request);
	} else {
		text = order_faults_body(fault.body, body);
		http_answer_bytes(
		    request, status, "application/json", str_from(text));
		free(text);
	}
	json_decref(body);
}

static void
answer_held_poll(platform_worker_t *worker)
{
	http_request_t *request = worker->held.request;

	worker->held.request = NULL;
	answer_order(
	    worker, ORDER_POLL, request, 200, life_lists(worker->life));
}

static void
hold_poll(
    platform_worker_t *worker, http_request_t *request, const json_t *order)
{
	int64_t wait_ms = json_integer_value(json_object_get(order, "waitMs"));

	if (worker->held.request != NULL)
		answer_held_poll(worker);
	worker->held =
	    (held_poll_t){request, clock_mono_ms() + MIN(wait_ms, MAX_WAIT_MS)};
}

static void
answer_polls_due(platform_worker_t *worker)
{
	if (worker->held.request != NULL &&
	    (life_has_ends(worker->life) ||
		clock_mono_ms() >= worker->held.until_ms))
		answer_held_poll(worker);
}

/* ---- orders ---- */

static order_reply_t
carry_out(platform_worker_t *worker, order_kind_t kind, const char *expected_id,
    const json_t *order)
{
	life_t *life = worker->life;

	if (expected_id != NULL && strcmp(expected_id, worker->id) != 0)
		return life_refuse_incarnation(life);
	switch (kind) {
	case ORDER_START:
		return life_start(life, order);
	case ORDER_STOP:
		return life_stop(life, order, worker->faults.stop_ms);
	default:
		return life_poll(life, order);
	}
}

/* Names the task of a start or stop, or the cursor of a poll. */
static void
print_late(const platform_worker_t *worker, const char *event,
    const late_order_t *late)
{
	const char *task =
	    json_string_value(json_object_get(late->order, "task"));
	json_int_t cursor =
	    json_integer_value(json_object_get(late->order, "ackCursor"));
	char *subject =
	    task != NULL ? g_strdup(task) : g_strdup_printf("%d", (int)cursor);

	printf("%s %s %s %s/%d %lld\n", event, order_kind_name(late->kind),
	    subject, worker->id, worker->life_number,
	    (long long)clock_mono_ms());
	fflush(stdout);
	g_free(subject);
}

static void
postpone(platform_worker_t *worker, order_kind_t kind, const char *expected_id,
    json_t *order, int64_t delay_ms)
{
	late_order_t *late = g_new0(late_order_t, 1);

	*late = (late_order_t){
	    .kind = kind,
	    .expected_id = g_strdup(expected_id),
	    .order = json_incref(order),
	    .due_ms = clock_mono_ms() + delay_ms,
	};
	late->link.data = late;
	g_queue_push_tail_link(&worker->late, &late->link);
	print_late(worker, "postponed", late);
}

static void
free_late(late_order_t *late)
{
	g_free(late->expected_id);
	json_decref(late->order);
	g_free(late);
}

/* Whichever incarnation is there then carries the order out. */
static void
carry_out_late(platform_worker_t *worker)
{
	int64_t now_ms = clock_mono_ms();
	GList *next;

	for (GList *at = worker->late.head; at != NULL; at = next) {
		late_order_t *late = at->data;

		next = at->next;
		if (now_ms < late->due_ms)
			continue;
		g_queue_unlink(&worker->late, at);
		print_late(worker, "late", late);
		json_decref(carry_out(
		    worker, late->kind, late->expected_id, late->order)
				.body);
		free_late(late);
	}
}

static bool
read_kind(str_t path, order_kind_t *kind)
{
	if (str_equal(path, STR_LIT("/api/run-start")))
		*kind = ORDER_START;
	else if (str_equal(path, STR_LIT("/api/run-stop")))
		*kind = ORDER_STOP;
	else if (str_equal(path, STR_LIT("/api/hold")))
		*kind = ORDER_POLL;
	else
		return false;
	return true;
}

static void
process_order(platform_worker_t *worker, order_kind_t kind,
    http_request_t *request, json_t *order)
{
	str_t expected = http_header(request, "X-Expect-Instance");
	char *expected_id = g_strndup(expected.data, expected.len);
	int64_t delay_ms = order_faults_delay(&worker->faults, kind);
	order_reply_t reply;

	if (delay_ms > 0) {
		postpone(worker, kind, expected_id, order, delay_ms);
		leave_unanswered(worker, request);
		g_free(expected_id);
		return;
	}
	reply = carry_out(worker, kind, expected_id, order);
	if (reply.body != NULL)
		answer_order(worker, kind, request, reply.status, reply.body);
	else
		hold_poll(worker, request, order);
	answer_polls_due(worker);
	g_free(expected_id);
}

static void
on_request(void *ctx, http_request_t *request)
{
	platform_worker_t *worker = ctx;
	str_t body = http_body(request);
	json_t *order = json_loadb(body.data, body.len, 0, NULL);
	order_kind_t kind;

	if (read_kind(http_path(request), &kind))
		process_order(worker, kind, request, order);
	else
		http_answer_json(request, 404, json_object());
	json_decref(order);
}

/* ---- announcements ---- */

/* Calls a control instance about this worker. */
static void
call_control(platform_worker_t *worker, const char *verb, const json_t *body,
    client_done_t *done)
{
	static const char *const headers[] = {NULL};
	char **controls = worker->options.controls;
	size_t chosen = worker->next_control % g_strv_length(controls);
	char **parts = g_strsplit(controls[chosen], ":", 2);
	char *path = g_strdup_printf("/api/instances/%s/%s", worker->id, verb);
	char *text = json_dumps(body, JSON_COMPACT);
	client_request_t request = {
	    .address = parts[0],
	    .port = (int)strtol(parts[1], NULL, 10),
	    .method = "POST",
	    .path = path,
	    .headers = headers,
	    .body = str_from(text),
	    .deadline_ms = CALL_MS,
	};

	client_start(worker->options.client, &request, done, worker);
	free(text);
	g_free(path);
	g_strfreev(parts);
}

static bool
is_acknowledged(const err_t *err, const client_answer_t *answer)
{
	return err->code == 0 && answer->status / 100 == 2;
}

static void
on_announced(void *ctx, const err_t *err, const client_answer_t *answer)
{
	platform_worker_t *worker = ctx;

	if (!is_acknowledged(err, answer))
		worker->next_control++;
}

static json_t *
announcement(platform_worker_t *worker)
{
	const platform_worker_options_t *options = &worker->options;
	int group = options->number / WORKERS_PER_RACK;
	char domain[16];
	char rack[16];
	json_t *body;

	g_snprintf(rack, sizeof(rack), "r%d", group);
	g_snprintf(domain, sizeof(domain), "d%d", group + 1);
	body = json_pack("{s:s,s:s,s:s,s:i,s:i,s:{s:i,s:i,s:i},s:[s,s]}",
	    "service", "svc", "zone", domain, "version", "v1", "slots", 8,
	    "coldLeftMs", 0, "capacity", "cpu", 64000, "memMb", 64000, "gpu",
	    options->accelerators, "labels", "a", rack);
	json_object_set_new(body, "addr",
	    json_sprintf("%s:%d",
		options->advertised != NULL ? options->advertised
					    : options->address,
		options->port));
	json_object_set_new(
	    body, "clockMs", json_integer(life_clock_ms(worker->life)));
	json_object_set_new(body, "born", json_integer(worker->born_real_ms));
	json_object_set_new(body, "seq", json_integer(++worker->sequence));
	return body;
}

void
platform_worker_announce(platform_worker_t *worker)
{
	const departure_t *departure = &worker->departure;
	int64_t now_ms = clock_mono_ms();
	bool is_draining = departure->deregister_ms > 0;
	json_t *body;

	if (worker->life == NULL || worker->faults.is_unheard ||
	    (is_draining && now_ms >= departure->deregister_ms))
		return;
	body = announcement(worker);
	json_object_set_new(
	    body, "state", json_string(is_draining ? "draining" : "ready"));
	if (is_draining)
		json_object_set_new(body, "remainingMs",
		    json_integer(departure->deregister_ms - now_ms));
	call_control(worker, "heartbeat", body, on_announced);
	json_decref(body);
}

/* ---- incarnations ---- */

static bool
begin_life(platform_worker_t *worker, int64_t clock_ms, err_t *err)
{
	const platform_worker_options_t *options = &worker->options;
	listener_options_t listen = {
	    .address = options->address,
	    .port = (uint16_t)options->port,
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_connections = MAX_CONNECTIONS,
	    .idle_timeout_s = IDLE_S,
	};
	life_options_t life = {
	    .id = worker->id,
	    .number = ++worker->life_number,
	    .clock_ms = clock_ms,
	    .hold_max_ms = options->hold_max_ms,
	    .born_real_ms = MAX(clock_real_ms(), worker->born_real_ms + 1),
	};

	worker->listener =
	    listener_create(worker->loop, &listen, on_request, worker, err);
	if (worker->listener == NULL)
		return false;
	worker->born_real_ms = life.born_real_ms;
	worker->life = life_create(&life);
	worker->sequence = 0;
	return true;
}

/* Connections break; orders under way stay so. */
static void
end_life(platform_worker_t *worker, const char *why)
{
	GList *at;

	listener_destroy(worker->listener);
	worker->listener = NULL;
	if (worker->held.request != NULL)
		http_answer_json(worker->held.request, 500, json_object());
	worker->held.request = NULL;
	while ((at = g_queue_pop_head_link(&worker->silent)) != NULL)
		silent_request_free(at->data);
	life_destroy(worker->life, why);
	worker->life = NULL;
	worker->departure = (departure_t){0};
}

static void
return_after_crash(platform_worker_t *worker)
{
	err_t err = {0};

	if (worker->return_ms == 0 || clock_mono_ms() < worker->return_ms)
		return;
	worker->return_ms = 0;
	if (!begin_life(worker, NEXT_CLOCK_MS, &err)) {
		fprintf(stderr, "%s\n", err.text);
		exit(EXIT_FAILURE);
	}
	platform_worker_announce(worker);
}

/* Crashes and comes back, under its id or under a new one. */
static bool
restart(platform_worker_t *worker, const json_t *body)
{
	const json_t *accelerators = json_object_get(body, "accelerators");

	if (worker->life == NULL)
		return false;
	if (accelerators != NULL)
		worker->options.accelerators =
		    (int)json_integer_value(accelerators);
	end_life(worker, "crashed");
	if (json_is_true(json_object_get(body, "new_id")))
		g_snprintf(worker->id, sizeof(worker->id), "w%02d-%d",
		    worker->options.number, worker->life_number + 1);
	worker->return_ms =
	    clock_mono_ms() +
	    json_integer_value(json_object_get(body, "down_ms"));
	return_after_crash(worker);
	return true;
}

static void
on_deregistered(void *ctx, const err_t *err, const client_answer_t *answer)
{
	platform_worker_t *worker = ctx;

	if (!is_acknowledged(err, answer))
		worker->next_control++;
	else if (!worker->departure.is_ack_lost)
		worker->departure.is_acknowledged = true;
}

/* Deregisters until it is acknowledged, and ends some time later without. */
static void
depart(platform_worker_t *worker)
{
	departure_t *departure = &worker->departure;
	int64_t now_ms = clock_mono_ms();
	json_t *body;

	if (departure->deregister_ms == 0 || now_ms < departure->deregister_ms)
		return;
	if (departure->is_acknowledged ||
	    now_ms >= departure->deregister_ms + departure->linger_ms) {
		end_life(worker, "left");
		return;
	}
	if (now_ms < departure->next_try_ms)
		return;
	departure->next_try_ms = now_ms + DEREGISTER_RETRY_MS;
	body = json_pack("{s:I}", "born", (json_int_t)worker->born_real_ms);
	call_control(worker, "deregister", body, on_deregistered);
	json_decref(body);
}

static bool
leave(platform_worker_t *worker, const json_t *body)
{
	if (worker->life == NULL)
		return false;
	worker->departure = (departure_t){
	    .deregister_ms =
		clock_mono_ms() +
		json_integer_value(json_object_get(body, "drain_ms")),
	    .linger_ms = json_integer_value(json_object_get(body, "linger_ms")),
	    .is_ack_lost = json_is_true(json_object_get(body, "ack_lost")),
	};
	platform_worker_announce(worker);
	return true;
}

bool
platform_worker_command(
    platform_worker_t *worker, str_t command, const json_t *body)
{
	if (str_equal(command, STR_LIT("faults")))
		return order_faults_read(&worker->faults, body);
	if (str_equal(command, STR_LIT("restart")))
		return restart(worker, body);
	if (str_equal(command, STR_LIT("leave")))
		return leave(worker, body);
	return false;
}

void
platform_worker_turn(platform_worker_t *worker)
{
	return_after_crash(worker);
	if (worker->life == NULL)
		return;
	life_turn(worker->life);
	carry_out_late(worker);
	answer_polls_due(worker);
	depart(worker);
}

platform_worker_t *
platform_worker_create(
    struct ev_loop *loop, const platform_worker_options_t *options, err_t *err)
{
	platform_worker_t *worker = g_new0(platform_worker_t, 1);

	worker->loop = loop;
	worker->options = *options;
	g_queue_init(&worker->silent);
	g_queue_init(&worker->late);
	g_snprintf(worker->id, sizeof(worker->id), "w%02d", options->number);
	if (!begin_life(worker, FIRST_CLOCK_MS, err)) {
		g_free(worker);
		return NULL;
	}
	return worker;
}

void
platform_worker_destroy(platform_worker_t *worker)
{
	GList *at;

	if (worker == NULL)
		return;
	if (worker->life != NULL)
		end_life(worker, "left");
	while ((at = g_queue_pop_head_link(&worker->late)) != NULL)
		free_late(at->data);
	g_free(worker);
}
