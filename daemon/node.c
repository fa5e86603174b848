#include "daemon/node.h"

#include <glib.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "entry/client.h"
#include "entry/entry.h"
#include "entry/operator.h"
#include "entry/placer.h"
#include "policy/slots.h"
#include "rpc/endpoint.h"
#include "state/replica.h"

/* Connections of each backend server, shared by all instances, for an instance
 * without an entry, which learns the real number. */
#define WORKER_CONNECTIONS 64
#define MAX_ANSWER_BYTES 4194304
#define MIB 1048576

struct node_t {
	struct ev_loop *loop;
	const settings_t *settings;
	mem_budget_t *memory;
	endpoint_t *endpoint;
	replica_t *replica;
	client_t *client; /* NULL when the placer uses the entry's */
	entry_t *entry;
	placer_t *placer;
	operator_t *op;
	ev_timer drain_timer;
	bool draining;
	int exit_code;
};

/* Hands each call of another instance to the task that serves it. */
static void
serve_rpc(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
	node_t *node = ctx;

	/* Peers may call before the later tasks exist. */
	if (procedure == RPC_RAFT && node->replica != NULL)
		replica_serve_raft(node->replica, args);
	else if (procedure == RPC_PROPOSE && node->replica != NULL)
		replica_serve_propose(node->replica, args, request);
	else if (node->entry != NULL)
		entry_serve_rpc(node->entry, peer, procedure, args, request);
}

static void
on_applied(void *ctx, uint64_t index, const command_t *command,
    const command_result_t *result)
{
	node_t *node = ctx;

	if (node->entry != NULL)
		entry_applied(node->entry, command, result);
	if (node->placer != NULL)
		placer_applied(node->placer, command, result);
	if (node->op != NULL)
		operator_applied(node->op, command, result);
}

static void
explain(void *ctx, const char *job, GString *out)
{
	node_t *node = ctx;

	if (node->placer != NULL)
		placer_explain(node->placer, job, out);
}

static void
on_operator_drain(void *ctx)
{
	node_drain(ctx);
}

/* Creates the tasks in the order in which they depend on each other. */
static int
create_tasks(node_t *node, uint64_t incarnation, err_t *err)
{
	const settings_t *settings = node->settings;
	int share = slots_connection_share(
	    WORKER_CONNECTIONS, (int)settings->peer_count);

	node->endpoint = endpoint_create(
	    node->loop, settings, incarnation, serve_rpc, node, err);
	if (node->endpoint == NULL)
		return err->code;
	node->replica = replica_create(
	    node->loop, settings, node->endpoint, incarnation, err);
	if (node->replica == NULL)
		return err->code;
	replica_set_applied(node->replica, on_applied, node);
	if (settings->role_entry) {
		node->entry = entry_create(node->loop, settings, node->endpoint,
		    node->replica, node->memory, incarnation, err);
		if (node->entry == NULL)
			return err->code;
	}
	if (settings->role_placer) {
		/* A client of its own would double the instance's share. */
		if (node->entry == NULL)
			node->client =
			    client_create(node->loop, share, MAX_ANSWER_BYTES);
		node->placer =
		    placer_create(node->loop, settings, node->replica,
			node->entry != NULL ? entry_client(node->entry)
					    : node->client,
			err);
		if (node->placer == NULL)
			return err->code;
	}
	node->op = operator_create(
	    node->loop, settings, node->replica, node->memory, err);
	if (node->op == NULL)
		return err->code;
	operator_set_explain(node->op, explain, node);
	operator_set_drain(node->op, incarnation, on_operator_drain, node);
	return 0;
}

/*
 * Starts every task of the instance.  Returns NULL and fills err when an
 * address cannot be bound or the durable state cannot be read.
 */
node_t *
node_create(struct ev_loop *loop, const settings_t *settings, err_t *err)
{
	node_t *node = g_new0(node_t, 1);
	uint64_t incarnation = (uint64_t)clock_real_ms();

	node->loop = loop;
	node->settings = settings;
	node->memory = mem_budget_create(settings->memory_mb > 0
					     ? settings->memory_mb * MIB
					     : mem_budget_limit());
	if (create_tasks(node, incarnation, err) != 0) {
		node_destroy(node);
		return NULL;
	}
	log_line(LOG_NOTICE, "started in failure domain %s",
	    settings->failure_domain);
	return node;
}

static void
on_drained(void *ctx)
{
	node_t *node = ctx;

	ev_timer_stop(node->loop, &node->drain_timer);
	log_line(LOG_NOTICE, "drained");
	ev_break(node->loop, EVBREAK_ALL);
}

static void
on_drain_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	node_t *node = timer->data;

	log_line(LOG_ERR, "work in flight did not end within %lld ms",
	    (long long)node->settings->drain_timeout_ms);
	node->exit_code = EXIT_FAILURE;
	ev_break(loop, EVBREAK_ALL);
}

/*
 * Starts a graceful shutdown: the balancer is told, work in flight ends, then
 * the loop is left.  The exit code is a failure when drain_timeout_ms passes
 * first.
 */
void
node_drain(node_t *node)
{
	if (node->draining)
		return;
	node->draining = true;
	log_line(LOG_NOTICE, "draining");
	ev_timer_init(&node->drain_timer, on_drain_timeout,
	    (double)node->settings->drain_timeout_ms / CLOCK_MS_PER_S, 0);
	node->drain_timer.data = node;
	ev_timer_start(node->loop, &node->drain_timer);
	if (node->entry != NULL)
		entry_drain(node->entry, on_drained, node);
	else
		on_drained(node);
}

/* Returns the exit code of the process. */
int
node_exit_code(const node_t *node)
{
	return node->exit_code;
}

/* Ends every task; NULL is allowed. */
void
node_destroy(node_t *node)
{
	if (node == NULL)
		return;
	operator_destroy(node->op);
	placer_destroy(node->placer);
	entry_destroy(node->entry);
	client_destroy(node->client);
	replica_destroy(node->replica);
	endpoint_destroy(node->endpoint);
	mem_budget_destroy(node->memory);
	g_free(node);
}
