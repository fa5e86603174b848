#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "state/replica_private.h"

/* Interval of the checks of instances and members. */
#define CHECK_INTERVAL_MS 200
/* Silence after which an instance is reported as lost. */
#define LOST_AFTER_MS 2000
/* Entries that a member may lag behind and still count as caught up. */
#define MAX_LAG_ENTRIES 100
/* Probe replies older than this do not count for a bootstrap. */
#define PROBE_REPLY_MAX_AGE_MS 1000
#define PROBE_DEADLINE_MS 500
#define ANNOUNCE_DEADLINE_MS 5000

/* Returns what is known of an instance; creates the record on first use. */
peer_state_t *
replica_peer_state(replica_t *replica, const char *instance)
{
	peer_state_t *peer_state =
	    g_hash_table_lookup(replica->peer_states, instance);

	if (peer_state == NULL) {
		peer_state = g_new0(peer_state_t, 1);
		g_hash_table_insert(
		    replica->peer_states, g_strdup(instance), peer_state);
	}
	return peer_state;
}

static const raft_member_t *
find_member(const raft_members_t *members, const char *id)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		if (strcmp(members->members.members_val[i].id, id) == 0)
			return &members->members.members_val[i];
	}
	return NULL;
}

/* ---- bootstrap ---- */

/*
 * Number of other replicas that must report an empty log before this one may
 * bootstrap.  Any committed entry is on a majority of the replicas; if this
 * instance was one of them and lost its disk, at least one of that many others
 * still has the entry.
 */
static size_t
empty_replies_needed(const replica_t *replica)
{
	const settings_t *settings = replica->settings;
	size_t replicas = 0;
	size_t majority;

	for (size_t i = 0; i < settings->peer_count; i++)
		replicas += settings->peers[i].is_founder;
	majority = replicas / 2 + 1;
	return MIN(replicas - majority + 1, replicas - 1);
}

static bool
is_uninitialized(const replica_t *replica)
{
	return raft_last_index(replica->raft) == 0 &&
	       raft_term(replica->raft) == 0 &&
	       raft_leader(replica->raft)[0] == '\0';
}

/*
 * Tells another replica whether this one knows a leader or has a log, as the
 * answer to an empty proposal.
 */
void
replica_serve_probe(replica_t *replica, endpoint_request_t *request)
{
	propose_result_t answer = {
	    .leader = (char *)raft_leader(replica->raft),
	    .result =
		{
		    .index = raft_last_index(replica->raft),
		    .text = (char *)"",
		},
	};

	endpoint_answer(request, &answer);
}

static void
on_probed(void *ctx, const err_t *err, void *value)
{
	pending_t *pending = ctx;
	const propose_result_t *answer = value;
	replica_t *replica = replica_pending_end(pending);
	peer_state_t *peer_state;

	if (replica == NULL || answer == NULL || !replica->may_bootstrap)
		goto done;
	peer_state = replica_peer_state(replica, pending->instance);
	/* Entry 1 alone is from a bootstrap that committed nothing. */
	if (answer->leader[0] == '\0' && answer->result.index <= 1) {
		peer_state->empty_reply_ms = clock_mono_ms();
		goto done;
	}
	replica->may_bootstrap = false;
	log_line(LOG_NOTICE,
	    "bootstrap: %s belongs to a running system; this replica joins "
	    "as a learner",
	    pending->instance);
done:
	replica_pending_free(pending);
}

static void
bootstrap(replica_t *replica)
{
	log_line(LOG_NOTICE, "bootstrap: starting a new system");
	replica->may_bootstrap = false;
	replica_create_raft(replica, true);
	raft_start(replica->raft, clock_mono_ms());
	replica_deliver(replica);
}

/*
 * Asks the other replicas whether a system exists and bootstraps one if enough
 * of them report an empty log.
 */
static void
try_bootstrap(replica_t *replica, int64_t now_ms)
{
	const settings_t *settings = replica->settings;
	size_t empty_replies = 0;

	if (!is_uninitialized(replica)) {
		replica->may_bootstrap = false;
		return;
	}
	for (size_t i = 0; i < settings->peer_count; i++) {
		const settings_peer_t *peer = &settings->peers[i];
		const peer_state_t *peer_state =
		    replica_peer_state(replica, peer->id);
		propose_args_t probe = {.deadline_ms = PROBE_DEADLINE_MS};

		if (!peer->is_founder ||
		    strcmp(peer->id, settings->instance) == 0)
			continue;
		if (peer_state->empty_reply_ms > 0 &&
		    now_ms - peer_state->empty_reply_ms <=
			PROBE_REPLY_MAX_AGE_MS)
			empty_replies++;
		if (endpoint_peer_is_up(replica->endpoint, peer->id))
			endpoint_call(replica->endpoint, peer->id, RPC_PROPOSE,
			    &probe, PROBE_DEADLINE_MS, on_probed,
			    replica_pending_add(replica, peer->id));
	}
	if (empty_replies >= empty_replies_needed(replica))
		bootstrap(replica);
}

/* ---- instances ---- */

static void
on_announced(void *ctx, const err_t *err, const command_result_t *result)
{
	replica_t *replica = ctx;

	replica->announcing = false;
}

static void
on_reported(void *ctx, const err_t *err, const command_result_t *result)
{
	pending_t *pending = ctx;
	replica_t *replica = replica_pending_end(pending);

	if (replica != NULL)
		replica_peer_state(replica, pending->instance)
		    ->has_change_in_flight = false;
	replica_pending_free(pending);
}

/* Proposes this instance's state when the state machine has a different one. */
static void
announce_self(replica_t *replica)
{
	const char *id = replica->settings->instance;
	const machine_instance_t *known =
	    machine_instance(replica->machine, id);
	command_t command = {.kind = COMMAND_INSTANCE};

	if (replica->announcing || !replica_is_confirmed(replica))
		return;
	/* A drain ordered by an operator lasts until the next start. */
	if (known != NULL && known->alive &&
	    known->incarnation == replica->incarnation &&
	    (known->draining || !replica->draining))
		return;
	command.command_t_u.instance = (instance_command_t){
	    .id = (char *)id,
	    .alive = TRUE,
	    .draining = replica->draining ||
			(known != NULL && known->draining &&
			    known->incarnation == replica->incarnation),
	    .incarnation = replica->incarnation,
	    .time_ms = clock_real_ms(),
	};
	replica->announcing = true;
	replica_propose(
	    replica, &command, ANNOUNCE_DEADLINE_MS, on_announced, replica);
}

/* As leader, proposes that an instance is lost or is back. */
static void
report_instance(replica_t *replica, const char *id, int64_t now_ms)
{
	int64_t silent_ms = raft_member_silent_ms(replica->raft, id, now_ms);
	const machine_instance_t *known =
	    machine_instance(replica->machine, id);
	peer_state_t *peer_state = replica_peer_state(replica, id);
	bool lost = silent_ms >= LOST_AFTER_MS;
	command_t command = {.kind = COMMAND_INSTANCE};

	if (silent_ms == INT64_MAX || known == NULL ||
	    peer_state->has_change_in_flight || known->alive == !lost)
		return;
	/* Until a member answers, its silence counts from the election. */
	if (!lost && silent_ms >= now_ms - replica->leader_since_ms)
		return;
	peer_state->has_change_in_flight = true;
	log_line(LOG_NOTICE, "instance %s is %s", id, lost ? "lost" : "back");
	command.command_t_u.instance = (instance_command_t){
	    .id = (char *)id,
	    .alive = !lost,
	    .draining = known->draining,
	    .incarnation = known->incarnation,
	    .time_ms = clock_real_ms(),
	};
	replica_propose(replica, &command, ANNOUNCE_DEADLINE_MS, on_reported,
	    replica_pending_add(replica, id));
}

/* ---- membership ---- */

/* Marks a voter to be replaced by one with another disk. */
void
replica_mark_for_replacement(replica_t *replica, const char *instance)
{
	replica_peer_state(replica, instance)->replace_wanted = true;
}

/*
 * Handles a committed membership: clears the replacement marks of the members
 * that are no longer voters.
 */
void
replica_members_committed(replica_t *replica)
{
	GHashTableIter iter;
	gpointer id;
	gpointer peer_state;

	g_hash_table_iter_init(&iter, replica->peer_states);
	while (g_hash_table_iter_next(&iter, &id, &peer_state)) {
		const raft_member_t *member =
		    find_member(&replica->members, id);

		if (member == NULL || member->role == MEMBER_LEARNER)
			((peer_state_t *)peer_state)->replace_wanted = false;
	}
}

static uint64_t
disk_of(replica_t *replica, const char *id)
{
	if (strcmp(id, replica->settings->instance) == 0)
		return replica->saved.disk_id;
	return replica_peer_state(replica, id)->disk_id;
}

static bool
claims_vote(replica_t *replica, const char *id)
{
	return strcmp(id, replica->settings->instance) == 0 ||
	       replica_peer_state(replica, id)->claims_vote;
}

/* Whether a voter runs with another disk than the membership records. */
static bool
has_lost_disk(replica_t *replica, const raft_member_t *member)
{
	uint64_t disk = disk_of(replica, member->id);

	return replica->settings->voters > 0 && member->disk_id != 0 &&
	       disk != 0 && disk != member->disk_id;
}

/*
 * Whether a voter has neither voted nor acknowledged for LOST_AFTER_MS: it is
 * silent, or says that its storage refuses writes.
 */
static bool
is_absent(replica_t *replica, const raft_member_t *member, int64_t now_ms)
{
	const peer_state_t *peer_state =
	    replica_peer_state(replica, member->id);
	int64_t since_ms = MAX(peer_state->voting_ms, replica->leader_since_ms);

	if (strcmp(member->id, replica->settings->instance) == 0)
		return false;
	if (raft_member_silent_ms(replica->raft, member->id, now_ms) >=
	    LOST_AFTER_MS)
		return true;
	/* A voter without a recorded disk may be one that never voted. */
	return member->disk_id != 0 && now_ms - since_ms >= LOST_AFTER_MS;
}

/* Counts the voters, and those of them that are not absent. */
static void
count_voters(replica_t *replica, int64_t now_ms, int *all, int *present)
{
	const raft_members_t *members = raft_members(replica->raft);

	*all = 0;
	*present = 0;
	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];

		if (member->role != MEMBER_VOTER)
			continue;
		(*all)++;
		*present += !is_absent(replica, member, now_ms);
	}
}

/*
 * Whether a spare replica may become a voter: there are too few voters, or one
 * of them is absent and needs a substitute.
 */
static bool
can_add_voter(replica_t *replica, int64_t now_ms)
{
	int wanted = (int)replica->settings->voters;
	int all;
	int present;

	if (wanted == 0)
		return true;
	count_voters(replica, now_ms, &all, &present);
	return all < wanted || (all == wanted && present < wanted);
}

/* Whether there are more voters than configured and this one is absent. */
static bool
is_surplus_voter(
    replica_t *replica, const raft_member_t *member, int64_t now_ms)
{
	int wanted = (int)replica->settings->voters;
	int all;
	int present;

	if (wanted == 0)
		return false;
	count_voters(replica, now_ms, &all, &present);
	return all > wanted && is_absent(replica, member, now_ms);
}

/*
 * Whether a voter must become a learner: an operator ordered its replacement,
 * its disk is a new one, it is surplus, or it has a disk but does not vote
 * because it started too late for the bootstrap.
 */
static bool
must_be_demoted(replica_t *replica, const raft_member_t *member, int64_t now_ms)
{
	bool answered = raft_member_silent_ms(replica->raft, member->id,
			    now_ms) < now_ms - replica->leader_since_ms;

	if (replica_peer_state(replica, member->id)->replace_wanted ||
	    has_lost_disk(replica, member) ||
	    is_surplus_voter(replica, member, now_ms))
		return true;
	return member->disk_id == 0 && answered &&
	       raft_member_match(replica->raft, member->id) > 0 &&
	       disk_of(replica, member->id) != 0 &&
	       !claims_vote(replica, member->id);
}

/*
 * Changes the membership of an instance listed in the settings by at most one
 * step.  A learner keeps the disk id that it had as a voter, so that it becomes
 * a voter again only with another disk.  Returns whether anything changes.
 */
static bool
change_member(replica_t *replica, raft_members_t *wanted,
    const settings_peer_t *peer, int64_t now_ms)
{
	raft_member_t *member = (raft_member_t *)find_member(wanted, peer->id);
	u_int *len = &wanted->members.members_len;
	uint64_t disk = disk_of(replica, peer->id);

	if (member == NULL) {
		if (*len >= MAX_MEMBERS)
			return false;
		wanted->members.members_val = g_renew(
		    raft_member_t, wanted->members.members_val, *len + 1);
		wanted->members.members_val[(*len)++] =
		    (raft_member_t){.id = g_strdup(peer->id)};
		return true;
	}
	if (member->role == MEMBER_VOTER) {
		if (!must_be_demoted(replica, member, now_ms))
			return false;
		member->role = MEMBER_LEARNER;
		return true;
	}
	if (!peer->is_replica || disk == 0 || disk == member->disk_id ||
	    raft_member_match(replica->raft, peer->id) + MAX_LAG_ENTRIES <
		raft_commit_index(replica->raft) ||
	    !can_add_voter(replica, now_ms))
		return false;
	member->role = MEMBER_VOTER;
	member->disk_id = disk;
	return true;
}

static const char *
role_name(const raft_members_t *members, const char *id)
{
	const raft_member_t *member = find_member(members, id);

	if (member == NULL)
		return "none";
	return member->role == MEMBER_VOTER ? "voter" : "learner";
}

/*
 * Changes the membership of one member that the settings no longer list:
 * removes a silent learner.  A voter becomes a learner only when an operator
 * orders its replacement, as fewer voters tolerate fewer failures.  A learner
 * that is still in contact is kept: its settings may be newer than the
 * leader's.  Returns the id of the changed member, which belongs to raft, or
 * NULL.
 */
static const char *
change_unlisted_member(
    replica_t *replica, raft_members_t *wanted, int64_t now_ms)
{
	const raft_members_t *present = raft_members(replica->raft);
	u_int *len = &wanted->members.members_len;

	for (u_int i = 0; i < *len; i++) {
		raft_member_t *member = &wanted->members.members_val[i];
		const char *id = present->members.members_val[i].id;

		if (settings_peer(replica->settings, id) != NULL)
			continue;
		if (member->role == MEMBER_VOTER) {
			if (!replica_peer_state(replica, id)->replace_wanted)
				continue;
			member->role = MEMBER_LEARNER;
			return id;
		}
		if (raft_member_silent_ms(replica->raft, id, now_ms) <
		    LOST_AFTER_MS)
			continue;
		g_free(member->id);
		memmove(member, member + 1, (*len - i - 1) * sizeof(*member));
		(*len)--;
		return id;
	}
	return NULL;
}

/* As leader, removes members that the settings no longer list. */
static void
remove_unlisted_members(replica_t *replica, int64_t now_ms)
{
	raft_members_t wanted;
	const char *changed;
	char *id;

	storage_members_copy(&wanted, raft_members(replica->raft));
	changed = change_unlisted_member(replica, &wanted, now_ms);
	/* The proposal frees the membership that the id belongs to. */
	id = g_strdup(changed);
	if (id != NULL &&
	    raft_propose_members(replica->raft, &wanted, NULL, NULL) == 0)
		log_line(LOG_NOTICE, "members: %s becomes %s", id,
		    role_name(&wanted, id));
	g_free(id);
	storage_members_clear(&wanted);
}

/*
 * Proposes the next membership change, one instance at a time.  Raft refuses it
 * while another one is in flight or too few voters are in contact.
 */
static void
change_members(replica_t *replica, int64_t now_ms)
{
	const settings_t *settings = replica->settings;

	for (size_t i = 0; i < settings->peer_count; i++) {
		const char *id = settings->peers[i].id;
		raft_members_t wanted;
		bool changed;
		int code = -EAGAIN;

		storage_members_copy(&wanted, raft_members(replica->raft));
		changed = change_member(
		    replica, &wanted, &settings->peers[i], now_ms);
		if (changed)
			code = raft_propose_members(
			    replica->raft, &wanted, NULL, NULL);
		if (code == 0)
			log_line(LOG_NOTICE, "members: %s becomes %s", id,
			    role_name(&wanted, id));
		storage_members_clear(&wanted);
		if (changed && (code == 0 || code == -EBUSY))
			return;
	}
	remove_unlisted_members(replica, now_ms);
}

/* ---- periodic checks ---- */

/* Checks instances and members every CHECK_INTERVAL_MS; called at each tick. */
void
replica_check_peers(replica_t *replica, int64_t now_ms)
{
	const settings_t *settings = replica->settings;

	if (now_ms < replica->next_check_ms)
		return;
	replica->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	if (replica->may_bootstrap)
		try_bootstrap(replica, now_ms);
	announce_self(replica);
	if (raft_state(replica->raft) != RAFT_LEADER ||
	    !replica_is_confirmed(replica))
		return;
	for (size_t i = 0; i < settings->peer_count; i++) {
		if (strcmp(settings->peers[i].id, settings->instance) != 0)
			report_instance(replica, settings->peers[i].id, now_ms);
	}
	change_members(replica, now_ms);
	replica_deliver(replica);
}

/* Whether a replica votes with its recorded disk, answers and has caught up. */
static bool
is_healthy_voter(const replica_t *replica, const char *id, int64_t now_ms)
{
	const raft_member_t *member = find_member(&replica->members, id);
	const peer_state_t *peer_state =
	    g_hash_table_lookup(replica->peer_states, id);
	const raft_t *raft = replica->raft;
	int64_t silent_ms;

	if (member == NULL || member->role != MEMBER_VOTER ||
	    (peer_state != NULL && peer_state->replace_wanted))
		return false;
	if (strcmp(id, replica->settings->instance) == 0)
		return member->disk_id == replica->saved.disk_id;
	silent_ms = raft_member_silent_ms(raft, id, now_ms);
	/* Until a member answers, its silence counts from the election. */
	return peer_state != NULL && peer_state->disk_id == member->disk_id &&
	       (peer_state->claims_vote || member->disk_id == 0) &&
	       silent_ms < LOST_AFTER_MS &&
	       silent_ms < now_ms - replica->leader_since_ms &&
	       raft_member_match(raft, id) + MAX_LAG_ENTRIES >=
		   raft_commit_index(raft);
}

/*
 * Whether another replica may be replaced now.  Only the leader can tell: every
 * replica of the settings must be a voter with its recorded disk, in contact,
 * and at most 100 entries behind.  False on every other instance.
 */
bool
replica_safe_to_replace(const replica_t *replica)
{
	const settings_t *settings = replica->settings;
	int64_t now_ms = clock_mono_ms();

	if (raft_state(replica->raft) != RAFT_LEADER ||
	    !replica_is_confirmed(replica))
		return false;
	for (size_t i = 0; i < settings->peer_count; i++) {
		if (settings->peers[i].is_replica &&
		    !is_healthy_voter(replica, settings->peers[i].id, now_ms))
			return false;
	}
	return true;
}

/*
 * Announces to all instances that this one drains or no longer does; takes
 * effect once it is committed.
 */
void
replica_set_draining(replica_t *replica, bool draining)
{
	replica->draining = draining;
	announce_self(replica);
}
