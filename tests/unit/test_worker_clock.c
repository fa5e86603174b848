#include "sched/worker_clock.h"
#include "tests/unit/runner.h"

#define LEASE_MS 5000

/*
 * Guards against leases that end later than the leader assumes.  A worker with
 * a clock that is 2% slow answers for a minute; each lease must have expired on
 * that clock by the time at which the leader treats it as expired.
 */
START_TEST(slow_clock)
{
	worker_clock_t clock = {0};

	for (int64_t now = 1000; now < 61000; now += 500) {
		int64_t worker_now = 7000 + (now - 1000) * 98 / 100;
		int64_t expiry_ms;
		int64_t end;

		worker_clock_update(&clock, worker_now, now);
		end = worker_clock_lower_bound(&clock, now + 100) + LEASE_MS;
		expiry_ms = worker_clock_lease_expiry(now + 100, LEASE_MS);
		ck_assert_int_le(end, 7000 + (expiry_ms - 1000) * 98 / 100);
	}
}
END_TEST

/* Guards against a delayed answer that sets the estimate back. */
START_TEST(delayed_answer)
{
	worker_clock_t clock = {0};

	worker_clock_update(&clock, 10000, 1000);
	worker_clock_update(&clock, 10050, 3000);
	ck_assert_int_ge(worker_clock_lower_bound(&clock, 3000), 11900);
	ck_assert_int_le(worker_clock_lower_bound(&clock, 3000), 12000);
}
END_TEST

/* Guards against a clock that counts as known before the first time. */
START_TEST(unknown_clock)
{
	worker_clock_t clock = {0};

	ck_assert(!worker_clock_is_known(&clock));
	worker_clock_update(&clock, 0, 500);
	ck_assert(!worker_clock_is_known(&clock));
	worker_clock_update(&clock, 1, 500);
	ck_assert(worker_clock_is_known(&clock));
}
END_TEST

/* Guards against a garbled time that overflows, or that is never corrected. */
START_TEST(garbled_clock)
{
	worker_clock_t clock = {0};

	worker_clock_update(&clock, INT64_MAX, 500);
	ck_assert(!worker_clock_is_known(&clock));
	worker_clock_update(&clock, 10000, 1000);
	worker_clock_update(&clock, INT64_MAX, 1500);
	ck_assert_int_le(worker_clock_lower_bound(&clock, 1500), 10500);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("worker_clock");
	TCase *tcase = tcase_create("worker_clock");

	tcase_add_test(tcase, slow_clock);
	tcase_add_test(tcase, delayed_answer);
	tcase_add_test(tcase, unknown_clock);
	tcase_add_test(tcase, garbled_clock);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
