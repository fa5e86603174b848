#include <glib.h>
#include <math.h>
#include <string.h>

#include "sched/crowding.h"
#include "tests/unit/runner.h"

#define SEED 11
#define MAX_KINDS 64
#define STEP_MS 500
#define SHARE 0.3
#define NOISE 0.1 /* of a level */

/* By how much tasks of kind [task] are slowed down by kind [neighbour]. */
typedef double law_t[3][3];

typedef struct {
	crowding_t *crowding;
	crowding_kind_t kinds[3];
	GRand *rand;
	int64_t now_ms;
} fixture_t;

static void
fixture_open(fixture_t *fixture)
{
	fixture->now_ms = 1000;
	fixture->rand = g_rand_new_with_seed(SEED);
	fixture->crowding = crowding_create(MAX_KINDS);
	for (int i = 0; i < 3; i++) {
		char name[] = {(char)('a' + i), '\0'};

		fixture->kinds[i] =
		    crowding_kind(fixture->crowding, name, fixture->now_ms);
	}
}

static void
fixture_close(fixture_t *fixture)
{
	crowding_destroy(fixture->crowding);
	g_rand_free(fixture->rand);
}

/* Draws the neighbours of a task and the level that it shows beside them. */
static crowding_sample_t
draw_sample(fixture_t *fixture, int task, const law_t law, double noise)
{
	crowding_sample_t sample = {.at_ms = fixture->now_ms, .level = 4};

	for (int i = 0; i < 3; i++) {
		if (!g_rand_boolean(fixture->rand))
			continue;
		sample.neighbours[sample.count++] =
		    (crowding_neighbour_t){fixture->kinds[i], SHARE};
		sample.level += law[task][i] * SHARE;
	}
	sample.level += g_rand_double_range(fixture->rand, -noise, noise);
	return sample;
}

/* Tasks of all kinds are observed for a while as their neighbours change. */
static void
observe(fixture_t *fixture, const law_t law, double noise, int64_t ms)
{
	int64_t end_ms = fixture->now_ms + ms;

	while (fixture->now_ms < end_ms) {
		crowding_sample_t before[3];

		for (int i = 0; i < 3; i++)
			before[i] = draw_sample(fixture, i, law, noise);
		fixture->now_ms += STEP_MS;
		for (int i = 0; i < 3; i++) {
			crowding_sample_t after =
			    draw_sample(fixture, i, law, noise);

			crowding_learn(fixture->crowding, fixture->kinds[i],
			    &before[i], &after);
		}
	}
}

static int
slowdown(const fixture_t *fixture, int task, int neighbour)
{
	crowding_neighbour_t other = {fixture->kinds[neighbour], SHARE};

	return crowding_slowdown_percent(
	    fixture->crowding, fixture->kinds[task], &other, fixture->now_ms);
}

static const law_t quiet = {{0}};
/* a and b slow each other down, c neither slows nor is slowed. */
static const law_t mutual = {{0, 1, 0}, {1, 0, 0}, {0, 0, 0}};
/* a and b slow down c only. */
static const law_t one_way = {{0, 0, 0}, {0, 0, 0}, {1, 1, 0}};

/*
 * Load pattern: two kinds hurt each other and a third does not.  Guards against
 * blame for the third, which would keep tasks apart for nothing.
 */
START_TEST(third_kind_is_not_blamed)
{
	fixture_t fixture;

	fixture_open(&fixture);
	observe(&fixture, mutual, NOISE, 20000);
	ck_assert_int_ge(slowdown(&fixture, 0, 1), 15);
	ck_assert_int_ge(slowdown(&fixture, 1, 0), 15);
	ck_assert_int_lt(slowdown(&fixture, 0, 2), 10);
	ck_assert_int_lt(slowdown(&fixture, 1, 2), 10);
	ck_assert_int_lt(slowdown(&fixture, 2, 0), 10);
	ck_assert_int_lt(slowdown(&fixture, 2, 1), 10);
	fixture_close(&fixture);
}
END_TEST

/* Guards against harm that is assumed to go both ways. */
START_TEST(harm_is_asymmetric)
{
	fixture_t fixture;

	fixture_open(&fixture);
	observe(&fixture, one_way, NOISE, 20000);
	ck_assert_int_ge(slowdown(&fixture, 2, 0), 15);
	ck_assert_int_lt(slowdown(&fixture, 0, 2), 10);
	ck_assert_int_lt(slowdown(&fixture, 0, 1), 10);
	fixture_close(&fixture);
}
END_TEST

/* Guards against decisions on evidence that is noise. */
START_TEST(noise_is_no_evidence)
{
	fixture_t fixture;
	int wrong = 0;

	fixture_open(&fixture);
	for (int i = 0; i < 100; i++) {
		observe(&fixture, quiet, 4 * NOISE, 2000);
		for (int pair = 0; pair < 9; pair++)
			wrong += slowdown(&fixture, pair / 3, pair % 3) >= 10;
	}
	/* Three standard errors, of a few samples each, leave few. */
	ck_assert_int_le(wrong, 100 * 9 / 50);
	fixture_close(&fixture);
}
END_TEST

/* Guards against evidence that outlives the behaviour that it is about. */
START_TEST(follows_a_kind_that_changes)
{
	fixture_t fixture;

	fixture_open(&fixture);
	observe(&fixture, mutual, NOISE, 20000);
	ck_assert_int_ge(slowdown(&fixture, 0, 1), 15);
	observe(&fixture, quiet, NOISE, 20000);
	ck_assert_int_lt(slowdown(&fixture, 0, 1), 10);
	observe(&fixture, one_way, NOISE, 20000);
	ck_assert_int_ge(slowdown(&fixture, 2, 1), 15);
	ck_assert_int_lt(slowdown(&fixture, 0, 1), 10);
	fixture.now_ms += 60000;
	ck_assert_int_eq(slowdown(&fixture, 2, 1), 0);
	ck_assert(!crowding_has_evidence(
	    fixture.crowding, fixture.kinds[2], fixture.now_ms));
	fixture_close(&fixture);
}
END_TEST

/* Guards against memory that grows with the number of kinds. */
START_TEST(thousands_of_kinds_stay_bounded)
{
	fixture_t fixture;
	crowding_row_t rows[4];

	fixture_open(&fixture);
	observe(&fixture, mutual, NOISE, 20000);
	for (int i = 0; i < 5000; i++) {
		char *name = g_strdup_printf("k%d", i);

		crowding_kind(fixture.crowding, name, fixture.now_ms - 1);
		g_free(name);
		ck_assert_uint_le(crowding_size(fixture.crowding), MAX_KINDS);
	}
	/* The kinds with evidence were seen last. */
	ck_assert_int_ge(slowdown(&fixture, 0, 1), 15);
	ck_assert_uint_ge(crowding_worst(fixture.crowding, fixture.now_ms, rows,
			      G_N_ELEMENTS(rows)),
	    2);
	for (int i = 0; i < 2; i++)
		ck_assert_str_eq(rows[i].task,
		    strcmp(rows[i].neighbour, "a") == 0 ? "b" : "a");
	fixture_close(&fixture);
}
END_TEST

/*
 * Load pattern: polls of a worker fail for a while.  Guards against a
 * comparison of samples that lie too far apart.
 */
START_TEST(lost_polls_are_no_evidence)
{
	fixture_t fixture;
	crowding_sample_t before;
	crowding_sample_t after;

	fixture_open(&fixture);
	before = draw_sample(&fixture, 0, mutual, 0);
	before.count = 0;
	fixture.now_ms += 30000;
	after = draw_sample(&fixture, 0, mutual, 0);
	after.count = 1;
	after.neighbours[0] = (crowding_neighbour_t){fixture.kinds[1], SHARE};
	ck_assert(!crowding_learn(
	    fixture.crowding, fixture.kinds[0], &before, &after));
	before.at_ms = after.at_ms - STEP_MS;
	ck_assert(crowding_learn(
	    fixture.crowding, fixture.kinds[0], &before, &after));
	fixture_close(&fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("crowding");
	TCase *tcase = tcase_create("crowding");

	tcase_add_test(tcase, third_kind_is_not_blamed);
	tcase_add_test(tcase, harm_is_asymmetric);
	tcase_add_test(tcase, noise_is_no_evidence);
	tcase_add_test(tcase, follows_a_kind_that_changes);
	tcase_add_test(tcase, thousands_of_kinds_stay_bounded);
	tcase_add_test(tcase, lost_polls_are_no_evidence);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
