#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "rpc/protocol.h"

/*
 * One Raft participant as a pure state machine: it is driven by messages, by
 * the storage's acknowledgements and by the time passed in, and acts only
 * through its callbacks.
 */
typedef struct raft_t raft_t;

typedef enum {
	RAFT_LEARNER_STATE,
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
} raft_state_t;

/* The persistent state that a participant loads at startup. */
typedef struct {
	uint64_t disk_id; /* 0 for an instance without a disk */
	uint64_t term;
	char vote[NAME_MAX_LEN + 1]; /* empty: no vote in this term */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	raft_members_t members; /* as of the snapshot; may be empty */
} raft_saved_t;

typedef struct {
	const char *id;
	int64_t election_timeout_ms; /* a random 0 to 100 % is added */
	int64_t heartbeat_ms;
	uint32_t seed;
	uint32_t max_batch_entries;
	raft_members_t
	    bootstrap;      /* initial members, used when nothing is saved */
	bool may_bootstrap; /* this is a new system and a new data folder */
	raft_saved_t saved;
} raft_options_t;

/*
 * Callbacks.  save_vote, append and truncate only queue writes in the storage.
 * sync covers all writes queued before it; the participant treats them as
 * durable once raft_synced is called with the ticket of that sync.
 */
typedef struct {
	void (*send)(void *ctx, const raft_message_t *message);
	void (*save_vote)(void *ctx, uint64_t term, const char *vote);
	void (*append)(void *ctx, const raft_entry_t *entry);
	void (*truncate)(void *ctx, uint64_t from_index);
	void (*sync)(void *ctx, uint64_t ticket);
	void (*apply)(void *ctx, const raft_entry_t *entry);
	/* Returns the newest snapshot; the callee owns data and members. */
	void (*snapshot_read)(void *ctx, uint64_t *index, uint64_t *term,
	    const uint8_t **data, size_t *len, raft_members_t *members);
	/* Replaces the state machine and the log by a received snapshot. */
	void (*snapshot_install)(void *ctx, uint64_t index, uint64_t term,
	    const uint8_t *data, size_t len, const raft_members_t *members);
	void (*state_changed)(void *ctx, raft_state_t state, uint64_t term);
} raft_callbacks_t;

raft_t *raft_create(const raft_options_t *options,
    const raft_callbacks_t *callbacks, void *ctx);
void raft_destroy(raft_t *raft);
void raft_restore_entry(raft_t *raft, const raft_entry_t *entry);
void raft_start(raft_t *raft, int64_t now_ms);
void raft_tick(raft_t *raft, int64_t now_ms);
void raft_receive(raft_t *raft, const raft_message_t *message, int64_t now_ms);
void raft_synced(raft_t *raft, uint64_t ticket, int64_t now_ms);
void raft_storage_refused(raft_t *raft, int64_t now_ms);
void raft_storage_recovered(raft_t *raft, int64_t now_ms);
int raft_propose(raft_t *raft, const uint8_t *data, size_t len, uint64_t *index,
    uint64_t *term);
int raft_propose_members(raft_t *raft, const raft_members_t *members,
    uint64_t *index, uint64_t *term);
/*
 * Starts a linearizable read and sets *ticket.  raft_read_ready(ticket) is true
 * once a quorum has confirmed that this participant was still leader after the
 * call and the entries committed by then are applied.
 */
int raft_read_begin(raft_t *raft, uint64_t *ticket);
bool raft_read_ready(const raft_t *raft, uint64_t ticket);
void raft_compacted(raft_t *raft, uint64_t index, uint64_t term);
raft_state_t raft_state(const raft_t *raft);
uint64_t raft_term(const raft_t *raft);
uint64_t raft_commit_index(const raft_t *raft);
uint64_t raft_applied_index(const raft_t *raft);
uint64_t raft_last_index(const raft_t *raft);
const char *raft_leader(const raft_t *raft);
bool raft_has_quorum_lease(const raft_t *raft, int64_t now_ms);
/* Milliseconds since the last message from a leader of the current term. */
int64_t raft_leader_silent_ms(const raft_t *raft, int64_t now_ms);
/* On the leader: milliseconds since the member's last reply; match index. */
int64_t raft_member_silent_ms(
    const raft_t *raft, const char *id, int64_t now_ms);
uint64_t raft_member_match(const raft_t *raft, const char *id);
const raft_members_t *raft_members(const raft_t *raft);
