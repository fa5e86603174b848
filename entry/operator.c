#include "entry/operator.h"

#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/json_bound.h"
#include "entry/operator_private.h"

#define MAX_OPERATOR_CONNECTIONS 64
/* Of a decoded patch. */
#define MAX_TREE_BYTES (16 * 1024 * 1024)
#define IDLE_TIMEOUT_S 60
#define BURN_SAMPLE_S 10.0 /* several times in a bucket of one minute */
#define WAIT_POLL_S 0.02

/*
 * One route.  A path that ends in "/{id}" or holds it takes one parameter.
 */
typedef struct {
	const char *method;
	const char *prefix;
	const char *suffix; /* NULL: no parameter */
	bool needs_operator;
	operator_handler_t *handler;
} route_t;

static const route_t routes[] = {
    {"GET", "/v1/config", NULL, false, operator_get_config},
    {"PATCH", "/v1/config", NULL, true, operator_patch_config},
    {"GET", "/v1/config/history", NULL, false, operator_get_history},
    {"POST", "/v1/config/plan", NULL, false, operator_plan},
    {"GET", "/v1/status", NULL, false, operator_status},
    {"GET", "/v1/jobs", NULL, false, operator_jobs},
    {"GET", "/v1/workers", NULL, false, operator_workers},
    {"GET", "/v1/workspaces", NULL, false, operator_workspaces},
    {"GET", "/v1/explain/", "", false, operator_explain},
    {"POST", "/v1/instances/", "/drain", true, operator_drain},
    {"POST", "/v1/instances/", "/replace", true, operator_replace},
    {"GET", "/v1/burn", NULL, false, operator_burn},
    {"GET", "/metrics", NULL, false, operator_metrics},
};

/* A request whose command is proposed. */
typedef struct {
	operator_t *op; /* NULL once it has been destroyed */
	http_request_t *request;
	operator_proposed_t *done;
	GList link;
} pending_t;

/* Tells whether a route has this path, and fills its parameter. */
static bool
match(const route_t *route, str_t path, str_t *parameter)
{
	str_t prefix = str_from(route->prefix);
	str_t suffix = str_from(route->suffix);

	*parameter = (str_t){NULL, 0};
	if (route->suffix == NULL)
		return str_equal(path, prefix);
	if (!str_starts(path, prefix) || path.len <= prefix.len + suffix.len)
		return false;
	parameter->data = path.data + prefix.len;
	parameter->len = path.len - prefix.len - suffix.len;
	if (memchr(parameter->data, '/', parameter->len) != NULL)
		return false;
	return str_equal(
	    (str_t){parameter->data + parameter->len, suffix.len}, suffix);
}

static void
serve(void *ctx, http_request_t *request)
{
	operator_t *op = ctx;
	str_t path = http_path(request);
	bool known_path = false;
	str_t parameter;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!match(&routes[i], path, &parameter))
			continue;
		known_path = true;
		if (!str_equal(
			http_method(request), str_from(routes[i].method)))
			continue;
		if (operator_check_key(op, request, routes[i].needs_operator))
			routes[i].handler(op, request, parameter);
		return;
	}
	if (known_path)
		http_answer_error(request, 405, "refused", "bad_method", "", 0,
		    "this route has no method %.*s",
		    STR_ARG(http_method(request)));
	else
		http_answer_error(request, 404, "refused", "not_found", "", 0,
		    "no route %.*s", STR_ARG(path));
}

/* Returns the state machine of this instance. */
const machine_t *
operator_machine(const operator_t *op)
{
	return replica_machine(op->replica);
}

/* Answers a proposal that failed; -ETIMEDOUT may still be applied. */
static void
answer_not_applied(http_request_t *request, const err_t *err)
{
	if (err->code == -ETIMEDOUT)
		http_answer_error(request, 504, "unknown", "timeout", "", 0,
		    "no answer from a majority in time; the same command can "
		    "be sent again");
	else if (err->code == -EINVAL || err->code == -EMSGSIZE)
		http_answer_error(request, 413, "refused", "too_large", "", 0,
		    "the command breaks a limit: %s", err->text);
	else
		http_answer_error(request, 503, "refused", "no_quorum", "",
		    CLOCK_MS_PER_S,
		    "not proposed (%s: %s); send it again when a majority "
		    "is reachable",
		    err->peer, err->text);
}

static void
proposed(void *ctx, const err_t *err, const command_result_t *result)
{
	pending_t *pending = ctx;

	if (pending->op != NULL) {
		g_queue_unlink(pending->op->pending, &pending->link);
		if (err->code != 0)
			answer_not_applied(pending->request, err);
		else
			pending->done(
			    pending->op, pending->request, err, result);
	}
	g_free(pending);
}

/*
 * Proposes a command for a request.  done answers the request once the command
 * is applied; a proposal that fails is answered with 503 or 504.
 */
void
operator_propose(operator_t *op, http_request_t *request,
    const command_t *command, operator_proposed_t *done)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->op = op;
	pending->request = request;
	pending->done = done;
	pending->link.data = pending;
	g_queue_push_tail_link(op->pending, &pending->link);
	replica_propose(
	    op->replica, command, OPERATOR_PROPOSE_MS, proposed, pending);
}

/*
 * Reads the body of a request as a JSON object with only known keys.  Returns
 * NULL after answering 400 otherwise.
 */
json_t *
operator_read_body(
    http_request_t *request, const char *const *known, size_t count)
{
	str_t bytes = http_body(request);
	json_error_t where;
	json_t *body = json_load_bounded(
	    bytes, JSON_REJECT_DUPLICATES, MAX_TREE_BYTES, &where);
	const char *key;
	json_t *value;

	if (body == NULL || !json_is_object(body)) {
		http_answer_error(request, 400, "refused", "bad_request", "", 0,
		    "expected a JSON object%s%s", body == NULL ? ": " : "",
		    body == NULL ? where.text : "");
		json_decref(body);
		return NULL;
	}
	json_object_foreach (body, key, value) {
		char path[NAME_MAX_LEN];
		size_t i = 0;

		while (i < count && strcmp(known[i], key) != 0)
			i++;
		if (i < count)
			continue;
		g_snprintf(path, sizeof(path), "/%s", key);
		http_answer_error(request, 400, "refused", "bad_request", path,
		    0, "unknown field");
		json_decref(body);
		return NULL;
	}
	return body;
}

/*
 * Reads an optional number of the query into *value, which keeps its value
 * without one.  Returns false after answering 400 when it is none.
 */
bool
operator_query_number(http_request_t *request, const char *name, int64_t *value)
{
	str_t text = http_query(request, name);
	long long number;

	if (text.data == NULL)
		return true;
	if (str_to_int64(text, &number) != 0 || number < 0) {
		http_answer_error(request, 400, "refused", "bad_request", name,
		    0, "expected a number in the query");
		return false;
	}
	*value = number;
	return true;
}

static void
sample(struct ev_loop *loop, ev_timer *timer, int events)
{
	operator_t *op = timer->data;

	operator_feed_objectives(op);
	burn_sample(op->burn, clock_real_ms());
}

static void
poll_waits(struct ev_loop *loop, ev_timer *timer, int events)
{
	operator_answer_waits(timer->data, false);
}

static size_t
body_limit(void *ctx, const http_request_t *request)
{
	const operator_t *op = ctx;

	return str_equal(http_method(request), STR_LIT("GET"))
		   ? 0
		   : (size_t)op->settings->max_body_bytes;
}

/*
 * Starts the operator routes on settings->operator_port.  settings and replica
 * must outlive it.  Returns NULL when a key file cannot be read or the port
 * cannot be bound.
 */
operator_t *
operator_create(struct ev_loop *loop, const settings_t *settings,
    replica_t *replica, mem_budget_t *memory, err_t *err)
{
	operator_t *op = g_new0(operator_t, 1);
	listener_options_t options = {
	    .address = settings->address,
	    .port = (uint16_t)settings->operator_port,
	    .max_body_bytes = (size_t)settings->max_body_bytes,
	    .body_limit = body_limit,
	    .max_connections = MIN(MAX_OPERATOR_CONNECTIONS,
		mem_budget_connections(memory, MEM_OPERATORS)),
	    .idle_timeout_s = IDLE_TIMEOUT_S,
	    .memory = mem_budget_share(memory, MEM_OPERATORS),
	};

	op->loop = loop;
	op->settings = settings;
	op->replica = replica;
	op->waits = g_queue_new();
	op->pending = g_queue_new();
	op->burn = burn_create(clock_real_ms());
	ev_timer_init(&op->burn_timer, sample, BURN_SAMPLE_S, BURN_SAMPLE_S);
	op->burn_timer.data = op;
	ev_timer_start(loop, &op->burn_timer);
	ev_timer_init(&op->wait_timer, poll_waits, WAIT_POLL_S, WAIT_POLL_S);
	op->wait_timer.data = op;
	if (operator_read_keys(op, err) == 0)
		op->listener = listener_create(loop, &options, serve, op, err);
	if (op->listener == NULL) {
		operator_destroy(op);
		return NULL;
	}
	return op;
}

/*
 * Stops the routes; requests that wait are answered first.  NULL is allowed.
 * Proposals that are still open end without effect on their request.
 */
void
operator_destroy(operator_t *op)
{
	pending_t *pending;

	if (op == NULL)
		return;
	ev_timer_stop(op->loop, &op->burn_timer);
	ev_timer_stop(op->loop, &op->drain_timer);
	operator_answer_waits(op, true);
	ev_timer_stop(op->loop, &op->wait_timer);
	while ((pending = g_queue_peek_head(op->pending)) != NULL) {
		g_queue_unlink(op->pending, &pending->link);
		pending->op = NULL;
		http_answer_error(pending->request, 503, "unknown", "draining",
		    "", CLOCK_MS_PER_S,
		    "this instance stops; the same command can be sent again "
		    "to another one");
	}
	if (op->listener != NULL)
		listener_destroy(op->listener);
	g_queue_free(op->waits);
	g_queue_free(op->pending);
	burn_destroy(op->burn);
	g_free(op->fed);
	g_free(op->operator_key);
	g_free(op->reader_key);
	g_free(op);
}

/* Sets the function that tells why a job waits; NULL for none. */
void
operator_set_explain(operator_t *op, operator_explain_t *explain, void *ctx)
{
	op->explain = explain;
	op->explain_ctx = ctx;
}

/* Returns the port of the listener. */
uint16_t
operator_port(const operator_t *op)
{
	return listener_port(op->listener);
}
