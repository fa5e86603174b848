#include <errno.h>
#include <glib/gstdio.h>
#include <limits.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "state/wal_internal.h"
#include "tests/unit/replica_bed.h"
#include "tests/unit/runner.h"

#define TEST_TIMEOUT_S 240
/* Longer than an election, so that another instance takes over. */
#define REFUSAL_MS 1000
#define STRIKES 6
#define SHORT_MS 1500

/* Number of the instance whose disk refuses; 0 for none. */
static atomic_int refusing;
static wal_ops_t real;

/* Whether a file or folder belongs to the instance whose disk refuses. */
static bool
is_refused(int fd)
{
	char link[64];
	char path[PATH_MAX] = "";
	char folder[16];

	if (refusing == 0)
		return false;
	g_snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
	g_snprintf(folder, sizeof(folder), "/i%d", (int)refusing);
	if (readlink(link, path, sizeof(path) - 1) <= 0)
		return false;
	return strstr(path, folder) != NULL;
}

static ssize_t
write_or_refuse(int fd, const void *data, size_t len)
{
	/* A disk that fills up accepts a part of the data first. */
	if (is_refused(fd) && len > 1)
		return real.write(fd, data, len / 2);
	if (!is_refused(fd))
		return real.write(fd, data, len);
	errno = ENOSPC;
	return -1;
}

static int
sync_or_refuse(int fd)
{
	if (!is_refused(fd))
		return real.sync(fd);
	errno = EIO;
	return -1;
}

static int
sync_folder_or_refuse(int fd)
{
	if (!is_refused(fd))
		return real.sync_folder(fd);
	errno = EIO;
	return -1;
}

static int
create_or_refuse(int folder, const char *name)
{
	if (!is_refused(folder))
		return real.create(folder, name);
	errno = ENOSPC;
	return -1;
}

static int
rename_or_refuse(int folder, const char *from, const char *to)
{
	if (!is_refused(folder))
		return real.rename(folder, from, to);
	errno = EROFS;
	return -1;
}

static int64_t wake_ms;

static bool
time_has_come(void *ctx)
{
	return clock_mono_ms() >= wake_ms;
}

static void
let_pass(replica_bed_t *bed, int64_t ms)
{
	wake_ms = clock_mono_ms() + ms;
	WAIT(bed, time_has_come, NULL);
}

typedef struct {
	replica_bed_t *bed;
	int old;
} succession_t;

static bool
another_leads(void *ctx)
{
	const succession_t *succession = ctx;
	int leader = leader_of(succession->bed);

	return leader >= 0 && leader != succession->old;
}

/*
 * Guards against a leader that keeps leading while its disk refuses writes,
 * against callers that wait for it, and against an instance that stays out of
 * the quorum once its disk takes writes again, with and without a restart.
 */
START_TEST(full_disk_of_the_leader)
{
	succession_t succession;
	put_t one;
	replica_bed_t bed;
	int leader;

	replica_bed_open(&bed, 3, 3, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	WAIT(&bed, is_safe_to_replace, &bed);
	leader = leader_of(&bed);
	succession = (succession_t){&bed, leader};
	wal_ops.sync = sync_or_refuse;
	refusing = leader + 1;
	put_start(&bed, leader, &one, "one", LONG_MS);
	WAIT(&bed, another_leads, &succession);
	/* It may have reached the others before the disk refused. */
	WAIT(&bed, put_ended, &one);
	ck_assert(one.code == 0 || one.code == -ETIMEDOUT);
	put(&bed, other_than(&bed, leader), "two");
	/* Passed on to the new leader, and visible here. */
	put(&bed, leader, "three");
	ck_assert(!is_safe_to_replace(&bed));
	if (_i == 1)
		stop_node(&bed, (size_t)leader);
	refusing = 0;
	if (_i == 1)
		start_node(&bed, (size_t)leader);
	WAIT(&bed, is_safe_to_replace, &bed);
	put(&bed, leader, "four");
	replica_bed_close(&bed);
}
END_TEST

/* Guards against callers that wait when the disk of every instance refuses, and
 * against a system that does not come back by itself. */
START_TEST(all_disks_full)
{
	put_t one;
	replica_bed_t bed;

	replica_bed_open(&bed, 1, 1, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	wal_ops.write = write_or_refuse;
	refusing = 1;
	/* Its entry is in the log, so that it may be applied later. */
	put_start(&bed, 0, &one, "one", SHORT_MS);
	WAIT(&bed, put_ended, &one);
	ck_assert_int_eq(one.code, -ETIMEDOUT);
	put_start(&bed, 0, &one, "two", LONG_MS);
	WAIT(&bed, put_ended, &one);
	ck_assert_int_eq(one.code, -ENOSPC);
	refusing = 0;
	WAIT(&bed, all_confirmed, &bed);
	put(&bed, 0, "three");
	ck_assert(!has(&bed, 0, "two"));
	replica_bed_close(&bed);
}
END_TEST

typedef struct {
	size_t nodes;
	bool leaders; /* strikes the leader each time, else one after another */
	int call;     /* which call is refused */
} series_t;

static const series_t series[] = {
    {3, false, 0},
    {3, true, 1},
    {4, false, 2},
    {4, true, 3},
    {5, true, 0},
    {5, false, 4},
};

static void
refuse_calls(int call)
{
	wal_ops = real;
	if (call == 0)
		wal_ops.write = write_or_refuse;
	else if (call == 1)
		wal_ops.sync = sync_or_refuse;
	else if (call == 2)
		wal_ops.sync_folder = sync_folder_or_refuse;
	else if (call == 3)
		wal_ops.create = create_or_refuse;
	else
		wal_ops.rename = rename_or_refuse;
}

/* Guards against review/1: disks refuse for a while, one after the other, and
 * each instance struck is lost to the quorum for good. */
START_TEST(disks_refuse_in_turn)
{
	const series_t *now = &series[_i];
	char name[STRIKES][16];
	replica_bed_t bed;

	/* Small segments, so that new files are among the refused calls. */
	wal_segment_bytes = 2048;
	replica_bed_open(&bed, now->nodes, now->nodes, "");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	WAIT(&bed, is_safe_to_replace, &bed);
	for (int i = 0; i < STRIKES; i++) {
		int struck =
		    now->leaders ? leader_of(&bed) : i % (int)now->nodes;

		refuse_calls(now->call);
		refusing = struck + 1;
		g_snprintf(name[i], sizeof(name[i]), "strike-%d", i);
		put_many(&bed, other_than(&bed, struck), name[i], 50);
		let_pass(&bed, REFUSAL_MS);
		refusing = 0;
		WAIT(&bed, all_confirmed, &bed);
		WAIT(&bed, is_safe_to_replace, &bed);
	}
	for (size_t i = 0; i < now->nodes; i++) {
		for (int j = 0; j < STRIKES; j++) {
			char last[32];

			g_snprintf(last, sizeof(last), "%s49", name[j]);
			wait_visible(&bed, (int)i, last);
		}
	}
	replica_bed_close(&bed);
}
END_TEST

#define BIG_DOCUMENT (100 * 1024)
#define BIG_CHANGES 200

/* Returns the bytes of all files of a folder. */
static uint64_t
folder_bytes(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	uint64_t bytes = 0;
	const char *name;

	ck_assert_ptr_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);
		GStatBuf info;

		if (g_stat(path, &info) == 0)
			bytes += (uint64_t)info.st_size;
		g_free(path);
	}
	g_dir_close(dir);
	return bytes;
}

/* A change of the configuration that was proposed. */
typedef struct {
	replica_bed_t *bed;
	bool done;
} change_t;

static void
on_changed(void *ctx, const err_t *err, const command_result_t *result)
{
	ck_assert_int_eq(err->code, 0);
	((change_t *)ctx)->done = true;
}

static bool
is_done(void *ctx)
{
	return ((change_t *)ctx)->done;
}

static uint64_t
config_number(const replica_bed_t *bed)
{
	const machine_t *machine = replica_machine(bed->nodes[0].replica);

	return ledger_config(machine_ledger(machine))->number;
}

static void
replace_config(replica_bed_t *bed, uint64_t number, char *document)
{
	change_t change = {.bed = bed};
	command_t command = {.kind = COMMAND_FLEET_CONFIG};

	command.command_t_u.fleet_config.number = number;
	command.command_t_u.fleet_config.document =
	    (body_t){BIG_DOCUMENT, document};
	replica_propose(
	    bed->nodes[0].replica, &command, LONG_MS, on_changed, &change);
	WAIT(bed, is_done, &change);
}

/*
 * Guards against a disk and a memory that large configurations fill: the log is
 * compacted by its bytes too.  The changes add up to 20 MB.
 */
START_TEST(large_changes_do_not_fill_the_disk)
{
	char *document;
	replica_bed_t bed;

	replica_bed_open(&bed, 1, 1, ",\"snapshot_log_bytes\":1000000");
	start_all(&bed);
	WAIT(&bed, all_confirmed, &bed);
	document = g_malloc0(BIG_DOCUMENT);
	for (uint64_t i = 1; i <= BIG_CHANGES; i++)
		replace_config(&bed, i, document);
	g_free(document);
	ck_assert_uint_lt(
	    folder_bytes(bed.system->settings[0]->data_folder), 5000000);
	ck_assert_uint_eq(config_number(&bed), BIG_CHANGES);
	stop_node(&bed, 0);
	start_node(&bed, 0);
	WAIT(&bed, all_confirmed, &bed);
	ck_assert_uint_eq(config_number(&bed), BIG_CHANGES);
	replica_bed_close(&bed);
}
END_TEST

static void
keep_calls(void)
{
	real = wal_ops;
	refusing = 0;
}

static void
restore_calls(void)
{
	wal_ops = real;
}

int
main(void)
{
	Suite *suite = suite_create("replica_disks");
	TCase *tcase = tcase_create("replica_disks");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_checked_fixture(tcase, keep_calls, restore_calls);
	tcase_add_loop_test(tcase, full_disk_of_the_leader, 0, 2);
	tcase_add_test(tcase, all_disks_full);
	tcase_add_test(tcase, large_changes_do_not_fill_the_disk);
	tcase_add_loop_test(
	    tcase, disks_refuse_in_turn, 0, G_N_ELEMENTS(series));
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
