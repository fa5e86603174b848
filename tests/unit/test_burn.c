#include <check.h>
#include <stdlib.h>

#include "common/counters.h"
#include "entry/burn.h"
#include "tests/unit/runner.h"

#define MINUTE_MS 60000

/*
 * Guards against events in the wrong window, a wrong rate and a wrong cause.
 */
START_TEST(burn_windows)
{
	json_t *objectives =
	    json_loads("{\"guarantees\":{\"target\":0.9}}", 0, NULL);
	int64_t now_ms = 1000 * MINUTE_MS;
	burn_t *burn = burn_create(now_ms);
	json_t *report;
	json_t *windows;
	json_t *entry;

	counters_reset();
	for (int i = 0; i < 8; i++)
		objective_count("guarantees", true, "", 1);
	objective_count("guarantees", false, "late_start", 1);
	objective_count("guarantees", false, "late_start", 1);
	burn_sample(burn, now_ms);
	now_ms += 10 * MINUTE_MS;
	objective_count("guarantees", false, "no_worker", 1);
	burn_sample(burn, now_ms);
	burn_sample(burn, now_ms);
	report = burn_report(burn, objectives, now_ms);
	entry = json_array_get(json_object_get(report, "objectives"), 0);
	ck_assert_str_eq(
	    json_string_value(json_object_get(entry, "worst_cause")),
	    "late_start");
	windows = json_object_get(entry, "windows");
	ck_assert_int_eq(json_integer_value(json_object_get(
			     json_object_get(windows, "5m"), "bad")),
	    1);
	ck_assert_int_eq(json_integer_value(json_object_get(
			     json_object_get(windows, "1h"), "bad")),
	    3);
	/* 3 of 11 bad where 1 of 10 is allowed. */
	ck_assert_double_eq_tol(
	    json_real_value(
		json_object_get(json_object_get(windows, "3d"), "burn_rate")),
	    30.0 / 11, 1e-9);
	json_decref(report);
	now_ms += 4320 * (int64_t)MINUTE_MS;
	burn_sample(burn, now_ms);
	report = burn_report(burn, objectives, now_ms);
	entry = json_array_get(json_object_get(report, "objectives"), 0);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(
		json_object_get(json_object_get(entry, "windows"), "3d"),
		"bad")),
	    0);
	json_decref(report);
	json_decref(objectives);
	burn_destroy(burn);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("burn");
	TCase *tcase = tcase_create("burn");

	tcase_add_test(tcase, burn_windows);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
