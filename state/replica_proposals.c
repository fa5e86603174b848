#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "rpc/codec.h"
#include "state/replica_private.h"

/* Time until a proposal is tried again when no leader accepted it. */
#define RETRY_MS 20
#define NO_DEADLINE_MS (G_MAXINT64 / 2)

/* ---- calls that may outlive the replica ---- */

/* Registers a call in flight; its callback calls replica_pending_end. */
pending_t *
replica_pending_add(replica_t *replica, const char *instance)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->replica = replica;
	pending->instance = g_strdup(instance);
	g_queue_push_tail(&replica->pending, pending);
	return pending;
}

/* Unregisters a call; returns the replica, NULL when it was destroyed. */
replica_t *
replica_pending_end(pending_t *pending)
{
	if (pending->replica != NULL)
		g_queue_remove(&pending->replica->pending, pending);
	return pending->replica;
}

/* Frees a call after replica_pending_end. */
void
replica_pending_free(pending_t *pending)
{
	g_free(pending->instance);
	g_free(pending);
}

/* ---- proposals ---- */

static void
set_state(replica_t *replica, proposal_t *proposal, proposal_state_t state)
{
	if (proposal->state == PROPOSAL_LOCAL &&
	    g_hash_table_lookup(replica->by_index, &proposal->index) ==
		proposal)
		g_hash_table_remove(replica->by_index, &proposal->index);
	if (proposal->state == PROPOSAL_APPLYING)
		g_sequence_remove(proposal->position);
	if (proposal->state == PROPOSAL_READ)
		g_queue_remove(&replica->reading, proposal);
	proposal->state = state;
	if (state == PROPOSAL_READ)
		g_queue_push_tail(&replica->reading, proposal);
}

/* Ends a proposal and frees it. */
static void
end_proposal(replica_t *replica, proposal_t *proposal, const err_t *err,
    const command_result_t *result)
{
	set_state(replica, proposal, PROPOSAL_WAITING);
	g_hash_table_steal(replica->proposals, &proposal->id);
	proposal->done(
	    proposal->ctx, err, proposal->is_barrier ? NULL : result);
	if (proposal->command != NULL)
		g_byte_array_unref(proposal->command);
	if (proposal->result != NULL)
		g_byte_array_unref(proposal->result);
	g_free(proposal);
}

static void
fail_proposal(
    replica_t *replica, proposal_t *proposal, int code, const char *text)
{
	err_t err;

	err_set(&err, code, proposal->is_barrier ? "read barrier" : "propose",
	    raft_leader(replica->raft), "%s", text);
	end_proposal(replica, proposal, &err, NULL);
}

/*
 * Ends a proposal that timed out or cannot succeed here; with -ETIMEDOUT if it
 * may still be applied.
 */
static void
give_up(replica_t *replica, proposal_t *proposal, const char *text)
{
	/* A forwarded proposal may be committed though no answer came yet. */
	if (proposal->maybe_proposed || proposal->state == PROPOSAL_FORWARDED)
		fail_proposal(replica, proposal, -ETIMEDOUT, text);
	else if (replica->storage_code != 0)
		fail_proposal(replica, proposal, replica->storage_code, text);
	else
		fail_proposal(replica, proposal, -ENOTCONN, text);
}

/* Whether the proposal requires a term that this instance no longer leads. */
static bool
is_from_earlier_term(const replica_t *replica, const proposal_t *proposal)
{
	return proposal->required_term != 0 &&
	       (raft_state(replica->raft) != RAFT_LEADER ||
		   raft_term(replica->raft) != proposal->required_term);
}

static void
retry_later(replica_t *replica, proposal_t *proposal)
{
	set_state(replica, proposal, PROPOSAL_WAITING);
	proposal->retry_ms = clock_mono_ms() + RETRY_MS;
}

static void
end_with_saved_result(replica_t *replica, proposal_t *proposal)
{
	GByteArray *bytes = g_steal_pointer(&proposal->result);
	command_result_t result = {0};
	err_t err = {0};

	if (codec_decode((xdrproc_t)xdr_command_result_t,
		(str_t){(char *)bytes->data, bytes->len}, &result) == 0) {
		end_proposal(replica, proposal, &err, &result);
		codec_free((xdrproc_t)xdr_command_result_t, &result);
	}
	g_byte_array_unref(bytes);
}

static gint
compare_indexes(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const proposal_t *first = a;
	const proposal_t *second = b;

	return first->index < second->index ? -1 : first->index > second->index;
}

/*
 * A leader elsewhere has applied the proposal.  It ends once this instance has
 * applied it too, so that the caller can read its own write here.
 */
static void
applied_elsewhere(
    replica_t *replica, proposal_t *proposal, const command_result_t *result)
{
	err_t err = {0};

	if (result->index <= replica->applied_index) {
		end_proposal(replica, proposal, &err, result);
		return;
	}
	proposal->result = g_byte_array_new();
	if (codec_encode((xdrproc_t)xdr_command_result_t, result,
		proposal->result) != 0) {
		end_proposal(replica, proposal, &err, result);
		return;
	}
	set_state(replica, proposal, PROPOSAL_APPLYING);
	proposal->index = result->index;
	proposal->position = g_sequence_insert_sorted(
	    replica->applying, proposal, compare_indexes, NULL);
}

static void
on_forwarded(void *ctx, const err_t *err, void *value)
{
	pending_t *pending = ctx;
	propose_result_t *result = value;
	replica_t *replica = replica_pending_end(pending);
	proposal_t *proposal = NULL;
	bool is_current;

	if (replica != NULL)
		proposal =
		    g_hash_table_lookup(replica->proposals, &pending->id);
	if (proposal == NULL || proposal->state == PROPOSAL_APPLYING)
		goto done;
	is_current = proposal->state == PROPOSAL_FORWARDED &&
		     proposal->attempt == pending->attempt;
	if (result != NULL && result->code == 0) {
		applied_elsewhere(replica, proposal, &result->result);
		goto done;
	}
	/* After -EAGAIN and these errors, nothing was proposed. */
	if (result != NULL
		? result->code != -EAGAIN
		: (err->code != -EHOSTUNREACH && err->code != -ECONNREFUSED &&
		      err->code != -ENOBUFS))
		proposal->maybe_proposed = true;
	if (is_current)
		retry_later(replica, proposal);
done:
	replica_pending_free(pending);
}

static void
forward(replica_t *replica, proposal_t *proposal, const char *leader,
    int64_t now_ms)
{
	int64_t left_ms = MAX(proposal->deadline_ms - now_ms, 1);
	propose_args_t args = {
	    .command = {proposal->command->len,
		(char *)proposal->command->data},
	    .deadline_ms = (int)MIN(left_ms, G_MAXINT),
	};
	pending_t *pending = replica_pending_add(replica, leader);

	set_state(replica, proposal, PROPOSAL_FORWARDED);
	g_strlcpy(proposal->target, leader, sizeof(proposal->target));
	pending->id = proposal->id;
	pending->attempt = ++proposal->attempt;
	counter_add(replica->forwarded, 1);
	endpoint_call(replica->endpoint, leader, RPC_PROPOSE, &args, left_ms,
	    on_forwarded, pending);
}

static void
propose_locally(replica_t *replica, proposal_t *proposal)
{
	proposal_t *replaced;
	uint64_t index;
	uint64_t term;
	int code = raft_propose(replica->raft, proposal->command->data,
	    proposal->command->len, &index, &term);

	if (code != 0) {
		retry_later(replica, proposal);
		return;
	}
	/* This instance led before, and its entry at index was truncated. */
	replaced = g_hash_table_lookup(replica->by_index, &index);
	if (replaced != NULL)
		retry_later(replica, replaced);
	set_state(replica, proposal, PROPOSAL_LOCAL);
	proposal->maybe_proposed = true;
	proposal->index = index;
	proposal->term = term;
	g_hash_table_insert(replica->by_index, &proposal->index, proposal);
}

static void
read_locally(replica_t *replica, proposal_t *proposal)
{
	if (raft_read_begin(replica->raft, &proposal->ticket) != 0)
		retry_later(replica, proposal);
	else
		set_state(replica, proposal, PROPOSAL_READ);
}

/* Proposes here if this instance leads, else forwards to the leader. */
static void
try_proposal(replica_t *replica, proposal_t *proposal, int64_t now_ms)
{
	const char *leader = raft_leader(replica->raft);

	if (proposal->command == NULL) {
		fail_proposal(replica, proposal, -EINVAL,
		    "a field of the command exceeds a limit");
	} else if (proposal->command->len > BODY_MAX_LEN) {
		fail_proposal(
		    replica, proposal, -EMSGSIZE, "command is too long");
	} else if (replica->storage_code != 0 && leader[0] == '\0') {
		give_up(replica, proposal,
		    "the storage of this instance refuses writes");
	} else if (is_from_earlier_term(replica, proposal)) {
		give_up(replica, proposal,
		    "this instance no longer leads the term");
	} else if (raft_state(replica->raft) == RAFT_LEADER) {
		if (proposal->is_barrier)
			read_locally(replica, proposal);
		else
			propose_locally(replica, proposal);
	} else if (proposal->local_only) {
		give_up(replica, proposal, "this instance does not lead");
	} else if (leader[0] == '\0' ||
		   !endpoint_peer_is_up(replica->endpoint, leader)) {
		retry_later(replica, proposal);
	} else {
		forward(replica, proposal, leader, now_ms);
	}
}

/* Calls visit for all proposals; visit may end any of them. */
static void
for_each_proposal(replica_t *replica,
    void (*visit)(replica_t *replica, proposal_t *proposal, int64_t now_ms),
    int64_t now_ms)
{
	GList *ids = g_hash_table_get_keys(replica->proposals);
	guint count = g_list_length(ids);
	uint64_t *copies = g_new(uint64_t, count);
	guint n = 0;

	/* The keys are part of the proposals, which callbacks may end. */
	for (GList *link = ids; link != NULL; link = link->next)
		copies[n++] = *(uint64_t *)link->data;
	g_list_free(ids);
	for (guint i = 0; i < count; i++) {
		proposal_t *proposal =
		    g_hash_table_lookup(replica->proposals, &copies[i]);

		if (proposal != NULL)
			visit(replica, proposal, now_ms);
	}
	g_free(copies);
}

static void
try_if_due(replica_t *replica, proposal_t *proposal, int64_t now_ms)
{
	if (proposal->state == PROPOSAL_WAITING && proposal->retry_ms <= now_ms)
		try_proposal(replica, proposal, now_ms);
}

static void
tick_proposal(replica_t *replica, proposal_t *proposal, int64_t now_ms)
{
	if (is_from_earlier_term(replica, proposal))
		give_up(replica, proposal,
		    "this instance no longer leads the term");
	else if (now_ms < proposal->deadline_ms)
		try_if_due(replica, proposal, now_ms);
	else if (proposal->state == PROPOSAL_APPLYING)
		end_with_saved_result(replica, proposal);
	else
		give_up(replica, proposal,
		    proposal->maybe_proposed ? "not committed in time"
					     : "no leader in time");
}

/* Ends the proposals past their deadline and retries those that are due. */
void
replica_proposals_tick(replica_t *replica, int64_t now_ms)
{
	if (g_hash_table_size(replica->proposals) == 0)
		return;
	for_each_proposal(replica, tick_proposal, now_ms);
	replica_deliver(replica);
}

static void
on_submit_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	replica_t *replica = watcher->data;
	int64_t now_ms = clock_mono_ms();
	guint budget = replica->new_proposals.length;

	if (replica->leader_changed)
		for_each_proposal(replica, try_if_due, now_ms);
	replica->leader_changed = false;
	while (budget-- > 0) {
		uint64_t id =
		    GPOINTER_TO_SIZE(g_queue_pop_head(&replica->new_proposals));
		proposal_t *proposal =
		    g_hash_table_lookup(replica->proposals, &id);

		if (proposal != NULL)
			try_if_due(replica, proposal, now_ms);
	}
	replica_deliver(replica);
}

static void
start_submit_timer(replica_t *replica)
{
	if (ev_is_active(&replica->submit_timer))
		return;
	ev_timer_set(&replica->submit_timer, 0, 0);
	ev_timer_start(replica->loop, &replica->submit_timer);
}

/* Ends the local proposal of an entry that was applied here. */
void
replica_proposals_applied(replica_t *replica, uint64_t index, uint64_t term,
    const command_result_t *result)
{
	proposal_t *proposal = g_hash_table_lookup(replica->by_index, &index);
	err_t err = {0};

	if (proposal == NULL)
		return;
	if (proposal->term == term)
		end_proposal(replica, proposal, &err, result);
	else
		retry_later(replica, proposal);
}

static void
end_ready_reads(replica_t *replica)
{
	guint budget = replica->reading.length;
	err_t err = {0};

	while (budget-- > 0 && replica->reading.length > 0) {
		proposal_t *proposal = g_queue_pop_head(&replica->reading);

		g_queue_push_tail(&replica->reading, proposal);
		if (raft_read_ready(replica->raft, proposal->ticket))
			end_proposal(replica, proposal, &err, NULL);
		else if (raft_state(replica->raft) != RAFT_LEADER)
			retry_later(replica, proposal);
	}
}

/*
 * Ends the forwarded proposals that are now applied here and the read barriers
 * that a quorum confirmed.
 */
void
replica_proposals_progress(replica_t *replica)
{
	while (!g_sequence_is_empty(replica->applying)) {
		proposal_t *proposal = g_sequence_get(
		    g_sequence_get_begin_iter(replica->applying));

		if (proposal->index > replica->applied_index)
			break;
		end_with_saved_result(replica, proposal);
	}
	end_ready_reads(replica);
}

static void
reset_for_new_leader(replica_t *replica, proposal_t *proposal, int64_t now_ms)
{
	if (proposal->state == PROPOSAL_FORWARDED &&
	    strcmp(proposal->target, raft_leader(replica->raft)) != 0) {
		/* The former leader may still get it committed. */
		proposal->maybe_proposed = true;
		set_state(replica, proposal, PROPOSAL_WAITING);
	}
	if (proposal->state == PROPOSAL_WAITING)
		proposal->retry_ms = now_ms;
}

/* Sends the proposals forwarded to a former leader to the new one. */
void
replica_proposals_leader_changed(replica_t *replica)
{
	if (raft_leader(replica->raft)[0] == '\0')
		return;
	for_each_proposal(replica, reset_for_new_leader, clock_mono_ms());
	replica->leader_changed = true;
	start_submit_timer(replica);
}

/* Creates the tables; their keys point into the proposals. */
void
replica_proposals_init(replica_t *replica)
{
	replica->proposals = g_hash_table_new(g_int64_hash, g_int64_equal);
	replica->by_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	replica->applying = g_sequence_new(NULL);
	g_queue_init(&replica->reading);
	g_queue_init(&replica->new_proposals);
	ev_timer_init(&replica->submit_timer, on_submit_timer, 0, 0);
	replica->submit_timer.data = replica;
}

static void
stop_proposal(replica_t *replica, proposal_t *proposal, int64_t now_ms)
{
	give_up(replica, proposal, "this instance stops");
}

/* Ends every proposal; calls in flight no longer refer to the replica. */
void
replica_proposals_clear(replica_t *replica)
{
	pending_t *pending;

	ev_timer_stop(replica->loop, &replica->submit_timer);
	/* A replica that failed to start has no raft and no proposals. */
	if (replica->raft != NULL)
		for_each_proposal(replica, stop_proposal, 0);
	while ((pending = g_queue_pop_head(&replica->pending)) != NULL)
		pending->replica = NULL;
	g_hash_table_unref(replica->proposals);
	g_hash_table_unref(replica->by_index);
	g_sequence_free(replica->applying);
	g_queue_clear(&replica->new_proposals);
}

static proposal_t *
add_proposal(replica_t *replica, GByteArray *command, int64_t deadline_ms,
    replica_done_t *done, void *ctx)
{
	proposal_t *proposal = g_new0(proposal_t, 1);

	proposal->id = ++replica->next_id;
	proposal->command = command;
	proposal->deadline_ms = clock_mono_ms() + deadline_ms;
	proposal->done = done;
	proposal->ctx = ctx;
	g_hash_table_insert(replica->proposals, &proposal->id, proposal);
	counter_add(replica->proposed, 1);
	g_queue_push_tail(
	    &replica->new_proposals, GSIZE_TO_POINTER(proposal->id));
	start_submit_timer(replica);
	return proposal;
}

/*
 * Proposes a command, here or through the leader, until the deadline, which is
 * in milliseconds from now.  done is called once, never from within this
 * function.
 */
void
replica_propose(replica_t *replica, const command_t *command,
    int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	add_proposal(
	    replica, codec_encode_command(command), deadline_ms, done, ctx);
}

/*
 * Proposes a command that is valid only while this instance leads term.  It is
 * neither forwarded to a later leader nor abandoned while the term lasts, so a
 * later leader knows its outcome: it has applied the command or never will.
 */
void
replica_propose_in_term(replica_t *replica, const command_t *command,
    uint64_t term, replica_done_t *done, void *ctx)
{
	add_proposal(
	    replica, codec_encode_command(command), NO_DEADLINE_MS, done, ctx)
	    ->required_term = term;
}

/*
 * Waits until this instance has applied all that was committed before the call.
 * A leader asks a quorum whether it still leads; other instances propose an
 * empty command and wait for it.  Errors as with replica_propose.
 */
void
replica_read_barrier(
    replica_t *replica, int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	command_t noop = {.kind = COMMAND_NOOP};

	add_proposal(
	    replica, codec_encode_command(&noop), deadline_ms, done, ctx)
	    ->is_barrier = true;
}

/* ---- proposals of other instances ---- */

typedef struct {
	replica_t *replica;
	endpoint_request_t *request;
} served_t;

static void
on_served(void *ctx, const err_t *err, const command_result_t *result)
{
	served_t *served = ctx;
	propose_result_t answer = {
	    .code = err->code,
	    .leader = (char *)raft_leader(served->replica->raft),
	    .result = {.text = (char *)""},
	};

	/* After any error but -ETIMEDOUT, nothing was proposed. */
	if (err->code != 0 && err->code != -ETIMEDOUT)
		answer.code = -EAGAIN;
	if (result != NULL)
		answer.result = *result;
	endpoint_answer(served->request, &answer);
	g_free(served);
}

/* Handles RPC_PROPOSE. */
void
replica_serve_propose(
    replica_t *replica, propose_args_t *args, endpoint_request_t *request)
{
	GByteArray *command;
	served_t *served;

	if (args->command.body_t_len == 0) {
		replica_serve_probe(replica, request);
		return;
	}
	command = g_byte_array_new();
	g_byte_array_append(command, (guint8 *)args->command.body_t_val,
	    args->command.body_t_len);
	served = g_new0(served_t, 1);
	served->replica = replica;
	served->request = request;
	add_proposal(replica, command, args->deadline_ms, on_served, served)
	    ->local_only = true;
}
