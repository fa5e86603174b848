#include <string.h>

#include "policy/placement_private.h"

/* Starting again from a checkpoint costs this much of every accelerator. */
#define MIGRATION_COST_MS (60 * 1000)

/* More than this many jobs are not moved for one waiting job. */
#define MIGRATION_MAX_JOBS 4

/* A migration without a checkpoint by then is given up. */
#define MIGRATION_LIMIT_MS (30 * 1000)

/* Whether two sets of places share accelerators, or a worker without any. */
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
	return placement_overlap(a->places, a->bucket->shape->members,
	    b->places, b->bucket->shape->members);
}

/*
 * Begins to reclaim a job that runs: its places belong to the claimant at once,
 * and stay closed to opportunistic work until it has really left them.
 */
void
placement_reclaim(placement_t *placement, pjob_t *victim,
    const pjob_t *claimant, int64_t now_ms)
{
	if (victim->state == PJOB_MIGRATING)
		g_ptr_array_remove_fast(placement->draining, victim);
	if (victim->state == PJOB_CLAIMED)
		victim->started_ms = now_ms;
	placement_unclaim(placement, victim, now_ms);
	if (victim->state == PJOB_CLAIMED) {
		g_ptr_array_remove_fast(placement->claimed, victim);
		g_free(victim->places);
		victim->places = NULL;
		victim->waiting_ms = now_ms;
		victim->rule = "lost its places to guaranteed work";
		placement_enqueue(placement, victim);
		return;
	}
	cells_hold(placement->cells, victim->id, victim->places,
	    victim->bucket->shape->members);
	victim->state = PJOB_DRAINING;
	victim->step = STEP_CHECKPOINT;
	victim->reclaim_ms = now_ms;
	victim->rule = "is reclaimed";
	g_free(victim->claimant);
	victim->claimant = g_strdup(claimant->id);
	g_ptr_array_add(placement->draining, victim);
}

/* Whether work that is being reclaimed still uses the job's places. */
bool
placement_is_blocked(const placement_t *placement, const pjob_t *job)
{
	for (guint i = 0; i < placement->draining->len; i++) {
		const pjob_t *other = g_ptr_array_index(placement->draining, i);

		if (other->state == PJOB_DRAINING && jobs_overlap(job, other))
			return true;
	}
	return false;
}

static void
fill(placement_decision_t *decision, placement_kind_t kind, const pjob_t *job)
{
	decision->kind = kind;
	decision->members = 0;
	decision->guaranteed = false;
	g_strlcpy(decision->job, job->id, sizeof(decision->job));
	g_snprintf(decision->reason, sizeof(decision->reason),
	    "reclaimed for job %s", job->claimant);
}

/* Takes the next step of reclaiming a job when it is due. */
static bool
next_step(pjob_t *job, int64_t now_ms, placement_decision_t *decision)
{
	int64_t age = now_ms - job->reclaim_ms;

	if (job->step == STEP_CHECKPOINT) {
		fill(decision, PLACEMENT_CHECKPOINT, job);
		job->step = STEP_THROTTLE;
		return true;
	}
	if (job->step == STEP_THROTTLE && age >= PLACEMENT_CHECKPOINT_MS) {
		fill(decision, PLACEMENT_THROTTLE, job);
		job->step = STEP_STOP;
		return true;
	}
	if (job->step == STEP_STOP &&
	    age >= PLACEMENT_CHECKPOINT_MS + PLACEMENT_THROTTLE_MS) {
		fill(decision, PLACEMENT_STOP, job);
		job->step = STEP_GONE;
		return true;
	}
	return false;
}

/* Advances the jobs that are being reclaimed; true with a decision. */
bool
placement_drain(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision)
{
	for (guint i = 0; i < placement->draining->len; i++) {
		pjob_t *job = g_ptr_array_index(placement->draining, i);

		if (job->state == PJOB_MIGRATING &&
		    job->step == STEP_CHECKPOINT) {
			fill(decision, PLACEMENT_MIGRATE, job);
			job->step = STEP_THROTTLE;
			return true;
		}
		if (job->state == PJOB_MIGRATING) {
			if (now_ms - job->reclaim_ms < MIGRATION_LIMIT_MS)
				continue;
			g_ptr_array_remove_index_fast(placement->draining, i);
			job->state = PJOB_RUNNING;
			return placement_drain(placement, now_ms, decision);
		}
		if (next_step(job, now_ms, decision))
			return true;
		if (now_ms - job->reclaim_ms >= PLACEMENT_RECLAIM_LIMIT_MS) {
			fill(decision, PLACEMENT_GONE, job);
			placement_ended(
			    placement, job->id, PLACEMENT_LOST, now_ms);
			return true;
		}
	}
	return false;
}

/*
 * Notes that a checkpoint was made: a job that is reclaimed is stopped at once,
 * one that migrates begins to leave.
 */
void
placement_checkpointed(placement_t *placement, const char *id, int64_t now_ms)
{
	pjob_t *job = placement_find(placement, id);
	const pjob_t *claimant;

	if (job == NULL)
		return;
	if (job->state == PJOB_DRAINING && job->step == STEP_THROTTLE) {
		job->step = STEP_STOP;
		job->reclaim_ms = MIN(job->reclaim_ms,
		    now_ms - PLACEMENT_CHECKPOINT_MS - PLACEMENT_THROTTLE_MS);
	} else if (job->state == PJOB_MIGRATING) {
		claimant = placement_find(placement, job->claimant);
		if (claimant == NULL || claimant->reservation == NULL)
			return;
		placement_reclaim(placement, job, claimant, now_ms);
		job->step = STEP_STOP;
		job->reclaim_ms =
		    now_ms - PLACEMENT_CHECKPOINT_MS - PLACEMENT_THROTTLE_MS;
	}
}

/* Whether every job may move to a free place; adds up what that costs. */
static bool
can_move(const placement_t *placement, const GPtrArray *jobs, int64_t *cost)
{
	for (guint i = 0; i < jobs->len; i++) {
		const pjob_t *job = g_ptr_array_index(jobs, i);
		cells_shape_t shape = placement_shape(job);
		cells_place_t places[MAX_MEMBERS];

		if (job->state != PJOB_RUNNING || job->guaranteed ||
		    job->bucket->priority == PRIORITY_URGENT ||
		    cells_try_find(placement->cells, &shape, false, places,
			NULL, NULL) != 0)
			return false;
		*cost += (int64_t)MIGRATION_COST_MS * placement_size(job);
	}
	return jobs->len > 0 && jobs->len <= MIGRATION_MAX_JOBS;
}

/*
 * Moves the jobs in a reservation elsewhere when that costs less than the
 * reserved job gains; each must have a place elsewhere now.  Considered once
 * for each reservation.
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
	gain = MIN(reservation->expected_ms - now_ms, PLACEMENT_MAX_WAIT_MS) *
	       placement_size(reservation->job);
	jobs = placement_in_reservation(placement, reservation);
	if (can_move(placement, jobs, &cost) && cost < gain) {
		for (guint i = 0; i < jobs->len; i++) {
			pjob_t *job = g_ptr_array_index(jobs, i);

			job->state = PJOB_MIGRATING;
			job->reclaim_ms = now_ms;
			job->step = STEP_CHECKPOINT;
			job->rule = "is moved to free a large cell";
			g_free(job->claimant);
			job->claimant = g_strdup(reservation->job->id);
			g_ptr_array_add(placement->draining, job);
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
