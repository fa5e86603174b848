#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/chart.h"
#include "common/counters.h"
#include "common/settings.h"
#include "common/str.h"
#include "tests/unit/runner.h"

#define MINIMAL_SETTINGS                                                      \
	"{\"instance\":\"i1\",\"address\":\"127.0.0.1\","                     \
	"\"failure_domain\":\"d1\",\"roles\":[\"entry\"],\"rpc_port\":1,"     \
	"\"http_port\":2,\"operator_port\":3,\"peers\":[{\"id\":\"i1\","      \
	"\"address\":\"127.0.0.1\",\"failure_domain\":\"d1\",\"rpc_port\":1," \
	"\"http_port\":2,\"operator_port\":3}]"

/* Guards against integers that wrap or accept trailing text. */
START_TEST(str_integers)
{
	long long value;

	ck_assert_int_eq(str_to_int64(STR_LIT("-42"), &value), 0);
	ck_assert_int_eq(value, -42);
	ck_assert_int_eq(str_to_int64(STR_LIT("4x"), &value), -EINVAL);
	ck_assert_int_eq(str_to_int64(STR_LIT(""), &value), -EINVAL);
	ck_assert_int_eq(
	    str_to_int64(STR_LIT("9999999999999999999"), &value), -ERANGE);
}
END_TEST

/* Guards against ports out of range and addresses without one. */
START_TEST(str_addresses)
{
	static const char *const refused[] = {"", ":", "10.0.0.1",
	    "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1",
	    "10.0.0.1:80x"};
	str_t address;
	uint16_t port;

	ck_assert(
	    str_split_address(STR_LIT("10.0.0.1:65535"), &address, &port));
	ck_assert(str_equal(address, STR_LIT("10.0.0.1")));
	ck_assert_int_eq(port, 65535);
	ck_assert(str_split_address(STR_LIT("::1:80"), &address, &port));
	ck_assert(str_equal(address, STR_LIT("::1")));
	for (size_t i = 0; i < G_N_ELEMENTS(refused); i++)
		ck_assert(
		    !str_split_address(str_from(refused[i]), &address, &port));
}
END_TEST

/* Guards against a quantile error above the stated bound of 1/16. */
START_TEST(histogram_error_bound)
{
	histogram_t *histogram = histogram_create();

	for (int64_t v = 1; v <= 100000; v++)
		histogram_record(histogram, v);
	for (int percent = 1; percent <= 100; percent++) {
		int64_t exact = 1000 * percent;
		int64_t found = histogram_quantile(histogram, percent / 100.0);

		ck_assert_int_ge(found, exact);
		ck_assert_int_le(found, exact + exact / 16 + 1);
	}
	histogram_destroy(histogram);
}
END_TEST

/* Guards against malformed built-in charts and lost transitions. */
START_TEST(charts)
{
	const chart_t *job;
	err_t err = {0};
	int state;

	ck_assert_int_eq(chart_check_builtin(&err), 0);
	job = chart_builtin("job");
	state = chart_initial(job);
	ck_assert_int_eq(chart_step(job, &state, "start"), 0);
	ck_assert_int_eq(chart_step(job, &state, "finish"), -ENOENT);
	ck_assert_int_eq(chart_step(job, &state, "go"), 0);
	ck_assert_str_eq(chart_state_name(job, state), "running");
	ck_assert_ptr_null(chart_parse(
	    "t", STR_LIT("state a\nstate b final\na x -> a\n"), &err));
	ck_assert_str_eq(err.text, "t: state b cannot be reached");
}
END_TEST

static settings_t *
parse(const char *text, GPtrArray *problems)
{
	return settings_parse(text, strlen(text), "s.json", problems);
}

/* Guards against settings that are half read: all problems come at once. */
START_TEST(settings_problems)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	settings_t *settings = parse(MINIMAL_SETTINGS "}", problems);

	ck_assert_ptr_nonnull(settings);
	ck_assert_int_eq(settings->heartbeat_ms, 100);
	settings_destroy(settings);
	ck_assert_ptr_null(
	    parse(MINIMAL_SETTINGS ",\n\"heartbeat_ms\":1,\n\"colour\":1}",
		problems));
	ck_assert_int_eq(problems->len, 2);
	ck_assert_str_eq(g_ptr_array_index(problems, 0),
	    "s.json:2: heartbeat_ms: 1 is outside 5..10000 ms");
	ck_assert_str_eq(
	    g_ptr_array_index(problems, 1), "s.json:3: colour: unknown key");
	g_ptr_array_unref(problems);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("common");
	TCase *tcase = tcase_create("common");

	tcase_add_test(tcase, str_integers);
	tcase_add_test(tcase, str_addresses);
	tcase_add_test(tcase, histogram_error_bound);
	tcase_add_test(tcase, charts);
	tcase_add_test(tcase, settings_problems);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
