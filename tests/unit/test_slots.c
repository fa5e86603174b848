#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "policy/slots.h"
#include "tests/unit/runner.h"

#define LEASE_MS 3000

static int
take(slots_t *slots, lane_t lane, int64_t now_ms)
{
	int taken = 0;

	while (slots_take(slots, lane, now_ms, NULL, NULL) != NULL)
		taken++;
	return taken;
}

/* Guards against batch requests in the slots reserved for short requests. */
START_TEST(batch_cap)
{
	slots_t *slots = slots_create(2, LEASE_MS);

	slots_renew_lease(slots_set(slots, "w1", 1, 8), 0);
	ck_assert_int_eq(slots_free(slots, LANE_BATCH, 0), 6);
	ck_assert_int_eq(take(slots, LANE_BATCH, 0), 6);
	ck_assert_int_eq(slots_free(slots, LANE_SHORT, 0), 2);
	ck_assert_int_eq(take(slots, LANE_SHORT, 0), 2);
	slots_release(slots, "w1", LANE_SHORT);
	ck_assert_int_eq(take(slots, LANE_BATCH, 0), 0);
	ck_assert_int_eq(take(slots, LANE_SHORT, 0), 1);
	slots_destroy(slots);
}
END_TEST

/* Guards against job members that are not counted as used slots. */
START_TEST(members_use_slots)
{
	slots_t *slots = slots_create(2, LEASE_MS);
	slots_worker_t *worker = slots_set(slots, "w1", 1, 8);

	slots_renew_lease(worker, 0);
	slots_set_members(worker, 5);
	ck_assert_int_eq(take(slots, LANE_BATCH, 0), 1);
	ck_assert_int_eq(take(slots, LANE_SHORT, 0), 2);
	slots_set_members(worker, 8);
	ck_assert_int_eq(slots_free(slots, LANE_SHORT, 0), 0);
	slots_destroy(slots);
}
END_TEST

/* Guards against new work for a server that has no lease or is leaving. */
START_TEST(leases)
{
	slots_t *slots = slots_create(2, LEASE_MS);
	slots_worker_t *worker = slots_set(slots, "w1", 1, 8);

	ck_assert_int_eq(slots_free(slots, LANE_SHORT, 0), 0);
	slots_renew_lease(worker, 1000);
	ck_assert_ptr_nonnull(slots_take(slots, LANE_SHORT, 3999, NULL, NULL));
	ck_assert_ptr_null(slots_next_expired(slots, 3999));
	ck_assert_ptr_null(slots_take(slots, LANE_SHORT, 4000, NULL, NULL));
	ck_assert_ptr_eq(slots_next_expired(slots, 4000), worker);
	ck_assert_ptr_null(slots_next_expired(slots, 4001));
	slots_renew_lease(worker, 5000);
	slots_leave(worker);
	ck_assert_ptr_null(slots_take(slots, LANE_SHORT, 5000, NULL, NULL));
	slots_renew_lease(worker, 5500);
	ck_assert_ptr_null(slots_take(slots, LANE_SHORT, 5500, NULL, NULL));
	/* A restart (new generation) clears the leaving flag. */
	slots_set(slots, "w1", 2, 8);
	ck_assert_ptr_nonnull(slots_take(slots, LANE_SHORT, 5500, NULL, NULL));
	slots_destroy(slots);
}
END_TEST

static int
rank_w2_last(void *ctx, const slots_worker_t *worker)
{
	return worker->id[1] == '2';
}

/* Guards against taking a slot on a worker of a worse rank while a better one
 * has free slots. */
START_TEST(lowest_rank_first)
{
	slots_t *slots = slots_create(2, LEASE_MS);
	int on_w1 = 0;

	slots_renew_lease(slots_set(slots, "w1", 1, 4), 0);
	slots_renew_lease(slots_set(slots, "w2", 1, 8), 0);
	for (int i = 0; i < 4; i++)
		on_w1 += slots_take(slots, LANE_SHORT, 0, rank_w2_last, NULL)
			     ->id[1] == '1';
	ck_assert_int_eq(on_w1, 4);
	ck_assert_str_eq(
	    slots_take(slots, LANE_SHORT, 0, rank_w2_last, NULL)->id, "w2");
	slots_back_off(slots_find(slots, "w2"), 0);
	ck_assert_ptr_null(slots_take(slots, LANE_SHORT, 0, NULL, NULL));
	ck_assert_ptr_nonnull(slots_take(slots, LANE_SHORT, 1000, NULL, NULL));
	slots_destroy(slots);
}
END_TEST

/* Guards against a reclassified request that still counts as short. */
START_TEST(moved_to_batch)
{
	slots_t *slots = slots_create(2, LEASE_MS);

	slots_renew_lease(slots_set(slots, "w1", 1, 8), 0);
	slots_take(slots, LANE_SHORT, 0, NULL, NULL);
	slots_move(slots, "w1", LANE_SHORT, LANE_BATCH);
	ck_assert_int_eq(slots_free(slots, LANE_BATCH, 0), 5);
	slots_release(slots, "w1", LANE_BATCH);
	ck_assert_int_eq(slots_free(slots, LANE_BATCH, 0), 6);
	slots_destroy(slots);
}
END_TEST

/* Guards against instances that together open more connections to a backend
 * server than it accepts, or run more tasks than they have connections for. */
START_TEST(connections_divided)
{
	ck_assert_int_eq(slots_connection_share(64, 7), 9);
	ck_assert_int_eq(slots_share(8, 9), 8);
	for (int instances = 1; instances <= 64; instances++) {
		for (int all = instances; all <= 512; all++) {
			int share = slots_connection_share(all, instances);

			ck_assert_int_ge(share, 1);
			ck_assert_int_le(share * instances, all);
			ck_assert_int_gt((share + 1) * instances, all);
			ck_assert_int_le(
			    slots_share(1024, share), MAX(share - 1, 1));
		}
	}
	/* Every instance needs one to query the state of a task. */
	ck_assert_int_eq(slots_connection_share(4, 7), 1);
	ck_assert_int_eq(slots_share(8, 1), 1);
}
END_TEST

static int
exclude_w2(void *ctx, const slots_worker_t *worker)
{
	return strcmp(worker->id, "w2") == 0 ? -1 : 0;
}

/* Guards against a back-off after "busy" that removes slots from the prediction
 * of waiting times, and against counting workers that a request can't use. */
START_TEST(total_of_usable)
{
	slots_t *slots = slots_create(2, LEASE_MS);

	slots_renew_lease(slots_set(slots, "w1", 1, 8), 0);
	slots_renew_lease(slots_set(slots, "w2", 1, 8), 1000);
	ck_assert_int_eq(slots_total(slots, LANE_SHORT, 0, NULL, NULL), 16);
	ck_assert_int_eq(
	    slots_total(slots, LANE_SHORT, 0, exclude_w2, NULL), 8);
	slots_back_off(slots_find(slots, "w1"), 0);
	ck_assert_int_eq(slots_free(slots, LANE_SHORT, 0), 8);
	ck_assert_int_eq(slots_total(slots, LANE_SHORT, 0, NULL, NULL), 16);
	ck_assert_int_eq(
	    slots_total(slots, LANE_SHORT, LEASE_MS, NULL, NULL), 8);
	slots_leave(slots_find(slots, "w2"));
	ck_assert_int_eq(
	    slots_total(slots, LANE_SHORT, LEASE_MS, NULL, NULL), 0);
	slots_destroy(slots);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("slots");
	TCase *tcase = tcase_create("slots");

	tcase_add_test(tcase, batch_cap);
	tcase_add_test(tcase, members_use_slots);
	tcase_add_test(tcase, connections_divided);
	tcase_add_test(tcase, total_of_usable);
	tcase_add_test(tcase, leases);
	tcase_add_test(tcase, lowest_rank_first);
	tcase_add_test(tcase, moved_to_batch);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
