#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/lanes.h"

/*
 * The slots of the backend servers that this instance owns.  Every dispatch
 * takes its slot with slots_take.  Does no I/O; the current time is a
 * parameter.
 */
typedef struct slots_t slots_t;

typedef struct {
	char *id;
	uint64_t generation;
	int slots;
	int used[LANE_COUNT];
	int members;                /* job members, one slot each */
	int64_t announced_ms;       /* last announcement */
	int64_t backoff_until_ms;   /* no new work until then */
	bool leaving;               /* gets no new work */
	bool lease_expiry_reported; /* returned by slots_next_expired */
} slots_worker_t;

/*
 * Ranks a worker for a request: negative if it can't be used, otherwise lower
 * is better.
 */
typedef int slots_rank_t(void *ctx, const slots_worker_t *worker);

int slots_connection_share(int connections, int instances);
int slots_share(int slots, int connection_share);
slots_t *slots_create(int short_reserved, int64_t lease_ms);
void slots_destroy(slots_t *slots);
slots_worker_t *slots_set(
    slots_t *slots, const char *id, uint64_t generation, int count);
void slots_remove(slots_t *slots, const char *id);
slots_worker_t *slots_find(const slots_t *slots, const char *id);
void slots_renew_lease(slots_worker_t *worker, int64_t now_ms);
void slots_leave(slots_worker_t *worker);
void slots_set_members(slots_worker_t *worker, int members);
void slots_back_off(slots_worker_t *worker, int64_t now_ms);
bool slots_usable(
    const slots_t *slots, const slots_worker_t *worker, int64_t now_ms);
slots_worker_t *slots_take(
    slots_t *slots, lane_t lane, int64_t now_ms, slots_rank_t *rank, void *ctx);
void slots_release(slots_t *slots, const char *id, lane_t lane);
void slots_move(slots_t *slots, const char *id, lane_t from, lane_t to);
int slots_free(const slots_t *slots, lane_t lane, int64_t now_ms);
int slots_total(const slots_t *slots, lane_t lane, int64_t now_ms,
    slots_rank_t *rank, void *ctx);
slots_worker_t *slots_next_expired(slots_t *slots, int64_t now_ms);
void slots_foreach(const slots_t *slots,
    void (*visit)(void *ctx, slots_worker_t *worker), void *ctx);
