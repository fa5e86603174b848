#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/listener.h"
#include "tests/unit/runner.h"

#define MAX_BODY_BYTES 65536
#define MIN_IDLE_MS 20
#define GIVE_UP_S 20 /* only stops a test that would hang */
#define CROWD 40
#define MAX_CONNECTIONS 20
/* The smallest share that a body of MAX_BODY_BYTES fits into. */
#define MEMORY_BYTES (10 * MAX_BODY_BYTES)
#define ANSWER_BYTES 40000
#define MAX_TRIES 1000

/*
 * A listener with room for one body of the longest that it takes, and clients
 * on real sockets.
 */
typedef struct {
	struct ev_loop *loop;
	mem_budget_t *budget;
	mem_share_t *share;
	listener_t *listener;
	int handled;
	size_t body_len;
	size_t turn_bytes; /* handed over in this turn of the loop */
	size_t most_turn_bytes;
	size_t memory_bytes;
	int clients[CROWD];
} server_t;

static size_t
body_limit(void *ctx, const http_request_t *request)
{
	return str_equal(http_method(request), STR_LIT("POST")) ? MAX_BODY_BYTES
								: 0;
}

static void
handle(void *ctx, http_request_t *request)
{
	server_t *server = ctx;
	char *answer = g_strnfill(ANSWER_BYTES, 'x');

	server->handled++;
	server->body_len = http_body(request).len;
	server->turn_bytes += server->body_len;
	server->most_turn_bytes =
	    MAX(server->most_turn_bytes, server->turn_bytes);
	if (str_equal(http_path(request), STR_LIT("/long")))
		http_answer_bytes(request, 200, "text/plain", str_from(answer));
	else
		http_answer_json(request, 200, json_pack("{s:b}", "ok", 1));
	g_free(answer);
}

static void
server_open_with(server_t *server, size_t memory_bytes)
{
	listener_options_t options = {
	    .address = "127.0.0.1",
	    .max_body_bytes = MAX_BODY_BYTES,
	    .body_limit = body_limit,
	    .max_connections = MAX_CONNECTIONS,
	    .min_idle_ms = MIN_IDLE_MS,
	    .idle_timeout_s = 30,
	};
	err_t err = {0};

	memset(server, 0, sizeof(*server));
	memset(server->clients, -1, sizeof(server->clients));
	server->loop = ev_default_loop(0);
	server->budget = mem_budget_create((int64_t)memory_bytes);
	server->share = mem_budget_share(server->budget, MEM_CALLERS);
	options.memory = server->share;
	server->listener =
	    listener_create(server->loop, &options, handle, server, &err);
	ck_assert_msg(server->listener != NULL, "%s", err.text);
}

static void
server_open(server_t *server)
{
	server_open_with(server, MEMORY_BYTES);
}

/* Nothing may be held once all have gone. */
static void
server_close(server_t *server)
{
	for (int i = 0; i < CROWD; i++) {
		if (server->clients[i] >= 0)
			close(server->clients[i]);
	}
	listener_destroy(server->listener);
	ck_assert_uint_eq(mem_share_held(server->share), 0);
	mem_budget_destroy(server->budget);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
}

static void
run_for(server_t *server, int ms)
{
	ev_tstamp end;
	ev_timer tick;

	ev_now_update(server->loop);
	end = ev_now(server->loop) + ms / 1000.0;
	ev_timer_init(&tick, on_tick, 0.002, 0.002);
	ev_timer_start(server->loop, &tick);
	while (ev_now(server->loop) < end) {
		server->turn_bytes = 0;
		ev_run(server->loop, EVRUN_ONCE);
	}
	ev_timer_stop(server->loop, &tick);
}

static int
dial(const server_t *server)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(listener_port(server->listener)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	ck_assert_int_eq(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	return fd;
}

static void
send_text(int fd, const char *text)
{
	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Turns the loop until the text arrives; returns all that was received. */
static char *
expect(server_t *server, int fd, const char *text)
{
	GString *all = g_string_new(NULL);
	ev_tstamp start = ev_time();
	char buffer[65536];
	ssize_t got;

	while (
	    strstr(all->str, text) == NULL && ev_time() - start < GIVE_UP_S) {
		run_for(server, 2);
		got = recv(fd, buffer, sizeof(buffer), 0);
		if (got > 0)
			g_string_append_len(all, buffer, got);
	}
	ck_assert_msg(strstr(all->str, text) != NULL, "no \"%s\" in \"%s\"",
	    text, all->str);
	return g_string_free(all, FALSE);
}

/* A body of the longest kind, one byte short. */
static void
send_open_body(int fd)
{
	char *filler = g_strnfill(MAX_BODY_BYTES - 1, 'x');
	char *text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %d\r\n\r\n%s",
	    MAX_BODY_BYTES, filler);

	/* What the socket does not take is not needed either. */
	ck_assert_int_gt(send(fd, text, strlen(text), MSG_NOSIGNAL), 0);
	g_free(text);
	g_free(filler);
}

static void
expect_ordinary(server_t *server, int fd)
{
	send_text(fd, "POST /a HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 3\r\n\r\nabc");
	g_free(expect(server, fd, "\"ok\""));
	ck_assert_uint_eq(server->body_len, 3);
}

/* Guards against bodies that never end and take what an ordinary one needs. */
START_TEST(open_bodies)
{
	server_t server;
	int fd;

	server_open(&server);
	for (int i = 0; i < MAX_CONNECTIONS / 2; i++) {
		server.clients[i] = dial(&server);
		send_open_body(server.clients[i]);
		run_for(&server, 1);
	}
	run_for(&server, 2 * MIN_IDLE_MS);
	ck_assert_uint_gt(mem_share_held(server.share), 0);
	ck_assert_uint_le(mem_share_held(server.share), MAX_BODY_BYTES);
	fd = dial(&server);
	expect_ordinary(&server, fd);
	ck_assert_int_eq(server.handled, 1);
	close(fd);
	server_close(&server);
}
END_TEST

/* Guards against a refusal of something that has run, or that is not said. */
START_TEST(refused_before_it_runs)
{
	server_t server;
	char *text;
	int fd;

	server_open(&server);
	ck_assert(mem_share_take(server.share, MAX_BODY_BYTES));
	fd = dial(&server);
	send_text(fd, "POST /a HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 50000\r\n\r\n");
	text = expect(&server, fd, "}");
	ck_assert_ptr_nonnull(strstr(text, " 503 "));
	ck_assert_ptr_nonnull(strstr(text, "Retry-After: 1"));
	ck_assert_ptr_nonnull(strstr(text, "did_not_run"));
	ck_assert_int_eq(server.handled, 0);
	g_free(text);
	close(fd);
	mem_share_give(server.share, MAX_BODY_BYTES);
	fd = dial(&server);
	expect_ordinary(&server, fd);
	close(fd);
	server_close(&server);
}
END_TEST

/* Guards against bodies that are kept where none is taken. */
START_TEST(no_body_is_kept)
{
	static const char *const methods[] = {"GET", "DELETE", "PATCH"};
	server_t server;

	server_open(&server);
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		char *filler = g_strnfill(30000, 'x');
		char *text = g_strdup_printf("%s /a HTTP/1.1\r\nHost: h\r\n"
					     "Content-Length: 30000\r\n\r\n",
		    methods[i]);
		int fd = dial(&server);

		send_text(fd, text);
		send_text(fd, filler);
		g_free(expect(&server, fd, "\"ok\""));
		ck_assert_uint_eq(server.body_len, 0);
		ck_assert_uint_eq(mem_share_held(server.share), 0);
		close(fd);
		g_free(text);
		g_free(filler);
	}
	server_close(&server);
}
END_TEST

/* Guards against idle connections that leave no room for others. */
START_TEST(idle_connections)
{
	server_t server;
	int fd;

	server_open(&server);
	for (int i = 0; i < CROWD; i++)
		server.clients[i] = dial(&server);
	run_for(&server, 5 * MIN_IDLE_MS);
	fd = dial(&server);
	expect_ordinary(&server, fd);
	close(fd);
	server_close(&server);
}
END_TEST

/* Guards against answers that pile up for clients that read none. */
START_TEST(unread_answers)
{
	const char *get = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n";
	server_t server;
	bool was_read = false;
	int small = 4096;
	int fd;

	server_open(&server);
	for (int i = 0; i < MAX_CONNECTIONS / 2; i++) {
		server.clients[i] = dial(&server);
		setsockopt(server.clients[i], SOL_SOCKET, SO_RCVBUF, &small,
		    sizeof(small));
		for (int k = 0; k < 200; k++) {
			if (send(server.clients[i], get, strlen(get),
				MSG_NOSIGNAL) < 0)
				break;
		}
		run_for(&server, 5);
	}
	run_for(&server, 2 * MIN_IDLE_MS);
	ck_assert_uint_le(mem_share_held(server.share), MAX_BODY_BYTES);
	/* The crowd's requests go on, so this one may have to come again. */
	for (int tries = 0; !was_read && tries < MAX_TRIES; tries++) {
		char *text;

		fd = dial(&server);
		send_text(fd, "GET /long HTTP/1.1\r\nHost: h\r\n"
			      "Connection: close\r\n\r\n");
		text = expect(&server, fd, "\r\n\r\n");
		was_read = strstr(text, " 200 ") != NULL;
		ck_assert(was_read || strstr(text, " 503 ") != NULL);
		g_free(text);
		close(fd);
	}
	ck_assert(was_read);
	server_close(&server);
}
END_TEST

/* Guards against whole bodies that together hold the loop for long. */
START_TEST(bodies_in_turns)
{
	server_t server;
	char *filler = g_strnfill(60000, 'x');
	char *text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: 60000\r\n\r\n%s",
	    filler);

	server_open_with(&server, 1000 * MAX_BODY_BYTES);
	for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
		server.clients[i] = dial(&server);
		ck_assert_int_gt(
		    send(server.clients[i], text, strlen(text), MSG_NOSIGNAL),
		    60000);
	}
	for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
		g_free(expect(&server, server.clients[i], "\"ok\""));
	ck_assert_int_eq(server.handled, MAX_CONNECTIONS - 1);
	/* A turn of the loop has the run of the library and the deferred. */
	ck_assert_uint_le(
	    server.most_turn_bytes, 2 * (128 * 1024 + MAX_BODY_BYTES));
	g_free(text);
	g_free(filler);
	server_close(&server);
}
END_TEST

/* Guards against requests that nobody answers when the listener ends. */
START_TEST(deferred_at_the_end)
{
	server_t server;
	char *filler = g_strnfill(60000, 'x');
	char *text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: 60000\r\n\r\n%s",
	    filler);

	server_open_with(&server, 1000 * MAX_BODY_BYTES);
	for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
		server.clients[i] = dial(&server);
		ck_assert_int_gt(
		    send(server.clients[i], text, strlen(text), MSG_NOSIGNAL),
		    60000);
	}
	while (server.handled == 0)
		ev_run(server.loop, EVRUN_ONCE);
	ck_assert_int_lt(server.handled, MAX_CONNECTIONS - 1);
	g_free(text);
	g_free(filler);
	server_close(&server);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("crowds");
	TCase *tests = tcase_create("crowds");

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, open_bodies);
	tcase_add_test(tests, refused_before_it_runs);
	tcase_add_test(tests, no_body_is_kept);
	tcase_add_test(tests, idle_connections);
	tcase_add_test(tests, unread_answers);
	tcase_add_test(tests, bodies_in_turns);
	tcase_add_test(tests, deferred_at_the_end);
	suite_add_tcase(suite, tests);
	return unit_run(suite, CK_NOFORK);
}
