#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "common/findings.h"
#include "state/config_check.h"
#include "state/config.h"

/* Checks a configuration before it is sent. */

#define HTTP_OK 200

static bool
read_text(const char *path, char **text, gsize *len)
{
	GError *error = NULL;
	GIOChannel *input;

	if (strcmp(path, "-") == 0) {
		input = g_io_channel_unix_new(fileno(stdin));
		g_io_channel_set_encoding(input, NULL, NULL);
		g_io_channel_read_to_end(input, text, len, &error);
		g_io_channel_unref(input);
	} else {
		g_file_get_contents(path, text, len, &error);
	}
	if (error == NULL)
		return true;
	fprintf(stderr, "chervilhold: check: %s\n", error->message);
	g_error_free(error);
	return false;
}

/* Returns the version in force, NULL with a message if it cannot be read. */
static json_t *
fetch_config(const options_t *options)
{
	json_t *answer;
	json_t *config;
	long status;
	char *body;

	call_server(options, "GET", "/v1/config", NULL, &status, &body);
	answer = json_loads(body, 0, NULL);
	config = json_incref(json_object_get(answer, "config"));
	if (status != HTTP_OK || config == NULL) {
		report_failure("check", status, body);
		json_decref(config);
		config = NULL;
	}
	json_decref(answer);
	g_free(body);
	return config;
}

/* Returns the configuration in a file, NULL with a message if there is none. */
static json_t *
read_config(const char *path)
{
	json_error_t where;
	json_t *config = json_load_file(path, JSON_REJECT_DUPLICATES, &where);

	if (config == NULL)
		fprintf(
		    stderr, "chervilhold: check: %s: %s\n", path, where.text);
	return config;
}

/* Returns the configuration that the document changes; NULL: unreadable. */
static json_t *
base_config(const options_t *options)
{
	if (options->against != NULL)
		return read_config(options->against);
	return options->urls_by_default ? config_default()
					: fetch_config(options);
}

int
command_check(const options_t *options, const char *argument)
{
	findings_t *findings;
	json_t *base;
	char *data;
	gsize len;
	str_t text;
	int code;

	if (!read_text(argument, &data, &len))
		return FINDINGS_EXIT_UNREADABLE;
	base = base_config(options);
	if (base == NULL) {
		g_free(data);
		return FINDINGS_EXIT_UNREADABLE;
	}
	text = (str_t){data, len};
	findings = findings_create();
	config_check_text(text, base, findings);
	findings_print(findings, text, argument, options->json);
	code = findings_exit_code(findings);
	findings_destroy(findings);
	json_decref(base);
	g_free(data);
	return code;
}
