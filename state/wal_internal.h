#pragma once

#include <sys/types.h>

#include "state/wal.h"

/* The system calls that make data durable; tests replace them. */
typedef struct {
	/* Opens a new or emptied file of a folder for appending. */
	int (*create)(int folder, const char *name);
	int (*rename)(int folder, const char *from, const char *to);
	ssize_t (*write)(int fd, const void *data, size_t len);
	int (*sync)(int fd);        /* data and size of a file */
	int (*sync_folder)(int fd); /* names; fdatasync may skip them */
} wal_ops_t;

extern wal_ops_t wal_ops;
/* A segment that grew beyond this is followed by a new one. */
extern uint64_t wal_segment_bytes;

#define WAL_SECTOR_BYTES 512
/* The buffer is written out as a record once it reaches this size. */
#define WAL_BUFFER_BYTES (16 * 1024 * 1024)

#define WAL_RECORD_MAGIC 0x52574843u  /* "CHWR" */
#define WAL_RECORD_END 0x45574843u    /* "CHWE" */
#define WAL_SEGMENT_MAGIC 0x53574843u /* "CHWS" */

/*
 * Header of a record.  Each sync writes one record, so a record that another
 * one follows was synced.  Fields are little-endian.
 */
typedef struct {
	uint32_t magic;
	uint32_t len;             /* of the payload, with WAL_RECORD_END */
	uint64_t prev_header_sum; /* of the record or segment header before */
	uint64_t payload_sum;
	uint64_t header_sum; /* of the fields above */
} wal_record_header_t;

/*
 * Header of a segment file.  start_index and start_term are those of the last
 * entry before the segment.
 */
typedef struct {
	uint32_t magic;
	uint32_t reset; /* 1: earlier segments are ignored */
	uint64_t sequence;
	uint64_t start_index;
	uint64_t start_term;
	uint64_t prev_header_sum;
	uint64_t header_sum;
} wal_segment_header_t;

typedef enum { WAL_ITEM_ENTRY = 1, WAL_ITEM_TRUNCATE = 2 } wal_item_t;

/* Content of the vote file. */
typedef struct {
	uint64_t term;
	char vote[NAME_MAX_LEN + 1];
	uint64_t newest_segment; /* sequence of the last one created */
	uint64_t synced_index;   /* the log was synced at least up to here */
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
	uint64_t disk_id;
	wal_vote_t vote;

	/* What a refused request has left to do, see wal_repair. */
	bool vote_differs; /* from the vote file */
	bool tail_unknown; /* bytes may follow the newest segment's size */
	struct {
		bool due;
		bool reset;
		uint64_t start_index;
		uint64_t start_term;
	} next_segment;

	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t snapshot_size;

	int fd;                   /* newest segment */
	uint64_t last_header_sum; /* of its last record */
	GArray *segments;         /* wal_segment_info_t, ascending */
	GByteArray *buffer;       /* payload of the next record */
	uint64_t first_index;     /* of the first entry in terms */
	GArray *terms; /* uint64_t per entry, buffered ones included */
	uint64_t written_index;
	uint64_t written_term;
	uint64_t synced_index_limit; /* UINT64_MAX, or the last index that a
					buffered truncation keeps */
};

/* The log as read from the segment files. */
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
int wal_repair(wal_t *wal, err_t *err);
void wal_segments_remove(wal_t *wal, uint64_t before);
uint64_t wal_last_index(const wal_t *wal);
bool wal_term_at(const wal_t *wal, uint64_t index, uint64_t *term);
void wal_encode_entry(GByteArray *out, const raft_entry_t *entry);
void wal_encode_truncation(GByteArray *out, uint64_t from_index);
uint64_t wal_segment_header_sum(const wal_segment_header_t *segment);
uint64_t wal_record_header_sum(const wal_record_header_t *record);

/* wal_replay.c */
int wal_replay(wal_t *wal, wal_log_t *log, err_t *err);
void wal_log_clear(wal_log_t *log);
void wal_log_drop(wal_log_t *log, uint64_t up_to);
