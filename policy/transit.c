#include "policy/transit.h"

#include <glib.h>

/* The clocks of two machines drift by up to 100 ppm, which is 6 ms in two
 * windows.  A stalled connection (up to 1.5 s) is short compared with a window,
 * so that a stall does not raise the minimum.
 */
#define WINDOW_MS 30000

/*
 * Returns how many ms longer a message was in transit than the fastest one of
 * the last two windows.  sent_ms is the sender's clock, received_ms the local
 * clock. Returns 0 for the first message of an incarnation.
 */
int64_t
transit_excess_ms(transit_t *transit, uint64_t incarnation, int64_t sent_ms,
    int64_t received_ms)
{
	int64_t difference_ms = received_ms - sent_ms;

	if (transit->window_start_ms == 0 ||
	    transit->incarnation != incarnation) {
		transit->incarnation = incarnation;
		transit->least_ms = difference_ms;
		transit->previous_least_ms = difference_ms;
		transit->window_start_ms = received_ms;
	}
	if (received_ms - transit->window_start_ms >= WINDOW_MS) {
		transit->previous_least_ms = transit->least_ms;
		transit->least_ms = difference_ms;
		transit->window_start_ms = received_ms;
	}
	transit->least_ms = MIN(transit->least_ms, difference_ms);
	return difference_ms -
	       MIN(transit->least_ms, transit->previous_least_ms);
}
