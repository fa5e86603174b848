#pragma once

#include "entry/burn.h"

/* Shared by burn.c and burn_html.c. */

#define BURN_MINUTE_MS 60000
#define BURN_MINUTES 4320 /* minutes of 3 days, the longest window */
#define BURN_MAX_CAUSES 8

typedef struct {
	uint32_t good;
	uint32_t bad[BURN_MAX_CAUSES];
} bucket_t;

/* The events of one objective, one bucket for each minute. */
typedef struct {
	GPtrArray *causes;
	bucket_t buckets[BURN_MINUTES];
} series_t;

typedef struct {
	int64_t good;
	int64_t bad;
	int64_t by_cause[BURN_MAX_CAUSES];
} sum_t;

struct burn_t {
	GHashTable *series; /* objective -> series_t */
	GHashTable *seen;   /* counter name -> value at the last sample */
	int64_t minute;     /* of the last sample */
};

void burn_sum(const series_t *series, int64_t last, int minutes, sum_t *sum);
double burn_rate(const sum_t *sum, double target);
