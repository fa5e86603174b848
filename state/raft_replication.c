#include "state/raft_internal.h"

#include <errno.h>
#include <string.h>

/* Sets the common fields of a message and sends it. */
void
raft_send_message(raft_t *raft, const char *to, raft_message_t *message)
{
	message->from = raft->id;
	message->to = (char *)to;
	if (message->term == 0)
		message->term = raft->term;
	message->disk_id = raft->disk_id;
	/* In all other messages last_chunk means that the sender votes. */
	if (message->kind != RAFT_SNAPSHOT)
		message->last_chunk =
		    raft_is_voter(raft) && !raft->storage_refuses;
	raft->callbacks.send(raft->ctx, message);
}

static void
send_chunk(raft_t *raft, raft_peer_t *peer, bool again)
{
	raft_message_t message = {.kind = RAFT_SNAPSHOT, .round = raft->round};
	const uint8_t *data = NULL;
	raft_members_t members = {0};
	uint64_t index = 0;
	size_t len = 0;

	raft->callbacks.snapshot_read(
	    raft->ctx, &index, &message.log_term, &data, &len, &members);
	if (index != peer->snapshot_index) {
		peer->snapshot_index = index;
		peer->snapshot_offset = 0;
	}
	peer->snapshot_sent = true;
	if (index == 0 || peer->snapshot_offset > len)
		return;
	if (peer->snapshot_offset == len && len > 0 && !again)
		return;
	message.index = index;
	message.offset = peer->snapshot_offset;
	message.data.body_t_val = (char *)data + peer->snapshot_offset;
	message.data.body_t_len =
	    (u_int)MIN(len - peer->snapshot_offset, RAFT_CHUNK_BYTES);
	message.last_chunk =
	    peer->snapshot_offset + message.data.body_t_len == len;
	message.members = members;
	raft_send_message(raft, peer->id, &message);
}

/* Returns the number of entries from first on that fit one message. */
static u_int
batch_len(const raft_t *raft, uint64_t first)
{
	uint64_t last = raft_log_last(raft);
	size_t bytes = 0;
	u_int n = 0;

	while (first + n <= last && n < raft->max_batch) {
		bytes += raft_log_get(raft, first + n)->data.body_t_len;
		if (n > 0 && bytes > RAFT_BATCH_BYTES)
			break;
		n++;
	}
	return n;
}

/*
 * Sends up to one batch from peer->next on, or starts a snapshot if the log no
 * longer has the entry before.  Returns the number of entries sent.
 */
static u_int
send_append(raft_t *raft, raft_peer_t *peer, bool with_entries)
{
	uint64_t prev = peer->next - 1;
	raft_message_t message = {.kind = RAFT_APPEND,
	    .index = prev,
	    .log_term = raft_log_term(raft, prev),
	    .commit = raft->commit,
	    .round = raft->round};
	raft_entry_t *batch = NULL;
	u_int n;

	if (prev < raft->base_index) {
		peer->mode = PEER_SNAPSHOT;
		peer->snapshot_index = 0;
		send_chunk(raft, peer, false);
		return 0;
	}
	n = with_entries ? batch_len(raft, peer->next) : 0;
	if (n > 0) {
		batch = g_new(raft_entry_t, n);
		for (u_int i = 0; i < n; i++)
			batch[i] = *raft_log_get(raft, peer->next + i);
	}
	message.entries.entries_val = batch;
	message.entries.entries_len = n;
	raft_send_message(raft, peer->id, &message);
	peer->sent_commit = raft->commit;
	g_free(batch);
	return n;
}

/*
 * The last entry after which a partial batch may be sent: the last durable one,
 * so that a sync covers many entries; from a voter whose storage refuses
 * writes, the last received one, so that it goes on applying what is committed.
 */
static uint64_t
batch_base(const raft_peer_t *peer)
{
	if (peer->role == MEMBER_VOTER && !peer->claims_vote)
		return MAX(peer->match, peer->received);
	return peer->match;
}

/* Whether a member has been sent as much as it may have unacknowledged. */
static bool
window_is_full(const raft_t *raft, const raft_peer_t *peer)
{
	uint64_t window = (uint64_t)RAFT_WINDOW_BATCHES * raft->max_batch;
	uint64_t bytes = 0;

	if (peer->next - 1 - peer->match >= window)
		return true;
	for (uint64_t index = peer->match + 1; index < peer->next; index++) {
		const raft_entry_t *entry = raft_log_get(raft, index);

		if (entry != NULL)
			bytes += entry->data.body_t_len;
		if (bytes >= RAFT_WINDOW_BYTES)
			return true;
	}
	return false;
}

static void
send_pipelined(raft_t *raft, raft_peer_t *peer)
{
	while (peer->mode == PEER_REPLICATE) {
		uint64_t waiting = raft_log_last(raft) + 1 - peer->next;

		if (waiting == 0 || window_is_full(raft, peer) ||
		    (waiting < raft->max_batch &&
			peer->next - 1 > batch_base(peer)))
			return;
		peer->next += send_append(raft, peer, true);
	}
}

/* Sends every member the entries that its mode and window allow. */
void
raft_send_entries(raft_t *raft)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = &g_array_index(raft->peers, raft_peer_t, i);

		if (peer->mode == PEER_REPLICATE) {
			send_pipelined(raft, peer);
		} else if (peer->mode == PEER_SNAPSHOT &&
			   !peer->snapshot_sent) {
			send_chunk(raft, peer, false);
		} else if (peer->mode == PEER_PROBE && !peer->probe_sent) {
			peer->probe_sent = true;
			send_append(raft, peer, true);
		}
	}
}

static uint64_t
peer_acked_round(const raft_peer_t *peer)
{
	return peer->acked_round;
}

static uint64_t
peer_match(const raft_peer_t *peer)
{
	return peer->match;
}

static void
confirm_rounds(raft_t *raft)
{
	uint64_t round = raft_quorum_value(raft, peer_acked_round, raft->round);

	raft->round_confirmed = MAX(raft->round_confirmed, round);
	if (raft->round_wanted > raft->round &&
	    raft->round_confirmed == raft->round)
		raft_start_round(raft);
}

/*
 * Sends a numbered round of heartbeats.  Replies from a quorum prove that this
 * participant was leader when the round was sent.
 */
void
raft_start_round(raft_t *raft)
{
	raft->round++;
	raft->round_times[raft->round % RAFT_ROUND_TIMES] = raft->now_ms;
	raft->heartbeat_due_ms = raft->now_ms + raft->heartbeat_ms;
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = &g_array_index(raft->peers, raft_peer_t, i);

		if (peer->mode == PEER_SNAPSHOT) {
			send_chunk(raft, peer, true);
		} else {
			peer->probe_sent = true;
			send_append(raft, peer, peer->mode == PEER_PROBE);
		}
	}
	confirm_rounds(raft);
}

/* Becomes leader of the current term and appends its no-op. */
void
raft_become_leader(raft_t *raft)
{
	/* The XDR form of a command_t of kind COMMAND_NOOP. */
	static char noop[4];
	raft_entry_t entry = {.index = raft_log_last(raft) + 1,
	    .term = raft->term,
	    .kind = ENTRY_COMMAND,
	    .data = {sizeof(noop), noop}};

	g_strlcpy(raft->leader, raft->id, sizeof(raft->leader));
	raft->heard_leader = true;
	raft->leader_since_ms = raft->now_ms;
	raft->noop_index = entry.index;
	raft->leader_first_round = raft->round + 1;
	raft->round_confirmed = raft->round;
	raft->round_wanted = 0;
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = &g_array_index(raft->peers, raft_peer_t, i);

		peer->mode = PEER_PROBE;
		peer->probe_sent = false;
		peer->match = 0;
		peer->received = 0;
		peer->next = entry.index;
		peer->acked_round = 0;
		peer->sent_commit = 0;
		peer->heard_ms = raft->now_ms;
	}
	raft_set_state(raft, RAFT_LEADER);
	raft_log_append(raft, &entry, true);
	raft_start_round(raft);
}

/* Returns the send time of the last round that a quorum replied to. */
static int64_t
quorum_contact_ms(const raft_t *raft)
{
	if (raft->round_confirmed < raft->leader_first_round ||
	    raft->round - raft->round_confirmed >= RAFT_ROUND_TIMES)
		return raft->leader_since_ms;
	return MAX(raft->leader_since_ms,
	    raft->round_times[raft->round_confirmed % RAFT_ROUND_TIMES]);
}

/*
 * Steps down after an election timeout without a quorum (check-quorum), sends
 * heartbeats that are due, and sends new commit indexes to idle members.
 */
void
raft_leader_tick(raft_t *raft)
{
	if (raft->now_ms - quorum_contact_ms(raft) >=
	    raft->election_timeout_ms) {
		raft_become_follower(raft, raft->term, "");
		return;
	}
	if (raft->now_ms >= raft->heartbeat_due_ms) {
		raft_start_round(raft);
		return;
	}
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = &g_array_index(raft->peers, raft_peer_t, i);

		if (peer->mode == PEER_REPLICATE &&
		    peer->sent_commit < raft->commit)
			send_append(raft, peer, false);
	}
}

/*
 * Commits the entries that are durable on a quorum, if the last of them is of
 * this term.  Entries of older terms are committed only through a later entry
 * of this term.
 */
void
raft_advance_commit(raft_t *raft)
{
	uint64_t index =
	    raft_quorum_value(raft, peer_match, raft->durable_index);

	if (index <= raft->commit || raft_log_term(raft, index) != raft->term)
		return;
	raft_commit_to(raft, index);
	/* A leader that removed itself steps down once that is committed. */
	if (!raft_is_voter(raft) &&
	    g_array_index(raft->configs, raft_config_t, raft->configs->len - 1)
		    .index <= raft->commit)
		raft_become_follower(raft, raft->term, "");
}

/*
 * Moves the probe back by at least one whole term of either log per reply.  One
 * entry per reply took minutes on a long conflicting tail.
 */
static void
on_reject(const raft_t *raft, raft_peer_t *peer, const raft_message_t *message)
{
	uint64_t rejected = message->offset;
	uint64_t common = MIN(message->index, rejected - 1);

	if (peer->mode == PEER_SNAPSHOT || rejected == 0 ||
	    rejected < peer->match ||
	    (peer->mode == PEER_PROBE && rejected != peer->next - 1))
		return;
	/* The member lost entries: it has no disk and was restarted. */
	if (rejected == peer->match)
		peer->match = MIN(peer->match, message->index);
	while (common > MAX(peer->match, raft->base_index) &&
	       raft_log_term(raft, common) > message->log_term)
		common--;
	peer->next = MAX(common, peer->match) + 1;
	peer->mode = PEER_PROBE;
	peer->probe_sent = false;
}

/* Handles a member's reply to an append or heartbeat. */
void
raft_on_append_reply(raft_t *raft, const raft_message_t *message)
{
	raft_peer_t *peer = raft_peer_find(raft, message->from);

	if (raft->state != RAFT_LEADER || peer == NULL ||
	    message->term != raft->term ||
	    message->index > raft_log_last(raft) ||
	    message->commit > raft_log_last(raft) ||
	    message->round > raft->round)
		return;
	peer->heard_ms = raft->now_ms;
	peer->acked_round = MAX(peer->acked_round, message->round);
	if (message->success) {
		peer->match = MAX(peer->match, message->index);
		peer->received = message->commit;
		if (peer->mode == PEER_PROBE ||
		    (peer->mode == PEER_SNAPSHOT &&
			message->commit >= peer->snapshot_index)) {
			peer->mode = PEER_REPLICATE;
			peer->next = message->commit + 1;
		}
		peer->next =
		    MAX(peer->next, MAX(peer->match, message->commit) + 1);
	} else {
		on_reject(raft, peer, message);
	}
	raft_advance_commit(raft);
	if (raft->state != RAFT_LEADER)
		return;
	confirm_rounds(raft);
	raft_record_disks(raft);
}

/* Continues a snapshot transfer at the offset in the reply. */
void
raft_on_snapshot_reply(raft_t *raft, const raft_message_t *message)
{
	raft_peer_t *peer = raft_peer_find(raft, message->from);

	if (raft->state != RAFT_LEADER || peer == NULL ||
	    message->term != raft->term || message->round > raft->round)
		return;
	peer->heard_ms = raft->now_ms;
	peer->acked_round = MAX(peer->acked_round, message->round);
	if (peer->mode == PEER_SNAPSHOT &&
	    message->index == peer->snapshot_index &&
	    message->offset != peer->snapshot_offset) {
		peer->snapshot_offset = message->offset;
		peer->snapshot_sent = false;
	}
	confirm_rounds(raft);
}

/*
 * Starts a linearizable read.  -ENOTCONN: not the leader; -EROFS: the storage
 * refuses; -EAGAIN: the no-op of this term is not committed yet.
 */
int
raft_read_begin(raft_t *raft, uint64_t *ticket)
{
	if (raft->storage_refuses)
		return -EROFS;
	if (raft->state != RAFT_LEADER)
		return -ENOTCONN;
	if (raft->commit < raft->noop_index)
		return -EAGAIN;
	/* Replies to a round already sent do not confirm a later read. */
	*ticket = raft->round + 1;
	raft->round_wanted = *ticket;
	if (raft->round_confirmed == raft->round)
		raft_start_round(raft);
	return 0;
}

/* A ticket of an earlier leadership never becomes ready. */
bool
raft_read_ready(const raft_t *raft, uint64_t ticket)
{
	return raft->state == RAFT_LEADER &&
	       ticket >= raft->leader_first_round &&
	       raft->round_confirmed >= ticket;
}

/* Whether a lease ensures that no other participant is leader at now_ms. */
bool
raft_has_quorum_lease(const raft_t *raft, int64_t now_ms)
{
	return raft->state == RAFT_LEADER &&
	       raft->round_confirmed >= raft->leader_first_round &&
	       now_ms - quorum_contact_ms(raft) <
		   raft->election_timeout_ms * RAFT_LEASE_PERCENT / 100;
}
