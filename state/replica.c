#include "state/replica.h"

#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/loop_watch.h"
#include "rpc/codec.h"
#include "state/election_seed.h"
#include "state/replica_private.h"

/* Contact with a leader within this time counts as confirmed. */
#define CONFIRMED_MS 2000
/* Raft ticks several times per heartbeat interval. */
#define TICKS_PER_HEARTBEAT 10
#define TICK_MAX_MS 10
/* Two ticks: at least one turn of the loop reads the sockets before. */
#define READ_FIRST_MS (2 * TICK_MAX_MS)
#define MAX_BATCH_ENTRIES 1024
/*
 * The leader sends a new commit index to its followers within this time, not
 * with the next tick: they answer their own callers only after they have it.
 */
#define COMMIT_NOTICE_MS 1
/* The longest election timeout as a multiple of the shortest one. */
#define ELECTION_TIMEOUT_SPREAD 2

/* ---- committed entries ---- */

static str_t
entry_bytes(const raft_entry_t *entry)
{
	return (str_t){entry->data.body_t_val, entry->data.body_t_len};
}

static void
apply_members(replica_t *replica, const raft_entry_t *entry)
{
	raft_members_t members = {0};

	if (codec_decode((xdrproc_t)xdr_raft_members_t, entry_bytes(entry),
		&members) != 0)
		return;
	storage_members_clear(&replica->members);
	storage_members_copy(&replica->members, &members);
	codec_free((xdrproc_t)xdr_raft_members_t, &members);
	replica_members_committed(replica);
}

static void
apply_command(replica_t *replica, const raft_entry_t *entry)
{
	command_result_t result = {0};
	command_t command = {0};

	/* Every instance skips an entry that it cannot decode. */
	if (codec_decode(
		(xdrproc_t)xdr_command_t, entry_bytes(entry), &command) != 0) {
		result.code = -EBADMSG;
		result.index = entry->index;
		result.text = (char *)"command cannot be decoded";
		replica_proposals_applied(
		    replica, entry->index, entry->term, &result);
		return;
	}
	machine_apply(replica->machine, entry->index, &command, &result);
	if (command.kind == COMMAND_REPLACE && result.code == 0)
		replica_mark_for_replacement(
		    replica, command.command_t_u.replace);
	if (replica->applied != NULL)
		replica->applied(
		    replica->applied_ctx, entry->index, &command, &result);
	replica_proposals_applied(replica, entry->index, entry->term, &result);
	machine_result_free(&result);
	codec_free((xdrproc_t)xdr_command_t, &command);
}

static void
update_confirmation(replica_t *replica)
{
	bool leads = raft_state(replica->raft) == RAFT_LEADER;

	/*
	 * A new leader may not know the latest commit index; an applied entry
	 * of its own term shows that it does.
	 */
	if (replica->applied_term != raft_term(replica->raft))
		return;
	if (leads || (replica->has_first_commit &&
			 replica->applied_index >= replica->first_commit))
		replica->confirmed = true;
}

static void
check_leader_change(replica_t *replica)
{
	const char *leader = raft_leader(replica->raft);

	if (strcmp(leader, replica->last_leader) == 0)
		return;
	g_strlcpy(replica->last_leader, leader, sizeof(replica->last_leader));
	log_line(LOG_NOTICE, "raft: term %llu: leader is %s",
	    (unsigned long long)raft_term(replica->raft),
	    leader[0] != '\0' ? leader : "unknown");
	replica_proposals_leader_changed(replica);
}

static void
schedule_commit_notice(replica_t *replica)
{
	uint64_t commit = raft_commit_index(replica->raft);

	if (raft_state(replica->raft) != RAFT_LEADER ||
	    commit <= replica->notified_commit ||
	    ev_is_active(&replica->commit_timer))
		return;
	ev_timer_set(&replica->commit_timer,
	    (double)COMMIT_NOTICE_MS / CLOCK_MS_PER_S, 0);
	ev_timer_start(replica->loop, &replica->commit_timer);
}

static void
on_commit_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	replica_t *replica = watcher->data;

	replica->notified_commit = raft_commit_index(replica->raft);
	raft_tick(replica->raft, clock_mono_ms());
	replica_deliver(replica);
}

/*
 * Must follow every call into raft: applies the entries that became committed
 * and ends the proposals that waited for them.  Callbacks of the owner run from
 * here, never from within raft.
 */
void
replica_deliver(replica_t *replica)
{
	raft_entry_t *entry;

	if (replica->delivering)
		return;
	replica->delivering = true;
	check_leader_change(replica);
	while ((entry = g_queue_pop_head(&replica->committed)) != NULL) {
		if (!replica->snapshot_load_failed) {
			replica->applied_index = entry->index;
			replica->applied_term = entry->term;
			replica->log_bytes += entry->data.body_t_len;
			if (entry->kind == ENTRY_MEMBERS)
				apply_members(replica, entry);
			else
				apply_command(replica, entry);
		}
		replica_entry_free(entry);
	}
	replica_proposals_progress(replica);
	update_confirmation(replica);
	replica_maybe_snapshot(replica);
	schedule_commit_notice(replica);
	replica->delivering = false;
}

/* ---- raft's callbacks ---- */

static void
on_send(void *ctx, const raft_message_t *message)
{
	replica_t *replica = ctx;

	/* A lost message needs no handling: raft sends it again. */
	endpoint_send(replica->endpoint, message->to, RPC_RAFT,
	    (raft_message_t *)message);
}

static void
on_save_vote(void *ctx, uint64_t term, const char *vote)
{
	replica_t *replica = ctx;

	if (replica->storage != NULL)
		storage_save_vote(replica->storage, term, vote);
}

static void
on_append(void *ctx, const raft_entry_t *entry)
{
	replica_t *replica = ctx;

	if (replica->storage != NULL)
		storage_append(replica->storage, entry);
}

static void
on_truncate(void *ctx, uint64_t from_index)
{
	replica_t *replica = ctx;

	if (replica->storage != NULL)
		storage_truncate(replica->storage, from_index);
}

static void
on_sync(void *ctx, uint64_t ticket)
{
	replica_t *replica = ctx;

	if (replica->storage != NULL)
		storage_sync(replica->storage, ticket);
}

static void
on_apply(void *ctx, const raft_entry_t *entry)
{
	replica_t *replica = ctx;

	g_queue_push_tail(&replica->committed, replica_entry_copy(entry));
}

static void
on_state_changed(void *ctx, raft_state_t state, uint64_t term)
{
	static const char *const names[] = {
	    [RAFT_LEARNER_STATE] = "learner",
	    [RAFT_FOLLOWER] = "follower",
	    [RAFT_PRE_CANDIDATE] = "pre-candidate",
	    [RAFT_CANDIDATE] = "candidate",
	    [RAFT_LEADER] = "leader",
	};
	replica_t *replica = ctx;

	if (state == RAFT_LEADER)
		replica->leader_since_ms = clock_mono_ms();
	log_line(LOG_INFO, "raft: term %llu: %s", (unsigned long long)term,
	    names[state]);
}

/* ---- start and stop ---- */

static raft_members_t
bootstrap_members(const replica_t *replica)
{
	const settings_t *settings = replica->settings;
	raft_members_t members = {0};

	members.members.members_val =
	    g_new0(raft_member_t, settings->peer_count);
	for (size_t i = 0; i < settings->peer_count; i++) {
		if (settings->peers[i].is_founder)
			members.members
			    .members_val[members.members.members_len++] =
			    (raft_member_t){
				.id = settings->peers[i].id,
				.role = MEMBER_VOTER,
			    };
	}
	return members;
}

/*
 * Creates the raft participant from the saved state; the caller starts it.
 */
void
replica_create_raft(replica_t *replica, bool may_bootstrap)
{
	static const raft_callbacks_t callbacks = {
	    .send = on_send,
	    .save_vote = on_save_vote,
	    .append = on_append,
	    .truncate = on_truncate,
	    .sync = on_sync,
	    .apply = on_apply,
	    .snapshot_read = replica_snapshot_read,
	    .snapshot_install = replica_snapshot_install,
	    .state_changed = on_state_changed,
	};
	const settings_t *settings = replica->settings;
	raft_options_t options = {
	    .id = settings->instance,
	    .election_timeout_ms = settings->election_timeout_ms,
	    .heartbeat_ms = settings->heartbeat_ms,
	    .seed = election_seed(settings->instance, replica->incarnation),
	    .max_batch_entries = MAX_BATCH_ENTRIES,
	    .bootstrap = bootstrap_members(replica),
	    .may_bootstrap = may_bootstrap,
	    .saved = replica->saved,
	};

	raft_destroy(replica->raft);
	replica->raft = raft_create(&options, &callbacks, replica);
	g_free(options.bootstrap.members.members_val);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	replica_t *replica = watcher->data;
	int64_t now_ms = clock_mono_ms();

	/*
	 * After a pause of this process the messages of the others may be
	 * unread: read them before their silence is judged.
	 */
	if (now_ms - loop_watch_resumed_ms() < READ_FIRST_MS)
		return;
	raft_tick(replica->raft, now_ms);
	replica_deliver(replica);
	replica_proposals_tick(replica, now_ms);
	replica_check_peers(replica, now_ms);
}

static void
start_tick(replica_t *replica)
{
	int64_t tick_ms =
	    CLAMP(replica->settings->heartbeat_ms / TICKS_PER_HEARTBEAT, 1,
		TICK_MAX_MS);
	double tick_s = (double)tick_ms / CLOCK_MS_PER_S;

	ev_timer_init(&replica->tick, on_tick, tick_s, tick_s);
	replica->tick.data = replica;
	ev_timer_init(&replica->commit_timer, on_commit_timer, 0, 0);
	replica->commit_timer.data = replica;
	ev_timer_start(replica->loop, &replica->tick);
}

static replica_t *
replica_new(struct ev_loop *loop, const settings_t *settings,
    endpoint_t *endpoint, uint64_t incarnation)
{
	replica_t *replica = g_new0(replica_t, 1);

	replica->loop = loop;
	replica->settings = settings;
	replica->endpoint = endpoint;
	replica->incarnation = incarnation;
	replica->machine = machine_create();
	replica->peer_states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&replica->committed);
	g_queue_init(&replica->pending);
	replica_proposals_init(replica);
	replica->proposed =
	    counter_get("replica_proposals_total", "proposals made here");
	replica->forwarded = counter_get(
	    "replica_forwarded_total", "proposals sent to a leader elsewhere");
	replica->snapshots =
	    counter_get("replica_snapshots_total", "snapshots taken");
	replica->snapshots_postponed =
	    counter_get("replica_snapshots_postponed_total",
		"snapshots that had to wait for descriptors or space");
	replica->snapshots_received = counter_get(
	    "replica_snapshots_received_total", "snapshots received");
	replica->storage_refuses = gauge_get("replica_storage_refuses",
	    "1 while the disk refuses writes and this instance cannot vote");
	replica->snapshot_time = histogram_get(
	    "replica_snapshot_seconds", "time to serialize the state machine");
	return replica;
}

/*
 * Creates and starts the replica; settings and endpoint must outlive it.  With
 * the replica role it opens the data folder, which blocks.  Returns NULL with
 * err set when that fails.
 */
replica_t *
replica_create(struct ev_loop *loop, const settings_t *settings,
    endpoint_t *endpoint, uint64_t incarnation, err_t *err)
{
	GPtrArray *entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)replica_entry_free);
	replica_t *replica = replica_new(loop, settings, endpoint, incarnation);

	if (settings->role_replica &&
	    replica_open_storage(replica, entries, err) != 0) {
		g_ptr_array_unref(entries);
		replica_destroy(replica);
		return NULL;
	}
	replica_create_raft(replica, false);
	for (guint i = 0; i < entries->len; i++) {
		const raft_entry_t *entry = g_ptr_array_index(entries, i);

		if (entry->index > replica->saved.snapshot_index)
			raft_restore_entry(replica->raft, entry);
	}
	g_ptr_array_unref(entries);
	raft_start(replica->raft, clock_mono_ms());
	start_tick(replica);
	return replica;
}

/*
 * Stops and frees the replica after its pending storage requests completed.
 * Proposals end with -ENOTCONN or -ETIMEDOUT, or with the error of the storage.
 * Must not be called from a callback of the replica.
 */
void
replica_destroy(replica_t *replica)
{
	raft_entry_t *entry;

	if (replica == NULL)
		return;
	ev_timer_stop(replica->loop, &replica->tick);
	ev_timer_stop(replica->loop, &replica->commit_timer);
	replica_proposals_clear(replica);
	storage_stop(replica->storage);
	raft_destroy(replica->raft);
	machine_destroy(replica->machine);
	while ((entry = g_queue_pop_head(&replica->committed)) != NULL)
		replica_entry_free(entry);
	if (replica->snapshot != NULL)
		g_bytes_unref(replica->snapshot);
	if (replica->next_snapshot != NULL)
		g_bytes_unref(replica->next_snapshot);
	storage_members_clear(&replica->members);
	storage_members_clear(&replica->snapshot_members);
	storage_members_clear(&replica->next_members);
	codec_free((xdrproc_t)xdr_raft_members_t, &replica->saved.members);
	g_hash_table_unref(replica->peer_states);
	g_free(replica);
}

/* Sets the function that is called after each applied command. */
void
replica_set_applied(replica_t *replica, replica_applied_t *applied, void *ctx)
{
	replica->applied = applied;
	replica->applied_ctx = ctx;
}

/* Handles RPC_RAFT; ignores senders that are not in the settings. */
void
replica_serve_raft(replica_t *replica, raft_message_t *message)
{
	peer_state_t *peer_state;
	bool from_leader =
	    message->kind == RAFT_APPEND || message->kind == RAFT_SNAPSHOT;

	if (settings_peer(replica->settings, message->from) == NULL)
		return;
	peer_state = replica_peer_state(replica, message->from);
	peer_state->disk_id = message->disk_id;
	if (message->kind != RAFT_SNAPSHOT)
		peer_state->claims_vote = message->last_chunk;
	if (peer_state->claims_vote)
		peer_state->voting_ms = clock_mono_ms();
	if (from_leader && !replica->has_first_commit &&
	    message->term >= raft_term(replica->raft)) {
		replica->has_first_commit = true;
		replica->first_commit = message->commit;
		if (message->kind == RAFT_SNAPSHOT)
			replica->first_commit =
			    MAX(message->commit, message->index);
	}
	raft_receive(replica->raft, message, clock_mono_ms());
	replica_deliver(replica);
}

/* The local state machine; stays the same object until replica_destroy. */
const machine_t *
replica_machine(const replica_t *replica)
{
	return replica->machine;
}

/* Whether this instance leads; a leader that loses its quorum steps down. */
bool
replica_is_leader(const replica_t *replica)
{
	return raft_state(replica->raft) == RAFT_LEADER;
}

bool
replica_is_caught_up_leader(const replica_t *replica)
{
	return raft_state(replica->raft) == RAFT_LEADER &&
	       !replica->snapshot_load_failed &&
	       replica->applied_term == raft_term(replica->raft);
}

bool
replica_has_lease(const replica_t *replica)
{
	return replica_is_caught_up_leader(replica) &&
	       raft_has_quorum_lease(replica->raft, clock_mono_ms());
}

/*
 * Returns the leader's id, empty when it is unknown.  A voter forgets a silent
 * leader as it campaigns; an instance that cannot campaign forgets it once the
 * longest election timeout has passed, so that it names no leader from which it
 * is cut off.
 */
const char *
replica_leader_id(const replica_t *replica)
{
	int64_t silent_ms =
	    raft_leader_silent_ms(replica->raft, clock_mono_ms());
	int64_t longest_ms =
	    ELECTION_TIMEOUT_SPREAD * replica->settings->election_timeout_ms;

	return silent_ms > longest_ms ? "" : raft_leader(replica->raft);
}

peer_info_t
replica_peer_info(const replica_t *replica, const char *id)
{
	const settings_peer_t *peer = settings_peer(replica->settings, id);

	if (peer == NULL)
		return (peer_info_t){0};
	return peer_info_of(peer);
}

bool
replica_is_confirmed(const replica_t *replica)
{
	return replica->confirmed && !replica->snapshot_load_failed &&
	       raft_leader_silent_ms(replica->raft, clock_mono_ms()) <
		   CONFIRMED_MS;
}

bool
replica_was_confirmed(const replica_t *replica)
{
	return replica->confirmed && !replica->snapshot_load_failed;
}

const raft_t *
replica_raft(const replica_t *replica)
{
	return replica->raft;
}
