#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "state/raft.h"

/*
 * The durable state of a replica in one data folder: identity, vote, log
 * segments and snapshots, each with checksums.  All functions block and are
 * called from one thread.
 */
typedef struct wal_t wal_t;

typedef void wal_entry_t(void *ctx, const raft_entry_t *entry);

wal_t *wal_open(const char *folder, raft_saved_t *saved, wal_entry_t *restore,
    void *ctx, err_t *err);
void wal_close(wal_t *wal);
int wal_save_vote(wal_t *wal, uint64_t term, const char *vote, err_t *err);
int wal_append(wal_t *wal, const raft_entry_t *entry, err_t *err);
int wal_truncate(wal_t *wal, uint64_t from_index, err_t *err);
int wal_sync(wal_t *wal, err_t *err);
int wal_save_snapshot(wal_t *wal, uint64_t index, uint64_t term,
    const raft_members_t *members, const uint8_t *data, size_t len, err_t *err);
int wal_load_snapshot(wal_t *wal, uint64_t *index, uint64_t *term,
    raft_members_t *members, GByteArray *data, err_t *err);
uint64_t wal_disk_id(const wal_t *wal);
/* Bytes on disk, of log and snapshot. */
uint64_t wal_size(const wal_t *wal);
