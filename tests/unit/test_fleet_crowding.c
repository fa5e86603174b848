#include <check.h>
#include <string.h>

#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Tasks that slow each other down, from polls to placement. */

#define TEST_TIMEOUT_S 60
#define SERVER "00000000000000a1"
#define OTHER "00000000000000a2"
#define FILLER_CPU_MILLI 32000
#define TAIL_ALONE_MS 100
#define TAIL_DISTURBED_MS 300
#define CYCLES 12
#define CYCLE_PART_MS 400
#define WAIT(bed, condition) ck_assert(system_wait((bed)->loop, condition, bed))

static bool
holds(const bed_worker_t *worker, const char *prefix)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const bed_task_t *task = g_ptr_array_index(worker->tasks, i);

		if (strncmp(task->job, prefix, strlen(prefix)) == 0)
			return true;
	}
	return false;
}

/* A filler triples the tail latency of the server beside it. */
static int
load_of(const bed_worker_t *worker, const bed_task_t *task)
{
	if (task->job[0] == 'f')
		return FILLER_CPU_MILLI;
	if (strcmp(task->job, SERVER) == 0 && holds(worker, "f"))
		return TAIL_DISTURBED_MS;
	return TAIL_ALONE_MS;
}

static bool
servers_run(void *ctx)
{
	return bed_running(ctx, SERVER) == 1 && bed_running(ctx, OTHER) == 1;
}

static bool
filler_runs(void *ctx)
{
	const bed_t *bed = ctx;

	return holds(&bed->workers[0], "f") || holds(&bed->workers[1], "f");
}

/* Runs one filler to its end and tells whether it ran beside the server. */
static bool
filler_joins_server(bed_t *bed, int number)
{
	char id[17];
	bool joined;

	g_snprintf(id, sizeof(id), "f%015d", number);
	bed_submit_image(bed, id, "filler", 0);
	WAIT(bed, filler_runs);
	joined = holds(&bed->workers[0], "f");
	bed_run_for(bed, CYCLE_PART_MS);
	bed_end_tasks(bed, id, RUN_DONE);
	bed_run_for(bed, CYCLE_PART_MS);
	return joined;
}

/* The server fills the first worker more than the other task the second. */
static void
open_with_servers(bed_t *bed, bool avoids_interference)
{
	bed_open(bed, 2, 8);
	bed->avoids_interference = avoids_interference;
	bed_restart_fleet(bed);
	for (int i = 0; i < 2; i++)
		bed->workers[i].load = load_of;
	bed_submit_image(bed, SERVER, "server", 5);
	bed_run_for(bed, CYCLE_PART_MS);
	bed_submit_image(bed, OTHER, "other", 4);
	WAIT(bed, servers_run);
	if (holds(&bed->workers[1], SERVER)) {
		bed_worker_t first = bed->workers[0];

		bed->workers[0] = bed->workers[1];
		bed->workers[1] = first;
	}
}

/*
 * Load pattern: short tasks on leftover CPU come one after the other and triple
 * the latency of a server.  Guards against a leader that goes on placing them
 * beside it, and against one that needs a replicated estimate: a new leader
 * places as if it knew nothing.
 */
START_TEST(learns_and_forgets)
{
	bed_t bed;
	int cycle = 0;

	open_with_servers(&bed, true);
	ck_assert(filler_joins_server(&bed, cycle));
	while (++cycle < CYCLES && filler_joins_server(&bed, cycle))
		;
	ck_assert_int_lt(cycle, CYCLES);
	bed_restart_fleet(&bed);
	WAIT(&bed, servers_run);
	ck_assert(filler_joins_server(&bed, CYCLES));
	bed_close(&bed);
}
END_TEST

/* Guards against a placement that changes although the settings are silent. */
START_TEST(off_by_default)
{
	bed_t bed;

	open_with_servers(&bed, false);
	for (int cycle = 0; cycle < CYCLES / 2; cycle++)
		ck_assert(filler_joins_server(&bed, cycle));
	bed_close(&bed);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fleet_crowding");
	TCase *tcase = tcase_create("fleet_crowding");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, learns_and_forgets);
	tcase_add_test(tcase, off_by_default);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
