#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/client.h"
#include "entry/listener.h"
#include "tests/unit/runner.h"

#define MAX_BODY 4096
#define GIVE_UP_S 20 /* only stops a test that would hang */

static struct ev_loop *loop;

/* ---- listener ---- */

typedef struct {
	listener_t *listener;
	http_request_t *held;
	int handled;
	int gone;
	bool hold;
	size_t body_len;
} server_t;

static void
on_held_gone(void *ctx)
{
	((server_t *)ctx)->gone++;
}

static void
handle(void *ctx, http_request_t *request)
{
	server_t *server = ctx;
	json_t *body;

	server->handled++;
	server->body_len = http_body(request).len;
	if (server->hold && str_equal(http_path(request), STR_LIT("/hold"))) {
		server->held = request;
		http_on_gone(request, on_held_gone, server);
		return;
	}
	body = json_pack("{s:s%, s:s%, s:s%, s:s%}", "method",
	    http_method(request).data, http_method(request).len, "path",
	    http_path(request).data, http_path(request).len, "name",
	    http_query(request, "name").data != NULL
		? http_query(request, "name").data
		: "",
	    http_query(request, "name").len, "key",
	    http_header(request, "Idempotency-Key").data != NULL
		? http_header(request, "Idempotency-Key").data
		: "",
	    http_header(request, "Idempotency-Key").len);
	http_add_header(request, "X-Chervilhold-Request", "r1");
	http_answer_json(request, 200, body);
}

static void
server_start(server_t *server, unsigned max_connections)
{
	listener_options_t options = {
	    .address = "127.0.0.1",
	    .max_body_bytes = MAX_BODY,
	    .max_connections = max_connections,
	    .idle_timeout_s = 30,
	};
	err_t err = {0};

	memset(server, 0, sizeof(*server));
	server->listener =
	    listener_create(loop, &options, handle, server, &err);
	ck_assert_msg(server->listener != NULL, "%s", err.text);
}

static int
dial(uint16_t port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(port),
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

static void
on_tick(struct ev_loop *l, ev_timer *watcher, int events)
{
}

/* Turns the loop until *flag reaches value. */
static void
run_until(const int *flag, int value)
{
	ev_timer tick;
	ev_tstamp start = ev_now(loop);

	ev_timer_init(&tick, on_tick, 0.005, 0.005);
	ev_timer_start(loop, &tick);
	while (*flag < value && ev_now(loop) - start < GIVE_UP_S)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &tick);
	ck_assert_int_ge(*flag, value);
}

/* Turns the loop until the text arrives; returns all that was received. */
static char *
expect_text(int fd, const char *text)
{
	GString *all = g_string_new(NULL);
	char buffer[4096];
	ev_timer tick;
	ev_tstamp start = ev_now(loop);

	ev_timer_init(&tick, on_tick, 0.005, 0.005);
	ev_timer_start(loop, &tick);
	while (strstr(all->str, text) == NULL &&
	       ev_now(loop) - start < GIVE_UP_S) {
		ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

		if (n > 0)
			g_string_append_len(all, buffer, n);
		else
			ev_run(loop, EVRUN_ONCE);
	}
	ev_timer_stop(loop, &tick);
	ck_assert_msg(strstr(all->str, text) != NULL, "no \"%s\" in \"%s\"",
	    text, all->str);
	return g_string_free(all, FALSE);
}

/* Guards against lost parts of a request and of an answer. */
START_TEST(listener_answers)
{
	server_t server;
	char *text;
	int fd;

	server_start(&server, 10);
	fd = dial(listener_port(server.listener));
	send_text(fd, "POST /v1/a?name=x%20y HTTP/1.1\r\nHost: h\r\n"
		      "Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\nab");
	ev_run(loop, EVRUN_NOWAIT);
	ck_assert_int_eq(server.handled, 0);
	send_text(fd, "cd");
	text = expect_text(fd, "\"k1\"}");
	ck_assert_ptr_nonnull(strstr(text, "200 OK"));
	ck_assert_ptr_nonnull(strstr(text, "X-Chervilhold-Request: r1"));
	ck_assert_ptr_nonnull(strstr(text, "\"x y\""));
	ck_assert_ptr_nonnull(strstr(text, "\"/v1/a\""));
	ck_assert_int_eq(server.body_len, 4);
	g_free(text);
	close(fd);
	listener_destroy(server.listener);
}
END_TEST

/* Guards against answers that get lost when they come after a wait. */
START_TEST(listener_answers_later)
{
	server_t server;
	int fd;

	server_start(&server, 10);
	server.hold = true;
	fd = dial(listener_port(server.listener));
	for (int round = 1; round <= 3; round++) {
		send_text(fd, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
		run_until(&server.handled, round);
		ck_assert_uint_eq(listener_open_requests(server.listener), 1);
		http_answer_error(server.held, 503, "did_not_run", "overloaded",
		    "", 250, "queue of %d", 7);
		ck_assert_uint_eq(listener_open_requests(server.listener), 0);
		g_free(expect_text(fd, "\"retry_after_ms\":250}"));
	}
	close(fd);
	listener_destroy(server.listener);
}
END_TEST

/* Guards against a body or header that takes memory without bound. */
START_TEST(listener_bounds)
{
	server_t server;
	char *big = g_strnfill(MAX_BODY + 1, 'x');
	char *text;
	int fd;

	server_start(&server, 10);
	fd = dial(listener_port(server.listener));
	text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n"
			       "Content-Length: %d\r\n\r\n%s",
	    MAX_BODY + 1, big);
	send_text(fd, text);
	g_free(text);
	text = expect_text(fd, "}");
	ck_assert_ptr_nonnull(strstr(text, " 413 "));
	ck_assert_ptr_nonnull(strstr(text, "\"too_large\""));
	ck_assert_ptr_nonnull(strstr(text, "\"did_not_run\""));
	g_free(text);
	close(fd);
	/* The same without a length ahead. */
	fd = dial(listener_port(server.listener));
	text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n"
			       "%x\r\n%s\r\n0\r\n\r\n",
	    MAX_BODY + 1, big);
	send_text(fd, text);
	g_free(text);
	g_free(expect_text(fd, "\"too_large\""));
	close(fd);
	fd = dial(listener_port(server.listener));
	text = g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\nX: %s%s%s%s%s\r\n"
			       "\r\n",
	    big, big, big, big, big);
	send_text(fd, text);
	g_free(text);
	g_free(expect_text(fd, "HTTP/1.1 4"));
	ck_assert_int_eq(server.handled, 0);
	close(fd);
	g_free(big);
	listener_destroy(server.listener);
}
END_TEST

/* Guards against more open connections than allowed. */
START_TEST(listener_connection_count)
{
	server_t server;
	int fd[3];

	server_start(&server, 2);
	for (int i = 0; i < 3; i++) {
		fd[i] = dial(listener_port(server.listener));
		send_text(fd[i], "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	}
	g_free(expect_text(fd[0], "\"/a\""));
	g_free(expect_text(fd[1], "\"/a\""));
	ck_assert_int_eq(server.handled, 2);
	close(fd[0]);
	/* The third is served, or closed, once there is room. */
	g_free(expect_text(fd[1], ""));
	for (int i = 0; i < 50; i++)
		ev_run(loop, EVRUN_NOWAIT);
	ck_assert_int_le(server.handled, 3);
	close(fd[1]);
	close(fd[2]);
	listener_destroy(server.listener);
}
END_TEST

/* Guards against a vanished client that goes unnoticed or harms others. */
START_TEST(listener_client_gone)
{
	server_t server;
	int gone_fd;
	int fd;

	server_start(&server, 10);
	server.hold = true;
	gone_fd = dial(listener_port(server.listener));
	fd = dial(listener_port(server.listener));
	/* Pipelined bytes must not hide the end of the connection. */
	send_text(gone_fd, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\nGET /b HT");
	run_until(&server.handled, 1);
	close(gone_fd);
	run_until(&server.gone, 1);
	send_text(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	g_free(expect_text(fd, "\"/a\""));
	http_answer_json(server.held, 200, json_object());
	send_text(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	g_free(expect_text(fd, "\"/a\""));
	ck_assert_int_eq(server.gone, 1);
	close(fd);
	listener_destroy(server.listener);
}
END_TEST

/* Guards against a crash when a request outlives its listener. */
START_TEST(listener_ends_first)
{
	server_t server;
	int fd;

	server_start(&server, 10);
	server.hold = true;
	fd = dial(listener_port(server.listener));
	send_text(fd, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(&server.handled, 1);
	listener_destroy(server.listener);
	ck_assert_ptr_null(http_header(server.held, "Host").data);
	http_answer_json(server.held, 200, json_object());
	close(fd);
}
END_TEST

/* ---- client, against a server that sends given bytes ---- */

typedef struct {
	int fd;
	uint16_t port;
	ev_io io;
	const char *reply; /* NULL: stay silent */
	bool close_after;
	int accepted;
	int requests;
	GArray *connections;
	GString *last;
} raw_t;

typedef struct {
	raw_t *raw;
	ev_io io;
} raw_connection_t;

static void
on_raw_data(struct ev_loop *l, ev_io *watcher, int events)
{
	raw_connection_t *connection = watcher->data;
	raw_t *raw = connection->raw;
	char buffer[8192];
	ssize_t n = recv(watcher->fd, buffer, sizeof(buffer), 0);

	if (n <= 0) {
		ev_io_stop(loop, watcher);
		return;
	}
	g_string_append_len(raw->last, buffer, n);
	raw->requests++;
	if (raw->reply != NULL)
		send_text(watcher->fd, raw->reply);
	if (raw->close_after) {
		ev_io_stop(loop, watcher);
		shutdown(watcher->fd, SHUT_RDWR);
	}
}

static void
on_raw_accept(struct ev_loop *l, ev_io *watcher, int events)
{
	raw_t *raw = watcher->data;
	raw_connection_t *connection = g_new0(raw_connection_t, 1);

	raw->accepted++;
	connection->raw = raw;
	ev_io_init(&connection->io, on_raw_data,
	    accept(watcher->fd, NULL, NULL), EV_READ);
	connection->io.data = connection;
	ev_io_start(loop, &connection->io);
	g_array_append_val(raw->connections, connection);
}

static void
raw_start(raw_t *raw, const char *reply)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);

	memset(raw, 0, sizeof(*raw));
	raw->reply = reply;
	raw->connections =
	    g_array_new(FALSE, FALSE, sizeof(raw_connection_t *));
	raw->last = g_string_new(NULL);
	raw->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(raw->fd, (struct sockaddr *)&at, len), 0);
	ck_assert_int_eq(listen(raw->fd, 64), 0);
	getsockname(raw->fd, (struct sockaddr *)&at, &len);
	raw->port = ntohs(at.sin_port);
	ev_io_init(&raw->io, on_raw_accept, raw->fd, EV_READ);
	raw->io.data = raw;
	ev_io_start(loop, &raw->io);
}

static void
raw_stop(raw_t *raw)
{
	ev_io_stop(loop, &raw->io);
	close(raw->fd);
	for (guint i = 0; i < raw->connections->len; i++) {
		raw_connection_t *connection =
		    g_array_index(raw->connections, raw_connection_t *, i);

		ev_io_stop(loop, &connection->io);
		close(connection->io.fd);
		g_free(connection);
	}
	g_array_unref(raw->connections);
	g_string_free(raw->last, TRUE);
}

typedef struct {
	int done;
	int code;
	int status;
	bool not_sent;
	bool has_json;
} outcome_seen_t;

static void
on_done(void *ctx, const err_t *err, const client_answer_t *answer)
{
	outcome_seen_t *seen = ctx;

	seen->done++;
	seen->code = err->code;
	seen->status = answer->status;
	seen->not_sent = answer->not_sent;
	seen->has_json = answer->json != NULL;
}

static client_call_t *
call(client_t *client, uint16_t port, const char *method, int64_t deadline_ms,
    outcome_seen_t *seen)
{
	client_request_t request = {.address = "127.0.0.1",
	    .port = port,
	    .method = method,
	    .path = "/v1/tasks/t",
	    .fence = 4,
	    .config_version = 12,
	    .deadline_ms = deadline_ms};

	if (strcmp(method, "GET") != 0)
		request.body = STR_LIT("{\"mode\":\"run\"}");
	return client_start(client, &request, on_done, seen);
}

#define REPLY_OK                                                \
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" \
	"Content-Length: 7\r\n\r\n{\"a\":1}"

/* Guards against lost headers and bodies, and against unused connections. */
START_TEST(client_calls)
{
	client_t *client = client_create(loop, 9, MAX_BODY);
	outcome_seen_t seen = {0};
	raw_t raw;

	raw_start(&raw, REPLY_OK);
	call(client, raw.port, "PUT", 5000, &seen);
	run_until(&seen.done, 1);
	ck_assert_int_eq(seen.code, 0);
	ck_assert_int_eq(seen.status, 200);
	ck_assert(seen.has_json);
	ck_assert_ptr_nonnull(
	    strstr(raw.last->str, "PUT /v1/tasks/t HTTP/1.1"));
	ck_assert_ptr_nonnull(strstr(raw.last->str, "X-Chervilhold-Fence: 4"));
	ck_assert_ptr_nonnull(
	    strstr(raw.last->str, "X-Chervilhold-Config-Version: 12"));
	ck_assert_ptr_nonnull(strstr(raw.last->str, "{\"mode\":\"run\"}"));
	call(client, raw.port, "GET", 5000, &seen);
	run_until(&seen.done, 2);
	ck_assert_int_eq(raw.accepted, 1);
	client_destroy(client);
	raw_stop(&raw);
}
END_TEST

/* Guards against half an answer that is taken for a result. */
START_TEST(client_cut_short)
{
	static const char *const cut[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"a\":1}",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "7\r\n{\"a\":1}\r\n",
	    "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}",
	    "HTTP/1.1 200 OK\r\nContent-Le",
	};
	client_t *client = client_create(loop, 9, MAX_BODY);

	for (size_t i = 0; i < G_N_ELEMENTS(cut); i++) {
		outcome_seen_t seen = {0};
		raw_t raw;

		raw_start(&raw, cut[i]);
		raw.close_after = true;
		call(client, raw.port, "PUT", 5000, &seen);
		run_until(&seen.done, 1);
		ck_assert_msg(seen.code != 0, "answer %zu was accepted", i);
		ck_assert_int_eq(seen.status, 0);
		ck_assert(!seen.has_json);
		ck_assert(!seen.not_sent);
		raw_stop(&raw);
	}
	client_destroy(client);
}
END_TEST

/* Guards against an answer that takes memory without bound. */
START_TEST(client_too_large)
{
	client_t *client = client_create(loop, 9, 6);
	outcome_seen_t seen = {0};
	raw_t raw;

	raw_start(&raw, REPLY_OK);
	call(client, raw.port, "GET", 5000, &seen);
	run_until(&seen.done, 1);
	ck_assert_int_eq(seen.code, -EMSGSIZE);
	ck_assert_int_eq(seen.status, 0);
	client_destroy(client);
	raw_stop(&raw);
}
END_TEST

/* Guards against "did not run" for a request that may have arrived. */
START_TEST(client_not_sent)
{
	client_t *client = client_create(loop, 1, MAX_BODY);
	outcome_seen_t seen = {0};
	outcome_seen_t waiting = {0};
	uint16_t closed_port;
	raw_t raw;

	raw_start(&raw, NULL);
	closed_port = raw.port;
	raw_stop(&raw);
	call(client, closed_port, "PUT", 5000, &seen);
	run_until(&seen.done, 1);
	ck_assert_int_eq(seen.code, -ECONNREFUSED);
	ck_assert(seen.not_sent);
	/* Silent: it may run there.  The one waiting for its turn may not. */
	raw_start(&raw, NULL);
	call(client, raw.port, "PUT", 300, &seen);
	call(client, raw.port, "PUT", 200, &waiting);
	run_until(&waiting.done, 1);
	ck_assert_int_eq(waiting.code, -ETIMEDOUT);
	ck_assert(waiting.not_sent);
	run_until(&seen.done, 2);
	ck_assert_int_eq(seen.code, -ETIMEDOUT);
	ck_assert(!seen.not_sent);
	ck_assert_int_eq(raw.requests, 1);
	raw_stop(&raw);
	/* Closed without a byte on a new connection. */
	raw_start(&raw, NULL);
	raw.close_after = true;
	call(client, raw.port, "PUT", 5000, &seen);
	run_until(&seen.done, 3);
	ck_assert_int_ne(seen.code, 0);
	ck_assert(!seen.not_sent);
	raw_stop(&raw);
	client_destroy(client);
}
END_TEST

/* Guards against more connections to a server than its share, and against a
 * limit shared by servers that have one address and different ports. */
START_TEST(client_connection_limit)
{
	client_t *client = client_create(loop, 3, MAX_BODY);
	outcome_seen_t seen = {0};
	client_call_t *calls[10];
	raw_t raw[2];

	for (int i = 0; i < 2; i++)
		raw_start(&raw[i], NULL);
	for (int i = 0; i < 10; i++)
		calls[i] = call(client, raw[i % 2].port, "PUT", 60000, &seen);
	run_until(&raw[0].requests, 3);
	run_until(&raw[1].requests, 3);
	for (int i = 0; i < 50; i++)
		ev_run(loop, EVRUN_NOWAIT);
	ck_assert_int_eq(raw[0].accepted, 3);
	ck_assert_int_eq(raw[1].accepted, 3);
	for (int i = 0; i < 10; i++)
		client_abort(calls[i]);
	ck_assert_int_eq(seen.done, 0);
	client_destroy(client);
	for (int i = 0; i < 2; i++)
		raw_stop(&raw[i]);
}
END_TEST

/* Guards against asking about a silent connection on that same connection. */
START_TEST(client_fresh_connection)
{
	client_t *client = client_create(loop, 9, MAX_BODY);
	outcome_seen_t seen = {0};
	client_request_t request = {.address = "127.0.0.1",
	    .method = "GET",
	    .path = "/v1/tasks/t",
	    .deadline_ms = 5000,
	    .fresh_connection = true};
	raw_t raw;

	raw_start(&raw, REPLY_OK);
	call(client, raw.port, "GET", 5000, &seen);
	run_until(&seen.done, 1);
	request.port = raw.port;
	client_start(client, &request, on_done, &seen);
	run_until(&seen.done, 2);
	ck_assert_int_eq(raw.accepted, 2);
	call(client, raw.port, "GET", 5000, &seen);
	run_until(&seen.done, 3);
	ck_assert_int_eq(raw.accepted, 2);
	client_destroy(client);
	raw_stop(&raw);
}
END_TEST

/*
 * Guards against a request that libcurl sends twice when a kept connection
 * closes unanswered: the server may have accepted the first copy, and the
 * answer to the second one says nothing about it.
 */
START_TEST(client_does_not_repeat)
{
	client_t *client = client_create(loop, 9, MAX_BODY);
	outcome_seen_t seen = {0};
	raw_t raw;

	raw_start(&raw, REPLY_OK);
	call(client, raw.port, "PUT", 5000, &seen);
	run_until(&seen.done, 1);
	raw.reply = NULL;
	raw.close_after = true;
	call(client, raw.port, "PUT", 5000, &seen);
	run_until(&seen.done, 2);
	ck_assert_int_eq(seen.code, -ECONNRESET);
	ck_assert(!seen.not_sent);
	ck_assert_int_eq(raw.requests, 2);
	client_destroy(client);
	raw_stop(&raw);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("http");
	TCase *listener_case = tcase_create("listener");
	TCase *client_case = tcase_create("client");

	loop = ev_default_loop(0);
	tcase_set_timeout(listener_case, 60);
	tcase_set_timeout(client_case, 60);
	tcase_add_test(listener_case, listener_answers);
	tcase_add_test(listener_case, listener_answers_later);
	tcase_add_test(listener_case, listener_bounds);
	tcase_add_test(listener_case, listener_connection_count);
	tcase_add_test(listener_case, listener_client_gone);
	tcase_add_test(listener_case, listener_ends_first);
	tcase_add_test(client_case, client_calls);
	tcase_add_test(client_case, client_cut_short);
	tcase_add_test(client_case, client_too_large);
	tcase_add_test(client_case, client_not_sent);
	tcase_add_test(client_case, client_connection_limit);
	tcase_add_test(client_case, client_fresh_connection);
	tcase_add_test(client_case, client_does_not_repeat);
	suite_add_tcase(suite, listener_case);
	suite_add_tcase(suite, client_case);
	return unit_run(suite, CK_NOFORK);
}
