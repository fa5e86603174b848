#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "rpc/protocol.h"

#define PROGRAM_VERSION "0.1.0"

/* Gets a path; on success prints JSON or returns the parsed answer. */
static int
get(const options_t *options, const char *what, const char *path,
    json_t **answer)
{
	long status;
	char *body;
	int code = EXIT_OK;

	*answer = NULL;
	call_server(options, "GET", path, NULL, &status, &body);
	if (status != 200)
		code = report_failure(what, status, body);
	else if (options->json)
		code = print_json(body);
	else if ((*answer = json_loads(body, 0, NULL)) == NULL)
		code = print_json(body);
	g_free(body);
	return code;
}

/* Prints the list under a member of the answer as a table. */
static int
get_table(const options_t *options, const char *what, const char *path,
    const char *list, const column_t *columns, size_t count)
{
	json_t *answer;
	int code = get(options, what, path, &answer);

	if (answer != NULL) {
		print_table(json_object_get(answer, list), columns, count);
		if (json_is_true(json_object_get(answer, "truncated")))
			puts("(only the newest; see --state and --tenant)");
	}
	json_decref(answer);
	return code;
}

/* Shows the state of one instance, its view of the others and the members. */
int
command_status(const options_t *options, const char *argument)
{
	static const column_t members[] = {{"instance", "instance"},
	    {"role", "role"}, {"leader", "leader"}, {"term", "term"},
	    {"commit", "commit"}, {"applied", "applied"},
	    {"config version", "config_version"}, {"confirmed", "confirmed"},
	    {"safe to continue", "safe_to_continue"}};
	static const column_t instances[] = {{"INSTANCE", "instance"},
	    {"DOMAIN", "domain"}, {"REPLICA", "replica"}, {"ALIVE", "alive"},
	    {"DRAINING", "draining"}};
	static const column_t voters[] = {{"MEMBER", "instance"},
	    {"ROLE", "role"}, {"SILENT_MS", "silent_ms"}, {"MATCH", "match"}};
	json_t *answer;
	int code = get(options, "status", "/v1/status", &answer);

	if (answer == NULL)
		return code;
	print_members(answer, members, G_N_ELEMENTS(members));
	putchar('\n');
	print_table(json_object_get(answer, "instances"), instances,
	    G_N_ELEMENTS(instances));
	putchar('\n');
	print_table(
	    json_object_get(answer, "members"), voters, G_N_ELEMENTS(voters));
	json_decref(answer);
	return code;
}

/* Shows why a job is in its state. */
int
command_explain(const options_t *options, const char *argument)
{
	char *escaped = g_uri_escape_string(argument, NULL, FALSE);
	char *path = g_strconcat("/v1/explain/", escaped, NULL);
	json_t *answer;
	int code = get(options, "explain", path, &answer);
	size_t index;
	json_t *reason;

	g_free(escaped);
	g_free(path);
	if (answer == NULL)
		return code;
	printf("%s is %s\n", argument,
	    json_string_value(json_object_get(answer, "state")));
	json_array_foreach (json_object_get(answer, "reasons"), index, reason) {
		printf("- %s\n", json_string_value(reason));
	}
	json_decref(answer);
	return code;
}

/* Lists jobs. */
int
command_jobs(const options_t *options, const char *argument)
{
	static const column_t columns[] = {{"JOB", "job"}, {"STATE", "state"},
	    {"TENANT", "tenant"}, {"WORKSPACE", "workspace"},
	    {"DOMAIN", "domain"}, {"MEMBERS", "member_count"},
	    {"ACCELERATORS", "accelerators"}, {"PRIORITY", "priority"},
	    {"GUARANTEED", "guaranteed"}, {"ATTEMPT", "attempt"},
	    {"REASON", "reason"}};
	GString *path = g_string_new("/v1/jobs?");
	int code;

	if (options->state != NULL) {
		g_string_append(path, "state=");
		g_string_append_uri_escaped(path, options->state, NULL, FALSE);
	}
	if (options->tenant != NULL) {
		g_string_append(path, "&tenant=");
		g_string_append_uri_escaped(path, options->tenant, NULL, FALSE);
	}
	code = get_table(
	    options, "jobs", path->str, "jobs", columns, G_N_ELEMENTS(columns));
	g_string_free(path, TRUE);
	return code;
}

/* Lists backend servers. */
int
command_workers(const options_t *options, const char *argument)
{
	static const column_t columns[] = {{"WORKER", "worker"},
	    {"ADDRESS", "address"}, {"PORT", "port"}, {"DOMAIN", "domain"},
	    {"RACK", "rack"}, {"SLOTS", "slots"},
	    {"ACCELERATORS", "accelerators"}, {"USED", "accelerators_used"},
	    {"OWNER", "owner"}, {"FENCE", "fence"}, {"LEAVING", "leaving"}};

	return get_table(options, "workers", "/v1/workers", "workers", columns,
	    G_N_ELEMENTS(columns));
}

/* Lists workspaces with their use in accelerators. */
int
command_workspaces(const options_t *options, const char *argument)
{
	static const column_t columns[] = {{"WORKSPACE", "workspace"},
	    {"TENANT", "tenant"}, {"GUARANTEES", "guarantees"},
	    {"GUARANTEED", "guaranteed_running"},
	    {"OPPORTUNISTIC", "opportunistic_running"}, {"WAITING", "waiting"}};

	return get_table(options, "workspaces", "/v1/workspaces", "workspaces",
	    columns, G_N_ELEMENTS(columns));
}

/* Lists configuration versions. */
int
command_history(const options_t *options, const char *argument)
{
	static const column_t columns[] = {{"VERSION", "version"},
	    {"PATCH_ID", "patch_id"}, {"AUTHOR", "author"},
	    {"TIME_MS", "time_ms"}, {"PATCH", "patch"}};
	char *path = g_strdup_printf(
	    "/v1/config/history?from=%" G_GINT64_FORMAT, options->from);
	int code = get_table(options, "history", path, "versions", columns,
	    G_N_ELEMENTS(columns));

	g_free(path);
	return code;
}

/* Posts an action on an instance. */
static int
post_instance(
    const options_t *options, const char *instance, const char *action)
{
	char *escaped = g_uri_escape_string(instance, NULL, FALSE);
	char *path = g_strdup_printf("/v1/instances/%s/%s", escaped, action);
	long status;
	char *body;
	int code = EXIT_OK;

	call_server(options, "POST", path, "", &status, &body);
	if (status != 202)
		code = report_failure(action, status, body);
	else if (options->json)
		code = print_json(body);
	else
		printf("%s of %s accepted; see `chervilhold status`\n", action,
		    instance);
	g_free(body);
	g_free(path);
	g_free(escaped);
	return code;
}

/* Lets an instance finish its work and stop. */
int
command_drain(const options_t *options, const char *argument)
{
	return post_instance(options, argument, "drain");
}

/* Starts the replacement of an instance. */
int
command_replace(const options_t *options, const char *argument)
{
	return post_instance(options, argument, "replace");
}

/* Writes the HTML report into a file. */
static int
save_burn(const options_t *options)
{
	GError *error = NULL;
	long status;
	char *body;
	int code = EXIT_OK;

	call_server(
	    options, "GET", "/v1/burn?format=html", NULL, &status, &body);
	if (status != 200) {
		code = report_failure("burn", status, body);
	} else if (!g_file_set_contents(options->html, body, -1, &error)) {
		fprintf(stderr, "chervilhold: burn: %s\n", error->message);
		g_error_free(error);
		code = EXIT_REFUSED;
	}
	g_free(body);
	return code;
}

/* Shows burn rates by objective and window. */
int
command_burn(const options_t *options, const char *argument)
{
	static const column_t columns[] = {{"OBJECTIVE", "objective"},
	    {"TARGET", "target"}, {"ALERT", "alert"}, {"BURN_5M", "5m"},
	    {"BURN_1H", "1h"}, {"BURN_6H", "6h"}, {"BURN_3D", "3d"},
	    {"WORST_CAUSE", "worst_cause"}};
	json_t *answer;
	json_t *entry;
	size_t index;
	int code;

	if (options->html != NULL)
		return save_burn(options);
	code = get(options, "burn", "/v1/burn", &answer);
	if (answer == NULL)
		return code;
	json_array_foreach (
	    json_object_get(answer, "objectives"), index, entry) {
		const char *name;
		json_t *window;

		json_object_foreach (
		    json_object_get(entry, "windows"), name, window) {
			json_object_set(
			    entry, name, json_object_get(window, "burn_rate"));
		}
	}
	print_table(json_object_get(answer, "objectives"), columns,
	    G_N_ELEMENTS(columns));
	json_decref(answer);
	return code;
}

/* Shows the version of this program. */
int
command_version(const options_t *options, const char *argument)
{
	if (options->json)
		printf("{\"version\": \"%s\", \"protocol\": %d}\n",
		    PROGRAM_VERSION, PROTOCOL_VERSION_MAX);
	else
		printf("chervilhold %s, protocol %d\n", PROGRAM_VERSION,
		    PROTOCOL_VERSION_MAX);
	return EXIT_OK;
}
