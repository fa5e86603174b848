#pragma once

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/mem_budget.h"
#include "common/str.h"

/*
 * An HTTP listener (libmicrohttpd) on a libev loop.  A request is handed over
 * once its whole body has arrived and stays open until it is answered.
 */
typedef struct listener_t listener_t;
typedef struct http_request_t http_request_t;

typedef void listener_handler_t(void *ctx, http_request_t *request);
/* Returns the longest body of a request, by its header; 0: it has none, and
 * what comes is read and let go. */
typedef size_t listener_body_limit_t(void *ctx, const http_request_t *request);

typedef struct {
	const char *address;
	uint16_t port; /* 0: chosen by the kernel */
	size_t max_body_bytes;
	listener_body_limit_t *body_limit; /* NULL: max_body_bytes for all */
	/* Connections beyond it wait until one that does nothing was closed. */
	unsigned max_connections;
	int64_t min_idle_ms; /* such a one has this long; 0: 1 s */
	unsigned idle_timeout_s;
	mem_share_t *memory; /* of bodies and answers; NULL: not counted */
} listener_options_t;

listener_t *listener_create(struct ev_loop *loop,
    const listener_options_t *options, listener_handler_t *handler, void *ctx,
    err_t *err);
/* Stops accepting; open requests go on. */
void listener_stop_accepting(listener_t *listener);
void listener_destroy(listener_t *listener);
uint16_t listener_port(const listener_t *listener);
size_t listener_open_requests(const listener_t *listener);

str_t http_method(const http_request_t *request);
str_t http_path(const http_request_t *request);
/* NULL data when absent; valid until the request is answered. */
str_t http_header(const http_request_t *request, const char *name);
str_t http_query(const http_request_t *request, const char *name);
str_t http_body(const http_request_t *request);
/*
 * Frees the body ahead of the answer; its bytes stay counted, for what was
 * decoded from it.
 */
void http_drop_body(http_request_t *request);
/* Called when the client has gone before the answer; the request still has to
 * be answered, which then only frees it. */
void http_on_gone(http_request_t *request, void (*gone)(void *ctx), void *ctx);
void http_add_header(
    http_request_t *request, const char *name, const char *value);
/* Answers once and ends the request; takes the reference of body. */
void http_answer_json(http_request_t *request, int status, json_t *body);
void http_answer_bytes(
    http_request_t *request, int status, const char *content_type, str_t body);
/* The error body of docs/INTERFACES.md; retry_after_ms 0 leaves it out. */
void http_answer_error(http_request_t *request, int status, const char *outcome,
    const char *error, const char *path, int64_t retry_after_ms,
    const char *format, ...) __attribute__((format(printf, 7, 8)));
