#include "tests/unit/raft_sim_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "state/raft_internal.h"

/* Whether every node's membership keeps a quorum if node's disk is lost. */
bool
sim_wipe_is_survivable(sim_t *sim, sim_node_t *node)
{
	if (node->disk.disk_id == 0)
		return false;
	for (int i = 0; i < sim->node_count; i++) {
		const raft_members_t *members;
		int voters = 0;
		int lost = 0;

		if (sim->nodes[i].raft == NULL)
			return false;
		members = raft_members(sim->nodes[i].raft);
		for (u_int j = 0; j < members->members.members_len; j++) {
			const raft_member_t *member =
			    &members->members.members_val[j];
			const sim_node_t *other =
			    sim_find_node(sim, member->id);

			if (member->role != MEMBER_VOTER)
				continue;
			if (member->disk_id == 0)
				return false;
			voters++;
			lost += other == node ||
				other->disk.disk_id != member->disk_id;
		}
		if (voters > 0 && lost > (voters - 1) / 2)
			return false;
	}
	return true;
}

void
sim_set_member(raft_members_t *members, const char *id, member_role_t role)
{
	u_int len = members->members.members_len;

	for (u_int i = 0; i < len; i++) {
		if (strcmp(members->members.members_val[i].id, id) == 0) {
			members->members.members_val[i].role = role;
			members->members.members_val[i].disk_id = 0;
			return;
		}
	}
	members->members.members_val =
	    g_renew(raft_member_t, members->members.members_val, len + 1);
	members->members.members_val[len] =
	    (raft_member_t){.id = g_strdup(id), .role = role};
	members->members.members_len++;
}

static void
remove_member(raft_members_t *members, u_int at)
{
	u_int last = members->members.members_len - 1;

	g_free(members->members.members_val[at].id);
	members->members.members_val[at] = members->members.members_val[last];
	members->members.members_len = last;
}

static int
count_voters(const raft_members_t *members)
{
	int voters = 0;

	for (u_int i = 0; i < members->members.members_len; i++)
		voters += members->members.members_val[i].role == MEMBER_VOTER;
	return voters;
}

/* Applies the next repair to members; false when none is needed. */
static bool
choose_repair(sim_t *sim, raft_members_t *members)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		const sim_node_t *node = sim_find_node(sim, member->id);

		if (member->role == MEMBER_VOTER && member->disk_id != 0 &&
		    member->disk_id != node->disk.disk_id) {
			remove_member(members, i);
			return true;
		}
	}
	for (int i = 0; i < sim->node_count; i++) {
		const sim_node_t *node = &sim->nodes[i];
		const raft_member_t *member =
		    raft_members_find(members, node->id);

		if (member == NULL) {
			sim_set_member(members, node->id, MEMBER_LEARNER);
			return true;
		}
		if (member->role == MEMBER_LEARNER && node->disk.disk_id != 0 &&
		    count_voters(members) < sim->target_voters) {
			sim_set_member(members, node->id, MEMBER_VOTER);
			return true;
		}
	}
	return false;
}

/* Proposes one repair to the leader; false when none is needed. */
bool
sim_repair(sim_t *sim)
{
	sim_node_t *leader = sim_leader(sim);
	raft_members_t members;
	uint64_t index;
	uint64_t term;
	bool wanted;

	if (leader == NULL)
		return true;
	raft_members_copy(&members, raft_members(leader->raft));
	wanted = choose_repair(sim, &members);
	if (wanted &&
	    raft_propose_members(leader->raft, &members, &index, &term) == 0)
		sim->changes++;
	raft_members_clear(&members);
	return wanted;
}

bool
sim_has_lost_voter(sim_t *sim, const raft_members_t *members)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];

		if (member->role == MEMBER_VOTER &&
		    sim_find_node(sim, member->id)->disk.disk_id !=
			member->disk_id)
			return true;
	}
	return false;
}

/* Removes, demotes or promotes a random member. */
void
sim_change_random_member(sim_t *sim)
{
	sim_node_t *leader = sim_leader(sim);
	raft_members_t members;
	uint64_t index;
	uint64_t term;
	u_int at;
	raft_member_t *member;

	/*
	 * While a voter's disk is lost, only repairs are safe: a smaller
	 * membership could need the lost disk for its quorum.
	 */
	if (leader == NULL ||
	    sim_has_lost_voter(sim, raft_members(leader->raft)))
		return;
	raft_members_copy(&members, raft_members(leader->raft));
	at = (u_int)g_rand_int_range(
	    sim->rand, 0, (gint32)members.members.members_len);
	member = &members.members.members_val[at];
	if (member->role == MEMBER_LEARNER && sim_chance(sim, 1, 2)) {
		sim_set_member(&members, member->id, MEMBER_VOTER);
	} else if (member->role == MEMBER_VOTER && sim_chance(sim, 1, 2) &&
		   count_voters(&members) > 2) {
		member->role = MEMBER_LEARNER;
	} else if (member->role == MEMBER_LEARNER ||
		   count_voters(&members) > 2) {
		remove_member(&members, at);
	}
	if (raft_propose_members(leader->raft, &members, &index, &term) == 0)
		sim->changes++;
	raft_members_clear(&members);
}
