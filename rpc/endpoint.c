#define _GNU_SOURCE /* accept4 */

#include "rpc/endpoint.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/log.h"
#include "rpc/codec.h"
#include "rpc/message.h"
#include "rpc/peer.h"
#include "rpc/record.h"

#define LISTEN_BACKLOG 128
/* Each instance needs one; the rest is for connections not yet given up. */
/* Entry instances are not among the peers of the settings. */
#define INCOMING_MAX (8 * SETTINGS_MAX_PEERS)
/* Beyond this number, connections without a HELLO make room for new ones. */
#define UNIDENTIFIED_MAX 128
/* Time to say HELLO after the connection was accepted. */
#define HELLO_MIN_MS 1000
/* Records of callers that have not said HELLO, and of those that are no peer:
 * one call of RPC_BATCH at a time, of earlier releases too. */
#define HELLO_MAX_BYTES (16 * 1024)
#define GUEST_MAX_BYTES (2 * 1024 * 1024)

struct endpoint_t {
	const settings_t *settings;
	uint64_t incarnation;
	endpoint_serve_t *serve;
	void *ctx;
	int listen_fd;
	ev_io acceptable;
	connection_set_t connections;
	peer_set_t outgoing;
	GPtrArray *peers;
	GQueue incoming;
	counter_t *unidentified_closed;
};

/* A connection that another instance made for its calls. */
typedef struct {
	endpoint_t *endpoint;
	connection_t *connection;
	peer_t *peer; /* NULL before HELLO, and for a guest */
	char *guest;  /* name of a caller that is no peer, or NULL */
	int64_t accepted_ms;
	GQueue requests;
} incoming_t;

struct endpoint_request_t {
	incoming_t *incoming; /* NULL once the connection is gone */
	uint32_t xid;
	uint32_t procedure;
};

static peer_t *
find_peer(const endpoint_t *endpoint, const char *id)
{
	for (guint i = 0; i < endpoint->peers->len; i++) {
		peer_t *peer = g_ptr_array_index(endpoint->peers, i);

		if (strcmp(peer_id(peer), id) == 0)
			return peer;
	}
	return NULL;
}

/* ---- incoming connections ---- */

static void
incoming_destroy(incoming_t *incoming)
{
	endpoint_request_t *request;

	while ((request = g_queue_pop_head(&incoming->requests)) != NULL)
		request->incoming = NULL;
	g_queue_remove(&incoming->endpoint->incoming, incoming);
	connection_destroy(incoming->connection);
	g_free(incoming->guest);
	g_free(incoming);
}

/* Whether the caller has said who it is. */
static bool
is_known(const incoming_t *incoming)
{
	return incoming->peer != NULL || incoming->guest != NULL;
}

static const char *
incoming_name(const incoming_t *incoming)
{
	if (incoming->peer != NULL)
		return peer_id(incoming->peer);
	return incoming->guest != NULL ? incoming->guest : "(no HELLO)";
}

static void
incoming_closed(void *ctx, const err_t *err)
{
	incoming_t *incoming = ctx;
	err_t named = *err;

	if (connection_err_is_malformed(err))
		counter_add(incoming->endpoint->outgoing.malformed, 1);
	g_strlcpy(named.peer, incoming_name(incoming), sizeof(named.peer));
	/* A peer that stops or replaces its connection is reported once, by
	 * the outgoing half. */
	log_err(err->code == -ECONNRESET ? LOG_DEBUG : LOG_WARNING, &named);
	incoming_destroy(incoming);
}

static void
malformed(incoming_t *incoming, const char *text)
{
	connection_fail(incoming->connection, -EBADMSG, "rpc receive", text);
}

/*
 * Returns the highest version both sides speak, 0 when there is none.  This is
 * the only place where versions are compared.
 */
static uint32_t
common_version(const hello_args_t *hello)
{
	uint32_t version = MIN(hello->version_max, PROTOCOL_VERSION_MAX);

	if (version < PROTOCOL_VERSION_MIN || version < hello->version_min)
		return 0;
	return version;
}

/* The peer has a new connection, so its older ones are of no use. */
static void
drop_older_connections(incoming_t *incoming)
{
	GList *next;

	for (GList *link = incoming->endpoint->incoming.head; link != NULL;
	     link = next) {
		incoming_t *other = link->data;

		next = link->next;
		if (other != incoming && other->peer != NULL &&
		    other->peer == incoming->peer)
			incoming_destroy(other);
	}
}

peer_info_t
peer_info_of(const settings_peer_t *peer)
{
	return (peer_info_t){
	    .id = peer->id,
	    .address = peer->address,
	    .rpc_port = (int)peer->rpc_port,
	    .domain = peer->failure_domain,
	    .is_replica = peer->is_replica,
	};
}

void
endpoint_report_peer(endpoint_t *endpoint, const peer_info_t *peer)
{
	peer_set_found(&endpoint->outgoing, peer, 1);
}

/* Borrows the names of the replicas known here, this one included. */
static u_int
borrow_replicas(const settings_t *settings, peer_info_t *peers)
{
	u_int count = 0;

	for (size_t i = 0; i < settings->peer_count; i++) {
		const settings_peer_t *peer = &settings->peers[i];

		if (peer->is_replica && count < MAX_MEMBERS)
			peers[count++] = peer_info_of(peer);
	}
	return count;
}

static void
list_replicas(const endpoint_t *endpoint, hello_result_t *result)
{
	result->peers.peers_val = g_new0(peer_info_t, MAX_MEMBERS);
	result->peers.peers_len =
	    borrow_replicas(endpoint->settings, result->peers.peers_val);
}

static void
serve_hello(incoming_t *incoming, const message_t *message)
{
	const endpoint_t *endpoint = incoming->endpoint;
	hello_result_t result = {
	    .instance = endpoint->settings->instance,
	    .incarnation = endpoint->incarnation,
	};
	hello_args_t hello = {0};
	char text[sizeof(((err_t *)NULL)->text)];
	GByteArray *reply;
	peer_t *peer;

	if (codec_decode((xdrproc_t)xdr_hello_args_t, message->body, &hello) !=
	    0) {
		malformed(incoming, "malformed HELLO");
		return;
	}
	if (endpoint->outgoing.found != NULL)
		peer_set_found(
		    (peer_set_t *)&endpoint->outgoing, &hello.self, 1);
	peer = find_peer(endpoint, hello.instance);
	result.protocol_version = common_version(&hello);
	if (result.protocol_version == 0) {
		result.code = -EPROTONOSUPPORT;
		g_snprintf(text, sizeof(text),
		    "%s speaks versions %u to %u, this instance %d to %d",
		    hello.instance, hello.version_min, hello.version_max,
		    PROTOCOL_VERSION_MIN, PROTOCOL_VERSION_MAX);
		connection_close_after_flush(
		    incoming->connection, result.code, "rpc hello", text);
	} else if (peer == NULL && endpoint->outgoing.found != NULL &&
		   !hello.self.is_replica) {
		incoming->guest = g_strdup(hello.instance);
		connection_limit_records(incoming->connection, GUEST_MAX_BYTES);
		list_replicas(endpoint, &result);
	} else if (peer == NULL) {
		result.code = -EACCES;
		g_snprintf(text, sizeof(text), "%s is not in the settings",
		    hello.instance);
		connection_close_after_flush(
		    incoming->connection, result.code, "rpc hello", text);
	} else {
		incoming->peer = peer;
		connection_limit_records(
		    incoming->connection, RECORD_MAX_BYTES);
		drop_older_connections(incoming);
		if (endpoint->outgoing.found != NULL)
			list_replicas(endpoint, &result);
	}
	reply = message_reply(message->xid, RPC_HELLO, &result);
	if (reply != NULL)
		connection_send(incoming->connection, reply, NULL);
	g_free(result.peers.peers_val);
	codec_free((xdrproc_t)xdr_hello_args_t, &hello);
}

static endpoint_request_t *
request_create(incoming_t *incoming, const message_t *message)
{
	endpoint_request_t *request = g_new0(endpoint_request_t, 1);

	request->incoming = incoming;
	request->xid = message->xid;
	request->procedure = message->procedure;
	g_queue_push_tail(&incoming->requests, request);
	return request;
}

static void
serve_call(incoming_t *incoming, const message_t *message)
{
	const message_procedure_t *procedure =
	    message_procedure(message->procedure);
	endpoint_t *endpoint = incoming->endpoint;
	endpoint_request_t *request = NULL;
	void *args;

	if (procedure == NULL) {
		connection_send(incoming->connection,
		    message_error(message->xid, PROC_UNAVAIL), NULL);
		return;
	}
	args = g_malloc0(procedure->args_size);
	if (codec_decode(procedure->args, message->body, args) != 0) {
		malformed(incoming, "malformed arguments");
		g_free(args);
		return;
	}
	if (message->procedure == RPC_PEERS) {
		const peer_list_t *list = args;

		peer_set_found(&endpoint->outgoing, list->peers.peers_val,
		    list->peers.peers_len);
	} else if (message->procedure == RPC_PING) {
		connection_send(incoming->connection,
		    message_reply(message->xid, RPC_PING, NULL), NULL);
	} else {
		if (!procedure->one_way)
			request = request_create(incoming, message);
		endpoint->serve(endpoint->ctx, incoming_name(incoming),
		    message->procedure, args, request);
	}
	codec_free(procedure->args, args);
	g_free(args);
}

static void
incoming_record(void *ctx, str_t record)
{
	incoming_t *incoming = ctx;
	message_t message;

	if (message_decode(record, &message) != 0 || !message.is_call) {
		malformed(incoming, "malformed call");
		return;
	}
	if ((message.procedure == RPC_HELLO) == is_known(incoming)) {
		malformed(incoming, "HELLO must come first and once");
		return;
	}
	if (message.procedure == RPC_HELLO) {
		serve_hello(incoming, &message);
		return;
	}
	if (incoming->peer != NULL)
		peer_heard(incoming->peer, clock_mono_ms());
	serve_call(incoming, &message);
}

/* Closes the oldest connection without a HELLO if there are too many. */
static void
limit_unidentified(endpoint_t *endpoint)
{
	incoming_t *oldest = NULL;
	int count = 0;

	for (GList *at = endpoint->incoming.head; at != NULL; at = at->next) {
		incoming_t *incoming = at->data;

		if (is_known(incoming))
			continue;
		if (oldest == NULL)
			oldest = incoming;
		count++;
	}
	if (count < UNIDENTIFIED_MAX ||
	    clock_mono_ms() - oldest->accepted_ms < HELLO_MIN_MS)
		return;
	counter_add(endpoint->unidentified_closed, 1);
	incoming_destroy(oldest);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
	static const connection_callbacks_t callbacks = {
	    .record = incoming_record,
	    .closed = incoming_closed,
	};
	endpoint_t *endpoint = watcher->data;
	incoming_t *incoming;
	int fd;

	while ((fd = accept4(endpoint->listen_fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		limit_unidentified(endpoint);
		if (endpoint->incoming.length >= INCOMING_MAX) {
			close(fd);
			continue;
		}
		incoming = g_new0(incoming_t, 1);
		incoming->endpoint = endpoint;
		incoming->accepted_ms = clock_mono_ms();
		g_queue_init(&incoming->requests);
		incoming->connection = connection_accept(
		    &endpoint->connections, fd, &callbacks, incoming);
		connection_limit_records(incoming->connection, HELLO_MAX_BYTES);
		g_queue_push_tail(&endpoint->incoming, incoming);
	}
}

/* ---- public functions ---- */

static int
start_listening(endpoint_t *endpoint, err_t *err)
{
	const settings_t *settings = endpoint->settings;
	struct sockaddr_storage address;
	socklen_t len;
	int on = 1;

	if (connection_address(
		settings->address, settings->rpc_port, &address, &len) != 0)
		return err_set(err, -EINVAL, "rpc listen", settings->address,
		    "not an IP address");
	endpoint->listen_fd = socket(
	    address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (endpoint->listen_fd < 0)
		return err_set(
		    err, -errno, "rpc listen", settings->address, "no socket");
	setsockopt(
	    endpoint->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(endpoint->listen_fd, (struct sockaddr *)&address, len) != 0 ||
	    listen(endpoint->listen_fd, LISTEN_BACKLOG) != 0)
		return err_set(err, -errno, "rpc listen", settings->address,
		    "port %d", (int)settings->rpc_port);
	return 0;
}

/*
 * Starts to listen and to connect to every other instance of the settings,
 * which must outlive the endpoint.  incarnation differs at each start of the
 * process.  Returns NULL with err when the port cannot be used.
 */
endpoint_t *
endpoint_create(struct ev_loop *loop, const settings_t *settings,
    uint64_t incarnation, endpoint_serve_t *serve, void *ctx, err_t *err)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);

	endpoint->settings = settings;
	endpoint->incarnation = incarnation;
	endpoint->serve = serve;
	endpoint->ctx = ctx;
	if (start_listening(endpoint, err) != 0) {
		if (endpoint->listen_fd >= 0)
			close(endpoint->listen_fd);
		g_free(endpoint);
		return NULL;
	}
	g_queue_init(&endpoint->incoming);
	endpoint->unidentified_closed =
	    counter_get("rpc_unidentified_closed_total",
		"connections closed that had not said who they are");
	connection_set_init(&endpoint->connections, loop,
	    settings->ping_interval_ms, settings->silent_after_ms);
	endpoint->outgoing.connections = &endpoint->connections;
	endpoint->outgoing.settings = settings;
	endpoint->outgoing.incarnation = incarnation;
	endpoint->outgoing.random = g_rand_new();
	peer_set_init(&endpoint->outgoing);
	ev_io_init(
	    &endpoint->acceptable, on_acceptable, endpoint->listen_fd, EV_READ);
	endpoint->acceptable.data = endpoint;
	ev_io_start(loop, &endpoint->acceptable);
	endpoint->peers = g_ptr_array_new();
	for (size_t i = 0; i < settings->peer_count; i++) {
		if (strcmp(settings->peers[i].id, settings->instance) != 0)
			g_ptr_array_add(
			    endpoint->peers, peer_create(&endpoint->outgoing,
						 &settings->peers[i]));
	}
	return endpoint;
}

/*
 * Closes every connection; calls that have not ended do so here.  Must not be
 * called from a callback of the endpoint.
 */
void
endpoint_destroy(endpoint_t *endpoint)
{
	GPtrArray *peers;

	if (endpoint == NULL)
		return;
	ev_io_stop(endpoint->connections.loop, &endpoint->acceptable);
	close(endpoint->listen_fd);
	while (endpoint->incoming.length > 0)
		incoming_destroy(g_queue_peek_head(&endpoint->incoming));
	/* Callbacks that run from here on find no peer to call. */
	peers = endpoint->peers;
	endpoint->peers = g_ptr_array_new();
	endpoint->outgoing.changed = NULL;
	for (guint i = 0; i < peers->len; i++)
		peer_destroy(g_ptr_array_index(peers, i));
	peer_set_clear(&endpoint->outgoing);
	connection_set_clear(&endpoint->connections);
	g_rand_free(endpoint->outgoing.random);
	g_ptr_array_unref(peers);
	g_ptr_array_unref(endpoint->peers);
	g_free(endpoint);
}

/*
 * Calls a procedure of another instance.  args is the argument struct of
 * rpc/protocol.x and is copied.  deadline_ms is in milliseconds from now.  done
 * is called exactly once, never from within this function.
 */
void
endpoint_call(endpoint_t *endpoint, const char *peer, uint32_t procedure,
    void *args, int64_t deadline_ms, endpoint_done_t *done, void *ctx)
{
	peer_call(&endpoint->outgoing, find_peer(endpoint, peer), procedure,
	    args, deadline_ms, done, ctx);
}

/*
 * Sends a one-way message; it may be lost.  Returns 0 when it is queued,
 * -EHOSTUNREACH when the peer is not connected, -ENOBUFS when its queue is
 * full, -EINVAL or -EMSGSIZE when args break a limit of the protocol.
 */
int
endpoint_send(
    endpoint_t *endpoint, const char *peer, uint32_t procedure, void *args)
{
	peer_t *found = find_peer(endpoint, peer);

	if (found == NULL)
		return -EHOSTUNREACH;
	return peer_send(found, procedure, args);
}

/*
 * Answers a request and frees it.  The answer is dropped when the peer's
 * connection is gone, even if the peer has a new one.
 */
void
endpoint_answer(endpoint_request_t *request, void *result)
{
	incoming_t *incoming = request->incoming;
	GByteArray *reply;

	if (incoming != NULL) {
		g_queue_remove(&incoming->requests, request);
		reply = message_reply(request->xid, request->procedure, result);
		if (reply == NULL)
			reply = message_error(request->xid, SYSTEM_ERR);
		connection_send(incoming->connection, reply, NULL);
	}
	g_free(request);
}

/* Whether calls to the peer can be sent now. */
bool
endpoint_peer_is_up(const endpoint_t *endpoint, const char *peer)
{
	const peer_t *found = find_peer(endpoint, peer);

	return found != NULL && peer_is_up(found);
}

/*
 * Returns the milliseconds since the peer was last heard on any connection, or
 * since the endpoint was created; INT64_MAX for an unknown peer.
 */
int64_t
endpoint_peer_silent_ms(const endpoint_t *endpoint, const char *peer)
{
	const peer_t *found = find_peer(endpoint, peer);

	if (found == NULL)
		return INT64_MAX;
	return clock_mono_ms() - peer_last_received_ms(found);
}

/*
 * Sets the function that is told of replicas found at run time.  With one, the
 * endpoint also serves callers that are no replicas and not in the settings.
 */
void
endpoint_on_found(endpoint_t *endpoint, endpoint_found_t *found, void *ctx)
{
	endpoint->outgoing.found = found;
	endpoint->outgoing.found_ctx = ctx;
}

/* Tells every connected peer which replicas are known here. */
static void
tell_replicas(endpoint_t *endpoint)
{
	peer_info_t peers[MAX_MEMBERS];
	peer_list_t list = {.peers.peers_val = peers};

	list.peers.peers_len = borrow_replicas(endpoint->settings, peers);
	for (guint i = 0; i < endpoint->peers->len; i++) {
		peer_t *peer = g_ptr_array_index(endpoint->peers, i);

		if (peer_is_up(peer))
			peer_send(peer, RPC_PEERS, &list);
	}
}

void
endpoint_add_peer(endpoint_t *endpoint, const settings_peer_t *peer)
{
	if (strcmp(peer->id, endpoint->settings->instance) == 0 ||
	    find_peer(endpoint, peer->id) != NULL)
		return;
	g_ptr_array_add(
	    endpoint->peers, peer_create(&endpoint->outgoing, peer));
	if (endpoint->settings->role_replica)
		tell_replicas(endpoint);
}

/* Sets the function that is told when a peer's connection comes or goes. */
void
endpoint_on_peer(endpoint_t *endpoint,
    void (*changed)(void *ctx, const char *peer, bool up), void *ctx)
{
	endpoint->outgoing.changed = changed;
	endpoint->outgoing.changed_ctx = ctx;
}
