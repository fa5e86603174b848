#include "tests/unit/raft_sim_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "state/raft_internal.h"

int64_t
sim_node_clock(const sim_t *sim, const sim_node_t *node)
{
	return node->clock_offset_ms +
	       (int64_t)((double)sim->now_ms * node->clock_rate);
}

void
sim_restart(sim_t *sim, sim_node_t *node)
{
	raft_options_t options = {
	    .id = node->id,
	    .election_timeout_ms = SIM_ELECTION_MS,
	    .heartbeat_ms = SIM_HEARTBEAT_MS,
	    .seed = g_rand_int(sim->rand),
	    .max_batch_entries = 16,
	    .bootstrap = sim->bootstrap,
	    .may_bootstrap = node->is_initial_voter && !node->wiped,
	    .saved =
		{
		    .disk_id = node->disk.disk_id,
		    .term = node->disk.term,
		    .snapshot_index = node->disk.snapshot_index,
		    .snapshot_term = node->disk.snapshot_term,
		    .members = node->disk.members,
		},
	};

	g_assert(node->raft == NULL);
	g_strlcpy(
	    options.saved.vote, node->disk.vote, sizeof(options.saved.vote));
	sim_set_snapshot(node, node->disk.snapshot_index,
	    node->disk.snapshot_term, node->disk.snapshot->data,
	    node->disk.snapshot->len, &node->disk.members);
	sim_load_snapshot(sim, node);
	node->commit_seen = 0;
	node->incarnation++;
	node->raft = raft_create(
	    &options, &sim_callbacks, &sim_contexts[node - sim->nodes]);
	for (guint i = 0; i < node->disk.log->len; i++)
		raft_restore_entry(
		    node->raft, g_ptr_array_index(node->disk.log, i));
	raft_start(node->raft, sim_node_clock(sim, node));
}

/* Stops a node; the first percent_kept of its unsynced writes survive. */
void
sim_crash(sim_t *sim, sim_node_t *node, int percent_kept)
{
	guint kept = node->pending->len * (guint)percent_kept / 100;

	if (node->raft == NULL)
		return;
	raft_destroy(node->raft);
	node->raft = NULL;
	for (guint i = 0; i < kept; i++)
		sim_disk_write(
		    &node->disk, g_ptr_array_index(node->pending, i));
	g_ptr_array_set_size(node->pending, 0);
	node->sync_ticket = 0;
	node->paused_until_ms = 0;
}

/* Replaces the disk of a stopped node by an empty one. */
void
sim_wipe(sim_t *sim, sim_node_t *node)
{
	g_assert(node->raft == NULL);
	sim_disk_reset(&node->disk, ++sim->next_disk_id);
	node->wiped = true;
	sim->wipes++;
}

/* Takes a snapshot of the applied state if the storage is idle. */
void
sim_snapshot(sim_t *sim, sim_node_t *node)
{
	GByteArray *data;

	if (node->raft == NULL || node->pending->len > 0 ||
	    node->applied == 0 || node->applied <= node->snapshot_index ||
	    (node->disk.disk_id != 0 &&
		!sim_disk_has(&node->disk, node->applied, node->applied_term)))
		return;
	data = sim_copy_bytes((uint8_t *)&node->digest, sizeof(node->digest));
	g_byte_array_set_size(
	    data, (guint)(sizeof(uint64_t) + sim->snapshot_padding));
	memset(data->data + sizeof(uint64_t), 'x', sim->snapshot_padding);
	sim_set_snapshot(node, node->applied, node->applied_term, data->data,
	    data->len, &node->members);
	if (node->disk.disk_id != 0) {
		guint dropped =
		    (guint)(node->applied - node->disk.snapshot_index);

		sim_disk_snapshot(&node->disk, node->applied,
		    node->applied_term, data, &node->members);
		g_ptr_array_remove_range(node->disk.log, 0, dropped);
	}
	g_byte_array_unref(data);
	raft_compacted(node->raft, node->applied, node->applied_term);
}

sim_node_t *
sim_leader(sim_t *sim)
{
	sim_node_t *leader = NULL;

	for (int i = 0; i < sim->node_count; i++) {
		sim_node_t *node = &sim->nodes[i];

		if (node->raft != NULL &&
		    raft_state(node->raft) == RAFT_LEADER &&
		    (leader == NULL ||
			raft_term(node->raft) > raft_term(leader->raft)))
			leader = node;
	}
	return leader;
}

int
sim_propose(sim_t *sim, sim_node_t *node, uint64_t *index)
{
	uint64_t value = ++sim->next_value;
	uint64_t term;

	return raft_propose(
	    node->raft, (uint8_t *)&value, sizeof(value), index, &term);
}

static void
inject_faults(sim_t *sim)
{
	sim_node_t *node =
	    &sim->nodes[g_rand_int_range(sim->rand, 0, sim->node_count)];
	const sim_faults_t *faults = &sim->faults;

	if (node->raft != NULL &&
	    sim_chance(sim, faults->crashes_per_10k, 10000)) {
		sim_crash(sim, node, (int)sim_random_up_to(sim, 100));
		node->restart_ms = sim->now_ms + sim_random_up_to(sim, 3000);
	}
	if (node->raft != NULL &&
	    sim_chance(sim, faults->wipes_per_10k, 10000) &&
	    sim_wipe_is_survivable(sim, node)) {
		sim_crash(sim, node, 0);
		sim_wipe(sim, node);
		node->restart_ms = sim->now_ms + sim_random_up_to(sim, 1000);
	}
	if (node->raft != NULL &&
	    sim_chance(sim, faults->pauses_per_10k, 10000))
		node->paused_until_ms =
		    sim->now_ms + sim_random_up_to(sim, 3000);
	if (sim_chance(sim, faults->partitions_per_10k, 10000))
		node->isolated_until_ms =
		    sim->now_ms + sim_random_up_to(sim, 3000);
	if (node->isolated_until_ms != 0)
		node->isolated = sim->now_ms < node->isolated_until_ms;
	if (sim_chance(sim, faults->snapshots_per_10k, 10000))
		sim_snapshot(sim, node);
	if (sim_chance(sim, faults->changes_per_10k, 10000)) {
		if (sim_chance(sim, 1, 4) || !sim_repair(sim))
			sim_change_random_member(sim);
	}
}

static void
run_clients(sim_t *sim)
{
	sim_node_t *node =
	    &sim->nodes[g_rand_int_range(sim->rand, 0, sim->node_count)];
	uint64_t index;

	/* Mostly the newest leader, otherwise any node, such as an old leader.
	 */
	if (sim_leader(sim) != NULL && sim_chance(sim, 3, 4))
		node = sim_leader(sim);
	if (node->raft == NULL || node->paused_until_ms > sim->now_ms)
		return;
	if (sim_chance(sim, sim->faults.reads, 100)) {
		read_t read = {.node = (int)(node - sim->nodes),
		    .incarnation = node->incarnation,
		    .min_index = sim->committed->len,
		    .expires_ms = sim->now_ms + 2000};

		if (raft_read_begin(node->raft, &read.ticket) == 0)
			g_array_append_val(sim->pending_reads, read);
	}
	if (raft_state(node->raft) == RAFT_LEADER &&
	    sim_chance(sim, sim->faults.proposals, 100)) {
		for (int64_t n = sim_random_up_to(sim, 20); n >= 0; n--)
			sim_propose(sim, node, &index);
	}
}

static void
deliver(sim_t *sim)
{
	GPtrArray *due = g_ptr_array_new_with_free_func(sim_free_packet);
	guint kept = 0;

	for (guint i = 0; i < sim->network->len; i++) {
		packet_t *packet = g_ptr_array_index(sim->network, i);

		if (packet->due_ms <= sim->now_ms &&
		    sim->nodes[packet->to].paused_until_ms <= sim->now_ms)
			g_ptr_array_add(due, packet);
		else
			g_ptr_array_index(sim->network, kept++) = packet;
	}
	/* Shrinking with g_ptr_array_set_size would free moved packets. */
	sim->network->len = kept;
	for (guint i = 0; i < due->len; i++) {
		packet_t *packet = g_ptr_array_index(due, i);
		sim_node_t *node = &sim->nodes[packet->to];
		raft_message_t message = {0};
		XDR xdr;

		if (node->raft == NULL || node->isolated)
			continue;
		xdrmem_create(&xdr, (char *)packet->bytes->data,
		    packet->bytes->len, XDR_DECODE);
		if (!xdr_raft_message_t(&xdr, &message))
			sim_fail(sim, "message cannot be decoded");
		raft_receive(node->raft, &message, sim_node_clock(sim, node));
		xdr_free((xdrproc_t)xdr_raft_message_t, &message);
		xdr_destroy(&xdr);
	}
	g_ptr_array_unref(due);
}

static void
run_node(sim_t *sim, sim_node_t *node)
{
	if (node->raft == NULL) {
		if (node->restart_ms > 0 && sim->now_ms >= node->restart_ms) {
			node->restart_ms = 0;
			sim_restart(sim, node);
		}
		return;
	}
	if (node->paused_until_ms > sim->now_ms)
		return;
	if (node->sync_ticket != 0 && sim->now_ms >= node->sync_due_ms) {
		uint64_t ticket = node->sync_ticket;

		for (guint i = 0; i < node->sync_count; i++)
			sim_disk_write(
			    &node->disk, g_ptr_array_index(node->pending, i));
		if (node->sync_count > 0)
			g_ptr_array_remove_range(
			    node->pending, 0, node->sync_count);
		node->sync_ticket = 0;
		raft_synced(node->raft, ticket, sim_node_clock(sim, node));
	}
	raft_tick(node->raft, sim_node_clock(sim, node));
}

static void
check_reads(sim_t *sim)
{
	for (guint i = 0; i < sim->pending_reads->len;) {
		read_t read = g_array_index(sim->pending_reads, read_t, i);
		const sim_node_t *node = &sim->nodes[read.node];
		bool same =
		    node->raft != NULL && node->incarnation == read.incarnation;
		bool ready = same && raft_read_ready(node->raft, read.ticket);

		if (!ready && same && sim->now_ms < read.expires_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->pending_reads, i);
		sim->reads_done += ready;
		if (ready && raft_applied_index(node->raft) < read.min_index)
			sim_fail(sim,
			    "%s: stale read at %" PRIu64
			    ", committed before it: %" PRIu64,
			    node->id, raft_applied_index(node->raft),
			    read.min_index);
	}
}

static void
check_nodes(sim_t *sim)
{
	const sim_node_t *lease = NULL;

	for (int i = 0; i < sim->node_count; i++) {
		sim_node_t *node = &sim->nodes[i];

		if (node->raft == NULL)
			continue;
		if (raft_commit_index(node->raft) < node->commit_seen)
			sim_fail(sim, "%s: commit index went back", node->id);
		node->commit_seen = raft_commit_index(node->raft);
		if (raft_applied_index(node->raft) != node->applied)
			sim_fail(sim,
			    "%s: applied index differs from callbacks",
			    node->id);
		if (!raft_has_quorum_lease(
			node->raft, sim_node_clock(sim, node)))
			continue;
		if (lease != NULL)
			sim_fail(sim, "%s and %s hold the lease", lease->id,
			    node->id);
		lease = node;
	}
}

void
sim_step(sim_t *sim)
{
	sim->step++;
	sim->now_ms += SIM_STEP_MS;
	inject_faults(sim);
	run_clients(sim);
	deliver(sim);
	for (int i = 0; i < sim->node_count; i++)
		run_node(sim, &sim->nodes[i]);
	check_nodes(sim);
	check_reads(sim);
}

void
sim_run(sim_t *sim, int64_t ms)
{
	for (int64_t end = sim->now_ms + ms; sim->now_ms < end;)
		sim_step(sim);
}

sim_node_t *
sim_wait_leader(sim_t *sim, int64_t ms)
{
	int64_t end = sim->now_ms + ms;

	while (sim_leader(sim) == NULL && sim->now_ms < end)
		sim_step(sim);
	return sim_leader(sim);
}

/* Ends all faults and restarts the stopped nodes. */
void
sim_heal(sim_t *sim)
{
	memset(&sim->faults, 0, sizeof(sim->faults));
	sim->faults.max_delay_ms = 2;
	sim->faults.max_sync_ms = 2;
	for (int i = 0; i < sim->node_count; i++) {
		sim->nodes[i].isolated = false;
		sim->nodes[i].isolated_until_ms = 0;
		sim->nodes[i].paused_until_ms = 0;
		if (sim->nodes[i].raft == NULL) {
			sim->nodes[i].restart_ms = 0;
			sim_restart(sim, &sim->nodes[i]);
		}
	}
}

static bool
all_applied(const sim_t *sim, uint64_t index)
{
	for (int i = 0; i < sim->node_count; i++) {
		if (sim->nodes[i].applied < index)
			return false;
	}
	return true;
}

/*
 * Repairs the membership, commits one more entry and waits up to ms until every
 * node has applied it.
 */
bool
sim_settle(sim_t *sim, int64_t ms)
{
	int64_t end = sim->now_ms + ms;
	uint64_t index = UINT64_MAX;
	int64_t proposed_ms = 0;

	while (sim->now_ms < end) {
		sim_node_t *leader = sim_leader(sim);

		/* A proposal to a leader that is being replaced can be lost. */
		if (leader != NULL && sim->step % 20 == 0 && !sim_repair(sim) &&
		    (index == UINT64_MAX || sim->now_ms - proposed_ms > 1000)) {
			sim_propose(sim, leader, &index);
			proposed_ms = sim->now_ms;
		}
		sim_step(sim);
		if (index != UINT64_MAX && all_applied(sim, index))
			return true;
	}
	return false;
}

static void
add_node(sim_t *sim, bool is_initial_voter, bool has_disk)
{
	int i = sim->node_count++;
	sim_node_t *node = &sim->nodes[i];

	g_snprintf(node->id, sizeof(node->id), "n%d", i + 1);
	node->is_initial_voter = is_initial_voter;
	node->clock_rate = 1.0;
	node->pending = g_ptr_array_new_with_free_func(sim_free_write);
	node->snapshot = g_byte_array_new();
	sim_disk_reset(&node->disk, has_disk ? ++sim->next_disk_id : 0);
	sim_contexts[i] = (context_t){sim, node};
	if (is_initial_voter) {
		sim_set_member(&sim->bootstrap, node->id, MEMBER_VOTER);
		if (sim->disks_known)
			sim->bootstrap.members.members_val[i].disk_id =
			    node->disk.disk_id;
	}
}

/*
 * Creates and starts a system of initial voters and other nodes.  sim_repair
 * adds the others to the membership; the last of them has no disk.
 */
sim_t *
sim_create(uint32_t seed, int voters, int others, bool disks_known)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->seed = seed;
	sim->rand = g_rand_new_with_seed(seed);
	sim->disks_known = disks_known;
	sim->target_voters = voters;
	sim->faults.max_delay_ms = 2;
	sim->faults.max_sync_ms = 2;
	sim->network = g_ptr_array_new_with_free_func(sim_free_packet);
	sim->committed = g_array_new(FALSE, TRUE, sizeof(committed_t));
	sim->pending_reads = g_array_new(FALSE, TRUE, sizeof(read_t));
	sim->leaders = g_hash_table_new(g_direct_hash, g_direct_equal);
	sim->entry_digests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < voters + others; i++)
		add_node(
		    sim, i < voters, i < voters || i < voters + others - 1);
	for (int i = 0; i < sim->node_count; i++)
		sim_restart(sim, &sim->nodes[i]);
	return sim;
}

void
sim_destroy(sim_t *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		sim_node_t *node = &sim->nodes[i];

		raft_destroy(node->raft);
		sim_disk_reset(&node->disk, 0);
		g_byte_array_unref(node->disk.snapshot);
		g_ptr_array_unref(node->disk.log);
		g_byte_array_unref(node->snapshot);
		g_ptr_array_unref(node->pending);
		raft_members_clear(&node->members);
		raft_members_clear(&node->snapshot_members);
	}
	raft_members_clear(&sim->bootstrap);
	g_ptr_array_unref(sim->network);
	g_array_unref(sim->committed);
	g_array_unref(sim->pending_reads);
	g_hash_table_unref(sim->leaders);
	g_hash_table_unref(sim->entry_digests);
	g_rand_free(sim->rand);
	g_free(sim);
}
