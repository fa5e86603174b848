#include "state/raft_internal.h"

#include <errno.h>
#include <string.h>

static void
free_entry(gpointer data)
{
	raft_entry_t *entry = data;

	g_free(entry->data.body_t_val);
	g_free(entry);
}

/*
 * Creates a stopped participant.  The caller then passes each log entry after
 * the saved snapshot to raft_restore_entry and calls raft_start.
 */
raft_t *
raft_create(
    const raft_options_t *options, const raft_callbacks_t *callbacks, void *ctx)
{
	raft_t *raft = g_new0(raft_t, 1);
	const raft_saved_t *saved = &options->saved;

	g_strlcpy(raft->id, options->id, sizeof(raft->id));
	raft->callbacks = *callbacks;
	raft->ctx = ctx;
	raft->rand = g_rand_new_with_seed(options->seed);
	raft->election_timeout_ms = options->election_timeout_ms;
	raft->heartbeat_ms = options->heartbeat_ms;
	raft->max_batch = CLAMP(options->max_batch_entries, 1, MAX_BATCH);
	raft_members_copy(&raft->bootstrap, &options->bootstrap);
	raft->may_bootstrap = options->may_bootstrap;
	raft->disk_id = saved->disk_id;
	raft->term = MAX(saved->term, saved->snapshot_term);
	g_strlcpy(raft->vote, saved->vote, sizeof(raft->vote));
	raft->base_index = saved->snapshot_index;
	raft->base_term = saved->snapshot_term;
	raft->snapshot_index = saved->snapshot_index;
	raft->commit = saved->snapshot_index;
	raft->applied = saved->snapshot_index;
	raft->verified = saved->snapshot_index;
	raft->entries = g_ptr_array_new_with_free_func(free_entry);
	raft->configs = g_array_new(FALSE, TRUE, sizeof(raft_config_t));
	raft->deferred =
	    g_array_new(FALSE, TRUE, sizeof(raft_deferred_reply_t));
	raft->peers = g_array_new(FALSE, TRUE, sizeof(raft_peer_t));
	raft->incoming = g_byte_array_new();
	if (saved->members.members.members_len > 0)
		raft_config_push(raft, saved->snapshot_index, &saved->members);
	return raft;
}

void
raft_destroy(raft_t *raft)
{
	if (raft == NULL)
		return;
	for (guint i = 0; i < raft->configs->len; i++)
		raft_members_clear(
		    &g_array_index(raft->configs, raft_config_t, i).members);
	raft_members_clear(&raft->bootstrap);
	g_array_unref(raft->configs);
	g_array_unref(raft->deferred);
	g_array_unref(raft->peers);
	g_byte_array_unref(raft->incoming);
	g_ptr_array_unref(raft->entries);
	g_rand_free(raft->rand);
	g_free(raft);
}

/* Loads one entry from the disk; the caller passes them in index order. */
void
raft_restore_entry(raft_t *raft, const raft_entry_t *entry)
{
	g_assert(entry->index == raft_log_last(raft) + 1);
	raft_log_append(raft, entry, false);
}

/*
 * Writes the initial membership as entry 1 of term 1.  Every initial member
 * writes the same entry, except that it may know only its own disk id.
 */
static void
bootstrap(raft_t *raft)
{
	raft_members_t members;
	GByteArray *data = g_byte_array_new();
	raft_entry_t entry = {.index = 1, .term = 1, .kind = ENTRY_MEMBERS};

	raft_members_copy(&members, &raft->bootstrap);
	for (u_int i = 0; i < members.members.members_len; i++) {
		raft_member_t *member = &members.members.members_val[i];

		if (strcmp(member->id, raft->id) == 0 &&
		    member->role == MEMBER_VOTER)
			member->disk_id = raft->disk_id;
	}
	raft_members_encode(&members, data);
	entry.data.body_t_val = (char *)data->data;
	entry.data.body_t_len = data->len;
	/* Not saved: raft_start takes the term from the last entry. */
	raft->term = 1;
	raft_log_append(raft, &entry, true);
	g_byte_array_unref(data);
	raft_members_clear(&members);
}

/*
 * Starts the participant at now_ms.  Writes the initial membership only when
 * may_bootstrap is set and nothing was saved.
 */
void
raft_start(raft_t *raft, int64_t now_ms)
{
	raft->now_ms = now_ms;
	/*
	 * An acknowledgement sent before the restart may have extended a lease:
	 * grant no vote for one election timeout.
	 */
	raft->contact_ms = now_ms;
	raft->durable_index = raft_log_last(raft);
	if (raft_log_term(raft, raft_log_last(raft)) > raft->term) {
		raft->term = raft_log_term(raft, raft_log_last(raft));
		raft->vote[0] = '\0';
	}
	if (raft->may_bootstrap && raft->disk_id != 0 && raft->term == 0 &&
	    raft_log_last(raft) == 0 && raft->bootstrap.members.members_len > 0)
		bootstrap(raft);
	raft_reset_election(raft);
	raft_config_changed(raft);
	raft_flush(raft);
}

void
raft_tick(raft_t *raft, int64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	if (raft->state == RAFT_LEADER)
		raft_leader_tick(raft);
	else
		raft_election_tick(raft);
	raft_flush(raft);
}

/*
 * Records the sender's disk id and, from a reply, whether it says that it is a
 * voter.  Returns false for a reply that must not be processed: from a
 * non-member or of a newer term.
 */
static bool
record_sender(raft_t *raft, const raft_message_t *message)
{
	raft_peer_t *peer = raft_peer_find(raft, message->from);
	bool is_reply = message->kind == RAFT_PREVOTE_REPLY ||
			message->kind == RAFT_VOTE_REPLY ||
			message->kind == RAFT_APPEND_REPLY ||
			message->kind == RAFT_SNAPSHOT_REPLY;

	if (peer != NULL) {
		if (peer->seen_disk_id != message->disk_id) {
			peer->seen_disk_id = message->disk_id;
			peer->match = 0;
			peer->granted = false;
		}
		if (is_reply)
			peer->claims_vote = message->last_chunk;
	}
	if (!is_reply)
		return true;
	if (peer == NULL)
		return false;
	if (message->term > raft->term) {
		raft_become_follower(raft, message->term, "");
		return false;
	}
	return true;
}

/*
 * Handles a message.  Duplicate, delayed and reordered messages are safe;
 * messages addressed to other participants are ignored.
 */
void
raft_receive(raft_t *raft, const raft_message_t *message, int64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	if (message->from == NULL || message->to == NULL ||
	    strcmp(message->to, raft->id) != 0 ||
	    strcmp(message->from, raft->id) == 0)
		return;
	if (record_sender(raft, message)) {
		switch (message->kind) {
		case RAFT_PREVOTE:
		case RAFT_VOTE:
			raft_on_vote(raft, message);
			break;
		case RAFT_PREVOTE_REPLY:
		case RAFT_VOTE_REPLY:
			raft_on_vote_reply(raft, message);
			break;
		case RAFT_APPEND:
			raft_on_append(raft, message);
			break;
		case RAFT_APPEND_REPLY:
			raft_on_append_reply(raft, message);
			break;
		case RAFT_SNAPSHOT:
			raft_on_snapshot(raft, message);
			break;
		case RAFT_SNAPSHOT_REPLY:
			raft_on_snapshot_reply(raft, message);
			break;
		}
	}
	raft_flush(raft);
}

/*
 * Called when the storage refuses writes.  Steps down, and neither votes nor
 * campaigns until raft_storage_recovered.  Goes on following a leader; what it
 * receives is acknowledged once it is durable.
 */
void
raft_storage_refused(raft_t *raft, int64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	raft->storage_refuses = true;
	if (raft->state != RAFT_FOLLOWER && raft->state != RAFT_LEARNER_STATE)
		raft_become_follower(raft, raft->term, "");
}

/* Called when the storage takes writes again. */
void
raft_storage_recovered(raft_t *raft, int64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	raft->storage_refuses = false;
	raft_reset_election(raft);
}

/*
 * Appends a command to the log; sets its index and term.  -ENOTCONN: not the
 * leader; -EROFS: the storage refuses; -EMSGSIZE: longer than BODY_MAX_LEN;
 * -EAGAIN: RAFT_MAX_UNCOMMITTED entries are uncommitted.
 */
int
raft_propose(raft_t *raft, const uint8_t *data, size_t len, uint64_t *index,
    uint64_t *term)
{
	raft_entry_t entry = {.index = raft_log_last(raft) + 1,
	    .term = raft->term,
	    .kind = ENTRY_COMMAND,
	    .data = {(u_int)len, (char *)data}};

	if (raft->storage_refuses)
		return -EROFS;
	if (raft->state != RAFT_LEADER)
		return -ENOTCONN;
	if (len > BODY_MAX_LEN)
		return -EMSGSIZE;
	if (raft_log_last(raft) - raft->commit >= RAFT_MAX_UNCOMMITTED)
		return -EAGAIN;
	*index = entry.index;
	*term = entry.term;
	raft_log_append(raft, &entry, true);
	raft_flush(raft);
	return 0;
}

raft_state_t
raft_state(const raft_t *raft)
{
	return raft->state;
}

uint64_t
raft_term(const raft_t *raft)
{
	return raft->term;
}

uint64_t
raft_commit_index(const raft_t *raft)
{
	return raft->commit;
}

uint64_t
raft_applied_index(const raft_t *raft)
{
	return raft->applied;
}

uint64_t
raft_last_index(const raft_t *raft)
{
	return raft_log_last(raft);
}

/* Returns the id of the leader of the current term; empty when unknown. */
const char *
raft_leader(const raft_t *raft)
{
	return raft->leader;
}

/* 0 on the leader; INT64_MAX when no leader of this term was heard. */
int64_t
raft_leader_silent_ms(const raft_t *raft, int64_t now_ms)
{
	if (raft->state == RAFT_LEADER)
		return 0;
	return raft->heard_leader ? now_ms - raft->contact_ms : INT64_MAX;
}

/*
 * For a member that has not replied yet, counts from the start of the
 * leadership.  INT64_MAX for a non-member and when not the leader.
 */
int64_t
raft_member_silent_ms(const raft_t *raft, const char *id, int64_t now_ms)
{
	const raft_peer_t *peer = raft_peer_find(raft, id);

	if (raft->state != RAFT_LEADER)
		return INT64_MAX;
	if (strcmp(id, raft->id) == 0)
		return 0;
	return peer != NULL ? now_ms - peer->heard_ms : INT64_MAX;
}

uint64_t
raft_member_match(const raft_t *raft, const char *id)
{
	const raft_peer_t *peer = raft_peer_find(raft, id);

	if (raft->state != RAFT_LEADER)
		return 0;
	if (strcmp(id, raft->id) == 0)
		return raft->durable_index;
	return peer != NULL ? peer->match : 0;
}
