#pragma once

#include <stdbool.h>

/*
 * How many starts and stops may be in flight to one worker. It follows the
 * answers: a worker that answers none of them is probed with few, and gets one
 * more for each answer once it does.
 */

#define ORDER_WINDOW_MIN 2
#define ORDER_WINDOW_MAX 32
/* Beyond the limit, for stops and urgent starts. */
#define ORDER_WINDOW_RESERVE 16

typedef struct {
	int limit;
	int in_flight;
} order_window_t;

void order_window_init(order_window_t *window);
bool order_window_has_room(const order_window_t *window, bool has_precedence);
void order_window_sent(order_window_t *window);
void order_window_ended(order_window_t *window, bool answered);
