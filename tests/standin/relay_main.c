/*
 * Stand-in network: relays TCP between named ends and holds back bytes while a
 * control file says so.  Its lines are "cut FROM TO" (nothing passes from FROM
 * to TO) and "silence FROM TO" (connections opened before the line pass
 * nothing, new ones work).  "*" stands for any end.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/standin/pump.h"

#define CONTROL_INTERVAL_US 20000
#define MAX_RULES 128
#define MAX_LINKS 256

typedef struct {
	char text[160];
	char from[64];
	char to[64];
	bool is_silence;
	int64_t since_ms;
} rule_t;

/* "LISTEN=TARGET,FROM,TO"; FROM "@" means by source address (--name). */
typedef struct {
	struct sockaddr_in listen;
	struct sockaddr_in target;
	char *from;
	char *to;
	int fd;
} link_t;

typedef struct {
	link_t *link;
	int client;
	const char *from;
	int64_t opened_ms;
} connection_t;

static link_t links[MAX_LINKS];
static guint link_count;
static char **link_texts;
static char **name_texts;
static char *control_path;
static rule_t rules[MAX_RULES];
static guint rule_count;
static pthread_mutex_t rules_lock = PTHREAD_MUTEX_INITIALIZER;

static const GOptionEntry option_entries[] = {
    {"link", 0, 0, G_OPTION_ARG_STRING_ARRAY, &link_texts,
	"IP:PORT to listen on, target and names of the ends",
	"LISTEN=TARGET,FROM,TO"},
    {"name", 0, 0, G_OPTION_ARG_STRING_ARRAY, &name_texts,
	"name of a source address", "IP=NAME"},
    {"control", 0, 0, G_OPTION_ARG_FILENAME, &control_path,
	"file of the rules in force", "FILE"},
    {NULL},
};

/* Keeps the time of a rule that was there before. */
static int64_t
rule_since(const rule_t *old, guint old_count, const char *text)
{
	for (guint i = 0; i < old_count; i++) {
		if (strcmp(old[i].text, text) == 0)
			return old[i].since_ms;
	}
	return clock_mono_ms();
}

static void
load_rules(const char *text)
{
	static rule_t old[MAX_RULES];
	char **lines = g_strsplit(text, "\n", -1);
	guint old_count = rule_count;
	char kind[16];

	pthread_mutex_lock(&rules_lock);
	memcpy(old, rules, sizeof(old));
	rule_count = 0;
	for (char **line = lines; *line != NULL && rule_count < MAX_RULES;
	     line++) {
		rule_t *rule = &rules[rule_count];

		if (sscanf(*line, "%15s %63s %63s", kind, rule->from,
			rule->to) != 3)
			continue;
		g_strlcpy(rule->text, *line, sizeof(rule->text));
		rule->is_silence = strcmp(kind, "silence") == 0;
		rule->since_ms = rule_since(old, old_count, rule->text);
		rule_count++;
	}
	pthread_mutex_unlock(&rules_lock);
	g_strfreev(lines);
}

static void *
control_thread(void *ctx)
{
	for (;;) {
		char *text = NULL;

		if (g_file_get_contents(control_path, &text, NULL, NULL))
			load_rules(text);
		g_free(text);
		g_usleep(CONTROL_INTERVAL_US);
	}
	return NULL;
}

static bool
matches(const char *pattern, const char *name)
{
	return strcmp(pattern, "*") == 0 || strcmp(pattern, name) == 0;
}

static bool
is_held(void *ctx, bool forward)
{
	const connection_t *connection = ctx;
	const char *from = forward ? connection->from : connection->link->to;
	const char *to = forward ? connection->link->to : connection->from;
	bool held = false;

	pthread_mutex_lock(&rules_lock);
	for (guint i = 0; i < rule_count; i++) {
		if (!matches(rules[i].from, from) || !matches(rules[i].to, to))
			continue;
		if (!rules[i].is_silence ||
		    connection->opened_ms < rules[i].since_ms)
			held = true;
	}
	pthread_mutex_unlock(&rules_lock);
	return held;
}

static void *
connection_thread(void *ctx)
{
	connection_t *connection = ctx;
	int server;

	/* A handshake needs both directions. */
	while (is_held(connection, true) || is_held(connection, false)) {
		char byte;

		if (recv(connection->client, &byte, 1,
			MSG_PEEK | MSG_DONTWAIT) == 0) {
			close(connection->client);
			g_free(connection);
			return NULL;
		}
		g_usleep(CONTROL_INTERVAL_US);
	}
	server = pump_connect(&connection->link->target);
	if (server < 0)
		close(connection->client);
	else
		pump_run(connection->client, server, is_held, connection);
	g_free(connection);
	return NULL;
}

static const char *
name_of(const struct sockaddr_in *peer)
{
	char ip[INET_ADDRSTRLEN];
	size_t len;

	inet_ntop(AF_INET, &peer->sin_addr, ip, sizeof(ip));
	len = strlen(ip);
	for (char **text = name_texts; text != NULL && *text != NULL; text++) {
		if (strncmp(*text, ip, len) == 0 && (*text)[len] == '=')
			return *text + len + 1;
	}
	return "unnamed";
}

static void *
link_thread(void *ctx)
{
	link_t *link = ctx;

	for (;;) {
		struct sockaddr_in peer;
		socklen_t peer_len = sizeof(peer);
		int fd = accept(link->fd, (struct sockaddr *)&peer, &peer_len);
		connection_t *connection;
		pthread_t thread;
		int on = 1;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = g_new0(connection_t, 1);
		connection->link = link;
		connection->client = fd;
		connection->from =
		    strcmp(link->from, "@") == 0 ? name_of(&peer) : link->from;
		connection->opened_ms = clock_mono_ms();
		pthread_create(&thread, NULL, connection_thread, connection);
		pthread_detach(thread);
	}
	return NULL;
}

static bool
parse_link(const char *text, link_t *link)
{
	char **parts = g_strsplit_set(text, "=,", 4);
	bool ok = g_strv_length(parts) == 4 &&
		  pump_parse_address(parts[0], &link->listen) &&
		  pump_parse_address(parts[1], &link->target);

	if (ok) {
		link->from = g_strdup(parts[2]);
		link->to = g_strdup(parts[3]);
		link->fd = pump_listen(&link->listen);
	}
	g_strfreev(parts);
	return ok && link->fd >= 0;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("- stand-in network");
	pthread_t thread;

	g_option_context_add_main_entries(context, option_entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    link_texts == NULL || control_path == NULL) {
		fprintf(stderr,
		    "standin-relay: --link and --control are required\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	pthread_create(&thread, NULL, control_thread, NULL);
	for (char **text = link_texts; *text != NULL && link_count < MAX_LINKS;
	     text++) {
		link_t *link = &links[link_count++];

		if (!parse_link(*text, link)) {
			fprintf(
			    stderr, "standin-relay: cannot serve %s\n", *text);
			return EXIT_FAILURE;
		}
		pthread_create(&thread, NULL, link_thread, link);
	}
	for (;;)
		pause();
}
