/* Prints COUNT free TCP ports of ADDRESS, chosen by the kernel. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_PORTS 256

int
main(int argc, char **argv)
{
	int sockets[MAX_PORTS];
	int count = argc == 3 ? (int)strtol(argv[2], NULL, 10) : 0;

	if (count < 1 || count > MAX_PORTS) {
		fprintf(stderr, "usage: standin-ports ADDRESS COUNT\n");
		return EXIT_FAILURE;
	}
	/* All are held until the end, so that no port comes twice. */
	for (int i = 0; i < count; i++) {
		struct sockaddr_in address = {.sin_family = AF_INET};
		socklen_t len = sizeof(address);

		sockets[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (inet_pton(AF_INET, argv[1], &address.sin_addr) != 1 ||
		    bind(sockets[i], (struct sockaddr *)&address, len) != 0 ||
		    getsockname(
			sockets[i], (struct sockaddr *)&address, &len) != 0) {
			perror("standin-ports");
			return EXIT_FAILURE;
		}
		printf("%d\n", ntohs(address.sin_port));
	}
	return EXIT_SUCCESS;
}
