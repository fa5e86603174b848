#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/fleet_round.h"

/* Places waiting units on workers, one planning round at a time. */

/*
 * All workers are expected to have announced themselves to a new leader by
 * then; holds for announce intervals below it.
 */
#define WORKERS_KNOWN_MS 5000

/*
 * Returns the number of racks among the chosen workers and stores their highest
 * penalty.
 */
static int
summarize_choice(const round_t *round, int *penalty)
{
	int racks = 0;

	*penalty = 0;
	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *plan_worker = &round->plan_workers[i];
		bool skip = plan_worker->chosen == 0;

		if (plan_worker->chosen > 0)
			*penalty = MAX(*penalty, plan_worker->penalty);
		for (size_t j = 0; j < i && !skip; j++)
			skip = round->plan_workers[j].chosen > 0 &&
			       strcmp(round->plan_workers[j].worker->rack,
				   plan_worker->worker->rack) == 0;
		racks += !skip;
	}
	return racks;
}

/* Creates a run on the chosen workers and queues its start for commit. */
static void
queue_start(round_t *round, const waiting_unit_t *item)
{
	ledger_unit_t *unit = item->unit;
	unit_place_t *places = g_new0(unit_place_t, unit->members);
	int penalty;
	int racks = summarize_choice(round, &penalty);
	int n = 0;
	run_t *run;

	for (size_t i = 0; i < round->count; i++) {
		for (int c = 0; c < round->plan_workers[i].chosen; c++)
			places[n++] = (unit_place_t){
			    .worker = (char *)round->plan_workers[i].worker->id,
			    .born = round->plan_workers[i].worker->born};
	}
	if (unit->run == 0)
		histogram_record(
		    round->fleet->first_start_latency[item->priority ==
						      QUEUE_PRIORITY_URGENT],
		    (round->now_ms - item->since_ms) * CLOCK_US_PER_MS);
	run = run_create(round->fleet, unit, unit->run + 1, places);
	fleet_event_start(round->fleet, run);
	evlog("place", "{s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i,s:s,s:i,s:i,s:I,s:I}",
	    "job", run->job, "queue", unit->job->submit.queue, "covered",
	    (int)unit->job->covered, "occurrence", unit->occurrence, "step",
	    unit->step, "unit", unit->first, "run", (int)run->number, "members",
	    unit->members, "worker", places[0].worker, "racks", racks,
	    "penalty", penalty, "waited_ms",
	    (json_int_t)(round->now_ms - unit->job->submitted_mono_ms),
	    "slack_ms", (json_int_t)(item->latest_start_ms - round->now_ms));
	g_free(places);
}

/* Whether the rack could hold the unit if nothing else ran. */
static bool
rack_can_hold(const round_t *round, const plan_unit_t *unit, const char *rack)
{
	int fitting = 0;

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *plan_worker = &round->plan_workers[i];

		if (plan_worker->usable &&
		    strcmp(plan_worker->worker->rack, rack) == 0)
			fitting += plan_fit(
			    &plan_worker->worker->capacity, &unit->step->shape);
	}
	return fitting >= unit->members;
}

/* Whether any rack can satisfy the unit's data or same-rack preference. */
static bool
locality_is_possible(const round_t *round, const plan_unit_t *unit)
{
	const step_spec_t *step = unit->step;

	if (step->data_rack[0] != '\0')
		return rack_can_hold(round, unit, step->data_rack);
	if (!step->same_rack || unit->members == 1)
		return true;
	for (size_t i = 0; i < round->count; i++) {
		if (rack_can_hold(
			round, unit, round->plan_workers[i].worker->rack))
			return true;
	}
	return false;
}

/* Whether placing the unit preserves the headroom for urgent work. */
static bool
leaves_headroom(const round_t *round, const waiting_unit_t *item)
{
	return !waiting_respects_headroom(item) ||
	       round->free_accelerators - waiting_accelerators(item) >=
		   round->headroom_accelerators;
}

/*
 * Marks the workers that hold a ticket for the unit's step, and asks the
 * adviser about others when they have too little room.
 */
static void
apply_tickets(
    round_t *round, const waiting_unit_t *item, const plan_unit_t *unit)
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
try_plan(round_t *round, const waiting_unit_t *item, const plan_unit_t *unit,
    plan_available_t room)
{
	int limit = round->free_accelerators;

	if (room == PLAN_RELEASING)
		limit += round->releasing_accelerators;
	return waiting_accelerators(item) <= limit &&
	       plan_unit(round->plan_workers, round->count, unit, room);
}

/*
 * Starts the unit and returns true, or reserves room for it where possible and
 * returns false.
 */
static bool
place_unit(round_t *round, const waiting_unit_t *item)
{
	const fleet_queue_t *queue = ledger_queue(
	    fleet_ledger(round->fleet), item->unit->job->submit.queue);
	plan_unit_t unit = {
	    .service = queue->service,
	    .step = ledger_step(item->unit),
	    .members = item->unit->members,
	};

	if (!leaves_headroom(round, item))
		return false;
	round_prepare_unit(round, item);
	if (queue->needs_ticket) {
		apply_tickets(round, item, &unit);
		unit.needs_ticket = true;
	}
	unit.may_spread = !locality_is_possible(round, &unit) ||
			  round->now_ms > item->may_spread_ms;
	if (try_plan(round, item, &unit, PLAN_FREE)) {
		queue_start(round, item);
		round_subtract_chosen(round, unit.step);
		round->free_accelerators -= waiting_accelerators(item);
		return true;
	}
	if (try_plan(round, item, &unit, PLAN_RELEASING)) {
		round_subtract_chosen(round, unit.step);
		return false;
	}
	if (item->priority == QUEUE_PRIORITY_URGENT &&
	    round_preempt(round, item, &unit))
		round_subtract_chosen(round, unit.step);
	return false;
}

/*
 * Units of one step have the same needs: if one cannot be placed, neither can
 * the others.
 */
static bool
is_same_step(const waiting_unit_t *a, const waiting_unit_t *b)
{
	return a->unit->job == b->unit->job && a->unit->step == b->unit->step &&
	       a->unit->occurrence == b->unit->occurrence;
}

/* Runs one planning round over all waiting units. */
void
fleet_plan(fleet_t *fleet, int64_t now_ms)
{
	GArray *waiting = waiting_collect(fleet, now_ms);
	const waiting_unit_t *blocked = NULL;
	round_t round;

	if (waiting->len > 0 && g_hash_table_size(fleet->workers) > 0) {
		round_begin(&round, fleet, now_ms);
		round_begin_placing(&round);
		for (guint i = 0; i < waiting->len; i++) {
			const waiting_unit_t *item =
			    &g_array_index(waiting, waiting_unit_t, i);

			if (blocked != NULL && is_same_step(item, blocked))
				continue;
			if (!place_unit(&round, item))
				blocked = item;
		}
		round_end(&round);
	}
	g_array_unref(waiting);
}

/*
 * Whether every step would fit on the known workers if nothing else ran.
 * Returns true while the list of workers may be incomplete.
 */
bool
fleet_can_ever_run(fleet_t *fleet, const char *service,
    const batch_spec_t *spec, const char **reason)
{
	int64_t now_ms = fleet_now_ms();
	round_t round;
	bool fits = true;

	if (now_ms - fleet->leading_since_ms < WORKERS_KNOWN_MS ||
	    g_hash_table_size(fleet->workers) == 0)
		return true;
	round_begin(&round, fleet, now_ms);
	for (u_int i = 0; i < spec->steps.steps_len && fits; i++) {
		const step_spec_t *step = &spec->steps.steps_val[i];
		plan_unit_t unit = {
		    .service = service,
		    .step = step,
		    .members = step->gang ? step->count : 1,
		};

		fits =
		    plan_can_ever_fit(round.plan_workers, round.count, &unit);
	}
	round_end(&round);
	*reason = fits ? "" : "no set of workers could hold a step";
	return fits;
}
