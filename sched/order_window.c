#include "sched/order_window.h"

#include <glib.h>

void
order_window_init(order_window_t *window)
{
	*window = (order_window_t){.limit = ORDER_WINDOW_MAX};
}

/*
 * Whether one more order may be sent. The reserve of orders with precedence is
 * lost while the worker does not answer, too.
 */
bool
order_window_has_room(const order_window_t *window, bool has_precedence)
{
	int limit = window->limit;

	if (has_precedence)
		limit += MIN(window->limit, ORDER_WINDOW_RESERVE);
	return window->in_flight < limit;
}

void
order_window_sent(order_window_t *window)
{
	window->in_flight++;
}

/* Counts an order that was answered, or got no answer in time. */
void
order_window_ended(order_window_t *window, bool answered)
{
	window->in_flight--;
	if (answered)
		window->limit = MIN(window->limit + 1, ORDER_WINDOW_MAX);
	else
		window->limit = MAX(window->limit / 2, ORDER_WINDOW_MIN);
}
