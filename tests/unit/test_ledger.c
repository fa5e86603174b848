#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "rpc/codec.h"
#include "sched/ledger.h"
#include "tests/unit/runner.h"

#define JOB "00000000000000aa"
#define SNAPSHOT_BYTES 65536
#define LARGE_GANG (MAX_BATCH + 1)
/* Jobs with all the tasks that they may have, and the memory of two copies. */
#define WIDE_JOBS 28
#define WIDE_JOBS_BYTES (4 * 1024 * 1024)
/* The task of such a job that is started. */
#define RUN_TASK 1000

static step_spec_t
step_of(int count, bool gang)
{
	return (step_spec_t){
	    .count = count,
	    .shape = {1000, 100, 1},
	    .gang = gang,
	    .label = g_strdup(""),
	    .data_rack = g_strdup(""),
	    .image = g_strdup(""),
	};
}

/* Submits a job: a gang of two, then three tasks that depend on it. */
static void
submit(ledger_t *ledger, const char *id)
{
	batch_submit_t job = {
	    .id = g_strdup(id),
	    .queue = g_strdup("q"),
	    .tenant = g_strdup("t"),
	    .spec.payload = {1, g_strdup("x")},
	};

	job.spec.steps.steps_val = g_new0(step_spec_t, 2);
	job.spec.steps.steps_len = 2;
	job.spec.steps.steps_val[0] = step_of(2, true);
	job.spec.steps.steps_val[1] = step_of(3, false);
	job.spec.steps.steps_val[1].depends_on.depends_on_val = g_new0(int, 1);
	job.spec.steps.steps_val[1].depends_on.depends_on_len = 1;
	ck_assert_int_eq(ledger_apply_submit(ledger, &job), 0);
	codec_free((xdrproc_t)xdr_batch_submit_t, &job);
}

/* Starts a run of a unit with that many members. */
static void
start(ledger_t *ledger, int step, int unit, uint32_t run, int members)
{
	unit_place_t places[] = {{(char *)"w1", 1}, {(char *)"w2", 1}};
	unit_start_t start = {
	    .unit = {(char *)JOB, 0, step, unit},
	    .run = run,
	    .places = {(u_int)members, places},
	};
	fleet_events_t events = {.starts = {1, &start}};

	ledger_apply_events(ledger, &events);
}

/* Ends a run of a unit. */
static void
end(ledger_t *ledger, int step, int unit, uint32_t run, unit_result_t result,
    bool final)
{
	unit_end_t end = {
	    .unit = {(char *)JOB, 0, step, unit},
	    .run = run,
	    .result = result,
	    .final = final,
	    .checkpoint = (char *)"c1",
	};
	fleet_events_t events = {.ends = {1, &end}};

	ledger_apply_events(ledger, &events);
}

static ledger_unit_t *
unit_of(ledger_t *ledger, int step, int unit)
{
	unit_name_t name = {(char *)JOB, 0, step, unit};

	return ledger_unit(ledger, &name);
}

/* Guards against a step that starts before those it depends on are done. */
START_TEST(dependencies)
{
	ledger_t *ledger = ledger_create();

	submit(ledger, JOB);
	ck_assert(ledger_unit_is_ready(unit_of(ledger, 0, 0)));
	ck_assert(!ledger_unit_is_ready(unit_of(ledger, 1, 2)));
	start(ledger, 0, 0, 1, 2);
	ck_assert(!ledger_unit_is_ready(unit_of(ledger, 1, 2)));
	end(ledger, 0, 0, 1, UNIT_RESULT_DONE, false);
	ck_assert(ledger_unit_is_ready(unit_of(ledger, 1, 2)));
	ledger_destroy(ledger);
}
END_TEST

/* Guards against a stale end or start that changes a newer run. */
START_TEST(stale_events)
{
	ledger_t *ledger = ledger_create();
	const ledger_unit_t *unit;

	submit(ledger, JOB);
	unit = unit_of(ledger, 0, 0);
	start(ledger, 0, 0, 1, 2);
	end(ledger, 0, 0, 1, UNIT_RESULT_LOST, false);
	ck_assert_int_eq(unit->state, UNIT_WAITING);
	ck_assert_str_eq(unit->checkpoint, "c1");
	start(ledger, 0, 0, 1, 2);
	ck_assert_int_eq(unit->state, UNIT_WAITING);
	start(ledger, 0, 0, 2, 2);
	end(ledger, 0, 0, 1, UNIT_RESULT_LOST, false);
	end(ledger, 0, 0, 1, UNIT_RESULT_FAILED, false);
	ck_assert_int_eq(unit->state, UNIT_PLACED);
	ck_assert_int_eq(unit->run, 2);
	ck_assert_int_eq(unit->failures, 0);
	end(ledger, 0, 0, 3, UNIT_RESULT_DONE, false);
	ck_assert_int_eq(unit->state, UNIT_PLACED);
	/* Success of an earlier run completes the unit. */
	end(ledger, 0, 0, 1, UNIT_RESULT_DONE, false);
	ck_assert_int_eq(unit->state, UNIT_DONE);
	end(ledger, 0, 0, 2, UNIT_RESULT_DONE, false);
	ck_assert_uint_eq(unit->job->units_left, 3);
	ledger_destroy(ledger);
}
END_TEST

/* Guards against a job that changes when its id is submitted again. */
START_TEST(resent_submit)
{
	ledger_t *ledger = ledger_create();

	submit(ledger, JOB);
	start(ledger, 0, 0, 1, 2);
	submit(ledger, JOB);
	ck_assert_int_eq(unit_of(ledger, 0, 0)->state, UNIT_PLACED);
	ck_assert_int_eq(ledger_open_jobs(ledger)->length, 1);
	ledger_destroy(ledger);
}
END_TEST

/* Guards against a cancelled job that still starts units or counts as open.
 */
START_TEST(cancelled)
{
	ledger_t *ledger = ledger_create();

	ck_assert_int_eq(ledger_apply_cancel(ledger, JOB), -ENOENT);
	submit(ledger, JOB);
	ck_assert_int_eq(ledger_apply_cancel(ledger, JOB), 0);
	start(ledger, 0, 0, 1, 2);
	ck_assert_int_eq(unit_of(ledger, 0, 0)->state, UNIT_WAITING);
	ck_assert_int_eq(
	    ledger_job_state(ledger_job(ledger, JOB)), BATCH_STATE_ABORTED);
	ck_assert_int_eq(ledger_open_jobs(ledger)->length, 0);
	ledger_destroy(ledger);
}
END_TEST

/* Guards against replacement by a configuration whose number is not higher.
 */
START_TEST(highest_configuration)
{
	ledger_t *ledger = ledger_create();
	fleet_config_t newer = {.number = 7, .document = {1, g_strdup("a")}};
	fleet_config_t same = {.number = 7, .document = {1, g_strdup("b")}};
	fleet_config_t older = {.number = 6, .document = {1, g_strdup("c")}};

	ck_assert_int_eq(ledger_apply_config(ledger, &newer), 0);
	ck_assert_int_eq(ledger_apply_config(ledger, &same), 0);
	ck_assert_int_eq(ledger_apply_config(ledger, &older), 0);
	ck_assert_int_eq(ledger_config(ledger)->number, 7);
	ck_assert_int_eq(ledger_config(ledger)->document.body_t_val[0], 'a');
	codec_free((xdrproc_t)xdr_fleet_config_t, &same);
	codec_free((xdrproc_t)xdr_fleet_config_t, &older);
	ledger_destroy(ledger);
}
END_TEST

static u_int
save(ledger_t *ledger, char *bytes)
{
	XDR xdr;
	u_int len;

	xdrmem_create(&xdr, bytes, SNAPSHOT_BYTES, XDR_ENCODE);
	ck_assert(ledger_xdr_save(&xdr, ledger));
	len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/* Guards against state that is lost in a snapshot. */
START_TEST(snapshot)
{
	static char bytes[SNAPSHOT_BYTES];
	static char again[SNAPSHOT_BYTES];
	ledger_t *ledger = ledger_create();
	ledger_t *loaded = ledger_create();
	fleet_worker_t worker = {
	    .id = g_strdup("w1"),
	    .born = 5,
	    .service = g_strdup("s"),
	    .address = g_strdup("10.0.0.1"),
	    .domain = g_strdup("d"),
	    .rack = g_strdup("r"),
	};
	fleet_events_t events = {.workers = {1, &worker}};
	u_int len;
	XDR xdr;

	submit(ledger, JOB);
	submit(ledger, "00000000000000bb");
	ledger_apply_cancel(ledger, "00000000000000bb");
	ledger_apply_events(ledger, &events);
	start(ledger, 0, 0, 1, 2);
	end(ledger, 0, 0, 1, UNIT_RESULT_DONE, false);
	start(ledger, 1, 1, 1, 1);
	len = save(ledger, bytes);
	xdrmem_create(&xdr, bytes, len, XDR_DECODE);
	ck_assert(ledger_xdr_load(&xdr, loaded));
	xdr_destroy(&xdr);
	ck_assert_uint_eq(save(loaded, again), len);
	ck_assert_mem_eq(bytes, again, len);
	ck_assert_int_eq(unit_of(loaded, 1, 1)->state, UNIT_PLACED);
	ck_assert_str_eq(
	    unit_of(loaded, 1, 1)->places.place_ranges_t_val[0].worker, "w1");
	ck_assert(ledger_unit_is_ready(unit_of(loaded, 1, 2)));
	ck_assert_uint_eq(ledger_worker(loaded, "w1")->born, 5);
	ledger_destroy(ledger);
	ledger_destroy(loaded);
}
END_TEST

/* Submits a job of single tasks, as many as it may have. */
static void
submit_wide(ledger_t *ledger, int number)
{
	batch_submit_t job = {
	    .id = g_strdup_printf("%016x", number),
	    .queue = g_strdup("q"),
	    .tenant = g_strdup("t"),
	};

	job.spec.steps.steps_val = g_new0(step_spec_t, 1);
	job.spec.steps.steps_len = 1;
	job.spec.steps.steps_val[0] = step_of(MAX_JOB_TASKS, false);
	ck_assert_int_eq(ledger_apply_submit(ledger, &job), 0);
	codec_free((xdrproc_t)xdr_batch_submit_t, &job);
}

static size_t
allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/*
 * Guards against review/8: the tasks of accepted jobs that wait for their turn
 * fill the memory of every control instance, and the snapshot.
 */
START_TEST(waiting_tasks_take_next_to_nothing)
{
	size_t before = allocated_bytes();
	ledger_t *ledger = ledger_create();
	ledger_t *loaded = ledger_create();
	char bytes[SNAPSHOT_BYTES];
	u_int len;
	XDR xdr;

	for (int i = 0; i < WIDE_JOBS; i++)
		submit_wide(ledger, i);
	len = save(ledger, bytes);
	xdrmem_create(&xdr, bytes, len, XDR_DECODE);
	ck_assert(ledger_xdr_load(&xdr, loaded));
	xdr_destroy(&xdr);
	ck_assert_uint_eq(ledger_open_jobs(loaded)->length, WIDE_JOBS);
	ck_assert_uint_lt(allocated_bytes() - before, WIDE_JOBS_BYTES);
	ledger_destroy(ledger);
	ledger_destroy(loaded);
}
END_TEST

/* Guards against units that a snapshot leaves out though they have run. */
START_TEST(snapshot_holds_units_that_have_run)
{
	static const char *const job = "0000000000000000";
	ledger_t *ledger = ledger_create();
	ledger_t *loaded = ledger_create();
	char bytes[SNAPSHOT_BYTES];
	unit_place_t place = {(char *)"w1", 1};
	unit_start_t start = {.unit = {(char *)job, 0, 0, RUN_TASK},
	    .run = 1,
	    .places = {1, &place}};
	fleet_events_t events = {.starts = {1, &start}};
	const ledger_unit_t *unit;
	u_int len;
	XDR xdr;

	submit_wide(ledger, 0);
	ledger_apply_events(ledger, &events);
	len = save(ledger, bytes);
	xdrmem_create(&xdr, bytes, len, XDR_DECODE);
	ck_assert(ledger_xdr_load(&xdr, loaded));
	xdr_destroy(&xdr);
	unit = ledger_unit(loaded, &start.unit);
	ck_assert_int_eq(unit->state, UNIT_PLACED);
	ck_assert_uint_eq(unit->job->units_waiting, MAX_JOB_TASKS - 1);
	unit = ledger_unit_at(unit->job, RUN_TASK + 1);
	ck_assert_int_eq(unit->state, UNIT_WAITING);
	ck_assert_int_eq(unit->first, RUN_TASK + 1);
	unit = ledger_unit_at(unit->job, MAX_JOB_TASKS - 1);
	ck_assert_int_eq(unit->first, MAX_JOB_TASKS - 1);
	ledger_destroy(ledger);
	ledger_destroy(loaded);
}
END_TEST

/* Submits a gang that has more members than unit_start_t has places. */
static void
submit_large_gang(ledger_t *ledger)
{
	batch_submit_t job = {
	    .id = g_strdup(JOB),
	    .queue = g_strdup("q"),
	    .tenant = g_strdup("t"),
	};

	job.spec.steps.steps_val = g_new0(step_spec_t, 1);
	job.spec.steps.steps_len = 1;
	job.spec.steps.steps_val[0] = step_of(LARGE_GANG, true);
	ck_assert_int_eq(ledger_apply_submit(ledger, &job), 0);
	codec_free((xdrproc_t)xdr_batch_submit_t, &job);
}

/* Starts the gang with so many members on the first of two workers. */
static void
start_large_gang(ledger_t *ledger, int members)
{
	place_range_t ranges[] = {
	    {(char *)"w1", 1, members}, {(char *)"w2", 1, LARGE_GANG - 1}};
	gang_start_t start = {
	    .unit = {(char *)JOB, 0, 0, 0}, .run = 1, .places = {2, ranges}};

	ledger_apply_gang_start(ledger, &start);
}

/*
 * Guards against review/6 in a snapshot: the places of a large gang do not fit,
 * so that the state can be neither saved nor loaded.
 */
START_TEST(snapshot_holds_a_large_gang)
{
	ledger_t *ledger = ledger_create();
	ledger_t *loaded = ledger_create();
	char bytes[SNAPSHOT_BYTES];
	char again[SNAPSHOT_BYTES];
	const place_ranges_t *places;
	u_int len;
	XDR xdr;

	submit_large_gang(ledger);
	start_large_gang(ledger, 1);
	len = save(ledger, bytes);
	xdrmem_create(&xdr, bytes, len, XDR_DECODE);
	ck_assert(ledger_xdr_load(&xdr, loaded));
	xdr_destroy(&xdr);
	places = &unit_of(loaded, 0, 0)->places;
	ck_assert_uint_eq(places->place_ranges_t_len, 2);
	ck_assert_str_eq(places->place_ranges_t_val[1].worker, "w2");
	ck_assert_int_eq(places->place_ranges_t_val[1].members, LARGE_GANG - 1);
	ck_assert_uint_eq(save(loaded, again), len);
	ck_assert_mem_eq(bytes, again, len);
	ledger_destroy(ledger);
	ledger_destroy(loaded);
}
END_TEST

/* Guards against a start that does not place each member of a gang once. */
START_TEST(large_gang_is_placed_whole)
{
	static const int members[] = {0, -1, 2, G_MAXINT};
	ledger_t *ledger = ledger_create();

	submit_large_gang(ledger);
	for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
		start_large_gang(ledger, members[i]);
		ck_assert_int_eq(unit_of(ledger, 0, 0)->state, UNIT_WAITING);
	}
	start_large_gang(ledger, 1);
	ck_assert_int_eq(unit_of(ledger, 0, 0)->state, UNIT_PLACED);
	ledger_destroy(ledger);
}
END_TEST

/* Replaces the configuration by one with a queue of that name only. */
static void
configure(ledger_t *ledger, uint64_t number, const char *name)
{
	fleet_queue_t *queue = g_new0(fleet_queue_t, 1);
	fleet_config_t config = {.number = number, .queues = {1, queue}};

	queue->name = g_strdup(name);
	queue->host = g_strdup("h");
	queue->path_prefix = g_strdup("/");
	queue->service = g_strdup_printf("service-of-%s", name);
	queue->max_attempts = (int)number;
	ck_assert_int_eq(ledger_apply_config(ledger, &config), 0);
}

/*
 * Guards against jobs that lose the terms of their queue when a configuration
 * removes it, against terms that are lost in a snapshot or kept for ever, and
 * against jobs that are accepted without any.
 */
START_TEST(removed_queue)
{
	static char bytes[SNAPSHOT_BYTES];
	static char again[SNAPSHOT_BYTES];
	ledger_t *ledger = ledger_create();
	ledger_t *loaded = ledger_create();
	batch_submit_t late = {.id = (char *)"00000000000000cc",
	    .queue = (char *)"never",
	    .tenant = (char *)""};
	u_int len;
	XDR xdr;

	configure(ledger, 1, "q");
	submit(ledger, JOB);
	configure(ledger, 2, "q");
	configure(ledger, 3, "q2");
	ck_assert_int_eq(ledger_queue(ledger, "q")->max_attempts, 2);
	ck_assert(ledger_has_service(ledger, "service-of-q"));
	ck_assert_ptr_eq(ledger_route(ledger, STR_LIT("h"), STR_LIT("/x")),
	    ledger_queue(ledger, "q2"));
	/* Proposed before the change, committed after it. */
	submit(ledger, "00000000000000bb");
	ck_assert_int_eq(ledger_apply_submit(ledger, &late), -ESTALE);
	len = save(ledger, bytes);
	xdrmem_create(&xdr, bytes, len, XDR_DECODE);
	ck_assert(ledger_xdr_load(&xdr, loaded));
	xdr_destroy(&xdr);
	ck_assert_uint_eq(save(loaded, again), len);
	ck_assert_mem_eq(bytes, again, len);
	configure(loaded, 4, "q3");
	ck_assert_int_eq(ledger_queue(loaded, "q")->max_attempts, 2);
	ledger_apply_cancel(loaded, JOB);
	ledger_apply_cancel(loaded, "00000000000000bb");
	configure(loaded, 5, "q3");
	ck_assert_ptr_null(ledger_queue(loaded, "q"));
	ck_assert_ptr_null(ledger_queue(loaded, "q2"));
	ledger_destroy(ledger);
	ledger_destroy(loaded);
}
END_TEST

static void
set_service(ledger_t *ledger, const char *domain, bool out_of_service)
{
	domain_service_t command = {(char *)domain, out_of_service};

	ck_assert_int_eq(ledger_apply_domain_service(ledger, &command), 0);
}

static ledger_t *
load(char *bytes, u_int len)
{
	ledger_t *ledger = ledger_create();
	XDR xdr;

	xdrmem_create(&xdr, bytes, len, XDR_DECODE);
	ck_assert(ledger_xdr_load(&xdr, ledger));
	ck_assert_uint_eq(xdr_getpos(&xdr), len);
	xdr_destroy(&xdr);
	return ledger;
}

/*
 * Guards against an order about a failure domain that does not count when it is
 * sent again, that changes another one, or that is lost in a snapshot; and
 * against earlier snapshots, with or without a removed queue (_i), that cannot
 * be loaded.
 */
START_TEST(domain_service)
{
	static char bytes[SNAPSHOT_BYTES];
	static char again[SNAPSHOT_BYTES];
	ledger_t *ledger = ledger_create();
	ledger_t *loaded;
	u_int len;

	if (_i == 1) {
		configure(ledger, 1, "q");
		submit(ledger, JOB);
		configure(ledger, 2, "q2");
	}
	len = save(ledger, bytes);
	loaded = load(bytes, len);
	ck_assert_uint_eq(g_hash_table_size(ledger_domains_out(loaded)), 0);
	ledger_destroy(loaded);
	set_service(ledger, "d2", false);
	set_service(ledger, "d2", true);
	set_service(ledger, "d1", true);
	set_service(ledger, "d1", true);
	len = save(ledger, bytes);
	loaded = load(bytes, len);
	ck_assert_uint_eq(save(loaded, again), len);
	ck_assert_mem_eq(bytes, again, len);
	ck_assert(ledger_domain_is_out(loaded, "d1"));
	ck_assert(ledger_domain_is_out(loaded, "d2"));
	ck_assert_int_eq(ledger_queue(loaded, "q") != NULL, _i);
	set_service(loaded, "d1", false);
	ck_assert(!ledger_domain_is_out(loaded, "d1"));
	ck_assert(ledger_domain_is_out(loaded, "d2"));
	ledger_destroy(ledger);
	ledger_destroy(loaded);
}
END_TEST

/* Guards against restarts after a final failure, and a job shown as completed.
 */
START_TEST(final_failure)
{
	ledger_t *ledger = ledger_create();

	submit(ledger, JOB);
	start(ledger, 0, 0, 1, 2);
	end(ledger, 0, 0, 1, UNIT_RESULT_FAILED, false);
	ck_assert_int_eq(unit_of(ledger, 0, 0)->failures, 1);
	start(ledger, 0, 0, 2, 2);
	end(ledger, 0, 0, 2, UNIT_RESULT_FAILED, true);
	ck_assert_int_eq(
	    ledger_job_state(ledger_job(ledger, JOB)), BATCH_STATE_FAILED);
	start(ledger, 0, 0, 3, 2);
	ck_assert_int_eq(unit_of(ledger, 0, 0)->run, 2);
	ledger_destroy(ledger);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tcase = tcase_create("ledger");

	tcase_add_test(tcase, dependencies);
	tcase_add_test(tcase, stale_events);
	tcase_add_test(tcase, resent_submit);
	tcase_add_test(tcase, cancelled);
	tcase_add_test(tcase, highest_configuration);
	tcase_add_test(tcase, snapshot);
	tcase_add_test(tcase, removed_queue);
	tcase_add_loop_test(tcase, domain_service, 0, 2);
	tcase_add_test(tcase, final_failure);
	tcase_add_test(tcase, snapshot_holds_a_large_gang);
	tcase_add_test(tcase, large_gang_is_placed_whole);
	tcase_add_test(tcase, waiting_tasks_take_next_to_nothing);
	tcase_add_test(tcase, snapshot_holds_units_that_have_run);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
