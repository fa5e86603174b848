#pragma once

#include <stdint.h>

/*
 * Measures the transit delay of messages of one sender relative to the fastest
 * one.  The clocks of sender and receiver need not be synchronised.
 * Zero-initialise before use.  Does no I/O; the times are parameters.
 */
typedef struct {
	uint64_t incarnation; /* of the sender, whose clock may restart */
	int64_t least_ms;     /* minimum of received - sent in this window */
	int64_t previous_least_ms; /* the same of the previous window */
	int64_t window_start_ms;   /* start of this window; 0 for none */
} transit_t;

int64_t transit_excess_ms(transit_t *transit, uint64_t incarnation,
    int64_t sent_ms, int64_t received_ms);
