#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/lanes.h"

/*
 * Predicts waiting times from measured service times.  Zero-initialise before
 * use.  Does no I/O; the current time is a parameter.
 */
typedef struct {
	double service_ms[LANE_COUNT];  /* moving mean; 0 before a sample */
	double occupied_ms[LANE_COUNT]; /* service_ms plus claim time */
	double claim_ms;                /* mean time of a claim */
	/* moving mean of MAX(actual wait - predicted wait, 0), decaying */
	double lateness_ms[LANE_COUNT];
	int64_t
	    lateness_updated_ms[LANE_COUNT]; /* last update of lateness_ms */
} admission_t;

/* A request that has no free slot and would be queued. */
typedef struct {
	lane_t lane;
	int ahead; /* requests served before it */
	int slots; /* total slots of its lane */
	int64_t declared_ms;
	bool needs_claim;
	int64_t left_ms; /* time until its deadline */
	int64_t now_ms;
} admission_request_t;

void admission_record_service(
    admission_t *admission, lane_t lane, int64_t service_ms, int64_t claim_ms);
void admission_record_wait(admission_t *admission, lane_t lane,
    int64_t predicted_ms, int64_t waited_ms, int64_t now_ms);
int64_t admission_predict_wait_ms(
    const admission_t *admission, lane_t lane, int ahead, int slots);
double admission_margin_ms(const admission_t *admission, lane_t lane,
    double needed_ms, int64_t now_ms);
bool admission_fits(
    const admission_t *admission, const admission_request_t *request);
