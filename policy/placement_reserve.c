#include <errno.h>
#include <string.h>

#include "policy/placement_private.h"

/* Weight of the latest job in a tenant's mean run time ratio. */
#define RUN_TIME_RATIO_WEIGHT 0.1
#define RUN_TIME_RATIO_MIN 0.1
#define RUN_TIME_RATIO_MAX 100.0

/* Maximum number of jobs examined for one reservation, so that a decision takes
 * less than 1 ms. */
#define RESERVATION_SEARCH_MAX_JOBS 512

/* Updates the tenant's ratio of actual to declared run time. */
void
placement_record_run_time(pjob_t *job, int64_t now_ms)
{
	tenant_t *tenant = job->queue->tenant;
	double ratio =
	    (double)(now_ms - job->started_ms) / (double)job->declared_ms;

	tenant->run_time_ratio +=
	    RUN_TIME_RATIO_WEIGHT *
	    (CLAMP(ratio, RUN_TIME_RATIO_MIN, RUN_TIME_RATIO_MAX) -
		tenant->run_time_ratio);
}

/*
 * Returns when a running job is expected to end: after its declared run time,
 * corrected by its tenant's ratio.  INT64_MAX if it has run longer than that.
 */
int64_t
placement_expected_end(const pjob_t *job, int64_t now_ms)
{
	double run_ms =
	    (double)job->declared_ms * job->queue->tenant->run_time_ratio;
	int64_t end_ms = job->started_ms + (int64_t)run_ms;

	return end_ms > now_ms ? end_ms : INT64_MAX;
}

typedef struct {
	const char *id;
	int64_t end_ms;
	int64_t started_ms;
} ending_t;

/* Orders by expected end; among unknown ends the latest start first. */
static int
compare_endings(const void *a, const void *b)
{
	const ending_t *x = a;
	const ending_t *y = b;

	if (x->end_ms != y->end_ms)
		return x->end_ms < y->end_ms ? -1 : 1;
	if (x->started_ms != y->started_ms)
		return x->started_ms > y->started_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* Lists the jobs whose places a reservation may wait for, by expected end. */
static GArray *
list_endings(const placement_t *placement, int64_t now_ms)
{
	GArray *endings = g_array_new(FALSE, FALSE, sizeof(ending_t));

	for (guint i = 0; i < placement->placed->len; i++) {
		const pjob_t *job = g_ptr_array_index(placement->placed, i);
		ending_t ending = {job->id, placement_expected_end(job, now_ms),
		    job->started_ms};

		if (job->state != PJOB_RUNNING && job->state != PJOB_ASSIGNED)
			continue;
		if (ending.end_ms == INT64_MAX &&
		    (job->guaranteed ||
			job->queue->priority == PRIORITY_URGENT))
			continue;
		g_array_append_val(endings, ending);
	}
	g_array_sort(endings, compare_endings);
	if (endings->len > RESERVATION_SEARCH_MAX_JOBS)
		g_array_set_size(endings, RESERVATION_SEARCH_MAX_JOBS);
	return endings;
}

static reservation_t *
unused_reservation(placement_t *placement)
{
	for (int i = 0; i < PLACEMENT_MAX_RESERVATIONS; i++) {
		reservation_t *reservation = &placement->reservations[i];

		if (reservation->job != NULL)
			continue;
		g_snprintf(reservation->hold, sizeof(reservation->hold),
		    RESERVATION_HOLD, i);
		return reservation;
	}
	return NULL;
}

/*
 * Reserves the places that are expected to be free first.  Makes no reservation
 * if there are none, because guaranteed jobs or other reservations fill the
 * domain.
 */
void
placement_reserve(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	reservation_t *reservation = unused_reservation(placement);
	GArray *endings = list_endings(placement, now_ms);
	const char **ids = g_new(const char *, endings->len + 1);
	cells_request_t shape = placement_shape(job);
	size_t needed = 0;

	for (guint i = 0; i < endings->len; i++)
		ids[i] = g_array_index(endings, ending_t, i).id;
	if (reservation != NULL &&
	    cells_find_after_jobs_end(placement->cells, &shape, ids,
		endings->len, reservation->places, &needed) == 0 &&
	    cells_hold(placement->cells, reservation->hold, reservation->places,
		shape.members) == 0) {
		reservation->job = job;
		reservation->expected_free_ms =
		    g_array_index(endings, ending_t, needed - 1).end_ms;
		reservation->tried_version = 0;
		reservation->migration_considered = false;
		reservation->blocker = NULL;
		placement->reserved_accelerators += placement_accelerators(job);
		placement->reserved_count++;
		job->reservation = reservation;
		job->reason = "has a reservation";
	}
	g_free(ids);
	g_array_unref(endings);
}

/* Drops a reservation and makes its places available again. */
void
placement_drop_reservation(placement_t *placement, reservation_t *reservation)
{
	pjob_t *job = reservation->job;

	if (job == NULL)
		return;
	job->reason = "waits without a reservation";
	job->reservation = NULL;
	reservation->job = NULL;
	reservation->blocker = NULL;
	placement->reserved_accelerators -= placement_accelerators(job);
	placement->reserved_count--;
	cells_unhold(placement->cells, reservation->hold);
	placement->version++;
}

void
placement_drop_reservations(placement_t *placement)
{
	for (int i = 0; i < PLACEMENT_MAX_RESERVATIONS; i++)
		placement_drop_reservation(
		    placement, &placement->reservations[i]);
}

typedef struct {
	const placement_t *placement;
	GPtrArray *jobs;
} job_list_t;

static void
add_job(void *ctx, const char *id)
{
	job_list_t *list = ctx;
	pjob_t *job = placement_find(list->placement, id);

	if (!g_ptr_array_find(list->jobs, job, NULL))
		g_ptr_array_add(list->jobs, job);
}

/* Lists the jobs that occupy places of a reservation. */
GPtrArray *
placement_in_reservation(
    const placement_t *placement, const reservation_t *reservation)
{
	job_list_t list = {placement, g_ptr_array_new()};

	cells_visit_jobs_on(placement->cells, reservation->places,
	    reservation->job->queue->shape->members, add_job, &list);
	return list.jobs;
}

/* Returns whether a job may be reclaimed for the job with the reservation. */
static bool
may_be_reclaimed(const pjob_t *job, bool overdue, int64_t now_ms)
{
	if (job->guaranteed || job->queue->priority == PRIORITY_URGENT)
		return false;
	return job->backfill ||
	       (overdue && job->state != PJOB_ASSIGNED &&
		   now_ms - job->started_ms >= PLACEMENT_MIN_RUN_MS);
}

/*
 * Reclaims the jobs in reserved places if all of them may be reclaimed:
 * backfill jobs always, other opportunistic jobs once the reserved job is
 * overdue. Returns false if there is a job that may not be reclaimed.  That job
 * is cached as the blocker: listing the jobs in up to MAX_MEMBERS places on
 * every call is expensive (29% of the run time of bench_placement).
 */
static bool
reclaim_places(placement_t *placement, reservation_t *reservation, bool overdue,
    int64_t now_ms)
{
	GPtrArray *jobs;

	if (reservation->blocker != NULL &&
	    !may_be_reclaimed(reservation->blocker, overdue, now_ms))
		return false;
	reservation->blocker = NULL;
	jobs = placement_in_reservation(placement, reservation);
	for (guint i = 0; reservation->blocker == NULL && i < jobs->len; i++) {
		const pjob_t *job = g_ptr_array_index(jobs, i);

		if (!may_be_reclaimed(job, overdue, now_ms))
			reservation->blocker = job;
	}
	for (guint i = 0; reservation->blocker == NULL && i < jobs->len; i++)
		placement_reclaim(placement, g_ptr_array_index(jobs, i),
		    reservation->job, now_ms);
	g_ptr_array_unref(jobs);
	return reservation->blocker == NULL;
}

/* Clears the blocker of each reservation that the job blocks. */
void
placement_clear_blocker(placement_t *placement, const pjob_t *job)
{
	for (int i = 0; i < PLACEMENT_MAX_RESERVATIONS; i++) {
		if (placement->reservations[i].blocker == job)
			placement->reservations[i].blocker = NULL;
	}
}

/* Places the reserved job if its places are free or can be reclaimed. */
static bool
start_reserved(
    placement_t *placement, reservation_t *reservation, int64_t now_ms)
{
	pjob_t *job = reservation->job;
	bool places_available;
	bool overdue;
	bool reservation_expired;

	if (job == NULL || !placement_within_quota(job))
		return false;
	overdue = now_ms - job->waiting_since_ms >= PLACEMENT_MAX_WAIT_MS;
	reservation_expired = now_ms > reservation->expected_free_ms;
	if (reservation->tried_version == placement->version &&
	    !reservation_expired && (!overdue || reservation->tried_overdue))
		return false;
	places_available =
	    reclaim_places(placement, reservation, overdue, now_ms);
	reservation->tried_version = placement->version;
	reservation->tried_overdue = overdue;
	if (!places_available || placement_assign(placement, job, false,
				     reservation->places, now_ms) != 0) {
		/* The blocking job has exceeded its expected run time. */
		if (reservation_expired)
			placement_drop_reservation(placement, reservation);
		return false;
	}
	placement_drop_reservation(placement, reservation);
	placement_dequeue(placement, job);
	job->reason = "starts in its reservation";
	g_ptr_array_add(placement->assigned, job);
	return true;
}

/* Places one job in its reservation; returns whether one was placed. */
bool
placement_use_reservation(placement_t *placement, int64_t now_ms)
{
	for (int i = 0;
	     placement->reserved_count > 0 && i < PLACEMENT_MAX_RESERVATIONS;
	     i++) {
		if (start_reserved(
			placement, &placement->reservations[i], now_ms))
			return true;
	}
	return false;
}

/*
 * Finds places in a reservation for a job that is expected to end before the
 * reserved job can start.  If it runs longer, it is reclaimed, so that it never
 * delays the reserved job.  Returns 0 or -ENOSPC.
 */
int
placement_backfill(placement_t *placement, const pjob_t *job, int64_t now_ms,
    cells_place_t *places)
{
	cells_request_t shape = placement_shape(job);
	double end_ms = (double)now_ms + (double)job->declared_ms *
					     job->queue->tenant->run_time_ratio;

	for (int i = 0;
	     placement->reserved_count > 0 && i < PLACEMENT_MAX_RESERVATIONS;
	     i++) {
		const reservation_t *reservation = &placement->reservations[i];
		uint64_t *failed =
		    &job->queue->shape->backfill_failed_version[i];

		if (reservation->job == NULL || reservation->job == job ||
		    end_ms >= (double)reservation->expected_free_ms ||
		    *failed == placement->version)
			continue;
		if (cells_find_in_hold(placement->cells, reservation->hold,
			&shape, places) == 0)
			return 0;
		*failed = placement->version;
	}
	return -ENOSPC;
}
