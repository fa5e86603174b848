#include <glib.h>
#include <string.h>

#include "platform/site.h"
#include "tests/unit/runner.h"

/* The settings of a control instance with the given bounds and placement. */
static site_t *
parse_tables(const char *bounds, const char *placement)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	char *text = g_strdup_printf(
	    "{\"ip\":\"127.0.0.1\",\"zone\":\"d1\","
	    "\"serves\":[\"control_plane\"],\"internalPorts\":[7000,7015],"
	    "\"dataDir\":\"data\",\"seeds\":[\"127.0.0.1:8526\"],"
	    "\"listen\":{\"control\":\"127.0.0.1:8526\"},"
	    "\"zones\":{\"d1\":\"r1\"},"
	    "\"bounds\":{%s},\"placement\":{%s},"
	    "\"limits\":{\"maxFds\":1200}}",
	    bounds, placement);
	site_t *site = site_parse(text, strlen(text), "test", problems);

	ck_assert_uint_eq(problems->len, 0);
	g_ptr_array_unref(problems);
	g_free(text);
	return site;
}

static site_t *
parse_bounds(const char *bounds)
{
	return parse_tables(bounds, "");
}

/* The same with a bound for leases in ms. */
static site_t *
parse(int hold_max_ms)
{
	char *bounds = g_strdup_printf("\"holdMaxMs\":%d", hold_max_ms);
	site_t *site = parse_bounds(bounds);

	g_free(bounds);
	return site;
}

/*
 * Load pattern: a failure domain is cut off for six seconds while its workers
 * run on.  Guards against leases that end behind the cut although the platform
 * allows longer ones: the tasks would be lost and run again elsewhere.
 */
START_TEST(lease_outlasts_a_cut)
{
	/* A waiting poll renews the lease; it may be that old at the cut. */
	const int64_t cut_ms = 6000;
	const int64_t poll_wait_ms = 2000;
	site_t *site = parse(10000);

	ck_assert_int_ge(site->bounds.lease_ms, cut_ms + poll_wait_ms);
	site_destroy(site);
	site = parse(5000);
	ck_assert_int_eq(site->bounds.lease_ms, 5000);
	site_destroy(site);
}
END_TEST

/* Guards against operator calls that the deployment's settings do not allow. */
START_TEST(domain_orders_need_their_bound)
{
	site_t *site = parse(5000);

	ck_assert(!site->serves_domain_orders);
	ck_assert_str_eq(site->failure_domains[0], "d1");
	ck_assert_ptr_null(site->failure_domains[1]);
	site_destroy(site);
	site = parse_bounds("\"evacMs\":4000");
	ck_assert(site->serves_domain_orders);
	site_destroy(site);
}
END_TEST

/* Guards against more descriptors than the platform grants. */
START_TEST(descriptors_within_the_limit)
{
	site_t *site = parse(6000);
	const fd_budget_t *budget = &site->descriptors;

	ck_assert_int_le(
	    budget->files + budget->peers + budget->listeners + budget->clients,
	    1000);
	site_destroy(site);
}
END_TEST

/* Guards against a limit for slow workers that cannot be set or turned off. */
START_TEST(slow_worker_limit)
{
	static const struct {
		const char *placement;
		int percent;
	} cases[] = {
	    {"", 67},
	    {"\"slowWorkerPercent\":50", 50},
	    {"\"slowWorkerPercent\":0", 0},
	    {"\"slowWorkerPercent\":-1", 0},
	    {"\"slowWorkerPercent\":1000", 100},
	    {"\"slowWorkerPercent\":\"x\"", 67},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		site_t *site = parse_tables("", cases[i].placement);

		ck_assert_int_eq(
		    site->bounds.slow_worker_percent, cases[i].percent);
		site_destroy(site);
	}
}
END_TEST

/* Guards against interference that is avoided though no setting asks for it. */
START_TEST(interference_is_off_by_default)
{
	site_t *site = parse_tables("", "");

	ck_assert(!site->bounds.avoids_interference);
	site_destroy(site);
	site = parse_tables("", "\"avoidInterference\":true");
	ck_assert(site->bounds.avoids_interference);
	site_destroy(site);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("site");
	TCase *tcase = tcase_create("site");

	tcase_add_test(tcase, lease_outlasts_a_cut);
	tcase_add_test(tcase, domain_orders_need_their_bound);
	tcase_add_test(tcase, descriptors_within_the_limit);
	tcase_add_test(tcase, slow_worker_limit);
	tcase_add_test(tcase, interference_is_off_by_default);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
