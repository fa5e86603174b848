#include <check.h>
#include <stdlib.h>

#include "policy/transit.h"
#include "tests/unit/runner.h"

#define OFFSET_MS 700000 /* offset of the receiver's clock */

/* Guards against a message delayed by a stall that is treated as recent. */
START_TEST(stall_is_detected)
{
	transit_t transit = {0};

	for (int64_t at_ms = 1000; at_ms < 5000; at_ms += 200)
		ck_assert_int_eq(
		    transit_excess_ms(&transit, 1, at_ms, at_ms + OFFSET_MS),
		    0);
	ck_assert_int_eq(
	    transit_excess_ms(&transit, 1, 5000, 6500 + OFFSET_MS), 1500);
	ck_assert_int_eq(
	    transit_excess_ms(&transit, 1, 6400, 6500 + OFFSET_MS), 100);
	ck_assert_int_eq(
	    transit_excess_ms(&transit, 1, 6600, 6600 + OFFSET_MS), 0);
}
END_TEST

/* Guards against using the clock offset from before a restart of the sender. */
START_TEST(restart_resets_offset)
{
	transit_t transit = {0};

	transit_excess_ms(&transit, 1, 900000, 900000 + OFFSET_MS);
	ck_assert_int_eq(
	    transit_excess_ms(&transit, 2, 100, 905000 + OFFSET_MS), 0);
	ck_assert_int_eq(
	    transit_excess_ms(&transit, 2, 300, 905300 + OFFSET_MS), 100);
}
END_TEST

/* Guards against clock drift that counts as delay and expires leases early. */
START_TEST(drift_is_compensated)
{
	transit_t transit = {0};

	for (int64_t at_ms = 1000; at_ms < 36000000; at_ms += 200)
		ck_assert_int_le(transit_excess_ms(&transit, 1, at_ms,
				     at_ms + at_ms / 10000 + OFFSET_MS),
		    7);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("transit");
	TCase *tcase = tcase_create("transit");

	tcase_add_test(tcase, stall_is_detected);
	tcase_add_test(tcase, restart_resets_offset);
	tcase_add_test(tcase, drift_is_compensated);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
