/*
 * standin-platform_worker: backend servers that speak the platform's protocol.
 * A task takes as many milliseconds as its payload says, with " gang" after
 * them for a member of a gang; "fail" makes it fail.  Prints lines for
 * tests/check_runs.awk.  Tests command worker N by
 * POST /N/COMMAND at the commands' address, see platform_worker_command.
 */
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "entry/listener.h"
#include "tests/standin/platform_worker.h"

#define MAX_BODY_BYTES 1048576
#define MAX_COMMANDERS 16
#define IDLE_S 120
#define BEAT_S 0.5
#define TURN_S 0.01
#define DEFAULT_HOLD_MAX_MS 5000

static struct {
	char *address;
	int first_port;
	int commands_port;
	int count;
	int accelerators;
	int first_number;
	int hold_max_ms;
	char *advertised;
	char **controls;
} options = {.hold_max_ms = DEFAULT_HOLD_MAX_MS};

static const GOptionEntry entries[] = {
    {"address", 0, 0, G_OPTION_ARG_STRING, &options.address,
	"Address to listen on", "IP"},
    {"port", 0, 0, G_OPTION_ARG_INT, &options.first_port, "First port", "N"},
    {"commands", 0, 0, G_OPTION_ARG_INT, &options.commands_port,
	"Port for commands of tests", "N"},
    {"count", 0, 0, G_OPTION_ARG_INT, &options.count, "Backend servers", "N"},
    {"accelerators", 0, 0, G_OPTION_ARG_INT, &options.accelerators,
	"Accelerators of each", "N"},
    {"first", 0, 0, G_OPTION_ARG_INT, &options.first_number,
	"Number of the first backend server", "N"},
    {"hold-max-ms", 0, 0, G_OPTION_ARG_INT, &options.hold_max_ms,
	"Longest lease", "MS"},
    {"advertise", 0, 0, G_OPTION_ARG_STRING, &options.advertised,
	"Address to announce instead, with the same ports", "IP"},
    {"control", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.controls,
	"Control address, ADDRESS:PORT; may be given several times", "A"},
    {NULL},
};

static client_t *client;
static platform_worker_t **workers;

/* Returns the worker with that number, or NULL. */
static platform_worker_t *
worker_of(str_t number)
{
	long long value;

	if (str_to_int64(number, &value) != 0 || value < options.first_number ||
	    value >= options.first_number + options.count)
		return NULL;
	return workers[value - options.first_number];
}

static void
on_command(void *ctx, http_request_t *request)
{
	str_t path = http_path(request);
	str_t text = http_body(request);
	json_t *body = json_loadb(text.data, text.len, 0, NULL);
	platform_worker_t *worker = NULL;
	str_t empty;
	str_t number;
	str_t command;

	if (str_cut(path, '/', &empty, &path) &&
	    str_cut(path, '/', &number, &command))
		worker = worker_of(number);
	if (worker != NULL && platform_worker_command(worker, command, body))
		http_answer_json(request, 200, json_object());
	else
		http_answer_json(request, 400, json_object());
	json_decref(body);
}

static void
on_turn(struct ev_loop *loop, ev_timer *watcher, int events)
{
	for (int w = 0; w < options.count; w++)
		platform_worker_turn(workers[w]);
}

static void
on_beat(struct ev_loop *loop, ev_timer *watcher, int events)
{
	for (int w = 0; w < options.count; w++)
		platform_worker_announce(workers[w]);
}

static bool
start_workers(struct ev_loop *loop, err_t *err)
{
	platform_worker_options_t worker = {
	    .address = options.address,
	    .accelerators = options.accelerators,
	    .hold_max_ms = options.hold_max_ms,
	    .advertised = options.advertised,
	    .controls = options.controls,
	    .client = client,
	};

	workers = g_new0(platform_worker_t *, options.count);
	for (int w = 0; w < options.count; w++) {
		worker.number = options.first_number + w;
		worker.port = options.first_port + worker.number;
		workers[w] = platform_worker_create(loop, &worker, err);
		if (workers[w] == NULL)
			return false;
	}
	return true;
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void
run(struct ev_loop *loop)
{
	ev_signal stop;
	ev_timer turn;
	ev_timer beats;

	ev_timer_init(&turn, on_turn, TURN_S, TURN_S);
	ev_timer_start(loop, &turn);
	ev_timer_init(&beats, on_beat, 0, BEAT_S);
	ev_timer_start(loop, &beats);
	ev_signal_init(&stop, on_signal, SIGTERM);
	ev_signal_start(loop, &stop);
	ev_run(loop, 0);
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	listener_options_t listen = {
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_connections = MAX_COMMANDERS,
	    .idle_timeout_s = IDLE_S,
	};
	listener_t *commands;
	err_t err = {0};

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    options.controls == NULL)
		return EXIT_FAILURE;
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	client = client_create(loop, 4, MAX_BODY_BYTES);
	listen.address = options.address;
	listen.port = (uint16_t)options.commands_port;
	commands = listener_create(loop, &listen, on_command, NULL, &err);
	if (commands == NULL || !start_workers(loop, &err)) {
		fprintf(stderr, "%s\n", err.text);
		return EXIT_FAILURE;
	}
	run(loop);
	for (int w = 0; w < options.count; w++)
		platform_worker_destroy(workers[w]);
	g_free(workers);
	listener_destroy(commands);
	client_destroy(client);
	g_strfreev(options.controls);
	g_free(options.address);
	g_free(options.advertised);
	return EXIT_SUCCESS;
}
