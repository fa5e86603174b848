#include "common/clock.h"
#include "tests/unit/once/once.h"

/*
 * One incarnation of a worker: its clock, its lease, its fencing token, its
 * memory of runs that were stopped or ended, and its list of ends.
 */

#define MAX_SMALL_CLOCK_MS 1000
#define MAX_LARGE_CLOCK_MS 1000000
#define MAX_SLOWNESS 0.02
#define NAME_BYTES 64

/* ---- clock and lease ---- */

int64_t
life_clock_ms(const life_t *life)
{
	double elapsed_ms =
	    (double)(life->world->now_us - life->started_us) / ONCE_US_PER_MS;

	return life->clock_base_ms + (int64_t)(elapsed_ms * life->clock_rate);
}

static void
lapse(life_t *life)
{
	life->lease_valid = false;
	life->lapses++;
	story_add(
	    life->world, NULL, life->id, "the lease of %s lapses", life->id);
	while (life->tasks->len > 0)
		task_end(g_ptr_array_index(life->tasks, 0), RUN_LEASE_EXPIRED);
}

static void
on_lease_due(void *ctx, bool dropped)
{
	life_t *life = ctx;

	if (!dropped && life->up && life->lease_valid &&
	    life_clock_ms(life) >= life->lease_end_ms)
		lapse(life);
}

/* Extends the lease, at most to the longest that is allowed. */
static void
extend_lease(life_t *life, int64_t lease_end_ms)
{
	int64_t clock_ms = life_clock_ms(life);
	int64_t end_ms = MIN(lease_end_ms, clock_ms + ONCE_MAX_LEASE_MS);
	double left_ms = (double)(end_ms - clock_ms);

	if (end_ms <= clock_ms || end_ms <= life->lease_end_ms)
		return;
	life->lease_end_ms = end_ms;
	life->lease_valid = true;
	/* One millisecond more, as the clock is rounded down. */
	loop_after(life->world,
	    (int64_t)((left_ms / life->clock_rate + 1) * ONCE_US_PER_MS),
	    on_lease_due, life);
}

/* ---- orders ---- */

/* Returns whether the order is fenced; remembers the highest token. */
static bool
is_fenced(life_t *life, uint64_t fence)
{
	if (fence < life->fence)
		return true;
	life->fence = fence;
	return false;
}

static task_t *
find_task(const life_t *life, const job_t *job, int index, uint32_t run)
{
	for (guint i = 0; i < life->tasks->len; i++) {
		task_t *task = g_ptr_array_index(life->tasks, i);

		if (task->job == job && task->index == index &&
		    task->run == run)
			return task;
	}
	return NULL;
}

static int
free_accelerators(const life_t *life)
{
	int available = ONCE_ACCELERATORS;

	for (guint i = 0; i < life->tasks->len; i++)
		available -= ((const task_t *)g_ptr_array_index(life->tasks, i))
				 ->job->accelerators;
	return available;
}

static uint32_t
remembered_run(const life_t *life, const job_t *job, int index)
{
	char name[NAME_BYTES];

	g_snprintf(name, sizeof(name), "%s.%d", job->id, index);
	return GPOINTER_TO_UINT(g_hash_table_lookup(life->memory, name));
}

/* Starts of this run and of earlier ones are refused from now on. */
static void
remember(life_t *life, const job_t *job, int index, uint32_t run)
{
	if (run > remembered_run(life, job, index))
		g_hash_table_replace(life->memory,
		    g_strdup_printf("%s.%d", job->id, index),
		    GUINT_TO_POINTER(run));
}

order_outcome_t
life_start_task(life_t *life, uint64_t fence, job_t *job, int index,
    uint32_t run, int64_t lease_end_ms)
{
	if (is_fenced(life, fence))
		return ORDER_FENCED;
	if (find_task(life, job, index, run) != NULL) {
		extend_lease(life, lease_end_ms);
		return ORDER_OK;
	}
	if (run <= remembered_run(life, job, index)) {
		extend_lease(life, lease_end_ms);
		return ORDER_STALE_RUN;
	}
	if (lease_end_ms <= life_clock_ms(life))
		return ORDER_LEASE_EXPIRED;
	extend_lease(life, lease_end_ms);
	if (free_accelerators(life) < job->accelerators)
		return ORDER_NO_ROOM;
	task_begin(life, job, index, run);
	return ORDER_OK;
}

order_outcome_t
life_stop_task(
    life_t *life, uint64_t fence, job_t *job, int index, uint32_t run)
{
	task_t *task;

	if (is_fenced(life, fence))
		return ORDER_FENCED;
	task = find_task(life, job, index, run);
	remember(life, job, index, run);
	if (task != NULL)
		task_stop(task);
	return ORDER_OK;
}

static void
forget_ends(life_t *life, uint64_t acknowledged)
{
	while (life->ends->len > 0 &&
	       g_array_index(life->ends, end_t, 0).number <= acknowledged) {
		check_acknowledged(life, &g_array_index(life->ends, end_t, 0));
		g_array_remove_index(life->ends, 0);
	}
}

order_outcome_t
life_poll(
    life_t *life, uint64_t fence, uint64_t acknowledged, int64_t lease_end_ms)
{
	if (is_fenced(life, fence))
		return ORDER_FENCED;
	forget_ends(life, acknowledged);
	extend_lease(life, lease_end_ms);
	return ORDER_OK;
}

/* ---- tasks that end ---- */

/* Lists an end and answers the polls that wait for it. */
static void
add_end(life_t *life, const task_t *task, run_outcome_t how)
{
	end_t end = {.number = life->next_end++,
	    .job = task->job,
	    .unit = task->unit,
	    .index = task->index,
	    .run = task->run,
	    .how = how,
	    .at_us = life->world->now_us,
	    .lapses = life->lapses};

	g_array_append_val(life->ends, end);
	remember(life, task->job, task->index, task->run);
	while (life->waiting->len > 0)
		order_answer_poll(g_ptr_array_remove_index(life->waiting, 0));
}

void
task_end(task_t *task, run_outcome_t how)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};
	life_t *life = task->life;

	story_add(life->world, task->job->id, life->id,
	    "%s: run %u of task %d ends %s as number %lu", life->id, task->run,
	    task->index, names[how], (unsigned long)life->next_end);
	g_ptr_array_remove(life->tasks, task);
	add_end(life, task, how);
	task_remove(task, how);
}

/* ---- life and death ---- */

life_t *
life_create(world_t *world, int slot, const char *id)
{
	life_t *life = g_new0(life_t, 1);

	life->world = world;
	life->slot = slot;
	life->id = g_strdup(id);
	life->born = (uint64_t)clock_real_ms();
	life->up = true;
	life->started_us = world->now_us;
	life->clock_rate = 1 - MAX_SLOWNESS * g_rand_double(world->rand);
	life->clock_base_ms = once_between(world, 1,
	    once_chance(world, 0.5) ? MAX_SMALL_CLOCK_MS : MAX_LARGE_CLOCK_MS);
	life->next_end = 1;
	life->tasks = g_ptr_array_new();
	life->ends = g_array_new(FALSE, TRUE, sizeof(end_t));
	life->memory =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	life->waiting = g_ptr_array_new();
	world->lives[slot] = life;
	g_ptr_array_add(world->all_lives, life);
	story_add(world, NULL, id, "%s starts (slot %d, born %lu, clock %ld)",
	    id, slot, (unsigned long)life->born % 1000000,
	    (long)life->clock_base_ms);
	life_announce_regularly(life);
	return life;
}

/* The worker ends; what ran there ends with it. */
void
life_end(life_t *life, const char *why)
{
	if (!life->up)
		return;
	story_add(life->world, NULL, life->id, "%s ends: %s, %u tasks",
	    life->id, why, life->tasks->len);
	life->up = false;
	life->world->lives[life->slot] = NULL;
	while (life->tasks->len > 0)
		task_remove(
		    g_ptr_array_remove_index(life->tasks, 0), RUN_FAILED);
	while (life->waiting->len > 0)
		order_abort(g_ptr_array_remove_index(life->waiting, 0));
}

void
life_free(void *data)
{
	life_t *life = data;

	g_ptr_array_unref(life->tasks);
	g_ptr_array_unref(life->waiting);
	g_array_unref(life->ends);
	g_hash_table_unref(life->memory);
	g_free(life->id);
	g_free(life);
}
