#include "policy/admission.h"

/* Weight of the newest service time; follows a change within some 50. */
#define NEWEST_WEIGHT 0.05

/* Counts how long one request of the lane held its slot. */
void
admission_served(admission_t *admission, lane_t lane, int64_t service_ms)
{
	double *mean = &admission->service_ms[lane];
	double value = (double)MAX(service_ms, 1);

	*mean = *mean == 0 ? value : *mean + NEWEST_WEIGHT * (value - *mean);
}

/*
 * Predicts how long a request waits behind the given number of others when
 * that many slots of its lane serve them.  0 before anything was measured.
 */
int64_t
admission_wait_ms(
    const admission_t *admission, lane_t lane, int waiting, int slots)
{
	if (slots <= 0)
		return 0;
	return (int64_t)(admission->service_ms[lane] * waiting / slots);
}

/*
 * Tells whether a request can still be served within left_ms.  Declared run
 * times are inaccurate, so the measured mean counts when it is lower.
 */
bool
admission_fits(const admission_t *admission, lane_t lane, int waiting,
    int slots, int64_t declared_ms, int64_t left_ms)
{
	int64_t mean_ms = (int64_t)admission->service_ms[lane];

	return admission_wait_ms(admission, lane, waiting, slots) +
		   MIN(declared_ms, mean_ms) <=
	       left_ms;
}
