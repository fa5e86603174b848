#include <check.h>
#include <glib.h>
#include <string.h>

#include "common/json_bound.h"
#include "common/mem_budget.h"
#include "entry/eviction.h"
#include "tests/unit/runner.h"

#define MIB (1024 * 1024)

/* ---- shares ---- */

/* Guards against a holder that takes what another one needs. */
START_TEST(shares_are_apart)
{
	mem_budget_t *budget = mem_budget_create(100 * MIB);
	mem_share_t *callers = mem_budget_share(budget, MEM_CALLERS);
	mem_share_t *operators = mem_budget_share(budget, MEM_OPERATORS);

	while (mem_share_take(callers, MIB))
		;
	ck_assert_uint_gt(mem_share_held(callers), 0);
	ck_assert_uint_lt(mem_share_held(callers), 50 * MIB);
	ck_assert(mem_share_take(operators, MIB));
	mem_share_give(operators, MIB);
	mem_share_give(callers, mem_share_held(callers));
	ck_assert(mem_share_take(callers, MIB));
	mem_share_give(callers, MIB);
	ck_assert_uint_eq(mem_share_held(callers), 0);
	mem_budget_destroy(budget);
}
END_TEST

/* Guards against shares that together exceed the memory of the process. */
START_TEST(shares_fit)
{
	mem_budget_t *budget = mem_budget_create(100 * MIB);
	size_t sum = 0;

	for (int i = 0; i < MEM_HOLDERS; i++) {
		mem_share_t *share = mem_budget_share(budget, (mem_holder_t)i);

		while (mem_share_take(share, 4096))
			;
		sum += mem_share_held(share);
		sum += mem_budget_connections(budget, (mem_holder_t)i) *
		       (size_t)MEM_CONNECTION_BYTES;
	}
	ck_assert_uint_lt(sum, 75 * MIB);
	mem_budget_destroy(budget);
}
END_TEST

/* ---- decoded texts ---- */

static size_t allocated;
static size_t most_allocated;

static void *
count_malloc(size_t size)
{
	size_t *block = g_malloc(size + 2 * sizeof(size_t));

	block[0] = size;
	allocated += size;
	most_allocated = MAX(most_allocated, allocated);
	return block + 2;
}

static void
count_free(void *at)
{
	size_t *block = at;

	if (at == NULL)
		return;
	allocated -= block[-2];
	g_free(block - 2);
}

static char *
repeat(const char *head, const char *unit, int count, const char *tail)
{
	GString *text = g_string_new(head);

	for (int i = 0; i < count; i++)
		g_string_append_printf(text, unit, i);
	g_string_append(text, tail);
	return g_string_free(text, FALSE);
}

/* Guards against texts whose tree takes more than was estimated. */
START_TEST(estimate_covers_tree)
{
	char *const texts[] = {
	    repeat("[", "{},", 20000, "{}]"),
	    repeat("[", "[],", 20000, "[]]"),
	    repeat("[", "0,", 20000, "0]"),
	    repeat("[", "\"\",", 20000, "\"\"]"),
	    repeat("[", "1.5,", 20000, "0]"),
	    repeat("[", "{\"a\":{\"b\":[0]}},", 20000, "0]"),
	    repeat("{", "\"%x\":0,", 1000, "\"x\":0}"),
	    repeat("{", "\"%x\":{},", 1000, "\"x\":0}"),
	    repeat("{", "\"%x\":\"\\u0041\",", 1000, "\"x\":0}"),
	};

	json_set_alloc_funcs(count_malloc, count_free);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		str_t text = str_from(texts[i]);
		size_t estimate = json_tree_bytes(text);
		json_t *root;

		most_allocated = allocated;
		root = json_load_bounded(text, 0, estimate, NULL);
		ck_assert_ptr_nonnull(root);
		ck_assert_msg(allocated <= estimate, "%.20s: %zu over %zu",
		    texts[i], allocated, estimate);
		json_decref(root);
		ck_assert_ptr_null(
		    json_load_bounded(text, 0, estimate - 1, NULL));
		g_free(texts[i]);
	}
	json_set_alloc_funcs(malloc, free);
}
END_TEST

/* Guards against strings and numbers that are taken for structure. */
START_TEST(estimate_reads_strings)
{
	ck_assert_uint_eq(json_tree_bytes(STR_LIT("\"{{{{\\\"[[[[,,::\"")),
	    json_tree_bytes(STR_LIT("\"xxxxxxxxxxxxxx\"")));
	ck_assert_uint_eq(json_tree_bytes(STR_LIT("-1.5e+10")),
	    json_tree_bytes(STR_LIT("0")));
	/* Texts that end early. */
	ck_assert_uint_gt(json_tree_bytes(STR_LIT("\"abc\\")), 0);
	ck_assert_uint_gt(json_tree_bytes(STR_LIT("{\"a")), 0);
	ck_assert_uint_eq(json_tree_bytes(STR_LIT("")), 0);
}
END_TEST

/* Guards against one object whose table takes long to build. */
START_TEST(estimate_bounds_members)
{
	char *wide = repeat("{", "\"%x\":0,", 10000, "\"x\":0}");
	char *legal = repeat("[", "{\"a\":0,\"b\":{\"c\":0}},", 2000, "0]");

	ck_assert_uint_eq(json_tree_bytes(str_from(wide)), SIZE_MAX);
	ck_assert_uint_lt(json_tree_bytes(str_from(legal)), SIZE_MAX);
	g_free(wide);
	g_free(legal);
}
END_TEST

/* Guards against recursion as deep as a client asks. */
START_TEST(estimate_bounds_depth)
{
	char *deep = repeat("", "[", 1000, "");

	ck_assert_uint_eq(json_tree_bytes(str_from(deep)), SIZE_MAX);
	g_free(deep);
}
END_TEST

/* ---- who makes room ---- */

#define NOW_MS 100000
#define CROWD 5

/* A crowd of one source, and a client of another that came first. */
static void
fill(eviction_candidate_t candidates[CROWD + 1])
{
	for (size_t i = 0; i <= CROWD; i++)
		candidates[i] = (eviction_candidate_t){
		    .source = 1,
		    .since_ms = 1000 + (int64_t)i,
		    .held_bytes = 10,
		    .may_go = true,
		};
	candidates[CROWD].source = 2;
	candidates[CROWD].since_ms = 1;
}

/* Returns the first of all that would go, CROWD + 1 for none. */
static size_t
first_to_go(const eviction_candidate_t *candidates, eviction_reason_t reason,
    int64_t before_ms)
{
	size_t chosen[CROWD + 1];

	return eviction_choose(candidates, CROWD + 1, reason, before_ms, chosen,
		   CROWD + 1) > 0
		   ? chosen[0]
		   : CROWD + 1;
}

/* Guards against a client that pays for the crowd of another address. */
START_TEST(crowd_makes_room)
{
	eviction_candidate_t candidates[CROWD + 1];
	size_t chosen[CROWD + 1];

	fill(candidates);
	ck_assert_uint_eq(eviction_choose(candidates, CROWD + 1,
			      EVICT_FOR_CONNECTION, NOW_MS, chosen, CROWD + 1),
	    CROWD + 1);
	/* The crowd's oldest first, the single client last. */
	for (size_t i = 0; i <= CROWD; i++)
		ck_assert_uint_eq(chosen[i], i);
	ck_assert_uint_eq(eviction_choose(candidates, CROWD + 1,
			      EVICT_FOR_CONNECTION, NOW_MS, chosen, 2),
	    2);
	ck_assert_uint_eq(first_to_go(candidates, EVICT_FOR_BYTES, NOW_MS), 0);
	/* One that holds more than the whole crowd. */
	candidates[CROWD].held_bytes = 1000;
	ck_assert_uint_eq(
	    first_to_go(candidates, EVICT_FOR_BYTES, NOW_MS), CROWD);
}
END_TEST

/* Guards against requests at work, or on their way, that are cut for others. */
START_TEST(served_and_young_stay)
{
	eviction_candidate_t candidates[CROWD + 1];

	fill(candidates);
	candidates[0].may_go = false;
	ck_assert_uint_eq(
	    first_to_go(candidates, EVICT_FOR_CONNECTION, NOW_MS), 1);
	candidates[1].held_bytes = 0;
	ck_assert_uint_eq(first_to_go(candidates, EVICT_FOR_BYTES, NOW_MS), 2);
	ck_assert_uint_eq(
	    first_to_go(candidates, EVICT_FOR_CONNECTION, 1), CROWD + 1);
	for (size_t i = 0; i <= CROWD; i++)
		candidates[i].may_go = false;
	ck_assert_uint_eq(
	    first_to_go(candidates, EVICT_FOR_CONNECTION, NOW_MS), CROWD + 1);
	ck_assert_uint_eq(eviction_choose(candidates, 0, EVICT_FOR_CONNECTION,
			      NOW_MS, NULL, 0),
	    0);
}
END_TEST

/* Guards against a floor that a client on the slowest link meets. */
START_TEST(slow_transfers)
{
	/* 1 MiB at 1.5 Mbit/s takes 5.6 s, 4 MiB 22.4 s. */
	ck_assert(!eviction_is_too_slow(MIB, 5600));
	ck_assert(!eviction_is_too_slow(22 * (MIB / 6), 22000));
	ck_assert(!eviction_is_too_slow(0, 3000));
	ck_assert(eviction_is_too_slow(0, 11000));
	ck_assert(eviction_is_too_slow(MIB, 100000));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("limits");
	TCase *tests = tcase_create("limits");

	tcase_add_test(tests, shares_are_apart);
	tcase_add_test(tests, shares_fit);
	tcase_add_test(tests, estimate_covers_tree);
	tcase_add_test(tests, estimate_reads_strings);
	tcase_add_test(tests, estimate_bounds_members);
	tcase_add_test(tests, estimate_bounds_depth);
	tcase_add_test(tests, crowd_makes_room);
	tcase_add_test(tests, served_and_young_stay);
	tcase_add_test(tests, slow_transfers);
	suite_add_tcase(suite, tests);
	return unit_run(suite, CK_FORK);
}
