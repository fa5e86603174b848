#pragma once

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

/*
 * HTTP calls to backend servers (libcurl multi) on a libev loop, with an upper
 * limit of connections to each.
 */
typedef struct client_t client_t;
typedef struct client_call_t client_call_t;

typedef struct {
	const char *address;
	int port;
	const char *method;
	const char *path;
	uint64_t fence;
	uint64_t config_version;
	const char *const *headers; /* NULL-terminated; in place of the two */
	str_t body;
	int64_t deadline_ms;
	bool fresh_connection; /* do not reuse an open connection */
	/*
	 * Send the request again, once, when a kept connection closes without
	 * an answer. The answer then says nothing about the first copy.
	 */
	bool may_repeat;
} client_request_t;

/*
 * How a call ended.  status is the HTTP status, 0 without a whole answer;
 * json is the body, NULL when it is no JSON.
 */
typedef struct {
	int status;
	json_t *json;
	str_t body;
	bool not_sent; /* certainly never reached the backend server */
} client_answer_t;

typedef void client_done_t(
    void *ctx, const err_t *err, const client_answer_t *answer);

client_t *client_create(
    struct ev_loop *loop, int connections_per_server, size_t max_body_bytes);
void client_destroy(client_t *client);
void client_set_connections(client_t *client, int connections_per_server);
void client_set_total_connections(client_t *client, int connections);
client_call_t *client_start(client_t *client, const client_request_t *request,
    client_done_t *done, void *ctx);
/* Ends a call without calling done. */
void client_abort(client_call_t *call);
