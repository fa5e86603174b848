#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

/* Reads a merge patch from a file, "-" for standard input. */
static json_t *
read_patch(const char *path)
{
	json_error_t where;
	json_t *patch =
	    strcmp(path, "-") == 0
		? json_loadf(stdin, JSON_REJECT_DUPLICATES, &where)
		: json_load_file(path, JSON_REJECT_DUPLICATES, &where);

	if (patch == NULL)
		fprintf(stderr,
		    "chervilhold: %s:%d: %s\n"
		    "next: pass a file with a JSON merge patch (RFC 7396), or "
		    "- for standard input\n",
		    path, where.line, where.text);
	return patch;
}

/* Asks for the version in force; returns the exit code. */
static int
read_version(const options_t *options, json_int_t *version)
{
	json_t *answer;
	long status;
	char *body;
	int code = EXIT_OK;

	call_server(options, "GET", "/v1/config", NULL, &status, &body);
	answer = json_loads(body, 0, NULL);
	if (status == 200 &&
	    json_is_integer(json_object_get(answer, "version")))
		*version =
		    json_integer_value(json_object_get(answer, "version"));
	else
		code = report_failure("config", status, body);
	json_decref(answer);
	g_free(body);
	return code;
}

/* Lists the changes that a conflict names. */
static int
report_conflict(const char *body, const char *file)
{
	static const column_t columns[] = {
	    {"VERSION", "version"}, {"AUTHOR", "author"}, {"PATCH", "patch"}};
	json_t *answer = json_loads(body, 0, NULL);
	json_int_t version =
	    json_integer_value(json_object_get(answer, "version"));

	fprintf(stderr,
	    "chervilhold: apply: version %lld is in force; these changes came "
	    "first:\n",
	    (long long)version);
	print_table(
	    json_object_get(answer, "changes"), columns, G_N_ELEMENTS(columns));
	fprintf(stderr,
	    "next: compare them with %s, then run `chervilhold apply %s --base "
	    "%lld`\n",
	    file, file, (long long)version);
	json_decref(answer);
	return EXIT_CONFLICT;
}

/* Prints the outcome of a patch and returns the exit code. */
static int
report_patch(const options_t *options, const char *id, const char *file,
    long status, const char *body)
{
	json_t *answer;

	if (options->json && status != 0) {
		print_json(body);
		return status == 200   ? EXIT_OK
		       : status == 409 ? EXIT_CONFLICT
		       : status >= 503 ? EXIT_UNREACHABLE
				       : EXIT_REFUSED;
	}
	if (status == 409)
		return report_conflict(body, file);
	if (status != 200) {
		if (status == 0 || status >= 503)
			fprintf(stderr,
			    "chervilhold: the patch may be in force or not; "
			    "to learn it, run the same command with --id %s\n",
			    id);
		return report_failure("apply", status, body);
	}
	answer = json_loads(body, 0, NULL);
	printf("version %lld: %s\n",
	    (long long)json_integer_value(json_object_get(answer, "version")),
	    options->check_only
		? "the patch would be accepted"
		: json_string_value(json_object_get(answer, "outcome")));
	json_decref(answer);
	return EXIT_OK;
}

/*
 * Applies a merge patch.  The patch id is made once and sent again with each
 * resend, so that the patch is applied once even when an answer is lost.
 */
int
command_apply(const options_t *options, const char *argument)
{
	json_t *patch = read_patch(argument);
	json_int_t base = options->base;
	char *id;
	char *request;
	char *body;
	long status;
	int code;

	if (patch == NULL)
		return EXIT_USAGE;
	if (base < 0) {
		code = read_version(options, &base);
		if (code != EXIT_OK) {
			json_decref(patch);
			return code;
		}
	}
	if (options->id != NULL) {
		id = g_strdup(options->id);
	} else {
		char *random = g_uuid_string_random();

		id = g_strconcat("cli-", random, NULL);
		g_free(random);
	}
	patch = json_pack("{s:s, s:I, s:s, s:b, s:o}", "id", id, "base", base,
	    "author",
	    options->author != NULL ? options->author : g_get_user_name(),
	    "check_only", options->check_only, "patch", patch);
	request = json_dumps(patch, JSON_COMPACT);
	call_server(options, "PATCH", "/v1/config", request, &status, &body);
	code = report_patch(options, id, argument, status, body);
	json_decref(patch);
	g_free(request);
	g_free(body);
	g_free(id);
	return code;
}

/* Shows what a merge patch would do. */
int
command_plan(const options_t *options, const char *argument)
{
	static const column_t columns[] = {{"JOB", "job"}, {"TENANT", "tenant"},
	    {"WORKSPACE", "workspace"}, {"ACCELERATORS", "accelerators"}};
	json_t *patch = read_patch(argument);
	json_t *answer;
	char *request;
	char *body;
	long status;
	int code = EXIT_OK;

	if (patch == NULL)
		return EXIT_USAGE;
	patch = json_pack("{s:o}", "patch", patch);
	request = json_dumps(patch, JSON_COMPACT);
	json_decref(patch);
	call_server(
	    options, "POST", "/v1/config/plan", request, &status, &body);
	g_free(request);
	answer = json_loads(body, 0, NULL);
	if (status != 200) {
		code = report_failure("plan", status, body);
	} else if (options->json) {
		code = print_json(body);
	} else if (json_is_true(json_object_get(answer, "valid"))) {
		puts("the patch is valid");
		if (json_array_size(json_object_get(answer, "reclaims")) > 0) {
			puts("running jobs that it may reclaim:");
			print_table(json_object_get(answer, "reclaims"),
			    columns, G_N_ELEMENTS(columns));
		}
	} else {
		fprintf(stderr,
		    "chervilhold: plan: %s: %s\n"
		    "next: correct the patch at that path\n",
		    json_string_value(json_object_get(answer, "path")),
		    json_string_value(json_object_get(answer, "text")));
	}
	if (code == EXIT_OK && status == 200 &&
	    !json_is_true(json_object_get(answer, "valid")))
		code = EXIT_REFUSED;
	json_decref(answer);
	g_free(body);
	return code;
}
