#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "state/machine.h"

#define START_MS 1800000000000
#define CLAIMS 100000
#define DOMAINS 5
#define RACKS 90 /* of each domain; 6 workers each make 2,700 workers */
#define WORKERS_PER_RACK 6
#define WORKERS (DOMAINS * RACKS * WORKERS_PER_RACK)
#define JOBS 2625 /* of 8 tasks each make 21,000 running tasks */
#define TASKS_PER_JOB 8
#define OUTCOMES 10000
#define TENANTS 43
#define PATCHES 20
#define PATCH_TARGET_MS 100
#define MEMORY_TARGET_MB 64

static machine_t *machine;
static uint64_t last_index;

static void
print(const char *name, double value, const char *unit, double target,
    bool is_upper_bound)
{
	bool ok = is_upper_bound ? value <= target : value >= target;

	printf("%s %.3f %s %.0f %s\n", name, value, unit, target,
	    ok ? "ok" : "short");
}

static void
print_info(const char *name, double value, const char *unit)
{
	printf("%s %.3f %s - info\n", name, value, unit);
}

static int
apply(command_t *command)
{
	command_result_t result;
	int code;

	machine_apply(machine, ++last_index, command, &result);
	code = result.code;
	if (code != 0)
		g_printerr("kind %d: %s\n", command->kind, result.text);
	machine_result_free(&result);
	return code;
}

static int
patch(const char *text, uint64_t base, int expected)
{
	command_t command = {.kind = COMMAND_PATCH};
	command_result_t result;
	char id[32];
	int code;

	g_snprintf(id, sizeof(id), "p%" G_GUINT64_FORMAT, last_index + 1);
	command.command_t_u.patch = (patch_command_t){
	    .id = id,
	    .base = base,
	    .author = "bench",
	    .time_ms = START_MS,
	    .patch = {(u_int)strlen(text), (char *)text},
	};
	machine_apply(machine, ++last_index, &command, &result);
	code = result.code;
	if (code != expected)
		g_printerr("patch: %d %s\n", code, result.text);
	machine_result_free(&result);
	return code;
}

/* Claims and ends as many keys and prints the claims per second. */
static void
bench_claims(void)
{
	command_t claim = {.kind = COMMAND_CLAIM};
	command_t end = {.kind = COMMAND_CLAIM_END};
	int64_t started_us = clock_mono_us();
	char key[48];
	char task[32];

	for (int i = 0; i < CLAIMS; i++) {
		g_snprintf(key, sizeof(key), "%lld-bench%08d",
		    (long long)START_MS + i % 1000, i);
		g_snprintf(task, sizeof(task), "i1-%d", i);
		claim.command_t_u.claim = (claim_command_t){
		    "hall", key, (uint64_t)i, task, "w0", "i1", START_MS};
		apply(&claim);
		end.command_t_u.claim_end =
		    (claim_end_command_t){"hall", key, task, CLAIM_DONE, 200,
			{12, "{\"result\":1}"}, FALSE, START_MS};
		apply(&end);
	}
	print_info("machine_claims_applied",
	    CLAIMS * 1e6 / (double)(clock_mono_us() - started_us), "claims/s");
}

/* Declares 2,700 workers with a guarantee for each of 43 teams. */
static void
declare_hardware(void)
{
	GString *text = g_string_new("{\"hardware\":{");

	for (int d = 1; d <= DOMAINS; d++)
		g_string_append_printf(text,
		    "%s\"d%d\":{\"racks\":%d,\"workers_per_rack\":%d,"
		    "\"accelerators_per_worker\":8}",
		    d > 1 ? "," : "", d, RACKS, WORKERS_PER_RACK);
	g_string_append(text, "},\"tenants\":{");
	for (int t = 0; t < TENANTS; t++)
		g_string_append_printf(
		    text, "%s\"t%d\":{\"weight\":1}", t > 0 ? "," : "", t);
	g_string_append(text, "},\"workspaces\":{");
	for (int t = 0; t < TENANTS; t++)
		g_string_append_printf(text,
		    "%s\"w%d\":{\"tenant\":\"t%d\",\"guarantees\":[{\"domain\":"
		    "\"d%d\",\"count\":2,\"members\":6,\"accelerators\":8,"
		    "\"adjacency\":\"rack\"}]}",
		    t > 0 ? "," : "", t, t, 1 + t % DOMAINS);
	g_string_append(text, "}}");
	patch(text->str, machine_config_version(machine), 0);
	g_string_free(text, TRUE);
}

/* Prints the longest time of a patch that changes a guarantee. */
static void
bench_patches(void)
{
	int64_t longest_us = 0;
	char text[256];

	for (int i = 0; i < PATCHES; i++) {
		int64_t started_us = clock_mono_us();

		g_snprintf(text, sizeof(text),
		    "{\"workspaces\":{\"w%d\":{\"guarantees\":[{\"domain\":"
		    "\"d1\",\"count\":1,\"members\":%d,\"accelerators\":8,"
		    "\"adjacency\":\"rack\"}]}}}",
		    i, 1 + i % 6);
		patch(text, machine_config_version(machine), 0);
		longest_us = MAX(longest_us, clock_mono_us() - started_us);
	}
	print("machine_patch_check_2700_workers", (double)longest_us / 1000,
	    "ms", PATCH_TARGET_MS, true);
}

/* Prints the longest time of a patch whose guarantee cannot fit. */
static void
bench_refused_patches(void)
{
	int64_t longest_us = 0;
	char text[256];

	for (int i = 0; i < PATCHES; i++) {
		int64_t started_us = clock_mono_us();

		g_snprintf(text, sizeof(text),
		    "{\"workspaces\":{\"w%d\":{\"guarantees\":[{\"domain\":"
		    "\"d1\",\"count\":%d,\"members\":%d,\"accelerators\":8,"
		    "\"adjacency\":\"rack\"}]}}}",
		    i, i % 2 == 0 ? 1 : 200, i % 2 == 0 ? 64 : 6);
		patch(text, machine_config_version(machine), -ENOSPC);
		longest_us = MAX(longest_us, clock_mono_us() - started_us);
	}
	print("machine_patch_refused_2700_workers", (double)longest_us / 1000,
	    "ms", PATCH_TARGET_MS, true);
}

static void
add_workers(void)
{
	command_t command = {.kind = COMMAND_WORKER_ADD};
	char id[32];
	char domain[8];
	char rack[16];

	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		g_snprintf(domain, sizeof(domain), "d%d", 1 + i % DOMAINS);
		g_snprintf(
		    rack, sizeof(rack), "r%d", i / DOMAINS / WORKERS_PER_RACK);
		command.command_t_u.worker = (worker_command_t){id, "127.0.0.1",
		    9000, domain, rack, 8, 64, 8, 1, "i1", START_MS};
		apply(&command);
	}
	for (int d = 1; d <= DOMAINS; d++) {
		g_snprintf(domain, sizeof(domain), "d%d", d);
		command.kind = COMMAND_PLACER;
		command.command_t_u.placer =
		    (placer_command_t){domain, "i1", 0};
		apply(&command);
	}
}

/* Submits and starts job i of domain d1 + i % DOMAINS on free workers. */
static void
run_job(int i)
{
	command_t command = {.kind = COMMAND_JOB_SUBMIT};
	job_member_t members[TASKS_PER_JOB];
	char names[TASKS_PER_JOB][2][32];
	char id[32];
	char key[48];
	char domain[8];
	int slot = i / DOMAINS;

	g_snprintf(id, sizeof(id), "j%d", i);
	g_snprintf(key, sizeof(key), "%lld-job%08d", (long long)START_MS, i);
	g_snprintf(domain, sizeof(domain), "d%d", 1 + i % DOMAINS);
	command.command_t_u.job = (job_command_t){id, "t0", "w0", key, 1,
	    domain, TASKS_PER_JOB, 1, ADJACENT_DOMAIN, PRIORITY_GUARANTEED,
	    1000, 0, START_MS, {2, "{}"}};
	apply(&command);
	for (int m = 0; m < TASKS_PER_JOB; m++) {
		int task = slot * TASKS_PER_JOB + m;
		int worker = (task / 8) * DOMAINS + i % DOMAINS;

		g_snprintf(names[m][0], 32, "w%d", worker);
		g_snprintf(names[m][1], 32, "%s.1.%d", id, m);
		members[m] = (job_member_t){names[m][0], 1u << task % 8,
		    names[m][1], machine_worker(machine, names[m][0])->fence};
	}
	command = (command_t){.kind = COMMAND_JOB_START};
	command.command_t_u.job_start = (job_start_command_t){
	    id, 1, domain, 1, TRUE, {TASKS_PER_JOB, members}, START_MS};
	apply(&command);
	command = (command_t){.kind = COMMAND_JOB_GO};
	command.command_t_u.job_go = (job_go_command_t){id, 1, 1, START_MS};
	apply(&command);
}

/* Saves and loads the machine and checks that the bytes stay the same. */
static void
bench_snapshot(void)
{
	GByteArray *first = g_byte_array_new();
	GByteArray *second = g_byte_array_new();
	machine_t *loaded = machine_create();
	int64_t started_us = clock_mono_us();
	int64_t saved_us;
	int64_t loaded_us;

	machine_save(machine, first);
	saved_us = clock_mono_us() - started_us;
	started_us = clock_mono_us();
	if (machine_load(loaded, (str_t){(char *)first->data, first->len}) != 0)
		g_printerr("the snapshot cannot be loaded\n");
	loaded_us = clock_mono_us() - started_us;
	machine_save(loaded, second);
	if (first->len != second->len ||
	    memcmp(first->data, second->data, first->len) != 0)
		g_printerr("the snapshot differs after a load\n");
	print_info("machine_snapshot_save", (double)saved_us / 1000, "ms");
	print_info("machine_snapshot_load", (double)loaded_us / 1000, "ms");
	print_info("machine_snapshot_size", first->len / 1048576.0, "MiB");
	g_byte_array_unref(first);
	g_byte_array_unref(second);
	machine_destroy(loaded);
}

int
main(void)
{
	int64_t started_us;
	size_t before;

	machine = machine_create();
	bench_claims();
	machine_destroy(machine);
	malloc_trim(0);
	before = mallinfo2().uordblks;
	machine = machine_create();
	declare_hardware();
	bench_patches();
	bench_refused_patches();
	add_workers();
	started_us = clock_mono_us();
	for (int i = 0; i < JOBS; i++)
		run_job(i);
	print_info("machine_jobs_started",
	    JOBS * 1e6 / (double)(clock_mono_us() - started_us), "jobs/s");
	for (int i = 0; i < OUTCOMES; i++)
		patch("{}", 0, -ESTALE);
	bench_snapshot();
	/* Of a node's 64 MB of control overhead. */
	print("machine_memory_21000_tasks",
	    (double)(mallinfo2().uordblks - before) / 1048576, "MiB",
	    MEMORY_TARGET_MB, true);
	machine_destroy(machine);
	return 0;
}
