#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "sched/fleet_private.h"

/*
 * Workers that deregister.  A worker ends once it is acknowledged, and with it
 * what it still runs; without the acknowledgement it runs on for some seconds.
 * That its connections are refused or reset does not tell that it has ended: a
 * cut looks the same.
 */

/* Departures that may be waiting for their commit. */
#define MAX_DEPARTING 1024
/* Bound of an acknowledgement; a worker waits a second for it. */
#define TASKS_WAIT_MS 700

/* A deregistration that is not acknowledged yet. */
typedef struct {
	fleet_t *fleet;
	char *worker;
	uint64_t born;
	int64_t until_ms;
	fleet_done_t *done;
	void *ctx;
	GList link; /* in fleet_t.leaves once the departure is committed */
} leave_t;

/* Records durably that the worker's present incarnation has ended. */
void
worker_depart(worker_t *worker, fleet_done_t *done, void *ctx)
{
	fleet_t *fleet = worker->fleet;

	/* The ledger has the ones before by now. */
	if (g_hash_table_size(fleet->departing) >= MAX_DEPARTING)
		g_hash_table_remove_all(fleet->departing);
	g_hash_table_replace(fleet->departing, g_strdup(worker->info.id),
	    g_memdup2(&worker->info.born, sizeof(worker->info.born)));
	worker->info.gone = TRUE;
	fleet_event_worker(fleet, &worker->info, done, ctx);
}

/* Whether that incarnation, or a later one, is known to have ended. */
bool
fleet_has_departed(const fleet_t *fleet, const fleet_worker_t *info)
{
	const fleet_worker_t *known =
	    ledger_worker(fleet_ledger(fleet), info->id);
	const uint64_t *departing =
	    g_hash_table_lookup(fleet->departing, info->id);

	return (known != NULL && known->gone && info->born <= known->born) ||
	       (departing != NULL && info->born <= *departing);
}

static void
leave_end(leave_t *leave, fleet_outcome_t outcome)
{
	leave->done(leave->ctx, outcome);
	g_free(leave->worker);
	g_free(leave);
}

static bool
has_tasks(const leave_t *leave)
{
	const worker_t *worker = fleet_find_worker(leave->fleet, leave->worker);

	return worker != NULL && worker->info.born == leave->born &&
	       worker->members->len > 0;
}

static void
on_departed(void *ctx, fleet_outcome_t outcome)
{
	leave_t *leave = ctx;

	if (outcome != FLEET_OK || !leave->fleet->leading ||
	    !has_tasks(leave)) {
		leave_end(leave, outcome);
		return;
	}
	leave->link.data = leave;
	g_queue_push_tail_link(&leave->fleet->leaves, &leave->link);
}

/* Acknowledges the departures whose workers have no tasks left, or time. */
void
fleet_acknowledge_leaves(fleet_t *fleet, int64_t now_ms)
{
	GList *next;

	for (GList *at = fleet->leaves.head; at != NULL; at = next) {
		leave_t *leave = at->data;

		next = at->next;
		if (has_tasks(leave) && now_ms < leave->until_ms)
			continue;
		g_queue_unlink(&fleet->leaves, at);
		leave_end(leave, FLEET_OK);
	}
}

/* Acknowledges all committed departures. */
void
fleet_leaves_clear(fleet_t *fleet)
{
	GList *at;

	while ((at = g_queue_pop_head_link(&fleet->leaves)) != NULL)
		leave_end(at->data, FLEET_OK);
}

/*
 * Whether a deregistration is of an incarnation that has ended since, as one
 * that was held up.  A worker drains before it leaves, so one that names no
 * incarnation is of an earlier one if the present one does not drain.
 */
static bool
is_of_earlier_incarnation(const worker_t *worker, uint64_t born)
{
	return born == 0 ? !worker->info.draining : born < worker->info.born;
}

/*
 * Removes a worker that shuts down; born is its incarnation, 0 if it does not
 * say.  Its tasks are stopped; done is called once they have ended, after
 * TASKS_WAIT_MS at the latest.  Those that cannot be stopped are kept until the
 * end of their lease.
 */
void
fleet_deregister(fleet_t *fleet, const char *id, uint64_t born,
    fleet_done_t *done, void *ctx)
{
	worker_t *worker;
	leave_t *leave;

	if (!fleet->leading) {
		done(ctx, FLEET_NOT_LEADER);
		return;
	}
	worker = fleet_find_worker(fleet, id);
	if (worker == NULL) {
		done(ctx, FLEET_OK);
		return;
	}
	if (is_of_earlier_incarnation(worker, born)) {
		evlog("deregistration_late", "{s:s,s:I,s:I}", "worker", id,
		    "born", (json_int_t)born, "present",
		    (json_int_t)worker->info.born);
		done(ctx, FLEET_OK);
		return;
	}
	/* It started and leaves before an announcement of it arrived. */
	if (born > worker->info.born)
		worker_learn_incarnation(worker, born);
	evlog("worker_gone", "{s:s,s:I,s:s,s:i}", "worker", id, "born",
	    (json_int_t)worker->info.born, "reason", "deregistered", "members",
	    (int)worker->members->len);
	worker->leaving = true;
	worker->draining = true;
	leave = g_new0(leave_t, 1);
	*leave = (leave_t){
	    .fleet = fleet,
	    .worker = g_strdup(id),
	    .born = worker->info.born,
	    .until_ms = fleet_now_ms() + TASKS_WAIT_MS,
	    .done = done,
	    .ctx = ctx,
	};
	worker_stop_runs(worker, "worker_left");
	worker_depart(worker, on_departed, leave);
	if (worker->members->len == 0)
		worker_retire(worker);
}
