#define _GNU_SOURCE /* POLLRDHUP */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/listener_private.h"

#define HEADER_LIMIT_BYTES 16384 /* request line and headers */
/* Read beyond the limits before a client is cut rather than answered. */
#define SLACK_BYTES 65536
/* Twice the connections: more would only wait behind a crowd. */
#define MIN_BACKLOG 64
#define MAX_BACKLOG 1024
#define GONE_CHECK_S 0.1
/*
 * Bodies handed over in one turn of the loop; the next ones wait for a later
 * turn.  Decoding costs up to 0.1 ms for each KiB.
 */
#define TURN_BODY_BYTES (128 * 1024)
#define DEFERRED_INTERVAL_S 0.001
/* Rounds of MHD_run before the loop gets its turn again. */
#define MAX_RUNS 4

static http_request_t *
request_create(http_connection_t *client, const char *method, const char *url)
{
	http_request_t *request = g_new0(http_request_t, 1);
	listener_t *listener = client->listener;

	request->listener = listener;
	request->connection = client->mhd;
	request->client = client;
	request->method = g_strdup(method);
	request->path = g_strdup(url);
	request->body.share = listener->memory;
	request->link.data = request;
	request->deferred_link.data = request;
	limits_request_began(request);
	return request;
}

/* Returns the announced length of the body; 0 if there is none. */
static size_t
announced_bytes(const http_request_t *request)
{
	long long bytes = 0;
	str_t length = http_header(request, MHD_HTTP_HEADER_CONTENT_LENGTH);

	if (length.data == NULL || str_to_int64(length, &bytes) != 0)
		return 0;
	return (size_t)MAX(bytes, 0);
}

/* Decides from the header of a request what becomes of its body. */
static void
judge_header(http_request_t *request)
{
	listener_t *listener = request->listener;
	size_t announced = announced_bytes(request);
	size_t first = MIN(announced, REQUEST_BODY_STEP);

	request->max_body_bytes =
	    listener->body_limit != NULL
		? listener->body_limit(listener->ctx, request)
		: listener->max_body_bytes;
	if (announced > MAX(request->max_body_bytes, listener->max_body_bytes))
		request->body_fate = BODY_TOO_LARGE;
	else if (request->max_body_bytes == 0)
		request->body_fate = BODY_IGNORED;
	else if (announced > request->max_body_bytes)
		request->body_fate = BODY_TOO_LARGE;
	else if (first > 0 && !limits_make_room(listener, first))
		request->body_fate = BODY_NO_ROOM;
	else if (announced > 0)
		request->max_body_bytes = announced;
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

/* Keeps the next bytes of a body if its route and the memory allow it. */
static void
append_body(http_request_t *request, const char *data, size_t len)
{
	request_body_t *body = &request->body;

	request->received_bytes += len;
	if (request->body_fate != BODY_KEPT)
		return;
	if (body->len + len > request->max_body_bytes) {
		request->body_fate = BODY_TOO_LARGE;
		request_body_clear(body);
		return;
	}
	/* Room may be made at the cost of this very request. */
	if (!request->client->is_evicted && body->len + len > body->capacity)
		limits_make_room(
		    request->listener, MAX(body->capacity, REQUEST_BODY_STEP));
	if (request->client->is_evicted || request_body_append(body, data, len,
					       request->max_body_bytes) != 0) {
		request->body_fate = BODY_NO_ROOM;
		request_body_clear(body);
	}
}

/* Answers a request whose body was not kept. */
static void
refuse_body(http_request_t *request)
{
	listener_t *listener = request->listener;

	if (request->body_fate == BODY_TOO_LARGE) {
		http_answer_error(request, MHD_HTTP_CONTENT_TOO_LARGE,
		    "did_not_run", "too_large", "", 0,
		    "the body is longer than %zu bytes",
		    request->max_body_bytes);
		return;
	}
	counter_add(listener->refused, 1);
	http_add_header(request, MHD_HTTP_HEADER_RETRY_AFTER, "1");
	http_answer_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "did_not_run",
	    "busy", "", BUSY_RETRY_MS, "no memory for the body at present");
}

static bool
is_refused(const http_request_t *request)
{
	return request->body_fate == BODY_TOO_LARGE ||
	       request->body_fate == BODY_NO_ROOM;
}

/* Hands a whole request over, or leaves it to a later turn of the loop. */
static void
serve_or_defer(http_request_t *request)
{
	listener_t *listener = request->listener;

	if (request->body.len > 0 &&
	    listener->turn_body_bytes >= TURN_BODY_BYTES) {
		g_queue_push_tail_link(
		    &listener->deferred, &request->deferred_link);
		if (!ev_is_active(&listener->deferred_timer))
			ev_timer_again(
			    listener->loop, &listener->deferred_timer);
		return;
	}
	listener->turn_body_bytes += request->body.len;
	/* The handler sets what is called when the client has gone. */
	request->is_gone = false;
	listener->handler(listener->ctx, request);
}

/* Hands over what earlier turns of the loop have left. */
static void
on_deferred_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	listener_t *listener = watcher->data;

	listener->turn_body_bytes = 0;
	while (listener->deferred.length > 0 &&
	       listener->turn_body_bytes < TURN_BODY_BYTES) {
		GList *link = g_queue_pop_head_link(&listener->deferred);

		serve_or_defer(link->data);
	}
	if (listener->deferred.length == 0)
		ev_timer_stop(loop, watcher);
}

/* Hands a whole request over; it stays open unless it is answered at once. */
static enum MHD_Result
hand_over(http_request_t *request)
{
	listener_t *listener = request->listener;

	request->state = REQUEST_OPEN;
	g_queue_push_tail_link(&listener->open, &request->link);
	request->in_handler = true;
	if (is_refused(request))
		refuse_body(request);
	else
		serve_or_defer(request);
	request->in_handler = false;
	if (request->state == REQUEST_ANSWERED)
		return queue_response(request);
	MHD_suspend_connection(request->connection);
	if (!ev_is_active(&listener->gone_timer))
		ev_timer_again(listener->loop, &listener->gone_timer);
	return MHD_YES;
}

/*
 * Begins a request whose header has arrived.  One that is refused is answered
 * before its body is read, and its connection closes.
 */
static enum MHD_Result
begin_request(listener_t *listener, struct MHD_Connection *connection,
    const char *method, const char *url, http_request_t **begun)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	http_request_t *request =
	    request_create(info->socket_context, method, url);

	*begun = request;
	judge_header(request);
	return is_refused(request) ? hand_over(request) : MHD_YES;
}

/*
 * Takes part of a body.  A client that goes on far beyond the limit, or where
 * no body is taken, is cut.
 */
static enum MHD_Result
receive_body(http_request_t *request, const char *data, size_t len)
{
	size_t most = request->body_fate == BODY_IGNORED
			  ? 0
			  : 2 * request->listener->max_body_bytes;

	append_body(request, data, len);
	return request->received_bytes > most + SLACK_BYTES ? MHD_NO : MHD_YES;
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
	if (request == NULL)
		return begin_request(listener, connection, method, url,
		    (http_request_t **)con_cls);
	if (*upload_size > 0) {
		size_t len = *upload_size;

		*upload_size = 0;
		return receive_body(request, upload_data, len);
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
	limits_request_ended(request);
	if (request->state == REQUEST_OPEN) {
		/* Only at the end of the listener; the answer frees it. */
		http_request_uncount(request);
		request->listener = NULL;
		request->connection = NULL;
		return;
	}
	http_request_free(request);
}

static void
on_connection(void *ctx, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*socket_context = limits_connected(ctx, connection);
	else if (*socket_context != NULL)
		limits_disconnected(*socket_context);
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
	listener->turn_body_bytes = 0;
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
	ev_timer_init(&listener->deferred_timer, on_deferred_timer, 0,
	    DEFERRED_INTERVAL_S);
	listener->deferred_timer.data = listener;
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
	unsigned backlog =
	    CLAMP(2 * options->max_connections, MIN_BACKLOG, MAX_BACKLOG);
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
	listener->body_limit = options->body_limit;
	listener->polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	g_queue_init(&listener->open);
	g_queue_init(&listener->deferred);
	limits_start(listener, options);
	listener->daemon = MHD_start_daemon(flags, options->port, NULL, NULL,
	    on_access, listener, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT,
	    options->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
	    options->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)HEADER_LIMIT_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE, backlog,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, listener,
	    MHD_OPTION_END);
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
	ev_timer_stop(listener->loop, &listener->deferred_timer);
	ev_prepare_stop(listener->loop, &listener->prepare);
	listener->closing = true;
	while ((at = g_queue_pop_head_link(&listener->open)) != NULL) {
		http_request_t *request = at->data;

		MHD_resume_connection(request->connection);
	}
	/* Nobody will answer these. */
	while ((at = g_queue_pop_head_link(&listener->deferred)) != NULL)
		((http_request_t *)at->data)->state = REQUEST_RECEIVING;
	MHD_stop_daemon(listener->daemon);
	limits_stop(listener);
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
