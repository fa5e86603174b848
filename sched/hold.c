#include "sched/hold.h"

#include "sched/pool_private.h"

/* A worker that could take members of the unit. */
typedef struct {
	size_t worker;
	int fitting; /* members, once what runs there has ended */
	int missing; /* of them do not fit yet */
} candidate_t;

/* The workers of a rack or a failure domain, or all. */
typedef struct {
	int fitting;
	int missing;
	bool allowed;
} scope_t;

static bool
is_candidate(
    const pool_t *pool, const plan_unit_t *unit, size_t i, candidate_t *found)
{
	const plan_worker_t *worker = &pool->workers[i];
	resources_t available = pool_available(pool, i, PLAN_RELEASING);

	if (!plan_is_eligible(worker, unit) || worker->penalty > 0 ||
	    (unit->needs_ticket && !worker->has_ticket) ||
	    (unit->avoids_reserved && pool->racks[pool->rack_of[i]].reserved))
		return false;
	found->worker = i;
	found->fitting =
	    plan_members_that_fit(worker, unit, &worker->worker->capacity);
	found->missing =
	    found->fitting - plan_members_that_fit(worker, unit, &available);
	return found->fitting > 0;
}

/* Whether the unit has to stay in one rack. */
static bool
needs_rack(const plan_unit_t *unit)
{
	const step_spec_t *step = unit->step;

	return !unit->may_spread && (step->data_rack[0] != '\0' ||
					(step->same_rack && unit->members > 1));
}

static int
scope_of(const pool_t *pool, const plan_unit_t *unit, size_t worker)
{
	return needs_rack(unit) ? pool->rack_of[worker]
				: pool->domain_of[worker];
}

static void
add_to_scope(scope_t *scope, const candidate_t *candidate)
{
	scope->fitting += candidate->fitting;
	scope->missing += candidate->missing;
}

static bool
has_less_to_wait_for(const scope_t *a, const scope_t *b)
{
	return (int64_t)a->missing * b->fitting <
	       (int64_t)b->missing * a->fitting;
}

/*
 * Returns the scope that the unit fits into with the smallest share of it
 * missing, or POOL_NONE.
 */
static int
choose_scope(const scope_t *scopes, size_t count, int members)
{
	int best = POOL_NONE;

	for (size_t i = 0; i < count; i++) {
		if (!scopes[i].allowed || scopes[i].fitting < members)
			continue;
		if (best == POOL_NONE ||
		    has_less_to_wait_for(&scopes[i], &scopes[best]))
			best = (int)i;
	}
	return best;
}

/* Fewest missing members first, then those that hold most. */
static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->missing != second->missing)
		return first->missing - second->missing;
	if (first->fitting != second->fitting)
		return second->fitting - first->fitting;
	return first->worker < second->worker ? -1 : 1;
}

/* Returns the candidates of the best scope, all if none is large enough. */
static GArray *
find_candidates(const pool_t *pool, const plan_unit_t *unit)
{
	size_t count = needs_rack(unit) ? pool->rack_count : pool->domain_count;
	scope_t *scopes = g_new0(scope_t, count);
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	const char *data_rack = unit->step->data_rack;
	int number = pool_rack_number(pool, data_rack);
	candidate_t candidate;
	int scope;

	for (size_t i = 0; i < count; i++)
		scopes[i].allowed = !needs_rack(unit) || data_rack[0] == '\0' ||
				    (int)i == number;
	for (size_t i = 0; i < pool->count; i++) {
		if (is_candidate(pool, unit, i, &candidate))
			add_to_scope(
			    &scopes[scope_of(pool, unit, i)], &candidate);
	}
	scope = choose_scope(scopes, count, unit->members);
	g_free(scopes);
	if (scope == POOL_NONE && needs_rack(unit))
		return found;
	for (size_t i = 0; i < pool->count; i++) {
		if ((scope == POOL_NONE || scope_of(pool, unit, i) == scope) &&
		    is_candidate(pool, unit, i, &candidate))
			g_array_append_val(found, candidate);
	}
	g_array_sort(found, compare_candidates);
	return found;
}

size_t
hold_workers(pool_t *pool, const plan_unit_t *unit, size_t max_workers)
{
	GArray *candidates = find_candidates(pool, unit);
	int members = 0;
	size_t count = 0;

	while (count < candidates->len && members < unit->members)
		members +=
		    g_array_index(candidates, candidate_t, count++).fitting;
	if (members < unit->members || count > max_workers)
		count = 0;
	for (size_t i = 0; i < count; i++)
		pool_disable(
		    pool, g_array_index(candidates, candidate_t, i).worker);
	g_array_unref(candidates);
	return count;
}
