#pragma once

#include <glib.h>

#include "state/raft.h"

#define SIM_MAX_NODES 8
#define SIM_ELECTION_MS 500
#define SIM_HEARTBEAT_MS 100
#define SIM_STEP_MS 5

/* The durable content of a simulated disk. */
typedef struct {
	uint64_t disk_id; /* 0: no disk */
	uint64_t term;
	char vote[NAME_MAX_LEN + 1];
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	GByteArray *snapshot;
	raft_members_t members;
	GPtrArray *log; /* raft_entry_t after snapshot_index */
} sim_disk_t;

typedef struct {
	char id[8];
	bool is_initial_voter; /* voter of the bootstrap membership */
	bool wiped;
	raft_t *raft; /* NULL while crashed */
	uint32_t incarnation;
	sim_disk_t disk;
	GPtrArray *pending; /* writes not yet covered by a completed sync */
	uint64_t sync_ticket;
	guint sync_count;
	int64_t sync_due_ms;
	int64_t paused_until_ms;
	int64_t restart_ms;
	double clock_rate;
	int64_t clock_offset_ms;
	bool isolated;
	int64_t isolated_until_ms; /* 0: no timed isolation */

	/* The replicated state machine. */
	uint64_t applied;
	uint64_t applied_term;
	uint64_t digest;
	raft_members_t members; /* as of applied */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	GByteArray *snapshot;
	raft_members_t snapshot_members;

	uint64_t commit_seen;
} sim_node_t;

/* Percentages, except for the rates per 10,000 steps. */
typedef struct {
	int loss;
	int duplication;
	int max_delay_ms;
	int min_sync_ms;
	int max_sync_ms;
	int crashes_per_10k;
	int wipes_per_10k;
	int pauses_per_10k;
	int partitions_per_10k;
	int changes_per_10k;
	int snapshots_per_10k;
	int proposals; /* percent of steps */
	int reads;
	bool drift;
} sim_faults_t;

typedef struct sim_t {
	uint32_t seed;
	GRand *rand;
	int64_t now_ms;
	int64_t step;
	sim_faults_t faults;
	sim_node_t nodes[SIM_MAX_NODES];
	int node_count;
	int target_voters;
	bool disks_known;        /* the bootstrap membership has disk ids */
	size_t snapshot_padding; /* bytes added to each snapshot */
	GPtrArray *network;
	GArray *committed;         /* digest and term by index */
	GHashTable *leaders;       /* term to id */
	GHashTable *entry_digests; /* "index/term" to entry digest */
	GArray *pending_reads;
	uint64_t next_disk_id;
	uint64_t next_value;
	raft_members_t bootstrap;
	int elections;
	int installs;
	int wipes;
	int changes;
	int reads_done;
} sim_t;

sim_t *sim_create(uint32_t seed, int voters, int others, bool disks_known);
void sim_destroy(sim_t *sim);
void sim_step(sim_t *sim);
void sim_run(sim_t *sim, int64_t ms);
sim_node_t *sim_leader(sim_t *sim);
sim_node_t *sim_wait_leader(sim_t *sim, int64_t ms);
void sim_crash(sim_t *sim, sim_node_t *node, int percent_kept);
void sim_restart(sim_t *sim, sim_node_t *node);
void sim_wipe(sim_t *sim, sim_node_t *node);
bool sim_wipe_is_survivable(sim_t *sim, sim_node_t *node);
void sim_snapshot(sim_t *sim, sim_node_t *node);
int sim_propose(sim_t *sim, sim_node_t *node, uint64_t *index);
bool sim_repair(sim_t *sim);
int64_t sim_node_clock(const sim_t *sim, const sim_node_t *node);
void sim_heal(sim_t *sim);
void sim_print(const sim_t *sim);
bool sim_settle(sim_t *sim, int64_t ms);
