#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"
#include "rpc/protocol.h"

/*
 * Orders from the leader to workers and the workers' answers.  The transport is
 * supplied as callbacks, so that nothing here depends on a wire format.
 */

/* How a run ended on a worker. */
typedef enum {
	RUN_DONE,
	RUN_FAILED,
	RUN_STOPPED,
	RUN_LEASE_EXPIRED,   /* the worker's lease expired */
	RUN_GANG_BROKEN,     /* another member of the gang ended early */
	RUN_GANG_INCOMPLETE, /* other members did not join in time */
} run_outcome_t;

/* What became of an order. */
typedef enum {
	ORDER_OK,
	ORDER_FENCED,    /* the worker has seen a higher fencing token */
	ORDER_STALE_RUN, /* this run or a later one has ended on the worker */
	ORDER_LEASE_EXPIRED,     /* the lease in the order has expired */
	ORDER_NO_ROOM,           /* not enough free resources */
	ORDER_NO_TICKET,         /* a ticket is missing or not valid */
	ORDER_UNHEALTHY,         /* refused: the worker is unhealthy for now */
	ORDER_INVALID,           /* the worker cannot parse the order */
	ORDER_OTHER_INCARNATION, /* the worker has restarted since */
	ORDER_NO_ANSWER,         /* the worker may still carry it out */
} order_outcome_t;

/* Identifies one task, a member of a unit. */
typedef struct {
	const char *job;
	int occurrence;
	int step;
	int index;
} task_name_t;

/* The recipient of an order and the leader's fencing token. */
typedef struct {
	const fleet_worker_t *worker;
	uint64_t fence;
	int64_t timeout_ms;
} order_target_t;

/* A running task in a worker's poll answer. */
typedef struct {
	task_name_t task;
	uint32_t run;
	const char *checkpoint;
	int percent; /* progress */
	int load; /* serving tasks: tail latency in ms; else load in 1/1000 */
} running_task_t;

/* An ended task in a poll answer. */
typedef struct {
	uint64_t number; /* sequence number, rises within one incarnation */
	task_name_t task;
	uint32_t run;
	run_outcome_t how;
	const char *checkpoint;
} ended_task_t;

typedef struct {
	order_outcome_t outcome;
	int64_t clock_ms; /* the worker's monotonic clock, 0: unknown */
	/* The fields below are set for polls only. */
	uint64_t born; /* incarnation of the worker, 0: unknown */
	const running_task_t *running;
	size_t running_count;
	const ended_task_t *ended;
	size_t ended_count;
	bool more_ends; /* tasks that are not listed may have ended */
} order_answer_t;

/* Called once for each order, never before the sending call returns. */
typedef void order_done_t(void *ctx, const order_answer_t *answer);

typedef struct {
	task_name_t task;
	uint32_t run;
	str_t payload;
	const char *checkpoint;
	const char *ticket;   /* of the adviser, or NULL */
	int64_t lease_end_ms; /* on the worker's clock */
} start_order_t;

typedef struct {
	uint64_t acknowledged; /* the worker may forget ended tasks up to it */
	int64_t lease_end_ms;  /* 0: the lease is not renewed */
	int64_t wait_ms;       /* how long the worker may delay its answer */
} poll_order_t;

/*
 * The answer of the adviser, an external admission service, about one step: the
 * workers that may run it, each with a ticket that proves this.
 */
typedef struct {
	bool answered;
	struct {
		const char *worker;
		const char *ticket;
	} * grants;
	size_t count;
	int64_t valid_ms;
} advice_answer_t;

typedef void advice_done_t(void *ctx, const advice_answer_t *answer);

/* The transport: functions that send an order or query. */
typedef struct {
	void (*start)(void *ctx, const order_target_t *target,
	    const start_order_t *order, order_done_t *done, void *done_ctx);
	void (*stop)(void *ctx, const order_target_t *target,
	    const task_name_t *task, uint32_t run, order_done_t *done,
	    void *done_ctx);
	void (*poll)(void *ctx, const order_target_t *target,
	    const poll_order_t *order, order_done_t *done, void *done_ctx);
	/* Limits a task to a percentage of its full speed, 0 to 100. */
	void (*pace)(void *ctx, const order_target_t *target,
	    const task_name_t *task, uint32_t run, int percent,
	    order_done_t *done, void *done_ctx);
	/* workers is NULL-terminated.  advise is NULL without an adviser. */
	void (*advise)(void *ctx, const char *step, const char *const *workers,
	    int64_t timeout_ms, advice_done_t *done, void *done_ctx);
	void *ctx;
} order_transport_t;
