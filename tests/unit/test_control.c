#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/control.h"
#include "sched/ledger.h"
#include "tests/unit/fleet_bed.h"
#include "tests/unit/runner.h"

/* Calls to the control address that no operator and no worker would make. */

#define TEST_TIMEOUT_S 60
#define MAX_CONNECTIONS 32
#define ANSWER_BYTES 4096
#define NESTED_ARRAYS 100000
#define BEAT(id) "/api/instances/" id "/heartbeat"
#define LEAVE(id) "/api/instances/" id "/deregister"
#define REPLACE "/api/config/replace"
#define ZONE(rest) "/api/evacuations/" rest

typedef struct {
	bed_t bed;
	settings_t settings;
	site_t site;
	announcer_t *announcer;
	control_t *control;
	char answer[ANSWER_BYTES];
	int fd;
} case_t;

static void
address_of(struct sockaddr_in *address, uint16_t port)
{
	*address = (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static uint16_t
free_port(void)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address_of(&address, 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, len), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &len), 0);
	close(fd);
	return ntohs(address.sin_port);
}

static void
open_case(case_t *test)
{
	err_t err;

	memset(test, 0, sizeof(*test));
	bed_open(&test->bed, 1, 8);
	test->settings = *test->bed.system->settings[0];
	test->site.settings = &test->settings;
	test->site.control = (site_address_t){(char *)"127.0.0.1", free_port()};
	test->site.descriptors.listeners = MAX_CONNECTIONS;
	test->announcer = announcer_create(
	    test->bed.loop, test->bed.endpoint, test->bed.fleet);
	test->control = control_create(test->bed.loop, &test->site, NULL,
	    test->bed.fleet, test->announcer, &err);
	ck_assert_ptr_nonnull(test->control);
}

static void
close_case(case_t *test)
{
	control_destroy(test->control);
	announcer_destroy(test->announcer);
	bed_close(&test->bed);
}

static bool
has_answer(void *ctx)
{
	case_t *test = ctx;

	return recv(test->fd, test->answer, sizeof(test->answer) - 1,
		   MSG_DONTWAIT) >= 0;
}

/*
 * Sends bytes, then perhaps no more, and returns the status of the answer; 0 if
 * there is none.
 */
static int
send_bytes(case_t *test, const char *bytes, size_t len, bool half_close)
{
	struct sockaddr_in address;

	memset(test->answer, 0, sizeof(test->answer));
	test->fd = socket(AF_INET, SOCK_STREAM, 0);
	address_of(&address, test->site.control.port);
	ck_assert_int_eq(
	    connect(test->fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(
	    send(test->fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
	if (half_close)
		shutdown(test->fd, SHUT_WR);
	ck_assert(system_wait(test->bed.loop, has_answer, test));
	close(test->fd);
	if (!g_str_has_prefix(test->answer, "HTTP/1.1 "))
		return 0;
	return (int)strtol(test->answer + strlen("HTTP/1.1 "), NULL, 10);
}

static int
post(case_t *test, const char *path, const char *body)
{
	char *text = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: c\r\nContent-Length: %zu\r\n\r\n%s",
	    path, strlen(body), body);
	int status = send_bytes(test, text, strlen(text), false);

	g_free(text);
	return status;
}

/*
 * Guards against one malformed call that ends the process, is accepted, or
 * changes the workers or the configuration.
 */
START_TEST(malformed_calls)
{
	static const struct {
		const char *path;
		const char *body;
		int status;
	} calls[] = {
	    {BEAT("w0"), "", 400},
	    {BEAT("w0"), "{\"born\":1", 400},
	    {BEAT("w0"), "\xff\xfe{}", 400},
	    {BEAT("w0"), "{\"service\":\"\xff\"}", 400},
	    {BEAT("w0"), "{\"seq\":9223372036854775808}", 400},
	    {BEAT(""), "{}", 400},
	    {BEAT("\xc3\x28"), "{}", 400},
	    {BEAT("%ff"), "{}", 400},
	    {BEAT("w0%0d%0a"), "{}", 400},
	    {BEAT("%ff%00"), "{}", 404},
	    {BEAT(".."), "{}", 400},
	    {BEAT("a/b"), "{}", 404},
	    {LEAVE("\xc3\x28"), "", 200},
	    {LEAVE("%00"), "\xff", 404},
	    {LEAVE(""), "", 200},
	    {"/api/instances/", "{}", 404},
	    {"/api/instances", "{}", 404},
	    {"/\xff", "{}", 404},
	    {REPLACE, "", 400},
	    {REPLACE, "[]", 400},
	    {REPLACE, "{\"version\":-1}", 400},
	    {REPLACE, "{\"version\":0}", 400},
	    {REPLACE, "{\"version\":1e300}", 400},
	    {REPLACE, "{\"version\":9223372036854775808}", 400},
	    {REPLACE, "{\"version\":9,\"version\":10}", 400},
	    {REPLACE, "{\"version\":9,\"routes\":{}}", 400},
	    {REPLACE, "{\"version\":9,\"routes\":[null]}", 400},
	    {REPLACE, "{\"version\":9,\"tenants\":[{\"apiKeys\":[1]}]}", 400},
	};
	uint64_t number;
	case_t test;

	open_case(&test);
	number =
	    ledger_config(machine_ledger(replica_machine(test.bed.replica)))
		->number;
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		int status = post(&test, calls[i].path, calls[i].body);

		ck_assert_msg(status == calls[i].status,
		    "%s %s: %d in place of %d", calls[i].path, calls[i].body,
		    status, calls[i].status);
	}
	ck_assert_uint_eq(
	    ledger_config(machine_ledger(replica_machine(test.bed.replica)))
		->number,
	    number);
	bed_submit(&test.bed, "00000000000000aa", "batch", 1, 1, false);
	bed_run_for(&test.bed, 200);
	ck_assert_int_eq(bed_running(&test.bed, NULL), 1);
	close_case(&test);
}
END_TEST

/*
 * Guards against orders about failure domains that are taken where the
 * deployment has none, that are not in force once acknowledged, that are
 * refused when they are sent again, or that name what does not exist.
 */
START_TEST(domain_orders)
{
	static const struct {
		const char *path;
		int status;
		int out; /* failure domains out of service after it */
	} calls[] = {
	    {ZONE("d9/begin"), 404, 0},
	    {ZONE("/begin"), 400, 0},
	    {ZONE("d 1/begin"), 400, 0},
	    {ZONE("d1"), 404, 0},
	    {ZONE("d1/begin/now"), 404, 0},
	    {ZONE("d1/start"), 404, 0},
	    /* Known by its worker, and by the settings. */
	    {ZONE("d1/begin"), 200, 1},
	    {ZONE("d1/begin"), 200, 1},
	    {ZONE("d7/begin"), 200, 2},
	    {ZONE("d1/finish"), 200, 1},
	    {ZONE("d1/finish"), 200, 1},
	    {ZONE("d1/begin"), 200, 2},
	};
	char *domains[] = {(char *)"d7", NULL};
	case_t test;

	open_case(&test);
	ck_assert_int_eq(post(&test, ZONE("d1/begin"), ""), 404);
	test.site.serves_domain_orders = true;
	test.site.failure_domains = domains;
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		int status = post(&test, calls[i].path, "");
		GHashTable *out = ledger_domains_out(
		    machine_ledger(replica_machine(test.bed.replica)));

		ck_assert_msg(
		    status == calls[i].status, "%s: %d", calls[i].path, status);
		ck_assert_int_eq((int)g_hash_table_size(out), calls[i].out);
	}
	close_case(&test);
}
END_TEST

/* Guards against a parser that recurses as deep as a caller asks. */
START_TEST(deep_nesting)
{
	GString *body = g_string_new("");
	case_t test;

	open_case(&test);
	for (int i = 0; i < NESTED_ARRAYS; i++)
		g_string_append_c(body, '[');
	ck_assert_int_eq(post(&test, BEAT("w0"), body->str), 400);
	g_string_prepend(body, "{\"version\":9,\"routes\":");
	ck_assert_int_eq(post(&test, REPLACE, body->str), 400);
	close_case(&test);
	g_string_free(body, TRUE);
}
END_TEST

/* Guards against requests that are no HTTP, or lie about their length. */
START_TEST(malformed_requests)
{
	static const char *const requests[] = {
	    "\r\n\r\n",
	    "POST\r\n\r\n",
	    "\xff\xff\xff\xff\r\n\r\n",
	    "POST " BEAT("w0") " HTTP/1.1\r\nHost: c\r\n"
			       "Content-Length: -1\r\n\r\n{}",
	    "POST " BEAT("w0") " HTTP/1.1\r\nHost: c\r\n"
			       "Content-Length: 99999999999999999999\r\n\r\n{}",
	    "POST " BEAT("w0") " HTTP/1.1\r\nHost: c\r\n"
			       "Content-Length: 9\r\n\r\n{}",
	    "POST " BEAT("w0") " HTTP/1.1\r\nHost: c\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n-5\r\n{}",
	};
	case_t test;

	open_case(&test);
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		int status =
		    send_bytes(&test, requests[i], strlen(requests[i]), true);

		ck_assert_msg(status == 0 || status >= 400, "%s: %d",
		    requests[i], status);
	}
	ck_assert_int_eq(post(&test, BEAT("w0"), "{}"), 400);
	close_case(&test);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("control");
	TCase *tcase = tcase_create("control");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, malformed_calls);
	tcase_add_test(tcase, domain_orders);
	tcase_add_test(tcase, deep_nesting);
	tcase_add_test(tcase, malformed_requests);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK);
}
