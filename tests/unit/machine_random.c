#include "tests/unit/machine_random.h"

#include <check.h>
#include <string.h>

#include "common/chart.h"
#include "tests/unit/machine_driver.h"

#define WORKERS 4
#define JOBS 12
#define KEYS 6
#define TASKS 4
#define MAX_STEP_MS 120000
#define KEY_PERIOD_MS 600000 /* period of key time stamps and job ids */

/* The machine under test and the results observed so far. */
typedef struct {
	driver_t driver;
	GRand *random;
	uint64_t version;
	GHashTable *outcomes; /* patch id -> first code and data */
	GHashTable *claims;   /* key -> task of the open claim, or "done" */
	GHashTable *starts;   /* "job.attempt" -> mask of the first start */
} run_t;

/* Returns a random integer in 0..count-1. */
static int
pick(run_t *run, int count)
{
	return g_rand_int_range(run->random, 0, count);
}

/* Returns a random key with a time stamp of one of the last three periods. */
static char *
pick_key(run_t *run)
{
	int64_t stamp = run->driver.now_ms / KEY_PERIOD_MS * KEY_PERIOD_MS;

	return g_strdup_printf("%" G_GINT64_FORMAT "-abcdefgh%d",
	    stamp - (int64_t)pick(run, 3) * KEY_PERIOD_MS, pick(run, KEYS));
}

static void
random_patch(run_t *run)
{
	static const char *const patches[] = {
	    "{\"tenants\":{\"hall\":{\"quota_accelerators\":6}}}",
	    "{\"tenants\":{\"hall\":{\"quota_accelerators\":20}}}",
	    "{\"tenants\":{\"cure\":{\"weight\":3}}}",
	    "{\"tenants\":{\"cure\":null}}",
	    "{\"claim_window_ms\":3600000}",
	    "{\"claim_window_ms\":86400000}",
	    "{\"tenants\":{\"hall\":{\"queue\":-1}}}",
	    "not json",
	};
	uint64_t version = machine_config_version(run->driver.machine);
	char *id = g_strdup_printf(
	    "p%u", (guint)version / 2 * 4 + (guint)pick(run, 8));
	const char *first = g_hash_table_lookup(run->outcomes, id);
	char *data;
	int rc;

	rc = driver_patch(&run->driver, id, version - (uint64_t)pick(run, 2),
	    patches[pick(run, G_N_ELEMENTS(patches))]);
	data =
	    g_strdup_printf("%d %.*s", rc, STR_ARG(driver_data(&run->driver)));
	if (first == NULL) {
		g_hash_table_insert(run->outcomes, id, data);
		return;
	}
	ck_assert_msg(strcmp(data, first) == 0, "patch %s: first %s, then %s",
	    id, first, data);
	ck_assert_uint_eq(machine_config_version(run->driver.machine), version);
	g_free(data);
	g_free(id);
}

static void
random_claim(run_t *run)
{
	char *key = pick_key(run);
	char *task = g_strdup_printf("t%d", pick(run, TASKS));
	const char *open = g_hash_table_lookup(run->claims, key);
	int rc = driver_claim(&run->driver, key, task, (uint64_t)pick(run, 2));

	if (rc != 0) {
		g_free(key);
		g_free(task);
		return;
	}
	ck_assert_msg(open == NULL || strcmp(open, task) == 0,
	    "key %s is claimed by %s and %s", key, open, task);
	g_hash_table_replace(run->claims, key, task);
}

static void
random_claim_end(run_t *run)
{
	char *key = pick_key(run);
	char *task = g_strdup_printf("t%d", pick(run, TASKS));
	const char *open = g_hash_table_lookup(run->claims, key);
	claim_state_t state = pick(run, 2) ? CLAIM_DONE : CLAIM_DID_NOT_RUN;
	bool was_open =
	    machine_claim(run->driver.machine, "hall", key) != NULL &&
	    machine_claim(run->driver.machine, "hall", key)->state ==
		CLAIM_OPEN;
	int rc = driver_claim_end(&run->driver, key, task, state, "a", 1);

	if (rc == 0 && was_open) {
		ck_assert_str_eq(open, task);
		/* No task is named "done": another end would fail the check. */
		if (state == CLAIM_DID_NOT_RUN)
			g_hash_table_remove(run->claims, key);
		else
			g_hash_table_replace(
			    run->claims, g_strdup(key), g_strdup("done"));
	}
	g_free(key);
	g_free(task);
}

static void
random_worker(run_t *run)
{
	command_t command = {0};
	char id[8];
	uint64_t fence = 0;
	const machine_worker_t *worker;

	g_snprintf(id, sizeof(id), "w%d", pick(run, WORKERS));
	worker = machine_worker(run->driver.machine, id);
	if (worker != NULL)
		fence = worker->fence - (uint64_t)(pick(run, 4) == 0);
	switch (pick(run, 8)) {
	case 0:
		command.kind = COMMAND_WORKER_LEAVE;
		command.command_t_u.worker_leave = id;
		driver_apply(&run->driver, &command);
		return;
	case 1:
		driver_move_worker(
		    &run->driver, id, pick(run, 2) ? "i1" : "i2", fence);
		return;
	case 2:
		command.kind = COMMAND_WORKER_REMOVE;
		command.command_t_u.worker_remove = (worker_owner_command_t){
		    .id = id,
		    .owner = "",
		    .expected_fence = fence,
		};
		driver_apply(&run->driver, &command);
		return;
	case 3:
		driver_report_instance(
		    &run->driver, pick(run, 2) ? "i1" : "i2", pick(run, 2));
		return;
	default:
		driver_add_worker(&run->driver, id, (uint64_t)pick(run, 3),
		    pick(run, 2) ? "i1" : "i2");
	}
}

/* Checks that no two attempts use the same accelerator of a worker. */
static bool
check_accelerators_disjoint(void *ctx, const machine_job_t *job)
{
	GHashTable *in_use = ctx;

	if (chart_is_final(chart_builtin("job"), job->state))
		return true;
	for (size_t i = 0; i < job->placed_count; i++) {
		uint32_t mask = GPOINTER_TO_UINT(
		    g_hash_table_lookup(in_use, job->members[i].worker));

		ck_assert_uint_eq(mask & job->members[i].accelerator_mask, 0);
		mask |= job->members[i].accelerator_mask;
		g_hash_table_insert(
		    in_use, job->members[i].worker, GUINT_TO_POINTER(mask));
	}
	return true;
}

static void
random_start(run_t *run, const char *id, uint64_t epoch)
{
	const machine_job_t *job = machine_job(run->driver.machine, id);
	uint32_t attempt =
	    (job != NULL ? job->attempt : 0) + (uint32_t)pick(run, 2);
	uint32_t mask = 3u << pick(run, 7);
	char *name = g_strdup_printf("%s.%u", id, attempt);
	void *first = g_hash_table_lookup(run->starts, name);
	int rc = driver_start(&run->driver, id, attempt, epoch, pick(run, 2),
	    1 + pick(run, 2), mask);
	GHashTable *in_use;

	if (rc != 0) {
		g_free(name);
		return;
	}
	ck_assert_msg(first == NULL || GPOINTER_TO_UINT(first) == mask,
	    "attempt %s started twice", name);
	g_hash_table_replace(run->starts, name, GUINT_TO_POINTER(mask));
	in_use = g_hash_table_new(g_str_hash, g_str_equal);
	machine_each_job(
	    run->driver.machine, check_accelerators_disjoint, in_use);
	g_hash_table_unref(in_use);
}

static void
random_job(run_t *run)
{
	/* A new set of job ids and keys each period keeps new jobs coming. */
	int64_t period = run->driver.now_ms / KEY_PERIOD_MS;
	const machine_placer_t *placer =
	    machine_placer(run->driver.machine, "d1");
	uint64_t epoch = (placer != NULL ? placer->epoch : 0) -
			 (uint64_t)(pick(run, 6) == 0);
	const machine_job_t *job;
	uint32_t attempt;
	char id[40];
	char key[64];
	int number = pick(run, JOBS);

	g_snprintf(id, sizeof(id), "j%" G_GINT64_FORMAT ".%d", period, number);
	g_snprintf(key, sizeof(key), "%" G_GINT64_FORMAT "-jobjob%03d",
	    period * KEY_PERIOD_MS, number / 2);
	job = machine_job(run->driver.machine, id);
	attempt =
	    (job != NULL ? job->attempt : 0) - (uint32_t)(pick(run, 6) == 0);
	switch (pick(run, 7)) {
	case 0:
		driver_submit(
		    &run->driver, id, key, (uint64_t)pick(run, 2), 1, 2);
		return;
	case 1:
	case 2:
		random_start(run, id, epoch);
		return;
	case 3:
	case 4:
		driver_go(&run->driver, id, attempt, epoch);
		return;
	case 5:
		driver_end(
		    &run->driver, id, attempt, epoch, (job_end_t)pick(run, 7));
		return;
	default:
		if (pick(run, 4) == 0)
			driver_cancel(
			    &run->driver, id, pick(run, 3) ? "hall" : "cure");
	}
}

static void
random_command(run_t *run)
{
	driver_t *d = &run->driver;
	const machine_placer_t *placer;

	d->now_ms += pick(run, MAX_STEP_MS) * (pick(run, 20) == 0);
	switch (pick(run, 10)) {
	case 0:
		random_patch(run);
		break;
	case 1:
	case 2:
		random_claim(run);
		break;
	case 3:
		random_claim_end(run);
		break;
	case 4:
		random_worker(run);
		break;
	case 5:
		placer = machine_placer(d->machine, "d1");
		if (pick(run, 20) == 0)
			driver_set_placer(d, "d1", pick(run, 2) ? "i1" : "i2",
			    (placer != NULL ? placer->epoch : 0) -
				(uint64_t)(pick(run, 3) == 0));
		break;
	default:
		random_job(run);
	}
	ck_assert_uint_ge(machine_config_version(d->machine), run->version);
	run->version = machine_config_version(d->machine);
}

GByteArray *
machine_random_run(uint32_t seed, int commands, int reload_every)
{
	run_t run = {
	    .random = g_rand_new_with_seed(seed),
	    .outcomes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	    .claims =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	    .starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
	GByteArray *bytes;

	driver_open(&run.driver);
	for (int i = 1; i <= commands; i++) {
		random_command(&run);
		if (reload_every > 0 && i % reload_every == 0)
			driver_reload(&run.driver);
	}
	bytes = driver_save(&run.driver);
	driver_close(&run.driver);
	g_hash_table_unref(run.outcomes);
	g_hash_table_unref(run.claims);
	g_hash_table_unref(run.starts);
	g_rand_free(run.random);
	return bytes;
}
