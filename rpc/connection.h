#pragma once

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "common/counters.h"
#include "common/err.h"
#include "common/str.h"

/* One TCP connection that carries records; non-blocking, on one loop. */
typedef struct connection_t connection_t;

/* What the connections of one endpoint share. */
typedef struct {
	struct ev_loop *loop;
	int64_t ping_interval_ms;
	int64_t silent_after_ms;
	GQueue unflushed; /* connections with frames to write */
	ev_prepare flush;
	counter_t *bytes_in;
	counter_t *bytes_out;
} connection_set_t;

/* Tells what became of a record that was handed over for sending. */
typedef struct {
	void *frame;  /* not wholly written yet */
	bool started; /* at least one byte was written */
} connection_ticket_t;

/*
 * Callbacks.  closed is called once, last; only there, or outside of every
 * callback, may the owner destroy the connection.
 */
typedef struct {
	void (*connected)(void *ctx);
	void (*record)(void *ctx, str_t record);
	void (*idle)(void *ctx); /* a ping is due; NULL for none */
	void (*closed)(void *ctx, const err_t *err);
} connection_callbacks_t;

void connection_set_init(connection_set_t *set, struct ev_loop *loop,
    int64_t ping_interval_ms, int64_t silent_after_ms);
void connection_set_clear(connection_set_t *set);
int connection_address(const char *address, int64_t port,
    struct sockaddr_storage *out, socklen_t *len);
connection_t *connection_dial(connection_set_t *set, const char *own_address,
    const char *address, int64_t port, const connection_callbacks_t *callbacks,
    void *ctx, err_t *err);
connection_t *connection_accept(connection_set_t *set, int fd,
    const connection_callbacks_t *callbacks, void *ctx);
/* Records above max_bytes are refused from now on. */
void connection_limit_records(connection_t *connection, size_t max_bytes);
void connection_destroy(connection_t *connection);
void connection_send(
    connection_t *connection, GByteArray *bytes, connection_ticket_t *ticket);
void connection_cancel(connection_t *connection, connection_ticket_t *ticket);
void connection_fail(
    connection_t *connection, int code, const char *step, const char *text);
void connection_close_after_flush(
    connection_t *connection, int code, const char *step, const char *text);
size_t connection_queued_bytes(const connection_t *connection);
size_t connection_queued_records(const connection_t *connection);
int64_t connection_last_received_ms(const connection_t *connection);
bool connection_err_is_malformed(const err_t *err);
