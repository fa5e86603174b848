#include "rpc/connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/loop_watch.h"
#include "rpc/record.h"

#define READ_CHUNK_BYTES (64 * 1024)
/* Reads of one event, so that one connection cannot hold up the others. */
#define READS_PER_EVENT 8
#define WRITE_VECTORS 64
/* Reading stops while so many bytes wait for a peer that does not read. */
#define UNSENT_MAX_BYTES (4 * 1024 * 1024)

typedef struct {
	GByteArray *bytes;
	size_t written;
	connection_ticket_t *ticket;
} frame_t;

struct connection_t {
	connection_set_t *set;
	int fd;
	bool connecting;
	bool failed;
	bool close_after_flush;
	bool in_unflushed;
	err_t err;
	ev_io readable;
	ev_io writable;
	ev_timer timer;
	record_reader_t reader;
	GQueue frames;
	size_t queued_bytes;
	int64_t last_received_ms;
	int64_t last_sent_ms;
	int64_t last_idle_ms;
	connection_callbacks_t callbacks;
	void *ctx;
};

static void write_frames(connection_t *connection);
static void finish(connection_t *connection);

/* Writes what the callbacks of this turn of the loop have queued. */
static void
on_flush(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	connection_set_t *set = watcher->data;
	guint budget = set->unflushed.length;

	while (budget-- > 0 && set->unflushed.length > 0) {
		connection_t *connection = g_queue_pop_head(&set->unflushed);

		connection->in_unflushed = false;
		if (!connection->connecting)
			write_frames(connection);
		finish(connection);
	}
}

/* Prepares the shared part of an endpoint's connections. */
void
connection_set_init(connection_set_t *set, struct ev_loop *loop,
    int64_t ping_interval_ms, int64_t silent_after_ms)
{
	set->loop = loop;
	set->ping_interval_ms = ping_interval_ms;
	set->silent_after_ms = silent_after_ms;
	g_queue_init(&set->unflushed);
	ev_prepare_init(&set->flush, on_flush);
	set->flush.data = set;
	ev_prepare_start(loop, &set->flush);
	set->bytes_in = counter_get(
	    "rpc_bytes_in_total", "bytes received from other instances");
	set->bytes_out =
	    counter_get("rpc_bytes_out_total", "bytes sent to other instances");
}

/* Ends the shared part after all connections were destroyed. */
void
connection_set_clear(connection_set_t *set)
{
	ev_prepare_stop(set->loop, &set->flush);
	g_queue_clear(&set->unflushed);
}

/* Fills in a socket address from an IP address.  Returns 0 or -EINVAL. */
int
connection_address(const char *address, int64_t port,
    struct sockaddr_storage *out, socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, address, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)port);
		*len = sizeof(*v4);
		return 0;
	}
	if (inet_pton(AF_INET6, address, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)port);
		*len = sizeof(*v6);
		return 0;
	}
	return -EINVAL;
}

/*
 * Marks the connection as failed; closed is called when the present event has
 * been handled.  Only the first reason is kept.
 */
void
connection_fail(
    connection_t *connection, int code, const char *step, const char *text)
{
	if (connection->failed)
		return;
	connection->failed = true;
	err_set(&connection->err, code, step, "", "%s", text);
}

/* Like connection_fail, once everything queued has been written. */
void
connection_close_after_flush(
    connection_t *connection, int code, const char *step, const char *text)
{
	connection->close_after_flush = true;
	err_set(&connection->err, code, step, "", "%s", text);
}

/* Ends the handling of an event; connection may be gone afterwards. */
static void
finish(connection_t *connection)
{
	if (connection->close_after_flush && connection->frames.length == 0)
		connection->failed = true;
	if (connection->failed)
		connection->callbacks.closed(connection->ctx, &connection->err);
}

static void
watch_reading(connection_t *connection)
{
	if (connection->connecting || connection->failed ||
	    connection->close_after_flush ||
	    connection->queued_bytes > UNSENT_MAX_BYTES)
		ev_io_stop(connection->set->loop, &connection->readable);
	else
		ev_io_start(connection->set->loop, &connection->readable);
}

static void
frame_free(frame_t *frame)
{
	if (frame->ticket != NULL)
		frame->ticket->frame = NULL;
	g_byte_array_unref(frame->bytes);
	g_free(frame);
}

/* Removes len written bytes from the head of the queue. */
static void
frames_written(connection_t *connection, size_t len)
{
	connection->queued_bytes -= len;
	counter_add(connection->set->bytes_out, (int64_t)len);
	connection->last_sent_ms = clock_mono_ms();
	while (len > 0) {
		frame_t *frame = g_queue_peek_head(&connection->frames);
		size_t left = frame->bytes->len - frame->written;
		size_t part = len < left ? len : left;

		frame->written += part;
		len -= part;
		if (frame->ticket != NULL)
			frame->ticket->started = true;
		if (part < left)
			return;
		g_queue_pop_head(&connection->frames);
		frame_free(frame);
	}
}

static void
write_frames(connection_t *connection)
{
	struct iovec vectors[WRITE_VECTORS];
	struct msghdr message = {.msg_iov = vectors};

	while (connection->frames.length > 0 && !connection->failed) {
		int count = 0;
		ssize_t sent;

		for (GList *link = connection->frames.head;
		     link != NULL && count < WRITE_VECTORS; link = link->next) {
			frame_t *frame = link->data;

			vectors[count++] =
			    (struct iovec){frame->bytes->data + frame->written,
				frame->bytes->len - frame->written};
		}
		message.msg_iovlen = (size_t)count;
		sent = sendmsg(connection->fd, &message, MSG_NOSIGNAL);
		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0 && errno == EAGAIN) {
			ev_io_start(
			    connection->set->loop, &connection->writable);
			watch_reading(connection);
			return;
		}
		if (sent < 0) {
			connection_fail(
			    connection, -errno, "rpc send", "connection lost");
			return;
		}
		frames_written(connection, (size_t)sent);
	}
	ev_io_stop(connection->set->loop, &connection->writable);
	watch_reading(connection);
}

static void schedule_timer(connection_t *connection);

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	connection_t *connection = watcher->data;
	socklen_t len = sizeof(int);
	int code = 0;

	if (connection->connecting) {
		getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &code, &len);
		if (code != 0) {
			connection_fail(
			    connection, -code, "rpc connect", "not connected");
		} else {
			connection->connecting = false;
			connection->last_received_ms = clock_mono_ms();
			/* Until now no ping was due, only the timeout. */
			schedule_timer(connection);
			connection->callbacks.connected(connection->ctx);
		}
	}
	if (!connection->failed)
		write_frames(connection);
	finish(connection);
}

static void
handle_records(connection_t *connection)
{
	str_t record;
	int code;

	while (!connection->failed && !connection->close_after_flush) {
		code = record_reader_next(&connection->reader, &record);
		if (code == 0)
			return;
		if (code == -EMSGSIZE) {
			connection_fail(connection, code, "rpc receive",
			    "record above the size limit");
			return;
		}
		if (code < 0) {
			connection_fail(
			    connection, code, "rpc receive", "empty fragment");
			return;
		}
		connection->callbacks.record(connection->ctx, record);
	}
}

static void
read_records(connection_t *connection)
{
	uint8_t chunk[READ_CHUNK_BYTES];

	for (int i = 0; i < READS_PER_EVENT && !connection->failed; i++) {
		ssize_t got = recv(connection->fd, chunk, sizeof(chunk), 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got < 0 && errno == EAGAIN)
			return;
		if (got < 0) {
			connection_fail(connection, -errno, "rpc receive",
			    "connection lost");
			return;
		}
		if (got == 0) {
			connection_fail(connection, -ECONNRESET, "rpc receive",
			    "closed by the peer");
			return;
		}
		counter_add(connection->set->bytes_in, got);
		connection->last_received_ms = clock_mono_ms();
		record_reader_feed(&connection->reader, chunk, (size_t)got);
		handle_records(connection);
		if ((size_t)got < sizeof(chunk))
			return;
	}
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	connection_t *connection = watcher->data;

	loop_watch_enter("rpc");
	read_records(connection);
	finish(connection);
	loop_watch_leave();
}

static int64_t
ping_due_ms(const connection_t *connection)
{
	int64_t last =
	    MIN(connection->last_received_ms, connection->last_sent_ms);

	return MAX(last, connection->last_idle_ms) +
	       connection->set->ping_interval_ms;
}

static void
schedule_timer(connection_t *connection)
{
	int64_t due =
	    connection->last_received_ms + connection->set->silent_after_ms;
	int64_t delay;

	if (connection->callbacks.idle != NULL && !connection->connecting)
		due = MIN(due, ping_due_ms(connection));
	delay = MAX(due - clock_mono_ms(), 1);
	connection->timer.repeat = (double)delay / CLOCK_MS_PER_S;
	ev_timer_again(connection->set->loop, &connection->timer);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	connection_t *connection = watcher->data;
	const connection_set_t *set = connection->set;

	/* After a pause of this process the answer may be waiting unread. */
	if (!connection->connecting && ev_is_active(&connection->readable))
		read_records(connection);
	if (clock_mono_ms() - connection->last_received_ms >=
	    set->silent_after_ms)
		connection_fail(connection, -ETIMEDOUT,
		    connection->connecting ? "rpc connect" : "rpc receive",
		    "peer is silent");
	else if (!connection->failed && !connection->connecting &&
		 connection->callbacks.idle != NULL &&
		 clock_mono_ms() >= ping_due_ms(connection)) {
		connection->last_idle_ms = clock_mono_ms();
		connection->callbacks.idle(connection->ctx);
	}
	if (!connection->failed)
		schedule_timer(connection);
	finish(connection);
}

static connection_t *
connection_create(connection_set_t *set, int fd, bool connecting,
    const connection_callbacks_t *callbacks, void *ctx)
{
	connection_t *connection = g_new0(connection_t, 1);
	int on = 1;

	/* Records are small and complete; delaying them only costs time. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	connection->set = set;
	connection->fd = fd;
	connection->connecting = connecting;
	connection->callbacks = *callbacks;
	connection->ctx = ctx;
	connection->last_received_ms = clock_mono_ms();
	connection->last_sent_ms = connection->last_received_ms;
	connection->last_idle_ms = connection->last_received_ms;
	record_reader_init(&connection->reader, RECORD_MAX_BYTES);
	g_queue_init(&connection->frames);
	ev_io_init(&connection->readable, on_readable, fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, fd, EV_WRITE);
	ev_timer_init(&connection->timer, on_timer, 0, 0);
	connection->readable.data = connection;
	connection->writable.data = connection;
	connection->timer.data = connection;
	if (connecting)
		ev_io_start(set->loop, &connection->writable);
	watch_reading(connection);
	schedule_timer(connection);
	return connection;
}

/*
 * Starts a connection from own_address to a peer; NULL with err when that
 * fails at once.
 */
connection_t *
connection_dial(connection_set_t *set, const char *own_address,
    const char *address, int64_t port, const connection_callbacks_t *callbacks,
    void *ctx, err_t *err)
{
	struct sockaddr_storage own;
	struct sockaddr_storage peer;
	socklen_t own_len;
	socklen_t peer_len;
	int fd;

	if (connection_address(own_address, 0, &own, &own_len) != 0 ||
	    connection_address(address, port, &peer, &peer_len) != 0) {
		err_set(
		    err, -EINVAL, "rpc connect", address, "not an IP address");
		return NULL;
	}
	fd = socket(
	    peer.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		err_set(err, -errno, "rpc connect", address, "no socket");
		return NULL;
	}
	if (bind(fd, (struct sockaddr *)&own, own_len) != 0 ||
	    (connect(fd, (struct sockaddr *)&peer, peer_len) != 0 &&
		errno != EINPROGRESS)) {
		err_set(err, -errno, "rpc connect", address, "from %s to %s:%d",
		    own_address, address, (int)port);
		close(fd);
		return NULL;
	}
	return connection_create(set, fd, true, callbacks, ctx);
}

/* Takes over an accepted, non-blocking socket. */
connection_t *
connection_accept(connection_set_t *set, int fd,
    const connection_callbacks_t *callbacks, void *ctx)
{
	return connection_create(set, fd, false, callbacks, ctx);
}

void
connection_limit_records(connection_t *connection, size_t max_bytes)
{
	connection->reader.max_bytes = max_bytes;
}

/* Closes the connection without calling closed; NULL is allowed. */
void
connection_destroy(connection_t *connection)
{
	frame_t *frame;

	if (connection == NULL)
		return;
	ev_io_stop(connection->set->loop, &connection->readable);
	ev_io_stop(connection->set->loop, &connection->writable);
	ev_timer_stop(connection->set->loop, &connection->timer);
	if (connection->in_unflushed)
		g_queue_remove(&connection->set->unflushed, connection);
	while ((frame = g_queue_pop_head(&connection->frames)) != NULL)
		frame_free(frame);
	record_reader_clear(&connection->reader);
	close(connection->fd);
	g_free(connection);
}

/*
 * Queues a record and takes over bytes.  ticket may be NULL; otherwise it must
 * stay valid until the record is written or cancelled.
 */
void
connection_send(
    connection_t *connection, GByteArray *bytes, connection_ticket_t *ticket)
{
	frame_t *frame = g_new0(frame_t, 1);

	frame->bytes = bytes;
	frame->ticket = ticket;
	if (ticket != NULL) {
		ticket->frame = frame;
		ticket->started = false;
	}
	g_queue_push_tail(&connection->frames, frame);
	connection->queued_bytes += bytes->len;
	if (!connection->in_unflushed) {
		connection->in_unflushed = true;
		g_queue_push_tail(&connection->set->unflushed, connection);
	}
}

/* Gives up a ticket; its record is not sent unless it was begun. */
void
connection_cancel(connection_t *connection, connection_ticket_t *ticket)
{
	frame_t *frame = ticket->frame;

	if (frame == NULL)
		return;
	frame->ticket = NULL;
	ticket->frame = NULL;
	if (ticket->started)
		return;
	connection->queued_bytes -= frame->bytes->len;
	g_queue_remove(&connection->frames, frame);
	frame_free(frame);
}

/* Returns how many bytes wait to be written. */
size_t
connection_queued_bytes(const connection_t *connection)
{
	return connection->queued_bytes;
}

/* Returns how many records wait to be written. */
size_t
connection_queued_records(const connection_t *connection)
{
	return connection->frames.length;
}

/* Returns the monotonic time of the last received byte, or of the start. */
int64_t
connection_last_received_ms(const connection_t *connection)
{
	return connection->last_received_ms;
}

/* Whether a connection was closed because of a malformed record. */
bool
connection_err_is_malformed(const err_t *err)
{
	return err->code == -EBADMSG || err->code == -EMSGSIZE;
}
