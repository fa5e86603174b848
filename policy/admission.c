#include "policy/admission.h"

#include <math.h>

/* Weight of a new sample in the moving means: about 50 samples adapt them. */
#define SAMPLE_WEIGHT 0.05
/* Weight of a wait later than the mean lateness.  It is higher, because a burst
 * fills the queue within a second. */
#define LATE_SAMPLE_WEIGHT 0.25
/* Safety margin in multiples of the mean lateness; RFC 6298 uses 4 mean
 * deviations for its timeout in the same way. */
#define MARGIN_LATENESS_FACTOR 4
/* Lower bound of the safety margin, as a fraction of the predicted time.  Slots
 * that were taken together become free together, so a wait can exceed the
 * prediction from the mean rate by up to one slot occupation time. */
#define MIN_MARGIN_RATIO 0.25
/* The lateness decays by half in this time without a new sample.  If all
 * requests are refused on arrival, no sample would show that waits are short
 * again. */
#define LATENESS_HALF_LIFE_MS 500.0

static void
update_mean(double *mean, double value)
{
	*mean = *mean == 0 ? value : *mean + SAMPLE_WEIGHT * (value - *mean);
}

/*
 * Records a completed request: it ran for service_ms, and its slot was taken
 * for another claim_ms before that while the claim was made (0 for no claim).
 */
void
admission_record_service(
    admission_t *admission, lane_t lane, int64_t service_ms, int64_t claim_ms)
{
	int64_t served_ms = MAX(service_ms, 1);

	update_mean(&admission->service_ms[lane], (double)served_ms);
	update_mean(
	    &admission->occupied_ms[lane], (double)(served_ms + claim_ms));
	if (claim_ms > 0)
		update_mean(&admission->claim_ms, (double)claim_ms);
}

/* Returns the mean lateness, decayed to now_ms. */
static double
lateness(const admission_t *admission, lane_t lane, int64_t now_ms)
{
	int64_t age_ms = now_ms - admission->lateness_updated_ms[lane];

	return admission->lateness_ms[lane] *
	       exp2(-(double)MAX(age_ms, 0) / LATENESS_HALF_LIFE_MS);
}

/*
 * Records the predicted and the actual wait of a request that got its slot.
 * Pass 0 and 0 for a request that did not have to wait, so that the lateness
 * decreases while the queue is empty.
 */
void
admission_record_wait(admission_t *admission, lane_t lane, int64_t predicted_ms,
    int64_t waited_ms, int64_t now_ms)
{
	double late_ms = (double)MAX(waited_ms - predicted_ms, 0);
	double mean = lateness(admission, lane, now_ms);

	mean += (late_ms > mean ? LATE_SAMPLE_WEIGHT : SAMPLE_WEIGHT) *
		(late_ms - mean);
	admission->lateness_ms[lane] = mean;
	admission->lateness_updated_ms[lane] = now_ms;
}

/*
 * Predicts how long a request waits for a slot when `ahead` requests are served
 * before it and all of the `slots` slots of its lane are taken.  Returns 0
 * before the first measurement.
 */
int64_t
admission_predict_wait_ms(
    const admission_t *admission, lane_t lane, int ahead, int slots)
{
	return (int64_t)(admission->occupied_ms[lane] * (ahead + 1) /
			 MAX(slots, 1));
}

/* Returns the safety margin to add to a predicted time of needed_ms. */
double
admission_margin_ms(
    const admission_t *admission, lane_t lane, double needed_ms, int64_t now_ms)
{
	return MAX(MARGIN_LATENESS_FACTOR * lateness(admission, lane, now_ms),
	    MIN_MARGIN_RATIO * needed_ms);
}

/*
 * Returns whether a request is expected to complete before its deadline.
 * Declared run times are inaccurate: the measured mean is used when it is
 * lower.
 */
bool
admission_fits(const admission_t *admission, const admission_request_t *request)
{
	lane_t lane = request->lane;
	double needed_ms =
	    (double)admission_predict_wait_ms(
		admission, lane, request->ahead, request->slots) +
	    MIN((double)request->declared_ms, admission->service_ms[lane]) +
	    (request->needs_claim ? admission->claim_ms : 0);
	double margin_ms =
	    admission_margin_ms(admission, lane, needed_ms, request->now_ms);

	/* Without a measured service time every request is admitted. */
	return admission->service_ms[lane] == 0 ||
	       needed_ms + margin_ms <= (double)request->left_ms;
}
