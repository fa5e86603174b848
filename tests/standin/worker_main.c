/*
 * Stand-in backend servers: one process serves --count of them, each on its own
 * port, and announces them through the balancer.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/standin/tasks.h"

#define ANNOUNCE_TIMEOUT_MS 1000
#define MAX_BODY_BYTES 8388608

static struct {
	char *address;
	char *balancer;
	char *id;
	char *domain;
	char *rack;
	char *ledger;
	int port;
	int count;
	int per_rack;
	int slots;
	int connections;
	int accelerators;
	int announce_ms;
	gboolean fail_all;
} options = {
    .count = 1,
    .slots = 8,
    .connections = 64,
    .accelerators = 8,
    .announce_ms = 1000,
};

static const GOptionEntry option_entries[] = {
    {"address", 0, 0, G_OPTION_ARG_STRING, &options.address,
	"IP address to listen on", "IP"},
    {"port", 0, 0, G_OPTION_ARG_INT, &options.port,
	"first port; 0 lets the kernel choose", "N"},
    {"balancer", 0, 0, G_OPTION_ARG_STRING, &options.balancer,
	"where to announce", "URL"},
    {"id", 0, 0, G_OPTION_ARG_STRING, &options.id,
	"id; with --count a number is added", "ID"},
    {"count", 0, 0, G_OPTION_ARG_INT, &options.count,
	"backend servers in this process", "N"},
    {"per-rack", 0, 0, G_OPTION_ARG_INT, &options.per_rack,
	"a new rack after this many", "N"},
    {"domain", 0, 0, G_OPTION_ARG_STRING, &options.domain, "failure domain",
	"NAME"},
    {"rack", 0, 0, G_OPTION_ARG_STRING, &options.rack, "rack", "NAME"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &options.slots, "slots", "N"},
    {"connections", 0, 0, G_OPTION_ARG_INT, &options.connections,
	"connections accepted", "N"},
    {"accelerators", 0, 0, G_OPTION_ARG_INT, &options.accelerators,
	"accelerators", "N"},
    {"announce-ms", 0, 0, G_OPTION_ARG_INT, &options.announce_ms,
	"interval of announcements", "MS"},
    {"ledger", 0, 0, G_OPTION_ARG_FILENAME, &options.ledger,
	"file that gets a line for each start and end", "FILE"},
    {"fail-all", 0, 0, G_OPTION_ARG_NONE, &options.fail_all, "fail every task",
	NULL},
    {NULL},
};

typedef struct {
	char id[64];
	char rack[64];
	tasks_t *tasks;
	struct MHD_Daemon *daemon;
	int port;
	uint64_t generation;
	_Atomic int connections;
	_Atomic int max_connections;
} worker_t;

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t leave_requested;

static void
on_signal(int signal)
{
	if (signal == SIGUSR1)
		leave_requested = 1;
	else
		stop_requested = 1;
}

static uint64_t
header_number(struct MHD_Connection *connection, const char *name)
{
	const char *text =
	    MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/* Sends a body whose Content-Length promises more than arrives. */
struct cut_t {
	char *text;
	size_t cut;
};

static ssize_t
read_cut(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct cut_t *cut = cls;
	size_t len = cut->cut - (size_t)pos;

	if (pos >= cut->cut)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (len > max)
		len = max;
	memcpy(buf, cut->text + pos, len);
	return (ssize_t)len;
}

static void
free_cut(void *cls)
{
	struct cut_t *cut = cls;

	free(cut->text);
	g_free(cut);
}

static enum MHD_Result
send_json(struct MHD_Connection *connection, int status, json_t *body,
    int cut_after_bytes)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct MHD_Response *response;
	enum MHD_Result result;

	json_decref(body);
	if (cut_after_bytes > 0 && (size_t)cut_after_bytes < strlen(text)) {
		struct cut_t *cut = g_new0(struct cut_t, 1);

		cut->text = text;
		cut->cut = (size_t)cut_after_bytes;
		response = MHD_create_response_from_callback(
		    strlen(text), 1024, read_cut, cut, free_cut);
	} else {
		response = MHD_create_response_from_buffer(
		    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	}
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, (unsigned)status, response);
	MHD_destroy_response(response);
	return result;
}

/* Statistics for tests: GET /standin. */
static json_t *
statistics(worker_t *worker)
{
	return json_pack("{s:i, s:i, s:i}", "max_running",
	    tasks_max_running(worker->tasks), "max_connections",
	    worker->max_connections, "running", tasks_running(worker->tasks));
}

static enum MHD_Result
serve(worker_t *worker, struct MHD_Connection *connection, const char *method,
    const char *path, const json_t *body)
{
	char **parts = g_strsplit(path, "/", -1);
	guint count = g_strv_length(parts);
	bool is_task = count >= 4 && strcmp(parts[2], "tasks") == 0;
	json_t *reply = NULL;
	int cut_after_bytes = 0;
	int status = 404;
	uint64_t highest;

	if (strcmp(method, "GET") != 0 &&
	    !tasks_fence(worker->tasks,
		header_number(connection, "X-Chervilhold-Fence"), &highest)) {
		reply = json_pack("{s:s, s:I}", "error", "fenced", "fence",
		    (json_int_t)highest);
		status = 409;
	} else if (strcmp(path, "/standin") == 0) {
		reply = statistics(worker);
		status = 200;
	} else if (strcmp(path, "/v1/tasks") == 0) {
		status = tasks_list(worker->tasks, &reply);
	} else if (is_task && count == 4 && strcmp(method, "PUT") == 0) {
		status = tasks_put(
		    worker->tasks, parts[3], body, &reply, &cut_after_bytes);
	} else if (is_task && count == 4 && strcmp(method, "GET") == 0) {
		status = tasks_get(worker->tasks, parts[3], &reply);
	} else if (is_task && count == 5 && strcmp(method, "POST") == 0) {
		status = tasks_command(
		    worker->tasks, parts[3], parts[4], body, &reply);
	}
	g_strfreev(parts);
	if (reply == NULL)
		reply = json_pack("{s:s}", "error", "not_found");
	return send_json(connection, status, reply, cut_after_bytes);
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	GString *text = *state;
	enum MHD_Result result;
	json_t *body;

	if (text == NULL) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		if (text->len + *size > MAX_BODY_BYTES)
			return MHD_NO;
		g_string_append_len(text, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	body = json_loadb(text->str, text->len, 0, NULL);
	result = serve(cls, connection, method, path, body);
	json_decref(body);
	return result;
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	if (*state != NULL)
		g_string_free(*state, TRUE);
	*state = NULL;
}

/* Keeps the highest number of connections at once. */
static void
on_connection(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_ConnectionNotificationCode code)
{
	worker_t *worker = cls;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		worker->connections--;
		return;
	}
	worker->connections++;
	if (worker->connections > worker->max_connections)
		worker->max_connections = worker->connections;
}

static int
start_worker(worker_t *worker, int index, int ledger_fd)
{
	tasks_options_t task_options = {
	    .worker = worker->id,
	    .slots = options.slots,
	    .accelerators = options.accelerators,
	    .ledger_fd = ledger_fd,
	    .fail_all = options.fail_all,
	};
	struct sockaddr_in address = {.sin_family = AF_INET};
	const union MHD_DaemonInfo *info;

	if (options.count > 1)
		snprintf(worker->id, sizeof(worker->id), "%s%02d", options.id,
		    index + 1);
	else
		snprintf(worker->id, sizeof(worker->id), "%s", options.id);
	if (options.per_rack > 0)
		snprintf(worker->rack, sizeof(worker->rack), "%s%d",
		    options.rack, index / options.per_rack + 1);
	else
		snprintf(
		    worker->rack, sizeof(worker->rack), "%s", options.rack);
	worker->tasks = tasks_create(&task_options);
	worker->generation = (uint64_t)clock_real_ms();
	if (inet_pton(AF_INET, options.address, &address.sin_addr) != 1)
		return -1;
	address.sin_port =
	    htons((uint16_t)(options.port > 0 ? options.port + index : 0));
	worker->daemon =
	    MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				 MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		0, NULL, NULL, on_request, worker, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)options.connections, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
		worker, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (worker->daemon == NULL)
		return -1;
	info = MHD_get_daemon_info(worker->daemon, MHD_DAEMON_INFO_BIND_PORT);
	worker->port = info->port;
	return 0;
}

static size_t
discard(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

/* HTTP bytes of all announcements, both ways, without TCP and IP headers. */
static uint64_t announced_bytes;
static uint64_t announcements;

static int
count_bytes(CURL *curl, curl_infotype type, char *data, size_t size, void *ctx)
{
	if (type == CURLINFO_HEADER_IN || type == CURLINFO_HEADER_OUT ||
	    type == CURLINFO_DATA_IN || type == CURLINFO_DATA_OUT)
		announced_bytes += size;
	return 0;
}

/* Returns the HTTP status, 0 when there was no answer. */
static long
post(const char *path, json_t *body)
{
	long status = 0;
	CURL *curl = curl_easy_init();
	struct curl_slist *headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	char *url = g_strconcat(options.balancer, path, NULL);
	char *text = json_dumps(body, JSON_COMPACT);

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_INTERFACE, options.address);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)ANNOUNCE_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_DEBUGFUNCTION, count_bytes);
	curl_easy_setopt(curl, CURLOPT_VERBOSE, 1L);
	announcements++;
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	free(text);
	g_free(url);
	json_decref(body);
	return status;
}

static void
announce(worker_t *worker)
{
	post("/v1/workers",
	    json_pack("{s:s, s:s, s:i, s:s, s:s, s:i, s:i, s:i, s:I, s:i, s:o}",
		"id", worker->id, "address", options.address, "port",
		worker->port, "domain", options.domain, "rack", worker->rack,
		"slots", options.slots, "connections", options.connections,
		"accelerators", options.accelerators, "generation",
		(json_int_t)worker->generation, "running",
		tasks_running(worker->tasks), "usage",
		tasks_usage(worker->tasks)));
}

/*
 * Says that the worker leaves until an instance has answered 200, as an answer
 * can be lost; the line on standard output tells a script when that was.
 */
static void
leave(worker_t *worker)
{
	char *path = g_strdup_printf("/v1/workers/%s/leave", worker->id);

	while (!stop_requested &&
	       post(path, json_pack("{s:I}", "generation",
			      (json_int_t)worker->generation)) != 200)
		g_usleep(10000);
	g_free(path);
	printf("left %s\n", worker->id);
	fflush(stdout);
}

/* Announces every backend server in turn until a signal asks to stop. */
static void
announce_loop(worker_t *workers)
{
	while (!stop_requested) {
		int64_t next_ms = clock_mono_ms() + options.announce_ms;

		for (int i = 0; i < options.count && !leave_requested; i++)
			announce(&workers[i]);
		for (int i = 0; i < options.count && leave_requested == 1; i++)
			leave(&workers[i]);
		if (leave_requested == 1)
			leave_requested = 2; /* told; stay until stopped */
		while (!stop_requested && leave_requested != 1 &&
		       clock_mono_ms() < next_ms)
			g_usleep(10000);
	}
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("- stand-in workers");
	struct sigaction action = {.sa_handler = on_signal};
	GError *error = NULL;
	worker_t *workers;
	int ledger_fd = -1;

	g_option_context_add_main_entries(context, option_entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    options.balancer == NULL || options.id == NULL) {
		fprintf(stderr, "standin-worker: %s\n",
		    error != NULL ? error->message
				  : "--balancer and --id are required");
		return EXIT_FAILURE;
	}
	if (options.address == NULL)
		options.address = g_strdup("127.0.0.1");
	if (options.domain == NULL)
		options.domain = g_strdup("d1");
	if (options.rack == NULL)
		options.rack = g_strdup("r1");
	if (options.ledger != NULL)
		ledger_fd =
		    open(options.ledger, O_WRONLY | O_CREAT | O_APPEND, 0644);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGUSR1, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	workers = g_new0(worker_t, (gsize)options.count);
	for (int i = 0; i < options.count; i++) {
		if (start_worker(&workers[i], i, ledger_fd) != 0) {
			fprintf(stderr, "standin-worker: cannot listen\n");
			return EXIT_FAILURE;
		}
		printf("%s %d\n", workers[i].id, workers[i].port);
	}
	fflush(stdout);
	announce_loop(workers);
	printf("announcements %llu bytes %llu\n",
	    (unsigned long long)announcements,
	    (unsigned long long)announced_bytes);
	fflush(stdout);
	/* Connection threads may still wait in tasks, so nothing is freed. */
	_exit(EXIT_SUCCESS);
}
