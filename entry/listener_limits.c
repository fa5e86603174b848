#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "common/clock.h"
#include "entry/listener_private.h"

/* How often room is made while no more connections may be opened. */
#define ROOM_INTERVAL_S 0.1
/* Part of the connections that one round of it may close. */
#define ROOM_DIVISOR 4
#define SWEEP_INTERVAL_S 1.0
/* After a pause of this process, bytes may have arrived that were not read. */
#define SWEEP_PAUSE_MS 3000
/* A client is given this long to send a request before another one in need may
 * take its place. */
#define MIN_IDLE_MS 1000

/* ---- eviction ---- */

/* Whether the client holds a place without being served. */
static bool
may_go(const http_connection_t *client)
{
	return !client->is_evicted &&
	       (client->request == NULL ||
		   client->request->state != REQUEST_OPEN);
}

static size_t
held_bytes(const http_request_t *request)
{
	if (request == NULL)
		return 0;
	return request->body.capacity + request->response_bytes;
}

/*
 * Ends a connection.  The library notices it as if the client had closed it and
 * frees what belongs to it in its own time; the bytes are given back at once.
 */
static void
evict(http_connection_t *client)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    client->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);

	client->is_evicted = true;
	counter_add(client->listener->evicted, 1);
	if (client->request != NULL)
		http_request_uncount(client->request);
	if (client->request != NULL &&
	    client->request->state == REQUEST_RECEIVING) {
		request_body_clear(&client->request->body);
		/* The rest of the body may have arrived already. */
		client->request->body_fate = BODY_NO_ROOM;
	}
	shutdown(info->connect_fd, SHUT_RDWR);
}

/* Lists the clients, and what the choice needs to know of each. */
static eviction_candidate_t *
list_candidates(const listener_t *listener, http_connection_t **clients)
{
	eviction_candidate_t *candidates =
	    g_new(eviction_candidate_t, listener->connections.length + 1);
	size_t count = 0;

	for (GList *at = listener->connections.head; at != NULL;
	     at = at->next) {
		http_connection_t *client = at->data;

		clients[count] = client;
		candidates[count++] = (eviction_candidate_t){
		    .source = client->source,
		    .since_ms = client->since_ms,
		    .held_bytes = held_bytes(client->request),
		    .may_go = may_go(client),
		};
	}
	return candidates;
}

/* Whether those who may go have made room; bytes 0 for connections. */
static bool
has_room(const listener_t *listener, size_t bytes)
{
	return bytes > 0 && mem_share_has(listener->memory, bytes);
}

/* Ends up to most connections of those that may go, until there is room. */
static bool
evict_some(
    listener_t *listener, eviction_reason_t reason, size_t bytes, size_t most)
{
	size_t count = listener->connections.length;
	http_connection_t **clients = g_new(http_connection_t *, count + 1);
	eviction_candidate_t *candidates = list_candidates(listener, clients);
	size_t *chosen = g_new(size_t, count + 1);
	size_t found = eviction_choose(candidates, count, reason,
	    clock_mono_ms() - listener->min_idle_ms, chosen, MIN(most, count));

	for (size_t i = 0; i < found && !has_room(listener, bytes); i++)
		evict(clients[chosen[i]]);
	g_free(chosen);
	g_free(candidates);
	g_free(clients);
	return has_room(listener, bytes);
}

bool
limits_make_room(listener_t *listener, size_t bytes)
{
	return listener->memory == NULL ||
	       mem_share_has(listener->memory, bytes) ||
	       evict_some(listener, EVICT_FOR_BYTES, bytes, SIZE_MAX);
}

/* ---- connections ---- */

static void
start_sweep(listener_t *listener)
{
	if (ev_is_active(&listener->sweep_timer))
		return;
	listener->swept_ms = clock_mono_ms();
	ev_timer_again(listener->loop, &listener->sweep_timer);
}

/* Clients of one address share it; ports do not count. */
static uint64_t
source_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr *address =
	    info != NULL ? info->client_addr : NULL;
	const struct sockaddr_in6 *in6 = (const void *)address;
	const struct sockaddr_in *in4 = (const void *)address;

	if (address == NULL)
		return 0;
	if (address->sa_family == AF_INET6)
		return XXH64(&in6->sin6_addr, sizeof(in6->sin6_addr), 0);
	return in4->sin_addr.s_addr;
}

static void
on_room_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	listener_t *listener = watcher->data;

	if (listener->connections.length < listener->max_connections) {
		ev_timer_stop(loop, watcher);
		return;
	}
	evict_some(listener, EVICT_FOR_CONNECTION, 0,
	    listener->max_connections / ROOM_DIVISOR + 1);
}

http_connection_t *
limits_connected(listener_t *listener, struct MHD_Connection *connection)
{
	http_connection_t *client = g_new0(http_connection_t, 1);

	client->listener = listener;
	client->mhd = connection;
	client->source = source_of(connection);
	client->since_ms = clock_mono_ms();
	client->link.data = client;
	g_queue_push_tail_link(&listener->connections, &client->link);
	if (listener->connections.length >= listener->max_connections &&
	    !ev_is_active(&listener->room_timer))
		ev_timer_again(listener->loop, &listener->room_timer);
	return client;
}

void
limits_disconnected(http_connection_t *client)
{
	listener_t *listener = client->listener;

	if (client->request != NULL)
		client->request->client = NULL;
	/* At its limit the library no longer watches for new connections, and
	 * looks whether it may only at the start of a run. */
	if (listener->connections.length >= listener->max_connections)
		listener->run_needed = true;
	if (listener->connections.length >=
	    listener->max_connections / ROOM_DIVISOR) {
		mem_note_freed(MEM_CONNECTION_BYTES);
		start_sweep(listener);
	}
	g_queue_unlink(&listener->connections, &client->link);
	g_free(client);
}

/* ---- transfers ---- */

static bool
is_too_slow(const http_connection_t *client, int64_t now_ms)
{
	const http_request_t *request = client->request;

	if (request == NULL || client->is_evicted)
		return false;
	if (request->state == REQUEST_RECEIVING)
		return eviction_is_too_slow(
		    request->received_bytes, now_ms - client->since_ms);
	/* How much of an answer was read is not known; it has the time that
	 * all of it takes. */
	return request->state == REQUEST_ANSWERED &&
	       eviction_is_too_slow(
		   0, now_ms - client->since_ms -
			  eviction_transfer_ms(request->response_bytes));
}

static void
on_sweep_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	listener_t *listener = watcher->data;
	int64_t now_ms = clock_mono_ms();
	bool was_paused = now_ms - listener->swept_ms > SWEEP_PAUSE_MS;
	bool any = false;

	listener->swept_ms = now_ms;
	for (GList *at = listener->connections.head; at != NULL;
	     at = at->next) {
		http_connection_t *client = at->data;

		if (was_paused && client->request != NULL)
			client->since_ms = now_ms;
		any |= client->request != NULL &&
		       client->request->state != REQUEST_OPEN;
		if (is_too_slow(client, now_ms))
			evict(client);
	}
	mem_trim();
	if (!any)
		ev_timer_stop(loop, watcher);
}

static void
note_transfer(http_request_t *request)
{
	listener_t *listener = request->listener;

	if (request->client != NULL)
		request->client->since_ms = clock_mono_ms();
	start_sweep(listener);
}

void
limits_request_began(http_request_t *request)
{
	if (request->client != NULL)
		request->client->request = request;
	note_transfer(request);
}

void
limits_request_answered(http_request_t *request)
{
	note_transfer(request);
}

void
limits_request_ended(http_request_t *request)
{
	if (request->client == NULL)
		return;
	request->client->since_ms = clock_mono_ms();
	request->client->request = NULL;
	request->client = NULL;
}

/* ---- start and end ---- */

void
limits_start(listener_t *listener, const listener_options_t *options)
{
	listener->max_connections = options->max_connections;
	listener->min_idle_ms =
	    options->min_idle_ms > 0 ? options->min_idle_ms : MIN_IDLE_MS;
	listener->memory = options->memory;
	if (listener->memory != NULL)
		mem_share_at_least(listener->memory, options->max_body_bytes);
	listener->evicted = counter_get("http_evicted_total",
	    "connections closed to make room, or as too slow");
	listener->refused = counter_get("http_bodies_refused_total",
	    "requests refused as there was no memory for their body");
	g_queue_init(&listener->connections);
	ev_timer_init(&listener->room_timer, on_room_timer, 0, ROOM_INTERVAL_S);
	listener->room_timer.data = listener;
	ev_timer_init(
	    &listener->sweep_timer, on_sweep_timer, 0, SWEEP_INTERVAL_S);
	listener->sweep_timer.data = listener;
}

void
limits_stop(listener_t *listener)
{
	ev_timer_stop(listener->loop, &listener->room_timer);
	ev_timer_stop(listener->loop, &listener->sweep_timer);
}
