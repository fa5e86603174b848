#include "state/raft_internal.h"

#include <string.h>

/* Index of the last entry, durable or not. */
uint64_t
raft_log_last(const raft_t *raft)
{
	return raft->base_index + raft->entries->len;
}

/* Returns the entry at index, or NULL when it is not in memory. */
raft_entry_t *
raft_log_get(const raft_t *raft, uint64_t index)
{
	if (index <= raft->base_index || index > raft_log_last(raft))
		return NULL;
	return g_ptr_array_index(raft->entries, index - raft->base_index - 1);
}

/* Term of the entry at index; 0 for index 0 and for unknown entries. */
uint64_t
raft_log_term(const raft_t *raft, uint64_t index)
{
	const raft_entry_t *entry;

	if (index == raft->base_index)
		return raft->base_term;
	entry = raft_log_get(raft, index);
	return entry != NULL ? entry->term : 0;
}

/* Appends a copy of entry; if store is set, also writes it to the storage. */
void
raft_log_append(raft_t *raft, const raft_entry_t *entry, bool store)
{
	raft_entry_t *copy = g_new0(raft_entry_t, 1);
	raft_members_t members;

	*copy = *entry;
	copy->data.body_t_val =
	    g_memdup2(entry->data.body_t_val, entry->data.body_t_len);
	g_ptr_array_add(raft->entries, copy);
	if (store && raft->disk_id != 0) {
		raft->callbacks.append(raft->ctx, copy);
		raft->write_seq++;
	}
	if (entry->kind == ENTRY_MEMBERS &&
	    raft_members_decode(entry, &members)) {
		raft_config_push(raft, entry->index, &members);
		raft_members_clear(&members);
		raft_config_changed(raft);
	}
}

/*
 * Removes the entries from from_index on.  A sync in flight may cover removed
 * entries; its sync_index is lowered, so that it does not count for their
 * replacements.
 */
void
raft_log_truncate(raft_t *raft, uint64_t from_index)
{
	g_assert(from_index > raft->commit);
	if (from_index > raft_log_last(raft))
		return;
	g_ptr_array_set_size(
	    raft->entries, (gint)(from_index - raft->base_index - 1));
	raft->durable_index = MIN(raft->durable_index, from_index - 1);
	raft->sync_index = MIN(raft->sync_index, from_index - 1);
	raft->verified = MIN(raft->verified, from_index - 1);
	if (raft->disk_id != 0) {
		raft->callbacks.truncate(raft->ctx, from_index);
		raft->write_seq++;
	}
	raft_config_truncate(raft, from_index);
}

/* Replaces the whole log by a snapshot at index. */
void
raft_log_reset(raft_t *raft, uint64_t index, uint64_t term)
{
	g_ptr_array_set_size(raft->entries, 0);
	raft->base_index = index;
	raft->base_term = term;
	raft->snapshot_index = index;
	raft->commit = index;
	raft->applied = index;
	raft->verified = index;
	raft->durable_index = 0;
	raft->sync_index = 0;
	raft->acked_index = 0;
}

/* Whether a log that ends in (index, term) is at least as new as this one. */
bool
raft_log_up_to_date(const raft_t *raft, uint64_t index, uint64_t term)
{
	uint64_t last = raft_log_last(raft);
	uint64_t last_term = raft_log_term(raft, last);

	return term > last_term || (term == last_term && index >= last);
}

/* Commits and applies the entries up to index. */
void
raft_commit_to(raft_t *raft, uint64_t index)
{
	if (index <= raft->commit)
		return;
	raft->commit = index;
	while (raft->applied < raft->commit) {
		const raft_entry_t *entry =
		    raft_log_get(raft, raft->applied + 1);

		g_assert(entry != NULL);
		raft->applied++;
		raft->callbacks.apply(raft->ctx, entry);
	}
}

/* Writes the current term and vote to the storage. */
void
raft_persist_vote(raft_t *raft)
{
	if (raft->disk_id == 0)
		return;
	raft->callbacks.save_vote(raft->ctx, raft->term, raft->vote);
	raft->write_seq++;
}

static void
send_deferred_replies(raft_t *raft)
{
	for (guint i = 0; i < raft->deferred->len;) {
		raft_deferred_reply_t deferred =
		    g_array_index(raft->deferred, raft_deferred_reply_t, i);

		if (deferred.seq > raft->durable_seq) {
			i++;
			continue;
		}
		g_array_remove_index(raft->deferred, i);
		if (deferred.term == raft->term) {
			raft_message_t message = {.kind = deferred.kind,
			    .round = deferred.round,
			    .success = true};

			raft_send_message(raft, deferred.to, &message);
		}
	}
}

/* Does what waited for writes to become durable. */
static void
on_durable(raft_t *raft)
{
	send_deferred_replies(raft);
	if (raft->state == RAFT_CANDIDATE)
		raft_count_votes(raft);
	else if (raft->state == RAFT_LEADER)
		raft_advance_commit(raft);
	else
		raft_acknowledge(raft, false);
}

/*
 * Called at the end of every public call that can write: requests a sync of the
 * new writes, unless one is in flight, and sends deferred replies and entries.
 */
void
raft_flush(raft_t *raft)
{
	/* A repeated vote is already durable and waits for no sync. */
	send_deferred_replies(raft);
	if (raft->disk_id == 0) {
		raft->durable_index = raft_log_last(raft);
		on_durable(raft);
	} else if (raft->sync_seq == 0 && raft->write_seq > raft->durable_seq) {
		raft->sync_seq = raft->write_seq;
		raft->sync_index = raft_log_last(raft);
		raft->sync_begun_ms = raft->now_ms;
		raft->callbacks.sync(raft->ctx, raft->sync_seq);
	}
	if (raft->state == RAFT_LEADER)
		raft_send_entries(raft);
}

/* Follows what syncs take: at once when they get slower, slowly otherwise. */
static void
note_sync_time(raft_t *raft)
{
	int64_t took_ms =
	    MIN(raft->now_ms - raft->sync_begun_ms, RAFT_SYNC_MAX_MS);

	if (took_ms > raft->sync_ms)
		raft->sync_ms = took_ms;
	else
		raft->sync_ms -= (raft->sync_ms - took_ms) / RAFT_SYNC_DECAY;
}

/*
 * Called when the sync with this ticket has completed.  A ticket other than
 * that of the sync in flight is ignored.
 */
void
raft_synced(raft_t *raft, uint64_t ticket, int64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	if (raft->sync_seq == 0 || ticket != raft->sync_seq)
		return;
	note_sync_time(raft);
	raft->durable_seq = raft->sync_seq;
	raft->durable_index = MAX(raft->durable_index, raft->sync_index);
	raft->sync_seq = 0;
	on_durable(raft);
	raft_flush(raft);
}

/*
 * Returns the last entry to drop when a snapshot covers the log up to index:
 * some are kept for members slightly behind, except without a disk.
 */
static uint64_t
last_to_drop(const raft_t *raft, uint64_t index)
{
	uint64_t keep = raft->disk_id != 0 ? RAFT_KEPT_ENTRIES : 0;
	uint64_t bytes = 0;

	while (index > raft->base_index && keep-- > 0) {
		bytes += raft_log_get(raft, index)->data.body_t_len;
		if (bytes > RAFT_KEPT_BYTES)
			break;
		index--;
	}
	return index;
}

/* Drops the log up to index, which a durable snapshot now covers. */
void
raft_compacted(raft_t *raft, uint64_t index, uint64_t term)
{
	uint64_t drop_to;

	if (index > raft->applied || index <= raft->snapshot_index ||
	    raft_log_term(raft, index) != term)
		return;
	raft->snapshot_index = index;
	drop_to = last_to_drop(raft, index);
	if (drop_to <= raft->base_index)
		return;
	raft->base_term = raft_log_term(raft, drop_to);
	g_ptr_array_remove_range(
	    raft->entries, 0, (guint)(drop_to - raft->base_index));
	raft->base_index = drop_to;
	while (
	    raft->configs->len > 1 &&
	    g_array_index(raft->configs, raft_config_t, 1).index <= drop_to) {
		raft_members_clear(
		    &g_array_index(raft->configs, raft_config_t, 0).members);
		g_array_remove_index(raft->configs, 0);
	}
}
