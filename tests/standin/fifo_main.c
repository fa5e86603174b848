/*
 * Baseline for measurements: one FIFO queue in front of all backend servers,
 * without limits, lanes, claims or deadlines.  It speaks as much of the public
 * protocol as the stand-in caller and backend server need.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/standin/pump.h"

#define MAX_WORKERS 512
#define MAX_BODY_BYTES 8388608
#define CALL_TIMEOUT_MS 120000

typedef struct {
	char id[128];
	char address[64];
	int port;
	int slots;
	int used;
} worker_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static worker_t workers[MAX_WORKERS];
static int worker_count;
static int next_worker;
static uint64_t next_ticket;
static uint64_t served_ticket;
static _Atomic uint64_t next_task;

static void
add_worker(const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));
	const char *address =
	    json_string_value(json_object_get(body, "address"));

	if (id == NULL || address == NULL)
		return;
	pthread_mutex_lock(&lock);
	for (int i = 0; i < worker_count; i++) {
		if (strcmp(workers[i].id, id) == 0)
			goto done;
	}
	if (worker_count == MAX_WORKERS)
		goto done;
	g_strlcpy(workers[worker_count].id, id, sizeof(workers[0].id));
	g_strlcpy(
	    workers[worker_count].address, address, sizeof(workers[0].address));
	workers[worker_count].port =
	    (int)json_integer_value(json_object_get(body, "port"));
	workers[worker_count].slots =
	    (int)json_integer_value(json_object_get(body, "slots"));
	worker_count++;
	pthread_cond_broadcast(&changed);
done:
	pthread_mutex_unlock(&lock);
}

static worker_t *
free_worker(void)
{
	for (int i = 0; i < worker_count; i++) {
		worker_t *worker = &workers[next_worker++ % worker_count];

		if (worker->used < worker->slots)
			return worker;
	}
	return NULL;
}

/* Waits for its turn and then for a slot. */
static worker_t *
take_slot(void)
{
	worker_t *worker = NULL;
	uint64_t ticket;

	pthread_mutex_lock(&lock);
	ticket = next_ticket++;
	while (ticket != served_ticket || (worker = free_worker()) == NULL)
		pthread_cond_wait(&changed, &lock);
	served_ticket++;
	worker->used++;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return worker;
}

static void
give_slot(worker_t *worker)
{
	pthread_mutex_lock(&lock);
	worker->used--;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

static size_t
collect(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

/* Runs a task on a backend server and returns the answer's JSON. */
static json_t *
run_task(const worker_t *worker, const json_t *input)
{
	json_t *body = json_pack("{s:s, s:i, s:s, s:O}", "mode", "run",
	    "lease_ms", CALL_TIMEOUT_MS, "tenant", "t", "input", input);
	char *text = json_dumps(body, JSON_COMPACT);
	char *url = g_strdup_printf("http://%s:%d/v1/tasks/fifo-%llu",
	    worker->address, worker->port, (unsigned long long)next_task++);
	GString *answer = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	json_t *json;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	json = json_loadb(answer->str, answer->len, 0, NULL);
	g_string_free(answer, TRUE);
	g_free(url);
	free(text);
	json_decref(body);
	return json;
}

static json_t *
serve_request(const json_t *body)
{
	worker_t *worker = take_slot();
	json_t *answer = run_task(worker, json_object_get(body, "input"));
	json_t *result = json_object_get(answer, "result");
	json_t *reply;

	give_slot(worker);
	reply =
	    json_pack("{s:s}", "outcome", result != NULL ? "done" : "unknown");
	if (result != NULL)
		json_object_set(reply, "result", result);
	json_decref(answer);
	return reply;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	GString *text = *state;
	struct MHD_Response *response;
	enum MHD_Result result;
	json_t *reply;
	json_t *body;
	char *out;

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
	if (strcmp(path, "/v1/requests") == 0) {
		reply = serve_request(body);
	} else {
		if (strcmp(path, "/v1/workers") == 0)
			add_worker(body);
		reply = json_pack("{s:i}", "lease_ms", 3000);
	}
	json_decref(body);
	out = json_dumps(reply, JSON_COMPACT);
	json_decref(reply);
	response = MHD_create_response_from_buffer(
	    strlen(out), out, MHD_RESPMEM_MUST_FREE);
	result = MHD_queue_response(connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
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

int
main(int argc, char **argv)
{
	struct sockaddr_in address;
	struct MHD_Daemon *daemon;

	if (argc != 2 || !pump_parse_address(argv[1], &address)) {
		fprintf(stderr, "usage: standin-fifo IP:PORT\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				      MHD_USE_INTERNAL_POLLING_THREAD |
				      MHD_USE_POLL,
	    0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_CONNECTION_LIMIT, 8192u, MHD_OPTION_THREAD_STACK_SIZE,
	    (size_t)262144, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "standin-fifo: cannot listen on %s\n", argv[1]);
		return EXIT_FAILURE;
	}
	for (;;)
		pause();
}
