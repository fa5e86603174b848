#pragma once

#include <ev.h>

#include "rpc/endpoint.h"
#include "sched/orders.h"
#include "state/replica.h"

/*
 * The task that serves batch jobs on an instance with a replica.  On the leader
 * it places units on workers and follows their runs; elsewhere it only names
 * the leader.
 */
typedef struct fleet_t fleet_t;

/* Bounds that the deployment gives. */
typedef struct {
	int64_t worker_beat_ms; /* interval of the workers' announcements */
	int64_t lease_ms;       /* of what runs on a worker */
	int64_t keep_ended_ms;  /* how long an ended job can be read */
	int64_t reclaim_ms;     /* until covered urgent work has begun */
} fleet_bounds_t;

/* What a worker announces about itself. */
typedef struct {
	fleet_worker_t worker;
	uint64_t sequence; /* rises with each announcement of one incarnation */
	int64_t clock_ms;  /* its steady clock */
} announcement_t;

typedef enum {
	FLEET_OK,
	FLEET_NOT_LEADER,
	FLEET_NO_ANSWER, /* it may or may not take effect */
	FLEET_NONE,      /* there is no configuration yet */
} fleet_outcome_t;

typedef void fleet_done_t(void *ctx, fleet_outcome_t outcome);
typedef void fleet_document_t(
    void *ctx, fleet_outcome_t outcome, str_t document);

fleet_t *fleet_create(struct ev_loop *loop, replica_t *replica,
    const fleet_bounds_t *bounds, const worker_orders_t *orders);
void fleet_destroy(fleet_t *fleet);
/* Called after each applied command. */
void fleet_applied(fleet_t *fleet, const command_t *command);
/* Serves RPC_BATCH. */
void fleet_serve_call(
    fleet_t *fleet, batch_call_t *call, endpoint_request_t *request);
/* Whether this instance leads and may act. */
bool fleet_leads(const fleet_t *fleet);
const char *fleet_leader(const fleet_t *fleet);
/* How the leader is reached; the id is NULL when it is unknown. */
peer_info_t fleet_leader_info(const fleet_t *fleet);

void fleet_announce(fleet_t *fleet, announcement_t *announcement,
    fleet_done_t *done, void *ctx);
void fleet_deregister(
    fleet_t *fleet, const char *worker, fleet_done_t *done, void *ctx);
/* Takes what config holds. */
void fleet_replace_config(
    fleet_t *fleet, fleet_config_t *config, fleet_done_t *done, void *ctx);
void fleet_read_config(fleet_t *fleet, fleet_document_t *done, void *ctx);
