#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/chart.h"
#include "common/log.h"
#include "common/loop_watch.h"
#include "common/mem_budget.h"
#include "common/settings.h"
#include "daemon/check_config.h"
#include "daemon/node.h"
#include "platform/instance.h"

#define VERSION "0.1.0"

static struct {
	gboolean check_settings;
	gboolean print_settings;
	gboolean settings_reference;
	gboolean version;
	gboolean charts;
	gboolean platform;
	char *check_config;
	char *against;
	gboolean json;
} options;

static const GOptionEntry option_entries[] = {
    {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options.check_settings,
	"check the settings and exit", NULL},
    {"print-settings", 0, 0, G_OPTION_ARG_NONE, &options.print_settings,
	"print the settings with every default and exit", NULL},
    {"settings-reference", 0, 0, G_OPTION_ARG_NONE, &options.settings_reference,
	"print the reference page of the settings and exit", NULL},
    {"charts", 0, 0, G_OPTION_ARG_NONE, &options.charts,
	"print the page of the state charts and exit", NULL},
    {"platform", 0, 0, G_OPTION_ARG_NONE, &options.platform,
	"run on the users' platform, with its settings file", NULL},
    {"check-config", 0, 0, G_OPTION_ARG_FILENAME, &options.check_config,
	"check a configuration of the platform before it is sent and exit",
	"FILE"},
    {"against", 0, 0, G_OPTION_ARG_FILENAME, &options.against,
	"with --check-config: the configuration to compare it with", "FILE"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &options.json,
	"with --check-config: print the findings as JSON", NULL},
    {"version", 0, 0, G_OPTION_ARG_NONE, &options.version,
	"print the version and exit", NULL},
    {NULL},
};

static const char *const level_names[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"};

/* Prints every problem of the settings on a line of its own. */
static void
print_problems(const GPtrArray *problems)
{
	for (guint i = 0; i < problems->len; i++)
		fprintf(stderr, "%s\n", (char *)g_ptr_array_index(problems, i));
}

static settings_t *
load_settings(const char *path)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	settings_t *settings = settings_load(path, problems);

	print_problems(problems);
	g_ptr_array_unref(problems);
	return settings;
}

static void
set_log_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(level_names[i], name) == 0)
			log_set_level((int)i);
	}
}

static void
on_stop_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	node_drain(watcher->data);
}

/* Runs the instance until it has drained and returns its exit code. */
static int
run(const settings_t *settings)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	ev_signal watchers[2];
	const int signals[2] = {SIGTERM, SIGINT};
	err_t err = {0};
	node_t *node;
	int exit_code;

	mem_trim_setup();
	signal(SIGPIPE, SIG_IGN);
	/* A write beyond the file size limit fails with EFBIG instead. */
	signal(SIGXFSZ, SIG_IGN);
	log_open("chervilholdd", settings->instance);
	set_log_level(settings->log_level);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	node = node_create(loop, settings, &err);
	if (node == NULL) {
		log_err(LOG_ERR, &err);
		return EXIT_FAILURE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		ev_signal_init(&watchers[i], on_stop_signal, signals[i]);
		watchers[i].data = node;
		ev_signal_start(loop, &watchers[i]);
	}
	ev_run(loop, 0);
	exit_code = node_exit_code(node);
	node_destroy(node);
	curl_global_cleanup();
	log_line(LOG_NOTICE, "stopped");
	return exit_code;
}

static void
on_instance_stop(struct ev_loop *loop, ev_signal *watcher, int events)
{
	instance_stop(watcher->data);
}

static void
on_instance_reload(struct ev_loop *loop, ev_signal *watcher, int events)
{
	instance_reload(watcher->data);
}

/* Runs an instance on the platform until it has stopped. */
static int
run_on_platform(const char *path)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	ev_signal stop;
	ev_signal interrupt;
	ev_signal reload;
	err_t err = {0};
	instance_t *instance;

	mem_trim_setup();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	instance = instance_create(loop, path, &err);
	if (instance == NULL) {
		log_err(LOG_ERR, &err);
		return EXIT_FAILURE;
	}
	ev_signal_init(&stop, on_instance_stop, SIGTERM);
	ev_signal_init(&interrupt, on_instance_stop, SIGINT);
	ev_signal_init(&reload, on_instance_reload, SIGHUP);
	stop.data = instance;
	interrupt.data = instance;
	reload.data = instance;
	ev_signal_start(loop, &stop);
	ev_signal_start(loop, &interrupt);
	ev_signal_start(loop, &reload);
	loop_watch_start(loop, instance_is_control(instance));
	ev_run(loop, 0);
	loop_watch_stop();
	instance_destroy(instance);
	curl_global_cleanup();
	return EXIT_SUCCESS;
}

/* Appends a page with every state chart as a diagram. */
static void
print_charts(GString *out)
{
	const char *name;

	g_string_append(
	    out, "# State charts\n\nMade by `chervilholdd --charts`.\n");
	for (size_t i = 0; (name = chart_builtin_name(i)) != NULL; i++) {
		g_string_append_printf(out, "\n## %s\n\n```mermaid\n", name);
		chart_diagram(chart_builtin(name), out);
		g_string_append(out, "```\n");
	}
}

/* Serves options that need no settings; false when there was none. */
static bool
print_information(void)
{
	GString *out = g_string_new(NULL);

	if (options.version) {
		g_string_append(out, "chervilholdd " VERSION "\n");
	} else if (options.settings_reference) {
		settings_print_reference(out);
	} else if (options.charts) {
		print_charts(out);
	} else {
		g_string_free(out, TRUE);
		return false;
	}
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return true;
}

int
main(int argc, char **argv)
{
	GOptionContext *context =
	    g_option_context_new("SETTINGS - scheduler for gangs of "
				 "accelerators under guarantees");
	GError *error = NULL;
	settings_t *settings;
	GString *text;
	err_t err = {0};
	int exit_code = EXIT_SUCCESS;
	bool parsed;

	g_option_context_add_main_entries(context, option_entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!parsed) {
		fprintf(stderr, "chervilholdd: %s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	if (chart_check_builtin(&err) != 0) {
		log_err(LOG_ERR, &err);
		return EXIT_FAILURE;
	}
	if (print_information())
		return EXIT_SUCCESS;
	if (options.check_config != NULL)
		return check_config(
		    options.check_config, options.against, options.json);
	if (argc != 2) {
		fprintf(stderr,
		    "chervilholdd: name one settings file; see --help\n");
		return EXIT_FAILURE;
	}
	if (options.platform)
		return run_on_platform(argv[1]);
	settings = load_settings(argv[1]);
	if (settings == NULL)
		return EXIT_FAILURE;
	if (options.print_settings) {
		text = g_string_new(NULL);
		settings_print(settings, text);
		fputs(text->str, stdout);
		g_string_free(text, TRUE);
	} else if (!options.check_settings) {
		exit_code = run(settings);
	}
	settings_destroy(settings);
	return exit_code;
}
