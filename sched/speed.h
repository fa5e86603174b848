#pragma once

#include <stddef.h>
#include <stdint.h>

/*
 * Learns which workers are much slower or faster than others from the progress
 * of their tasks.  Load pattern: some machines of a fleet run at half or at
 * twice the others' speed, or turn slow for seconds, and urgent tasks that get
 * a slow one miss their objective.  Does no I/O and reads no clock.
 *
 * Tasks of one kind take about equally long.  The speeds of the workers and the
 * lengths of the kinds are estimated together, each as a median given the
 * others, so that a kind that is slow everywhere, or that happened to get slow
 * workers, says nothing wrong about workers.
 */

/* The latest observations of a worker that count. */
#define SPEED_OBSERVATIONS 8

/* What the progress of one task says. */
typedef struct {
	/* Observations of the same task replace each other; 0: none. */
	uint64_t task;
	uint64_t kind;
	uint64_t family; /* kinds whose tasks differ by as much */
	int64_t full_ms; /* the whole task takes so long at this progress */
	int64_t seen_ms;
	int weight;
} speed_observation_t;

/*
 * Weight of a task, and of a member of a gang.  Members of a gang have equal
 * work; those on one worker are one observation.
 */
#define SPEED_WEIGHT_TASK 1
#define SPEED_WEIGHT_GANG 2

/* What is known of one worker; zero-initialised. */
typedef struct {
	speed_observation_t observations[SPEED_OBSERVATIONS];
	double log_speed; /* relative to the usual speed, 0: usual or unknown */
	int percent;      /* of the usual speed; 0: neither slow nor fast */
} speed_history_t;

void speed_observe(
    speed_history_t *history, const speed_observation_t *observation);
/*
 * Estimates the speeds of the workers of one service.  Those below slow_percent
 * of the usual speed are slow, those above its inverse are fast.
 */
void speed_fit(speed_history_t *const *histories, size_t count,
    int slow_percent, int64_t now_ms);
