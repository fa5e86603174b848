#define _GNU_SOURCE /* POLLRDHUP */

#include "entry/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_LIMIT_BYTES 16384 /* request line and headers */
#define MAX_HEADERS 4            /* added to one answer */
#define LISTEN_BACKLOG 1024
#define GONE_CHECK_S 0.1
/* Rounds of MHD_run before the loop gets its turn again. */
#define MAX_RUNS 4

struct listener_t {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	listener_handler_t *handler;
	void *ctx;
	size_t max_body_bytes;
	uint16_t port;
	bool stopped;
	bool closing;
	bool run_needed;
	ev_io epoll_watcher;
	ev_timer timer;
	ev_prepare prepare;
	ev_timer gone_timer;
	GQueue open; /* handed over and not yet answered */
	GArray *polls;
};

typedef enum {
	REQUEST_RECEIVING,
	REQUEST_OPEN, /* handed over, connection suspended */
	REQUEST_ANSWERED,
} request_state_t;

struct http_request_t {
	listener_t *listener; /* NULL once the listener has ended */
	struct MHD_Connection *connection;
	request_state_t state;
	bool in_handler;
	bool too_large;
	bool is_gone;
	char *method;
	char *path;
	GByteArray *body;
	struct MHD_Response *response;
	int status;
	char *header_names[MAX_HEADERS]; /* of the answer */
	char *header_values[MAX_HEADERS];
	int header_count;
	void (*gone)(void *ctx);
	void *gone_ctx;
	GList link;
};

static void
request_free(http_request_t *request)
{
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	for (int i = 0; i < request->header_count; i++) {
		g_free(request->header_names[i]);
		g_free(request->header_values[i]);
	}
	if (request->body != NULL)
		g_byte_array_unref(request->body);
	g_free(request->method);
	g_free(request->path);
	g_free(request);
}

static http_request_t *
request_create(listener_t *listener, struct MHD_Connection *connection,
    const char *method, const char *url)
{
	http_request_t *request = g_new0(http_request_t, 1);
	const char *length;
	long long bytes = 0;

	request->listener = listener;
	request->connection = connection;
	request->method = g_strdup(method);
	request->path = g_strdup(url);
	request->link.data = request;
	length = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	if (length != NULL && str_to_int64(str_from(length), &bytes) != 0)
		bytes = 0;
	if (bytes > (long long)listener->max_body_bytes)
		request->too_large = true;
	else if (bytes > 0)
		request->body = g_byte_array_sized_new((guint)bytes + 1);
	return request;
}

static enum MHD_Result
queue_response(http_request_t *request)
{
	enum MHD_Result result;

	if (request->listener->stopped)
		MHD_add_response_header(
		    request->response, MHD_HTTP_HEADER_CONNECTION, "close");
	result = MHD_queue_response(
	    request->connection, (unsigned)request->status, request->response);
	return result;
}

static void
append_body(http_request_t *request, const char *data, size_t len)
{
	size_t held = request->body != NULL ? request->body->len : 0;

	if (request->too_large)
		return;
	if (held + len > request->listener->max_body_bytes) {
		request->too_large = true;
		return;
	}
	if (request->body == NULL)
		request->body = g_byte_array_new();
	g_byte_array_append(request->body, (const guint8 *)data, (guint)len);
}

/* Hands a whole request over; it stays open unless it is answered at once. */
static enum MHD_Result
hand_over(http_request_t *request)
{
	listener_t *listener = request->listener;

	request->state = REQUEST_OPEN;
	g_queue_push_tail_link(&listener->open, &request->link);
	request->in_handler = true;
	if (request->too_large)
		http_answer_error(request, MHD_HTTP_CONTENT_TOO_LARGE,
		    "did_not_run", "too_large", "", 0,
		    "the body is longer than %zu bytes",
		    listener->max_body_bytes);
	else
		listener->handler(listener->ctx, request);
	request->in_handler = false;
	if (request->state == REQUEST_ANSWERED)
		return queue_response(request);
	MHD_suspend_connection(request->connection);
	if (!ev_is_active(&listener->gone_timer))
		ev_timer_again(listener->loop, &listener->gone_timer);
	return MHD_YES;
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload_data,
    size_t *upload_size, void **con_cls)
{
	listener_t *listener = ctx;
	http_request_t *request = *con_cls;

	if (listener->closing)
		return MHD_NO;
	if (request == NULL) {
		*con_cls = request_create(listener, connection, method, url);
		return MHD_YES;
	}
	if (*upload_size > 0) {
		append_body(request, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (request->state == REQUEST_ANSWERED)
		return queue_response(request);
	if (request->state == REQUEST_RECEIVING)
		return hand_over(request);
	return MHD_YES;
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	http_request_t *request = *con_cls;

	*con_cls = NULL;
	if (request == NULL)
		return;
	if (request->state == REQUEST_OPEN) {
		/* Only at the end of the listener; the answer frees it. */
		request->listener = NULL;
		request->connection = NULL;
		return;
	}
	request_free(request);
}

static void
arm_timer(listener_t *listener)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	if (MHD_get_timeout(listener->daemon, &timeout_ms) != MHD_YES) {
		ev_timer_stop(listener->loop, &listener->timer);
		return;
	}
	/* A repeat of 0 would stop the timer. */
	listener->timer.repeat =
	    timeout_ms == 0 ? 1e-6 : (double)timeout_ms / 1000.0;
	ev_timer_again(listener->loop, &listener->timer);
}

static void
run(listener_t *listener)
{
	listener->run_needed = false;
	MHD_run(listener->daemon);
	for (int i = 1; listener->run_needed && i < MAX_RUNS; i++) {
		listener->run_needed = false;
		MHD_run(listener->daemon);
	}
	arm_timer(listener);
}

static void
on_epoll(struct ev_loop *loop, ev_io *watcher, int events)
{
	run(watcher->data);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	run(watcher->data);
}

/* Sends the answers given in this turn of the loop, all in one MHD_run. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	listener_t *listener = watcher->data;

	if (listener->run_needed)
		run(listener);
}

/*
 * Finds clients that closed their connection.  MHD does not watch suspended
 * connections; one poll for all of them costs less than a watcher for each
 * request, and POLLRDHUP is not hidden by pipelined bytes.
 */
static void
on_gone_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	listener_t *listener = watcher->data;
	GPtrArray *gone = NULL;
	guint i = 0;

	if (listener->open.length == 0) {
		ev_timer_stop(loop, watcher);
		return;
	}
	g_array_set_size(listener->polls, listener->open.length);
	for (GList *at = listener->open.head; at != NULL; at = at->next, i++) {
		const http_request_t *request = at->data;
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		    request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

		g_array_index(listener->polls, struct pollfd, i) =
		    (struct pollfd){
			.fd = request->is_gone ? -1 : info->connect_fd,
			.events = POLLRDHUP};
	}
	if (poll((struct pollfd *)(void *)listener->polls->data, i, 0) <= 0)
		return;
	i = 0;
	for (GList *at = listener->open.head; at != NULL; at = at->next, i++) {
		http_request_t *request = at->data;

		if (g_array_index(listener->polls, struct pollfd, i).revents ==
		    0)
			continue;
		request->is_gone = true;
		if (gone == NULL)
			gone = g_ptr_array_new();
		g_ptr_array_add(gone, request);
	}
	/* Callbacks may answer any request, hence not while walking the list;
	 * an answered one is freed by a later MHD_run. */
	for (i = 0; gone != NULL && i < gone->len; i++) {
		http_request_t *request = g_ptr_array_index(gone, i);

		if (request->gone != NULL)
			request->gone(request->gone_ctx);
	}
	if (gone != NULL)
		g_ptr_array_unref(gone);
}

/* Fills the socket address; returns its length or -EINVAL. */
static int
parse_address(
    const listener_options_t *options, struct sockaddr_storage *storage)
{
	struct sockaddr_in *in4 = (void *)storage;
	struct sockaddr_in6 *in6 = (void *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, options->address, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(options->port);
		return sizeof(*in4);
	}
	if (inet_pton(AF_INET6, options->address, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(options->port);
		return sizeof(*in6);
	}
	return -EINVAL;
}

static uint16_t
bound_port(struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info != NULL ? info->port : 0;
}

static void
start_watchers(listener_t *listener, int epoll_fd)
{
	ev_io_init(&listener->epoll_watcher, on_epoll, epoll_fd, EV_READ);
	listener->epoll_watcher.data = listener;
	ev_io_start(listener->loop, &listener->epoll_watcher);
	ev_timer_init(&listener->timer, on_timer, 0, 0);
	listener->timer.data = listener;
	ev_timer_init(&listener->gone_timer, on_gone_timer, 0, GONE_CHECK_S);
	listener->gone_timer.data = listener;
	ev_prepare_init(&listener->prepare, on_prepare);
	listener->prepare.data = listener;
	ev_prepare_start(listener->loop, &listener->prepare);
}

/*
 * Listens on an address and calls handler for each request whose body has
 * arrived.  Returns NULL with -EINVAL (address) or -EADDRINUSE (any failure to
 * listen) in err.  Requests that are no valid HTTP never reach the handler:
 * libmicrohttpd refuses them with 400, 414 or 431 on its own.
 */
listener_t *
listener_create(struct ev_loop *loop, const listener_options_t *options,
    listener_handler_t *handler, void *ctx, err_t *err)
{
	listener_t *listener;
	const union MHD_DaemonInfo *info;
	struct sockaddr_storage address;
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;

	if (parse_address(options, &address) < 0) {
		err_set(err, -EINVAL, "listen", NULL,
		    "\"%s\" is not an IP address", options->address);
		return NULL;
	}
	if (address.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	listener = g_new0(listener_t, 1);
	listener->loop = loop;
	listener->handler = handler;
	listener->ctx = ctx;
	listener->max_body_bytes = options->max_body_bytes;
	listener->polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	g_queue_init(&listener->open);
	listener->daemon = MHD_start_daemon(flags, options->port, NULL, NULL,
	    on_access, listener, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT,
	    options->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
	    options->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)HEADER_LIMIT_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE,
	    (unsigned)LISTEN_BACKLOG, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
	    NULL, MHD_OPTION_END);
	if (listener->daemon == NULL) {
		err_set(err, -EADDRINUSE, "listen", NULL,
		    "cannot listen on %s port %u: %s", options->address,
		    options->port, strerror(errno));
		g_array_unref(listener->polls);
		g_free(listener);
		return NULL;
	}
	listener->port = bound_port(listener->daemon);
	info = MHD_get_daemon_info(listener->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	start_watchers(listener, info->epoll_fd);
	run(listener);
	return listener;
}

/* Stops accepting; open requests go on and their connections then close. */
void
listener_stop_accepting(listener_t *listener)
{
	MHD_socket fd;

	if (listener->stopped)
		return;
	listener->stopped = true;
	fd = MHD_quiesce_daemon(listener->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	arm_timer(listener);
}

/*
 * Ends the listener and closes every connection.  Requests still open stay
 * valid until they are answered.
 */
void
listener_destroy(listener_t *listener)
{
	GList *at;

	if (listener == NULL)
		return;
	listener_stop_accepting(listener);
	ev_io_stop(listener->loop, &listener->epoll_watcher);
	ev_timer_stop(listener->loop, &listener->timer);
	ev_timer_stop(listener->loop, &listener->gone_timer);
	ev_prepare_stop(listener->loop, &listener->prepare);
	listener->closing = true;
	while ((at = g_queue_pop_head_link(&listener->open)) != NULL) {
		http_request_t *request = at->data;

		MHD_resume_connection(request->connection);
	}
	MHD_stop_daemon(listener->daemon);
	g_array_unref(listener->polls);
	g_free(listener);
}

/* Returns the port it listens on. */
uint16_t
listener_port(const listener_t *listener)
{
	return listener->port;
}

/* Returns the number of requests handed over and not yet answered. */
size_t
listener_open_requests(const listener_t *listener)
{
	return listener->open.length;
}

/* Returns the method in upper case, as sent. */
str_t
http_method(const http_request_t *request)
{
	return str_from(request->method);
}

/* Returns the path without its query. */
str_t
http_path(const http_request_t *request)
{
	return str_from(request->path);
}

static str_t
lookup(const http_request_t *request, enum MHD_ValueKind kind, const char *name)
{
	if (request->connection == NULL)
		return (str_t){NULL, 0};
	return str_from(
	    MHD_lookup_connection_value(request->connection, kind, name));
}

/* Returns a header of the request; names are not case sensitive. */
str_t
http_header(const http_request_t *request, const char *name)
{
	return lookup(request, MHD_HEADER_KIND, name);
}

/* Returns a decoded argument of the query. */
str_t
http_query(const http_request_t *request, const char *name)
{
	return lookup(request, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the whole body. */
str_t
http_body(const http_request_t *request)
{
	if (request->body == NULL)
		return (str_t){"", 0};
	return (str_t){(const char *)request->body->data, request->body->len};
}

/*
 * Sets what is called when the client closes its connection, or its sending
 * side, before the answer; noticed within 0.1 s.  gone may answer this request.
 */
void
http_on_gone(http_request_t *request, void (*gone)(void *ctx), void *ctx)
{
	request->gone = gone;
	request->gone_ctx = ctx;
}

/* Adds one of at most 4 headers to the answer, which comes later. */
void
http_add_header(http_request_t *request, const char *name, const char *value)
{
	g_return_if_fail(request->header_count < MAX_HEADERS);
	request->header_names[request->header_count] = g_strdup(name);
	request->header_values[request->header_count++] = g_strdup(value);
}

static void
answer(http_request_t *request, int status, const char *content_type,
    struct MHD_Response *response)
{
	listener_t *listener = request->listener;

	if (listener == NULL) {
		MHD_destroy_response(response);
		request_free(request);
		return;
	}
	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	for (int i = 0; i < request->header_count; i++)
		MHD_add_response_header(response, request->header_names[i],
		    request->header_values[i]);
	request->response = response;
	request->status = status;
	request->state = REQUEST_ANSWERED;
	request->gone = NULL;
	g_queue_unlink(&listener->open, &request->link);
	if (request->in_handler)
		return;
	MHD_resume_connection(request->connection);
	listener->run_needed = true;
}

/* Answers with a JSON body; body is consumed. */
void
http_answer_json(http_request_t *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	answer(request, status, "application/json",
	    MHD_create_response_from_buffer(
		text != NULL ? strlen(text) : 0, text, MHD_RESPMEM_MUST_FREE));
}

/* Answers with bytes, which are copied. */
void
http_answer_bytes(
    http_request_t *request, int status, const char *content_type, str_t body)
{
	answer(request, status, content_type,
	    MHD_create_response_from_buffer(
		body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY));
}

/* Answers with the error body of docs/INTERFACES.md. */
void
http_answer_error(http_request_t *request, int status, const char *outcome,
    const char *error, const char *path, int64_t retry_after_ms,
    const char *format, ...)
{
	json_t *body = json_object();
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	json_object_set_new(body, "outcome", json_string(outcome));
	json_object_set_new(body, "error", json_string(error));
	json_object_set_new(
	    body, "text", json_stringn_nocheck(text, strlen(text)));
	json_object_set_new(body, "path", json_string(path));
	if (retry_after_ms > 0)
		json_object_set_new(
		    body, "retry_after_ms", json_integer(retry_after_ms));
	g_free(text);
	http_answer_json(request, status, body);
}
