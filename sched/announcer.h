#pragma once

#include <ev.h>

#include "rpc/endpoint.h"
#include "sched/fleet.h"

/*
 * Announcements of workers on any instance with a replica.  Load pattern:
 * thousands of workers announce themselves every second or so.  If all did so
 * at the leader, their connections would take the descriptors that operators
 * need, and their calls its processor.  Instances that do not lead pass them on
 * together.
 */
typedef struct announcer_t announcer_t;

announcer_t *announcer_create(
    struct ev_loop *loop, endpoint_t *endpoint, fleet_t *fleet);
void announcer_destroy(announcer_t *announcer);
/*
 * done is called once, also from within the call, with FLEET_NOT_LEADER if the
 * worker should announce itself to the leader.
 */
void announcer_announce(announcer_t *announcer,
    fleet_announcement_t *announcement, fleet_done_t *done, void *ctx);
/* Serves RPC_ANNOUNCE. */
void announcer_serve(
    announcer_t *announcer, announce_args_t *args, endpoint_request_t *request);
