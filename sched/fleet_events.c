#include <string.h>

#include "common/evlog.h"
#include "common/log.h"
#include "rpc/codec.h"
#include "sched/fleet_private.h"
#include "sched/places.h"

/*
 * The leader commits its decisions and observations in batches, in their order,
 * one proposal at a time and only within its term. A proposal committed in a
 * later term could contradict a decision of the next leader.
 */

typedef struct {
	fleet_done_t *done;
	void *ctx;
} waiter_t;

/* Bytes of the events in one command, but for an event that is larger. */
#define EVENTS_MAX_BYTES (256 * 1024)
/* Bytes of one event, so that its command stays within BODY_MAX_LEN. */
#define EVENT_MAX_BYTES (BODY_MAX_LEN - 1024)
/* Time until a job is planned again whose start no command can hold. */
#define REFUSED_START_HOLD_MS 5000

/* A command that is queued or proposed, and who waits for it. */
struct fleet_batch_t {
	fleet_t *fleet; /* NULL once the fleet is destroyed */
	uint64_t term;  /* in which it was proposed */
	command_t command;
	guint events;    /* in the command */
	size_t bytes;    /* of these */
	GPtrArray *runs; /* run_t whose starts it holds */
	GPtrArray *waiters;
};

/* ---- batches ---- */

static fleet_batch_t *
batch_add(fleet_t *fleet, command_kind_t kind)
{
	fleet_batch_t *batch = g_new0(fleet_batch_t, 1);

	batch->fleet = fleet;
	batch->command.kind = kind;
	batch->runs = g_ptr_array_new();
	batch->waiters = g_ptr_array_new_with_free_func(g_free);
	g_queue_push_tail(&fleet->batches, batch);
	return batch;
}

static void
batch_clear_command(fleet_batch_t *batch)
{
	codec_free((xdrproc_t)xdr_command_t, &batch->command);
	batch->command = (command_t){.kind = COMMAND_NOOP};
}

static void
batch_free(fleet_batch_t *batch)
{
	batch_clear_command(batch);
	g_ptr_array_unref(batch->runs);
	g_ptr_array_unref(batch->waiters);
	g_free(batch);
}

static bool
batch_has_room(const fleet_batch_t *batch, size_t bytes)
{
	return batch->command.kind == COMMAND_FLEET_EVENTS &&
	       batch->events < MAX_BATCH &&
	       batch->bytes + bytes <= EVENTS_MAX_BYTES;
}

/*
 * Whether a command can hold an event of that size, which is 0 where a field
 * exceeds its limit.  The proposal would fail otherwise, and with it everything
 * else in the command and the leader's term, each time that it is decided.
 */
static bool
event_fits(fleet_t *fleet, const char *kind, size_t bytes)
{
	if (bytes > 0 && bytes <= EVENT_MAX_BYTES)
		return true;
	counter_add(fleet->events_left_out, 1);
	evlog("event_left_out", "{s:s,s:I,s:i}", "kind", kind, "bytes",
	    (json_int_t)bytes, "limit", EVENT_MAX_BYTES);
	return false;
}

/*
 * Returns the last queued batch if it has room for the event, else a new one,
 * and counts the event in. NULL if no command can hold the event.
 */
static fleet_batch_t *
batch_for_event(
    fleet_t *fleet, const char *kind, xdrproc_t proc, const void *event)
{
	fleet_batch_t *batch = g_queue_peek_tail(&fleet->batches);
	size_t bytes = xdr_sizeof(proc, (void *)event);

	if (!event_fits(fleet, kind, bytes))
		return NULL;
	if (batch == NULL || !batch_has_room(batch, bytes))
		batch = batch_add(fleet, COMMAND_FLEET_EVENTS);
	batch->events++;
	batch->bytes += bytes;
	return batch;
}

static fleet_events_t *
batch_events(fleet_batch_t *batch)
{
	return &batch->command.command_t_u.fleet_events;
}

/* ---- events ---- */

static unit_name_t
copy_name(const char *job, const unit_name_t *name)
{
	unit_name_t copy = *name;

	copy.job = g_strdup(job);
	return copy;
}

#define APPEND(list, field, type, value)                                 \
	do {                                                             \
		(list)->field##_val = g_renew(                           \
		    type, (list)->field##_val, (list)->field##_len + 1); \
		(list)->field##_val[(list)->field##_len++] = (value);    \
	} while (0)

/*
 * Frees the places of a start that no command can hold; xdr_free would leave a
 * text beyond its limit.
 */
static void
free_places(unit_start_t *start)
{
	for (u_int i = 0; i < start->places.places_len; i++)
		g_free(start->places.places_val[i].worker);
	g_free(start->places.places_val);
}

/* Returns the batch that holds the start, or NULL if none can. */
static fleet_batch_t *
add_start(fleet_t *fleet, const run_t *run)
{
	unit_start_t start = {
	    .unit = copy_name(run->job, &run->name),
	    .run = run->number,
	};
	fleet_batch_t *batch;

	start.places.places_len = (u_int)run->member_count;
	start.places.places_val = g_new0(unit_place_t, run->member_count);
	for (int i = 0; i < run->member_count; i++) {
		const fleet_worker_t *info = &run->members[i].worker->info;

		start.places.places_val[i].worker = g_strdup(info->id);
		start.places.places_val[i].born = info->born;
	}
	batch = batch_for_event(
	    fleet, "start", (xdrproc_t)xdr_unit_start_t, &start);
	if (batch == NULL) {
		free_places(&start);
		g_free(start.unit.job);
		return NULL;
	}
	APPEND(&batch_events(batch)->starts, starts, unit_start_t, start);
	return batch;
}

/* Same for a gang with more members than unit_start_t has places. */
static fleet_batch_t *
add_gang_start(fleet_t *fleet, const run_t *run)
{
	gang_start_t start = {
	    .unit = copy_name(run->job, &run->name),
	    .run = run->number,
	};
	fleet_batch_t *batch;

	for (int i = 0; i < run->member_count; i++) {
		const fleet_worker_t *info = &run->members[i].worker->info;

		places_add(&start.places, info->id, info->born, 1);
	}
	if (!event_fits(fleet, "start",
		xdr_sizeof((xdrproc_t)xdr_gang_start_t, &start))) {
		places_clear(&start.places);
		g_free(start.unit.job);
		return NULL;
	}
	batch = batch_add(fleet, COMMAND_GANG_START);
	batch->command.command_t_u.gang_start = start;
	return batch;
}

/*
 * Queues the start of a run for a proposal, whose outcome decides whether the
 * run is kept. A large gang has a command of its own. Returns false if no
 * command can hold the start: the run is dropped and its job held back.
 */
bool
fleet_event_start(fleet_t *fleet, run_t *run)
{
	fleet_batch_t *batch = run->member_count > MAX_BATCH
				   ? add_gang_start(fleet, run)
				   : add_start(fleet, run);

	if (batch == NULL) {
		run->owner->hold_until_ms =
		    fleet_now_ms() + REFUSED_START_HOLD_MS;
		run_drop(run);
		return false;
	}
	run->start_undecided = true;
	g_ptr_array_add(batch->runs, run);
	return true;
}

/* Returns the checkpoint of the member that progressed furthest, or "". */
static const char *
furthest_checkpoint(const run_t *run)
{
	const member_t *best = NULL;

	for (int i = 0; i < run->member_count; i++) {
		const member_t *member = &run->members[i];

		if (member->checkpoint[0] != '\0' &&
		    (best == NULL || member->percent > best->percent))
			best = member;
	}
	return best != NULL ? best->checkpoint : "";
}

static void
add_end(fleet_t *fleet, unit_end_t end)
{
	fleet_batch_t *batch =
	    batch_for_event(fleet, "end", (xdrproc_t)xdr_unit_end_t, &end);

	if (batch == NULL) {
		g_free(end.unit.job);
		g_free(end.checkpoint);
		return;
	}
	APPEND(&batch_events(batch)->ends, ends, unit_end_t, end);
	fleet_schedule_work(fleet);
}

/*
 * Queues the end of a run for the next proposal; final means that the queue
 * allows no further attempt.
 */
void
fleet_event_end(
    fleet_t *fleet, const run_t *run, unit_result_t result, bool final)
{
	unit_end_t end = {
	    .unit = copy_name(run->job, &run->name),
	    .run = run->number,
	    .result = result,
	    .final = final,
	    .checkpoint = g_strdup(furthest_checkpoint(run)),
	};

	add_end(fleet, end);
}

void
fleet_event_late_done(fleet_t *fleet, const unit_name_t *unit, uint32_t run)
{
	unit_end_t end = {
	    .unit = copy_name(unit->job, unit),
	    .run = run,
	    .result = UNIT_RESULT_DONE,
	    .checkpoint = g_strdup(""),
	};

	add_end(fleet, end);
}

/*
 * Queues a worker update; done may be NULL and is called once the update is
 * committed or has failed, at once if no command can hold it.
 */
void
fleet_event_worker(
    fleet_t *fleet, const fleet_worker_t *worker, fleet_done_t *done, void *ctx)
{
	fleet_batch_t *batch = batch_for_event(
	    fleet, "worker", (xdrproc_t)xdr_fleet_worker_t, worker);
	fleet_worker_t copy;

	if (batch == NULL) {
		if (done != NULL)
			done(ctx, FLEET_NO_ANSWER);
		return;
	}
	fleet_worker_copy(&copy, worker);
	APPEND(&batch_events(batch)->workers, workers, fleet_worker_t, copy);
	if (done != NULL) {
		waiter_t *waiter = g_new0(waiter_t, 1);

		*waiter = (waiter_t){done, ctx};
		g_ptr_array_add(batch->waiters, waiter);
	}
	fleet_schedule_work(fleet);
}

/* Queues the removal of an ended job from the ledger. */
void
fleet_event_forget(fleet_t *fleet, const char *job)
{
	name_t name = g_strdup(job);
	fleet_batch_t *batch =
	    batch_for_event(fleet, "forget", (xdrproc_t)xdr_name_t, &name);

	if (batch == NULL) {
		g_free(name);
		return;
	}
	APPEND(&batch_events(batch)->forgotten, forgotten, name_t, name);
}

/* ---- proposals ---- */

/* Whether ends of runs are queued, or a proposal is in flight. */
bool
fleet_is_proposing_ends(const fleet_t *fleet)
{
	if (fleet->proposal != NULL)
		return true;
	for (GList *at = fleet->batches.head; at != NULL; at = at->next) {
		fleet_batch_t *batch = at->data;

		if (batch->command.kind == COMMAND_FLEET_EVENTS &&
		    batch_events(batch)->ends.ends_len > 0)
			return true;
	}
	return false;
}

static void
notify_waiters(GPtrArray *waiters, fleet_outcome_t outcome)
{
	for (guint i = 0; i < waiters->len; i++) {
		const waiter_t *waiter = g_ptr_array_index(waiters, i);

		waiter->done(waiter->ctx, outcome);
	}
	g_ptr_array_set_size(waiters, 0);
}

/* Ends the wait of the runs for the outcome of their starts. */
static void
settle_starts(GPtrArray *runs)
{
	for (guint i = 0; i < runs->len; i++)
		run_settle_start(g_ptr_array_index(runs, i));
	g_ptr_array_set_size(runs, 0);
}

static void
on_proposed(void *ctx, const err_t *err, const command_result_t *result)
{
	fleet_batch_t *batch = ctx;
	fleet_t *fleet = batch->fleet;

	if (fleet == NULL) {
		batch_free(batch);
		return;
	}
	fleet->proposal = NULL;
	notify_waiters(
	    batch->waiters, err->code == 0 ? FLEET_OK : FLEET_NO_ANSWER);
	if (err->code != 0) {
		log_err(LOG_WARNING, err);
		if (fleet->term == batch->term)
			fleet_step_down(fleet, "proposal_failed");
	}
	settle_starts(batch->runs);
	batch_free(batch);
	/* The last one waits for what the work timer adds to it. */
	if (fleet->batches.length > 1)
		fleet_events_propose(fleet);
	fleet_schedule_work(fleet);
}

/* Proposes the first queued batch unless a proposal is in flight. */
void
fleet_events_propose(fleet_t *fleet)
{
	fleet_batch_t *batch;

	if (fleet->proposal != NULL || fleet->batches.length == 0)
		return;
	batch = g_queue_pop_head(&fleet->batches);
	batch->term = fleet->term;
	fleet->proposal = batch;
	replica_propose_in_term(
	    fleet->replica, &batch->command, fleet->term, on_proposed, batch);
	batch_clear_command(batch);
}

/* Discards the queued batches and reports outcome to their waiters. */
void
fleet_events_clear(fleet_t *fleet, fleet_outcome_t outcome)
{
	fleet_batch_t *batch;

	while ((batch = g_queue_pop_head(&fleet->batches)) != NULL) {
		settle_starts(batch->runs);
		notify_waiters(batch->waiters, outcome);
		batch_free(batch);
	}
}

/* Detaches the proposal in flight; its waiters get FLEET_NO_ANSWER. */
void
fleet_drop_proposal(fleet_t *fleet)
{
	if (fleet->proposal == NULL)
		return;
	settle_starts(fleet->proposal->runs);
	notify_waiters(fleet->proposal->waiters, FLEET_NO_ANSWER);
	fleet->proposal->fleet = NULL;
	fleet->proposal = NULL;
}
