#pragma once

#include "entry/burn.h"
#include "entry/listener.h"
#include "entry/operator.h"

/* Shared by the parts of the operator routes. */

#define OPERATOR_PROPOSE_MS 5000 /* an accepted version must be in force */
#define OPERATOR_VERSION_WAIT_MS 2000

struct operator_t {
	struct ev_loop *loop;
	const settings_t *settings;
	replica_t *replica;
	listener_t *listener;
	char *operator_key; /* NULL when none is set */
	char *reader_key;
	operator_explain_t *explain;
	void *explain_ctx;
	burn_t *burn;
	int64_t *fed; /* events of the entry task counted so far */
	ev_timer burn_timer;
	ev_timer wait_timer;
	GQueue *waits;   /* requests that wait for a version */
	GQueue *pending; /* requests with an open proposal */
};

typedef void operator_handler_t(
    operator_t *op, http_request_t *request, str_t parameter);

/* Ends a proposal made for a request. */
typedef void operator_proposed_t(operator_t *op, http_request_t *request,
    const err_t *err, const command_result_t *result);

/* Proposes a command; a failed proposal is answered here, not by done. */
void operator_propose(operator_t *op, http_request_t *request,
    const command_t *command, operator_proposed_t *done);
/* Reads the body as an object with only the known keys; answers 400. */
json_t *operator_read_body(
    http_request_t *request, const char *const *known, size_t count);
const machine_t *operator_machine(const operator_t *op);
/* An optional number in the query; false and 400 when it is no number. */
bool operator_query_number(
    http_request_t *request, const char *name, int64_t *value);

int operator_read_keys(operator_t *op, err_t *err);
/* Answers 401 or 403 and returns false when the key does not suffice. */
bool operator_check_key(
    operator_t *op, http_request_t *request, bool needs_operator);

operator_handler_t operator_get_config;
operator_handler_t operator_patch_config;
operator_handler_t operator_get_history;
operator_handler_t operator_plan;
operator_handler_t operator_status;
operator_handler_t operator_jobs;
operator_handler_t operator_workers;
operator_handler_t operator_workspaces;
operator_handler_t operator_explain;
operator_handler_t operator_drain;
operator_handler_t operator_replace;
operator_handler_t operator_burn;
operator_handler_t operator_metrics;

/* Counts what the entry task's metrics say about the objectives. */
void operator_feed_objectives(operator_t *op);
void operator_answer_waits(operator_t *op, bool give_up);
json_t *operator_reclaims(const machine_t *machine, const json_t *config);
