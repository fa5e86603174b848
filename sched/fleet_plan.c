#include <stdlib.h>
#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "sched/displace.h"
#include "sched/fleet_private.h"
#include "sched/guarantee.h"
#include "sched/reserve.h"
#include "sched/urgency.h"

/*
 * Load at its worst: demand above the room, gangs among many small tasks.  The
 * units that wait are placed by priority, those that their tenant's guarantee
 * covers before others, those that can still be on time before those that are
 * late, then by the latest time at which they can start and meet the objective
 * of their queue.
 */

#define PERMILLE 1000
#define PERCENT 100
/* A clock that was set must not make a job older than that. */
#define MAX_AGE_MS 60000
/* A view of the workers is complete this long after a takeover. */
#define VIEW_COMPLETE_MS 5000
/* Evidence against a worker, in the planner's unit. */
#define PENALTY_SUSPECT 10
/* Where more than one in so many is a suspect, the jobs are to blame. */
#define MOST_SUSPECTS_DIVISOR 2
/* Urgent work is stopped only where nothing else would do. */
#define URGENT_LOSS_FACTOR 100
/*
 * Share of the bound for guarantees during which a covered unit waits for its
 * rack, and for other urgent work to end: most of that is short.
 */
#define RECLAIM_PATIENCE_PERCENT 40

typedef struct {
	ledger_unit_t *unit;
	int priority;
	urgency_t urgency;
	int64_t latest_start_ms;
	bool covered;          /* by the guarantee of its tenant */
	int64_t reclaim_ms;    /* from then on at the cost of urgent work */
	int64_t may_spread_ms; /* from then on without its rack */
} waiting_t;

typedef struct {
	fleet_t *fleet;
	int64_t now_ms;
	plan_worker_t *workers;
	worker_t **views; /* of the same index */
	size_t count;
	int free;      /* accelerators on usable workers, at most */
	int releasing; /* the same of runs that are being stopped */
	int headroom;  /* of the free ones, kept for urgent work */
	reserve_t *reserve;
} round_t;

/* ---- what waits ---- */

/*
 * Time that may pass before the start of a step, beyond its own work.  A step
 * may not use up what the job has left for others.
 */
static int64_t
slack_ms(const fleet_queue_t *queue, const step_spec_t *step)
{
	return queue->target_latency_ms +
	       (int64_t)step->estimate_ms *
		   MAX(queue->stretch_milli - PERMILLE, 0) / PERMILLE;
}

static bool
is_due(const fleet_t *fleet, const ledger_unit_t *unit)
{
	int64_t due_ms = ledger_unit_due_ms(unit);

	return due_ms == 0 || clock_real_ms() >= due_ms;
}

/* Accelerators that the first step of the job takes. */
static int
accelerators_of(const ledger_job_t *job)
{
	const step_spec_t *step = &job->submit.spec.steps.steps_val[0];

	return step->count * step->shape.accelerators;
}

/*
 * Steady time since when the unit's result is waited for.  An earlier leader
 * may have seen the job first, so the time of day tells.
 */
static int64_t
waiting_since_ms(const ledger_unit_t *unit, int64_t now_ms)
{
	int64_t due_ms = ledger_unit_due_ms(unit);
	int64_t age_ms;

	if (due_ms == 0)
		return unit->job->seen_ms;
	age_ms = clock_real_ms() - due_ms;
	return now_ms - CLAMP(age_ms, 0, MAX_AGE_MS);
}

/* Notes when the job was handed in, and its demand. */
static void
first_seen(fleet_t *fleet, ledger_job_t *job, int priority, int64_t now_ms)
{
	int64_t age_ms = clock_real_ms() - job->submit.submitted_ms;

	job->seen_ms = now_ms - CLAMP(age_ms, 0, MAX_AGE_MS);
	if (priority == 0)
		headroom_note(&fleet->headroom, accelerators_of(job), now_ms);
}

static void
collect_job(fleet_t *fleet, ledger_job_t *job, int64_t now_ms, GArray *waiting)
{
	const fleet_queue_t *queue =
	    ledger_queue(fleet_ledger(fleet), job->submit.queue);
	int64_t *chains;
	int64_t work_ms;

	if (queue == NULL)
		return;
	if (job->seen_ms == 0)
		first_seen(fleet, job, queue->priority, now_ms);
	chains = g_newa(int64_t, job->submit.spec.steps.steps_len);
	work_ms = urgency_chains(&job->submit.spec, chains);
	for (size_t i = 0; i < job->unit_count; i++) {
		ledger_unit_t *unit = &job->units[i];
		waiting_t item = {.unit = unit, .priority = queue->priority};
		urgency_times_t times;
		int64_t since_ms;

		if (unit->state != UNIT_WAITING || unit->live != NULL ||
		    !is_due(fleet, unit) || !ledger_unit_is_free(unit))
			continue;
		since_ms = waiting_since_ms(unit, now_ms);
		times =
		    urgency_times(queue, work_ms, chains[unit->step], since_ms);
		item.urgency = urgency_at(&times, now_ms);
		item.latest_start_ms =
		    since_ms + slack_ms(queue, ledger_step(unit));
		/* Past the bound it has no claim before others any more. */
		item.covered = job->covered &&
			       now_ms <= since_ms + fleet->bounds.reclaim_ms;
		item.reclaim_ms = since_ms + fleet->bounds.reclaim_ms *
						 RECLAIM_PATIENCE_PERCENT /
						 PERCENT;
		item.may_spread_ms =
		    item.covered ? MIN(item.latest_start_ms, item.reclaim_ms)
				 : item.latest_start_ms;
		g_array_append_val(waiting, item);
	}
}

/* Finds out which urgent jobs the guarantees of their tenants cover. */
static void
cover_jobs(fleet_t *fleet)
{
	const ledger_t *ledger = fleet_ledger(fleet);
	const fleet_config_t *config = ledger_config(ledger);
	GQueue *open = ledger_open_jobs(fleet_ledger(fleet));
	guarantee_job_t *entries = g_new0(guarantee_job_t, open->length);
	ledger_job_t **jobs = g_new0(ledger_job_t *, open->length);
	size_t count = 0;

	for (GList *at = open->head; at != NULL; at = at->next) {
		ledger_job_t *job = at->data;
		const fleet_queue_t *queue =
		    ledger_queue(ledger, job->submit.queue);

		job->covered = false;
		if (queue == NULL || queue->priority != 0)
			continue;
		entries[count].tenant = job->submit.tenant;
		entries[count].accelerators =
		    guarantee_demand(&job->submit.spec);
		jobs[count++] = job;
	}
	guarantee_mark(entries, count, config->tenants.tenants_val,
	    config->tenants.tenants_len);
	for (size_t i = 0; i < count; i++)
		jobs[i]->covered = entries[i].covered;
	g_free(entries);
	g_free(jobs);
}

static gint
compare_waiting(gconstpointer a, gconstpointer b)
{
	const waiting_t *first = a;
	const waiting_t *second = b;

	if (first->priority != second->priority)
		return first->priority - second->priority;
	if (first->covered != second->covered)
		return first->covered ? -1 : 1;
	if (first->urgency != second->urgency)
		return first->urgency < second->urgency ? -1 : 1;
	if (first->latest_start_ms != second->latest_start_ms)
		return first->latest_start_ms < second->latest_start_ms ? -1
									: 1;
	if (first->unit->job != second->unit->job)
		return strcmp(
		    first->unit->job->submit.id, second->unit->job->submit.id);
	return first->unit < second->unit ? -1 : 1;
}

static GArray *
collect_waiting(fleet_t *fleet, int64_t now_ms)
{
	GArray *waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	GQueue *open = ledger_open_jobs(fleet_ledger(fleet));

	cover_jobs(fleet);
	for (GList *at = open->head; at != NULL; at = at->next)
		collect_job(fleet, at->data, now_ms, waiting);
	g_array_sort(waiting, compare_waiting);
	return waiting;
}

/* ---- room ---- */

static void
count_members(const worker_t *view, plan_worker_t *worker)
{
	for (guint i = 0; i < view->members->len; i++) {
		const member_t *member = g_ptr_array_index(view->members, i);
		const run_t *run = member->run;

		plan_take(&worker->free, &run->shape, 1);
		if (run->stopping || run->any_done)
			plan_give(&worker->releasing, &run->shape, 1);
	}
}

/* Keeps work from workers that fail it, unless too many of them seem to. */
static void
apply_suspicion(round_t *round)
{
	size_t suspects = 0;

	for (size_t i = 0; i < round->count; i++)
		suspects += suspicion_level(&round->views[i]->suspicion,
				round->now_ms) != SUSPICION_NONE;
	for (size_t i = 0; i < round->count && suspects > 0; i++) {
		const worker_t *view = round->views[i];
		plan_worker_t *worker = &round->workers[i];
		suspicion_level_t level =
		    suspicion_level(&view->suspicion, round->now_ms);

		worker->penalty = level != SUSPICION_NONE ? PENALTY_SUSPECT : 0;
		if (level == SUSPICION_NONE ||
		    suspects * MOST_SUSPECTS_DIVISOR > round->count)
			continue;
		worker->on_trial = true;
		if (level == SUSPICION_QUARANTINE || view->members->len > 0)
			worker->usable = false;
	}
}

/* Sums up what is free, and what of it is kept for urgent work. */
static void
count_room(round_t *round)
{
	int capacity = 0;

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *worker = &round->workers[i];

		if (!worker->usable)
			continue;
		capacity += worker->worker->capacity.accelerators;
		round->free += MAX(worker->free.accelerators, 0);
		round->releasing += worker->releasing.accelerators;
	}
	round->headroom =
	    headroom_wanted(&round->fleet->headroom, capacity, round->now_ms);
}

static void
round_begin(round_t *round, fleet_t *fleet, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	*round = (round_t){.fleet = fleet, .now_ms = now_ms};
	round->count = g_hash_table_size(fleet->workers);
	round->workers = g_new0(plan_worker_t, round->count);
	round->views = g_new0(worker_t *, round->count);
	round->count = 0;
	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *view = value;
		plan_worker_t *worker = &round->workers[round->count];

		view->plan_index = round->count;
		round->views[round->count++] = view;
		worker->worker = &view->info;
		worker->free = view->info.capacity;
		worker->usable = worker_is_usable(view, now_ms);
		count_members(view, worker);
	}
	apply_suspicion(round);
	count_room(round);
	round->reserve = reserve_create(round->workers, round->count);
}

static void
round_end(round_t *round)
{
	reserve_destroy(round->reserve);
	g_free(round->workers);
	g_free(round->views);
}

static bool
is_covered(const run_t *run)
{
	return run->unit != NULL && run->unit->job->covered;
}

/* Covered work may displace whatever is not covered itself, if it has to. */
static bool
may_displace(const run_t *run, const waiting_t *item, int64_t now_ms)
{
	if (!run->committed || run->stopping || run->any_done ||
	    run->step->long_running)
		return false;
	return run->priority > item->priority ||
	       (item->covered && now_ms >= item->reclaim_ms &&
		   !is_covered(run));
}

static int
accelerators_of_unit(const waiting_t *item)
{
	return item->unit->members *
	       ledger_step(item->unit)->shape.accelerators;
}

/*
 * Bars workers on which the unit's job has just failed, and racks that are kept
 * for urgent work.
 */
static void
bar_workers(round_t *round, const waiting_t *item)
{
	const char *job = item->unit->job->submit.id;
	bool urgent = item->priority == 0;

	if (!urgent)
		reserve_choose(round->reserve, round->headroom,
		    accelerators_of_unit(item));
	for (size_t i = 0; i < round->count; i++)
		round->workers[i].barred =
		    suspicion_bars(
			&round->views[i]->suspicion, job, round->now_ms) ||
		    (!urgent && reserve_keeps(round->reserve, i));
}

/* Counts tasks of the same step, where only some may share a worker. */
static void
prepare_for(round_t *round, const waiting_t *item)
{
	const step_spec_t *step = ledger_step(item->unit);

	bar_workers(round, item);
	if (step->max_per_worker <= 0)
		return;
	for (size_t i = 0; i < round->count; i++) {
		const GPtrArray *members = round->views[i]->members;

		round->workers[i].same_step = 0;
		for (guint m = 0; m < members->len; m++) {
			const member_t *member = g_ptr_array_index(members, m);
			const run_t *run = member->run;

			if (run->step == step &&
			    run->name.occurrence == item->unit->occurrence)
				round->workers[i].same_step++;
		}
	}
}

/* ---- displacing ---- */

/* Work that would be lost: core-milliseconds not covered by a checkpoint. */
static int64_t
loss_of(const run_t *run, int64_t now_ms)
{
	int64_t ran_ms = now_ms - run->started_ms;
	int64_t cores = MAX(run->shape.cpu_milli / PERMILLE +
				8 * (int64_t)run->shape.accelerators,
	    1);

	if (run->step->checkpoints)
		ran_ms = MIN(ran_ms, CLOCK_MS_PER_S);
	if (run->priority == 0)
		cores *= URGENT_LOSS_FACTOR;
	return ran_ms * cores * run->member_count;
}

/* What may be stopped for a unit, as displace_choose takes it. */
typedef struct {
	GArray *members;  /* displaceable_t */
	GArray *runs;     /* displaceable_run_t */
	GPtrArray *views; /* run_t of the same index */
} displaceable_set_t;

static void
add_displaceable(displaceable_set_t *set, run_t *run, int64_t now_ms)
{
	displaceable_run_t entry = {.loss = loss_of(run, now_ms)};

	g_ptr_array_add(set->views, run);
	g_array_append_val(set->runs, entry);
	for (int i = 0; i < run->member_count; i++) {
		const worker_t *worker = run->members[i].worker;
		displaceable_t member = {
		    .run = set->views->len - 1, .shape = run->shape};

		/* One that has left is not part of the round. */
		if (worker == NULL || worker->gone)
			continue;
		member.worker = worker->plan_index;
		g_array_append_val(set->members, member);
	}
}

static void
collect_displaceable(
    round_t *round, const waiting_t *item, displaceable_set_t *set)
{
	const GPtrArray *runs = round->fleet->runs;

	for (guint i = 0; i < runs->len; i++) {
		run_t *run = g_ptr_array_index(runs, i);

		if (may_displace(run, item, round->now_ms))
			add_displaceable(set, run, round->now_ms);
	}
}

static void
release(round_t *round, const displaceable_t *member)
{
	plan_give(&round->workers[member->worker].releasing, &member->shape, 1);
	round->releasing += member->shape.accelerators;
}

static void
stop_chosen(round_t *round, const displaceable_set_t *set)
{
	for (guint r = 0; r < set->views->len; r++) {
		if (!g_array_index(set->runs, displaceable_run_t, r).stop)
			continue;
		counter_add(round->fleet->preempted, 1);
		run_stop(g_ptr_array_index(set->views, r), "preempted");
	}
	for (guint m = 0; m < set->members->len; m++) {
		const displaceable_t *member =
		    &g_array_index(set->members, displaceable_t, m);

		if (g_array_index(set->runs, displaceable_run_t, member->run)
			.stop)
			release(round, member);
	}
}

/* Stops runs of lower priority so that the unit can start; false if it cannot.
 */
static bool
displace(round_t *round, const waiting_t *item, const plan_unit_t *unit)
{
	displaceable_set_t set = {
	    .members = g_array_new(FALSE, FALSE, sizeof(displaceable_t)),
	    .runs = g_array_new(FALSE, FALSE, sizeof(displaceable_run_t)),
	    .views = g_ptr_array_new(),
	};
	bool chosen;

	collect_displaceable(round, item, &set);
	chosen = displace_choose(round->workers, round->count, unit,
	    (const displaceable_t *)(void *)set.members->data, set.members->len,
	    (displaceable_run_t *)(void *)set.runs->data, set.runs->len);
	if (chosen)
		stop_chosen(round, &set);
	g_array_unref(set.members);
	g_array_unref(set.runs);
	g_ptr_array_unref(set.views);
	return chosen;
}

/* ---- placing ---- */

/* Keeps the chosen room from units that come later in this round. */
static void
reserve(round_t *round, const step_spec_t *step)
{
	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *worker = &round->workers[i];

		plan_take(&worker->free, &step->shape, worker->chosen);
		reserve_take(round->reserve, i,
		    worker->chosen * step->shape.accelerators);
		if (worker->on_trial && worker->chosen > 0)
			worker->usable = false;
	}
}

/* Number of racks among the chosen workers, and their worst penalty. */
static int
count_racks(const round_t *round, int *penalty)
{
	int racks = 0;

	*penalty = 0;
	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *worker = &round->workers[i];
		bool counted = worker->chosen == 0;

		if (worker->chosen > 0)
			*penalty = MAX(*penalty, worker->penalty);
		for (size_t j = 0; j < i && !counted; j++)
			counted = round->workers[j].chosen > 0 &&
				  strcmp(round->workers[j].worker->rack,
				      worker->worker->rack) == 0;
		racks += !counted;
	}
	return racks;
}

static void
start_unit(round_t *round, const waiting_t *item)
{
	ledger_unit_t *unit = item->unit;
	unit_place_t *places = g_new0(unit_place_t, unit->members);
	int penalty;
	int racks = count_racks(round, &penalty);
	int n = 0;
	run_t *run;

	for (size_t i = 0; i < round->count; i++) {
		for (int c = 0; c < round->workers[i].chosen; c++)
			places[n++] = (unit_place_t){
			    .worker = (char *)round->workers[i].worker->id,
			    .born = round->workers[i].worker->born};
	}
	run = run_create(round->fleet, unit, unit->run + 1, places);
	fleet_event_start(round->fleet, run);
	evlog("place", "{s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i,s:s,s:i,s:i,s:I,s:I}",
	    "job", run->job, "queue", unit->job->submit.queue, "covered",
	    (int)unit->job->covered, "occurrence", unit->occurrence, "step",
	    unit->step, "unit", unit->first, "run", (int)run->number, "members",
	    unit->members, "worker", places[0].worker, "racks", racks,
	    "penalty", penalty, "waited_ms",
	    (json_int_t)(round->now_ms - unit->job->seen_ms), "slack_ms",
	    (json_int_t)(item->latest_start_ms - round->now_ms));
	g_free(places);
}

static bool
rack_can_hold(const round_t *round, const plan_unit_t *unit, const char *rack)
{
	int places = 0;

	for (size_t i = 0; i < round->count; i++) {
		const plan_worker_t *worker = &round->workers[i];

		if (worker->usable && strcmp(worker->worker->rack, rack) == 0)
			places += plan_fit(
			    &worker->worker->capacity, &unit->step->shape);
	}
	return places >= unit->members;
}

/* Whether the unit's wish for a rack can be met at all. */
static bool
wish_is_possible(const round_t *round, const plan_unit_t *unit)
{
	const step_spec_t *step = unit->step;

	if (step->data_rack[0] != '\0')
		return rack_can_hold(round, unit, step->data_rack);
	if (!step->same_rack || unit->members == 1)
		return true;
	for (size_t i = 0; i < round->count; i++) {
		if (rack_can_hold(round, unit, round->workers[i].worker->rack))
			return true;
	}
	return false;
}

/* Whether enough stays free for urgent work that is about to arrive. */
static bool
leaves_headroom(const round_t *round, const waiting_t *item)
{
	return item->priority == 0 ||
	       round->free - accelerators_of_unit(item) >= round->headroom;
}

/*
 * Leaves only the workers that have a ticket for the unit's step usable, and
 * asks the adviser about others.
 */
static void
apply_tickets(round_t *round, const waiting_t *item, const plan_unit_t *unit)
{
	fleet_t *fleet = round->fleet;
	char *step = fleet_step_name(item->unit->job->submit.id,
	    item->unit->occurrence, item->unit->step);
	int places = 0;

	for (size_t i = 0; i < round->count; i++) {
		plan_worker_t *worker = &round->workers[i];

		worker->has_ticket =
		    tickets_find(fleet->tickets, step, worker->worker->id,
			worker->worker->born, round->now_ms) != NULL;
		if (worker->has_ticket && plan_may_hold(worker, unit))
			places += plan_fit(&worker->free, &unit->step->shape);
	}
	if (places < unit->members)
		fleet_ask_advice(fleet, item->unit->job->submit.id, step,
		    round->workers, round->count, unit);
	g_free(step);
}

/* As plan_unit; tries it only where enough accelerators are there at all. */
static bool
plan(round_t *round, const waiting_t *item, const plan_unit_t *unit,
    plan_room_t room)
{
	int most = round->free;

	if (room == PLAN_RELEASING)
		most += round->releasing;
	return accelerators_of_unit(item) <= most &&
	       plan_unit(round->workers, round->count, unit, room);
}

/* Places the unit or keeps room for it; false when it has to wait. */
static bool
place(round_t *round, const waiting_t *item)
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
	prepare_for(round, item);
	if (queue->needs_ticket) {
		apply_tickets(round, item, &unit);
		unit.needs_ticket = true;
	}
	unit.may_spread = !wish_is_possible(round, &unit) ||
			  round->now_ms > item->may_spread_ms;
	if (plan(round, item, &unit, PLAN_FREE)) {
		start_unit(round, item);
		reserve(round, unit.step);
		round->free -= accelerators_of_unit(item);
		return true;
	}
	if (plan(round, item, &unit, PLAN_RELEASING)) {
		reserve(round, unit.step);
		return false;
	}
	if (item->priority == 0 && displace(round, item, &unit))
		reserve(round, unit.step);
	return false;
}

/* Units of one step are alike: when one has to wait, so do the others. */
static bool
is_alike(const waiting_t *a, const waiting_t *b)
{
	return a->unit->job == b->unit->job && a->unit->step == b->unit->step &&
	       a->unit->occurrence == b->unit->occurrence;
}

/* Places what can be placed. */
void
fleet_plan(fleet_t *fleet, int64_t now_ms)
{
	GArray *waiting = collect_waiting(fleet, now_ms);
	const waiting_t *blocked = NULL;
	round_t round;

	if (waiting->len > 0 && g_hash_table_size(fleet->workers) > 0) {
		round_begin(&round, fleet, now_ms);
		for (guint i = 0; i < waiting->len; i++) {
			const waiting_t *item =
			    &g_array_index(waiting, waiting_t, i);

			if (blocked != NULL && is_alike(item, blocked))
				continue;
			if (!place(&round, item))
				blocked = item;
		}
		round_end(&round);
	}
	g_array_unref(waiting);
}

/*
 * Whether every step would fit on the workers that are known, if nothing else
 * ran.  True as long as the view may be incomplete.
 */
bool
fleet_can_ever_run(fleet_t *fleet, const char *service,
    const batch_spec_t *spec, const char **reason)
{
	int64_t now_ms = fleet_now_ms();
	round_t round;
	bool fits = true;

	if (now_ms - fleet->leading_since_ms < VIEW_COMPLETE_MS ||
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

		fits = plan_can_ever_fit(round.workers, round.count, &unit);
	}
	round_end(&round);
	*reason = fits ? "" : "no set of workers could hold a step";
	return fits;
}
