#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/placement.h"
#include "tests/unit/runner.h"

#define DEFAULT_SEED 20261204
#define RANDOM_ROUNDS 12
#define RANDOM_STEPS 1500
#define MAX_JOBS 400

static placement_t *
create_uniform(int racks, int workers_per_rack)
{
	placement_t *placement = placement_create();

	for (int r = 0; r < racks; r++) {
		for (int w = 0; w < workers_per_rack; w++) {
			char worker[32];
			char rack[32];

			snprintf(worker, sizeof(worker), "w%d-%d", r, w);
			snprintf(rack, sizeof(rack), "r%d", r);
			ck_assert_int_eq(
			    placement_add_worker(placement, worker, rack, 8, 8),
			    0);
		}
	}
	return placement;
}

static uint64_t next_sequence;

static void
submit(placement_t *placement, const char *id, const char *tenant, int members,
    int accelerators, job_priority_t priority, int64_t declared_ms,
    int64_t now_ms)
{
	placement_job_t job = {.id = id,
	    .tenant = tenant,
	    .workspace = tenant,
	    .members = members,
	    .accelerators = accelerators,
	    .adjacency = members > 1 ? ADJACENT_RACK : ADJACENT_DOMAIN,
	    .priority = priority,
	    .declared_ms = declared_ms,
	    .submitted_ms = now_ms,
	    .sequence = next_sequence++};

	ck_assert_int_eq(placement_submit(placement, &job), 0);
}

/* Checks that the next decision is of that kind and for that job. */
static void
expect(placement_t *placement, int64_t now_ms, placement_kind_t kind,
    const char *job)
{
	placement_decision_t decision;

	ck_assert_msg(placement_decide(placement, now_ms, &decision),
	    "no decision instead of %d for %s", kind, job);
	ck_assert_msg(decision.kind == kind && strcmp(decision.job, job) == 0,
	    "decision %d for %s (%s) instead of %d for %s", decision.kind,
	    decision.job, decision.reason, kind, job);
}

static void
expect_none(placement_t *placement, int64_t now_ms)
{
	placement_decision_t decision;

	ck_assert_msg(!placement_decide(placement, now_ms, &decision),
	    "unexpected decision %d for %s", decision.kind, decision.job);
}

static void
expect_reason(
    placement_t *placement, const char *job, int64_t now_ms, const char *part)
{
	GString *text = g_string_new(NULL);

	ck_assert_int_eq(placement_explain(placement, job, now_ms, text), 0);
	ck_assert_msg(strstr(text->str, part) != NULL,
	    "\"%s\" is not in \"%s\"", part, text->str);
	g_string_free(text, TRUE);
}

/* Guards against jobs that start before jobs of a higher priority. */
START_TEST(order_of_priorities)
{
	placement_t *placement = create_uniform(1, 3);
	cells_guarantee_t guarantee = {"b", 1, 1, 8, ADJACENT_DOMAIN};

	ck_assert_int_eq(
	    placement_set_guarantees(placement, &guarantee, 1, NULL), 0);
	submit(placement, "o", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	submit(placement, "g", "b", 1, 8, PRIORITY_GUARANTEED, 1000, 0);
	submit(placement, "u", "c", 1, 8, PRIORITY_URGENT, 1000, 0);
	expect(placement, 0, PLACEMENT_START, "u");
	expect(placement, 0, PLACEMENT_START, "g");
	expect(placement, 0, PLACEMENT_START, "o");
	expect_none(placement, 0);
	expect_reason(placement, "g", 0, "guarantee of its workspace");
	placement_destroy(placement);
}
END_TEST

/* Guards against a tenant above its share, and against new jobs that are
 * starved by jobs with much attained service. */
START_TEST(fair_share_and_attained_service)
{
	placement_t *placement = create_uniform(1, 1);

	placement_set_tenant(placement, "a", 1, 0);
	placement_set_tenant(placement, "b", 2, 0);
	for (int i = 0; i < 4; i++) {
		char id[16];

		snprintf(id, sizeof(id), "a%d", i);
		submit(
		    placement, id, "a", 1, 2, PRIORITY_OPPORTUNISTIC, 1000, 0);
		snprintf(id, sizeof(id), "b%d", i);
		submit(
		    placement, id, "b", 1, 2, PRIORITY_OPPORTUNISTIC, 1000, 0);
	}
	expect(placement, 0, PLACEMENT_START, "a0");
	expect(placement, 0, PLACEMENT_START, "b0");
	expect(placement, 0, PLACEMENT_START, "b1");
	expect(placement, 0, PLACEMENT_START, "a1");
	expect_none(placement, 0);
	/* a0 has run for an hour; the younger a2 goes first. */
	placement_ended(placement, "a0", PLACEMENT_LOST, 3600000);
	expect(placement, 3600000, PLACEMENT_START, "a2");
	expect_none(placement, 3600000);
	placement_destroy(placement);
}
END_TEST

/* Guards against tenants above their quota, and against jobs that wait although
 * they can never run. */
START_TEST(quotas_and_refusals)
{
	placement_t *placement = create_uniform(1, 2);

	placement_set_tenant(placement, "a", 1, 4);
	submit(placement, "a0", "a", 1, 4, PRIORITY_OPPORTUNISTIC, 1000, 0);
	submit(placement, "a1", "a", 1, 1, PRIORITY_OPPORTUNISTIC, 1000, 0);
	submit(placement, "a2", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	submit(placement, "b0", "b", 3, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	expect(placement, 0, PLACEMENT_START, "a0");
	expect_none(placement, 0);
	expect_reason(placement, "a1", 0, "uses 4 of 4");
	expect_reason(placement, "b0", 0, "never holds 3 x 8");
	/* Workers may still be announced, so it is not refused yet. */
	expect_none(placement, 9000);
	expect(placement, 10000, PLACEMENT_REFUSE, "a2");
	expect(placement, 10000, PLACEMENT_REFUSE, "b0");
	placement_ended(placement, "a0", PLACEMENT_DONE, 11000);
	expect(placement, 11000, PLACEMENT_START, "a1");
	expect_none(placement, 11000);
	placement_destroy(placement);
}
END_TEST

/* Guards against jobs that start after their deadline. */
START_TEST(deadline_to_start)
{
	placement_t *placement = create_uniform(1, 1);
	placement_job_t late = {.id = "late",
	    .tenant = "a",
	    .workspace = "a",
	    .members = 1,
	    .accelerators = 8,
	    .declared_ms = 1,
	    .deadline_ms = 1000,
	    .sequence = 1000000};

	submit(placement, "x", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	expect(placement, 0, PLACEMENT_START, "x");
	ck_assert_int_eq(placement_submit(placement, &late), 0);
	ck_assert_int_eq(placement_submit(placement, &late), -EEXIST);
	expect_none(placement, 900);
	expect(placement, 1100, PLACEMENT_REFUSE, "late");
	placement_destroy(placement);
}
END_TEST

/*
 * Guards against an urgent job that waits for a reclaim longer than
 * PLACEMENT_URGENT_START_MS, or starts before the reclaimed job has ended.
 */
START_TEST(reclaim_is_bounded)
{
	placement_t *placement = create_uniform(1, 1);
	int64_t now;

	submit(placement, "o", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	expect(placement, 0, PLACEMENT_START, "o");
	submit(placement, "u", "b", 1, 8, PRIORITY_URGENT, 1000, 100);
	expect(placement, 100, PLACEMENT_CHECKPOINT, "o");
	expect_none(placement, 100);
	expect_reason(placement, "u", 100, "waits for reclaimed work");
	now = 100 + PLACEMENT_CHECKPOINT_MS;
	expect_none(placement, now - 1);
	expect(placement, now, PLACEMENT_THROTTLE, "o");
	now += PLACEMENT_THROTTLE_MS;
	expect(placement, now, PLACEMENT_STOP, "o");
	expect_none(placement, now);
	now = 100 + PLACEMENT_RECLAIM_LIMIT_MS;
	expect_none(placement, now - 1);
	expect(placement, now, PLACEMENT_LEASES_EXPIRED, "o");
	expect(placement, now, PLACEMENT_START, "u");
	ck_assert_int_le(now - 100, PLACEMENT_URGENT_START_MS);
	expect_none(placement, now);
	/* The reclaimed job was queued again. */
	placement_ended(placement, "u", PLACEMENT_DONE, now + 1);
	expect(placement, now + 1, PLACEMENT_START, "o");
	placement_destroy(placement);
}
END_TEST

/* Guards against waiting for the time limit after the checkpoint was made. */
START_TEST(checkpoint_shortens_reclaim)
{
	placement_t *placement = create_uniform(1, 1);

	submit(placement, "o", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	expect(placement, 0, PLACEMENT_START, "o");
	submit(placement, "u", "b", 1, 8, PRIORITY_URGENT, 1000, 100);
	expect(placement, 100, PLACEMENT_CHECKPOINT, "o");
	placement_checkpointed(placement, "o", 300);
	expect(placement, 300, PLACEMENT_STOP, "o");
	expect_none(placement, 300);
	placement_ended(placement, "o", PLACEMENT_LOST, 400);
	expect(placement, 400, PLACEMENT_START, "u");
	expect_none(placement, 400);
	placement_destroy(placement);
}
END_TEST

/*
 * Guards against backfill that delays the reserved job: a job that would end
 * too late is not placed there, and one that exceeds its declared run time is
 * reclaimed.
 */
START_TEST(backfill_never_delays_reserved_job)
{
	placement_t *placement = create_uniform(1, 2);
	const int64_t t = PLACEMENT_RESERVE_AFTER_MS;

	submit(placement, "x", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 60000, 0);
	expect(placement, 0, PLACEMENT_START, "x");
	submit(placement, "large", "b", 2, 8, PRIORITY_OPPORTUNISTIC, 60000, 0);
	expect_none(placement, 0);
	expect_none(placement, t);
	expect_reason(placement, "large", t, "reserved for it");
	submit(placement, "long", "c", 1, 4, PRIORITY_OPPORTUNISTIC, 100000, t);
	expect_none(placement, t);
	expect_reason(placement, "long", t, "reservations of other jobs: 1");
	submit(placement, "short", "d", 1, 4, PRIORITY_OPPORTUNISTIC, 1000, t);
	expect(placement, t, PLACEMENT_START, "short");
	expect_reason(placement, "short", t,
	    "runs in places reserved for another job (backfill)");
	/* x ends; short has exceeded its declared run time. */
	placement_ended(placement, "x", PLACEMENT_DONE, 50000);
	expect(placement, 50000, PLACEMENT_CHECKPOINT, "short");
	expect_none(placement, 50000);
	placement_ended(placement, "short", PLACEMENT_LOST, 50100);
	expect(placement, 50100, PLACEMENT_START, "large");
	placement_destroy(placement);
}
END_TEST

/* Guards against a large job that waits forever for jobs that never end. */
START_TEST(waiting_is_bounded)
{
	placement_t *placement = create_uniform(1, 2);
	int64_t now = PLACEMENT_MAX_WAIT_MS;

	submit(placement, "x", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1, 0);
	submit(placement, "y", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1, 0);
	expect(placement, 0, PLACEMENT_START, "x");
	expect(placement, 0, PLACEMENT_START, "y");
	submit(placement, "large", "b", 2, 8, PRIORITY_OPPORTUNISTIC, 1000, 0);
	expect_none(placement, PLACEMENT_RESERVE_AFTER_MS);
	expect_none(placement, now - 1);
	expect(placement, now, PLACEMENT_CHECKPOINT, "x");
	expect(placement, now, PLACEMENT_CHECKPOINT, "y");
	placement_ended(placement, "x", PLACEMENT_LOST, now + 1);
	placement_ended(placement, "y", PLACEMENT_LOST, now + 2);
	expect(placement, now + 2, PLACEMENT_START, "large");
	placement_destroy(placement);
}
END_TEST

/* Guards against small jobs that wait forever without a reservation. */
START_TEST(small_jobs_get_reservations)
{
	placement_t *placement = create_uniform(1, 1);
	int64_t reserved = PLACEMENT_RESERVE_ANY_AFTER_MS;
	int64_t now = PLACEMENT_MAX_WAIT_MS;

	submit(placement, "x", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1, 0);
	expect(placement, 0, PLACEMENT_START, "x");
	submit(placement, "small", "b", 1, 2, PRIORITY_OPPORTUNISTIC, 1000, 0);
	expect_none(placement, reserved - 1);
	expect_reason(
	    placement, "small", reserved - 1, "but not 1 x 2 in the domain");
	expect_none(placement, reserved);
	expect_reason(placement, "small", reserved, "are reserved for it");
	expect_none(placement, now - 1);
	expect(placement, now, PLACEMENT_CHECKPOINT, "x");
	placement_ended(placement, "x", PLACEMENT_LOST, now + 1);
	expect(placement, now + 1, PLACEMENT_START, "small");
	placement_destroy(placement);
}
END_TEST

/* Expects the start of the job; returns the worker of its first member. */
static void
expect_start(
    placement_t *placement, int64_t now_ms, const char *job, char *worker)
{
	placement_decision_t decision;

	ck_assert(placement_decide(placement, now_ms, &decision));
	ck_assert_int_eq(decision.kind, PLACEMENT_START);
	ck_assert_str_eq(decision.job, job);
	g_strlcpy(worker, decision.places[0].worker, NAME_MAX_LEN + 1);
}

/*
 * Guards against a faulty worker that stays in use, against one that is never
 * used again, and against quarantining a healthy worker for a faulty job.
 */
START_TEST(faulty_worker_or_faulty_job)
{
	placement_t *placement = create_uniform(2, 3);
	const cells_t *cells = placement_cells(placement);
	char bad[NAME_MAX_LEN + 1];
	char good[NAME_MAX_LEN + 1];
	int64_t now = 0;

	for (int i = 0; i < 3; i++) {
		char id[16];

		snprintf(id, sizeof(id), "j%d", i);
		submit(placement, id, "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1000,
		    now);
		expect_start(placement, now, id, bad);
		ck_assert_str_eq(bad, "w0-0");
		ck_assert(!placement_record_failure(placement, id, bad, now));
		placement_ended(placement, id, PLACEMENT_LOST, now);
		expect_start(placement, now, id, good);
		ck_assert_str_ne(good, bad);
		placement_ended(placement, id, PLACEMENT_DONE, now + 1);
		now += 1000;
		expect_none(placement, now);
		ck_assert_int_eq(
		    cells_free_accelerators(cells), i < 2 ? 48 : 40);
	}
	now += 15000;
	expect_none(placement, now);
	ck_assert_int_eq(cells_free_accelerators(cells), 48);
	submit(placement, "bad", "a", 1, 8, PRIORITY_OPPORTUNISTIC, 1, now);
	expect_start(placement, now, "bad", bad);
	ck_assert(!placement_record_failure(placement, "bad", bad, now));
	placement_ended(placement, "bad", PLACEMENT_LOST, now);
	expect_start(placement, now, "bad", good);
	ck_assert(placement_record_failure(placement, "bad", good, now));
	placement_ended(placement, "bad", PLACEMENT_FAILED, now);
	expect_none(placement, now + 1000);
	ck_assert_int_eq(placement_waiting(placement), 0);
	placement_destroy(placement);
}
END_TEST

/*
 * Guards against a guaranteed job that is retried on the worker where it failed
 * although another worker is free.
 */
START_TEST(guaranteed_job_leaves_failed_worker)
{
	placement_t *placement = create_uniform(1, 2);
	cells_guarantee_t guarantee = {"a", 1, 1, 8, ADJACENT_DOMAIN};
	char failed[NAME_MAX_LEN + 1];
	char next[NAME_MAX_LEN + 1];

	ck_assert_int_eq(
	    placement_set_guarantees(placement, &guarantee, 1, NULL), 0);
	submit(placement, "g", "a", 1, 8, PRIORITY_GUARANTEED, 1000, 0);
	expect_start(placement, 0, "g", failed);
	ck_assert(!placement_record_failure(placement, "g", failed, 0));
	placement_ended(placement, "g", PLACEMENT_LOST, 0);
	expect_start(placement, 0, "g", next);
	ck_assert_str_ne(failed, next);
	ck_assert(cells_is_guaranteed(placement_cells(placement), "g"));
	ck_assert_int_eq(cells_check(placement_cells(placement), NULL), 0);
	placement_destroy(placement);

	/* Without another worker it is retried on the same one. */
	placement = create_uniform(1, 1);
	ck_assert_int_eq(
	    placement_set_guarantees(placement, &guarantee, 1, NULL), 0);
	submit(placement, "g", "a", 1, 8, PRIORITY_GUARANTEED, 1000, 0);
	expect_start(placement, 0, "g", failed);
	ck_assert(!placement_record_failure(placement, "g", failed, 0));
	placement_ended(placement, "g", PLACEMENT_LOST, 0);
	expect_start(placement, 0, "g", next);
	ck_assert_str_eq(failed, next);
	placement_destroy(placement);
}
END_TEST

/*
 * Guards against a large job that waits although migrating a small job would
 * free a whole rack, and against migration without a checkpoint.
 */
START_TEST(migration_frees_rack)
{
	placement_t *placement = create_uniform(2, 2);
	const int64_t t = PLACEMENT_RESERVE_AFTER_MS;
	char worker[NAME_MAX_LEN + 1];

	/* One small job is left in each rack. */
	for (int i = 0; i < 32; i++) {
		char id[16];

		snprintf(id, sizeof(id), "s%d", i);
		submit(placement, id, "a", 1, 1, PRIORITY_OPPORTUNISTIC,
		    100000000, 0);
		expect_start(placement, 0, id, worker);
	}
	for (int i = 0; i < 32; i++) {
		char id[16];

		snprintf(id, sizeof(id), "s%d", i);
		if (i != 0 && i != 16)
			placement_ended(
			    placement, id, PLACEMENT_DONE, 100000000);
	}
	submit(placement, "large", "b", 2, 8, PRIORITY_OPPORTUNISTIC, 1000,
	    100000000 - t);
	expect(placement, 100000000, PLACEMENT_MIGRATE, "s0");
	expect_none(placement, 100000000);
	placement_checkpointed(placement, "s0", 100000100);
	expect(placement, 100000100, PLACEMENT_STOP, "s0");
	placement_ended(placement, "s0", PLACEMENT_LOST, 100000200);
	expect(placement, 100000200, PLACEMENT_START, "large");
	expect(placement, 100000200, PLACEMENT_START, "s0");
	expect_none(placement, 100000200);
	placement_destroy(placement);
}
END_TEST

/* ---- random test ---- */

typedef struct {
	char id[16];
	char tenant[4];
	int64_t end_ms; /* when it runs */
	bool running;
	bool stopping;
	int64_t stop_ms;
	placement_decision_t at;
} model_job_t;

typedef struct {
	placement_t *placement;
	GRand *rand;
	model_job_t *jobs;
	int count;
	int next;
	int64_t now;
	uint32_t seed;
	uint32_t used[4][6]; /* by rack and worker */
	bool present[4][6];
} model_t;

static model_job_t *
model_find(model_t *model, const char *id)
{
	for (int i = 0; i < model->count; i++) {
		if (strcmp(model->jobs[i].id, id) == 0)
			return &model->jobs[i];
	}
	return NULL;
}

/* Marks the job's accelerators as used or free; no two jobs may share one. */
static void
model_use(model_t *model, model_job_t *job, bool use)
{
	for (int m = 0; m < job->at.members; m++) {
		int rack = job->at.places[m].worker[1] - '0';
		int worker = job->at.places[m].worker[3] - '0';
		uint32_t *used = &model->used[rack][worker];
		uint32_t mask = job->at.places[m].accelerator_mask;

		ck_assert_msg(!use || (*used & mask) == 0,
		    "seed %u at %" G_GINT64_FORMAT
		    ": job %s started on used accelerators",
		    model->seed, model->now, job->id);
		*used = use ? *used | mask : *used & ~mask;
	}
	job->running = use;
}

static void
model_remove(model_t *model, model_job_t *job)
{
	if (job->running)
		model_use(model, job, false);
	*job = model->jobs[--model->count];
}

static void
model_decide(model_t *model)
{
	placement_decision_t decision;
	model_job_t *job;
	err_t err = {0};
	int rc;

	while (placement_decide(model->placement, model->now, &decision)) {
		job = model_find(model, decision.job);
		ck_assert_ptr_nonnull(job);
		switch (decision.kind) {
		case PLACEMENT_START:
			job->at = decision;
			job->stopping = false;
			model_use(model, job, true);
			job->end_ms = model->now +
				      g_rand_int_range(model->rand, 100, 60000);
			break;
		case PLACEMENT_REFUSE:
			ck_assert(!job->running);
			model_remove(model, job);
			break;
		case PLACEMENT_STOP:
			ck_assert_msg(job->running && !job->at.guaranteed,
			    "seed %u: %s stopped", model->seed, job->id);
			job->stopping = true;
			job->stop_ms =
			    model->now + g_rand_int_range(model->rand, 1, 4000);
			break;
		case PLACEMENT_LEASES_EXPIRED:
			model_use(model, job, false);
			break;
		case PLACEMENT_CHECKPOINT:
		case PLACEMENT_MIGRATE:
			ck_assert(job->running && !job->at.guaranteed);
			if (g_rand_int_range(model->rand, 0, 2) == 0)
				placement_checkpointed(
				    model->placement, job->id, model->now);
			break;
		case PLACEMENT_THROTTLE:
			break;
		}
	}
	rc = cells_check(placement_cells(model->placement), &err);
	ck_assert_msg(rc == 0 || rc == -ENOSPC,
	    "seed %u at %" G_GINT64_FORMAT ": %s", model->seed, model->now,
	    err.text);
}

static void
model_submit(model_t *model)
{
	static const int sizes[] = {1, 1, 1, 2, 4, 8};
	model_job_t *job;

	if (model->count == MAX_JOBS)
		return;
	job = &model->jobs[model->count++];
	memset(job, 0, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "j%d", model->next++);
	snprintf(job->tenant, sizeof(job->tenant), "%c",
	    'a' + g_rand_int_range(model->rand, 0, 3));
	submit(model->placement, job->id, job->tenant,
	    g_rand_int_range(model->rand, 0, 5) == 0
		? g_rand_int_range(model->rand, 2, 7)
		: 1,
	    sizes[g_rand_int_range(model->rand, 0, G_N_ELEMENTS(sizes))],
	    (job_priority_t)g_rand_int_range(model->rand, 0, 3),
	    g_rand_int_range(model->rand, 100, 100000), model->now);
}

/* Removes a worker, with the loss of its jobs, or adds it again. */
static void
model_worker(model_t *model)
{
	int r = g_rand_int_range(model->rand, 0, 4);
	int w = g_rand_int_range(model->rand, 0, 6);
	char worker[32];
	char rack[32];

	snprintf(worker, sizeof(worker), "w%d-%d", r, w);
	snprintf(rack, sizeof(rack), "r%d", r);
	model->present[r][w] = !model->present[r][w];
	if (model->present[r][w]) {
		placement_add_worker(model->placement, worker, rack, 8, 8);
		return;
	}
	placement_remove_worker(model->placement, worker);
	for (int i = 0; i < model->count; i++) {
		model_job_t *job = &model->jobs[i];
		bool on = false;

		for (int m = 0; job->running && m < job->at.members; m++)
			on |= strcmp(job->at.places[m].worker, worker) == 0;
		if (!on)
			continue;
		model_use(model, job, false);
		placement_ended(
		    model->placement, job->id, PLACEMENT_LOST, model->now);
	}
}

static void
model_ends(model_t *model)
{
	for (int i = model->count - 1; i >= 0; i--) {
		model_job_t *job = &model->jobs[i];
		bool stopped = job->stopping && job->stop_ms <= model->now;

		if (!job->running || (!stopped && job->end_ms > model->now))
			continue;
		model_use(model, job, false);
		placement_ended(model->placement, job->id,
		    stopped ? PLACEMENT_LOST : PLACEMENT_DONE, model->now);
		if (!stopped)
			model_remove(model, job);
	}
}

static void
random_round(uint32_t seed)
{
	cells_guarantee_t guarantees[] = {
	    {"a", 2, 2, 8, ADJACENT_RACK},
	    {"b", 4, 1, 4, ADJACENT_DOMAIN},
	    {"b", 1, 4, 8, ADJACENT_RACK},
	};
	model_t model = {.seed = seed, .rand = g_rand_new_with_seed(seed)};

	model.jobs = g_new0(model_job_t, MAX_JOBS);
	model.placement = create_uniform(4, 6);
	memset(model.present, 1, sizeof(model.present));
	ck_assert_int_eq(
	    placement_set_guarantees(model.placement, guarantees, 3, NULL), 0);
	for (int step = 0; step < RANDOM_STEPS; step++) {
		int dice = g_rand_int_range(model.rand, 0, 1000);

		model.now += g_rand_int_range(model.rand, 0, 1000);
		if (dice < 400)
			model_submit(&model);
		else if (dice < 410)
			model_worker(&model);
		else if (dice < 414) { /* cancel every other job */
			for (int i = model.count - 1; i >= 0; i -= 2) {
				placement_ended(model.placement,
				    model.jobs[i].id, PLACEMENT_CANCELLED,
				    model.now);
				model_remove(&model, &model.jobs[i]);
			}
		}
		model_ends(&model);
		model_decide(&model);
	}
	/* All jobs must end once all workers are present again. */
	for (int r = 0; r < 4; r++) {
		for (int w = 0; w < 6; w++) {
			char worker[32];
			char rack[32];

			snprintf(worker, sizeof(worker), "w%d-%d", r, w);
			snprintf(rack, sizeof(rack), "r%d", r);
			if (!model.present[r][w])
				placement_add_worker(
				    model.placement, worker, rack, 8, 8);
		}
	}
	for (int step = 0; step < 20000 && model.count > 0; step++) {
		model.now += 500;
		model_ends(&model);
		model_decide(&model);
	}
	ck_assert_msg(model.count == 0, "seed %u: %d jobs never ended", seed,
	    model.count);
	ck_assert_int_eq(
	    cells_free_accelerators(placement_cells(model.placement)), 192);
	placement_destroy(model.placement);
	g_rand_free(model.rand);
	g_free(model.jobs);
}

/*
 * Guards against double use of accelerators, lost jobs and violated guarantees
 * under random submissions, cancellations, worker failures and recoveries.
 */
START_TEST(random_load)
{
	const char *text = g_getenv("PLACEMENT_SEED");
	uint32_t seed =
	    text != NULL ? (uint32_t)strtoul(text, NULL, 10) : DEFAULT_SEED;

	printf("PLACEMENT_SEED=%u\n", seed);
	for (int round = 0; round < RANDOM_ROUNDS; round++)
		random_round(seed + (uint32_t)round);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tcase = tcase_create("placement");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, order_of_priorities);
	tcase_add_test(tcase, fair_share_and_attained_service);
	tcase_add_test(tcase, quotas_and_refusals);
	tcase_add_test(tcase, deadline_to_start);
	tcase_add_test(tcase, reclaim_is_bounded);
	tcase_add_test(tcase, checkpoint_shortens_reclaim);
	tcase_add_test(tcase, backfill_never_delays_reserved_job);
	tcase_add_test(tcase, waiting_is_bounded);
	tcase_add_test(tcase, small_jobs_get_reservations);
	tcase_add_test(tcase, faulty_worker_or_faulty_job);
	tcase_add_test(tcase, guaranteed_job_leaves_failed_worker);
	tcase_add_test(tcase, migration_frees_rack);
	tcase_add_test(tcase, random_load);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
