#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/fleet_round.h"
#include "sched/pace.h"

/*
 * Observes the progress of members, from which the speed of their workers is
 * learned, and tells the planner which workers are slow or fast.  Only the
 * leader knows it; a new leader learns it anew.
 */

/* Progress over less time, or less of a task, is too inexact. */
#define MIN_OBSERVED_MS 1000
#define MIN_OBSERVED_PERCENT 8
#define DONE_PERCENT 100
#define GANG_FAMILY 0
/*
 * An end is noticed at once only while a poll waits for it; a longer time
 * without one makes the end inexact.
 */
#define MAX_UNPOLLED_MS 300
/*
 * Speeds count only if at most 1/N of the workers are slow or fast; if there
 * are more, the usual speed is not known well.
 */
#define UNLIKE_LIMIT_DIVISOR 2
/*
 * The speeds are estimated that often, and not again before this multiple of
 * the time that it took.
 */
#define FIT_INTERVAL_MS 500
#define FIT_REST_FACTOR 100

void
fleet_speed_init(fleet_t *fleet)
{
	fleet->slow_workers = gauge_get("fleet_slow_workers",
	    "workers known to run below the usual speed of their service");
	fleet->fast_workers = gauge_get("fleet_fast_workers",
	    "workers known to run above the usual speed of their service");
	fleet->speed_changes = counter_get("fleet_speed_changes_total",
	    "workers that became slow, fast or usual");
}

/* Clears what an instance that no longer leads would still show. */
void
fleet_speed_forget(fleet_t *fleet)
{
	counter_set(fleet->slow_workers, 0);
	counter_set(fleet->fast_workers, 0);
}

static bool
is_on(const fleet_t *fleet)
{
	return fleet->timing.slow_worker_percent > 0;
}

/* ---- learning ---- */

/*
 * Whether nothing but the worker's lasting speed holds the member back.  A task
 * far from its data is slow anywhere, one on a cold worker for a while.
 */
static bool
tells_speed(const member_t *member)
{
	const step_spec_t *step = member->run->step;

	return is_on(member->run->fleet) && !step->long_running &&
	       !step->uses_leftover_cpu && step->latency_target_ms == 0 &&
	       member->pace == PACE_FULL && !worker_is_cold(member->worker) &&
	       (step->data_rack[0] == '\0' ||
		   g_str_equal(step->data_rack, member->worker->info.rack));
}

static void
mark(member_t *member, int percent, int64_t now_ms)
{
	member->mark = (progress_mark_t){
	    .task = fleet_next_sequence(member->run->fleet),
	    .percent = percent,
	    .since_ms = now_ms,
	    .seen_ms = now_ms,
	};
}

/*
 * Gangs are a family of their own; other tasks differ as much as those of their
 * queue.
 */
static uint64_t
family_of(const run_t *run)
{
	const char *queue =
	    run->unit != NULL ? run->unit->job->submit.queue : "";

	if (run->member_count > 1)
		return GANG_FAMILY;
	return XXH64(queue, strlen(queue), 0) | 1;
}

/* Records the progress since the mark. */
static void
record(member_t *member, int percent, int64_t now_ms)
{
	const run_t *run = member->run;
	bool is_gang = run->member_count > 1;
	/* Members of a gang are compared within its run. */
	char *name = g_strdup_printf("%s.%d.%d.%d", run->job, run->name.step,
	    is_gang ? run->name.occurrence : 0, is_gang ? (int)run->number : 0);
	speed_observation_t observation = {
	    .kind = XXH64(name, strlen(name), 0),
	    .full_ms = (now_ms - member->mark.since_ms) * DONE_PERCENT /
		       (percent - member->mark.percent),
	    .seen_ms = now_ms,
	    .weight = is_gang ? SPEED_WEIGHT_GANG : SPEED_WEIGHT_TASK,
	};

	observation.task = is_gang ? observation.kind : member->mark.task;
	observation.family = family_of(run);
	speed_observe(&member->worker->speed, &observation);
	g_free(name);
}

/*
 * Begins to observe a member whose start was answered.  One that resumes from a
 * checkpoint, or may have been at work already, is at an unknown percentage.
 */
void
member_started(member_t *member, int64_t now_ms)
{
	if (tells_speed(member) && member->mark.task == 0 &&
	    member->checkpoint[0] == '\0' && member->starts_unanswered == 0)
		mark(member, 0, now_ms);
}

/* Handles a percentage that the worker has listed. */
void
member_progressed(member_t *member, int percent, int64_t now_ms)
{
	if (!tells_speed(member)) {
		member->mark = (progress_mark_t){0};
		return;
	}
	if (member->mark.task == 0 || percent < member->mark.percent) {
		mark(member, percent, now_ms);
		return;
	}
	member->mark.seen_ms = now_ms;
	/* A member that is done with its part waits for its gang. */
	if (member->run->member_count > 1 && percent >= DONE_PERCENT)
		return;
	if (percent - member->mark.percent < MIN_OBSERVED_PERCENT ||
	    now_ms - member->mark.since_ms < MIN_OBSERVED_MS)
		return;
	record(member, percent, now_ms);
	member->mark.percent = percent;
	member->mark.since_ms = now_ms;
}

/* Handles the successful end of a member that is still on its worker. */
void
member_done(member_t *member, int64_t now_ms)
{
	int64_t unpolled_ms =
	    member->worker->poll_sent_ms - member->mark.seen_ms;

	if (member->mark.task != 0 && unpolled_ms <= MAX_UNPOLLED_MS)
		member_progressed(member, DONE_PERCENT, now_ms);
}

/* ---- planning ---- */

static const char *
name_of(int percent)
{
	if (percent == 0 || percent == PLAN_USUAL_SPEED_PERCENT)
		return "usual";
	return percent < PLAN_USUAL_SPEED_PERCENT ? "slow" : "fast";
}

static void
log_change(const worker_t *worker, int before)
{
	int percent = worker->speed.percent;

	if (strcmp(name_of(before), name_of(percent)) == 0)
		return;
	counter_add(worker->fleet->speed_changes, 1);
	evlog("worker_speed", "{s:s,s:s,s:s,s:i,s:s}", "worker",
	    worker->info.id, "before", name_of(before), "speed",
	    name_of(percent), "percent", percent, "rack", worker->info.rack);
}

/* Estimates the speeds of the workers of one service. */
static void
fit_service(round_t *round, const char *service)
{
	speed_history_t **histories = g_new(speed_history_t *, round->count);
	const worker_t **workers = g_new(const worker_t *, round->count);
	int *before = g_new(int, round->count);
	size_t count = 0;

	for (size_t i = 0; i < round->count; i++) {
		worker_t *worker = round->workers[i];

		if (strcmp(worker->info.service, service) != 0)
			continue;
		histories[count] = &worker->speed;
		before[count] = worker->speed.percent;
		workers[count++] = worker;
	}
	speed_fit(histories, count, round->fleet->timing.slow_worker_percent,
	    round->now_ms);
	for (size_t i = 0; i < count; i++)
		log_change(workers[i], before[i]);
	g_free(histories);
	g_free(workers);
	g_free(before);
}

/* Estimates the speeds of all workers, service by service. */
static void
fit_all(round_t *round)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer service;
	int64_t start_us = clock_mono_us();
	int64_t took_ms;

	for (size_t i = 0; i < round->count; i++)
		g_hash_table_add(services, round->workers[i]->info.service);
	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, &service, NULL))
		fit_service(round, service);
	g_hash_table_unref(services);
	took_ms = (clock_mono_us() - start_us) / CLOCK_US_PER_MS;
	round->fleet->next_speed_fit_ms =
	    round->now_ms + MAX(FIT_INTERVAL_MS, took_ms * FIT_REST_FACTOR);
}

/* Returns the speed of a worker in percent of the usual one. */
int
round_speed(const round_t *round, size_t worker)
{
	int percent = round->plan_workers[worker].speed_percent;

	return percent > 0 ? percent : PLAN_USUAL_SPEED_PERCENT;
}

/* Sets the speeds that are known, unless too many workers are unlike. */
void
round_apply_speed(round_t *round)
{
	const fleet_t *fleet = round->fleet;
	size_t slow = 0;
	size_t fast = 0;

	if (!is_on(fleet))
		return;
	if (round->now_ms >= fleet->next_speed_fit_ms)
		fit_all(round);
	for (size_t i = 0; i < round->count; i++) {
		int percent = round->workers[i]->speed.percent;

		round->plan_workers[i].speed_percent = percent;
		slow += percent > 0 && percent < PLAN_USUAL_SPEED_PERCENT;
		fast += percent > PLAN_USUAL_SPEED_PERCENT;
	}
	counter_set(fleet->slow_workers, (int64_t)slow);
	counter_set(fleet->fast_workers, (int64_t)fast);
	if ((slow + fast) * UNLIKE_LIMIT_DIVISOR <= round->count)
		return;
	for (size_t i = 0; i < round->count; i++)
		round->plan_workers[i].speed_percent = 0;
}
