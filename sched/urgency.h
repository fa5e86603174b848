#pragma once

#include <stdint.h>

#include "rpc/protocol.h"

/*
 * Classifies how useful a result still is if its unit starts now.  Load
 * pattern: demand exceeds capacity for seconds.  Earliest deadline first alone
 * would run late jobs first and so make all jobs late.  Does no I/O and reads
 * no clock.
 */

typedef enum {
	URGENCY_ON_TIME, /* can meet its latency objective */
	URGENCY_LATE,    /* can still be of some use */
	URGENCY_MISSED,  /* the result is of no more use */
} urgency_t;

/* Latest start times for each class, in monotonic milliseconds. */
typedef struct {
	int64_t on_time_ms;
	int64_t late_ms;
} urgency_times_t;

int64_t urgency_critical_paths(const batch_spec_t *spec, int64_t *chain_ms);
urgency_times_t urgency_times(const fleet_queue_t *queue,
    int64_t critical_path_ms, int64_t chain_ms, int64_t submitted_ms);
int urgency_needed_speed(
    const urgency_times_t *times, int64_t chain_ms, int64_t now_ms);
urgency_t urgency_at(const urgency_times_t *times, int64_t now_ms);
