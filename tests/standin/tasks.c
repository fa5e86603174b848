#include "tests/standin/tasks.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"

#define RESULT_KEPT_MS 600000
#define DEFAULT_SLEEP_MS 1

typedef enum {
	TASK_RESERVED,
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
} task_state_t;

typedef struct {
	char *id;
	task_state_t state;
	bool ran;
	uint32_t mask;
	int64_t end_ms;       /* of the run */
	int64_t lease_end_ms; /* 0 without a lease */
	int64_t ended_ms;
	int64_t started_ms;
	json_t *input;
	int percent; /* of full speed */
} standin_task_t;

struct tasks_t {
	tasks_options_t options;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GHashTable *by_id;
	uint64_t fence;
	int running;
	int max_running;
	uint32_t used_mask;
};

static const char *
state_name(task_state_t state)
{
	static const char *const names[] = {
	    "reserved", "running", "done", "failed", "stopped"};

	return names[state];
}

static void
task_free(void *data)
{
	standin_task_t *task = data;

	json_decref(task->input);
	g_free(task->id);
	g_free(task);
}

/* Creates an empty set of tasks. */
tasks_t *
tasks_create(const tasks_options_t *options)
{
	tasks_t *tasks = g_new0(tasks_t, 1);
	pthread_condattr_t attr;

	tasks->options = *options;
	pthread_mutex_init(&tasks->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&tasks->changed, &attr);
	pthread_condattr_destroy(&attr);
	tasks->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	return tasks;
}

/* Ends the set; no thread may use it any more. */
void
tasks_destroy(tasks_t *tasks)
{
	g_hash_table_unref(tasks->by_id);
	pthread_cond_destroy(&tasks->changed);
	pthread_mutex_destroy(&tasks->lock);
	g_free(tasks);
}

/* Appends "EVENT WORKER TASK TAG" to the ledger, one write a line. */
static void
ledger(tasks_t *tasks, const char *event, const standin_task_t *task)
{
	const char *tag =
	    json_string_value(json_object_get(task->input, "tag"));
	char line[512];
	int len;

	if (tasks->options.ledger_fd < 0)
		return;
	len = snprintf(line, sizeof(line), "%s %s %s %s\n", event,
	    tasks->options.worker, task->id, tag != NULL ? tag : "-");
	if (write(tasks->options.ledger_fd, line, (size_t)len) != len)
		perror("ledger");
}

static bool
is_active(const standin_task_t *task)
{
	return task->state == TASK_RESERVED || task->state == TASK_RUNNING;
}

/* Moves an active task to an end state and frees what it held. */
static void
end_task(tasks_t *tasks, standin_task_t *task, task_state_t state)
{
	if (task->state == TASK_RUNNING)
		ledger(tasks, state_name(state), task);
	task->state = state;
	task->ended_ms = clock_mono_ms();
	tasks->running--;
	tasks->used_mask &= ~task->mask;
	pthread_cond_broadcast(&tasks->changed);
}

/* Brings a task up to the present time: run finished or lease ended. */
static void
refresh(tasks_t *tasks, standin_task_t *task, int64_t now_ms)
{
	bool fails;

	if (!is_active(task))
		return;
	if (task->state == TASK_RUNNING && now_ms >= task->end_ms) {
		fails = tasks->options.fail_all ||
			json_is_true(json_object_get(task->input, "fail"));
		end_task(tasks, task, fails ? TASK_FAILED : TASK_DONE);
	} else if (task->lease_end_ms > 0 && now_ms >= task->lease_end_ms) {
		end_task(tasks, task, TASK_STOPPED);
	}
}

/* Refreshes all tasks and forgets old results. */
static void
refresh_all(tasks_t *tasks)
{
	int64_t now_ms = clock_mono_ms();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		standin_task_t *task = value;

		refresh(tasks, task, now_ms);
		if (!is_active(task) &&
		    now_ms - task->ended_ms > RESULT_KEPT_MS)
			g_hash_table_iter_remove(&iter);
	}
}

static json_t *
describe(const standin_task_t *task)
{
	json_t *reply = json_pack("{s:s, s:s, s:b}", "task", task->id, "state",
	    state_name(task->state), "ran", task->ran);
	json_t *echo = json_object_get(task->input, "echo");

	if (task->state == TASK_DONE)
		json_object_set(
		    reply, "result", echo != NULL ? echo : json_null());
	if (task->state == TASK_FAILED)
		json_object_set_new(reply, "text", json_string("task failed"));
	return reply;
}

static void
start_task(tasks_t *tasks, standin_task_t *task)
{
	json_t *sleep_ms = json_object_get(task->input, "sleep_ms");
	int64_t duration_ms = json_is_integer(sleep_ms)
				  ? json_integer_value(sleep_ms)
				  : DEFAULT_SLEEP_MS;

	task->state = TASK_RUNNING;
	task->ran = true;
	task->started_ms = clock_mono_ms();
	task->end_ms = task->started_ms + duration_ms;
	ledger(tasks, "start", task);
}

/* Returns the mask of the listed accelerators, 0 for none or a bad list. */
static uint32_t
mask_of(const json_t *list)
{
	uint32_t mask = 0;
	const json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		if (json_integer_value(item) >= 0 &&
		    json_integer_value(item) < 32)
			mask |= 1u << json_integer_value(item);
	}
	return mask;
}

/* Waits until the task has ended. */
static void
wait_for_end(tasks_t *tasks, standin_task_t *task)
{
	while (is_active(task)) {
		int64_t until_ms = task->state == TASK_RUNNING
				       ? task->end_ms
				       : clock_mono_ms() + 1000;
		struct timespec until;

		if (task->lease_end_ms > 0 && task->lease_end_ms < until_ms)
			until_ms = task->lease_end_ms;
		until.tv_sec = until_ms / 1000;
		until.tv_nsec = until_ms % 1000 * 1000000;
		pthread_cond_timedwait(&tasks->changed, &tasks->lock, &until);
		refresh(tasks, task, clock_mono_ms());
	}
}

static standin_task_t *
add_task(tasks_t *tasks, const char *id, const json_t *body)
{
	standin_task_t *task = g_new0(standin_task_t, 1);
	json_t *input = json_object_get(body, "input");
	json_int_t lease_ms =
	    json_integer_value(json_object_get(body, "lease_ms"));

	task->id = g_strdup(id);
	task->input = input != NULL ? json_incref(input) : json_object();
	task->mask = mask_of(json_object_get(body, "accelerators"));
	task->percent = 100;
	if (lease_ms > 0)
		task->lease_end_ms = clock_mono_ms() + lease_ms;
	task->state = TASK_RESERVED;
	g_hash_table_insert(tasks->by_id, task->id, task);
	tasks->running++;
	tasks->used_mask |= task->mask;
	if (tasks->running > tasks->max_running)
		tasks->max_running = tasks->running;
	return task;
}

static bool
has_room(const tasks_t *tasks, const json_t *body)
{
	uint32_t mask = mask_of(json_object_get(body, "accelerators"));

	return tasks->running < tasks->options.slots &&
	       (mask & tasks->used_mask) == 0;
}

/*
 * Serves PUT: runs or reserves a task, once an id.  *cut_after_bytes is set
 * when the answer is to be cut short.
 */
int
tasks_put(tasks_t *tasks, const char *id, const json_t *body, json_t **reply,
    int *cut_after_bytes)
{
	const char *mode = json_string_value(json_object_get(body, "mode"));
	bool is_run = g_strcmp0(mode, "run") == 0;
	standin_task_t *task;
	json_t *cut;
	int status = 200;

	if (!is_run && g_strcmp0(mode, "reserve") != 0) {
		*reply = json_pack("{s:s}", "error", "bad_mode");
		return 400;
	}
	pthread_mutex_lock(&tasks->lock);
	refresh_all(tasks);
	task = g_hash_table_lookup(tasks->by_id, id);
	if (task == NULL && !has_room(tasks, body)) {
		*reply = json_pack("{s:s}", "error", "busy");
		status = 503;
		goto done;
	}
	if (task == NULL) {
		task = add_task(tasks, id, body);
		if (is_run)
			start_task(tasks, task);
	}
	if (is_run)
		wait_for_end(tasks, task);
	cut = json_object_get(task->input, "cut_after_bytes");
	*cut_after_bytes = (int)json_integer_value(cut);
	if (task->state == TASK_STOPPED)
		status = 410;
	*reply = describe(task);
done:
	pthread_mutex_unlock(&tasks->lock);
	return status;
}

/* Serves GET of one task. */
int
tasks_get(tasks_t *tasks, const char *id, json_t **reply)
{
	standin_task_t *task;
	int status = 200;

	pthread_mutex_lock(&tasks->lock);
	refresh_all(tasks);
	task = g_hash_table_lookup(tasks->by_id, id);
	if (task != NULL) {
		*reply = describe(task);
	} else {
		*reply = json_pack("{s:s}", "state", "unknown");
		status = 404;
	}
	pthread_mutex_unlock(&tasks->lock);
	return status;
}

/* Serves GET of the list. */
int
tasks_list(tasks_t *tasks, json_t **reply)
{
	json_t *list = json_array();
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&tasks->lock);
	refresh_all(tasks);
	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(list, describe(value));
	pthread_mutex_unlock(&tasks->lock);
	*reply = json_pack("{s:o}", "tasks", list);
	return 200;
}

/* Records a stop for an id that was never seen, so that it never runs. */
static standin_task_t *
add_stopped(tasks_t *tasks, const char *id)
{
	standin_task_t *task = g_new0(standin_task_t, 1);

	task->id = g_strdup(id);
	task->input = json_object();
	task->state = TASK_STOPPED;
	task->ended_ms = clock_mono_ms();
	g_hash_table_insert(tasks->by_id, task->id, task);
	return task;
}

static int
command_start(tasks_t *tasks, standin_task_t *task, json_t **reply)
{
	const char *refuse_on =
	    json_string_value(json_object_get(task->input, "refuse_start_on"));

	if (g_strcmp0(refuse_on, tasks->options.worker) == 0 &&
	    task->state == TASK_RESERVED)
		end_task(tasks, task, TASK_STOPPED);
	if (task->state == TASK_RESERVED)
		start_task(tasks, task);
	*reply = describe(task);
	return task->state == TASK_STOPPED ? 410 : 200;
}

static int
command_renew(standin_task_t *task, const json_t *body, json_t **reply)
{
	json_int_t lease_ms =
	    json_integer_value(json_object_get(body, "lease_ms"));

	*reply = describe(task);
	if (!is_active(task))
		return 410;
	task->lease_end_ms = lease_ms > 0 ? clock_mono_ms() + lease_ms : 0;
	return 200;
}

/* Slows the rest of the run down or lets it go faster again. */
static int
command_throttle(standin_task_t *task, const json_t *body, json_t **reply)
{
	int64_t now_ms = clock_mono_ms();
	int percent = (int)json_integer_value(json_object_get(body, "percent"));

	if (percent < 1 || percent > 100) {
		*reply = json_pack("{s:s}", "error", "bad_percent");
		return 400;
	}
	if (task->state == TASK_RUNNING)
		task->end_ms =
		    now_ms + (task->end_ms - now_ms) * task->percent / percent;
	task->percent = percent;
	*reply = describe(task);
	return 200;
}

/* Serves POST of start, renew, stop, checkpoint and throttle. */
int
tasks_command(tasks_t *tasks, const char *id, const char *command,
    const json_t *body, json_t **reply)
{
	standin_task_t *task;
	int status = 200;

	pthread_mutex_lock(&tasks->lock);
	refresh_all(tasks);
	task = g_hash_table_lookup(tasks->by_id, id);
	if (task == NULL && strcmp(command, "stop") == 0)
		task = add_stopped(tasks, id);
	if (task == NULL) {
		*reply = json_pack("{s:s}", "state", "unknown");
		status = 404;
	} else if (strcmp(command, "stop") == 0) {
		if (is_active(task))
			end_task(tasks, task, TASK_STOPPED);
		*reply = describe(task);
	} else if (strcmp(command, "start") == 0) {
		status = command_start(tasks, task, reply);
	} else if (strcmp(command, "renew") == 0) {
		status = command_renew(task, body, reply);
	} else if (strcmp(command, "throttle") == 0) {
		status = command_throttle(task, body, reply);
	} else if (strcmp(command, "checkpoint") == 0) {
		*reply = json_pack("{s:s}", "checkpoint", id);
	} else {
		*reply = json_pack("{s:s}", "error", "not_found");
		status = 404;
	}
	pthread_mutex_unlock(&tasks->lock);
	return status;
}

/* Checks a fencing token; false when it is below the highest one seen. */
bool
tasks_fence(tasks_t *tasks, uint64_t fence, uint64_t *highest)
{
	bool is_current;

	pthread_mutex_lock(&tasks->lock);
	is_current = fence >= tasks->fence;
	if (is_current)
		tasks->fence = fence;
	*highest = tasks->fence;
	pthread_mutex_unlock(&tasks->lock);
	return is_current;
}

/* Returns the number of tasks that hold a slot. */
int
tasks_running(tasks_t *tasks)
{
	int running;

	pthread_mutex_lock(&tasks->lock);
	refresh_all(tasks);
	running = tasks->running;
	pthread_mutex_unlock(&tasks->lock);
	return running;
}

/* Returns the highest number of slots held at once. */
int
tasks_max_running(tasks_t *tasks)
{
	int running;

	pthread_mutex_lock(&tasks->lock);
	running = tasks->max_running;
	pthread_mutex_unlock(&tasks->lock);
	return running;
}

/* Returns the usage of running tasks as the announcement carries it. */
json_t *
tasks_usage(tasks_t *tasks)
{
	json_t *usage = json_object();
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&tasks->lock);
	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		standin_task_t *task = value;
		int64_t age_ms = clock_mono_ms() - task->started_ms;

		if (task->state == TASK_RUNNING)
			json_object_set_new(usage, task->id,
			    json_pack("{s:I, s:i, s:i}", "cpu_ms",
				(json_int_t)age_ms, "memory_mb", 64, "age_ms",
				1000));
	}
	pthread_mutex_unlock(&tasks->lock);
	return usage;
}
