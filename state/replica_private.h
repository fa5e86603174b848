#pragma once

#include "common/counters.h"
#include "state/replica.h"
#include "state/storage.h"

/* A proposal or a read barrier that has not ended. */
typedef enum {
	PROPOSAL_WAITING,   /* for a leader, or for the time of the next try */
	PROPOSAL_LOCAL,     /* in the log of this leader at index and term */
	PROPOSAL_FORWARDED, /* sent to target */
	PROPOSAL_READ,      /* barrier; waits for ticket */
	PROPOSAL_APPLYING,  /* has its result; waits for the local apply */
} proposal_state_t;

typedef struct {
	uint64_t id;
	proposal_state_t state;
	bool is_barrier;
	bool local_only; /* received from another instance; not forwarded */
	uint64_t required_term; /* fails outside of this term; 0 for any */
	bool maybe_proposed;    /* some attempt may still be applied */
	GByteArray *command;
	int64_t deadline_ms;
	int64_t retry_ms;
	uint64_t attempt;
	uint64_t index;
	uint64_t term;
	uint64_t ticket;
	char target[NAME_MAX_LEN + 1];
	GByteArray *result;      /* encoded; PROPOSAL_APPLYING */
	GSequenceIter *position; /* in applying */
	replica_done_t *done;
	void *ctx;
} proposal_t;

/* What this replica knows of another instance from its messages. */
typedef struct {
	uint64_t disk_id;
	bool claims_vote;          /* in its last message */
	int64_t voting_ms;         /* last message that claims a vote */
	int64_t empty_reply_ms;    /* last reply that it has no log or leader */
	bool has_change_in_flight; /* a COMMAND_INSTANCE about it */
	bool replace_wanted;
} peer_state_t;

/* An RPC or a proposal of the replica itself that has not ended. */
typedef struct {
	replica_t *replica; /* NULL once the replica is gone */
	uint64_t id;        /* of the proposal */
	uint64_t attempt;
	char *instance;
} pending_t;

struct replica_t {
	struct ev_loop *loop;
	const settings_t *settings;
	endpoint_t *endpoint;
	uint64_t incarnation;
	bool draining;
	machine_t *machine;
	replica_applied_t *applied;
	void *applied_ctx;

	raft_t *raft;
	raft_saved_t saved;
	ev_timer tick;
	ev_timer commit_timer;
	uint64_t notified_commit; /* commit index last sent to followers */
	int64_t leader_since_ms;
	char last_leader[NAME_MAX_LEN + 1];

	/* Entries committed by raft and not yet applied. */
	GQueue committed;
	bool delivering;
	uint64_t applied_index;
	uint64_t applied_term;
	raft_members_t members;    /* as of applied_index */
	bool snapshot_load_failed; /* nothing more is applied */

	storage_t *storage; /* NULL without a disk */
	int storage_code;   /* why the storage refuses writes, or 0 */
	GBytes *snapshot;   /* newest one; NULL without a disk */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t trim_index; /* where the log was last shortened */
	uint64_t log_bytes;  /* of the entries applied since */
	raft_members_t snapshot_members;
	bool saving_snapshot;
	GBytes *next_snapshot;
	uint64_t next_index;
	uint64_t next_term;
	raft_members_t next_members;

	/* Confirmation by a leader. */
	bool has_first_commit;
	uint64_t first_commit; /* commit index first received from a leader */
	bool confirmed;

	GHashTable *proposals; /* proposal_t by id */
	GHashTable *by_index;  /* local proposals by log index */
	uint64_t next_id;
	GSequence *applying;  /* proposals in PROPOSAL_APPLYING, by index */
	GQueue reading;       /* proposals in PROPOSAL_READ */
	GQueue new_proposals; /* ids of proposals not tried yet */
	bool leader_changed;  /* every waiting proposal is to be tried */
	ev_timer submit_timer;
	GQueue pending; /* pending_t */

	bool may_bootstrap; /* until a replica reports a log or a leader */
	bool announcing;    /* a COMMAND_INSTANCE about itself is in flight */
	int64_t next_check_ms;
	GHashTable *peer_states; /* peer_state_t by instance */

	counter_t *proposed;
	counter_t *forwarded;
	counter_t *snapshots;
	counter_t *snapshots_postponed;
	counter_t *snapshots_received;
	counter_t *storage_refuses;
	histogram_t *snapshot_time;
};

/* replica.c */
void replica_create_raft(replica_t *replica, bool may_bootstrap);
void replica_deliver(replica_t *replica);

/* replica_storage.c */
raft_entry_t *replica_entry_copy(const raft_entry_t *entry);
void replica_entry_free(raft_entry_t *entry);
void replica_maybe_snapshot(replica_t *replica);
void replica_snapshot_read(void *ctx, uint64_t *index, uint64_t *term,
    const uint8_t **data, size_t *len, raft_members_t *members);
void replica_snapshot_install(void *ctx, uint64_t index, uint64_t term,
    const uint8_t *data, size_t len, const raft_members_t *members);
int replica_open_storage(replica_t *replica, GPtrArray *entries, err_t *err);

/* replica_proposals.c */
void replica_proposals_init(replica_t *replica);
void replica_proposals_clear(replica_t *replica);
void replica_proposals_applied(replica_t *replica, uint64_t index,
    uint64_t term, const command_result_t *result);
void replica_proposals_progress(replica_t *replica);
void replica_proposals_tick(replica_t *replica, int64_t now_ms);
void replica_proposals_leader_changed(replica_t *replica);
pending_t *replica_pending_add(replica_t *replica, const char *instance);
replica_t *replica_pending_end(pending_t *pending);
void replica_pending_free(pending_t *pending);

/* replica_members.c */
void replica_check_peers(replica_t *replica, int64_t now_ms);
peer_state_t *replica_peer_state(replica_t *replica, const char *instance);
void replica_members_committed(replica_t *replica);
void replica_mark_for_replacement(replica_t *replica, const char *instance);
void replica_serve_probe(replica_t *replica, endpoint_request_t *request);
