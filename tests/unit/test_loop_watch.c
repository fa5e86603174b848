#include <check.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "common/loop_watch.h"
#include "tests/unit/runner.h"

/* What is logged of a turn of the event loop that takes too long. */

#define LINE_BYTES 512
#define LONG_MS (LOOP_TURN_BUDGET_MS + 20)
#define SHORT_MS 10

static void
work_for(const char *name, int64_t ms)
{
	loop_watch_enter(name);
	g_usleep(ms * CLOCK_US_PER_MS);
	loop_watch_leave();
}

static void
work_in_parts(void)
{
	for (int i = 0; i < LONG_MS / SHORT_MS; i++)
		work_for("many", SHORT_MS);
	work_for("one", 3 * SHORT_MS);
}

static void
work_inside(void)
{
	loop_watch_enter("outer");
	work_for("inner", LONG_MS);
	loop_watch_leave();
}

static void
work_without_a_name(void)
{
	g_usleep(LONG_MS * CLOCK_US_PER_MS);
	work_for("named", SHORT_MS);
}

typedef void work_t(void);

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	work_t *const *work = watcher->data;

	(*work)();
}

/* Runs work in one turn and leaves what is logged of it in line. */
static void
log_turn(work_t *work, char *line)
{
	struct ev_loop *loop = ev_loop_new(0);
	ev_timer timer;
	int pipe_ends[2];
	ssize_t len;

	ck_assert_int_eq(pipe(pipe_ends), 0);
	ck_assert_int_ge(dup2(pipe_ends[1], STDOUT_FILENO), 0);
	evlog_open("i1");
	loop_watch_start(loop, false);
	ev_timer_init(&timer, on_timer, 0.001, 0);
	timer.data = &work;
	ev_timer_start(loop, &timer);
	ev_run(loop, EVRUN_ONCE);
	/* The turn ends with the next wait. */
	ev_timer_set(&timer, 0.001, 0);
	work = work_inside;
	ev_timer_start(loop, &timer);
	ev_run(loop, EVRUN_ONCE);
	len = read(pipe_ends[0], line, LINE_BYTES - 1);
	ck_assert_int_gt(len, 0);
	line[len] = '\0';
	loop_watch_stop();
	ev_loop_destroy(loop);
}

static void
check_longest(work_t *work, const char *name)
{
	char expected[LINE_BYTES];
	char line[LINE_BYTES];

	log_turn(work, line);
	g_snprintf(expected, sizeof(expected), "\"longest\":\"%s\"", name);
	ck_assert_msg(strstr(line, expected) != NULL, "%s", line);
}

/* Guards against a long turn of many short parts that nothing names. */
START_TEST(parts_are_added_up)
{
	check_longest(work_in_parts, "many");
}
END_TEST

START_TEST(inner_work_counts_for_itself)
{
	check_longest(work_inside, "inner");
}
END_TEST

START_TEST(work_without_a_name_is_other)
{
	check_longest(work_without_a_name, "other");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("loop_watch");
	TCase *tcase = tcase_create("turns");

	tcase_add_test(tcase, parts_are_added_up);
	tcase_add_test(tcase, inner_work_counts_for_itself);
	tcase_add_test(tcase, work_without_a_name_is_other);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
