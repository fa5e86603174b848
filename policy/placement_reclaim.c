#include <string.h>

#include "policy/placement_private.h"

/* Estimated time that each accelerator of a job loses by a restart from a
 * checkpoint. */
#define MIGRATION_COST_MS (60 * 1000)

/* Maximum number of jobs migrated for one waiting job. */
#define MIGRATION_MAX_JOBS 4

/* Time limit for the checkpoint of a migration, which is then cancelled. */
#define MIGRATION_LIMIT_MS (30 * 1000)

/* Returns whether two sets of places have accelerators in common. */
bool
placement_overlap(
    const cells_place_t *a, int a_count, const cells_place_t *b, int b_count)
{
	for (int i = 0; i < a_count; i++) {
		for (int k = 0; k < b_count; k++) {
			if ((a[i].accelerator_mask & b[k].accelerator_mask) !=
				0 &&
			    strcmp(a[i].worker, b[k].worker) == 0)
				return true;
		}
	}
	return false;
}

static bool
jobs_overlap(const pjob_t *a, const pjob_t *b)
{
	return placement_overlap(a->places, a->queue->shape->members, b->places,
	    b->queue->shape->members);
}

/*
 * Begins to reclaim a job: its places are released for the claimant at once and
 * held against opportunistic jobs until the job has ended.  A job that has not
 * started yet is queued again instead.
 */
void
placement_reclaim(placement_t *placement, pjob_t *victim,
    const pjob_t *claimant, int64_t now_ms)
{
	if (victim->state == PJOB_MIGRATING)
		g_ptr_array_remove_fast(placement->reclaiming, victim);
	if (victim->state == PJOB_ASSIGNED)
		victim->started_ms = now_ms;
	placement_release(placement, victim, now_ms);
	if (victim->state == PJOB_ASSIGNED) {
		g_ptr_array_remove_fast(placement->assigned, victim);
		g_free(victim->places);
		victim->places = NULL;
		victim->waiting_since_ms = now_ms;
		victim->reason = "its places were taken before it started";
		placement_enqueue(placement, victim);
		return;
	}
	cells_hold(placement->cells, victim->id, victim->places,
	    victim->queue->shape->members);
	victim->state = PJOB_RECLAIMING;
	victim->step = STEP_CHECKPOINT;
	victim->reclaim_started_ms = now_ms;
	victim->reason = "is reclaimed";
	g_free(victim->claimant);
	victim->claimant = g_strdup(claimant->id);
	g_ptr_array_add(placement->reclaiming, victim);
}

/* Returns whether a job being reclaimed still occupies the job's places. */
bool
placement_is_blocked(const placement_t *placement, const pjob_t *job)
{
	for (guint i = 0; i < placement->reclaiming->len; i++) {
		const pjob_t *other =
		    g_ptr_array_index(placement->reclaiming, i);

		if (other->state == PJOB_RECLAIMING && jobs_overlap(job, other))
			return true;
	}
	return false;
}

static void
fill_decision(
    placement_decision_t *decision, placement_kind_t kind, const pjob_t *job)
{
	decision->kind = kind;
	decision->members = 0;
	decision->guaranteed = false;
	g_strlcpy(decision->job, job->id, sizeof(decision->job));
	g_snprintf(decision->reason, sizeof(decision->reason),
	    "reclaimed for job %s", job->claimant);
}

/* Performs the next step of reclaiming a job if it is due. */
static bool
next_reclaim_step(pjob_t *job, int64_t now_ms, placement_decision_t *decision)
{
	int64_t age = now_ms - job->reclaim_started_ms;

	if (job->step == STEP_CHECKPOINT) {
		fill_decision(decision, PLACEMENT_CHECKPOINT, job);
		job->step = STEP_THROTTLE;
		return true;
	}
	if (job->step == STEP_THROTTLE && age >= PLACEMENT_CHECKPOINT_MS) {
		fill_decision(decision, PLACEMENT_THROTTLE, job);
		job->step = STEP_STOP;
		return true;
	}
	if (job->step == STEP_STOP &&
	    age >= PLACEMENT_CHECKPOINT_MS + PLACEMENT_THROTTLE_MS) {
		fill_decision(decision, PLACEMENT_STOP, job);
		job->step = STEP_AWAIT_END;
		return true;
	}
	return false;
}

/*
 * Advances the reclaims and migrations.  Returns true and a decision if a step
 * is due.
 */
bool
placement_advance_reclaims(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision)
{
	for (guint i = 0; i < placement->reclaiming->len; i++) {
		pjob_t *job = g_ptr_array_index(placement->reclaiming, i);

		if (job->state == PJOB_MIGRATING &&
		    job->step == STEP_CHECKPOINT) {
			fill_decision(decision, PLACEMENT_MIGRATE, job);
			/* The decision is made only once; a migrating job is
			 * not throttled. */
			job->step = STEP_THROTTLE;
			return true;
		}
		if (job->state == PJOB_MIGRATING) {
			if (now_ms - job->reclaim_started_ms <
			    MIGRATION_LIMIT_MS)
				continue;
			g_ptr_array_remove_index_fast(placement->reclaiming, i);
			job->state = PJOB_RUNNING;
			return placement_advance_reclaims(
			    placement, now_ms, decision);
		}
		if (next_reclaim_step(job, now_ms, decision))
			return true;
		if (now_ms - job->reclaim_started_ms >=
		    PLACEMENT_RECLAIM_LIMIT_MS) {
			fill_decision(decision, PLACEMENT_LEASES_EXPIRED, job);
			placement_ended(
			    placement, job->id, PLACEMENT_LOST, now_ms);
			return true;
		}
	}
	return false;
}

/*
 * Records that a job has made a checkpoint.  A job that is being reclaimed or
 * migrated is stopped next.
 */
void
placement_checkpointed(placement_t *placement, const char *id, int64_t now_ms)
{
	pjob_t *job = placement_find(placement, id);
	const pjob_t *claimant;

	if (job == NULL)
		return;
	if (job->state == PJOB_RECLAIMING && job->step == STEP_THROTTLE) {
		job->step = STEP_STOP;
		job->reclaim_started_ms = MIN(job->reclaim_started_ms,
		    now_ms - PLACEMENT_CHECKPOINT_MS - PLACEMENT_THROTTLE_MS);
	} else if (job->state == PJOB_MIGRATING) {
		claimant = placement_find(placement, job->claimant);
		if (claimant == NULL || claimant->reservation == NULL)
			return;
		placement_reclaim(placement, job, claimant, now_ms);
		job->step = STEP_STOP;
		job->reclaim_started_ms =
		    now_ms - PLACEMENT_CHECKPOINT_MS - PLACEMENT_THROTTLE_MS;
	}
}

/*
 * Returns whether there are 1 to MIGRATION_MAX_JOBS jobs, each of which can
 * move to free places.  Each job is tested alone: two may need the same places.
 * Adds the cost of the moves to *cost.
 */
static bool
can_migrate_all(
    const placement_t *placement, const GPtrArray *jobs, int64_t *cost)
{
	for (guint i = 0; i < jobs->len; i++) {
		const pjob_t *job = g_ptr_array_index(jobs, i);
		cells_request_t shape = placement_shape(job);
		cells_place_t places[MAX_MEMBERS];

		if (job->state != PJOB_RUNNING || job->guaranteed ||
		    job->queue->priority == PRIORITY_URGENT ||
		    cells_try_find(placement->cells, &shape, false, places,
			NULL, NULL) != 0)
			return false;
		*cost +=
		    (int64_t)MIGRATION_COST_MS * placement_accelerators(job);
	}
	return jobs->len > 0 && jobs->len <= MIGRATION_MAX_JOBS;
}

/*
 * Migrates the jobs in a reservation if that costs less accelerator time than
 * the reserved job would spend waiting; each must have free places elsewhere
 * now. Considered once per reservation.
 */
static void
migrate(placement_t *placement, reservation_t *reservation, int64_t now_ms)
{
	GPtrArray *jobs;
	int64_t cost = 0;
	int64_t gain;

	if (reservation->job == NULL || reservation->migration_considered)
		return;
	reservation->migration_considered = true;
	gain =
	    MIN(reservation->expected_free_ms - now_ms, PLACEMENT_MAX_WAIT_MS) *
	    placement_accelerators(reservation->job);
	jobs = placement_in_reservation(placement, reservation);
	if (can_migrate_all(placement, jobs, &cost) && cost < gain) {
		for (guint i = 0; i < jobs->len; i++) {
			pjob_t *job = g_ptr_array_index(jobs, i);

			job->state = PJOB_MIGRATING;
			job->reclaim_started_ms = now_ms;
			job->step = STEP_CHECKPOINT;
			job->reason = "migrating to make room";
			g_free(job->claimant);
			job->claimant = g_strdup(reservation->job->id);
			g_ptr_array_add(placement->reclaiming, job);
		}
	}
	g_ptr_array_unref(jobs);
}

/* Considers migration for each new reservation. */
void
placement_migrate(placement_t *placement, int64_t now_ms)
{
	for (int i = 0;
	     placement->reserved_count > 0 && i < PLACEMENT_MAX_RESERVATIONS;
	     i++)
		migrate(placement, &placement->reservations[i], now_ms);
}
