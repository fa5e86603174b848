/*
 * Stand-in balancer: passes each TCP connection to a ready instance in turn.
 * Instances are asked for /v1/ready and may announce a drain.
 */
#include <curl/curl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/standin/pump.h"

#define CHECK_INTERVAL_US 100000
#define CHECK_TIMEOUT_MS 500
#define MAX_TARGETS 64
#define REQUEST_BYTES 4096

typedef struct {
	char *name; /* IP:PORT */
	struct sockaddr_in address;
	_Atomic bool ready;
	_Atomic bool draining;
} target_t;

static char *listen_text;
static char *admin_text;
static char **target_texts;
static target_t targets[MAX_TARGETS];
static guint target_count;
static _Atomic guint next_target;

static const GOptionEntry option_entries[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_text,
	"where callers and backend servers connect", "IP:PORT"},
    {"admin", 0, 0, G_OPTION_ARG_STRING, &admin_text,
	"where instances announce a drain", "IP:PORT"},
    {"target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &target_texts,
	"an instance; repeat for several", "IP:PORT"},
    {NULL},
};

static size_t
discard(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

static bool
is_ready(const target_t *target)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://%s/v1/ready", target->name);
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)CHECK_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	g_free(url);
	return status == 200;
}

static void *
check_thread(void *ctx)
{
	target_t *target = ctx;

	for (;;) {
		bool ready = is_ready(target);

		if (ready && !target->ready)
			target->draining = false;
		target->ready = ready;
		g_usleep(CHECK_INTERVAL_US);
	}
	return NULL;
}

/* Connects to the next ready instance; any other one when none answers. */
static int
connect_next(void)
{
	guint start = next_target++;
	int fd;

	for (guint i = 0; i < target_count; i++) {
		target_t *target = &targets[(start + i) % target_count];

		if (!target->ready || target->draining)
			continue;
		fd = pump_connect(&target->address);
		if (fd >= 0)
			return fd;
	}
	return -1;
}

static void *
connection_thread(void *ctx)
{
	int client = GPOINTER_TO_INT(ctx);
	int server = connect_next();

	if (server < 0)
		close(client);
	else
		pump_run(client, server, NULL, NULL);
	return NULL;
}

/* Reads one POST and marks the instances whose IP:PORT it names. */
static void *
admin_thread(void *ctx)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				     "Connection: close\r\n\r\n{}";
	int fd = GPOINTER_TO_INT(ctx);
	char request[REQUEST_BYTES];
	size_t len = 0;

	while (len + 1 < sizeof(request)) {
		ssize_t n = read(fd, request + len, sizeof(request) - 1 - len);

		if (n <= 0)
			break;
		len += (size_t)n;
		request[len] = '\0';
		if (request[len - 1] == '}')
			break;
	}
	request[len] = '\0';
	for (guint i = 0; i < target_count; i++) {
		char **parts = g_strsplit(targets[i].name, ":", 2);

		if (strstr(request, parts[0]) != NULL &&
		    strstr(request, parts[1]) != NULL)
			targets[i].draining = true;
		g_strfreev(parts);
	}
	if (write(fd, answer, sizeof(answer) - 1) < 0)
		perror("standin-balancer");
	close(fd);
	return NULL;
}

/* Accepts for ever and serves each connection on a thread of its own. */
static void
accept_loop(int listener, void *(*serve)(void *))
{
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		int on = 1;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(&thread, NULL, serve, GINT_TO_POINTER(fd)) ==
		    0)
			pthread_detach(thread);
		else
			close(fd);
	}
}

static void *
admin_loop(void *ctx)
{
	accept_loop(GPOINTER_TO_INT(ctx), admin_thread);
	return NULL;
}

static int
listen_on(const char *text)
{
	struct sockaddr_in address;
	int fd = -1;

	if (pump_parse_address(text, &address))
		fd = pump_listen(&address);
	if (fd < 0) {
		fprintf(
		    stderr, "standin-balancer: cannot listen on %s\n", text);
		exit(EXIT_FAILURE);
	}
	return fd;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("- stand-in balancer");
	pthread_t thread;

	g_option_context_add_main_entries(context, option_entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    listen_text == NULL || target_texts == NULL) {
		fprintf(stderr,
		    "standin-balancer: --listen and --target are required\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (char **text = target_texts;
	     *text != NULL && target_count < MAX_TARGETS; text++) {
		target_t *target = &targets[target_count++];

		target->name = *text;
		if (!pump_parse_address(*text, &target->address)) {
			fprintf(
			    stderr, "standin-balancer: bad target %s\n", *text);
			return EXIT_FAILURE;
		}
		pthread_create(&thread, NULL, check_thread, target);
	}
	if (admin_text != NULL)
		pthread_create(&thread, NULL, admin_loop,
		    GINT_TO_POINTER(listen_on(admin_text)));
	accept_loop(listen_on(listen_text), connection_thread);
	return EXIT_SUCCESS;
}
