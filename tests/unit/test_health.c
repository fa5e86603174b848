#include <check.h>
#include <stdlib.h>

#include "policy/health.h"
#include "tests/unit/runner.h"

static health_t *
four_workers(void)
{
	health_t *health = health_create();

	health_add(health, "w1", "d1");
	health_add(health, "w2", "d1");
	health_add(health, "w3", "d1");
	health_add(health, "w4", "d1");
	return health;
}

/* Simulates a request that fails on bad and succeeds on good. */
static void
fail_then_succeed_elsewhere(
    health_t *health, const char *bad, const char *good, int64_t now_ms)
{
	health_request_t request = {0};

	ck_assert_int_eq(health_failed(health, bad, &request, now_ms),
	    HEALTH_RETRY_ELSEWHERE);
	ck_assert_int_eq(health_rank(health, bad, &request, now_ms), -1);
	health_succeeded(health, good, &request, now_ms);
}

/* Guards against a faulty server that keeps getting work, and against one that
 * is never used again. */
START_TEST(quarantine_and_trial)
{
	health_t *health = four_workers();
	health_request_t request = {0};
	int64_t now = 1000;

	for (int i = 0; i < 3; i++)
		fail_then_succeed_elsewhere(health, "w1", "w2", now);
	ck_assert(health_is_quarantined(health, "w1", now + 9999));
	ck_assert_int_eq(health_rank(health, "w1", NULL, now + 9999), -1);
	/* The quarantine ends and the trial request fails: the next quarantine
	 * is twice as long. */
	now += 10000;
	ck_assert_int_eq(health_rank(health, "w1", NULL, now), 0);
	health_started(health, "w1", now);
	ck_assert_int_eq(health_rank(health, "w1", NULL, now), -1);
	health_failed(health, "w1", &request, now);
	health_clear_request(&request);
	ck_assert_int_eq(health_rank(health, "w1", NULL, now + 19999), -1);
	now += 20000;
	health_started(health, "w1", now);
	health_succeeded(health, "w1", &request, now);
	ck_assert_int_eq(health_rank(health, "w1", NULL, now), 0);
	health_started(health, "w1", now);
	ck_assert_int_eq(health_rank(health, "w1", NULL, now), 0);
	ck_assert_int_eq(health_quarantine_count(health), 2);
	health_destroy(health);
}
END_TEST

/* Guards against quarantines of unlimited length. */
START_TEST(longest_quarantine)
{
	health_t *health = four_workers();
	int64_t now = 0;
	int64_t length = 0;

	for (int i = 0; i < 3; i++)
		fail_then_succeed_elsewhere(health, "w1", "w2", now);
	for (int round = 0; round < 8; round++) {
		health_request_t request = {0};

		for (length = 0;
		     health_rank(health, "w1", NULL, now + length) != 0;)
			length += 1000;
		now += length;
		health_started(health, "w1", now);
		health_failed(health, "w1", &request, now);
		health_clear_request(&request);
	}
	ck_assert_int_eq(length, 300000);
	health_destroy(health);
}
END_TEST

/* Guards against a faulty request that puts healthy servers in quarantine. */
START_TEST(request_to_blame)
{
	health_t *health = four_workers();

	for (int i = 0; i < 10; i++) {
		health_request_t request = {0};
		health_request_t other = {0};

		health_failed(health, "w1", &request, 0);
		ck_assert_int_eq(health_failed(health, "w2", &request, 0),
		    HEALTH_BLAME_REQUEST);
		health_clear_request(&request);
		health_succeeded(health, "w1", &other, 0);
		health_succeeded(health, "w2", &other, 0);
	}
	ck_assert_int_eq(health_quarantine_count(health), 0);
	ck_assert_int_eq(health_rank(health, "w1", NULL, 0), 0);
	health_destroy(health);
}
END_TEST

/* Guards against a server that fails every request immediately and attracts all
 * work, because it always has free slots. */
START_TEST(fast_failures_attract_no_work)
{
	health_t *health = four_workers();
	int sent = 0;

	for (int64_t now = 0; now < 10000; now += 10) {
		health_request_t request = {0};

		if (health_rank(health, "w1", NULL, now) < 0)
			continue;
		sent++;
		health_started(health, "w1", now);
		health_failed(health, "w1", &request, now);
		health_clear_request(&request);
	}
	ck_assert_int_le(sent, 3 + 10);
	ck_assert_int_eq(health_rank(health, "w1", NULL, 100000), 1);
	health_destroy(health);
}
END_TEST

/* Guards against quarantining more than half of a failure domain. */
START_TEST(half_of_domain_stays)
{
	health_t *health = four_workers();

	health_add(health, "x1", "d2");
	health_add(health, "x2", "d2");
	for (int i = 0; i < 5; i++) {
		fail_then_succeed_elsewhere(health, "w1", "w4", 0);
		fail_then_succeed_elsewhere(health, "w2", "w4", 0);
		fail_then_succeed_elsewhere(health, "w3", "w4", 0);
	}
	ck_assert(health_is_quarantined(health, "w1", 0));
	ck_assert(health_is_quarantined(health, "w2", 0));
	ck_assert(!health_is_quarantined(health, "w3", 0));
	/* The limit applies to each domain separately. */
	for (int i = 0; i < 3; i++)
		fail_then_succeed_elsewhere(health, "x1", "x2", 0);
	ck_assert(health_is_quarantined(health, "x1", 0));
	health_destroy(health);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("health");
	TCase *tcase = tcase_create("health");

	tcase_add_test(tcase, quarantine_and_trial);
	tcase_add_test(tcase, longest_quarantine);
	tcase_add_test(tcase, request_to_blame);
	tcase_add_test(tcase, fast_failures_attract_no_work);
	tcase_add_test(tcase, half_of_domain_stays);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
