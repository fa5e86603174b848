#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "entry/operator_private.h"
#include "state/config.h"

#define MAX_HISTORY 1000 /* versions in one answer */

/* A request that waits for a version. */
typedef struct {
	http_request_t *request;
	uint64_t version;
	int64_t until_ms;
} wait_t;

static void
answer_config(const operator_t *op, http_request_t *request)
{
	const machine_t *machine = operator_machine(op);

	http_answer_json(request, 200,
	    json_pack("{s:I, s:b, s:O}", "version",
		(json_int_t)machine_config_version(machine), "confirmed",
		replica_is_confirmed(op->replica), "config",
		machine_config(machine)));
}

/* A reader must not get an older version than it has already seen. */
static void
refuse_old_config(http_request_t *request, uint64_t version)
{
	http_answer_error(request, 503, "refused", "no_quorum", "",
	    OPERATOR_VERSION_WAIT_MS,
	    "this instance has only version %llu so far",
	    (unsigned long long)version);
}

/* Answers the requests whose version is there or whose time is over. */
void
operator_answer_waits(operator_t *op, bool give_up)
{
	uint64_t version = machine_config_version(operator_machine(op));
	GList *next;

	for (GList *at = op->waits->head; at != NULL; at = next) {
		wait_t *wait = at->data;

		next = at->next;
		if (!give_up && version < wait->version &&
		    clock_mono_ms() < wait->until_ms)
			continue;
		g_queue_delete_link(op->waits, at);
		if (version >= wait->version)
			answer_config(op, wait->request);
		else
			refuse_old_config(wait->request, version);
		g_free(wait);
	}
	if (g_queue_is_empty(op->waits))
		ev_timer_stop(op->loop, &op->wait_timer);
}

/* GET /v1/config?min_version=N */
void
operator_get_config(operator_t *op, http_request_t *request, str_t parameter)
{
	int64_t version = 0;
	wait_t *wait;

	if (!operator_query_number(request, "min_version", &version))
		return;
	if (machine_config_version(operator_machine(op)) >= (uint64_t)version) {
		answer_config(op, request);
		return;
	}
	wait = g_new0(wait_t, 1);
	wait->request = request;
	wait->version = (uint64_t)version;
	wait->until_ms = clock_mono_ms() + OPERATOR_VERSION_WAIT_MS;
	g_queue_push_tail(op->waits, wait);
	ev_timer_again(op->loop, &op->wait_timer);
}

static bool
add_version(void *ctx, const machine_version_t *version)
{
	json_t *list = ctx;

	json_array_append_new(
	    list, json_pack("{s:I, s:s, s:s, s:I, s:o}", "version",
		      (json_int_t)version->number, "patch_id",
		      version->patch_id, "author", version->author, "time_ms",
		      (json_int_t)version->time_ms, "patch",
		      json_loads(version->patch, 0, NULL)));
	return json_array_size(list) < MAX_HISTORY;
}

/* GET /v1/config/history?from=N; at most MAX_HISTORY versions, oldest first. */
void
operator_get_history(operator_t *op, http_request_t *request, str_t parameter)
{
	json_t *list;
	int64_t from = 0;

	if (!operator_query_number(request, "from", &from))
		return;
	list = json_array();
	machine_each_version(
	    operator_machine(op), (uint64_t)from, add_version, list);
	http_answer_json(request, 200, json_pack("{s:o}", "versions", list));
}

/* Answers a check that found the configuration not valid. */
static void
answer_invalid(http_request_t *request, const err_t *err)
{
	const char *split = strstr(err->text, ": expected ");
	size_t len = split != NULL ? (size_t)(split - err->text) : 0;

	http_answer_json(request, 422,
	    json_pack("{s:s, s:s, s:s%, s:s}", "outcome", "refused", "error",
		"invalid", "path", err->text, len, "text",
		split != NULL ? split + 2 : err->text));
}

/* Returns the document after a patch with fitting guarantees, else NULL. */
static json_t *
check_patch(const operator_t *op, const json_t *patch, err_t *err)
{
	json_t *config =
	    config_patch(machine_config(operator_machine(op)), patch, err);

	if (config != NULL && config_check_guarantees(config, err) != 0) {
		json_decref(config);
		return NULL;
	}
	return config;
}

/* Answers a patch by the outcome that the state machine gave it. */
static void
patch_applied(operator_t *op, http_request_t *request, const err_t *err,
    const command_result_t *result)
{
	int status = result->code == 0         ? 200
		     : result->code == -ESTALE ? 409
					       : 422;

	http_answer_bytes(request, status, "application/json",
	    (str_t){result->data.body_t_val, result->data.body_t_len});
}

/* Answers a patch that is only to be checked. */
static void
answer_check_only(operator_t *op, http_request_t *request, const json_t *body)
{
	uint64_t version = machine_config_version(operator_machine(op));
	uint64_t base =
	    (uint64_t)json_integer_value(json_object_get(body, "base"));
	json_t *changes = json_array();
	json_t *config;
	err_t err = {0};

	if (base != version) {
		machine_each_version(
		    operator_machine(op), base + 1, add_version, changes);
		http_answer_json(request, 409,
		    json_pack("{s:s, s:s, s:I, s:o}", "outcome", "refused",
			"error", "conflict", "version", (json_int_t)version,
			"changes", changes));
		return;
	}
	json_decref(changes);
	config = check_patch(op, json_object_get(body, "patch"), &err);
	if (config == NULL) {
		answer_invalid(request, &err);
		return;
	}
	json_decref(config);
	http_answer_json(request, 200,
	    json_pack("{s:s, s:I}", "outcome", "valid", "version",
		(json_int_t)version));
}

static const char *const patch_fields[] = {
    "id", "base", "author", "check_only", "patch"};

/* Returns the path of the first field of a wrong type, NULL when all fit. */
static const char *
wrong_field(const json_t *body)
{
	const json_t *id = json_object_get(body, "id");
	const json_t *base = json_object_get(body, "base");
	const json_t *author = json_object_get(body, "author");
	const json_t *check_only = json_object_get(body, "check_only");

	if (json_string_length(id) < 1 || json_string_length(id) > NAME_MAX_LEN)
		return "/id";
	if (!json_is_integer(base) || json_integer_value(base) < 0)
		return "/base";
	if (author != NULL && (!json_is_string(author) ||
				  json_string_length(author) > NAME_MAX_LEN))
		return "/author";
	if (check_only != NULL && !json_is_boolean(check_only))
		return "/check_only";
	if (!json_is_object(json_object_get(body, "patch")))
		return "/patch";
	return NULL;
}

/* PATCH /v1/config */
void
operator_patch_config(operator_t *op, http_request_t *request, str_t parameter)
{
	json_t *body = operator_read_body(
	    request, patch_fields, G_N_ELEMENTS(patch_fields));
	command_t command = {.kind = COMMAND_PATCH};
	const char *author;
	const char *wrong;
	char *patch;

	if (body == NULL)
		return;
	wrong = wrong_field(body);
	if (wrong != NULL) {
		http_answer_error(request, 400, "refused", "bad_request", wrong,
		    0,
		    "expected id (1..128 bytes), base (version number), "
		    "author, check_only (boolean) and patch (object)");
		json_decref(body);
		return;
	}
	if (json_is_true(json_object_get(body, "check_only"))) {
		answer_check_only(op, request, body);
		json_decref(body);
		return;
	}
	author = json_string_value(json_object_get(body, "author"));
	patch = json_dumps(json_object_get(body, "patch"), JSON_COMPACT);
	command.command_t_u.patch = (patch_command_t){
	    .id = (char *)json_string_value(json_object_get(body, "id")),
	    .base = (uint64_t)json_integer_value(json_object_get(body, "base")),
	    .author = (char *)(author != NULL ? author : ""),
	    .time_ms = clock_real_ms(),
	    .patch = {.body_t_len = (u_int)strlen(patch), .body_t_val = patch},
	};
	operator_propose(op, request, &command, patch_applied);
	g_free(patch);
	json_decref(body);
}

/* POST /v1/config/plan; the body is that of PATCH, only patch is required. */
void
operator_plan(operator_t *op, http_request_t *request, str_t parameter)
{
	json_t *body = operator_read_body(
	    request, patch_fields, G_N_ELEMENTS(patch_fields));
	json_t *patch = json_object_get(body, "patch");
	json_t *config;
	err_t err = {0};

	if (body == NULL)
		return;
	if (!json_is_object(patch)) {
		http_answer_error(request, 400, "refused", "bad_request",
		    "/patch", 0, "expected a merge patch");
		json_decref(body);
		return;
	}
	config = check_patch(op, patch, &err);
	json_decref(body);
	if (config == NULL) {
		const char *split = strstr(err.text, ": expected ");
		size_t len = split != NULL ? (size_t)(split - err.text) : 0;

		http_answer_json(request, 200,
		    json_pack("{s:b, s:s%, s:s, s:[]}", "valid", false, "path",
			err.text, len, "text",
			split != NULL ? split + 2 : err.text, "reclaims"));
		return;
	}
	http_answer_json(request, 200,
	    json_pack("{s:b, s:s, s:s, s:o}", "valid", true, "path", "", "text",
		"", "reclaims",
		operator_reclaims(operator_machine(op), config)));
	json_decref(config);
}
