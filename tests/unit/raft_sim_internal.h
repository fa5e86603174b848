#pragma once

#include "tests/unit/raft_sim.h"

typedef enum {
	WRITE_VOTE,
	WRITE_APPEND,
	WRITE_TRUNCATE,
	WRITE_INSTALL
} write_kind_t;

typedef struct {
	write_kind_t kind;
	uint64_t index;
	uint64_t term;
	char vote[NAME_MAX_LEN + 1];
	raft_entry_t *entry;
	GByteArray *data;
	raft_members_t members;
} write_t;

typedef struct {
	int64_t due_ms;
	int to;
	GByteArray *bytes;
} packet_t;

typedef struct {
	uint64_t term; /* of the leader that committed it */
	uint64_t digest;
} committed_t;

typedef struct {
	int node;
	uint32_t incarnation;
	uint64_t ticket;
	uint64_t min_index;
	int64_t expires_ms;
} read_t;

/* The context passed to a participant's callbacks. */
typedef struct {
	sim_t *sim;
	sim_node_t *node;
} context_t;

extern context_t sim_contexts[SIM_MAX_NODES];
extern const raft_callbacks_t sim_callbacks;

void sim_fail(const sim_t *sim, const char *format, ...)
    __attribute__((noreturn, format(printf, 2, 3)));
bool sim_chance(sim_t *sim, int n, int of);
int64_t sim_random_up_to(sim_t *sim, int64_t max);
sim_node_t *sim_find_node(sim_t *sim, const char *id);
GByteArray *sim_copy_bytes(const uint8_t *data, size_t len);
void sim_free_packet(gpointer data);
void sim_free_write(gpointer data);
void sim_disk_reset(sim_disk_t *disk, uint64_t disk_id);
void sim_disk_snapshot(sim_disk_t *disk, uint64_t index, uint64_t term,
    const GByteArray *data, const raft_members_t *members);
void sim_disk_write(sim_disk_t *disk, const write_t *write);
bool sim_disk_has(const sim_disk_t *disk, uint64_t index, uint64_t term);
void sim_set_snapshot(sim_node_t *node, uint64_t index, uint64_t term,
    const uint8_t *data, size_t len, const raft_members_t *members);
void sim_load_snapshot(sim_t *sim, sim_node_t *node);
void sim_set_member(
    raft_members_t *members, const char *id, member_role_t role);
bool sim_has_lost_voter(sim_t *sim, const raft_members_t *members);
void sim_change_random_member(sim_t *sim);
