#include <string.h>

#include "tests/unit/once/once.h"

/*
 * The network between instances and workers. Orders name a worker's id and
 * address; connections are not ordered, and an order without an answer may
 * still be carried out, also by the next incarnation under that id.
 */

#define FAST_MIN_US 200
#define FAST_MAX_US 3000
#define SLOW_MAX_US (900 * ONCE_US_PER_MS)
#define LATE_MIN_US (2 * ONCE_US_PER_S)
#define LATE_MAX_US (12 * ONCE_US_PER_S)
#define MAX_LISTED_ENDS 500
/* Shortens names in the story: last digits of a birth, end of a job's id. */
#define SHOWN_BORN 1000000
#define SHOWN_JOB 10

typedef enum {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL,
} order_kind_t;

static const char *const kind_names[] = {"start", "stop", "poll"};
static const char *const outcome_names[] = {"ok", "fence", "old", "late",
    "room", "ticket", "unhealthy", "invalid", "other incarnation", "no answer"};

struct order_t {
	world_t *world;
	int references;
	int instance;
	int generation; /* of the instance: its successor gets no answer */
	order_kind_t kind;
	int slot;
	char *worker;
	uint64_t fence;
	job_t *job;
	int index;
	uint32_t run;
	int64_t lease_end_ms;
	uint64_t acknowledged;
	int64_t wait_ms;
	order_done_t *done;
	void *ctx;
	bool finished;    /* done was called */
	bool answer_lost; /* carried out, but nobody hears of it */
	life_t *waits_at; /* a poll that waits for an end */
	order_answer_t answer;
	running_task_t *running;
	ended_task_t *ended;
};

static void
release(order_t *order)
{
	if (--order->references > 0)
		return;
	g_free(order->worker);
	g_free(order->running);
	g_free(order->ended);
	g_free(order);
}

static void
tell(const order_t *order, const char *what)
{
	const world_t *world = order->world;

	if (!world->recording)
		return;
	story_add(order->world, order->job != NULL ? order->job->id : NULL,
	    order->worker,
	    "%s %s by i%d to %s (run %u of task %d, fence %u, until %ld, "
	    "acknowledges %lu)",
	    kind_names[order->kind], what, order->instance, order->worker,
	    order->run, order->index, (unsigned)order->fence,
	    (long)order->lease_end_ms, (unsigned long)order->acknowledged);
}

/* ---- answers ---- */

static void
finish(order_t *order, const order_answer_t *answer)
{
	if (order->finished)
		return;
	order->finished = true;
	tell(order, outcome_names[answer->outcome]);
	order->done(order->ctx, answer);
}

static void
on_answer_arrives(void *ctx, bool dropped)
{
	order_t *order = ctx;

	if (!dropped)
		finish(order, &order->answer);
	release(order);
}

static void
on_timeout(void *ctx, bool dropped)
{
	order_t *order = ctx;
	order_answer_t answer = {.outcome = ORDER_NO_ANSWER};

	if (!dropped)
		finish(order, &answer);
	release(order);
}

static int64_t
travel_us(world_t *world)
{
	if (once_chance(world, world->chance[KIND_SLOW]))
		return once_between(world, FAST_MAX_US, SLOW_MAX_US);
	return once_between(world, FAST_MIN_US, FAST_MAX_US);
}

static void
send_answer(order_t *order)
{
	world_t *world = order->world;

	if (order->answer_lost ||
	    world->instances[order->instance].generation != order->generation ||
	    (order->slot >= 0 &&
		world->cut_from_us[order->instance][order->slot] >
		    world->now_us))
		return;
	order->references++;
	loop_at(world, world->now_us + travel_us(world), order->instance,
	    on_answer_arrives, order);
}

/* The connection breaks, which the sender notices. */
void
order_abort(order_t *order)
{
	order->waits_at = NULL;
	order->answer.outcome = ORDER_NO_ANSWER;
	send_answer(order);
}

static task_name_t
name_of(const job_t *job, int index)
{
	return (task_name_t){.job = job->id, .index = index};
}

static void
list_tasks(order_t *order, const life_t *life)
{
	order->running = g_new0(running_task_t, life->tasks->len);
	for (guint i = 0; i < life->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(life->tasks, i);

		order->running[i] =
		    (running_task_t){.task = name_of(task->job, task->index),
			.run = task->run,
			.checkpoint = "",
			.percent = 1};
	}
	order->answer.running = order->running;
	order->answer.running_count = life->tasks->len;
}

static void
list_ends(order_t *order, const life_t *life)
{
	size_t count = MIN(life->ends->len, MAX_LISTED_ENDS);

	order->ended = g_new0(ended_task_t, count);
	for (size_t i = 0; i < count; i++) {
		const end_t *end = &g_array_index(life->ends, end_t, i);

		order->ended[i] = (ended_task_t){.number = end->number,
		    .task = name_of(end->job, end->index),
		    .run = end->run,
		    .how = end->how,
		    .checkpoint = ""};
	}
	order->answer.ended = order->ended;
	order->answer.ended_count = count;
}

static void
tell_lists(const order_t *order, const life_t *life)
{
	const order_answer_t *answer = &order->answer;
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "%s (born %lu, clock %ld) lists to i%d:", life->id,
	    (unsigned long)life->born % SHOWN_BORN, (long)answer->clock_ms,
	    order->instance);
	for (size_t i = 0; i < answer->running_count; i++)
		g_string_append_printf(text, " %s.%d/%u",
		    answer->running[i].task.job + SHOWN_JOB,
		    answer->running[i].task.index, answer->running[i].run);
	for (size_t i = 0; i < answer->ended_count; i++)
		g_string_append_printf(text, " end %lu %s.%d/%u=%d",
		    (unsigned long)answer->ended[i].number,
		    answer->ended[i].task.job + SHOWN_JOB,
		    answer->ended[i].task.index, answer->ended[i].run,
		    (int)answer->ended[i].how);
	story_add(order->world, NULL, life->id, "%s", text->str);
	g_string_free(text, TRUE);
}

/* Answers a poll with what the worker holds now. */
static void
answer_with_lists(order_t *order, const life_t *life)
{
	order->answer.outcome = ORDER_OK;
	order->answer.clock_ms = life_clock_ms(life);
	order->answer.born = life->born;
	list_tasks(order, life);
	list_ends(order, life);
	if (order->world->recording)
		tell_lists(order, life);
	send_answer(order);
}

/* Answers a poll that waits; the worker no longer refers to it then. */
void
order_answer_poll(order_t *order)
{
	life_t *life = order->waits_at;

	order->waits_at = NULL;
	answer_with_lists(order, life);
}

static void
on_wait_over(void *ctx, bool dropped)
{
	order_t *order = ctx;

	if (!dropped && order->waits_at != NULL) {
		g_ptr_array_remove(order->waits_at->waiting, order);
		order_answer_poll(order);
	}
	release(order);
}

/* ---- carrying out ---- */

static void
carry_out_poll(order_t *order, life_t *life)
{
	order->answer.outcome = life_poll(
	    life, order->fence, order->acknowledged, order->lease_end_ms);
	if (order->answer.outcome != ORDER_OK) {
		send_answer(order);
		return;
	}
	if (order->wait_ms == 0 || life->ends->len > 0) {
		answer_with_lists(order, life);
		return;
	}
	order->waits_at = life;
	order->references++; /* of the timer, which outlasts life->waiting */
	g_ptr_array_add(life->waiting, order);
	loop_after(
	    order->world, order->wait_ms * ONCE_US_PER_MS, on_wait_over, order);
}

static void
carry_out(order_t *order, life_t *life)
{
	world_t *world = order->world;

	order->answer.clock_ms = life_clock_ms(life);
	if (strcmp(life->id, order->worker) != 0) {
		order->answer.outcome = ORDER_OTHER_INCARNATION;
		send_answer(order);
		return;
	}
	if (world->now_us < life->unhealthy_until_us &&
	    order->kind == ORDER_START) {
		order->answer.outcome = ORDER_UNHEALTHY;
		send_answer(order);
		return;
	}
	if (order->kind == ORDER_POLL) {
		carry_out_poll(order, life);
		return;
	}
	if (order->kind == ORDER_START)
		order->answer.outcome = life_start_task(life, order->fence,
		    order->job, order->index, order->run, order->lease_end_ms);
	else
		order->answer.outcome = life_stop_task(
		    life, order->fence, order->job, order->index, order->run);
	send_answer(order);
}

static void
on_order_arrives(void *ctx, bool dropped)
{
	order_t *order = ctx;
	life_t *life =
	    order->slot >= 0 ? order->world->lives[order->slot] : NULL;

	if (dropped) {
		release(order);
		return;
	}
	if (life == NULL) {
		order->answer.outcome = ORDER_NO_ANSWER;
		send_answer(order);
	} else {
		if (order->kind != ORDER_POLL || order->answer_lost)
			tell(order, order->answer_lost
					? "is carried out without an answer"
					: "arrives");
		carry_out(order, life);
	}
	release(order);
}

/* ---- sending ---- */

/* Decides about an order: lost, late or delivered after a while. */
static void
deliver(order_t *order)
{
	world_t *world = order->world;
	int64_t delay_us = travel_us(world);

	if (order->slot >= 0 &&
	    world->cut_to_us[order->instance][order->slot] > world->now_us)
		return;
	if (once_chance(world, world->chance[KIND_LOSS]))
		return;
	if (once_chance(world, world->chance[KIND_ANSWER_LOST]))
		order->answer_lost = true;
	if (once_chance(world, world->chance[KIND_LATE])) {
		order->answer_lost = true;
		delay_us = once_between(world, LATE_MIN_US, LATE_MAX_US);
	}
	order->references++;
	loop_after(world, delay_us, on_order_arrives, order);
}

static order_t *
order_create(instance_t *instance, order_kind_t kind,
    const order_target_t *target, const task_name_t *task, order_done_t *done,
    void *ctx)
{
	world_t *world = instance->world;
	order_t *order = g_new0(order_t, 1);

	order->world = world;
	order->references = 1;
	order->instance = instance->index;
	order->generation = instance->generation;
	order->kind = kind;
	order->slot =
	    target->worker->address[0] != '\0' ? target->worker->port : -1;
	order->worker = g_strdup(target->worker->id);
	order->fence = target->fence;
	if (task != NULL) {
		order->job = g_hash_table_lookup(world->jobs, task->job);
		order->index = task->index;
	}
	order->done = done;
	order->ctx = ctx;
	return order;
}

/* Sends the order; the timeout owns the first reference. */
static void
dispatch(order_t *order, const order_target_t *target)
{
	world_t *world = order->world;

	if (order->kind != ORDER_POLL)
		tell(order, "is sent");
	loop_at(world, world->now_us + target->timeout_ms * ONCE_US_PER_MS,
	    order->instance, on_timeout, order);
	deliver(order);
}

static void
send_start(void *ctx, const order_target_t *target, const start_order_t *start,
    order_done_t *done, void *done_ctx)
{
	order_t *order = order_create(
	    ctx, ORDER_START, target, &start->task, done, done_ctx);

	order->run = start->run;
	order->lease_end_ms = start->lease_end_ms;
	dispatch(order, target);
}

static void
send_stop(void *ctx, const order_target_t *target, const task_name_t *task,
    uint32_t run, order_done_t *done, void *done_ctx)
{
	order_t *order =
	    order_create(ctx, ORDER_STOP, target, task, done, done_ctx);

	order->run = run;
	dispatch(order, target);
}

static void
send_poll(void *ctx, const order_target_t *target, const poll_order_t *poll,
    order_done_t *done, void *done_ctx)
{
	order_t *order =
	    order_create(ctx, ORDER_POLL, target, NULL, done, done_ctx);

	order->acknowledged = poll->acknowledged;
	order->lease_end_ms = poll->lease_end_ms;
	order->wait_ms = poll->wait_ms;
	dispatch(order, target);
}

order_transport_t
orders_transport(instance_t *instance)
{
	return (order_transport_t){.start = send_start,
	    .stop = send_stop,
	    .poll = send_poll,
	    .ctx = instance};
}
