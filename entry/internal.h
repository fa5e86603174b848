#pragma once

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "common/chart.h"
#include "common/clock.h"
#include "common/counters.h"
#include "entry/client.h"
#include "entry/entry.h"
#include "entry/fields.h"
#include "entry/listener.h"
#include "policy/admission.h"
#include "policy/health.h"
#include "policy/lanes.h"
#include "policy/limiter.h"
#include "policy/retry_budget.h"
#include "policy/slots.h"
#include "policy/transit.h"

/* What the parts of the entry task share; private to entry/. */

#define TICK_MS 50
#define TASK_LEASE_MS 30000
#define TASK_RENEW_MS 10000
#define CONTROL_DEADLINE_MS 1000 /* status, stop and renew of a task */
#define PROPOSE_DEADLINE_MS 5000
#define OWNERSHIP_CHECK_MS 500

typedef struct request_t request_t;

typedef enum {
	REQUEST_QUEUED,
	REQUEST_CLAIMING,
	REQUEST_RUNNING,
	REQUEST_ASKING, /* another request claimed the key; its fate is asked */
	REQUEST_FORWARDED,
} request_state_t;

/* Why a running task is being stopped. */
typedef enum {
	STOP_NONE,
	STOP_REQUEUE, /* short request that ran too long */
	STOP_CANCEL,
	STOP_NEVER_SEEN, /* so that it can't run later */
} stop_reason_t;

/* Somebody who waits for the end of a request besides its first caller. */
typedef struct {
	request_t *request;
	http_request_t *http;
	endpoint_request_t *rpc;
	bool wants_status; /* the body of GET /v1/requests/{id} */
	int64_t deadline_ms;
	GList link;
} waiter_t;

struct request_t {
	entry_t *entry;
	char id[NAME_MAX_LEN + 1];
	char task[NAME_MAX_LEN + 1]; /* of the present attempt */
	int attempt;
	request_state_t state;
	lanes_item_t item;
	health_request_t health;
	GList link;
	char *tenant;
	char *workspace;
	char *key;    /* NULL when repeatable */
	char *by_key; /* tenant and key, as in entry->by_key */
	bool repeatable;
	uint64_t digest;
	char *input; /* JSON text */
	int64_t declared_ms;
	int64_t deadline_ms; /* monotonic */
	int64_t arrived_us;
	http_request_t *http;
	endpoint_request_t *rpc;
	GPtrArray *waiters; /* NULL when none */
	/* The present attempt. */
	char *worker;
	uint64_t fence;
	lane_t slot_lane;
	bool holds_slot;
	bool may_have_run; /* some attempt was sent and its fate is not known */
	bool resent;       /* its caller has sent it before */
	bool requeued;     /* as batch */
	bool lane_changed; /* since it was queued last */
	bool no_forward;
	bool cancelled;
	stop_reason_t stopping;
	client_call_t *call;  /* PUT */
	client_call_t *probe; /* GET or stop */
	client_call_t *renewal;
	int64_t queued_ms;    /* 0 unless it waits for its first slot */
	int64_t predicted_ms; /* wait from then on */
	int64_t taken_ms;     /* its slot */
	int64_t started_ms;
	int64_t next_check_ms;
	int64_t renewed_ms;
	int64_t stopped_ms; /* answered "never ran" to a stop; 0 before */
	int64_t known_ms;   /* when the task was certainly not forgotten */
	int probe_failures;
	char *forwarded_to;
	int64_t forward_share_ms; /* age of the share that it was based on */
	int forwards;
};

/* What is kept of a request after its end, in one block. */
typedef struct {
	outcome_t outcome;
	int status;
	int64_t ended_ms;
	const char *id; /* these point into text */
	const char *worker;
	str_t body;
	char text[];
} ended_t;

/* A claim's end that is proposed until it is committed. */
typedef struct {
	claim_end_command_t command;
	int64_t retry_ms;
	bool in_flight;
	GList link;
} claim_end_t;

/* What another instance shared. */
typedef struct {
	char *id;
	int free[LANE_COUNT];
	bool draining;
	int64_t heard_ms;
} peer_t;

typedef struct {
	counter_t *requests[LANE_COUNT][3]; /* by outcome */
	counter_t *claims;
	counter_t *claims_refused;
	counter_t *retries;
	counter_t *retries_denied;
	counter_t *forwards;
	counter_t *forwards_failed;
	counter_t *asks;
	counter_t *probes;
	counter_t *quarantines;
	counter_t *lease_ends;
	counter_t *reclassified;
	counter_t *waiting[LANE_COUNT];
	counter_t *workers;
	histogram_t *queue_us[LANE_COUNT];
	histogram_t *latency_us[LANE_COUNT];
	histogram_t *claim_us;
} metrics_t;

/* Outlives the entry while calls of other tasks are open. */
typedef struct {
	entry_t *entry; /* NULL once it has ended */
} handle_t;

struct entry_t {
	struct ev_loop *loop;
	const settings_t *settings;
	endpoint_t *endpoint;
	replica_t *replica;
	uint64_t incarnation;
	uint64_t next_id;
	handle_t *handle; /* g_rc_box */
	listener_t *listener;
	client_t *client;
	int connections;
	ev_timer tick;
	ev_prepare prepare;
	bool dispatch_wanted;
	lanes_t *lanes;
	limiter_t *limiter;
	retry_budget_t retry_budget;
	slots_t *slots;
	health_t *health;
	admission_t admission;
	GQueue active;
	GHashTable *by_id;
	GHashTable *by_key;
	GQueue waiters;
	GHashTable *ended;
	GQueue ended_order;
	size_t ended_bytes;
	GQueue claim_ends;
	GHashTable *peers;     /* id -> peer_t */
	GHashTable *transits;  /* sender of RPC_SEEN -> transit_t */
	GHashTable *last_seen; /* worker -> int64_t ms, for a change of owner */
	GHashTable *seen;      /* owner -> GArray of seen_item_t */
	GHashTable *moving;    /* workers whose owner is being changed */
	int64_t seen_sent_ms;
	int64_t shared_ms;
	share_args_t shared;
	int64_t synced_ms;
	int64_t ownership_ms;
	bool members_changed;
	bool draining;
	int64_t drain_started_ms;
	int64_t idle_ms; /* when a draining instance had nothing left to do */
	void (*drained)(void *ctx);
	void *drained_ctx;
	metrics_t metrics;
};

static inline const machine_t *
entry_machine(const entry_t *entry)
{
	return replica_machine(entry->replica);
}

static inline bool
entry_is_self(const entry_t *entry, const char *instance)
{
	return g_strcmp0(entry->settings->instance, instance) == 0;
}

/* metrics.c */
void metrics_create(metrics_t *metrics);
void metrics_refusal(const char *reason);

/* entry.c */
void entry_new_id(entry_t *entry, const char *prefix, char *id, size_t size);
json_t *entry_error(entry_t *entry, const char *outcome, const char *error,
    const char *path, int64_t retry_after_ms, const char *text);
bool entry_is_resend(http_request_t *http);
void entry_refuse(entry_t *entry, http_request_t *http, int status,
    const char *outcome, const char *error, const char *path,
    int64_t retry_after_ms, const char *format, ...)
    __attribute__((format(printf, 8, 9)));
bool entry_read_body(entry_t *entry, http_request_t *http, const field_t *table,
    size_t count, void *out, json_t **root);
bool entry_read_key(entry_t *entry, http_request_t *http, char *key);
uint64_t entry_digest(str_t body);
const char *outcome_name(outcome_t outcome);

/* A reference to a request that may have ended when a call returns. */
typedef struct {
	handle_t *handle;
	char id[NAME_MAX_LEN + 1];
	char task[NAME_MAX_LEN + 1];
	int64_t started_us;
} ticket_t;

ticket_t *ticket_create(const request_t *request);
/* Frees the ticket; NULL when the request has ended or tries another task. */
request_t *ticket_redeem(ticket_t *ticket);

/* status.c */
void requests_get(entry_t *entry, http_request_t *http, str_t id);
void requests_delete(entry_t *entry, http_request_t *http, str_t id);

/* requests.c */
void requests_post(entry_t *entry, http_request_t *http);
request_t *request_create(entry_t *entry, const char *id);
void requests_from_peer(
    entry_t *entry, const forward_args_t *args, endpoint_request_t *rpc);
bool request_admit(request_t *request);
void request_waited(request_t *request, int64_t now_ms);
void request_requeue_if_in_time(request_t *request);
void request_requeue(request_t *request);
void request_release_slot(request_t *request);
void request_end(
    request_t *request, outcome_t outcome, int status, json_t *body);
void request_end_text(request_t *request, outcome_t outcome, int status,
    str_t body, const char *worker);
void request_fail(request_t *request, outcome_t outcome, int status,
    const char *error, int64_t retry_after_ms, const char *format, ...)
    __attribute__((format(printf, 6, 7)));
void request_fail_by_fate(request_t *request, int status, const char *error,
    const char *format, ...) __attribute__((format(printf, 4, 5)));
void request_cancel(request_t *request);
void request_drop(request_t *request);

/* answers.c */
void request_wait(request_t *request, http_request_t *http,
    endpoint_request_t *rpc, bool wants_status, int64_t deadline_ms);
void request_reply(request_t *request, outcome_t outcome, int status,
    str_t body, const char *reason);
void request_reply_waiters(request_t *request, outcome_t outcome, int status,
    str_t body, const char *reason);
void waiters_expire(entry_t *entry, int64_t now_ms);
void ended_add(entry_t *entry, const request_t *request, outcome_t outcome,
    int status, str_t body);
const ended_t *ended_find(const entry_t *entry, const char *id);
void ended_expire(entry_t *entry, int64_t now_ms);
void answer_rpc(endpoint_request_t *rpc, outcome_t outcome, int status,
    const char *worker, const char *reason, str_t body);
json_t *status_body(const char *id, outcome_t outcome, const char *running,
    const char *worker, str_t answer);
request_t *request_of_task(const entry_t *entry, const char *task);
void task_request_id(const char *task, char *id, size_t size);

/* probe.c */
typedef enum {
	TASK_DONE,
	TASK_FAILED,
	TASK_ACTIVE, /* reserved or running */
	TASK_STOPPED_RAN,
	TASK_STOPPED_NOT_RUN,
	TASK_UNSEEN,
	TASK_BUSY,
	TASK_FENCED,
	TASK_NOT_SENT,
	TASK_LOST, /* no whole answer */
} task_fate_t;

task_fate_t task_fate(const err_t *err, const client_answer_t *answer);
void probe_start(request_t *request);
void probe_stop(request_t *request, stop_reason_t reason);
void probe_sweep(request_t *request, int64_t now_ms);
client_call_t *task_call(request_t *request, const char *method,
    const char *action, const char *body, client_done_t *done);
void task_stop_and_forget(request_t *request);
bool task_generation_is_current(const request_t *request);

/* dispatch.c */
void dispatch_run(entry_t *entry);
bool dispatch_at_once(request_t *request, int64_t now_ms);
int dispatch_slots(request_t *request, int64_t now_ms);
void dispatch_send(request_t *request);
void dispatch_sweep(entry_t *entry, int64_t now_ms);
void dispatch_stop(request_t *request, stop_reason_t reason);

void dispatch_did_not_run(request_t *request);
void dispatch_requeue(request_t *request);
void dispatch_retry(request_t *request, int status, const char *error,
    outcome_t outcome, const char *text);

/* outcomes.c */
void dispatch_done(request_t *request, const client_answer_t *answer);
void dispatch_failed(request_t *request, const client_answer_t *answer);
void dispatch_end_partly_run(
    request_t *request, int status, const char *error, const char *text);
void dispatch_cancelled(request_t *request, task_fate_t fate);
char *json_text(str_t body, const char *key, const json_t *value);
void append_number(GString *out, const char *label, int64_t value);

/* claims.c */
void claims_begin(request_t *request);
void claims_end(
    request_t *request, claim_state_t state, int status, str_t answer);
void claims_resolve(request_t *request);
void claims_release(request_t *request);
void claims_sweep(entry_t *entry, int64_t now_ms);
void claims_destroy(entry_t *entry);

/* forward.c */
bool forward_try(request_t *request);
void forward_cancel(request_t *request);
void forward_serve(
    entry_t *entry, forward_args_t *args, endpoint_request_t *rpc);
void forward_serve_ask(
    entry_t *entry, ask_args_t *args, endpoint_request_t *rpc);
void forward_serve_share(entry_t *entry, const share_args_t *args);
void forward_share(entry_t *entry, int64_t now_ms);
int forward_room(const entry_t *entry, lane_t lane, int64_t now_ms);
bool forward_has_peer(const entry_t *entry, int64_t now_ms);

/* workers.c */
void workers_post(entry_t *entry, http_request_t *http);
void workers_leave(entry_t *entry, http_request_t *http, str_t id);
void workers_sync(entry_t *entry);
void workers_sync_one(entry_t *entry, const char *id);
void workers_count_members(entry_t *entry);
void workers_serve_seen(
    entry_t *entry, const char *peer, const seen_args_t *args);
void workers_sweep(entry_t *entry, int64_t now_ms);
void workers_destroy(entry_t *entry);

/* ownership.c */
GHashTable *ownership_count(const entry_t *entry);
void ownership_add(GHashTable *counts, const char *instance);
const char *ownership_choose(const entry_t *entry, GHashTable *counts,
    const char *worker, const char *domain, const char *except);
void ownership_move(
    entry_t *entry, const machine_worker_t *worker, const char *owner);
void ownership_sweep(entry_t *entry, int64_t now_ms);
int ownership_hand_over(entry_t *entry);

/* drain.c */
void drain_sweep(entry_t *entry, int64_t now_ms);

/* jobs.c */
void jobs_post(entry_t *entry, http_request_t *http);
void jobs_get(entry_t *entry, http_request_t *http, str_t id, bool result);
void jobs_delete(entry_t *entry, http_request_t *http, str_t id);
