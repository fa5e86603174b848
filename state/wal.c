#include "state/wal_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/log.h"

/*
 * A snapshot starts a new segment when the newest one exceeds this fraction of
 * wal_segment_bytes.
 */
#define ROTATE_FRACTION 8

static int
create_folder(const char *folder, err_t *err)
{
	char *parent;
	int code = 0;
	int fd;

	if (mkdir(folder, 0700) < 0)
		return errno == EEXIST
			   ? 0
			   : err_set(err, -errno, "create folder", NULL,
				 "%s: %s", folder, strerror(errno));
	parent = g_path_get_dirname(folder);
	fd = open(parent, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0 || wal_ops.sync_folder(fd) < 0)
		code = err_set(err, -errno, "sync folder", NULL, "%s: %s",
		    parent, strerror(errno));
	if (fd >= 0)
		close(fd);
	g_free(parent);
	return code;
}

static int
lock_folder(wal_t *wal, err_t *err)
{
	wal->folder_fd = open(wal->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (wal->folder_fd < 0)
		return err_set(err, -errno, "open", NULL, "%s: %s", wal->folder,
		    strerror(errno));
	wal->lock_fd =
	    openat(wal->folder_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (wal->lock_fd < 0)
		return err_set(err, -errno, "open", NULL, "%s/lock: %s",
		    wal->folder, strerror(errno));
	if (flock(wal->lock_fd, LOCK_EX | LOCK_NB) < 0)
		return err_set(err, errno == EWOULDBLOCK ? -EBUSY : -errno,
		    "lock", NULL, "%s: in use by another process", wal->folder);
	return 0;
}

/*
 * Whether data that was synced is missing from the folder.  The vote file
 * records the newest segment when one is created and the last synced index
 * whenever it is written, which costs no extra sync.  Two losses go undetected:
 * entries at the end of the newest segment that were synced after the last such
 * write, and the replacement of the whole folder by an older copy of it.
 */
static bool
is_outdated(const wal_t *wal, const wal_log_t *log, bool has_vote)
{
	uint64_t newest = 0;

	if (!has_vote) {
		log_line(LOG_WARNING, "%s/vote: missing", wal->folder);
		return true;
	}
	if (wal->segments->len > 0)
		newest = g_array_index(
		    wal->segments, wal_segment_info_t, wal->segments->len - 1)
			     .sequence;
	if (newest < wal->vote.newest_segment) {
		log_line(LOG_WARNING, "%s: log segment %" PRIu64 " is missing",
		    wal->folder, wal->vote.newest_segment);
		return true;
	}
	if (log->last_index < wal->vote.synced_index) {
		log_line(LOG_WARNING,
		    "%s: log ends at index %" PRIu64 ", synced up to %" PRIu64,
		    wal->folder, log->last_index, wal->vote.synced_index);
		return true;
	}
	return false;
}

/*
 * Drops the entries that the snapshot covers.  A log that ends before the
 * snapshot or has another term at its index is discarded: the process crashed
 * after it saved a snapshot from the leader and before it removed the log.
 */
static int
drop_covered_entries(wal_t *wal, wal_log_t *log, err_t *err)
{
	uint64_t index = wal->snapshot_index;
	uint64_t term = wal->snapshot_term;
	bool log_matches = log->last_index >= index;

	if (log->first_index > index + 1)
		return err_set(err, -EBADMSG, "read snapshot", NULL,
		    "%s/snapshot: the log starts at %" PRIu64
		    ", after the snapshot at %" PRIu64,
		    wal->folder, log->first_index, index);
	if (log_matches && log->first_index <= index)
		term = ((raft_entry_t *)g_ptr_array_index(
			    log->entries, index - log->first_index))
			   ->term;
	else if (log_matches)
		term = log->start_term;
	log_matches = log_matches && (index == 0 || term == wal->snapshot_term);
	wal_log_drop(log, log_matches ? index : log->last_index);
	log->first_index = index + 1;
	if (log_matches && wal->fd >= 0) {
		wal->written_index = log->last_index;
		wal->written_term = log->last_term;
		return 0;
	}
	log->last_index = index;
	log->last_term = wal->snapshot_term;
	return wal_segment_create(wal, true, index, wal->snapshot_term, err);
}

static int
load_folder(wal_t *wal, raft_saved_t *saved, wal_log_t *log, err_t *err)
{
	bool has_identity;
	bool has_vote;
	bool outdated = false;
	int code = wal_read_identity(wal, err);

	if (code < 0 && code != -ENOENT)
		return code;
	has_identity = code == 0;
	code = wal_read_vote(wal, err);
	if (code < 0 && code != -ENOENT)
		return code;
	has_vote = code == 0;
	code = wal_read_snapshot(wal, &wal->snapshot_index, &wal->snapshot_term,
	    &saved->members, NULL, err);
	if (code == 0)
		code = wal_replay(wal, log, err);
	if (code == 0 && has_identity)
		outdated = is_outdated(wal, log, has_vote);
	/* Before wal_write_vote below overwrites the evidence of the loss. */
	if (code == 0 && outdated)
		code = wal_write_identity(wal, err);
	if (code == 0)
		code = drop_covered_entries(wal, log, err);
	if (code == 0 && (!has_vote || outdated)) {
		wal->vote.newest_segment = g_array_index(
		    wal->segments, wal_segment_info_t, wal->segments->len - 1)
					       .sequence;
		wal->vote.synced_index = log->last_index;
		code = wal_write_vote(wal, err);
	}
	/* Last, so that a folder with an identity has all other files. */
	if (code == 0 && !has_identity)
		code = wal_write_identity(wal, err);
	if (code == 0 && outdated)
		log_line(LOG_WARNING,
		    "%s: synced data is missing; the folder has the new disk "
		    "id %016" PRIx64 " and must be added again",
		    wal->folder, wal->disk_id);
	return code;
}

static void
restore_entries(wal_t *wal, raft_saved_t *saved, const wal_log_t *log,
    wal_entry_t *restore, void *ctx)
{
	saved->disk_id = wal->disk_id;
	saved->term = wal->vote.term;
	g_strlcpy(saved->vote, wal->vote.vote, sizeof(saved->vote));
	saved->snapshot_index = wal->snapshot_index;
	saved->snapshot_term = wal->snapshot_term;
	wal->first_index = log->first_index;
	for (guint i = 0; log->entries != NULL && i < log->entries->len; i++) {
		const raft_entry_t *entry = g_ptr_array_index(log->entries, i);
		uint64_t term = entry->term;

		g_array_append_val(wal->terms, term);
		restore(ctx, entry);
	}
}

/*
 * Opens a data folder, creating it when it is missing, and locks it.  Fills
 * *saved, then calls restore for each entry after the snapshot.  The caller
 * frees saved->members with xdr_free.  A folder without identity, or one that
 * lacks data that was synced, gets a new disk id.  -EBUSY: another process uses
 * the folder; -EBADMSG: a file is corrupt, err names it and the offset.
 */
wal_t *
wal_open(const char *folder, raft_saved_t *saved, wal_entry_t *restore,
    void *ctx, err_t *err)
{
	wal_t *wal = g_new0(wal_t, 1);
	wal_log_t log = {0};
	int code;

	memset(saved, 0, sizeof(*saved));
	wal->folder = g_strdup(folder);
	wal->folder_fd = -1;
	wal->lock_fd = -1;
	wal->fd = -1;
	wal->synced_index_limit = UINT64_MAX;
	wal->segments = g_array_new(FALSE, TRUE, sizeof(wal_segment_info_t));
	wal->terms = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	wal->buffer = g_byte_array_new();
	code = create_folder(folder, err);
	if (code == 0)
		code = lock_folder(wal, err);
	if (code == 0)
		code = load_folder(wal, saved, &log, err);
	if (code < 0) {
		xdr_free((xdrproc_t)xdr_raft_members_t, &saved->members);
		memset(saved, 0, sizeof(*saved));
		wal_close(wal);
		wal = NULL;
	} else {
		if (err != NULL)
			memset(err, 0, sizeof(*err));
		restore_entries(wal, saved, &log, restore, ctx);
	}
	wal_log_clear(&log);
	return wal;
}

/* Closes the folder; entries that were not synced are lost. */
void
wal_close(wal_t *wal)
{
	if (wal == NULL)
		return;
	if (wal->fd >= 0)
		close(wal->fd);
	if (wal->lock_fd >= 0)
		close(wal->lock_fd);
	if (wal->folder_fd >= 0)
		close(wal->folder_fd);
	g_array_unref(wal->segments);
	g_array_unref(wal->terms);
	g_byte_array_unref(wal->buffer);
	g_free(wal->folder);
	g_free(wal);
}

/* Makes term and vote durable before it returns. */
int
wal_save_vote(wal_t *wal, uint64_t term, const char *vote, err_t *err)
{
	int code;

	if (strlen(vote) > NAME_MAX_LEN)
		return err_set(err, -EINVAL, "vote", NULL, "name is too long");
	code = wal_repair(wal, err);
	if (code < 0)
		return code;
	wal->vote.term = term;
	memset(wal->vote.vote, 0, sizeof(wal->vote.vote));
	g_strlcpy(wal->vote.vote, vote, sizeof(wal->vote.vote));
	wal->vote.synced_index =
	    MIN(wal->written_index, wal->synced_index_limit);
	return wal_write_vote(wal, err);
}

/* Adds an entry after the last one; durable after wal_sync. */
int
wal_append(wal_t *wal, const raft_entry_t *entry, err_t *err)
{
	uint64_t term = entry->term;
	int code = 0;

	if (entry->index != wal_last_index(wal) + 1)
		return err_set(err, -EINVAL, "append", NULL,
		    "entry %" PRIu64 " does not follow %" PRIu64,
		    (uint64_t)entry->index, wal_last_index(wal));
	if (wal->buffer->len >= WAL_BUFFER_BYTES)
		code = wal_sync(wal, err);
	if (code < 0)
		return code;
	wal_encode_entry(wal->buffer, entry);
	g_array_append_val(wal->terms, term);
	return 0;
}

/* Drops the entries from from_index on; durable after wal_sync. */
int
wal_truncate(wal_t *wal, uint64_t from_index, err_t *err)
{
	int code;

	if (from_index > wal_last_index(wal))
		return 0;
	if (from_index < wal->first_index)
		return err_set(err, -EINVAL, "truncate", NULL,
		    "entry %" PRIu64 " is covered by the snapshot", from_index);
	code = wal_repair(wal, err);
	if (code == 0 && from_index <= wal->vote.synced_index) {
		wal->vote.synced_index = from_index - 1;
		code = wal_write_vote(wal, err);
	}
	if (code < 0)
		return code;
	wal->synced_index_limit = MIN(wal->synced_index_limit, from_index - 1);
	wal_encode_truncation(wal->buffer, from_index);
	g_array_set_size(wal->terms, (guint)(from_index - wal->first_index));
	return 0;
}

/* Makes everything appended and truncated durable. */
int
wal_sync(wal_t *wal, err_t *err)
{
	int code = wal_repair(wal, err);

	return code < 0 ? code : wal_segment_write(wal, err);
}

/* Removes the segments whose entries are all in the snapshot. */
static void
remove_covered(wal_t *wal)
{
	uint64_t keep_from = 0;

	for (guint i = 0; i < wal->segments->len; i++) {
		const wal_segment_info_t *info =
		    &g_array_index(wal->segments, wal_segment_info_t, i);

		if (info->start_index <= wal->snapshot_index)
			keep_from = info->sequence;
	}
	wal_segments_remove(wal, keep_from);
}

/* Drops the entries up to a snapshot whose last entry is in the log. */
static int
compact_log(wal_t *wal, err_t *err)
{
	uint64_t drop =
	    MIN(wal->snapshot_index + 1 - wal->first_index, wal->terms->len);
	const wal_segment_info_t *newest = &g_array_index(
	    wal->segments, wal_segment_info_t, wal->segments->len - 1);

	if (drop > 0)
		g_array_remove_range(wal->terms, 0, (guint)drop);
	wal->first_index = wal->snapshot_index + 1;
	if (newest->size <= wal_segment_bytes / ROTATE_FRACTION)
		return 0;
	return wal_segment_create(
	    wal, false, wal->written_index, wal->written_term, err);
}

/* Discards the log, which conflicts with the snapshot or ends before it. */
static int
discard_log(wal_t *wal, err_t *err)
{
	g_byte_array_set_size(wal->buffer, 0);
	wal->synced_index_limit = UINT64_MAX;
	g_array_set_size(wal->terms, 0);
	wal->first_index = wal->snapshot_index + 1;
	return wal_segment_create(
	    wal, true, wal->snapshot_index, wal->snapshot_term, err);
}

/* Writes the snapshot file and drops the entries that it covers. */
static int
replace_snapshot(wal_t *wal, bool in_log, uint64_t index, uint64_t term,
    const raft_members_t *members, const uint8_t *data, size_t len, err_t *err)
{
	int code = 0;

	/*
	 * Lowered before the log gets shorter: a crash in between must not
	 * look like a loss.
	 */
	if (!in_log && index < wal->vote.synced_index) {
		wal->vote.synced_index = index;
		code = wal_write_vote(wal, err);
	}
	if (code == 0)
		code = wal_write_snapshot(
		    wal, index, term, members, data, len, err);
	if (code < 0)
		return in_log ? -EAGAIN : code;
	wal->snapshot_index = index;
	wal->snapshot_term = term;
	return in_log ? compact_log(wal, err) : discard_log(wal, err);
}

/*
 * Replaces the snapshot, durably before it returns, and removes the entries
 * that it covers.  If the log does not contain the snapshot's last entry, as
 * with a snapshot received from the leader, the whole log is discarded.
 *
 * Returns -EAGAIN if a snapshot whose entries are in the log cannot be written:
 * the log is as before and stays usable.
 */
int
wal_save_snapshot(wal_t *wal, uint64_t index, uint64_t term,
    const raft_members_t *members, const uint8_t *data, size_t len, err_t *err)
{
	uint64_t own_term = 0;
	bool in_log = wal_term_at(wal, index, &own_term) && own_term == term;
	bool written =
	    index == wal->snapshot_index && term == wal->snapshot_term;
	int code;

	if (index <= wal->snapshot_index && !written)
		return err_set(err, -EINVAL, "snapshot", NULL,
		    "index %" PRIu64 " is not after %" PRIu64, index,
		    wal->snapshot_index);
	code = wal_repair(wal, err);
	if (code == 0 && !written)
		code = replace_snapshot(
		    wal, in_log, index, term, members, data, len, err);
	if (code == 0)
		remove_covered(wal);
	return code;
}

/* Reads the snapshot back; *index is 0 when there is none. */
int
wal_load_snapshot(wal_t *wal, uint64_t *index, uint64_t *term,
    raft_members_t *members, GByteArray *data, err_t *err)
{
	return wal_read_snapshot(wal, index, term, members, data, err);
}

uint64_t
wal_disk_id(const wal_t *wal)
{
	return wal->disk_id;
}

uint64_t
wal_size(const wal_t *wal)
{
	uint64_t size = wal->snapshot_size;

	for (guint i = 0; i < wal->segments->len; i++)
		size +=
		    g_array_index(wal->segments, wal_segment_info_t, i).size;
	return size;
}
