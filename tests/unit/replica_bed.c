#include "tests/unit/replica_bed.h"

#include <check.h>
#include <string.h>

#include "common/clock.h"

#define TIMING                                                \
	",\"ping_interval_ms\":100,\"silent_after_ms\":1000," \
	"\"election_timeout_ms\":400,\"heartbeat_ms\":50"

static void
serve(void *ctx, const char *peer, uint32_t procedure, void *args,
    endpoint_request_t *request)
{
	propose_result_t empty_reply = {.leader = "", .result.text = ""};
	node_t *node = ctx;

	if (node->replica != NULL && procedure == RPC_RAFT)
		replica_serve_raft(node->replica, args);
	else if (node->replica != NULL && procedure == RPC_PROPOSE)
		replica_serve_propose(node->replica, args, request);
	else if (procedure == RPC_PROPOSE)
		/* Answers a probe as an instance without log and leader. */
		endpoint_answer(request, &empty_reply);
}

static void
on_applied(void *ctx, uint64_t index, const command_t *command,
    const command_result_t *result)
{
	node_t *node = ctx;

	node->applied++;
}

void
start_endpoint(replica_bed_t *bed, size_t i)
{
	node_t *node = &bed->nodes[i];
	err_t err;

	bed->incarnation++;
	node->endpoint = endpoint_create(bed->loop, bed->system->settings[i],
	    bed->incarnation, serve, node, &err);
	ck_assert_msg(node->endpoint != NULL, "%s", err.text);
}

void
start_node(replica_bed_t *bed, size_t i)
{
	const settings_t *settings = bed->system->settings[i];
	node_t *node = &bed->nodes[i];
	err_t err;

	start_endpoint(bed, i);
	node->replica = replica_create(
	    bed->loop, settings, node->endpoint, bed->incarnation, &err);
	ck_assert_msg(node->replica != NULL, "%s", err.text);
	replica_set_applied(node->replica, on_applied, node);
}

void
stop_node(replica_bed_t *bed, size_t i)
{
	node_t *node = &bed->nodes[i];

	replica_destroy(node->replica);
	endpoint_destroy(node->endpoint);
	node->replica = NULL;
	node->endpoint = NULL;
}

/* Makes the settings of count instances, the first of which have a disk. */
void
replica_bed_open(
    replica_bed_t *bed, size_t count, size_t replicas, const char *more)
{
	char *text = g_strconcat(TIMING, more, NULL);

	*bed = (replica_bed_t){.loop = ev_loop_new(0), .incarnation = 100};
	bed->system = system_create(count, replicas, text);
	g_free(text);
}

void
replica_bed_close(replica_bed_t *bed)
{
	for (size_t i = 0; i < MAX_NODES; i++)
		stop_node(bed, i);
	system_destroy(bed->system);
	ev_loop_destroy(bed->loop);
}

void
start_all(replica_bed_t *bed)
{
	for (size_t i = 0; i < bed->system->count; i++)
		start_node(bed, i);
}

/* Index of the leader among the running nodes, -1 for none. */
int
leader_of(const replica_bed_t *bed)
{
	for (size_t i = 0; i < MAX_NODES; i++) {
		if (bed->nodes[i].replica != NULL &&
		    replica_is_leader(bed->nodes[i].replica))
			return (int)i;
	}
	return -1;
}

int
other_than(const replica_bed_t *bed, int leader)
{
	for (int i = 0; i < MAX_NODES; i++) {
		if (i != leader && bed->nodes[i].replica != NULL)
			return i;
	}
	return -1;
}

bool
all_confirmed(void *ctx)
{
	const replica_bed_t *bed = ctx;

	if (leader_of(bed) < 0)
		return false;
	for (size_t i = 0; i < MAX_NODES; i++) {
		if (bed->nodes[i].replica != NULL &&
		    !replica_is_confirmed(bed->nodes[i].replica))
			return false;
	}
	return true;
}

bool
is_safe_to_replace(void *ctx)
{
	const replica_bed_t *bed = ctx;
	int leader = leader_of(bed);

	return leader >= 0 &&
	       replica_safe_to_replace(bed->nodes[leader].replica);
}

/* ---- proposals: COMMAND_INSTANCE for an instance that does not exist ---- */

bool
has(const replica_bed_t *bed, int node, const char *name)
{
	return machine_instance(
		   replica_machine(bed->nodes[node].replica), name) != NULL;
}

void
put_done(void *ctx, const err_t *err, const command_result_t *result)
{
	put_t *put = ctx;

	put->ended++;
	put->code = err->code;
	if (result != NULL && result->code != 0)
		put->code = result->code;
	put->visible = put->bed->nodes[put->node].replica != NULL &&
		       has(put->bed, put->node, put->name);
}

command_t
put_command(replica_bed_t *bed, int node, put_t *put, const char *name)
{
	command_t command = {.kind = COMMAND_INSTANCE};

	*put = (put_t){.bed = bed, .node = node};
	g_strlcpy(put->name, name, sizeof(put->name));
	command.command_t_u.instance.id = put->name;
	command.command_t_u.instance.time_ms = clock_real_ms();
	return command;
}

void
put_start(replica_bed_t *bed, int node, put_t *put, const char *name,
    int64_t deadline_ms)
{
	command_t command = put_command(bed, node, put, name);

	replica_propose(
	    bed->nodes[node].replica, &command, deadline_ms, put_done, put);
	ck_assert_int_eq(put->ended, 0);
}

bool
put_ended(void *ctx)
{
	return ((put_t *)ctx)->ended > 0;
}

void
put(replica_bed_t *bed, int node, const char *name)
{
	put_t one;

	put_start(bed, node, &one, name, LONG_MS);
	WAIT(bed, put_ended, &one);
	ck_assert_int_eq(one.code, 0);
	ck_assert(one.visible);
}

void
put_many(replica_bed_t *bed, int node, const char *prefix, int count)
{
	put_t *puts = g_new0(put_t, (gsize)count);
	char name[32];

	for (int i = 0; i < count; i++) {
		g_snprintf(name, sizeof(name), "%s%d", prefix, i);
		put_start(bed, node, &puts[i], name, LONG_MS);
	}
	for (int i = 0; i < count; i++) {
		WAIT(bed, put_ended, &puts[i]);
		ck_assert_int_eq(puts[i].code, 0);
		ck_assert_int_eq(puts[i].ended, 1);
	}
	g_free(puts);
}

typedef struct {
	replica_bed_t *bed;
	int node;
	const char *name;
} visible_t;

static bool
is_visible(void *ctx)
{
	visible_t *visible = ctx;

	return has(visible->bed, visible->node, visible->name);
}

void
wait_visible(replica_bed_t *bed, int node, const char *name)
{
	visible_t visible = {bed, node, name};

	WAIT(bed, is_visible, &visible);
}
