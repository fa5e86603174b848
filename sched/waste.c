#include "sched/waste.h"

#include <glib.h>
#include <string.h>

#define MILLI 1000
#define CORES_PER_ACCELERATOR 8

static const char *const names[WASTE_CAUSES] = {
    [WASTE_PREEMPTED] = "preempted",
    [WASTE_SUPERSEDED] = "superseded",
    [WASTE_DRAINED] = "drained",
    [WASTE_CANCELLED] = "cancelled",
    [WASTE_FAILED] = "failed",
    [WASTE_GANG] = "gang_incomplete",
    [WASTE_REFUSED] = "start_refused",
    [WASTE_LEASE] = "lease",
    [WASTE_WORKER] = "worker_lost",
    [WASTE_OTHER] = "other",
};

static const struct {
	const char *reason;
	waste_cause_t cause;
} causes[] = {
    {"preempted", WASTE_PREEMPTED},
    {"already_done", WASTE_SUPERSEDED},
    {"worker_draining", WASTE_DRAINED},
    {"worker_left", WASTE_DRAINED},
    {"domain_out_of_service", WASTE_DRAINED},
    {"cancelled", WASTE_CANCELLED},
    {"job_ended", WASTE_CANCELLED},
    {"failed", WASTE_FAILED},
    {"job_failed", WASTE_FAILED},
    {"broken", WASTE_GANG},
    {"alone", WASTE_GANG},
    {"no_room", WASTE_REFUSED},
    {"no_ticket", WASTE_REFUSED},
    {"unhealthy", WASTE_REFUSED},
    {"invalid", WASTE_REFUSED},
    {"lapsed", WASTE_LEASE},
    {"lease_ended", WASTE_LEASE},
    {"other_incarnation", WASTE_WORKER},
    {"worker_restarted", WASTE_WORKER},
    {"not_listed", WASTE_WORKER},
};

waste_cause_t
waste_cause(const char *reason)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		if (strcmp(causes[i].reason, reason) == 0)
			return causes[i].cause;
	}
	return WASTE_OTHER;
}

const char *
waste_cause_name(waste_cause_t cause)
{
	return names[cause];
}

int64_t
waste_core_ms(const resources_t *shape, int tasks, int64_t ms)
{
	int64_t cores_milli = shape->cpu_milli + (int64_t)shape->accelerators *
						     CORES_PER_ACCELERATOR *
						     MILLI;

	return cores_milli * tasks * ms / MILLI;
}
