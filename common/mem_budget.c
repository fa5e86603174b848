#include "common/mem_budget.h"

#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <string.h>
#include <unistd.h>

#include "common/counters.h"
#include "common/evlog.h"

#define PERCENT 100
#define MIN_CONNECTIONS 8
/* No listener needs more, and other programs share a large machine. */
#define MAX_TOTAL_BYTES (INT64_C(1) << 30)
/* A full share is reported as free again below this part of it. */
#define FREE_AGAIN_PERCENT 75
#define TRIM_AFTER_BYTES (4 * 1024 * 1024)
/* Larger blocks are mapped one by one and go back when they are freed. */
#define MMAP_THRESHOLD_BYTES (256 * 1024)
#define TRIM_THRESHOLD_BYTES (1024 * 1024)

struct mem_share_t {
	const char *name;
	size_t limit;
	size_t held;
	bool is_full; /* was reported */
	counter_t *held_bytes;
	counter_t *refused;
};

struct mem_budget_t {
	int64_t total_bytes;
	mem_share_t shares[MEM_HOLDERS];
};

/* The rest is for the program itself and its state. */
static const struct {
	const char *name;
	int bytes_percent;
	int connections_percent;
} holders[MEM_HOLDERS] = {
    [MEM_CALLERS] = {"callers", 10, 25},
    [MEM_OPERATORS] = {"operators", 10, 10},
    [MEM_READINESS] = {"readiness", 1, 2},
};

static size_t freed_bytes;

/* ---- the limit of the process ---- */

/* Reads a number from a file; 0 when there is none, as for "max". */
static int64_t
read_number(const char *path)
{
	char *text = NULL;
	int64_t number = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		number = g_ascii_strtoll(text, NULL, 10);
	g_free(text);
	return MAX(number, 0);
}

/* The limit of the process's control group; 0 for none. */
static int64_t
group_limit(void)
{
	char *text = NULL;
	char *path;
	char *line;
	int64_t limit = 0;

	if (g_file_get_contents("/proc/self/cgroup", &text, NULL, NULL) &&
	    (line = strstr(text, "0::/")) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		path = g_strdup_printf(
		    "/sys/fs/cgroup%s/memory.max", line + strlen("0::"));
		limit = read_number(path);
		g_free(path);
	}
	g_free(text);
	if (limit == 0)
		limit = read_number("/sys/fs/cgroup/memory.max");
	return limit;
}

/* Returns the smaller of the machine's memory and the group's limit. */
int64_t
mem_budget_limit(void)
{
	int64_t machine =
	    (int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);
	int64_t group = group_limit();

	if (machine <= 0)
		machine = MAX_TOTAL_BYTES;
	return group > 0 ? MIN(group, machine) : machine;
}

/* ---- shares ---- */

static void
share_init(mem_share_t *share, mem_holder_t holder, int64_t total_bytes)
{
	char *name;

	share->name = holders[holder].name;
	share->limit =
	    (size_t)(total_bytes * holders[holder].bytes_percent / PERCENT);
	name = g_strdup_printf("memory_held_bytes{holder=\"%s\"}", share->name);
	share->held_bytes =
	    gauge_get(name, "bytes held for others, by who they are held for");
	g_free(name);
	name =
	    g_strdup_printf("memory_refused_total{holder=\"%s\"}", share->name);
	share->refused =
	    counter_get(name, "times that bytes did not fit into a share");
	g_free(name);
}

/* Divides total_bytes, at most 1 GiB of it. */
mem_budget_t *
mem_budget_create(int64_t total_bytes)
{
	mem_budget_t *budget = g_new0(mem_budget_t, 1);

	budget->total_bytes = CLAMP(total_bytes, 0, MAX_TOTAL_BYTES);
	for (int i = 0; i < MEM_HOLDERS; i++)
		share_init(
		    &budget->shares[i], (mem_holder_t)i, budget->total_bytes);
	return budget;
}

/* Ends the budget; NULL is allowed.  Nothing may be held any more. */
void
mem_budget_destroy(mem_budget_t *budget)
{
	g_free(budget);
}

unsigned
mem_budget_connections(const mem_budget_t *budget, mem_holder_t holder)
{
	int64_t bytes;

	if (budget == NULL)
		return UINT_MAX;
	bytes =
	    budget->total_bytes * holders[holder].connections_percent / PERCENT;
	return (unsigned)MAX(bytes / MEM_CONNECTION_BYTES, MIN_CONNECTIONS);
}

mem_share_t *
mem_budget_share(mem_budget_t *budget, mem_holder_t holder)
{
	return budget != NULL ? &budget->shares[holder] : NULL;
}

void
mem_share_at_least(mem_share_t *share, size_t bytes)
{
	share->limit = MAX(share->limit, bytes);
}

bool
mem_share_has(const mem_share_t *share, size_t bytes)
{
	return bytes <= share->limit && share->held <= share->limit - bytes;
}

/* Takes bytes; false, and a line in the event log once, if they do not fit. */
bool
mem_share_take(mem_share_t *share, size_t bytes)
{
	if (!mem_share_has(share, bytes)) {
		counter_add(share->refused, 1);
		if (!share->is_full)
			evlog("memory_share_full", "{s:s,s:I,s:I}", "holder",
			    share->name, "held_bytes", (json_int_t)share->held,
			    "limit_bytes", (json_int_t)share->limit);
		share->is_full = true;
		return false;
	}
	share->held += bytes;
	counter_set(share->held_bytes, (int64_t)share->held);
	return true;
}

/* Gives back bytes that were taken. */
void
mem_share_give(mem_share_t *share, size_t bytes)
{
	share->held -= MIN(bytes, share->held);
	counter_set(share->held_bytes, (int64_t)share->held);
	if (share->is_full &&
	    share->held < share->limit / PERCENT * FREE_AGAIN_PERCENT) {
		share->is_full = false;
		evlog("memory_share_free", "{s:s,s:I}", "holder", share->name,
		    "held_bytes", (json_int_t)share->held);
	}
}

size_t
mem_share_held(const mem_share_t *share)
{
	return share->held;
}

/* ---- the allocator ---- */

void
mem_trim_setup(void)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
}

void
mem_note_freed(size_t bytes)
{
	freed_bytes += bytes;
}

void
mem_trim(void)
{
	if (freed_bytes < TRIM_AFTER_BYTES)
		return;
	freed_bytes = 0;
	malloc_trim(0);
}
