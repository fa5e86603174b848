#include <stdio.h>
#include <string.h>

#include "tests/unit/once/once.h"

/* One simulated day from its seed to its result. */

#define MIN_SLOTS 8
#define FAULTS_END_US (38 * ONCE_US_PER_S)
#define DAY_US (70 * ONCE_US_PER_S)
/* Shares of the jobs that must be completed, in percent. */
#define MIN_COMPLETED_CALM_PERCENT 95
#define MIN_COMPLETED_PERCENT 30

static void
open_world(world_t *world, guint32 seed, const bool kinds[KIND_COUNT])
{
	memset(world, 0, sizeof(*world));
	world->rand = g_rand_new_with_seed(seed);
	memcpy(world->kinds, kinds, sizeof(world->kinds));
	world->current = ONCE_NO_OWNER;
	world->events = g_sequence_new(NULL);
	world->story = g_ptr_array_new();
	world->all_lives = g_ptr_array_new_with_free_func(life_free);
	world->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	world->units =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unit_free);
	world->tasks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, task_free);
	world->faults_end_us = FAULTS_END_US;
	once_world = world;
}

static void
close_world(world_t *world)
{
	for (int slot = 0; slot < world->slots; slot++) {
		if (world->lives[slot] != NULL)
			life_end(world->lives[slot], "end of the day");
	}
	replica_world_stop(world);
	loop_clear(world);
	once_world = NULL;
	g_sequence_free(world->events);
	g_hash_table_unref(world->tasks);
	g_hash_table_unref(world->units);
	g_hash_table_unref(world->jobs);
	g_ptr_array_unref(world->all_lives);
	story_clear(world);
	g_free(world->failed_job);
	g_rand_free(world->rand);
}

static void
play(world_t *world)
{
	replica_world_start(world);
	load_configure(world);
	world->slots = (int)once_between(world, MIN_SLOTS, ONCE_MAX_SLOTS + 1);
	for (int slot = 0; slot < world->slots; slot++)
		slot_start(world, slot);
	load_plan(world);
	faults_plan(world);
	loop_run(world, DAY_US);
}

static int
count_completed(world_t *world)
{
	GHashTableIter iter;
	gpointer value;
	int completed = 0;

	g_hash_table_iter_init(&iter, world->units);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		completed += ((unit_t *)value)->noted_done_us != 0;
	return completed;
}

/* Guards against a day on which nothing happens. */
static void
check_progress(world_t *world, const once_result_t *result)
{
	int percent = MIN_COMPLETED_CALM_PERCENT;

	for (int kind = 0; kind < KIND_COUNT; kind++) {
		if (world->kinds[kind])
			percent = MIN_COMPLETED_PERCENT;
	}
	if (result->completed * 100 < result->units * percent)
		check_fail(world, NULL, "only %d of %d units were done",
		    result->completed, result->units);
}

/*
 * Plays a day. With recording, a failed day prints what happened to the unit
 * that failed.
 */
once_result_t
once_run_day(guint32 seed, const bool kinds[KIND_COUNT], bool recording)
{
	once_result_t result;
	world_t world;

	open_world(&world, seed, kinds);
	world.recording = recording;
	play(&world);
	result.units = (int)g_hash_table_size(world.units);
	result.completed = count_completed(&world);
	result.starts = world.starts;
	check_progress(&world, &result);
	result.failure =
	    world.failure != NULL
		? g_strdup_printf("%.3f s: %s",
		      (double)world.now_us / ONCE_US_PER_S, world.failure)
		: NULL;
	if (recording)
		story_print(&world);
	g_free(world.failure);
	world.failure = NULL;
	close_world(&world);
	return result;
}
