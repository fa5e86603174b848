#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "tests/unit/once/once.h"

static void
choose_kinds(const char *text, bool kinds[KIND_COUNT])
{
	char **names;

	for (int kind = 0; kind < KIND_COUNT; kind++)
		kinds[kind] = text == NULL;
	if (text == NULL)
		return;
	names = g_strsplit(text, ",", -1);
	for (int kind = 0; kind < KIND_COUNT; kind++)
		kinds[kind] = g_strv_contains(
		    (const char *const *)names, once_kind_names[kind]);
	g_strfreev(names);
}

/* Plays a day again with a record of what happened to the failed unit. */
static void
print_story(guint32 seed, const bool kinds[KIND_COUNT])
{
	once_result_t result = once_run_day(seed, kinds, true);

	g_free(result.failure);
}

static bool
play_day(guint32 seed, const bool kinds[KIND_COUNT], bool with_story)
{
	once_result_t result = once_run_day(seed, kinds, false);
	bool passed = result.failure == NULL;

	if (!passed) {
		printf("SEED=%u failed at %s (%d of %d units done)\n", seed,
		    result.failure, result.completed, result.units);
		if (with_story)
			print_story(seed, kinds);
	}
	g_free(result.failure);
	return passed;
}

/* Plays days of the given kinds, all without a text; returns the failed. */
static int
play_days(guint32 first, int days, const char *text, bool with_story)
{
	bool kinds[KIND_COUNT];
	int failed = 0;

	choose_kinds(text, kinds);
	for (int day = 0; day < days; day++) {
		failed += !play_day(first + (guint32)day, kinds, with_story);
		fflush(stdout);
	}
	printf("%d of %d days failed, KINDS=%s\n", failed, days,
	    text != NULL ? text : "(all)");
	return failed;
}

static int
play_fixed_days(const fixed_days_t *fixed, size_t count)
{
	int failed = 0;

	for (size_t i = 0; i < count; i++)
		failed += play_days(
		    fixed[i].seed, fixed[i].days, fixed[i].kinds, false);
	return failed;
}

/*
 * Plays fixed days unless the environment has SEED or DAYS: SEED=n plays one
 * day and prints what happened to the unit that failed, DAYS=n plays the days
 * from SEED (1) on. KINDS=a,b restricts the faults (-: none). Returns the exit
 * code.
 */
int
once_play(const fixed_days_t *fixed, size_t count)
{
	const char *seed = getenv("SEED");
	const char *days = getenv("DAYS");
	int failed;

	log_set_level(LOG_ERR);
	if (seed == NULL && days == NULL)
		failed = play_fixed_days(fixed, count);
	else
		failed = play_days(
		    seed != NULL ? (guint32)strtoul(seed, NULL, 10) : 1,
		    days != NULL ? atoi(days) : 1, getenv("KINDS"),
		    days == NULL);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
