#include <stdarg.h>
#include <string.h>

#include "sched/fleet_private.h"
#include "tests/unit/once/once.h"

/*
 * The checks, made at the workers over all incarnations: no two runs of a unit
 * at the same time, no start after an acknowledged success, and no start that
 * is not committed.
 */

#define KEY_BYTES 64

/* Ends the day with a failed check. */
void
check_fail(world_t *world, const char *job, const char *format, ...)
{
	va_list args;

	if (world->failure != NULL)
		return;
	va_start(args, format);
	world->failure = g_strdup_vprintf(format, args);
	va_end(args);
	world->failed_job = g_strdup(job);
	story_add(world, job, NULL, "FAILED: %s", world->failure);
}

void
unit_free(void *data)
{
	unit_t *unit = data;

	g_ptr_array_unref(unit->present);
	g_free(unit->key);
	g_free(unit);
}

static unit_t *
unit_of_key(world_t *world, const char *key)
{
	unit_t *unit = g_hash_table_lookup(world->units, key);

	if (unit != NULL)
		return unit;
	unit = g_new0(unit_t, 1);
	unit->key = g_strdup(key);
	unit->present = g_ptr_array_new();
	g_hash_table_insert(world->units, unit->key, unit);
	return unit;
}

/* Returns the unit of a task: its whole gang, or the task alone. */
unit_t *
check_unit(world_t *world, const job_t *job, int index)
{
	char key[KEY_BYTES];

	g_snprintf(key, sizeof(key), "%s.%d", job->id, job->gang ? 0 : index);
	return unit_of_key(world, key);
}

/* Checks a task that its worker has just started. */
void
check_started(task_t *task)
{
	unit_t *unit = task->unit;
	world_t *world = task->life->world;

	for (guint i = 0; i < unit->present->len; i++) {
		const task_t *other = g_ptr_array_index(unit->present, i);

		if (other->run != task->run)
			check_fail(world, task->job->id,
			    "two runs of %s at the same time: run %u of task "
			    "%d starts on %s, run %u of task %d runs on %s",
			    unit->key, task->run, task->index, task->life->id,
			    other->run, other->index, other->life->id);
	}
	if (unit->noted_done_us != 0)
		check_fail(world, task->job->id,
		    "run %u of %s starts on %s after an acknowledged success",
		    task->run, unit->key, task->life->id);
	if (task->run > unit->committed_run)
		check_fail(world, task->job->id,
		    "run %u of %s starts on %s, but the last committed is %u",
		    task->run, unit->key, task->life->id, unit->committed_run);
	unit->last_start_us = world->now_us;
	g_ptr_array_add(unit->present, task);
}

/*
 * Takes note of an end that its worker forgets. A success counts unless the
 * worker's lease has lapsed since.
 */
void
check_acknowledged(life_t *life, const end_t *end)
{
	unit_t *unit = end->unit;

	if (end->how != RUN_DONE || end->lapses != life->lapses)
		return;
	if (unit->noted_done_us == 0 || end->at_us < unit->noted_done_us)
		unit->noted_done_us = end->at_us;
	if (unit->last_start_us > end->at_us)
		check_fail(life->world, end->job->id,
		    "run %u of %s was done on %s before a later start and is "
		    "acknowledged after it",
		    end->run, unit->key, life->id);
}

/* Notes the starts and jobs of a committed command. */
void
check_committed(world_t *world, const command_t *command)
{
	const fleet_events_t *events = &command->command_t_u.fleet_events;

	if (command->kind == COMMAND_BATCH_SUBMIT) {
		job_t *job = g_hash_table_lookup(
		    world->jobs, command->command_t_u.batch_submit.id);

		job->committed = true;
	}
	if (command->kind != COMMAND_FLEET_EVENTS)
		return;
	for (u_int i = 0; i < events->starts.starts_len; i++) {
		const unit_start_t *start = &events->starts.starts_val[i];
		const job_t *job =
		    g_hash_table_lookup(world->jobs, start->unit.job);
		unit_t *unit = check_unit(world, job, start->unit.unit);

		if (job->committed)
			unit->committed_run =
			    MAX(unit->committed_run, start->run);
	}
}

/*
 * Checks that each run whose start is not committed waits for a proposal that
 * is queued or in flight: any other one would hold its place for ever.
 */
void
check_runs_owned(world_t *world, const fleet_t *fleet)
{
	for (guint i = 0; i < fleet->runs->len; i++) {
		const run_t *run = g_ptr_array_index(fleet->runs, i);

		if (!run->start_committed && !run->start_undecided)
			check_fail(world, run->job,
			    "run %u of step %d holds its place, and no "
			    "proposal has its start",
			    run->number, run->name.step);
	}
}
