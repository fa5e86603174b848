/*
 * review-proxy RULES NAME LISTEN TARGET [NAME LISTEN TARGET]...
 *
 * Passes TCP connections from LISTEN to TARGET (both IP:PORT, loopback).  RULES
 * is a file that is read every 10 ms; its lines are "NAME MODE":
 *   pass     bytes pass (the mode of a link without a line)
 *   hold     bytes are kept, in both directions, and delivered once the link
 *            passes again, also when the sender has closed by then
 *   refuse   connections are reset and new ones refused
 * Writes a line to standard output at each change of a mode.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_LINKS 64
#define MAX_CONNECTIONS 512
#define BUFFER_BYTES 65536
#define TURN_MS 10

typedef enum {
	MODE_PASS,
	MODE_HOLD,
	MODE_REFUSE,
} proxy_mode_t;

typedef struct {
	const char *name;
	struct sockaddr_in listen;
	struct sockaddr_in target;
	int fd; /* -1 while it refuses */
	proxy_mode_t mode;
} proxy_link_t;

/* Bytes on their way from one side to the other. */
typedef struct {
	char bytes[BUFFER_BYTES];
	size_t len;
	bool ended;     /* the sender has closed */
	bool shut_sent; /* the receiver was told */
} flow_t;

typedef struct {
	proxy_link_t *link;
	int fds[2];      /* of the caller and of the target */
	flow_t flows[2]; /* by sender */
} connection_t;

static const char *const mode_names[] = {"pass", "hold", "refuse"};

static proxy_link_t links[MAX_LINKS];
static size_t link_count;
static connection_t *connections[MAX_CONNECTIONS];
static size_t connection_count;

static void
parse_address(const char *text, struct sockaddr_in *address)
{
	char host[64];
	const char *colon = strchr(text, ':');

	memset(address, 0, sizeof(*address));
	if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
		fprintf(stderr, "review-proxy: %s: not IP:PORT\n", text);
		exit(2);
	}
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, host, &address->sin_addr) != 1) {
		fprintf(stderr, "review-proxy: %s: not an address\n", text);
		exit(2);
	}
}

static void
set_up_socket(int fd)
{
	int on = 1;

	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static int
open_listener(const proxy_link_t *link)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)&link->listen,
		sizeof(link->listen)) != 0 ||
	    listen(fd, 128) != 0) {
		fprintf(stderr, "review-proxy: %s: %s\n", link->name,
		    strerror(errno));
		exit(2);
	}
	set_up_socket(fd);
	return fd;
}

/* Closes the connection at slot i, with a reset where asked for. */
static void
drop_connection(size_t i, bool reset)
{
	connection_t *connection = connections[i];
	struct linger linger = {1, 0};

	for (int side = 0; side < 2; side++) {
		if (reset)
			setsockopt(connection->fds[side], SOL_SOCKET, SO_LINGER,
			    &linger, sizeof(linger));
		close(connection->fds[side]);
	}
	free(connection);
	connections[i] = connections[--connection_count];
}

static void
set_mode(proxy_link_t *link, proxy_mode_t mode)
{
	struct timespec now;

	if (link->mode == mode)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	printf("%lld.%03ld %s %s\n", (long long)now.tv_sec,
	    now.tv_nsec / 1000000, link->name, mode_names[mode]);
	fflush(stdout);
	if (link->mode == MODE_REFUSE)
		link->fd = open_listener(link);
	link->mode = mode;
	if (mode != MODE_REFUSE)
		return;
	close(link->fd);
	link->fd = -1;
	for (size_t i = connection_count; i-- > 0;) {
		if (connections[i]->link == link)
			drop_connection(i, true);
	}
}

static void
read_rules(const char *path)
{
	proxy_mode_t modes[MAX_LINKS] = {MODE_PASS};
	FILE *file = fopen(path, "r");
	char name[64];
	char mode[16];

	while (file != NULL && fscanf(file, "%63s %15s", name, mode) == 2) {
		for (size_t l = 0; l < link_count; l++) {
			for (int m = MODE_PASS; m <= MODE_REFUSE; m++) {
				if (strcmp(links[l].name, name) == 0 &&
				    strcmp(mode_names[m], mode) == 0)
					modes[l] = (proxy_mode_t)m;
			}
		}
	}
	if (file != NULL)
		fclose(file);
	for (size_t l = 0; l < link_count; l++)
		set_mode(&links[l], modes[l]);
}

/*
 * Takes a new connection.  The one to the target is opened at once, so that a
 * link that holds keeps bytes and not connections.
 */
static void
accept_connection(proxy_link_t *link)
{
	int caller = accept(link->fd, NULL, NULL);
	int target;
	connection_t *connection;

	if (caller < 0)
		return;
	target = socket(AF_INET, SOCK_STREAM, 0);
	if (connection_count == MAX_CONNECTIONS ||
	    connect(target, (struct sockaddr *)&link->target,
		sizeof(link->target)) != 0) {
		struct linger linger = {1, 0};

		setsockopt(
		    caller, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(caller);
		close(target);
		return;
	}
	set_up_socket(caller);
	set_up_socket(target);
	connection = calloc(1, sizeof(*connection));
	connection->link = link;
	connection->fds[0] = caller;
	connection->fds[1] = target;
	connections[connection_count++] = connection;
}

/* Reads what a side has sent; false when the connection broke. */
static bool
read_side(connection_t *connection, int side)
{
	flow_t *flow = &connection->flows[side];
	ssize_t got;

	if (flow->ended || flow->len == BUFFER_BYTES)
		return true;
	got = recv(connection->fds[side], flow->bytes + flow->len,
	    BUFFER_BYTES - flow->len, MSG_DONTWAIT);
	if (got > 0)
		flow->len += (size_t)got;
	else if (got == 0)
		flow->ended = true;
	return got >= 0 || errno == EAGAIN || errno == EINTR ||
	       /* What was sent before a reset may still be on its way. */
	       (connection->link->mode == MODE_HOLD && flow->len > 0 &&
		   (flow->ended = true));
}

/* Passes on what a side has sent; false when the connection broke. */
static bool
write_side(connection_t *connection, int side)
{
	flow_t *flow = &connection->flows[side];
	int to = connection->fds[1 - side];
	ssize_t put;

	if (connection->link->mode != MODE_PASS)
		return true;
	if (flow->len > 0) {
		put = send(
		    to, flow->bytes, flow->len, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (put < 0)
			return errno == EAGAIN || errno == EINTR;
		memmove(
		    flow->bytes, flow->bytes + put, flow->len - (size_t)put);
		flow->len -= (size_t)put;
	}
	if (flow->len == 0 && flow->ended && !flow->shut_sent) {
		shutdown(to, SHUT_WR);
		flow->shut_sent = true;
	}
	return !(
	    connection->flows[0].shut_sent && connection->flows[1].shut_sent);
}

static void
serve_connections(void)
{
	for (size_t i = connection_count; i-- > 0;) {
		connection_t *connection = connections[i];

		for (int side = 0; side < 2; side++) {
			if (read_side(connection, side) &&
			    write_side(connection, side))
				continue;
			drop_connection(i, false);
			break;
		}
	}
}

/* Waits for bytes or connections, for TURN_MS at most. */
static void
wait_for_events(void)
{
	static struct pollfd polls[MAX_LINKS + 2 * MAX_CONNECTIONS];
	nfds_t count = 0;

	for (size_t l = 0; l < link_count; l++)
		polls[count++] = (struct pollfd){links[l].fd, POLLIN, 0};
	for (size_t i = 0; i < connection_count; i++) {
		const connection_t *connection = connections[i];

		for (int side = 0; side < 2; side++) {
			const flow_t *flow = &connection->flows[side];
			bool reads = !flow->ended && flow->len < BUFFER_BYTES;

			polls[count++] = (struct pollfd){
			    reads ? connection->fds[side] : -1, POLLIN, 0};
		}
	}
	poll(polls, count, TURN_MS);
	for (size_t l = 0; l < link_count; l++) {
		if (links[l].fd >= 0 && (polls[l].revents & POLLIN))
			accept_connection(&links[l]);
	}
}

int
main(int argc, char **argv)
{
	if (argc < 5 || (argc - 2) % 3 != 0 || (argc - 2) / 3 > MAX_LINKS) {
		fprintf(stderr, "usage: review-proxy RULES NAME LISTEN TARGET "
				"[NAME LISTEN TARGET]...\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	for (int i = 2; i < argc; i += 3) {
		proxy_link_t *link = &links[link_count++];

		link->name = argv[i];
		parse_address(argv[i + 1], &link->listen);
		parse_address(argv[i + 2], &link->target);
		link->fd = open_listener(link);
	}
	for (;;) {
		read_rules(argv[1]);
		wait_for_events();
		serve_connections();
	}
}
