#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/*
 * Record marking of RFC 5531, section 11: a record is a sequence of fragments,
 * each preceded by 4 bytes with its length and a bit that marks the last one.
 */
#define RECORD_MARK_BYTES 4
/* One body of BODY_MAX_LEN and the fields around it, several times over. */
#define RECORD_MAX_BYTES (16 * 1024 * 1024)

typedef struct {
	GByteArray *input;
	size_t consumed; /* bytes of input that were returned already */
	GByteArray *fragments;
	bool in_record; /* fragments holds the start of a record */
	size_t max_bytes;
} record_reader_t;

void record_reader_init(record_reader_t *reader, size_t max_bytes);
void record_reader_clear(record_reader_t *reader);
void record_reader_feed(record_reader_t *reader, const void *data, size_t len);
int record_reader_next(record_reader_t *reader, str_t *record);
guint record_begin(GByteArray *out);
int record_end(GByteArray *out, guint start);
