#pragma once

#include <glib.h>

#include "state/raft.h"

/* Bytes of entries in one append message; a larger entry is sent alone. */
#define RAFT_BATCH_BYTES (1024 * 1024)
/* Bytes of one snapshot chunk. */
#define RAFT_CHUNK_BYTES (256 * 1024)
/* Full batches sent to one member and not yet acknowledged. */
#define RAFT_WINDOW_BATCHES 4
/* Their bytes, beside the last batch; a member whose disk refuses writes holds
 * as many in memory. */
#define RAFT_WINDOW_BYTES (8 * 1024 * 1024)
/*
 * Entries kept before the snapshot index, so that members slightly behind need
 * no snapshot.
 */
#define RAFT_KEPT_ENTRIES 256
/* Bytes that these entries may take. */
#define RAFT_KEPT_BYTES (4 * 1024 * 1024)
/* A learner at most this many entries behind the commit may become a voter. */
#define RAFT_CAUGHT_UP_ENTRIES 64
/* Limit of uncommitted entries; further proposals fail with -EAGAIN. */
#define RAFT_MAX_UNCOMMITTED 65536
/* Heartbeat rounds whose send times are kept for the lease. */
#define RAFT_ROUND_TIMES 256
/* Syncs one after the other until a vote has come, and the longest counted. */
#define RAFT_SYNCS_OF_VOTE 2
#define RAFT_SYNC_MAX_MS 2000
/* A sync that is faster lowers the estimate by this part of the difference. */
#define RAFT_SYNC_DECAY 8
/* Election timeouts without a leader before a learner campaigns. */
#define RAFT_LEARNER_TIMEOUTS 10
/* Lease in percent of the election timeout; the rest covers clock drift. */
#define RAFT_LEASE_PERCENT 80

typedef enum {
	PEER_PROBE,     /* one message at a time until the logs match */
	PEER_REPLICATE, /* entries are sent ahead of acknowledgements */
	PEER_SNAPSHOT,
} peer_mode_t;

/* State that the leader or candidate keeps of another member. */
typedef struct {
	char id[NAME_MAX_LEN + 1];
	member_role_t role;
	uint64_t disk_id;      /* from the membership; 0: not recorded */
	uint64_t seen_disk_id; /* from its last message */
	bool claims_vote;      /* that it votes; from its last reply */
	bool granted;          /* vote or pre-vote in this election */
	peer_mode_t mode;
	uint64_t match;    /* durable there */
	uint64_t received; /* there, durable or not */
	uint64_t next;
	bool probe_sent;
	uint64_t snapshot_index;
	uint64_t snapshot_offset;
	bool snapshot_sent;
	uint64_t acked_round;
	uint64_t sent_commit;
	int64_t heard_ms;
} raft_peer_t;

/* The membership that takes effect at a log index. */
typedef struct {
	uint64_t index;
	raft_members_t members;
} raft_config_t;

/* A reply that is sent once all writes up to seq are durable. */
typedef struct {
	uint64_t seq;
	raft_kind_t kind;
	char to[NAME_MAX_LEN + 1];
	uint64_t term;
	uint64_t round;
} raft_deferred_reply_t;

struct raft_t {
	char id[NAME_MAX_LEN + 1];
	raft_callbacks_t callbacks;
	void *ctx;
	GRand *rand;
	int64_t election_timeout_ms;
	int64_t heartbeat_ms;
	uint32_t max_batch;
	raft_members_t bootstrap;
	bool may_bootstrap;
	bool bootstrapped; /* a membership had this member with this disk */
	uint64_t disk_id;

	raft_state_t state;
	uint64_t term;
	char vote[NAME_MAX_LEN + 1];
	char leader[NAME_MAX_LEN + 1];
	int64_t now_ms;
	int64_t election_due_ms;
	int64_t contact_ms; /* last message from a leader of any term */
	bool heard_leader;  /* the leader of the current term is known */
	bool storage_refuses;
	uint64_t vote_attempt; /* echoed in replies; rejects late pre-votes */

	/* The log after base_index. */
	GPtrArray *entries;
	uint64_t base_index;
	uint64_t base_term;
	uint64_t commit;
	uint64_t applied;
	uint64_t verified; /* the log matches the leader's up to here */
	uint64_t snapshot_index;
	GArray *configs; /* raft_config_t, by index; the last applies */

	/* Writes are numbered; at most one sync is in flight. */
	uint64_t write_seq;
	uint64_t durable_seq;
	uint64_t sync_seq; /* 0 when no sync is in flight */
	int64_t sync_begun_ms;
	int64_t sync_ms; /* what syncs take, see note_sync_time */
	uint64_t sync_index;
	uint64_t durable_index;
	uint64_t acked_index; /* last acknowledged to the leader */
	uint64_t self_vote_seq;
	GArray *deferred; /* raft_deferred_reply_t */

	/* Leader state. */
	GArray *peers;       /* raft_peer_t of all other members */
	uint64_t noop_index; /* index of the no-op of this term */
	int64_t leader_since_ms;
	int64_t heartbeat_due_ms;
	uint64_t round;
	uint64_t round_wanted;
	uint64_t round_confirmed;
	uint64_t leader_first_round; /* first round of this leadership */
	int64_t round_times[RAFT_ROUND_TIMES];
	uint64_t last_round_seen; /* follower: echoed in replies */

	/* Snapshot being received. */
	uint64_t incoming_index;
	uint64_t incoming_term;
	GByteArray *incoming;
};

/* raft_log.c */
uint64_t raft_log_last(const raft_t *raft);
uint64_t raft_log_term(const raft_t *raft, uint64_t index);
raft_entry_t *raft_log_get(const raft_t *raft, uint64_t index);
void raft_log_append(raft_t *raft, const raft_entry_t *entry, bool store);
void raft_log_truncate(raft_t *raft, uint64_t from_index);
void raft_log_reset(raft_t *raft, uint64_t index, uint64_t term);
bool raft_log_up_to_date(const raft_t *raft, uint64_t index, uint64_t term);
void raft_commit_to(raft_t *raft, uint64_t index);
void raft_persist_vote(raft_t *raft);
void raft_flush(raft_t *raft);

/* raft_members.c */
void raft_members_copy(raft_members_t *to, const raft_members_t *from);
void raft_members_clear(raft_members_t *members);
bool raft_members_decode(const raft_entry_t *entry, raft_members_t *members);
void raft_members_encode(const raft_members_t *members, GByteArray *out);
const raft_member_t *raft_members_find(
    const raft_members_t *members, const char *id);
void raft_config_push(
    raft_t *raft, uint64_t index, const raft_members_t *members);
void raft_config_truncate(raft_t *raft, uint64_t from_index);
void raft_config_changed(raft_t *raft);
bool raft_is_voter(const raft_t *raft);
bool raft_may_lead(const raft_t *raft);
raft_peer_t *raft_peer_find(const raft_t *raft, const char *id);
bool raft_peer_counts(const raft_peer_t *peer);
uint64_t raft_quorum_value(const raft_t *raft,
    uint64_t (*value)(const raft_peer_t *peer), uint64_t own);
void raft_record_disks(raft_t *raft);

/* raft_election.c */
void raft_set_state(raft_t *raft, raft_state_t state);
void raft_reset_election(raft_t *raft);
void raft_become_follower(raft_t *raft, uint64_t term, const char *leader);
void raft_election_tick(raft_t *raft);
void raft_on_vote(raft_t *raft, const raft_message_t *message);
void raft_on_vote_reply(raft_t *raft, const raft_message_t *message);
void raft_count_votes(raft_t *raft);

/* raft_replication.c */
void raft_become_leader(raft_t *raft);
void raft_leader_tick(raft_t *raft);
void raft_start_round(raft_t *raft);
void raft_advance_commit(raft_t *raft);
void raft_send_entries(raft_t *raft);
void raft_on_append_reply(raft_t *raft, const raft_message_t *message);
void raft_on_snapshot_reply(raft_t *raft, const raft_message_t *message);
void raft_send_message(raft_t *raft, const char *to, raft_message_t *message);

/* raft_follower.c */
void raft_on_append(raft_t *raft, const raft_message_t *message);
void raft_on_snapshot(raft_t *raft, const raft_message_t *message);
void raft_acknowledge(raft_t *raft, bool always);
