#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "entry/listener_private.h"

/* An answer up to this length is part of what a connection takes. */
#define SMALL_ANSWER_BYTES 1024

void
http_request_uncount(http_request_t *request)
{
	if (request->response_bytes > 0)
		mem_share_give(
		    request->listener->memory, request->response_bytes);
	request->response_bytes = 0;
	request_body_uncount(&request->body);
}

void
http_request_free(http_request_t *request)
{
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	for (int i = 0; i < request->header_count; i++) {
		g_free(request->header_names[i]);
		g_free(request->header_values[i]);
	}
	if (request->listener != NULL)
		http_request_uncount(request);
	request_body_clear(&request->body);
	g_free(request->method);
	g_free(request->path);
	g_free(request);
}

/* Returns the method in upper case, as sent. */
str_t
http_method(const http_request_t *request)
{
	return str_from(request->method);
}

/* Returns the path without its query. */
str_t
http_path(const http_request_t *request)
{
	return str_from(request->path);
}

static str_t
lookup(const http_request_t *request, enum MHD_ValueKind kind, const char *name)
{
	if (request->connection == NULL)
		return (str_t){NULL, 0};
	return str_from(
	    MHD_lookup_connection_value(request->connection, kind, name));
}

/* Returns a header of the request; names are not case sensitive. */
str_t
http_header(const http_request_t *request, const char *name)
{
	return lookup(request, MHD_HEADER_KIND, name);
}

/* Returns a decoded argument of the query. */
str_t
http_query(const http_request_t *request, const char *name)
{
	return lookup(request, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the whole body. */
str_t
http_body(const http_request_t *request)
{
	if (request->body.data == NULL)
		return (str_t){"", 0};
	return (str_t){request->body.data, request->body.len};
}

/* Lets the body go before the answer. */
void
http_drop_body(http_request_t *request)
{
	g_free(request->body.data);
	request->body.data = NULL;
	request->body.len = 0;
}

/*
 * Sets what is called when the client closes its connection, or its sending
 * side, before the answer; noticed within 0.1 s.  gone may answer this request.
 */
void
http_on_gone(http_request_t *request, void (*gone)(void *ctx), void *ctx)
{
	request->gone = gone;
	request->gone_ctx = ctx;
}

/* Adds one of at most 4 headers to the answer, which comes later. */
void
http_add_header(http_request_t *request, const char *name, const char *value)
{
	g_return_if_fail(request->header_count < MAX_HEADERS);
	request->header_names[request->header_count] = g_strdup(name);
	request->header_values[request->header_count++] = g_strdup(value);
}

/*
 * Takes the bytes of an answer, which stay until the client has read them.
 * Clients that read none make room first.
 */
static bool
take_answer(http_request_t *request, size_t bytes)
{
	listener_t *listener = request->listener;

	if (listener == NULL || listener->memory == NULL ||
	    bytes <= SMALL_ANSWER_BYTES)
		return true;
	if (!limits_make_room(listener, bytes) ||
	    !mem_share_take(listener->memory, bytes))
		return false;
	request->response_bytes = bytes;
	return true;
}

static void
answer(http_request_t *request, int status, const char *content_type,
    struct MHD_Response *response)
{
	listener_t *listener = request->listener;

	if (listener == NULL) {
		MHD_destroy_response(response);
		http_request_free(request);
		return;
	}
	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	for (int i = 0; i < request->header_count; i++)
		MHD_add_response_header(response, request->header_names[i],
		    request->header_values[i]);
	request->response = response;
	request->status = status;
	request->state = REQUEST_ANSWERED;
	request->gone = NULL;
	request_body_clear(&request->body);
	g_queue_unlink(&listener->open, &request->link);
	limits_request_answered(request);
	if (request->in_handler)
		return;
	MHD_resume_connection(request->connection);
	listener->run_needed = true;
}

/*
 * Answers a request that only reads with 503 when there is no memory for what
 * it would get.  The answer to one that has run is sent in any case.
 */
static bool
refuse_answer(http_request_t *request, size_t bytes)
{
	if (take_answer(request, bytes) || strcmp(request->method, "GET") != 0)
		return false;
	if (request->header_count < MAX_HEADERS)
		http_add_header(request, MHD_HTTP_HEADER_RETRY_AFTER, "1");
	http_answer_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "did_not_run",
	    "busy", "", BUSY_RETRY_MS, "no memory for the answer at present");
	return true;
}

/* Answers with a JSON body; body is consumed. */
void
http_answer_json(http_request_t *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	size_t len = text != NULL ? strlen(text) : 0;

	json_decref(body);
	if (refuse_answer(request, len)) {
		free(text);
		return;
	}
	answer(request, status, "application/json",
	    MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_FREE));
}

/* Answers with bytes, which are copied. */
void
http_answer_bytes(
    http_request_t *request, int status, const char *content_type, str_t body)
{
	if (refuse_answer(request, body.len))
		return;
	answer(request, status, content_type,
	    MHD_create_response_from_buffer(
		body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY));
}

/* Answers with the error body of docs/INTERFACES.md. */
void
http_answer_error(http_request_t *request, int status, const char *outcome,
    const char *error, const char *path, int64_t retry_after_ms,
    const char *format, ...)
{
	json_t *body = json_object();
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	json_object_set_new(body, "outcome", json_string(outcome));
	json_object_set_new(body, "error", json_string(error));
	json_object_set_new(
	    body, "text", json_stringn_nocheck(text, strlen(text)));
	json_object_set_new(body, "path", json_string(path));
	if (retry_after_ms > 0)
		json_object_set_new(
		    body, "retry_after_ms", json_integer(retry_after_ms));
	g_free(text);
	http_answer_json(request, status, body);
}
