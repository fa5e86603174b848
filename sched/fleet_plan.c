#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/fleet_round.h"
#include "sched/places.h"

/* Places waiting units on workers, one planning round at a time. */

/*
 * All workers are expected to have announced themselves to a new leader by
 * then; holds for announce intervals below it.
 */
#define WORKERS_KNOWN_MS 5000

/* Bounds the comparisons of a step with round_t.blocked. */
#define MAX_BLOCKED 64

/*
 * Returns the number of racks among the chosen workers and stores their highest
 * penalty.
 */
static int
summarize_choice(const round_t *round, int *penalty)
{
	const pool_t *pool = round->pool;
	size_t count = pool_choice_size(pool);
	int racks = 0;

	*penalty = 0;
	for (size_t i = 0; i < count; i++) {
		size_t worker = pool_choice(pool, i);
		const char *rack = pool_rack_name(pool, worker);
		bool seen = false;

		*penalty = MAX(*penalty, round->plan_workers[worker].penalty);
		/* The pool has one pointer for each rack's name. */
		for (size_t j = 0; j < i && !seen; j++)
			seen =
			    pool_rack_name(pool, pool_choice(pool, j)) == rack;
		racks += !seen;
	}
	return racks;
}

/* Creates a run on the chosen workers and queues its start for commit. */
static void
queue_start(round_t *round, const waiting_step_t *item, ledger_unit_t *unit)
{
	place_ranges_t places = {0};
	int penalty;
	int racks = summarize_choice(round, &penalty);
	run_t *run;

	for (size_t i = 0; i < pool_choice_size(round->pool); i++) {
		const plan_worker_t *chosen =
		    pool_worker(round->pool, pool_choice(round->pool, i));

		places_add(&places, chosen->worker->id, chosen->worker->born,
		    chosen->chosen);
	}
	if (unit->run == 0)
		histogram_record(
		    round->fleet->first_start_latency[item->priority ==
						      QUEUE_PRIORITY_URGENT],
		    (round->now_ms - item->since_ms) * CLOCK_US_PER_MS);
	run = run_create(round->fleet, unit, unit->run + 1, &places);
	places_clear(&places);
	if (!fleet_event_start(round->fleet, run))
		return;
	evlog("place", "{s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i,s:s,s:i,s:i,s:I,s:I}",
	    "job", run->job, "queue", unit->job->submit.queue, "covered",
	    (int)unit->job->covered, "occurrence", unit->occurrence, "step",
	    unit->step, "unit", unit->first, "run", (int)run->number, "members",
	    unit->members, "worker", run->members[0].worker->info.id, "racks",
	    racks, "penalty", penalty, "waited_ms",
	    (json_int_t)(round->now_ms - unit->job->submitted_mono_ms),
	    "slack_ms", (json_int_t)(item->latest_start_ms - round->now_ms));
}

/*
 * Whether placing the unit preserves the headroom for urgent work, which takes
 * less room on fast workers as it ends sooner there.
 */
static bool
leaves_headroom(const round_t *round, const waiting_step_t *item)
{
	int free = round->free_accelerators;
	int left = free - waiting_accelerators(item);
	/* What is left has the mean speed of what is free. */
	int64_t needed = (int64_t)round->headroom_accelerators * free *
			 PLAN_USUAL_SPEED_PERCENT;

	return !waiting_respects_headroom(item) ||
	       (left >= 0 && needed <= round->free_speed * left);
}

/*
 * Marks the workers that hold a ticket for the unit's step, and asks the
 * adviser about others when they have too little room.
 */
static void
apply_tickets(
    round_t *round, const waiting_step_t *item, const plan_unit_t *unit)
{
	fleet_t *fleet = round->fleet;
	char *step = fleet_step_name(item->unit->job->submit.id,
	    item->unit->occurrence, item->unit->step);
	int fitting = 0;

	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *plan_worker = &round->plan_workers[i];

		plan_worker->has_ticket =
		    tickets_find(fleet->tickets, step, plan_worker->worker->id,
			plan_worker->worker->born, round->now_ms) != NULL;
		if (plan_worker->has_ticket &&
		    plan_is_eligible(plan_worker, unit))
			fitting +=
			    plan_fit(&plan_worker->free, &unit->step->shape);
	}
	if (fitting < unit->members)
		fleet_ask_advice(fleet, item->unit->job->submit.id, step,
		    round->plan_workers, round->count, unit);
	g_free(step);
}

/* Like plan_unit, but first checks the total number of accelerators. */
static bool
try_plan(round_t *round, const waiting_step_t *item, const plan_unit_t *unit,
    plan_available_t room)
{
	int limit = round->free_accelerators;

	if (room == PLAN_RELEASING)
		limit += round->releasing_accelerators;
	return waiting_accelerators(item) <= limit &&
	       plan_unit(round->pool, unit, room);
}

/*
 * Whether the unit must avoid racks reserved for urgent work: it respects the
 * headroom and needs no label or data rack.
 */
static bool
avoids_reserve(const waiting_step_t *item)
{
	const step_spec_t *step = ledger_step(item->unit);

	return waiting_respects_headroom(item) && step->label[0] == '\0' &&
	       step->data_rack[0] == '\0';
}

/* Returns what the planner has to know of the step's units. */
static plan_unit_t
describe_unit(round_t *round, const waiting_step_t *item)
{
	const fleet_queue_t *queue = ledger_queue(
	    fleet_ledger(round->fleet), item->unit->job->submit.queue);
	plan_unit_t unit = {
	    .service = queue->service,
	    .step = ledger_step(item->unit),
	    .members = item->unit->members,
	    .needs_ticket = queue->needs_ticket,
	    .avoids_reserved = avoids_reserve(item),
	    .needed_speed_percent = item->needed_speed_percent,
	    .prefers_fast = item->prefers_fast,
	    .avoids_slow = round->now_ms < item->may_run_slowly_ms,
	};

	unit.may_spread = round->now_ms > item->may_spread_ms ||
			  !plan_locality_is_possible(round->pool, &unit);
	if (waits_in_vain(round, item, queue->service)) {
		unit.may_spread = true;
		unit.avoids_reserved = false;
		unit.avoids_slow = false;
	}
	return unit;
}

/*
 * Starts the unit and returns true, or reserves room for it where possible and
 * returns false.
 */
static bool
place_unit(round_t *round, const waiting_step_t *item, const plan_unit_t *plan,
    ledger_unit_t *unit)
{
	round->why = WAIT_ROOM;
	if (!leaves_headroom(round, item)) {
		if (waiting_accelerators(item) <= round->free_accelerators)
			round->why = WAIT_HEADROOM;
		return false;
	}
	if (plan->avoids_reserved)
		round_choose_reserve(round, item);
	if (try_plan(round, item, plan, PLAN_FREE)) {
		round_log_passed_over(round, item);
		queue_start(round, item, unit);
		round->started++;
		round_subtract_chosen(round, plan->step);
		round_subtract_free(round, plan->step);
		return true;
	}
	if (try_plan(round, item, plan, PLAN_RELEASING)) {
		round->why = WAIT_RELEASING;
		round_subtract_chosen(round, plan->step);
		return false;
	}
	if (item->priority == QUEUE_PRIORITY_URGENT &&
	    !round_is_over_budget(round) && round_preempt(round, item, plan))
		round_subtract_chosen(round, plan->step);
	return false;
}

/* ---- steps that cannot be placed ---- */

static bool
needs_as_much(const resources_t *shape, const resources_t *other)
{
	return shape->cpu_milli >= other->cpu_milli &&
	       shape->memory_mb >= other->memory_mb &&
	       shape->accelerators >= other->accelerators;
}

/*
 * Whether a unit cannot be placed because another one could not: the resources
 * of a round only shrink.
 */
static bool
is_blocked_by(const plan_unit_t *unit, const plan_unit_t *other)
{
	return unit->members >= other->members &&
	       needs_as_much(&unit->step->shape, &other->step->shape) &&
	       unit->may_spread == other->may_spread &&
	       unit->avoids_reserved == other->avoids_reserved &&
	       unit->step->same_rack == other->step->same_rack &&
	       strcmp(unit->service, other->service) == 0 &&
	       strcmp(unit->step->data_rack, other->step->data_rack) == 0 &&
	       strcmp(unit->step->label, other->step->label) == 0;
}

/*
 * Whether the outcome for a unit says something about others: it depends on its
 * needs only, and it is not worth a preemption.
 */
static bool
is_comparable(
    const round_t *round, const waiting_step_t *item, const plan_unit_t *unit)
{
	return item->priority != QUEUE_PRIORITY_URGENT && !round->excludes &&
	       !unit->needs_ticket && unit->step->max_per_worker <= 0;
}

static bool
is_blocked(const round_t *round, const plan_unit_t *unit)
{
	for (guint i = 0; i < round->blocked->len; i++) {
		if (is_blocked_by(
			unit, &g_array_index(round->blocked, plan_unit_t, i)))
			return true;
	}
	return false;
}

/* ---- rounds ---- */

/* Notes that the rest of the step is passed over for the reason round->why. */
static void
pass_over(round_t *round, const waiting_step_t *item, const plan_unit_t *plan)
{
	waits_check(round, item, plan);
	if ((round->why == WAIT_ROOM || round->why == WAIT_NO_WORKER) &&
	    domains_could_hold(round, plan)) {
		round->why = WAIT_OUT_OF_SERVICE;
		domains_log_wait(round, item);
	}
	waits_record(round->fleet, round->why);
}

/* Starts as many waiting units of the step as possible. */
static void
place_step(round_t *round, const waiting_step_t *item)
{
	plan_unit_t plan = describe_unit(round, item);
	bool comparable;

	round_prepare_step(round, item);
	comparable = is_comparable(round, item, &plan);
	if (comparable && is_blocked(round, &plan)) {
		round->why = WAIT_EARLIER;
		pass_over(round, item, &plan);
		return;
	}
	if (plan.needs_ticket)
		apply_tickets(round, item, &plan);
	for (size_t i = item->first; i < item->end; i++) {
		ledger_unit_t *unit = ledger_unit_at(item->unit->job, i);

		if (!waiting_is_waiting(unit))
			continue;
		if (!place_unit(round, item, &plan, unit)) {
			pass_over(round, item, &plan);
			break;
		}
		if (round_is_over_budget(round))
			return;
	}
	if (comparable && round->blocked->len < MAX_BLOCKED)
		g_array_append_val(round->blocked, plan);
}

/*
 * Tries the steps in their order.  A round that has started units ends with its
 * budget, as the next one begins with what is left; one that could start none
 * yet goes on, so that every step gets its turn.  Returns whether all were
 * tried.
 */
static bool
place_steps(round_t *round, const GArray *waiting)
{
	for (guint i = 0; i < waiting->len; i++) {
		if (round->started > 0 && round_is_over_budget(round)) {
			counter_add(round->fleet->rounds_cut, 1);
			return false;
		}
		place_step(round, &g_array_index(waiting, waiting_step_t, i));
	}
	return true;
}

/* Runs one planning round over all waiting steps. */
bool
fleet_plan(fleet_t *fleet, int64_t now_ms)
{
	int64_t start_us = clock_mono_us();
	GArray *waiting = waiting_collect(fleet, now_ms);
	bool whole = true;
	round_t round;

	if (waiting->len > 0 && g_hash_table_size(fleet->workers) > 0) {
		round_begin(&round, fleet, now_ms);
		round.start_us = start_us;
		round_begin_placing(&round);
		round.blocked = g_array_new(FALSE, FALSE, sizeof(plan_unit_t));
		whole = place_steps(&round, waiting);
		round_end(&round);
	}
	g_array_unref(waiting);
	histogram_record(fleet->round_time, clock_mono_us() - start_us);
	return whole;
}

/* Whether every step would fit on the first count workers of the round. */
static bool
steps_fit(const round_t *round, size_t count, const char *service,
    const batch_spec_t *spec)
{
	bool fits = true;

	for (u_int i = 0; i < spec->steps.steps_len && fits; i++) {
		const step_spec_t *step = &spec->steps.steps_val[i];
		plan_unit_t unit = {
		    .service = service,
		    .step = step,
		    .members = step->gang ? step->count : 1,
		};

		fits = plan_can_ever_fit(round->plan_workers, count, &unit);
	}
	return fits;
}

/*
 * Whether every step would fit on the known workers if nothing else ran; for a
 * job that is due at once, on those in service.  Returns true while the list of
 * workers may be incomplete.
 */
bool
fleet_can_ever_run(fleet_t *fleet, const char *service,
    const batch_spec_t *spec, const char **reason)
{
	int64_t now_ms = fleet_now_ms();
	round_t round;

	*reason = "";
	if (now_ms - fleet->leading_since_ms < WORKERS_KNOWN_MS ||
	    g_hash_table_size(fleet->workers) == 0)
		return true;
	round_begin(&round, fleet, now_ms);
	if (!steps_fit(&round, round.count, service, spec))
		*reason = "no set of workers could hold a step";
	else if (spec->repeat_count == 0 && round.out_of_service->len > 0 &&
		 !steps_fit(
		     &round, domains_keep_in_service(&round), service, spec))
		*reason = "a step needs workers of a failure domain that is "
			  "out of service";
	round_end(&round);
	return (*reason)[0] == '\0';
}
