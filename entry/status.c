#include <string.h>

#include "entry/internal.h"

typedef struct {
	handle_t *handle;
	http_request_t *http;
	char *id;
} remote_status_t;

static void
on_remote_status(void *ctx, const err_t *err, void *result)
{
	remote_status_t *remote = ctx;
	forward_result_t *found = result;
	entry_t *entry = remote->handle->entry;
	str_t body = {NULL, 0};

	if (entry == NULL) {
		http_answer_error(remote->http, 503, "did_not_run", "draining",
		    "", 0, "the instance has stopped");
	} else if (found == NULL) {
		http_answer_json(remote->http, 200,
		    status_body(remote->id, OUTCOME_UNKNOWN, NULL, "", body));
	} else if (found->outcome == OUTCOME_UNKNOWN &&
		   strcmp(found->reason, "not_found") == 0) {
		entry_refuse(entry, remote->http, 404, "did_not_run",
		    "not_found", "", 0, "no request %s", remote->id);
	} else {
		body.data = found->answer.body_t_val;
		body.len = found->answer.body_t_len;
		http_answer_json(remote->http, 200,
		    status_body(remote->id, found->outcome, found->reason,
			found->worker, body));
	}
	g_rc_box_release(remote->handle);
	g_free(remote->id);
	g_free(remote);
}

/* Asks the instance whose name begins the id; false when there is none. */
static bool
ask_issuer(entry_t *entry, http_request_t *http, const char *id, bool cancel)
{
	for (size_t i = 0; i < entry->settings->peer_count; i++) {
		const settings_peer_t *peer = &entry->settings->peers[i];
		size_t len = strlen(peer->id);
		ask_args_t args = {.task = (char *)id, .cancel = cancel};
		remote_status_t *remote;

		if (strncmp(id, peer->id, len) != 0 || id[len] != '-' ||
		    entry_is_self(entry, peer->id))
			continue;
		remote = g_new0(remote_status_t, 1);
		remote->handle = g_rc_box_acquire(entry->handle);
		remote->http = http;
		remote->id = g_strdup(id);
		counter_add(entry->metrics.asks, 1);
		endpoint_call(entry->endpoint, peer->id, RPC_ASK, &args,
		    3 * CONTROL_DEADLINE_MS, on_remote_status, remote);
		return true;
	}
	return false;
}

static void
answer_ended(http_request_t *http, const ended_t *ended)
{
	http_answer_json(http, 200,
	    status_body(
		ended->id, ended->outcome, NULL, ended->worker, ended->body));
}

static void
status_or_cancel(entry_t *entry, http_request_t *http, str_t id, bool cancel)
{
	char name[NAME_MAX_LEN + 1];
	const ended_t *ended;
	request_t *request;

	if (!fields_is_name(id) || str_copy(id, name, sizeof(name)) != 0) {
		entry_refuse(entry, http, 404, "did_not_run", "not_found", "",
		    0, "no such request");
		return;
	}
	request = g_hash_table_lookup(entry->by_id, name);
	ended = ended_find(entry, name);
	if (request != NULL && cancel) {
		request_wait(request, http, NULL, true,
		    clock_mono_ms() + 2 * CONTROL_DEADLINE_MS);
		request_cancel(request);
	} else if (request != NULL) {
		http_answer_json(http, 200,
		    status_body(name, OUTCOME_RUNNING,
			request->state == REQUEST_QUEUED ? "queued" : "running",
			"", (str_t){NULL, 0}));
	} else if (ended != NULL) {
		answer_ended(http, ended);
	} else if (!ask_issuer(entry, http, name, cancel)) {
		entry_refuse(entry, http, 404, "did_not_run", "not_found", "",
		    0, "no request %s", name);
	}
}

/* Serves GET /v1/requests/{id}. */
void
requests_get(entry_t *entry, http_request_t *http, str_t id)
{
	status_or_cancel(entry, http, id, false);
}

/* Serves DELETE /v1/requests/{id}. */
void
requests_delete(entry_t *entry, http_request_t *http, str_t id)
{
	status_or_cancel(entry, http, id, true);
}
