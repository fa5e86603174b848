#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

#define DEFAULT_URL "http://127.0.0.1:8081"

static options_t options = {.base = -1};

static const GOptionEntry common_entries[] = {
    {"url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &options.urls,
	"Operator port of an instance; may be given several times, the next "
	"one is tried when one does not answer (default: CHERVILHOLD_URL)",
	"URL"},
    {"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &options.key_file,
	"File with the operator's or reader's key", "FILE"},
    {"json", 'j', 0, G_OPTION_ARG_NONE, &options.json,
	"Print the answer as JSON", NULL},
    {NULL},
};

static const GOptionEntry apply_entries[] = {
    {"base", 'b', 0, G_OPTION_ARG_INT64, &options.base,
	"Version that the patch was made for (default: the one in force)", "N"},
    {"id", 'i', 0, G_OPTION_ARG_STRING, &options.id,
	"Patch id; the same id is applied once (default: random)", "ID"},
    {"author", 'a', 0, G_OPTION_ARG_STRING, &options.author,
	"Name kept in the history (default: the user's)", "NAME"},
    {"check-only", 'c', 0, G_OPTION_ARG_NONE, &options.check_only,
	"Check the patch and change nothing", NULL},
    {NULL},
};

static const GOptionEntry history_entries[] = {
    {"from", 'f', 0, G_OPTION_ARG_INT64, &options.from, "First version", "N"},
    {NULL},
};

static const GOptionEntry jobs_entries[] = {
    {"state", 's', 0, G_OPTION_ARG_STRING, &options.state,
	"Only jobs in this state", "STATE"},
    {"tenant", 't', 0, G_OPTION_ARG_STRING, &options.tenant,
	"Only jobs of this tenant", "NAME"},
    {NULL},
};

static const GOptionEntry burn_entries[] = {
    {"html", 0, 0, G_OPTION_ARG_FILENAME, &options.html,
	"Write the report with plots into a file", "FILE"},
    {NULL},
};

static const GOptionEntry trace_entries[] = {
    {"log", 'l', 0, G_OPTION_ARG_FILENAME_ARRAY, &options.logs,
	"Event log of an instance; may be given several times", "FILE"},
    {NULL},
};

static const GOptionEntry check_entries[] = {
    {"against", 0, 0, G_OPTION_ARG_FILENAME, &options.against,
	"Configuration that FILE changes (default: the version in force if "
	"--url or CHERVILHOLD_URL is given, else the initial one)",
	"FILE"},
    {NULL},
};

static const struct {
	const char *name;
	const char *argument; /* NULL: none */
	subcommand_t *run;
	const GOptionEntry *entries;
	const char *summary;
	const char *examples;
} commands[] = {
    {"apply", "FILE", command_apply, apply_entries,
	"Apply a JSON merge patch to the configuration",
	"  chervilhold apply friday.json\n"
	"  chervilhold apply friday.json --check-only\n"
	"  echo '{\"tenants\":{\"hall\":{\"weight\":2}}}' | chervilhold apply "
	"-"},
    {"plan", "FILE", command_plan, NULL,
	"Show whether a patch is valid and which jobs it may reclaim",
	"  chervilhold plan friday.json"},
    {"check", "FILE", command_check, check_entries,
	"Check a merge patch or a whole configuration before it is sent",
	"  chervilhold check friday.json\n"
	"  chervilhold check friday.json --against thursday.json --json\n"
	"Exit codes of check: 0 fine, 1 warnings, 2 errors, 3 cannot be "
	"read"},
    {"status", NULL, command_status, NULL, "Show leader, version and instances",
	"  chervilhold status"},
    {"explain", "JOB", command_explain, NULL, "Show why a job is in its state",
	"  chervilhold explain j-17"},
    {"jobs", NULL, command_jobs, jobs_entries, "List jobs",
	"  chervilhold jobs --state waiting --tenant hall"},
    {"workers", NULL, command_workers, NULL, "List backend servers",
	"  chervilhold workers --json"},
    {"workspaces", NULL, command_workspaces, NULL,
	"List workspaces with their use", "  chervilhold workspaces"},
    {"history", NULL, command_history, history_entries,
	"List configuration versions", "  chervilhold history --from 12"},
    {"drain", "INSTANCE", command_drain, NULL,
	"Let an instance finish its work and stop", "  chervilhold drain i3"},
    {"replace", "INSTANCE", command_replace, NULL,
	"Replace an instance; `status` tells when it is safe to continue",
	"  chervilhold replace i3"},
    {"burn", NULL, command_burn, burn_entries,
	"Show how fast error budgets are used up",
	"  chervilhold burn\n  chervilhold burn --html burn.html"},
    {"trace", "ID", command_trace, trace_entries,
	"Tell from event logs what became of a request, job or worker",
	"  chervilhold trace 5c0e7a21d94b36f8 --log i1.events --log i2.events"},
    {"version", NULL, command_version, NULL, "Show the program's version",
	"  chervilhold version"},
};

/* Returns the overview with one line for each subcommand. */
static char *
overview(void)
{
	GString *text = g_string_new("Subcommands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char *usage = g_strjoin(
		    " ", commands[i].name, commands[i].argument, NULL);

		g_string_append_printf(
		    text, "  %-18s %s\n", usage, commands[i].summary);
		g_free(usage);
	}
	g_string_append(text,
	    "\nExamples:\n"
	    "  export CHERVILHOLD_URL='http://10.0.0.1:8081 "
	    "http://10.0.0.2:8081'\n"
	    "  chervilhold status\n"
	    "  chervilhold plan friday.json && chervilhold apply "
	    "friday.json\n\n"
	    "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no instance "
	    "reachable, 4 conflict\n"
	    "`chervilhold SUBCOMMAND --help` shows the options of one.");
	return g_string_free(text, FALSE);
}

static int
usage_error(const char *text)
{
	fprintf(
	    stderr, "chervilhold: %s\nnext: see `chervilhold --help`\n", text);
	return EXIT_USAGE;
}

/* Takes the URLs from the environment when no option names any. */
static void
default_urls(void)
{
	const char *text = g_getenv("CHERVILHOLD_URL");
	char **words;
	GPtrArray *urls;

	if (options.urls != NULL)
		return;
	options.urls_by_default = text == NULL;
	urls = g_ptr_array_new();
	words = g_strsplit_set(text != NULL ? text : DEFAULT_URL, " ,", -1);
	for (char **word = words; *word != NULL; word++) {
		if (**word != '\0')
			g_ptr_array_add(urls, g_strdup(*word));
	}
	g_ptr_array_add(urls, NULL);
	g_strfreev(words);
	options.urls = (char **)g_ptr_array_free(urls, FALSE);
}

static int
read_key(void)
{
	GError *error = NULL;

	if (options.key_file == NULL)
		return EXIT_OK;
	if (!g_file_get_contents(
		options.key_file, &options.key, NULL, &error)) {
		int code = usage_error(error->message);

		g_error_free(error);
		return code;
	}
	g_strchomp(options.key);
	return EXIT_OK;
}

/* Parses the options after the subcommand and runs it. */
static int
run(size_t number, int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(
	    commands[number].argument != NULL ? commands[number].argument : "");
	char *examples =
	    g_strconcat("Examples:\n", commands[number].examples, NULL);
	bool has_argument = commands[number].argument != NULL;
	GError *error = NULL;
	int code;

	g_option_context_add_main_entries(context, common_entries, NULL);
	if (commands[number].entries != NULL)
		g_option_context_add_main_entries(
		    context, commands[number].entries, NULL);
	g_option_context_set_summary(context, commands[number].summary);
	g_option_context_set_description(context, examples);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		code = usage_error(error->message);
		g_error_free(error);
	} else if (argc != (has_argument ? 2 : 1)) {
		code = usage_error(has_argument
				       ? "expected one argument, see --help"
				       : "expected no argument, see --help");
	} else {
		default_urls();
		code = read_key();
		if (code == EXIT_OK)
			code = commands[number].run(
			    &options, has_argument ? argv[1] : NULL);
	}
	g_option_context_free(context);
	g_free(examples);
	return code;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("SUBCOMMAND");
	char *text = overview();
	GError *error = NULL;
	bool done;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_option_context_add_main_entries(context, common_entries, NULL);
	g_option_context_set_description(context, text);
	g_option_context_set_strict_posix(context, TRUE);
	done = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	g_free(text);
	if (!done) {
		int code = usage_error(error->message);

		g_error_free(error);
		return code;
	}
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0) {
			int code = run(i, argc - 1, argv + 1);

			g_strfreev(options.urls);
			g_strfreev(options.logs);
			g_free(options.key);
			return code;
		}
	}
	return usage_error(
	    argc > 1 ? "unknown subcommand" : "expected a subcommand");
}
