#include "sched/fleet.h"

#include <jansson.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "common/loop_watch.h"
#include "sched/fleet_round.h"

/* Interval of leadership checks and, on the leader, resends and planning. */
#define TICK_LEADER_S 0.05
#define TICK_FOLLOWER_S 0.1
/* Delay that lets simultaneous events share one planning pass and proposal. */
#define WORK_DELAY_S 0.001
/*
 * A planning round is followed by a rest of this multiple of the time that it
 * took, so that planning leaves the processor to orders and announcements.
 */
#define PLAN_REST_FACTOR 9
/* Ended jobs removed from the ledger per tick; limits the size of a proposal.
 */
#define FORGET_PER_TICK 16
#define FORGET_RETRY_MS 1000

/* Monotonic time in milliseconds. */
int64_t
fleet_now_ms(void)
{
	return clock_mono_ms();
}

uint64_t
fleet_next_sequence(fleet_t *fleet)
{
	return ++fleet->last_event_sequence;
}

ledger_t *
fleet_ledger(const fleet_t *fleet)
{
	return machine_ledger(replica_machine(fleet->replica));
}

/* Schedules a planning round after WORK_DELAY_S, or when the next one is due.
 */
static void
schedule_plan(fleet_t *fleet)
{
	double due_s = (double)(fleet->next_plan_us - clock_mono_us()) /
		       (CLOCK_US_PER_MS * CLOCK_MS_PER_S);

	if (ev_is_active(&fleet->plan_timer))
		return;
	ev_timer_set(&fleet->plan_timer, MAX(due_s, WORK_DELAY_S), 0);
	ev_timer_start(fleet->loop, &fleet->plan_timer);
}

/* Schedules a planning round, a proposal and the check of the workers. */
void
fleet_schedule_work(fleet_t *fleet)
{
	if (!fleet->leading)
		return;
	schedule_plan(fleet);
	if (ev_is_active(&fleet->work_timer))
		return;
	ev_timer_set(&fleet->work_timer, WORK_DELAY_S, 0);
	ev_timer_start(fleet->loop, &fleet->work_timer);
}

/* ---- leadership ---- */

/* Whether a worker of the run has restarted since it was placed. */
static bool
has_restarted_worker(const run_t *run, const place_ranges_t *places)
{
	const member_t *member = run->members;

	for (u_int i = 0; i < places->place_ranges_t_len; i++) {
		const place_range_t *range = &places->place_ranges_t_val[i];

		if (member->worker->info.born != range->born)
			return true;
		member += range->members;
	}
	return false;
}

/*
 * Creates the run of a unit that an earlier leader placed, and stops it where
 * its job has ended or one of its workers has restarted.
 */
void
fleet_recover_run(fleet_t *fleet, ledger_unit_t *unit)
{
	run_t *run = run_create(fleet, unit, unit->run, &unit->places);

	run->start_committed = true;
	for (int i = 0; i < run->member_count; i++) {
		member_t *member = &run->members[i];

		/* The previous leader may have sent the start just now. */
		member->state = MEMBER_SENT;
		member->starts_unanswered = 1;
		member->unanswered_ms = run->created_ms;
	}
	if (ledger_job_has_ended(unit->job))
		run_stop(run, "job_ended");
	else if (has_restarted_worker(run, &unit->places))
		run_stop(run, "worker_restarted");
}

static void
recover_runs(fleet_t *fleet, const GQueue *jobs)
{
	for (const GList *at = jobs->head; at != NULL; at = at->next) {
		ledger_job_t *job = at->data;
		ledger_unit_t *unit;
		size_t index = 0;

		while ((unit = ledger_next_known_unit(job, &index)) != NULL) {
			unit->leader_run = NULL;
			if (unit->state == UNIT_PLACED)
				fleet_recover_run(fleet, unit);
		}
	}
}

static bool
has_urgent_queue(const fleet_config_t *config)
{
	for (u_int i = 0; i < config->queues.queues_len; i++) {
		if (config->queues.queues_val[i].priority ==
		    QUEUE_PRIORITY_URGENT)
			return true;
	}
	return false;
}

/* Rebuilds the in-memory workers and runs from the committed ledger. */
static void
become_leader(fleet_t *fleet, int64_t now_ms)
{
	ledger_t *ledger = fleet_ledger(fleet);
	GHashTableIter iter;
	gpointer info;

	fleet->leading = true;
	if (fleet->term != raft_term(replica_raft(fleet->replica)))
		fleet->fence_epoch = 0;
	fleet->term = raft_term(replica_raft(fleet->replica));
	fleet->leading_since_ms = now_ms;
	if (has_urgent_queue(ledger_config(ledger)))
		headroom_restart(&fleet->headroom, now_ms);
	g_hash_table_iter_init(&iter, ledger_workers(ledger));
	while (g_hash_table_iter_next(&iter, NULL, &info)) {
		worker_t *worker;

		if (((const fleet_worker_t *)info)->gone)
			continue;
		worker = worker_create(fleet, info);
		worker->registered = true;
		worker->needs_poll = true;
		worker->unconfirmed = true;
	}
	recover_runs(fleet, ledger_open_jobs(ledger));
	recover_runs(fleet, ledger_ended_jobs(ledger));
	evlog("lead", "{s:I,s:i,s:i,s:I}", "term", (json_int_t)fleet->term,
	    "workers", (int)g_hash_table_size(fleet->workers), "runs",
	    (int)fleet->runs->len, "config_version",
	    (json_int_t)ledger_config(ledger)->number);
	domains_log(fleet);
	fleet_schedule_work(fleet);
}

static void
detach_runs(const GQueue *jobs)
{
	for (const GList *at = jobs->head; at != NULL; at = at->next) {
		ledger_job_t *job = at->data;
		ledger_unit_t *unit;
		size_t index = 0;

		job->submitted_mono_ms = 0;
		job->still_since_ms = 0;
		job->begun = false;
		job->domain_wait_logged = false;
		job->ended_ms = 0;
		job->removal_proposed_ms = 0;
		job->hold_until_ms = 0;
		job->runs_stopped = false;
		while ((unit = ledger_next_known_unit(job, &index)) != NULL)
			unit_detach_run(unit);
	}
}

/*
 * Discards the in-memory workers and runs and the queued events. The next
 * leader rebuilds workers and runs from the committed ledger.
 */
void
fleet_step_down(fleet_t *fleet, const char *why)
{
	ledger_t *ledger = fleet_ledger(fleet);
	GHashTableIter iter;
	gpointer worker;

	if (!fleet->leading)
		return;
	evlog("step_down", "{s:I,s:s}", "term", (json_int_t)fleet->term,
	    "reason", why);
	fleet->leading = false;
	ev_timer_stop(fleet->loop, &fleet->work_timer);
	ev_timer_stop(fleet->loop, &fleet->plan_timer);
	while (fleet->runs->len > 0)
		run_drop(g_ptr_array_index(fleet->runs, fleet->runs->len - 1));
	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker)) {
		g_hash_table_iter_steal(&iter);
		worker_retire(worker);
	}
	g_hash_table_remove_all(fleet->departing);
	fleet_leaves_clear(fleet);
	fleet_speed_forget(fleet);
	detach_runs(ledger_open_jobs(ledger));
	detach_runs(ledger_ended_jobs(ledger));
	fleet_events_clear(fleet, FLEET_NO_ANSWER);
}

static void
check_leadership(fleet_t *fleet, int64_t now_ms)
{
	bool leads = replica_is_caught_up_leader(fleet->replica);

	loop_watch_enter("leadership");
	if (fleet->leading &&
	    (!leads || fleet->term != raft_term(replica_raft(fleet->replica))))
		fleet_step_down(fleet, "not_leader");
	if (leads && !fleet->leading)
		become_leader(fleet, now_ms);
	loop_watch_leave();
}

/* ---- regular work ---- */

/*
 * Records the end time of newly ended jobs. The list is in order of end, so the
 * scan runs from its tail to the first job already recorded.
 */
static void
record_ended_jobs(fleet_t *fleet, int64_t now_ms)
{
	const GQueue *ended = ledger_ended_jobs(fleet_ledger(fleet));

	for (const GList *at = ended->tail; at != NULL; at = at->prev) {
		ledger_job_t *job = at->data;

		if (job->ended_ms != 0)
			break;
		job->ended_ms = now_ms;
		tickets_forget_job(fleet->tickets, job->submit.id);
	}
}

static void
forget_ended_jobs(fleet_t *fleet, int64_t now_ms)
{
	const GQueue *ended = ledger_ended_jobs(fleet_ledger(fleet));
	int left = FORGET_PER_TICK;

	for (const GList *at = ended->head; at != NULL && left > 0;
	     at = at->next) {
		ledger_job_t *job = at->data;

		if (now_ms - job->ended_ms <
		    fleet->timing.ended_job_retention_ms)
			break;
		/*
		 * The ledger keeps a job while one of its units is placed, so
		 * retry.
		 */
		if (job->runs > 0 ||
		    (job->removal_proposed_ms != 0 &&
			now_ms - job->removal_proposed_ms < FORGET_RETRY_MS))
			continue;
		job->removal_proposed_ms = now_ms;
		fleet_event_forget(fleet, job->submit.id);
		left--;
	}
}

/* Runs a planning round and proposes what it decided. */
static void
on_plan_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	fleet_t *fleet = watcher->data;
	int64_t start_us = clock_mono_us();
	int64_t end_us;
	bool whole;

	check_leadership(fleet, fleet_now_ms());
	if (!fleet_leads(fleet))
		return;
	loop_watch_enter("plan");
	whole = fleet_plan(fleet, fleet_now_ms());
	loop_watch_leave();
	fleet_events_propose(fleet);
	end_us = clock_mono_us();
	fleet->next_plan_us = end_us + (end_us - start_us) * PLAN_REST_FACTOR;
	if (!whole)
		schedule_plan(fleet);
}

static void
on_work_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	fleet_t *fleet = watcher->data;
	int64_t now_ms = fleet_now_ms();
	GHashTableIter iter;
	gpointer value;

	check_leadership(fleet, now_ms);
	if (!fleet_leads(fleet))
		return;
	fleet_events_propose(fleet);
	loop_watch_enter("polls");
	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (worker->retire_pending ||
		    (worker->leaving && worker->members->len == 0)) {
			g_hash_table_iter_steal(&iter);
			worker_retire(worker);
		} else {
			worker_tick(worker, now_ms);
		}
	}
	fleet_acknowledge_leaves(fleet, now_ms);
	loop_watch_leave();
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	fleet_t *fleet = watcher->data;
	int64_t now_ms = fleet_now_ms();
	GPtrArray *runs;

	check_leadership(fleet, now_ms);
	watcher->repeat = fleet->leading ? TICK_LEADER_S : TICK_FOLLOWER_S;
	ev_timer_again(loop, watcher);
	domains_update_gauges(fleet);
	/* Without a lease another instance may lead: send no order. */
	if (!fleet_leads(fleet))
		return;
	loop_watch_enter("runs");
	/* run_tick may remove runs from fleet->runs, so iterate over a copy. */
	runs = g_ptr_array_copy(fleet->runs, NULL, NULL);
	for (guint i = 0; i < runs->len; i++)
		run_tick(g_ptr_array_index(runs, i), now_ms);
	g_ptr_array_unref(runs);
	loop_watch_leave();
	loop_watch_enter("relocation");
	fleet_relocate(fleet, now_ms);
	domains_check_guarantees(fleet);
	loop_watch_leave();
	record_ended_jobs(fleet, now_ms);
	forget_ended_jobs(fleet, now_ms);
	on_work_timer(loop, &fleet->work_timer, 0);
	schedule_plan(fleet);
	fleet_reap_runs(fleet);
	fleet_reap_workers(fleet);
}

/* ---- create and destroy ---- */

static void
create_counters(fleet_t *fleet)
{
	fleet_speed_init(fleet);
	fleet_crowding_init(fleet);
	fleet->first_start_latency[false] =
	    histogram_get("fleet_first_start_seconds{urgent=\"no\"}",
		"from the hand-in to the first start of a unit");
	fleet->first_start_latency[true] =
	    histogram_get("fleet_first_start_seconds{urgent=\"yes\"}", "");
	fleet->order_latency = histogram_get(
	    "fleet_order_seconds", "until a worker answered a start or a stop");
	fleet->commit_latency = histogram_get(
	    "fleet_commit_seconds", "until a job or a cancel was committed");
	fleet->round_time = histogram_get("fleet_round_seconds",
	    "time of the event loop for a planning round");
	fleet->rounds_cut = counter_get("fleet_rounds_cut_total",
	    "planning rounds that ended with their time budget");
	fleet->starts = counter_get("fleet_starts_total", "starts sent");
	fleet->runs_refused = counter_get("fleet_runs_refused_total",
	    "runs dropped as the ledger refused their start");
	fleet->events_left_out = counter_get("fleet_events_left_out_total",
	    "decisions and reports that exceed the limits of a command");
	fleet->restarts_delayed = counter_get("fleet_restarts_delayed_total",
	    "runs of long-running tasks held back as they end at once");
	fleet->checkpoints_left_out =
	    counter_get("fleet_checkpoints_left_out_total",
		"checkpoints of tasks that are too long to be kept");
	fleet->stops = counter_get("fleet_stops_total", "stops sent");
	fleet->polls = counter_get("fleet_polls_total", "polls of workers");
	fleet->ends_done = counter_get("fleet_ends_total{how=\"done\"}", "");
	fleet->ends_failed =
	    counter_get("fleet_ends_total{how=\"failed\"}", "");
	fleet->ends_lost = counter_get("fleet_ends_total{how=\"lost\"}", "");
	fleet->starts_unanswered = counter_get("fleet_starts_unanswered_total",
	    "starts that the worker may still carry out");
	fleet->strays = counter_get("fleet_strays_total",
	    "tasks found on a worker without a run of the leader");
	fleet->overlaps = counter_get("fleet_overlaps_total",
	    "strays whose unit had another run in progress");
	fleet->ends_uncounted = counter_get("fleet_ends_uncounted_total",
	    "successful ends acknowledged without being counted");
	fleet->foreign_announcements =
	    counter_get("fleet_foreign_announcements_total",
		"announcements that name a service that is not configured");
	fleet->refused_no_room =
	    counter_get("fleet_refused_room_total", "starts without room");
	fleet->preempted =
	    counter_get("fleet_preempted_total", "runs stopped for others");
	fleet->submitted = counter_get("fleet_jobs_total", "jobs accepted");
	fleet->rejected =
	    counter_get("fleet_jobs_rejected_total", "jobs refused");
	waits_init(fleet);
	domains_init(fleet);
	fleet_waste_init(fleet);
}

/*
 * Creates the fleet. replica must outlive it, and the caller must call
 * fleet_applied for each command that the replica applies.
 */
fleet_t *
fleet_create(struct ev_loop *loop, replica_t *replica,
    const fleet_timing_t *timing, const order_transport_t *orders)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->loop = loop;
	fleet->replica = replica;
	fleet->timing = *timing;
	fleet->orders = *orders;
	fleet->workers = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->departing =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->runs = g_ptr_array_new();
	fleet->retired_runs = g_ptr_array_new();
	fleet->retired_workers = g_ptr_array_new();
	g_queue_init(&fleet->leaves);
	g_queue_init(&fleet->member_orders);
	g_queue_init(&fleet->batches);
	g_queue_init(&fleet->pending_calls);
	fleet->tickets = tickets_create();
	create_counters(fleet);
	ev_timer_init(&fleet->tick, on_tick, TICK_FOLLOWER_S, TICK_FOLLOWER_S);
	fleet->tick.data = fleet;
	ev_timer_init(&fleet->work_timer, on_work_timer, 0, 0);
	fleet->work_timer.data = fleet;
	ev_timer_init(&fleet->plan_timer, on_plan_timer, 0, 0);
	fleet->plan_timer.data = fleet;
	ev_timer_start(loop, &fleet->tick);
	return fleet;
}

/*
 * Destroys the fleet. Call it after the order transport has been shut down and
 * before the replica is destroyed.
 */
void
fleet_destroy(fleet_t *fleet)
{
	if (fleet == NULL)
		return;
	fleet_step_down(fleet, "stopping");
	ev_timer_stop(fleet->loop, &fleet->tick);
	fleet_calls_clear(fleet);
	fleet_drop_proposal(fleet);
	fleet_drop_orders(fleet);
	fleet_drop_advice_query(fleet);
	fleet_reap_runs(fleet);
	fleet_reap_workers(fleet);
	tickets_destroy(fleet->tickets);
	crowding_destroy(fleet->crowding);
	g_ptr_array_unref(fleet->retired_runs);
	g_ptr_array_unref(fleet->retired_workers);
	g_hash_table_unref(fleet->workers);
	g_hash_table_unref(fleet->departing);
	g_hash_table_unref(fleet->domain_gauges);
	g_ptr_array_unref(fleet->runs);
	g_free(fleet);
}

bool
fleet_leads(const fleet_t *fleet)
{
	return fleet->leading && replica_has_lease(fleet->replica);
}

/* Returns the leader's ID, or an empty string when it is unknown. */
const char *
fleet_leader(const fleet_t *fleet)
{
	return replica_leader_id(fleet->replica);
}

peer_info_t
fleet_leader_info(const fleet_t *fleet)
{
	return replica_peer_info(fleet->replica, fleet_leader(fleet));
}
