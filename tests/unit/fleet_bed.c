#include "tests/unit/fleet_bed.h"

#include <check.h>
#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "rpc/codec.h"

#define DELIVERY_INTERVAL_S 0.0001  /* several in a millisecond */
#define CLOCK_BASE_MS 100000        /* offset of a worker's first clock */
#define CLOCK_RESTART_MS 10000      /* a clock that starts anew is behind */
#define ORDER_TIMEOUT_MS 120        /* an order without an answer ends then */
#define ANNOUNCE_INTERVAL_MS 100000 /* announcements are made by the tests */
#define DEADLINE_MS 10000
#define STALE_POLL_MS 2 /* delay of the answer of a stale poll */
#define MAX_LISTED 64   /* tasks or ends in the answer of a poll */

typedef enum {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL,
} order_kind_t;

typedef struct {
	bed_t *bed;
	order_kind_t kind;
	char *worker;
	char *job;
	task_name_t task;
	uint32_t run;
	uint64_t fence;
	int64_t lease_end_ms;
	uint64_t acknowledged;
	int64_t until_ms; /* a poll waits, or an order times out, until then */
	bool lost;
	GArray *snapshot; /* running_task_t as of the sending, or NULL */
	order_done_t *done;
	void *ctx;
} order_t;

typedef struct {
	uint64_t number;
	char *job;
	task_name_t task;
	uint32_t run;
	run_outcome_t how;
} bed_end_t;

/* ---- workers ---- */

static int64_t
worker_now_ms(const bed_worker_t *worker)
{
	return clock_mono_ms() + worker->clock_base_ms;
}

/* Extends the lease; a longer one than allowed is shortened. */
static void
extend_lease(bed_worker_t *worker, int64_t lease_end_ms)
{
	worker->lease_end_ms = MAX(worker->lease_end_ms,
	    MIN(lease_end_ms, worker_now_ms(worker) + BED_LEASE_MS));
}

static bed_worker_t *
find_worker(bed_t *bed, const char *id)
{
	for (size_t i = 0; i < bed->worker_count; i++) {
		if (strcmp(bed->workers[i].info.id, id) == 0)
			return &bed->workers[i];
	}
	return NULL;
}

static void
free_task(void *data)
{
	bed_task_t *task = data;

	g_free(task->job);
	g_free(task);
}

/* Returns the name of a task as text, to be freed. */
static char *
task_text(const task_name_t *task)
{
	return g_strdup_printf("%s.%d.%d.%d", task->job, task->occurrence,
	    task->step, task->index);
}

static bool
has_name(const bed_task_t *a, const task_name_t *b)
{
	return a->task.index == b->index && a->task.step == b->step &&
	       a->task.occurrence == b->occurrence &&
	       strcmp(a->job, b->job) == 0;
}

/* Returns the highest run of the task that has ended or was stopped here. */
static uint32_t
refused_run(const bed_worker_t *worker, const task_name_t *task)
{
	char *name = task_text(task);
	gpointer run = g_hash_table_lookup(worker->refused, name);

	g_free(name);
	return GPOINTER_TO_UINT(run);
}

/* The worker refuses runs of the task that are not higher from now on. */
static void
refuse_runs(bed_worker_t *worker, const task_name_t *task, uint32_t run)
{
	if (refused_run(worker, task) < run)
		g_hash_table_replace(
		    worker->refused, task_text(task), GUINT_TO_POINTER(run));
}

static void
end_task(bed_worker_t *worker, guint i, run_outcome_t how)
{
	const bed_task_t *task = g_ptr_array_index(worker->tasks, i);
	bed_end_t end = {
	    .number = worker->next_end++,
	    .job = g_strdup(task->job),
	    .task = task->task,
	    .run = task->run,
	    .how = how,
	};

	end.task.job = end.job;
	refuse_runs(worker, &end.task, end.run);
	g_array_append_val(worker->ends, end);
	g_ptr_array_remove_index(worker->tasks, i);
}

static void
end_tasks_if_lease_expired(bed_worker_t *worker)
{
	if (worker_now_ms(worker) <= worker->lease_end_ms)
		return;
	while (worker->tasks->len > 0)
		end_task(worker, 0, RUN_LEASE_EXPIRED);
}

static bool
runs_elsewhere(bed_t *bed, const task_name_t *task)
{
	for (size_t i = 0; i < bed->worker_count; i++) {
		end_tasks_if_lease_expired(&bed->workers[i]);
		for (guint t = 0; t < bed->workers[i].tasks->len; t++) {
			if (has_name(
				g_ptr_array_index(bed->workers[i].tasks, t),
				task))
				return true;
		}
	}
	return false;
}

static order_outcome_t
start_task(bed_worker_t *worker, const order_t *order)
{
	bed_task_t *task;

	extend_lease(worker, order->lease_end_ms);
	for (guint i = 0; i < worker->tasks->len; i++) {
		task = g_ptr_array_index(worker->tasks, i);
		if (has_name(task, &order->task) && task->run == order->run)
			return ORDER_OK;
	}
	if (refused_run(worker, &order->task) >= order->run)
		return ORDER_STALE_RUN;
	if (order->lease_end_ms < worker_now_ms(worker))
		return ORDER_LEASE_EXPIRED;
	if (runs_elsewhere(order->bed, &order->task))
		order->bed->duplicate_run = true;
	task = g_new0(bed_task_t, 1);
	task->job = g_strdup(order->job);
	task->task = order->task;
	task->task.job = task->job;
	task->run = order->run;
	g_ptr_array_add(worker->tasks, task);
	worker->starts++;
	if (worker->fails_tasks)
		end_task(worker, worker->tasks->len - 1, RUN_FAILED);
	return ORDER_OK;
}

static void
stop_task(bed_worker_t *worker, const order_t *order)
{
	worker->stops++;
	for (guint i = 0; i < worker->tasks->len; i++) {
		const bed_task_t *task = g_ptr_array_index(worker->tasks, i);

		if (has_name(task, &order->task) && task->run == order->run) {
			end_task(worker, i, RUN_STOPPED);
			return;
		}
	}
	/* A start of the run that arrives later is refused. */
	refuse_runs(worker, &order->task, order->run);
}

/* Forgets acknowledged ends. */
static void
forget_ends(bed_worker_t *worker, uint64_t acknowledged)
{
	guint count = 0;

	while (count < worker->ends->len &&
	       g_array_index(worker->ends, bed_end_t, count).number <=
		   acknowledged) {
		g_free(g_array_index(worker->ends, bed_end_t, count).job);
		count++;
	}
	g_array_remove_range(worker->ends, 0, count);
}

/* Renews the lease and forgets what the poll acknowledges. */
static void
execute_poll(bed_worker_t *worker, const order_t *order)
{
	extend_lease(worker, order->lease_end_ms);
	forget_ends(worker, order->acknowledged);
}

static running_task_t
describe_task(const bed_worker_t *worker, guint i)
{
	const bed_task_t *task = g_ptr_array_index(worker->tasks, i);

	return (running_task_t){.task = task->task,
	    .run = task->run,
	    .checkpoint = "",
	    .percent = worker->percent,
	    .load = worker->load != NULL ? worker->load(worker, task) : 0};
}

static void
answer_poll(bed_worker_t *worker, const order_t *order)
{
	running_task_t running[MAX_LISTED] = {0};
	ended_task_t ended[MAX_LISTED] = {0};
	guint max_ends =
	    worker->max_listed_ends != 0 ? worker->max_listed_ends : MAX_LISTED;
	order_answer_t answer = {
	    .outcome = ORDER_OK,
	    .clock_ms = worker_now_ms(worker),
	    .born = worker->info.born,
	    .running = running,
	    .ended = ended,
	    .more_ends = worker->ends->len >= max_ends,
	};

	if (worker->forged_poll != NULL) {
		order->done(order->ctx, worker->forged_poll);
		return;
	}
	if (order->snapshot != NULL) {
		answer.running =
		    (const running_task_t *)(void *)order->snapshot->data;
		answer.running_count = order->snapshot->len;
	}
	for (guint i = 0; order->snapshot == NULL && i < worker->tasks->len &&
			  i < MAX_LISTED;
	     i++)
		running[answer.running_count++] = describe_task(worker, i);
	for (guint i = 0; i < MIN(worker->ends->len, max_ends); i++) {
		const bed_end_t *end =
		    &g_array_index(worker->ends, bed_end_t, i);

		ended[answer.ended_count++] = (ended_task_t){
		    end->number, end->task, end->run, end->how, ""};
	}
	order->done(order->ctx, &answer);
}

/* ---- orders ---- */

static void
free_order(void *data)
{
	order_t *order = data;

	if (order->snapshot != NULL)
		g_array_unref(order->snapshot);
	g_free(order->worker);
	g_free(order->job);
	g_free(order);
}

/* Answers an order; worker may be NULL if there is no answer. */
static void
answer(
    const order_t *order, const bed_worker_t *worker, order_outcome_t outcome)
{
	order_answer_t answer = {.outcome = outcome};

	if (outcome != ORDER_NO_ANSWER)
		answer.clock_ms = worker_now_ms(worker);
	order->done(order->ctx, &answer);
}

/* Keeps a copy of an order that the worker executes later, unanswered. */
static void
delay_order(bed_t *bed, const order_t *order)
{
	order_t *copy = g_new0(order_t, 1);

	*copy = *order;
	copy->worker = g_strdup(order->worker);
	copy->job = g_strdup(order->job);
	copy->task.job = copy->job;
	g_queue_push_tail(&bed->delayed_orders, copy);
}

void
bed_deliver_delayed(bed_t *bed)
{
	order_t *order;

	while ((order = g_queue_pop_head(&bed->delayed_orders)) != NULL) {
		bed_worker_t *worker = find_worker(bed, order->worker);

		end_tasks_if_lease_expired(worker);
		if (order->fence < worker->fence)
			bed->fenced_orders++;
		else if (order->kind == ORDER_START)
			start_task(worker, order);
		else
			execute_poll(worker, order);
		free_order(order);
	}
}

/* Whether an order of the kind is to be delayed; counts it. */
static bool
takes_delay(bed_worker_t *worker, order_kind_t kind)
{
	int none = 0;
	int *left = kind == ORDER_START  ? &worker->delayed_starts
		    : kind == ORDER_POLL ? &worker->delayed_polls
					 : &none;

	if (*left <= 0)
		return false;
	(*left)--;
	return true;
}

/* Executes an order; returns false if its answer is still due. */
static bool
deliver_order(bed_t *bed, order_t *order)
{
	bed_worker_t *worker = find_worker(bed, order->worker);
	order_outcome_t outcome = ORDER_OK;

	if (worker != NULL && worker->loses_starts &&
	    order->kind == ORDER_START)
		order->lost = true;
	if (worker == NULL || worker->unreachable || worker->refuses ||
	    order->lost) {
		if ((worker == NULL || !worker->refuses) &&
		    clock_mono_ms() < order->until_ms)
			return false;
		if (worker != NULL && order->kind == ORDER_POLL)
			worker->unanswered_polls++;
		answer(order, worker, ORDER_NO_ANSWER);
		return true;
	}
	end_tasks_if_lease_expired(worker);
	if (worker->answers_as_other_incarnation) {
		worker->wrong_incarnation_starts += order->kind == ORDER_START;
		answer(order, worker, ORDER_OTHER_INCARNATION);
		return true;
	}
	if (order->fence < worker->fence) {
		answer(order, worker, ORDER_FENCED);
		return true;
	}
	if (order->kind == ORDER_START && worker->slow_refusals) {
		if (clock_mono_ms() < order->until_ms)
			return false;
		answer(order, worker, ORDER_UNHEALTHY);
		return true;
	}
	if (takes_delay(worker, order->kind)) {
		delay_order(bed, order);
		order->lost = true;
		return false;
	}
	worker->fence = order->fence;
	if (order->kind == ORDER_POLL) {
		execute_poll(worker, order);
		if ((worker->ends->len == 0 || order->snapshot != NULL) &&
		    clock_mono_ms() < order->until_ms)
			return false;
		answer_poll(worker, order);
		return true;
	}
	if (order->kind == ORDER_START)
		outcome = start_task(worker, order);
	else
		stop_task(worker, order);
	if (worker->drops_start_answers && order->kind == ORDER_START) {
		order->lost = true;
		return false;
	}
	answer(order, worker, outcome);
	return true;
}

static void
on_delivery_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	bed_t *bed = watcher->data;
	guint count = bed->orders.length;

	for (guint i = 0; i < count; i++) {
		order_t *order = g_queue_pop_head(&bed->orders);

		if (deliver_order(bed, order))
			free_order(order);
		else
			g_queue_push_tail(&bed->orders, order);
	}
}

static order_t *
add_order(bed_t *bed, order_kind_t kind, const order_target_t *target,
    const task_name_t *task, order_done_t *done, void *ctx)
{
	order_t *order = g_new0(order_t, 1);

	order->bed = bed;
	order->kind = kind;
	order->worker = g_strdup(target->worker->id);
	if (task != NULL) {
		order->job = g_strdup(task->job);
		order->task = *task;
		order->task.job = order->job;
	}
	order->fence = target->fence;
	order->until_ms = clock_mono_ms() + ORDER_TIMEOUT_MS;
	order->done = done;
	order->ctx = ctx;
	g_queue_push_tail(&bed->orders, order);
	return order;
}

static void
send_start(void *ctx, const order_target_t *target, const start_order_t *start,
    order_done_t *done, void *done_ctx)
{
	order_t *order =
	    add_order(ctx, ORDER_START, target, &start->task, done, done_ctx);

	order->run = start->run;
	order->lease_end_ms = start->lease_end_ms;
}

static void
send_stop(void *ctx, const order_target_t *target, const task_name_t *task,
    uint32_t run, order_done_t *done, void *done_ctx)
{
	add_order(ctx, ORDER_STOP, target, task, done, done_ctx)->run = run;
}

/* Lists the tasks now; the answer is delivered after later orders. */
static void
snapshot_tasks(order_t *order)
{
	const bed_worker_t *worker = find_worker(order->bed, order->worker);

	order->snapshot = g_array_new(FALSE, FALSE, sizeof(running_task_t));
	for (guint i = 0; i < worker->tasks->len; i++) {
		running_task_t task = describe_task(worker, i);

		/* The task may have ended when the answer is delivered. */
		task.task.job = g_intern_string(task.task.job);
		g_array_append_val(order->snapshot, task);
	}
}

static void
send_poll(void *ctx, const order_target_t *target, const poll_order_t *poll,
    order_done_t *done, void *done_ctx)
{
	order_t *order =
	    add_order(ctx, ORDER_POLL, target, NULL, done, done_ctx);
	bed_worker_t *worker;

	worker = find_worker(order->bed, order->worker);
	if (worker != NULL && worker->unanswered_polls > 0)
		worker->max_poll_timeout_ms =
		    MAX(worker->max_poll_timeout_ms, target->timeout_ms);
	order->lease_end_ms = poll->lease_end_ms;
	order->acknowledged = poll->acknowledged;
	if (poll->wait_ms == 0)
		order->until_ms = clock_mono_ms();
	if (order->bed->stale_polls)
		order->until_ms = clock_mono_ms() + STALE_POLL_MS;
	if (order->bed->poll_delay_ms > 0)
		order->until_ms = clock_mono_ms() + order->bed->poll_delay_ms;
	if (order->bed->stale_polls)
		snapshot_tasks(order);
}

/* ---- bed ---- */

static void
on_applied(void *ctx, uint64_t index, const command_t *command,
    const command_result_t *result)
{
	bed_t *bed = ctx;

	if (bed->fleet != NULL)
		fleet_applied(bed->fleet, command);
}

static void
serve(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
}

static bool
leads(void *ctx)
{
	return fleet_leads(((bed_t *)ctx)->fleet);
}

static void
start_fleet(bed_t *bed)
{
	fleet_timing_t timing = {
	    .worker_announce_interval_ms = ANNOUNCE_INTERVAL_MS,
	    .lease_ms = BED_LEASE_MS,
	    .ended_job_retention_ms = BED_RETENTION_MS,
	    .reclaim_ms = BED_RECLAIM_MS,
	    .slow_worker_percent = BED_SLOW_WORKER_PERCENT,
	    .avoids_interference = bed->avoids_interference,
	};
	order_transport_t orders = {.start = send_start,
	    .stop = send_stop,
	    .poll = send_poll,
	    .ctx = bed};

	bed->fleet = fleet_create(bed->loop, bed->replica, &timing, &orders);
	ck_assert(system_wait(bed->loop, leads, bed));
}

static void
add_worker(bed_t *bed, int accelerators)
{
	bed_worker_t *worker = &bed->workers[bed->worker_count];

	worker->percent = 50;
	worker->info = (fleet_worker_t){
	    .id = g_strdup_printf("w%zu", bed->worker_count),
	    .born = 1,
	    .service = g_strdup("svc"),
	    .address = g_strdup("10.0.0.1"),
	    .port = 1,
	    .domain = g_strdup_printf("d%zu", bed->worker_count / 4 + 1),
	    .rack = g_strdup_printf("r%zu", bed->worker_count / 4),
	    .capacity = {64000, 64000, accelerators},
	};
	worker->clock_base_ms = CLOCK_BASE_MS;
	worker->next_end = 1;
	worker->refused =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	worker->tasks = g_ptr_array_new_with_free_func(free_task);
	worker->ends = g_array_new(FALSE, TRUE, sizeof(bed_end_t));
	bed_announce(bed, bed->worker_count++);
}

/*
 * An announcement that waits for its commit while the fleet ends must not be
 * acknowledged; any other must be.
 */
static void
on_announced(void *ctx, fleet_outcome_t outcome)
{
	bed_t *bed = ctx;

	if (bed->fleet_ends) {
		ck_assert_int_ne(outcome, FLEET_OK);
		return;
	}
	ck_assert_int_eq(outcome, FLEET_OK);
	bed->announcements_done++;
}

static void
end_fleet(bed_t *bed)
{
	bed->fleet_ends = true;
	fleet_destroy(bed->fleet);
	bed->fleet_ends = false;
	bed->fleet = NULL;
}

void
bed_announce_as(bed_t *bed, const fleet_worker_t *info, uint64_t sequence)
{
	const bed_worker_t *worker = find_worker(bed, info->id);
	fleet_announcement_t announcement = {
	    .worker = *info,
	    .sequence = sequence,
	    .clock_ms = worker_now_ms(worker != NULL ? worker : bed->workers),
	};

	fleet_announce(bed->fleet, &announcement, on_announced, bed);
}

void
bed_announce(bed_t *bed, size_t worker)
{
	bed_announce_as(bed, &bed->workers[worker].info, ++bed->sequence);
}

static bool
all_announced(void *ctx)
{
	bed_t *bed = ctx;

	return bed->announcements_done >= (int)bed->worker_count;
}

void
bed_open(bed_t *bed, size_t workers, int accelerators)
{
	err_t err;

	memset(bed, 0, sizeof(*bed));
	bed->loop = ev_loop_new(0);
	bed->system = system_create(1, 1, "");
	bed->endpoint = endpoint_create(
	    bed->loop, bed->system->settings[0], 1, serve, bed, &err);
	ck_assert(bed->endpoint != NULL);
	bed->replica = replica_create(
	    bed->loop, bed->system->settings[0], bed->endpoint, 1, &err);
	ck_assert(bed->replica != NULL);
	replica_set_applied(bed->replica, on_applied, bed);
	g_queue_init(&bed->orders);
	g_queue_init(&bed->delayed_orders);
	ev_timer_init(&bed->delivery_timer, on_delivery_timer,
	    DELIVERY_INTERVAL_S, DELIVERY_INTERVAL_S);
	bed->delivery_timer.data = bed;
	ev_timer_start(bed->loop, &bed->delivery_timer);
	start_fleet(bed);
	for (size_t i = 0; i < workers; i++)
		add_worker(bed, accelerators);
	ck_assert(system_wait(bed->loop, all_announced, bed));
	bed_configure(bed);
}

void
bed_drop_orders(bed_t *bed)
{
	g_queue_clear_full(&bed->orders, free_order);
}

void
bed_restart_fleet_unannounced(bed_t *bed)
{
	bed_drop_orders(bed);
	end_fleet(bed);
	start_fleet(bed);
}

void
bed_restart_fleet(bed_t *bed)
{
	bed_restart_fleet_unannounced(bed);
	for (size_t i = 0; i < bed->worker_count; i++)
		bed_announce(bed, i);
}

void
bed_close(bed_t *bed)
{
	ev_timer_stop(bed->loop, &bed->delivery_timer);
	bed_drop_orders(bed);
	g_queue_clear_full(&bed->delayed_orders, free_order);
	end_fleet(bed);
	replica_destroy(bed->replica);
	endpoint_destroy(bed->endpoint);
	for (size_t i = 0; i < bed->worker_count; i++) {
		forget_ends(&bed->workers[i], UINT64_MAX);
		g_array_unref(bed->workers[i].ends);
		g_ptr_array_unref(bed->workers[i].tasks);
		g_hash_table_unref(bed->workers[i].refused);
		codec_free(
		    (xdrproc_t)xdr_fleet_worker_t, &bed->workers[i].info);
	}
	system_destroy(bed->system);
	ev_loop_destroy(bed->loop);
}

/* ---- commands ---- */

static void
on_proposed(void *ctx, const err_t *err, const command_result_t *result)
{
	ck_assert_int_eq(err->code, 0);
	*(bool *)ctx = true;
}

static bool
is_set(void *ctx)
{
	return *(bool *)ctx;
}

static void
propose(bed_t *bed, const command_t *command)
{
	bool done = false;

	replica_propose(bed->replica, command, DEADLINE_MS, on_proposed, &done);
	ck_assert(system_wait(bed->loop, is_set, &done));
}

static fleet_queue_t
make_queue(const char *name, int priority)
{
	return (fleet_queue_t){
	    .name = (char *)name,
	    .host = (char *)"h",
	    .path_prefix = (char *)name,
	    .service = (char *)"svc",
	    .priority = priority,
	    .max_attempts = 2,
	    .target_latency_ms = 60000,
	    .stretch_milli = 1500,
	    .timeout_ms = 3000,
	    .anonymous = TRUE,
	};
}

void
bed_configure(bed_t *bed)
{
	fleet_queue_t queues[] = {make_queue("urgent", 0),
	    make_queue("batch", 1), make_queue("prompt", 1)};
	fleet_tenant_t tenants[] = {
	    {.name = (char *)"hall", .guaranteed_accelerators = 16},
	};
	command_t command = {.kind = COMMAND_FLEET_CONFIG};

	queues[2].target_latency_ms = 200;
	command.command_t_u.fleet_config = (fleet_config_t){.number = 1,
	    .queues = {G_N_ELEMENTS(queues), queues},
	    .tenants = {G_N_ELEMENTS(tenants), tenants}};
	propose(bed, &command);
}

void
bed_replace_queues(bed_t *bed, uint64_t number, const char *queue)
{
	fleet_queue_t queues[] = {make_queue(queue, 1)};
	command_t command = {.kind = COMMAND_FLEET_CONFIG};

	command.command_t_u.fleet_config = (fleet_config_t){
	    .number = number, .queues = {G_N_ELEMENTS(queues), queues}};
	propose(bed, &command);
}

void
bed_set_domain_service(bed_t *bed, const char *domain, bool out_of_service)
{
	command_t command = {.kind = COMMAND_DOMAIN_SERVICE};

	command.command_t_u.domain_service =
	    (domain_service_t){(char *)domain, out_of_service};
	propose(bed, &command);
}

void
bed_submit(bed_t *bed, const char *id, const char *queue, int tasks,
    int accelerators, bool gang)
{
	bed_submit_for(bed, "", id, queue, tasks, accelerators, gang);
}

static void
submit_step(bed_t *bed, const char *tenant, const char *id, const char *queue,
    const step_spec_t *given)
{
	step_spec_t step = *given;
	command_t command = {.kind = COMMAND_BATCH_SUBMIT};

	step.estimate_ms = 1000;
	step.label = (char *)"";
	if (step.data_rack == NULL)
		step.data_rack = (char *)"";
	if (step.image == NULL)
		step.image = (char *)"";
	command.command_t_u.batch_submit = (batch_submit_t){
	    .id = (char *)id,
	    .queue = (char *)queue,
	    .tenant = (char *)tenant,
	    .submitted_ms = clock_real_ms(),
	    .spec = {.payload = {4, (char *)"spec"}, .steps = {1, &step}},
	};
	propose(bed, &command);
}

void
bed_submit_for(bed_t *bed, const char *tenant, const char *id,
    const char *queue, int tasks, int accelerators, bool gang)
{
	step_spec_t step = {
	    .count = tasks, .shape = {1000, 1000, accelerators}, .gang = gang};

	submit_step(bed, tenant, id, queue, &step);
}

void
bed_submit_small(bed_t *bed, const char *id, int tasks, bool gang)
{
	step_spec_t step = {.count = tasks, .shape = {10, 10, 0}, .gang = gang};

	submit_step(bed, "", id, "batch", &step);
}

void
bed_submit_near(bed_t *bed, const char *rack, const char *id, const char *queue,
    int tasks, int accelerators)
{
	step_spec_t step = {.count = tasks,
	    .shape = {1000, 1000, accelerators},
	    .data_rack = (char *)rack};

	submit_step(bed, "", id, queue, &step);
}

void
bed_submit_long_running(bed_t *bed, const char *id, int accelerators)
{
	bed_submit_lasting(bed, id, 1, accelerators, 0);
}

void
bed_submit_lasting(
    bed_t *bed, const char *id, int tasks, int accelerators, int miss_tolerance)
{
	step_spec_t step = {.count = tasks,
	    .shape = {1000, 1000, accelerators},
	    .miss_tolerance = miss_tolerance,
	    .long_running = true};

	submit_step(bed, "", id, "batch", &step);
}

void
bed_submit_image(
    bed_t *bed, const char *id, const char *image, int accelerators)
{
	step_spec_t step = {.count = 1,
	    .shape = {1000, 1000, accelerators},
	    .image = (char *)image};

	if (accelerators > 0) {
		step.long_running = true;
		step.latency_target_ms = 1000;
	} else {
		step.uses_leftover_cpu = true;
	}
	submit_step(bed, "", id, "batch", &step);
}

void
bed_cancel(bed_t *bed, const char *id)
{
	command_t command = {.kind = COMMAND_BATCH_CANCEL};

	command.command_t_u.batch_cancel = (char *)id;
	propose(bed, &command);
}

void
bed_restart_worker_unannounced(bed_t *bed, size_t i)
{
	bed_worker_t *worker = &bed->workers[i];

	g_ptr_array_set_size(worker->tasks, 0);
	forget_ends(worker, UINT64_MAX);
	g_hash_table_remove_all(worker->refused);
	worker->next_end = 1;
	worker->lease_end_ms = 0;
	worker->fence = 0;
	worker->clock_base_ms -= CLOCK_RESTART_MS;
	worker->info.born++;
}

void
bed_restart_worker(bed_t *bed, size_t i)
{
	bed_restart_worker_unannounced(bed, i);
	bed_announce(bed, i);
}

void
bed_end_tasks(bed_t *bed, const char *job, run_outcome_t how)
{
	for (size_t w = 0; w < bed->worker_count; w++) {
		bed_worker_t *worker = &bed->workers[w];

		for (guint i = worker->tasks->len; i-- > 0;) {
			const bed_task_t *task =
			    g_ptr_array_index(worker->tasks, i);

			if (job == NULL || strcmp(task->job, job) == 0)
				end_task(worker, i, how);
		}
	}
}

void
bed_end_task(bed_t *bed, size_t worker, run_outcome_t how)
{
	end_task(&bed->workers[worker], 0, how);
}

int
bed_running(const bed_t *bed, const char *job)
{
	int count = 0;

	for (size_t w = 0; w < bed->worker_count; w++) {
		for (guint i = 0; i < bed->workers[w].tasks->len; i++) {
			const bed_task_t *task =
			    g_ptr_array_index(bed->workers[w].tasks, i);

			count += job == NULL || strcmp(task->job, job) == 0;
		}
	}
	return count;
}

int
bed_starts(const bed_t *bed)
{
	int count = 0;

	for (size_t w = 0; w < bed->worker_count; w++)
		count += bed->workers[w].starts;
	return count;
}

int
bed_jobs(const bed_t *bed)
{
	ledger_t *ledger = machine_ledger(replica_machine(bed->replica));

	return (int)(ledger_open_jobs(ledger)->length +
		     ledger_ended_jobs(ledger)->length);
}

batch_state_t
bed_state(const bed_t *bed, const char *job)
{
	const ledger_t *ledger = machine_ledger(replica_machine(bed->replica));

	return ledger_job_state(ledger_job(ledger, job));
}

void
bed_run_for(bed_t *bed, int64_t ms)
{
	int64_t end_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < end_ms) {
		ev_run(bed->loop, EVRUN_NOWAIT);
		g_usleep(50);
	}
}
