#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "entry/operator_private.h"

static const char *
role_name(raft_state_t state)
{
	switch (state) {
	case RAFT_LEARNER_STATE:
		return "learner";
	case RAFT_FOLLOWER:
		return "follower";
	case RAFT_PRE_CANDIDATE:
	case RAFT_CANDIDATE:
		return "candidate";
	case RAFT_LEADER:
		return "leader";
	}
	return "unknown";
}

/* Lists the instances of the settings with what the leader saw of them. */
static json_t *
instances_json(const operator_t *op)
{
	const machine_t *machine = operator_machine(op);
	json_t *list = json_array();

	for (size_t i = 0; i < op->settings->peer_count; i++) {
		const settings_peer_t *peer = &op->settings->peers[i];
		const machine_instance_t *seen =
		    machine_instance(machine, peer->id);

		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:b, s:b, s:b, s:b}", "instance",
			peer->id, "domain", peer->failure_domain, "replica",
			peer->is_replica, "known", seen != NULL, "alive",
			seen != NULL && seen->alive, "draining",
			seen != NULL && seen->draining));
	}
	return list;
}

/* Lists the members of the log; a leader also knows how far each has come. */
static json_t *
members_json(const raft_t *raft)
{
	const raft_members_t *members = raft_members(raft);
	bool leads = raft_state(raft) == RAFT_LEADER;
	int64_t now_ms = clock_mono_ms();
	json_t *list = json_array();

	for (u_int i = 0; i < members->members.members_len; i++) {
		const raft_member_t *member = &members->members.members_val[i];
		json_t *entry = json_pack("{s:s, s:s}", "instance", member->id,
		    "role", member->role == MEMBER_VOTER ? "voter" : "learner");

		if (leads) {
			json_object_set_new(entry, "silent_ms",
			    json_integer(raft_member_silent_ms(
				raft, member->id, now_ms)));
			json_object_set_new(entry, "match",
			    json_integer((json_int_t)raft_member_match(
				raft, member->id)));
		}
		json_array_append_new(list, entry);
	}
	return list;
}

/*
 * GET /v1/status.  safe_to_continue is null on an instance that does not lead,
 * which does not know it.
 */
void
operator_status(operator_t *op, http_request_t *request, str_t parameter)
{
	const machine_t *machine = operator_machine(op);
	const raft_t *raft = replica_raft(op->replica);
	const char *leader = replica_leader_id(op->replica);
	bool leads = raft_state(raft) == RAFT_LEADER;

	http_answer_json(request, 200,
	    json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:o, s:o, s:o}",
		"instance", op->settings->instance, "role",
		role_name(raft_state(raft)), "leader",
		leader != NULL ? leader : "", "term",
		(json_int_t)raft_term(raft), "commit",
		(json_int_t)raft_commit_index(raft), "applied",
		(json_int_t)machine_index(machine), "config_version",
		(json_int_t)machine_config_version(machine), "confirmed",
		replica_is_confirmed(op->replica), "instances",
		instances_json(op), "members", members_json(raft),
		"safe_to_continue",
		leads ? json_boolean(replica_safe_to_replace(op->replica))
		      : json_null()));
}

static void
instance_applied(operator_t *op, http_request_t *request, const err_t *err,
    const command_result_t *result)
{
	if (result->code == -ENOENT) {
		http_answer_error(request, 404, "refused", "not_found", "", 0,
		    "%s", result->text);
		return;
	}
	http_answer_json(
	    request, 202, json_pack("{s:s}", "outcome", "accepted"));
}

/* Returns a known instance, NULL after answering 404. */
static const machine_instance_t *
find_instance(operator_t *op, http_request_t *request, str_t parameter)
{
	char id[NAME_MAX_LEN + 1];
	const machine_instance_t *instance = NULL;

	if (str_copy(parameter, id, sizeof(id)) == 0)
		instance = machine_instance(operator_machine(op), id);
	if (instance == NULL)
		http_answer_error(request, 404, "refused", "not_found", "", 0,
		    "no instance %.*s; GET /v1/status lists them",
		    STR_ARG(parameter));
	return instance;
}

/* POST /v1/instances/{id}/drain */
void
operator_drain(operator_t *op, http_request_t *request, str_t parameter)
{
	const machine_instance_t *instance =
	    find_instance(op, request, parameter);
	command_t command = {.kind = COMMAND_INSTANCE};

	if (instance == NULL)
		return;
	command.command_t_u.instance = (instance_command_t){
	    .id = instance->id,
	    .alive = instance->alive,
	    .draining = TRUE,
	    .incarnation = instance->incarnation,
	    .time_ms = clock_real_ms(),
	};
	operator_propose(op, request, &command, instance_applied);
}

/* POST /v1/instances/{id}/replace */
void
operator_replace(operator_t *op, http_request_t *request, str_t parameter)
{
	const machine_instance_t *instance =
	    find_instance(op, request, parameter);
	command_t command = {.kind = COMMAND_REPLACE};

	if (instance == NULL)
		return;
	command.command_t_u.replace = instance->id;
	operator_propose(op, request, &command, instance_applied);
}

static void
run_drain(struct ev_loop *loop, ev_timer *timer, int events)
{
	operator_t *op = timer->data;

	op->drain(op->drain_ctx);
}

/*
 * Sets what drains this instance.  It is not called for the drain of an earlier
 * incarnation, which a restarted replica finds in its log.
 */
void
operator_set_drain(
    operator_t *op, uint64_t incarnation, void (*drain)(void *ctx), void *ctx)
{
	op->incarnation = incarnation;
	op->drain = drain;
	op->drain_ctx = ctx;
}

/* See operator_private.h. */
void
operator_note_drain(operator_t *op, const command_t *command)
{
	const instance_command_t *instance = &command->command_t_u.instance;

	if (op->drain == NULL || command->kind != COMMAND_INSTANCE ||
	    !instance->draining || instance->incarnation != op->incarnation ||
	    strcmp(instance->id, op->settings->instance) != 0 ||
	    ev_is_active(&op->drain_timer))
		return;
	/* Not from here: a command is being applied. */
	ev_timer_init(&op->drain_timer, run_drain, 0, 0);
	op->drain_timer.data = op;
	ev_timer_start(op->loop, &op->drain_timer);
}
