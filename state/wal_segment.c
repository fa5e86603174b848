#include "state/wal_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "common/log.h"

uint64_t wal_segment_bytes = 8 * 1024 * 1024;

char *
wal_segment_name(uint64_t sequence)
{
	return g_strdup_printf("log-%012" PRIu64, sequence);
}

uint64_t
wal_segment_header_sum(const wal_segment_header_t *segment)
{
	return XXH64(segment, offsetof(wal_segment_header_t, header_sum), 0);
}

uint64_t
wal_record_header_sum(const wal_record_header_t *record)
{
	return XXH64(record, offsetof(wal_record_header_t, header_sum), 0);
}

/* Index of the last entry, written or buffered. */
uint64_t
wal_last_index(const wal_t *wal)
{
	return wal->first_index + wal->terms->len - 1;
}

/*
 * Sets *term to that of the entry at index, which may be the last one of the
 * snapshot.  Returns false when the log does not hold the entry.
 */
bool
wal_term_at(const wal_t *wal, uint64_t index, uint64_t *term)
{
	if (index == wal->snapshot_index && index == wal->first_index - 1) {
		*term = wal->snapshot_term;
		return true;
	}
	if (index < wal->first_index || index > wal_last_index(wal))
		return false;
	*term = g_array_index(wal->terms, uint64_t, index - wal->first_index);
	return true;
}

static void
put_u32(GByteArray *out, uint32_t value)
{
	uint32_t big = GUINT32_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&big, sizeof(big));
}

/* Appends an entry to the payload of the next record, as XDR. */
void
wal_encode_entry(GByteArray *out, const raft_entry_t *entry)
{
	raft_entry_t *value = (raft_entry_t *)entry;
	u_long size = xdr_sizeof((xdrproc_t)xdr_raft_entry_t, value);
	guint start;
	XDR xdr;

	put_u32(out, WAL_ITEM_ENTRY);
	start = out->len;
	g_byte_array_set_size(out, start + (guint)size);
	xdrmem_create(&xdr, (char *)out->data + start, (u_int)size, XDR_ENCODE);
	if (!xdr_raft_entry_t(&xdr, value))
		g_error("log entry cannot be encoded");
	xdr_destroy(&xdr);
}

/*
 * Appends a truncation to the payload of the next record.  Segment files are
 * never shortened by it, so a crash cannot lose the entries before from_index.
 */
void
wal_encode_truncation(GByteArray *out, uint64_t from_index)
{
	put_u32(out, WAL_ITEM_TRUNCATE);
	put_u32(out, (uint32_t)(from_index >> 32));
	put_u32(out, (uint32_t)from_index);
}

static wal_segment_info_t *
newest(const wal_t *wal)
{
	return &g_array_index(
	    wal->segments, wal_segment_info_t, wal->segments->len - 1);
}

/* Creates the segment that is due and records it in the vote file. */
static int
create_next(wal_t *wal, err_t *err)
{
	bool reset = wal->next_segment.reset;
	uint64_t start_index = wal->next_segment.start_index;
	uint64_t start_term = wal->next_segment.start_term;
	wal_segment_info_t info = {.start_index = start_index};
	wal_segment_header_t header = {
	    .magic = GUINT32_TO_LE(WAL_SEGMENT_MAGIC)};
	char *name;
	int code;
	int fd;

	info.sequence = wal->segments->len > 0 ? newest(wal)->sequence + 1
					       : wal->vote.newest_segment + 1;
	info.size = sizeof(header);
	header.reset = GUINT32_TO_LE(reset ? 1 : 0);
	header.sequence = GUINT64_TO_LE(info.sequence);
	header.start_index = GUINT64_TO_LE(start_index);
	header.start_term = GUINT64_TO_LE(start_term);
	header.prev_header_sum =
	    GUINT64_TO_LE(reset ? 0 : wal->last_header_sum);
	header.header_sum = GUINT64_TO_LE(wal_segment_header_sum(&header));
	name = wal_segment_name(info.sequence);
	fd = wal_ops.create(wal->folder_fd, name);
	if (fd < 0) {
		code = err_set(err, -errno, "create", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
		g_free(name);
		return code;
	}
	code = wal_write_all(fd, &header, sizeof(header), name, err);
	if (code == 0 && wal_ops.sync(fd) < 0)
		code = err_set(err, -errno, "sync", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
	g_free(name);
	if (code == 0)
		code = wal_sync_folder(wal, err);
	if (code < 0) {
		close(fd);
		return code;
	}
	if (wal->fd >= 0)
		close(wal->fd);
	wal->fd = fd;
	wal->next_segment.due = false;
	wal->last_header_sum = GUINT64_FROM_LE(header.header_sum);
	wal->written_index = start_index;
	wal->written_term = start_term;
	g_array_append_val(wal->segments, info);
	wal->vote.newest_segment = info.sequence;
	wal->vote.synced_index = MIN(start_index, wal->synced_index_limit);
	return wal_write_vote(wal, err);
}

/*
 * Creates the next segment and records it in the vote file, so that its loss is
 * detected.  With reset, earlier segments are ignored when the log is read.  If
 * that is refused, wal_repair tries again.
 */
int
wal_segment_create(wal_t *wal, bool reset, uint64_t start_index,
    uint64_t start_term, err_t *err)
{
	wal->next_segment.due = true;
	wal->next_segment.reset = reset;
	wal->next_segment.start_index = start_index;
	wal->next_segment.start_term = start_term;
	return create_next(wal, err);
}

/*
 * Cuts what a refused write or sync may have left after the last record.  The
 * record is written again as a whole: after a failed sync the kernel may have
 * dropped its pages, and a second sync would report success without them.
 */
static int
cut_tail(wal_t *wal, err_t *err)
{
	off_t size = (off_t)newest(wal)->size;

	if (ftruncate(wal->fd, size) < 0 || wal_ops.sync(wal->fd) < 0)
		return err_set(err, -errno, "cut", NULL, "%s: %s", wal->folder,
		    strerror(errno));
	wal->tail_unknown = false;
	return 0;
}

/*
 * Completes what an earlier request, refused by the disk, has left half done.
 * Called before every request, so that each may be tried again until the disk
 * takes it.
 */
int
wal_repair(wal_t *wal, err_t *err)
{
	int code = 0;

	if (wal->tail_unknown)
		code = cut_tail(wal, err);
	if (code == 0 && wal->next_segment.due)
		code = create_next(wal, err);
	if (code == 0 && wal->vote_differs)
		code = wal_write_vote(wal, err);
	return code;
}

/*
 * Writes the buffer as one record and syncs it.  Starts a new segment when this
 * one has reached its size limit.  If a call is refused, the buffer is kept.
 */
int
wal_segment_write(wal_t *wal, err_t *err)
{
	wal_record_header_t record = {.magic = GUINT32_TO_LE(WAL_RECORD_MAGIC)};
	uint32_t end = GUINT32_TO_LE(WAL_RECORD_END);
	GByteArray *out;
	char *name;
	int code;

	if (wal->buffer->len == 0)
		return 0;
	record.len = GUINT32_TO_LE(wal->buffer->len + (guint)sizeof(end));
	record.prev_header_sum = GUINT64_TO_LE(wal->last_header_sum);
	out = g_byte_array_sized_new(
	    (guint)(sizeof(record) + wal->buffer->len + sizeof(end)));
	g_byte_array_set_size(out, sizeof(record));
	g_byte_array_append(out, wal->buffer->data, wal->buffer->len);
	g_byte_array_append(out, (guint8 *)&end, sizeof(end));
	record.payload_sum = GUINT64_TO_LE(
	    XXH64(out->data + sizeof(record), out->len - sizeof(record), 0));
	record.header_sum = GUINT64_TO_LE(wal_record_header_sum(&record));
	memcpy(out->data, &record, sizeof(record));
	name = wal_segment_name(newest(wal)->sequence);
	wal->tail_unknown = true;
	code = wal_write_all(wal->fd, out->data, out->len, name, err);
	if (code == 0 && wal_ops.sync(wal->fd) < 0)
		code = err_set(err, -errno, "sync", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
	g_free(name);
	if (code < 0) {
		g_byte_array_unref(out);
		return code;
	}
	wal->tail_unknown = false;
	newest(wal)->size += out->len;
	g_byte_array_unref(out);
	wal->last_header_sum = GUINT64_FROM_LE(record.header_sum);
	g_byte_array_set_size(wal->buffer, 0);
	wal->synced_index_limit = UINT64_MAX;
	wal->written_index = wal_last_index(wal);
	wal->written_term = 0;
	wal_term_at(wal, wal->written_index, &wal->written_term);
	if (newest(wal)->size <= wal_segment_bytes)
		return 0;
	return wal_segment_create(
	    wal, false, wal->written_index, wal->written_term, err);
}

/*
 * Removes the segments with a sequence below before, but never the last one.
 * What cannot be removed stays until the next call or the next start; the log
 * does not need it to be gone.
 */
void
wal_segments_remove(wal_t *wal, uint64_t before)
{
	bool removed = false;
	err_t err = {0};

	while (wal->segments->len > 1) {
		uint64_t sequence =
		    g_array_index(wal->segments, wal_segment_info_t, 0)
			.sequence;
		char *name;

		if (sequence >= before)
			break;
		name = wal_segment_name(sequence);
		if (unlinkat(wal->folder_fd, name, 0) < 0 && errno != ENOENT)
			err_set(&err, -errno, "remove", NULL, "%s/%s: %s",
			    wal->folder, name, strerror(errno));
		g_free(name);
		if (err.code != 0)
			break;
		g_array_remove_index(wal->segments, 0);
		removed = true;
	}
	if (removed)
		wal_sync_folder(wal, &err);
	if (err.code != 0)
		log_err(LOG_WARNING, &err);
}
