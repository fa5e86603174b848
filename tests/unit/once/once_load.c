#include "common/clock.h"
#include "rpc/codec.h"
#include "tests/unit/once/once.h"

/* The jobs of a day: gangs and independent tasks of two priorities. */

#define LOAD_US (36 * ONCE_US_PER_S)
#define MIN_INTERVAL_US (200 * ONCE_US_PER_MS)
#define MAX_INTERVAL_US (700 * ONCE_US_PER_MS)
#define MIN_DURATION_US (300 * ONCE_US_PER_MS)
#define MAX_DURATION_US (8 * ONCE_US_PER_S)
#define MAX_ATTEMPTS 3
#define GANG_CHANCE 0.6
#define URGENT_CHANCE 0.3
#define CANCEL_CHANCE 0.1
#define MAX_GANG 7
#define MAX_TASKS 4

void
job_free(void *data)
{
	job_t *job = data;

	g_free(job->id);
	g_free(job);
}

/* ---- commands ---- */

static fleet_queue_t
make_queue(const char *name, int priority)
{
	return (fleet_queue_t){
	    .name = (char *)name,
	    .host = (char *)"h",
	    .path_prefix = (char *)name,
	    .service = (char *)"svc",
	    .priority = priority,
	    .max_attempts = MAX_ATTEMPTS,
	    .target_latency_ms = 1000,
	    .stretch_milli = 1500,
	    .timeout_ms = 3000,
	    .anonymous = TRUE,
	};
}

/* Proposes the configuration with its two queues. */
void
load_configure(world_t *world)
{
	fleet_queue_t queues[] = {
	    make_queue("urgent", 0), make_queue("batch", 1)};
	fleet_tenant_t tenants[] = {
	    {.name = (char *)"hall", .guaranteed_accelerators = 16},
	};
	command_t command = {.kind = COMMAND_FLEET_CONFIG};

	command.command_t_u.fleet_config = (fleet_config_t){.number = 1,
	    .queues = {G_N_ELEMENTS(queues), queues},
	    .tenants = {G_N_ELEMENTS(tenants), tenants}};
	client_propose(world, codec_encode_command(&command));
}

static void
submit(world_t *world, const job_t *job)
{
	command_t command = {.kind = COMMAND_BATCH_SUBMIT};
	step_spec_t step = {.count = job->count,
	    .shape = {1000, 1000, job->accelerators},
	    .gang = job->gang,
	    .estimate_ms = (int)(job->duration_us / ONCE_US_PER_MS),
	    .label = (char *)"",
	    .data_rack = (char *)"",
	    .image = (char *)""};

	command.command_t_u.batch_submit = (batch_submit_t){
	    .id = job->id,
	    .queue = (char *)job->queue,
	    .tenant = (char *)"hall",
	    .submitted_ms = clock_real_ms(),
	    .spec = {.payload = {4, (char *)"spec"}, .steps = {1, &step}},
	};
	client_propose(world, codec_encode_command(&command));
}

typedef struct {
	world_t *world;
	job_t *job;
} job_event_t;

static void
on_cancel(void *ctx, bool dropped)
{
	job_event_t *event = ctx;
	command_t command = {.kind = COMMAND_BATCH_CANCEL};

	command.command_t_u.batch_cancel = event->job->id;
	if (!dropped) {
		story_add(event->world, event->job->id, NULL, "cancelled");
		client_propose(event->world, codec_encode_command(&command));
	}
	g_free(event);
}

static void
cancel_later(world_t *world, job_t *job)
{
	job_event_t *event = g_new0(job_event_t, 1);

	*event = (job_event_t){world, job};
	loop_after(world,
	    once_between(world, ONCE_US_PER_S / 10, 8 * ONCE_US_PER_S),
	    on_cancel, event);
}

/* ---- jobs ---- */

static job_t *
draw_job(world_t *world)
{
	job_t *job = g_new0(job_t, 1);

	job->id = g_strdup_printf(
	    "%016x", (unsigned)g_hash_table_size(world->jobs) + 1);
	job->gang = once_chance(world, GANG_CHANCE);
	job->count = job->gang ? (int)once_between(world, 2, MAX_GANG + 1)
			       : (int)once_between(world, 1, MAX_TASKS + 1);
	job->accelerators = (int)once_between(world, 1, ONCE_ACCELERATORS + 1);
	if (once_chance(world, 0.5))
		job->accelerators = (job->accelerators + 1) / 2;
	job->duration_us = once_between(world, MIN_DURATION_US,
	    once_chance(world, 0.5) ? MAX_DURATION_US : MAX_DURATION_US / 4);
	job->queue = once_chance(world, URGENT_CHANCE) ? "urgent" : "batch";
	return job;
}

static void
on_job_due(void *ctx, bool dropped)
{
	world_t *world = ctx;
	job_t *job;

	if (dropped || world->now_us > LOAD_US)
		return;
	job = draw_job(world);
	g_hash_table_insert(world->jobs, job->id, job);
	story_add(world, job->id, NULL, "submitted: %s of %d, %s",
	    job->gang ? "gang" : "tasks", job->count, job->queue);
	submit(world, job);
	if (world->kinds[KIND_CANCEL] && once_chance(world, CANCEL_CHANCE))
		cancel_later(world, job);
	loop_after(world, once_between(world, MIN_INTERVAL_US, MAX_INTERVAL_US),
	    on_job_due, world);
}

/* Submits jobs throughout the first part of the day. */
void
load_plan(world_t *world)
{
	loop_after(world, 3 * ONCE_US_PER_S, on_job_due, world);
}
