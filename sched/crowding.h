#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Estimates how much kinds of task slow each other down on one worker, from
 * changes that one task shows as its neighbours change.  Load pattern: workers
 * hold tasks of several kinds, some of which disturb others by amounts that
 * change within seconds.  Does no I/O and reads no clock; see
 * docs/design/interference.md.
 */
typedef struct crowding_t crowding_t;

#define CROWDING_MAX_NEIGHBOURS 8

/* Identifies a kind of task; 0 is none. */
typedef uint64_t crowding_kind_t;

/* The tasks of one kind beside a task. */
typedef struct {
	crowding_kind_t kind;
	double share; /* of the worker's cores that they use, 0 to 1 */
} crowding_neighbour_t;

/* What one task showed at one time, or during one interval. */
typedef struct {
	int64_t at_ms; /* 0: no sample */
	/* Natural logarithm of a latency, or of a time for a fixed work. */
	double level;
	size_t count;
	crowding_neighbour_t neighbours[CROWDING_MAX_NEIGHBOURS];
} crowding_sample_t;

/* What is believed of a kind of task beside another one. */
typedef struct {
	const char *task;
	const char *neighbour;
	int slowdown_percent; /* if the neighbour used a whole worker */
	double samples;       /* recent ones that tell so */
	bool certain;         /* false: the evidence does not suffice */
} crowding_row_t;

crowding_t *crowding_create(size_t max_kinds);
void crowding_destroy(crowding_t *crowding);

/* Returns the kind of that name and makes it known. */
crowding_kind_t crowding_kind(
    crowding_t *crowding, const char *name, int64_t now_ms);

/*
 * Learns from two samples of one task on one worker.  Returns whether they told
 * anything: the neighbours must have changed.
 */
bool crowding_learn(crowding_t *crowding, crowding_kind_t kind,
    const crowding_sample_t *before, const crowding_sample_t *after);

/*
 * Returns the change of level that a task shows beside neighbours of one kind
 * that use a whole worker; 0 without sufficient evidence.
 */
double crowding_reaction(const crowding_t *crowding, crowding_kind_t kind,
    crowding_kind_t neighbour, int64_t now_ms);
/* Returns the slowdown in percent that a change of level means, at least 0. */
int crowding_percent_of_level(double level);
int crowding_slowdown_percent(const crowding_t *crowding, crowding_kind_t kind,
    const crowding_neighbour_t *neighbour, int64_t now_ms);

/* Whether crowding_reaction may be other than 0 for the kind and another one.
 */
bool crowding_has_evidence(
    const crowding_t *crowding, crowding_kind_t kind, int64_t now_ms);

size_t crowding_size(const crowding_t *crowding);

/*
 * Stores the pairs with the highest slowdown for which the evidence suffices,
 * and returns how many.  Their names are valid until the next change.
 */
size_t crowding_worst(const crowding_t *crowding, int64_t now_ms,
    crowding_row_t *rows, size_t max_rows);
