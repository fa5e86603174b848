#include <string.h>

#include "entry/internal.h"

/* How long the answer of an ended request is kept, and how many bytes. */
#define ENDED_KEPT_MS 600000
#define ENDED_MAX_BYTES 33554432
#define ENDED_OVERHEAD_BYTES 256 /* of the record and the table */

/* Answers an RPC_FORWARD or RPC_ASK; body may be empty. */
void
answer_rpc(endpoint_request_t *rpc, outcome_t outcome, int status,
    const char *worker, const char *reason, str_t body)
{
	forward_result_t result = {
	    .outcome = outcome,
	    .http_status = status,
	    .worker = (char *)(worker != NULL ? worker : ""),
	    .reason = (char *)reason,
	};

	if (body.len > BODY_MAX_LEN) {
		result.reason = "too_large";
	} else {
		result.answer.body_t_val = (char *)body.data;
		result.answer.body_t_len = (u_int)body.len;
	}
	endpoint_answer(rpc, &result);
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
request_reply(request_t *request, outcome_t outcome, int status, str_t body,
    const char *reason)
{
	http_request_t *http = request->http;
	endpoint_request_t *rpc = request->rpc;

	request->http = NULL;
	request->rpc = NULL;
	if (http != NULL)
		http_answer_bytes(http, status, "application/json", body);
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
waiter_answer(waiter_t *waiter, outcome_t outcome, int status, str_t body,
    const char *reason)
{
	http_request_t *http = waiter->http;
	endpoint_request_t *rpc = waiter->rpc;

	waiter->http = NULL;
	waiter->rpc = NULL;
	if (rpc != NULL)
		answer_rpc(rpc, outcome, status, waiter->request->worker,
		    reason, body);
	if (http == NULL)
		return;
	if (!waiter->wants_status) {
		http_answer_bytes(http, status, "application/json", body);
		return;
	}
	http_answer_json(http, 200,
	    status_body(waiter->request->id, outcome, reason,
		waiter->request->worker, body));
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
    str_t body, const char *reason)
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

	waiter_answer(waiter, OUTCOME_RUNNING, 504, str_from(text),
	    is_queued ? "queued" : "running");
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

static size_t
ended_size(const ended_t *ended)
{
	return ended->body.len + ENDED_OVERHEAD_BYTES;
}

static void
drop_oldest(entry_t *entry)
{
	ended_t *ended = g_queue_pop_head(&entry->ended_order);

	entry->ended_bytes -= ended_size(ended);
	if (g_hash_table_lookup(entry->ended, ended->id) == ended)
		g_hash_table_remove(entry->ended, ended->id);
	g_free(ended);
}

/* Keeps the answer of a request that ends. */
void
ended_add(entry_t *entry, const request_t *request, outcome_t outcome,
    int status, str_t body)
{
	size_t id_size = strlen(request->id) + 1;
	const char *worker = request->worker != NULL ? request->worker : "";
	size_t worker_size = strlen(worker) + 1;
	ended_t *ended =
	    g_malloc(sizeof(*ended) + id_size + worker_size + body.len);
	char *text = ended->text;

	memcpy(text, request->id, id_size);
	memcpy(text + id_size, worker, worker_size);
	if (body.len > 0)
		memcpy(text + id_size + worker_size, body.data, body.len);
	ended->outcome = outcome;
	ended->status = status;
	ended->ended_ms = clock_mono_ms();
	ended->id = text;
	ended->worker = text + id_size;
	ended->body = (str_t){text + id_size + worker_size, body.len};
	g_hash_table_replace(entry->ended, (void *)ended->id, ended);
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
