#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/listener.h"
#include "platform/wire.h"
#include "rpc/codec.h"
#include "tests/fuzz/fuzz.h"

#define MAX_BODY_BYTES 4096
#define MEMORY_BYTES (10 * MAX_BODY_BYTES)
/* Enough for a request that is whole; one that is not ends with its client. */
#define MAX_TURNS 100

#define JOB "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1}]}"

static const char *const seeds[] = {
    "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n"
    "Content-Length: 55\r\n\r\n" JOB,
    "POST /q/0000000000000002 HTTP/1.1\r\nHost: h\r\n"
    "Transfer-Encoding: chunked\r\n\r\n37\r\n" JOB "\r\n0\r\n\r\n",
    "GET /q/0000000000000001 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
    "abcDELETE /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n{",
};

static struct ev_loop *loop;
static mem_share_t *share;
static listener_t *listener;

static size_t
body_limit(void *ctx, const http_request_t *request)
{
	return str_equal(http_method(request), STR_LIT("POST")) ? MAX_BODY_BYTES
								: 0;
}

static void
on_request(void *ctx, http_request_t *request)
{
	batch_spec_t spec;
	const char *reason = NULL;
	int status = 200;

	g_assert_cmpuint(http_body(request).len, <=, MAX_BODY_BYTES);
	if (wire_read_job(http_body(request), &spec, &reason) != 0) {
		g_assert_nonnull(reason);
		status = 400;
	}
	codec_free((xdrproc_t)xdr_batch_spec_t, &spec);
	http_answer_json(request, status, json_object());
}

/* Starts the listener and adds whole requests. */
void
fuzz_seeds(GPtrArray *out)
{
	mem_budget_t *budget = mem_budget_create(MEMORY_BYTES);
	listener_options_t options = {
	    .address = "127.0.0.1",
	    .max_body_bytes = MAX_BODY_BYTES,
	    .body_limit = body_limit,
	    .max_connections = 8,
	    .idle_timeout_s = 5,
	};
	err_t err = {0};

	loop = ev_default_loop(0);
	share = mem_budget_share(budget, MEM_CALLERS);
	options.memory = share;
	listener = listener_create(loop, &options, on_request, NULL, &err);
	g_assert_nonnull(listener);
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

/*
 * Guards against bytes of a client that crash the path to a decoded request, or
 * leave memory behind there.
 */
int
fuzz_one(const uint8_t *data, size_t len)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(listener_port(listener)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct linger reset = {.l_onoff = 1};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer[4096];
	ssize_t got = -1;

	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	send(fd, data, len, MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < MAX_TURNS && got != 0; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		got = recv(fd, answer, sizeof(answer), MSG_DONTWAIT);
	}
	/* A reset keeps no port busy after the connection. */
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	for (int i = 0; i < MAX_TURNS && mem_share_held(share) > 0; i++)
		ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpuint(mem_share_held(share), ==, 0);
	return 0;
}
