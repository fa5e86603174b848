#include "sched/headroom.h"
#include "tests/unit/runner.h"

#define CAPACITY 100

/* Guards against headroom that is kept when no urgent work arrives. */
START_TEST(follows_arrivals)
{
	headroom_t headroom = {0};

	ck_assert_int_eq(headroom_target(&headroom, CAPACITY, 1000), 0);
	for (int64_t now = 1000; now < 9000; now += 500)
		headroom_record(&headroom, 8, now);
	/* 16 accelerators a second, for the covered 1.5 s: about 24. */
	ck_assert_int_ge(headroom_target(&headroom, CAPACITY, 9000), 20);
	ck_assert_int_le(headroom_target(&headroom, CAPACITY, 9000), 26);
	ck_assert_int_lt(headroom_target(&headroom, CAPACITY, 11000), 16);
	ck_assert_int_eq(headroom_target(&headroom, CAPACITY, 14000), 0);
}
END_TEST

/* Guards against an urgent burst that blocks batch work on all workers. */
START_TEST(stays_below_max_share)
{
	headroom_t headroom = {0};

	headroom_record(&headroom, 100000, 1000);
	/* The maximum is 30% of the capacity. */
	ck_assert_int_le(headroom_target(&headroom, CAPACITY, 1000), 30);
}
END_TEST

/*
 * Setting: a new leader has seen no urgent arrivals yet.  Guards against batch
 * work that fills the fleet just before the urgent callers come back.
 */
START_TEST(keeps_the_most_after_a_restart)
{
	headroom_t headroom = {0};

	headroom_record(&headroom, 8, 1000);
	headroom_restart(&headroom, 5000);
	ck_assert_int_eq(headroom_target(&headroom, CAPACITY, 5000), 30);
	ck_assert_int_eq(headroom_target(&headroom, CAPACITY, 6500), 30);
	for (int64_t now = 5100; now < 7000; now += 100)
		headroom_record(&headroom, 2, now);
	/* What came meanwhile counts from then on. */
	ck_assert_int_gt(headroom_target(&headroom, CAPACITY, 7100), 5);
	ck_assert_int_lt(headroom_target(&headroom, CAPACITY, 7100), 30);
	ck_assert_int_eq(headroom_target(&headroom, CAPACITY, 12000), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("headroom");
	TCase *tcase = tcase_create("headroom");

	tcase_add_test(tcase, follows_arrivals);
	tcase_add_test(tcase, stays_below_max_share);
	tcase_add_test(tcase, keeps_the_most_after_a_restart);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
