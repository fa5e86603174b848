#include "rpc/peer.h"

#include <errno.h>
#include <limits.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "rpc/codec.h"
#include "rpc/message.h"

#define QUEUE_MAX_CALLS 1024
#define QUEUE_MAX_BYTES (4 * 1024 * 1024)
#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 1000
/* A refused HELLO is only mended by an operator, so asking often is no use. */
#define REFUSED_RETRY_MS 5000

typedef struct {
	peer_t *peer; /* NULL when the call was refused at once */
	uint32_t xid;
	uint32_t procedure;
	int64_t deadline_ms;
	GSequenceIter *position;
	GByteArray *bytes; /* until it is handed to the connection */
	connection_ticket_t ticket;
	bool handed_over;
	endpoint_done_t *done;
	void *ctx;
	err_t err;
} call_t;

struct peer_t {
	peer_set_t *set;
	const settings_peer_t *settings;
	connection_t *connection;
	bool up;
	int64_t up_since_ms;
	bool reported_down;
	bool reported_refusal;
	uint32_t hello_xid;
	uint32_t ping_xid;
	int64_t backoff_ms;
	int64_t last_received_ms;
	ev_timer redial;
	GHashTable *calls; /* every call that has not ended, by xid */
	GQueue waiting;    /* calls made while HELLO is outstanding */
	size_t waiting_bytes;
};

static void dial(peer_t *peer);

/* ---- calls ---- */

static void
call_free(call_t *call)
{
	if (call->bytes != NULL)
		g_byte_array_unref(call->bytes);
	g_free(call);
}

static void
call_detach(call_t *call)
{
	peer_t *peer = call->peer;

	if (call->position != NULL)
		g_sequence_remove(call->position);
	call->position = NULL;
	if (peer == NULL)
		return;
	g_hash_table_remove(peer->calls, GUINT_TO_POINTER(call->xid));
	if (call->handed_over)
		connection_cancel(peer->connection, &call->ticket);
	else if (g_queue_remove(&peer->waiting, call))
		peer->waiting_bytes -= call->bytes->len;
	call->peer = NULL;
}

/* Ends a call.  The callback may make new calls. */
static void
call_end(call_t *call, const err_t *err, void *result)
{
	call_detach(call);
	call->done(call->ctx, err, result);
	call_free(call);
}

static gint
compare_deadlines(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const call_t *first = a;
	const call_t *second = b;

	if (first->deadline_ms != second->deadline_ms)
		return first->deadline_ms < second->deadline_ms ? -1 : 1;
	return 0;
}

static call_t *
earliest_call(const peer_set_t *set)
{
	GSequenceIter *first = g_sequence_get_begin_iter(set->deadlines);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/* Starts the timer unless it already runs out early enough. */
static void
schedule_deadlines(peer_set_t *set, bool restart)
{
	const call_t *call = earliest_call(set);
	int64_t delay;

	if (call == NULL)
		return;
	if (ev_is_active(&set->deadline_timer) && !restart)
		return;
	delay = MAX(call->deadline_ms - clock_mono_ms(), 0);
	ev_timer_stop(set->connections->loop, &set->deadline_timer);
	ev_timer_set(&set->deadline_timer, (double)delay / CLOCK_MS_PER_S, 0);
	/* libev's own time may lag behind the clock used for deadlines. */
	ev_now_update(set->connections->loop);
	ev_timer_start(set->connections->loop, &set->deadline_timer);
}

static void
on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
	peer_set_t *set = watcher->data;
	int64_t now_ms = clock_mono_ms();
	call_t *call;

	while ((call = earliest_call(set)) != NULL &&
	       call->deadline_ms <= now_ms) {
		bool sent = call->handed_over && call->ticket.started;
		err_t err;

		counter_add(set->timeouts, 1);
		err_set(&err, sent ? -ETIMEDOUT : -EHOSTUNREACH, "rpc call",
		    call->peer->settings->id, "%s %s before its deadline",
		    message_procedure(call->procedure)->name,
		    sent ? "was not answered" : "could not be sent");
		call_end(call, &err, NULL);
	}
	schedule_deadlines(set, true);
}

static void
on_refused(struct ev_loop *loop, ev_timer *watcher, int events)
{
	peer_set_t *set = watcher->data;
	guint budget = set->refused.length;

	while (budget-- > 0) {
		call_t *call = g_queue_pop_head(&set->refused);
		err_t err = call->err;

		call_end(call, &err, NULL);
	}
	if (set->refused.length > 0)
		ev_timer_start(loop, watcher);
}

/* Ends a call that is not sent; its callback runs in a later event. */
static void
refuse_call(
    peer_set_t *set, call_t *call, int code, const char *peer, const char *text)
{
	counter_add(set->dropped, 1);
	err_set(&call->err, code, "rpc call", peer, "%s", text);
	g_queue_push_tail(&set->refused, call);
	ev_timer_start(set->connections->loop, &set->refused_timer);
}

static bool
queue_is_full(const peer_t *peer, size_t len)
{
	size_t queued = peer->waiting_bytes;

	if (peer->connection != NULL)
		queued += connection_queued_bytes(peer->connection);
	/* A record above the limit on its own is let into an empty queue. */
	return queued > 0 && queued + len > QUEUE_MAX_BYTES;
}

static uint32_t
next_xid(peer_set_t *set, const peer_t *peer)
{
	while (g_hash_table_contains(
	    peer->calls, GUINT_TO_POINTER(++set->next_xid)))
		;
	return set->next_xid;
}

static void
hand_over(peer_t *peer, call_t *call)
{
	call->handed_over = true;
	connection_send(
	    peer->connection, g_steal_pointer(&call->bytes), &call->ticket);
}

/*
 * Calls a procedure of a peer; NULL for one that is not in the settings.  The
 * deadline is in milliseconds from now.  done is called once, in a later event.
 */
void
peer_call(peer_set_t *set, peer_t *peer, uint32_t procedure, void *args,
    int64_t deadline_ms, endpoint_done_t *done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);
	const char *id;
	int code;

	call->procedure = procedure;
	call->done = done;
	call->ctx = ctx;
	counter_add(set->calls, 1);
	if (peer == NULL) {
		refuse_call(set, call, -EHOSTUNREACH, "", "no such instance");
		return;
	}
	id = peer->settings->id;
	if (peer->connection == NULL) {
		refuse_call(set, call, -EHOSTUNREACH, id, "not connected");
		return;
	}
	if (g_hash_table_size(peer->calls) >= QUEUE_MAX_CALLS) {
		refuse_call(set, call, -ENOBUFS, id, "too many calls");
		return;
	}
	call->xid = next_xid(set, peer);
	call->bytes = message_call(call->xid, procedure, args, &code);
	if (call->bytes == NULL) {
		refuse_call(
		    set, call, -EHOSTUNREACH, id, "arguments break a limit");
		return;
	}
	if (queue_is_full(peer, call->bytes->len)) {
		refuse_call(set, call, -ENOBUFS, id, "too many bytes queued");
		return;
	}
	call->peer = peer;
	call->deadline_ms = clock_mono_ms() + deadline_ms;
	g_hash_table_insert(peer->calls, GUINT_TO_POINTER(call->xid), call);
	call->position = g_sequence_insert_sorted(
	    set->deadlines, call, compare_deadlines, NULL);
	if (peer->up) {
		hand_over(peer, call);
	} else {
		peer->waiting_bytes += call->bytes->len;
		g_queue_push_tail(&peer->waiting, call);
	}
	schedule_deadlines(set, earliest_call(set) == call);
}

/*
 * Sends a one-way message.  Returns 0, -EHOSTUNREACH when the peer is not
 * connected, -ENOBUFS when its queue is full, -EINVAL or -EMSGSIZE.
 */
int
peer_send(peer_t *peer, uint32_t procedure, void *args)
{
	peer_set_t *set = peer->set;
	GByteArray *bytes;
	int code;

	if (!peer->up) {
		counter_add(set->dropped, 1);
		return -EHOSTUNREACH;
	}
	bytes = message_call(next_xid(set, peer), procedure, args, &code);
	if (bytes == NULL)
		return code;
	if (queue_is_full(peer, bytes->len) ||
	    connection_queued_records(peer->connection) >= QUEUE_MAX_CALLS) {
		counter_add(set->dropped, 1);
		g_byte_array_unref(bytes);
		return -ENOBUFS;
	}
	connection_send(peer->connection, bytes, NULL);
	return 0;
}

/* ---- connection ---- */

/* Takes every call out of the queues; they end by end_detached. */
static GList *
detach_calls(peer_t *peer)
{
	GList *calls = g_hash_table_get_values(peer->calls);

	for (GList *link = calls; link != NULL; link = link->next)
		call_detach(link->data);
	return calls;
}

/* Ends calls of a lost connection; the fate of those begun is unknown. */
static void
end_detached(peer_t *peer, GList *calls, const char *text)
{
	for (GList *link = calls; link != NULL; link = link->next) {
		call_t *call = link->data;
		err_t err;

		err_set(&err,
		    call->ticket.started ? -ECONNRESET : -EHOSTUNREACH,
		    "rpc call", peer->settings->id, "%s", text);
		call_end(call, &err, NULL);
	}
	g_list_free(calls);
}

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
	GList *calls = detach_calls(peer);

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
	end_detached(peer, calls, reason.text);
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
	};
	GByteArray *bytes;
	int code;

	peer->hello_xid = next_xid(peer->set, peer);
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
	call_t *call;

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
		while ((call = g_queue_pop_head(&peer->waiting)) != NULL)
			hand_over(peer, call);
		peer->waiting_bytes = 0;
		if (peer->set->changed != NULL)
			peer->set->changed(
			    peer->set->changed_ctx, peer->settings->id, true);
	}
	codec_free((xdrproc_t)xdr_hello_result_t, &result);
}

static void
on_reply(peer_t *peer, const message_t *message)
{
	call_t *call =
	    g_hash_table_lookup(peer->calls, GUINT_TO_POINTER(message->xid));
	const message_procedure_t *procedure;
	err_t err = {0};
	void *result;

	if (call == NULL) {
		counter_add(peer->set->late, 1);
		return;
	}
	procedure = message_procedure(call->procedure);
	if (message->code != 0) {
		err_set(&err, message->code, "rpc call", peer->settings->id,
		    "%s was refused", procedure->name);
		call_end(call, &err, NULL);
		return;
	}
	result = g_malloc0(procedure->result_size);
	if (codec_decode(procedure->result, message->body, result) != 0) {
		malformed(peer, "malformed result");
	} else {
		call_end(call, &err, result);
		codec_free(procedure->result, result);
	}
	g_free(result);
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
	else
		on_reply(peer, &message);
}

static void
on_idle(void *ctx)
{
	peer_t *peer = ctx;
	GByteArray *bytes;
	int code;

	if (!peer->up)
		return;
	peer->ping_xid = next_xid(peer->set, peer);
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

/* Prepares the deadlines and counters; the owner sets the other fields. */
void
peer_set_init(peer_set_t *set)
{
	set->next_xid = g_rand_int(set->random);
	set->deadlines = g_sequence_new(NULL);
	g_queue_init(&set->refused);
	ev_timer_init(&set->deadline_timer, on_deadline, 0, 0);
	ev_timer_init(&set->refused_timer, on_refused, 0, 0);
	set->deadline_timer.data = set;
	set->refused_timer.data = set;
	set->connects = counter_get("rpc_connects_total",
	    "connections to other instances that were set up");
	set->up = gauge_get("rpc_connections", "connected other instances");
	set->calls = counter_get("rpc_calls_total", "calls made");
	set->timeouts = counter_get(
	    "rpc_timeouts_total", "calls without an answer at their deadline");
	set->dropped = counter_get("rpc_dropped_total",
	    "calls and messages refused because of a full queue or no "
	    "connection");
	set->late = counter_get("rpc_late_answers_total",
	    "answers that came after the end of their call");
	set->malformed = counter_get("rpc_malformed_total",
	    "connections closed because of a malformed record");
}

/*
 * Ends the set after its peers; refused calls end here.  Callbacks must not
 * make new calls by then.
 */
void
peer_set_clear(peer_set_t *set)
{
	guint budget = set->refused.length;

	while (budget-- > 0) {
		call_t *call = g_queue_pop_head(&set->refused);
		err_t err = call->err;

		call_end(call, &err, NULL);
	}
	ev_timer_stop(set->connections->loop, &set->deadline_timer);
	ev_timer_stop(set->connections->loop, &set->refused_timer);
	g_sequence_free(set->deadlines);
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
	calls = detach_calls(peer);
	connection_destroy(peer->connection);
	peer->connection = NULL;
	end_detached(peer, calls, "this instance stops");
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
