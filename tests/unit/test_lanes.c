#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "policy/lanes.h"
#include "tests/unit/runner.h"

#define ITEM_COUNT 64

typedef struct {
	lanes_item_t item;
	char id[16];
} waiting_t;

static waiting_t items[ITEM_COUNT];

static lanes_item_t *
item(int i, lane_t lane, int64_t deadline_ms)
{
	memset(&items[i], 0, sizeof(items[i]));
	g_snprintf(items[i].id, sizeof(items[i].id), "%d", i);
	items[i].item.id = items[i].id;
	items[i].item.lane = lane;
	items[i].item.deadline_ms = deadline_ms;
	return &items[i].item;
}

/* Guards against a tenant that gets more or less than its share by weight. */
START_TEST(fair_by_weight)
{
	lanes_t *lanes = lanes_create(ITEM_COUNT);
	int heavy = 0;

	for (int i = 0; i < 30; i++)
		lanes_add(lanes, item(i, LANE_SHORT, 1000), "heavy", 3, 100);
	for (int i = 30; i < 60; i++)
		lanes_add(lanes, item(i, LANE_SHORT, 1000), "light", 1, 100);
	for (int i = 0; i < 20; i++)
		heavy += atoi(lanes_next(lanes, LANE_SHORT)->id) < 30;
	ck_assert_int_eq(heavy, 15);
	ck_assert_int_eq(lanes_waiting(lanes, LANE_SHORT), 40);
	lanes_destroy(lanes);
}
END_TEST

/* Guards against requests that overtake others of the same tenant. */
START_TEST(order_within_tenant)
{
	lanes_t *lanes = lanes_create(ITEM_COUNT);
	lanes_item_t *first;

	for (int i = 0; i < 4; i++)
		lanes_add(lanes, item(i, LANE_SHORT, 1000), "a", 1, 100);
	first = lanes_next(lanes, LANE_SHORT);
	lanes_put_back(lanes, first);
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(atoi(lanes_next(lanes, LANE_SHORT)->id), i);
	ck_assert_ptr_null(lanes_next(lanes, LANE_SHORT));
	lanes_destroy(lanes);
}
END_TEST

/* Guards against requests of a cost above the weight that don't wait several
 * rounds. */
START_TEST(cost_uses_credit)
{
	lanes_t *lanes = lanes_create(ITEM_COUNT);
	int expensive = 0;

	for (int i = 0; i < 30; i++) {
		lanes_item_t *one = item(i, LANE_BATCH, 1000);

		one->cost = i < 10 ? 4 : 1;
		lanes_add(lanes, one, i < 10 ? "expensive" : "cheap", 1, 100);
	}
	for (int i = 0; i < 10; i++)
		expensive += atoi(lanes_next(lanes, LANE_BATCH)->id) < 10;
	ck_assert_int_eq(expensive, 2);
	lanes_destroy(lanes);
}
END_TEST

/* Guards against queues of unlimited length. */
START_TEST(queue_limits)
{
	lanes_t *lanes = lanes_create(3);

	ck_assert_int_eq(
	    lanes_add(lanes, item(0, LANE_SHORT, 10), "a", 1, 2), 0);
	ck_assert_int_eq(
	    lanes_add(lanes, item(1, LANE_SHORT, 10), "a", 1, 2), 0);
	ck_assert_int_eq(
	    lanes_add(lanes, item(2, LANE_SHORT, 10), "a", 1, 2), -ENOBUFS);
	ck_assert_int_eq(
	    lanes_add(lanes, item(3, LANE_BATCH, 10), "b", 1, 2), 0);
	ck_assert_int_eq(
	    lanes_add(lanes, item(4, LANE_BATCH, 10), "b", 1, 2), -EAGAIN);
	lanes_destroy(lanes);
}
END_TEST

/* Guards against requests that are not expired at their deadline, or too early.
 */
START_TEST(deadlines)
{
	lanes_t *lanes = lanes_create(ITEM_COUNT);

	lanes_add(lanes, item(0, LANE_SHORT, 300), "a", 1, 9);
	lanes_add(lanes, item(1, LANE_BATCH, 100), "b", 1, 9);
	lanes_add(lanes, item(2, LANE_SHORT, 200), "a", 1, 9);
	ck_assert_ptr_null(lanes_remove_expired(lanes, 99));
	ck_assert_str_eq(lanes_remove_expired(lanes, 200)->id, "1");
	ck_assert_str_eq(lanes_remove_expired(lanes, 200)->id, "2");
	ck_assert_ptr_null(lanes_remove_expired(lanes, 200));
	ck_assert_int_eq(lanes_waiting(lanes, LANE_SHORT), 1);
	lanes_destroy(lanes);
}
END_TEST

/* Guards against cancelled requests that still run, and against tenants that
 * are no longer served afterwards. */
START_TEST(cancel)
{
	lanes_t *lanes = lanes_create(ITEM_COUNT);

	lanes_add(lanes, item(0, LANE_SHORT, 300), "a", 1, 9);
	lanes_add(lanes, item(1, LANE_SHORT, 300), "b", 1, 9);
	ck_assert_ptr_nonnull(lanes_cancel(lanes, "0"));
	ck_assert_ptr_null(lanes_cancel(lanes, "0"));
	ck_assert_str_eq(lanes_next(lanes, LANE_SHORT)->id, "1");
	ck_assert_ptr_null(lanes_next(lanes, LANE_SHORT));
	lanes_add(lanes, item(0, LANE_SHORT, 300), "a", 1, 9);
	ck_assert_str_eq(lanes_next(lanes, LANE_SHORT)->id, "0");
	lanes_destroy(lanes);
}
END_TEST

/* Guards against long requests that occupy short slots, and against stopping
 * one that is not repeatable. */
START_TEST(reclassification)
{
	ck_assert_int_eq(lanes_reclassify(2000, true, false, 5), LANES_KEEP);
	ck_assert_int_eq(
	    lanes_reclassify(2001, true, false, 5), LANES_STOP_AND_REQUEUE);
	ck_assert_int_eq(
	    lanes_reclassify(2001, true, false, 0), LANES_COUNT_AS_BATCH);
	ck_assert_int_eq(
	    lanes_reclassify(2001, true, true, 5), LANES_COUNT_AS_BATCH);
	ck_assert_int_eq(
	    lanes_reclassify(2001, false, false, 5), LANES_COUNT_AS_BATCH);
}
END_TEST

/* Guards against refusing a request because of another tenant's long queue. */
START_TEST(ahead_by_weight)
{
	lanes_t *lanes = lanes_create(ITEM_COUNT);

	for (int i = 0; i < 20; i++)
		lanes_add(lanes, item(i, LANE_SHORT, 1000), "a", 2, 100);
	ck_assert_int_eq(lanes_ahead(lanes, LANE_SHORT, "a", 2), 20);
	ck_assert_int_eq(lanes_ahead(lanes, LANE_SHORT, "b", 1), 2);
	ck_assert_int_eq(lanes_ahead(lanes, LANE_BATCH, "b", 1), 0);
	lanes_destroy(lanes);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("lanes");
	TCase *tcase = tcase_create("lanes");

	tcase_add_test(tcase, fair_by_weight);
	tcase_add_test(tcase, order_within_tenant);
	tcase_add_test(tcase, cost_uses_credit);
	tcase_add_test(tcase, queue_limits);
	tcase_add_test(tcase, deadlines);
	tcase_add_test(tcase, cancel);
	tcase_add_test(tcase, ahead_by_weight);
	tcase_add_test(tcase, reclassification);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
