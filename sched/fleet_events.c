#include <string.h>

#include "common/evlog.h"
#include "common/log.h"
#include "rpc/codec.h"
#include "sched/fleet_private.h"

/*
 * The leader commits its decisions and observations in batches, one proposal at
 * a time and only within its term. A proposal committed in a later term could
 * contradict a decision of the next leader.
 */

typedef struct {
	fleet_done_t *done;
	void *ctx;
} waiter_t;

struct fleet_proposal_t {
	fleet_t *fleet; /* NULL once the fleet is destroyed */
	uint64_t term;
	GPtrArray *runs; /* run_t whose starts it holds */
	GPtrArray *waiters;
};

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
 * Queues the start of a run for the next proposal. Its outcome decides whether
 * the run is kept.
 */
void
fleet_event_start(fleet_t *fleet, run_t *run)
{
	unit_start_t start = {
	    .unit = copy_name(run->job, &run->name),
	    .run = run->number,
	};

	start.places.places_len = (u_int)run->member_count;
	start.places.places_val = g_new0(unit_place_t, run->member_count);
	for (int i = 0; i < run->member_count; i++) {
		const fleet_worker_t *info = &run->members[i].worker->info;

		start.places.places_val[i].worker = g_strdup(info->id);
		start.places.places_val[i].born = info->born;
	}
	APPEND(&fleet->events.starts, starts, unit_start_t, start);
	run->start_undecided = true;
	g_ptr_array_add(fleet->queued_runs, run);
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

	APPEND(&fleet->events.ends, ends, unit_end_t, end);
	fleet_schedule_work(fleet);
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

	APPEND(&fleet->events.ends, ends, unit_end_t, end);
	fleet_schedule_work(fleet);
}

/*
 * Queues a worker update; done may be NULL and is called once the update is
 * committed or has failed.
 */
void
fleet_event_worker(
    fleet_t *fleet, const fleet_worker_t *worker, fleet_done_t *done, void *ctx)
{
	fleet_worker_t copy;

	fleet_worker_copy(&copy, worker);
	APPEND(&fleet->events.workers, workers, fleet_worker_t, copy);
	if (done != NULL) {
		waiter_t *waiter = g_new0(waiter_t, 1);

		*waiter = (waiter_t){done, ctx};
		g_ptr_array_add(fleet->proposal_waiters, waiter);
	}
	fleet_schedule_work(fleet);
}

/* Queues the removal of an ended job from the ledger. */
void
fleet_event_forget(fleet_t *fleet, const char *job)
{
	APPEND(&fleet->events.forgotten, forgotten, name_t, g_strdup(job));
}

static bool
is_empty(const fleet_events_t *events)
{
	return events->workers.workers_len == 0 &&
	       events->starts.starts_len == 0 && events->ends.ends_len == 0 &&
	       events->forgotten.forgotten_len == 0;
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
proposal_free(fleet_proposal_t *proposal)
{
	g_ptr_array_unref(proposal->runs);
	g_ptr_array_unref(proposal->waiters);
	g_free(proposal);
}

static void
on_proposed(void *ctx, const err_t *err, const command_result_t *result)
{
	fleet_proposal_t *proposal = ctx;
	fleet_t *fleet = proposal->fleet;

	if (fleet == NULL) {
		proposal_free(proposal);
		return;
	}
	fleet->proposal = NULL;
	notify_waiters(
	    proposal->waiters, err->code == 0 ? FLEET_OK : FLEET_NO_ANSWER);
	if (err->code != 0) {
		log_err(LOG_WARNING, err);
		if (fleet->term == proposal->term)
			fleet_step_down(fleet, "proposal_failed");
	}
	settle_starts(proposal->runs);
	proposal_free(proposal);
	fleet_schedule_work(fleet);
}

/* Proposes the queued events unless a proposal is in flight. */
void
fleet_events_propose(fleet_t *fleet)
{
	command_t command = {.kind = COMMAND_FLEET_EVENTS};
	fleet_proposal_t *proposal;

	if (fleet->proposal != NULL || is_empty(&fleet->events))
		return;
	proposal = g_new0(fleet_proposal_t, 1);
	proposal->fleet = fleet;
	proposal->term = fleet->term;
	proposal->runs = fleet->queued_runs;
	fleet->queued_runs = g_ptr_array_new();
	proposal->waiters = fleet->proposal_waiters;
	fleet->proposal_waiters = g_ptr_array_new_with_free_func(g_free);
	command.command_t_u.fleet_events = fleet->events;
	memset(&fleet->events, 0, sizeof(fleet->events));
	fleet->proposal = proposal;
	replica_propose_in_term(
	    fleet->replica, &command, fleet->term, on_proposed, proposal);
	codec_free((xdrproc_t)xdr_command_t, &command);
}

/* Discards queued events and reports outcome to their waiters. */
void
fleet_events_clear(fleet_t *fleet, fleet_outcome_t outcome)
{
	settle_starts(fleet->queued_runs);
	codec_free((xdrproc_t)xdr_fleet_events_t, &fleet->events);
	memset(&fleet->events, 0, sizeof(fleet->events));
	notify_waiters(fleet->proposal_waiters, outcome);
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
