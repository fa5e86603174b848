#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "tests/unit/replica_bed.h"
#include "tests/unit/runner.h"

#define TEST_TIMEOUT_S 240
#define SHORT_MS 1500
#define SMALL_SNAPSHOTS ",\"snapshot_entries\":64"
/* More than raft keeps before a snapshot for slow members. */
#define MANY_ENTRIES 600
/* Six of the shortest election timeouts. */
#define ELECTIONS_MS 2400

/* Guards against proposals that are lost or not visible where they were made,
 * and against instances that do not converge. */
START_TEST(propose_anywhere)
{
	char name[16];
	replica_bed_t bed;

	replica_bed_open(&bed, 4, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	for (int i = 0; i < 4; i++) {
		g_snprintf(name, sizeof(name), "from-%d", i);
		put(&bed, i, name);
	}
	for (int i = 0; i < 4; i++) {
		for (int j = 0; j < 4; j++) {
			g_snprintf(name, sizeof(name), "from-%d", j);
			wait_visible(&bed, i, name);
		}
		ck_assert_int_ge(bed.nodes[i].applied, 4);
	}
	/* The learner must never become a voter. */
	ck_assert_int_eq(
	    raft_state(replica_raft(bed.nodes[3].replica)), RAFT_LEARNER_STATE);
	WAIT(&bed, is_safe_to_replace, &bed);
	replica_bed_close(&bed);
}
END_TEST

/* Guards against a barrier that returns before earlier writes are visible. */
START_TEST(read_barrier)
{
	put_t barrier = {0};
	put_t write;
	replica_bed_t bed;
	char name[16];

	replica_bed_open(&bed, 4, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	for (int reader = 0; reader < 4; reader++) {
		int writer = (reader + 1) % 4;

		g_snprintf(name, sizeof(name), "write-%d", reader);
		put_start(&bed, writer, &write, name, LONG_MS);
		WAIT(&bed, put_ended, &write);
		barrier = (put_t){.bed = &bed, .node = reader};
		g_strlcpy(barrier.name, name, sizeof(barrier.name));
		replica_read_barrier(
		    bed.nodes[reader].replica, LONG_MS, put_done, &barrier);
		WAIT(&bed, put_ended, &barrier);
		ck_assert_int_eq(barrier.code, 0);
		ck_assert(barrier.visible);
	}
	replica_bed_close(&bed);
}
END_TEST

typedef struct {
	replica_bed_t *bed;
	int observer;
	const char *id;
	bool alive;
} liveness_t;

static bool
is_reported(void *ctx)
{
	liveness_t *want = ctx;
	const machine_instance_t *instance = machine_instance(
	    replica_machine(want->bed->nodes[want->observer].replica),
	    want->id);

	return instance != NULL && instance->alive == want->alive;
}

/* Guards against proposals lost with a leader, and against an instance whose
 * loss or return is not reported. */
START_TEST(leader_stops)
{
	enum { COUNT = 40 };
	static put_t puts[COUNT];
	liveness_t liveness = {.alive = true};
	char name[16];
	char id[8];
	int leader;
	int other;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	leader = leader_of(&bed);
	other = other_than(&bed, leader);
	g_snprintf(id, sizeof(id), "i%d", leader + 1);
	liveness.bed = &bed;
	liveness.observer = other;
	liveness.id = id;
	WAIT(&bed, is_reported, &liveness);
	for (int i = 0; i < COUNT; i++) {
		g_snprintf(name, sizeof(name), "n%d", i);
		put_start(&bed, other, &puts[i], name, LONG_MS);
		if (i == COUNT / 2) {
			WAIT(&bed, put_ended, &puts[0]);
			stop_node(&bed, (size_t)leader);
		}
	}
	for (int i = 0; i < COUNT; i++) {
		WAIT(&bed, put_ended, &puts[i]);
		ck_assert_int_eq(puts[i].code, 0);
		ck_assert_int_eq(puts[i].ended, 1);
		ck_assert(puts[i].visible);
	}
	ck_assert_int_ne(leader_of(&bed), leader);
	liveness.alive = false;
	WAIT(&bed, is_reported, &liveness);
	start_node(&bed, (size_t)leader);
	liveness.alive = true;
	WAIT(&bed, is_reported, &liveness);
	wait_visible(&bed, leader, "n39");
	replica_bed_close(&bed);
}
END_TEST

static void
put_in_term(
    replica_bed_t *bed, int node, put_t *put, const char *name, uint64_t term)
{
	command_t command = put_command(bed, node, put, name);

	replica_propose_in_term(
	    bed->nodes[node].replica, &command, term, put_done, put);
}

/* Guards against the next leader committing a command of a former leader that
 * contradicts its own: a unit was started twice under one run number. */
START_TEST(propose_in_term)
{
	uint64_t term;
	put_t follower;
	put_t earlier;
	put_t leading;
	put_t cut_off;
	int leader;
	int other;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	leader = leader_of(&bed);
	other = other_than(&bed, leader);
	term = raft_term(replica_raft(bed.nodes[leader].replica));
	put_in_term(&bed, leader, &leading, "leading", term);
	put_in_term(&bed, leader, &earlier, "earlier", term - 1);
	put_in_term(&bed, other, &follower, "follower", term);
	WAIT(&bed, put_ended, &leading);
	WAIT(&bed, put_ended, &earlier);
	WAIT(&bed, put_ended, &follower);
	ck_assert_int_eq(leading.code, 0);
	ck_assert_int_eq(earlier.code, -ENOTCONN);
	ck_assert_int_eq(follower.code, -ENOTCONN);
	put(&bed, leader, "later");
	ck_assert(!has(&bed, leader, "earlier"));
	ck_assert(!has(&bed, leader, "follower"));
	for (int i = 0; i < 3; i++) {
		if (i != leader)
			stop_node(&bed, (size_t)i);
	}
	put_in_term(&bed, leader, &cut_off, "cut-off", term);
	WAIT(&bed, put_ended, &cut_off);
	ck_assert_int_eq(cut_off.code, -ETIMEDOUT);
	ck_assert(!replica_is_leader(bed.nodes[leader].replica));
	replica_bed_close(&bed);
}
END_TEST

/* Guards against state that does not survive a restart of all replicas, with
 * and without a snapshot. */
START_TEST(restart_from_disk)
{
	const char *more = _i == 0 ? "" : SMALL_SNAPSHOTS;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, more);
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	put_many(&bed, leader_of(&bed), "kept", 200);
	for (size_t i = 0; i < 3; i++)
		stop_node(&bed, i);
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	for (int i = 0; i < 3; i++) {
		wait_visible(&bed, i, "kept0");
		wait_visible(&bed, i, "kept199");
	}
	put(&bed, 0, "after");
	if (_i == 1)
		ck_assert_int_gt(
		    counter_value(counter_get("replica_snapshots_total", "")),
		    0);
	replica_bed_close(&bed);
}
END_TEST

/* Guards against an instance that starts late and cannot catch up once the
 * start of the log was compacted. */
START_TEST(learner_catches_up_by_snapshot)
{
	counter_t *received =
	    counter_get("replica_snapshots_received_total", "");
	replica_bed_t bed;

	replica_bed_open(&bed, 4, 3, SMALL_SNAPSHOTS);
	for (size_t i = 0; i < 3; i++)
		start_node(&bed, i);
	WAIT(&bed, all_confirmed, &bed);
	put_many(&bed, leader_of(&bed), "entry", MANY_ENTRIES);
	ck_assert_int_eq(counter_value(received), 0);
	start_node(&bed, 3);
	wait_visible(&bed, 3, "entry0");
	wait_visible(&bed, 3, "entry599");
	ck_assert_int_eq(counter_value(received), 1);
	WAIT(&bed, all_confirmed, &bed);
	put(&bed, 3, "own");
	/* Without a disk it starts from nothing each time. */
	stop_node(&bed, 3);
	start_node(&bed, 3);
	ck_assert(!replica_was_confirmed(bed.nodes[3].replica));
	WAIT(&bed, all_confirmed, &bed);
	ck_assert(has(&bed, 3, "own"));
	replica_bed_close(&bed);
}
END_TEST

static bool
time_passed(void *ctx)
{
	return clock_mono_ms() >= *(int64_t *)ctx;
}

/* Runs for several election timeouts, to show that nothing changes. */
static void
run_election_timeouts(replica_bed_t *bed)
{
	int64_t until_ms = clock_mono_ms() + ELECTIONS_MS;

	WAIT(bed, time_passed, &until_ms);
}

static void
replace_done(void *ctx, const err_t *err, const command_result_t *result)
{
	put_t *replace = ctx;

	replace->ended++;
	replace->code = err->code != 0 ? err->code : result->code;
}

static void
order_replacement(replica_bed_t *bed, int node, const char *id)
{
	command_t command = {.kind = COMMAND_REPLACE};
	put_t replace = {0};

	/* The command is refused for an instance that never announced itself.
	 */
	wait_visible(bed, node, id);
	command.command_t_u.replace = (char *)id;
	replica_propose(bed->nodes[node].replica, &command, LONG_MS,
	    replace_done, &replace);
	WAIT(bed, put_ended, &replace);
	ck_assert_int_eq(replace.code, 0);
}

static void
lose_disk(replica_bed_t *bed, int node)
{
	size_t i = (size_t)node;

	ck_assert(i < MAX_NODES);
	stop_node(bed, i);
	system_remove_folder(bed->system->settings[i]->data_folder);
	start_node(bed, i);
}

static raft_state_t
state_of(const replica_bed_t *bed, int i)
{
	return raft_state(replica_raft(bed->nodes[i].replica));
}

/* Guards against votes of a replica that lost its disk, and against a
 * replacement that never votes again. */
START_TEST(lost_disk_then_replacement)
{
	char id[8];
	int lost;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	put_many(&bed, 0, "old", 20);
	WAIT(&bed, is_safe_to_replace, &bed);
	lost = other_than(&bed, leader_of(&bed));
	g_snprintf(id, sizeof(id), "i%d", lost + 1);
	lose_disk(&bed, lost);
	wait_visible(&bed, lost, "old19");
	WAIT(&bed, all_confirmed, &bed);
	run_election_timeouts(&bed);
	ck_assert(!is_safe_to_replace(&bed));
	ck_assert_int_eq(state_of(&bed, lost), RAFT_LEARNER_STATE);
	order_replacement(&bed, leader_of(&bed), id);
	WAIT(&bed, is_safe_to_replace, &bed);
	ck_assert_int_eq(state_of(&bed, lost), RAFT_FOLLOWER);
	put(&bed, lost, "new");
	replica_bed_close(&bed);
}
END_TEST

typedef struct {
	replica_bed_t *bed;
	int node;
} node_ref_t;

static bool
is_learner(void *ctx)
{
	node_ref_t *node = ctx;

	return state_of(node->bed, node->node) == RAFT_LEARNER_STATE;
}

/* Guards against the old disk voting again after its replacement was ordered,
 * for a follower and for the leader itself. */
START_TEST(replacement_then_new_disk)
{
	node_ref_t replaced = {0};
	char id[8];
	int leader;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	WAIT(&bed, is_safe_to_replace, &bed);
	leader = leader_of(&bed);
	replaced.bed = &bed;
	replaced.node = _i == 0 ? other_than(&bed, leader) : leader;
	g_snprintf(id, sizeof(id), "i%d", replaced.node + 1);
	order_replacement(&bed, leader, id);
	WAIT(&bed, is_learner, &replaced);
	WAIT(&bed, all_confirmed, &bed);
	run_election_timeouts(&bed);
	ck_assert(is_learner(&replaced));
	ck_assert(!is_safe_to_replace(&bed));
	lose_disk(&bed, replaced.node);
	WAIT(&bed, is_safe_to_replace, &bed);
	put(&bed, replaced.node, "new");
	replica_bed_close(&bed);
}
END_TEST

/* ---- instances that the settings no longer list ---- */

static const raft_member_t *
member_of(const replica_bed_t *bed, const char *id)
{
	int leader = leader_of(bed);
	const raft_members_t *members;

	if (leader < 0)
		return NULL;
	members = raft_members(replica_raft(bed->nodes[leader].replica));
	for (u_int i = 0; i < members->members.members_len; i++) {
		if (strcmp(members->members.members_val[i].id, id) == 0)
			return &members->members.members_val[i];
	}
	return NULL;
}

static bool
fourth_is_member(void *ctx)
{
	return leader_of(ctx) >= 0 && member_of(ctx, "i4") != NULL;
}

static bool
fourth_is_gone(void *ctx)
{
	return leader_of(ctx) >= 0 && member_of(ctx, "i4") == NULL;
}

static bool
third_is_gone(void *ctx)
{
	return leader_of(ctx) >= 0 && member_of(ctx, "i3") == NULL;
}

/* Stops all instances and starts the first ones with settings that end there.
 */
static void
restart_without_last(replica_bed_t *bed)
{
	size_t kept = bed->system->count - 1;

	for (size_t i = 0; i <= kept; i++)
		stop_node(bed, i);
	for (size_t i = 0; i < kept; i++) {
		bed->system->settings[i]->peer_count = kept;
		start_node(bed, i);
	}
}

/* Restores peer_count, by which the settings free their peers. */
static void
restore_peer_count(replica_bed_t *bed)
{
	for (size_t i = 0; i < bed->system->count; i++)
		bed->system->settings[i]->peer_count = bed->system->count;
}

/* Guards against learners that stay members after they were removed from the
 * settings. */
START_TEST(learner_not_in_settings)
{
	replica_bed_t bed;

	replica_bed_open(&bed, 4, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	WAIT(&bed, fourth_is_member, &bed);
	restart_without_last(&bed);
	WAIT(&bed, all_confirmed, &bed);
	WAIT(&bed, fourth_is_gone, &bed);
	ck_assert_ptr_nonnull(member_of(&bed, "i3"));
	put(&bed, 0, "later");
	restore_peer_count(&bed);
	replica_bed_close(&bed);
}
END_TEST

/* Guards against a voter that loses its vote because it is missing from the
 * settings, without an operator's order. */
START_TEST(voter_not_in_settings)
{
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, is_safe_to_replace, &bed);
	for (int i = 0; i < 3; i++)
		wait_visible(&bed, i, "i3");
	restart_without_last(&bed);
	WAIT(&bed, all_confirmed, &bed);
	/* Longer than the silence after which a learner is removed. */
	run_election_timeouts(&bed);
	run_election_timeouts(&bed);
	WAIT(&bed, all_confirmed, &bed);
	ck_assert_ptr_nonnull(member_of(&bed, "i3"));
	ck_assert_int_eq(member_of(&bed, "i3")->role, MEMBER_VOTER);
	order_replacement(&bed, leader_of(&bed), "i3");
	WAIT(&bed, third_is_gone, &bed);
	put(&bed, 0, "later");
	restore_peer_count(&bed);
	replica_bed_close(&bed);
}
END_TEST

/* Guards against a replica that came too late for the bootstrap and never
 * gets its vote. */
START_TEST(replica_late_for_bootstrap)
{
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_endpoint(&bed, 2);
	start_node(&bed, 0);
	start_node(&bed, 1);
	WAIT(&bed, all_confirmed, &bed);
	put(&bed, 0, "early");
	ck_assert(!is_safe_to_replace(&bed));
	stop_node(&bed, 2);
	start_node(&bed, 2);
	WAIT(&bed, is_safe_to_replace, &bed);
	ck_assert_int_eq(state_of(&bed, 2), RAFT_FOLLOWER);
	ck_assert(has(&bed, 2, "early"));
	replica_bed_close(&bed);
}
END_TEST

/* Guards against a second bootstrap by replicas that lost their disks while the
 * one that holds the log is stopped. */
START_TEST(no_second_bootstrap)
{
	int holder;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	put_many(&bed, 0, "old", 20);
	for (int i = 0; i < 3; i++)
		wait_visible(&bed, i, "old19");
	holder = leader_of(&bed);
	for (size_t i = 0; i < 3; i++)
		stop_node(&bed, i);
	for (int i = 0; i < 3; i++) {
		if (i == holder)
			continue;
		system_remove_folder(bed.system->settings[i]->data_folder);
		start_node(&bed, (size_t)i);
	}
	run_election_timeouts(&bed);
	ck_assert_int_eq(leader_of(&bed), -1);
	start_node(&bed, (size_t)holder);
	run_election_timeouts(&bed);
	/* Without a majority of intact disks there is no leader at all. */
	ck_assert_int_eq(leader_of(&bed), -1);
	for (int i = 0; i < 3; i++)
		ck_assert(i == holder || !has(&bed, i, "old0"));
	replica_bed_close(&bed);
}
END_TEST

/* Guards against a bootstrap before the other replicas were asked. */
START_TEST(bootstrap_asks_first)
{
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_node(&bed, 0);
	start_node(&bed, 1);
	run_election_timeouts(&bed);
	for (int i = 0; i < 2; i++)
		ck_assert_uint_eq(
		    raft_last_index(replica_raft(bed.nodes[i].replica)), 0);
	start_node(&bed, 2);
	WAIT(&bed, all_confirmed, &bed);
	put(&bed, 0, "first");
	WAIT(&bed, is_safe_to_replace, &bed);
	replica_bed_close(&bed);
}
END_TEST

/* Guards against -ENOTCONN for a proposal that may still be applied, and
 * against -ETIMEDOUT for one that never left this instance. */
START_TEST(outcome_without_quorum)
{
	put_t at_follower;
	put_t at_leader;
	int leader;
	int other;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	leader = leader_of(&bed);
	other = other_than(&bed, leader);
	for (int i = 0; i < 3; i++) {
		if (i != leader)
			stop_node(&bed, (size_t)i);
	}
	put_start(&bed, leader, &at_leader, "maybe", SHORT_MS);
	WAIT(&bed, put_ended, &at_leader);
	ck_assert_int_eq(at_leader.code, -ETIMEDOUT);
	/* By now it has stepped down. */
	ck_assert_int_eq(leader_of(&bed), -1);
	put_start(&bed, leader, &at_follower, "never", SHORT_MS);
	WAIT(&bed, put_ended, &at_follower);
	ck_assert_int_eq(at_follower.code, -ENOTCONN);
	start_node(&bed, (size_t)other);
	WAIT(&bed, all_confirmed, &bed);
	put(&bed, other, "later");
	ck_assert(!has(&bed, other, "never"));
	replica_bed_close(&bed);
}
END_TEST

/*
 * Guards against "never applied" for a proposal that was forwarded and not
 * answered at its deadline, which is 1 to 3 ms here.
 */
START_TEST(outcome_of_forwarded_at_deadline)
{
	enum { PUTS = 300 };
	put_t puts[PUTS];
	char names[PUTS][16];
	int wrong = 0;
	int follower;
	replica_bed_t bed;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	follower = other_than(&bed, leader_of(&bed));
	for (int i = 0; i < PUTS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "short%d", i);
		put_start(&bed, follower, &puts[i], names[i], 1 + i % 3);
		WAIT(&bed, put_ended, &puts[i]);
	}
	put(&bed, follower, "last");
	for (int i = 0; i < PUTS; i++)
		wrong +=
		    puts[i].code == -ENOTCONN && has(&bed, follower, names[i]);
	ck_assert_int_eq(wrong, 0);
	replica_bed_close(&bed);
}
END_TEST

static bool
names_no_leader(void *ctx)
{
	const node_t *node = ctx;

	return replica_leader_id(node->replica)[0] == '\0';
}

/*
 * Guards against an instance that cannot campaign and that names the leader
 * from which it is cut off to everybody who asks.
 */
START_TEST(learner_forgets_silent_leader)
{
	const size_t learner = 3;
	replica_bed_t bed;

	replica_bed_open(&bed, learner + 1, learner, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	ck_assert(!names_no_leader(&bed.nodes[learner]));
	for (size_t i = 0; i < learner; i++)
		stop_node(&bed, i);
	WAIT(&bed, names_no_leader, &bed.nodes[learner]);
	replica_bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("replica");
	TCase *tcase = tcase_create("replica");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, propose_anywhere);
	tcase_add_test(tcase, read_barrier);
	tcase_add_test(tcase, leader_stops);
	tcase_add_test(tcase, propose_in_term);
	tcase_add_loop_test(tcase, restart_from_disk, 0, 2);
	tcase_add_test(tcase, learner_catches_up_by_snapshot);
	tcase_add_test(tcase, lost_disk_then_replacement);
	tcase_add_loop_test(tcase, replacement_then_new_disk, 0, 2);
	tcase_add_test(tcase, learner_not_in_settings);
	tcase_add_test(tcase, voter_not_in_settings);
	tcase_add_test(tcase, replica_late_for_bootstrap);
	tcase_add_test(tcase, no_second_bootstrap);
	tcase_add_test(tcase, bootstrap_asks_first);
	tcase_add_test(tcase, outcome_without_quorum);
	tcase_add_test(tcase, outcome_of_forwarded_at_deadline);
	tcase_add_test(tcase, learner_forgets_silent_leader);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
