#include "policy/transit.h"

#include <glib.h>

/* Clocks of two machines drift apart by up to 100 ppm, 6 ms in two windows;
 * a connection stalls for 1.5 s at most. */
#define WINDOW_MS 30000

/*
 * Returns by how much a message, sent at sent_ms of the sender's clock and
 * received at received_ms of the own clock, was later than the fastest one of
 * the last two windows.  0 for the first message of an incarnation.
 */
int64_t
transit_excess_ms(transit_t *transit, uint64_t incarnation, int64_t sent_ms,
    int64_t received_ms)
{
	int64_t difference_ms = received_ms - sent_ms;

	if (transit->window_ms == 0 || transit->incarnation != incarnation) {
		transit->incarnation = incarnation;
		transit->least_ms = difference_ms;
		transit->before_ms = difference_ms;
		transit->window_ms = received_ms;
	}
	if (received_ms - transit->window_ms >= WINDOW_MS) {
		transit->before_ms = transit->least_ms;
		transit->least_ms = difference_ms;
		transit->window_ms = received_ms;
	}
	transit->least_ms = MIN(transit->least_ms, difference_ms);
	return difference_ms - MIN(transit->least_ms, transit->before_ms);
}
