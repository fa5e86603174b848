#include "tests/unit/once/once.h"

/*
 * Tasks on workers. The members of a gang work from the moment at which all of
 * one run are present, and end together.
 */

#define MIN_STOP_US (20 * ONCE_US_PER_MS)
#define MAX_STOP_US (1500 * ONCE_US_PER_MS)
#define GANG_WAIT_US (3 * ONCE_US_PER_S)
#define MIN_BROKEN_US (5 * ONCE_US_PER_MS)
#define MAX_BROKEN_US (600 * ONCE_US_PER_MS)
#define FAIL_CHANCE 0.15

typedef struct {
	world_t *world;
	uint64_t serial;
} task_ref_t;

void
task_free(void *data)
{
	g_free(data);
}

static void
task_at(task_t *task, int64_t delay_us, event_fn_t *fn)
{
	task_ref_t *ref = g_new(task_ref_t, 1);

	*ref = (task_ref_t){task->life->world, task->serial};
	loop_after(task->life->world, delay_us, fn, ref);
}

/* Returns the task of an event unless it has ended; frees the reference. */
static task_t *
task_of(void *ctx, bool dropped)
{
	task_ref_t *ref = ctx;
	task_t *task =
	    dropped ? NULL
		    : g_hash_table_lookup(ref->world->tasks, &ref->serial);

	g_free(ref);
	return task;
}

/* ---- gangs ---- */

static bool
is_member(const task_t *task, const task_t *other)
{
	return other->run == task->run && other->job == task->job;
}

/* Whether all members of the task's run are present and none is stopping. */
static bool
is_gang_complete(const task_t *task)
{
	const GPtrArray *present = task->unit->present;
	int members = 0;

	for (guint i = 0; i < present->len; i++) {
		const task_t *other = g_ptr_array_index(present, i);

		members += is_member(task, other) && !other->stopping;
	}
	return members == task->job->count;
}

static void
on_broken(void *ctx, bool dropped)
{
	task_t *task = task_of(ctx, dropped);

	if (task != NULL)
		task_end(task, RUN_GANG_BROKEN);
}

static void
break_gang(const task_t *ended)
{
	const GPtrArray *present = ended->unit->present;

	for (guint i = 0; i < present->len; i++) {
		task_t *other = g_ptr_array_index(present, i);

		if (is_member(ended, other))
			task_at(other,
			    once_between(other->life->world, MIN_BROKEN_US,
				MAX_BROKEN_US),
			    on_broken);
	}
}

/* All members of a gang end done at the same time. */
static void
finish_gang(const task_t *task)
{
	const job_t *job = task->job;
	GPtrArray *members = g_ptr_array_copy(task->unit->present, NULL, NULL);
	uint32_t run = task->run;

	for (guint i = 0; i < members->len; i++) {
		task_t *member = g_ptr_array_index(members, i);

		if (member->run == run && member->job == job)
			task_end(member, RUN_DONE);
	}
	g_ptr_array_unref(members);
}

static void
on_worked(void *ctx, bool dropped)
{
	task_t *task = task_of(ctx, dropped);
	world_t *world;

	if (task == NULL || task->stopping)
		return;
	world = task->life->world;
	if (task->job->gang && !is_gang_complete(task))
		return;
	if (world->kinds[KIND_FAIL] && once_chance(world, FAIL_CHANCE))
		task_end(task, RUN_FAILED);
	else if (task->job->gang)
		finish_gang(task);
	else
		task_end(task, RUN_DONE);
}

static void
on_alone(void *ctx, bool dropped)
{
	task_t *task = task_of(ctx, dropped);

	if (task != NULL && !task->stopping && !is_gang_complete(task))
		task_end(task, RUN_GANG_INCOMPLETE);
}

/* ---- single tasks ---- */

/* The worker starts a task that it has accepted. */
void
task_begin(life_t *life, job_t *job, int index, uint32_t run)
{
	world_t *world = life->world;
	task_t *task = g_new0(task_t, 1);

	task->serial = ++world->task_serial;
	task->life = life;
	task->job = job;
	task->unit = check_unit(world, job, index);
	task->index = index;
	task->run = run;
	task->started_us = world->now_us;
	world->starts++;
	story_add(world, job->id, life->id,
	    "%s: run %u of task %d starts, lease until %ld, clock %ld",
	    life->id, run, index, (long)life->lease_end_ms,
	    (long)life_clock_ms(life));
	g_ptr_array_add(life->tasks, task);
	g_hash_table_insert(world->tasks, &task->serial, task);
	check_started(task);
	if (!job->gang || is_gang_complete(task))
		task_at(task, job->duration_us, on_worked);
	if (job->gang)
		task_at(task, GANG_WAIT_US, on_alone);
}

static void
on_stopped(void *ctx, bool dropped)
{
	task_t *task = task_of(ctx, dropped);

	if (task != NULL)
		task_end(task, RUN_STOPPED);
}

/* Stops a task, which takes a while; it is listed as running meanwhile. */
void
task_stop(task_t *task)
{
	if (task->stopping)
		return;
	task->stopping = true;
	task_at(task, once_between(task->life->world, MIN_STOP_US, MAX_STOP_US),
	    on_stopped);
}

/*
 * Removes a task that its worker no longer has. The rest of its gang ends too
 * unless it is done.
 */
void
task_remove(task_t *task, run_outcome_t how)
{
	g_ptr_array_remove(task->unit->present, task);
	if (task->job->gang && how != RUN_DONE)
		break_gang(task);
	g_hash_table_remove(task->life->world->tasks, &task->serial);
}
