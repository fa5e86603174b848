#pragma once

#include <check.h>
#include <ev.h>

#include "rpc/endpoint.h"
#include "state/replica.h"
#include "tests/unit/system.h"

/* Instances with their replicas in one process, on one loop. */
#define MAX_NODES 5
/* A deadline that is never reached. */
#define LONG_MS 600000

typedef struct {
	endpoint_t *endpoint;
	replica_t *replica;
	int applied;
} node_t;

typedef struct {
	struct ev_loop *loop;
	system_t *system;
	uint64_t incarnation;
	node_t nodes[MAX_NODES];
} replica_bed_t;

typedef struct {
	replica_bed_t *bed;
	int node;
	char name[32];
	int ended;
	int code;
	bool visible; /* in the local machine when the proposal ended */
} put_t;

#define WAIT(bed, met, ctx) ck_assert(system_wait((bed)->loop, (met), (ctx)))

void start_endpoint(replica_bed_t *bed, size_t i);
void start_node(replica_bed_t *bed, size_t i);
void stop_node(replica_bed_t *bed, size_t i);
void replica_bed_open(
    replica_bed_t *bed, size_t count, size_t replicas, const char *more);
void replica_bed_close(replica_bed_t *bed);
void start_all(replica_bed_t *bed);
int leader_of(const replica_bed_t *bed);
int other_than(const replica_bed_t *bed, int leader);
bool all_confirmed(void *ctx);
bool is_safe_to_replace(void *ctx);

/* Proposals: COMMAND_INSTANCE for an instance that does not exist. */
bool has(const replica_bed_t *bed, int node, const char *name);
command_t put_command(
    replica_bed_t *bed, int node, put_t *put, const char *name);
void put_done(void *ctx, const err_t *err, const command_result_t *result);
void put_start(replica_bed_t *bed, int node, put_t *put, const char *name,
    int64_t deadline_ms);
bool put_ended(void *ctx);
void put(replica_bed_t *bed, int node, const char *name);
void put_many(replica_bed_t *bed, int node, const char *prefix, int count);
void wait_visible(replica_bed_t *bed, int node, const char *name);
