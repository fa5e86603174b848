#include "policy/admission.h"

#include <math.h>

/* Weight of the newest service time; follows a change within some 50. */
#define NEWEST_WEIGHT 0.05
/* Of a wait that exceeds the mean lateness, which must count at once: a burst
 * fills the queue within a second. */
#define LATER_WEIGHT 0.25
/* Mean deviations that a prediction allows for, as RFC 6298 does. */
#define LATE_DEVIATIONS 4
/* The least allowance, as a part of the prediction.  Slots that were taken
 * together end together, so a wait may last up to one occupied time longer than
 * the mean rate says. */
#define LEAST_ALLOWANCE 0.25
/* Lateness counts half as much after each of these spans in which no request
 * got its slot: where all are refused on arrival, none would show that waits
 * are short again. */
#define LATE_HALF_LIFE_MS 500.0

static void
follow(double *mean, double value)
{
	*mean = *mean == 0 ? value : *mean + NEWEST_WEIGHT * (value - *mean);
}

/*
 * Counts a request of the lane that ran for service_ms, after its slot was
 * held for claim_ms; 0 when it needed no claim.
 */
void
admission_served(
    admission_t *admission, lane_t lane, int64_t service_ms, int64_t claim_ms)
{
	int64_t served_ms = MAX(service_ms, 1);

	follow(&admission->service_ms[lane], (double)served_ms);
	follow(&admission->occupied_ms[lane], (double)(served_ms + claim_ms));
	if (claim_ms > 0)
		follow(&admission->claim_ms, (double)claim_ms);
}

static double
lateness(const admission_t *admission, lane_t lane, int64_t now_ms)
{
	int64_t age_ms = now_ms - admission->late_at_ms[lane];

	return admission->late_ms[lane] *
	       exp2(-(double)MAX(age_ms, 0) / LATE_HALF_LIFE_MS);
}

/*
 * Compares how long a request waited with what was predicted for it.  0 and 0
 * for one that did not have to wait, so that lateness fades when queues are
 * empty.
 */
void
admission_waited(admission_t *admission, lane_t lane, int64_t predicted_ms,
    int64_t waited_ms, int64_t now_ms)
{
	double late_ms = (double)MAX(waited_ms - predicted_ms, 0);
	double mean = lateness(admission, lane, now_ms);

	mean +=
	    (late_ms > mean ? LATER_WEIGHT : NEWEST_WEIGHT) * (late_ms - mean);
	admission->late_ms[lane] = mean;
	admission->late_at_ms[lane] = now_ms;
}

/*
 * Predicts how long a request waits for a slot behind the given number of
 * others when that many slots serve its lane, all of them taken.  0 before
 * anything was measured.
 */
int64_t
admission_wait_ms(
    const admission_t *admission, lane_t lane, int ahead, int slots)
{
	return (int64_t)(admission->occupied_ms[lane] * (ahead + 1) /
			 MAX(slots, 1));
}

/* The time beyond the mean that a prediction of needed_ms allows for. */
double
admission_allowance_ms(
    const admission_t *admission, lane_t lane, double needed_ms, int64_t now_ms)
{
	return MAX(LATE_DEVIATIONS * lateness(admission, lane, now_ms),
	    LEAST_ALLOWANCE * needed_ms);
}

/*
 * Tells whether a request can still be served before its deadline.  Declared
 * run times are inaccurate, so the measured mean counts when it is lower.
 */
bool
admission_fits(const admission_t *admission, const admission_request_t *request)
{
	lane_t lane = request->lane;
	double needed_ms =
	    (double)admission_wait_ms(
		admission, lane, request->ahead, request->slots) +
	    MIN((double)request->declared_ms, admission->service_ms[lane]) +
	    (request->needs_claim ? admission->claim_ms : 0);
	double allowance_ms =
	    admission_allowance_ms(admission, lane, needed_ms, request->now_ms);

	/* Nothing is known before the first request was served. */
	return admission->service_ms[lane] == 0 ||
	       needed_ms + allowance_ms <= (double)request->left_ms;
}
