#pragma once

#include <stdint.h>

/*
 * Tells how long messages of one sender were on their way beyond the fastest
 * one, from the clocks of both ends, which need not agree.  Zero-initialised.
 * Pure: the clocks are passed in.
 */
typedef struct {
	uint64_t incarnation; /* of the sender; its clock may start anew */
	int64_t least_ms;     /* of received - sent, in the present window */
	int64_t before_ms;    /* and in the one before */
	int64_t window_ms;    /* when the present window began; 0 for none */
} transit_t;

int64_t transit_excess_ms(transit_t *transit, uint64_t incarnation,
    int64_t sent_ms, int64_t received_ms);
