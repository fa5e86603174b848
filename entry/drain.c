#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "entry/internal.h"

/* A drained instance waits this long for its workers' new owners. */
#define HAND_OVER_MS 2000

/* Ends the drain when nothing is left to do. */
void
drain_sweep(entry_t *entry, int64_t now_ms)
{
	void (*drained)(void *ctx) = entry->drained;
	int left;

	if (!entry->draining || drained == NULL)
		return;
	left = entry->active.length == 0 ||
		       lanes_waiting(entry->lanes, LANE_SHORT) +
			       lanes_waiting(entry->lanes, LANE_BATCH) ==
			   0
		   ? ownership_hand_over(entry)
		   : 1;
	if (entry->active.length > 0 || entry->claim_ends.length > 0 ||
	    listener_open_requests(entry->listener) > 0) {
		entry->idle_ms = 0;
		return;
	}
	if (entry->idle_ms == 0)
		entry->idle_ms = now_ms;
	if (left > 0 && now_ms - entry->idle_ms < HAND_OVER_MS)
		return;
	entry->drained = NULL;
	drained(entry->drained_ctx);
}

static void
on_balancer_told(void *ctx, const err_t *err, const client_answer_t *answer)
{
	if (err->code != 0)
		log_err(LOG_WARNING, err);
}

/* Tells the platform's balancer, whose URL names an IP address and port. */
static void
tell_balancer(entry_t *entry)
{
	const char *url = entry->settings->balancer_url;
	client_request_t call = {.method = "POST",
	    .deadline_ms = 2 * CONTROL_DEADLINE_MS,
	    .fresh_connection = true};
	char *path;
	char *host = NULL;
	char *prefix = NULL;
	char *text;
	json_t *body;
	int port = 0;

	if (url == NULL || url[0] == '\0')
		return;
	if (!g_uri_split_network(
		url, G_URI_FLAGS_NONE, NULL, &host, &port, NULL) ||
	    port <= 0) {
		log_line(LOG_WARNING, "balancer_url \"%s\" names no port", url);
		g_free(host);
		return;
	}
	g_uri_split(url, G_URI_FLAGS_NONE, NULL, NULL, NULL, NULL, &prefix,
	    NULL, NULL, NULL);
	path = g_strconcat(
	    prefix != NULL && strcmp(prefix, "/") != 0 ? prefix : "", "/drain",
	    NULL);
	body = json_pack("{s:s, s:s, s:i}", "instance",
	    entry->settings->instance, "address", entry->settings->address,
	    "port", (int)listener_port(entry->listener));
	text = json_dumps(body, JSON_COMPACT);
	call.address = host;
	call.port = port;
	call.path = path;
	call.body = str_from(text);
	client_start(entry->client, &call, on_balancer_told, NULL);
	free(text);
	json_decref(body);
	g_free(path);
	g_free(prefix);
	g_free(host);
}

static void
on_draining_known(void *ctx, const err_t *err, const command_result_t *result)
{
	if (err->code != 0)
		log_err(LOG_WARNING, err);
}

/*
 * Takes no more work and calls drained once the present work has ended and the
 * workers have other owners.
 */
void
entry_drain(entry_t *entry, void (*drained)(void *ctx), void *ctx)
{
	command_t command = {.kind = COMMAND_INSTANCE};

	if (entry->draining)
		return;
	entry->draining = true;
	entry->drained = drained;
	entry->drained_ctx = ctx;
	log_line(LOG_NOTICE, "draining with %u requests", entry->active.length);
	tell_balancer(entry);
	command.command_t_u.instance = (instance_command_t){
	    .id = entry->settings->instance,
	    .alive = true,
	    .draining = true,
	    .incarnation = entry->incarnation,
	    .time_ms = clock_real_ms(),
	};
	replica_propose(entry->replica, &command, PROPOSE_DEADLINE_MS,
	    on_draining_known, NULL);
}
