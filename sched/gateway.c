#include "sched/gateway.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/evlog.h"
#include "rpc/codec.h"
#include "sched/outage.h"

#define ATTEMPT_TIMEOUT_MS 800
#define RETRY_DELAY_MS 30

struct gateway_t {
	struct ev_loop *loop;
	const settings_t *settings;
	endpoint_t *endpoint;
	char leader[NAME_MAX_LEN + 1]; /* empty when unknown */
	int64_t created_ms;
	/* Last answer of a leader with a configuration, 0: none yet. */
	int64_t leader_heard_ms;
	bool was_ready;
	size_t next_peer;
	ev_timer probe;
	bool probe_pending;
	GQueue calls;
	counter_t *answered;
	counter_t *not_run;
	counter_t *unknown;
	histogram_t *took;
};

typedef struct {
	gateway_t *gateway;
	batch_call_t request;
	int64_t start_ms;
	int64_t deadline_ms; /* monotonic time */
	gateway_done_t *done;
	void *ctx;
	bool maybe_received;
	bool attempt_pending;
	char target[NAME_MAX_LEN + 1];
	ev_timer retry;
	GList link;
} gateway_call_t;

static void send_attempt(gateway_call_t *call);

/* ---- the leader ---- */

static void
set_leader(gateway_t *gateway, const char *leader)
{
	if (strcmp(gateway->leader, leader) == 0)
		return;
	evlog(
	    "leader", "{s:s,s:s}", "leader", leader, "before", gateway->leader);
	g_strlcpy(gateway->leader, leader, sizeof(gateway->leader));
}

/* Returns the leader if connected, else any connected replica, or NULL. */
static const char *
choose_target(gateway_t *gateway)
{
	const settings_t *settings = gateway->settings;

	if (gateway->leader[0] != '\0' &&
	    endpoint_peer_is_up(gateway->endpoint, gateway->leader))
		return gateway->leader;
	for (size_t i = 0; i < settings->peer_count; i++) {
		const settings_peer_t *peer =
		    &settings
			 ->peers[gateway->next_peer++ % settings->peer_count];

		if (peer->is_replica &&
		    endpoint_peer_is_up(gateway->endpoint, peer->id))
			return peer->id;
	}
	return NULL;
}

/* Records which replica leads and when it last answered. */
static void
update_leader(
    gateway_t *gateway, const char *target, const batch_reply_t *reply)
{
	if (reply->answer != BATCH_NOT_LEADER) {
		set_leader(gateway, target);
		if (reply->answer != BATCH_NO_CONFIG)
			gateway->leader_heard_ms = clock_mono_ms();
	} else if (strcmp(reply->leader.id, target) != 0) {
		/* The leader may be missing from this instance's settings. */
		endpoint_report_peer(gateway->endpoint, &reply->leader);
		set_leader(gateway, reply->leader.id);
	}
}

static void
forget_failed_leader(gateway_t *gateway, const char *target)
{
	if (strcmp(gateway->leader, target) == 0)
		set_leader(gateway, "");
}

/* Returns how long no leader has answered, at first since the start. */
static int64_t
leader_silent_ms(const gateway_t *gateway)
{
	int64_t heard_ms = gateway->leader_heard_ms != 0
			       ? gateway->leader_heard_ms
			       : gateway->created_ms;

	return clock_mono_ms() - heard_ms;
}

int
gateway_retry_after_ms(const gateway_t *gateway)
{
	return outage_retry_after_ms(leader_silent_ms(gateway));
}

bool
gateway_is_ready(const gateway_t *gateway)
{
	return gateway->leader_heard_ms != 0 &&
	       outage_is_ready(leader_silent_ms(gateway));
}

typedef struct {
	gateway_t *gateway;
	char target[NAME_MAX_LEN + 1];
} probe_t;

static void
start_retry_timer(gateway_call_t *call, int64_t delay_ms)
{
	ev_timer_stop(call->gateway->loop, &call->retry);
	ev_timer_set(&call->retry, (double)delay_ms / CLOCK_MS_PER_S, 0);
	ev_timer_start(call->gateway->loop, &call->retry);
}

/* Lets the calls that wait for a probe or a leader try again at once. */
static void
wake_calls(const gateway_t *gateway)
{
	for (GList *at = gateway->calls.head; at != NULL; at = at->next) {
		gateway_call_t *call = at->data;

		if (!call->attempt_pending)
			start_retry_timer(call, 0);
	}
}

static void
schedule_probe(gateway_t *gateway, int64_t delay_ms)
{
	gateway->probe.repeat = (double)delay_ms / CLOCK_MS_PER_S;
	ev_timer_again(gateway->loop, &gateway->probe);
}

static void
on_probe_done(void *ctx, const err_t *err, void *result)
{
	probe_t *probe = ctx;
	gateway_t *gateway = probe->gateway;

	gateway->probe_pending = false;
	if (result != NULL) {
		update_leader(gateway, probe->target, result);
		wake_calls(gateway);
	} else {
		forget_failed_leader(gateway, probe->target);
		schedule_probe(gateway, OUTAGE_PROBE_RETRY_MS);
	}
	g_free(probe);
}

/* Asks an instance whether it leads, unless another one is being asked. */
static void
send_probe(gateway_t *gateway, const char *target)
{
	batch_call_t call = {.verb = BATCH_LEADER,
	    .host = (char *)"",
	    .path = (char *)"",
	    .api_key = (char *)""};
	probe_t *probe;

	if (gateway->probe_pending)
		return;
	probe = g_new0(probe_t, 1);
	probe->gateway = gateway;
	g_strlcpy(probe->target, target, sizeof(probe->target));
	gateway->probe_pending = true;
	endpoint_call(gateway->endpoint, target, RPC_BATCH, &call,
	    OUTAGE_PROBE_TIMEOUT_MS, on_probe_done, probe);
}

static void
log_readiness(gateway_t *gateway)
{
	bool ready = gateway_is_ready(gateway);

	if (ready == gateway->was_ready)
		return;
	gateway->was_ready = ready;
	evlog("ready", "{s:b,s:s}", "ready", (int)ready, "leader",
	    gateway->leader);
}

static void
on_probe(struct ev_loop *loop, ev_timer *watcher, int events)
{
	gateway_t *gateway = watcher->data;
	const char *target;

	log_readiness(gateway);
	schedule_probe(gateway, gateway_is_ready(gateway)
				    ? OUTAGE_PROBE_INTERVAL_MS
				    : OUTAGE_PROBE_RETRY_MS);
	target = choose_target(gateway);
	if (target != NULL)
		send_probe(gateway, target);
}

/* ---- calls ---- */

static const char *
verb_name(batch_verb_t verb)
{
	static const char *const names[] = {
	    "submit", "status", "cancel", "count", "leader"};

	return names[verb];
}

static void
finish_call(
    gateway_call_t *call, gateway_outcome_t outcome, const batch_reply_t *reply)
{
	static const char *const names[] = {"answered", "not_run", "unknown"};
	gateway_t *gateway = call->gateway;
	counter_t *const counters[] = {
	    gateway->answered, gateway->not_run, gateway->unknown};
	int64_t took_ms = clock_mono_ms() - call->start_ms;

	counter_add(counters[outcome], 1);
	histogram_record(gateway->took, took_ms * CLOCK_US_PER_MS);
	evlog("call", "{s:s,s:s,s:s,s:i,s:s,s:s,s:I}", "path",
	    call->request.path, "verb", verb_name(call->request.verb),
	    "outcome", names[outcome], "answer",
	    reply != NULL ? (int)reply->answer : -1, "reason",
	    reply != NULL ? reply->reason : "", "leader", gateway->leader,
	    "took_ms", (json_int_t)took_ms);
	g_queue_unlink(&gateway->calls, &call->link);
	ev_timer_stop(gateway->loop, &call->retry);
	call->done(call->ctx, outcome, reply);
	codec_free((xdrproc_t)xdr_batch_call_t, &call->request);
	g_free(call);
}

static void
fail_call(gateway_call_t *call)
{
	finish_call(call,
	    call->maybe_received ? GATEWAY_UNKNOWN : GATEWAY_NOT_RUN, NULL);
}

static void
retry_or_fail(gateway_call_t *call)
{
	outage_call_t state = {
	    .age_ms = clock_mono_ms() - call->start_ms,
	    .timeout_ms = call->deadline_ms - call->start_ms,
	    .silent_ms = leader_silent_ms(call->gateway),
	    .may_be_stored = call->maybe_received,
	};

	if (outage_holds_call(&state))
		start_retry_timer(call, RETRY_DELAY_MS);
	else
		fail_call(call);
}

static void
on_retry(struct ev_loop *loop, ev_timer *watcher, int events)
{
	send_attempt(watcher->data);
}

/* Whether the endpoint failed the call before it sent anything. */
static bool
is_not_sent_error(const err_t *err)
{
	return err->code == -EHOSTUNREACH || err->code == -ECONNREFUSED ||
	       err->code == -ENOBUFS;
}

/*
 * Whether the answer says that a job is not accepted although an earlier
 * attempt may have stored it.
 */
static bool
is_doubtful_refusal(const gateway_call_t *call, batch_answer_t answer)
{
	return call->maybe_received && call->request.verb == BATCH_SUBMIT &&
	       answer != BATCH_ACCEPTED;
}

static void
on_attempt_done(void *ctx, const err_t *err, void *result)
{
	gateway_call_t *call = ctx;
	const batch_reply_t *reply = result;
	gateway_t *gateway = call->gateway;

	call->attempt_pending = false;
	if (reply == NULL) {
		forget_failed_leader(gateway, call->target);
		if (!is_not_sent_error(err))
			call->maybe_received = true;
		retry_or_fail(call);
		return;
	}
	update_leader(gateway, call->target, reply);
	if (reply->answer == BATCH_UNCERTAIN) {
		call->maybe_received = true;
		retry_or_fail(call);
	} else if (reply->answer != BATCH_NOT_LEADER) {
		if (is_doubtful_refusal(call, reply->answer))
			fail_call(call);
		else
			finish_call(call, GATEWAY_ANSWERED, reply);
	} else if (gateway->leader[0] != '\0' &&
		   strcmp(gateway->leader, call->target) != 0 &&
		   endpoint_peer_is_up(gateway->endpoint, gateway->leader)) {
		send_attempt(call);
	} else {
		retry_or_fail(call);
	}
}

static void
send_attempt(gateway_call_t *call)
{
	gateway_t *gateway = call->gateway;
	const char *target = choose_target(gateway);
	int64_t now_ms = clock_mono_ms();

	if (target == NULL || now_ms >= call->deadline_ms) {
		retry_or_fail(call);
		return;
	}
	/*
	 * An instance that has just lost power or is cut off would leave the
	 * outcome unknown.
	 */
	if (outage_needs_probe(
		endpoint_peer_silent_ms(gateway->endpoint, target))) {
		send_probe(gateway, target);
		retry_or_fail(call);
		return;
	}
	g_strlcpy(call->target, target, sizeof(call->target));
	call->attempt_pending = true;
	endpoint_call(gateway->endpoint, target, RPC_BATCH, &call->request,
	    MIN(ATTEMPT_TIMEOUT_MS, call->deadline_ms - now_ms),
	    on_attempt_done, call);
}

void
gateway_call(gateway_t *gateway, batch_call_t *request, int64_t timeout_ms,
    gateway_done_t *done, void *ctx)
{
	gateway_call_t *call = g_new0(gateway_call_t, 1);

	call->gateway = gateway;
	call->request = *request;
	memset(request, 0, sizeof(*request));
	call->start_ms = clock_mono_ms();
	call->deadline_ms = call->start_ms + timeout_ms;
	call->done = done;
	call->ctx = ctx;
	ev_timer_init(&call->retry, on_retry, 0, 0);
	call->retry.data = call;
	call->link.data = call;
	g_queue_push_tail_link(&gateway->calls, &call->link);
	/* Fail at once when no leader was ever heard and none can be asked. */
	if (gateway->leader_heard_ms == 0 && choose_target(gateway) == NULL)
		fail_call(call);
	else
		send_attempt(call);
}

/* Starts to probe the replicas among the configured peers for a leader. */
gateway_t *
gateway_create(
    struct ev_loop *loop, const settings_t *settings, endpoint_t *endpoint)
{
	gateway_t *gateway = g_new0(gateway_t, 1);

	gateway->loop = loop;
	gateway->settings = settings;
	gateway->endpoint = endpoint;
	gateway->created_ms = clock_mono_ms();
	/* Instances start at different peers, which spreads the probes. */
	gateway->next_peer = g_str_hash(settings->instance);
	g_queue_init(&gateway->calls);
	gateway->answered = counter_get(
	    "gateway_calls_total{outcome=\"answered\"}", "callers' calls");
	gateway->not_run =
	    counter_get("gateway_calls_total{outcome=\"not_run\"}", "");
	gateway->unknown =
	    counter_get("gateway_calls_total{outcome=\"unknown\"}", "");
	gateway->took = histogram_get(
	    "gateway_call_seconds", "time until a call was answered");
	ev_timer_init(&gateway->probe, on_probe, 0, 0);
	gateway->probe.data = gateway;
	schedule_probe(gateway, OUTAGE_PROBE_RETRY_MS);
	return gateway;
}

/*
 * Fails all pending calls and frees the gateway.  The endpoint must have been
 * destroyed before, as it completes pending attempts.  NULL is allowed.
 */
void
gateway_destroy(gateway_t *gateway)
{
	if (gateway == NULL)
		return;
	ev_timer_stop(gateway->loop, &gateway->probe);
	while (gateway->calls.length > 0)
		fail_call(g_queue_peek_head(&gateway->calls));
	g_free(gateway);
}
