/*
 * Stand-in caller: sends requests at given rates and checks that every answer
 * is whole and its own.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"

#define MAX_BODY_BYTES 8388608
#define CLIENT_SLACK_MS 5000 /* waits this much beyond the deadline */

typedef enum {
	ANSWER_DONE,
	ANSWER_DID_NOT_RUN,
	ANSWER_UNKNOWN,
	ANSWER_LOST,
	ANSWER_WRONG,
	ANSWER_KINDS,
} answer_kind_t;

static const char *const answer_names[ANSWER_KINDS] = {
    "done", "did_not_run", "unknown", "lost", "wrong"};

static struct {
	char **urls;
	char *tenants;
	char *stages;
	char *prefix;
	char *ledger;
	char *workspace;
	gboolean repeatable;
	gboolean cut;
	int count;
	int concurrency;
	int declared_ms;
	int sleep_ms;
	int deadline_ms;
	int resend;
	int duplicate;
	int bucket_ms;
	int payload_bytes;
} options = {
    .count = 0,
    .concurrency = 64,
    .declared_ms = 20,
    .sleep_ms = 5,
    .deadline_ms = 5000,
};

static const GOptionEntry option_entries[] = {
    {"url", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.urls,
	"where to send; repeat for several", "URL"},
    {"tenants", 0, 0, G_OPTION_ARG_STRING, &options.tenants,
	"comma-separated tenants, used in turn", "LIST"},
    {"workspace", 0, 0, G_OPTION_ARG_STRING, &options.workspace,
	"workspace of every request", "NAME"},
    {"stages", 0, 0, G_OPTION_ARG_STRING, &options.stages,
	"comma-separated RATE_PER_S:DURATION_MS", "LIST"},
    {"count", 0, 0, G_OPTION_ARG_INT, &options.count,
	"without --stages: requests in all", "N"},
    {"concurrency", 0, 0, G_OPTION_ARG_INT, &options.concurrency,
	"without --stages: requests open at once", "N"},
    {"repeatable", 0, 0, G_OPTION_ARG_NONE, &options.repeatable,
	"requests may be repeated", NULL},
    {"declared-ms", 0, 0, G_OPTION_ARG_INT, &options.declared_ms,
	"declared run time", "MS"},
    {"sleep-ms", 0, 0, G_OPTION_ARG_INT, &options.sleep_ms, "true run time",
	"MS"},
    {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &options.deadline_ms,
	"deadline of each request", "MS"},
    {"payload-bytes", 0, 0, G_OPTION_ARG_INT, &options.payload_bytes,
	"added to each request and its answer", "N"},
    {"cut", 0, 0, G_OPTION_ARG_NONE, &options.cut,
	"let backend servers cut answers short", NULL},
    {"resend", 0, 0, G_OPTION_ARG_INT, &options.resend,
	"times to send a key again after a lost or unknown answer", "N"},
    {"duplicate", 0, 0, G_OPTION_ARG_INT, &options.duplicate,
	"send each key this many times more at once", "N"},
    {"prefix", 0, 0, G_OPTION_ARG_STRING, &options.prefix, "start of every tag",
	"TEXT"},
    {"ledger", 0, 0, G_OPTION_ARG_FILENAME, &options.ledger,
	"file that gets a line for each answer", "FILE"},
    {"bucket-ms", 0, 0, G_OPTION_ARG_INT, &options.bucket_ms,
	"print the answers of each interval", "MS"},
    {NULL},
};

typedef struct {
	char tag[64];
	char key[96];
	char *body;
	GString *answer;
	CURL *curl;
	struct curl_slist *headers;
	int64_t start_us;
	int sends;
	guint url_index;
	bool is_copy; /* one of --duplicate */
} call_t;

static struct {
	CURLM *multi;
	FILE *ledger;
	char **tenants;
	int64_t counts[ANSWER_KINDS];
	int64_t sent;
	int64_t resent;
	int64_t open;
	histogram_t *done_us;
	histogram_t *refused_us;
	int64_t start_us;
	GArray *buckets;    /* pairs of done and refused */
	GHashTable *errors; /* text of a final refusal -> how often */
	guint next_url;
} state;

static size_t
collect(char *data, size_t size, size_t count, void *ctx)
{
	GString *answer = ctx;

	if (answer->len + size * count > MAX_BODY_BYTES)
		return 0;
	g_string_append_len(answer, data, (gssize)(size * count));
	return size * count;
}

static char *
make_body(const call_t *call, int64_t number)
{
	const char *tenant =
	    state.tenants[number % g_strv_length(state.tenants)];
	char *padding = g_strnfill((gsize)options.payload_bytes, 'x');
	json_t *input =
	    json_pack("{s:s, s:s, s:i, s:s}", "tag", call->tag, "echo",
		call->tag, "sleep_ms", options.sleep_ms, "padding", padding);
	json_t *body;
	char *text;

	if (options.payload_bytes > 0)
		json_object_set_new(
		    input, "echo", json_sprintf("%s%s", call->tag, padding));
	if (options.cut)
		json_object_set_new(input, "cut_after_bytes", json_integer(10));
	body = json_pack("{s:s, s:b, s:i, s:i, s:o}", "tenant", tenant,
	    "repeatable", options.repeatable, "declared_ms",
	    options.declared_ms, "deadline_ms", options.deadline_ms, "input",
	    input);
	if (options.workspace != NULL)
		json_object_set_new(
		    body, "workspace", json_string(options.workspace));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	g_free(padding);
	return text;
}

/* Says that the key was sent before. */
static void
mark_as_resend(call_t *call)
{
	call->headers =
	    curl_slist_append(call->headers, "X-Chervilhold-Resend: 1");
}

/* Sends the call to the next URL. */
static void
send_call(call_t *call)
{
	guint count = g_strv_length(options.urls);
	char *url = g_strconcat(
	    options.urls[call->url_index++ % count], "/v1/requests", NULL);

	if (call->curl != NULL)
		curl_easy_cleanup(call->curl);
	/* A copy is one from its first sending on. */
	if (call->sends == (call->is_copy ? 0 : 1))
		mark_as_resend(call);
	call->curl = curl_easy_init();
	g_string_truncate(call->answer, 0);
	curl_easy_setopt(call->curl, CURLOPT_URL, url);
	curl_easy_setopt(call->curl, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(call->curl, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(call->curl, CURLOPT_WRITEDATA, call->answer);
	curl_easy_setopt(call->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->curl, CURLOPT_TIMEOUT_MS,
	    (long)options.deadline_ms + CLIENT_SLACK_MS);
	curl_easy_setopt(call->curl, CURLOPT_PRIVATE, call);
	curl_multi_add_handle(state.multi, call->curl);
	call->sends++;
	g_free(url);
}

/* Starts one request; copies use the key and body of an earlier one. */
static call_t *
start_call(int64_t number, const call_t *original)
{
	call_t *call = g_new0(call_t, 1);
	char *header;

	if (original != NULL) {
		memcpy(call->tag, original->tag, sizeof(call->tag));
		memcpy(call->key, original->key, sizeof(call->key));
		call->body = g_strdup(original->body);
		call->is_copy = true;
	} else {
		snprintf(call->tag, sizeof(call->tag), "%s-%lld",
		    options.prefix, (long long)number);
		snprintf(call->key, sizeof(call->key), "%lld-%08x%08x",
		    (long long)clock_real_ms(), g_random_int(), g_random_int());
		call->body = make_body(call, number);
	}
	call->answer = g_string_new(NULL);
	call->url_index = state.next_url++;
	call->headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	if (!options.repeatable) {
		header = g_strdup_printf("Idempotency-Key: %s", call->key);
		call->headers = curl_slist_append(call->headers, header);
		g_free(header);
	}
	call->start_us = clock_mono_us();
	state.sent++;
	state.open++;
	send_call(call);
	return call;
}

static void
call_free(call_t *call)
{
	curl_slist_free_all(call->headers);
	curl_easy_cleanup(call->curl);
	g_string_free(call->answer, TRUE);
	free(call->body);
	g_free(call);
}

/* Tells what an answer says; a transport error is a lost answer. */
static answer_kind_t
classify(const call_t *call, CURLcode code)
{
	json_t *answer;
	const char *outcome;
	const char *result;
	answer_kind_t kind = ANSWER_WRONG;

	if (code != CURLE_OK)
		return ANSWER_LOST;
	answer = json_loadb(call->answer->str, call->answer->len, 0, NULL);
	outcome = json_string_value(json_object_get(answer, "outcome"));
	result = json_string_value(json_object_get(answer, "result"));
	if (g_strcmp0(outcome, "did_not_run") == 0)
		kind = ANSWER_DID_NOT_RUN;
	else if (g_strcmp0(outcome, "unknown") == 0)
		kind = ANSWER_UNKNOWN;
	else if (g_strcmp0(outcome, "done") == 0 && result != NULL &&
		 strncmp(result, call->tag, strlen(call->tag)) == 0 &&
		 strlen(result) ==
		     strlen(call->tag) + (size_t)options.payload_bytes)
		kind = ANSWER_DONE;
	if (kind == ANSWER_WRONG)
		fprintf(stderr, "wrong answer for %s: %s\n", call->tag,
		    call->answer->str);
	json_decref(answer);
	return kind;
}

/* Counts why calls were refused in the end. */
static void
count_error(const call_t *call)
{
	json_t *answer =
	    json_loadb(call->answer->str, call->answer->len, 0, NULL);
	const char *error = json_string_value(json_object_get(answer, "error"));
	gpointer count;

	if (error != NULL) {
		count = g_hash_table_lookup(state.errors, error);
		g_hash_table_insert(state.errors, g_strdup(error),
		    GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
	}
	json_decref(answer);
}

static void
count_bucket(answer_kind_t kind)
{
	guint index;
	int64_t *pair;

	if (options.bucket_ms <= 0)
		return;
	index = (guint)((clock_mono_us() - state.start_us) /
			(options.bucket_ms * (int64_t)CLOCK_US_PER_MS));
	if (state.buckets->len < index * 2 + 2)
		g_array_set_size(state.buckets, index * 2 + 2);
	pair = &g_array_index(state.buckets, int64_t, index * 2);
	pair[kind == ANSWER_DONE ? 0 : 1]++;
}

static void
finish_call(call_t *call, CURLcode code)
{
	answer_kind_t kind = classify(call, code);
	int64_t took_us = clock_mono_us() - call->start_us;

	curl_multi_remove_handle(state.multi, call->curl);
	if ((kind == ANSWER_LOST || kind == ANSWER_UNKNOWN) &&
	    call->sends <= options.resend) {
		fprintf(stderr, "%" G_GINT64_FORMAT " us: %s %s: %s\n",
		    clock_mono_us() - state.start_us, call->tag,
		    answer_names[kind], call->answer->str);
		state.resent++;
		send_call(call);
		return;
	}
	state.counts[kind]++;
	state.open--;
	if (kind != ANSWER_DONE)
		count_error(call);
	count_bucket(kind);
	histogram_record(
	    kind == ANSWER_DONE ? state.done_us : state.refused_us, took_us);
	if (call->sends > 1 || kind != ANSWER_DONE)
		fprintf(stderr, "%" G_GINT64_FORMAT " us: %s at last %s: %s\n",
		    clock_mono_us() - state.start_us, call->tag,
		    answer_names[kind], call->answer->str);
	if (state.ledger != NULL)
		fprintf(state.ledger, "%s %s%s %s\n", call->tag,
		    answer_names[kind], call->is_copy ? " copy" : " first",
		    options.repeatable ? "repeatable" : "once");
	call_free(call);
}

/* Runs transfers for at most wait_ms. */
static void
turn(int wait_ms)
{
	CURLMsg *message;
	int running;
	int left;

	curl_multi_poll(state.multi, NULL, 0, wait_ms, NULL);
	curl_multi_perform(state.multi, &running);
	while ((message = curl_multi_info_read(state.multi, &left)) != NULL) {
		call_t *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &call);
		finish_call(call, message->data.result);
	}
}

static void
start_with_copies(int64_t number)
{
	call_t *call = start_call(number, NULL);

	for (int i = 0; i < options.duplicate; i++)
		start_call(number, call);
}

/* Keeps --concurrency requests open until --count were sent. */
static void
run_closed(void)
{
	int64_t number = 0;

	while (number < options.count || state.open > 0) {
		while (
		    number < options.count && state.open < options.concurrency)
			start_with_copies(number++);
		turn(50);
	}
}

/* Sends at the rate of each stage, whatever the answers do. */
static void
run_open(void)
{
	char **stages = g_strsplit(options.stages, ",", -1);
	int64_t number = 0;

	for (char **stage = stages; *stage != NULL; stage++) {
		double rate_per_s = g_ascii_strtod(*stage, NULL);
		char *colon = strchr(*stage, ':');
		int64_t begin_us = clock_mono_us();
		int64_t length_us =
		    CLOCK_US_PER_MS *
		    (colon != NULL ? g_ascii_strtoll(colon + 1, NULL, 10)
				   : 1000);
		int64_t due = 0;

		for (;;) {
			int64_t now_us = clock_mono_us() - begin_us;

			if (now_us >= length_us)
				break;
			while (
			    (double)due < rate_per_s * (double)now_us / 1e6) {
				start_with_copies(number++);
				due++;
			}
			turn(1);
		}
	}
	while (state.open > 0)
		turn(50);
	g_strfreev(stages);
}

static void
print_summary(void)
{
	int64_t total_us = clock_mono_us() - state.start_us;
	GHashTableIter iter;
	gpointer error;
	gpointer count;

	printf("sent %lld\n", (long long)state.sent);
	for (int kind = 0; kind < ANSWER_KINDS; kind++)
		printf("%s %lld\n", answer_names[kind],
		    (long long)state.counts[kind]);
	printf("resent %lld\n", (long long)state.resent);
	g_hash_table_iter_init(&iter, state.errors);
	while (g_hash_table_iter_next(&iter, &error, &count))
		printf("error_%s %d\n", (const char *)error,
		    GPOINTER_TO_INT(count));
	printf("done_p50_us %lld\n",
	    (long long)histogram_quantile(state.done_us, 0.5));
	printf("done_p99_us %lld\n",
	    (long long)histogram_quantile(state.done_us, 0.99));
	printf("refused_p99_us %lld\n",
	    (long long)histogram_quantile(state.refused_us, 0.99));
	printf("done_per_s %.1f\n",
	    (double)state.counts[ANSWER_DONE] * 1e6 / (double)total_us);
	for (guint i = 0; i + 1 < state.buckets->len; i += 2)
		printf("bucket %u %lld %lld\n", i / 2 * options.bucket_ms,
		    (long long)g_array_index(state.buckets, int64_t, i),
		    (long long)g_array_index(state.buckets, int64_t, i + 1));
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("- stand-in caller");
	GError *error = NULL;

	g_option_context_add_main_entries(context, option_entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    options.urls == NULL) {
		fprintf(stderr, "standin-caller: %s\n",
		    error != NULL ? error->message : "--url is required");
		return EXIT_FAILURE;
	}
	g_option_context_free(context);
	if (options.prefix == NULL)
		options.prefix = g_strdup("t");
	state.tenants = g_strsplit(
	    options.tenants != NULL ? options.tenants : "default", ",", -1);
	if (options.ledger != NULL)
		state.ledger = fopen(options.ledger, "a");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	state.multi = curl_multi_init();
	state.done_us = histogram_create();
	state.refused_us = histogram_create();
	state.buckets = g_array_new(FALSE, TRUE, sizeof(int64_t));
	state.errors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state.start_us = clock_mono_us();
	if (options.stages != NULL)
		run_open();
	else
		run_closed();
	print_summary();
	if (state.ledger != NULL && fclose(state.ledger) != 0)
		return EXIT_FAILURE;
	return state.counts[ANSWER_WRONG] == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
