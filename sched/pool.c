#include "sched/pool_private.h"

#include "sched/plan.h"

/* ---- names ---- */

/* Returns the number of a name, the next free one if it is new. */
static int
number_of(GHashTable *numbers, const char *name)
{
	gpointer number;

	if (!g_hash_table_lookup_extended(numbers, name, NULL, &number)) {
		number = GINT_TO_POINTER((int)g_hash_table_size(numbers));
		g_hash_table_insert(numbers, (char *)name, number);
	}
	return GPOINTER_TO_INT(number);
}

static int
find_number(GHashTable *numbers, const char *name)
{
	gpointer number;

	if (!g_hash_table_lookup_extended(numbers, name, NULL, &number))
		return POOL_NONE;
	return GPOINTER_TO_INT(number);
}

int
pool_rack_number(const pool_t *pool, const char *name)
{
	return find_number(pool->rack_numbers, name);
}

int
pool_service_number(const pool_t *pool, const char *name)
{
	return find_number(pool->service_numbers, name);
}

static void
number_names(pool_t *pool)
{
	GHashTable *domains = g_hash_table_new(g_str_hash, g_str_equal);

	pool->rack_numbers = g_hash_table_new(g_str_hash, g_str_equal);
	pool->service_numbers = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < pool->count; i++) {
		const fleet_worker_t *info = pool->workers[i].worker;

		pool->rack_of[i] = number_of(pool->rack_numbers, info->rack);
		pool->domain_of[i] = number_of(domains, info->domain);
		pool->service_of[i] =
		    number_of(pool->service_numbers, info->service);
	}
	pool->rack_count = g_hash_table_size(pool->rack_numbers);
	pool->domain_count = g_hash_table_size(domains);
	g_hash_table_unref(domains);
}

/* ---- lists by available accelerators ---- */

static void
lists_create(pool_lists_t *lists, size_t count)
{
	lists->next = g_new(int, count);
	lists->prev = g_new(int, count);
	lists->list = g_new(int, count);
	for (int i = 0; i < POOL_LISTS; i++)
		lists->head[i] = POOL_NONE;
	for (size_t i = 0; i < count; i++)
		lists->list[i] = POOL_NONE;
}

static void
lists_clear(pool_lists_t *lists)
{
	g_free(lists->next);
	g_free(lists->prev);
	g_free(lists->list);
}

static void
lists_remove(pool_lists_t *lists, int worker)
{
	int next = lists->next[worker];
	int prev = lists->prev[worker];

	if (lists->list[worker] == POOL_NONE)
		return;
	if (prev == POOL_NONE)
		lists->head[lists->list[worker]] = next;
	else
		lists->next[prev] = next;
	if (next != POOL_NONE)
		lists->prev[next] = prev;
	lists->list[worker] = POOL_NONE;
}

static void
lists_insert(pool_lists_t *lists, int worker, int accelerators)
{
	int list = CLAMP(accelerators, 0, POOL_MAX_LISTED);
	int next = lists->head[list];

	lists->list[worker] = list;
	lists->prev[worker] = POOL_NONE;
	lists->next[worker] = next;
	if (next != POOL_NONE)
		lists->prev[next] = worker;
	lists->head[list] = worker;
}

/* ---- resources ---- */

/* Returns the resources of a worker that count as available. */
resources_t
pool_available(const pool_t *pool, size_t worker, plan_available_t kind)
{
	resources_t available = pool->workers[worker].free;

	if (kind == PLAN_RELEASING)
		plan_add(&available, &pool->workers[worker].releasing, 1);
	return available;
}

static int
available_accelerators(const pool_t *pool, size_t worker, plan_available_t kind)
{
	return MAX(pool_available(pool, worker, kind).accelerators, 0);
}

static void
count_worker(pool_t *pool, size_t worker, int kind, int change)
{
	int list = pool->lists[kind].list[worker];

	pool->racks[pool->rack_of[worker]].counts.listed[kind][list] += change;
	pool->domains[pool->domain_of[worker]].listed[kind][list] += change;
	pool->total.listed[kind][list] += change;
}

int
pool_fit_at_most(const pool_t *pool, const pool_counts_t *counts,
    plan_available_t kind, int accelerators)
{
	int fitting = 0;

	/* The last list does not tell the number of accelerators. */
	if (accelerators <= 0 || counts->listed[kind][POOL_MAX_LISTED] > 0)
		return G_MAXINT;
	for (int list = accelerators; list <= pool->longest_list; list++)
		fitting += counts->listed[kind][list] * (list / accelerators);
	return fitting;
}

/* Removes a usable worker from the sums and lists. */
static void
index_remove(pool_t *pool, size_t worker)
{
	pool_rack_t *rack = &pool->racks[pool->rack_of[worker]];

	for (int kind = 0; kind < PLAN_AVAILABLE_KINDS; kind++) {
		rack->accelerators[kind] -= available_accelerators(
		    pool, worker, (plan_available_t)kind);
		count_worker(pool, worker, kind, -1);
		lists_remove(&pool->lists[kind], (int)worker);
	}
}

/* Adds a usable worker to the sums and lists. */
static void
index_insert(pool_t *pool, size_t worker)
{
	pool_rack_t *rack = &pool->racks[pool->rack_of[worker]];

	for (int kind = 0; kind < PLAN_AVAILABLE_KINDS; kind++) {
		int accelerators = available_accelerators(
		    pool, worker, (plan_available_t)kind);

		rack->accelerators[kind] += accelerators;
		lists_insert(&pool->lists[kind], (int)worker, accelerators);
		count_worker(pool, worker, kind, 1);
		pool->longest_list =
		    MAX(pool->longest_list, pool->lists[kind].list[worker]);
	}
}

/* Subtracts count tasks from the free resources of a worker. */
void
pool_take(pool_t *pool, size_t worker, const resources_t *shape, int count)
{
	bool usable = pool->workers[worker].usable;

	if (usable)
		index_remove(pool, worker);
	plan_subtract(&pool->workers[worker].free, shape, count);
	if (usable)
		index_insert(pool, worker);
}

/* Counts one more task of the worker as being stopped. */
void
pool_add_releasing(pool_t *pool, size_t worker, const resources_t *shape)
{
	bool usable = pool->workers[worker].usable;

	if (usable)
		index_remove(pool, worker);
	plan_add(&pool->workers[worker].releasing, shape, 1);
	if (usable)
		index_insert(pool, worker);
}

/* Makes a worker take no more units in this round. */
void
pool_disable(pool_t *pool, size_t worker)
{
	if (!pool->workers[worker].usable)
		return;
	index_remove(pool, worker);
	pool->workers[worker].usable = false;
}

/* ---- choice ---- */

size_t
pool_choice_size(const pool_t *pool)
{
	return pool->choice->len;
}

/* Returns the index of the i-th worker that was chosen. */
size_t
pool_choice(const pool_t *pool, size_t i)
{
	return g_array_index(pool->choice, size_t, i);
}

void
pool_clear_choice(pool_t *pool)
{
	for (guint i = 0; i < pool->choice->len; i++)
		pool->workers[pool_choice(pool, i)].chosen = 0;
	g_array_set_size(pool->choice, 0);
	pool->passed_over = POOL_NONE;
}

const plan_worker_t *
pool_passed_over(const pool_t *pool)
{
	return pool->passed_over != POOL_NONE
		   ? &pool->workers[pool->passed_over]
		   : NULL;
}

/* Assigns members of the unit to a worker. */
void
pool_choose(pool_t *pool, size_t worker, int members)
{
	pool->workers[worker].chosen = members;
	g_array_append_val(pool->choice, worker);
}

/* ---- create and destroy ---- */

static void
group_by_rack(pool_t *pool)
{
	size_t first = 0;

	for (size_t i = 0; i < pool->count; i++) {
		pool_rack_t *rack = &pool->racks[pool->rack_of[i]];

		rack->name = pool->workers[i].worker->rack;
		rack->count++;
	}
	for (size_t r = 0; r < pool->rack_count; r++) {
		pool->racks[r].first = first;
		first += pool->racks[r].count;
		pool->racks[r].count = 0;
	}
	for (size_t i = 0; i < pool->count; i++) {
		pool_rack_t *rack = &pool->racks[pool->rack_of[i]];

		pool->by_rack[rack->first + rack->count++] = i;
	}
}

/* Indexes the workers, which must outlive the pool. */
pool_t *
pool_create(plan_worker_t *workers, size_t count)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->workers = workers;
	pool->count = count;
	pool->by_rack = g_new(size_t, count);
	pool->rack_of = g_new(int, count);
	pool->domain_of = g_new(int, count);
	pool->service_of = g_new(int, count);
	number_names(pool);
	pool->racks = g_new0(pool_rack_t, pool->rack_count);
	pool->domains = g_new0(pool_counts_t, pool->domain_count);
	group_by_rack(pool);
	for (int kind = 0; kind < PLAN_AVAILABLE_KINDS; kind++)
		lists_create(&pool->lists[kind], count);
	/* The lists grow at the head: the first worker ends up first. */
	for (size_t i = count; i-- > 0;) {
		if (!workers[i].usable)
			continue;
		pool->is_uneven |= workers[i].speed_percent > 0;
		index_insert(pool, i);
	}
	pool->choice = g_array_new(FALSE, FALSE, sizeof(size_t));
	pool->passed_over = POOL_NONE;
	return pool;
}

/* Frees the pool; NULL is allowed. */
void
pool_destroy(pool_t *pool)
{
	if (pool == NULL)
		return;
	for (int kind = 0; kind < PLAN_AVAILABLE_KINDS; kind++)
		lists_clear(&pool->lists[kind]);
	g_array_unref(pool->choice);
	g_hash_table_unref(pool->rack_numbers);
	g_hash_table_unref(pool->service_numbers);
	g_free(pool->by_rack);
	g_free(pool->racks);
	g_free(pool->domains);
	g_free(pool->rack_of);
	g_free(pool->domain_of);
	g_free(pool->service_of);
	g_free(pool);
}

size_t
pool_size(const pool_t *pool)
{
	return pool->count;
}

plan_worker_t *
pool_worker(const pool_t *pool, size_t worker)
{
	return &pool->workers[worker];
}

const char *
pool_rack_name(const pool_t *pool, size_t worker)
{
	return pool->racks[pool->rack_of[worker]].name;
}
