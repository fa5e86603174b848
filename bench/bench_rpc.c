#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "rpc/endpoint.h"

#define WARM_UP_CALLS 2000
#define ROUND_TRIPS 20000
#define PIPELINED_CALLS 200000
#define IN_FLIGHT 128
#define IDLE_MS 5000
#define LONG_MS 60000
/* Bytes of a PROPOSE call with 100 bytes of command, and of its answer. */
#define ECHO_BYTES 160
#define COMMAND_BYTES 100
/*
 * 5 KB/s of control traffic per node, over the connections to and from the 7
 * others of at most 8 instances.
 */
#define IDLE_TARGET_BYTES_PER_S 357.0

typedef struct {
	struct ev_loop *loop;
	settings_t *settings[2];
	endpoint_t *client;
	endpoint_t *server;
	struct ev_loop *server_loop;
	ev_async stop;
	GThread *thread;
} bench_t;

typedef struct {
	bench_t *bench;
	histogram_t *round_trips;
	int64_t started_us;
	int left;
	int pending;
	bool one_by_one;
	int failed;
} run_t;

static int
free_port(const char *address)
{
	struct sockaddr_in name = {.sin_family = AF_INET};
	socklen_t len = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, address, &name.sin_addr);
	if (bind(fd, (struct sockaddr *)&name, sizeof(name)) != 0)
		g_error("no port on %s", address);
	getsockname(fd, (struct sockaddr *)&name, &len);
	close(fd);
	return ntohs(name.sin_port);
}

static settings_t *
make_settings(int self, const int *ports)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	char *text = g_strdup_printf(
	    "{\"instance\":\"i%d\",\"address\":\"127.0.2.%d\","
	    "\"failure_domain\":\"d\",\"roles\":[\"entry\"],\"rpc_port\":%d,"
	    "\"http_port\":0,\"operator_port\":0,\"peers\":["
	    "{\"id\":\"i1\",\"address\":\"127.0.2.1\",\"failure_domain\":\"d\","
	    "\"rpc_port\":%d,\"http_port\":0,\"operator_port\":0},"
	    "{\"id\":\"i2\",\"address\":\"127.0.2.2\",\"failure_domain\":\"d\","
	    "\"rpc_port\":%d,\"http_port\":0,\"operator_port\":0}]}",
	    self, self, ports[self - 1], ports[0], ports[1]);
	settings_t *settings =
	    settings_parse(text, strlen(text), "bench", problems);

	if (settings == NULL)
		g_error("%s", (char *)g_ptr_array_index(problems, 0));
	g_ptr_array_unref(problems);
	g_free(text);
	return settings;
}

static void
serve(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
	propose_args_t *propose = args;
	propose_result_t result = {
	    .leader = "",
	    .result = {.data = propose->command, .text = ""},
	};

	if (request != NULL)
		endpoint_answer(request, &result);
}

static void
on_stop(struct ev_loop *loop, ev_async *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void *
server_main(void *data)
{
	bench_t *bench = data;

	ev_run(bench->server_loop, 0);
	return NULL;
}

static endpoint_t *
start(struct ev_loop *loop, const settings_t *settings)
{
	err_t err;
	endpoint_t *endpoint =
	    endpoint_create(loop, settings, 1, serve, NULL, &err);

	if (endpoint == NULL)
		g_error("%s", err.text);
	return endpoint;
}

static void
bench_open(bench_t *bench)
{
	int ports[2] = {free_port("127.0.2.1"), free_port("127.0.2.2")};

	for (int i = 0; i < 2; i++)
		bench->settings[i] = make_settings(i + 1, ports);
	bench->loop = ev_loop_new(0);
	bench->server_loop = ev_loop_new(0);
	bench->server = start(bench->server_loop, bench->settings[1]);
	ev_async_init(&bench->stop, on_stop);
	ev_async_start(bench->server_loop, &bench->stop);
	bench->client = start(bench->loop, bench->settings[0]);
	bench->thread = g_thread_new("server", server_main, bench);
	while (!endpoint_peer_is_up(bench->client, "i2"))
		ev_run(bench->loop, EVRUN_ONCE);
}

static void
bench_close(bench_t *bench)
{
	ev_async_send(bench->server_loop, &bench->stop);
	g_thread_join(bench->thread);
	endpoint_destroy(bench->client);
	endpoint_destroy(bench->server);
	ev_loop_destroy(bench->loop);
	ev_loop_destroy(bench->server_loop);
	for (int i = 0; i < 2; i++)
		settings_destroy(bench->settings[i]);
}

static void next_call(run_t *run);

static void
on_done(void *ctx, const err_t *err, void *result)
{
	run_t *run = ctx;

	run->failed += err->code != 0;
	run->pending--;
	if (run->one_by_one)
		histogram_record(
		    run->round_trips, clock_mono_us() - run->started_us);
	if (run->left > 0)
		next_call(run);
	else if (run->pending == 0)
		ev_break(run->bench->loop, EVBREAK_ALL);
}

static void
next_call(run_t *run)
{
	static char command[COMMAND_BYTES];
	propose_args_t args = {.command = {sizeof(command), command}};

	run->left--;
	run->pending++;
	run->started_us = clock_mono_us();
	endpoint_call(run->bench->client, "i2", RPC_PROPOSE, &args, LONG_MS,
	    on_done, run);
}

/* Makes calls, in_flight at a time; returns calls per second. */
static double
run_calls(bench_t *bench, int calls, int in_flight, histogram_t *round_trips)
{
	run_t run = {
	    .bench = bench,
	    .round_trips = round_trips,
	    .left = calls,
	    .one_by_one = in_flight == 1,
	};
	int64_t start_us = clock_mono_us();

	for (int i = 0; i < in_flight; i++)
		next_call(&run);
	ev_run(bench->loop, 0);
	if (run.failed > 0)
		g_error("%d calls failed", run.failed);
	return calls * 1e6 / (double)(clock_mono_us() - start_us);
}

/* ---- a bare TCP echo, to compare with in the same run ---- */

static bool
receive_all(int fd, char *buffer)
{
	return recv(fd, buffer, ECHO_BYTES, MSG_WAITALL) == ECHO_BYTES;
}

static void *
echo_main(void *data)
{
	int fd = accept(GPOINTER_TO_INT(data), NULL, NULL);
	char buffer[ECHO_BYTES];
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (receive_all(fd, buffer))
		send(fd, buffer, sizeof(buffer), MSG_NOSIGNAL);
	close(fd);
	return NULL;
}

static void
run_echo(histogram_t *round_trips)
{
	struct sockaddr_in name = {.sin_family = AF_INET};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buffer[ECHO_BYTES] = {0};
	socklen_t len = sizeof(name);
	GThread *thread;
	int on = 1;

	inet_pton(AF_INET, "127.0.2.3", &name.sin_addr);
	if (bind(listener, (struct sockaddr *)&name, sizeof(name)) != 0 ||
	    listen(listener, 1) != 0 ||
	    getsockname(listener, (struct sockaddr *)&name, &len) != 0)
		g_error("no echo listener");
	thread = g_thread_new("echo", echo_main, GINT_TO_POINTER(listener));
	if (connect(fd, (struct sockaddr *)&name, sizeof(name)) != 0)
		g_error("no echo connection");
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	for (int i = 0; i < ROUND_TRIPS; i++) {
		int64_t start_us = clock_mono_us();

		if (send(fd, buffer, sizeof(buffer), MSG_NOSIGNAL) < 0 ||
		    !receive_all(fd, buffer))
			g_error("echo failed");
		histogram_record(round_trips, clock_mono_us() - start_us);
	}
	close(fd);
	g_thread_join(thread);
	close(listener);
}

/* ---- */

static void
on_idle_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Bytes per second of one idle connection, both directions. */
static double
idle_bytes_per_s(bench_t *bench)
{
	counter_t *sent = counter_get("rpc_bytes_out_total", "");
	int64_t before = counter_value(sent);
	ev_timer timer;

	ev_timer_init(&timer, on_idle_end, (double)IDLE_MS / CLOCK_MS_PER_S, 0);
	ev_timer_start(bench->loop, &timer);
	ev_run(bench->loop, 0);
	/* Both ends are in this process and each has its own connection. */
	return (double)(counter_value(sent) - before) * CLOCK_MS_PER_S /
	       IDLE_MS / 2;
}

static void
print_info(const char *name, double value, const char *unit)
{
	printf("%s %.1f %s - info\n", name, value, unit);
}

int
main(void)
{
	histogram_t *calls = histogram_create();
	histogram_t *echoes = histogram_create();
	bench_t bench = {0};
	double idle;

	log_set_level(LOG_ERR);
	bench_open(&bench);
	run_calls(&bench, WARM_UP_CALLS, IN_FLIGHT, NULL);
	run_calls(&bench, ROUND_TRIPS, 1, calls);
	run_echo(echoes);
	print_info(
	    "rpc_round_trip_p50", (double)histogram_quantile(calls, 0.5), "us");
	print_info("rpc_round_trip_p99",
	    (double)histogram_quantile(calls, 0.99), "us");
	print_info(
	    "tcp_echo_p50", (double)histogram_quantile(echoes, 0.5), "us");
	print_info(
	    "tcp_echo_p99", (double)histogram_quantile(echoes, 0.99), "us");
	print_info("rpc_round_trip_to_echo_p50",
	    (double)histogram_quantile(calls, 0.5) /
		(double)histogram_quantile(echoes, 0.5),
	    "ratio");
	print_info("rpc_calls_per_s",
	    run_calls(&bench, PIPELINED_CALLS, IN_FLIGHT, NULL), "calls/s");
	idle = idle_bytes_per_s(&bench);
	printf("rpc_idle_per_connection %.1f bytes/s <=%.0f %s\n", idle,
	    IDLE_TARGET_BYTES_PER_S,
	    idle <= IDLE_TARGET_BYTES_PER_S ? "ok" : "short");
	bench_close(&bench);
	histogram_destroy(calls);
	histogram_destroy(echoes);
	return EXIT_SUCCESS;
}
