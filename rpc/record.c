#include "rpc/record.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#define LAST_FRAGMENT_BIT 0x80000000u
/* A buffer that grew beyond this is released once it is empty. */
#define KEEP_BUFFER_BYTES (256 * 1024)

/* Prepares a reader that refuses records above max_bytes. */
void
record_reader_init(record_reader_t *reader, size_t max_bytes)
{
	*reader = (record_reader_t){
	    .input = g_byte_array_new(),
	    .fragments = g_byte_array_new(),
	    .max_bytes = max_bytes,
	};
}

/* Releases the buffers of a reader. */
void
record_reader_clear(record_reader_t *reader)
{
	g_byte_array_unref(reader->input);
	g_byte_array_unref(reader->fragments);
}

static void
drop_consumed(record_reader_t *reader)
{
	guint len = reader->input->len;

	if (reader->consumed == 0)
		return;
	if (reader->consumed < len) {
		g_byte_array_remove_range(
		    reader->input, 0, (guint)reader->consumed);
	} else if (len > KEEP_BUFFER_BYTES) {
		g_byte_array_unref(reader->input);
		reader->input = g_byte_array_new();
	} else {
		g_byte_array_set_size(reader->input, 0);
	}
	reader->consumed = 0;
}

/* Adds received bytes; records returned before are no longer valid. */
void
record_reader_feed(record_reader_t *reader, const void *data, size_t len)
{
	drop_consumed(reader);
	g_byte_array_append(reader->input, data, (guint)len);
}

/* Gives up the fragments of the record that was returned last. */
static void
start_record(record_reader_t *reader)
{
	if (reader->in_record)
		return;
	if (reader->fragments->len > KEEP_BUFFER_BYTES) {
		g_byte_array_unref(reader->fragments);
		reader->fragments = g_byte_array_new();
	}
	g_byte_array_set_size(reader->fragments, 0);
}

/*
 * Returns 1 and the next whole record, valid until the next call of the reader;
 * 0 when more bytes are needed; -EMSGSIZE for a record above the limit;
 * -EBADMSG for an empty fragment, which would let a record go on without end.
 */
int
record_reader_next(record_reader_t *reader, str_t *record)
{
	start_record(reader);
	for (;;) {
		size_t available = reader->input->len - reader->consumed;
		const uint8_t *at = reader->input->data + reader->consumed;
		uint32_t mark;
		size_t len;

		if (available < RECORD_MARK_BYTES)
			return 0;
		memcpy(&mark, at, sizeof(mark));
		mark = ntohl(mark);
		len = mark & ~LAST_FRAGMENT_BIT;
		if (len == 0)
			return -EBADMSG;
		if (len > reader->max_bytes - reader->fragments->len)
			return -EMSGSIZE;
		if (available - RECORD_MARK_BYTES < len)
			return 0;
		at += RECORD_MARK_BYTES;
		reader->consumed += RECORD_MARK_BYTES + len;
		if ((mark & LAST_FRAGMENT_BIT) != 0 && !reader->in_record) {
			*record = (str_t){(const char *)at, len};
			return 1;
		}
		g_byte_array_append(reader->fragments, at, (guint)len);
		reader->in_record = true;
		if ((mark & LAST_FRAGMENT_BIT) != 0) {
			reader->in_record = false;
			*record = (str_t){(const char *)reader->fragments->data,
			    reader->fragments->len};
			return 1;
		}
	}
}

/* Leaves room for the mark of a record and returns the record's start. */
guint
record_begin(GByteArray *out)
{
	static const uint8_t empty_mark[RECORD_MARK_BYTES];
	guint start = out->len;

	g_byte_array_append(out, empty_mark, RECORD_MARK_BYTES);
	return start;
}

/* Writes the mark of the record that ends here; -EMSGSIZE above the limit. */
int
record_end(GByteArray *out, guint start)
{
	guint len = out->len - start - RECORD_MARK_BYTES;
	uint32_t mark = htonl(len | LAST_FRAGMENT_BIT);

	if (len > RECORD_MAX_BYTES)
		return -EMSGSIZE;
	memcpy(out->data + start, &mark, sizeof(mark));
	return 0;
}
