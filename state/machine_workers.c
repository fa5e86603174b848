#include <errno.h>
#include <string.h>

#include "state/machine_private.h"

static int
compare_names(const void *a, const void *b, void *ctx)
{
	return strcmp(a, b);
}

static void
worker_free(void *data)
{
	machine_worker_t *worker = data;

	g_free(worker->id);
	g_free(worker->address);
	g_free(worker->domain);
	g_free(worker->rack);
	g_free(worker->owner);
	g_free(worker);
}

static void
instance_free(void *data)
{
	machine_instance_t *instance = data;

	g_free(instance->id);
	g_free(instance);
}

static void
placer_free(void *data)
{
	machine_placer_t *placer = data;

	g_free(placer->domain);
	g_free(placer->instance);
	g_free(placer);
}

/* Creates the empty worker, instance and placer tables. */
void
machine_workers_create(machine_t *machine)
{
	machine->workers =
	    g_tree_new_full(compare_names, NULL, NULL, worker_free);
	machine->instances =
	    g_tree_new_full(compare_names, NULL, NULL, instance_free);
	machine->placers =
	    g_tree_new_full(compare_names, NULL, NULL, placer_free);
}

void
machine_workers_destroy(machine_t *machine)
{
	g_tree_unref(machine->workers);
	g_tree_unref(machine->instances);
	g_tree_unref(machine->placers);
}

/* Sets the data of result to owner, fence and leaving flag of a worker. */
static void
put_worker(const machine_worker_t *worker, command_result_t *result)
{
	machine_put_json(result,
	    json_pack("{s:s, s:I, s:b}", "owner", worker->owner, "fence",
		(json_int_t)worker->fence, "leaving", worker->leaving));
}

/* Returns whether an instance is known and lost, that is, not alive. */
static bool
is_lost(const machine_t *machine, const char *id)
{
	const machine_instance_t *instance = machine_instance(machine, id);

	return instance != NULL && !instance->alive;
}

/*
 * Gives a worker a fencing token that no worker has had before.  A worker that
 * was removed and registers again thus never gets a token it has seen.
 */
static void
assign_new_fence(machine_t *machine, machine_worker_t *worker)
{
	worker->fence = ++machine->last_fence;
}

/*
 * Registers a worker.  A new generation gets a higher fence and clears the
 * leaving flag; the owner is kept unless it is lost.  Registering the current
 * generation again changes nothing, so that a late resend cannot bring a
 * leaving worker back.  Codes: 0, -EINVAL.  The data holds owner, fence and
 * leaving.
 */
void
machine_apply_worker_add(machine_t *machine, const worker_command_t *command,
    command_result_t *result)
{
	machine_worker_t *worker = g_tree_lookup(machine->workers, command->id);

	if (command->id[0] == '\0' || command->owner[0] == '\0' ||
	    command->slots < 1 || command->connections < 1 ||
	    command->accelerators < 0 || command->accelerators > 32) {
		machine_fail(result, -EINVAL,
		    "worker \"%s\": expected id, owner, slots, connections and "
		    "0..32 accelerators",
		    command->id);
		return;
	}
	if (worker != NULL && worker->generation == command->generation) {
		put_worker(worker, result);
		return;
	}
	if (worker == NULL) {
		worker = g_new0(machine_worker_t, 1);
		worker->id = g_strdup(command->id);
		worker->owner = g_strdup(command->owner);
		g_tree_insert(machine->workers, worker->id, worker);
	} else if (is_lost(machine, worker->owner)) {
		machine_set_string(&worker->owner, command->owner);
	}
	machine_set_string(&worker->address, command->address);
	machine_set_string(&worker->domain, command->domain);
	machine_set_string(&worker->rack, command->rack);
	worker->port = command->port;
	worker->slots = command->slots;
	worker->connections = command->connections;
	worker->accelerators = command->accelerators;
	worker->generation = command->generation;
	worker->leaving = false;
	assign_new_fence(machine, worker);
	put_worker(worker, result);
}

/* Marks a worker as leaving.  Codes: 0, -ENOENT. */
void
machine_apply_worker_leave(
    machine_t *machine, const char *id, command_result_t *result)
{
	machine_worker_t *worker = g_tree_lookup(machine->workers, id);

	if (worker == NULL) {
		machine_fail(result, -ENOENT, "no worker %s", id);
		return;
	}
	worker->leaving = true;
}

/* Returns the worker if it has the expected fence, else NULL with result set.
 */
static machine_worker_t *
find_worker_with_fence(const machine_t *machine,
    const worker_owner_command_t *command, command_result_t *result)
{
	machine_worker_t *worker = g_tree_lookup(machine->workers, command->id);

	if (worker == NULL) {
		machine_fail(result, -ENOENT, "no worker %s", command->id);
		return NULL;
	}
	if (worker->fence != command->expected_fence) {
		machine_fail(result, -ESTALE,
		    "worker %s has fence %" G_GUINT64_FORMAT
		    ", not %" G_GUINT64_FORMAT,
		    worker->id, worker->fence,
		    (uint64_t)command->expected_fence);
		put_worker(worker, result);
		return NULL;
	}
	return worker;
}

/*
 * Moves a worker to another owner and assigns a higher fence.  Codes: 0,
 * -ENOENT, -ESTALE (another fence), -EHOSTDOWN (the new owner is lost).
 */
void
machine_apply_worker_owner(machine_t *machine,
    const worker_owner_command_t *command, command_result_t *result)
{
	machine_worker_t *worker =
	    find_worker_with_fence(machine, command, result);

	if (worker == NULL)
		return;
	if (is_lost(machine, command->owner)) {
		machine_fail(
		    result, -EHOSTDOWN, "instance %s is lost", command->owner);
		return;
	}
	machine_set_string(&worker->owner, command->owner);
	assign_new_fence(machine, worker);
	put_worker(worker, result);
}

/*
 * Removes a worker; the owner in the command is ignored.  Codes: 0, -ENOENT,
 * -ESTALE (another fence).
 */
void
machine_apply_worker_remove(machine_t *machine,
    const worker_owner_command_t *command, command_result_t *result)
{
	if (find_worker_with_fence(machine, command, result) != NULL)
		g_tree_remove(machine->workers, command->id);
}

/*
 * Records the status of an instance as the leader observed it.  The workers of
 * a lost instance keep their owner until COMMAND_WORKER_OWNER moves each one.
 * Codes: 0, -EINVAL.
 */
void
machine_apply_instance(machine_t *machine, const instance_command_t *command,
    command_result_t *result)
{
	machine_instance_t *instance =
	    g_tree_lookup(machine->instances, command->id);

	if (command->id[0] == '\0') {
		machine_fail(result, -EINVAL, "expected an instance id");
		return;
	}
	if (instance == NULL) {
		instance = g_new0(machine_instance_t, 1);
		instance->id = g_strdup(command->id);
		g_tree_insert(machine->instances, instance->id, instance);
	}
	instance->alive = command->alive != 0;
	instance->draining = command->draining != 0;
	instance->incarnation = command->incarnation;
}

/*
 * Marks an instance as draining, for its replacement, until the next
 * machine_apply_instance sets the flag.  Codes: 0, -ENOENT.
 */
void
machine_apply_drain(
    machine_t *machine, const char *id, command_result_t *result)
{
	machine_instance_t *instance = g_tree_lookup(machine->instances, id);

	if (instance == NULL) {
		machine_fail(result, -ENOENT, "no instance %s", id);
		return;
	}
	instance->draining = true;
}

/*
 * Makes an instance the placer of a domain under the next epoch, if the
 * current epoch (0 for none) is the expected one.  Codes: 0, -EINVAL, -ESTALE
 * (another epoch), -EHOSTDOWN (the instance is lost).  The data holds the
 * placer and its epoch after the command.
 */
void
machine_apply_placer(machine_t *machine, const placer_command_t *command,
    command_result_t *result)
{
	machine_placer_t *placer =
	    g_tree_lookup(machine->placers, command->domain);
	uint64_t epoch = placer != NULL ? placer->epoch : 0;

	if (command->domain[0] == '\0' || command->instance[0] == '\0') {
		machine_fail(result, -EINVAL, "expected domain and instance");
		return;
	}
	if (epoch != command->expected_epoch) {
		machine_fail(result, -ESTALE,
		    "domain %s is at epoch %" G_GUINT64_FORMAT
		    ", not %" G_GUINT64_FORMAT,
		    command->domain, epoch, (uint64_t)command->expected_epoch);
	} else if (is_lost(machine, command->instance)) {
		machine_fail(result, -EHOSTDOWN, "instance %s is lost",
		    command->instance);
	} else {
		if (placer == NULL) {
			placer = g_new0(machine_placer_t, 1);
			placer->domain = g_strdup(command->domain);
			g_tree_insert(machine->placers, placer->domain, placer);
		}
		machine_set_string(&placer->instance, command->instance);
		placer->epoch = epoch + 1;
	}
	if (placer != NULL)
		machine_put_json(result,
		    json_pack("{s:s, s:I}", "instance", placer->instance,
			"epoch", (json_int_t)placer->epoch));
}

/* Returns a worker, NULL if the id is unknown. */
const machine_worker_t *
machine_worker(const machine_t *machine, const char *id)
{
	return g_tree_lookup(machine->workers, id);
}

/* Returns an instance, NULL if the id is unknown. */
const machine_instance_t *
machine_instance(const machine_t *machine, const char *id)
{
	return g_tree_lookup(machine->instances, id);
}

/* Returns the placer of a domain, NULL if there has never been one. */
const machine_placer_t *
machine_placer(const machine_t *machine, const char *domain)
{
	return g_tree_lookup(machine->placers, domain);
}

/* Iterates over all workers in order of id. */
void
machine_each_worker(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_worker_t *worker), void *ctx)
{
	for (GTreeNode *node = g_tree_node_first(machine->workers);
	     node != NULL; node = g_tree_node_next(node)) {
		if (!visit(ctx, g_tree_node_value(node)))
			return;
	}
}

/* Iterates over all instances in order of id. */
void
machine_each_instance(const machine_t *machine,
    bool (*visit)(void *ctx, const machine_instance_t *instance), void *ctx)
{
	for (GTreeNode *node = g_tree_node_first(machine->instances);
	     node != NULL; node = g_tree_node_next(node)) {
		if (!visit(ctx, g_tree_node_value(node)))
			return;
	}
}
