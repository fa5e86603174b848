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
 * Same while votes are being given: a vote counts once it is durable, after the
 * sync in flight and its own, here and at the others.
 */
static void
reset_election_for_votes(raft_t *raft)
{
	raft_reset_election(raft);
	raft->election_due_ms += RAFT_SYNCS_OF_VOTE * raft->sync_ms;
}

/*
 * Becomes a follower (or learner) of leader, which is empty when unknown.  term
 * must not be below the current term.
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

/* Sends a vote or pre-vote request to every other voter. */
static void
request_votes(raft_t *raft, raft_kind_t kind, uint64_t term)
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
	reset_election_for_votes(raft);
	request_votes(raft, RAFT_VOTE, raft->term);
}

/*
 * Starts a pre-vote, which does not raise the term: a participant that cannot
 * be elected, or that returns from isolation, does not depose a working leader.
 */
static void
become_pre_candidate(raft_t *raft)
{
	raft->leader[0] = '\0';
	raft->vote_attempt++;
	raft_set_state(raft, RAFT_PRE_CANDIDATE);
	raft_reset_election(raft);
	request_votes(raft, RAFT_PREVOTE, raft->term + 1);
	raft_count_votes(raft);
}

static uint64_t
peer_granted(const raft_peer_t *peer)
{
	return peer->granted ? 1 : 0;
}

/*
 * Starts the election after a quorum of pre-votes and becomes leader after a
 * quorum of votes.  The own vote counts once it is durable.
 */
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
 * Whether this is a learner with a disk that has heard no leader for
 * RAFT_LEARNER_TIMEOUTS election timeouts.  After the loss of the leader's disk
 * it can hold the newest log, and voters with older logs can elect nobody else.
 * It leads until its no-op commits.
 */
static bool
learner_may_campaign(const raft_t *raft)
{
	const raft_member_t *self =
	    raft_members_find(raft_members(raft), raft->id);

	return self != NULL && self->role == MEMBER_LEARNER &&
	       raft->disk_id != 0 &&
	       raft->now_ms - raft->contact_ms >=
		   RAFT_LEARNER_TIMEOUTS * raft->election_timeout_ms;
}

/* Whether this is a candidate whose own vote is not durable yet. */
static bool
awaits_own_vote(const raft_t *raft)
{
	return raft->state == RAFT_CANDIDATE &&
	       raft->self_vote_seq > raft->durable_seq;
}

/* Starts a pre-vote when the election timer has expired. */
void
raft_election_tick(raft_t *raft)
{
	if (raft->now_ms < raft->election_due_ms || raft->storage_refuses ||
	    awaits_own_vote(raft))
		return;
	if (raft_may_lead(raft) || learner_may_campaign(raft))
		become_pre_candidate(raft);
}

/*
 * Whether this participant may answer vote requests.  A learner may, because
 * the candidate's log can already contain the learner's promotion.  The
 * candidate counts the vote only if its membership records this disk.
 */
static bool
may_vote(const raft_t *raft)
{
	const raft_member_t *self =
	    raft_members_find(raft_members(raft), raft->id);

	if (raft->disk_id == 0 || raft->configs->len == 0)
		return false;
	return self == NULL || self->role == MEMBER_LEARNER ||
	       raft_is_voter(raft);
}

/* False for a voter whose disk is not the one in its member record. */
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
 * Answers a vote or pre-vote request.  Ignores requests within an election
 * timeout after the last message from a leader: the leader's lease relies on
 * it.
 */
void
raft_on_vote(raft_t *raft, const raft_message_t *message)
{
	raft_message_t reply = {.kind = RAFT_VOTE_REPLY};
	raft_deferred_reply_t deferred = {.kind = RAFT_VOTE_REPLY};

	if (raft->storage_refuses || !may_vote(raft) ||
	    !candidate_has_disk(raft, message) || raft->state == RAFT_LEADER ||
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
	reset_election_for_votes(raft);
	g_strlcpy(deferred.to, message->from, sizeof(deferred.to));
	deferred.seq = raft->write_seq;
	deferred.term = raft->term;
	g_array_append_val(raft->deferred, deferred);
}

/* Counts a vote or pre-vote of this election; ignores replies to others. */
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
