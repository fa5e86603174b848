#pragma once

#include <errno.h>
#include <string.h>

#include "entry/entry.h"
#include "rpc/codec.h"

/*
 * A replica and an endpoint without disks and sockets: several instances of the
 * entry task in one process share one state machine.  Defines the functions of
 * state/replica.h and rpc/endpoint.h that the entry task uses, so that the
 * linker takes no others; include it in one source of a program only.
 */

#define MAX_INSTANCES 4

typedef enum {
	COMMIT,
	COMMIT_REFUSED,       /* no majority: certainly not proposed */
	COMMIT_LOST,          /* times out and is never applied */
	COMMIT_WITHOUT_ANSWER /* times out although it is applied */
} commit_t;

typedef struct {
	bool down;      /* takes and makes no calls */
	bool no_answer; /* serves calls, but its answers get lost */
	entry_t *entry;
	replica_t *replica;
	endpoint_t *endpoint;
	settings_t *settings;
} instance_t;

static struct {
	struct ev_loop *loop;
	machine_t *machine;
	uint64_t index;
	commit_t commit;
	bool confirmed;
	bool starting;
	bool hold; /* proposals wait */
	instance_t instances[MAX_INSTANCES];
	int instance_count;
	GQueue proposals;
	GQueue messages;
	ev_prepare prepare;
	ev_idle idle;
	int claims_proposed;
} fake;

struct replica_t {
	const char *id;
};

struct endpoint_t {
	const char *id;
};

typedef struct {
	GByteArray *bytes;
	replica_done_t *done;
	void *ctx;
} proposal_t;

struct endpoint_request_t {
	char *from;
	char *to;
	uint32_t procedure;
	GByteArray *args;
	GByteArray *result;
	bool one_way;
	endpoint_done_t *done;
	void *ctx;
};

static instance_t *
fake_instance(const char *id)
{
	for (int i = 0; i < fake.instance_count; i++) {
		if (strcmp(fake.instances[i].settings->instance, id) == 0)
			return &fake.instances[i];
	}
	return NULL;
}

static void
fake_apply(command_t *command, command_result_t *result)
{
	memset(result, 0, sizeof(*result));
	machine_apply(fake.machine, ++fake.index, command, result);
	for (int i = 0; i < fake.instance_count; i++) {
		if (fake.instances[i].entry != NULL)
			entry_applied(fake.instances[i].entry, command, result);
	}
}

static void
fake_commit(proposal_t *proposal)
{
	str_t bytes = {
	    (const char *)proposal->bytes->data, proposal->bytes->len};
	command_t command = {0};
	command_result_t result = {0};
	err_t err = {0};

	g_assert_cmpint(
	    codec_decode((xdrproc_t)xdr_command_t, bytes, &command), ==, 0);
	fake.claims_proposed += command.kind == COMMAND_CLAIM;
	if (fake.commit == COMMIT_REFUSED)
		err_set(&err, -ENOTCONN, "propose", NULL, "no majority");
	else if (fake.commit != COMMIT)
		err_set(&err, -ETIMEDOUT, "propose", NULL, "no answer");
	if (fake.commit == COMMIT || fake.commit == COMMIT_WITHOUT_ANSWER)
		fake_apply(&command, &result);
	proposal->done(proposal->ctx, &err, err.code == 0 ? &result : NULL);
	machine_result_free(&result);
	codec_free((xdrproc_t)xdr_command_t, &command);
	g_byte_array_unref(proposal->bytes);
	g_free(proposal);
}

typedef struct {
	xdrproc_t args;
	size_t args_size;
	xdrproc_t result;
} procedure_t;

static const procedure_t fake_procedures[] = {
    [RPC_FORWARD] = {(xdrproc_t)xdr_forward_args_t, sizeof(forward_args_t),
	(xdrproc_t)xdr_forward_result_t},
    [RPC_ASK] = {(xdrproc_t)xdr_ask_args_t, sizeof(ask_args_t),
	(xdrproc_t)xdr_forward_result_t},
    [RPC_SEEN] = {(xdrproc_t)xdr_seen_args_t, sizeof(seen_args_t), NULL},
    [RPC_SHARE] = {(xdrproc_t)xdr_share_args_t, sizeof(share_args_t), NULL},
};

static void
fake_request_free(endpoint_request_t *request)
{
	if (request->args != NULL)
		g_byte_array_unref(request->args);
	if (request->result != NULL)
		g_byte_array_unref(request->result);
	g_free(request->from);
	g_free(request->to);
	g_free(request);
}

static void
fake_deliver_answer(endpoint_request_t *request)
{
	const instance_t *to = fake_instance(request->to);
	str_t bytes = {
	    (const char *)request->result->data, request->result->len};
	forward_result_t result = {0};
	err_t err = {0};

	if (to->down || to->no_answer)
		err_set(&err, -ETIMEDOUT, "call", request->to, "no answer");
	g_assert_cmpint(
	    codec_decode((xdrproc_t)xdr_forward_result_t, bytes, &result), ==,
	    0);
	request->done(request->ctx, &err, err.code == 0 ? &result : NULL);
	codec_free((xdrproc_t)xdr_forward_result_t, &result);
	fake_request_free(request);
}

static void
fake_deliver(endpoint_request_t *request)
{
	const procedure_t *procedure = &fake_procedures[request->procedure];
	const instance_t *to = fake_instance(request->to);
	str_t bytes = {(const char *)request->args->data, request->args->len};
	err_t err = {0};
	void *args;

	if (request->result != NULL) {
		fake_deliver_answer(request);
		return;
	}
	if (to == NULL || to->down || to->entry == NULL) {
		err_set(&err, -ECONNREFUSED, "call", request->to, "down");
		if (!request->one_way)
			request->done(request->ctx, &err, NULL);
		fake_request_free(request);
		return;
	}
	args = g_malloc0(procedure->args_size);
	g_assert_cmpint(codec_decode(procedure->args, bytes, args), ==, 0);
	entry_serve_rpc(to->entry, request->from, request->procedure, args,
	    request->one_way ? NULL : request);
	codec_free(procedure->args, args);
	g_free(args);
	if (request->one_way)
		fake_request_free(request);
}

static void
fake_turn(struct ev_loop *loop, ev_idle *watcher, int events)
{
	guint proposals = fake.hold ? 0 : fake.proposals.length;
	guint messages = fake.messages.length;

	while (proposals-- > 0)
		fake_commit(g_queue_pop_head(&fake.proposals));
	while (messages-- > 0)
		fake_deliver(g_queue_pop_head(&fake.messages));
	if ((fake.hold || fake.proposals.length == 0) &&
	    fake.messages.length == 0)
		ev_idle_stop(loop, watcher);
}

void
replica_propose(replica_t *replica, const command_t *command,
    int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	proposal_t *proposal = g_new0(proposal_t, 1);

	proposal->bytes = codec_encode_command(command);
	g_assert_nonnull(proposal->bytes);
	proposal->done = done;
	proposal->ctx = ctx;
	g_queue_push_tail(&fake.proposals, proposal);
	ev_idle_start(fake.loop, &fake.idle);
}

void
replica_read_barrier(
    replica_t *replica, int64_t deadline_ms, replica_done_t *done, void *ctx)
{
	command_t command = {.kind = COMMAND_NOOP};

	replica_propose(replica, &command, deadline_ms, done, ctx);
}

const machine_t *
replica_machine(const replica_t *replica)
{
	return fake.machine;
}

bool
replica_is_leader(const replica_t *replica)
{
	return strcmp(replica->id, "i1") == 0;
}

const char *
replica_leader_id(const replica_t *replica)
{
	return "i1";
}

bool
replica_is_confirmed(const replica_t *replica)
{
	return fake.confirmed;
}

bool
replica_was_confirmed(const replica_t *replica)
{
	return !fake.starting;
}

const raft_t *
replica_raft(const replica_t *replica)
{
	return NULL;
}

static endpoint_request_t *
fake_call(
    endpoint_t *endpoint, const char *peer, uint32_t procedure, void *args)
{
	endpoint_request_t *request = g_new0(endpoint_request_t, 1);

	request->from = g_strdup(endpoint->id);
	request->to = g_strdup(peer);
	request->procedure = procedure;
	request->args = g_byte_array_new();
	g_assert_cmpint(
	    codec_encode(fake_procedures[procedure].args, args, request->args),
	    ==, 0);
	g_queue_push_tail(&fake.messages, request);
	ev_idle_start(fake.loop, &fake.idle);
	return request;
}

void
endpoint_call(endpoint_t *endpoint, const char *peer, uint32_t procedure,
    void *args, int64_t deadline_ms, endpoint_done_t *done, void *ctx)
{
	endpoint_request_t *request =
	    fake_call(endpoint, peer, procedure, args);

	request->done = done;
	request->ctx = ctx;
}

int
endpoint_send(
    endpoint_t *endpoint, const char *peer, uint32_t procedure, void *args)
{
	fake_call(endpoint, peer, procedure, args)->one_way = true;
	return 0;
}

void
endpoint_answer(endpoint_request_t *request, void *result)
{
	request->result = g_byte_array_new();
	g_assert_cmpint(codec_encode((xdrproc_t)xdr_forward_result_t, result,
			    request->result),
	    ==, 0);
	g_queue_push_tail(&fake.messages, request);
	ev_idle_start(fake.loop, &fake.idle);
}

bool
endpoint_peer_is_up(const endpoint_t *endpoint, const char *peer)
{
	const instance_t *instance = fake_instance(peer);

	return instance != NULL && !instance->down && instance->entry != NULL;
}

int64_t
endpoint_peer_silent_ms(const endpoint_t *endpoint, const char *peer)
{
	return 0;
}

static settings_t *
fake_settings(int self, int count, const char *extra)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	GString *text = g_string_new(NULL);
	settings_t *settings;

	g_string_printf(text,
	    "{\"instance\":\"i%d\",\"address\":\"127.0.0.1\","
	    "\"failure_domain\":\"d%d\",\"roles\":[\"entry\"],\"rpc_port\":1,"
	    "\"http_port\":1,\"operator_port\":1,%s\"peers\":[",
	    self, self, extra);
	for (int i = 1; i <= count; i++)
		g_string_append_printf(text,
		    "%s{\"id\":\"i%d\",\"address\":\"127.0.0.1\","
		    "\"failure_domain\":\"d%d\",\"rpc_port\":1,"
		    "\"http_port\":1,\"operator_port\":1}",
		    i > 1 ? "," : "", i, i);
	g_string_append(text, "]}");
	settings = settings_parse(text->str, text->len, "test", problems);
	if (settings == NULL)
		g_error("%s", (char *)g_ptr_array_index(problems, 0));
	settings->http_port = 0; /* chosen by the kernel */
	g_ptr_array_unref(problems);
	g_string_free(text, TRUE);
	return settings;
}

/* Starts the machine and that many instances, each in its own domain. */
static void
fake_start(struct ev_loop *loop, int count, const char *extra)
{
	memset(&fake, 0, sizeof(fake));
	fake.loop = loop;
	fake.machine = machine_create();
	fake.confirmed = true;
	fake.instance_count = count;
	g_queue_init(&fake.proposals);
	g_queue_init(&fake.messages);
	ev_idle_init(&fake.idle, fake_turn);
	for (int i = 0; i < count; i++) {
		instance_t *instance = &fake.instances[i];
		err_t err = {0};

		instance->settings = fake_settings(i + 1, count, extra);
		instance->replica = g_new0(replica_t, 1);
		instance->endpoint = g_new0(endpoint_t, 1);
		instance->replica->id = instance->settings->instance;
		instance->endpoint->id = instance->settings->instance;
		instance->entry = entry_create(loop, instance->settings,
		    instance->endpoint, instance->replica, NULL, 0x5f, &err);
		if (instance->entry == NULL)
			g_error("%s", err.text);
	}
}

/* Ends one instance as a crash would: nobody hears of it. */
static inline void
fake_kill(int i)
{
	entry_t *entry = fake.instances[i].entry;

	fake.instances[i].entry = NULL;
	fake.instances[i].down = true;
	entry_destroy(entry);
}

static void
fake_stop(void)
{
	for (int i = 0; i < fake.instance_count; i++) {
		entry_destroy(fake.instances[i].entry);
		fake.instances[i].entry = NULL;
	}
	while (fake.proposals.length + fake.messages.length > 0)
		fake_turn(fake.loop, &fake.idle, 0);
	ev_idle_stop(fake.loop, &fake.idle);
	for (int i = 0; i < fake.instance_count; i++) {
		g_free(fake.instances[i].replica);
		g_free(fake.instances[i].endpoint);
		settings_destroy(fake.instances[i].settings);
	}
	machine_destroy(fake.machine);
}
