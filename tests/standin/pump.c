#include "tests/standin/pump.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PUMP_BUFFER_BYTES 65536
#define HELD_POLL_MS 20

/* Reads "IP:PORT". */
bool
pump_parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

/* Returns a listening socket, -1 on failure. */
int
pump_listen(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, 1024) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns a connected socket, -1 on failure. */
int
pump_connect(const struct sockaddr_in *target)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (const struct sockaddr *)target, sizeof(*target)) !=
	    0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Copies one buffer; false when the connection has ended. */
static bool
copy_once(int from, int to)
{
	char buffer[PUMP_BUFFER_BYTES];
	ssize_t len = read(from, buffer, sizeof(buffer));
	ssize_t sent = 0;

	if (len <= 0)
		return false;
	while (sent < len) {
		ssize_t n =
		    send(to, buffer + sent, (size_t)(len - sent), MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		sent += n;
	}
	return true;
}

void
pump_run(
    int client, int server, bool (*held)(void *ctx, bool forward), void *ctx)
{
	bool open = true;

	while (open) {
		bool hold[2] = {held != NULL && held(ctx, true),
		    held != NULL && held(ctx, false)};
		struct pollfd fds[2] = {
		    {.fd = hold[0] ? -1 : client, .events = POLLIN},
		    {.fd = hold[1] ? -1 : server, .events = POLLIN},
		};

		if (poll(fds, 2, HELD_POLL_MS) < 0)
			break;
		if (fds[0].revents != 0)
			open = copy_once(client, server);
		if (open && fds[1].revents != 0)
			open = copy_once(server, client);
	}
	close(client);
	close(server);
}
