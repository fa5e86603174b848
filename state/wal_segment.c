#include "state/wal_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

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

/*
 * Creates the next segment and records it in the vote file, so that its loss is
 * detected.  With reset, earlier segments are ignored when the log is read.
 */
int
wal_segment_create(wal_t *wal, bool reset, uint64_t start_index,
    uint64_t start_term, err_t *err)
{
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
	fd = openat(wal->folder_fd, name,
	    O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
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
	wal->last_header_sum = GUINT64_FROM_LE(header.header_sum);
	wal->written_index = start_index;
	wal->written_term = start_term;
	g_array_append_val(wal->segments, info);
	wal->vote.newest_segment = info.sequence;
	wal->vote.synced_index = MIN(start_index, wal->synced_index_limit);
	return wal_write_vote(wal, err);
}

/*
 * Writes the buffer as one record and syncs it.  Starts a new segment when this
 * one has reached its size limit.
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
	g_byte_array_append(wal->buffer, (guint8 *)&end, sizeof(end));
	record.len = GUINT32_TO_LE(wal->buffer->len);
	record.prev_header_sum = GUINT64_TO_LE(wal->last_header_sum);
	record.payload_sum =
	    GUINT64_TO_LE(XXH64(wal->buffer->data, wal->buffer->len, 0));
	record.header_sum = GUINT64_TO_LE(wal_record_header_sum(&record));
	out = g_byte_array_sized_new((guint)sizeof(record) + wal->buffer->len);
	g_byte_array_append(out, (guint8 *)&record, sizeof(record));
	g_byte_array_append(out, wal->buffer->data, wal->buffer->len);
	name = wal_segment_name(newest(wal)->sequence);
	code = wal_write_all(wal->fd, out->data, out->len, name, err);
	if (code == 0 && wal_ops.sync(wal->fd) < 0)
		code = err_set(err, -errno, "sync", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
	g_free(name);
	newest(wal)->size += out->len;
	g_byte_array_unref(out);
	if (code < 0)
		return code;
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

/* Removes the segments with a sequence below before, but never the last one. */
int
wal_segments_remove(wal_t *wal, uint64_t before, err_t *err)
{
	bool removed = false;

	while (wal->segments->len > 1) {
		uint64_t sequence =
		    g_array_index(wal->segments, wal_segment_info_t, 0)
			.sequence;
		char *name;
		int code = 0;

		if (sequence >= before)
			break;
		name = wal_segment_name(sequence);
		if (unlinkat(wal->folder_fd, name, 0) < 0 && errno != ENOENT)
			code = err_set(err, -errno, "remove", NULL, "%s/%s: %s",
			    wal->folder, name, strerror(errno));
		g_free(name);
		if (code < 0)
			return code;
		g_array_remove_index(wal->segments, 0);
		removed = true;
	}
	return removed ? wal_sync_folder(wal, err) : 0;
}
