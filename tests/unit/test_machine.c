#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/chart.h"
#include "tests/unit/machine_driver.h"
#include "tests/unit/machine_random.h"
#include "tests/unit/runner.h"

#define KEY "1800000000000-abcdefgh"
#define OTHER_KEY "1800000000001-abcdefgh"
#define HOUR_MS 3600000

#define ck_assert_data(driver, text)                                  \
	ck_assert_msg(str_equal(driver_data(driver), str_from(text)), \
	    "data is %.*s", STR_ARG(driver_data(driver)))

/*
 * Guards against a resent patch that is applied again, also after a reload from
 * a snapshot, and against a resend that gets a different response.
 */
START_TEST(patch_applied_once)
{
	const char *patch = "{\"tenants\":{\"hall\":{\"weight\":2}}}";
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(driver_patch(&d, "p1", 1, patch), 0);
	ck_assert_data(&d, "{\"outcome\":\"accepted\",\"version\":2}");
	ck_assert_int_eq(driver_patch(&d, "p1", 1, patch), 0);
	ck_assert_data(&d, "{\"outcome\":\"accepted\",\"version\":2}");
	driver_reload(&d);
	ck_assert_int_eq(driver_patch(&d, "p1", 2, patch), 0);
	ck_assert_data(&d, "{\"outcome\":\"accepted\",\"version\":2}");
	ck_assert_uint_eq(machine_config_version(d.machine), 2);
	driver_close(&d);
}
END_TEST

/* Guards against a conflict response without the version and the changes, and
 * against one that differs on a resend after later changes. */
START_TEST(patch_conflict)
{
	const char *want =
	    "{\"outcome\":\"refused\",\"error\":\"conflict\",\"version\":2,"
	    "\"changes\":[{\"version\":2,\"author\":\"ana\",\"patch\":"
	    "{\"tenants\":{\"hall\":{}}}}]}";
	driver_t d;

	driver_open(&d);
	driver_patch(&d, "p1", 1, "{\"tenants\":{\"hall\":{}}}");
	ck_assert_int_eq(driver_patch(&d, "p2", 1, "{}"), -ESTALE);
	ck_assert_data(&d, want);
	ck_assert_int_eq(driver_patch(&d, "p3", 2, "{}"), 0);
	ck_assert_int_eq(driver_patch(&d, "p2", 1, "{}"), -ESTALE);
	ck_assert_data(&d, want);
	ck_assert_int_eq(driver_patch(&d, "p4", 9, "{}"), -ESTALE);
	ck_assert_uint_eq(machine_config_version(d.machine), 3);
	driver_close(&d);
}
END_TEST

/* Guards against an invalid patch that changes the version, and against an
 * error without a path. */
START_TEST(patch_invalid)
{
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(
	    driver_patch(&d, "p1", 1, "{\"tenants\":{\"a\":{\"queue\":0}}}"),
	    -EINVAL);
	ck_assert_data(&d,
	    "{\"outcome\":\"refused\",\"error\":\"invalid\",\"path\":"
	    "\"/tenants/a/queue\",\"text\":\"expected an integer "
	    "1..1000000\"}");
	ck_assert_int_eq(driver_patch(&d, "p2", 1, "{"), -EINVAL);
	ck_assert_int_eq(driver_patch(&d, "", 1, "{}"), -EINVAL);
	ck_assert_uint_eq(machine_config_version(d.machine), 1);
	driver_close(&d);
}
END_TEST

/* Guards against unbounded growth of patch outcomes and versions, and against
 * a patch that is applied again after its outcome was dropped. */
START_TEST(old_outcomes_dropped)
{
	char id[32];
	driver_t d;

	driver_open(&d);
	for (uint64_t i = 1; i <= 10001; i++) {
		g_snprintf(id, sizeof(id), "p%" G_GUINT64_FORMAT, i);
		ck_assert_int_eq(driver_patch(&d, id, i, "{}"), 0);
	}
	driver_reload(&d);
	ck_assert_int_eq(driver_patch(&d, "p2", 2, "{}"), 0);
	ck_assert_data(&d, "{\"outcome\":\"accepted\",\"version\":3}");
	ck_assert_int_eq(driver_patch(&d, "p1", 1, "{}"), -ESTALE);
	ck_assert_uint_eq(machine_config_version(d.machine), 10002);
	driver_close(&d);
}
END_TEST

/* Guards against a configuration whose guarantees exceed the hardware. */
START_TEST(patch_exceeding_hardware)
{
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(
	    driver_patch(&d, "p1", 1,
		"{\"tenants\":{\"hall\":{}},\"workspaces\":{\"w\":{"
		"\"tenant\":\"hall\",\"guarantees\":[{\"domain\":\"d1\","
		"\"count\":13,\"members\":1,\"accelerators\":8,"
		"\"adjacency\":\"worker\"}]}}}"),
	    -ENOSPC);
	ck_assert_data(&d,
	    "{\"outcome\":\"refused\",\"error\":\"invalid\",\"path\":"
	    "\"/workspaces/w/guarantees/0\",\"text\":\"expected a guarantee "
	    "that fits d1: fits with count 1 lower (2 racks of 6 x 8 "
	    "accelerators, 0 guarantees come first)\"}");
	ck_assert_uint_eq(machine_config_version(d.machine), 1);
	driver_close(&d);
}
END_TEST

/* Guards against two open claims on one key, and against one key accepted for
 * two request bodies. */
START_TEST(claim_exclusive)
{
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(driver_claim(&d, KEY, "t1", 7), 0);
	ck_assert_int_eq(driver_claim(&d, KEY, "t1", 7), 0);
	ck_assert_int_eq(driver_claim(&d, KEY, "t2", 7), -EEXIST);
	ck_assert_data(&d,
	    "{\"task\":\"t1\",\"worker\":\"w0\",\"instance\":\"i1\",\"state\":"
	    "\"open\",\"http_status\":0,\"answer_dropped\":false,"
	    "\"answer\":\"\"}");
	ck_assert_int_eq(driver_claim(&d, KEY, "t2", 8), -EKEYREJECTED);
	ck_assert_uint_eq(machine_claim_count(d.machine), 1);
	driver_close(&d);
}
END_TEST

/* Guards against a claim ended by a task that does not hold it, and against a
 * claim that ends twice in different states. */
START_TEST(claim_end_wrong_task)
{
	driver_t d;

	driver_open(&d);
	driver_claim(&d, KEY, "t1", 7);
	ck_assert_int_eq(
	    driver_claim_end(&d, KEY, "t2", CLAIM_DID_NOT_RUN, "", 0), -ENOENT);
	ck_assert_int_eq(
	    machine_claim(d.machine, "hall", KEY)->state, CLAIM_OPEN);
	ck_assert_int_eq(
	    driver_claim_end(&d, KEY, "t1", CLAIM_DONE, "yes", 3), 0);
	ck_assert_int_eq(
	    driver_claim_end(&d, KEY, "t1", CLAIM_DID_NOT_RUN, "", 0),
	    -EALREADY);
	ck_assert_int_eq(driver_claim(&d, KEY, "t2", 7), -EEXIST);
	ck_assert_data(&d,
	    "{\"task\":\"t1\",\"worker\":\"w0\",\"instance\":\"i1\",\"state\":"
	    "\"done\",\"http_status\":200,\"answer_dropped\":false,"
	    "\"answer\":\"yes\"}");
	driver_close(&d);
}
END_TEST

/* Guards against a key that stays claimed after "did not run", and against a
 * second claim by the task that did not run. */
START_TEST(claim_did_not_run)
{
	driver_t d;

	driver_open(&d);
	driver_claim(&d, KEY, "t1", 7);
	driver_claim_end(&d, KEY, "t1", CLAIM_DID_NOT_RUN, "", 0);
	ck_assert_int_eq(driver_claim(&d, KEY, "t1", 7), -EEXIST);
	ck_assert_int_eq(driver_claim(&d, KEY, "t2", 7), 0);
	ck_assert_str_eq(machine_claim(d.machine, "hall", KEY)->task, "t2");
	ck_assert_int_eq(
	    driver_claim_end(&d, KEY, "t1", CLAIM_DONE, "", 0), -ENOENT);
	driver_close(&d);
}
END_TEST

/* Guards against stored answers above the size limit, and against answers that
 * are lost because they are not UTF-8. */
START_TEST(claim_answers)
{
	char *large = g_strnfill(65537, 'x');
	const machine_claim_t *claim;
	driver_t d;

	driver_open(&d);
	driver_claim(&d, KEY, "t1", 7);
	driver_claim_end(&d, KEY, "t1", CLAIM_DONE, large, 65537);
	claim = machine_claim(d.machine, "hall", KEY);
	ck_assert(claim->answer_dropped);
	ck_assert_uint_eq(claim->answer_len, 0);
	driver_claim(&d, OTHER_KEY, "t2", 7);
	driver_claim_end(&d, OTHER_KEY, "t2", CLAIM_DONE, "\xff\0", 2);
	driver_reload(&d);
	claim = machine_claim(d.machine, "hall", OTHER_KEY);
	ck_assert_uint_eq(claim->answer_len, 2);
	driver_claim(&d, OTHER_KEY, "t3", 7);
	ck_assert_ptr_nonnull(
	    strstr(d.result.data.body_t_val, "\"answer_base64\":\"/wA=\""));
	driver_close(&d);
	g_free(large);
}
END_TEST

/*
 * Guards against keys accepted outside the claim window, and against a key
 * whose claim expired under a short window and that is accepted again when the
 * window is extended.
 */
START_TEST(claim_window)
{
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(
	    driver_claim(&d, "1800000300001-abcdefgh", "t", 1), -EKEYEXPIRED);
	ck_assert_int_eq(
	    driver_claim(&d, "1799913599999-abcdefgh", "t", 1), -EKEYEXPIRED);
	ck_assert_int_eq(driver_claim(&d, "1799913600000-abcdefgh", "t", 1), 0);
	ck_assert_int_eq(
	    driver_claim(&d, "1800000000000-abc", "t", 1), -EINVAL);
	ck_assert_int_eq(driver_claim(&d, KEY, "t1", 1), 0);
	driver_patch(&d, "p1", 1, "{\"claim_window_ms\":3600000}");
	d.now_ms += HOUR_MS + 1;
	ck_assert_int_eq(driver_claim(&d, KEY, "t2", 1), -EKEYEXPIRED);
	ck_assert_uint_eq(machine_claim_count(d.machine), 0);
	driver_patch(&d, "p2", 2, "{\"claim_window_ms\":86400000}");
	driver_reload(&d);
	ck_assert_int_eq(driver_claim(&d, KEY, "t2", 1), -EKEYEXPIRED);
	driver_close(&d);
}
END_TEST

/* Guards against a fence that does not rise with each generation or owner, a
 * move without the expected fence, and workers taken from a lost instance
 * before COMMAND_WORKER_OWNER moves them. */
START_TEST(worker_fences)
{
	const machine_worker_t *worker;
	command_t command = {.kind = COMMAND_WORKER_REMOVE};
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(driver_add_worker(&d, "w0", 1, "i1"), 0);
	ck_assert_int_eq(driver_add_worker(&d, "w0", 1, "i2"), 0);
	worker = machine_worker(d.machine, "w0");
	ck_assert_uint_eq(worker->fence, 1);
	ck_assert_int_eq(driver_add_worker(&d, "w0", 2, "i2"), 0);
	ck_assert_uint_eq(worker->fence, 2);
	ck_assert_str_eq(worker->owner, "i1");
	ck_assert_int_eq(driver_move_worker(&d, "w0", "i2", 1), -ESTALE);
	driver_report_instance(&d, "i1", false);
	ck_assert_str_eq(worker->owner, "i1");
	ck_assert_int_eq(driver_move_worker(&d, "w0", "i1", 2), -EHOSTDOWN);
	ck_assert_int_eq(driver_move_worker(&d, "w0", "i2", 2), 0);
	ck_assert_uint_eq(worker->fence, 3);
	command.command_t_u.worker_remove =
	    (worker_owner_command_t){.id = "w0", .owner = "", 3};
	ck_assert_int_eq(driver_apply(&d, &command), 0);
	ck_assert_int_eq(driver_add_worker(&d, "w0", 3, "i1"), 0);
	ck_assert_uint_eq(machine_worker(d.machine, "w0")->fence, 4);
	driver_close(&d);
}
END_TEST

/* Guards against a resent registration that clears a worker's leaving flag. */
START_TEST(worker_stays_leaving)
{
	command_t command = {.kind = COMMAND_WORKER_LEAVE};
	driver_t d;

	driver_open(&d);
	driver_add_worker(&d, "w0", 1, "i1");
	command.command_t_u.worker_leave = "w0";
	ck_assert_int_eq(driver_apply(&d, &command), 0);
	driver_add_worker(&d, "w0", 1, "i1");
	ck_assert(machine_worker(d.machine, "w0")->leaving);
	driver_add_worker(&d, "w0", 2, "i1");
	ck_assert(!machine_worker(d.machine, "w0")->leaving);
	driver_close(&d);
}
END_TEST

/* Guards against two placers of one domain under one epoch. */
START_TEST(placer_epochs)
{
	driver_t d;

	driver_open(&d);
	ck_assert_int_eq(driver_set_placer(&d, "d1", "i1", 0), 0);
	ck_assert_int_eq(driver_set_placer(&d, "d1", "i2", 0), -ESTALE);
	ck_assert_data(&d, "{\"instance\":\"i1\",\"epoch\":1}");
	ck_assert_int_eq(driver_set_placer(&d, "d1", "i2", 1), 0);
	ck_assert_uint_eq(machine_placer(d.machine, "d1")->epoch, 2);
	driver_close(&d);
}
END_TEST

/* Initialises a driver with a placer of d1 at epoch 1 and workers w0..w3. */
static void
open_with_workers(driver_t *d)
{
	driver_open(d);
	driver_set_placer(d, "d1", "i1", 0);
	for (int i = 0; i < 4; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		driver_add_worker(d, id, 1, "i1");
	}
}

static const char *
job_state_name(const driver_t *d, const char *job)
{
	return chart_state_name(
	    chart_builtin("job"), machine_job(d->machine, job)->state);
}

/* Guards against a second start of one attempt, and against start, go and end
 * commands accepted under an old epoch or for an old attempt. */
START_TEST(job_attempts)
{
	driver_t d;

	open_with_workers(&d);
	ck_assert_int_eq(driver_submit(&d, "j1", KEY, 1, 2, 4), 0);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 2, true, 2, 0xf), -ESTALE);
	ck_assert_int_eq(driver_start(&d, "j1", 2, 1, true, 2, 0xf), -ESTALE);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, true, 2, 0xf), 0);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, true, 2, 0xf), 0);
	ck_assert_int_eq(
	    driver_start(&d, "j1", 1, 1, true, 2, 0xf0), -EALREADY);
	driver_set_placer(&d, "d1", "i2", 1);
	ck_assert_int_eq(driver_go(&d, "j1", 1, 1), -ESTALE);
	ck_assert_int_eq(driver_go(&d, "j1", 1, 2), -ESTALE);
	ck_assert_int_eq(driver_end(&d, "j1", 1, 1, JOB_END_ABORTED), -ESTALE);
	ck_assert_int_eq(driver_end(&d, "j1", 1, 2, JOB_END_ABORTED), 0);
	ck_assert_int_eq(driver_end(&d, "j1", 1, 2, JOB_END_ABORTED), 0);
	ck_assert_str_eq(job_state_name(&d, "j1"), "waiting");
	ck_assert_int_eq(driver_start(&d, "j1", 1, 2, true, 2, 0xf), -ESTALE);
	ck_assert_int_eq(driver_start(&d, "j1", 2, 2, true, 2, 0xf), 0);
	ck_assert_int_eq(driver_go(&d, "j1", 2, 2), 0);
	ck_assert_int_eq(driver_go(&d, "j1", 2, 2), 0);
	ck_assert_int_eq(driver_end(&d, "j1", 1, 2, JOB_END_DONE), -ESTALE);
	ck_assert_int_eq(driver_end(&d, "j1", 2, 2, JOB_END_DONE), 0);
	ck_assert_int_eq(driver_end(&d, "j1", 2, 2, JOB_END_DONE), 0);
	ck_assert_int_eq(driver_end(&d, "j1", 2, 2, JOB_END_FAILED), -EALREADY);
	ck_assert_str_eq(job_state_name(&d, "j1"), "done");
	driver_close(&d);
}
END_TEST

/* Guards against two jobs on the same accelerators, also after a reload, and
 * against members with invalid accelerator masks, a wrong number of members
 * and members on leaving workers. */
START_TEST(job_placement)
{
	command_t leave = {.kind = COMMAND_WORKER_LEAVE};
	driver_t d;

	open_with_workers(&d);
	driver_submit(&d, "j1", KEY, 1, 2, 4);
	driver_submit(&d, "j2", OTHER_KEY, 1, 1, 4);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, true, 2, 0xf00), -EINVAL);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, true, 2, 0x3), -EINVAL);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, true, 1, 0xf), -EINVAL);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, true, 2, 0xf), 0);
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, true, 1, 0x3c), -EBUSY);
	driver_reload(&d);
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, true, 1, 0x3c), -EBUSY);
	driver_end(&d, "j1", 1, 1, JOB_END_ABORTED);
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, true, 1, 0x3c), 0);
	leave.command_t_u.worker_leave = "w1";
	driver_apply(&d, &leave);
	ck_assert_int_eq(driver_start(&d, "j1", 2, 1, true, 2, 0xc3), -ENODEV);
	driver_close(&d);
}
END_TEST

/* Guards against opportunistic attempts above their tenant's quota, also after
 * a reload. */
START_TEST(job_quota)
{
	driver_t d;

	open_with_workers(&d);
	driver_patch(
	    &d, "p1", 1, "{\"tenants\":{\"hall\":{\"quota_accelerators\":6}}}");
	driver_submit(&d, "j1", KEY, 1, 1, 4);
	driver_submit(&d, "j2", OTHER_KEY, 1, 1, 4);
	ck_assert_int_eq(driver_start(&d, "j1", 1, 1, false, 1, 0xf), 0);
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, false, 1, 0xf0), -EDQUOT);
	driver_reload(&d);
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, false, 1, 0xf0), -EDQUOT);
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, true, 1, 0xf0), 0);
	driver_end(&d, "j2", 1, 1, JOB_END_ABORTED);
	driver_end(&d, "j1", 1, 1, JOB_END_ABORTED);
	ck_assert_int_eq(driver_start(&d, "j2", 2, 1, false, 1, 0xf0), 0);
	driver_close(&d);
}
END_TEST

/* Guards against a job that is accepted twice, cancelled by another tenant, or
 * accepted again after its key expired. */
START_TEST(job_idempotency)
{
	driver_t d;

	open_with_workers(&d);
	ck_assert_int_eq(driver_submit(&d, "j1", KEY, 1, 1, 1), 0);
	ck_assert_int_eq(driver_submit(&d, "j1", KEY, 1, 1, 1), 0);
	ck_assert_int_eq(driver_submit(&d, "j2", KEY, 1, 1, 1), 0);
	ck_assert_data(&d, "{\"job\":\"j1\",\"state\":\"waiting\"}");
	ck_assert_int_eq(driver_submit(&d, "j2", KEY, 2, 1, 1), -EKEYREJECTED);
	ck_assert_int_eq(driver_submit(&d, "j1", OTHER_KEY, 1, 1, 1), -EEXIST);
	ck_assert_int_eq(driver_cancel(&d, "j1", "cure"), -EPERM);
	ck_assert_int_eq(driver_cancel(&d, "j1", "hall"), 0);
	ck_assert_int_eq(driver_cancel(&d, "j1", "hall"), 0);
	ck_assert_data(&d, "{\"job\":\"j1\",\"state\":\"cancelled\"}");
	ck_assert_int_eq(driver_cancel(&d, "j9", "hall"), -ENOENT);
	d.now_ms += 24 * HOUR_MS + 1;
	ck_assert_int_eq(driver_submit(&d, "j1", KEY, 1, 1, 1), -EKEYEXPIRED);
	ck_assert_ptr_null(machine_job(d.machine, "j1"));
	driver_close(&d);
}
END_TEST

/* Guards against a job that runs again because its record was dropped at the
 * limit of finished jobs while its key is still in the claim window. */
START_TEST(job_retention_limit)
{
	char id[32];
	char key[40];
	driver_t d;

	open_with_workers(&d);
	for (int i = 0; i <= 20000; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		g_snprintf(key, sizeof(key), "1800000000000-x%08d", i);
		ck_assert_int_eq(driver_submit(&d, id, key, 1, 1, 1), 0);
		ck_assert_int_eq(driver_cancel(&d, id, "hall"), 0);
	}
	driver_report_instance(&d, "i1", true);
	ck_assert_ptr_null(machine_job(d.machine, "j0"));
	ck_assert_ptr_nonnull(machine_job(d.machine, "j1"));
	driver_reload(&d);
	ck_assert_int_eq(
	    driver_submit(&d, "j0", "1800000000000-x00000000", 1, 1, 1),
	    -EKEYEXPIRED);
	driver_close(&d);
}
END_TEST

/* Guards against a cancelled attempt that releases its accelerators before its
 * members have stopped. */
START_TEST(job_cancel_running)
{
	driver_t d;

	open_with_workers(&d);
	driver_submit(&d, "j1", KEY, 1, 1, 4);
	driver_submit(&d, "j2", OTHER_KEY, 1, 1, 4);
	driver_start(&d, "j1", 1, 1, true, 1, 0xf);
	driver_go(&d, "j1", 1, 1);
	ck_assert_int_eq(driver_cancel(&d, "j1", "hall"), 0);
	ck_assert_str_eq(job_state_name(&d, "j1"), "stopping");
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, true, 1, 0xf), -EBUSY);
	ck_assert_int_eq(driver_end(&d, "j1", 1, 1, JOB_END_STOPPED), 0);
	ck_assert_str_eq(job_state_name(&d, "j1"), "cancelled");
	ck_assert_int_eq(driver_start(&d, "j2", 1, 1, true, 1, 0xf), 0);
	driver_close(&d);
}
END_TEST

/* Guards against a truncated snapshot that is accepted or that changes the
 * state of the machine. */
START_TEST(snapshot_truncated)
{
	GByteArray *before;
	GByteArray *after;
	driver_t d;

	open_with_workers(&d);
	driver_submit(&d, "j1", KEY, 1, 2, 4);
	driver_start(&d, "j1", 1, 1, true, 2, 0xf);
	driver_claim(&d, KEY, "t1", 7);
	before = driver_save(&d);
	for (guint len = 0; len < before->len; len++)
		ck_assert_int_eq(
		    machine_load(d.machine, (str_t){(char *)before->data, len}),
		    -EBADMSG);
	after = driver_save(&d);
	ck_assert_uint_eq(before->len, after->len);
	ck_assert_mem_eq(before->data, after->data, after->len);
	g_byte_array_unref(before);
	g_byte_array_unref(after);
	driver_close(&d);
}
END_TEST

/*
 * Guards against state missing from snapshots and against nondeterminism: the
 * same commands must give the same bytes with and without reloads.
 */
START_TEST(random_commands)
{
	const int commands = 6000;
	const uint32_t seed = 20261204u + (uint32_t)_i;
	GByteArray *straight = machine_random_run(seed, commands, 0);
	GByteArray *halfway = machine_random_run(seed, commands, commands / 2);
	GByteArray *often = machine_random_run(seed, commands, 37);

	ck_assert_msg(
	    straight->len == halfway->len &&
		memcmp(straight->data, halfway->data, straight->len) == 0,
	    "seed %u: state differs after one reload", seed);
	ck_assert_msg(
	    straight->len == often->len &&
		memcmp(straight->data, often->data, straight->len) == 0,
	    "seed %u: state differs after frequent reloads", seed);
	g_byte_array_unref(straight);
	g_byte_array_unref(halfway);
	g_byte_array_unref(often);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("machine");
	TCase *tcase = tcase_create("machine");

	/* The sanitizer build needs longer than the default of 4 s. */
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, patch_applied_once);
	tcase_add_test(tcase, patch_conflict);
	tcase_add_test(tcase, patch_invalid);
	tcase_add_test(tcase, old_outcomes_dropped);
	tcase_add_test(tcase, patch_exceeding_hardware);
	tcase_add_test(tcase, claim_exclusive);
	tcase_add_test(tcase, claim_end_wrong_task);
	tcase_add_test(tcase, claim_did_not_run);
	tcase_add_test(tcase, claim_answers);
	tcase_add_test(tcase, claim_window);
	tcase_add_test(tcase, worker_fences);
	tcase_add_test(tcase, worker_stays_leaving);
	tcase_add_test(tcase, placer_epochs);
	tcase_add_test(tcase, job_attempts);
	tcase_add_test(tcase, job_placement);
	tcase_add_test(tcase, job_quota);
	tcase_add_test(tcase, job_idempotency);
	tcase_add_test(tcase, job_retention_limit);
	tcase_add_test(tcase, job_cancel_running);
	tcase_add_test(tcase, snapshot_truncated);
	tcase_add_loop_test(tcase, random_commands, 0, 20);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
