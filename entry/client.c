#include "entry/client.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <strings.h>

#include "common/loop_watch.h"

#define LOOP_WORK "http client"
/* One way is 1 ms; a server that takes longer than this to accept is gone. */
#define CONNECT_TIMEOUT_MS 1000
#define MAX_CACHED_CONNECTIONS 16384L
#define MAX_FREE_HANDLES 64

struct client_t {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	size_t max_body_bytes;
	GQueue free_handles;
	GQueue calls;
};

struct client_call_t {
	client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	char *peer;
	GByteArray *received;
	bool sent; /* a connection was ready to carry the request */
	bool may_repeat;
	bool has_length; /* the end of the body can be told from a cut */
	bool too_large;
	client_done_t *done;
	void *ctx;
	GList link;
};

/* The watcher of one socket of libcurl. */
typedef struct {
	client_t *client;
	ev_io io;
} socket_t;

static void finish_calls(client_t *client);

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	client_call_t *call = ctx;

	if (call->received->len + size * count > call->client->max_body_bytes) {
		call->too_large = true;
		return 0;
	}
	g_byte_array_append(
	    call->received, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	client_call_t *call = ctx;
	size_t len = size * count;

	if (len > 5 && strncmp(data, "HTTP/", 5) == 0) {
		/* A new status line, as after 100 Continue. */
		call->has_length = false;
	} else if ((len > 15 &&
		       strncasecmp(data, "Content-Length:", 15) == 0) ||
		   (len > 18 &&
		       strncasecmp(data, "Transfer-Encoding:", 18) == 0)) {
		call->has_length = true;
	}
	return len;
}

/*
 * libcurl has a connection and is about to send the request on it. It does so
 * again when a kept connection closes without an answer.
 */
static int
on_ready_to_send(void *ctx, char *primary_ip, char *local_ip, int primary_port,
    int local_port)
{
	client_call_t *call = ctx;

	if (call->sent && !call->may_repeat)
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

static void
on_socket_event(struct ev_loop *loop, ev_io *watcher, int events)
{
	socket_t *sock = watcher->data;
	client_t *client = sock->client;
	int running;
	int mask = ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
		   ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);

	loop_watch_enter(LOOP_WORK);
	curl_multi_socket_action(client->multi, watcher->fd, mask, &running);
	finish_calls(client);
	loop_watch_leave();
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	client_t *client = ctx;
	socket_t *sock = socket_ctx;
	int events = ((what & CURL_POLL_IN) ? EV_READ : 0) |
		     ((what & CURL_POLL_OUT) ? EV_WRITE : 0);

	if (what == CURL_POLL_REMOVE) {
		if (sock != NULL) {
			ev_io_stop(client->loop, &sock->io);
			g_free(sock);
			curl_multi_assign(client->multi, fd, NULL);
		}
		return 0;
	}
	if (sock == NULL) {
		sock = g_new0(socket_t, 1);
		sock->client = client;
		ev_init(&sock->io, on_socket_event);
		sock->io.data = sock;
		curl_multi_assign(client->multi, fd, sock);
	} else {
		ev_io_stop(client->loop, &sock->io);
	}
	ev_io_set(&sock->io, fd, events);
	ev_io_start(client->loop, &sock->io);
	return 0;
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	client_t *client = watcher->data;
	int running;

	loop_watch_enter(LOOP_WORK);
	curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_calls(client);
	loop_watch_leave();
}

static int
on_timeout_change(CURLM *multi, long timeout_ms, void *ctx)
{
	client_t *client = ctx;

	ev_timer_stop(client->loop, &client->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0);
		ev_timer_start(client->loop, &client->timer);
	}
	return 0;
}

/*
 * Creates a client that keeps at most connections_per_server connections to
 * each address and port and takes answers of at most max_body_bytes.
 */
client_t *
client_create(
    struct ev_loop *loop, int connections_per_server, size_t max_body_bytes)
{
	client_t *client = g_new0(client_t, 1);

	client->loop = loop;
	client->max_body_bytes = max_body_bytes;
	client->multi = curl_multi_init();
	g_queue_init(&client->free_handles);
	g_queue_init(&client->calls);
	ev_timer_init(&client->timer, on_timer, 0, 0);
	client->timer.data = client;
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, MAX_CACHED_CONNECTIONS);
	curl_multi_setopt(
	    client->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	client_set_connections(client, connections_per_server);
	return client;
}

/*
 * Changes the limit of connections.  libcurl counts them by address and port,
 * although the option is named after the host; test_http covers this.
 */
void
client_set_connections(client_t *client, int connections_per_server)
{
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
	    (long)connections_per_server);
}

/*
 * Limits the connections to all servers.  At the limit a call closes the
 * connection that has been idle longest, or waits for one to end.
 */
void
client_set_total_connections(client_t *client, int connections)
{
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, (long)connections);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, (long)connections);
}

static CURL *
take_handle(client_t *client)
{
	CURL *easy = g_queue_pop_head(&client->free_handles);

	if (easy != NULL)
		return easy;
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	return easy;
}

static void
call_free(client_call_t *call)
{
	client_t *client = call->client;

	curl_multi_remove_handle(client->multi, call->easy);
	if (client->free_handles.length < MAX_FREE_HANDLES)
		g_queue_push_head(&client->free_handles, call->easy);
	else
		curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_byte_array_unref(call->received);
	g_free(call->body);
	g_free(call->peer);
	g_free(call);
}

/* Ends the client; open calls end without done. */
void
client_destroy(client_t *client)
{
	GList *at;
	CURL *easy;

	if (client == NULL)
		return;
	while ((at = g_queue_pop_head_link(&client->calls)) != NULL)
		call_free(at->data);
	while ((easy = g_queue_pop_head(&client->free_handles)) != NULL)
		curl_easy_cleanup(easy);
	curl_multi_cleanup(client->multi);
	ev_timer_stop(client->loop, &client->timer);
	g_free(client);
}

static void
set_own_headers(client_call_t *call, const client_request_t *request)
{
	char line[96];

	g_snprintf(line, sizeof(line), "X-Chervilhold-Fence: %" PRIu64,
	    request->fence);
	call->headers = curl_slist_append(NULL, line);
	g_snprintf(line, sizeof(line), "X-Chervilhold-Config-Version: %" PRIu64,
	    request->config_version);
	call->headers = curl_slist_append(call->headers, line);
}

static void
set_headers(client_call_t *call, const client_request_t *request)
{
	if (request->headers == NULL)
		set_own_headers(call, request);
	for (size_t i = 0;
	     request->headers != NULL && request->headers[i] != NULL; i++)
		call->headers =
		    curl_slist_append(call->headers, request->headers[i]);
	/* Waiting for 100 Continue would cost a round trip. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	if (request->body.len > 0)
		call->headers = curl_slist_append(
		    call->headers, "Content-Type: application/json");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

/* A URL always ends the host with a port, so that no default applies. */
static void
set_url(client_call_t *call, const client_request_t *request)
{
	const char *format = strchr(request->address, ':') != NULL
				 ? "http://[%s]:%d%s"
				 : "http://%s:%d%s";
	char *url = g_strdup_printf(
	    format, request->address, request->port, request->path);

	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	g_free(url);
}

static void
set_method(client_call_t *call, const client_request_t *request)
{
	curl_easy_setopt(call->easy, CURLOPT_HTTPGET, 1L);
	if (strcmp(request->method, "GET") != 0) {
		curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body.len);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body);
	}
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
}

/*
 * Starts a call; done is called once from the loop, never from here.  The
 * deadline counts from now and covers the wait for a free connection.  The
 * request is copied.  It is sent once unless it says may_repeat: a connection
 * that closes without an answer ends the call with -ECONNRESET.
 */
client_call_t *
client_start(client_t *client, const client_request_t *request,
    client_done_t *done, void *ctx)
{
	client_call_t *call = g_new0(client_call_t, 1);
	long deadline_ms = (long)MAX(request->deadline_ms, 1);

	call->client = client;
	call->may_repeat = request->may_repeat;
	call->done = done;
	call->ctx = ctx;
	call->link.data = call;
	call->received = g_byte_array_new();
	call->peer = g_strdup_printf("%s:%d", request->address, request->port);
	call->body = g_malloc(request->body.len + 1);
	if (request->body.len > 0)
		memcpy(call->body, request->body.data, request->body.len);
	call->body[request->body.len] = '\0';
	call->easy = take_handle(client);
	set_url(call, request);
	set_method(call, request);
	set_headers(call, request);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, deadline_ms);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    MIN(deadline_ms, CONNECT_TIMEOUT_MS));
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT,
	    request->fresh_connection ? 1L : 0L);
	g_queue_push_tail_link(&client->calls, &call->link);
	curl_multi_add_handle(client->multi, call->easy);
	return call;
}

/*
 * Ends a call without calling done.  The server may or may not have received
 * the request.
 */
void
client_abort(client_call_t *call)
{
	g_queue_unlink(&call->client->calls, &call->link);
	call_free(call);
}

static int
errno_of(CURLcode code)
{
	switch (code) {
	case CURLE_OPERATION_TIMEDOUT:
		return -ETIMEDOUT;
	case CURLE_COULDNT_CONNECT:
		return -ECONNREFUSED;
	case CURLE_PARTIAL_FILE:
		return -EPROTO;
	case CURLE_WRITE_ERROR:
		return -EMSGSIZE;
	default:
		return -ECONNRESET;
	}
}

static void
describe(client_call_t *call, CURLcode code, int status, err_t *err)
{
	if (code == CURLE_OK && !call->has_length && status != 204) {
		/* Closing the connection ends such a body, and so does a
		 * crash: the two look the same. */
		err_set(err, -EPROTO, "call", call->peer,
		    "the answer states no length");
		return;
	}
	if (code == CURLE_OK)
		return;
	if (code == CURLE_ABORTED_BY_CALLBACK)
		err_set(err, -ECONNRESET, "call", call->peer,
		    "the connection closed without an answer");
	else if (call->too_large)
		err_set(err, -EMSGSIZE, "call", call->peer,
		    "the answer is longer than %zu bytes",
		    call->client->max_body_bytes);
	else
		err_set(err, errno_of(code), "call", call->peer, "%s",
		    curl_easy_strerror(code));
}

static void
finish(client_call_t *call, CURLcode code)
{
	client_answer_t answer = {0};
	err_t err = {0};
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	describe(call, code, (int)status, &err);
	answer.not_sent = !call->sent;
	if (err.code == 0) {
		answer.status = (int)status;
		answer.body =
		    (str_t){(char *)call->received->data, call->received->len};
		if (answer.body.len > 0)
			answer.json = json_loadb(answer.body.data,
			    answer.body.len, JSON_DECODE_ANY, NULL);
	}
	/* The connection is free again before done may start another call. */
	curl_multi_remove_handle(call->client->multi, call->easy);
	call->done(call->ctx, &err, &answer);
	json_decref(answer.json);
	g_queue_unlink(&call->client->calls, &call->link);
	call_free(call);
}

static void
finish_calls(client_t *client)
{
	CURLMsg *message;
	client_call_t *call;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		finish(call, message->data.result);
	}
}
