#include "sched/urgency.h"

#include <glib.h>

#define PERMILLE 1000
/* Needed speed, against one that just meets the objective. */
#define SPEED_MARGIN_PERCENT 130
#define MAX_NEEDED_SPEED_PERCENT 1000
/* A result is useful up to this multiple of its latency objective. */
#define LATE_FACTOR 3

/*
 * Sets chain_ms[s] to the estimated milliseconds of the longest chain of
 * dependent steps that starts with step s.  Steps depend on earlier ones only.
 * Returns the longest of all, the critical path of the job.
 */
int64_t
urgency_critical_paths(const batch_spec_t *spec, int64_t *chain_ms)
{
	u_int count = spec->steps.steps_len;
	int64_t critical_path_ms = 0;

	for (u_int s = 0; s < count; s++)
		chain_ms[s] = 0;
	for (u_int s = count; s-- > 0;) {
		const step_spec_t *step = &spec->steps.steps_val[s];

		chain_ms[s] += step->estimate_ms;
		critical_path_ms = MAX(critical_path_ms, chain_ms[s]);
		for (u_int d = 0; d < step->depends_on.depends_on_len; d++) {
			int on = step->depends_on.depends_on_val[d];

			chain_ms[on] = MAX(chain_ms[on], chain_ms[s]);
		}
	}
	return critical_path_ms;
}

/*
 * Returns the latest start times of a step whose chain takes chain_ms, in a job
 * with a critical path of critical_path_ms that was submitted at submitted_ms.
 * The latency objective is the queue's target plus the critical path times the
 * queue's stretch.
 */
urgency_times_t
urgency_times(const fleet_queue_t *queue, int64_t critical_path_ms,
    int64_t chain_ms, int64_t submitted_ms)
{
	int64_t objective_ms =
	    queue->target_latency_ms +
	    critical_path_ms * MAX(queue->stretch_milli, PERMILLE) / PERMILLE;

	return (urgency_times_t){
	    .on_time_ms = submitted_ms + objective_ms - chain_ms,
	    .late_ms = submitted_ms + objective_ms * LATE_FACTOR - chain_ms,
	};
}

/*
 * Returns the speed in percent that a step with a chain of chain_ms needs so
 * that its job meets the objective, with a margin for failures and waits.
 */
int
urgency_needed_speed(
    const urgency_times_t *times, int64_t chain_ms, int64_t now_ms)
{
	int64_t left_ms = times->on_time_ms + chain_ms - now_ms;
	int64_t needed;

	if (left_ms <= 0)
		return MAX_NEEDED_SPEED_PERCENT;
	needed = chain_ms * SPEED_MARGIN_PERCENT / left_ms;
	return (int)CLAMP(needed, 1, MAX_NEEDED_SPEED_PERCENT);
}

urgency_t
urgency_at(const urgency_times_t *times, int64_t now_ms)
{
	if (now_ms <= times->on_time_ms)
		return URGENCY_ON_TIME;
	return now_ms <= times->late_ms ? URGENCY_LATE : URGENCY_MISSED;
}
