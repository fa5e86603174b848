#include <stddef.h>

#include "sched/pace.h"
#include "sched/tickets.h"
#include "tests/unit/runner.h"

#define STEP "00000000000000aa.0.1"

/*
 * Guards against tickets of an earlier incarnation or expired ones, and against
 * repeated queries about workers that the adviser has refused.
 */
START_TEST(stale_tickets_and_refusals)
{
	static const char *const asked[] = {"w1", "w2", NULL};
	tickets_t *tickets = tickets_create();

	ck_assert(tickets_can_query_step(tickets, STEP, 1000));
	ck_assert(tickets_worker_needs_query(tickets, STEP, "w1", 1, 1000));
	tickets_query_started(tickets, STEP);
	ck_assert(!tickets_can_query_step(tickets, "other.0.0", 1000));
	tickets_grant(tickets, STEP, "w1", 1, "t1", 4000);
	tickets_query_done(tickets, STEP, asked);
	ck_assert_str_eq(tickets_find(tickets, STEP, "w1", 1, 1500), "t1");
	ck_assert_ptr_null(tickets_find(tickets, STEP, "w1", 2, 1500));
	ck_assert_ptr_null(tickets_find(tickets, STEP, "w1", 1, 3999));
	ck_assert_ptr_null(tickets_find(tickets, STEP, "w2", 1, 1500));
	ck_assert(!tickets_worker_needs_query(tickets, STEP, "w2", 1, 1500));
	ck_assert(!tickets_worker_needs_query(tickets, STEP, "w1", 1, 1500));
	ck_assert(tickets_worker_needs_query(tickets, STEP, "w1", 2, 1500));
	ck_assert(tickets_can_query_step(tickets, STEP, 1500));
	tickets_destroy(tickets);
}
END_TEST

/* Guards against query storms to an adviser that does not answer. */
START_TEST(failed_query_is_delayed)
{
	tickets_t *tickets = tickets_create();

	tickets_query_started(tickets, STEP);
	tickets_query_failed(tickets, STEP, 1000);
	ck_assert(!tickets_can_query_step(tickets, STEP, 1010));
	ck_assert(tickets_can_query_step(tickets, STEP, 1500));
	tickets_destroy(tickets);
}
END_TEST

/* Guards against tickets that stay in memory after their job has ended, and
 * against removing those of a job whose id has this id as a prefix. */
START_TEST(forget_job_keeps_others)
{
	static const char *const asked[] = {"w1", NULL};
	static const char *const steps[] = {
	    STEP, "00000000000000aa.1.0", "00000000000000aab.0.1"};
	tickets_t *tickets = tickets_create();

	for (size_t i = 0; i < 3; i++) {
		tickets_grant(tickets, steps[i], "w1", 1, "t", 4000);
		tickets_query_done(tickets, steps[i], asked);
	}
	tickets_forget_job(tickets, "00000000000000aa");
	ck_assert_ptr_null(tickets_find(tickets, steps[0], "w1", 1, 0));
	ck_assert_ptr_null(tickets_find(tickets, steps[1], "w1", 1, 0));
	ck_assert_ptr_nonnull(tickets_find(tickets, steps[2], "w1", 1, 0));
	tickets_destroy(tickets);
}
END_TEST

/*
 * Load pattern: leftover tasks slow down a serving task for seconds.  Guards
 * against a target that stays missed, and against tasks that stay throttled.
 */
START_TEST(pace)
{
	int percent = PACE_FULL;
	int polls = 0;

	for (; percent > 0; polls++)
		percent = pace_next(percent, 90, 50);
	ck_assert_int_le(polls, 5);
	ck_assert_int_eq(pace_next(50, 45, 50), 50);
	for (polls = 0; percent < PACE_FULL; polls++)
		percent = pace_next(percent, 20, 50);
	ck_assert_int_le(polls, 8);
	ck_assert_int_eq(pace_next(30, 90, 0), PACE_FULL);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("tickets");
	TCase *tcase = tcase_create("tickets");

	tcase_add_test(tcase, stale_tickets_and_refusals);
	tcase_add_test(tcase, failed_query_is_delayed);
	tcase_add_test(tcase, forget_job_keeps_others);
	tcase_add_test(tcase, pace);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
