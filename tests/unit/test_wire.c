#include <glib.h>

#include "platform/wire.h"
#include "rpc/codec.h"
#include "tests/unit/runner.h"

/*
 * Messages of workers and callers, and what other writers send in their place.
 */

#define ID "i-7f3a91c2"
#define FIELD(name, value) "\"" name "\":" value ","
#define SERVICE FIELD("service", "\"svc\"")
#define ADDRESS FIELD("addr", "\"10.128.0.9:8080\"")
#define ZONE FIELD("zone", "\"z\"")
#define STATE FIELD("state", "\"ready\"")
#define CAPACITY FIELD("capacity", "{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}")
#define LABELS FIELD("labels", "[\"a\",\"r1-3\"]")
#define REST FIELD("born", "9") FIELD("clockMs", "482113") "\"seq\":4}"

typedef struct {
	const char *id;
	const char *body;
} sent_t;

static int
read_sent(const sent_t *sent, fleet_announcement_t *announcement)
{
	return wire_read_announcement(
	    sent->id, str_from(sent->body), announcement);
}

static void
clear(fleet_announcement_t *announcement)
{
	codec_free((xdrproc_t)xdr_fleet_worker_t, &announcement->worker);
}

/* Guards against refusing what workers do send. */
START_TEST(readable_announcement)
{
	static const sent_t sent = {ID,
	    "{" SERVICE ADDRESS ZONE FIELD("version", "\"v1\"")
		FIELD("slots", "8") STATE FIELD("coldLeftMs", "1500.5")
		    FIELD("remainingMs", "100") CAPACITY LABELS REST};
	fleet_announcement_t read;

	ck_assert_int_eq(read_sent(&sent, &read), 0);
	ck_assert_str_eq(read.worker.id, ID);
	ck_assert_str_eq(read.worker.address, "10.128.0.9");
	ck_assert_int_eq(read.worker.port, 8080);
	ck_assert_str_eq(read.worker.rack, "r1-3");
	ck_assert_int_eq(read.worker.capacity.memory_mb, 32768);
	ck_assert_uint_eq(read.worker.born, 9);
	ck_assert_uint_eq(read.sequence, 4);
	ck_assert_int_eq(read.cold_left_ms, 1500);
	clear(&read);
}
END_TEST

/*
 * Guards against an announcement from another writer that adds a worker which
 * cannot be called, or changes one that can.
 */
START_TEST(foreign_announcements)
{
	static const sent_t sent[] = {
	    {ID, ""},
	    {ID, "[]"},
	    {ID, "{}"},
	    {ID, "{" ADDRESS ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE CAPACITY REST},
	    {ID, "{" SERVICE ADDRESS FIELD("zone", "7")
		     STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS FIELD("zone", "\"\"")
		     STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE FIELD("state", "\"away\"")
		     CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE FIELD("version", "1")
		     STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE FIELD("slots", "\"8\"")
		     STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE FIELD("addr", "\":8080\"")
		     ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE FIELD("addr", "\"10.0.0.9\"")
		     ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE FIELD("addr", "\"10.0.0.9:0\"")
		     ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE FIELD("addr", "\"a b/c?:80\"")
		     ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE FIELD("addr", "\"10.0.0.9\\u0000:80\"")
		     ZONE STATE CAPACITY LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE CAPACITY FIELD("labels", "{}")
		     REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE CAPACITY FIELD(
		     "labels", "[\"a\",1]") REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE CAPACITY FIELD(
		     "labels", "[\"a\\u0000b\"]") REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE FIELD(
		     "capacity", "{\"cpu\":-1,\"memMb\":1}") LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE FIELD(
		     "capacity", "{\"cpu\":1,\"memMb\":-1}") LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE FIELD(
		     "capacity", "{\"cpu\":4294967297}") LABELS REST},
	    {ID, "{" SERVICE ADDRESS ZONE STATE CAPACITY LABELS FIELD(
		     "born", "9.5") "\"seq\":4}"},
	    {ID, "{" SERVICE ADDRESS ZONE STATE CAPACITY LABELS "\"seq\":-4}"},
	    {"", "{" SERVICE ADDRESS ZONE STATE CAPACITY LABELS REST},
	    {"a\xff", "{" SERVICE ADDRESS ZONE STATE CAPACITY LABELS REST},
	    {"a b", "{" SERVICE ADDRESS ZONE STATE CAPACITY LABELS REST},
	};
	GString *accepted = g_string_new("");

	for (size_t i = 0; i < G_N_ELEMENTS(sent); i++) {
		fleet_announcement_t read;

		if (read_sent(&sent[i], &read) == 0)
			g_string_append_printf(accepted, " %zu", i);
		clear(&read);
	}
	ck_assert_str_eq(accepted->str, "");
	g_string_free(accepted, TRUE);
}
END_TEST

/* Guards against figures of a job whose sums and products overflow. */
START_TEST(jobs_out_of_range)
{
	static const char *const bodies[] = {
	    "{\"steps\":[{\"count\":1}],\"repeatCount\":2,"
	    "\"intervalMs\":9223372036854775807}",
	    "{\"steps\":[{\"count\":1}],\"repeatCount\":2,"
	    "\"intervalMs\":-1}",
	    "{\"steps\":[{\"count\":1}],\"firstMs\":9223372036854775807}",
	    "{\"steps\":[{\"count\":1}],\"firstMs\":-1}",
	    "{\"steps\":[{\"count\":1,\"estMs\":-1}]}",
	    "{\"steps\":[{\"count\":65536,\"gpu\":65536}]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		batch_spec_t spec;
		const char *reason;

		ck_assert_msg(
		    wire_read_job(str_from(bodies[i]), &spec, &reason) != 0,
		    "accepted: %s", bodies[i]);
		codec_free((xdrproc_t)xdr_batch_spec_t, &spec);
	}
}
END_TEST

/* Guards against a read outside of the names for a state of another release. */
START_TEST(unknown_state)
{
	ck_assert_str_eq(wire_state_name(BATCH_STATE_COMPLETED), "completed");
	ck_assert_ptr_null(wire_state_name((batch_state_t)1000));
	ck_assert_ptr_null(wire_state_name((batch_state_t)-1));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("wire");
	TCase *tcase = tcase_create("wire");

	tcase_add_test(tcase, readable_announcement);
	tcase_add_test(tcase, foreign_announcements);
	tcase_add_test(tcase, jobs_out_of_range);
	tcase_add_test(tcase, unknown_state);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
