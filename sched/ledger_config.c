#include <string.h>

#include "rpc/codec.h"
#include "sched/ledger_private.h"

/* The configuration, and the queues that it had and that jobs still need. */

/* The first of several queues of one name counts. */
static void
index_queues(ledger_t *ledger)
{
	for (u_int i = ledger->config.queues.queues_len; i-- > 0;) {
		fleet_queue_t *queue = &ledger->config.queues.queues_val[i];

		g_hash_table_insert(ledger->queues, queue->name, queue);
	}
}

/* Frees a queue of ledger_t.retired_queues. */
void
ledger_queue_free(void *data)
{
	codec_free((xdrproc_t)xdr_fleet_queue_t, data);
	g_free(data);
}

/* Keeps a copy of a queue that the configuration no longer has. */
void
ledger_retire_queue(ledger_t *ledger, const fleet_queue_t *queue)
{
	fleet_queue_t *copy = g_memdup2(queue, sizeof(*queue));

	copy->name = g_strdup(queue->name);
	copy->host = g_strdup(queue->host);
	copy->path_prefix = g_strdup(queue->path_prefix);
	copy->service = g_strdup(queue->service);
	g_hash_table_replace(ledger->retired_queues, copy->name, copy);
}

/* Drops the retired queues that no open job refers to. */
static void
drop_unused_queues(ledger_t *ledger)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer name;

	for (const GList *at = ledger->open.head; at != NULL; at = at->next)
		g_hash_table_add(
		    used, ((ledger_job_t *)at->data)->submit.queue);
	g_hash_table_iter_init(&iter, ledger->retired_queues);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(used, name))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_unref(used);
}

/*
 * Retires the queues that config lacks: accepted jobs go on under the last
 * terms of their queue.  All are kept until the next configuration, as a job
 * that was proposed before this one may be committed after it.
 */
static void
retire_queues(ledger_t *ledger, const fleet_config_t *config)
{
	GHashTable *kept = g_hash_table_new(g_str_hash, g_str_equal);

	drop_unused_queues(ledger);
	for (u_int i = 0; i < config->queues.queues_len; i++)
		g_hash_table_add(kept, config->queues.queues_val[i].name);
	for (u_int i = 0; i < ledger->config.queues.queues_len; i++) {
		const char *name = ledger->config.queues.queues_val[i].name;

		if (!g_hash_table_contains(kept, name))
			ledger_retire_queue(ledger, ledger_queue(ledger, name));
	}
	g_hash_table_unref(kept);
}

/*
 * Replaces the configuration if the new number is higher.  Otherwise returns 0
 * without a change, so that a client that resends a command gets success again.
 */
int
ledger_apply_config(ledger_t *ledger, fleet_config_t *command)
{
	if (command->number <= ledger->config.number)
		return 0;
	retire_queues(ledger, command);
	g_hash_table_remove_all(ledger->queues);
	codec_free((xdrproc_t)xdr_fleet_config_t, &ledger->config);
	ledger->config = *command;
	memset(command, 0, sizeof(*command));
	index_queues(ledger);
	return 0;
}

const fleet_config_t *
ledger_config(const ledger_t *ledger)
{
	return &ledger->config;
}

/*
 * Returns the queue with that name, or NULL; one that the configuration no
 * longer has with its last terms, as long as jobs need it.
 */
const fleet_queue_t *
ledger_queue(const ledger_t *ledger, const char *name)
{
	const fleet_queue_t *queue = g_hash_table_lookup(ledger->queues, name);

	return queue != NULL
		   ? queue
		   : g_hash_table_lookup(ledger->retired_queues, name);
}

/* Whether a service is configured, or named by a queue that jobs need. */
bool
ledger_has_service(const ledger_t *ledger, const char *name)
{
	const fleet_config_t *config = &ledger->config;
	GHashTableIter iter;
	gpointer queue;

	for (u_int i = 0; i < config->services.services_len; i++) {
		if (strcmp(config->services.services_val[i].name, name) == 0)
			return true;
	}
	for (u_int i = 0; i < config->queues.queues_len; i++) {
		if (strcmp(config->queues.queues_val[i].service, name) == 0)
			return true;
	}
	g_hash_table_iter_init(&iter, ledger->retired_queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue)) {
		if (strcmp(((fleet_queue_t *)queue)->service, name) == 0)
			return true;
	}
	return false;
}

/* Returns the queue of host with the longest prefix of path, or NULL. */
const fleet_queue_t *
ledger_route(const ledger_t *ledger, str_t host, str_t path)
{
	const fleet_queue_t *best = NULL;
	size_t best_len = 0;

	for (u_int i = 0; i < ledger->config.queues.queues_len; i++) {
		const fleet_queue_t *queue =
		    &ledger->config.queues.queues_val[i];
		str_t prefix = str_from(queue->path_prefix);

		if (!str_equal(str_from(queue->host), host) ||
		    !str_starts(path, prefix))
			continue;
		if (best == NULL || prefix.len > best_len) {
			best = queue;
			best_len = prefix.len;
		}
	}
	return best;
}

/* Returns the tenant with that API key, or NULL. */
const fleet_tenant_t *
ledger_tenant_of_key(const ledger_t *ledger, const char *key)
{
	for (u_int i = 0; i < ledger->config.tenants.tenants_len; i++) {
		const fleet_tenant_t *tenant =
		    &ledger->config.tenants.tenants_val[i];

		for (u_int k = 0; k < tenant->keys.keys_len; k++) {
			if (strcmp(tenant->keys.keys_val[k], key) == 0)
				return tenant;
		}
	}
	return NULL;
}
