#include <glib.h>

#include "common/counters.h"
#include "entry/listener.h"
#include "platform/worker_client.h"
#include "tests/unit/runner.h"
#include "tests/unit/system.h"

/* What the leader gets to know of the answers that workers send. */

#define CONNECTIONS 32
#define TIMEOUT_MS 5000
#define CHECKPOINT_BYTES (256 * 1024)
#define TASKS_OF_WORKER 8
#define MAX_BODY_BYTES 65536

#define LISTS "\"running\":[],\"finishedRuns\":[]"
#define RUNNING(row) "{\"born\":9,\"running\":[" row "],\"finishedRuns\":[]}"
#define ENDED(rows) "{\"born\":9,\"running\":[],\"finishedRuns\":[" rows "]}"

typedef struct {
	struct ev_loop *loop;
	listener_t *worker;
	worker_client_t *client;
	const char *body; /* of the worker's answers, with status 200 */
	bool answered;
	order_outcome_t outcome;
	size_t running_count;
	size_t ended_count;
	bool more_ends;
} case_t;

static void
on_request(void *ctx, http_request_t *request)
{
	const case_t *test = ctx;

	http_answer_bytes(
	    request, 200, "application/json", str_from(test->body));
}

static void
open_case(case_t *test)
{
	listener_options_t options = {.address = "127.0.0.1",
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_connections = CONNECTIONS,
	    .idle_timeout_s = 10};
	err_t err;

	*test = (case_t){.loop = ev_loop_new(0)};
	test->worker =
	    listener_create(test->loop, &options, on_request, test, &err);
	ck_assert_ptr_nonnull(test->worker);
	test->client = worker_client_create(test->loop, CONNECTIONS, NULL, 0);
}

static void
close_case(case_t *test)
{
	worker_client_destroy(test->client);
	listener_destroy(test->worker);
	ev_loop_destroy(test->loop);
}

static void
on_polled(void *ctx, const order_answer_t *answer)
{
	case_t *test = ctx;

	test->answered = true;
	test->outcome = answer->outcome;
	test->running_count = answer->running_count;
	test->ended_count = answer->ended_count;
	test->more_ends = answer->more_ends;
}

static bool
is_answered(void *ctx)
{
	return ((case_t *)ctx)->answered;
}

/* Polls the worker, which answers with that body. */
static void
poll_with(case_t *test, const char *body)
{
	order_transport_t orders = worker_client_orders(test->client);
	fleet_worker_t info = {.id = (char *)"w1",
	    .address = (char *)"127.0.0.1",
	    .port = listener_port(test->worker)};
	order_target_t target = {&info, 1, TIMEOUT_MS};
	poll_order_t order = {0};

	test->body = body;
	test->answered = false;
	orders.poll(orders.ctx, &target, &order, on_polled, test);
	ck_assert(system_wait(test->loop, is_answered, test));
}

/* Guards against refusing the lists that workers do send. */
START_TEST(readable_lists)
{
	case_t test;

	open_case(&test);
	poll_with(&test, "{" LISTS "}");
	ck_assert_int_eq(test.outcome, ORDER_OK);
	poll_with(&test, RUNNING("[\"5c0e.0.1.17\",2,\"c\",41],"
				 "[\"5c0e.0.1.18\",2,\"\",41.5,1200]"));
	ck_assert_int_eq(test.outcome, ORDER_OK);
	ck_assert_uint_eq(test.running_count, 2);
	poll_with(&test, ENDED("[58,\"5c0e.0.1.9\",1,\"done\",\"\"],"
			       "[61,\"5c0e.0.1.9\",2,\"alone\",\"c\"]"));
	ck_assert_int_eq(test.outcome, ORDER_OK);
	ck_assert_uint_eq(test.ended_count, 2);
	ck_assert(!test.more_ends);
	close_case(&test);
}
END_TEST

/*
 * Guards against an answer that is no list, or of which a part cannot be read,
 * counting as a list: the tasks that it leaves out would be given up and
 * started elsewhere while they run.
 */
START_TEST(unreadable_lists)
{
	static const char *const bodies[] = {
	    "",
	    "{\"born\":9,\"running\":[[\"5c0e.0.1.17\",2,",
	    "null",
	    "[]",
	    "{}",
	    "{\"born\":9,\"running\":[]}",
	    "{\"born\":9,\"finishedRuns\":[]}",
	    "{\"born\":9,\"running\":null,\"finishedRuns\":[]}",
	    "{\"born\":9,\"running\":{},\"finishedRuns\":[]}",
	    "{\"born\":9,\"running\":[],\"finishedRuns\":\"\"}",
	    "{\"born\":\"9\"," LISTS "}",
	    "{\"born\":9.5," LISTS "}",
	    "{\"born\":-9," LISTS "}",
	    RUNNING("null"),
	    RUNNING("[]"),
	    RUNNING("[7,2,\"\",41]"),
	    RUNNING("[\"5c0e.0.1\",2,\"\",41]"),
	    RUNNING("[\"5c0e.0.1.x\",2,\"\",41]"),
	    RUNNING("[\"5c0e.0.1.17\"]"),
	    RUNNING("[\"5c0e.0.1.17\",\"2\",\"\",41]"),
	    RUNNING("[\"5c0e.0.1.17\",0,\"\",41]"),
	    RUNNING("[\"5c0e.0.1.17\",-1,\"\",41]"),
	    RUNNING("[\"5c0e.0.1.17\",4294967298,\"\",41]"),
	    ENDED("[\"5c0e.0.1.9\",1,\"done\",\"\"]"),
	    ENDED("[0,\"5c0e.0.1.9\",1,\"done\",\"\"]"),
	    ENDED("[-1,\"5c0e.0.1.9\",1,\"done\",\"\"]"),
	    ENDED("[9223372036854775807,\"5c0e.0.1.9\",1,\"done\",\"\"]"),
	    ENDED("[9223372036854775808,\"5c0e.0.1.9\",1,\"done\",\"\"]"),
	    ENDED("[58,\"5c0e.0.1.9\",4294967297,\"done\",\"\"]"),
	    ENDED("[58,\"5c0e.0.1.9\",1,\"gone\",\"\"]"),
	    ENDED("[58,\"5c0e.0.1.9\",1,\"done\",\"\"],"
		  "[58,\"5c0e.0.1.8\",1,\"done\",\"\"]"),
	};
	counter_t *counted = counter_get("worker_polls_unreadable_total", "");
	int64_t before = counter_value(counted);
	case_t test;

	open_case(&test);
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		poll_with(&test, bodies[i]);
		ck_assert_msg(test.outcome == ORDER_NO_ANSWER,
		    "taken for a list: %s", bodies[i]);
		ck_assert_uint_eq(test.running_count + test.ended_count, 0);
	}
	ck_assert_int_eq(counter_value(counted) - before, G_N_ELEMENTS(bodies));
	close_case(&test);
}
END_TEST

/*
 * Guards against a worker that counts as unreachable, and loses its tasks with
 * their lease, as their checkpoints make its answers long.
 */
START_TEST(long_checkpoints)
{
	char *checkpoint = g_strnfill(CHECKPOINT_BYTES, 'c');
	GString *body = g_string_new("{\"born\":9,\"running\":[");
	case_t test;

	for (int i = 0; i < TASKS_OF_WORKER; i++)
		g_string_append_printf(body, "%s[\"5c0e.0.0.%d\",1,\"%s\",1]",
		    i > 0 ? "," : "", i, checkpoint);
	g_string_append(body, "],\"finishedRuns\":[]}");
	open_case(&test);
	poll_with(&test, body->str);
	ck_assert_int_eq(test.outcome, ORDER_OK);
	ck_assert_uint_eq(test.running_count, TASKS_OF_WORKER);
	close_case(&test);
	g_string_free(body, TRUE);
	g_free(checkpoint);
}
END_TEST

/*
 * Guards against taking a full list of ends for a complete one: a worker lists
 * 500 of them at a time.
 */
START_TEST(full_list_of_ends)
{
	GString *body = g_string_new("{\"running\":[],\"finishedRuns\":[");
	case_t test;

	open_case(&test);
	for (int i = 1; i <= 500; i++)
		g_string_append_printf(body,
		    "%s[%d,\"5c0e.0.1.%d\",1,\"done\"]", i > 1 ? "," : "", i,
		    i);
	g_string_append(body, "]}");
	poll_with(&test, body->str);
	ck_assert_int_eq(test.outcome, ORDER_OK);
	ck_assert_uint_eq(test.ended_count, 500);
	ck_assert(test.more_ends);
	close_case(&test);
	g_string_free(body, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("worker client");
	TCase *tcase = tcase_create("worker client");

	tcase_add_test(tcase, readable_lists);
	tcase_add_test(tcase, unreadable_lists);
	tcase_add_test(tcase, full_list_of_ends);
	tcase_add_test(tcase, long_checkpoints);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
