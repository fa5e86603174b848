#pragma once

#include <ev.h>
#include <glib.h>

#include "state/wal.h"

/*
 * The thread that owns the wal, so that the main loop never waits for a sync.
 * Requests are carried out in order; results come back as events on the loop.
 */
typedef struct storage_t storage_t;

typedef enum {
	STORAGE_SYNCED,
	STORAGE_SNAPSHOT_SAVED,
	STORAGE_SNAPSHOT_POSTPONED, /* the log goes on without it */
	STORAGE_REFUSED,   /* requests wait until the disk takes them */
	STORAGE_RECOVERED, /* after STORAGE_REFUSED */
} storage_event_kind_t;

typedef struct {
	storage_event_kind_t kind;
	uint64_t ticket; /* STORAGE_SYNCED */
	uint64_t index;  /* STORAGE_SNAPSHOT_SAVED */
	uint64_t term;
	err_t err; /* STORAGE_REFUSED, STORAGE_SNAPSHOT_POSTPONED */
} storage_event_t;

typedef void storage_handler_t(void *ctx, const storage_event_t *event);

storage_t *storage_start(
    struct ev_loop *loop, wal_t *wal, storage_handler_t *handler, void *ctx);
void storage_stop(storage_t *storage);
void storage_save_vote(storage_t *storage, uint64_t term, const char *vote);
void storage_append(storage_t *storage, const raft_entry_t *entry);
void storage_truncate(storage_t *storage, uint64_t from_index);
void storage_sync(storage_t *storage, uint64_t ticket);
void storage_save_snapshot(storage_t *storage, uint64_t index, uint64_t term,
    const raft_members_t *members, GBytes *data);
void storage_members_copy(raft_members_t *to, const raft_members_t *from);
void storage_members_clear(raft_members_t *members);
