#include "policy/lanes.h"

#include <errno.h>

/* A short request that runs longer counts as batch from then on. */
#define LONG_SHORT_MS 2000

struct lanes_tenant_t {
	char *name;
	int weight;
	int deficit;
	bool in_turn;
	GQueue waiting;
	GList link;
};

typedef struct {
	GHashTable *tenants;
	GQueue turns; /* tenants with waiting requests, in turn */
	int waiting;
} lane_state_t;

struct lanes_t {
	int limit;
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

/* Creates lanes that hold at most limit waiting requests altogether. */
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
		g_queue_init(&lanes->lane[i].turns);
	}
	return lanes;
}

/* Ends the lanes; waiting items belong to the caller. */
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
find_tenant(lane_state_t *state, const char *name)
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
attach(lanes_t *lanes, lanes_item_t *item, bool at_head)
{
	lane_state_t *state = &lanes->lane[item->lane];
	lanes_tenant_t *tenant = item->tenant;

	if (at_head)
		g_queue_push_head_link(&tenant->waiting, &item->link);
	else
		g_queue_push_tail_link(&tenant->waiting, &item->link);
	if (!tenant->in_turn) {
		tenant->in_turn = true;
		if (at_head)
			g_queue_push_head_link(&state->turns, &tenant->link);
		else
			g_queue_push_tail_link(&state->turns, &tenant->link);
	}
	state->waiting++;
	g_hash_table_insert(lanes->by_id, (void *)item->id, item);
	item->by_deadline = g_sequence_insert_sorted(
	    lanes->by_deadline, item, compare_deadlines, NULL);
}

/*
 * Adds a request at the end of its tenant's queue.  Returns -ENOBUFS when the
 * tenant has tenant_limit requests waiting in this lane, -EAGAIN when the
 * instance is full.
 */
int
lanes_add(lanes_t *lanes, lanes_item_t *item, const char *tenant, int weight,
    int tenant_limit)
{
	lane_state_t *state = &lanes->lane[item->lane];

	if (g_hash_table_size(lanes->by_id) >= (guint)lanes->limit)
		return -EAGAIN;
	item->tenant = find_tenant(state, tenant);
	if (item->tenant->waiting.length >= (guint)tenant_limit)
		return -ENOBUFS;
	item->tenant->weight = MAX(weight, 1);
	item->link.data = item;
	item->cost = MAX(item->cost, 1);
	attach(lanes, item, false);
	return 0;
}

/* Takes a waiting request out. */
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
		g_queue_unlink(&state->turns, &tenant->link);
		tenant->in_turn = false;
		/* An idle tenant saves no credit. */
		tenant->deficit = 0;
	}
}

/*
 * Takes the next request of a lane, NULL when none waits.  A tenant may take
 * up to its weight in costs, with what it has left over, and then goes to the
 * end of the round.
 */
lanes_item_t *
lanes_next(lanes_t *lanes, lane_t lane)
{
	lane_state_t *state = &lanes->lane[lane];
	lanes_tenant_t *tenant;
	lanes_item_t *item;

	while (state->turns.length > 0) {
		tenant = state->turns.head->data;
		item = tenant->waiting.head->data;
		if (tenant->deficit >= item->cost) {
			tenant->deficit -= item->cost;
			lanes_remove(lanes, item);
			return item;
		}
		tenant->deficit += tenant->weight;
		if (tenant->deficit < item->cost || state->turns.length > 1) {
			g_queue_unlink(&state->turns, &tenant->link);
			g_queue_push_tail_link(&state->turns, &tenant->link);
		}
	}
	return NULL;
}

/* Puts a request that lanes_next gave back to where it was. */
void
lanes_put_back(lanes_t *lanes, lanes_item_t *item)
{
	item->tenant->deficit += item->cost;
	attach(lanes, item, true);
}

/* Takes the waiting request of that id out; NULL when none waits. */
lanes_item_t *
lanes_cancel(lanes_t *lanes, const char *id)
{
	lanes_item_t *item = g_hash_table_lookup(lanes->by_id, id);

	if (item != NULL)
		lanes_remove(lanes, item);
	return item;
}

/* Takes out one request whose deadline has passed; NULL when there is none. */
lanes_item_t *
lanes_expired(lanes_t *lanes, int64_t now_ms)
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

/* Returns how many requests wait in a lane. */
int
lanes_waiting(const lanes_t *lanes, lane_t lane)
{
	return lanes->lane[lane].waiting;
}

/*
 * Estimates how many requests are served before a new one of the tenant: its
 * own, and of each other tenant that has some waiting as many as its weight
 * earns it meanwhile.  These may be more than wait now: requests that it sends
 * later are served before the last ones of a longer queue.
 */
int
lanes_ahead(const lanes_t *lanes, lane_t lane, const char *tenant, int weight)
{
	const lane_state_t *state = &lanes->lane[lane];
	const lanes_tenant_t *own = g_hash_table_lookup(state->tenants, tenant);
	int own_waiting = own != NULL ? (int)own->waiting.length : 0;
	int ahead = own_waiting;

	for (GList *at = state->turns.head; at != NULL; at = at->next) {
		const lanes_tenant_t *other = at->data;
		int share = (own_waiting + 1) * other->weight / MAX(weight, 1);

		if (other != own)
			ahead += share;
	}
	return ahead;
}

/*
 * Judges a running short request: after 2 s it counts as batch; if it may run
 * twice and short requests wait, it is stopped and requeued as batch, once.
 */
lanes_verdict_t
lanes_judge(int64_t running_ms, bool repeatable, bool requeued_before,
    int short_waiting)
{
	if (running_ms <= LONG_SHORT_MS)
		return LANES_KEEP;
	if (repeatable && !requeued_before && short_waiting > 0)
		return LANES_STOP_AND_REQUEUE;
	return LANES_COUNT_AS_BATCH;
}
