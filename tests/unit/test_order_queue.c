#include <check.h>

#include "sched/order_queue.h"
#include "sched/order_window.h"
#include "tests/unit/runner.h"

/* What may be sent to a worker now: the queue and the window of its orders. */

#define ITEMS 6

typedef struct {
	const char *tenant;
	GList link;
} item_t;

static order_queue_t *queue;
static item_t items[ITEMS];

static void
open_queue(void)
{
	static const char *const tenants[ITEMS] = {
	    "a", "a", "a", "b", "a", "c"};

	queue = order_queue_create();
	for (int i = 0; i < ITEMS; i++) {
		items[i] = (item_t){.tenant = tenants[i]};
		items[i].link.data = &items[i];
		order_queue_push(queue, tenants[i], &items[i].link);
	}
}

static void
close_queue(void)
{
	order_queue_destroy(queue);
}

/* Takes the next item and returns its number, -1 if none waits. */
static int
take(void)
{
	GList *next = order_queue_peek(queue);
	item_t *item;

	if (next == NULL)
		return -1;
	item = next->data;
	order_queue_remove(queue, item->tenant, next);
	return (int)(item - items);
}

/* Guards against a tenant whose many tasks delay the few of others. */
START_TEST(tenants_take_turns)
{
	static const int expected[] = {0, 3, 5, 1, 2, 4, -1};

	ck_assert_uint_eq(order_queue_length(queue), ITEMS);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++)
		ck_assert_int_eq(take(), expected[i]);
	ck_assert_uint_eq(order_queue_length(queue), 0);
}
END_TEST

START_TEST(items_leave_the_queue_anywhere)
{
	static const int expected[] = {5, 1, 4, -1};

	order_queue_remove(queue, "a", &items[2].link);
	order_queue_remove(queue, "b", &items[3].link);
	order_queue_remove(queue, "a", &items[0].link);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++)
		ck_assert_int_eq(take(), expected[i]);
	order_queue_push(queue, "a", &items[0].link);
	ck_assert_int_eq(take(), 0);
}
END_TEST

/* Returns how many orders may be sent. */
static int
room(order_window_t *window, bool has_precedence)
{
	int count = 0;

	for (; order_window_has_room(window, has_precedence); count++)
		order_window_sent(window);
	window->in_flight -= count;
	return count;
}

static void
end_orders(order_window_t *window, int count, bool answered)
{
	for (int i = 0; i < count; i++) {
		order_window_sent(window);
		order_window_ended(window, answered);
	}
}

/* Guards against a flood of orders to a worker that answers none. */
START_TEST(silent_worker_is_probed)
{
	order_window_t window;

	order_window_init(&window);
	ck_assert_int_eq(room(&window, false), ORDER_WINDOW_MAX);
	ck_assert_int_eq(
	    room(&window, true), ORDER_WINDOW_MAX + ORDER_WINDOW_RESERVE);
	end_orders(&window, ORDER_WINDOW_MAX, false);
	ck_assert_int_eq(room(&window, false), ORDER_WINDOW_MIN);
	ck_assert_int_eq(room(&window, true), 2 * ORDER_WINDOW_MIN);
	end_orders(&window, 3, true);
	ck_assert_int_eq(room(&window, false), ORDER_WINDOW_MIN + 3);
	end_orders(&window, 2 * ORDER_WINDOW_MAX, true);
	ck_assert_int_eq(room(&window, false), ORDER_WINDOW_MAX);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("order_queue");
	TCase *queues = tcase_create("queue");
	TCase *windows = tcase_create("window");

	tcase_add_checked_fixture(queues, open_queue, close_queue);
	tcase_add_test(queues, tenants_take_turns);
	tcase_add_test(queues, items_leave_the_queue_anywhere);
	tcase_add_test(windows, silent_worker_is_probed);
	suite_add_tcase(suite, queues);
	suite_add_tcase(suite, windows);
	return unit_run(suite, CK_FORK_GETENV);
}
