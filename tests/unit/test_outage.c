#include <glib.h>
#include <stdbool.h>

#include "sched/outage.h"
#include "tests/unit/runner.h"

/*
 * Load pattern: callers arrive while no leader answers for a while.  Each waits
 * 2,850 ms for an answer and tries again four times.
 */

#define TIMEOUT_MS 2850
#define RETRIES 4
#define ARRIVAL_INTERVAL_MS 20
#define TICK_MS 10
#define MS_PER_S 1000

/*
 * Replays one caller that arrives at start_ms into an outage of dark_ms.
 * Returns when a leader gets its call, or -1 if it gives up before.
 */
static int64_t
replay_caller(int64_t start_ms, int64_t dark_ms)
{
	int64_t now_ms = start_ms;

	for (int attempt = 0; attempt <= RETRIES; attempt++) {
		outage_call_t call = {.timeout_ms = TIMEOUT_MS};
		int64_t sent_ms = now_ms;
		int retry_after_ms;

		while (now_ms < dark_ms) {
			call.age_ms = now_ms - sent_ms;
			call.silent_ms = now_ms;
			if (!outage_holds_call(&call))
				break;
			now_ms += TICK_MS;
		}
		if (now_ms >= dark_ms)
			return now_ms;
		/* Retry-After is told in whole seconds. */
		retry_after_ms = outage_retry_after_ms(now_ms);
		now_ms += (retry_after_ms + MS_PER_S - 1) / MS_PER_S * MS_PER_S;
	}
	return -1;
}

/*
 * Guards against callers that have used up their retries before a leader is
 * back: retries each second end within 5 s.
 */
START_TEST(callers_outlast_the_outage)
{
	static const int64_t dark_ms[] = {500, 2500, 5000, 9000};

	for (int64_t at = 0; at < dark_ms[_i]; at += ARRIVAL_INTERVAL_MS) {
		int64_t served_ms = replay_caller(at, dark_ms[_i]);

		ck_assert_int_ge(served_ms, dark_ms[_i]);
		/* Nobody stays away much longer than needed. */
		ck_assert_int_le(served_ms - dark_ms[_i], 4000);
	}
}
END_TEST

/* Guards against callers that come back a second after a short election. */
START_TEST(an_election_is_waited_for)
{
	for (int64_t at = 0; at < 1000; at += ARRIVAL_INTERVAL_MS) {
		int64_t served_ms = replay_caller(at, 1000);

		ck_assert_int_ge(served_ms, 1000);
		ck_assert_int_lt(served_ms, 1000 + TICK_MS);
	}
}
END_TEST

/*
 * Guards against calls that are held although no leader can be expected, and
 * against giving up early on a call that may be stored.
 */
START_TEST(only_doubtful_calls_are_held)
{
	outage_call_t call = {
	    .age_ms = 0, .timeout_ms = TIMEOUT_MS, .silent_ms = 20000};

	ck_assert(!outage_holds_call(&call));
	call.may_be_stored = true;
	ck_assert(outage_holds_call(&call));
	call.age_ms = TIMEOUT_MS / 3;
	ck_assert(outage_holds_call(&call));
	call.age_ms = TIMEOUT_MS;
	ck_assert(!outage_holds_call(&call));
}
END_TEST

/*
 * Load pattern: a failure domain is cut off, or a single probe is lost.  Guards
 * against instances that offer themselves to callers whom they cannot serve,
 * and against an instance that gives up being ready for one lost probe.
 */
START_TEST(readiness_ends_with_the_second_lost_probe)
{
	int64_t first_ms = OUTAGE_PROBE_INTERVAL_MS + OUTAGE_PROBE_TIMEOUT_MS;
	int64_t second_ms = OUTAGE_PROBE_RETRY_MS + OUTAGE_PROBE_TIMEOUT_MS;

	ck_assert(outage_is_ready(0));
	ck_assert(outage_is_ready(first_ms + OUTAGE_PROBE_RETRY_MS));
	ck_assert(!outage_is_ready(first_ms + second_ms));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("outage");
	TCase *tcase = tcase_create("outage");

	tcase_add_loop_test(tcase, callers_outlast_the_outage, 0, 4);
	tcase_add_test(tcase, an_election_is_waited_for);
	tcase_add_test(tcase, only_doubtful_calls_are_held);
	tcase_add_test(tcase, readiness_ends_with_the_second_lost_probe);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
