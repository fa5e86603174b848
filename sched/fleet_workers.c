#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "rpc/codec.h"
#include "sched/fleet_private.h"

#define MAX_MISSED_ANNOUNCEMENTS 3
#define PERCENT 100
/* Bits of a fencing token that count ended incarnations within a term. */
#define FENCE_EPOCH_BITS 16
#define MAX_FENCE_EPOCH ((UINT64_C(1) << FENCE_EPOCH_BITS) - 1)

/* ---- table ---- */

/* Copies a worker, including its strings. */
void
fleet_worker_copy(fleet_worker_t *copy, const fleet_worker_t *worker)
{
	u_int count = worker->labels.labels_len;

	*copy = *worker;
	copy->id = g_strdup(worker->id);
	copy->service = g_strdup(worker->service);
	copy->address = g_strdup(worker->address);
	copy->domain = g_strdup(worker->domain);
	copy->rack = g_strdup(worker->rack);
	copy->labels.labels_val = g_new0(name_t, count);
	for (u_int i = 0; i < count; i++)
		copy->labels.labels_val[i] =
		    g_strdup(worker->labels.labels_val[i]);
}

/* Returns the worker with that ID, or NULL. */
worker_t *
fleet_find_worker(const fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->workers, id);
}

/* Adds a worker to fleet->workers. */
worker_t *
worker_create(fleet_t *fleet, const fleet_worker_t *info)
{
	worker_t *worker = g_new0(worker_t, 1);
	int64_t now_ms = fleet_now_ms();

	worker->fleet = fleet;
	fleet_worker_copy(&worker->info, info);
	worker->last_announced_ms = now_ms;
	worker->fence_epoch = fleet->fence_epoch;
	worker->reachable = true;
	worker->draining = info->draining;
	domains_update_worker(worker);
	/* The previous leader may have granted a lease just now. */
	worker->lease_expiry_ms =
	    worker_clock_lease_expiry(now_ms, fleet->timing.lease_ms);
	worker->members = g_ptr_array_new();
	g_queue_init(&worker->pending_ends);
	order_window_init(&worker->window);
	for (int class = 0; class < ORDER_CLASSES; class ++)
		worker->queues[class] = order_queue_create();
	g_hash_table_insert(fleet->workers, worker->info.id, worker);
	return worker;
}

void
pending_end_free(void *data)
{
	pending_end_t *end = data;

	g_free(end->job);
	g_free(end);
}

static void
worker_free(worker_t *worker)
{
	g_queue_clear_full(&worker->pending_ends, pending_end_free);
	for (int class = 0; class < ORDER_CLASSES; class ++)
		order_queue_destroy(worker->queues[class]);
	g_ptr_array_unref(worker->members);
	codec_free((xdrproc_t)xdr_fleet_worker_t, &worker->info);
	g_free(worker);
}

/* Removes a worker from fleet->workers; fleet_reap_workers frees it. */
void
worker_retire(worker_t *worker)
{
	worker->retired = true;
	worker->fleet->fence_epoch++;
	g_hash_table_remove(worker->fleet->workers, worker->info.id);
	g_ptr_array_add(worker->fleet->retired_workers, worker);
}

/* Frees retired workers without orders in flight. */
void
fleet_reap_workers(fleet_t *fleet)
{
	for (guint i = fleet->retired_workers->len; i-- > 0;) {
		worker_t *worker = g_ptr_array_index(fleet->retired_workers, i);

		/* Members refer to the worker until they are lost. */
		if (worker->orders_in_flight > 0 || worker->members->len > 0)
			continue;
		g_ptr_array_remove_index_fast(fleet->retired_workers, i);
		worker_free(worker);
	}
}

/*
 * Returns the fencing token for orders to the worker. It rises with the term
 * and with each end of an incarnation, so that an incarnation that has got one
 * order refuses late ones that were meant for an earlier one of the same ID.
 */
uint64_t
worker_fence(const worker_t *worker)
{
	return worker->fleet->term << FENCE_EPOCH_BITS |
	       MIN(worker->fence_epoch, MAX_FENCE_EPOCH);
}

/* ---- time and health ---- */

/*
 * Returns the end of a lease granted now, on the clock of the worker, or 0 when
 * that clock is unknown. Extends lease_expiry_ms accordingly.
 */
int64_t
worker_grant_lease(worker_t *worker, int64_t now_ms)
{
	int64_t lease_ms = worker->fleet->timing.lease_ms;

	if (!worker_clock_is_known(&worker->clock))
		return 0;
	worker->lease_expiry_ms = MAX(worker->lease_expiry_ms,
	    worker_clock_lease_expiry(now_ms, lease_ms));
	return worker_clock_lower_bound(&worker->clock, now_ms) + lease_ms;
}

/*
 * Updates clock and suspicion from the answer to an order that was sent to the
 * incarnation born, and requests a poll if the answer is missing or the worker
 * has restarted. An order to an earlier incarnation tells nothing about this
 * one, whose clock has started anew.
 */
void
worker_update_from_answer(
    worker_t *worker, uint64_t born, const order_answer_t *answer)
{
	int64_t now_ms = fleet_now_ms();

	if (born != worker->info.born)
		return;
	if (answer->outcome == ORDER_NO_ANSWER) {
		if (worker->reachable && worker->members->len > 0)
			worker->needs_poll = true;
		return;
	}
	if (answer->outcome == ORDER_OTHER_INCARNATION) {
		worker->needs_poll = true;
		return;
	}
	worker_clock_update(&worker->clock, answer->clock_ms, now_ms);
	if (answer->outcome == ORDER_UNHEALTHY)
		suspicion_record_unhealthy(&worker->suspicion, now_ms);
}

/* Whether the worker has said that it is slow for some time after its start. */
bool
worker_is_cold(const worker_t *worker)
{
	return worker->fleet->timing.cold_stretch_percent > PERCENT &&
	       fleet_now_ms() < worker->cold_until_ms;
}

/*
 * Returns the speed to expect of a worker whose speed is speed_percent when it
 * is warm, 0 for unknown; 0 if it is unknown and the worker is not cold.
 */
int
worker_speed_now(const worker_t *worker, int speed_percent, int64_t now_ms)
{
	int stretch = worker->fleet->timing.cold_stretch_percent;

	if (stretch <= PERCENT || now_ms >= worker->cold_until_ms)
		return speed_percent;
	/* A fast worker is no faster than others while it is cold. */
	if (speed_percent == 0 || speed_percent > PERCENT)
		speed_percent = PERCENT;
	return MAX(speed_percent * PERCENT / stretch, 1);
}

/*
 * Whether units may be placed on the worker. One that a new leader has read
 * from the ledger may have been cut off for long, although its announcements
 * arrive: a gang with one member there would be lost until its lease has ended.
 */
bool
worker_is_usable(const worker_t *worker, int64_t now_ms)
{
	return worker->registered && !worker->draining &&
	       !worker->out_of_service && worker->reachable &&
	       !worker->unconfirmed && !worker->retire_pending &&
	       !worker->leaving && worker_clock_is_known(&worker->clock) &&
	       now_ms - worker->last_announced_ms <
		   worker->fleet->timing.worker_announce_interval_ms *
		       MAX_MISSED_ANNOUNCEMENTS;
}

/* ---- announcements ---- */

static bool
has_info_changed(const worker_t *worker, const fleet_worker_t *info)
{
	return worker->info.born != info->born ||
	       worker->info.draining != info->draining ||
	       worker->info.port != info->port ||
	       strcmp(worker->info.address, info->address) != 0 ||
	       strcmp(worker->info.service, info->service) != 0 ||
	       memcmp(&worker->info.capacity, &info->capacity,
		   sizeof(info->capacity)) != 0;
}

/*
 * Resets the state of a worker that restarted under its ID; born is its new
 * incarnation. Its members are kept, as it may still execute their starts.
 */
static void
worker_reset_incarnation(worker_t *worker, uint64_t born)
{
	evlog("worker_restarted", "{s:s,s:I,s:I,s:i,s:I,s:i}", "worker",
	    worker->info.id, "born", (json_int_t)born, "born_before",
	    (json_int_t)worker->info.born, "members", (int)worker->members->len,
	    "acknowledged", (json_int_t)worker->ackable_end, "ends_pending",
	    (int)worker->pending_ends.length);
	worker->fence_epoch = ++worker->fleet->fence_epoch;
	worker->leaving = false;
	/* The counts of an incarnation start anew. */
	worker->announcement_sequence = 0;
	worker->sent_ack = 0;
	worker->last_end_number = 0;
	worker->ackable_end = 0;
	worker->confirmed_ack = 0;
	worker->clock = (worker_clock_t){0};
	worker->cold_until_ms = 0;
	worker->suspicion = (suspicion_t){0};
	worker->speed = (speed_history_t){0};
	worker->needs_poll = true;
	g_queue_clear_full(&worker->pending_ends, pending_end_free);
	for (guint i = 0; i < worker->members->len; i++)
		member_forget_stop(g_ptr_array_index(worker->members, i));
}

/* Stops the runs that have a member on the worker. */
void
worker_stop_runs(worker_t *worker, const char *reason)
{
	GPtrArray *members = g_ptr_array_copy(worker->members, NULL, NULL);

	/* run_stop may detach members, but frees no run. */
	for (guint i = 0; i < members->len; i++)
		run_stop(((const member_t *)g_ptr_array_index(members, i))->run,
		    reason);
	g_ptr_array_unref(members);
}

/*
 * Records a restart that was learned from a poll. The worker gets no units
 * until it announces what the new incarnation is.
 */
void
worker_learn_incarnation(worker_t *worker, uint64_t born)
{
	worker_reset_incarnation(worker, born);
	worker->info.born = born;
	worker->info.draining = false;
	worker->draining = false;
	worker->registered = false;
	worker_stop_runs(worker, "worker_restarted");
}

/*
 * Whether an announcement was overtaken by what is known. A leader that read
 * the worker from the ledger knows no sequence number, so that only the
 * incarnation and the draining, which is final, tell.
 */
static bool
is_stale(const worker_t *worker, const fleet_announcement_t *announcement)
{
	const fleet_worker_t *info = &announcement->worker;

	if (info->born != worker->info.born)
		return info->born < worker->info.born;
	if (worker->info.draining && !info->draining)
		return true;
	return worker->announcement_sequence > 0 &&
	       announcement->sequence <= worker->announcement_sequence;
}

static void
update_worker(worker_t *worker, const fleet_worker_t *info)
{
	bool restarted = info->born != worker->info.born;

	if (restarted)
		worker_reset_incarnation(worker, info->born);
	g_hash_table_steal(worker->fleet->workers, worker->info.id);
	codec_free((xdrproc_t)xdr_fleet_worker_t, &worker->info);
	fleet_worker_copy(&worker->info, info);
	g_hash_table_insert(worker->fleet->workers, worker->info.id, worker);
	worker->draining = info->draining;
	domains_update_worker(worker);
	worker->registered = true;
	if (restarted)
		worker_stop_runs(worker, "worker_restarted");
}

/*
 * Whether an announcement names a service that is not configured, and so is not
 * from a worker of this fleet. A worker keeps a service that was removed from
 * the configuration, so that its draining is still recorded. Before the first
 * configuration every service counts.
 */
static bool
is_foreign(
    const fleet_t *fleet, const worker_t *worker, const fleet_worker_t *info)
{
	const ledger_t *ledger = fleet_ledger(fleet);

	if (ledger_config(ledger)->number == 0 ||
	    ledger_has_service(ledger, info->service))
		return false;
	return worker == NULL ||
	       strcmp(worker->info.service, info->service) != 0;
}

/*
 * Processes an announcement. done is called once the resulting change is
 * committed; a stale announcement changes nothing.
 */
void
fleet_announce(fleet_t *fleet, fleet_announcement_t *announcement,
    fleet_done_t *done, void *ctx)
{
	const fleet_worker_t *info = &announcement->worker;
	int64_t now_ms = fleet_now_ms();
	worker_t *worker;
	bool changed;

	if (!fleet->leading) {
		done(ctx, FLEET_NOT_LEADER);
		return;
	}
	worker = fleet_find_worker(fleet, info->id);
	if (worker != NULL && is_stale(worker, announcement)) {
		done(ctx, FLEET_OK);
		return;
	}
	if (is_foreign(fleet, worker, info)) {
		counter_add(fleet->foreign_announcements, 1);
		done(ctx, FLEET_OK);
		return;
	}
	if (fleet_has_departed(fleet, info)) {
		evlog("announcement_late", "{s:s,s:I}", "worker", info->id,
		    "born", (json_int_t)info->born);
		done(ctx, FLEET_OK);
		return;
	}
	changed = worker == NULL || !worker->registered ||
		  has_info_changed(worker, info);
	if (worker == NULL) {
		worker = worker_create(fleet, info);
		/* Its first order makes those to an earlier incarnation void.
		 */
		worker->needs_poll =
		    ledger_worker(fleet_ledger(fleet), info->id) != NULL;
	}
	if (changed) {
		evlog("worker", "{s:s,s:s,s:I,s:b,s:s,s:i}", "worker", info->id,
		    "address", info->address, "born", (json_int_t)info->born,
		    "draining", (int)info->draining, "rack", info->rack,
		    "accelerators", info->capacity.accelerators);
		update_worker(worker, info);
		fleet_event_worker(fleet, info, done, ctx);
	}
	worker->announcement_sequence = announcement->sequence;
	worker->last_announced_ms = now_ms;
	worker->cold_until_ms = announcement->cold_left_ms > 0
				    ? now_ms + announcement->cold_left_ms
				    : 0;
	worker_clock_update(&worker->clock, announcement->clock_ms, now_ms);
	if (!changed)
		done(ctx, FLEET_OK);
}
