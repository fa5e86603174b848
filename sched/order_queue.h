#pragma once

#include <glib.h>

/*
 * Orders to one worker that wait for others to be answered: first in, first out
 * for each tenant, and one order of each tenant in turn, so that the many tasks
 * of one do not delay the few of another.
 */

typedef struct order_queue_t order_queue_t;

order_queue_t *order_queue_create(void);
void order_queue_destroy(order_queue_t *queue);
void order_queue_push(order_queue_t *queue, const char *tenant, GList *item);
GList *order_queue_peek(const order_queue_t *queue);
void order_queue_remove(order_queue_t *queue, const char *tenant, GList *item);
guint order_queue_length(const order_queue_t *queue);
