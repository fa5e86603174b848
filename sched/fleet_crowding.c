#include "sched/crowding.h"

#include <math.h>

#include "common/evlog.h"
#include "sched/fleet_round.h"

/* Feeds the estimate of interference from polls, and uses it for placing. */

#define MAX_KINDS 1024
/* Kinds that are told apart on one worker; the others are left out. */
#define MAX_WORKER_KINDS 16
/* Smaller shares of a worker disturb nobody noticeably. */
#define MIN_SHARE 0.005
#define SAME_SHARE 0.02
/* Shorter progress is too coarse, as it is reported in whole percents. */
#define MIN_PROGRESS_PERCENT 3
#define MIN_PROGRESS_MS 300
/* Expected slowdowns are compared in steps of that size. */
#define SLOWDOWN_STEP_PERCENT 10
/* Bounds the time that a planning round spends on expected slowdowns. */
#define MAX_STEPS_IN_ROUND 16
#define MAX_KNOWN_KINDS 64
#define LOG_INTERVAL_MS 10000
#define LOGGED_PAIRS 5

/* What is kept of a member between polls. */
struct crowding_watch_t {
	crowding_sample_t last;
	/* The interval under way; its neighbours are those at its start. */
	crowding_sample_t interval;
	int interval_percent; /* progress at its start */
};

typedef struct {
	crowding_neighbour_t items[MAX_WORKER_KINDS];
	size_t count;
} worker_kinds_t;

/* Creates the estimate if the settings ask for it. */
void
fleet_crowding_init(fleet_t *fleet)
{
	if (!fleet->timing.avoids_interference)
		return;
	fleet->crowding = crowding_create(MAX_KINDS);
	fleet->crowding_samples = counter_get("fleet_crowding_samples_total",
	    "changes among neighbours that told about interference");
	fleet->crowding_passed_over =
	    counter_get("fleet_crowding_passed_over_total",
		"places passed over because tasks there interfere");
	fleet->crowding_kinds = gauge_get("fleet_crowding_kinds",
	    "kinds of task known to the estimate of interference");
	fleet->crowding_worst = gauge_get("fleet_crowding_worst_percent",
	    "highest slowdown of a kind by a whole worker of another one");
}

/* ---- kinds and shares ---- */

/* Returns the kind of a step: its image, else its queue and shape. */
static crowding_kind_t
kind_of_step(const fleet_t *fleet, const step_spec_t *step, const char *queue,
    int64_t now_ms)
{
	crowding_kind_t kind;
	char *name;

	if (step->image[0] != '\0')
		return crowding_kind(fleet->crowding, step->image, now_ms);
	name = g_strdup_printf("%s:%d/%d/%d", queue, step->shape.cpu_milli,
	    step->shape.memory_mb, step->shape.accelerators);
	kind = crowding_kind(fleet->crowding, name, now_ms);
	g_free(name);
	return kind;
}

static crowding_kind_t
kind_of_member(const member_t *member, int64_t now_ms)
{
	run_t *run = member->run;

	if (run->crowding_kind == 0 && run->unit != NULL)
		run->crowding_kind = kind_of_step(run->fleet, run->step,
		    run->unit->job->submit.queue, now_ms);
	return run->crowding_kind;
}

/* Whether the member's load is a latency, not the CPU in use. */
static bool
reports_latency(const member_t *member)
{
	return member->run->step->latency_target_ms > 0;
}

/* Returns the share of its worker's cores that a member uses. */
static double
share_of_member(const member_t *member)
{
	int capacity = member->worker->info.capacity.cpu_milli;
	int used = member->run->shape.cpu_milli;

	if (capacity <= 0)
		return 0;
	if (member->state == MEMBER_RUNNING && !reports_latency(member))
		used = member->load;
	return CLAMP((double)used / capacity, 0, 1);
}

static void
add_share(worker_kinds_t *kinds, crowding_kind_t kind, double share)
{
	for (size_t i = 0; i < kinds->count; i++) {
		if (kinds->items[i].kind == kind) {
			kinds->items[i].share += share;
			return;
		}
	}
	if (kind != 0 && kinds->count < MAX_WORKER_KINDS)
		kinds->items[kinds->count++] =
		    (crowding_neighbour_t){kind, share};
}

static void
collect_kinds(const worker_t *worker, worker_kinds_t *kinds, int64_t now_ms)
{
	kinds->count = 0;
	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);

		add_share(kinds, kind_of_member(member, now_ms),
		    share_of_member(member));
	}
}

/* ---- samples ---- */

/* Describes the neighbours of a member: the worker's kinds less itself. */
static crowding_sample_t
sample_neighbours(
    const member_t *member, const worker_kinds_t *kinds, int64_t now_ms)
{
	crowding_sample_t sample = {.at_ms = now_ms};
	double own_share = share_of_member(member);

	for (size_t i = 0; i < kinds->count; i++) {
		crowding_neighbour_t neighbour = kinds->items[i];

		if (neighbour.kind == member->run->crowding_kind)
			neighbour.share -= own_share;
		if (neighbour.share >= MIN_SHARE &&
		    sample.count < CROWDING_MAX_NEIGHBOURS)
			sample.neighbours[sample.count++] = neighbour;
	}
	return sample;
}

static bool
has_same_neighbours(
    const crowding_sample_t *sample, const crowding_sample_t *other)
{
	if (sample->count != other->count)
		return false;
	for (size_t i = 0; i < sample->count; i++) {
		if (sample->neighbours[i].kind != other->neighbours[i].kind ||
		    fabs(sample->neighbours[i].share -
			 other->neighbours[i].share) > SAME_SHARE)
			return false;
	}
	return true;
}

/*
 * Compares a sample with the member's last one. If the neighbours are the same,
 * the mean of both takes its place, which reduces the noise of the next
 * comparison.
 */
static void
add_sample(member_t *member, const crowding_sample_t *sample)
{
	fleet_t *fleet = member->run->fleet;
	crowding_sample_t *last = &member->crowding->last;
	double last_level = last->level;
	bool is_same = last->at_ms != 0 && has_same_neighbours(last, sample);

	if (!is_same && crowding_learn(fleet->crowding,
			    member->run->crowding_kind, last, sample))
		counter_add(fleet->crowding_samples, 1);
	*last = *sample;
	if (is_same)
		last->level = (last_level + sample->level) / 2;
}

/*
 * Makes a sample of the progress since the interval began, unless it is too
 * short or the neighbours changed meanwhile.
 */
static void
observe_progress(member_t *member, const crowding_sample_t *now)
{
	crowding_watch_t *watch = member->crowding;
	crowding_sample_t sample = watch->interval;
	int64_t elapsed_ms = now->at_ms - watch->interval.at_ms;
	int gained = member->percent - watch->interval_percent;
	bool is_same = has_same_neighbours(&watch->interval, now);

	if (watch->interval.at_ms != 0 && is_same && gained >= 0 &&
	    (gained < MIN_PROGRESS_PERCENT || elapsed_ms < MIN_PROGRESS_MS))
		return;
	if (watch->interval.at_ms != 0 && gained >= MIN_PROGRESS_PERCENT &&
	    elapsed_ms >= MIN_PROGRESS_MS) {
		sample.at_ms = now->at_ms;
		sample.level = log((double)elapsed_ms / gained);
		add_sample(member, &sample);
	}
	watch->interval = *now;
	watch->interval_percent = member->percent;
}

/* Whether the member's progress depends on its own worker only. */
static bool
shows_progress(const member_t *member)
{
	const step_spec_t *step = member->run->step;

	return !step->long_running && !step->uses_leftover_cpu &&
	       member->run->member_count == 1;
}

static void
observe_member(member_t *member, const worker_kinds_t *kinds, int64_t now_ms)
{
	crowding_sample_t sample = sample_neighbours(member, kinds, now_ms);

	if (member->crowding == NULL)
		member->crowding = g_new0(crowding_watch_t, 1);
	if (shows_progress(member)) {
		observe_progress(member, &sample);
	} else if (reports_latency(member) && member->load > 0) {
		sample.level = log(member->load);
		add_sample(member, &sample);
	}
}

/* Logs the pairs of kinds with the highest slowdown, if there is evidence. */
static void
log_worst(fleet_t *fleet, int64_t now_ms)
{
	crowding_row_t rows[LOGGED_PAIRS];
	size_t count;

	if (now_ms < fleet->next_crowding_log_ms)
		return;
	fleet->next_crowding_log_ms = now_ms + LOG_INTERVAL_MS;
	count = crowding_worst(fleet->crowding, now_ms, rows, LOGGED_PAIRS);
	counter_set(
	    fleet->crowding_kinds, (int64_t)crowding_size(fleet->crowding));
	counter_set(
	    fleet->crowding_worst, count > 0 ? rows[0].slowdown_percent : 0);
	for (size_t i = 0; i < count; i++)
		evlog("crowding", "{s:s,s:s,s:i,s:f}", "kind", rows[i].task,
		    "neighbour", rows[i].neighbour, "slowdown_percent",
		    rows[i].slowdown_percent, "samples", rows[i].samples);
}

/* Learns from what a poll told of a worker's members. */
void
worker_observe_crowding(worker_t *worker, int64_t now_ms)
{
	fleet_t *fleet = worker->fleet;
	worker_kinds_t kinds;

	if (fleet->crowding == NULL || worker->members->len == 0)
		return;
	collect_kinds(worker, &kinds, now_ms);
	for (guint i = 0; i < worker->members->len; i++) {
		member_t *member = g_ptr_array_index(worker->members, i);

		if (member->state == MEMBER_RUNNING &&
		    member->run->crowding_kind != 0)
			observe_member(member, &kinds, now_ms);
	}
	log_worst(fleet, now_ms);
}

/* ---- use ---- */

/* Returns by how much one member is expected to slow down another. */
int
member_slowdown_percent(
    const member_t *member, const member_t *other, int64_t now_ms)
{
	const fleet_t *fleet = member->run->fleet;
	crowding_neighbour_t neighbour;

	if (fleet->crowding == NULL)
		return 0;
	neighbour = (crowding_neighbour_t){
	    kind_of_member(other, now_ms), share_of_member(other)};
	return crowding_slowdown_percent(fleet->crowding,
	    kind_of_member(member, now_ms), &neighbour, now_ms);
}

/* How a task of the step and the tasks of one kind react to each other. */
typedef struct {
	crowding_kind_t kind;
	double suffers; /* see crowding_reaction */
	double causes;
} known_kind_t;

/* The kinds that were looked up for a step; thousands of tasks share them. */
typedef struct {
	const crowding_t *crowding;
	crowding_kind_t kind; /* of the step's tasks */
	int64_t now_ms;
	known_kind_t known[MAX_KNOWN_KINDS];
	size_t count;
} step_kind_t;

static known_kind_t
look_up(step_kind_t *step, crowding_kind_t kind)
{
	known_kind_t known = {.kind = kind};

	for (size_t i = 0; i < step->count; i++) {
		if (step->known[i].kind == kind)
			return step->known[i];
	}
	known.suffers =
	    crowding_reaction(step->crowding, step->kind, kind, step->now_ms);
	known.causes =
	    crowding_reaction(step->crowding, kind, step->kind, step->now_ms);
	if (step->count < MAX_KNOWN_KINDS)
		step->known[step->count++] = known;
	return known;
}

/*
 * Returns the slowdown, in steps, that a task with that share of the worker
 * would suffer there and cause to the tasks there.
 */
static int
expected_crowding(const worker_t *worker, step_kind_t *step, double share)
{
	int percent = 0;

	for (guint i = 0; i < worker->members->len; i++) {
		const member_t *member = g_ptr_array_index(worker->members, i);
		known_kind_t known =
		    look_up(step, kind_of_member(member, step->now_ms));

		if (known.suffers > 0)
			percent += crowding_percent_of_level(
			    known.suffers * share_of_member(member));
		if (known.causes > 0)
			percent +=
			    crowding_percent_of_level(known.causes * share);
	}
	return percent / SLOWDOWN_STEP_PERCENT;
}

/*
 * Returns the share of the worker's cores that a task of the step will use; one
 * on leftover CPU uses what is free.
 */
static double
share_of_step(const step_spec_t *step, const plan_worker_t *worker)
{
	int capacity = worker->worker->capacity.cpu_milli;
	int used = step->shape.cpu_milli;

	if (capacity <= 0)
		return 0;
	if (step->uses_leftover_cpu)
		used = MAX(used, worker->free.cpu_milli);
	return CLAMP((double)used / capacity, 0, 1);
}

/*
 * Sets the expected crowding of each worker for tasks of the step. It stays 0
 * without evidence, and beyond the steps that a round may spend time on.
 */
void
round_prepare_crowding(round_t *round, const waiting_step_t *item)
{
	const fleet_t *fleet = round->fleet;
	const step_spec_t *step = ledger_step(item->unit);
	step_kind_t kind = {
	    .crowding = fleet->crowding, .now_ms = round->now_ms};
	bool applies;

	if (fleet->crowding == NULL)
		return;
	kind.kind = kind_of_step(
	    fleet, step, item->unit->job->submit.queue, round->now_ms);
	applies =
	    round->crowding_steps < MAX_STEPS_IN_ROUND &&
	    crowding_has_evidence(fleet->crowding, kind.kind, round->now_ms);
	if (!applies && !round->has_crowding)
		return;
	round->crowding_steps += applies;
	round->has_crowding = applies;
	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *worker = &round->plan_workers[i];

		worker->crowding = applies
				       ? expected_crowding(round->workers[i],
					     &kind, share_of_step(step, worker))
				       : 0;
	}
}

/* Logs the place that the unit would have got but for the crowding there. */
void
round_log_passed_over(const round_t *round, const waiting_step_t *item)
{
	const plan_worker_t *passed = pool_passed_over(round->pool);
	const plan_worker_t *chosen;

	if (passed == NULL)
		return;
	chosen = pool_worker(round->pool, pool_choice(round->pool, 0));
	counter_add(round->fleet->crowding_passed_over, 1);
	evlog("place_passed_over", "{s:s,s:i,s:s,s:i,s:s,s:i}", "job",
	    item->unit->job->submit.id, "step", item->unit->step, "worker",
	    passed->worker->id, "slowdown_percent",
	    passed->crowding * SLOWDOWN_STEP_PERCENT, "instead",
	    chosen->worker->id, "instead_slowdown_percent",
	    chosen->crowding * SLOWDOWN_STEP_PERCENT);
}
