#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "sched/fleet_private.h"

/* Bounds the query: the adviser takes longer with each worker named. */
#define MAX_CANDIDATES 30
/* Per member of the unit; one more share is added. */
#define CANDIDATES_PER_MEMBER 3
#define ADVICE_TIMEOUT_MS 5000

/* An advice request that is waiting for its answer. */
struct advice_query_t {
	fleet_t *fleet;
	char *job;
	char *step;
	GPtrArray *workers; /* ids, NULL-terminated */
	GArray *born;       /* uint64_t incarnations, in the order of workers */
};

/*
 * Returns the name of a step for the adviser, JOB.OCCURRENCE.STEP; the caller
 * frees it.
 */
char *
fleet_step_name(const char *job, int occurrence, int step)
{
	return g_strdup_printf("%s.%d.%d", job, occurrence, step);
}

static void
advice_query_free(advice_query_t *query)
{
	g_free(query->job);
	g_free(query->step);
	g_ptr_array_unref(query->workers);
	g_array_unref(query->born);
	g_free(query);
}

static bool
job_is_open(const advice_query_t *query)
{
	const ledger_job_t *job =
	    ledger_job(fleet_ledger(query->fleet), query->job);

	return job != NULL && !ledger_job_has_ended(job);
}

/* Returns the incarnation (born) of a worker in the query, or 0. */
static uint64_t
incarnation_of(const advice_query_t *query, const char *worker)
{
	for (guint i = 0; i < query->born->len; i++) {
		if (strcmp(g_ptr_array_index(query->workers, i), worker) == 0)
			return g_array_index(query->born, uint64_t, i);
	}
	return 0;
}

static void
store_grants(advice_query_t *query, const advice_answer_t *answer)
{
	tickets_t *tickets = query->fleet->tickets;
	int64_t until_ms = fleet_now_ms() + answer->valid_ms;

	for (size_t i = 0; i < answer->count; i++)
		tickets_grant(tickets, query->step, answer->grants[i].worker,
		    incarnation_of(query, answer->grants[i].worker),
		    answer->grants[i].ticket, until_ms);
	tickets_query_done(
	    tickets, query->step, (const char *const *)query->workers->pdata);
}

static void
on_advice(void *ctx, const advice_answer_t *answer)
{
	advice_query_t *query = ctx;
	fleet_t *fleet = query->fleet;

	evlog("advice", "{s:s,s:i,s:i,s:b}", "step", query->step, "asked",
	    (int)query->born->len, "granted", (int)answer->count, "answered",
	    (int)answer->answered);
	if (answer->answered)
		store_grants(query, answer);
	else
		tickets_query_failed(
		    fleet->tickets, query->step, fleet_now_ms());
	if (!job_is_open(query))
		tickets_forget_job(fleet->tickets, query->job);
	fleet->advice_query = NULL;
	advice_query_free(query);
	fleet_schedule_work(fleet);
}

static void
add_candidate(advice_query_t *query, const fleet_worker_t *info)
{
	g_ptr_array_add(query->workers, g_strdup(info->id));
	g_array_append_val(query->born, info->born);
}

/* Adds workers that have room and that the adviser has not refused. */
static void
choose_candidates(advice_query_t *query, const plan_worker_t *workers,
    size_t count, const plan_unit_t *unit)
{
	guint limit = MIN((guint)unit->members * CANDIDATES_PER_MEMBER +
			      CANDIDATES_PER_MEMBER,
	    MAX_CANDIDATES);
	int64_t now_ms = fleet_now_ms();

	for (size_t i = 0; i < count && query->born->len < limit; i++) {
		const fleet_worker_t *info = workers[i].worker;

		if (plan_is_eligible(&workers[i], unit) &&
		    plan_fit(&workers[i].free, &unit->step->shape) > 0 &&
		    tickets_worker_needs_query(query->fleet->tickets,
			query->step, info->id, info->born, now_ms))
			add_candidate(query, info);
	}
}

/*
 * Asks the adviser which workers may run the step, unless the rate limit
 * forbids it or no candidate is left.
 */
void
fleet_ask_advice(fleet_t *fleet, const char *job, const char *step,
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit)
{
	advice_query_t *query;

	if (fleet->orders.advise == NULL ||
	    !tickets_can_query_step(fleet->tickets, step, fleet_now_ms()))
		return;
	query = g_new0(advice_query_t, 1);
	query->fleet = fleet;
	query->job = g_strdup(job);
	query->step = g_strdup(step);
	query->workers = g_ptr_array_new_with_free_func(g_free);
	query->born = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	choose_candidates(query, workers, count, unit);
	g_ptr_array_add(query->workers, NULL);
	if (query->born->len == 0) {
		advice_query_free(query);
		return;
	}
	tickets_query_started(fleet->tickets, step);
	fleet->advice_query = query;
	fleet->orders.advise(fleet->orders.ctx, step,
	    (const char *const *)query->workers->pdata, ADVICE_TIMEOUT_MS,
	    on_advice, query);
}

void
fleet_drop_advice_query(fleet_t *fleet)
{
	if (fleet->advice_query != NULL)
		advice_query_free(fleet->advice_query);
	fleet->advice_query = NULL;
}
