#include <string.h>

#include "policy/placement_private.h"

/* Weight of the latest job in a tenant's observed run times. */
#define STRETCH_WEIGHT 0.1
#define STRETCH_MIN 0.1
#define STRETCH_MAX 100.0

/* Jobs looked at for one reservation, so that a decision stays below 1 ms. */
#define PLAN_MAX_JOBS 512

/* Learns from a finished job how its tenant's declarations compare. */
void
placement_observe(pjob_t *job, int64_t now_ms)
{
	tenant_t *tenant = job->bucket->tenant;
	double ratio =
	    (double)(now_ms - job->started_ms) / (double)job->declared_ms;

	tenant->stretch +=
	    STRETCH_WEIGHT *
	    (CLAMP(ratio, STRETCH_MIN, STRETCH_MAX) - tenant->stretch);
}

/*
 * Returns when a running job is expected to end, INT64_MAX when it has outlived
 * its corrected declaration: nothing is known about it then.
 */
int64_t
placement_expected_end(const pjob_t *job, int64_t now_ms)
{
	double run_ms = (double)job->declared_ms * job->bucket->tenant->stretch;
	int64_t end_ms = job->started_ms + (int64_t)run_ms;

	return end_ms > now_ms ? end_ms : INT64_MAX;
}

typedef struct {
	const char *id;
	int64_t end_ms;
	int64_t started_ms;
} ending_t;

/* By expected end; of those that may never end, the youngest first. */
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

/* Lists the running jobs whose places a reservation may wait for. */
static GArray *
list_endings(const placement_t *placement, int64_t now_ms)
{
	GArray *endings = g_array_new(FALSE, FALSE, sizeof(ending_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pjob_t *job = value;
		ending_t ending = {job->id, placement_expected_end(job, now_ms),
		    job->started_ms};

		if (job->state != PJOB_RUNNING && job->state != PJOB_CLAIMED)
			continue;
		if (ending.end_ms == INT64_MAX &&
		    (job->guaranteed ||
			job->bucket->priority == PRIORITY_URGENT))
			continue;
		g_array_append_val(endings, ending);
	}
	g_array_sort(endings, compare_endings);
	if (endings->len > PLAN_MAX_JOBS)
		g_array_set_size(endings, PLAN_MAX_JOBS);
	return endings;
}

/*
 * Reserves places for a large job where they are expected to be free first.
 * Without such places there is no reservation: guaranteed work fills the
 * domain.
 */
void
placement_reserve(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	reservation_t *reservation = &placement->reservation;
	GArray *endings = list_endings(placement, now_ms);
	const char **ids = g_new(const char *, endings->len + 1);
	cells_shape_t shape = placement_shape(job);
	size_t needed = 0;

	for (guint i = 0; i < endings->len; i++)
		ids[i] = g_array_index(endings, ending_t, i).id;
	if (cells_plan(placement->cells, &shape, ids, endings->len,
		reservation->places, &needed) == 0 &&
	    cells_hold(placement->cells, RESERVATION_HOLD, reservation->places,
		shape.members) == 0) {
		reservation->job = job;
		reservation->expected_ms =
		    g_array_index(endings, ending_t, needed - 1).end_ms;
		reservation->tried_version = 0;
		reservation->migration_considered = false;
		job->rule = "has the reservation";
	}
	g_free(ids);
	g_array_unref(endings);
}

/* Opens the reserved places again. */
void
placement_drop_reservation(placement_t *placement)
{
	if (placement->reservation.job == NULL)
		return;
	placement->reservation.job->rule = "waits for a large cell";
	placement->reservation.job = NULL;
	cells_unhold(placement->cells, RESERVATION_HOLD);
	placement->version++;
}

typedef struct {
	const placement_t *placement;
	GPtrArray *jobs;
} users_t;

static void
add_user(void *ctx, const char *id)
{
	users_t *users = ctx;
	pjob_t *job = placement_find(users->placement, id);

	if (!g_ptr_array_find(users->jobs, job, NULL))
		g_ptr_array_add(users->jobs, job);
}

/* Lists the jobs that have places in the reservation. */
GPtrArray *
placement_in_reservation(const placement_t *placement)
{
	users_t users = {placement, g_ptr_array_new()};
	const reservation_t *reservation = &placement->reservation;

	cells_users(placement->cells, reservation->places,
	    reservation->job->bucket->shape->members, add_user, &users);
	return users.jobs;
}

/*
 * Clears the reserved places: of backfilled work once nothing else is there, of
 * any opportunistic work once the reserved job has waited for too long.
 */
static void
clear_places(placement_t *placement, bool overdue, int64_t now_ms)
{
	GPtrArray *users = placement_in_reservation(placement);
	bool can_clear = true;

	for (guint i = 0; i < users->len; i++) {
		const pjob_t *job = g_ptr_array_index(users, i);

		can_clear &=
		    !job->guaranteed &&
		    job->bucket->priority != PRIORITY_URGENT &&
		    (job->backfill ||
			(overdue && job->state != PJOB_CLAIMED &&
			    now_ms - job->started_ms >= PLACEMENT_MIN_RUN_MS));
	}
	for (guint i = 0; can_clear && i < users->len; i++)
		placement_reclaim(placement, g_ptr_array_index(users, i),
		    placement->reservation.job, now_ms);
	g_ptr_array_unref(users);
}

/*
 * Gives the reserved job its places when nothing is in the way any more.
 * Returns whether it did.
 */
bool
placement_use_reservation(placement_t *placement, int64_t now_ms)
{
	reservation_t *reservation = &placement->reservation;
	pjob_t *job = reservation->job;
	bool overdue;

	if (job == NULL)
		return false;
	overdue = now_ms - job->waiting_ms >= PLACEMENT_MAX_WAIT_MS;
	if (!placement_within_quota(job))
		return false;
	if (reservation->tried_version == placement->version &&
	    (!overdue || reservation->tried_overdue))
		return false;
	clear_places(placement, overdue, now_ms);
	cells_unhold(placement->cells, RESERVATION_HOLD);
	if (placement_claim(
		placement, job, false, reservation->places, now_ms) == 0) {
		reservation->job = NULL;
		placement->version++;
		placement_dequeue(placement, job);
		job->rule = "starts in its reservation";
		g_ptr_array_add(placement->claimed, job);
		return true;
	}
	cells_hold(placement->cells, RESERVATION_HOLD, reservation->places,
	    job->bucket->shape->members);
	reservation->tried_version = placement->version;
	reservation->tried_overdue = overdue;
	return false;
}

/*
 * Finds places inside the reservation for work that is expected to end before
 * the reserved job could start.  Such work is reclaimed when it does not, so it
 * never delays the reserved job.  Returns 0 or a negative errno value.
 */
int
placement_backfill(placement_t *placement, const pjob_t *job, int64_t now_ms,
    cells_place_t *places)
{
	reservation_t *reservation = &placement->reservation;
	cells_shape_t shape = placement_shape(job);
	double run_ms = (double)job->declared_ms * job->bucket->tenant->stretch;
	int rc;

	if (reservation->job == NULL || reservation->job == job ||
	    (double)now_ms + run_ms >= (double)reservation->expected_ms)
		return -1;
	cells_unhold(placement->cells, RESERVATION_HOLD);
	rc = cells_try(placement->cells, &shape, false, places, NULL, NULL);
	cells_hold(placement->cells, RESERVATION_HOLD, reservation->places,
	    reservation->job->bucket->shape->members);
	return rc;
}
