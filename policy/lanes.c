#include "policy/lanes.h"

#include <errno.h>

/* A short request that runs longer than this is reclassified as batch. */
#define SHORT_LIMIT_MS 2000

struct lanes_tenant_t {
	char *name;
	int weight;
	int deficit;    /* of deficit round robin, in units of cost */
	bool is_active; /* linked in lane_state_t.active */
	GQueue waiting;
	GList link;
};

typedef struct {
	GHashTable *tenants;
	GQueue active; /* tenants with waiting requests, next one first */
	int waiting;
} lane_state_t;

struct lanes_t {
	int limit; /* waiting requests in both lanes */
	lane_state_t lane[LANE_COUNT];
	GHashTable *by_id;
	GSequence *by_deadline;
};

static void
tenant_free(void *data)
{
	lanes_tenant_t *tenant = data;

	g_free(tenant->name);
	g_free(tenant);
}

/* Creates empty lanes for at most limit waiting requests in total. */
lanes_t *
lanes_create(int limit)
{
	lanes_t *lanes = g_new0(lanes_t, 1);

	lanes->limit = limit;
	lanes->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	lanes->by_deadline = g_sequence_new(NULL);
	for (int i = 0; i < LANE_COUNT; i++) {
		lanes->lane[i].tenants = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, tenant_free);
		g_queue_init(&lanes->lane[i].active);
	}
	return lanes;
}

/* Frees the lanes but not the waiting items, which the caller owns. */
void
lanes_destroy(lanes_t *lanes)
{
	if (lanes == NULL)
		return;
	for (int i = 0; i < LANE_COUNT; i++)
		g_hash_table_unref(lanes->lane[i].tenants);
	g_hash_table_unref(lanes->by_id);
	g_sequence_free(lanes->by_deadline);
	g_free(lanes);
}

static lanes_tenant_t *
find_or_add_tenant(lane_state_t *state, const char *name)
{
	lanes_tenant_t *tenant = g_hash_table_lookup(state->tenants, name);

	if (tenant != NULL)
		return tenant;
	tenant = g_new0(lanes_tenant_t, 1);
	tenant->name = g_strdup(name);
	tenant->link.data = tenant;
	g_queue_init(&tenant->waiting);
	g_hash_table_insert(state->tenants, tenant->name, tenant);
	return tenant;
}

static int
compare_deadlines(const void *a, const void *b, void *ctx)
{
	const lanes_item_t *left = a;
	const lanes_item_t *right = b;

	return (left->deadline_ms > right->deadline_ms) -
	       (left->deadline_ms < right->deadline_ms);
}

static void
enqueue(lanes_t *lanes, lanes_item_t *item, bool at_head)
{
	lane_state_t *state = &lanes->lane[item->lane];
	lanes_tenant_t *tenant = item->tenant;

	if (at_head)
		g_queue_push_head_link(&tenant->waiting, &item->link);
	else
		g_queue_push_tail_link(&tenant->waiting, &item->link);
	if (!tenant->is_active) {
		tenant->is_active = true;
		if (at_head)
			g_queue_push_head_link(&state->active, &tenant->link);
		else
			g_queue_push_tail_link(&state->active, &tenant->link);
	}
	state->waiting++;
	g_hash_table_insert(lanes->by_id, (void *)item->id, item);
	item->by_deadline = g_sequence_insert_sorted(
	    lanes->by_deadline, item, compare_deadlines, NULL);
}

/*
 * Appends a request to its tenant's queue.  Returns -ENOBUFS if the tenant has
 * tenant_limit requests waiting in this lane, -EAGAIN if the limit of the
 * instance is reached.
 */
int
lanes_add(lanes_t *lanes, lanes_item_t *item, const char *tenant, int weight,
    int tenant_limit)
{
	lane_state_t *state = &lanes->lane[item->lane];

	if (g_hash_table_size(lanes->by_id) >= (guint)lanes->limit)
		return -EAGAIN;
	item->tenant = find_or_add_tenant(state, tenant);
	if (item->tenant->waiting.length >= (guint)tenant_limit)
		return -ENOBUFS;
	item->tenant->weight = MAX(weight, 1);
	item->link.data = item;
	item->cost = MAX(item->cost, 1);
	enqueue(lanes, item, false);
	return 0;
}

/* Removes a waiting request. */
void
lanes_remove(lanes_t *lanes, lanes_item_t *item)
{
	lane_state_t *state = &lanes->lane[item->lane];
	lanes_tenant_t *tenant = item->tenant;

	g_queue_unlink(&tenant->waiting, &item->link);
	g_sequence_remove(item->by_deadline);
	item->by_deadline = NULL;
	g_hash_table_remove(lanes->by_id, item->id);
	state->waiting--;
	if (tenant->waiting.length == 0) {
		g_queue_unlink(&state->active, &tenant->link);
		tenant->is_active = false;
		/* An idle tenant accumulates no credit. */
		tenant->deficit = 0;
	}
}

/*
 * Removes and returns the next request of a lane, NULL if none waits.  In each
 * round a tenant gets requests up to a total cost of its weight plus its unused
 * credit, and then moves to the end of the round.
 */
lanes_item_t *
lanes_next(lanes_t *lanes, lane_t lane)
{
	lane_state_t *state = &lanes->lane[lane];
	lanes_tenant_t *tenant;
	lanes_item_t *item;

	while (state->active.length > 0) {
		tenant = state->active.head->data;
		item = tenant->waiting.head->data;
		if (tenant->deficit >= item->cost) {
			tenant->deficit -= item->cost;
			lanes_remove(lanes, item);
			return item;
		}
		tenant->deficit += tenant->weight;
		if (tenant->deficit < item->cost || state->active.length > 1) {
			g_queue_unlink(&state->active, &tenant->link);
			g_queue_push_tail_link(&state->active, &tenant->link);
		}
	}
	return NULL;
}

/* Returns a request from lanes_next to the head of its queue. */
void
lanes_put_back(lanes_t *lanes, lanes_item_t *item)
{
	item->tenant->deficit += item->cost;
	enqueue(lanes, item, true);
}

/* Removes and returns the waiting request with that id, NULL if none. */
lanes_item_t *
lanes_cancel(lanes_t *lanes, const char *id)
{
	lanes_item_t *item = g_hash_table_lookup(lanes->by_id, id);

	if (item != NULL)
		lanes_remove(lanes, item);
	return item;
}

/* Removes and returns one request past its deadline, NULL if none. */
lanes_item_t *
lanes_remove_expired(lanes_t *lanes, int64_t now_ms)
{
	GSequenceIter *first = g_sequence_get_begin_iter(lanes->by_deadline);
	lanes_item_t *item;

	if (g_sequence_iter_is_end(first))
		return NULL;
	item = g_sequence_get(first);
	if (item->deadline_ms > now_ms)
		return NULL;
	lanes_remove(lanes, item);
	return item;
}

/* Returns the number of requests waiting in a lane. */
int
lanes_waiting(const lanes_t *lanes, lane_t lane)
{
	return lanes->lane[lane].waiting;
}

/*
 * Estimates how many requests are served before a new one of the tenant: the
 * tenant's own queue, and for each other tenant with waiting requests its share
 * by weight in the meantime.  That share can exceed the other tenant's present
 * queue: if the tenant's own queue is longer, requests that the other tenant
 * adds later are served before the end of it.
 */
int
lanes_ahead(const lanes_t *lanes, lane_t lane, const char *tenant, int weight)
{
	const lane_state_t *state = &lanes->lane[lane];
	const lanes_tenant_t *own = g_hash_table_lookup(state->tenants, tenant);
	int own_waiting = own != NULL ? (int)own->waiting.length : 0;
	int ahead = own_waiting;

	for (GList *at = state->active.head; at != NULL; at = at->next) {
		const lanes_tenant_t *other = at->data;
		int share = (own_waiting + 1) * other->weight / MAX(weight, 1);

		if (other != own)
			ahead += share;
	}
	return ahead;
}

/*
 * Decides how to treat a running short request.  After SHORT_LIMIT_MS it counts
 * as batch. If it is repeatable, was not requeued before and short requests are
 * waiting, it is stopped and requeued as batch instead.
 */
lanes_verdict_t
lanes_reclassify(int64_t running_ms, bool repeatable, bool requeued_before,
    int short_waiting)
{
	if (running_ms <= SHORT_LIMIT_MS)
		return LANES_KEEP;
	if (repeatable && !requeued_before && short_waiting > 0)
		return LANES_STOP_AND_REQUEUE;
	return LANES_COUNT_AS_BATCH;
}
