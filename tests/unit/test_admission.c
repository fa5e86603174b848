#include <check.h>
#include <stdlib.h>

#include "policy/admission.h"
#include "policy/slots.h"
#include "tests/unit/runner.h"

#define NOW_MS 1000000

static bool
fits_at(const admission_t *admission, lane_t lane, int ahead, int slots,
    int64_t declared_ms, int64_t left_ms, int64_t now_ms)
{
	admission_request_t request = {.lane = lane,
	    .ahead = ahead,
	    .slots = slots,
	    .declared_ms = declared_ms,
	    .left_ms = left_ms,
	    .now_ms = now_ms};

	return admission_fits(admission, &request);
}

static bool
fits(const admission_t *admission, lane_t lane, int ahead, int slots,
    int64_t declared_ms, int64_t left_ms)
{
	return fits_at(
	    admission, lane, ahead, slots, declared_ms, left_ms, NOW_MS);
}

/* Guards against admitting requests that can't complete in time, and against
 * refusals before the first measurement. */
START_TEST(predicts_wait)
{
	admission_t admission = {0};

	ck_assert(fits(&admission, LANE_SHORT, 1000, 8, 100, 10));
	for (int i = 0; i < 200; i++)
		admission_record_service(&admission, LANE_SHORT, 100, 0);
	ck_assert_int_eq(
	    admission_predict_wait_ms(&admission, LANE_SHORT, 79, 8), 1000);
	/* 1000 ms in the queue, 100 ms of service, and 25% margin. */
	ck_assert(fits(&admission, LANE_SHORT, 79, 8, 100, 1375));
	ck_assert(!fits(&admission, LANE_SHORT, 79, 8, 100, 1374));
	ck_assert_int_eq(
	    admission_predict_wait_ms(&admission, LANE_BATCH, 80, 8), 0);
}
END_TEST

/* Guards against a prediction that leaves out the time for the claim. */
START_TEST(includes_claim_time)
{
	admission_t admission = {0};
	admission_request_t request = {.lane = LANE_SHORT,
	    .ahead = 15,
	    .slots = 8,
	    .declared_ms = 100,
	    .needs_claim = true,
	    .left_ms = 562};

	for (int i = 0; i < 200; i++)
		admission_record_service(&admission, LANE_SHORT, 100, 50);
	ck_assert_int_eq(
	    admission_predict_wait_ms(&admission, LANE_SHORT, 15, 8), 300);
	ck_assert(!admission_fits(&admission, &request));
	request.left_ms = 563;
	ck_assert(admission_fits(&admission, &request));
	request.needs_claim = false;
	request.left_ms = 500;
	ck_assert(admission_fits(&admission, &request));
}
END_TEST

/* Guards against predictions that stay too low, and against refusals that
 * continue after the queue has become empty. */
START_TEST(adapts_to_late_requests)
{
	admission_t admission = {0};

	for (int i = 0; i < 200; i++)
		admission_record_service(&admission, LANE_SHORT, 100, 0);
	for (int i = 0; i < 20; i++)
		admission_record_wait(&admission, LANE_SHORT, 100, 300, NOW_MS);
	ck_assert(!fits(&admission, LANE_SHORT, 7, 8, 100, 900));
	ck_assert(fits(&admission, LANE_SHORT, 7, 8, 100, 1001));
	for (int i = 0; i < 200; i++)
		admission_record_wait(&admission, LANE_SHORT, 0, 0, NOW_MS);
	ck_assert(fits(&admission, LANE_SHORT, 7, 8, 100, 251));
}
END_TEST

/*
 * Guards against refusals that continue after a network partition.  During the
 * partition requests wait for seconds.  If all are refused on arrival
 * afterwards, no new sample shows that waits are short again, so the lateness
 * must decay with time.
 */
START_TEST(lateness_decays)
{
	admission_t admission = {0};

	admission_record_service(&admission, LANE_SHORT, 100, 0);
	for (int i = 0; i < 20; i++)
		admission_record_wait(
		    &admission, LANE_SHORT, 100, 5000, NOW_MS);
	ck_assert(!fits_at(&admission, LANE_SHORT, 0, 8, 100, 5000, NOW_MS));
	ck_assert(
	    fits_at(&admission, LANE_SHORT, 0, 8, 100, 5000, NOW_MS + 3000));
}
END_TEST

/* Guards against a prediction that does not adapt to a new service time. */
START_TEST(adapts_to_service_time)
{
	admission_t admission = {0};

	for (int i = 0; i < 200; i++)
		admission_record_service(&admission, LANE_BATCH, 100, 0);
	for (int i = 0; i < 100; i++)
		admission_record_service(&admission, LANE_BATCH, 1000, 0);
	ck_assert_int_ge(
	    admission_predict_wait_ms(&admission, LANE_BATCH, 1, 1), 950);
}
END_TEST

/* Guards against refusing a request for an overstated declared time. */
START_TEST(declared_time_is_not_trusted)
{
	admission_t admission = {0};

	admission_record_service(&admission, LANE_BATCH, 50, 0);
	ck_assert(fits(&admission, LANE_BATCH, 0, 4, 3600000, 10000));
}
END_TEST

/*
 * Simulates, in steps of 1 ms, a burst of BURST_MS at three times the capacity
 * of one instance with one backend server of 8 slots.
 */
#define BURST_MS 4000
#define BURST_EVERY_MS 8 /* the capacity is one request per 25 ms */
#define BURST_DEADLINE_MS 1000
#define BURST_SERVICE_MS 190
#define BURST_CLAIM_MS 10
#define BURST_SLOTS 8
#define BURST_COUNT (BURST_MS / BURST_EVERY_MS)

typedef struct {
	lanes_item_t item;
	char id[16];
	int64_t arrived_ms;
	int64_t predicted_ms;
	int64_t ends_ms; /* 0 while it waits */
} arrival_t;

typedef struct {
	arrival_t arrivals[BURST_COUNT];
	admission_t admission;
	lanes_t *lanes;
	slots_t *slots;
	int refused;
	int expired; /* in the queue */
	int late;    /* answers after the deadline */
	int useful;
} burst_t;

static void
burst_arrive(burst_t *burst, int i, int64_t now_ms)
{
	arrival_t *arrival = &burst->arrivals[i];
	const char *tenant = i % 4 == 0 ? "a" : "b";
	admission_request_t request = {.lane = LANE_SHORT,
	    .ahead = lanes_ahead(burst->lanes, LANE_SHORT, tenant, 1),
	    .slots = slots_total(burst->slots, LANE_SHORT, now_ms, NULL, NULL),
	    .declared_ms = BURST_SERVICE_MS,
	    .needs_claim = true,
	    .left_ms = BURST_DEADLINE_MS,
	    .now_ms = now_ms};

	g_snprintf(arrival->id, sizeof(arrival->id), "%d", i);
	arrival->item.id = arrival->id;
	arrival->item.lane = LANE_SHORT;
	arrival->item.deadline_ms = now_ms + BURST_DEADLINE_MS;
	arrival->arrived_ms = now_ms;
	arrival->predicted_ms = admission_predict_wait_ms(
	    &burst->admission, LANE_SHORT, request.ahead, request.slots);
	if ((slots_free(burst->slots, LANE_SHORT, now_ms) == 0 ||
		request.ahead > 0) &&
	    !admission_fits(&burst->admission, &request))
		burst->refused++;
	else
		lanes_add(burst->lanes, &arrival->item, tenant, 1, INT32_MAX);
}

static void
burst_step(burst_t *burst, int64_t now_ms)
{
	lanes_item_t *item;
	int64_t wait_ms;

	for (int i = 0; i < BURST_COUNT; i++) {
		arrival_t *arrival = &burst->arrivals[i];

		if (arrival->ends_ms == 0 || arrival->ends_ms != now_ms)
			continue;
		slots_release(burst->slots, "w1", LANE_SHORT);
		admission_record_service(&burst->admission, LANE_SHORT,
		    BURST_SERVICE_MS, BURST_CLAIM_MS);
		if (now_ms > arrival->item.deadline_ms)
			burst->late++;
		else
			burst->useful++;
	}
	while (lanes_remove_expired(burst->lanes, now_ms) != NULL)
		burst->expired++;
	while (slots_free(burst->slots, LANE_SHORT, now_ms) > 0 &&
	       (item = lanes_next(burst->lanes, LANE_SHORT)) != NULL) {
		arrival_t *arrival =
		    (arrival_t *)((char *)item - offsetof(arrival_t, item));

		slots_take(burst->slots, LANE_SHORT, now_ms, NULL, NULL);
		wait_ms = now_ms - arrival->arrived_ms;
		admission_record_wait(&burst->admission, LANE_SHORT,
		    wait_ms > 0 ? arrival->predicted_ms : 0, wait_ms, now_ms);
		arrival->ends_ms = now_ms + BURST_CLAIM_MS + BURST_SERVICE_MS;
	}
}

/*
 * Guards against requests that are admitted in a burst and then expire in the
 * queue or are answered too late.  The backend server answers "busy" once a
 * second; the back-off after that must not make the queue look empty.
 */
START_TEST(burst_expires_nothing)
{
	burst_t *burst = g_new0(burst_t, 1);

	burst->lanes = lanes_create(INT32_MAX);
	burst->slots = slots_create(2, INT32_MAX);
	slots_renew_lease(slots_set(burst->slots, "w1", 1, BURST_SLOTS), 0);
	for (int i = 0; i < 50; i++)
		admission_record_service(&burst->admission, LANE_SHORT,
		    BURST_SERVICE_MS, BURST_CLAIM_MS);
	for (int64_t now_ms = 0; now_ms < BURST_MS + 2 * BURST_DEADLINE_MS;
	     now_ms++) {
		if (now_ms % 1000 == 500)
			slots_back_off(slots_find(burst->slots, "w1"), now_ms);
		if (now_ms < BURST_MS && now_ms % BURST_EVERY_MS == 0)
			burst_arrive(
			    burst, (int)(now_ms / BURST_EVERY_MS), now_ms);
		burst_step(burst, now_ms);
	}
	ck_assert_int_eq(
	    burst->useful + burst->late + burst->expired + burst->refused,
	    BURST_COUNT);
	/* At least 99% of the requests that are not served in time must be
	 * refused on arrival. */
	ck_assert_int_lt(100 * (burst->expired + burst->late),
	    burst->refused + burst->expired + burst->late);
	/* Capacity: 8 slots for 4 s at 200 ms each. */
	ck_assert_int_ge(10 * burst->useful, 9 * BURST_SLOTS * BURST_MS / 200);
	lanes_destroy(burst->lanes);
	slots_destroy(burst->slots);
	g_free(burst);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("admission");
	TCase *tcase = tcase_create("admission");

	tcase_add_test(tcase, predicts_wait);
	tcase_add_test(tcase, includes_claim_time);
	tcase_add_test(tcase, adapts_to_late_requests);
	tcase_add_test(tcase, burst_expires_nothing);
	tcase_add_test(tcase, lateness_decays);
	tcase_add_test(tcase, adapts_to_service_time);
	tcase_add_test(tcase, declared_time_is_not_trusted);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
