#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>

#include "common/clock.h"
#include "common/counters.h"
#include "entry/client.h"
#include "entry/listener.h"
#include "tests/unit/entry_fakes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

/*
 * One instance with a replica that commits at once, on a thread of its own,
 * between a caller thread and a thread of backend servers.  Only the CPU time
 * of the instance's thread counts, so the other two don't distort the ratio.
 */

#define CALLERS 32
#define SERVERS 8
#define SLOTS 8
#define ROUND_MS 250
#define ROUNDS 21
#define IDLE_CONNECTIONS 1000
#define WORKERS 2700
#define MAX_ANSWER 65536
#define HOP_TARGET 0.8 /* of the requests per CPU second of a bare hop */

#define REQUEST_BODY                                                 \
	"{\"tenant\":\"a\",\"repeatable\":true,\"declared_ms\":100," \
	"\"input\":{\"item\":17,\"colour\":\"oak\"}}"
#define SERVER_BODY "{\"task\":\"t\",\"state\":\"done\",\"result\":{\"x\":1}}"

typedef enum {
	MODE_BARE,
	MODE_HOP,
	MODE_ENTRY,
	MODE_COUNT,
} bench_mode_t;

static struct {
	struct ev_loop *loop;
	pthread_t thread;
	ev_async stop;
	listener_t *listeners[MODE_ENTRY];
	client_t *client;
	int next_server;
	uint16_t ports[MODE_COUNT];
	uint16_t server_ports[SERVERS];
	int server_fds[SERVERS];
	int silent_fd;
	uint16_t silent_port;
	_Atomic bool servers_stop;
} bench;

static void
report(const char *name, double value, const char *unit, double target)
{
	if (target > 0)
		printf("%s %.3f %s %.3f %s\n", name, value, unit, target,
		    value >= target ? "ok" : "short");
	else
		printf("%s %.3f %s - info\n", name, value, unit);
	fflush(stdout);
}

/* ---- backend servers: a fixed answer to every request ---- */

static int
listen_any(uint16_t *port)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&at, len) != 0 || listen(fd, 1024) != 0)
		g_error("no port");
	getsockname(fd, (struct sockaddr *)&at, &len);
	*port = ntohs(at.sin_port);
	return fd;
}

/* Returns the length of the first whole message in text, 0 for none. */
static size_t
message_len(const char *text, size_t len)
{
	const char *end = g_strstr_len(text, (gssize)len, "\r\n\r\n");
	const char *field;
	size_t head;
	size_t body = 0;

	if (end == NULL)
		return 0;
	head = (size_t)(end - text) + 4;
	field = g_strstr_len(text, (gssize)head, "Content-Length: ");
	if (field != NULL)
		body = (size_t)strtoul(field + 16, NULL, 10);
	return len >= head + body ? head + body : 0;
}

typedef struct {
	int fd;
	GString *received;
} peer_conn_t;

static void
serve_readable(peer_conn_t *conn, int epoll_fd)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\n"
				     "Content-Type: application/json\r\n"
				     "Content-Length: %zu\r\n\r\n%s";
	char buffer[16384];
	char text[256];
	ssize_t n = recv(conn->fd, buffer, sizeof(buffer), 0);
	size_t len;

	if (n <= 0) {
		epoll_ctl(epoll_fd, EPOLL_CTL_DEL, conn->fd, NULL);
		close(conn->fd);
		g_string_free(conn->received, TRUE);
		g_free(conn);
		return;
	}
	g_string_append_len(conn->received, buffer, n);
	g_snprintf(
	    text, sizeof(text), answer, strlen(SERVER_BODY), SERVER_BODY);
	while (
	    (len = message_len(conn->received->str, conn->received->len)) > 0) {
		g_string_erase(conn->received, 0, (gssize)len);
		send(conn->fd, text, strlen(text), MSG_NOSIGNAL);
	}
}

static void *
run_servers(void *ctx)
{
	int epoll_fd = epoll_create1(0);
	struct epoll_event events[64];

	for (int i = 0; i < SERVERS; i++) {
		struct epoll_event event = {
		    .events = EPOLLIN, .data.ptr = &bench.server_fds[i]};

		epoll_ctl(epoll_fd, EPOLL_CTL_ADD, bench.server_fds[i], &event);
	}
	while (!bench.servers_stop) {
		int count = epoll_wait(epoll_fd, events, 64, 100);

		for (int i = 0; i < count; i++) {
			int *fd = events[i].data.ptr;
			peer_conn_t *conn;

			if (fd < bench.server_fds ||
			    fd >= bench.server_fds + SERVERS) {
				serve_readable(events[i].data.ptr, epoll_fd);
				continue;
			}
			conn = g_new0(peer_conn_t, 1);
			conn->fd = accept(*fd, NULL, NULL);
			conn->received = g_string_new(NULL);
			events[i].data.ptr = conn;
			events[i].events = EPOLLIN;
			epoll_ctl(
			    epoll_fd, EPOLL_CTL_ADD, conn->fd, &events[i]);
		}
	}
	close(epoll_fd);
	return NULL;
}

/* ---- the instance ---- */

static void
answer_bare(void *ctx, http_request_t *http)
{
	http_answer_bytes(http, 200, "application/json", STR_LIT(SERVER_BODY));
}

static void
on_hop_done(void *ctx, const err_t *err, const client_answer_t *answer)
{
	if (err->code != 0)
		http_answer_error(
		    ctx, 502, "unknown", "backend_failed", "", 0, "failed");
	else
		http_answer_bytes(ctx, 200, "application/json", answer->body);
}

static void
answer_hop(void *ctx, http_request_t *http)
{
	client_request_t call = {.address = "127.0.0.1",
	    .method = "PUT",
	    .path = "/v1/tasks/t",
	    .body = http_body(http),
	    .deadline_ms = 10000};

	call.port = bench.server_ports[bench.next_server++ % SERVERS];
	client_start(bench.client, &call, on_hop_done, http);
}

static void
on_stop(struct ev_loop *loop, ev_async *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void *
run_instance(void *ctx)
{
	ev_run(bench.loop, 0);
	return NULL;
}

static void
apply_or_die(command_t *command)
{
	command_result_t result;

	fake_apply(command, &result);
	if (result.code != 0)
		g_error("%s", result.text);
	machine_result_free(&result);
}

/* Lifts the limits of the tenant, which are not what is measured. */
static void
lift_limits(void)
{
	static const char patch[] =
	    "{\"tenants\":{\"a\":{\"rate_per_s\":1000000,"
	    "\"burst\":1000000,\"queue\":1000000}}}";
	command_t command = {.kind = COMMAND_PATCH};

	command.command_t_u.patch = (patch_command_t){.id = "p",
	    .base = machine_config_version(fake.machine),
	    .author = "bench",
	    .time_ms = clock_real_ms(),
	    .patch.body_t_len = sizeof(patch) - 1,
	    .patch.body_t_val = (char *)patch};
	apply_or_die(&command);
}

static void
start_instance(void)
{
	listener_options_t options = {.address = "127.0.0.1",
	    .max_body_bytes = 1 << 20,
	    .max_connections = 4096,
	    .idle_timeout_s = 75};
	err_t err = {0};

	bench.loop = ev_loop_new(EVFLAG_AUTO);
	bench.client = client_create(bench.loop, 1000, MAX_ANSWER);
	bench.listeners[MODE_BARE] =
	    listener_create(bench.loop, &options, answer_bare, NULL, &err);
	bench.listeners[MODE_HOP] =
	    listener_create(bench.loop, &options, answer_hop, NULL, &err);
	if (err.code != 0)
		g_error("%s", err.text);
	fake_start(bench.loop, 1, "\"worker_lease_ms\":600000,");
	lift_limits();
	bench.ports[MODE_BARE] = listener_port(bench.listeners[MODE_BARE]);
	bench.ports[MODE_HOP] = listener_port(bench.listeners[MODE_HOP]);
	bench.ports[MODE_ENTRY] = entry_port(fake.instances[0].entry);
	ev_async_init(&bench.stop, on_stop);
	ev_async_start(bench.loop, &bench.stop);
	pthread_create(&bench.thread, NULL, run_instance, NULL);
}

static void
stop_instance(void)
{
	ev_async_send(bench.loop, &bench.stop);
	pthread_join(bench.thread, NULL);
	ev_async_stop(bench.loop, &bench.stop);
	fake_stop();
	client_destroy(bench.client);
	listener_destroy(bench.listeners[MODE_BARE]);
	listener_destroy(bench.listeners[MODE_HOP]);
	ev_loop_destroy(bench.loop);
}

static double
instance_cpu_s(void)
{
	struct timespec at;
	clockid_t clock;

	pthread_getcpuclockid(bench.thread, &clock);
	clock_gettime(clock, &at);
	return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

/* ---- callers, on the main thread ---- */

static int
dial(uint16_t port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0)
		g_error("cannot connect");
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static void
send_request(int fd, const char *method, const char *path, const char *body)
{
	char text[1024];
	int len = g_snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, strlen(body), body);

	if (send(fd, text, (size_t)len, MSG_NOSIGNAL) != len)
		g_error("cannot send");
}

/* Reads one whole answer; returns its status. */
static int
read_answer(int fd)
{
	char buffer[MAX_ANSWER];
	size_t len = 0;

	while (message_len(buffer, len) == 0) {
		ssize_t n = recv(fd, buffer + len, sizeof(buffer) - len, 0);

		if (n <= 0)
			g_error("connection closed");
		len += (size_t)n;
	}
	return atoi(buffer + 9);
}

static int
call(int fd, const char *method, const char *path, const char *body)
{
	send_request(fd, method, path, body);
	return read_answer(fd);
}

static void
announce(const char *id, uint16_t port, int slots, int connections)
{
	int fd = dial(bench.ports[MODE_ENTRY]);
	char *body = g_strdup_printf(
	    "{\"id\":\"%s\",\"address\":\"127.0.0.1\",\"port\":%d,"
	    "\"domain\":\"d1\",\"rack\":\"r\",\"slots\":%d,\"connections\":%d,"
	    "\"accelerators\":8,\"generation\":1}",
	    id, port, slots, connections);

	if (call(fd, "POST", "/v1/workers", body) != 200)
		g_error("announcement refused");
	g_free(body);
	close(fd);
}

/* Keeps CALLERS requests going; returns answers per CPU second. */
static double
run_round(bench_mode_t mode)
{
	int epoll_fd = epoll_create1(0);
	int64_t end_ms = clock_mono_ms() + ROUND_MS;
	struct epoll_event events[CALLERS];
	double cpu_s = instance_cpu_s();
	int answers = 0;
	int fds[CALLERS];

	for (int i = 0; i < CALLERS; i++) {
		struct epoll_event event = {.events = EPOLLIN};

		fds[i] = dial(bench.ports[mode]);
		event.data.fd = fds[i];
		epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fds[i], &event);
		send_request(fds[i], "POST", "/v1/requests", REQUEST_BODY);
	}
	while (clock_mono_ms() < end_ms) {
		int count = epoll_wait(epoll_fd, events, CALLERS, 100);

		for (int i = 0; i < count; i++) {
			if (read_answer(events[i].data.fd) != 200)
				g_error("mode %d: not served", mode);
			answers++;
			send_request(events[i].data.fd, "POST", "/v1/requests",
			    REQUEST_BODY);
		}
	}
	cpu_s = instance_cpu_s() - cpu_s;
	for (int i = 0; i < CALLERS; i++) {
		read_answer(fds[i]);
		close(fds[i]);
	}
	close(epoll_fd);
	return answers / cpu_s;
}

static int
compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double
median(double *values)
{
	qsort(values, ROUNDS, sizeof(double), compare_doubles);
	return values[ROUNDS / 2];
}

/* The modes take turns, so that other load on the machine hits all alike. */
static void
measure_cpu(void)
{
	double rate[MODE_COUNT][ROUNDS];
	double ratio[ROUNDS];

	for (int mode = 0; mode < MODE_COUNT; mode++)
		run_round((bench_mode_t)mode);
	for (int round = 0; round < ROUNDS; round++) {
		for (int mode = 0; mode < MODE_COUNT; mode++)
			rate[mode][round] = run_round((bench_mode_t)mode);
		ratio[round] = rate[MODE_ENTRY][round] / rate[MODE_HOP][round];
	}
	report("entry_listener_answers", median(rate[MODE_BARE]), "1/cpu_s", 0);
	report("entry_bare_hop", median(rate[MODE_HOP]), "1/cpu_s", 0);
	report("entry_short_requests", median(rate[MODE_ENTRY]), "1/cpu_s", 0);
	report("entry_short_to_bare_hop", median(ratio), "ratio", HOP_TARGET);
}

/* ---- memory ---- */

static double
resident_bytes(void)
{
	long pages = 0;
	FILE *file = fopen("/proc/self/statm", "r");

	if (file == NULL || fscanf(file, "%*s %ld", &pages) != 1)
		g_error("no statm");
	fclose(file);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

static void
measure_connections(void)
{
	double before = resident_bytes();
	int fds[IDLE_CONNECTIONS];
	double idle;

	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		fds[i] = dial(bench.ports[MODE_ENTRY]);
		if (call(fds[i], "GET", "/v1/ready", "") != 200)
			g_error("not ready");
	}
	idle = resident_bytes();
	report("entry_idle_connection", (idle - before) / IDLE_CONNECTIONS,
	    "bytes", 0);
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		send_request(fds[i], "POST", "/v1/requests", REQUEST_BODY);
	/* All are dispatched to servers that accept and never answer. */
	g_usleep(800000);
	report("entry_request_in_flight",
	    (resident_bytes() - idle) / IDLE_CONNECTIONS, "bytes", 0);
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		close(fds[i]);
}

/* Adds servers while the instance's thread does not run. */
static void
measure_workers(void)
{
	double before = resident_bytes();

	for (int i = 0; i < WORKERS; i++) {
		command_t command = {.kind = COMMAND_WORKER_ADD};
		char id[32];

		g_snprintf(id, sizeof(id), "m%05d", i);
		command.command_t_u.worker = (worker_command_t){.id = id,
		    .address = "127.0.0.1",
		    .port = 9,
		    .domain = "d1",
		    .rack = "r",
		    .slots = 8,
		    .connections = 64,
		    .accelerators = 8,
		    .generation = 1,
		    .owner = "i1",
		    .time_ms = clock_real_ms()};
		apply_or_die(&command);
	}
	report("entry_backend_server", (resident_bytes() - before) / WORKERS,
	    "bytes", 0);
}

int
main(void)
{
	pthread_t servers;

	signal(SIGPIPE, SIG_IGN);
	for (int i = 0; i < SERVERS; i++)
		bench.server_fds[i] = listen_any(&bench.server_ports[i]);
	bench.silent_fd = listen_any(&bench.silent_port);
	pthread_create(&servers, NULL, run_servers, NULL);

	start_instance();
	for (int i = 0; i < SERVERS; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		announce(id, bench.server_ports[i], SLOTS, 1000);
	}
	measure_cpu();
	stop_instance();

	start_instance();
	announce("silent", bench.silent_port, 1024, 65536);
	measure_connections();
	stop_instance();

	start_instance();
	ev_async_send(bench.loop, &bench.stop);
	pthread_join(bench.thread, NULL);
	measure_workers();
	pthread_create(&bench.thread, NULL, run_instance, NULL);
	stop_instance();

	bench.servers_stop = true;
	pthread_join(servers, NULL);
	return EXIT_SUCCESS;
}
