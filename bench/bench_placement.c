#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "policy/placement.h"

/*
 * The same seeded arrivals through the placement decisions and through two
 * strict queues, with a clock that is moved from event to event.  Prints lines
 * "NAME VALUE UNIT TARGET ok|short|info".
 */

#define DEFAULT_SEED 20261204
/* At 0.8 the best baseline at 2,700 workers has no waits to compare with. */
#define DEFAULT_LOAD 0.9
#define TICK_MS 5000
#define CHECKPOINT_TAKES_MS 800
#define STOP_TAKES_MS 200
/* Of 10 checkpoints, one fails: the work since the start is lost. */
#define CHECKPOINT_FAILS_IN 10
#define MAX_WORKERS 2700
#define CHECK_EVERY 20 /* arrivals, of every guarantee */
#define MEMORY_LIMIT_MB 16.0

typedef enum { CLASS_SMALL, CLASS_MEDIUM, CLASS_GANG, CLASS_COUNT } class_t;

static gint64 seed = DEFAULT_SEED;
/* Offered work over capacity, the same for all policies and sizes. */
static double load = DEFAULT_LOAD;

static const char *const class_names[] = {"small", "medium", "gang"};

typedef struct {
	char id[16];
	char tenant[8];
	class_t class;
	int members;
	int accelerators;
	adjacency_t adjacency;
	job_priority_t priority;
	int64_t arrival_ms;
	int64_t run_ms;
	int64_t declared_ms;
	/* of one run */
	int64_t left_ms;
	int64_t started_ms; /* of the present attempt, -1 when it waits */
	int64_t first_start_ms;
	int64_t ended_ms;
	uint32_t epoch; /* of the attempt, to drop outdated events */
	bool checkpointed;
	int workers[MAX_MEMBERS];
} job_t;

typedef struct {
	const char *name;
	int racks;
	int per_rack;
	bool uniform; /* 8 accelerators each; else mostly 1 */
	int jobs;
	int background; /* members without accelerators */
} scenario_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_END,
	EVENT_CHECKPOINT,
	EVENT_STOPPED,
	EVENT_TICK
} event_kind_t;

typedef struct {
	int64_t at_ms;
	uint64_t order;
	event_kind_t kind;
	int job;
	uint32_t epoch;
} event_t;

typedef struct {
	const scenario_t *scenario;
	job_t *jobs;
	GHashTable *by_id;
	GSequence *events;
	uint64_t next_event;
	int64_t now_ms;
	int left;
	int64_t lost_ms;
	double fragmentation;
	int samples;
	int broken_guarantees;
	GArray *decisions_us; /* double */
	placement_t *placement;
	GRand *rand;
} run_t;

static int
accelerators_of(const scenario_t *scenario, int worker)
{
	if (scenario->uniform)
		return 8;
	/* 2,500 x 1, 150 x 2 and 50 x 4: 3,000 on 2,700 workers. */
	return worker % 54 == 0 ? 4 : worker % 18 == 1 ? 2 : 1;
}

static int
worker_count(const scenario_t *scenario)
{
	return scenario->racks * scenario->per_rack;
}

static int
total_accelerators(const scenario_t *scenario)
{
	int total = 0;

	for (int w = 0; w < worker_count(scenario); w++)
		total += accelerators_of(scenario, w);
	return total;
}

/* Run times spread over two orders of magnitude around half an hour. */
static int64_t
random_run_ms(GRand *rand)
{
	double u = g_rand_double(rand);

	return (int64_t)(180000.0 * pow(100.0, u));
}

static void
random_shape(const scenario_t *scenario, GRand *rand, job_t *job)
{
	static const int small_gangs[] = {4, 4, 6, 16, 64};
	double kind = g_rand_double(rand);

	job->members = 1;
	job->adjacency = ADJACENT_DOMAIN;
	job->priority = PRIORITY_OPPORTUNISTIC;
	if (kind < 0.75) {
		job->class = CLASS_SMALL;
		job->accelerators = 1;
	} else if (kind < 0.93) {
		job->class = CLASS_MEDIUM;
		job->accelerators =
		    scenario->uniform ? 1 << g_rand_int_range(rand, 1, 3) : 2;
	} else {
		job->class = CLASS_GANG;
		job->accelerators = scenario->uniform ? 8 : 1;
		job->members = scenario->uniform
				   ? g_rand_int_range(rand, 2, 5)
				   : small_gangs[g_rand_int_range(rand, 0, 5)];
		job->adjacency =
		    job->members <= 6 ? ADJACENT_RACK : ADJACENT_DOMAIN;
		job->priority = g_rand_int_range(rand, 0, 2) == 0
				    ? PRIORITY_GUARANTEED
				    : PRIORITY_OPPORTUNISTIC;
	}
}

static job_t *
make_jobs(const scenario_t *scenario)
{
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	job_t *jobs = g_new0(job_t, (gsize)scenario->jobs);
	double work_ms = 0;
	double span_ms;
	double at_ms = 0;

	for (int i = 0; i < scenario->jobs; i++) {
		job_t *job = &jobs[i];

		g_snprintf(job->id, sizeof(job->id), "j%d", i);
		g_snprintf(job->tenant, sizeof(job->tenant), "t%d",
		    g_rand_int_range(rand, 0, 43));
		random_shape(scenario, rand, job);
		job->run_ms = random_run_ms(rand);
		job->declared_ms =
		    (int64_t)((double)job->run_ms *
			      pow(10.0, g_rand_double_range(rand, -1, 1)));
		work_ms +=
		    (double)job->run_ms * job->members * job->accelerators;
	}
	span_ms = work_ms / total_accelerators(scenario) / load;
	for (int i = 0; i < scenario->jobs; i++) {
		at_ms -=
		    log(1 - g_rand_double(rand)) * span_ms / scenario->jobs;
		jobs[i].arrival_ms = (int64_t)at_ms;
	}
	g_rand_free(rand);
	return jobs;
}

static int
compare_events(const void *a, const void *b, void *data)
{
	const event_t *x = a;
	const event_t *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void
add_event(run_t *run, int64_t at_ms, event_kind_t kind, int job)
{
	event_t *event = g_new0(event_t, 1);

	event->at_ms = at_ms;
	event->order = run->next_event++;
	event->kind = kind;
	event->job = job;
	event->epoch = job >= 0 ? run->jobs[job].epoch : 0;
	g_sequence_insert_sorted(run->events, event, compare_events, NULL);
}

static bool
next_event(run_t *run, event_t *event)
{
	GSequenceIter *first = g_sequence_get_begin_iter(run->events);

	if (g_sequence_iter_is_end(first))
		return false;
	*event = *(event_t *)g_sequence_get(first);
	g_sequence_remove(first);
	run->now_ms = event->at_ms;
	return true;
}

static void
start_run(run_t *run, const scenario_t *scenario)
{
	memset(run, 0, sizeof(*run));
	run->scenario = scenario;
	run->jobs = make_jobs(scenario);
	run->left = scenario->jobs;
	run->events = g_sequence_new(g_free);
	run->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	run->decisions_us = g_array_new(FALSE, FALSE, sizeof(double));
	run->rand = g_rand_new_with_seed((guint32)seed + 1);
	for (int i = 0; i < scenario->jobs; i++) {
		job_t *job = &run->jobs[i];

		job->left_ms = job->run_ms;
		job->started_ms = -1;
		job->first_start_ms = -1;
		g_hash_table_insert(
		    run->by_id, job->id, GINT_TO_POINTER(i + 1));
		add_event(run, job->arrival_ms, EVENT_ARRIVAL, i);
	}
}

static void
end_run(run_t *run)
{
	g_rand_free(run->rand);
	g_array_unref(run->decisions_us);
	g_hash_table_unref(run->by_id);
	g_sequence_free(run->events);
	placement_destroy(run->placement);
	g_free(run->jobs);
}

static void
job_starts(run_t *run, int i)
{
	job_t *job = &run->jobs[i];

	job->started_ms = run->now_ms;
	if (job->first_start_ms < 0)
		job->first_start_ms = run->now_ms;
	job->checkpointed = false;
	job->epoch++;
	add_event(run, run->now_ms + job->left_ms, EVENT_END, i);
}

static void
job_ends(run_t *run, int i)
{
	run->jobs[i].ended_ms = run->now_ms;
	run->jobs[i].started_ms = -1;
	run->jobs[i].epoch++;
	run->left--;
}

/* ---- strict queues ---- */

typedef struct {
	run_t *run;
	int free[MAX_WORKERS];
	bool best_fit;
} fifo_t;

static int
pick_worker(
    const fifo_t *fifo, const int *free, int accelerators, int from, int to)
{
	int best = -1;

	for (int w = from; w < to; w++) {
		if (free[w] < accelerators)
			continue;
		if (!fifo->best_fit)
			return w;
		if (best < 0 || free[w] < free[best])
			best = w;
	}
	return best;
}

static bool
place_members(fifo_t *fifo, job_t *job, int from, int to)
{
	int m;

	for (m = 0; m < job->members; m++) {
		int w =
		    pick_worker(fifo, fifo->free, job->accelerators, from, to);

		if (w < 0)
			break;
		fifo->free[w] -= job->accelerators;
		job->workers[m] = w;
	}
	if (m == job->members)
		return true;
	while (m-- > 0)
		fifo->free[job->workers[m]] += job->accelerators;
	return false;
}

static int
free_in_rack(const fifo_t *fifo, int rack)
{
	int per_rack = fifo->run->scenario->per_rack;
	int sum = 0;

	for (int w = 0; w < per_rack; w++)
		sum += fifo->free[rack * per_rack + w];
	return sum;
}

static bool
fifo_place(fifo_t *fifo, job_t *job)
{
	const scenario_t *scenario = fifo->run->scenario;
	int best = -1;
	int best_free = 0;

	if (job->adjacency != ADJACENT_RACK)
		return place_members(fifo, job, 0, worker_count(scenario));
	for (int rack = 0; rack < scenario->racks; rack++) {
		int first = rack * scenario->per_rack;
		int rack_free = free_in_rack(fifo, rack);

		if (best >= 0 && rack_free >= best_free)
			continue;
		if (!place_members(
			fifo, job, first, first + scenario->per_rack))
			continue;
		if (!fifo->best_fit)
			return true;
		for (int m = 0; m < job->members; m++)
			fifo->free[job->workers[m]] += job->accelerators;
		best = rack;
		best_free = rack_free;
	}
	return best >= 0 && place_members(fifo, job, best * scenario->per_rack,
				(best + 1) * scenario->per_rack);
}

static void
sample(run_t *run, int largest, int free)
{
	if (free == 0)
		return;
	run->fragmentation += 1 - (double)largest / free;
	run->samples++;
}

static void
fifo_sample(fifo_t *fifo)
{
	int largest = 0;
	int total = 0;

	for (int rack = 0; rack < fifo->run->scenario->racks; rack++) {
		int sum = free_in_rack(fifo, rack);

		largest = MAX(largest, sum);
		total += sum;
	}
	sample(fifo->run, largest, total);
}

static void
run_fifo(run_t *run, const scenario_t *scenario, bool best_fit)
{
	fifo_t *fifo = g_new0(fifo_t, 1);
	GQueue queue = G_QUEUE_INIT;
	event_t event;

	start_run(run, scenario);
	fifo->run = run;
	fifo->best_fit = best_fit;
	for (int w = 0; w < worker_count(scenario); w++)
		fifo->free[w] = accelerators_of(scenario, w);
	while (next_event(run, &event)) {
		job_t *job = &run->jobs[event.job];

		if (event.kind == EVENT_ARRIVAL) {
			g_queue_push_tail(&queue, GINT_TO_POINTER(event.job));
			fifo_sample(fifo);
		} else if (event.kind == EVENT_END) {
			for (int m = 0; m < job->members; m++)
				fifo->free[job->workers[m]] +=
				    job->accelerators;
			job_ends(run, event.job);
		}
		while (queue.length > 0) {
			int head = GPOINTER_TO_INT(g_queue_peek_head(&queue));

			if (!fifo_place(fifo, &run->jobs[head]))
				break;
			g_queue_pop_head(&queue);
			job_starts(run, head);
		}
	}
	g_queue_clear(&queue);
	g_free(fifo);
}

/* ---- the placement decisions ---- */

static void
add_workers(placement_t *placement, const scenario_t *scenario)
{
	for (int w = 0; w < worker_count(scenario); w++) {
		char worker[16];
		char rack[16];

		g_snprintf(worker, sizeof(worker), "w%d", w);
		g_snprintf(rack, sizeof(rack), "r%d", w / scenario->per_rack);
		placement_add_worker(
		    placement, worker, rack, accelerators_of(scenario, w), 8);
	}
}

/* The guarantees of all tenants together: about a quarter of the domain. */
static GArray *
make_guarantees(const scenario_t *scenario)
{
	GArray *guarantees =
	    g_array_new(FALSE, FALSE, sizeof(cells_guarantee_t));

	for (int t = 0; t < (scenario->uniform ? 4 : 43); t++) {
		char name[8];
		cells_guarantee_t g = {
		    .count = 1,
		    .members = scenario->uniform ? 3 : 4,
		    .accelerators = scenario->uniform ? 8 : 1,
		    .adjacency = ADJACENT_RACK,
		};

		g_snprintf(name, sizeof(name), "t%d", t);
		g.workspace = g_intern_string(name);
		g_array_append_val(guarantees, g);
		if (scenario->uniform)
			continue;
		g.members = 16;
		g.adjacency = ADJACENT_DOMAIN;
		g_array_append_val(guarantees, g);
	}
	return guarantees;
}

static void
submit(run_t *run, const job_t *job, uint64_t sequence)
{
	placement_submit(run->placement, &(placement_job_t){.id = job->id,
					     .tenant = job->tenant,
					     .workspace = job->tenant,
					     .members = job->members,
					     .accelerators = job->accelerators,
					     .adjacency = job->adjacency,
					     .priority = job->priority,
					     .declared_ms = job->declared_ms,
					     .submitted_ms = job->arrival_ms,
					     .sequence = sequence});
}

/* Work without accelerators that fills most slots. */
static void
add_background(run_t *run)
{
	placement_decision_t decision;

	for (int i = 0; i < run->scenario->background; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "b%d", i);
		placement_submit(run->placement, &(placement_job_t){.id = id,
						     .tenant = "background",
						     .workspace = "background",
						     .members = 1,
						     .declared_ms = INT32_MAX,
						     .sequence = (uint64_t)i});
		while (placement_decide(run->placement, 0, &decision))
			;
	}
}

static void
carry_out(run_t *run, const placement_decision_t *decision)
{
	int i =
	    GPOINTER_TO_INT(g_hash_table_lookup(run->by_id, decision->job)) - 1;

	if (i < 0)
		return;
	switch (decision->kind) {
	case PLACEMENT_START:
		job_starts(run, i);
		break;
	case PLACEMENT_CHECKPOINT:
	case PLACEMENT_MIGRATE:
		add_event(run, run->now_ms + CHECKPOINT_TAKES_MS,
		    EVENT_CHECKPOINT, i);
		add_event(
		    run, run->now_ms + PLACEMENT_CHECKPOINT_MS, EVENT_TICK, -1);
		add_event(run,
		    run->now_ms + PLACEMENT_CHECKPOINT_MS +
			PLACEMENT_THROTTLE_MS,
		    EVENT_TICK, -1);
		break;
	case PLACEMENT_STOP:
		add_event(run, run->now_ms + STOP_TAKES_MS, EVENT_STOPPED, i);
		break;
	case PLACEMENT_THROTTLE:
	case PLACEMENT_LEASES_EXPIRED:
		break;
	case PLACEMENT_REFUSE:
		job_ends(run, i);
		break;
	}
}

static void
decide(run_t *run)
{
	placement_decision_t decision;
	bool more = true;

	while (more) {
		int64_t before = clock_mono_us();
		double us;

		more = placement_decide(run->placement, run->now_ms, &decision);
		us = (double)(clock_mono_us() - before);
		g_array_append_val(run->decisions_us, us);
		if (more)
			carry_out(run, &decision);
	}
}

/* A stopped job goes on from its checkpoint, or loses its work. */
static void
job_stopped(run_t *run, int i)
{
	job_t *job = &run->jobs[i];
	int64_t done_ms = run->now_ms - job->started_ms;

	if (job->checkpointed)
		job->left_ms = MAX(job->left_ms - done_ms, 1);
	else
		run->lost_ms += done_ms * job->members * job->accelerators;
	job->started_ms = -1;
	job->epoch++;
	placement_ended(run->placement, job->id, PLACEMENT_LOST, run->now_ms);
}

static void
run_policy(run_t *run, const scenario_t *scenario)
{
	GArray *guarantees = make_guarantees(scenario);
	event_t event;

	start_run(run, scenario);
	run->placement = placement_create();
	add_workers(run->placement, scenario);
	if (placement_set_guarantees(run->placement,
		(cells_guarantee_t *)(void *)guarantees->data, guarantees->len,
		NULL) != 0)
		printf("guarantees 0 set 1 short\n");
	g_array_unref(guarantees);
	add_background(run);
	add_event(run, TICK_MS, EVENT_TICK, -2);
	while (run->left > 0 && next_event(run, &event)) {
		job_t *job = event.job >= 0 ? &run->jobs[event.job] : NULL;

		if (event.kind == EVENT_ARRIVAL && job != NULL) {
			submit(run, job, (uint64_t)event.job + 1000000);
			run->broken_guarantees +=
			    event.job % CHECK_EVERY == 0 &&
			    cells_check(
				placement_cells(run->placement), NULL) != 0;
			sample(run,
			    cells_largest_free(
				placement_cells(run->placement), ADJACENT_RACK),
			    cells_free_accelerators(
				placement_cells(run->placement)));
		} else if (event.kind == EVENT_TICK) {
			if (event.job == -2)
				add_event(
				    run, run->now_ms + TICK_MS, EVENT_TICK, -2);
		} else if (job == NULL || event.epoch != job->epoch) {
			continue;
		} else if (event.kind == EVENT_END) {
			placement_ended(run->placement, job->id, PLACEMENT_DONE,
			    run->now_ms);
			job_ends(run, event.job);
		} else if (event.kind == EVENT_CHECKPOINT) {
			if (g_rand_int_range(
				run->rand, 0, CHECKPOINT_FAILS_IN) == 0)
				continue;
			job->checkpointed = true;
			placement_checkpointed(
			    run->placement, job->id, run->now_ms);
		} else if (event.kind == EVENT_STOPPED) {
			job_stopped(run, event.job);
		}
		decide(run);
	}
}

/* ---- figures ---- */

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
quantile(GArray *values, double q)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_doubles);
	return g_array_index(
	    values, double, (guint)(q * (double)(values->len - 1)));
}

static double
mean(const GArray *values)
{
	double sum = 0;

	for (guint i = 0; i < values->len; i++)
		sum += g_array_index(values, double, i);
	return values->len > 0 ? sum / values->len : 0;
}

/* Collects waits to the first start, or completion times, in seconds. */
static GArray *
collect(const run_t *run, class_t class, bool completion)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));

	for (int i = 0; i < run->scenario->jobs; i++) {
		const job_t *job = &run->jobs[i];
		double value = (double)((completion ? job->ended_ms
						    : job->first_start_ms) -
					job->arrival_ms) /
			       1000;

		if (job->class == class)
			g_array_append_val(values, value);
	}
	return values;
}

/* Prints one figure; target 0 means that there is none. */
static void
figure(const char *name, double value, const char *unit, double target)
{
	if (target == 0)
		printf("%s %.3f %s - info\n", name, value, unit);
	else
		printf("%s %.3f %s %g %s\n", name, value, unit, target,
		    value <= target ? "ok" : "short");
}

/* Work done over what the hardware offers until the last job has ended. */
static double
utilisation(const run_t *run)
{
	double work_ms = 0;
	int64_t end_ms = 1;

	for (int i = 0; i < run->scenario->jobs; i++) {
		const job_t *job = &run->jobs[i];

		work_ms +=
		    (double)job->run_ms * job->members * job->accelerators;
		end_ms = MAX(end_ms, job->ended_ms);
	}
	return work_ms / total_accelerators(run->scenario) / (double)end_ms;
}

static double
print_run(const run_t *run, const char *policy, double *small_p99)
{
	double gang_p99 = 0;
	char name[96];

	for (class_t class = 0; class < CLASS_COUNT; class ++) {
		GArray *waits = collect(run, class, false);
		GArray *times = collect(run, class, true);
		double p99 = quantile(waits, 0.99);

		g_snprintf(name, sizeof(name), "placement.%s.%s.%s.wait_p99",
		    run->scenario->name, policy, class_names[class]);
		figure(name, p99, "s", 0);
		g_snprintf(name, sizeof(name),
		    "placement.%s.%s.%s.completion_mean", run->scenario->name,
		    policy, class_names[class]);
		figure(name, mean(times), "s", 0);
		g_snprintf(name, sizeof(name),
		    "placement.%s.%s.%s.completion_p99", run->scenario->name,
		    policy, class_names[class]);
		figure(name, quantile(times, 0.99), "s", 0);
		if (class == CLASS_SMALL)
			*small_p99 = p99;
		if (class == CLASS_GANG)
			gang_p99 = p99;
		g_array_unref(waits);
		g_array_unref(times);
	}
	g_snprintf(name, sizeof(name), "placement.%s.%s.fragmentation",
	    run->scenario->name, policy);
	figure(name, run->fragmentation / MAX(run->samples, 1), "ratio", 0);
	g_snprintf(name, sizeof(name), "placement.%s.%s.utilisation",
	    run->scenario->name, policy);
	figure(name, utilisation(run), "ratio", 0);
	return gang_p99;
}

/* Compares the policies; returns the mean cost of a decision in us. */
static double
compare(const scenario_t *scenario)
{
	double gang[3];
	double small[3];
	double cost;
	char name[96];
	run_t run;

	g_snprintf(
	    name, sizeof(name), "placement.%s.offered_load", scenario->name);
	figure(name, load, "ratio", 0);
	run_fifo(&run, scenario, false);
	gang[0] = print_run(&run, "first_fit", &small[0]);
	end_run(&run);
	run_fifo(&run, scenario, true);
	gang[1] = print_run(&run, "best_fit", &small[1]);
	end_run(&run);
	run_policy(&run, scenario);
	gang[2] = print_run(&run, "policy", &small[2]);
	g_snprintf(
	    name, sizeof(name), "placement.%s.gang_p99_ratio", scenario->name);
	figure(name, gang[2] / MAX(MIN(gang[0], gang[1]), 0.001), "ratio", 0.5);
	g_snprintf(
	    name, sizeof(name), "placement.%s.small_p99_ratio", scenario->name);
	figure(
	    name, small[2] / MAX(MIN(small[0], small[1]), 0.001), "ratio", 1.1);
	g_snprintf(
	    name, sizeof(name), "placement.%s.lost_work", scenario->name);
	figure(name, (double)run.lost_ms / 3600000, "accelerator_h", 0);
	g_snprintf(
	    name, sizeof(name), "placement.%s.decision_median", scenario->name);
	figure(name, quantile(run.decisions_us, 0.5), "us", 50);
	g_snprintf(
	    name, sizeof(name), "placement.%s.decision_p99", scenario->name);
	figure(name, quantile(run.decisions_us, 0.99), "us", 1000);
	printf("placement.%s.broken_guarantees %d count 0 %s\n", scenario->name,
	    run.broken_guarantees, run.broken_guarantees == 0 ? "ok" : "short");
	cost = mean(run.decisions_us);
	end_run(&run);
	return cost;
}

/* Memory for the large domain with all its tasks. */
static double
memory_mb(const scenario_t *scenario)
{
	size_t before = mallinfo2().uordblks;
	size_t after;
	run_t run = {.scenario = scenario};

	run.placement = placement_create();
	add_workers(run.placement, scenario);
	add_background(&run);
	for (int i = 0; i < total_accelerators(scenario); i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "a%d", i);
		placement_submit(run.placement, &(placement_job_t){.id = id,
						    .tenant = "t",
						    .workspace = "t",
						    .members = 1,
						    .accelerators = 1,
						    .declared_ms = 1000,
						    .sequence = (uint64_t)i});
	}
	run.decisions_us = g_array_new(FALSE, FALSE, sizeof(double));
	run.by_id = g_hash_table_new(g_str_hash, g_str_equal);
	decide(&run);
	after = mallinfo2().uordblks;
	g_array_unref(run.decisions_us);
	g_hash_table_unref(run.by_id);
	placement_destroy(run.placement);
	return (double)(after - before) / 1048576;
}

/* Builds the hardware and checks the guarantees as for a new configuration. */
static double
check_ms(const scenario_t *scenario)
{
	GArray *guarantees = make_guarantees(scenario);
	int64_t before = clock_mono_us();
	cells_t *cells = cells_create();
	double ms;
	int rc;

	for (int w = 0; w < worker_count(scenario); w++) {
		char worker[16];
		char rack[16];

		g_snprintf(worker, sizeof(worker), "w%d", w);
		g_snprintf(rack, sizeof(rack), "r%d", w / scenario->per_rack);
		cells_add_worker(
		    cells, worker, rack, accelerators_of(scenario, w), 8);
	}
	rc = cells_set_guarantees(cells,
	    (cells_guarantee_t *)(void *)guarantees->data, guarantees->len,
	    NULL);
	ms = (double)(clock_mono_us() - before) / 1000;
	if (rc != 0)
		printf("placement.check 0 accepted 1 short\n");
	cells_destroy(cells);
	g_array_unref(guarantees);
	return ms;
}

int
main(int argc, char **argv)
{
	static const GOptionEntry options[] = {
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the arrivals",
		"N"},
	    {"load", 0, 0, G_OPTION_ARG_DOUBLE, &load,
		"Offered work over capacity", "RATIO"},
	    {0}};
	static const scenario_t small = {.name = "w48",
	    .racks = 8,
	    .per_rack = 6,
	    .uniform = true,
	    .jobs = 5000};
	static const scenario_t large = {.name = "w2700",
	    .racks = 450,
	    .per_rack = 6,
	    .jobs = 12000,
	    .background = 18000};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	double small_us;
	double large_us;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "bench_placement: %s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	small_us = compare(&small);
	large_us = compare(&large);
	figure("placement.cost_growth", large_us / small_us, "ratio", 4);
	figure("placement.memory", memory_mb(&large), "MB", MEMORY_LIMIT_MB);
	figure("placement.check", check_ms(&large), "ms", 100);
	return 0;
}
