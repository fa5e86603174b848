#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "rpc/codec.h"
#include "state/replica.h"
#include "tests/unit/once/once.h"

/*
 * Three instances that share one simulated log. It stands in for the replica:
 * a replica_t here is an instance_t. A leader holds a lease while it reaches
 * its peers; the next one is elected only after that lease has ended. What an
 * old leader had proposed by then is committed by the next one, or never.
 */

#define HEARTBEAT_US (50 * ONCE_US_PER_MS)
#define QUORUM_LEASE_US (300 * ONCE_US_PER_MS)
#define QUORUM_CHECK_US (600 * ONCE_US_PER_MS)
#define MIN_COMMIT_US (1 * ONCE_US_PER_MS)
#define MAX_COMMIT_US (15 * ONCE_US_PER_MS)
#define MAX_FOLLOWER_DELAY_US (50 * ONCE_US_PER_MS)
#define MIN_ELECTION_US (100 * ONCE_US_PER_MS)
#define MAX_ELECTION_US (900 * ONCE_US_PER_MS)
#define CLIENT_RETRY_US (200 * ONCE_US_PER_MS)
#define RETENTION_MS 8000
#define RECLAIM_MS 3000

typedef struct {
	GByteArray *bytes; /* NULL: the first entry of a term */
} log_entry_t;

typedef struct {
	instance_t *instance;
	GByteArray *bytes;
	uint64_t term;
	replica_done_t *done;
	void *ctx;
	size_t index; /* in the log, once it is committed */
} proposal_t;

#define NOT_COMMITTED SIZE_MAX

static instance_t *
instance_of(const replica_t *replica)
{
	return (instance_t *)(void *)(uintptr_t)replica;
}

/* ---- applying ---- */

static void
finish(proposal_t *proposal, int code)
{
	err_t err = {.code = code};
	command_result_t result = {0};

	proposal->done(proposal->ctx, &err, code == 0 ? &result : NULL);
	g_byte_array_unref(proposal->bytes);
	g_free(proposal);
}

static void
apply_entry(instance_t *instance, const log_entry_t *entry)
{
	command_t command = {0};
	command_result_t result = {0};

	if (entry->bytes == NULL)
		return;
	codec_decode((xdrproc_t)xdr_command_t,
	    (str_t){(char *)entry->bytes->data, entry->bytes->len}, &command);
	machine_apply(
	    instance->machine, instance->applied + 1, &command, &result);
	if (instance->fleet != NULL)
		fleet_applied(instance->fleet, &command);
	machine_result_free(&result);
	codec_free((xdrproc_t)xdr_command_t, &command);
}

/* Ends the proposals of this instance that it has applied. */
static void
finish_applied(instance_t *instance)
{
	proposal_t *head;

	while ((head = g_queue_peek_head(&instance->pending)) != NULL &&
	       head->index < instance->applied) {
		g_queue_pop_head(&instance->pending);
		finish(head, 0);
	}
}

static void
apply_all(instance_t *instance)
{
	const GPtrArray *log = instance->world->log;

	while (instance->applied < log->len) {
		apply_entry(
		    instance, g_ptr_array_index(log, instance->applied));
		instance->applied++;
		finish_applied(instance);
	}
	if (instance->fleet != NULL)
		check_runs_owned(instance->world, instance->fleet);
}

static void
on_apply(void *ctx, bool dropped)
{
	instance_t *instance = ctx;

	if (!dropped && !instance->isolated)
		apply_all(instance);
}

static void
schedule_apply(world_t *world)
{
	for (int i = 0; i < ONCE_INSTANCES; i++) {
		int64_t delay_us =
		    i == world->leader
			? 0
			: once_between(world, 0, MAX_FOLLOWER_DELAY_US);

		loop_at(world, world->now_us + delay_us, i, on_apply,
		    &world->instances[i]);
	}
}

static void
append(world_t *world, GByteArray *bytes)
{
	log_entry_t *entry = g_new0(log_entry_t, 1);
	command_t command = {0};

	if (bytes != NULL) {
		entry->bytes = g_byte_array_ref(bytes);
		codec_decode((xdrproc_t)xdr_command_t,
		    (str_t){(char *)bytes->data, bytes->len}, &command);
		check_committed(world, &command);
		codec_free((xdrproc_t)xdr_command_t, &command);
	}
	g_ptr_array_add(world->log, entry);
	schedule_apply(world);
}

/* ---- proposing ---- */

static bool
can_commit(const instance_t *instance)
{
	return instance->alive && !instance->frozen && !instance->isolated &&
	       instance->world->leader == instance->index;
}

/* Commits what the leader has proposed, in order, if it reaches its peers. */
static void
commit_pending(instance_t *instance)
{
	if (!can_commit(instance))
		return;
	for (GList *at = instance->pending.head; at != NULL; at = at->next) {
		proposal_t *proposal = at->data;

		if (proposal->index != NOT_COMMITTED ||
		    proposal->term != instance->world->term)
			continue;
		proposal->index = instance->world->log->len;
		append(instance->world, proposal->bytes);
	}
}

/* An event of the peers: it happens although the leader may be frozen. */
static void
on_commit_due(void *ctx, bool dropped)
{
	if (!dropped)
		commit_pending(ctx);
}

void
replica_propose_in_term(replica_t *replica, const command_t *command,
    uint64_t term, replica_done_t *done, void *ctx)
{
	instance_t *instance = instance_of(replica);
	proposal_t *proposal = g_new0(proposal_t, 1);

	*proposal = (proposal_t){.instance = instance,
	    .bytes = codec_encode_command(command),
	    .term = term,
	    .done = done,
	    .ctx = ctx,
	    .index = NOT_COMMITTED};
	g_queue_push_tail(&instance->pending, proposal);
	loop_after(instance->world,
	    once_between(instance->world, MIN_COMMIT_US, MAX_COMMIT_US),
	    on_commit_due, instance);
}

void
replica_propose(replica_t *replica, const command_t *command,
    int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	replica_propose_in_term(
	    replica, command, instance_of(replica)->term, done, ctx);
}

void
replica_read_barrier(
    replica_t *replica, int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	g_assert_not_reached(); /* only operators' calls need it */
}

typedef struct {
	world_t *world;
	GByteArray *bytes;
} client_command_t;

static void
on_client_command(void *ctx, bool dropped)
{
	client_command_t *command = ctx;
	world_t *world = command->world;
	bool commits = world->leader != ONCE_NO_OWNER &&
		       can_commit(&world->instances[world->leader]);

	if (!dropped && !commits) {
		loop_after(world, CLIENT_RETRY_US, on_client_command, command);
		return;
	}
	if (!dropped)
		append(world, command->bytes);
	g_byte_array_unref(command->bytes);
	g_free(command);
}

void
client_propose(world_t *world, GByteArray *bytes)
{
	client_command_t *command = g_new0(client_command_t, 1);

	*command = (client_command_t){world, bytes};
	loop_after(world, once_between(world, MIN_COMMIT_US, MAX_COMMIT_US),
	    on_client_command, command);
}

/* ---- what the scheduler asks ---- */

const machine_t *
replica_machine(const replica_t *replica)
{
	return instance_of(replica)->machine;
}

bool
replica_is_caught_up_leader(const replica_t *replica)
{
	const instance_t *instance = instance_of(replica);

	return instance->believes && instance->applied >= instance->term_start;
}

bool
replica_has_lease(const replica_t *replica)
{
	const instance_t *instance = instance_of(replica);

	return replica_is_caught_up_leader(replica) &&
	       instance->world->now_us < instance->lease_until_us;
}

const char *
replica_leader_id(const replica_t *replica)
{
	return "";
}

peer_info_t
replica_peer_info(const replica_t *replica, const char *id)
{
	return (peer_info_t){0};
}

const raft_t *
replica_raft(const replica_t *replica)
{
	return (const raft_t *)(const void *)replica;
}

uint64_t
raft_term(const raft_t *raft)
{
	return ((const instance_t *)(const void *)raft)->term;
}

/* ---- elections ---- */

/* Decides about what the old leader proposed and did not commit itself. */
static void
inherit(world_t *world, instance_t *old)
{
	for (GList *at = old->pending.head; at != NULL; at = at->next) {
		proposal_t *proposal = at->data;

		if (proposal->index != NOT_COMMITTED)
			continue;
		/* A log has no gaps: the rest is lost with the first. */
		if (once_chance(world, 0.5))
			break;
		story_add(world, NULL, NULL,
		    "a proposal of i%d is committed by its successor",
		    old->index);
		proposal->index = world->log->len;
		append(world, proposal->bytes);
	}
}

static void
step_down(instance_t *instance, const char *why)
{
	GQueue pending;
	proposal_t *proposal;

	if (!instance->believes)
		return;
	/* Its followers may have what it proposed. */
	if (instance->world->leader == instance->index)
		inherit(instance->world, instance);
	pending = instance->pending;
	story_add(instance->world, NULL, NULL,
	    "i%d learns that it leads no "
	    "more: %s",
	    instance->index, why);
	instance->believes = false;
	g_queue_init(&instance->pending);
	while ((proposal = g_queue_pop_head(&pending)) != NULL)
		finish(proposal, -ETIMEDOUT);
}

static void
on_deposed(void *ctx, bool dropped)
{
	instance_t *instance = ctx;

	if (dropped || instance->isolated ||
	    instance->world->leader == instance->index)
		return;
	apply_all(instance);
	step_down(instance, "deposed");
}

static void
elect(world_t *world, instance_t *instance)
{
	instance_t *old = world->leader == ONCE_NO_OWNER
			      ? NULL
			      : &world->instances[world->leader];

	if (old != NULL)
		inherit(world, old);
	world->leader = instance->index;
	instance->term = ++world->term;
	instance->believes = true;
	append(world, NULL);
	instance->term_start = world->log->len;
	story_add(world, NULL, NULL, "i%d is elected, term %u", instance->index,
	    (unsigned)instance->term);
	/* Its own apply event may be behind the announcements of the term. */
	if (old != NULL && old != instance)
		loop_at(world,
		    world->now_us + once_between(world, 1, HEARTBEAT_US),
		    old->index, on_deposed, old);
}

static bool
is_connected(const instance_t *instance)
{
	return instance->alive && !instance->frozen && !instance->isolated;
}

static void
try_election(world_t *world)
{
	int first = (int)once_between(world, 0, ONCE_INSTANCES);
	int connected = 0;
	instance_t *candidate = NULL;

	for (int n = 0; n < ONCE_INSTANCES; n++) {
		instance_t *instance =
		    &world->instances[(first + n) % ONCE_INSTANCES];

		if (!is_connected(instance))
			continue;
		connected++;
		if (candidate == NULL)
			candidate = instance;
	}
	if (connected * 2 > ONCE_INSTANCES)
		elect(world, candidate);
}

static void
check_quorum(instance_t *instance)
{
	world_t *world = instance->world;

	if (instance->alive && !instance->frozen && instance->isolated &&
	    world->now_us - instance->isolated_since_us > QUORUM_CHECK_US)
		step_down(instance, "no quorum");
}

static void
on_heartbeat(void *ctx, bool dropped)
{
	world_t *world = ctx;
	instance_t *leader = world->leader == ONCE_NO_OWNER
				 ? NULL
				 : &world->instances[world->leader];

	if (dropped)
		return;
	if (leader != NULL && is_connected(leader) && leader->believes) {
		leader->lease_until_us = world->now_us + QUORUM_LEASE_US;
		world->election_us =
		    leader->lease_until_us +
		    once_between(world, MIN_ELECTION_US, MAX_ELECTION_US);
	} else if (world->now_us >= world->election_us) {
		try_election(world);
	}
	for (int i = 0; i < ONCE_INSTANCES; i++)
		check_quorum(&world->instances[i]);
	loop_after(world, HEARTBEAT_US, on_heartbeat, world);
}

/* ---- life of an instance ---- */

void
instance_start(instance_t *instance)
{
	fleet_timing_t timing = {
	    .worker_announce_interval_ms = ONCE_ANNOUNCE_MS,
	    .lease_ms = ONCE_LEASE_MS,
	    .ended_job_retention_ms = RETENTION_MS,
	    .reclaim_ms = RECLAIM_MS,
	};
	order_transport_t orders = orders_transport(instance);

	instance->generation++;
	instance->alive = true;
	instance->applied = 0;
	instance->machine = machine_create();
	apply_all(instance);
	instance->fleet = fleet_create((struct ev_loop *)(void *)instance,
	    (replica_t *)(void *)instance, &timing, &orders);
}

/* Frees the fleet and the state; the log stays. */
static void
destroy(instance_t *instance)
{
	proposal_t *proposal;

	instance->alive = false;
	instance->frozen = false;
	fleet_destroy(instance->fleet);
	instance->fleet = NULL;
	while ((proposal = g_queue_pop_head(&instance->pending)) != NULL)
		finish(proposal, -ETIMEDOUT);
	machine_destroy(instance->machine);
	instance->machine = NULL;
	instance->believes = false;
	loop_release(instance->world, instance);
}

static void
on_start(void *ctx, bool dropped)
{
	instance_t *instance = ctx;

	if (dropped || instance->alive)
		return;
	story_add(instance->world, NULL, NULL, "i%d starts", instance->index);
	instance_start(instance);
}

/* Kills an instance; what it had proposed may still be committed. */
void
instance_kill(instance_t *instance)
{
	world_t *world = instance->world;

	if (!instance->alive || instance->isolated)
		return;
	story_add(world, NULL, NULL, "i%d is killed", instance->index);
	if (world->leader == instance->index) {
		inherit(world, instance);
		world->leader = ONCE_NO_OWNER;
	}
	destroy(instance);
	loop_after(world,
	    once_between(world, ONCE_US_PER_S / 2, 4 * ONCE_US_PER_S), on_start,
	    instance);
}

static void
on_thaw(void *ctx, bool dropped)
{
	instance_t *instance = ctx;
	world_t *world = instance->world;

	if (dropped || !instance->frozen)
		return;
	story_add(world, NULL, NULL, "i%d is resumed", instance->index);
	instance->frozen = false;
	instance->resumed_ms = clock_mono_ms();
	loop_release(world, instance);
	commit_pending(instance);
	if (world->leader != instance->index)
		loop_at(world,
		    world->now_us + once_between(world, 1, HEARTBEAT_US),
		    instance->index, on_deposed, instance);
}

void
instance_freeze(instance_t *instance, int64_t duration_us)
{
	if (!instance->alive || instance->frozen)
		return;
	story_add(
	    instance->world, NULL, NULL, "i%d is suspended", instance->index);
	instance->frozen = true;
	loop_after(instance->world, duration_us, on_thaw, instance);
}

static void
on_reconnect(void *ctx, bool dropped)
{
	instance_t *instance = ctx;
	world_t *world = instance->world;

	if (dropped)
		return;
	story_add(
	    world, NULL, NULL, "i%d reaches its peers again", instance->index);
	instance->isolated = false;
	loop_at(world, world->now_us + once_between(world, 1, HEARTBEAT_US),
	    instance->index, on_apply, instance);
	if (world->leader != instance->index)
		loop_at(world,
		    world->now_us + once_between(world, 1, HEARTBEAT_US),
		    instance->index, on_deposed, instance);
	else
		commit_pending(instance);
}

void
instance_isolate(instance_t *instance, int64_t duration_us)
{
	if (!instance->alive || instance->isolated)
		return;
	story_add(instance->world, NULL, NULL, "i%d is cut off from its peers",
	    instance->index);
	instance->isolated = true;
	instance->isolated_since_us = instance->world->now_us;
	loop_after(instance->world, duration_us, on_reconnect, instance);
}

/* ---- the group ---- */

static void
log_entry_free(void *data)
{
	log_entry_t *entry = data;

	if (entry->bytes != NULL)
		g_byte_array_unref(entry->bytes);
	g_free(entry);
}

void
replica_world_start(world_t *world)
{
	world->log = g_ptr_array_new_with_free_func(log_entry_free);
	world->leader = ONCE_NO_OWNER;
	for (int i = 0; i < ONCE_INSTANCES; i++) {
		instance_t *instance = &world->instances[i];

		instance->world = world;
		instance->index = i;
		g_queue_init(&instance->held);
		g_queue_init(&instance->pending);
		instance_start(instance);
	}
	on_heartbeat(world, false);
}

void
replica_world_stop(world_t *world)
{
	for (int i = 0; i < ONCE_INSTANCES; i++) {
		if (world->instances[i].alive)
			destroy(&world->instances[i]);
	}
	g_ptr_array_unref(world->log);
}
