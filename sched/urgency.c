#include "sched/urgency.h"

#include <glib.h>

#define PERMILLE 1000
/* A result is useful up to this multiple of its latency objective. */
#define LATE_FACTOR 3

/*
 * Sets chains[s] to the estimated milliseconds of the longest chain of
 * dependent steps that starts with step s.  Steps depend on earlier ones only.
 * Returns the longest of all, the critical path of the job.
 */
int64_t
urgency_critical_paths(const batch_spec_t *spec, int64_t *chains)
{
	u_int count = spec->steps.steps_len;
	int64_t work_ms = 0;

	for (u_int s = 0; s < count; s++)
		chains[s] = 0;
	for (u_int s = count; s-- > 0;) {
		const step_spec_t *step = &spec->steps.steps_val[s];

		chains[s] += step->estimate_ms;
		work_ms = MAX(work_ms, chains[s]);
		for (u_int d = 0; d < step->depends_on.depends_on_len; d++) {
			int on = step->depends_on.depends_on_val[d];

			chains[on] = MAX(chains[on], chains[s]);
		}
	}
	return work_ms;
}

/*
 * Returns the latest start times of a step whose chain takes chain_ms, in a job
 * with a critical path of work_ms that was submitted at since_ms.
 */
urgency_times_t
urgency_times(const fleet_queue_t *queue, int64_t work_ms, int64_t chain_ms,
    int64_t since_ms)
{
	int64_t objective_ms =
	    queue->target_latency_ms +
	    work_ms * MAX(queue->stretch_milli, PERMILLE) / PERMILLE;

	return (urgency_times_t){
	    .on_time_ms = since_ms + objective_ms - chain_ms,
	    .late_ms = since_ms + objective_ms * LATE_FACTOR - chain_ms,
	};
}

urgency_t
urgency_at(const urgency_times_t *times, int64_t now_ms)
{
	if (now_ms <= times->on_time_ms)
		return URGENCY_ON_TIME;
	return now_ms <= times->late_ms ? URGENCY_LATE : URGENCY_MISSED;
}
