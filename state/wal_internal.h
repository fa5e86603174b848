#pragma once

#include <sys/types.h>

#include "state/wal.h"

/* The system calls that make data durable; tests replace them. */
typedef struct {
	ssize_t (*write)(int fd, const void *data, size_t len);
	int (*sync)(int fd);        /* data and size of a file */
	int (*sync_folder)(int fd); /* names; fdatasync may skip them */
} wal_ops_t;

extern wal_ops_t wal_ops;
/* A segment that grew beyond this is followed by a new one. */
extern uint64_t wal_segment_bytes;

#define WAL_SECTOR_BYTES 512
/* Buffered items are written before they exceed this. */
#define WAL_BUFFER_BYTES (16 * 1024 * 1024)

#define WAL_RECORD_MAGIC 0x52574843u  /* "CHWR" */
#define WAL_RECORD_END 0x45574843u    /* "CHWE" */
#define WAL_SEGMENT_MAGIC 0x53574843u /* "CHWS" */

/*
 * One record per sync, so that a record that is followed by another one was
 * synced.  Fields are little-endian.
 */
typedef struct {
	uint32_t magic;
	uint32_t len;  /* payload with end mark */
	uint64_t prev; /* head of the record or segment header before */
	uint64_t sum;  /* of the payload */
	uint64_t head; /* of the fields above */
} wal_record_t;

/* Start of a segment file.  start is the last entry before the segment. */
typedef struct {
	uint32_t magic;
	uint32_t reset; /* 1: nothing before this segment counts */
	uint64_t sequence;
	uint64_t start_index;
	uint64_t start_term;
	uint64_t prev;
	uint64_t head;
} wal_segment_t;

typedef enum { WAL_ITEM_ENTRY = 1, WAL_ITEM_TRUNCATE = 2 } wal_item_t;

/* Content of the vote file. */
typedef struct {
	uint64_t term;
	char vote[NAME_MAX_LEN + 1];
	uint64_t newest_segment; /* segments up to this one were durable */
	uint64_t promised_index; /* the log reached this index */
} wal_vote_t;

typedef struct {
	uint64_t sequence;
	uint64_t start_index;
	uint64_t size;
} wal_segment_info_t;

struct wal_t {
	char *folder;
	int folder_fd;
	int lock_fd;
	int failed; /* negative errno of the first failure */
	uint64_t disk_id;
	wal_vote_t vote;

	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t snapshot_size;

	int fd;           /* newest segment */
	uint64_t chain;   /* head of its last record */
	GArray *segments; /* wal_segment_info_t, ascending */
	GByteArray *buffer;
	uint64_t first_index; /* of terms */
	GArray *terms;        /* uint64_t per entry, buffered ones included */
	uint64_t written_index;
	uint64_t written_term;
	uint64_t
	    promise_limit; /* lower than written by a buffered truncation */
};

/* The log as read back. */
typedef struct {
	uint64_t first_index;
	uint64_t start_term; /* of the entry before first_index */
	GPtrArray *entries;  /* raft_entry_t, freed with xdr_free */
	uint64_t last_index;
	uint64_t last_term;
} wal_log_t;

/* wal_file.c */
int wal_sync_folder(wal_t *wal, err_t *err);
int wal_write_all(
    int fd, const void *data, size_t len, const char *name, err_t *err);
int wal_replace_file(wal_t *wal, const char *name, const GByteArray *head,
    const uint8_t *data, size_t len, err_t *err);
int wal_read_identity(wal_t *wal, err_t *err);
int wal_write_identity(wal_t *wal, err_t *err);
int wal_read_vote(wal_t *wal, err_t *err);
int wal_write_vote(wal_t *wal, err_t *err);
int wal_read_snapshot(wal_t *wal, uint64_t *index, uint64_t *term,
    raft_members_t *members, GByteArray *data, err_t *err);
int wal_write_snapshot(wal_t *wal, uint64_t index, uint64_t term,
    const raft_members_t *members, const uint8_t *data, size_t len, err_t *err);

/* wal_segment.c */
char *wal_segment_name(uint64_t sequence);
int wal_segment_create(wal_t *wal, bool reset, uint64_t start_index,
    uint64_t start_term, err_t *err);
int wal_segment_write(wal_t *wal, err_t *err);
int wal_segments_remove(wal_t *wal, uint64_t before, err_t *err);
uint64_t wal_last_index(const wal_t *wal);
bool wal_term_at(const wal_t *wal, uint64_t index, uint64_t *term);
void wal_item_entry(GByteArray *out, const raft_entry_t *entry);
void wal_item_truncate(GByteArray *out, uint64_t from_index);
uint64_t wal_segment_head(const wal_segment_t *segment);
uint64_t wal_record_head(const wal_record_t *record);

/* wal_replay.c */
int wal_replay(wal_t *wal, wal_log_t *log, err_t *err);
void wal_log_clear(wal_log_t *log);
void wal_log_drop(wal_log_t *log, uint64_t up_to);
