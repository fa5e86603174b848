#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/log.h"
#include "state/wal_internal.h"
#include "tests/unit/runner.h"

#define DATA_BYTES 40
#define FIRST_SEGMENT "log-000000000001"

static char *folder;
static raft_saved_t saved;
static GArray *restored; /* index and term of each entry */
static err_t error;

typedef struct {
	uint64_t index;
	uint64_t term;
} restored_t;

static void
on_restore(void *ctx, const raft_entry_t *entry)
{
	restored_t item = {entry->index, entry->term};

	ck_assert_int_eq(entry->data.body_t_len, DATA_BYTES);
	for (int i = 0; i < DATA_BYTES; i++)
		ck_assert_int_eq((uint8_t)entry->data.body_t_val[i],
		    (uint8_t)(entry->index + entry->term + 1));
	g_array_append_val(restored, item);
}

static wal_t *
reopen(void)
{
	xdr_free((xdrproc_t)xdr_raft_members_t, &saved.members);
	g_array_set_size(restored, 0);
	return wal_open(folder, &saved, on_restore, NULL, &error);
}

static wal_t *
open_or_fail(void)
{
	wal_t *wal = reopen();

	ck_assert_msg(wal != NULL, "%s: %s", error.step, error.text);
	return wal;
}

static int
append(wal_t *wal, uint64_t index, uint64_t term)
{
	char data[DATA_BYTES];
	raft_entry_t entry = {
	    .index = index, .term = term, .data = {sizeof(data), data}};

	memset(data, (int)(index + term + 1), sizeof(data));
	return wal_append(wal, &entry, &error);
}

/* Appends entries first..last, each with a sync of its own. */
static void
fill(wal_t *wal, uint64_t first, uint64_t last, uint64_t term)
{
	for (uint64_t i = first; i <= last; i++) {
		ck_assert_int_eq(append(wal, i, term), 0);
		ck_assert_int_eq(wal_sync(wal, &error), 0);
	}
}

static void
expect_entries(uint64_t first, uint64_t last, uint64_t term)
{
	ck_assert_uint_eq(restored->len, last + 1 - first);
	for (guint i = 0; i < restored->len; i++) {
		restored_t item = g_array_index(restored, restored_t, i);

		ck_assert_uint_eq(item.index, first + i);
		ck_assert_uint_eq(item.term, term);
	}
}

static char *
path_of(const char *name)
{
	return g_build_filename(folder, name, NULL);
}

static GByteArray *
read_all(const char *name)
{
	char *path = path_of(name);
	gchar *data;
	gsize len;
	GByteArray *bytes = g_byte_array_new();

	ck_assert(g_file_get_contents(path, &data, &len, NULL));
	g_byte_array_append(bytes, (guint8 *)data, (guint)len);
	g_free(data);
	g_free(path);
	return bytes;
}

static void
write_all(const char *name, const uint8_t *data, size_t len)
{
	char *path = path_of(name);

	ck_assert(
	    g_file_set_contents(path, (const gchar *)data, (gssize)len, NULL));
	g_free(path);
}

static void
remove_name(const char *name)
{
	char *path = path_of(name);

	ck_assert_int_eq(g_unlink(path), 0);
	g_free(path);
}

static void
remove_folder(void)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL)
		remove_name(name);
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(folder);
}

static void
setup(void)
{
	char *parent = g_dir_make_tmp("chervilhold-wal-XXXXXX", NULL);

	folder = g_build_filename(parent, "data", NULL);
	g_free(parent);
	restored = g_array_new(FALSE, FALSE, sizeof(restored_t));
	wal_segment_bytes = 8 * 1024 * 1024;
	log_set_level(LOG_ERR);
}

static void
teardown(void)
{
	char *parent = g_path_get_dirname(folder);

	remove_folder();
	g_rmdir(parent);
	g_free(parent);
	g_free(folder);
	g_array_unref(restored);
	xdr_free((xdrproc_t)xdr_raft_members_t, &saved.members);
}

/* Guards against losing synced entries, the vote or the identity. */
START_TEST(state_survives_restart)
{
	wal_t *wal = open_or_fail();
	uint64_t disk_id = wal_disk_id(wal);

	ck_assert_uint_ne(disk_id, 0);
	ck_assert_uint_eq(saved.term, 0);
	fill(wal, 1, 5, 2);
	ck_assert_int_eq(wal_save_vote(wal, 3, "i2", &error), 0);
	wal_close(wal);
	wal = open_or_fail();
	expect_entries(1, 5, 2);
	ck_assert_uint_eq(saved.disk_id, disk_id);
	ck_assert_uint_eq(saved.term, 3);
	ck_assert_str_eq(saved.vote, "i2");
	wal_close(wal);
}
END_TEST

/* Guards against two processes that write one folder. */
START_TEST(locks_folder)
{
	wal_t *wal = open_or_fail();

	ck_assert_ptr_null(reopen());
	ck_assert_int_eq(error.code, -EBUSY);
	wal_close(wal);
	wal_close(open_or_fail());
}
END_TEST

/* Guards against truncated entries that reappear after a restart. */
START_TEST(truncates)
{
	wal_t *wal = open_or_fail();
	uint64_t disk_id = wal_disk_id(wal);

	fill(wal, 1, 9, 1);
	ck_assert_int_eq(wal_save_vote(wal, 1, "", &error), 0);
	ck_assert_int_eq(wal_truncate(wal, 4, &error), 0);
	ck_assert_int_eq(wal_save_vote(wal, 2, "", &error), 0);
	ck_assert_int_eq(append(wal, 5, 2), -EINVAL);
	ck_assert_int_eq(append(wal, 4, 1), 0);
	ck_assert_int_eq(wal_sync(wal, &error), 0);
	wal_close(wal);
	wal = open_or_fail();
	expect_entries(1, 4, 1);
	/* The truncation must not be taken for a loss of entries. */
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	wal_close(wal);
}
END_TEST

/*
 * Guards against a torn tail that keeps the replica from starting or loses
 * synced entries: the last record is truncated or zeroed from every byte on.
 */
START_TEST(torn_tail)
{
	wal_t *wal = open_or_fail();
	GByteArray *before;
	GByteArray *after;

	fill(wal, 1, 3, 1);
	before = read_all(FIRST_SEGMENT);
	fill(wal, 4, 4, 1);
	after = read_all(FIRST_SEGMENT);
	wal_close(wal);
	for (guint len = before->len; len < after->len; len++) {
		write_all(FIRST_SEGMENT, after->data, len);
		wal = open_or_fail();
		expect_entries(1, 3, 1);
		fill(wal, 4, 4, 1);
		wal_close(wal);
		wal_close(open_or_fail());
		expect_entries(1, 4, 1);
	}
	for (guint len = before->len; len < after->len - 4; len++) {
		GByteArray *zeroed = g_byte_array_new();

		g_byte_array_append(zeroed, after->data, len);
		g_byte_array_set_size(zeroed, after->len);
		memset(zeroed->data + len, 0, after->len - len);
		write_all(FIRST_SEGMENT, zeroed->data, zeroed->len);
		g_byte_array_unref(zeroed);
		wal_close(open_or_fail());
		expect_entries(1, 3, 1);
	}
	g_byte_array_unref(before);
	g_byte_array_unref(after);
}
END_TEST

/*
 * Guards against corruption that is taken for a torn tail: each byte of the
 * segment is changed in turn, the last record included.
 */
START_TEST(flipped_byte)
{
	wal_t *wal = open_or_fail();
	GByteArray *good;

	fill(wal, 1, 4, 1);
	good = read_all(FIRST_SEGMENT);
	wal_close(wal);
	for (guint i = 0; i < good->len; i++) {
		good->data[i] ^= 0x40;
		write_all(FIRST_SEGMENT, good->data, good->len);
		good->data[i] ^= 0x40;
		ck_assert_msg(reopen() == NULL, "byte %u", i);
		ck_assert_int_eq(error.code, -EBADMSG);
		ck_assert_ptr_nonnull(strstr(error.text, FIRST_SEGMENT));
		ck_assert_ptr_nonnull(strstr(error.text, "offset"));
	}
	write_all(FIRST_SEGMENT, good->data, good->len);
	wal_close(open_or_fail());
	expect_entries(1, 4, 1);
	g_byte_array_unref(good);
}
END_TEST

/* Guards against accepting a duplicated record or one of another log. */
START_TEST(broken_chain)
{
	wal_t *wal = open_or_fail();
	GByteArray *one;
	GByteArray *two;
	guint record_len;

	fill(wal, 1, 1, 1);
	one = read_all(FIRST_SEGMENT);
	fill(wal, 2, 2, 1);
	two = read_all(FIRST_SEGMENT);
	wal_close(wal);
	/* Reserved first, because appending moves the source. */
	record_len = two->len - one->len;
	g_byte_array_set_size(two, two->len + record_len);
	memcpy(two->data + two->len - record_len, two->data + one->len,
	    record_len);
	write_all(FIRST_SEGMENT, two->data, two->len);
	ck_assert_ptr_null(reopen());
	ck_assert_int_eq(error.code, -EBADMSG);
	g_byte_array_unref(one);
	g_byte_array_unref(two);
}
END_TEST

/* Guards against a gap in the log: a first or middle segment missing. */
START_TEST(missing_segment)
{
	wal_t *wal;

	wal_segment_bytes = 300;
	wal = open_or_fail();
	fill(wal, 1, 20, 1);
	wal_close(wal);
	wal_close(open_or_fail());
	expect_entries(1, 20, 1);
	remove_name("log-000000000003");
	ck_assert_ptr_null(reopen());
	ck_assert_int_eq(error.code, -EBADMSG);
	ck_assert_ptr_nonnull(strstr(error.text, "log-000000000004"));
	remove_name("log-000000000001");
	remove_name("log-000000000002");
	ck_assert_ptr_null(reopen());
	ck_assert_int_eq(error.code, -EBADMSG);
}
END_TEST

/*
 * Guards against votes after a loss of synced data: without the newest segment,
 * a part of it, the vote or the identity, the folder gets another disk id.
 */
START_TEST(lost_synced_data)
{
	static const char *const lost[] = {
	    "newest segment", "synced entries", "vote", "identity"};
	const char *what = lost[_i];
	wal_t *wal;
	uint64_t disk_id;
	GByteArray *bytes;
	char *newest;

	wal_segment_bytes = 300;
	wal = open_or_fail();
	disk_id = wal_disk_id(wal);
	ck_assert_int_eq(wal_save_vote(wal, 4, "i3", &error), 0);
	fill(wal, 1, 20, 1);
	/* The vote file records the synced index only when it is written. */
	if (strcmp(what, "synced entries") == 0)
		ck_assert_int_eq(wal_save_vote(wal, 5, "i3", &error), 0);
	newest = wal_segment_name(wal->vote.newest_segment);
	wal_close(wal);
	if (strcmp(what, "newest segment") == 0) {
		remove_name(newest);
	} else if (strcmp(what, "synced entries") == 0) {
		bytes = read_all(newest);
		ck_assert_uint_gt(bytes->len, sizeof(wal_segment_header_t));
		write_all(newest, bytes->data, sizeof(wal_segment_header_t));
		g_byte_array_unref(bytes);
	} else {
		remove_name(what);
	}
	g_free(newest);
	wal = open_or_fail();
	ck_assert_uint_ne(wal_disk_id(wal), disk_id);
	disk_id = wal_disk_id(wal);
	wal_close(wal);
	/* The new identity is kept. */
	wal = open_or_fail();
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	fill(wal, restored->len + 1, restored->len + 1, 1);
	wal_close(wal);
}
END_TEST

/* Guards against reading a damaged vote, identity or snapshot file as valid. */
START_TEST(damaged_file)
{
	static const char *const names[] = {"vote", "identity", "snapshot"};
	const char *name = names[_i];
	const uint8_t state[] = "state";
	raft_members_t members = {0};
	wal_t *wal = open_or_fail();
	GByteArray *good;

	fill(wal, 1, 4, 1);
	ck_assert_int_eq(wal_save_vote(wal, 4, "i3", &error), 0);
	ck_assert_int_eq(wal_save_snapshot(
			     wal, 2, 1, &members, state, sizeof(state), &error),
	    0);
	wal_close(wal);
	good = read_all(name);
	for (guint i = 0; i < good->len; i++) {
		good->data[i] ^= 1;
		write_all(name, good->data, good->len);
		good->data[i] ^= 1;
		ck_assert_ptr_null(reopen());
		ck_assert_int_eq(error.code, -EBADMSG);
		ck_assert_ptr_nonnull(strstr(error.text, name));
	}
	write_all(name, good->data, good->len / 2);
	ck_assert_ptr_null(reopen());
	write_all(name, good->data, good->len);
	wal_close(open_or_fail());
	g_byte_array_unref(good);
}
END_TEST

/* Guards against a lost snapshot that leaves a gap before the log. */
START_TEST(missing_snapshot)
{
	raft_members_t members = {0};
	wal_t *wal = open_or_fail();

	ck_assert_int_eq(
	    wal_save_snapshot(wal, 10, 2, &members, NULL, 0, &error), 0);
	fill(wal, 11, 12, 2);
	wal_close(wal);
	remove_name("snapshot");
	ck_assert_ptr_null(reopen());
	ck_assert_int_eq(error.code, -EBADMSG);
}
END_TEST

/* Guards against a log that grows without bound or loses its end. */
START_TEST(snapshot_bounds_log)
{
	raft_member_t member = {"i1", MEMBER_VOTER, 7};
	raft_members_t members = {{1, &member}};
	raft_members_t read;
	GByteArray *data = g_byte_array_new();
	uint64_t index;
	uint64_t term;
	wal_t *wal;

	wal_segment_bytes = 2000;
	wal = open_or_fail();
	for (uint64_t i = 1; i <= 1000; i += 100) {
		fill(wal, i, i + 99, 1);
		ck_assert_int_eq(wal_save_snapshot(wal, i + 89, 1, &members,
				     (const uint8_t *)&i, sizeof(i), &error),
		    0);
		ck_assert_uint_lt(wal_size(wal), 8000);
	}
	wal_close(wal);
	wal = open_or_fail();
	expect_entries(991, 1000, 1);
	ck_assert_uint_eq(saved.snapshot_index, 990);
	ck_assert_uint_eq(saved.snapshot_term, 1);
	ck_assert_uint_eq(saved.members.members.members_len, 1);
	ck_assert_uint_eq(saved.members.members.members_val[0].disk_id, 7);
	ck_assert_int_eq(
	    wal_load_snapshot(wal, &index, &term, &read, data, &error), 0);
	ck_assert_uint_eq(index, 990);
	ck_assert_uint_eq(data->len, sizeof(uint64_t));
	ck_assert_uint_eq(*(uint64_t *)(void *)data->data, 901);
	xdr_free((xdrproc_t)xdr_raft_members_t, &read);
	fill(wal, 1001, 1002, 1);
	wal_close(wal);
	wal_close(open_or_fail());
	expect_entries(991, 1002, 1);
	g_byte_array_unref(data);
}
END_TEST

static int writes_left;

static ssize_t
limited_write(int fd, const void *data, size_t len)
{
	if (writes_left-- > 0)
		return write(fd, data, len);
	/* A disk that fills up accepts a part of the data first. */
	if (writes_left == -1 && len > 1)
		return write(fd, data, len / 2);
	errno = ENOSPC;
	return -1;
}

/*
 * Guards against keeping entries of a conflicting log after a received
 * snapshot, and against taking the shorter log for a loss: a crash at any write
 * leaves the old log or the snapshot, with the same disk id.
 */
START_TEST(snapshot_replaces_log)
{
	raft_members_t members = {0};
	wal_t *wal = open_or_fail();
	uint64_t disk_id = wal_disk_id(wal);
	int code;

	fill(wal, 1, 9, 1);
	ck_assert_int_eq(wal_save_vote(wal, 1, "", &error), 0);
	writes_left = _i;
	wal_ops.write = limited_write;
	code = wal_save_snapshot(wal, 5, 2, &members, NULL, 0, &error);
	wal_ops.write = write;
	ck_assert_int_eq(code, _i < 5 ? -ENOSPC : 0);
	wal_close(wal);
	wal = open_or_fail();
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	if (saved.snapshot_index == 0) {
		ck_assert_int_lt(_i, 5);
		expect_entries(1, 9, 1);
		fill(wal, 10, 11, 1);
		wal_close(wal);
		wal = open_or_fail();
		expect_entries(1, 11, 1);
	} else {
		ck_assert_uint_eq(saved.snapshot_index, 5);
		ck_assert_uint_eq(restored->len, 0);
		fill(wal, 6, 7, 2);
		wal_close(wal);
		wal = open_or_fail();
		expect_entries(6, 7, 2);
	}
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	wal_close(wal);
}
END_TEST

/* Guards against entries lost when a compaction is interrupted. */
START_TEST(interrupted_compaction)
{
	raft_members_t members = {0};
	wal_t *wal;
	uint64_t disk_id;

	wal_segment_bytes = 300;
	wal = open_or_fail();
	disk_id = wal_disk_id(wal);
	fill(wal, 1, 18, 1);
	/* An entry and a truncation that are still buffered. */
	ck_assert_int_eq(append(wal, 19, 1), 0);
	ck_assert_int_eq(wal_truncate(wal, 18, &error), 0);
	writes_left = _i;
	wal_ops.write = limited_write;
	wal_save_snapshot(wal, 17, 1, &members, NULL, 0, &error);
	wal_ops.write = write;
	wal_close(wal);
	wal = open_or_fail();
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	if (saved.snapshot_index == 0) {
		expect_entries(1, 18, 1);
	} else {
		ck_assert_uint_eq(saved.snapshot_index, 17);
		expect_entries(18, 18, 1);
	}
	fill(wal, 19, 20, 1);
	wal_close(wal);
	wal = open_or_fail();
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	expect_entries(saved.snapshot_index + 1, 20, 1);
	wal_close(wal);
}
END_TEST

static ssize_t
refused_write(int fd, const void *data, size_t len)
{
	errno = EMFILE;
	return -1;
}

/*
 * Load pattern: a leader with connections to thousands of workers takes a
 * snapshot.  Guards against a log that is given up because no descriptor was
 * free for the snapshot.
 */
START_TEST(snapshot_without_descriptors)
{
	wal_t *wal = open_or_fail();
	raft_members_t members = {0};

	fill(wal, 1, 9, 1);
	wal_ops.write = refused_write;
	ck_assert_int_eq(wal_save_snapshot(wal, 5, 1, &members,
			     (const uint8_t *)"state", 5, &error),
	    -EAGAIN);
	wal_ops.write = write;
	fill(wal, 10, 12, 1);
	ck_assert_int_eq(wal_save_snapshot(wal, 11, 1, &members,
			     (const uint8_t *)"state", 5, &error),
	    0);
	fill(wal, 13, 14, 1);
	wal_close(wal);
	wal = open_or_fail();
	ck_assert_uint_eq(saved.snapshot_index, 11);
	expect_entries(12, 14, 1);
	wal_close(wal);
}
END_TEST

/*
 * Guards against ignoring a full disk, losing synced entries to it, and staying
 * unusable once there is room again.
 */
START_TEST(full_disk)
{
	uint64_t refused = 4 + (uint64_t)_i;
	wal_t *wal = open_or_fail();

	fill(wal, 1, 3, 1);
	writes_left = _i;
	wal_ops.write = limited_write;
	fill(wal, 4, refused - 1, 1);
	ck_assert_int_eq(append(wal, refused, 1), 0);
	ck_assert_int_eq(wal_sync(wal, &error), -ENOSPC);
	/* No request is reported as durable while there is no room. */
	ck_assert_int_eq(wal_sync(wal, &error), -ENOSPC);
	ck_assert_int_eq(wal_save_vote(wal, 9, "", &error), -ENOSPC);
	wal_ops.write = write;
	if (_i < 2) {
		ck_assert_int_eq(wal_sync(wal, &error), 0);
		fill(wal, refused + 1, 9, 1);
		wal_close(wal);
		wal = open_or_fail();
	} else {
		wal_close(wal);
		wal = open_or_fail();
		expect_entries(1, refused - 1, 1);
		fill(wal, refused, 9, 1);
		wal_close(wal);
		wal = open_or_fail();
	}
	expect_entries(1, 9, 1);
	wal_close(wal);
}
END_TEST

static off_t synced_bytes;

/* As after a kernel's failed write-back: the data is gone, the pages clean. */
static int
sync_that_drops(int fd)
{
	off_t size = lseek(fd, 0, SEEK_END);

	ck_assert_int_eq(ftruncate(fd, synced_bytes), 0);
	ck_assert_int_eq(ftruncate(fd, size), 0);
	errno = EIO;
	return -1;
}

/*
 * Guards against a sync that is tried again after it failed, without what the
 * kernel has dropped: the record must be written again.
 */
START_TEST(failed_sync)
{
	wal_t *wal = open_or_fail();
	GByteArray *before;

	fill(wal, 1, 3, 1);
	before = read_all(FIRST_SEGMENT);
	synced_bytes = (off_t)before->len;
	g_byte_array_unref(before);
	ck_assert_int_eq(append(wal, 4, 1), 0);
	wal_ops.sync = sync_that_drops;
	ck_assert_int_eq(wal_sync(wal, &error), -EIO);
	ck_assert_int_eq(wal_sync(wal, &error), -EIO);
	wal_ops.sync = fdatasync;
	ck_assert_int_eq(wal_sync(wal, &error), 0);
	fill(wal, 5, 6, 1);
	wal_close(wal);
	wal = open_or_fail();
	expect_entries(1, 6, 1);
	wal_close(wal);
}
END_TEST

static wal_ops_t real_ops;
/* Calls left until one is refused, for calls of all kinds; -1 for no limit. */
static int calls_left = -1;

static bool
is_refused(void)
{
	errno = ENOSPC;
	return calls_left >= 0 && calls_left-- == 0;
}

static int
counted_create(int folder_fd, const char *name)
{
	return is_refused() ? -1 : real_ops.create(folder_fd, name);
}

static int
counted_rename(int folder_fd, const char *from, const char *to)
{
	return is_refused() ? -1 : real_ops.rename(folder_fd, from, to);
}

static ssize_t
counted_write(int fd, const void *data, size_t len)
{
	return is_refused() ? -1 : write(fd, data, len);
}

static int
counted_sync(int fd)
{
	return is_refused() ? -1 : fdatasync(fd);
}

static int
counted_sync_folder(int fd)
{
	return is_refused() ? -1 : fsync(fd);
}

typedef int change_t(wal_t *wal);

static int
change_append(wal_t *wal)
{
	/* Tried again, the entry is in the buffer already. */
	if (wal_last_index(wal) == 9)
		ck_assert_int_eq(append(wal, 10, 1), 0);
	return wal_sync(wal, &error);
}

static int
change_truncate(wal_t *wal)
{
	int code = wal_truncate(wal, 9, &error);

	return code < 0 ? code : wal_sync(wal, &error);
}

static int
change_vote(wal_t *wal)
{
	return wal_save_vote(wal, 7, "b", &error);
}

static int
change_own_snapshot(wal_t *wal)
{
	raft_members_t members = {0};

	return wal_save_snapshot(wal, 8, 1, &members, NULL, 0, &error);
}

static int
change_received_snapshot(wal_t *wal)
{
	raft_members_t members = {0};

	return wal_save_snapshot(wal, 20, 3, &members, NULL, 0, &error);
}

static const struct {
	change_t *change;
	uint64_t first; /* entry after the change */
	uint64_t last;
} changes[] = {
    {change_append, 1, 10},
    {change_truncate, 1, 8},
    {change_vote, 1, 9},
    {change_own_snapshot, 9, 9},
    {change_received_snapshot, 21, 20},
};

#define MAX_CALLS 16

/*
 * Guards against a request that cannot be tried again after any one call of it
 * was refused: each is tried until it succeeds, and must leave the same folder
 * as if nothing had been refused.
 */
START_TEST(refused_calls)
{
	int kind = _i / MAX_CALLS;
	int refused = _i % MAX_CALLS;
	uint64_t last = changes[kind].last;
	bool was_refused = false;
	wal_t *wal;
	uint64_t disk_id;

	wal_segment_bytes = 700;
	wal = open_or_fail();
	disk_id = wal_disk_id(wal);
	fill(wal, 1, 9, 1);
	ck_assert_int_eq(wal_save_vote(wal, 1, "a", &error), 0);
	real_ops = wal_ops;
	wal_ops = (wal_ops_t){counted_create, counted_rename, counted_write,
	    counted_sync, counted_sync_folder};
	for (int i = 0; i < 3; i++) {
		calls_left = refused;
		if (changes[kind].change(wal) == 0)
			break;
		was_refused = true;
	}
	ck_assert(was_refused || refused > 0);
	calls_left = -1;
	ck_assert_int_eq(changes[kind].change(wal), 0);
	/* Before any later write makes up for one that is missing. */
	wal_close(wal);
	wal = open_or_fail();
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	ck_assert_uint_eq(restored->len, last + 1 - changes[kind].first);
	fill(wal, last + 1, last + 2, 3);
	ck_assert_int_eq(wal_save_vote(wal, 7, "b", &error), 0);
	wal_ops = real_ops;
	wal_close(wal);
	wal = open_or_fail();
	ck_assert_uint_eq(wal_disk_id(wal), disk_id);
	ck_assert_uint_eq(saved.term, 7);
	ck_assert_str_eq(saved.vote, "b");
	ck_assert_uint_eq(restored->len, last + 3 - changes[kind].first);
	ck_assert_uint_eq(
	    g_array_index(restored, restored_t, 0).index, changes[kind].first);
	wal_close(wal);
}
END_TEST

/* Guards against a crash during creation that leaves an unusable folder. */
START_TEST(full_disk_at_creation)
{
	wal_t *wal;

	writes_left = _i;
	wal_ops.write = limited_write;
	wal = reopen();
	wal_ops.write = write;
	if (wal == NULL)
		ck_assert_int_eq(error.code, -ENOSPC);
	else
		wal_close(wal);
	wal = open_or_fail();
	fill(wal, 1, 2, 1);
	wal_close(wal);
	wal_close(open_or_fail());
	expect_entries(1, 2, 1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("wal");
	TCase *tcase = tcase_create("wal");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, state_survives_restart);
	tcase_add_test(tcase, locks_folder);
	tcase_add_test(tcase, truncates);
	tcase_add_test(tcase, torn_tail);
	tcase_add_test(tcase, flipped_byte);
	tcase_add_test(tcase, broken_chain);
	tcase_add_test(tcase, missing_segment);
	tcase_add_loop_test(tcase, lost_synced_data, 0, 4);
	tcase_add_loop_test(tcase, damaged_file, 0, 3);
	tcase_add_test(tcase, missing_snapshot);
	tcase_add_test(tcase, snapshot_bounds_log);
	tcase_add_loop_test(tcase, snapshot_replaces_log, 0, 7);
	tcase_add_loop_test(tcase, interrupted_compaction, 0, 7);
	tcase_add_test(tcase, snapshot_without_descriptors);
	tcase_add_loop_test(tcase, full_disk, 0, 3);
	tcase_add_test(tcase, failed_sync);
	tcase_add_loop_test(
	    tcase, refused_calls, 0, G_N_ELEMENTS(changes) * MAX_CALLS);
	tcase_add_loop_test(tcase, full_disk_at_creation, 0, 10);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
