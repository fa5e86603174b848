#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry/internal.h"

/*
 * Returns the JSON text of a member of body, "null" when value is NULL.  It is
 * cut out of the body: printing the parsed value again took a twentieth of the
 * CPU time of a short request.
 */
char *
json_text(str_t body, const char *key, const json_t *value)
{
	str_t raw = {NULL, 0};
	char *printed;
	char *text;

	if (value == NULL)
		return g_strdup("null");
	raw = fields_raw(body, key);
	if (raw.data != NULL)
		return g_strndup(raw.data, raw.len);
	printed = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	text = g_strdup(printed);
	free(printed);
	return text;
}

/* Appends a label and a number. */
void
append_number(GString *out, const char *label, int64_t value)
{
	char digits[24];

	g_snprintf(digits, sizeof(digits), "%" PRId64, value);
	g_string_append(out, label);
	g_string_append(out, digits);
}

/* Records the end of a claim and ends the request with the same answer. */
static void
end_ran(request_t *request, int status, str_t body)
{
	if (request->key != NULL)
		claims_end(request, CLAIM_DONE, status, body);
	request_end_text(request, OUTCOME_DONE, status, body, NULL);
}

/* Ends a request with the result of its task. */
void
dispatch_done(request_t *request, const client_answer_t *answer)
{
	entry_t *entry = request->entry;
	int64_t now_ms = clock_mono_ms();
	GString *body = g_string_sized_new(256);
	char *result = json_text(
	    answer->body, "result", json_object_get(answer->json, "result"));

	g_string_append(body, "{\"request\":\"");
	g_string_append(body, request->id);
	g_string_append(body, "\",\"outcome\":\"done\",\"worker\":\"");
	g_string_append(body, request->worker);
	append_number(body, "\",\"config_version\":",
	    (int64_t)machine_config_version(entry_machine(entry)));
	g_string_append(body, ",\"result\":");
	g_string_append(body, result);
	g_string_append_c(body, '}');
	g_free(result);
	if (request->state == REQUEST_RUNNING) {
		admission_record_service(&entry->admission, request->slot_lane,
		    now_ms - request->started_ms,
		    request->key != NULL
			? request->started_ms - request->taken_ms
			: 0);
		health_succeeded(
		    entry->health, request->worker, &request->health, now_ms);
		retry_budget_success(&entry->retry_budget);
	}
	end_ran(request, 200, (str_t){body->str, body->len});
	g_string_free(body, TRUE);
}

/* Ends or retries a request whose task ran and failed. */
void
dispatch_failed(request_t *request, const client_answer_t *answer)
{
	const char *text =
	    json_string_value(json_object_get(answer->json, "text"));
	entry_t *entry = request->entry;
	char *message;
	json_t *body;
	char *bytes;

	if (text == NULL)
		text = "the task failed";
	if (request->repeatable && request->state == REQUEST_RUNNING) {
		dispatch_retry(
		    request, 502, "backend_failed", OUTCOME_DONE, text);
		return;
	}
	if (request->state == REQUEST_RUNNING)
		health_failed(entry->health, request->worker, &request->health,
		    clock_mono_ms());
	message =
	    g_strdup_printf("backend server %s: %s", request->worker, text);
	body = entry_error(entry, "done", "backend_failed", "", 0, message);
	bytes = json_dumps(body, JSON_COMPACT);
	end_ran(request, 502, str_from(bytes));
	free(bytes);
	json_decref(body);
	g_free(message);
}

/*
 * Ends a request whose task was stopped after it had started.  It is recorded
 * as ended, because the key must never start it again.
 */
void
dispatch_end_partly_run(
    request_t *request, int status, const char *error, const char *text)
{
	json_t *body =
	    entry_error(request->entry, "unknown", error, "", 0, text);
	char *bytes = json_dumps(body, JSON_COMPACT);

	if (request->key != NULL)
		claims_end(request, CLAIM_DONE, status, str_from(bytes));
	free(bytes);
	request_end(request, OUTCOME_UNKNOWN, status, body);
}

/* Ends a request whose task was to be stopped for its caller. */
void
dispatch_cancelled(request_t *request, task_fate_t fate)
{
	if (fate == TASK_STOPPED_NOT_RUN)
		dispatch_did_not_run(request);
	else if (fate == TASK_STOPPED_RAN)
		dispatch_end_partly_run(
		    request, 409, "cancelled", "stopped after it had started");
	else
		request_fail(request, OUTCOME_UNKNOWN, 409, "cancelled", 0,
		    "the stop was not confirmed");
}
