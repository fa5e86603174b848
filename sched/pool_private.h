#pragma once

#include <glib.h>

#include "sched/pool.h"

/* Private to the modules that search a pool. */

/* Workers with more accelerators share the last list. */
#define POOL_MAX_LISTED 64
#define POOL_LISTS (POOL_MAX_LISTED + 1)
#define POOL_NONE (-1)

/* Usable workers of a group, by the list that they are in. */
typedef struct {
	int listed[PLAN_AVAILABLE_KINDS][POOL_LISTS];
} pool_counts_t;

typedef struct {
	const char *name;
	/* Its workers are by_rack[first] to by_rack[first + count - 1]. */
	size_t first;
	size_t count;
	pool_counts_t counts;
	/* Sum over its usable workers. */
	int accelerators[PLAN_AVAILABLE_KINDS];
	bool reserved; /* for urgent work, see reserve.h */
} pool_rack_t;

/* Usable workers in doubly linked lists by available accelerators. */
typedef struct {
	int head[POOL_LISTS];
	int *next; /* by worker; POOL_NONE: last */
	int *prev; /* by worker; POOL_NONE: first */
	int *list; /* by worker: the list that it is in, or POOL_NONE */
} pool_lists_t;

struct pool_t {
	plan_worker_t *workers;
	size_t count;
	size_t *by_rack; /* worker indexes, grouped by rack */
	pool_rack_t *racks;
	size_t rack_count;
	int *rack_of;   /* by worker */
	int *domain_of; /* by worker */
	pool_counts_t *domains;
	size_t domain_count;
	pool_counts_t total;
	int longest_list; /* the highest list that was ever used */
	bool is_uneven;   /* the speed of a worker is known */
	int *service_of;  /* by worker */
	GHashTable *rack_numbers;
	GHashTable *service_numbers;
	pool_lists_t lists[PLAN_AVAILABLE_KINDS];
	GArray *choice;  /* size_t */
	int passed_over; /* see pool_passed_over; POOL_NONE: none */
};

resources_t pool_available(
    const pool_t *pool, size_t worker, plan_available_t kind);
/* Each returns POOL_NONE if no worker of the pool has that rack or service. */
int pool_rack_number(const pool_t *pool, const char *name);
int pool_service_number(const pool_t *pool, const char *name);
/*
 * Returns how many tasks with that many accelerators fit at most on the workers
 * that were counted; other resources may allow fewer.
 */
int pool_fit_at_most(const pool_t *pool, const pool_counts_t *counts,
    plan_available_t kind, int accelerators);
void pool_choose(pool_t *pool, size_t worker, int members);
