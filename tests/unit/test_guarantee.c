#include <glib.h>

#include "sched/guarantee.h"
#include "tests/unit/runner.h"

static fleet_tenant_t tenants[] = {
    {.name = (char *)"hall", .guaranteed_accelerators = 16},
    {.name = (char *)"desk", .guaranteed_accelerators = 8},
};

/*
 * Load pattern: a burst of one tenant's urgent jobs.  Guards against a tenant
 * that gets more than its guarantee at the expense of others, and against a job
 * left uncovered although enough of its tenant's guarantee remains.
 */
START_TEST(burst_of_one_tenant)
{
	guarantee_job_t jobs[] = {
	    {.tenant = "hall", .accelerators = 8},
	    {.tenant = "hall", .accelerators = 12},
	    {.tenant = "hall", .accelerators = 8},
	    {.tenant = "hall", .accelerators = 1},
	    {.tenant = "desk", .accelerators = 8},
	    {.tenant = "other", .accelerators = 1},
	};
	const bool covered[] = {true, false, true, false, true, false};

	guarantee_mark_covered(
	    jobs, G_N_ELEMENTS(jobs), tenants, G_N_ELEMENTS(tenants));
	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		ck_assert_int_eq(jobs[i].covered, covered[i]);
}
END_TEST

/* Guards against a covered job that loses its guarantee to later ones. */
START_TEST(covered_job_stays_covered)
{
	guarantee_job_t jobs[] = {
	    {.tenant = "hall", .accelerators = 16},
	    {.tenant = "hall", .accelerators = 1},
	};

	for (size_t count = 1; count <= G_N_ELEMENTS(jobs); count++) {
		guarantee_mark_covered(
		    jobs, count, tenants, G_N_ELEMENTS(tenants));
		ck_assert(jobs[0].covered);
	}
	ck_assert(!jobs[1].covered);
}
END_TEST

/* Guards against a demand that adds up steps which run in sequence. */
START_TEST(largest_step_counts)
{
	step_spec_t steps[] = {
	    {.count = 2, .shape = {1000, 1000, 4}},
	    {.count = 3, .shape = {1000, 1000, 1}},
	};
	batch_spec_t spec = {.steps = {2, steps}};

	ck_assert_int_eq(guarantee_peak_accelerators(&spec), 8);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("guarantee");
	TCase *tcase = tcase_create("guarantee");

	tcase_add_test(tcase, burst_of_one_tenant);
	tcase_add_test(tcase, covered_job_stays_covered);
	tcase_add_test(tcase, largest_step_counts);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
