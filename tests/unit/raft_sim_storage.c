#include "tests/unit/raft_sim_internal.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/raft_internal.h"

context_t sim_contexts[SIM_MAX_NODES];

/* Prints the state of every node, for failure reports. */
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

void __attribute__((noreturn, format(printf, 2, 3)))
sim_fail(const sim_t *sim, const char *format, ...)
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

bool
sim_chance(sim_t *sim, int n, int of)
{
	return n > 0 && g_rand_int_range(sim->rand, 0, of) < n;
}

int64_t
sim_random_up_to(sim_t *sim, int64_t max)
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

void
sim_free_write(gpointer data)
{
	write_t *write = data;

	if (write->entry != NULL)
		free_entry(write->entry);
	if (write->data != NULL)
		g_byte_array_unref(write->data);
	raft_members_clear(&write->members);
	g_free(write);
}

void
sim_free_packet(gpointer data)
{
	packet_t *packet = data;

	g_byte_array_unref(packet->bytes);
	g_free(packet);
}

GByteArray *
sim_copy_bytes(const uint8_t *data, size_t len)
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

	/* The disk ids in entry 1 differ between participants. */
	if (entry->index == 1 || entry->data.body_t_len == 0)
		return digest;
	return XXH64(entry->data.body_t_val, entry->data.body_t_len, digest);
}

/* ---- disk ---- */

void
sim_disk_reset(sim_disk_t *disk, uint64_t disk_id)
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

void
sim_disk_snapshot(sim_disk_t *disk, uint64_t index, uint64_t term,
    const GByteArray *data, const raft_members_t *members)
{
	g_byte_array_set_size(disk->snapshot, 0);
	g_byte_array_append(disk->snapshot, data->data, data->len);
	raft_members_clear(&disk->members);
	raft_members_copy(&disk->members, members);
	disk->snapshot_index = index;
	disk->snapshot_term = term;
}

void
sim_disk_write(sim_disk_t *disk, const write_t *write)
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
		sim_disk_snapshot(disk, write->index, write->term, write->data,
		    &write->members);
		g_ptr_array_set_size(disk->log, 0);
		break;
	}
}

bool
sim_disk_has(const sim_disk_t *disk, uint64_t index, uint64_t term)
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
add_write(context_t *context, write_kind_t kind)
{
	write_t *write = g_new0(write_t, 1);

	if (context->node->disk.disk_id == 0)
		sim_fail(context->sim, "%s writes without a disk",
		    context->node->id);
	write->kind = kind;
	g_ptr_array_add(context->node->pending, write);
	return write;
}

/* ---- callbacks ---- */

sim_node_t *
sim_find_node(sim_t *sim, const char *id)
{
	for (int i = 0; i < sim->node_count; i++) {
		if (strcmp(sim->nodes[i].id, id) == 0)
			return &sim->nodes[i];
	}
	return NULL;
}

static void
enqueue_packet(sim_t *sim, const raft_message_t *message, int to)
{
	packet_t *packet = g_new0(packet_t, 1);
	raft_message_t *value = (raft_message_t *)message;
	u_long size = xdr_sizeof((xdrproc_t)xdr_raft_message_t, value);
	XDR xdr;

	packet->due_ms =
	    sim->now_ms + 1 + sim_random_up_to(sim, sim->faults.max_delay_ms);
	/* Delay 1 % by up to 5 s, into later terms and incarnations. */
	if (sim->faults.loss > 0 && sim_chance(sim, 1, 100))
		packet->due_ms += sim_random_up_to(sim, 5000);
	packet->to = to;
	packet->bytes = g_byte_array_sized_new((guint)size);
	g_byte_array_set_size(packet->bytes, (guint)size);
	xdrmem_create(
	    &xdr, (char *)packet->bytes->data, (u_int)size, XDR_ENCODE);
	if (!xdr_raft_message_t(&xdr, value))
		sim_fail(sim, "message cannot be encoded");
	xdr_destroy(&xdr);
	g_ptr_array_add(sim->network, packet);
}

static void
on_send(void *ctx, const raft_message_t *message)
{
	context_t *context = ctx;
	sim_t *sim = context->sim;
	sim_node_t *to = sim_find_node(sim, message->to);

	if (to == NULL || context->node->isolated || to->isolated ||
	    sim_chance(sim, sim->faults.loss, 100))
		return;
	enqueue_packet(sim, message, (int)(to - sim->nodes));
	if (sim_chance(sim, sim->faults.duplication, 100))
		enqueue_packet(sim, message, (int)(to - sim->nodes));
}

static void
on_save_vote(void *ctx, uint64_t term, const char *vote)
{
	write_t *write = add_write(ctx, WRITE_VOTE);

	write->term = term;
	g_strlcpy(write->vote, vote, sizeof(write->vote));
}

/* Entries with equal index and term must be equal (log matching). */
static void
on_append(void *ctx, const raft_entry_t *entry)
{
	context_t *context = ctx;
	char *key = g_strdup_printf("%" PRIu64 "/%" PRIu64,
	    (uint64_t)entry->index, (uint64_t)entry->term);
	uint64_t digest = entry_digest(0, entry);
	uint64_t *known = g_hash_table_lookup(context->sim->entry_digests, key);

	if (known != NULL && *known != digest)
		sim_fail(context->sim, "%s: two entries %s differ",
		    context->node->id, key);
	if (known == NULL)
		g_hash_table_insert(context->sim->entry_digests, g_strdup(key),
		    g_memdup2(&digest, sizeof(digest)));
	g_free(key);
	add_write(context, WRITE_APPEND)->entry = copy_entry(entry);
}

static void
on_truncate(void *ctx, uint64_t from_index)
{
	context_t *context = ctx;

	if (from_index <= context->node->applied)
		sim_fail(context->sim, "%s truncates committed entry %" PRIu64,
		    context->node->id, from_index);
	add_write(context, WRITE_TRUNCATE)->index = from_index;
}

static void
on_sync(void *ctx, uint64_t ticket)
{
	context_t *context = ctx;
	const sim_faults_t *faults = &context->sim->faults;
	sim_node_t *node = context->node;

	if (node->sync_ticket != 0)
		sim_fail(context->sim, "%s: two syncs in flight", node->id);
	node->sync_ticket = ticket;
	node->sync_count = node->pending->len;
	node->sync_due_ms =
	    context->sim->now_ms + 1 +
	    MAX(faults->min_sync_ms,
		sim_random_up_to(context->sim, faults->max_sync_ms));
}

/* A committed entry must be durable on a quorum of the leader's voters. */
static void
check_quorum_durable(
    sim_t *sim, const sim_node_t *node, const raft_entry_t *entry)
{
	const raft_members_t *members = raft_members(node->raft);
	int voters = 0;
	int durable = 0;

	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		const sim_node_t *voter = sim_find_node(sim, member->id);

		if (member->role != MEMBER_VOTER)
			continue;
		voters++;
		/* A disk may be lost after it acknowledged the entry. */
		durable +=
		    voter->wiped ||
		    (member->disk_id != 0 &&
			member->disk_id != voter->disk.disk_id) ||
		    sim_disk_has(&voter->disk, entry->index, entry->term);
	}
	if (durable * 2 <= voters)
		sim_fail(sim,
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
		sim_fail(sim, "%s applies entry %" PRIu64 " after %" PRIu64,
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
			sim_fail(sim, "%s applies a different entry %" PRIu64,
			    node->id, (uint64_t)entry->index);
		return;
	}
	if (raft_state(node->raft) != RAFT_LEADER)
		sim_fail(sim, "%s commits entry %" PRIu64 " but is not leader",
		    node->id, (uint64_t)entry->index);
	check_quorum_durable(sim, node, entry);
	committed.term = raft_term(node->raft);
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

void
sim_set_snapshot(sim_node_t *node, uint64_t index, uint64_t term,
    const uint8_t *data, size_t len, const raft_members_t *members)
{
	GByteArray *bytes = sim_copy_bytes(data, len);
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
void
sim_load_snapshot(sim_t *sim, sim_node_t *node)
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
		sim_fail(sim,
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
		sim_fail(context->sim, "%s installs an older snapshot",
		    context->node->id);
	context->sim->installs++;
	sim_set_snapshot(context->node, index, term, data, len, members);
	sim_load_snapshot(context->sim, context->node);
	if (context->node->disk.disk_id == 0)
		return;
	write = add_write(context, WRITE_INSTALL);
	write->index = index;
	write->term = term;
	write->data = sim_copy_bytes(data, len);
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
		sim_fail(sim, "%s and %s were elected in term %" PRIu64, known,
		    context->node->id, term);
	g_hash_table_insert(
	    sim->leaders, GUINT_TO_POINTER(term), context->node->id);
	/*
	 * A leader must have all entries committed in lower terms.  Delayed
	 * votes can elect a leader of an outdated term, which may lack entries
	 * committed in later terms.
	 */
	for (index = sim->committed->len; index > 0; index--) {
		if (g_array_index(sim->committed, committed_t, index - 1).term <
		    term)
			break;
	}
	if (context->node->raft != NULL &&
	    raft_last_index(context->node->raft) < index)
		sim_fail(sim, "%s was elected but lacks committed entries",
		    context->node->id);
}

const raft_callbacks_t sim_callbacks = {
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
