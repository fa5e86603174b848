#include <string.h>

#include "entry/internal.h"

/* How long the answer of an ended request is kept, and how many bytes. */
#define ENDED_KEPT_MS 600000
#define ENDED_MAX_BYTES 33554432
#define ENDED_OVERHEAD_BYTES 256 /* of the record and the table */

/* Answers an RPC_FORWARD or RPC_ASK; body may be NULL. */
void
answer_rpc(endpoint_request_t *rpc, outcome_t outcome, int status,
    const char *worker, const char *reason, GBytes *body)
{
	forward_result_t result = {
	    .outcome = outcome,
	    .http_status = status,
	    .worker = (char *)(worker != NULL ? worker : ""),
	    .reason = (char *)reason,
	};
	gsize len = 0;

	if (body != NULL) {
		result.answer.body_t_val = (char *)g_bytes_get_data(body, &len);
		result.answer.body_t_len = (u_int)len;
	}
	if (len > BODY_MAX_LEN) {
		result.answer.body_t_val = NULL;
		result.answer.body_t_len = 0;
		result.reason = "too_large";
	}
	endpoint_answer(rpc, &result);
}

static void
answer_http(http_request_t *http, int status, GBytes *body)
{
	gsize len;
	const char *data = g_bytes_get_data(body, &len);

	http_answer_bytes(http, status, "application/json", (str_t){data, len});
}

/*
 * Builds the body of GET /v1/requests/{id}.  running names the state of a
 * request that has not ended; answer is the body that its caller got.
 */
json_t *
status_body(const char *id, outcome_t outcome, const char *running,
    const char *worker, str_t answer)
{
	json_t *body = json_pack("{s:s}", "request", id);
	json_t *root = NULL;
	const char *state = outcome_name(outcome);

	if (outcome == OUTCOME_RUNNING)
		state =
		    g_strcmp0(running, "queued") == 0 ? "queued" : "running";
	json_object_set_new(body, "state", json_string(state));
	if (worker != NULL && worker[0] != '\0')
		json_object_set_new(body, "worker", json_string(worker));
	if (outcome == OUTCOME_DONE && answer.len > 0)
		root = json_loadb(answer.data, answer.len, 0, NULL);
	if (json_object_get(root, "result") != NULL)
		json_object_set(
		    body, "result", json_object_get(root, "result"));
	else if (json_object_get(root, "text") != NULL)
		json_object_set(body, "text", json_object_get(root, "text"));
	json_decref(root);
	return body;
}

/* Answers whoever submitted the request; nothing when it was answered. */
void
request_reply(request_t *request, outcome_t outcome, int status, GBytes *body,
    const char *reason)
{
	http_request_t *http = request->http;
	endpoint_request_t *rpc = request->rpc;

	request->http = NULL;
	request->rpc = NULL;
	if (http != NULL)
		answer_http(http, status, body);
	if (rpc != NULL)
		answer_rpc(rpc, outcome, status, request->worker, reason, body);
}

static void
waiter_free(void *data)
{
	waiter_t *waiter = data;

	g_queue_unlink(&waiter->request->entry->waiters, &waiter->link);
	g_free(waiter);
}

static void
waiter_answer(waiter_t *waiter, outcome_t outcome, int status, GBytes *body,
    const char *reason)
{
	http_request_t *http = waiter->http;
	endpoint_request_t *rpc = waiter->rpc;
	gsize len;
	const char *data;

	waiter->http = NULL;
	waiter->rpc = NULL;
	if (rpc != NULL)
		answer_rpc(rpc, outcome, status, waiter->request->worker,
		    reason, body);
	if (http == NULL)
		return;
	if (!waiter->wants_status) {
		answer_http(http, status, body);
		return;
	}
	data = g_bytes_get_data(body, &len);
	http_answer_json(http, 200,
	    status_body(waiter->request->id, outcome, reason,
		waiter->request->worker, (str_t){data, len}));
}

static void
on_waiter_gone(void *ctx)
{
	waiter_t *waiter = ctx;
	http_request_t *http = waiter->http;

	waiter->http = NULL;
	http_answer_error(
	    http, 409, "unknown", "cancelled", "", 0, "the client has gone");
	g_ptr_array_remove_fast(waiter->request->waiters, waiter);
}

/* Lets http or rpc wait for the end of a request. */
void
request_wait(request_t *request, http_request_t *http, endpoint_request_t *rpc,
    bool wants_status, int64_t deadline_ms)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->request = request;
	waiter->http = http;
	waiter->rpc = rpc;
	waiter->wants_status = wants_status;
	waiter->deadline_ms = deadline_ms;
	waiter->link.data = waiter;
	if (request->waiters == NULL)
		request->waiters = g_ptr_array_new_with_free_func(waiter_free);
	g_ptr_array_add(request->waiters, waiter);
	g_queue_push_tail_link(&request->entry->waiters, &waiter->link);
	if (http != NULL)
		http_on_gone(http, on_waiter_gone, waiter);
}

/* Answers everybody who waits for the request. */
void
request_reply_waiters(request_t *request, outcome_t outcome, int status,
    GBytes *body, const char *reason)
{
	if (request->waiters == NULL)
		return;
	for (guint i = 0; i < request->waiters->len; i++)
		waiter_answer(g_ptr_array_index(request->waiters, i), outcome,
		    status, body, reason);
	g_ptr_array_set_size(request->waiters, 0);
}

/* Answers a waiter whose time is over while the request goes on. */
static void
waiter_time_out(waiter_t *waiter)
{
	request_t *request = waiter->request;
	entry_t *entry = request->entry;
	bool is_queued = request->state == REQUEST_QUEUED;
	json_t *body = entry_error(entry, "unknown", "timeout", "", 0,
	    "the request under this key still runs");
	char *text = json_dumps(body, JSON_COMPACT);
	GBytes *bytes = g_bytes_new(text, strlen(text));

	waiter_answer(waiter, OUTCOME_RUNNING, 504, bytes,
	    is_queued ? "queued" : "running");
	g_bytes_unref(bytes);
	free(text);
	json_decref(body);
	g_ptr_array_remove_fast(request->waiters, waiter);
}

/* Answers all waiters whose time is over. */
void
waiters_expire(entry_t *entry, int64_t now_ms)
{
	GList *next;

	for (GList *at = entry->waiters.head; at != NULL; at = next) {
		waiter_t *waiter = at->data;

		next = at->next;
		if (waiter->deadline_ms <= now_ms)
			waiter_time_out(waiter);
	}
}

/* Frees a record; for the table of ended requests. */
void
ended_free(void *data)
{
	ended_t *ended = data;

	g_bytes_unref(ended->body);
	g_free(ended->id);
	g_free(ended->worker);
	g_free(ended);
}

static size_t
ended_size(const ended_t *ended)
{
	return g_bytes_get_size(ended->body) + ENDED_OVERHEAD_BYTES;
}

static void
drop_oldest(entry_t *entry)
{
	ended_t *ended = g_queue_pop_head(&entry->ended_order);

	entry->ended_bytes -= ended_size(ended);
	if (g_hash_table_lookup(entry->ended, ended->id) == ended)
		g_hash_table_remove(entry->ended, ended->id);
	ended_free(ended);
}

/* Keeps the answer of a request that ends. */
void
ended_add(entry_t *entry, const request_t *request, outcome_t outcome,
    int status, GBytes *body)
{
	ended_t *ended = g_new0(ended_t, 1);

	ended->id = g_strdup(request->id);
	ended->outcome = outcome;
	ended->status = status;
	ended->body = g_bytes_ref(body);
	ended->worker = g_strdup(request->worker);
	ended->ended_ms = clock_mono_ms();
	g_hash_table_replace(entry->ended, ended->id, ended);
	g_queue_push_tail(&entry->ended_order, ended);
	entry->ended_bytes += ended_size(ended);
	while (entry->ended_bytes > ENDED_MAX_BYTES)
		drop_oldest(entry);
}

/* Returns what is kept of a request, NULL when nothing is. */
const ended_t *
ended_find(const entry_t *entry, const char *id)
{
	return g_hash_table_lookup(entry->ended, id);
}

/* Drops the answers whose time is over. */
void
ended_expire(entry_t *entry, int64_t now_ms)
{
	const ended_t *oldest;

	while ((oldest = g_queue_peek_head(&entry->ended_order)) != NULL &&
	       oldest->ended_ms + ENDED_KEPT_MS <= now_ms)
		drop_oldest(entry);
}
