#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "rpc/codec.h"
#include "state/replica_private.h"

/* ---- entries ---- */

/* Frees an entry made by replica_entry_copy. */
void
replica_entry_free(raft_entry_t *entry)
{
	g_free(entry->data.body_t_val);
	g_free(entry);
}

/* Returns a copy of an entry. */
raft_entry_t *
replica_entry_copy(const raft_entry_t *entry)
{
	raft_entry_t *copy = g_memdup2(entry, sizeof(*entry));

	copy->data.body_t_val =
	    g_memdup2(entry->data.body_t_val, entry->data.body_t_len);
	return copy;
}

/* ---- snapshots ---- */

static void
set_snapshot(replica_t *replica, GBytes *data, uint64_t index, uint64_t term,
    const raft_members_t *members)
{
	if (replica->snapshot != NULL)
		g_bytes_unref(replica->snapshot);
	replica->snapshot = data;
	replica->snapshot_index = index;
	replica->snapshot_term = term;
	storage_members_clear(&replica->snapshot_members);
	storage_members_copy(&replica->snapshot_members, members);
}

/* Serializes the machine; the storage thread makes it durable. */
static void
take_snapshot(replica_t *replica)
{
	GByteArray *bytes = g_byte_array_new();
	int64_t start_us = clock_mono_us();
	int code = machine_save(replica->machine, bytes);
	int64_t took_us = clock_mono_us() - start_us;
	guint len = bytes->len;

	if (code != 0) {
		g_byte_array_unref(bytes);
		log_line(LOG_ERR,
		    "snapshot: cannot serialize the state machine: error %d",
		    -code);
		return;
	}
	counter_add(replica->snapshots, 1);
	histogram_record(replica->snapshot_time, took_us);
	log_line(LOG_INFO,
	    "snapshot: index %llu, %u bytes, serialized in %lld us",
	    (unsigned long long)replica->applied_index, len,
	    (long long)took_us);
	replica->saving_snapshot = true;
	replica->next_snapshot = g_byte_array_free_to_bytes(bytes);
	replica->next_index = replica->applied_index;
	replica->next_term = replica->applied_term;
	storage_members_clear(&replica->next_members);
	storage_members_copy(&replica->next_members, &replica->members);
	storage_save_snapshot(replica->storage, replica->next_index,
	    replica->next_term, &replica->next_members, replica->next_snapshot);
}

/*
 * Whether the log is long enough to be compacted, in entries or in bytes.  It
 * may grow as large as the snapshot, so that writing snapshots costs no more
 * than writing the log.
 */
static bool
is_log_long(const replica_t *replica)
{
	uint64_t entries = replica->applied_index - replica->trim_index;
	uint64_t bytes = (uint64_t)replica->settings->snapshot_log_bytes;

	if (replica->snapshot != NULL)
		bytes = MAX(bytes, g_bytes_get_size(replica->snapshot));
	return entries >= (uint64_t)replica->settings->snapshot_entries ||
	       replica->log_bytes >= bytes;
}

/*
 * Compacts the log when it is long.  A learner without a disk never sends a
 * snapshot, so it drops its log without taking one.
 */
void
replica_maybe_snapshot(replica_t *replica)
{
	if (replica->snapshot_load_failed || !is_log_long(replica))
		return;
	if (replica->storage == NULL) {
		replica->log_bytes = 0;
		replica->trim_index = replica->applied_index;
		raft_compacted(replica->raft, replica->applied_index,
		    replica->applied_term);
	} else if (!replica->saving_snapshot && replica->storage_code == 0) {
		replica->log_bytes = 0;
		replica->trim_index = replica->applied_index;
		take_snapshot(replica);
	}
}

/* Raft callback: returns the newest snapshot, to be sent to a member. */
void
replica_snapshot_read(void *ctx, uint64_t *index, uint64_t *term,
    const uint8_t **data, size_t *len, raft_members_t *members)
{
	replica_t *replica = ctx;

	*index = 0;
	*term = 0;
	*data = NULL;
	*len = 0;
	*members = (raft_members_t){0};
	if (replica->snapshot == NULL)
		return;
	*index = replica->snapshot_index;
	*term = replica->snapshot_term;
	*data = g_bytes_get_data(replica->snapshot, len);
	*members = replica->snapshot_members;
}

static void
load_machine(replica_t *replica, const void *data, size_t len, uint64_t index,
    uint64_t term, const raft_members_t *members)
{
	if (machine_load(replica->machine, (str_t){data, len}) != 0) {
		log_line(LOG_CRIT,
		    "snapshot: index %llu has an unknown format; this instance "
		    "applies no further entries",
		    (unsigned long long)index);
		replica->snapshot_load_failed = true;
		return;
	}
	replica->applied_index = index;
	replica->applied_term = term;
	replica->trim_index = index;
	replica->log_bytes = 0;
	storage_members_clear(&replica->members);
	storage_members_copy(&replica->members, members);
}

/* Raft callback: replaces the state by a received snapshot. */
void
replica_snapshot_install(void *ctx, uint64_t index, uint64_t term,
    const uint8_t *data, size_t len, const raft_members_t *members)
{
	replica_t *replica = ctx;
	raft_entry_t *entry;

	/* Entries committed before are part of the snapshot. */
	while ((entry = g_queue_pop_head(&replica->committed)) != NULL)
		replica_entry_free(entry);
	counter_add(replica->snapshots_received, 1);
	log_line(LOG_NOTICE, "snapshot: index %llu received, %zu bytes",
	    (unsigned long long)index, len);
	load_machine(replica, data, len, index, term, members);
	if (replica->storage == NULL)
		return;
	set_snapshot(replica, g_bytes_new(data, len), index, term, members);
	storage_save_snapshot(
	    replica->storage, index, term, members, replica->snapshot);
}

/* ---- storage ---- */

/* Lets go of the snapshot being saved. */
static void
drop_next_snapshot(replica_t *replica)
{
	g_bytes_unref(replica->next_snapshot);
	replica->next_snapshot = NULL;
	replica->saving_snapshot = false;
}

/* The next one is due after another snapshot_entries entries. */
static void
snapshot_postponed(replica_t *replica, const storage_event_t *event)
{
	log_err(LOG_WARNING, &event->err);
	counter_add(replica->snapshots_postponed, 1);
	if (replica->saving_snapshot)
		drop_next_snapshot(replica);
}

static void
snapshot_saved(replica_t *replica, const storage_event_t *event)
{
	if (replica->saving_snapshot && event->index == replica->next_index) {
		/* A newer one may have been received in the meantime. */
		if (event->index > replica->snapshot_index)
			set_snapshot(replica,
			    g_bytes_ref(replica->next_snapshot),
			    replica->next_index, replica->next_term,
			    &replica->next_members);
		drop_next_snapshot(replica);
	}
	raft_compacted(replica->raft, event->index, event->term);
}

static void
on_storage(void *ctx, const storage_event_t *event)
{
	replica_t *replica = ctx;
	int64_t now_ms = clock_mono_ms();

	switch (event->kind) {
	case STORAGE_SYNCED:
		raft_synced(replica->raft, event->ticket, now_ms);
		break;
	case STORAGE_SNAPSHOT_SAVED:
		snapshot_saved(replica, event);
		break;
	case STORAGE_SNAPSHOT_POSTPONED:
		snapshot_postponed(replica, event);
		break;
	case STORAGE_REFUSED:
		log_err(LOG_CRIT, &event->err);
		replica->storage_code =
		    event->err.code == -ENOSPC ? -ENOSPC : -EROFS;
		counter_set(replica->storage_refuses, 1);
		raft_storage_refused(replica->raft, now_ms);
		break;
	case STORAGE_RECOVERED:
		log_line(LOG_NOTICE, "storage: %s takes writes again",
		    replica->settings->data_folder);
		replica->storage_code = 0;
		counter_set(replica->storage_refuses, 0);
		raft_storage_recovered(replica->raft, now_ms);
		break;
	}
	replica_deliver(replica);
}

static void
collect_entry(void *ctx, const raft_entry_t *entry)
{
	g_ptr_array_add(ctx, replica_entry_copy(entry));
}

static int
load_snapshot(replica_t *replica, wal_t *wal, err_t *err)
{
	GByteArray *data = g_byte_array_new();
	raft_members_t members = {0};
	uint64_t index;
	uint64_t term;

	if (wal_load_snapshot(wal, &index, &term, &members, data, err) != 0) {
		g_byte_array_unref(data);
		return err->code;
	}
	load_machine(replica, data->data, data->len, index, term, &members);
	set_snapshot(
	    replica, g_byte_array_free_to_bytes(data), index, term, &members);
	codec_free((xdrproc_t)xdr_raft_members_t, &members);
	if (replica->snapshot_load_failed)
		return err_set(err, -EBADMSG, "snapshot load",
		    replica->settings->data_folder,
		    "written by another version");
	return 0;
}

/* Opens the data folder; adds the entries after the snapshot to entries. */
int
replica_open_storage(replica_t *replica, GPtrArray *entries, err_t *err)
{
	const char *folder = replica->settings->data_folder;
	wal_t *wal;

	wal = wal_open(folder, &replica->saved, collect_entry, entries, err);
	if (wal == NULL)
		return err->code;
	if (replica->saved.snapshot_index > 0 &&
	    load_snapshot(replica, wal, err) != 0) {
		wal_close(wal);
		return err->code;
	}
	replica->may_bootstrap =
	    replica->settings->may_found && replica->saved.term == 0 &&
	    replica->saved.snapshot_index == 0 && entries->len == 0;
	replica->storage =
	    storage_start(replica->loop, wal, on_storage, replica);
	return 0;
}
