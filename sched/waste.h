#pragma once

#include <stdint.h>

#include "rpc/protocol.h"

/*
 * Classifies runs that end without success and the work that is thrown away
 * with them.  Load pattern: bursts of urgent work stop batch work again and
 * again, until much of the fleet's time goes into work that is done twice.
 * Does no I/O and reads no clock.
 */

typedef enum {
	WASTE_PREEMPTED,  /* stopped for urgent work */
	WASTE_SUPERSEDED, /* an earlier run of the unit turned out to be done */
	WASTE_DRAINED,    /* its worker left */
	WASTE_CANCELLED,  /* its job was cancelled or has ended */
	WASTE_FAILED,     /* a member, or the job, failed */
	WASTE_GANG,       /* a member of the gang was missing */
	WASTE_REFUSED,    /* a worker refused the start of a member */
	WASTE_LEASE,      /* the lease ran out */
	WASTE_WORKER,     /* the worker crashed or restarted */
	WASTE_OTHER,
	WASTE_CAUSES,
} waste_cause_t;

/* Maps the reason of a stop, or how a member ended, to its cause. */
waste_cause_t waste_cause(const char *reason);
const char *waste_cause_name(waste_cause_t cause);
/*
 * Returns the core-milliseconds that tasks of that shape use up in ms.  An
 * accelerator counts as eight cores.
 */
int64_t waste_core_ms(const resources_t *shape, int tasks, int64_t ms);
