#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "rpc/protocol.h"

/*
 * Tells which urgent jobs are covered by the accelerators that belong to their
 * tenant at all times.  Load pattern: the urgent jobs of one tenant fill the
 * fleet when another one calls in what it was guaranteed.  Pure.
 */

typedef struct {
	const char *tenant;
	int accelerators; /* that the job holds at most at one time */
	bool covered;     /* set by guarantee_mark */
} guarantee_job_t;

int guarantee_demand(const batch_spec_t *spec);
/* Marks the open urgent jobs, given in the order of their arrival. */
void guarantee_mark(guarantee_job_t *jobs, size_t count,
    const fleet_tenant_t *tenants, size_t tenant_count);
