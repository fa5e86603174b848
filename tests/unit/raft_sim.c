#include "tests/unit/raft_sim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/raft_internal.h"

typedef enum { WRITE_VOTE, WRITE_APPEND, WRITE_TRUNCATE, WRITE_INSTALL } kind_t;

typedef struct {
	kind_t kind;
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
	uint64_t term;
	uint64_t digest;
} committed_t;

typedef struct {
	int node;
	uint32_t incarnation;
	uint64_t ticket;
	uint64_t min_index;
	int64_t expires_ms;
} read_t;

/* The context of a participant's callbacks. */
typedef struct {
	sim_t *sim;
	sim_node_t *node;
} context_t;

static context_t contexts[SIM_MAX_NODES];

/* Prints every participant, for the report of a failure. */
void
sim_print(const sim_t *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		const sim_node_t *node = &sim->nodes[i];
		const raft_members_t *members;

		printf("%s disk %" PRIu64, node->id, node->disk.disk_id);
		if (node->raft == NULL) {
			printf(" stopped\n");
			continue;
		}
		printf(" state %d term %" PRIu64 " leader %s commit %" PRIu64
		       " last %" PRIu64 " members",
		    raft_state(node->raft), raft_term(node->raft),
		    raft_leader(node->raft), raft_commit_index(node->raft),
		    raft_last_index(node->raft));
		members = raft_members(node->raft);
		for (u_int j = 0; j < members->members.members_len; j++) {
			const raft_member_t *member =
			    &members->members.members_val[j];

			printf(" %s:%s:%" PRIu64, member->id,
			    member->role == MEMBER_VOTER ? "v" : "l",
			    (uint64_t)member->disk_id);
		}
		printf("\n");
	}
}

static void __attribute__((noreturn, format(printf, 2, 3)))
fail(const sim_t *sim, const char *format, ...)
{
	va_list args;

	printf("RAFT_SEED=%u step %" PRId64 ": ", sim->seed, sim->step);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
	sim_print(sim);
	fflush(stdout);
	exit(EXIT_FAILURE);
}

static bool
chance(sim_t *sim, int n, int of)
{
	return n > 0 && g_rand_int_range(sim->rand, 0, of) < n;
}

static int64_t
up_to(sim_t *sim, int64_t max)
{
	return max > 0 ? g_rand_int_range(sim->rand, 0, (gint32)max + 1) : 0;
}

static raft_entry_t *
copy_entry(const raft_entry_t *entry)
{
	raft_entry_t *copy = g_new0(raft_entry_t, 1);

	*copy = *entry;
	copy->data.body_t_val =
	    g_memdup2(entry->data.body_t_val, entry->data.body_t_len);
	return copy;
}

static void
free_entry(gpointer data)
{
	raft_entry_t *entry = data;

	g_free(entry->data.body_t_val);
	g_free(entry);
}

static void
free_write(gpointer data)
{
	write_t *write = data;

	if (write->entry != NULL)
		free_entry(write->entry);
	if (write->data != NULL)
		g_byte_array_unref(write->data);
	raft_members_clear(&write->members);
	g_free(write);
}

static void
free_packet(gpointer data)
{
	packet_t *packet = data;

	g_byte_array_unref(packet->bytes);
	g_free(packet);
}

static GByteArray *
copy_bytes(const uint8_t *data, size_t len)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, data, (guint)len);
	return bytes;
}

static uint64_t
entry_digest(uint64_t before, const raft_entry_t *entry)
{
	uint64_t head[3] = {entry->index, entry->term, entry->kind};
	uint64_t digest = XXH64(head, sizeof(head), before);

	/* Entry 1 differs between participants in the disks they know. */
	if (entry->index == 1 || entry->data.body_t_len == 0)
		return digest;
	return XXH64(entry->data.body_t_val, entry->data.body_t_len, digest);
}

/* ---- disk ---- */

static void
disk_reset(sim_disk_t *disk, uint64_t disk_id)
{
	raft_members_clear(&disk->members);
	if (disk->snapshot != NULL)
		g_byte_array_unref(disk->snapshot);
	if (disk->log != NULL)
		g_ptr_array_unref(disk->log);
	memset(disk, 0, sizeof(*disk));
	disk->disk_id = disk_id;
	disk->snapshot = g_byte_array_new();
	disk->log = g_ptr_array_new_with_free_func(free_entry);
}

static void
disk_snapshot(sim_disk_t *disk, uint64_t index, uint64_t term,
    const GByteArray *data, const raft_members_t *members)
{
	g_byte_array_set_size(disk->snapshot, 0);
	g_byte_array_append(disk->snapshot, data->data, data->len);
	raft_members_clear(&disk->members);
	raft_members_copy(&disk->members, members);
	disk->snapshot_index = index;
	disk->snapshot_term = term;
}

static void
disk_write(sim_disk_t *disk, const write_t *write)
{
	switch (write->kind) {
	case WRITE_VOTE:
		disk->term = write->term;
		g_strlcpy(disk->vote, write->vote, sizeof(disk->vote));
		break;
	case WRITE_APPEND:
		g_assert(write->entry->index ==
			 disk->snapshot_index + disk->log->len + 1);
		g_ptr_array_add(disk->log, copy_entry(write->entry));
		break;
	case WRITE_TRUNCATE:
		g_assert(write->index > disk->snapshot_index);
		g_ptr_array_set_size(
		    disk->log, (gint)(write->index - disk->snapshot_index - 1));
		break;
	case WRITE_INSTALL:
		disk_snapshot(disk, write->index, write->term, write->data,
		    &write->members);
		g_ptr_array_set_size(disk->log, 0);
		break;
	}
}

static bool
disk_has(const sim_disk_t *disk, uint64_t index, uint64_t term)
{
	const raft_entry_t *entry;

	if (index <= disk->snapshot_index)
		return true;
	if (index > disk->snapshot_index + disk->log->len)
		return false;
	entry = g_ptr_array_index(disk->log, index - disk->snapshot_index - 1);
	return entry->term == term;
}

static write_t *
add_write(context_t *context, kind_t kind)
{
	write_t *write = g_new0(write_t, 1);

	if (context->node->disk.disk_id == 0)
		fail(context->sim, "%s writes without a disk",
		    context->node->id);
	write->kind = kind;
	g_ptr_array_add(context->node->pending, write);
	return write;
}

/* ---- callbacks ---- */

static sim_node_t *
find_node(sim_t *sim, const char *id)
{
	for (int i = 0; i < sim->node_count; i++) {
		if (strcmp(sim->nodes[i].id, id) == 0)
			return &sim->nodes[i];
	}
	return NULL;
}

static void
post(sim_t *sim, const raft_message_t *message, int to)
{
	packet_t *packet = g_new0(packet_t, 1);
	raft_message_t *value = (raft_message_t *)message;
	u_long size = xdr_sizeof((xdrproc_t)xdr_raft_message_t, value);
	XDR xdr;

	packet->due_ms = sim->now_ms + 1 + up_to(sim, sim->faults.max_delay_ms);
	/* A few are very late, to reach later terms and incarnations. */
	if (sim->faults.loss > 0 && chance(sim, 1, 100))
		packet->due_ms += up_to(sim, 5000);
	packet->to = to;
	packet->bytes = g_byte_array_sized_new((guint)size);
	g_byte_array_set_size(packet->bytes, (guint)size);
	xdrmem_create(
	    &xdr, (char *)packet->bytes->data, (u_int)size, XDR_ENCODE);
	if (!xdr_raft_message_t(&xdr, value))
		fail(sim, "message cannot be encoded");
	xdr_destroy(&xdr);
	g_ptr_array_add(sim->network, packet);
}

static void
on_send(void *ctx, const raft_message_t *message)
{
	context_t *context = ctx;
	sim_t *sim = context->sim;
	sim_node_t *to = find_node(sim, message->to);

	if (to == NULL || context->node->isolated || to->isolated ||
	    chance(sim, sim->faults.loss, 100))
		return;
	post(sim, message, (int)(to - sim->nodes));
	if (chance(sim, sim->faults.doubling, 100))
		post(sim, message, (int)(to - sim->nodes));
}

static void
on_save_vote(void *ctx, uint64_t term, const char *vote)
{
	write_t *write = add_write(ctx, WRITE_VOTE);

	write->term = term;
	g_strlcpy(write->vote, vote, sizeof(write->vote));
}

/* Two entries with one index and term must be the same (log matching). */
static void
on_append(void *ctx, const raft_entry_t *entry)
{
	context_t *context = ctx;
	char *key = g_strdup_printf("%" PRIu64 "/%" PRIu64,
	    (uint64_t)entry->index, (uint64_t)entry->term);
	uint64_t digest = entry_digest(0, entry);
	uint64_t *known = g_hash_table_lookup(context->sim->contents, key);

	if (known != NULL && *known != digest)
		fail(context->sim, "%s: two entries %s differ",
		    context->node->id, key);
	if (known == NULL)
		g_hash_table_insert(context->sim->contents, g_strdup(key),
		    g_memdup2(&digest, sizeof(digest)));
	g_free(key);
	add_write(context, WRITE_APPEND)->entry = copy_entry(entry);
}

static void
on_truncate(void *ctx, uint64_t from_index)
{
	context_t *context = ctx;

	if (from_index <= context->node->applied)
		fail(context->sim, "%s truncates committed entry %" PRIu64,
		    context->node->id, from_index);
	add_write(context, WRITE_TRUNCATE)->index = from_index;
}

static void
on_sync(void *ctx, uint64_t ticket)
{
	context_t *context = ctx;
	sim_node_t *node = context->node;

	if (node->sync_ticket != 0)
		fail(context->sim, "%s: two syncs in flight", node->id);
	node->sync_ticket = ticket;
	node->sync_count = node->pending->len;
	node->sync_due_ms =
	    context->sim->now_ms + 1 +
	    up_to(context->sim, context->sim->faults.max_sync_ms);
}

/* A committed entry must be durable on a quorum of the leader's voters. */
static void
check_durable(sim_t *sim, const sim_node_t *node, const raft_entry_t *entry)
{
	const raft_members_t *members = raft_members(node->raft);
	int voters = 0;
	int durable = 0;

	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		const sim_node_t *voter = find_node(sim, member->id);

		if (member->role != MEMBER_VOTER)
			continue;
		voters++;
		/* A disk lost since its acknowledgement is a fault, not a
		 * violation. */
		durable += voter->wiped ||
			   (member->disk_id != 0 &&
			       member->disk_id != voter->disk.disk_id) ||
			   disk_has(&voter->disk, entry->index, entry->term);
	}
	if (durable * 2 <= voters)
		fail(sim,
		    "%s committed entry %" PRIu64
		    " that is durable on %d of %d voters",
		    node->id, (uint64_t)entry->index, durable, voters);
}

static void
on_apply(void *ctx, const raft_entry_t *entry)
{
	context_t *context = ctx;
	sim_t *sim = context->sim;
	sim_node_t *node = context->node;
	committed_t committed;

	if (entry->index != node->applied + 1)
		fail(sim, "%s applies entry %" PRIu64 " after %" PRIu64,
		    node->id, (uint64_t)entry->index, node->applied);
	node->applied = entry->index;
	node->applied_term = entry->term;
	node->digest = entry_digest(node->digest, entry);
	if (entry->kind == ENTRY_MEMBERS) {
		raft_members_clear(&node->members);
		raft_members_decode(entry, &node->members);
	}
	if (entry->index <= sim->committed->len) {
		committed = g_array_index(
		    sim->committed, committed_t, entry->index - 1);
		if (committed.digest != node->digest)
			fail(sim, "%s applies another entry %" PRIu64, node->id,
			    (uint64_t)entry->index);
		return;
	}
	if (raft_state(node->raft) != RAFT_LEADER)
		fail(sim, "%s commits entry %" PRIu64 " without leading",
		    node->id, (uint64_t)entry->index);
	check_durable(sim, node, entry);
	committed.term = entry->term;
	committed.digest = node->digest;
	g_array_append_val(sim->committed, committed);
}

static void
on_snapshot_read(void *ctx, uint64_t *index, uint64_t *term,
    const uint8_t **data, size_t *len, raft_members_t *members)
{
	sim_node_t *node = ((context_t *)ctx)->node;

	*index = node->snapshot_index;
	*term = node->snapshot_term;
	*data = node->snapshot->data;
	*len = node->snapshot->len;
	*members = node->snapshot_members;
}

static void
set_snapshot(sim_node_t *node, uint64_t index, uint64_t term,
    const uint8_t *data, size_t len, const raft_members_t *members)
{
	GByteArray *bytes = copy_bytes(data, len);
	raft_members_t copy;

	raft_members_copy(&copy, members);
	raft_members_clear(&node->snapshot_members);
	g_byte_array_unref(node->snapshot);
	node->snapshot = bytes;
	node->snapshot_members = copy;
	node->snapshot_index = index;
	node->snapshot_term = term;
}

/* Loads the state machine from the node's snapshot. */
static void
load_snapshot(sim_t *sim, sim_node_t *node)
{
	node->applied = node->snapshot_index;
	node->applied_term = node->snapshot_term;
	node->digest = 0;
	raft_members_clear(&node->members);
	raft_members_copy(&node->members, &node->snapshot_members);
	if (node->applied == 0)
		return;
	memcpy(&node->digest, node->snapshot->data, sizeof(node->digest));
	if (node->applied > sim->committed->len ||
	    g_array_index(sim->committed, committed_t, node->applied - 1)
		    .digest != node->digest)
		fail(sim,
		    "%s: snapshot at %" PRIu64 " is not of committed state",
		    node->id, node->applied);
}

static void
on_snapshot_install(void *ctx, uint64_t index, uint64_t term,
    const uint8_t *data, size_t len, const raft_members_t *members)
{
	context_t *context = ctx;
	write_t *write;

	if (index <= context->node->applied)
		fail(context->sim, "%s installs an older snapshot",
		    context->node->id);
	context->sim->installs++;
	set_snapshot(context->node, index, term, data, len, members);
	load_snapshot(context->sim, context->node);
	if (context->node->disk.disk_id == 0)
		return;
	write = add_write(context, WRITE_INSTALL);
	write->index = index;
	write->term = term;
	write->data = copy_bytes(data, len);
	raft_members_copy(&write->members, members);
}

static void
on_state_changed(void *ctx, raft_state_t state, uint64_t term)
{
	context_t *context = ctx;
	sim_t *sim = context->sim;
	const char *known;
	guint index;

	if (state != RAFT_LEADER)
		return;
	sim->elections++;
	known = g_hash_table_lookup(sim->leaders, GUINT_TO_POINTER(term));
	if (known != NULL)
		fail(sim, "%s and %s were elected in term %" PRIu64, known,
		    context->node->id, term);
	g_hash_table_insert(
	    sim->leaders, GUINT_TO_POINTER(term), context->node->id);
	/* A late majority can elect a leader whose term is already over. */
	for (index = sim->committed->len; index > 0; index--) {
		if (g_array_index(sim->committed, committed_t, index - 1).term <
		    term)
			break;
	}
	if (context->node->raft != NULL &&
	    raft_last_index(context->node->raft) < index)
		fail(sim, "%s leads without committed entries",
		    context->node->id);
}

static const raft_callbacks_t callbacks = {
    .send = on_send,
    .save_vote = on_save_vote,
    .append = on_append,
    .truncate = on_truncate,
    .sync = on_sync,
    .apply = on_apply,
    .snapshot_read = on_snapshot_read,
    .snapshot_install = on_snapshot_install,
    .state_changed = on_state_changed,
};

/* ---- nodes ---- */

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
	    .may_bootstrap = node->is_first && !node->wiped,
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
	set_snapshot(node, node->disk.snapshot_index, node->disk.snapshot_term,
	    node->disk.snapshot->data, node->disk.snapshot->len,
	    &node->disk.members);
	load_snapshot(sim, node);
	node->commit_seen = 0;
	node->incarnation++;
	node->raft =
	    raft_create(&options, &callbacks, &contexts[node - sim->nodes]);
	for (guint i = 0; i < node->disk.log->len; i++)
		raft_restore_entry(
		    node->raft, g_ptr_array_index(node->disk.log, i));
	raft_start(node->raft, sim_node_clock(sim, node));
}

/* Stops a node; a random part of its unsynced writes survives. */
void
sim_crash(sim_t *sim, sim_node_t *node, int percent_kept)
{
	guint kept = node->pending->len * (guint)percent_kept / 100;

	if (node->raft == NULL)
		return;
	raft_destroy(node->raft);
	node->raft = NULL;
	for (guint i = 0; i < kept; i++)
		disk_write(&node->disk, g_ptr_array_index(node->pending, i));
	g_ptr_array_set_size(node->pending, 0);
	node->sync_ticket = 0;
	node->paused_until_ms = 0;
}

/* Replaces the disk of a stopped node by an empty one. */
void
sim_wipe(sim_t *sim, sim_node_t *node)
{
	g_assert(node->raft == NULL);
	disk_reset(&node->disk, ++sim->next_disk_id);
	node->wiped = true;
	sim->wipes++;
}

/* Whether every present membership keeps a quorum of disks without node's. */
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
			const sim_node_t *other = find_node(sim, member->id);

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

/* Takes a snapshot of the applied state if the storage is idle. */
void
sim_snapshot(sim_t *sim, sim_node_t *node)
{
	GByteArray *data;

	if (node->raft == NULL || node->pending->len > 0 ||
	    node->applied == 0 || node->applied <= node->snapshot_index ||
	    (node->disk.disk_id != 0 &&
		!disk_has(&node->disk, node->applied, node->applied_term)))
		return;
	data = copy_bytes((uint8_t *)&node->digest, sizeof(node->digest));
	g_byte_array_set_size(data, (guint)(sizeof(uint64_t) + sim->padding));
	memset(data->data + sizeof(uint64_t), 'x', sim->padding);
	set_snapshot(node, node->applied, node->applied_term, data->data,
	    data->len, &node->members);
	if (node->disk.disk_id != 0) {
		guint dropped =
		    (guint)(node->applied - node->disk.snapshot_index);

		disk_snapshot(&node->disk, node->applied, node->applied_term,
		    data, &node->members);
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

/* ---- membership ---- */

static void
set_member(raft_members_t *members, const char *id, member_role_t role)
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

/* Chooses the next repair of the membership; false when nothing is left. */
static bool
choose_repair(sim_t *sim, raft_members_t *members)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		const sim_node_t *node = find_node(sim, member->id);

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
			set_member(members, node->id, MEMBER_LEARNER);
			return true;
		}
		if (member->role == MEMBER_LEARNER && node->disk.disk_id != 0 &&
		    count_voters(members) < sim->target_voters) {
			set_member(members, node->id, MEMBER_VOTER);
			return true;
		}
	}
	return false;
}

/* Proposes one repair as operator; false when the membership is in order. */
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

static bool
has_lost_voter(sim_t *sim, const raft_members_t *members)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];

		if (member->role == MEMBER_VOTER &&
		    find_node(sim, member->id)->disk.disk_id != member->disk_id)
			return true;
	}
	return false;
}

/* Removes, demotes or promotes a random member. */
static void
change_at_random(sim_t *sim)
{
	sim_node_t *leader = sim_leader(sim);
	raft_members_t members;
	uint64_t index;
	uint64_t term;
	u_int at;
	raft_member_t *member;

	/*
	 * With a lost disk, only repairs: a smaller membership could have its
	 * quorum on the lost disk.
	 */
	if (leader == NULL || has_lost_voter(sim, raft_members(leader->raft)))
		return;
	raft_members_copy(&members, raft_members(leader->raft));
	at = (u_int)g_rand_int_range(
	    sim->rand, 0, (gint32)members.members.members_len);
	member = &members.members.members_val[at];
	if (member->role == MEMBER_LEARNER && chance(sim, 1, 2)) {
		set_member(&members, member->id, MEMBER_VOTER);
	} else if (member->role == MEMBER_VOTER && chance(sim, 1, 2) &&
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

/* ---- steps ---- */

static void
inject(sim_t *sim)
{
	sim_node_t *node =
	    &sim->nodes[g_rand_int_range(sim->rand, 0, sim->node_count)];
	const sim_faults_t *faults = &sim->faults;

	if (node->raft != NULL && chance(sim, faults->crashes_per_10k, 10000)) {
		sim_crash(sim, node, (int)up_to(sim, 100));
		node->restart_ms = sim->now_ms + up_to(sim, 3000);
	}
	if (node->raft != NULL && chance(sim, faults->wipes_per_10k, 10000) &&
	    sim_wipe_is_survivable(sim, node)) {
		sim_crash(sim, node, 0);
		sim_wipe(sim, node);
		node->restart_ms = sim->now_ms + up_to(sim, 1000);
	}
	if (node->raft != NULL && chance(sim, faults->pauses_per_10k, 10000))
		node->paused_until_ms = sim->now_ms + up_to(sim, 3000);
	if (chance(sim, faults->partitions_per_10k, 10000))
		node->isolated_until_ms = sim->now_ms + up_to(sim, 3000);
	if (node->isolated_until_ms != 0)
		node->isolated = sim->now_ms < node->isolated_until_ms;
	if (chance(sim, faults->snapshots_per_10k, 10000))
		sim_snapshot(sim, node);
	if (chance(sim, faults->changes_per_10k, 10000)) {
		if (chance(sim, 1, 4) || !sim_repair(sim))
			change_at_random(sim);
	}
}

static void
clients(sim_t *sim)
{
	sim_node_t *node =
	    &sim->nodes[g_rand_int_range(sim->rand, 0, sim->node_count)];
	uint64_t index;

	/* Mostly the newest leader, else any node, which may believe to lead.
	 */
	if (sim_leader(sim) != NULL && chance(sim, 3, 4))
		node = sim_leader(sim);
	if (node->raft == NULL || node->paused_until_ms > sim->now_ms)
		return;
	if (chance(sim, sim->faults.reads, 100)) {
		read_t read = {.node = (int)(node - sim->nodes),
		    .incarnation = node->incarnation,
		    .min_index = sim->committed->len,
		    .expires_ms = sim->now_ms + 2000};

		if (raft_read_begin(node->raft, &read.ticket) == 0)
			g_array_append_val(sim->read_list, read);
	}
	if (raft_state(node->raft) == RAFT_LEADER &&
	    chance(sim, sim->faults.proposals, 100)) {
		for (int64_t n = up_to(sim, 20); n >= 0; n--)
			sim_propose(sim, node, &index);
	}
}

static void
deliver(sim_t *sim)
{
	GPtrArray *due = g_ptr_array_new_with_free_func(free_packet);
	guint kept = 0;

	for (guint i = 0; i < sim->network->len; i++) {
		packet_t *packet = g_ptr_array_index(sim->network, i);

		if (packet->due_ms <= sim->now_ms &&
		    sim->nodes[packet->to].paused_until_ms <= sim->now_ms)
			g_ptr_array_add(due, packet);
		else
			g_ptr_array_index(sim->network, kept++) = packet;
	}
	/* The free function must not see the moved packets. */
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
			fail(sim, "message cannot be decoded");
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
			disk_write(
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
	for (guint i = 0; i < sim->read_list->len;) {
		read_t read = g_array_index(sim->read_list, read_t, i);
		const sim_node_t *node = &sim->nodes[read.node];
		bool same =
		    node->raft != NULL && node->incarnation == read.incarnation;
		bool ready = same && raft_read_ready(node->raft, read.ticket);

		if (!ready && same && sim->now_ms < read.expires_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->read_list, i);
		sim->reads_done += ready;
		if (ready && raft_applied_index(node->raft) < read.min_index)
			fail(sim,
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
			fail(sim, "%s: commit index went back", node->id);
		node->commit_seen = raft_commit_index(node->raft);
		if (raft_applied_index(node->raft) != node->applied)
			fail(sim, "%s: applied index is wrong", node->id);
		if (!raft_has_quorum_lease(
			node->raft, sim_node_clock(sim, node)))
			continue;
		if (lease != NULL)
			fail(sim, "%s and %s hold the lease", lease->id,
			    node->id);
		lease = node;
	}
}

void
sim_step(sim_t *sim)
{
	sim->step++;
	sim->now_ms += SIM_STEP_MS;
	inject(sim);
	clients(sim);
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

/* Ends all faults and starts every node. */
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
 * Repairs the membership, commits one more entry and waits until every node has
 * applied it.
 */
bool
sim_settle(sim_t *sim, int64_t ms)
{
	int64_t end = sim->now_ms + ms;
	uint64_t index = UINT64_MAX;

	while (sim->now_ms < end) {
		sim_node_t *leader = sim_leader(sim);

		if (leader != NULL && sim->step % 20 == 0 && !sim_repair(sim) &&
		    index == UINT64_MAX)
			sim_propose(sim, leader, &index);
		sim_step(sim);
		if (index != UINT64_MAX && all_applied(sim, index))
			return true;
	}
	return false;
}

static void
add_node(sim_t *sim, bool is_first, bool has_disk)
{
	int i = sim->node_count++;
	sim_node_t *node = &sim->nodes[i];

	g_snprintf(node->id, sizeof(node->id), "n%d", i + 1);
	node->is_first = is_first;
	node->clock_rate = 1.0;
	node->pending = g_ptr_array_new_with_free_func(free_write);
	node->snapshot = g_byte_array_new();
	disk_reset(&node->disk, has_disk ? ++sim->next_disk_id : 0);
	contexts[i] = (context_t){sim, node};
	if (is_first) {
		set_member(&sim->bootstrap, node->id, MEMBER_VOTER);
		if (sim->disks_known)
			sim->bootstrap.members.members_val[i].disk_id =
			    node->disk.disk_id;
	}
}

/*
 * Creates a system of voters and others, all running; the others join as the
 * membership is repaired and the last of them has no disk.
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
	sim->network = g_ptr_array_new_with_free_func(free_packet);
	sim->committed = g_array_new(FALSE, TRUE, sizeof(committed_t));
	sim->read_list = g_array_new(FALSE, TRUE, sizeof(read_t));
	sim->leaders = g_hash_table_new(g_direct_hash, g_direct_equal);
	sim->contents =
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
		disk_reset(&node->disk, 0);
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
	g_array_unref(sim->read_list);
	g_hash_table_unref(sim->leaders);
	g_hash_table_unref(sim->contents);
	g_rand_free(sim->rand);
	g_free(sim);
}
