#include "state/storage.h"

#include <errno.h>
#include <string.h>

#include "common/counters.h"
#include "common/log.h"
#include "common/task.h"

/* Interval of tries while the disk refuses a request. */
#define RETRY_MS 100

typedef enum {
	REQUEST_VOTE,
	REQUEST_APPEND,
	REQUEST_TRUNCATE,
	REQUEST_SYNC,
	REQUEST_SNAPSHOT,
	REQUEST_STOP,
} request_kind_t;

typedef struct {
	uint64_t ticket;
	uint64_t index;
	uint64_t term;
	char vote[NAME_MAX_LEN + 1];
	raft_entry_t entry;
	raft_members_t members;
	GBytes *snapshot;
} request_t;

struct storage_t {
	wal_t *wal;
	GThread *thread;
	struct ev_loop *loop; /* of the thread */
	task_t *requests;     /* on the thread's loop */
	task_t *events;       /* on the owner's loop */
	storage_handler_t *handler;
	void *ctx;
	gint stopping;    /* atomic */
	bool is_refusing; /* used by the thread only */
	counter_t *syncs;
	counter_t *refused;
};

/* Copies a membership; the caller frees it with storage_members_clear. */
void
storage_members_copy(raft_members_t *to, const raft_members_t *from)
{
	u_int len = from->members.members_len;

	to->members.members_len = len;
	to->members.members_val = g_new0(raft_member_t, len);
	for (u_int i = 0; i < len; i++) {
		to->members.members_val[i] = from->members.members_val[i];
		to->members.members_val[i].id =
		    g_strdup(from->members.members_val[i].id);
	}
}

/* Frees the members and leaves the membership empty. */
void
storage_members_clear(raft_members_t *members)
{
	for (u_int i = 0; i < members->members.members_len; i++)
		g_free(members->members.members_val[i].id);
	g_free(members->members.members_val);
	memset(members, 0, sizeof(*members));
}

static void
request_free(void *body)
{
	request_t *request = body;

	g_free(request->entry.data.body_t_val);
	storage_members_clear(&request->members);
	if (request->snapshot != NULL)
		g_bytes_unref(request->snapshot);
	g_free(request);
}

/* ---- on the storage thread ---- */

static void
post_event(storage_t *storage, const storage_event_t *event)
{
	task_post(storage->events, (int)event->kind,
	    g_memdup2(event, sizeof(*event)), g_free);
}

static int
save_snapshot(storage_t *storage, const request_t *request, err_t *err)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(request->snapshot, &len);

	return wal_save_snapshot(storage->wal, request->index, request->term,
	    &request->members, data, len, err);
}

static int
execute_request(storage_t *storage, request_kind_t kind,
    const request_t *request, err_t *err)
{
	switch (kind) {
	case REQUEST_VOTE:
		return wal_save_vote(
		    storage->wal, request->term, request->vote, err);
	case REQUEST_APPEND:
		return wal_append(storage->wal, &request->entry, err);
	case REQUEST_TRUNCATE:
		return wal_truncate(storage->wal, request->index, err);
	case REQUEST_SYNC:
		counter_add(storage->syncs, 1);
		return wal_sync(storage->wal, err);
	case REQUEST_SNAPSHOT:
		return save_snapshot(storage, request, err);
	case REQUEST_STOP:
		ev_break(storage->loop, EVBREAK_ALL);
		return 0;
	}
	return 0;
}

/*
 * Carries a request out, again and again while the disk refuses it: a later
 * sync must not report as durable what an earlier request failed to write.
 * Returns -EAGAIN for a snapshot that was postponed, -ECANCELED if the storage
 * is stopped meanwhile.
 */
static int
persist(storage_t *storage, request_kind_t kind, const request_t *request,
    err_t *err)
{
	storage_event_t event = {.kind = STORAGE_REFUSED};
	int code;

	while ((code = execute_request(storage, kind, request, err)) != 0) {
		if (code == -EAGAIN && kind == REQUEST_SNAPSHOT)
			return code;
		/* The request contradicts the log; the disk knows better. */
		if (code == -EINVAL)
			g_error("storage: %s: %s", err->step, err->text);
		counter_add(storage->refused, 1);
		if (!storage->is_refusing) {
			storage->is_refusing = true;
			event.err = *err;
			post_event(storage, &event);
		}
		if (g_atomic_int_get(&storage->stopping))
			return -ECANCELED;
		g_usleep(RETRY_MS * G_TIME_SPAN_MILLISECOND);
	}
	if (storage->is_refusing && kind != REQUEST_STOP) {
		storage->is_refusing = false;
		event.kind = STORAGE_RECOVERED;
		post_event(storage, &event);
	}
	return 0;
}

static void
on_request(void *ctx, task_message_t *message)
{
	storage_t *storage = ctx;
	const request_t *request = message->body;
	storage_event_t event = {0};
	int code = persist(storage, message->kind, request, &event.err);

	if (code == -EAGAIN) {
		event.kind = STORAGE_SNAPSHOT_POSTPONED;
		post_event(storage, &event);
	}
	if (code != 0)
		return;
	if (message->kind == REQUEST_SYNC) {
		event.kind = STORAGE_SYNCED;
		event.ticket = request->ticket;
		post_event(storage, &event);
	} else if (message->kind == REQUEST_SNAPSHOT) {
		event.kind = STORAGE_SNAPSHOT_SAVED;
		event.index = request->index;
		event.term = request->term;
		post_event(storage, &event);
	}
}

static void *
thread_main(void *data)
{
	storage_t *storage = data;

	ev_run(storage->loop, 0);
	return NULL;
}

/* ---- on the owner's loop ---- */

static void
on_event(void *ctx, task_message_t *message)
{
	storage_t *storage = ctx;

	storage->handler(storage->ctx, message->body);
}

/* Starts the storage thread, which takes over wal. */
storage_t *
storage_start(
    struct ev_loop *loop, wal_t *wal, storage_handler_t *handler, void *ctx)
{
	storage_t *storage = g_new0(storage_t, 1);

	storage->wal = wal;
	storage->handler = handler;
	storage->ctx = ctx;
	storage->syncs =
	    counter_get("storage_syncs_total", "syncs of the replica's log");
	storage->refused = counter_get("storage_refused_total",
	    "requests that the disk refused, each try counted");
	storage->loop = ev_loop_new(EVFLAG_AUTO);
	storage->requests =
	    task_create(storage->loop, "storage", on_request, storage);
	storage->events =
	    task_create(loop, "storage events", on_event, storage);
	storage->thread = g_thread_new("storage", thread_main, storage);
	return storage;
}

static void
post_request(storage_t *storage, request_kind_t kind, request_t *request)
{
	task_post(storage->requests, (int)kind, request, request_free);
}

/*
 * Completes all pending requests, except those that the disk refuses, ends the
 * thread and closes the wal.
 */
void
storage_stop(storage_t *storage)
{
	if (storage == NULL)
		return;
	g_atomic_int_set(&storage->stopping, 1);
	post_request(storage, REQUEST_STOP, g_new0(request_t, 1));
	g_thread_join(storage->thread);
	task_destroy(storage->requests);
	task_destroy(storage->events);
	ev_loop_destroy(storage->loop);
	wal_close(storage->wal);
	g_free(storage);
}

/*
 * Saves term and vote; a storage_sync posted after it completes once they are
 * durable.
 */
void
storage_save_vote(storage_t *storage, uint64_t term, const char *vote)
{
	request_t *request = g_new0(request_t, 1);

	request->term = term;
	g_strlcpy(request->vote, vote, sizeof(request->vote));
	post_request(storage, REQUEST_VOTE, request);
}

/* Appends a copy of the entry; durable after the next sync. */
void
storage_append(storage_t *storage, const raft_entry_t *entry)
{
	request_t *request = g_new0(request_t, 1);

	request->entry = *entry;
	request->entry.data.body_t_val =
	    g_memdup2(entry->data.body_t_val, entry->data.body_t_len);
	post_request(storage, REQUEST_APPEND, request);
}

/* Drops the entries from from_index on; durable after the next sync. */
void
storage_truncate(storage_t *storage, uint64_t from_index)
{
	request_t *request = g_new0(request_t, 1);

	request->index = from_index;
	post_request(storage, REQUEST_TRUNCATE, request);
}

/* Makes all earlier requests durable, then posts STORAGE_SYNCED with ticket. */
void
storage_sync(storage_t *storage, uint64_t ticket)
{
	request_t *request = g_new0(request_t, 1);

	request->ticket = ticket;
	post_request(storage, REQUEST_SYNC, request);
}

/*
 * Saves a snapshot, then posts STORAGE_SNAPSHOT_SAVED, or
 * STORAGE_SNAPSHOT_POSTPONED if a resource is missing for it.
 */
void
storage_save_snapshot(storage_t *storage, uint64_t index, uint64_t term,
    const raft_members_t *members, GBytes *data)
{
	request_t *request = g_new0(request_t, 1);

	request->index = index;
	request->term = term;
	storage_members_copy(&request->members, members);
	request->snapshot = g_bytes_ref(data);
	post_request(storage, REQUEST_SNAPSHOT, request);
}
