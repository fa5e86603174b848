#include "sched/announcer.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "common/counters.h"
#include "rpc/codec.h"

/* Announcements that come within this time are passed on together. */
#define COLLECT_S 0.02
/* Workers wait for one second. */
#define DEADLINE_MS 800

typedef struct {
	fleet_done_t *done;
	void *ctx;
} waiter_t;

/* Announcements that are passed on in one call. */
typedef struct {
	GArray *announcements; /* fleet_announcement_t */
	GArray *waiters;       /* waiter_t, in the same order */
} batch_t;

struct announcer_t {
	struct ev_loop *loop;
	endpoint_t *endpoint;
	fleet_t *fleet;
	batch_t *batch; /* being collected, or NULL */
	ev_timer timer;
	counter_t *passed_on;
	counter_t *failed;
};

/* ---- passing on ---- */

static void
clear_announcement(gpointer data)
{
	fleet_announcement_t *announcement = data;

	codec_free((xdrproc_t)xdr_fleet_worker_t, &announcement->worker);
}

static batch_t *
batch_create(void)
{
	batch_t *batch = g_new0(batch_t, 1);

	batch->announcements =
	    g_array_new(FALSE, FALSE, sizeof(fleet_announcement_t));
	g_array_set_clear_func(batch->announcements, clear_announcement);
	batch->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	return batch;
}

static void
batch_free(batch_t *batch)
{
	g_array_unref(batch->announcements);
	g_array_unref(batch->waiters);
	g_free(batch);
}

static void
answer_waiter(const batch_t *batch, guint i, fleet_outcome_t outcome)
{
	const waiter_t *waiter = &g_array_index(batch->waiters, waiter_t, i);

	waiter->done(waiter->ctx, outcome);
}

static void
answer_all(const batch_t *batch, fleet_outcome_t outcome)
{
	for (guint i = 0; i < batch->waiters->len; i++)
		answer_waiter(batch, i, outcome);
}

static fleet_outcome_t
outcome_of(announce_outcome_t outcome)
{
	switch (outcome) {
	case ANNOUNCE_RECORDED:
		return FLEET_OK;
	case ANNOUNCE_NOT_LEADER:
		return FLEET_NOT_LEADER;
	case ANNOUNCE_NOT_CONFIRMED:
		break;
	}
	return FLEET_NO_ANSWER;
}

/* Whether the call did not reach a leader that can serve it. */
static bool
is_not_served(const err_t *err)
{
	return err->code == -ECONNREFUSED || err->code == -EHOSTUNREACH ||
	       err->code == -ENOBUFS || err->code == -ENOSYS;
}

/* Uses nothing of the announcer, which may have ended meanwhile. */
static void
on_passed_on(void *ctx, const err_t *err, void *result)
{
	batch_t *batch = ctx;
	const announce_result_t *answer = result;

	if (err->code != 0) {
		answer_all(batch,
		    is_not_served(err) ? FLEET_NOT_LEADER : FLEET_NO_ANSWER);
	} else if (answer->outcomes.outcomes_len != batch->waiters->len) {
		answer_all(batch, FLEET_NO_ANSWER);
	} else {
		for (guint i = 0; i < batch->waiters->len; i++)
			answer_waiter(batch, i,
			    outcome_of(answer->outcomes.outcomes_val[i]));
	}
	batch_free(batch);
}

static void
pass_on(announcer_t *announcer)
{
	batch_t *batch = announcer->batch;
	const char *leader = fleet_leader(announcer->fleet);
	announce_args_t args;

	announcer->batch = NULL;
	ev_timer_stop(announcer->loop, &announcer->timer);
	/* No leader is known, or this instance leads without a valid lease. */
	if (leader[0] == '\0' ||
	    !endpoint_peer_is_up(announcer->endpoint, leader)) {
		counter_add(announcer->failed, batch->waiters->len);
		answer_all(batch, FLEET_NOT_LEADER);
		batch_free(batch);
		return;
	}
	counter_add(announcer->passed_on, batch->waiters->len);
	args.announcements.announcements_len = batch->announcements->len;
	args.announcements.announcements_val =
	    (fleet_announcement_t *)(void *)batch->announcements->data;
	endpoint_call(announcer->endpoint, leader, RPC_ANNOUNCE, &args,
	    DEADLINE_MS, on_passed_on, batch);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	pass_on(watcher->data);
}

void
announcer_announce(announcer_t *announcer, fleet_announcement_t *announcement,
    fleet_done_t *done, void *ctx)
{
	fleet_announcement_t copy = *announcement;
	waiter_t waiter = {done, ctx};

	if (fleet_leads(announcer->fleet)) {
		fleet_announce(announcer->fleet, announcement, done, ctx);
		return;
	}
	if (announcer->batch == NULL) {
		announcer->batch = batch_create();
		ev_timer_set(&announcer->timer, COLLECT_S, 0);
		ev_timer_start(announcer->loop, &announcer->timer);
	}
	fleet_worker_copy(&copy.worker, &announcement->worker);
	g_array_append_val(announcer->batch->announcements, copy);
	g_array_append_val(announcer->batch->waiters, waiter);
	if (announcer->batch->waiters->len >= MAX_ANNOUNCED)
		pass_on(announcer);
}

/* ---- on the leader ---- */

/*
 * A call whose announcements are being committed, counted by reference: it is
 * answered when the last of them has an outcome.
 */
typedef struct {
	endpoint_request_t *request;
	announce_result_t result;
} served_t;

typedef struct {
	served_t *served;
	u_int index;
} served_item_t;

static void
answer_served(gpointer data)
{
	served_t *served = data;

	endpoint_answer(served->request, &served->result);
	g_free(served->result.outcomes.outcomes_val);
}

static void
on_announced(void *ctx, fleet_outcome_t outcome)
{
	served_item_t *item = ctx;
	announce_outcome_t answer = ANNOUNCE_NOT_CONFIRMED;

	if (outcome == FLEET_OK)
		answer = ANNOUNCE_RECORDED;
	else if (outcome == FLEET_NOT_LEADER)
		answer = ANNOUNCE_NOT_LEADER;
	item->served->result.outcomes.outcomes_val[item->index] = answer;
	g_rc_box_release_full(item->served, answer_served);
	g_free(item);
}

void
announcer_serve(
    announcer_t *announcer, announce_args_t *args, endpoint_request_t *request)
{
	u_int count = args->announcements.announcements_len;
	served_t *served = g_rc_box_new0(served_t);
	bool leads = fleet_leads(announcer->fleet);

	served->request = request;
	served->result.outcomes.outcomes_len = count;
	served->result.outcomes.outcomes_val =
	    g_new0(announce_outcome_t, count + 1);
	for (u_int i = 0; i < count; i++) {
		served_item_t *item = g_new0(served_item_t, 1);

		*item = (served_item_t){g_rc_box_acquire(served), i};
		if (leads)
			fleet_announce(announcer->fleet,
			    &args->announcements.announcements_val[i],
			    on_announced, item);
		else
			on_announced(item, FLEET_NOT_LEADER);
	}
	g_rc_box_release_full(served, answer_served);
}

/* ---- create and destroy ---- */

/* The endpoint and the fleet must outlive the announcer. */
announcer_t *
announcer_create(struct ev_loop *loop, endpoint_t *endpoint, fleet_t *fleet)
{
	announcer_t *announcer = g_new0(announcer_t, 1);

	announcer->loop = loop;
	announcer->endpoint = endpoint;
	announcer->fleet = fleet;
	announcer->passed_on = counter_get("announcer_passed_on_total",
	    "announcements of workers passed on to the leader");
	announcer->failed = counter_get("announcer_failed_total",
	    "announcements of workers for which no leader was connected");
	ev_timer_init(&announcer->timer, on_timer, 0, 0);
	announcer->timer.data = announcer;
	return announcer;
}

/* Ends what is being collected with FLEET_NO_ANSWER; NULL is allowed. */
void
announcer_destroy(announcer_t *announcer)
{
	if (announcer == NULL)
		return;
	ev_timer_stop(announcer->loop, &announcer->timer);
	if (announcer->batch != NULL) {
		answer_all(announcer->batch, FLEET_NO_ANSWER);
		batch_free(announcer->batch);
	}
	g_free(announcer);
}
