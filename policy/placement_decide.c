#include <errno.h>
#include <string.h>

#include "policy/placement_private.h"

#define DEADLINE_CHECK_INTERVAL_MS 200

/* Minimum interval between searches for a reservation, each of which examines
 * all running jobs. */
#define RESERVATION_SEARCH_INTERVAL_MS 1000

/*
 * A job that no present hardware can hold is refused only after the hardware
 * has not changed for this time, because workers announce one by one after a
 * restart.
 */
#define HARDWARE_SETTLE_MS (10 * 1000)

typedef struct {
	pjob_t *jobs[MAX_MEMBERS * CELLS_MAX_ACCELERATORS];
	int count;
	const placement_t *placement;
} victims_t;

static void
add_victim(void *ctx, const char *id)
{
	victims_t *victims = ctx;

	if (victims->count < (int)G_N_ELEMENTS(victims->jobs))
		victims->jobs[victims->count++] =
		    placement_find(victims->placement, id);
}

/* Drops the reservations that overlap the places given to a job. */
static void
drop_overlapping_reservations(
    placement_t *placement, const pjob_t *job, const cells_place_t *places)
{
	for (int i = 0;
	     placement->reserved_count > 0 && i < PLACEMENT_MAX_RESERVATIONS;
	     i++) {
		reservation_t *reservation = &placement->reservations[i];

		if (reservation->job != NULL &&
		    placement_overlap(reservation->places,
			reservation->job->queue->shape->members, places,
			job->queue->shape->members))
			placement_drop_reservation(placement, reservation);
	}
}

/* Reclaims the victims and assigns the places to the job. */
static bool
assign_places(placement_t *placement, pjob_t *job, bool guaranteed,
    const cells_place_t *places, const victims_t *victims, int64_t now_ms)
{
	drop_overlapping_reservations(placement, job, places);
	for (int i = 0; victims != NULL && i < victims->count; i++)
		placement_reclaim(placement, victims->jobs[i], job, now_ms);
	if (placement_assign(placement, job, guaranteed, places, now_ms) != 0)
		return false;
	placement_dequeue(placement, job);
	g_ptr_array_add(placement->assigned, job);
	return true;
}

/* Searches places that avoid the workers on which the job has failed. */
static int
find_avoiding_failed(placement_t *placement, const pjob_t *job, bool guaranteed,
    cells_place_t *places, victims_t *victims)
{
	cells_request_t shape = placement_shape(job);
	int rc;

	if (job->failures.failures == 0)
		return -ENOSPC;
	for (int i = 0; i < job->failures.failures; i++)
		cells_set_excluded(
		    placement->cells, job->failures.failed_on[i], true);
	rc = cells_try_find(placement->cells, &shape, guaranteed, places,
	    victims != NULL ? add_victim : NULL, victims);
	for (int i = 0; i < job->failures.failures; i++)
		cells_set_excluded(
		    placement->cells, job->failures.failed_on[i], false);
	return rc;
}

/* Tries to place a job in the guarantee of its workspace. */
static bool
assign_guaranteed(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	cells_request_t shape = placement_shape(job);
	victims_t victims;
	cells_place_t places[MAX_MEMBERS];

	victims.placement = placement;
	victims.count = 0;
	if (job->queue->assign_failed_version == placement->version ||
	    job->queue->guarantee_failed_version ==
		placement->guaranteed_version)
		return false;
	if (find_avoiding_failed(placement, job, true, places, &victims) != 0 &&
	    cells_try_find(placement->cells, &shape, true, places, add_victim,
		&victims) != 0) {
		job->queue->guarantee_failed_version =
		    placement->guaranteed_version;
		return false;
	}
	if (!assign_places(placement, job, true, places, &victims, now_ms)) {
		job->queue->assign_failed_version = placement->version;
		return false;
	}
	job->reason = "uses the guarantee of its workspace";
	return true;
}

/* Finds free places, or else places that are reserved for another job
 * (backfill). */
static int
find_free(placement_t *placement, const pjob_t *job, int64_t now_ms,
    cells_place_t *places, bool *backfill)
{
	cells_request_t wanted = placement_shape(job);
	shape_t *shape = job->queue->shape;

	*backfill = false;
	if (shape->free_failed_version != placement->version) {
		if (cells_try_find(placement->cells, &wanted, false, places,
			NULL, NULL) == 0)
			return 0;
		shape->free_failed_version = placement->version;
	}
	if (job->queue->backfill_searched_version == placement->version)
		return -ENOSPC;
	job->queue->backfill_searched_version = placement->version;
	*backfill = true;
	return placement_backfill(placement, job, now_ms, places);
}

/* Tries to place a job outside guarantees without a reclaim. */
static bool
assign_free(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	cells_place_t places[MAX_MEMBERS];
	bool backfill = false;

	if (!placement_within_quota(job))
		return false;
	if ((find_avoiding_failed(placement, job, false, places, NULL) != 0 &&
		find_free(placement, job, now_ms, places, &backfill) != 0) ||
	    placement_assign(placement, job, false, places, now_ms) != 0)
		return false;
	placement_dequeue(placement, job);
	g_ptr_array_add(placement->assigned, job);
	job->backfill = backfill;
	job->reason = backfill
			  ? "runs in places reserved for another job (backfill)"
			  : "runs outside guarantees";
	return true;
}

/* Tries to place an urgent job by reclaiming opportunistic jobs. */
static bool
assign_reclaiming(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	cells_request_t shape = placement_shape(job);
	victims_t victims;
	cells_place_t places[MAX_MEMBERS];

	victims.placement = placement;
	victims.count = 0;
	if (!placement_within_quota(job) ||
	    cells_find_reclaiming(
		placement->cells, &shape, places, add_victim, &victims) != 0)
		return false;
	for (int i = 0; i < victims.count; i++) {
		if (victims.jobs[i]->queue->priority == PRIORITY_URGENT)
			return false;
	}
	if (!assign_places(placement, job, false, places, &victims, now_ms))
		return false;
	job->reason = "urgent, reclaims opportunistic work";
	return true;
}

/*
 * Tries to place one waiting job of the priority, considering only the first
 * job of each queue.  Returns whether one was placed.
 */
static bool
assign_by_priority(
    placement_t *placement, job_priority_t priority, int64_t now_ms)
{
	for (guint i = 0; i < placement->queues->len; i++) {
		job_queue_t *queue = g_ptr_array_index(placement->queues, i);
		pjob_t *job = g_queue_peek_head(&queue->jobs);
		uint64_t version = placement->version;

		if (job == NULL || queue->priority != priority)
			continue;
		if (assign_guaranteed(placement, job, now_ms))
			return true;
		if (priority == PRIORITY_URGENT &&
		    queue->urgent_failed_version != version) {
			if (assign_free(placement, job, now_ms) ||
			    assign_reclaiming(placement, job, now_ms))
				return true;
			queue->urgent_failed_version = placement->version;
		}
	}
	return false;
}

static int
compare_shares(const void *a, const void *b)
{
	const tenant_t *x = *(tenant_t *const *)a;
	const tenant_t *y = *(tenant_t *const *)b;
	int64_t share_x = (int64_t)x->used * y->weight;
	int64_t share_y = (int64_t)y->used * x->weight;

	if (share_x != share_y)
		return share_x < share_y ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Returns the tenant's next job whose shape was not found to be unplaceable. */
static pjob_t *
next_job(const placement_t *placement, const tenant_t *tenant)
{
	pjob_t *best = NULL;

	for (guint i = 0; i < tenant->queues->len; i++) {
		job_queue_t *queue = g_ptr_array_index(tenant->queues, i);
		pjob_t *job = g_queue_peek_head(&queue->jobs);

		if (job == NULL ||
		    (queue->shape->free_failed_version == placement->version &&
			(placement->reserved_count == 0 ||
			    queue->backfill_searched_version ==
				placement->version)) ||
		    !placement_within_quota(job))
			continue;
		if (best == NULL || job->level < best->level ||
		    (job->level == best->level &&
			job->sequence < best->sequence))
			best = job;
	}
	return best;
}

/* Tries to place an opportunistic job, tenants with the least share first. */
static bool
assign_opportunistic(placement_t *placement, int64_t now_ms)
{
	g_ptr_array_sort(placement->tenant_list, compare_shares);
	for (guint i = 0; i < placement->tenant_list->len; i++) {
		tenant_t *tenant = g_ptr_array_index(placement->tenant_list, i);
		pjob_t *job;

		if (tenant->waiting == 0)
			continue;
		while ((job = next_job(placement, tenant)) != NULL) {
			if (assign_free(placement, job, now_ms))
				return true;
			/* Prevents a loop if the search found places but the
			 * assignment failed. */
			job->queue->shape->free_failed_version =
			    placement->version;
		}
	}
	return false;
}

static bool
is_large(const shape_t *shape)
{
	return shape->members > 1 ||
	       shape->accelerators >= PLACEMENT_LARGE_ACCELERATORS;
}

/* Returns the first job of a queue that is due for a reservation, or NULL. */
static pjob_t *
next_unreserved(
    const placement_t *placement, const job_queue_t *queue, int64_t now_ms)
{
	int64_t after_ms = is_large(queue->shape)
			       ? PLACEMENT_RESERVE_AFTER_MS
			       : PLACEMENT_RESERVE_ANY_AFTER_MS;
	GList *link = queue->jobs.head;
	pjob_t *job;

	if (link == NULL || queue->shape->accelerators == 0 ||
	    queue->shape->impossible ||
	    queue->shape->reservation_failed_version == placement->version)
		return NULL;
	while (link != NULL && ((pjob_t *)link->data)->reservation != NULL)
		link = link->next;
	job = link != NULL ? link->data : NULL;
	if (job == NULL || now_ms - job->waiting_since_ms < after_ms ||
	    !placement_within_quota(job))
		return NULL;
	return job;
}

/*
 * Makes a reservation for the job that has waited longest among those that are
 * due for one and fit the limits of PLACEMENT_MAX_RESERVATIONS.  Returns
 * whether it made one.
 */
static bool
consider_reservation(placement_t *placement, int64_t now_ms)
{
	int limit = cells_total_accelerators(placement->cells) / 2;
	pjob_t *oldest = NULL;

	if (placement->reserved_count == PLACEMENT_MAX_RESERVATIONS ||
	    (placement->reservation_searched_ms != 0 &&
		now_ms - placement->reservation_searched_ms <
		    RESERVATION_SEARCH_INTERVAL_MS))
		return false;
	for (guint i = 0; i < placement->queues->len; i++) {
		pjob_t *job = next_unreserved(
		    placement, g_ptr_array_index(placement->queues, i), now_ms);

		if (job != NULL &&
		    (placement->reserved_count == 0 ||
			placement->reserved_accelerators +
				placement_accelerators(job) <=
			    limit) &&
		    (oldest == NULL ||
			job->waiting_since_ms < oldest->waiting_since_ms))
			oldest = job;
	}
	if (oldest == NULL)
		return false;
	placement_reserve(placement, oldest, now_ms);
	placement->reservation_searched_ms = now_ms;
	if (oldest->reservation != NULL)
		return true;
	oldest->queue->shape->reservation_failed_version = placement->version;
	return false;
}

static void
refuse(placement_t *placement, pjob_t *job, placement_decision_t *decision,
    const char *reason)
{
	decision->kind = PLACEMENT_REFUSE;
	decision->members = 0;
	g_strlcpy(decision->job, job->id, sizeof(decision->job));
	g_strlcpy(decision->reason, reason, sizeof(decision->reason));
	placement_dequeue(placement, job);
	placement_delete_job(placement, job);
}

/* Refuses a job whose deadline to start has passed. */
static bool
refuse_late(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision)
{
	if (now_ms - placement->deadlines_checked_ms <
	    DEADLINE_CHECK_INTERVAL_MS)
		return false;
	for (guint i = 0; i < placement->with_deadline->len; i++) {
		pjob_t *job = g_ptr_array_index(placement->with_deadline, i);

		if (now_ms >= job->deadline_ms) {
			refuse(placement, job, decision,
			    "not started before its deadline");
			return true;
		}
	}
	placement->deadlines_checked_ms = now_ms;
	return false;
}

/* Returns whether the hardware can't hold the shape even when empty; cached
 * until the hardware changes. */
static bool
is_impossible(placement_t *placement, const pjob_t *job)
{
	shape_t *shape = job->queue->shape;
	cells_request_t wanted = placement_shape(job);
	cells_place_t places[MAX_MEMBERS];
	err_t why = {0};

	if (shape->checked_hardware_version == placement->hardware_version)
		return shape->impossible;
	shape->checked_hardware_version = placement->hardware_version;
	shape->impossible = cells_find(placement->cells, &wanted, false, places,
				NULL, NULL, &why) == -E2BIG;
	g_strlcpy(shape->impossible_reason, why.text,
	    sizeof(shape->impossible_reason));
	return shape->impossible;
}

/* Refuses a job that exceeds the hardware or its tenant's quota. */
static bool
refuse_impossible(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision)
{
	if (placement->hardware_settle_version != placement->hardware_version) {
		placement->hardware_settle_version =
		    placement->hardware_version;
		placement->hardware_changed_ms = now_ms;
	}
	if (now_ms - placement->hardware_changed_ms < HARDWARE_SETTLE_MS)
		return false;
	for (guint i = 0; i < placement->queues->len; i++) {
		job_queue_t *queue = g_ptr_array_index(placement->queues, i);
		pjob_t *job = g_queue_peek_head(&queue->jobs);

		if (job == NULL)
			continue;
		if (is_impossible(placement, job)) {
			refuse(placement, job, decision,
			    queue->shape->impossible_reason);
			return true;
		}
		if (queue->priority == PRIORITY_OPPORTUNISTIC &&
		    queue->tenant->quota > 0 &&
		    placement_accelerators(job) > queue->tenant->quota) {
			refuse(placement, job, decision,
			    "exceeds the quota of its tenant");
			return true;
		}
	}
	return false;
}

/* Starts a job whose places no reclaimed job occupies any more. */
static bool
start_assigned(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision)
{
	for (guint i = 0; i < placement->assigned->len; i++) {
		pjob_t *job = g_ptr_array_index(placement->assigned, i);

		if (placement_is_blocked(placement, job))
			continue;
		g_ptr_array_remove_index_fast(placement->assigned, i);
		job->state = PJOB_RUNNING;
		job->started_ms = now_ms;
		decision->kind = PLACEMENT_START;
		decision->guaranteed = job->guaranteed;
		decision->members = job->queue->shape->members;
		memcpy(decision->places, job->places,
		    sizeof(*job->places) * (size_t)decision->members);
		g_strlcpy(decision->job, job->id, sizeof(decision->job));
		g_strlcpy(
		    decision->reason, job->reason, sizeof(decision->reason));
		return true;
	}
	return false;
}

/* See placement.h. */
bool
placement_decide(
    placement_t *placement, int64_t now_ms, placement_decision_t *decision)
{
	placement_check_health(placement, now_ms);
	for (;;) {
		if (placement_advance_reclaims(placement, now_ms, decision) ||
		    start_assigned(placement, now_ms, decision) ||
		    refuse_late(placement, now_ms, decision) ||
		    refuse_impossible(placement, now_ms, decision))
			return true;
		if (assign_by_priority(placement, PRIORITY_URGENT, now_ms) ||
		    assign_by_priority(
			placement, PRIORITY_GUARANTEED, now_ms) ||
		    placement_use_reservation(placement, now_ms))
			continue;
		consider_reservation(placement, now_ms);
		if (placement_use_reservation(placement, now_ms) ||
		    assign_opportunistic(placement, now_ms))
			continue;
		placement_migrate(placement, now_ms);
		return placement_advance_reclaims(placement, now_ms, decision);
	}
}

static const char *
state_text(const pjob_t *job)
{
	switch (job->state) {
	case PJOB_WAITING:
		return "waiting";
	case PJOB_ASSIGNED:
		return "has places, waits for reclaimed work to leave them";
	case PJOB_RUNNING:
		return "running";
	case PJOB_MIGRATING:
		return "running, to be migrated after a checkpoint";
	case PJOB_RECLAIMING:
		return "being reclaimed";
	}
	return "";
}

/* Appends the reasons why a waiting job can't be placed. */
static void
explain_waiting(const placement_t *placement, const pjob_t *job, GString *out)
{
	cells_request_t shape = placement_shape(job);
	cells_place_t places[MAX_MEMBERS];
	err_t why = {0};
	bool guaranteed = job->queue->priority != PRIORITY_OPPORTUNISTIC;

	if (guaranteed && cells_find(placement->cells, &shape, true, places,
			      NULL, NULL, &why) != 0)
		g_string_append_printf(out, "; guarantee of workspace %s: %s",
		    job->workspace, why.text);
	if (!placement_within_quota(job))
		g_string_append_printf(out,
		    "; tenant %s uses %d of %d opportunistic accelerators",
		    job->queue->tenant->name, job->queue->tenant->used,
		    job->queue->tenant->quota);
	else if (cells_find(placement->cells, &shape, false, places, NULL, NULL,
		     &why) != 0)
		g_string_append_printf(
		    out, "; outside guarantees: %s", why.text);
	if (job->reservation != NULL)
		g_string_append_printf(out,
		    "; %d places, the first on worker %s, are reserved for it",
		    shape.members, job->reservation->places[0].worker);
	else if (placement->reserved_count > 0)
		g_string_append_printf(out, "; reservations of other jobs: %d",
		    placement->reserved_count);
}

/* See placement.h. */
int
placement_explain(
    const placement_t *placement, const char *id, int64_t now_ms, GString *out)
{
	static const char *const adjacencies[] = {
	    [ADJACENT_ANY] = "any",
	    [ADJACENT_DOMAIN] = "domain",
	    [ADJACENT_RACK] = "rack",
	    [ADJACENT_WORKER] = "worker",
	};
	const pjob_t *job = placement_find(placement, id);

	if (job == NULL)
		return -ENOENT;
	g_string_append_printf(out,
	    "%s, %d x %d accelerators, adjacency %s, submitted "
	    "%" G_GINT64_FORMAT " ms ago: %s",
	    state_text(job), job->queue->shape->members,
	    job->queue->shape->accelerators,
	    adjacencies[job->queue->shape->adjacency],
	    now_ms - job->submitted_ms, job->reason);
	if (job->state == PJOB_WAITING)
		explain_waiting(placement, job, out);
	if (job->state == PJOB_RECLAIMING || job->state == PJOB_MIGRATING)
		g_string_append_printf(out, " for job %s", job->claimant);
	return 0;
}
