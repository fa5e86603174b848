#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "tests/unit/once/once.h"

/*
 * Simulated days on which no unit may run twice at the same time, or again
 * after an acknowledged success, or without a committed start; see
 * tests/unit/once. Plays a fixed set of days unless the environment has SEED or
 * DAYS: SEED=n plays one day and prints what happened to the unit that failed,
 * DAYS=n plays the days from SEED (1) on. KINDS=a,b restricts the faults (-:
 * none).
 */

typedef struct {
	const char *kinds;
	guint32 seed;
	int days;
} fixed_days_t;

#define NETWORK "loss,answer_lost,late,slow,cut,cut_one_way,late_announce"
#define LEADERS "freeze,isolate,kill"

static const fixed_days_t fixed_days[] = {
    {"-", 1, 5},
    {NETWORK ",crash,unhealthy,fail,cancel," LEADERS, 1, 15},
    /* A run that a poll has listed is given up, as its start is sent again and
     * refused. */
    {"kill,unhealthy,slow", 719, 1},
    {NETWORK ",crash,unhealthy,fail,cancel," LEADERS, 2152, 1},
    {NETWORK ",crash,unhealthy,fail,cancel," LEADERS, 934, 1},
    /* A worker runs on until its deregistration is acknowledged. */
    {"drain", 1, 10},
    {"drain,late_deregister,lost_deregister", 1, 10},
    /* An answer of the incarnation before arrives after the announcement. */
    {"slow,rebirth", 11, 1},
    {"slow,rebirth", 50, 1},
    {"late_announce,rebirth,slow", 64, 1},
    /* A gang is done, and a member's start is sent again to a restarted
     * worker. */
    {"late_announce,rebirth,kill", 244, 1},
    {"freeze,rebirth,isolate", 107, 1},
    /* An order for the incarnation before is carried out by the next. */
    {"late,rebirth", 1, 10},
    /* The same, although the run had ended before the restart. */
    {"late,rebirth", 78, 1},
    {"return,late", 92, 1},
    {NETWORK ",crash,rebirth,return,drain,late_deregister,lost_deregister,"
	     "unhealthy,fail,cancel," LEADERS,
	1, 15},
};

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
play_fixed_days(void)
{
	int failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(fixed_days); i++)
		failed += play_days(fixed_days[i].seed, fixed_days[i].days,
		    fixed_days[i].kinds, false);
	return failed;
}

int
main(void)
{
	const char *seed = getenv("SEED");
	const char *days = getenv("DAYS");
	int failed;

	log_set_level(LOG_ERR);
	if (seed == NULL && days == NULL)
		failed = play_fixed_days();
	else
		failed = play_days(
		    seed != NULL ? (guint32)strtoul(seed, NULL, 10) : 1,
		    days != NULL ? atoi(days) : 1, getenv("KINDS"),
		    days == NULL);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
