#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The request queues of one instance: a lane for short and one for batch
 * requests, each with deficit round robin between tenants by weight.  Does no
 * I/O; the current time is a parameter.
 */
typedef struct lanes_t lanes_t;
typedef struct lanes_tenant_t lanes_tenant_t;

typedef enum {
	LANE_SHORT = 0,
	LANE_BATCH = 1,
	LANE_COUNT = 2,
} lane_t;

/* A queue entry, to be embedded in the caller's request struct. */
typedef struct {
	const char *id; /* unique; must stay valid while queued */
	lane_t lane;
	int cost; /* charged to the tenant's credit, at least 1 */
	int64_t deadline_ms;
	/* Private to lanes. */
	lanes_tenant_t *tenant;
	GSequenceIter *by_deadline;
	GList link;
} lanes_item_t;

/* How to treat a running short request; see lanes_reclassify. */
typedef enum {
	LANES_KEEP,
	LANES_COUNT_AS_BATCH,
	LANES_STOP_AND_REQUEUE,
} lanes_verdict_t;

lanes_t *lanes_create(int limit);
void lanes_destroy(lanes_t *lanes);
int lanes_add(lanes_t *lanes, lanes_item_t *item, const char *tenant,
    int weight, int tenant_limit);
lanes_item_t *lanes_next(lanes_t *lanes, lane_t lane);
void lanes_put_back(lanes_t *lanes, lanes_item_t *item);
void lanes_remove(lanes_t *lanes, lanes_item_t *item);
lanes_item_t *lanes_cancel(lanes_t *lanes, const char *id);
lanes_item_t *lanes_remove_expired(lanes_t *lanes, int64_t now_ms);
int lanes_waiting(const lanes_t *lanes, lane_t lane);
int lanes_ahead(
    const lanes_t *lanes, lane_t lane, const char *tenant, int weight);
lanes_verdict_t lanes_reclassify(int64_t running_ms, bool repeatable,
    bool requeued_before, int short_waiting);
