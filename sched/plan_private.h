#pragma once

#include "sched/plan.h"
#include "sched/pool_private.h"

/* Private to the modules that search a pool for places. */

/* The inputs of one decision. */
typedef struct {
	pool_t *pool;
	const plan_unit_t *unit;
	plan_available_t kind;
	int service;   /* number in the pool */
	int data_rack; /* number in the pool, POOL_NONE if it has no worker */
	bool has_data_rack;
} search_t;

int search_fitting_on(const search_t *search, size_t worker);
int search_spare_after(const search_t *search, size_t worker, int members);
int plan_slowness(const plan_worker_t *worker, plan_speed_class_t speed_class);

/* plan_gang.c */
bool plan_gang(const search_t *search);
