/*
 * Stand-in operators: submit configuration patches over kept connections and
 * print how long they took, beside a bare write and sync on the same disk.
 */
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"

#define TIMEOUT_MS 15000
#define BARE_BYTES 256
#define RESEND_PAUSE_US 5000
/* Longer than any election; a patch that takes more is a failure. */
#define GIVE_UP_US (20 * G_USEC_PER_SEC)

static struct {
	char **urls;
	char **watched;
	char *folder;
	char *prefix;
	int count;
	int operators;
	int interval_ms;
} options = {.count = 100, .operators = 1};

static const GOptionEntry option_entries[] = {
    {"url", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.urls,
	"operator port of an instance; operators take these in turn", "URL"},
    {"watch", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.watched,
	"instance where each accepted version has to be in force", "URL"},
    {"folder", 0, 0, G_OPTION_ARG_FILENAME, &options.folder,
	"also time a bare write and sync in this folder", "FOLDER"},
    {"prefix", 0, 0, G_OPTION_ARG_STRING, &options.prefix,
	"start of every patch id", "TEXT"},
    {"count", 0, 0, G_OPTION_ARG_INT, &options.count, "patches", "N"},
    {"operators", 0, 0, G_OPTION_ARG_INT, &options.operators,
	"operators that race on each version", "N"},
    {"interval-ms", 0, 0, G_OPTION_ARG_INT, &options.interval_ms,
	"pause between patches", "MS"},
    {NULL},
};

typedef struct {
	CURL *curl;
	GString *body;
} client_t;

typedef struct {
	pthread_t thread;
	client_t client;
	const char *url;
	int number;
	int round;
	json_int_t base;
	bool accepted;
	bool consistent;
	json_int_t version;
} operator_t;

static void
require(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "standin-patcher: %s\n", what);
	exit(EXIT_FAILURE);
}

static size_t
keep_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static void
client_open(client_t *client)
{
	client->curl = curl_easy_init();
	client->body = g_string_new(NULL);
	curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, keep_body);
	curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client->body);
	curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
}

static void
client_close(client_t *client)
{
	curl_easy_cleanup(client->curl);
	g_string_free(client->body, TRUE);
}

/* Makes one call; returns the answer's JSON, or NULL without an answer. */
static json_t *
call(client_t *client, const char *url, const char *path, const char *patch)
{
	char *target = g_strconcat(url, path, NULL);
	CURLcode code;

	g_string_truncate(client->body, 0);
	curl_easy_setopt(client->curl, CURLOPT_URL, target);
	if (patch != NULL) {
		curl_easy_setopt(client->curl, CURLOPT_COPYPOSTFIELDS, patch);
		curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, "PATCH");
	} else {
		curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, "GET");
	}
	code = curl_easy_perform(client->curl);
	g_free(target);
	if (code != CURLE_OK)
		return NULL;
	return json_loadb(client->body->str, client->body->len, 0, NULL);
}

static json_int_t
integer_of(const json_t *answer, const char *name)
{
	return json_integer_value(json_object_get(answer, name));
}

/*
 * Submits a patch, again with the same id while the system has no leader.
 * Returns whether it was accepted; *version is the version of the answer.
 */
static bool
submit(
    client_t *client, const char *url, const char *patch, json_int_t *version)
{
	int64_t start_us = clock_mono_us();

	for (;;) {
		json_t *answer = call(client, url, "/v1/config", patch);
		const char *outcome =
		    json_string_value(json_object_get(answer, "outcome"));
		const char *error =
		    json_string_value(json_object_get(answer, "error"));
		bool accepted = g_strcmp0(outcome, "accepted") == 0;

		*version = integer_of(answer, "version");
		if (accepted || g_strcmp0(error, "conflict") == 0) {
			json_decref(answer);
			return accepted;
		}
		json_decref(answer);
		require(clock_mono_us() - start_us < GIVE_UP_US,
		    "no outcome within 20 s");
		g_usleep(RESEND_PAUSE_US);
	}
}

static char *
patch_text(const char *name, int number, json_int_t base)
{
	return g_strdup_printf(
	    "{\"id\": \"%s-%s-%d-%lld\", \"base\": %lld, \"author\": \"%s\","
	    " \"patch\": {\"tenants\": {\"t\": {\"weight\": %lld}}}}",
	    options.prefix, name, number, (long long)base, (long long)base,
	    name, (long long)base % 1000 + 1);
}

/* Waits until a version is in force on every watched instance. */
static void
await_everywhere(client_t *client, json_int_t version)
{
	char *path =
	    g_strdup_printf("/v1/config?min_version=%lld", (long long)version);
	int64_t start_us = clock_mono_us();

	for (char **url = options.watched; *url != NULL; url++) {
		bool in_force = false;

		while (!in_force) {
			json_t *answer = call(client, *url, path, NULL);

			in_force = integer_of(answer, "version") >= version;
			json_decref(answer);
			require(clock_mono_us() - start_us < GIVE_UP_US,
			    "not in force everywhere within 20 s");
		}
	}
	g_free(path);
}

static int
compare_us(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Prints exact quantiles: of 100 values, p99 is the 99th. */
static void
print_times(const char *name, GArray *times)
{
	static const int percents[] = {50, 99, 100};
	static const char *const names[] = {"median", "p99", "max"};

	g_array_sort(times, compare_us);
	for (size_t i = 0; i < G_N_ELEMENTS(percents); i++) {
		guint rank = (times->len * percents[i] + 99) / 100;

		printf("%s_%s %lld\n", name, names[i],
		    (long long)g_array_index(times, int64_t, rank - 1));
	}
}

static void
add_since(GArray *times, int64_t start_us)
{
	int64_t took_us = clock_mono_us() - start_us;

	g_array_append_val(times, took_us);
}

/*
 * One operator.  The patches alternate with bare writes and with reads over
 * the same connection, so that other load on the machine hits all of them.
 */
static void
run_alone(client_t *client, json_int_t version)
{
	GArray *patch_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *bare_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *read_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *force_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	char data[BARE_BYTES] = {0};
	int fd = -1;

	if (options.folder != NULL) {
		char *name = g_build_filename(options.folder, "bare", NULL);

		fd =
		    open(name, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
		require(fd >= 0, "--folder: cannot create a file");
		g_free(name);
	}
	for (int i = 0; i < options.count; i++) {
		char *patch = patch_text("one", i, version);
		int64_t start_us = clock_mono_us();

		require(submit(client, options.urls[0], patch, &version),
		    "conflict without another operator");
		add_since(patch_us, start_us);
		g_free(patch);
		if (options.watched != NULL) {
			await_everywhere(client, version);
			add_since(force_us, start_us);
		}
		if (fd >= 0) {
			start_us = clock_mono_us();
			require(write(fd, data, sizeof(data)) ==
					(ssize_t)sizeof(data) &&
				    fdatasync(fd) == 0,
			    "bare write and sync");
			add_since(bare_us, start_us);
			start_us = clock_mono_us();
			json_decref(call(client, options.urls[0],
			    "/v1/config?min_version=0", NULL));
			add_since(read_us, start_us);
		}
		if (options.interval_ms > 0)
			g_usleep(options.interval_ms * 1000UL);
	}
	print_times("patch", patch_us);
	if (fd >= 0) {
		print_times("bare_sync", bare_us);
		print_times("round_trip", read_us);
		close(fd);
	}
	if (options.watched != NULL)
		print_times("in_force", force_us);
	g_array_free(patch_us, TRUE);
	g_array_free(bare_us, TRUE);
	g_array_free(read_us, TRUE);
	g_array_free(force_us, TRUE);
}

/* Submits one patch and resends it; both answers have to be the same. */
static void *
race(void *ctx)
{
	operator_t *operator= ctx;
	char name[32];
	char *patch;
	json_int_t again;

	snprintf(name, sizeof(name), "op%d", operator->number);
	patch = patch_text(name, operator->round, operator->base);
	operator->accepted =
	    submit(&operator->client, operator->url, patch, &operator->version);
	operator->consistent =
		submit(&operator->client, operator->url, patch, &again) ==
	    operator->accepted &&(
		!operator->accepted || again == operator->version);
	g_free(patch);
	return NULL;
}

/* Several operators race on each version: exactly one of them may win. */
static void
run_race(json_int_t version)
{
	operator_t *operators = g_new0(operator_t, options.operators);
	guint urls = g_strv_length(options.urls);
	GArray *round_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int wrong = 0;
	int changed = 0;

	for (int i = 0; i < options.operators; i++) {
		operators[i].number = i;
		operators[i].url = options.urls[(guint)i % urls];
		client_open(&operators[i].client);
	}
	for (int round = 0; round < options.count; round++) {
		int64_t start_us = clock_mono_us();
		int winners = 0;

		for (int i = 0; i < options.operators; i++) {
			operators[i].round = round;
			operators[i].base = version;
			require(pthread_create(&operators[i].thread, NULL, race,
				    &operators[i]) == 0,
			    "no thread");
		}
		for (int i = 0; i < options.operators; i++) {
			pthread_join(operators[i].thread, NULL);
			changed += !operators[i].consistent;
			winners += operators[i].accepted;
		}
		for (int i = 0; i < options.operators; i++)
			if (operators[i].accepted)
				version = operators[i].version;
		add_since(round_us, start_us);
		wrong += winners != 1;
	}
	print_times("race", round_us);
	printf("rounds_without_one_winner %d\n", wrong);
	printf("resends_with_another_outcome %d\n", changed);
	for (int i = 0; i < options.operators; i++)
		client_close(&operators[i].client);
	g_array_free(round_us, TRUE);
	g_free(operators);
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	client_t client;
	json_t *answer;

	g_option_context_add_main_entries(context, option_entries, NULL);
	require(g_option_context_parse(context, &argc, &argv, NULL) &&
		    options.urls != NULL && options.count > 0 &&
		    options.operators > 0,
	    "usage: standin-patcher --url URL [--count N], see --help");
	if (options.prefix == NULL)
		options.prefix = g_strdup("patcher");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	client_open(&client);
	answer =
	    call(&client, options.urls[0], "/v1/config?min_version=0", NULL);
	require(answer != NULL, "no answer to GET /v1/config");
	if (options.operators == 1)
		run_alone(&client, integer_of(answer, "version"));
	else
		run_race(integer_of(answer, "version"));
	json_decref(answer);
	client_close(&client);
	g_option_context_free(context);
	return EXIT_SUCCESS;
}
