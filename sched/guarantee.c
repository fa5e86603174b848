#include "sched/guarantee.h"

#include <glib.h>
#include <string.h>

int
guarantee_peak_accelerators(const batch_spec_t *spec)
{
	int max = 0;

	for (u_int i = 0; i < spec->steps.steps_len; i++) {
		const step_spec_t *step = &spec->steps.steps_val[i];

		max = MAX(max, step->count * step->shape.accelerators);
	}
	return max;
}

/*
 * Allots each tenant's guarantee to its jobs, oldest first, so that a covered
 * job stays covered until it ends unless the guarantee shrinks.  A job that
 * does not fit is skipped.
 */
void
guarantee_mark_covered(guarantee_job_t *jobs, size_t count,
    const fleet_tenant_t *tenants, size_t tenant_count)
{
	GHashTable *remaining = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < tenant_count; i++)
		g_hash_table_insert(remaining, tenants[i].name,
		    GINT_TO_POINTER(tenants[i].guaranteed_accelerators));
	for (size_t i = 0; i < count; i++) {
		guarantee_job_t *job = &jobs[i];
		int available = GPOINTER_TO_INT(
		    g_hash_table_lookup(remaining, job->tenant));

		job->covered =
		    job->accelerators > 0 && job->accelerators <= available;
		if (job->covered)
			g_hash_table_insert(remaining, (char *)job->tenant,
			    GINT_TO_POINTER(available - job->accelerators));
	}
	g_hash_table_unref(remaining);
}
