#include "state/wal_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "common/log.h"

/* The content of a segment file. */
typedef struct {
	char *name;
	uint8_t *data;
	gsize len;
	wal_segment_header_t header;
	bool header_valid;
} segment_file_t;

static void
free_entry(gpointer data)
{
	xdr_free((xdrproc_t)xdr_raft_entry_t, data);
	g_free(data);
}

void
wal_log_clear(wal_log_t *log)
{
	if (log->entries != NULL)
		g_ptr_array_unref(log->entries);
	memset(log, 0, sizeof(*log));
}

/* Drops the entries up to and including up_to. */
void
wal_log_drop(wal_log_t *log, uint64_t up_to)
{
	while (log->entries->len > 0 && log->first_index <= up_to) {
		uint64_t n =
		    MIN(up_to - log->first_index + 1, log->entries->len);

		g_ptr_array_remove_range(log->entries, 0, (guint)n);
		log->first_index += n;
	}
}

static void
free_segment_file(gpointer data)
{
	segment_file_t *file = data;

	g_free(file->name);
	g_free(file->data);
	g_free(file);
}

static int
corrupt_segment(wal_t *wal, const segment_file_t *file, uint64_t offset,
    const char *what, err_t *err)
{
	return err_set(err, -EBADMSG, "read log", NULL,
	    "%s/%s: offset %" PRIu64 ": %s", wal->folder, file->name, offset,
	    what);
}

/*
 * Decodes one entry and appends it to the log; returns the bytes used, 0 when
 * it is malformed or not the next entry.
 */
static size_t
read_entry(wal_log_t *log, const uint8_t *data, size_t len)
{
	raft_entry_t *entry = g_new0(raft_entry_t, 1);
	size_t used = 0;
	XDR xdr;

	xdrmem_create(&xdr, (char *)data, (u_int)len, XDR_DECODE);
	if (xdr_raft_entry_t(&xdr, entry) &&
	    entry->index == log->last_index + 1)
		used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (used == 0) {
		free_entry(entry);
		return 0;
	}
	log->last_index = entry->index;
	log->last_term = entry->term;
	g_ptr_array_add(log->entries, entry);
	return used;
}

static size_t
read_truncation(wal_log_t *log, const uint8_t *data, size_t len)
{
	uint32_t words[2];
	uint64_t from;

	if (len < sizeof(words))
		return 0;
	memcpy(words, data, sizeof(words));
	from = (uint64_t)GUINT32_FROM_BE(words[0]) << 32 |
	       GUINT32_FROM_BE(words[1]);
	if (from == 0 || from > log->last_index)
		return 0;
	if (from <= log->first_index) {
		g_ptr_array_set_size(log->entries, 0);
		if (from < log->first_index)
			log->start_term = 0;
		log->first_index = from;
	} else {
		g_ptr_array_set_size(
		    log->entries, (gint)(from - log->first_index));
	}
	log->last_index = from - 1;
	log->last_term = from == log->first_index ? log->start_term : 0;
	if (log->entries->len > 0)
		log->last_term = ((raft_entry_t *)g_ptr_array_index(
				      log->entries, log->entries->len - 1))
				     ->term;
	return sizeof(words);
}

static bool
read_items(wal_log_t *log, const uint8_t *data, size_t len)
{
	while (len > 0) {
		uint32_t kind;
		size_t used = 0;

		if (len < sizeof(kind))
			return false;
		memcpy(&kind, data, sizeof(kind));
		data += sizeof(kind);
		len -= sizeof(kind);
		if (kind == GUINT32_TO_BE(WAL_ITEM_ENTRY))
			used = read_entry(log, data, len);
		else if (kind == GUINT32_TO_BE(WAL_ITEM_TRUNCATE))
			used = read_truncation(log, data, len);
		if (used == 0 || used > len)
			return false;
		data += used;
		len -= used;
	}
	return true;
}

/* Whether a valid record starts at offset; does not check prev_header_sum. */
static bool
is_record(
    const segment_file_t *file, uint64_t offset, wal_record_header_t *record)
{
	uint32_t len;

	if (file->len - offset < sizeof(*record))
		return false;
	memcpy(record, file->data + offset, sizeof(*record));
	len = GUINT32_FROM_LE(record->len);
	return record->magic == GUINT32_TO_LE(WAL_RECORD_MAGIC) &&
	       record->header_sum ==
		   GUINT64_TO_LE(wal_record_header_sum(record)) &&
	       len >= sizeof(uint32_t) &&
	       len <= file->len - offset - sizeof(*record) &&
	       record->payload_sum ==
		   GUINT64_TO_LE(
		       XXH64(file->data + offset + sizeof(*record), len, 0));
}

static bool
is_zero(const uint8_t *data, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (data[i] != 0)
			return false;
	}
	return true;
}

/*
 * Whether the invalid bytes from offset to the end of the newest segment can be
 * an interrupted write: the file ends early, or sectors or the end were never
 * written and read as zeros.  A complete record with changed bytes is
 * corruption.  Damage to the synced last record that truncates it or overwrites
 * it with zeros cannot be told from an interrupted write.
 */
static bool
is_torn(const segment_file_t *file, uint64_t offset)
{
	const uint8_t *data = file->data;
	uint64_t left = file->len - offset;
	wal_record_header_t record;
	uint64_t at = offset;

	if (left < sizeof(record))
		return true;
	memcpy(&record, data + offset, sizeof(record));
	if (record.header_sum ==
		GUINT64_TO_LE(wal_record_header_sum(&record)) &&
	    left < sizeof(record) + GUINT32_FROM_LE(record.len))
		return true;
	while (at < file->len) {
		uint64_t end = MIN(
		    (at / WAL_SECTOR_BYTES + 1) * WAL_SECTOR_BYTES, file->len);

		if (is_zero(data + at, end - at))
			return true;
		at = end;
	}
	return is_zero(data + file->len - sizeof(uint32_t), sizeof(uint32_t));
}

/* Whether a valid record lies anywhere after offset. */
static bool
record_follows(const segment_file_t *file, uint64_t offset)
{
	wal_record_header_t record;

	for (uint64_t at = offset + 1;
	     at + sizeof(wal_record_header_t) <= file->len; at++) {
		if (is_record(file, at, &record))
			return true;
	}
	return false;
}

/* Truncates the newest segment at offset, after which nothing was synced. */
static int
truncate_tail(wal_t *wal, segment_file_t *file, uint64_t offset, err_t *err)
{
	int fd = openat(wal->folder_fd, file->name, O_RDWR | O_CLOEXEC);
	int code = 0;

	log_line(LOG_WARNING,
	    "%s/%s: incomplete record of %" PRIu64 " bytes at offset %" PRIu64
	    " removed",
	    wal->folder, file->name, (uint64_t)file->len - offset, offset);
	if (fd < 0 || ftruncate(fd, (off_t)offset) < 0 || wal_ops.sync(fd) < 0)
		code = err_set(err, -errno, "cut", NULL, "%s/%s: %s",
		    wal->folder, file->name, strerror(errno));
	if (fd >= 0)
		close(fd);
	file->len = offset;
	return code;
}

static int
read_segment(
    wal_t *wal, segment_file_t *file, bool is_last, wal_log_t *log, err_t *err)
{
	uint64_t offset = sizeof(wal_segment_header_t);

	wal->last_header_sum = GUINT64_FROM_LE(file->header.header_sum);
	while (offset < file->len) {
		wal_record_header_t record;
		size_t payload;

		if (!is_record(file, offset, &record)) {
			if (!is_last || record_follows(file, offset))
				return corrupt_segment(wal, file, offset,
				    "corrupt record before valid ones", err);
			if (!is_torn(file, offset))
				return corrupt_segment(
				    wal, file, offset, "corrupt record", err);
			return truncate_tail(wal, file, offset, err);
		}
		if (GUINT64_FROM_LE(record.prev_header_sum) !=
		    wal->last_header_sum)
			return corrupt_segment(wal, file, offset,
			    "record does not continue the previous one", err);
		wal->last_header_sum = GUINT64_FROM_LE(record.header_sum);
		payload = GUINT32_FROM_LE(record.len);
		offset += sizeof(record);
		if (!read_items(
			log, file->data + offset, payload - sizeof(uint32_t)))
			return corrupt_segment(
			    wal, file, offset, "malformed record", err);
		offset += payload;
	}
	return 0;
}

static gint
compare_segment_files(gconstpointer a, gconstpointer b)
{
	return strcmp((*(segment_file_t *const *)a)->name,
	    (*(segment_file_t *const *)b)->name);
}

/*
 * Reads all segment files, sorted by sequence; returns NULL with err set when
 * one cannot be read.
 */
static GPtrArray *
read_segment_files(wal_t *wal, err_t *err)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(free_segment_file);
	GDir *dir = g_dir_open(wal->folder, 0, NULL);
	GError *error = NULL;
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		segment_file_t *file;
		char *path;

		if (!g_str_has_prefix(name, "log-"))
			continue;
		file = g_new0(segment_file_t, 1);
		file->name = g_strdup(name);
		g_ptr_array_add(files, file);
		path = g_build_filename(wal->folder, name, NULL);
		g_file_get_contents(
		    path, (gchar **)&file->data, &file->len, &error);
		g_free(path);
		if (error != NULL)
			break;
		if (file->len < sizeof(file->header))
			continue;
		memcpy(&file->header, file->data, sizeof(file->header));
		file->header_valid =
		    file->header.magic == GUINT32_TO_LE(WAL_SEGMENT_MAGIC) &&
		    file->header.header_sum ==
			GUINT64_TO_LE(wal_segment_header_sum(&file->header));
	}
	if (dir == NULL || error != NULL) {
		err_set(err, -EIO, "read log", NULL, "%s: %s", wal->folder,
		    error != NULL ? error->message : "cannot be listed");
		g_clear_error(&error);
		g_ptr_array_unref(files);
		files = NULL;
	}
	if (dir != NULL)
		g_dir_close(dir);
	if (files != NULL)
		g_ptr_array_sort(files, compare_segment_files);
	return files;
}

/*
 * Checks the segment headers.  Removes the newest segment if its creation was
 * interrupted: its header is invalid and the vote file does not record it.
 */
static int
check_headers(wal_t *wal, GPtrArray *files, err_t *err)
{
	for (guint i = 0; i < files->len; i++) {
		segment_file_t *file = g_ptr_array_index(files, i);
		uint64_t sequence = strtoull(file->name + 4, NULL, 10);

		if (file->header_valid &&
		    GUINT64_FROM_LE(file->header.sequence) == sequence)
			continue;
		if (i + 1 < files->len || sequence <= wal->vote.newest_segment)
			return corrupt_segment(
			    wal, file, 0, "corrupt segment header", err);
		log_line(LOG_WARNING, "%s/%s: incomplete new segment removed",
		    wal->folder, file->name);
		if (unlinkat(wal->folder_fd, file->name, 0) < 0)
			return err_set(err, -errno, "remove", NULL, "%s/%s: %s",
			    wal->folder, file->name, strerror(errno));
		g_ptr_array_set_size(files, (gint)i);
	}
	return 0;
}

/*
 * Finds the first segment to read: the newest one that has the reset mark or
 * starts within the snapshot.  Earlier ones are leftovers of an interrupted
 * removal.
 */
static int
find_first_segment(wal_t *wal, const GPtrArray *files, guint *start, err_t *err)
{
	for (guint i = files->len; i > 0; i--) {
		const segment_file_t *file = g_ptr_array_index(files, i - 1);

		if (file->header.reset != 0 ||
		    GUINT64_FROM_LE(file->header.start_index) <=
			wal->snapshot_index) {
			*start = i - 1;
			return 0;
		}
	}
	return corrupt_segment(wal, g_ptr_array_index(files, 0), 0,
	    "the segments before this one are missing", err);
}

static int
read_segments(
    wal_t *wal, GPtrArray *files, guint start, wal_log_t *log, err_t *err)
{
	for (guint i = start; i < files->len; i++) {
		segment_file_t *file = g_ptr_array_index(files, i);
		const wal_segment_header_t *header = &file->header;
		wal_segment_info_t info = {
		    .sequence = GUINT64_FROM_LE(header->sequence),
		    .start_index = GUINT64_FROM_LE(header->start_index)};
		int code;

		if (i > start && (GUINT64_FROM_LE(header->prev_header_sum) !=
					 wal->last_header_sum ||
				     info.start_index != log->last_index))
			return corrupt_segment(wal, file, 0,
			    "segment does not continue the previous one", err);
		if (i == start) {
			log->first_index = info.start_index + 1;
			log->last_index = info.start_index;
			log->start_term = GUINT64_FROM_LE(header->start_term);
			log->last_term = log->start_term;
		}
		code = read_segment(wal, file, i + 1 == files->len, log, err);
		if (code < 0)
			return code;
		info.size = file->len;
		g_array_append_val(wal->segments, info);
	}
	return 0;
}

/*
 * Opens the newest segment.  Syncs it: a process that was killed between a
 * write and its sync left records that are read back, and would otherwise count
 * as durable.
 */
static int
open_newest(wal_t *wal, const char *name, err_t *err)
{
	wal->fd = openat(wal->folder_fd, name, O_RDWR | O_APPEND | O_CLOEXEC);
	if (wal->fd < 0)
		return err_set(err, -errno, "open", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
	if (wal_ops.sync(wal->fd) < 0)
		return err_set(err, -errno, "sync", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
	return wal_sync_folder(wal, err);
}

/*
 * Reads the log from the segment files and removes those that are no longer
 * needed.  Fills wal->segments and wal->last_header_sum and opens the newest
 * segment.
 */
int
wal_replay(wal_t *wal, wal_log_t *log, err_t *err)
{
	GPtrArray *files = read_segment_files(wal, err);
	guint start = 0;
	int code;

	log->entries = g_ptr_array_new_with_free_func(free_entry);
	log->first_index = wal->snapshot_index + 1;
	log->last_index = wal->snapshot_index;
	log->last_term = wal->snapshot_term;
	if (files == NULL)
		return -EIO;
	code = check_headers(wal, files, err);
	if (code == 0 && files->len > 0) {
		code = find_first_segment(wal, files, &start, err);
		if (code == 0)
			code = read_segments(wal, files, start, log, err);
		if (code == 0) {
			const segment_file_t *file =
			    g_ptr_array_index(files, files->len - 1);

			code = open_newest(wal, file->name, err);
		}
		for (guint i = 0; code == 0 && i < start; i++) {
			const segment_file_t *file =
			    g_ptr_array_index(files, i);

			unlinkat(wal->folder_fd, file->name, 0);
		}
	}
	g_ptr_array_unref(files);
	return code;
}
