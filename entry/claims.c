#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/internal.h"

#define MAX_ANSWER_BYTES 65536
#define CLAIM_END_RETRY_MS 500
/* Ends waiting for a majority; above it a resend asks the backend server. */
#define MAX_CLAIM_ENDS 4096
#define ASK_WAIT_MS 2000
#define ASK_RETRY_MS 200

/* Ends a request whose claim was not committed; nothing was dispatched. */
static void
not_claimed(request_t *request, const err_t *err)
{
	/* The proposal may still be applied after a timeout. */
	if (err->code == -ETIMEDOUT)
		claims_end(request, CLAIM_DID_NOT_RUN, 0, (str_t){NULL, 0});
	request_release_slot(request);
	request_fail(request, OUTCOME_DID_NOT_RUN, 503, "no_quorum", 1000,
	    "the claim was not confirmed by a majority: %.150s", err->text);
}

static void
claim_refused(request_t *request, const command_result_t *result)
{
	counter_add(request->entry->metrics.claims_refused, 1);
	request_release_slot(request);
	switch (result->code) {
	case -EEXIST:
		claims_resolve(request);
		break;
	case -EKEYREJECTED:
		request_fail(request, OUTCOME_DID_NOT_RUN, 422, "key_reused", 0,
		    "%.200s", result->text);
		break;
	case -EKEYEXPIRED:
		request_fail(request, OUTCOME_DID_NOT_RUN, 422, "key_expired",
		    0, "%.200s", result->text);
		break;
	default:
		request_fail(request, OUTCOME_DID_NOT_RUN, 422, "key_malformed",
		    0, "%.200s", result->text);
		break;
	}
}

static void
on_claimed(void *ctx, const err_t *err, const command_result_t *result)
{
	ticket_t *ticket = ctx;
	int64_t waited_us = clock_mono_us() - ticket->started_us;
	request_t *request = ticket_redeem(ticket);

	if (request == NULL || request->state != REQUEST_CLAIMING)
		return;
	histogram_record(request->entry->metrics.claim_us, waited_us);
	if (err->code != 0)
		not_claimed(request, err);
	else if (result->code != 0)
		claim_refused(request, result);
	else if (request->cancelled || clock_mono_ms() >= request->deadline_ms)
		dispatch_did_not_run(request);
	else
		dispatch_send(request);
}

/*
 * Claims the key for the present attempt; the task is sent only once the claim
 * is committed.
 */
void
claims_begin(request_t *request)
{
	entry_t *entry = request->entry;
	command_t command = {.kind = COMMAND_CLAIM};
	claim_command_t *claim = &command.command_t_u.claim;
	int64_t left_ms = request->deadline_ms - clock_mono_ms();

	request->state = REQUEST_CLAIMING;
	counter_add(entry->metrics.claims, 1);
	claim->tenant = request->tenant;
	claim->key = request->key;
	claim->digest = request->digest;
	claim->task = request->task;
	claim->worker = request->worker;
	claim->instance = entry->settings->instance;
	claim->time_ms = clock_real_ms();
	replica_propose(entry->replica, &command,
	    CLAMP(left_ms, 1, PROPOSE_DEADLINE_MS), on_claimed,
	    ticket_create(request));
}

static void
claim_end_free(claim_end_t *end)
{
	g_free(end->command.tenant);
	g_free(end->command.key);
	g_free(end->command.task);
	g_free(end->command.answer.body_t_val);
	g_free(end);
}

typedef struct {
	handle_t *handle;
	claim_end_t *end;
} end_ctx_t;

static void
on_end(void *ctx, const err_t *err, const command_result_t *result)
{
	end_ctx_t *pending = ctx;
	entry_t *entry = pending->handle->entry;
	claim_end_t *end = pending->end;

	if (entry != NULL) {
		end->in_flight = false;
		end->retry_ms = clock_mono_ms() + CLAIM_END_RETRY_MS;
		/* Any code of the machine is final: the claim has ended or is
		 * another task's. */
		if (err->code == 0) {
			g_queue_unlink(&entry->claim_ends, &end->link);
			claim_end_free(end);
		}
	}
	g_rc_box_release(pending->handle);
	g_free(pending);
}

static void
propose_end(entry_t *entry, claim_end_t *end)
{
	command_t command = {.kind = COMMAND_CLAIM_END};
	end_ctx_t *pending = g_new0(end_ctx_t, 1);

	command.command_t_u.claim_end = end->command;
	pending->handle = g_rc_box_acquire(entry->handle);
	pending->end = end;
	end->in_flight = true;
	replica_propose(
	    entry->replica, &command, PROPOSE_DEADLINE_MS, on_end, pending);
}

/*
 * Records how the claim of the request's present task ended.  It is proposed
 * again until a majority has it or the instance ends.
 */
void
claims_end(request_t *request, claim_state_t state, int status, str_t answer)
{
	entry_t *entry = request->entry;
	claim_end_t *end = g_new0(claim_end_t, 1);
	bool is_kept = answer.len <= MAX_ANSWER_BYTES;

	end->link.data = end;
	end->command = (claim_end_command_t){
	    .tenant = g_strdup(request->tenant),
	    .key = g_strdup(request->key),
	    .task = g_strdup(request->task),
	    .state = state,
	    .http_status = status,
	    .answer_dropped = !is_kept,
	    .time_ms = clock_real_ms(),
	};
	if (is_kept && answer.len > 0) {
		end->command.answer.body_t_val =
		    g_memdup2(answer.data, answer.len);
		end->command.answer.body_t_len = (u_int)answer.len;
	}
	g_queue_push_tail_link(&entry->claim_ends, &end->link);
	if (entry->claim_ends.length > MAX_CLAIM_ENDS) {
		claim_end_t *oldest = entry->claim_ends.head->data;

		if (!oldest->in_flight) {
			g_queue_unlink(&entry->claim_ends, &oldest->link);
			claim_end_free(oldest);
		}
	}
	propose_end(entry, end);
}

/* Proposes again the ends that no majority had yet. */
void
claims_sweep(entry_t *entry, int64_t now_ms)
{
	GList *next;

	for (GList *at = entry->claim_ends.head; at != NULL; at = next) {
		claim_end_t *end = at->data;

		next = at->next;
		if (!end->in_flight && now_ms >= end->retry_ms)
			propose_end(entry, end);
	}
}

/* Frees the ends that are still waiting; for the end of the entry. */
void
claims_destroy(entry_t *entry)
{
	GList *at;

	while ((at = g_queue_pop_head_link(&entry->claim_ends)) != NULL)
		claim_end_free(at->data);
}

/* Ends a request with the outcome recorded for its key. */
static void
answer_from_claim(request_t *request, const machine_claim_t *claim)
{
	str_t answer = {claim->answer, claim->answer_len};
	char *worker = g_strdup(claim->worker);
	bool is_unknown = claim->http_status != 200 &&
			  g_strstr_len(answer.data, (gssize)answer.len,
			      "\"outcome\":\"unknown\"") != NULL;

	if (claim->answer_dropped || claim->answer_len == 0) {
		json_t *body = json_pack("{s:s, s:s, s:s, s:b}", "request",
		    request->id, "outcome", "done", "worker", worker,
		    "result_dropped", 1);

		request_end(request, OUTCOME_DONE, claim->http_status, body);
	} else {
		request_end_text(request,
		    is_unknown ? OUTCOME_UNKNOWN : OUTCOME_DONE,
		    claim->http_status, answer, worker);
	}
	g_free(worker);
}

static void
on_released(void *ctx, const err_t *err, const command_result_t *result)
{
	request_t *request = ticket_redeem(ctx);

	if (request == NULL || request->state != REQUEST_ASKING)
		return;
	if (err->code != 0)
		request_fail(request, OUTCOME_DID_NOT_RUN, 503, "no_quorum",
		    1000, "the release was not confirmed by a majority");
	else if (result->code == 0)
		request_admit(request);
	else
		claims_resolve(request);
}

/* Ends the other request's claim, whose task certainly did not run. */
void
claims_release(request_t *request)
{
	entry_t *entry = request->entry;
	command_t command = {.kind = COMMAND_CLAIM_END};
	claim_end_command_t *end = &command.command_t_u.claim_end;

	end->tenant = request->tenant;
	end->key = request->key;
	end->task = request->task;
	end->state = CLAIM_DID_NOT_RUN;
	end->time_ms = clock_real_ms();
	request->next_check_ms = INT64_MAX;
	replica_propose(entry->replica, &command, PROPOSE_DEADLINE_MS,
	    on_released, ticket_create(request));
}

static void
ask_worker(request_t *request)
{
	if (request->worker[0] == '\0' ||
	    machine_worker(entry_machine(request->entry), request->worker) ==
		NULL) {
		request_fail(request, OUTCOME_UNKNOWN, 502, "backend_failed", 0,
		    "the backend server of the earlier request is gone");
		return;
	}
	probe_start(request);
}

/* Uses what the claiming instance knows; see forward_serve_ask. */
static void
on_asked(void *ctx, const err_t *err, void *result)
{
	request_t *request = ticket_redeem(ctx);
	forward_result_t *found = result;
	str_t body;

	if (request == NULL || request->state != REQUEST_ASKING)
		return;
	if (found == NULL) {
		ask_worker(request);
		return;
	}
	body = (str_t){found->answer.body_t_val, found->answer.body_t_len};
	switch (found->outcome) {
	case OUTCOME_DONE:
		request_end_text(request, OUTCOME_DONE, found->http_status,
		    body, found->worker);
		break;
	case OUTCOME_DID_NOT_RUN:
		claims_release(request);
		break;
	case OUTCOME_RUNNING:
		claims_resolve(request);
		break;
	default:
		ask_worker(request);
		break;
	}
}

static void
ask_instance(request_t *request, const char *instance)
{
	entry_t *entry = request->entry;
	int64_t left_ms = request->deadline_ms - clock_mono_ms();
	ask_args_t args = {.task = request->task,
	    .wait_ms = (int)CLAMP(left_ms, 0, ASK_WAIT_MS)};

	counter_add(entry->metrics.asks, 1);
	request->next_check_ms = INT64_MAX;
	endpoint_call(entry->endpoint, instance, RPC_ASK, &args,
	    args.wait_ms + CONTROL_DEADLINE_MS, on_asked,
	    ticket_create(request));
}

static bool
end_is_pending(const entry_t *entry, const char *task)
{
	for (GList *at = entry->claim_ends.head; at != NULL; at = at->next) {
		const claim_end_t *end = at->data;

		if (strcmp(end->command.task, task) == 0)
			return true;
	}
	return false;
}

/* The claim was made here: what is kept of that request decides. */
static void
ask_self(request_t *request)
{
	entry_t *entry = request->entry;
	request_t *running = request_of_task(entry, request->task);
	const ended_t *ended = NULL;
	char id[NAME_MAX_LEN + 1];

	if ((running != NULL && running != request) ||
	    end_is_pending(entry, request->task)) {
		request->next_check_ms = clock_mono_ms() + ASK_RETRY_MS;
		request->task[0] = '\0';
		return;
	}
	task_request_id(request->task, id, sizeof(id));
	ended = ended_find(entry, id);
	if (ended != NULL && ended->outcome == OUTCOME_DONE) {
		request_end_text(request, OUTCOME_DONE, ended->status,
		    ended->body, ended->worker);
	} else if (ended != NULL && ended->outcome == OUTCOME_DID_NOT_RUN) {
		claims_release(request);
	} else {
		ask_worker(request);
	}
}

/*
 * Finds out what became of an earlier request under the same key and ends the
 * request accordingly, or queues it when nothing was run.
 */
void
claims_resolve(request_t *request)
{
	entry_t *entry = request->entry;
	const machine_claim_t *claim =
	    machine_claim(entry_machine(entry), request->tenant, request->key);

	request->state = REQUEST_ASKING;
	request->stopped_ms = 0;
	request->probe_failures = 0;
	request->stopping = STOP_NONE;
	if (claim == NULL || (claim->state == CLAIM_DID_NOT_RUN &&
				 claim->digest == request->digest)) {
		request->task[0] = '\0';
		request_admit(request);
		return;
	}
	if (claim->digest != request->digest) {
		request_fail(request, OUTCOME_DID_NOT_RUN, 422, "key_reused", 0,
		    "the key was used with another body");
		return;
	}
	if (claim->state == CLAIM_DONE) {
		answer_from_claim(request, claim);
		return;
	}
	request->known_ms =
	    clock_mono_ms() - MAX(clock_real_ms() - claim->time_ms, 0);
	g_strlcpy(request->task, claim->task, sizeof(request->task));
	g_free(request->worker);
	request->worker = g_strdup(claim->worker);
	if (entry_is_self(entry, claim->instance))
		ask_self(request);
	else if (endpoint_peer_is_up(entry->endpoint, claim->instance))
		ask_instance(request, claim->instance);
	else
		ask_worker(request);
}
