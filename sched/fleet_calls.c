#include <errno.h>
#include <jansson.h>
#include <string.h>

#include "common/clock.h"
#include "common/evlog.h"
#include "rpc/codec.h"
#include "sched/fleet_private.h"

#define COMMIT_DEADLINE_MS 2500
#define CONFIG_DEADLINE_MS 3000
#define JOB_ID_LEN 16
#define NO_LEADER_RETRY_MS 500
#define UNPLACEABLE_RETRY_MS 5000
#define FOREIGN_ID "a job of another tenant has this id"

/* ---- callers ---- */

/* A client call that waits for its command to be committed. */
typedef struct {
	fleet_t *fleet; /* NULL once the fleet is destroyed */
	endpoint_request_t *request;
	char *job;
	int64_t since_ms;
	batch_answer_t answer_if_committed;
	GList link;
} pending_call_t;

static void
send_reply(endpoint_request_t *request, batch_reply_t reply)
{
	if (reply.leader.id == NULL)
		reply.leader = (peer_info_t){.id = (char *)"",
		    .address = (char *)"",
		    .domain = (char *)""};
	if (reply.reason == NULL)
		reply.reason = (char *)"";
	endpoint_answer(request, &reply);
}

static void
send_code(endpoint_request_t *request, batch_answer_t code, const char *reason)
{
	send_reply(
	    request, (batch_reply_t){.answer = code, .reason = (char *)reason});
}

static void
send_not_leader(fleet_t *fleet, endpoint_request_t *request)
{
	send_reply(request, (batch_reply_t){
				.answer = BATCH_NOT_LEADER,
				.leader = fleet_leader_info(fleet),
				.retry_after_ms = NO_LEADER_RETRY_MS,
			    });
}

static void
on_committed(void *ctx, const err_t *err, const command_result_t *result)
{
	pending_call_t *call = ctx;
	int64_t took_ms = fleet_now_ms() - call->since_ms;

	if (call->fleet == NULL) {
		send_code(call->request, BATCH_UNCERTAIN, "stopping");
		goto done;
	}
	g_queue_unlink(&call->fleet->pending_calls, &call->link);
	if (err->code == -ENOTCONN) {
		send_not_leader(call->fleet, call->request);
	} else if (err->code == -ETIMEDOUT) {
		send_code(call->request, BATCH_UNCERTAIN, err->text);
	} else if (err->code != 0) {
		send_code(call->request, BATCH_REFUSED, err->text);
	} else if (result->code == -ENOENT) {
		send_code(call->request, BATCH_UNKNOWN_JOB, "no such job");
	} else if (result->code == -EEXIST) {
		send_code(call->request, BATCH_REFUSED, FOREIGN_ID);
	} else if (result->code == -ESTALE) {
		send_code(call->request, BATCH_REFUSED,
		    "the queue was removed meanwhile");
	} else if (result->code != 0) {
		send_code(call->request, BATCH_INVALID, "the job is not valid");
	} else {
		send_code(call->request, call->answer_if_committed, "");
	}
	if (err->code == 0)
		histogram_record(
		    call->fleet->commit_latency, took_ms * CLOCK_US_PER_MS);
	evlog("commit", "{s:s,s:i,s:i,s:I}", "job", call->job, "verb",
	    (int)call->answer_if_committed, "code", err->code, "took_ms",
	    (json_int_t)took_ms);
	fleet_schedule_work(call->fleet);
done:
	g_free(call->job);
	g_free(call);
}

static void
propose_for_caller(fleet_t *fleet, const command_t *command, const char *job,
    batch_answer_t answer_if_committed, endpoint_request_t *request)
{
	pending_call_t *call = g_new0(pending_call_t, 1);

	call->fleet = fleet;
	call->request = request;
	call->job = g_strdup(job);
	call->since_ms = fleet_now_ms();
	call->answer_if_committed = answer_if_committed;
	call->link.data = call;
	g_queue_push_tail_link(&fleet->pending_calls, &call->link);
	replica_propose(
	    fleet->replica, command, COMMIT_DEADLINE_MS, on_committed, call);
}

/*
 * Detaches pending calls; on_committed answers them when the replica is
 * destroyed.
 */
void
fleet_calls_clear(fleet_t *fleet)
{
	GList *at;

	while ((at = g_queue_pop_head_link(&fleet->pending_calls)) != NULL)
		((pending_call_t *)at->data)->fleet = NULL;
}

/* Returns the part of the path after the queue's prefix. */
static const char *
job_id(const batch_call_t *call, const fleet_queue_t *queue)
{
	return call->path + strlen(queue->path_prefix);
}

static bool
is_job_id(const char *id)
{
	size_t len = strlen(id);

	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isxdigit(id[i]))
			return false;
	}
	return len == JOB_ID_LEN;
}

/* Returns the name of a caller's tenant, "" for a caller without one. */
static const char *
name_of(const fleet_tenant_t *tenant)
{
	return tenant != NULL ? tenant->name : "";
}

/* Refuses a job that can't be accepted now; it never runs. */
static void
refuse(fleet_t *fleet, const char *id, const char *reason,
    endpoint_request_t *request)
{
	counter_add(fleet->rejected, 1);
	evlog("reject", "{s:s,s:s}", "job", id, "reason", reason);
	send_reply(request, (batch_reply_t){
				.answer = BATCH_REFUSED,
				.retry_after_ms = UNPLACEABLE_RETRY_MS,
				.reason = (char *)reason,
			    });
}

/* Returns the caller's job with that id, or NULL and answers the call. */
static const ledger_job_t *
find_job(fleet_t *fleet, const char *id, const fleet_tenant_t *tenant,
    endpoint_request_t *request)
{
	const ledger_job_t *job = ledger_job(fleet_ledger(fleet), id);

	if (job != NULL && ledger_job_is_of(job, name_of(tenant)))
		return job;
	send_code(request, BATCH_UNKNOWN_JOB, "no such job");
	return NULL;
}

static void
submit(fleet_t *fleet, batch_call_t *call, const fleet_queue_t *queue,
    const fleet_tenant_t *tenant, endpoint_request_t *request)
{
	command_t command = {.kind = COMMAND_BATCH_SUBMIT};
	const char *id = job_id(call, queue);
	const ledger_job_t *job = ledger_job(fleet_ledger(fleet), id);
	const char *reason;

	if (job != NULL && ledger_job_is_of(job, name_of(tenant))) {
		send_code(request, BATCH_ACCEPTED, "");
		return;
	}
	if (job != NULL) {
		refuse(fleet, id, FOREIGN_ID, request);
		return;
	}
	if (ledger_validate_spec(&call->spec, &reason) != 0) {
		send_code(request, BATCH_INVALID, reason);
		return;
	}
	if (!fleet_can_ever_run(fleet, queue->service, &call->spec, &reason)) {
		refuse(fleet, id, reason, request);
		return;
	}
	command.command_t_u.batch_submit = (batch_submit_t){
	    .id = (char *)id,
	    .queue = queue->name,
	    .tenant = (char *)name_of(tenant),
	    .submitted_ms = clock_real_ms(),
	    .spec = call->spec,
	};
	counter_add(fleet->submitted, 1);
	propose_for_caller(fleet, &command, id, BATCH_ACCEPTED, request);
}

static void
cancel(fleet_t *fleet, const char *id, const fleet_tenant_t *tenant,
    endpoint_request_t *request)
{
	command_t command = {.kind = COMMAND_BATCH_CANCEL};
	const ledger_job_t *job = find_job(fleet, id, tenant, request);

	if (job == NULL)
		return;
	if (ledger_job_has_ended(job)) {
		send_code(request, BATCH_CANCELLED, "");
		return;
	}
	command.command_t_u.batch_cancel = (char *)id;
	propose_for_caller(fleet, &command, id, BATCH_CANCELLED, request);
}

static void
status(fleet_t *fleet, const char *id, const fleet_tenant_t *tenant,
    endpoint_request_t *request)
{
	const ledger_job_t *job = find_job(fleet, id, tenant, request);

	if (job == NULL)
		return;
	send_reply(request, (batch_reply_t){
				.answer = BATCH_STATE,
				.state = ledger_job_state(job),
			    });
}

static void
serve_on_queue(fleet_t *fleet, batch_call_t *call, const fleet_queue_t *queue,
    endpoint_request_t *request)
{
	const fleet_tenant_t *tenant =
	    ledger_tenant_of_key(fleet_ledger(fleet), call->api_key);
	const char *id = job_id(call, queue);

	if (!queue->anonymous && tenant == NULL) {
		send_code(request, BATCH_NO_KEY, "unknown key");
		return;
	}
	if (call->verb == BATCH_STATUS && id[0] == '\0') {
		send_reply(request, (batch_reply_t){
					.answer = BATCH_PENDING_COUNT,
					.pending_count = ledger_pending_count(
					    fleet_ledger(fleet), queue->name),
				    });
		return;
	}
	if (!is_job_id(id)) {
		send_code(request,
		    call->verb == BATCH_SUBMIT ? BATCH_INVALID
					       : BATCH_UNKNOWN_JOB,
		    "the id of a job has 16 hexadecimal digits");
		return;
	}
	if (call->verb == BATCH_SUBMIT)
		submit(fleet, call, queue, tenant, request);
	else if (call->verb == BATCH_CANCEL)
		cancel(fleet, id, tenant, request);
	else
		status(fleet, id, tenant, request);
}

/* Serves a batch call forwarded by the instance that the client contacted. */
void
fleet_serve_call(
    fleet_t *fleet, batch_call_t *call, endpoint_request_t *request)
{
	const fleet_queue_t *queue;

	if (!fleet_leads(fleet)) {
		send_not_leader(fleet, request);
		return;
	}
	if (ledger_config(fleet_ledger(fleet))->number == 0) {
		send_code(request, BATCH_NO_CONFIG, "no configuration yet");
		return;
	}
	/* The caller only asks whether this instance leads. */
	if (call->verb == BATCH_LEADER) {
		send_code(request, BATCH_ACCEPTED, "");
		return;
	}
	queue = ledger_route(
	    fleet_ledger(fleet), str_from(call->host), str_from(call->path));
	if (queue == NULL) {
		send_code(request, BATCH_NO_QUEUE, "no such queue");
		return;
	}
	serve_on_queue(fleet, call, queue, request);
}

/* ---- configuration ---- */

typedef struct {
	fleet_t *fleet;
	fleet_done_t *done;
	fleet_read_done_t *read_done;
	void *ctx;
	uint64_t version;
} config_call_t;

static void
on_config_committed(void *ctx, const err_t *err, const command_result_t *result)
{
	config_call_t *call = ctx;

	evlog("config", "{s:I,s:i}", "version", (json_int_t)call->version,
	    "code", err->code);
	call->done(call->ctx, err->code == 0 ? FLEET_OK : FLEET_NO_ANSWER);
	g_free(call);
}

/*
 * Replaces the configuration. A version that is not newer is acknowledged and
 * changes nothing, but it is proposed too, so that a deposed
 * leader does not acknowledge it.
 */
void
fleet_replace_config(
    fleet_t *fleet, fleet_config_t *config, fleet_done_t *done, void *ctx)
{
	command_t command = {.kind = COMMAND_FLEET_CONFIG};
	config_call_t *call;

	if (!fleet->leading) {
		done(ctx, FLEET_NOT_LEADER);
		return;
	}
	call = g_new0(config_call_t, 1);
	*call = (config_call_t){.fleet = fleet,
	    .done = done,
	    .ctx = ctx,
	    .version = config->number};
	command.command_t_u.fleet_config = *config;
	replica_propose(fleet->replica, &command, CONFIG_DEADLINE_MS,
	    on_config_committed, call);
}

static void
on_read_ready(void *ctx, const err_t *err, const command_result_t *result)
{
	config_call_t *call = ctx;
	const fleet_config_t *config;

	/*
	 * Don't use call->fleet here: the replica fails pending reads when it
	 * is destroyed, after the fleet.
	 */
	if (err->code != 0) {
		call->read_done(call->ctx, FLEET_NO_ANSWER, (str_t){NULL, 0});
		g_free(call);
		return;
	}
	config = ledger_config(fleet_ledger(call->fleet));
	if (config->number == 0)
		call->read_done(call->ctx, FLEET_NO_CONFIG, (str_t){NULL, 0});
	else
		call->read_done(call->ctx, FLEET_OK,
		    (str_t){config->document.body_t_val,
			config->document.body_t_len});
	g_free(call);
}

/* Reads the latest configuration; a quorum confirms that it is current. */
void
fleet_read_config(fleet_t *fleet, fleet_read_done_t *done, void *ctx)
{
	config_call_t *call;

	if (!fleet->leading) {
		done(ctx, FLEET_NOT_LEADER, (str_t){NULL, 0});
		return;
	}
	call = g_new0(config_call_t, 1);
	*call = (config_call_t){.fleet = fleet, .read_done = done, .ctx = ctx};
	replica_read_barrier(
	    fleet->replica, CONFIG_DEADLINE_MS, on_read_ready, call);
}
