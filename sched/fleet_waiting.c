#include <string.h>

#include "common/clock.h"
#include "sched/fleet_round.h"
#include "sched/guarantee.h"

/*
 * Orders the steps with waiting units: by priority, then those within the
 * guarantee of their tenant, then those that can still meet their objective,
 * then by latest start time that meets the objective of the queue.
 */

#define MILLI 1000
#define PERCENT 100
/*
 * Limits the age that is computed from the wall clock, which may jump. A longer
 * real wait before a leader change is cut too.
 */
#define MAX_AGE_MS 60000
/*
 * Share of the reclaim limit after which a guaranteed unit may leave its rack
 * and preempt urgent work. Until then it waits, as most urgent work is short.
 */
#define PREEMPT_URGENT_AFTER_PERCENT 40
/* A step that needs more of the usual speed is short of time. */
#define SHORT_OF_TIME_PERCENT 67

/*
 * Returns how long a step may wait for its start: the target latency plus the
 * part of its estimate by which the queue lets work be stretched. The estimate
 * is of this step only, so that it does not use up the slack of the others.
 */
static int64_t
max_wait_ms(const fleet_queue_t *queue, const step_spec_t *step)
{
	return queue->target_latency_ms +
	       (int64_t)step->estimate_ms *
		   MAX(queue->stretch_milli - MILLI, 0) / MILLI;
}

/* An occurrence without a due time (0) is due on submission. */
static bool
is_due(const ledger_job_t *job, int occurrence)
{
	int64_t due_ms = ledger_due_ms(job, occurrence);

	return due_ms == 0 || clock_real_ms() >= due_ms;
}

/* Returns the accelerators that the first step of the job needs. */
static int
first_step_accelerators(const ledger_job_t *job)
{
	const step_spec_t *step = &job->submit.spec.steps.steps_val[0];

	return step->count * step->shape.accelerators;
}

/*
 * Returns the monotonic time since which the unit has been waiting. A previous
 * leader may have seen the job first, so the due time is taken from the wall
 * clock.
 */
static int64_t
waiting_since_ms(const ledger_unit_t *unit, int64_t now_ms)
{
	int64_t due_ms = ledger_due_ms(unit->job, unit->occurrence);
	int64_t age_ms;

	if (due_ms == 0)
		return unit->job->submitted_mono_ms;
	age_ms = clock_real_ms() - due_ms;
	return now_ms - CLAMP(age_ms, 0, MAX_AGE_MS);
}

/* Records the submission time of a new job and, if urgent, its demand. */
static void
record_arrival(fleet_t *fleet, ledger_job_t *job, int priority, int64_t now_ms)
{
	int64_t age_ms = clock_real_ms() - job->submit.submitted_ms;

	job->submitted_mono_ms = now_ms - CLAMP(age_ms, 0, MAX_AGE_MS);
	if (priority == QUEUE_PRIORITY_URGENT)
		headroom_record(
		    &fleet->headroom, first_step_accelerators(job), now_ms);
}

/* Whether the unit is to be placed now. */
bool
waiting_is_waiting(const ledger_unit_t *unit)
{
	return unit->state == UNIT_WAITING && unit->leader_run == NULL &&
	       (unit->restart.until_ms == 0 ||
		   fleet_now_ms() >= unit->restart.until_ms);
}

/*
 * Sets first to the index of the first waiting unit of a step and end to the
 * one after its last unit. Returns false if none waits.
 */
static bool
find_waiting(const ledger_job_t *job, int occurrence, int step, size_t *first,
    size_t *end)
{
	size_t count;

	*first = ledger_step_units(job, occurrence, step, &count);
	*end = *first + count;
	for (; *first < *end; ++*first) {
		const ledger_unit_t *unit = ledger_known_unit(job, *first);

		if (unit == NULL || waiting_is_waiting(unit))
			return true;
	}
	return false;
}

/* Times of a job that its steps share. */
typedef struct {
	const fleet_queue_t *queue;
	int64_t *remaining_path_ms; /* by step */
	int64_t critical_path_ms;
} job_times_t;

/*
 * Returns how long the step waits for workers that are fast enough rather than
 * take slow ones.  An urgent step does so while it would still be on time on
 * them, and no longer than others may keep it from its guarantee.
 */
static int64_t
may_run_slowly_ms(const waiting_step_t *item, const urgency_times_t *times)
{
	if (item->priority != QUEUE_PRIORITY_URGENT)
		return 0;
	return MIN(times->on_time_ms, item->may_preempt_urgent_ms);
}

/*
 * Whether the step is short of time, so that fast workers serve it best.  One
 * that no worker can finish in time leaves them to others, unless it is urgent.
 */
static bool
prefers_fast(const waiting_step_t *item)
{
	return item->priority == QUEUE_PRIORITY_URGENT ||
	       (item->needed_speed_percent > SHORT_OF_TIME_PERCENT &&
		   item->urgency == URGENCY_ON_TIME);
}

static void
collect_step(fleet_t *fleet, const job_times_t *job_times, ledger_job_t *job,
    size_t first, size_t end, int64_t now_ms, GArray *waiting)
{
	ledger_unit_t *unit = ledger_unit_at(job, first);
	const fleet_queue_t *queue = job_times->queue;
	const fleet_timing_t *timing = &fleet->timing;
	int64_t since_ms = waiting_since_ms(unit, now_ms);
	urgency_times_t times =
	    urgency_times(queue, job_times->critical_path_ms,
		job_times->remaining_path_ms[unit->step], since_ms);
	waiting_step_t item = {
	    .unit = unit,
	    .first = first,
	    .end = end,
	    .priority = queue->priority,
	    .urgency = urgency_at(&times, now_ms),
	    .since_ms = since_ms,
	    .latest_start_ms = since_ms + max_wait_ms(queue, ledger_step(unit)),
	    /* After the reclaim limit the unit loses its precedence. */
	    .has_precedence =
		unit->job->covered && now_ms <= since_ms + timing->reclaim_ms,
	    .may_preempt_urgent_ms =
		since_ms +
		timing->reclaim_ms * PREEMPT_URGENT_AFTER_PERCENT / PERCENT,
	};

	if (!ledger_step(unit)->long_running) {
		item.needed_speed_percent = urgency_needed_speed(
		    &times, job_times->remaining_path_ms[unit->step], now_ms);
		item.prefers_fast = prefers_fast(&item);
		item.may_run_slowly_ms = may_run_slowly_ms(&item, &times);
	}
	item.may_spread_ms =
	    item.has_precedence
		? MIN(item.latest_start_ms, item.may_preempt_urgent_ms)
		: item.latest_start_ms;
	g_array_append_val(waiting, item);
}

static void
collect_job(fleet_t *fleet, ledger_job_t *job, int64_t now_ms, GArray *waiting)
{
	const fleet_queue_t *queue =
	    ledger_queue(fleet_ledger(fleet), job->submit.queue);
	int steps = (int)job->submit.spec.steps.steps_len;
	job_times_t times = {.queue = queue};
	guint before = waiting->len;

	if (job->units_waiting != job->units_left)
		job->still_since_ms = 0;
	if (job->units_waiting == 0 || now_ms < job->hold_until_ms)
		return;
	if (queue == NULL) {
		waits_record(fleet, WAIT_NO_QUEUE);
		return;
	}
	if (job->submitted_mono_ms == 0)
		record_arrival(fleet, job, queue->priority, now_ms);
	times.remaining_path_ms = g_newa(int64_t, steps);
	times.critical_path_ms =
	    urgency_critical_paths(&job->submit.spec, times.remaining_path_ms);
	for (int k = 0; k < job->occurrences; k++) {
		for (int s = 0; s < steps; s++) {
			size_t first;
			size_t end;

			if (is_due(job, k) && ledger_step_is_ready(job, k, s) &&
			    find_waiting(job, k, s, &first, &end))
				collect_step(fleet, &times, job, first, end,
				    now_ms, waiting);
		}
	}
	if (waiting->len > before && job->still_since_ms == 0 &&
	    job->units_waiting == job->units_left)
		job->still_since_ms = now_ms;
}

/* Marks the urgent jobs that the guarantees of their tenants cover. */
static void
mark_covered_jobs(fleet_t *fleet)
{
	const ledger_t *ledger = fleet_ledger(fleet);
	const fleet_config_t *config = ledger_config(ledger);
	GQueue *open = ledger_open_jobs(fleet_ledger(fleet));
	guarantee_job_t *entries = g_new0(guarantee_job_t, open->length);
	ledger_job_t **jobs = g_new0(ledger_job_t *, open->length);
	size_t count = 0;

	for (GList *at = open->head; at != NULL; at = at->next) {
		ledger_job_t *job = at->data;
		const fleet_queue_t *queue =
		    ledger_queue(ledger, job->submit.queue);

		job->covered = false;
		if (queue == NULL || queue->priority != QUEUE_PRIORITY_URGENT)
			continue;
		entries[count].tenant = job->submit.tenant;
		entries[count].accelerators =
		    guarantee_peak_accelerators(&job->submit.spec);
		jobs[count++] = job;
	}
	guarantee_mark_covered(entries, count, config->tenants.tenants_val,
	    config->tenants.tenants_len);
	for (size_t i = 0; i < count; i++)
		jobs[i]->covered = entries[i].covered;
	g_free(entries);
	g_free(jobs);
}

static gint
compare_waiting(gconstpointer a, gconstpointer b)
{
	const waiting_step_t *first = a;
	const waiting_step_t *second = b;

	if (first->priority != second->priority)
		return first->priority - second->priority;
	if (first->has_precedence != second->has_precedence)
		return first->has_precedence ? -1 : 1;
	if (first->urgency != second->urgency)
		return first->urgency < second->urgency ? -1 : 1;
	if (first->latest_start_ms != second->latest_start_ms)
		return first->latest_start_ms < second->latest_start_ms ? -1
									: 1;
	if (first->unit->job != second->unit->job)
		return strcmp(
		    first->unit->job->submit.id, second->unit->job->submit.id);
	return first->first < second->first ? -1 : 1;
}

/* Returns the waiting steps in placement order; the caller frees the array. */
GArray *
waiting_collect(fleet_t *fleet, int64_t now_ms)
{
	GArray *waiting = g_array_new(FALSE, FALSE, sizeof(waiting_step_t));
	GQueue *open = ledger_open_jobs(fleet_ledger(fleet));

	mark_covered_jobs(fleet);
	for (GList *at = open->head; at != NULL; at = at->next)
		collect_job(fleet, at->data, now_ms, waiting);
	g_array_sort(waiting, compare_waiting);
	return waiting;
}

/* Returns the accelerators that one unit of the step needs. */
int
waiting_accelerators(const waiting_step_t *item)
{
	return item->unit->members *
	       ledger_step(item->unit)->shape.accelerators;
}

/* Whether the step must leave the headroom for urgent work free. */
bool
waiting_respects_headroom(const waiting_step_t *item)
{
	return item->priority != QUEUE_PRIORITY_URGENT &&
	       !ledger_step(item->unit)->long_running;
}
