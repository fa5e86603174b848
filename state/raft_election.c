#include "state/raft_internal.h"

#include <string.h>

void
raft_set_state(raft_t *raft, raft_state_t state)
{
	if (raft->state == state)
		return;
	raft->state = state;
	if (raft->callbacks.state_changed != NULL)
		raft->callbacks.state_changed(raft->ctx, state, raft->term);
}

/* Restarts the randomized election timer. */
void
raft_reset_election(raft_t *raft)
{
	raft->election_due_ms = raft->now_ms + raft->election_timeout_ms +
				g_rand_int_range(raft->rand, 0,
				    (gint32)raft->election_timeout_ms + 1);
}

/*
 * Follows leader (empty when unknown) in term, which is never below the present
 * one.
 */
void
raft_become_follower(raft_t *raft, uint64_t term, const char *leader)
{
	if (raft->state == RAFT_LEADER)
		raft_reset_election(raft);
	if (term > raft->term) {
		raft->term = term;
		raft->vote[0] = '\0';
		raft->heard_leader = false;
		raft->verified = raft->commit;
		raft->acked_index = 0;
		raft->last_round_seen = 0;
		g_byte_array_set_size(raft->incoming, 0);
		raft->incoming_index = 0;
		raft_persist_vote(raft);
	}
	g_strlcpy(raft->leader, leader, sizeof(raft->leader));
	raft_set_state(
	    raft, raft_may_lead(raft) ? RAFT_FOLLOWER : RAFT_LEARNER_STATE);
}

/* Asks every other voter for its vote or pre-vote. */
static void
ask_votes(raft_t *raft, raft_kind_t kind, uint64_t term)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = &g_array_index(raft->peers, raft_peer_t, i);
		uint64_t last = raft_log_last(raft);
		raft_message_t message = {.kind = kind,
		    .term = term,
		    .index = last,
		    .log_term = raft_log_term(raft, last),
		    .round = raft->vote_attempt};

		peer->granted = false;
		if (peer->role == MEMBER_VOTER)
			raft_send_message(raft, peer->id, &message);
	}
}

static void
become_candidate(raft_t *raft)
{
	raft->term++;
	g_strlcpy(raft->vote, raft->id, sizeof(raft->vote));
	raft->heard_leader = false;
	raft->verified = raft->commit;
	raft->acked_index = 0;
	raft_persist_vote(raft);
	raft->self_vote_seq = raft->write_seq;
	raft_set_state(raft, RAFT_CANDIDATE);
	raft_reset_election(raft);
	ask_votes(raft, RAFT_VOTE, raft->term);
}

/*
 * The pre-vote keeps the term: a participant that cannot be elected, or that
 * returns from isolation, does not disturb a working leader.
 */
static void
become_pre_candidate(raft_t *raft)
{
	raft->leader[0] = '\0';
	raft->vote_attempt++;
	raft_set_state(raft, RAFT_PRE_CANDIDATE);
	raft_reset_election(raft);
	ask_votes(raft, RAFT_PREVOTE, raft->term + 1);
	raft_count_votes(raft);
}

static uint64_t
peer_granted(const raft_peer_t *peer)
{
	return peer->granted ? 1 : 0;
}

/* Advances when a quorum granted; an own vote counts once it is durable. */
void
raft_count_votes(raft_t *raft)
{
	uint64_t own = 1;

	if (raft->state == RAFT_CANDIDATE)
		own = raft->self_vote_seq <= raft->durable_seq;
	if (raft_quorum_value(raft, peer_granted, own) == 0)
		return;
	if (raft->state == RAFT_PRE_CANDIDATE)
		become_candidate(raft);
	else if (raft->state == RAFT_CANDIDATE)
		raft_become_leader(raft);
}

/*
 * Whether this is a learner with a disk that has long been without a leader.
 * It can hold the newest entries when the leader's disk was lost, and then
 * voters with less can elect nobody else.  It leads until its no-op commits.
 */
static bool
is_last_resort(const raft_t *raft)
{
	const raft_member_t *self =
	    raft_members_find(raft_members(raft), raft->id);

	return self != NULL && self->role == MEMBER_LEARNER &&
	       raft->disk_id != 0 &&
	       raft->now_ms - raft->contact_ms >=
		   RAFT_LEARNER_TIMEOUTS * raft->election_timeout_ms;
}

/* Starts an election when no leader was heard in time. */
void
raft_election_tick(raft_t *raft)
{
	if (raft->now_ms < raft->election_due_ms)
		return;
	if (raft_may_lead(raft) || is_last_resort(raft))
		become_pre_candidate(raft);
}

/*
 * Whether this participant may answer votes.  A learner may: the candidate's
 * log can hold its promotion before its own does.  The candidate counts the
 * vote only when its record names this disk.
 */
static bool
may_vote(const raft_t *raft)
{
	const raft_member_t *self =
	    raft_members_find(raft_members(raft), raft->id);

	if (raft->disk_id == 0 || raft->configs->len == 0)
		return false;
	return self == NULL || self->role == MEMBER_LEARNER ||
	       raft_self_votes(raft);
}

/* Whether the sender is not a voter that has lost the disk of its record. */
static bool
candidate_has_disk(const raft_t *raft, const raft_message_t *message)
{
	const raft_member_t *member =
	    raft_members_find(raft_members(raft), message->from);

	return member == NULL || member->role == MEMBER_LEARNER ||
	       member->disk_id == 0 || member->disk_id == message->disk_id;
}

static void
on_prevote(raft_t *raft, const raft_message_t *message)
{
	raft_message_t reply = {
	    .kind = RAFT_PREVOTE_REPLY, .round = message->round};

	reply.success =
	    message->term > raft->term &&
	    raft_log_up_to_date(raft, message->index, message->log_term);
	raft_send_message(raft, message->from, &reply);
}

/*
 * Answers a vote or pre-vote request.  While a leader was heard within the
 * election timeout, requests are ignored: its lease relies on that.
 */
void
raft_on_vote(raft_t *raft, const raft_message_t *message)
{
	raft_message_t reply = {.kind = RAFT_VOTE_REPLY};
	raft_held_t held = {.kind = RAFT_VOTE_REPLY};

	if (!may_vote(raft) || !candidate_has_disk(raft, message) ||
	    raft->state == RAFT_LEADER ||
	    raft->now_ms - raft->contact_ms < raft->election_timeout_ms)
		return;
	if (message->kind == RAFT_PREVOTE) {
		on_prevote(raft, message);
		return;
	}
	if (message->term > raft->term)
		raft_become_follower(raft, message->term, "");
	if (message->term < raft->term ||
	    !raft_log_up_to_date(raft, message->index, message->log_term) ||
	    (raft->vote[0] != '\0' && strcmp(raft->vote, message->from) != 0)) {
		raft_send_message(raft, message->from, &reply);
		return;
	}
	if (raft->vote[0] == '\0') {
		g_strlcpy(raft->vote, message->from, sizeof(raft->vote));
		raft_persist_vote(raft);
	}
	raft_reset_election(raft);
	g_strlcpy(held.to, message->from, sizeof(held.to));
	held.seq = raft->write_seq;
	held.term = raft->term;
	g_array_append_val(raft->held, held);
}

/* Counts a vote or pre-vote of this election; others are late or doubled. */
void
raft_on_vote_reply(raft_t *raft, const raft_message_t *message)
{
	raft_peer_t *peer = raft_peer_find(raft, message->from);

	if (peer == NULL || !message->success)
		return;
	if (message->kind == RAFT_PREVOTE_REPLY) {
		if (raft->state != RAFT_PRE_CANDIDATE ||
		    message->round != raft->vote_attempt)
			return;
	} else if (raft->state != RAFT_CANDIDATE ||
		   message->term != raft->term) {
		return;
	}
	peer->granted = true;
	raft_count_votes(raft);
}
