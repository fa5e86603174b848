#include "state/raft_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

void
raft_members_copy(raft_members_t *to, const raft_members_t *from)
{
	u_int len = from->members.members_len;

	memset(to, 0, sizeof(*to));
	if (len == 0)
		return;
	to->members.members_val = g_new0(raft_member_t, len);
	to->members.members_len = len;
	for (u_int i = 0; i < len; i++) {
		to->members.members_val[i] = from->members.members_val[i];
		to->members.members_val[i].id =
		    g_strdup(from->members.members_val[i].id);
	}
}

void
raft_members_clear(raft_members_t *members)
{
	for (u_int i = 0; i < members->members.members_len; i++)
		g_free(members->members.members_val[i].id);
	g_free(members->members.members_val);
	memset(members, 0, sizeof(*members));
}

/* Decodes a membership entry; false when its data is malformed. */
bool
raft_members_decode(const raft_entry_t *entry, raft_members_t *members)
{
	raft_members_t decoded = {0};
	XDR xdr;
	bool ok;

	xdrmem_create(
	    &xdr, entry->data.body_t_val, entry->data.body_t_len, XDR_DECODE);
	ok = xdr_raft_members_t(&xdr, &decoded);
	xdr_destroy(&xdr);
	if (ok)
		raft_members_copy(members, &decoded);
	xdr_free((xdrproc_t)xdr_raft_members_t, &decoded);
	return ok;
}

/* Appends the XDR form of members to out. */
void
raft_members_encode(const raft_members_t *members, GByteArray *out)
{
	raft_members_t *value = (raft_members_t *)members;
	u_long size = xdr_sizeof((xdrproc_t)xdr_raft_members_t, value);
	guint start = out->len;
	XDR xdr;

	g_byte_array_set_size(out, start + (guint)size);
	xdrmem_create(&xdr, (char *)out->data + start, (u_int)size, XDR_ENCODE);
	if (!xdr_raft_members_t(&xdr, value))
		g_error("membership cannot be encoded");
	xdr_destroy(&xdr);
}

const raft_member_t *
raft_members_find(const raft_members_t *members, const char *id)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		if (strcmp(members->members.members_val[i].id, id) == 0)
			return &members->members.members_val[i];
	}
	return NULL;
}

/* Returns the newest membership in the log, committed or not. */
const raft_members_t *
raft_members(const raft_t *raft)
{
	static const raft_members_t none;

	if (raft->configs->len == 0)
		return &none;
	return &g_array_index(
	    raft->configs, raft_config_t, raft->configs->len - 1)
		    .members;
}

void
raft_config_push(raft_t *raft, uint64_t index, const raft_members_t *members)
{
	raft_config_t config = {.index = index};

	const raft_member_t *self = raft_members_find(members, raft->id);

	/* The other members' entry 1 has disk id 0 for this member. */
	if (self != NULL && raft->disk_id != 0 &&
	    self->disk_id == raft->disk_id)
		raft->bootstrapped = true;
	raft_members_copy(&config.members, members);
	g_array_append_val(raft->configs, config);
}

/* Drops the memberships from from_index on; the one before applies. */
void
raft_config_truncate(raft_t *raft, uint64_t from_index)
{
	bool changed = false;

	while (raft->configs->len > 0) {
		raft_config_t *last = &g_array_index(
		    raft->configs, raft_config_t, raft->configs->len - 1);

		if (last->index < from_index)
			break;
		raft_members_clear(&last->members);
		g_array_set_size(raft->configs, raft->configs->len - 1);
		changed = true;
	}
	if (changed)
		raft_config_changed(raft);
}

/* Rebuilds the list of peers; keeps the state of those that remain. */
void
raft_config_changed(raft_t *raft)
{
	const raft_members_t *members = raft_members(raft);
	GArray *old = raft->peers;

	raft->peers = g_array_new(FALSE, TRUE, sizeof(raft_peer_t));
	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		raft_peer_t peer = {
		    .next = raft_log_last(raft) + 1, .heard_ms = raft->now_ms};

		if (strcmp(member->id, raft->id) == 0)
			continue;
		for (guint j = 0; j < old->len; j++) {
			raft_peer_t *known =
			    &g_array_index(old, raft_peer_t, j);

			if (strcmp(known->id, member->id) == 0)
				peer = *known;
		}
		g_strlcpy(peer.id, member->id, sizeof(peer.id));
		peer.role = member->role;
		peer.disk_id = member->disk_id;
		g_array_append_val(raft->peers, peer);
	}
	g_array_unref(old);
	if (raft->state == RAFT_LEADER)
		return;
	if (!raft_may_lead(raft))
		raft_set_state(raft, RAFT_LEARNER_STATE);
	else if (raft->state == RAFT_LEARNER_STATE)
		raft_set_state(raft, RAFT_FOLLOWER);
}

static bool
is_voter_in(const raft_t *raft, const raft_members_t *members)
{
	const raft_member_t *self = raft_members_find(members, raft->id);

	if (self == NULL || self->role != MEMBER_VOTER || raft->disk_id == 0)
		return false;
	if (self->disk_id == 0)
		return raft->bootstrapped;
	return self->disk_id == raft->disk_id;
}

/*
 * Whether this participant is a voter with the disk that its member record
 * has.  On another disk, earlier votes and entries may be missing.
 */
bool
raft_is_voter(const raft_t *raft)
{
	return is_voter_in(raft, raft_members(raft));
}

/*
 * Whether this participant may be elected: as a voter of the newest membership
 * or of one that applies again if uncommitted changes are truncated.  A leader
 * that proposed its own removal can be the only one with a log that a quorum
 * accepts.
 */
bool
raft_may_lead(const raft_t *raft)
{
	for (guint i = raft->configs->len; i > 0; i--) {
		const raft_config_t *config =
		    &g_array_index(raft->configs, raft_config_t, i - 1);

		if (is_voter_in(raft, &config->members))
			return true;
		if (config->index <= raft->commit)
			break;
	}
	return false;
}

raft_peer_t *
raft_peer_find(const raft_t *raft, const char *id)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = &g_array_index(raft->peers, raft_peer_t, i);

		if (strcmp(peer->id, id) == 0)
			return peer;
	}
	return NULL;
}

/*
 * Whether this member's replies count toward a quorum.  A voter record without
 * a disk id dates from the bootstrap; until the leader has recorded the disk,
 * the member counts if it reports being a voter, which only a member that
 * bootstrapped on its present disk does.
 */
bool
raft_peer_counts(const raft_peer_t *peer)
{
	if (peer->role != MEMBER_VOTER || peer->seen_disk_id == 0)
		return false;
	if (peer->disk_id == 0)
		return peer->claims_vote;
	return peer->seen_disk_id == peer->disk_id;
}

static int
compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/*
 * Returns the largest value that a quorum of voters has reached.  own is this
 * participant's value; voters for which raft_peer_counts is false have 0.
 */
uint64_t
raft_quorum_value(const raft_t *raft,
    uint64_t (*value)(const raft_peer_t *peer), uint64_t own)
{
	uint64_t values[MAX_MEMBERS + 1];
	size_t n = 0;
	const raft_member_t *self =
	    raft_members_find(raft_members(raft), raft->id);

	if (self != NULL && self->role == MEMBER_VOTER)
		values[n++] = raft_is_voter(raft) ? own : 0;
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer =
		    &g_array_index(raft->peers, raft_peer_t, i);

		if (peer->role == MEMBER_VOTER)
			values[n++] = raft_peer_counts(peer) ? value(peer) : 0;
	}
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(values[0]), compare_descending);
	return values[n / 2];
}

static int
append_members(raft_t *raft, const raft_members_t *members, uint64_t *index,
    uint64_t *term)
{
	GByteArray *data = g_byte_array_new();
	raft_entry_t entry = {.index = raft_log_last(raft) + 1,
	    .term = raft->term,
	    .kind = ENTRY_MEMBERS};

	raft_members_encode(members, data);
	entry.data.body_t_val = (char *)data->data;
	entry.data.body_t_len = data->len;
	raft_log_append(raft, &entry, true);
	g_byte_array_unref(data);
	if (index != NULL)
		*index = entry.index;
	if (term != NULL)
		*term = entry.term;
	return 0;
}

/* Whether the last membership change and this term's no-op are committed. */
static bool
may_change_members(const raft_t *raft)
{
	const raft_config_t *last = &g_array_index(
	    raft->configs, raft_config_t, raft->configs->len - 1);

	return raft->commit >= raft->noop_index && last->index <= raft->commit;
}

/*
 * Checks one member of a proposed membership and fills in a missing disk id.
 * Increments *changes if the member is new or its role changes.
 */
static int
check_member(raft_t *raft, raft_member_t *member, int *changes)
{
	const raft_member_t *old =
	    raft_members_find(raft_members(raft), member->id);
	const raft_peer_t *peer = raft_peer_find(raft, member->id);

	if (old == NULL) {
		(*changes)++;
		return member->role == MEMBER_LEARNER ? 0 : -EINVAL;
	}
	if (member->role == MEMBER_LEARNER) {
		*changes += old->role != MEMBER_LEARNER;
		return 0;
	}
	if (old->role == MEMBER_VOTER) {
		if (member->disk_id == 0)
			member->disk_id = old->disk_id;
		if (member->disk_id != old->disk_id)
			return -EINVAL;
		/* See raft_record_disks: a later entry must have all disks. */
		if (member->disk_id == 0 && peer != NULL &&
		    raft_peer_counts(peer))
			member->disk_id = peer->seen_disk_id;
		return member->disk_id != 0 ? 0 : -EBUSY;
	}
	(*changes)++;
	if (peer == NULL || peer->seen_disk_id == 0)
		return -EINVAL;
	if (member->disk_id == 0)
		member->disk_id = peer->seen_disk_id;
	if (member->disk_id != peer->seen_disk_id)
		return -EINVAL;
	if (peer->match + RAFT_CAUGHT_UP_ENTRIES < raft->commit ||
	    raft->now_ms - peer->heard_ms >= raft->election_timeout_ms)
		return -EAGAIN;
	return 0;
}

/*
 * Whether a quorum of the voters of a proposed membership has replied within
 * the election timeout.  Without this check, demoting a voter while another
 * one is down would leave the system without a quorum.
 */
static bool
has_live_quorum(const raft_t *raft, const raft_members_t *members)
{
	int voters = 0;
	int live = 0;

	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		const raft_peer_t *peer = raft_peer_find(raft, member->id);

		if (member->role != MEMBER_VOTER)
			continue;
		voters++;
		if (peer == NULL)
			live += strcmp(member->id, raft->id) == 0;
		else
			live += (peer->role == MEMBER_LEARNER ||
				    raft_peer_counts(peer)) &&
				raft->now_ms - peer->heard_ms <
				    raft->election_timeout_ms;
	}
	return live * 2 > voters;
}

/*
 * Proposes a complete new membership, which must differ from the current one in
 * exactly one member.  A voter's disk id 0 stands for the disk it has now.
 * -ENOTCONN: not the leader; -EROFS: the storage refuses; -EBUSY: a change or
 * this term's no-op is not committed, or the disk of an initial voter is not
 * known yet; -EAGAIN: the new voter has not caught up, or too few voters are in
 * contact; -EINVAL: not a single valid change.
 */
int
raft_propose_members(raft_t *raft, const raft_members_t *members,
    uint64_t *index, uint64_t *term)
{
	const raft_members_t *old = raft_members(raft);
	raft_members_t wanted;
	int changes = 0;
	int voters = 0;
	int code = 0;

	if (raft->storage_refuses)
		return -EROFS;
	if (raft->state != RAFT_LEADER)
		return -ENOTCONN;
	if (!may_change_members(raft))
		return -EBUSY;
	if (members->members.members_len > MAX_MEMBERS)
		return -EINVAL;
	raft_members_copy(&wanted, members);
	for (u_int i = 0; code == 0 && i < wanted.members.members_len; i++) {
		raft_member_t *member = &wanted.members.members_val[i];

		if (raft_members_find(&wanted, member->id) != member)
			code = -EINVAL;
		else
			code = check_member(raft, member, &changes);
		voters += member->role == MEMBER_VOTER;
	}
	for (u_int i = 0; i < old->members.members_len; i++)
		changes += raft_members_find(
			       &wanted, old->members.members_val[i].id) == NULL;
	if (code == 0 && (changes != 1 || voters == 0))
		code = -EINVAL;
	if (code == 0 && !has_live_quorum(raft, &wanted))
		code = -EAGAIN;
	if (code == 0) {
		append_members(raft, &wanted, index, term);
		raft_flush(raft);
	}
	raft_members_clear(&wanted);
	return code;
}

/*
 * Records the disk ids that are missing from the bootstrap membership, once all
 * those voters have reported theirs.  A voter without a disk id in a later
 * entry could not tell after a restart that it had bootstrapped.  All are
 * recorded in one entry, which is safe because no role changes.
 */
void
raft_record_disks(raft_t *raft)
{
	raft_members_t wanted;
	int missing = 0;
	int named = 0;

	if (!may_change_members(raft))
		return;
	raft_members_copy(&wanted, raft_members(raft));
	for (u_int i = 0; i < wanted.members.members_len; i++) {
		raft_member_t *member = &wanted.members.members_val[i];
		const raft_peer_t *peer = raft_peer_find(raft, member->id);

		if (member->role != MEMBER_VOTER || member->disk_id != 0)
			continue;
		missing++;
		if (peer == NULL || !raft_peer_counts(peer))
			continue;
		named++;
		member->disk_id = peer->seen_disk_id;
	}
	if (missing > 0 && named == missing)
		append_members(raft, &wanted, NULL, NULL);
	raft_members_clear(&wanted);
}
