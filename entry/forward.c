#include <errno.h>
#include <string.h>

#include "entry/internal.h"

#define SHARE_CHANGED_MS 100
#define SHARE_IDLE_MS 1000
/* A share this old says nothing any more. */
#define SHARE_VALID_MS 3000
#define MAX_FORWARDS 2
/* Lets the other instance answer at the deadline itself. */
#define FORWARD_GRACE_MS 500

/* Writes the request id within a task id "<request>.<attempt>.<generation>". */
void
task_request_id(const char *task, char *id, size_t size)
{
	char *dot;

	g_strlcpy(id, task, size);
	for (int i = 0; i < 2; i++) {
		dot = strrchr(id, '.');
		if (dot != NULL)
			*dot = '\0';
	}
}

/* Returns the request that runs under a task id or request id. */
request_t *
request_of_task(const entry_t *entry, const char *task)
{
	char id[NAME_MAX_LEN + 1];
	request_t *request = g_hash_table_lookup(entry->by_id, task);

	if (request != NULL)
		return request;
	task_request_id(task, id, sizeof(id));
	return g_hash_table_lookup(entry->by_id, id);
}

static bool
peer_is_usable(const entry_t *entry, const peer_t *peer, int64_t now_ms)
{
	return !peer->draining && now_ms - peer->heard_ms < SHARE_VALID_MS &&
	       endpoint_peer_is_up(entry->endpoint, peer->id);
}

/* Returns the peer with the most free slots of the lane, NULL for none. */
static peer_t *
choose_peer(const entry_t *entry, lane_t lane, int64_t now_ms)
{
	GHashTableIter iter;
	peer_t *best = NULL;
	void *value;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (peer->free[lane] > 0 &&
		    (best == NULL || peer->free[lane] > best->free[lane]) &&
		    peer_is_usable(entry, peer, now_ms))
			best = peer;
	}
	return best;
}

/* Returns how many slots of the lane are free at other instances. */
int
forward_room(const entry_t *entry, lane_t lane, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;
	int sum = 0;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (peer->free[lane] > 0 && peer_is_usable(entry, peer, now_ms))
			sum += peer->free[lane];
	}
	return sum;
}

/* Tells whether another instance may get free slots. */
bool
forward_has_peer(const entry_t *entry, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (peer_is_usable(entry, value, now_ms))
			return true;
	}
	return false;
}

static bool
certainly_not_sent(const err_t *err)
{
	return err->code == -ECONNREFUSED || err->code == -EHOSTUNREACH ||
	       err->code == -ENOBUFS;
}

/* The other instance's fate is unknown. */
static void
forward_lost(request_t *request, const err_t *err)
{
	entry_t *entry = request->entry;
	int64_t now_ms = clock_mono_ms();

	counter_add(entry->metrics.forwards_failed, 1);
	request->no_forward = true;
	if (!request->repeatable) {
		/* Its claim, or the one made here, lets only one run. */
		if (request->http != NULL || now_ms < request->deadline_ms) {
			request->may_have_run = true;
			claims_resolve(request);
			return;
		}
	} else if (now_ms < request->deadline_ms &&
		   retry_budget_take(&entry->retry_budget, now_ms)) {
		request->may_have_run = true;
		counter_add(entry->metrics.retries, 1);
		request_requeue(request);
		return;
	}
	request_fail(request, OUTCOME_UNKNOWN, 502, "backend_failed", 0,
	    "instance %s did not answer: %.100s", request->forwarded_to,
	    err->text);
}

/*
 * Gives back a slot that was counted as taken at the other instance, unless
 * that has shared its numbers since.
 */
static void
release_at_peer(request_t *request)
{
	entry_t *entry = request->entry;
	peer_t *peer = g_hash_table_lookup(entry->peers, request->forwarded_to);

	if (peer == NULL || peer->heard_ms != request->forward_share_ms)
		return;
	peer->free[request->item.lane]++;
	entry->dispatch_wanted = true;
}

static void
on_forwarded(void *ctx, const err_t *err, void *result)
{
	request_t *request = ticket_redeem(ctx);
	forward_result_t *found = result;
	str_t body;

	if (request == NULL || request->state != REQUEST_FORWARDED)
		return;
	if (err->code == 0)
		release_at_peer(request);
	if (err->code != 0 && !certainly_not_sent(err)) {
		forward_lost(request, err);
		return;
	}
	if (err->code != 0 ||
	    (found->outcome == OUTCOME_DID_NOT_RUN && !request->cancelled)) {
		counter_add(request->entry->metrics.forwards_failed, 1);
		request->no_forward = request->forwards >= MAX_FORWARDS;
		request_requeue_if_in_time(request);
		return;
	}
	/* An instance without slots has no other measure of its service. */
	if (found->outcome == OUTCOME_DONE &&
	    slots_total(request->entry->slots, request->item.lane,
		clock_mono_ms(), NULL, NULL) == 0)
		admission_record_service(&request->entry->admission,
		    request->item.lane, clock_mono_ms() - request->taken_ms, 0);
	body = (str_t){found->answer.body_t_val, found->answer.body_t_len};
	if (found->outcome == OUTCOME_RUNNING || body.len == 0)
		request_fail(request, OUTCOME_UNKNOWN, 504, "timeout", 0,
		    "the deadline has passed; the request may still run");
	else
		request_end_text(request, found->outcome, found->http_status,
		    body, found->worker);
}

/*
 * Passes a request on to an instance with a free slot; false when there is
 * none or it was passed on to here.
 */
bool
forward_try(request_t *request)
{
	entry_t *entry = request->entry;
	int64_t now_ms = clock_mono_ms();
	int64_t left_ms = request->deadline_ms - now_ms;
	forward_args_t args = {.task = request->id};
	peer_t *peer;
	str_t body;

	if (request->http == NULL || request->no_forward || left_ms <= 0)
		return false;
	peer = choose_peer(entry, request->item.lane, now_ms);
	if (peer == NULL)
		return false;
	peer->free[request->item.lane]--;
	body = http_body(request->http);
	args.tenant = request->tenant;
	args.workspace = request->workspace;
	args.key = request->key != NULL ? request->key : "";
	args.repeatable = request->repeatable;
	args.declared_ms = request->declared_ms;
	args.deadline_ms = (int)left_ms;
	args.hops = 1;
	args.config_version = machine_config_version(entry_machine(entry));
	args.body.body_t_val = (char *)body.data;
	args.body.body_t_len = (u_int)body.len;
	request_waited(request, now_ms);
	request->taken_ms = now_ms;
	request->state = REQUEST_FORWARDED;
	request->forwards++;
	g_free(request->forwarded_to);
	request->forwarded_to = g_strdup(peer->id);
	request->forward_share_ms = peer->heard_ms;
	counter_add(entry->metrics.forwards, 1);
	endpoint_call(entry->endpoint, peer->id, RPC_FORWARD, &args,
	    left_ms + FORWARD_GRACE_MS, on_forwarded, ticket_create(request));
	return true;
}

static void
on_cancel_answered(void *ctx, const err_t *err, void *result)
{
}

/* Passes a cancellation on; the answer to the request itself tells the rest. */
void
forward_cancel(request_t *request)
{
	ask_args_t args = {.task = request->id, .cancel = true};

	endpoint_call(request->entry->endpoint, request->forwarded_to, RPC_ASK,
	    &args, 3 * CONTROL_DEADLINE_MS, on_cancel_answered, NULL);
}

/* Serves RPC_FORWARD. */
void
forward_serve(entry_t *entry, forward_args_t *args, endpoint_request_t *rpc)
{
	const char *reason = NULL;

	if (entry->draining)
		reason = "draining";
	else if (!replica_was_confirmed(entry->replica))
		reason = "starting";
	else if (args->hops > 1)
		reason = "too_many_hops";
	if (reason != NULL)
		answer_rpc(rpc, OUTCOME_DID_NOT_RUN, 503, "", reason,
		    (str_t){NULL, 0});
	else
		requests_from_peer(entry, args, rpc);
}

/* Serves RPC_ASK: what became of a request or task, or its cancellation. */
void
forward_serve_ask(entry_t *entry, ask_args_t *args, endpoint_request_t *rpc)
{
	request_t *request = request_of_task(entry, args->task);
	const ended_t *ended;
	char id[NAME_MAX_LEN + 1];
	int64_t now_ms = clock_mono_ms();

	if (request != NULL && args->cancel) {
		request_wait(
		    request, NULL, rpc, true, now_ms + 2 * CONTROL_DEADLINE_MS);
		request_cancel(request);
		return;
	}
	if (request != NULL) {
		/* With nothing to wait for the next sweep answers. */
		request_wait(request, NULL, rpc, true, now_ms + args->wait_ms);
		return;
	}
	ended = ended_find(entry, args->task);
	if (ended == NULL) {
		task_request_id(args->task, id, sizeof(id));
		ended = ended_find(entry, id);
	}
	if (ended == NULL)
		answer_rpc(rpc, OUTCOME_UNKNOWN, 404, "", "not_found",
		    (str_t){NULL, 0});
	else
		answer_rpc(rpc, ended->outcome, ended->status, ended->worker,
		    "", ended->body);
}

/* Serves RPC_SHARE. */
void
forward_serve_share(entry_t *entry, const share_args_t *args)
{
	peer_t *peer = g_hash_table_lookup(entry->peers, args->instance);

	if (peer == NULL) {
		peer = g_new0(peer_t, 1);
		peer->id = g_strdup(args->instance);
		g_hash_table_insert(entry->peers, peer->id, peer);
	}
	peer->free[LANE_SHORT] = args->short_free;
	peer->free[LANE_BATCH] = args->batch_free;
	peer->draining = args->draining;
	peer->heard_ms = clock_mono_ms();
	entry->dispatch_wanted = true;
}

static int
free_beyond_queue(const entry_t *entry, lane_t lane, int64_t now_ms)
{
	return MAX(slots_free(entry->slots, lane, now_ms) -
		       lanes_waiting(entry->lanes, lane),
	    0);
}

/* Tells the other instances how many slots are free. */
void
forward_share(entry_t *entry, int64_t now_ms)
{
	int64_t passed_ms = now_ms - entry->shared_ms;
	share_args_t share = {.instance = entry->settings->instance,
	    .domain = entry->settings->failure_domain,
	    .draining = entry->draining};

	if (passed_ms < SHARE_CHANGED_MS)
		return;
	share.short_free = free_beyond_queue(entry, LANE_SHORT, now_ms);
	share.batch_free = free_beyond_queue(entry, LANE_BATCH, now_ms);
	share.queued = lanes_waiting(entry->lanes, LANE_SHORT) +
		       lanes_waiting(entry->lanes, LANE_BATCH);
	if (share.short_free == entry->shared.short_free &&
	    share.batch_free == entry->shared.batch_free &&
	    share.queued == entry->shared.queued &&
	    share.draining == entry->shared.draining &&
	    passed_ms < SHARE_IDLE_MS)
		return;
	entry->shared = share;
	entry->shared_ms = now_ms;
	for (size_t i = 0; i < entry->settings->peer_count; i++) {
		const char *id = entry->settings->peers[i].id;

		if (!entry_is_self(entry, id))
			endpoint_send(entry->endpoint, id, RPC_SHARE, &share);
	}
}
