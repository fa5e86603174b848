/*
 * standin-crowd: a crowd of clients that do not behave, on one address.  Prints
 * "quiet" once nothing has moved for a while and keeps what is open until it is
 * stopped.
 */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/standin/pump.h"

#define UNIT_BYTES 4096
#define SEND_BYTES 65536
#define QUIET_MS 1000
#define POLL_MS 50
#define SLOW_INTERVAL_MS 100
#define READ_BYTES 65536
/* Announced by a client whose body is far over any limit. */
#define OVER_BYTES "1000000000"

static struct {
	char *target;
	char *path;
	char *method;
	char *host;
	char *kind;
	gint count;
	gint64 bytes;
} options = {.count = 1, .bytes = 1000000};

static const GOptionEntry option_entries[] = {
    {"target", 0, 0, G_OPTION_ARG_STRING, &options.target, "IP:PORT", NULL},
    {"path", 0, 0, G_OPTION_ARG_STRING, &options.path, "path", NULL},
    {"method", 0, 0, G_OPTION_ARG_STRING, &options.method, "method", NULL},
    {"host", 0, 0, G_OPTION_ARG_STRING, &options.host, "host", NULL},
    {"kind", 0, 0, G_OPTION_ARG_STRING, &options.kind,
	"whole, pieces, chunked, over, objects, members, ahead, headers, half, "
	"slow or idle",
	NULL},
    {"count", 0, 0, G_OPTION_ARG_INT, &options.count, "connections", NULL},
    {"bytes", 0, 0, G_OPTION_ARG_INT64, &options.bytes,
	"bytes that each connection sends after its header", NULL},
    {NULL},
};

/* What every connection sends: the head, units up to a number of bytes, the
 * tail; then it stays open. */
typedef struct {
	GString *head;
	GString *units;
	size_t send_bytes; /* at a time */
	bool slow;
	bool reads; /* takes what is answered */
} script_t;

typedef struct {
	int fd; /* -1 once it is closed */
	size_t sent;
	int64_t next_ms; /* of a slow sender */
} client_t;

static void
append_filler(GString *out, size_t bytes)
{
	size_t start = out->len;

	g_string_set_size(out, start + bytes);
	memset(out->str + start, 'a', bytes);
}

/* Repeats a unit while it fits. */
static void
append_units(GString *out, const char *unit, size_t bytes)
{
	size_t len = strlen(unit);

	for (size_t at = 0; at + len <= bytes; at += len)
		g_string_append_len(out, unit, (gssize)len);
}

static void
append_chunks(GString *out, size_t bytes)
{
	for (size_t at = 0; at < bytes; at += UNIT_BYTES) {
		g_string_append_printf(out, "%x\r\n", UNIT_BYTES);
		append_filler(out, UNIT_BYTES);
		g_string_append(out, "\r\n");
	}
}

/* A whole object of many members, each as short as it can be. */
static void
append_members(GString *out, size_t bytes)
{
	size_t start = out->len;

	g_string_append(out, "{\"x\":0");
	for (int i = 0; out->len - start + 16 < bytes; i++)
		g_string_append_printf(out, ",\"%x\":0", i);
	g_string_append_c(out, '}');
}

/* A whole body of many empty objects. */
static void
append_objects(GString *out, size_t bytes)
{
	g_string_append(out, "{\"steps\":[");
	append_units(out, "{},", bytes - 16);
	g_string_append(out, "{}]}");
}

static void
append_length(GString *head, const char *length)
{
	g_string_append_printf(head, "Content-Length: %s\r\n\r\n", length);
}

static void
append_body(script_t *script, size_t bytes, size_t announced)
{
	char length[32];

	snprintf(length, sizeof(length), "%zu", announced);
	append_length(script->head, length);
	append_filler(script->units, bytes);
}

static void
append_whole(
    script_t *script, void (*append)(GString *out, size_t bytes), size_t bytes)
{
	char length[32];

	append(script->units, bytes);
	snprintf(length, sizeof(length), "%zu", script->units->len);
	append_length(script->head, length);
}

/* Fills in what a kind of client sends; false for an unknown one. */
static bool
script_of_kind(script_t *script, const char *kind, size_t bytes)
{
	GString *head = script->head;

	if (strcmp(kind, "whole") == 0) {
		append_body(script, bytes - 1, bytes);
	} else if (strcmp(kind, "pieces") == 0) {
		script->send_bytes = UNIT_BYTES;
		append_body(script, bytes - 1, bytes);
	} else if (strcmp(kind, "slow") == 0) {
		script->send_bytes = 1;
		script->slow = true;
		append_body(script, bytes - 1, bytes);
	} else if (strcmp(kind, "chunked") == 0) {
		g_string_append(head, "Transfer-Encoding: chunked\r\n\r\n");
		append_chunks(script->units, bytes);
	} else if (strcmp(kind, "over") == 0) {
		append_length(head, OVER_BYTES);
		append_filler(script->units, bytes);
	} else if (strcmp(kind, "objects") == 0) {
		append_whole(script, append_objects, bytes);
	} else if (strcmp(kind, "members") == 0) {
		append_whole(script, append_members, bytes);
	} else if (strcmp(kind, "ahead") == 0) {
		script->reads = false;
		g_string_append(head, "\r\n");
		append_units(script->units, head->str, bytes);
	} else if (strcmp(kind, "headers") == 0) {
		append_units(script->units, "X-Filler: aaaaaaaa\r\n", bytes);
	} else if (strcmp(kind, "half") == 0) {
		g_string_truncate(head, head->len - 3);
	} else if (strcmp(kind, "idle") == 0) {
		g_string_truncate(head, 0);
	} else {
		return false;
	}
	return true;
}

static void
client_close(client_t *client)
{
	close(client->fd);
	client->fd = -1;
}

/* Returns the bytes that a client has still to send. */
static size_t
left_of(const client_t *client, const script_t *script)
{
	return script->head->len + script->units->len - client->sent;
}

/* Returns whether anything was sent. */
static bool
client_send(client_t *client, const script_t *script, int64_t now_ms)
{
	size_t head = script->head->len;
	const char *at = client->sent < head
			     ? script->head->str + client->sent
			     : script->units->str + (client->sent - head);
	size_t len =
	    client->sent < head ? head - client->sent : left_of(client, script);
	ssize_t sent;

	if (script->slow && client->sent >= head && now_ms < client->next_ms)
		return false;
	client->next_ms = now_ms + SLOW_INTERVAL_MS;
	if (client->sent >= head)
		len = MIN(len, script->send_bytes);
	sent = send(client->fd, at, len, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent < 0 && errno != EAGAIN && errno != EINPROGRESS &&
	    errno != ENOTCONN)
		client_close(client);
	if (sent <= 0)
		return false;
	client->sent += (size_t)sent;
	return true;
}

/* Takes what was answered; returns whether anything came. */
static bool
client_read(client_t *client)
{
	char buffer[READ_BYTES];
	ssize_t got = recv(client->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (got == 0 || (got < 0 && errno != EAGAIN)) {
		client_close(client);
		return false;
	}
	return got > 0;
}

static void
watch(const client_t *client, const script_t *script, struct pollfd *fd)
{
	*fd = (struct pollfd){.fd = client->fd};
	if (script->reads)
		fd->events |= POLLIN;
	/* A slow sender is woken by the interval of the poll. */
	if (left_of(client, script) > 0 && !script->slow)
		fd->events |= POLLOUT;
}

static bool
serve(client_t *client, const script_t *script, short events, int64_t now_ms)
{
	bool moved = false;

	if (client->fd < 0)
		return false;
	if ((events & (POLLERR | POLLHUP)) != 0 && !script->reads)
		client_close(client);
	else if ((events & (POLLIN | POLLERR | POLLHUP)) != 0)
		moved = client_read(client);
	if (client->fd >= 0 && left_of(client, script) > 0 &&
	    (script->slow || (events & POLLOUT) != 0))
		moved |= client_send(client, script, now_ms);
	return moved;
}

/* Serves all connections until the process is stopped. */
static void
run(client_t *clients, int count, const script_t *script)
{
	struct pollfd *fds = g_new0(struct pollfd, count);
	int64_t moved_ms = clock_mono_ms();
	bool was_quiet = false;

	for (;;) {
		int64_t now_ms;

		for (int i = 0; i < count; i++)
			watch(&clients[i], script, &fds[i]);
		poll(fds, (nfds_t)count, POLL_MS);
		now_ms = clock_mono_ms();
		for (int i = 0; i < count; i++) {
			/* One byte at a time goes on for ever. */
			if (serve(
				&clients[i], script, fds[i].revents, now_ms) &&
			    !script->slow)
				moved_ms = now_ms;
		}
		if (!was_quiet && now_ms - moved_ms >= QUIET_MS) {
			was_quiet = true;
			printf("quiet\n");
			fflush(stdout);
		}
	}
}

/* Opens the connections; one that cannot be made counts as closed. */
static client_t *
connect_all(const struct sockaddr_in *target, int count)
{
	client_t *clients = g_new0(client_t, count);

	for (int i = 0; i < count; i++) {
		client_t *client = &clients[i];

		client->fd = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		if (client->fd >= 0 &&
		    connect(client->fd, (const struct sockaddr *)target,
			sizeof(*target)) < 0 &&
		    errno != EINPROGRESS)
			client_close(client);
	}
	return clients;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	script_t script = {.send_bytes = SEND_BYTES, .reads = true};
	struct sockaddr_in target;

	g_option_context_add_main_entries(context, option_entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    options.target == NULL || options.kind == NULL ||
	    !pump_parse_address(options.target, &target)) {
		fprintf(stderr, "standin-crowd: see --help\n");
		return EXIT_FAILURE;
	}
	script.head = g_string_new(NULL);
	script.units = g_string_new(NULL);
	g_string_printf(script.head, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    options.method != NULL ? options.method : "POST",
	    options.path != NULL ? options.path : "/",
	    options.host != NULL ? options.host : "h");
	if (!script_of_kind(&script, options.kind, (size_t)options.bytes)) {
		fprintf(stderr, "standin-crowd: unknown kind\n");
		return EXIT_FAILURE;
	}
	run(connect_all(&target, options.count), options.count, &script);
	return EXIT_SUCCESS;
}
