#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "rpc/protocol.h"

/*
 * Determines which urgent jobs fit into the accelerators that are guaranteed to
 * their tenant.  Load pattern: urgent jobs of one tenant fill the fleet when
 * another tenant claims its guarantee.  Pure.
 */

typedef struct {
	const char *tenant;
	int accelerators; /* the most that the job uses at one time */
	bool covered;     /* set by guarantee_mark */
} guarantee_job_t;

/* Returns the accelerators of the step that needs the most. */
int guarantee_peak_accelerators(const batch_spec_t *spec);
/* Sets `covered` of all open urgent jobs, which are in order of arrival. */
void guarantee_mark(guarantee_job_t *jobs, size_t count,
    const fleet_tenant_t *tenants, size_t tenant_count);
