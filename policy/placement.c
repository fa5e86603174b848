#include <errno.h>
#include <string.h>

#include "policy/placement_private.h"

/*
 * Waiting jobs of like kind are ordered by level first, so that jobs that have
 * already had much service do not starve others.  Level 1 begins at this
 * attained service, each further level at four times as much.
 */
#define LEVEL_1_ACCELERATOR_MS (10 * 60 * 1000)
#define MAX_LEVEL 6

static void
tenant_free(void *data)
{
	tenant_t *tenant = data;

	g_ptr_array_unref(tenant->queues);
	g_free(tenant->name);
	g_free(tenant);
}

static void
pjob_free(void *data)
{
	pjob_t *job = data;

	health_clear_request(&job->failures);
	g_free(job->claimant);
	g_free(job->places);
	g_free(job->id);
	g_free(job);
}

/* Creates a placement for a failure domain that has no hardware yet. */
placement_t *
placement_create(void)
{
	placement_t *placement = g_new0(placement_t, 1);

	placement->cells = cells_create();
	placement->health = health_create();
	placement->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placement->unusable_workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placement->tenants =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, tenant_free);
	placement->tenant_list = g_ptr_array_new();
	placement->shapes = g_ptr_array_new_with_free_func(g_free);
	placement->queues = g_ptr_array_new_with_free_func(g_free);
	placement->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pjob_free);
	placement->version = 1;
	placement->hardware_version = 1;
	placement->placed = g_ptr_array_new();
	placement->assigned = g_ptr_array_new();
	placement->reclaiming = g_ptr_array_new();
	placement->with_deadline = g_ptr_array_new();
	return placement;
}

void
placement_destroy(placement_t *placement)
{
	if (placement == NULL)
		return;
	g_ptr_array_unref(placement->placed);
	g_ptr_array_unref(placement->assigned);
	g_ptr_array_unref(placement->reclaiming);
	g_ptr_array_unref(placement->with_deadline);
	g_hash_table_unref(placement->jobs);
	g_ptr_array_unref(placement->queues);
	g_ptr_array_unref(placement->shapes);
	g_ptr_array_unref(placement->tenant_list);
	g_hash_table_unref(placement->tenants);
	g_hash_table_unref(placement->unusable_workers);
	g_hash_table_unref(placement->workers);
	health_destroy(placement->health);
	cells_destroy(placement->cells);
	g_free(placement);
}

const cells_t *
placement_cells(const placement_t *placement)
{
	return placement->cells;
}

/* Invalidates cached results after a change of hardware or guarantees. */
static void
hardware_changed(placement_t *placement)
{
	placement->version++;
	placement->guaranteed_version++;
	placement->hardware_version++;
	placement_drop_reservations(placement);
}

/* Adds a worker or changes its size; errors as of cells_add_worker. */
int
placement_add_worker(placement_t *placement, const char *worker,
    const char *rack, int accelerators, int slots)
{
	int rc = cells_add_worker(
	    placement->cells, worker, rack, accelerators, slots);

	if (rc != 0)
		return rc;
	g_hash_table_insert(
	    placement->workers, g_strdup(worker), g_strdup(rack));
	health_add(placement->health, worker, "");
	g_hash_table_remove(placement->unusable_workers, worker);
	hardware_changed(placement);
	return 0;
}

void
placement_remove_worker(placement_t *placement, const char *worker)
{
	cells_remove_worker(placement->cells, worker);
	g_hash_table_remove(placement->workers, worker);
	g_hash_table_remove(placement->unusable_workers, worker);
	health_remove(placement->health, worker);
	hardware_changed(placement);
}

int
placement_set_guarantees(placement_t *placement,
    const cells_guarantee_t *guarantees, size_t count, err_t *err)
{
	int rc = cells_set_guarantees(placement->cells, guarantees, count, err);

	if (rc == 0)
		hardware_changed(placement);
	return rc;
}

static tenant_t *
find_or_add_tenant(placement_t *placement, const char *name)
{
	tenant_t *tenant = g_hash_table_lookup(placement->tenants, name);

	if (tenant != NULL)
		return tenant;
	tenant = g_new0(tenant_t, 1);
	tenant->name = g_strdup(name);
	tenant->weight = 1;
	tenant->run_time_ratio = 1;
	tenant->queues = g_ptr_array_new();
	g_hash_table_insert(placement->tenants, tenant->name, tenant);
	g_ptr_array_add(placement->tenant_list, tenant);
	return tenant;
}

void
placement_set_tenant(
    placement_t *placement, const char *name, int weight, int quota)
{
	tenant_t *tenant = find_or_add_tenant(placement, name);

	tenant->weight = MAX(weight, 1);
	tenant->quota = quota;
	placement->version++;
}

static shape_t *
find_or_add_shape(placement_t *placement, const placement_job_t *job)
{
	shape_t *shape;

	for (guint i = 0; i < placement->shapes->len; i++) {
		shape = g_ptr_array_index(placement->shapes, i);
		if (shape->members == job->members &&
		    shape->accelerators == job->accelerators &&
		    shape->adjacency == job->adjacency)
			return shape;
	}
	shape = g_new0(shape_t, 1);
	shape->members = job->members;
	shape->accelerators = job->accelerators;
	shape->adjacency = job->adjacency;
	g_ptr_array_add(placement->shapes, shape);
	return shape;
}

static job_queue_t *
find_or_add_queue(placement_t *placement, const placement_job_t *job)
{
	tenant_t *tenant = find_or_add_tenant(placement, job->tenant);
	const char *workspace = g_intern_string(job->workspace);
	shape_t *shape = find_or_add_shape(placement, job);
	job_queue_t *queue;

	for (guint i = 0; i < tenant->queues->len; i++) {
		queue = g_ptr_array_index(tenant->queues, i);
		if (queue->workspace == workspace &&
		    queue->priority == job->priority && queue->shape == shape)
			return queue;
	}
	queue = g_new0(job_queue_t, 1);
	queue->tenant = tenant;
	queue->workspace = workspace;
	queue->priority = job->priority;
	queue->shape = shape;
	g_queue_init(&queue->jobs);
	g_ptr_array_add(tenant->queues, queue);
	g_ptr_array_add(placement->queues, queue);
	return queue;
}

pjob_t *
placement_find(const placement_t *placement, const char *job)
{
	return g_hash_table_lookup(placement->jobs, job);
}

/* Returns the job's requirements for a search by policy/cells.h. */
cells_request_t
placement_shape(const pjob_t *job)
{
	const shape_t *shape = job->queue->shape;

	return (cells_request_t){job->id, job->workspace, shape->members,
	    shape->accelerators, shape->adjacency};
}

/* Returns the number of accelerators of all members. */
int
placement_accelerators(const pjob_t *job)
{
	return job->queue->shape->members * job->queue->shape->accelerators;
}

/* Returns whether the quota permits the job outside guarantees now. */
bool
placement_within_quota(const pjob_t *job)
{
	const tenant_t *tenant = job->queue->tenant;

	return tenant->quota == 0 ||
	       tenant->used + placement_accelerators(job) <= tenant->quota;
}

/* Queues a job, ordered by attained service level, then by submission. */
void
placement_enqueue(placement_t *placement, pjob_t *job)
{
	GQueue *queue = &job->queue->jobs;
	GList *after = queue->tail;

	job->state = PJOB_WAITING;
	job->level = 0;
	for (int64_t limit = LEVEL_1_ACCELERATOR_MS;
	     job->attained_accelerator_ms >= limit && job->level < MAX_LEVEL;
	     limit *= 4)
		job->level++;
	while (after != NULL) {
		const pjob_t *other = after->data;

		if (other->level < job->level ||
		    (other->level == job->level &&
			other->sequence < job->sequence))
			break;
		after = after->prev;
	}
	job->link = (GList){.data = job};
	if (after == NULL)
		g_queue_push_head_link(queue, &job->link);
	else
		g_queue_insert_after_link(queue, after, &job->link);
	placement->waiting++;
	job->queue->tenant->waiting++;
	if (job->deadline_ms > 0)
		g_ptr_array_add(placement->with_deadline, job);
}

/* Removes a waiting job from its queue and drops its reservation. */
void
placement_dequeue(placement_t *placement, pjob_t *job)
{
	g_queue_unlink(&job->queue->jobs, &job->link);
	placement->waiting--;
	job->queue->tenant->waiting--;
	if (job->deadline_ms > 0)
		g_ptr_array_remove_fast(placement->with_deadline, job);
	if (job->reservation != NULL)
		placement_drop_reservation(placement, job->reservation);
}

/* Creates the record of a job; NULL if it exists. */
static pjob_t *
create_job(placement_t *placement, const placement_job_t *job)
{
	pjob_t *created;

	if (placement_find(placement, job->id) != NULL)
		return NULL;
	created = g_new0(pjob_t, 1);
	created->id = g_strdup(job->id);
	created->queue = find_or_add_queue(placement, job);
	created->workspace = created->queue->workspace;
	created->declared_ms = MAX(job->declared_ms, 1);
	created->deadline_ms = job->deadline_ms;
	created->submitted_ms = job->submitted_ms;
	created->waiting_since_ms = job->submitted_ms;
	created->sequence = job->sequence;
	created->reason = "not considered yet";
	g_hash_table_insert(placement->jobs, created->id, created);
	return created;
}

/* Adds a waiting job; -EEXIST if it exists. */
int
placement_submit(placement_t *placement, const placement_job_t *job)
{
	pjob_t *created = create_job(placement, job);

	if (created == NULL)
		return -EEXIST;
	placement_enqueue(placement, created);
	return 0;
}

/*
 * Assigns places to a job.  The job starts once no job that is being reclaimed
 * occupies them.  Errors as of cells_allocate.
 */
int
placement_assign(placement_t *placement, pjob_t *job, bool guaranteed,
    const cells_place_t *places, int64_t now_ms)
{
	cells_request_t shape = placement_shape(job);
	int rc = cells_allocate(placement->cells, &shape, guaranteed, places);

	if (rc != 0)
		return rc;
	job->places = g_memdup2(places, sizeof(*places) * (gsize)shape.members);
	job->guaranteed = guaranteed;
	placement->guaranteed_version += guaranteed;
	job->state = PJOB_ASSIGNED;
	job->started_ms = now_ms;
	if (!guaranteed)
		job->queue->tenant->used += placement_accelerators(job);
	if (placement_accelerators(job) > 0) {
		job->placed_index = placement->placed->len;
		g_ptr_array_add(placement->placed, job);
	}
	return 0;
}

/* Releases the job's places and adds its run time to its attained service. */
void
placement_release(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	placement_clear_blocker(placement, job);
	cells_release(placement->cells, job->id);
	if (placement_accelerators(job) > 0) {
		g_ptr_array_remove_index_fast(
		    placement->placed, job->placed_index);
		if (job->placed_index < placement->placed->len) {
			pjob_t *moved = g_ptr_array_index(
			    placement->placed, job->placed_index);

			moved->placed_index = job->placed_index;
		}
	}
	if (!job->guaranteed)
		job->queue->tenant->used -= placement_accelerators(job);
	job->attained_accelerator_ms +=
	    MAX(now_ms - job->started_ms, 0) * placement_accelerators(job);
	placement->guaranteed_version += job->guaranteed;
	job->guaranteed = false;
	job->backfill = false;
	placement->version++;
}

/* See placement.h.  Errors as of cells_allocate; -EEXIST if the job exists. */
int
placement_restore(placement_t *placement, const placement_job_t *job,
    bool guaranteed, const cells_place_t *places, int64_t now_ms)
{
	pjob_t *created = create_job(placement, job);
	int rc;

	if (created == NULL)
		return -EEXIST;
	rc = placement_assign(placement, created, guaranteed, places, now_ms);
	if (rc != 0) {
		g_hash_table_remove(placement->jobs, created->id);
		return rc;
	}
	created->state = PJOB_RUNNING;
	created->reason = "was already running at the takeover";
	return 0;
}

/* Deletes the record of a job that is not queued and has no places. */
void
placement_delete_job(placement_t *placement, pjob_t *job)
{
	g_ptr_array_remove_fast(placement->assigned, job);
	g_ptr_array_remove_fast(placement->reclaiming, job);
	g_hash_table_remove(placement->jobs, job->id);
}

/* Removes a waiting job from its queue, or releases the places and the hold of
 * a job that has places. */
static void
release_job_resources(placement_t *placement, pjob_t *job, int64_t now_ms)
{
	switch (job->state) {
	case PJOB_WAITING:
		placement_dequeue(placement, job);
		return;
	case PJOB_RECLAIMING:
		g_ptr_array_remove_fast(placement->reclaiming, job);
		cells_unhold(placement->cells, job->id);
		placement->version++;
		break;
	case PJOB_MIGRATING:
		g_ptr_array_remove_fast(placement->reclaiming, job);
		placement_release(placement, job, now_ms);
		break;
	case PJOB_ASSIGNED:
		g_ptr_array_remove_fast(placement->assigned, job);
		job->started_ms = now_ms;
		placement_release(placement, job, now_ms);
		break;
	case PJOB_RUNNING:
		placement_release(placement, job, now_ms);
		break;
	}
	g_free(job->places);
	job->places = NULL;
}

/*
 * Records the end of an attempt; none of the members may still run or be
 * reserved.  An unknown job is ignored, because ends may be reported twice.
 */
void
placement_ended(
    placement_t *placement, const char *id, placement_end_t end, int64_t now_ms)
{
	pjob_t *job = placement_find(placement, id);

	if (job == NULL ||
	    (job->state == PJOB_WAITING && end == PLACEMENT_LOST))
		return;
	if (end == PLACEMENT_DONE && job->state != PJOB_WAITING) {
		placement_record_run_time(job, now_ms);
		for (int m = 0; m < job->queue->shape->members; m++)
			health_succeeded(placement->health,
			    job->places[m].worker, &job->failures, now_ms);
	}
	release_job_resources(placement, job, now_ms);
	if (end == PLACEMENT_LOST) {
		job->waiting_since_ms = now_ms;
		job->reason = "waits again after its last attempt ended";
		placement_enqueue(placement, job);
	} else {
		placement_delete_job(placement, job);
	}
}

size_t
placement_waiting(const placement_t *placement)
{
	return placement->waiting;
}
