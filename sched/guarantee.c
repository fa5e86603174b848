#include "sched/guarantee.h"

#include <glib.h>
#include <string.h>

/* The accelerators of the largest step. */
int
guarantee_demand(const batch_spec_t *spec)
{
	int most = 0;

	for (u_int i = 0; i < spec->steps.steps_len; i++) {
		const step_spec_t *step = &spec->steps.steps_val[i];

		most = MAX(most, step->count * step->shape.accelerators);
	}
	return most;
}

/*
 * Covers jobs as long as what their tenant is guaranteed lasts.  The oldest
 * ones go first, so that a job which is covered stays so until it ends.
 */
void
guarantee_mark(guarantee_job_t *jobs, size_t count,
    const fleet_tenant_t *tenants, size_t tenant_count)
{
	GHashTable *left = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < tenant_count; i++)
		g_hash_table_insert(left, tenants[i].name,
		    GINT_TO_POINTER(tenants[i].guaranteed_accelerators));
	for (size_t i = 0; i < count; i++) {
		guarantee_job_t *job = &jobs[i];
		int rest =
		    GPOINTER_TO_INT(g_hash_table_lookup(left, job->tenant));

		job->covered =
		    job->accelerators > 0 && job->accelerators <= rest;
		if (job->covered)
			g_hash_table_insert(left, (char *)job->tenant,
			    GINT_TO_POINTER(rest - job->accelerators));
	}
	g_hash_table_unref(left);
}
