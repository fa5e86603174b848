#include "sched/order_queue.h"

#include <stdbool.h>
#include <string.h>

/* The orders of one tenant; exists while some wait. */
typedef struct {
	char *tenant;
	GQueue items;
} lane_t;

struct order_queue_t {
	GQueue lanes; /* lane_t, the next to be served first */
	guint length;
};

order_queue_t *
order_queue_create(void)
{
	order_queue_t *queue = g_new0(order_queue_t, 1);

	g_queue_init(&queue->lanes);
	return queue;
}

static void
lane_free(void *data)
{
	lane_t *lane = data;

	g_free(lane->tenant);
	g_free(lane);
}

/* The items, which are the caller's, are left as they are. */
void
order_queue_destroy(order_queue_t *queue)
{
	g_queue_clear_full(&queue->lanes, lane_free);
	g_free(queue);
}

static gint
compare_tenant(gconstpointer lane, gconstpointer tenant)
{
	return strcmp(((const lane_t *)lane)->tenant, tenant);
}

static GList *
find_lane(const order_queue_t *queue, const char *tenant)
{
	return g_queue_find_custom(
	    (GQueue *)&queue->lanes, tenant, compare_tenant);
}

/* Adds an item behind the tenant's others; the queue links it in place. */
void
order_queue_push(order_queue_t *queue, const char *tenant, GList *item)
{
	GList *at = find_lane(queue, tenant);
	lane_t *lane;

	if (at == NULL) {
		lane = g_new0(lane_t, 1);
		lane->tenant = g_strdup(tenant);
		g_queue_init(&lane->items);
		g_queue_push_tail(&queue->lanes, lane);
	} else {
		lane = at->data;
	}
	g_queue_push_tail_link(&lane->items, item);
	queue->length++;
}

/* Returns the item that is next, NULL if none waits. */
GList *
order_queue_peek(const order_queue_t *queue)
{
	const lane_t *lane = g_queue_peek_head((GQueue *)&queue->lanes);

	return lane != NULL ? lane->items.head : NULL;
}

/*
 * Takes an item out; tenant is the one it was pushed for. Where it was the
 * tenant's next one, the others have their turn before the tenant's following.
 */
void
order_queue_remove(order_queue_t *queue, const char *tenant, GList *item)
{
	GList *at = find_lane(queue, tenant);
	lane_t *lane = at->data;
	bool was_next = lane->items.head == item;

	g_queue_unlink(&lane->items, item);
	queue->length--;
	if (!was_next)
		return;
	g_queue_unlink(&queue->lanes, at);
	if (lane->items.length > 0) {
		g_queue_push_tail_link(&queue->lanes, at);
		return;
	}
	g_list_free_1(at);
	lane_free(lane);
}

guint
order_queue_length(const order_queue_t *queue)
{
	return queue->length;
}
