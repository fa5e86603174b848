#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "state/raft_internal.h"
#include "tests/unit/raft_sim.h"
#include "tests/unit/runner.h"

#define ELECTION_MS 500
#define SLOW_DISK_LIMIT_MS 15000

/*
 * Participant "a" with disk 1, one of the voters a, b and c.  The test
 * simulates the other voters and the storage.
 */
typedef struct {
	raft_t *raft;
	GPtrArray *sent; /* raft_message_t */
	GArray *tickets;
	int saved_votes;
	uint64_t applied;
	int64_t now_ms;
	uint64_t round;
} fixture_t;

static raft_member_t voters[] = {
    {"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2}, {"c", MEMBER_VOTER, 3}};

static void
free_message(gpointer data)
{
	xdr_free((xdrproc_t)xdr_raft_message_t, data);
	g_free(data);
}

static void
on_send(void *ctx, const raft_message_t *message)
{
	fixture_t *f = ctx;
	raft_message_t *value = (raft_message_t *)message;
	raft_message_t *copy = g_new0(raft_message_t, 1);
	u_long size = xdr_sizeof((xdrproc_t)xdr_raft_message_t, value);
	char *bytes = g_malloc(size);
	XDR xdr;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	ck_assert(xdr_raft_message_t(&xdr, value));
	xdr_destroy(&xdr);
	xdrmem_create(&xdr, bytes, (u_int)size, XDR_DECODE);
	ck_assert(xdr_raft_message_t(&xdr, copy));
	xdr_destroy(&xdr);
	g_free(bytes);
	g_ptr_array_add(f->sent, copy);
}

static void
on_save_vote(void *ctx, uint64_t term, const char *vote)
{
	((fixture_t *)ctx)->saved_votes++;
}

static void
on_append(void *ctx, const raft_entry_t *entry)
{
}

static void
on_truncate(void *ctx, uint64_t from_index)
{
}

static void
on_sync(void *ctx, uint64_t ticket)
{
	g_array_append_val(((fixture_t *)ctx)->tickets, ticket);
}

static void
on_apply(void *ctx, const raft_entry_t *entry)
{
	((fixture_t *)ctx)->applied = entry->index;
}

static const raft_callbacks_t callbacks = {
    .send = on_send,
    .save_vote = on_save_vote,
    .append = on_append,
    .truncate = on_truncate,
    .sync = on_sync,
    .apply = on_apply,
};

/* Starts "a" with entries of the given terms and the saved term and vote. */
static void
start(fixture_t *f, uint64_t disk_id, uint64_t term, const char *vote,
    const uint64_t *terms, int count)
{
	raft_options_t options = {
	    .id = "a",
	    .election_timeout_ms = ELECTION_MS,
	    .heartbeat_ms = 100,
	    .seed = 1,
	    .max_batch_entries = 100,
	    .saved = {.disk_id = disk_id,
		.term = term,
		.members = {{G_N_ELEMENTS(voters), voters}}},
	};

	memset(f, 0, sizeof(*f));
	f->sent = g_ptr_array_new_with_free_func(free_message);
	f->tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	f->now_ms = 10000;
	g_strlcpy(options.saved.vote, vote, sizeof(options.saved.vote));
	f->raft = raft_create(&options, &callbacks, f);
	for (int i = 0; i < count; i++) {
		raft_entry_t entry = {
		    .index = (uint64_t)i + 1, .term = terms[i]};

		raft_restore_entry(f->raft, &entry);
	}
	raft_start(f->raft, f->now_ms);
}

static void
stop(fixture_t *f)
{
	raft_destroy(f->raft);
	g_ptr_array_unref(f->sent);
	g_array_unref(f->tickets);
}

/* Completes all requested syncs, including those requested meanwhile. */
static void
sync_all(fixture_t *f)
{
	for (guint i = 0; i < f->tickets->len; i++)
		raft_synced(
		    f->raft, g_array_index(f->tickets, uint64_t, i), f->now_ms);
	g_array_set_size(f->tickets, 0);
}

/* Returns the last message of a kind sent to a member, or NULL. */
static const raft_message_t *
last_sent(const fixture_t *f, raft_kind_t kind, const char *to)
{
	for (guint i = f->sent->len; i > 0; i--) {
		const raft_message_t *message =
		    g_ptr_array_index(f->sent, i - 1);

		if (message->kind == kind && strcmp(message->to, to) == 0)
			return message;
	}
	return NULL;
}

static void
receive(fixture_t *f, const char *from, raft_message_t message)
{
	message.from = (char *)from;
	message.to = "a";
	if (message.disk_id == 0)
		message.disk_id = strcmp(from, "b") == 0 ? 2 : 3;
	raft_receive(f->raft, &message, f->now_ms);
}

/* Makes "a" the leader of the next term with the vote of b. */
static void
elect(fixture_t *f)
{
	const raft_message_t *request;

	f->now_ms += 2 * ELECTION_MS + 1;
	raft_tick(f->raft, f->now_ms);
	request = last_sent(f, RAFT_PREVOTE, "b");
	ck_assert_ptr_nonnull(request);
	receive(f, "b",
	    (raft_message_t){.kind = RAFT_PREVOTE_REPLY,
		.term = raft_term(f->raft),
		.round = request->round,
		.success = true});
	ck_assert_int_eq(raft_state(f->raft), RAFT_CANDIDATE);
	receive(f, "b",
	    (raft_message_t){.kind = RAFT_VOTE_REPLY,
		.term = raft_term(f->raft),
		.success = true});
}

static void
acknowledge(fixture_t *f, const char *from, uint64_t index)
{
	const raft_message_t *sent = last_sent(f, RAFT_APPEND, from);

	receive(f, from,
	    (raft_message_t){.kind = RAFT_APPEND_REPLY,
		.term = raft_term(f->raft),
		.success = true,
		.index = index,
		.commit = index,
		.round = sent != NULL ? sent->round : 0});
}

/*
 * Guards against a vote that is sent before it is durable, and against a second
 * vote in the same term after a restart.
 */
START_TEST(vote_after_sync)
{
	raft_message_t request = {
	    .kind = RAFT_VOTE, .term = 5, .index = 1, .log_term = 1};
	const uint64_t terms[] = {1};
	fixture_t f;

	start(&f, 1, 4, "", terms, 1);
	f.now_ms += ELECTION_MS;
	receive(&f, "b", request);
	ck_assert_ptr_null(last_sent(&f, RAFT_VOTE_REPLY, "b"));
	receive(&f, "c", request);
	ck_assert(!last_sent(&f, RAFT_VOTE_REPLY, "c")->success);
	sync_all(&f);
	ck_assert(last_sent(&f, RAFT_VOTE_REPLY, "b")->success);
	stop(&f);
	start(&f, 1, 5, "b", terms, 1);
	f.now_ms += ELECTION_MS;
	receive(&f, "c", request);
	ck_assert(!last_sent(&f, RAFT_VOTE_REPLY, "c")->success);
	receive(&f, "b", request);
	sync_all(&f);
	ck_assert(last_sent(&f, RAFT_VOTE_REPLY, "b")->success);
	stop(&f);
}
END_TEST

/* Guards against a candidate that becomes leader before its vote is durable. */
START_TEST(own_vote_after_sync)
{
	const uint64_t terms[] = {1};
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	elect(&f);
	ck_assert_int_eq(raft_state(f.raft), RAFT_CANDIDATE);
	sync_all(&f);
	ck_assert_int_eq(raft_state(f.raft), RAFT_LEADER);
	stop(&f);
}
END_TEST

typedef struct {
	uint64_t disk_id;
	uint64_t term;
	uint64_t index;
	uint64_t log_term;
	int64_t after_ms; /* since the last message from a leader */
	bool granted;
} vote_case_t;

/* Guards against votes for candidates that must not be elected. */
static const vote_case_t vote_cases[] = {
    {0, 5, 2, 2, ELECTION_MS, true}, {0, 5, 3, 2, ELECTION_MS, true},
    {0, 5, 1, 3, ELECTION_MS, true},
    {0, 5, 1, 2, ELECTION_MS, false},     /* shorter log */
    {0, 5, 9, 1, ELECTION_MS, false},     /* older log */
    {0, 3, 2, 2, ELECTION_MS, false},     /* older term */
    {9, 5, 2, 2, ELECTION_MS, false},     /* lost its disk */
    {0, 5, 2, 2, ELECTION_MS - 1, false}, /* a lease may be valid */
};

START_TEST(vote_table)
{
	const vote_case_t *c = &vote_cases[_i];
	const uint64_t terms[] = {1, 2};
	const raft_message_t *reply;
	fixture_t f;

	for (int kind = RAFT_PREVOTE; kind <= RAFT_VOTE; kind += 2) {
		start(&f, 1, 4, "", terms, 2);
		f.now_ms += c->after_ms;
		receive(&f, "b",
		    (raft_message_t){.kind = (raft_kind_t)kind,
			.disk_id = c->disk_id,
			.term = c->term,
			.index = c->index,
			.log_term = c->log_term});
		sync_all(&f);
		reply = last_sent(&f, (raft_kind_t)(kind + 1), "b");
		ck_assert_int_eq(reply != NULL && reply->success, c->granted);
		/* A pre-vote changes nothing. */
		if (kind == RAFT_PREVOTE)
			ck_assert_uint_eq(raft_term(f.raft), 4);
		stop(&f);
	}
}
END_TEST

/* Guards against acknowledging entries before they are durable. */
START_TEST(acknowledge_after_sync)
{
	raft_entry_t entries[] = {{.index = 1, .term = 2},
	    {.index = 2, .term = 2}, {.index = 3, .term = 2}};
	raft_message_t append = {.kind = RAFT_APPEND,
	    .term = 2,
	    .round = 1,
	    .commit = 2,
	    .entries = {3, entries}};
	const raft_message_t *reply;
	fixture_t f;

	start(&f, 1, 2, "", NULL, 0);
	receive(&f, "b", append);
	reply = last_sent(&f, RAFT_APPEND_REPLY, "b");
	ck_assert(reply->success);
	ck_assert_uint_eq(reply->index, 0);
	ck_assert_uint_eq(f.applied, 2);
	receive(&f, "b", append);
	ck_assert_uint_eq(last_sent(&f, RAFT_APPEND_REPLY, "b")->index, 0);
	sync_all(&f);
	ck_assert_uint_eq(last_sent(&f, RAFT_APPEND_REPLY, "b")->index, 3);
	stop(&f);
}
END_TEST

/*
 * Guards against a sync that was in flight during a truncation and then marks
 * the replacement entries as durable.
 */
START_TEST(truncation_during_sync)
{
	raft_entry_t old[] = {{.index = 1, .term = 2}, {.index = 2, .term = 2}};
	raft_entry_t new[] = {{.index = 1, .term = 3}};
	fixture_t f;

	start(&f, 1, 2, "", NULL, 0);
	receive(&f, "b",
	    (raft_message_t){
		.kind = RAFT_APPEND, .term = 2, .entries = {2, old}});
	ck_assert_uint_eq(f.tickets->len, 1);
	receive(&f, "c",
	    (raft_message_t){
		.kind = RAFT_APPEND, .term = 3, .entries = {1, new}});
	ck_assert_uint_eq(f.tickets->len, 1);
	raft_synced(f.raft, g_array_index(f.tickets, uint64_t, 0), f.now_ms);
	ck_assert_uint_eq(last_sent(&f, RAFT_APPEND_REPLY, "c")->index, 0);
	ck_assert_uint_eq(f.tickets->len, 2);
	raft_synced(f.raft, g_array_index(f.tickets, uint64_t, 1), f.now_ms);
	ck_assert_uint_eq(last_sent(&f, RAFT_APPEND_REPLY, "c")->index, 1);
	stop(&f);
}
END_TEST

/* Guards against a leader that counts its own entries before they are durable.
 */
START_TEST(leader_commits_after_sync)
{
	const uint64_t terms[] = {1};
	uint64_t index;
	uint64_t term;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	elect(&f);
	sync_all(&f);
	acknowledge(&f, "b", 2);
	ck_assert_uint_eq(raft_commit_index(f.raft), 2);
	/* Group commit: the next sync covers the writes made meanwhile. */
	for (int i = 0; i < 5; i++)
		ck_assert_int_eq(raft_propose(f.raft, (const uint8_t *)"x", 1,
				     &index, &term),
		    0);
	ck_assert_uint_eq(f.tickets->len, 1);
	acknowledge(&f, "b", 7);
	ck_assert_uint_eq(raft_commit_index(f.raft), 2);
	raft_synced(f.raft, g_array_index(f.tickets, uint64_t, 0), f.now_ms);
	ck_assert_uint_eq(raft_commit_index(f.raft), 3);
	ck_assert_uint_eq(f.tickets->len, 2);
	raft_synced(f.raft, g_array_index(f.tickets, uint64_t, 1), f.now_ms);
	ck_assert_uint_eq(raft_commit_index(f.raft), 7);
	ck_assert_uint_eq(f.tickets->len, 2);
	stop(&f);
}
END_TEST

/* Guards against large entries that pile up on a member whose disk refuses. */
START_TEST(window_in_bytes)
{
	const uint64_t terms[] = {1};
	GByteArray *large = g_byte_array_new();
	size_t sent = 0;
	uint64_t index;
	uint64_t term;
	fixture_t f;

	g_byte_array_set_size(large, RAFT_WINDOW_BYTES / 128);
	memset(large->data, 'x', large->len);
	start(&f, 1, 1, "", terms, 1);
	elect(&f);
	sync_all(&f);
	acknowledge(&f, "b", 2);
	g_ptr_array_set_size(f.sent, 0);
	for (int i = 0; i < 300; i++) {
		ck_assert_int_eq(raft_propose(f.raft, large->data, large->len,
				     &index, &term),
		    0);
		raft_tick(f.raft, ++f.now_ms);
	}
	for (guint i = 0; i < f.sent->len; i++) {
		const raft_message_t *message = g_ptr_array_index(f.sent, i);

		for (u_int n = 0; strcmp(message->to, "b") == 0 &&
				  n < message->entries.entries_len;
		     n++)
			sent += message->entries.entries_val[n].data.body_t_len;
	}
	ck_assert_uint_gt(sent, 0);
	ck_assert_uint_le(sent, RAFT_WINDOW_BYTES + RAFT_BATCH_BYTES);
	g_byte_array_unref(large);
	stop(&f);
}
END_TEST

/* Guards against committing an entry of an older term by counting replicas. */
START_TEST(old_term_entry_not_counted)
{
	const uint64_t terms[] = {1, 2};
	fixture_t f;

	start(&f, 1, 3, "", terms, 2);
	elect(&f);
	sync_all(&f);
	acknowledge(&f, "b", 2);
	acknowledge(&f, "c", 2);
	ck_assert_uint_eq(raft_commit_index(f.raft), 0);
	acknowledge(&f, "c", 3);
	ck_assert_uint_eq(raft_commit_index(f.raft), 3);
	stop(&f);
}
END_TEST

/*
 * Guards against a voter on a replaced disk that votes, is elected or counts
 * toward a commit.
 */
START_TEST(replaced_disk_excluded)
{
	const uint64_t terms[] = {1};
	const raft_message_t *request;
	fixture_t f;

	start(&f, 7, 1, "", terms, 1);
	f.now_ms += 20 * ELECTION_MS;
	raft_tick(f.raft, f.now_ms);
	ck_assert_int_eq(raft_state(f.raft), RAFT_LEARNER_STATE);
	receive(&f, "b",
	    (raft_message_t){
		.kind = RAFT_VOTE, .term = 9, .index = 9, .log_term = 9});
	sync_all(&f);
	ck_assert_uint_eq(f.sent->len, 0);
	stop(&f);

	start(&f, 1, 1, "", terms, 1);
	f.now_ms += 2 * ELECTION_MS + 1;
	raft_tick(f.raft, f.now_ms);
	request = last_sent(&f, RAFT_PREVOTE, "b");
	receive(&f, "b",
	    (raft_message_t){.kind = RAFT_PREVOTE_REPLY,
		.disk_id = 8,
		.term = 1,
		.round = request->round,
		.success = true});
	ck_assert_int_eq(raft_state(f.raft), RAFT_PRE_CANDIDATE);
	elect(&f);
	sync_all(&f);
	receive(&f, "c",
	    (raft_message_t){.kind = RAFT_APPEND_REPLY,
		.disk_id = 8,
		.term = raft_term(f.raft),
		.success = true,
		.index = 2,
		.commit = 2});
	ck_assert_uint_eq(raft_commit_index(f.raft), 0);
	acknowledge(&f, "c", 2);
	ck_assert_uint_eq(raft_commit_index(f.raft), 2);
	stop(&f);
}
END_TEST

/* Guards against late pre-vote replies that start an election. */
START_TEST(late_prevote_reply_ignored)
{
	const uint64_t terms[] = {1};
	uint64_t round;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	f.now_ms += 2 * ELECTION_MS + 1;
	raft_tick(f.raft, f.now_ms);
	round = last_sent(&f, RAFT_PREVOTE, "b")->round;
	f.now_ms += 2 * ELECTION_MS + 1;
	raft_tick(f.raft, f.now_ms);
	receive(&f, "b",
	    (raft_message_t){.kind = RAFT_PREVOTE_REPLY,
		.term = 1,
		.round = round,
		.success = true});
	ck_assert_int_eq(raft_state(f.raft), RAFT_PRE_CANDIDATE);
	ck_assert_uint_eq(raft_term(f.raft), 1);
	stop(&f);
}
END_TEST

/* Guards against reads that become ready without confirmed leadership. */
START_TEST(read_index)
{
	const uint64_t terms[] = {1};
	uint64_t ticket;
	uint64_t later;
	raft_message_t late;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	ck_assert_int_eq(raft_read_begin(f.raft, &ticket), -ENOTCONN);
	elect(&f);
	sync_all(&f);
	ck_assert_int_eq(raft_read_begin(f.raft, &ticket), -EAGAIN);
	late = (raft_message_t){.kind = RAFT_APPEND_REPLY,
	    .term = raft_term(f.raft),
	    .success = true,
	    .index = 2,
	    .commit = 2,
	    .round = last_sent(&f, RAFT_APPEND, "c")->round};
	acknowledge(&f, "b", 2);
	ck_assert_int_eq(raft_read_begin(f.raft, &ticket), 0);
	ck_assert(!raft_read_ready(f.raft, ticket));
	receive(&f, "c", late);
	ck_assert(!raft_read_ready(f.raft, ticket));
	ck_assert_int_eq(raft_read_begin(f.raft, &later), 0);
	acknowledge(&f, "b", 2);
	ck_assert(raft_read_ready(f.raft, ticket));
	/* The second read began after the first one's round was sent. */
	ck_assert(!raft_read_ready(f.raft, later));
	acknowledge(&f, "b", 2);
	ck_assert(raft_read_ready(f.raft, later));
	receive(&f, "c", (raft_message_t){.kind = RAFT_APPEND, .term = 99});
	ck_assert(!raft_read_ready(f.raft, ticket));
	stop(&f);
}
END_TEST

/* Guards against a lease that lasts longer than followers refuse votes. */
START_TEST(lease)
{
	const uint64_t terms[] = {1};
	int64_t sent_ms;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	elect(&f);
	sync_all(&f);
	ck_assert(!raft_has_quorum_lease(f.raft, f.now_ms));
	sent_ms = f.now_ms;
	f.now_ms += 90;
	acknowledge(&f, "b", 2);
	/* The lease starts when the heartbeat was sent: 80 % of 500 ms. */
	ck_assert(raft_has_quorum_lease(f.raft, sent_ms + 399));
	ck_assert(!raft_has_quorum_lease(f.raft, sent_ms + 400));
	/* Check-quorum. */
	raft_tick(f.raft, sent_ms + ELECTION_MS - 1);
	ck_assert_int_eq(raft_state(f.raft), RAFT_LEADER);
	raft_tick(f.raft, sent_ms + ELECTION_MS);
	ck_assert_int_eq(raft_state(f.raft), RAFT_FOLLOWER);
	stop(&f);
}
END_TEST

/*
 * Guards against leading, voting, campaigning and acknowledging while the
 * storage refuses writes, and against staying out of the quorum afterwards.
 */
START_TEST(storage_refuses)
{
	const uint64_t terms[] = {1};
	raft_entry_t entry = {.index = 2, .term = 99};
	const raft_message_t *reply;
	uint64_t index;
	uint64_t term;
	guint sent;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	elect(&f);
	sync_all(&f);
	raft_propose(f.raft, (const uint8_t *)"x", 1, &index, &term);
	raft_storage_refused(f.raft, f.now_ms);
	ck_assert_int_eq(raft_state(f.raft), RAFT_FOLLOWER);
	ck_assert_int_eq(
	    raft_propose(f.raft, (const uint8_t *)"x", 1, &index, &term),
	    -EROFS);
	sent = f.sent->len;
	f.now_ms += 10 * ELECTION_MS;
	raft_tick(f.raft, f.now_ms);
	for (raft_kind_t kind = RAFT_PREVOTE; kind <= RAFT_VOTE; kind++)
		receive(&f, "c",
		    (raft_message_t){
			.kind = kind, .term = 98, .index = 99, .log_term = 98});
	ck_assert_uint_eq(f.sent->len, sent);
	receive(&f, "b",
	    (raft_message_t){.kind = RAFT_APPEND,
		.term = 99,
		.index = 1,
		.log_term = 1,
		.entries = {1, &entry}});
	ck_assert_str_eq(raft_leader(f.raft), "b");
	reply = last_sent(&f, RAFT_APPEND_REPLY, "b");
	ck_assert_uint_eq(reply->index, 1);
	ck_assert(!reply->last_chunk);
	raft_storage_recovered(f.raft, f.now_ms);
	sync_all(&f);
	reply = last_sent(&f, RAFT_APPEND_REPLY, "b");
	ck_assert_uint_eq(reply->index, 2);
	ck_assert(reply->last_chunk);
	f.now_ms += 2 * ELECTION_MS + 1;
	receive(&f, "c",
	    (raft_message_t){
		.kind = RAFT_VOTE, .term = 100, .index = 9, .log_term = 99});
	ck_assert_ptr_null(last_sent(&f, RAFT_VOTE_REPLY, "c"));
	sync_all(&f);
	ck_assert(last_sent(&f, RAFT_VOTE_REPLY, "c")->success);
	stop(&f);
}
END_TEST

typedef struct {
	const char *name;
	raft_member_t members[4];
	u_int count;
	int code;
} change_case_t;

/* Guards against unsafe membership changes. */
static const change_case_t change_cases[] = {
    {"no change",
	{{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2},
	    {"c", MEMBER_VOTER, 3}},
	3, -EINVAL},
    {"learner",
	{{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2}, {"c", MEMBER_VOTER, 3},
	    {"d", MEMBER_LEARNER, 0}},
	4, 0},
    {"new voter",
	{{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2}, {"c", MEMBER_VOTER, 3},
	    {"d", MEMBER_VOTER, 4}},
	4, -EINVAL},
    {"two removed", {{"a", MEMBER_VOTER, 1}}, 1, -EINVAL},
    {"new disk",
	{{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2},
	    {"c", MEMBER_VOTER, 9}},
	3, -EINVAL},
    {"duplicate",
	{{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2}, {"c", MEMBER_VOTER, 3},
	    {"c", MEMBER_VOTER, 3}},
	4, -EINVAL},
    {"removed", {{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2}}, 2, 0},
    /* Its quorum would need c, which has not replied. */
    {"no live quorum", {{"a", MEMBER_VOTER, 1}, {"c", MEMBER_VOTER, 3}}, 2,
	-EAGAIN},
    {"demoted",
	{{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2},
	    {"c", MEMBER_LEARNER, 3}},
	3, 0},
};

START_TEST(membership_table)
{
	change_case_t c = change_cases[_i];
	raft_members_t members = {{c.count, c.members}};
	const uint64_t terms[] = {1};
	uint64_t index;
	uint64_t term;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), -ENOTCONN);
	elect(&f);
	sync_all(&f);
	/* Refused until the no-op of the term is committed. */
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), -EBUSY);
	acknowledge(&f, "b", 2);
	ck_assert_msg(
	    raft_propose_members(f.raft, &members, &index, &term) == c.code,
	    "%s", c.name);
	if (c.code == 0)
		ck_assert_int_eq(
		    raft_propose_members(f.raft, &members, &index, &term),
		    -EBUSY);
	stop(&f);
}
END_TEST

/* Guards against promoting a learner that lags or whose disk is unknown. */
START_TEST(promotion_of_learner)
{
	raft_member_t list[] = {{"a", MEMBER_VOTER, 1}, {"b", MEMBER_VOTER, 2},
	    {"c", MEMBER_VOTER, 3}, {"d", MEMBER_LEARNER, 0}};
	raft_members_t members = {{4, list}};
	raft_message_t answer = {
	    .kind = RAFT_APPEND_REPLY, .disk_id = 4, .success = true};
	const uint64_t terms[] = {1};
	uint64_t index;
	uint64_t term;
	fixture_t f;

	start(&f, 1, 1, "", terms, 1);
	elect(&f);
	sync_all(&f);
	acknowledge(&f, "b", 2);
	for (int i = 0; i < 2 * RAFT_CAUGHT_UP_ENTRIES; i++)
		raft_propose(f.raft, (const uint8_t *)"x", 1, &index, &term);
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), 0);
	sync_all(&f);
	acknowledge(&f, "b", index);
	ck_assert_uint_eq(raft_commit_index(f.raft), index);
	list[3].role = MEMBER_VOTER;
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), -EINVAL);
	answer.term = raft_term(f.raft);
	answer.index = 2;
	answer.commit = 2;
	receive(&f, "d", answer);
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), -EAGAIN);
	answer.index = raft_commit_index(f.raft);
	answer.commit = answer.index;
	receive(&f, "d", answer);
	list[3].disk_id = 5;
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), -EINVAL);
	list[3].disk_id = 0;
	ck_assert_int_eq(
	    raft_propose_members(f.raft, &members, &index, &term), 0);
	ck_assert_uint_eq(
	    raft_members_find(raft_members(f.raft), "d")->disk_id, 4);
	stop(&f);
}
END_TEST

/*
 * Guards against an isolated participant that raises the term or deposes the
 * leader when it returns.
 */
START_TEST(isolated_member_returns)
{
	sim_t *sim = sim_create(7, 3, 1, true);
	sim_node_t *leader = sim_wait_leader(sim, 5000);
	sim_node_t *other = &sim->nodes[leader == &sim->nodes[0] ? 1 : 0];
	uint64_t term;

	ck_assert_ptr_nonnull(leader);
	ck_assert(sim_settle(sim, 10000));
	term = raft_term(leader->raft);
	other->isolated = true;
	sim_run(sim, 10000);
	ck_assert_uint_eq(raft_term(other->raft), term);
	ck_assert_int_eq(raft_state(other->raft), RAFT_PRE_CANDIDATE);
	other->isolated = false;
	sim_run(sim, 5000);
	ck_assert_ptr_eq(sim_leader(sim), leader);
	ck_assert_uint_eq(raft_term(leader->raft), term);
	ck_assert_int_eq(raft_state(other->raft), RAFT_FOLLOWER);
	sim_destroy(sim);
}
END_TEST

/*
 * Guards against an isolated leader that stays leader: it must step down within
 * one election timeout, and a new leader must be elected within 2 s.
 */
START_TEST(isolated_leader_steps_down)
{
	sim_t *sim = sim_create(8, 3, 1, true);
	sim_node_t *leader = sim_wait_leader(sim, 5000);
	int64_t start_ms;
	uint64_t index;

	ck_assert(sim_settle(sim, 10000));
	leader->isolated = true;
	start_ms = sim->now_ms;
	while (raft_state(leader->raft) == RAFT_LEADER)
		sim_step(sim);
	ck_assert_int_le(sim->now_ms - start_ms, SIM_ELECTION_MS);
	ck_assert_int_eq(sim_propose(sim, leader, &index), -ENOTCONN);
	ck_assert_ptr_nonnull(
	    sim_wait_leader(sim, 2000 - (sim->now_ms - start_ms)));
	ck_assert_ptr_ne(sim_leader(sim), leader);
	leader->isolated = false;
	ck_assert(sim_settle(sim, 10000));
	sim_destroy(sim);
}
END_TEST

/* Runs a system whose syncs take that long; returns when it has committed. */
static int64_t
commit_with_slow_syncs(uint32_t seed, int sync_ms)
{
	sim_t *sim = sim_create(seed, 4, 0, true);
	sim_node_t *leader;
	int64_t took_ms;
	uint64_t index;

	sim->faults.min_sync_ms = sync_ms;
	sim->faults.max_sync_ms = sync_ms;
	do {
		leader = sim_wait_leader(sim, SLOW_DISK_LIMIT_MS);
		ck_assert_msg(leader != NULL,
		    "seed %u, syncs of %d ms: no "
		    "leader",
		    seed, sync_ms);
		sim_step(sim);
	} while (sim_propose(sim, leader, &index) != 0);
	while (sim->committed->len < index && sim->now_ms < SLOW_DISK_LIMIT_MS)
		sim_step(sim);
	took_ms = sim->now_ms;
	ck_assert_uint_ge(sim->committed->len, index);
	/* The leader keeps its term. */
	sim_run(sim, SLOW_DISK_LIMIT_MS);
	ck_assert_ptr_eq(sim_leader(sim), leader);
	sim_destroy(sim);
	return took_ms;
}

/*
 * Guards against a system without a leader where a vote takes longer to become
 * durable than a candidate waits: each begins a new term before the votes for
 * the last one have come.
 */
START_TEST(slow_disks_elect_a_leader)
{
	static const int syncs_ms[] = {2, 50, 200, 500, 1000};

	for (size_t i = 0; i < G_N_ELEMENTS(syncs_ms); i++) {
		for (uint32_t seed = 1; seed <= 10; seed++)
			ck_assert_int_le(
			    commit_with_slow_syncs(seed, syncs_ms[i]),
			    SLOW_DISK_LIMIT_MS);
	}
}
END_TEST

/* Guards against a removed member that deposes the leader. */
START_TEST(removed_member_ignored)
{
	sim_t *sim = sim_create(9, 3, 1, true);
	sim_node_t *leader = sim_wait_leader(sim, 5000);
	sim_node_t *removed = &sim->nodes[leader == &sim->nodes[0] ? 1 : 0];
	raft_members_t members;
	uint64_t index = 0;
	uint64_t proposed_term;
	uint64_t term;

	ck_assert(sim_settle(sim, 10000));
	term = raft_term(leader->raft);
	/* Isolated, so that it does not receive its removal. */
	removed->isolated = true;
	sim_run(sim, 200);
	raft_members_copy(&members, raft_members(leader->raft));
	for (u_int i = 0; i < members.members.members_len; i++) {
		raft_member_t *member = &members.members.members_val[i];
		raft_member_t last =
		    members.members
			.members_val[members.members.members_len - 1];

		if (strcmp(member->id, removed->id) != 0)
			continue;
		members.members.members_val[members.members.members_len - 1] =
		    *member;
		*member = last;
		members.members.members_len--;
		ck_assert_int_eq(raft_propose_members(leader->raft, &members,
				     &index, &proposed_term),
		    0);
		members.members.members_len++;
		break;
	}
	raft_members_clear(&members);
	sim_run(sim, 1000);
	ck_assert_uint_ge(raft_commit_index(leader->raft), index);
	removed->isolated = false;
	sim_run(sim, 10000);
	ck_assert_ptr_eq(sim_leader(sim), leader);
	ck_assert_uint_eq(raft_term(leader->raft), term);
	sim_destroy(sim);
}
END_TEST

/*
 * Guards against a snapshot transfer in several chunks that does not complete
 * while messages are lost and duplicated.
 */
START_TEST(snapshot_in_chunks)
{
	sim_t *sim = sim_create(10, 3, 1, true);
	sim_node_t *leader;
	uint64_t index = 0;

	sim->snapshot_padding = 3 * RAFT_CHUNK_BYTES;
	ck_assert(sim_settle(sim, 10000));
	leader = sim_leader(sim);
	for (int i = 0; i < sim->node_count; i++) {
		if (&sim->nodes[i] != leader && sim->nodes[i].disk.disk_id != 0)
			continue;
		sim->nodes[i].isolated = &sim->nodes[i] != leader;
	}
	for (int i = 0; i < 2 * RAFT_KEPT_ENTRIES; i++) {
		sim_propose(sim, leader, &index);
		sim_step(sim);
	}
	sim_run(sim, 500);
	sim_snapshot(sim, leader);
	ck_assert_uint_gt(leader->raft->base_index, 0);
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].isolated = false;
	sim->faults.loss = 20;
	sim->faults.duplication = 20;
	sim_run(sim, 10000);
	ck_assert_int_ge(sim->installs, 1);
	sim_heal(sim);
	ck_assert(sim_settle(sim, 10000));
	sim_destroy(sim);
}
END_TEST

/*
 * Guards against a learner without a disk that writes to the storage, which the
 * simulation reports, or that keeps log entries covered by its snapshot.
 */
START_TEST(learner_without_disk)
{
	sim_t *sim = sim_create(11, 3, 1, true);
	sim_node_t *learner = &sim->nodes[3];

	ck_assert(sim_settle(sim, 10000));
	ck_assert_uint_eq(learner->disk.disk_id, 0);
	ck_assert_uint_gt(learner->raft->entries->len, 0);
	sim_snapshot(sim, learner);
	ck_assert_uint_eq(learner->raft->entries->len, 0);
	sim_crash(sim, learner, 0);
	sim_restart(sim, learner);
	ck_assert(sim_settle(sim, 10000));
	sim_destroy(sim);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("raft");
	TCase *tcase = tcase_create("raft");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, vote_after_sync);
	tcase_add_test(tcase, own_vote_after_sync);
	tcase_add_loop_test(
	    tcase, vote_table, 0, (int)G_N_ELEMENTS(vote_cases));
	tcase_add_test(tcase, acknowledge_after_sync);
	tcase_add_test(tcase, truncation_during_sync);
	tcase_add_test(tcase, leader_commits_after_sync);
	tcase_add_test(tcase, window_in_bytes);
	tcase_add_test(tcase, old_term_entry_not_counted);
	tcase_add_test(tcase, replaced_disk_excluded);
	tcase_add_test(tcase, late_prevote_reply_ignored);
	tcase_add_test(tcase, read_index);
	tcase_add_test(tcase, lease);
	tcase_add_test(tcase, storage_refuses);
	tcase_add_loop_test(
	    tcase, membership_table, 0, (int)G_N_ELEMENTS(change_cases));
	tcase_add_test(tcase, promotion_of_learner);
	tcase_add_test(tcase, isolated_member_returns);
	tcase_add_test(tcase, isolated_leader_steps_down);
	tcase_add_test(tcase, slow_disks_elect_a_leader);
	tcase_add_test(tcase, removed_member_ignored);
	tcase_add_test(tcase, snapshot_in_chunks);
	tcase_add_test(tcase, learner_without_disk);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
