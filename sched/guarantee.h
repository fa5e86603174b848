#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "rpc/protocol.h"

/*
 * Determines which urgent jobs fit into the accelerators that are guaranteed to
 * their tenant.  Load pattern: urgent jobs of one tenant fill the fleet when
 * another tenant claims its guarantee.  Does no I/O and reads no clock.
 */

typedef struct {
	const char *tenant;
	int accelerators; /* of the step that needs the most */
	bool covered;     /* set by guarantee_mark_covered */
} guarantee_job_t;

/*
 * Returns the accelerators of the step that needs the most.  Steps that run
 * concurrently are not added up.
 */
int guarantee_peak_accelerators(const batch_spec_t *spec);
/* Sets `covered` of each job; jobs holds all open urgent jobs, oldest first. */
void guarantee_mark_covered(guarantee_job_t *jobs, size_t count,
    const fleet_tenant_t *tenants, size_t tenant_count);
