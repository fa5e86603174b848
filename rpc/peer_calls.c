#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "rpc/codec.h"
#include "rpc/peer_private.h"

#define QUEUE_MAX_CALLS 1024
#define QUEUE_MAX_BYTES (4 * 1024 * 1024)

static void
call_free(peer_call_t *call)
{
	if (call->bytes != NULL)
		g_byte_array_unref(call->bytes);
	g_free(call);
}

static void
call_detach(peer_call_t *call)
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
call_end(peer_call_t *call, const err_t *err, void *result)
{
	call_detach(call);
	call->done(call->ctx, err, result);
	call_free(call);
}

static gint
compare_deadlines(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const peer_call_t *first = a;
	const peer_call_t *second = b;

	if (first->deadline_ms != second->deadline_ms)
		return first->deadline_ms < second->deadline_ms ? -1 : 1;
	return 0;
}

static peer_call_t *
earliest_call(const peer_set_t *set)
{
	GSequenceIter *first = g_sequence_get_begin_iter(set->deadlines);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/* Starts the timer unless it already runs out early enough. */
static void
schedule_deadlines(peer_set_t *set, bool restart)
{
	const peer_call_t *call = earliest_call(set);
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
	peer_call_t *call;

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
start_refused_timer(peer_set_t *set)
{
	if (ev_is_active(&set->refused_timer))
		return;
	ev_timer_set(&set->refused_timer, 0, 0);
	ev_timer_start(set->connections->loop, &set->refused_timer);
}

static void
on_refused(struct ev_loop *loop, ev_timer *watcher, int events)
{
	peer_set_t *set = watcher->data;
	guint budget = set->refused.length;

	while (budget-- > 0) {
		peer_call_t *call = g_queue_pop_head(&set->refused);
		err_t err = call->err;

		call_end(call, &err, NULL);
	}
	if (set->refused.length > 0)
		start_refused_timer(set);
}

/* Ends a call that is not sent; its callback runs in a later event. */
static void
refuse_call(peer_set_t *set, peer_call_t *call, int code, const char *peer,
    const char *text)
{
	counter_add(set->dropped, 1);
	err_set(&call->err, code, "rpc call", peer, "%s", text);
	g_queue_push_tail(&set->refused, call);
	start_refused_timer(set);
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

/* Returns the id of the next call to the peer. */
uint32_t
peer_next_xid(peer_set_t *set, const peer_t *peer)
{
	while (g_hash_table_contains(
	    peer->calls, GUINT_TO_POINTER(++set->next_xid)))
		;
	return set->next_xid;
}

static void
hand_over(peer_t *peer, peer_call_t *call)
{
	call->handed_over = true;
	connection_send(
	    peer->connection, g_steal_pointer(&call->bytes), &call->ticket);
}

/* Sends the calls that waited for the connection. */
void
peer_calls_start(peer_t *peer)
{
	peer_call_t *call;

	while ((call = g_queue_pop_head(&peer->waiting)) != NULL)
		hand_over(peer, call);
	peer->waiting_bytes = 0;
}

/*
 * Calls a procedure of a peer; NULL for one that is not in the settings.  The
 * deadline is in milliseconds from now.  done is called once, in a later event.
 */
void
peer_call(peer_set_t *set, peer_t *peer, uint32_t procedure, void *args,
    int64_t deadline_ms, endpoint_done_t *done, void *ctx)
{
	peer_call_t *call = g_new0(peer_call_t, 1);
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
	call->xid = peer_next_xid(set, peer);
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
	bytes = message_call(peer_next_xid(set, peer), procedure, args, &code);
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

/* Takes every call out of the queues; they end by peer_calls_end. */
GList *
peer_calls_detach(peer_t *peer)
{
	GList *calls = g_hash_table_get_values(peer->calls);

	for (GList *link = calls; link != NULL; link = link->next)
		call_detach(link->data);
	return calls;
}

/* Ends calls of a lost connection; the fate of those begun is unknown. */
void
peer_calls_end(peer_t *peer, GList *calls, const char *text)
{
	for (GList *link = calls; link != NULL; link = link->next) {
		peer_call_t *call = link->data;
		err_t err;

		err_set(&err,
		    call->ticket.started ? -ECONNRESET : -EHOSTUNREACH,
		    "rpc call", peer->settings->id, "%s", text);
		call_end(call, &err, NULL);
	}
	g_list_free(calls);
}

/*
 * Ends the call that a reply answers; a reply without a call is counted.
 * Returns 0 or -EBADMSG for a result that cannot be decoded.
 */
int
peer_calls_reply(peer_t *peer, const message_t *message)
{
	peer_call_t *call =
	    g_hash_table_lookup(peer->calls, GUINT_TO_POINTER(message->xid));
	const message_procedure_t *procedure;
	err_t err = {0};
	void *result;
	int code;

	if (call == NULL) {
		counter_add(peer->set->late, 1);
		return 0;
	}
	procedure = message_procedure(call->procedure);
	if (message->code != 0) {
		err_set(&err, message->code, "rpc call", peer->settings->id,
		    "%s was refused", procedure->name);
		call_end(call, &err, NULL);
		return 0;
	}
	result = g_malloc0(procedure->result_size);
	code = codec_decode(procedure->result, message->body, result);
	if (code == 0) {
		call_end(call, &err, result);
		codec_free(procedure->result, result);
	}
	g_free(result);
	return code;
}

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
		peer_call_t *call = g_queue_pop_head(&set->refused);
		err_t err = call->err;

		call_end(call, &err, NULL);
	}
	ev_timer_stop(set->connections->loop, &set->deadline_timer);
	ev_timer_stop(set->connections->loop, &set->refused_timer);
	g_sequence_free(set->deadlines);
}
