#include "sched/tickets.h"

#include <glib.h>
#include <string.h>

#define RETRY_DELAY_MS 200 /* after a failed query */
/* Covers the time that a start order takes to arrive. */
#define MIN_VALID_MS 300

struct tickets_t {
	GHashTable *steps;  /* name -> step_t */
	bool query_pending; /* the adviser answers one query at a time */
};

typedef struct {
	bool granted; /* false: refused */
	uint64_t born;
	char *ticket;
	int64_t valid_until_ms;
} verdict_t;

typedef struct {
	GHashTable *workers; /* id -> verdict_t */
	int64_t next_query_ms;
} step_t;

static void
verdict_free(void *data)
{
	verdict_t *verdict = data;

	g_free(verdict->ticket);
	g_free(verdict);
}

static void
step_free(void *data)
{
	step_t *step = data;

	g_hash_table_unref(step->workers);
	g_free(step);
}

tickets_t *
tickets_create(void)
{
	tickets_t *tickets = g_new0(tickets_t, 1);

	tickets->steps =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, step_free);
	return tickets;
}

/* NULL is allowed. */
void
tickets_destroy(tickets_t *tickets)
{
	if (tickets == NULL)
		return;
	g_hash_table_unref(tickets->steps);
	g_free(tickets);
}

static gboolean
is_step_of(gpointer step, gpointer value, gpointer job)
{
	size_t len = strlen(job);

	return strncmp(step, job, len) == 0 && ((const char *)step)[len] == '.';
}

void
tickets_forget_job(tickets_t *tickets, const char *job)
{
	g_hash_table_foreach_remove(tickets->steps, is_step_of, (gpointer)job);
}

static step_t *
get_or_add_step(tickets_t *tickets, const char *name)
{
	step_t *step = g_hash_table_lookup(tickets->steps, name);

	if (step == NULL) {
		step = g_new0(step_t, 1);
		step->workers = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, verdict_free);
		g_hash_table_insert(tickets->steps, g_strdup(name), step);
	}
	return step;
}

static const verdict_t *
find_verdict(const tickets_t *tickets, const char *name, const char *worker)
{
	const step_t *step = g_hash_table_lookup(tickets->steps, name);

	return step != NULL ? g_hash_table_lookup(step->workers, worker) : NULL;
}

const char *
tickets_find(const tickets_t *tickets, const char *step, const char *worker,
    uint64_t born, int64_t now_ms)
{
	const verdict_t *verdict = find_verdict(tickets, step, worker);

	if (verdict == NULL || !verdict->granted || verdict->born != born ||
	    verdict->valid_until_ms - now_ms < MIN_VALID_MS)
		return NULL;
	return verdict->ticket;
}

bool
tickets_worker_needs_query(const tickets_t *tickets, const char *step,
    const char *worker, uint64_t born, int64_t now_ms)
{
	const verdict_t *verdict = find_verdict(tickets, step, worker);

	if (verdict == NULL)
		return true;
	return verdict->granted &&
	       tickets_find(tickets, step, worker, born, now_ms) == NULL;
}

bool
tickets_can_query_step(
    const tickets_t *tickets, const char *name, int64_t now_ms)
{
	const step_t *step = g_hash_table_lookup(tickets->steps, name);

	return !tickets->query_pending &&
	       (step == NULL || now_ms >= step->next_query_ms);
}

void
tickets_query_started(tickets_t *tickets, const char *step)
{
	get_or_add_step(tickets, step);
	tickets->query_pending = true;
}

void
tickets_query_failed(tickets_t *tickets, const char *step, int64_t now_ms)
{
	tickets->query_pending = false;
	get_or_add_step(tickets, step)->next_query_ms = now_ms + RETRY_DELAY_MS;
}

void
tickets_grant(tickets_t *tickets, const char *step, const char *worker,
    uint64_t born, const char *ticket, int64_t valid_until_ms)
{
	verdict_t *verdict = g_new0(verdict_t, 1);

	*verdict = (verdict_t){true, born, g_strdup(ticket), valid_until_ms};
	g_hash_table_replace(
	    get_or_add_step(tickets, step)->workers, g_strdup(worker), verdict);
}

void
tickets_query_done(
    tickets_t *tickets, const char *name, const char *const *workers)
{
	step_t *step = get_or_add_step(tickets, name);

	tickets->query_pending = false;
	for (size_t i = 0; workers[i] != NULL; i++) {
		if (!g_hash_table_contains(step->workers, workers[i]))
			g_hash_table_insert(step->workers, g_strdup(workers[i]),
			    g_new0(verdict_t, 1));
	}
}
