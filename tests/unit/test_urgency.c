#include <glib.h>
#include <stdbool.h>

#include "sched/urgency.h"
#include "tests/unit/runner.h"

#define TICK_MS 100
#define WORK_MS 2000
#define TARGET_MS 250
#define SLOTS 10 /* jobs that run at one time */
/* 130% of capacity: WORK_MS / SLOTS / 1.3 between arrivals. */
#define BURST_INTERVAL_MS 154
#define BURST_MS 20000
#define MAX_JOBS 200

typedef struct {
	urgency_times_t times;
	int64_t submitted_ms;
	bool started;
	bool on_time;
} job_t;

typedef struct {
	job_t jobs[MAX_JOBS];
	int count;
	int64_t free_at_ms[SLOTS];
} load_t;

static const fleet_queue_t queue = {
    .target_latency_ms = TARGET_MS, .stretch_milli = 1500};

static bool
runs_before(const job_t *a, const job_t *b, int64_t now_ms, bool by_urgency)
{
	urgency_t first = urgency_at(&a->times, now_ms);
	urgency_t second = urgency_at(&b->times, now_ms);

	if (by_urgency && first != second)
		return first < second;
	return a->times.on_time_ms < b->times.on_time_ms;
}

static job_t *
next_job(load_t *load, int64_t now_ms, bool by_urgency)
{
	job_t *best = NULL;

	for (int i = 0; i < load->count; i++) {
		job_t *job = &load->jobs[i];

		if (job->started || job->submitted_ms > now_ms)
			continue;
		if (best == NULL || runs_before(job, best, now_ms, by_urgency))
			best = job;
	}
	return best;
}

/* Replays a burst of equal jobs; returns how many end on time. */
static int
replay(bool by_urgency)
{
	load_t load = {0};
	int on_time = 0;

	for (int64_t at = 0; at < BURST_MS; at += BURST_INTERVAL_MS)
		load.jobs[load.count++] = (job_t){
		    .submitted_ms = at,
		    .times = urgency_times(&queue, WORK_MS, WORK_MS, at),
		};
	for (int64_t now = 0; now < 4 * BURST_MS; now += TICK_MS) {
		for (int slot = 0; slot < SLOTS; slot++) {
			job_t *job = next_job(&load, now, by_urgency);

			if (load.free_at_ms[slot] > now || job == NULL)
				continue;
			job->started = true;
			on_time +=
			    urgency_at(&job->times, now) == URGENCY_ON_TIME;
			load.free_at_ms[slot] = now + WORK_MS;
		}
	}
	for (int i = 0; i < load.count; i++)
		ck_assert(load.jobs[i].started);
	return on_time;
}

/*
 * Load pattern: 130% of capacity for 20 s, in which capacity suffices for
 * BURST_MS / WORK_MS * SLOTS = 100 of 130 jobs.  Guards against earliest
 * deadline first alone, which makes nearly all jobs late; the bound is nine
 * tenths of those 100.
 */
START_TEST(overload_keeps_jobs_on_time)
{
	int possible = BURST_MS / WORK_MS * SLOTS;

	ck_assert_int_lt(replay(false), possible / 2);
	ck_assert_int_ge(replay(true), possible * 9 / 10);
}
END_TEST

/* Guards against an early step that leaves too little time for later ones. */
START_TEST(chain_of_steps)
{
	int on_first[] = {0};
	int on_both[] = {0, 1};
	step_spec_t steps[] = {
	    {.count = 1, .estimate_ms = 1000},
	    {.count = 1, .estimate_ms = 3000, .depends_on = {1, on_first}},
	    {.count = 1, .estimate_ms = 500, .depends_on = {2, on_both}},
	};
	batch_spec_t spec = {.steps = {3, steps}};
	urgency_times_t first;
	urgency_times_t last;
	int64_t chain_ms[3];

	ck_assert_int_eq(urgency_critical_paths(&spec, chain_ms), 4500);
	ck_assert_int_eq(chain_ms[0], 4500);
	ck_assert_int_eq(chain_ms[1], 3500);
	ck_assert_int_eq(chain_ms[2], 500);
	/* The objective is 250 + 1.5 * 4500 = 7000 ms after submission. */
	first = urgency_times(&queue, 4500, chain_ms[0], 100);
	last = urgency_times(&queue, 4500, chain_ms[2], 100);
	ck_assert_int_eq(first.on_time_ms, 100 + 7000 - 4500);
	ck_assert_int_eq(last.on_time_ms, 100 + 7000 - 500);
	ck_assert_int_eq(last.late_ms, 100 + 3 * 7000 - 500);
	ck_assert_int_eq(urgency_at(&last, 6600), URGENCY_ON_TIME);
	ck_assert_int_eq(urgency_at(&last, 6601), URGENCY_LATE);
	ck_assert_int_eq(urgency_at(&last, 20601), URGENCY_MISSED);
}
END_TEST

/* Guards against an urgent step on a worker that makes it late. */
START_TEST(needed_speed)
{
	urgency_times_t times = urgency_times(&queue, WORK_MS, WORK_MS, 0);

	/* 2 s of 3.25 s, with the margin of 1.3. */
	ck_assert_int_eq(urgency_needed_speed(&times, WORK_MS, 0), 80);
	ck_assert_int_eq(urgency_needed_speed(&times, WORK_MS, 1250), 130);
	ck_assert_int_eq(urgency_needed_speed(&times, WORK_MS, 9000), 1000);
	ck_assert_int_eq(urgency_needed_speed(&times, 0, 0), 1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("urgency");
	TCase *tcase = tcase_create("urgency");

	tcase_add_test(tcase, overload_keeps_jobs_on_time);
	tcase_add_test(tcase, chain_of_steps);
	tcase_add_test(tcase, needed_speed);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
