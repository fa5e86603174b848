#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "rpc/codec.h"
#include "rpc/peer_private.h"

#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 1000
/* A refused HELLO is only mended by an operator, so asking often is no use. */
#define REFUSED_RETRY_MS 5000

static void dial(peer_t *peer);

/* ---- connection ---- */

static void
redial_after(peer_t *peer, int64_t delay_ms)
{
	struct ev_loop *loop = peer->set->connections->loop;

	ev_timer_stop(loop, &peer->redial);
	ev_timer_set(&peer->redial, (double)delay_ms / CLOCK_MS_PER_S, 0);
	ev_timer_start(loop, &peer->redial);
}

/* Half to whole of the backoff, so that instances do not retry in step. */
static int64_t
next_backoff(peer_t *peer)
{
	int64_t backoff = peer->backoff_ms;

	peer->backoff_ms = MIN(backoff * 2, BACKOFF_MAX_MS);
	return g_rand_int_range(
	    peer->set->random, (gint32)(backoff / 2), (gint32)backoff + 1);
}

static bool
is_refusal(const err_t *err)
{
	return err->code == -EPROTONOSUPPORT || err->code == -EACCES;
}

/* Logs a new state of the peer, not each failed attempt in that state. */
static void
report_down(peer_t *peer, const err_t *reason)
{
	err_t err = *reason;

	if (peer->reported_down &&
	    (!is_refusal(reason) || peer->reported_refusal))
		return;
	peer->reported_down = true;
	peer->reported_refusal = is_refusal(reason);
	g_strlcpy(err.peer, peer->settings->id, sizeof(err.peer));
	log_err(LOG_WARNING, &err);
}

static void
on_closed(void *ctx, const err_t *err)
{
	peer_t *peer = ctx;
	bool was_up = peer->up;
	err_t reason = *err;
	GList *calls = peer_calls_detach(peer);

	if (connection_err_is_malformed(err))
		counter_add(peer->set->malformed, 1);
	report_down(peer, &reason);
	peer->up = false;
	connection_destroy(peer->connection);
	peer->connection = NULL;
	if (was_up)
		counter_add(peer->set->up, -1);
	/* A peer that drops each connection at once is not dialled in a loop.
	 */
	if (was_up && clock_mono_ms() - peer->up_since_ms >= BACKOFF_MAX_MS)
		dial(peer);
	else if (is_refusal(&reason))
		redial_after(peer, REFUSED_RETRY_MS);
	else
		redial_after(peer, next_backoff(peer));
	peer_calls_end(peer, calls, reason.text);
	if (was_up && peer->set->changed != NULL)
		peer->set->changed(
		    peer->set->changed_ctx, peer->settings->id, false);
}

static void
on_connected(void *ctx)
{
	peer_t *peer = ctx;
	const settings_t *settings = peer->set->settings;
	hello_args_t hello = {
	    .instance = settings->instance,
	    .domain = settings->failure_domain,
	    .version_min = PROTOCOL_VERSION_MIN,
	    .version_max = PROTOCOL_VERSION_MAX,
	    .incarnation = peer->set->incarnation,
	    .self = peer_self(settings),
	};
	GByteArray *bytes;
	int code;

	peer->hello_xid = peer_next_xid(peer->set, peer);
	bytes = message_call(peer->hello_xid, RPC_HELLO, &hello, &code);
	if (bytes == NULL)
		connection_fail(peer->connection, code, "rpc hello",
		    "own name or domain breaks a limit");
	else
		connection_send(peer->connection, bytes, NULL);
}

static void
malformed(peer_t *peer, const char *text)
{
	connection_fail(peer->connection, -EBADMSG, "rpc receive", text);
}

static void
on_hello(peer_t *peer, const message_t *message)
{
	hello_result_t result = {0};

	if (message->code != 0 || codec_decode((xdrproc_t)xdr_hello_result_t,
				      message->body, &result) != 0) {
		malformed(peer, "malformed answer to HELLO");
		return;
	}
	if (result.code == -EPROTONOSUPPORT) {
		connection_fail(peer->connection, -EPROTONOSUPPORT, "rpc hello",
		    "no common protocol version");
	} else if (result.code != 0) {
		connection_fail(peer->connection, -EACCES, "rpc hello",
		    "this instance is not in the peer's settings");
	} else if (strcmp(result.instance, peer->settings->id) != 0) {
		connection_fail(peer->connection, -EACCES, "rpc hello",
		    "another instance answers at this address");
	} else if (result.protocol_version < PROTOCOL_VERSION_MIN ||
		   result.protocol_version > PROTOCOL_VERSION_MAX) {
		connection_fail(peer->connection, -EPROTONOSUPPORT, "rpc hello",
		    "the peer chose a protocol version unknown here");
	} else {
		peer->up = true;
		peer->hello_xid = 0;
		peer->backoff_ms = BACKOFF_FIRST_MS;
		if (peer->reported_down)
			log_line(LOG_NOTICE, "rpc connect: %s: connected again",
			    peer->settings->id);
		peer->reported_down = false;
		peer->reported_refusal = false;
		peer->up_since_ms = clock_mono_ms();
		counter_add(peer->set->connects, 1);
		counter_add(peer->set->up, 1);
		peer_set_found(
		    peer->set, result.peers.peers_val, result.peers.peers_len);
		peer_calls_start(peer);
		if (peer->set->changed != NULL)
			peer->set->changed(
			    peer->set->changed_ctx, peer->settings->id, true);
	}
	codec_free((xdrproc_t)xdr_hello_result_t, &result);
}

static void
on_record(void *ctx, str_t record)
{
	peer_t *peer = ctx;
	message_t message;

	if (message_decode(record, &message) != 0 || message.is_call) {
		malformed(peer, "malformed reply");
		return;
	}
	peer->last_received_ms = clock_mono_ms();
	if (!peer->up && message.xid == peer->hello_xid)
		on_hello(peer, &message);
	else if (message.xid == peer->ping_xid)
		peer->ping_xid = 0;
	else if (peer_calls_reply(peer, &message) != 0)
		malformed(peer, "malformed result");
}

static void
on_idle(void *ctx)
{
	peer_t *peer = ctx;
	GByteArray *bytes;
	int code;

	if (!peer->up)
		return;
	peer->ping_xid = peer_next_xid(peer->set, peer);
	bytes = message_call(peer->ping_xid, RPC_PING, NULL, &code);
	connection_send(peer->connection, bytes, NULL);
}

static void
dial(peer_t *peer)
{
	static const connection_callbacks_t callbacks = {
	    .connected = on_connected,
	    .record = on_record,
	    .idle = on_idle,
	    .closed = on_closed,
	};
	err_t err = {0};

	peer->connection = connection_dial(peer->set->connections,
	    peer->set->settings->address, peer->settings->address,
	    peer->settings->rpc_port, &callbacks, peer, &err);
	if (peer->connection == NULL) {
		report_down(peer, &err);
		redial_after(peer, next_backoff(peer));
	}
}

static void
on_redial(struct ev_loop *loop, ev_timer *watcher, int events)
{
	dial(watcher->data);
}

/* ---- set and peer ---- */

/* How this instance is reached, for the others. */
peer_info_t
peer_self(const settings_t *settings)
{
	return (peer_info_t){
	    .id = settings->instance,
	    .address = settings->address,
	    .rpc_port = (int)settings->rpc_port,
	    .domain = settings->failure_domain,
	    .is_replica = settings->role_replica,
	};
}

/* Reports replicas that the settings do not name yet. */
void
peer_set_found(peer_set_t *set, const peer_info_t *peers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		settings_peer_t peer = {
		    .id = peers[i].id,
		    .address = peers[i].address,
		    .failure_domain = peers[i].domain,
		    .rpc_port = peers[i].rpc_port,
		    .is_replica = peers[i].is_replica,
		};

		if (set->found != NULL && peer.is_replica &&
		    settings_peer(set->settings, peer.id) == NULL)
			set->found(set->found_ctx, &peer);
	}
}

/* Creates the outgoing half for one instance and connects at once. */
peer_t *
peer_create(peer_set_t *set, const settings_peer_t *settings)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->set = set;
	peer->settings = settings;
	peer->backoff_ms = BACKOFF_FIRST_MS;
	peer->last_received_ms = clock_mono_ms();
	peer->calls = g_hash_table_new(NULL, NULL);
	g_queue_init(&peer->waiting);
	ev_timer_init(&peer->redial, on_redial, 0, 0);
	peer->redial.data = peer;
	dial(peer);
	return peer;
}

/* Closes the connection; calls end as on a lost connection. */
void
peer_destroy(peer_t *peer)
{
	GList *calls;

	if (peer == NULL)
		return;
	ev_timer_stop(peer->set->connections->loop, &peer->redial);
	if (peer->up)
		counter_add(peer->set->up, -1);
	peer->up = false;
	calls = peer_calls_detach(peer);
	connection_destroy(peer->connection);
	peer->connection = NULL;
	peer_calls_end(peer, calls, "this instance stops");
	g_hash_table_unref(peer->calls);
	g_free(peer);
}

/* Returns the name of the peer's instance. */
const char *
peer_id(const peer_t *peer)
{
	return peer->settings->id;
}

/* Whether HELLO was answered on the present connection. */
bool
peer_is_up(const peer_t *peer)
{
	return peer->up;
}

/* Monotonic time of the last record from the peer, at first of the start. */
int64_t
peer_last_received_ms(const peer_t *peer)
{
	return peer->last_received_ms;
}

/* Notes that the peer was heard on its own connection to this instance. */
void
peer_heard(peer_t *peer, int64_t now_ms)
{
	peer->last_received_ms = now_ms;
}
