#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/lanes.h"

/*
 * Predicts waiting times from measured service times.  Zero-initialised.  Pure:
 * times are passed in.
 */
typedef struct {
	double service_ms[LANE_COUNT];  /* moving mean; 0 until measured */
	double occupied_ms[LANE_COUNT]; /* of a slot, the claim included */
	double claim_ms;                /* of requests that need a claim */
	double late_ms[LANE_COUNT];     /* by which predictions were too low */
	int64_t late_at_ms[LANE_COUNT]; /* when late_ms last changed */
} admission_t;

/* A request that would have to wait. */
typedef struct {
	lane_t lane;
	int ahead; /* requests that are served before it */
	int slots; /* that serve its lane */
	int64_t declared_ms;
	bool needs_claim;
	int64_t left_ms; /* until its deadline */
	int64_t now_ms;
} admission_request_t;

void admission_served(
    admission_t *admission, lane_t lane, int64_t service_ms, int64_t claim_ms);
void admission_waited(admission_t *admission, lane_t lane, int64_t predicted_ms,
    int64_t waited_ms, int64_t now_ms);
int64_t admission_wait_ms(
    const admission_t *admission, lane_t lane, int ahead, int slots);
double admission_allowance_ms(const admission_t *admission, lane_t lane,
    double needed_ms, int64_t now_ms);
bool admission_fits(
    const admission_t *admission, const admission_request_t *request);
