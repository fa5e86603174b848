#pragma once

#include <ev.h>

#include "rpc/endpoint.h"
#include "sched/orders.h"
#include "state/replica.h"

/*
 * Batch scheduler of an instance with a replica. The leader places units on
 * workers and follows their runs; other instances only report who the leader
 * is.
 */
typedef struct fleet_t fleet_t;

/* Time limits from the deployment settings. */
typedef struct {
	int64_t
	    worker_announce_interval_ms; /* interval of worker announcements */
	int64_t lease_ms; /* lease under which a worker runs tasks */
	int64_t
	    ended_job_retention_ms; /* how long an ended job stays readable */
	int64_t reclaim_ms;         /* limit for a guaranteed job to start */
	/*
	 * A worker below this share of the usual speed is slow; 0: the speed
	 * of workers is not learned.
	 */
	int slow_worker_percent;
	bool avoids_interference; /* keeps tasks apart that slow others down */
	/* Run time on a cold worker, in percent; 0: none is treated as cold. */
	int cold_stretch_percent;
} fleet_timing_t;

typedef enum {
	FLEET_OK,
	FLEET_NOT_LEADER,
	FLEET_NO_ANSWER, /* the outcome is unknown */
	FLEET_NO_CONFIG, /* no configuration is committed */
} fleet_outcome_t;

typedef void fleet_done_t(void *ctx, fleet_outcome_t outcome);
typedef void fleet_read_done_t(
    void *ctx, fleet_outcome_t outcome, str_t document);

fleet_t *fleet_create(struct ev_loop *loop, replica_t *replica,
    const fleet_timing_t *timing, const order_transport_t *orders);
void fleet_destroy(fleet_t *fleet);
/* The caller must call this after each command that the replica applies. */
void fleet_applied(fleet_t *fleet, const command_t *command);
/* Serves RPC_BATCH. */
void fleet_serve_call(
    fleet_t *fleet, batch_call_t *call, endpoint_request_t *request);
/* Whether this instance leads and holds a valid leader lease. */
bool fleet_leads(const fleet_t *fleet);
const char *fleet_leader(const fleet_t *fleet);
/* Returns the leader's address; its id is NULL when the leader is unknown. */
peer_info_t fleet_leader_info(const fleet_t *fleet);

/* Copies a worker, including its strings. */
void fleet_worker_copy(fleet_worker_t *copy, const fleet_worker_t *worker);
void fleet_announce(fleet_t *fleet, fleet_announcement_t *announcement,
    fleet_done_t *done, void *ctx);
void fleet_deregister(fleet_t *fleet, const char *worker, uint64_t born,
    fleet_done_t *done, void *ctx);
/* Takes ownership of the contents of config. */
void fleet_replace_config(
    fleet_t *fleet, fleet_config_t *config, fleet_done_t *done, void *ctx);
void fleet_read_config(fleet_t *fleet, fleet_read_done_t *done, void *ctx);
/* Whether a worker, present or gone not long ago, names the failure domain. */
bool fleet_knows_domain(const fleet_t *fleet, const char *domain);
/* done is called with FLEET_OK once the order is committed. */
void fleet_set_domain_service(fleet_t *fleet, const char *domain,
    bool out_of_service, fleet_done_t *done, void *ctx);
