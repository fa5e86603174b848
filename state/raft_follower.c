#include "state/raft_internal.h"

#include <string.h>

/*
 * Acknowledges entries to the leader.  In the reply, index is the last entry
 * that matches and is durable, and counts toward a commit; commit is the last
 * entry that matches, and need not be sent again.  Unless always is set, sends
 * nothing when index has not advanced.
 */
void
raft_acknowledge(raft_t *raft, bool always)
{
	uint64_t index = MIN(raft->verified, raft->durable_index);
	raft_message_t reply = {.kind = RAFT_APPEND_REPLY,
	    .success = true,
	    .index = index,
	    .commit = raft->verified,
	    .round = raft->last_round_seen};

	if (!raft->heard_leader || raft->leader[0] == '\0' ||
	    (!always && index <= raft->acked_index))
		return;
	raft->acked_index = index;
	raft_send_message(raft, raft->leader, &reply);
}

/* Follows the sender as leader; false when its term is out of date. */
static bool
accept_leader(raft_t *raft, const raft_message_t *message)
{
	raft_message_t reply = {.kind = RAFT_APPEND_REPLY};

	if (message->term < raft->term) {
		raft_send_message(raft, message->from, &reply);
		return false;
	}
	if (message->term == raft->term && raft->state == RAFT_LEADER)
		return false;
	raft_become_follower(raft, message->term, message->from);
	raft->heard_leader = true;
	raft->contact_ms = raft->now_ms;
	raft->last_round_seen = MAX(raft->last_round_seen, message->round);
	raft_reset_election(raft);
	return true;
}

/*
 * Rejects an append with a hint for the last common entry: the last entry below
 * the rejected index whose term is not above the leader's term at that index.
 */
static void
send_rejection(raft_t *raft, const raft_message_t *message)
{
	uint64_t hint = MIN(message->index - 1, raft_log_last(raft));
	raft_message_t reply = {.kind = RAFT_APPEND_REPLY,
	    .offset = message->index,
	    .round = raft->last_round_seen};

	while (hint > raft->commit &&
	       raft_log_term(raft, hint) > message->log_term)
		hint--;
	reply.index = hint;
	reply.log_term = raft_log_term(raft, hint);
	raft_send_message(raft, message->from, &reply);
}

static bool
is_well_formed(const raft_message_t *message)
{
	uint64_t term = message->log_term;

	for (u_int i = 0; i < message->entries.entries_len; i++) {
		const raft_entry_t *entry = &message->entries.entries_val[i];

		if (entry->index != message->index + 1 + i ||
		    entry->term < term || entry->term > message->term)
			return false;
		term = entry->term;
	}
	return true;
}

/* Appends the leader's entries, replacing those that conflict with them. */
void
raft_on_append(raft_t *raft, const raft_message_t *message)
{
	uint64_t prev = message->index;
	uint64_t end = prev + message->entries.entries_len;

	if (!is_well_formed(message) || !accept_leader(raft, message))
		return;
	if (prev > raft_log_last(raft) ||
	    (prev > raft->commit &&
		raft_log_term(raft, prev) != message->log_term)) {
		send_rejection(raft, message);
		return;
	}
	for (u_int i = 0; i < message->entries.entries_len; i++) {
		const raft_entry_t *entry = &message->entries.entries_val[i];

		if (entry->index <= raft->commit ||
		    (entry->index <= raft_log_last(raft) &&
			raft_log_term(raft, entry->index) == entry->term))
			continue;
		raft_log_truncate(raft, entry->index);
		raft_log_append(raft, entry, true);
	}
	raft->verified = MAX(raft->verified, MAX(end, raft->commit));
	raft_commit_to(raft, MIN(message->commit, raft->verified));
	raft_acknowledge(raft, true);
}

static void
install_snapshot(raft_t *raft, const raft_message_t *message)
{
	raft_members_t members;

	raft_members_copy(&members, &message->members);
	for (u_int i = 0; i < members.members.members_len; i++) {
		raft_member_t *member = &members.members.members_val[i];

		/*
		 * The snapshot replaces entry 1, which records that this member
		 * bootstrapped with its disk: record the disk here.
		 */
		if (raft->bootstrapped && member->role == MEMBER_VOTER &&
		    member->disk_id == 0 && strcmp(member->id, raft->id) == 0)
			member->disk_id = raft->disk_id;
	}
	raft_log_reset(raft, message->index, message->log_term);
	raft->callbacks.snapshot_install(raft->ctx, message->index,
	    message->log_term, raft->incoming->data, raft->incoming->len,
	    &members);
	if (raft->disk_id != 0)
		raft->write_seq++;
	raft_config_truncate(raft, 0);
	raft_config_push(raft, message->index, &members);
	raft_members_clear(&members);
	raft_config_changed(raft);
}

/* Collects the chunks of a snapshot; installs it once it is complete. */
void
raft_on_snapshot(raft_t *raft, const raft_message_t *message)
{
	raft_message_t reply = {
	    .kind = RAFT_SNAPSHOT_REPLY, .index = message->index};
	bool complete;

	if (!accept_leader(raft, message))
		return;
	/* If the log contains the entry, those after it are kept. */
	if (message->index <= raft->commit ||
	    (message->index <= raft_log_last(raft) &&
		raft_log_term(raft, message->index) == message->log_term)) {
		raft->verified =
		    MAX(raft->verified, MAX(message->index, raft->commit));
		raft_commit_to(raft, message->index);
		raft_acknowledge(raft, true);
		return;
	}
	if (raft->incoming_index != message->index ||
	    raft->incoming_term != message->log_term || message->offset == 0) {
		raft->incoming_index = message->index;
		raft->incoming_term = message->log_term;
		g_byte_array_set_size(raft->incoming, 0);
	}
	complete =
	    message->offset == raft->incoming->len && message->last_chunk;
	if (message->offset == raft->incoming->len)
		g_byte_array_append(raft->incoming,
		    (const guint8 *)message->data.body_t_val,
		    message->data.body_t_len);
	reply.offset = raft->incoming->len;
	reply.round = raft->last_round_seen;
	if (complete) {
		install_snapshot(raft, message);
		g_byte_array_set_size(raft->incoming, 0);
		raft->incoming_index = 0;
	}
	raft_send_message(raft, message->from, &reply);
}
