#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/lanes.h"

/* Predicts waiting times from measured service times.  Zero-initialised. */
typedef struct {
	double service_ms[LANE_COUNT]; /* moving mean; 0 until measured */
} admission_t;

void admission_served(admission_t *admission, lane_t lane, int64_t service_ms);
int64_t admission_wait_ms(
    const admission_t *admission, lane_t lane, int waiting, int slots);
bool admission_fits(const admission_t *admission, lane_t lane, int waiting,
    int slots, int64_t declared_ms, int64_t left_ms);
