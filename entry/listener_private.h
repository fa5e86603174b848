#pragma once

#include <glib.h>
#include <microhttpd.h>

#include "common/counters.h"
#include "entry/eviction.h"
#include "entry/listener.h"
#include "entry/request_body.h"

/* Shared by the parts of the listener. */

#define MAX_HEADERS 4 /* added to one answer */
#define BUSY_RETRY_MS 1000

struct listener_t {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	listener_handler_t *handler;
	listener_body_limit_t *body_limit; /* NULL: max_body_bytes for all */
	void *ctx;
	size_t max_body_bytes;
	mem_share_t *memory; /* NULL: not counted */
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
	size_t turn_body_bytes; /* handed over in this turn of the loop */
	GQueue deferred;        /* of those in open: to be handed over */
	ev_timer deferred_timer;

	/* listener_limits.c */
	unsigned max_connections;
	int64_t min_idle_ms;
	GQueue connections;
	ev_timer room_timer;  /* while no more connections may be opened */
	ev_timer sweep_timer; /* while bodies or answers are on their way */
	int64_t swept_ms;
	counter_t *evicted;
	counter_t *refused;
};

/* One client's connection. */
typedef struct {
	listener_t *listener;
	struct MHD_Connection *mhd;
	uint64_t source;
	http_request_t *request; /* the present one, NULL between two */
	int64_t since_ms;        /* accepted, or when its request began or was
				  * answered or ended */
	bool is_evicted;
	GList link;
} http_connection_t;

typedef enum {
	REQUEST_RECEIVING,
	REQUEST_OPEN, /* handed over, connection suspended */
	REQUEST_ANSWERED,
} request_state_t;

/* What came of a body that is not kept. */
typedef enum {
	BODY_KEPT,
	BODY_IGNORED, /* the route takes none */
	BODY_TOO_LARGE,
	BODY_NO_ROOM, /* the share of memory is used up */
} body_fate_t;

struct http_request_t {
	listener_t *listener; /* NULL once the listener has ended */
	struct MHD_Connection *connection;
	http_connection_t *client; /* NULL once it has ended */
	request_state_t state;
	bool in_handler;
	bool is_gone;
	char *method;
	char *path;
	body_fate_t body_fate;
	size_t max_body_bytes; /* announced, or the limit of the route */
	size_t received_bytes; /* of the body, kept or not */
	request_body_t body;
	struct MHD_Response *response;
	size_t response_bytes; /* taken from the share */
	int status;
	char *header_names[MAX_HEADERS]; /* of the answer */
	char *header_values[MAX_HEADERS];
	int header_count;
	void (*gone)(void *ctx);
	void *gone_ctx;
	GList link;
	GList deferred_link;
};

/* http_request.c */
void http_request_free(http_request_t *request);
/* Gives back what the request holds of the share; its body stays. */
void http_request_uncount(http_request_t *request);

/* listener_limits.c */
void limits_start(listener_t *listener, const listener_options_t *options);
void limits_stop(listener_t *listener);
http_connection_t *limits_connected(
    listener_t *listener, struct MHD_Connection *connection);
void limits_disconnected(http_connection_t *client);
void limits_request_began(http_request_t *request);
void limits_request_answered(http_request_t *request);
void limits_request_ended(http_request_t *request);
/* Whether so many bytes can be taken, after others made room if need be. */
bool limits_make_room(listener_t *listener, size_t bytes);
