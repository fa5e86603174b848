#include "tests/standin/life.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

#define MAX_ENDS_LISTED 500
#define PERCENT 100
#define LABEL_BYTES 96

typedef struct {
	char *name;
	int run;
	bool is_gang;
	bool fails;
	int64_t started_ms; /* on the life's clock, as are the two below */
	int64_t ends_ms;
	int64_t stops_ms; /* when a stop takes effect, 0 without one */
} task_t;

/* An end that is not acknowledged. */
typedef struct {
	int64_t number;
	char *name;
	int run;
	const char *how;
} end_t;

struct life_t {
	char label[LABEL_BYTES]; /* names the incarnation in the output */
	int64_t born_real_ms;
	int64_t clock_offset_ms; /* to the machine's monotonic clock */
	int64_t hold_max_ms;
	int64_t lease_end_ms;
	bool has_lapsed; /* no lease, or its lapse has been printed */
	int64_t fence;
	GPtrArray *tasks;    /* task_t */
	GQueue ends;         /* end_t */
	GHashTable *highest; /* task -> highest run that ended or was stopped */
	int64_t next_end;
};

static void
free_task(void *data)
{
	task_t *task = data;

	g_free(task->name);
	g_free(task);
}

static void
free_end(void *data)
{
	end_t *end = data;

	g_free(end->name);
	g_free(end);
}

int64_t
life_clock_ms(const life_t *life)
{
	return clock_mono_ms() + life->clock_offset_ms;
}

/* Returns the time of the machine, which all lives and processes share. */
static long long
shared_ms(const life_t *life, int64_t clock_ms)
{
	return (long long)(clock_ms - life->clock_offset_ms);
}

static void
print_life(const life_t *life, const char *event, int64_t clock_ms)
{
	printf("%s %s %lld\n", event, life->label, shared_ms(life, clock_ms));
	fflush(stdout);
}

static void
print_run(const life_t *life, const char *event, const char *task, int run,
    int64_t clock_ms, const char *detail)
{
	printf("%s %s %d %s %lld %s\n", event, task, run, life->label,
	    shared_ms(life, clock_ms), detail);
	fflush(stdout);
}

life_t *
life_create(const life_options_t *options)
{
	life_t *life = g_new0(life_t, 1);

	g_snprintf(life->label, sizeof(life->label), "%s/%d", options->id,
	    options->number);
	life->born_real_ms = options->born_real_ms;
	life->clock_offset_ms = options->clock_ms - clock_mono_ms();
	life->hold_max_ms = options->hold_max_ms;
	life->has_lapsed = true;
	life->tasks = g_ptr_array_new_with_free_func(free_task);
	life->highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&life->ends);
	print_life(life, "born", options->clock_ms);
	return life;
}

/* Prints an end at clock_ms and removes the task. */
static void
remove_task(life_t *life, guint i, int64_t clock_ms, const char *how)
{
	const task_t *task = g_ptr_array_index(life->tasks, i);

	print_run(life, "end", task->name, task->run, clock_ms, how);
	g_ptr_array_remove_index(life->tasks, i);
}

void
life_destroy(life_t *life, const char *why)
{
	if (life == NULL)
		return;
	life_turn(life);
	for (guint i = life->tasks->len; i-- > 0;)
		remove_task(life, i, life_clock_ms(life), why);
	print_life(life, "gone", life_clock_ms(life));
	g_ptr_array_unref(life->tasks);
	g_queue_clear_full(&life->ends, free_end);
	g_hash_table_unref(life->highest);
	g_free(life);
}

static int
highest_run(const life_t *life, const char *name)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(life->highest, name));
}

static void
raise_highest_run(life_t *life, const char *name, int run)
{
	if (run > highest_run(life, name))
		g_hash_table_replace(
		    life->highest, g_strdup(name), GINT_TO_POINTER(run));
}

static void
end_task(life_t *life, guint i, int64_t clock_ms, const char *how)
{
	const task_t *task = g_ptr_array_index(life->tasks, i);
	end_t *end = g_new0(end_t, 1);

	*end = (end_t){.number = ++life->next_end,
	    .name = g_strdup(task->name),
	    .run = task->run,
	    .how = how};
	g_queue_push_tail(&life->ends, end);
	raise_highest_run(life, task->name, task->run);
	remove_task(life, i, clock_ms, how);
}

/*
 * A lease that lapsed while the process stood still ended its tasks then, not
 * when the process went on.
 */
static void
expire_lease(life_t *life)
{
	if (life->has_lapsed || life_clock_ms(life) <= life->lease_end_ms)
		return;
	life->has_lapsed = true;
	for (guint i = life->tasks->len; i-- > 0;)
		end_task(life, i, life->lease_end_ms, "lapsed");
	print_life(life, "lapse", life->lease_end_ms);
}

void
life_turn(life_t *life)
{
	int64_t now_ms = life_clock_ms(life);

	expire_lease(life);
	for (guint i = life->tasks->len; i-- > 0;) {
		const task_t *task = g_ptr_array_index(life->tasks, i);

		if (task->fails)
			end_task(life, i, now_ms, "failed");
		else if (now_ms >= task->ends_ms)
			end_task(life, i, now_ms, "done");
		else if (task->stops_ms > 0 && now_ms >= task->stops_ms)
			end_task(life, i, now_ms, "stopped");
	}
}

/* ---- orders ---- */

static json_t *
body_with_clock(const life_t *life)
{
	return json_pack("{s:I}", "clockMs", (json_int_t)life_clock_ms(life));
}

static order_reply_t
accept_order(const life_t *life)
{
	return (order_reply_t){200, body_with_clock(life)};
}

static order_reply_t
refuse_order(const life_t *life, const char *reason)
{
	json_t *body = body_with_clock(life);

	json_object_set_new(body, "reason", json_string(reason));
	return (order_reply_t){409, body};
}

order_reply_t
life_refuse_incarnation(const life_t *life)
{
	return (order_reply_t){421, body_with_clock(life)};
}

static bool
is_optional_integer(const json_t *order, const char *name)
{
	const json_t *value = json_object_get(order, name);

	return value == NULL || json_is_integer(value);
}

static bool
names_task(const json_t *order)
{
	return json_is_string(json_object_get(order, "task")) &&
	       json_is_integer(json_object_get(order, "runId"));
}

/*
 * Checks what all orders share; false with the refusal in reply.  An order
 * under a lower fencing token does nothing at all.
 */
static bool
admit_order(
    life_t *life, const json_t *order, bool is_valid, order_reply_t *reply)
{
	int64_t fence =
	    json_integer_value(json_object_get(order, "fencingToken"));

	life_turn(life);
	if (!is_valid || !is_optional_integer(order, "fencingToken") ||
	    !is_optional_integer(order, "untilMs")) {
		*reply = (order_reply_t){400, body_with_clock(life)};
		return false;
	}
	if (fence < life->fence) {
		print_life(life, "fenced", life_clock_ms(life));
		*reply = refuse_order(life, "fence");
		return false;
	}
	life->fence = fence;
	return true;
}

static void
extend_lease(life_t *life, int64_t until_ms)
{
	int64_t now_ms = life_clock_ms(life);

	until_ms = MIN(until_ms, now_ms + life->hold_max_ms);
	life->lease_end_ms = MAX(life->lease_end_ms, until_ms);
	if (life->lease_end_ms >= now_ms)
		life->has_lapsed = false;
}

static task_t *
find_task(const life_t *life, const char *name, int run)
{
	for (guint i = 0; i < life->tasks->len; i++) {
		task_t *task = g_ptr_array_index(life->tasks, i);

		if (task->run == run && strcmp(task->name, name) == 0)
			return task;
	}
	return NULL;
}

static void
add_task(life_t *life, const char *name, int run, const char *spec)
{
	task_t *task = g_new0(task_t, 1);
	char *rest;

	task->name = g_strdup(name);
	task->run = run;
	task->fails = strcmp(spec, "fail") == 0;
	task->started_ms = life_clock_ms(life);
	task->ends_ms = task->started_ms + strtol(spec, &rest, 10);
	task->is_gang = strcmp(rest, " gang") == 0;
	g_ptr_array_add(life->tasks, task);
	print_run(life, "start", name, run, task->started_ms,
	    task->is_gang ? "gang" : "single");
}

/*
 * A run that is higher than another one of the same task starts beside it: the
 * protocol names no ground to refuse it.
 */
order_reply_t
life_start(life_t *life, const json_t *order)
{
	const char *name = json_string_value(json_object_get(order, "task"));
	const char *spec = json_string_value(json_object_get(order, "spec"));
	int run = (int)json_integer_value(json_object_get(order, "runId"));
	int64_t until_ms =
	    json_integer_value(json_object_get(order, "untilMs"));
	order_reply_t reply;

	if (!admit_order(
		life, order, names_task(order) && spec != NULL, &reply))
		return reply;
	if (find_task(life, name, run) != NULL) {
		extend_lease(life, until_ms);
		return accept_order(life);
	}
	if (run <= highest_run(life, name)) {
		extend_lease(life, until_ms);
		return refuse_order(life, "old");
	}
	if (until_ms < life_clock_ms(life))
		return refuse_order(life, "late");
	extend_lease(life, until_ms);
	add_task(life, name, run, spec);
	return accept_order(life);
}

order_reply_t
life_stop(life_t *life, const json_t *order, int64_t stop_ms)
{
	const char *name = json_string_value(json_object_get(order, "task"));
	int run = (int)json_integer_value(json_object_get(order, "runId"));
	order_reply_t reply;
	task_t *task;

	if (!admit_order(life, order, names_task(order), &reply))
		return reply;
	raise_highest_run(life, name, run);
	task = find_task(life, name, run);
	if (task != NULL && task->stops_ms == 0)
		task->stops_ms = life_clock_ms(life) + stop_ms;
	life_turn(life);
	return accept_order(life);
}

static void
acknowledge_ends(life_t *life, int64_t cursor)
{
	const end_t *end;

	while ((end = g_queue_peek_head(&life->ends)) != NULL &&
	       end->number <= cursor) {
		print_run(life, "ack", end->name, end->run, life_clock_ms(life),
		    end->how);
		free_end(g_queue_pop_head(&life->ends));
	}
}

order_reply_t
life_poll(life_t *life, const json_t *order)
{
	bool is_valid = json_is_object(order) &&
			is_optional_integer(order, "ackCursor") &&
			is_optional_integer(order, "waitMs");
	order_reply_t reply;

	if (!admit_order(life, order, is_valid, &reply))
		return reply;
	extend_lease(
	    life, json_integer_value(json_object_get(order, "untilMs")));
	acknowledge_ends(
	    life, json_integer_value(json_object_get(order, "ackCursor")));
	return (order_reply_t){200, NULL};
}

/* ---- lists ---- */

static int
percent_of(const task_t *task, int64_t now_ms)
{
	int64_t length_ms = MAX(task->ends_ms - task->started_ms, 1);

	return (int)MIN(
	    (now_ms - task->started_ms) * PERCENT / length_ms, PERCENT - 1);
}

static json_t *
running_rows(const life_t *life)
{
	int64_t now_ms = life_clock_ms(life);
	json_t *rows = json_array();

	for (guint i = 0; i < life->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(life->tasks, i);

		json_array_append_new(
		    rows, json_pack("[s,i,s,i]", task->name, task->run, "",
			      percent_of(task, now_ms)));
	}
	return rows;
}

static json_t *
end_rows(const life_t *life)
{
	json_t *rows = json_array();

	for (const GList *at = life->ends.head;
	     at != NULL && json_array_size(rows) < MAX_ENDS_LISTED;
	     at = at->next) {
		const end_t *end = at->data;

		json_array_append_new(
		    rows, json_pack("[I,s,i,s,s]", (json_int_t)end->number,
			      end->name, end->run, end->how, ""));
	}
	return rows;
}

json_t *
life_lists(const life_t *life)
{
	json_t *body = body_with_clock(life);

	json_object_set_new(body, "born", json_integer(life->born_real_ms));
	json_object_set_new(body, "running", running_rows(life));
	json_object_set_new(body, "finishedRuns", end_rows(life));
	return body;
}

bool
life_has_ends(const life_t *life)
{
	return life->ends.length > 0;
}
