#include "tests/unit/system.h"

#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"

/* Far above the time that any condition needs on a busy machine. */
#define WAIT_LIMIT_MS 60000
#define POLL_US 300

/*
 * Binds a port without listening.  With SO_REUSEADDR on both sockets the
 * endpoint can listen on it, and nobody else gets it in the meantime.
 */
static int
reserve_port(const char *address, int *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in name = {.sin_family = AF_INET};
	socklen_t len = sizeof(name);
	int on = 1;

	inet_pton(AF_INET, address, &name.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&name, sizeof(name)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&name, &len) != 0)
		g_error("cannot reserve a port on %s", address);
	*port = ntohs(name.sin_port);
	return fd;
}

static settings_t *
make_settings(const system_t *system, size_t self, size_t replicas,
    const char *peers, const char *more)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	settings_t *settings;
	char *text;

	text = g_strdup_printf(
	    "{\"instance\":\"i%zu\",\"address\":\"127.0.1.%zu\","
	    "\"failure_domain\":\"d%zu\",\"roles\":[\"entry\"%s],"
	    "\"rpc_port\":0,\"http_port\":0,\"operator_port\":0,"
	    "\"data_folder\":\"%s/i%zu\",\"peers\":[%s]%s}",
	    self, self, self, self <= replicas ? ",\"replica\"" : "",
	    system->folder, self, peers, more);
	settings = settings_parse(text, strlen(text), "test", problems);
	if (settings == NULL)
		g_error("%s", (char *)g_ptr_array_index(problems, 0));
	settings->rpc_port = settings->peers[self - 1].rpc_port;
	g_ptr_array_unref(problems);
	g_free(text);
	return settings;
}

/*
 * Creates the settings of count instances, the first ones of which, as many as
 * replicas says, have the replica role.  more is JSON text that is added to all
 * settings; it starts with a comma or is empty.
 */
system_t *
system_create(size_t count, size_t replicas, const char *more)
{
	system_t *system = g_new0(system_t, 1);
	GString *peers = g_string_new("");

	system->count = count;
	system->folder = g_dir_make_tmp("chervilhold-XXXXXX", NULL);
	for (size_t i = 0; i < count; i++) {
		char *address = g_strdup_printf("127.0.1.%zu", i + 1);
		int port;

		system->reserved[i] = reserve_port(address, &port);
		g_string_append_printf(peers,
		    "%s{\"id\":\"i%zu\",\"address\":\"%s\","
		    "\"failure_domain\":\"d%zu\",\"rpc_port\":%d,"
		    "\"http_port\":0,\"operator_port\":0,\"replica\":%s}",
		    i == 0 ? "" : ",", i + 1, address, i + 1, port,
		    i < replicas ? "true" : "false");
		g_free(address);
	}
	for (size_t i = 0; i < count; i++)
		system->settings[i] =
		    make_settings(system, i + 1, replicas, peers->str, more);
	g_string_free(peers, TRUE);
	return system;
}

/* Removes a folder and its content. */
void
system_remove_folder(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *inner = g_build_filename(path, name, NULL);

		if (g_file_test(inner, G_FILE_TEST_IS_DIR))
			system_remove_folder(inner);
		else
			g_unlink(inner);
		g_free(inner);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(path);
}

/* Frees the settings, releases the ports and removes the data folders. */
void
system_destroy(system_t *system)
{
	for (size_t i = 0; i < system->count; i++) {
		settings_destroy(system->settings[i]);
		close(system->reserved[i]);
	}
	system_remove_folder(system->folder);
	g_free(system->folder);
	g_free(system);
}

/* Runs the loop until the condition is met; returns false after WAIT_LIMIT_MS.
 */
bool
system_wait(struct ev_loop *loop, system_condition_t *met, void *ctx)
{
	int64_t limit_ms = clock_mono_ms() + WAIT_LIMIT_MS;

	while (!met(ctx)) {
		if (clock_mono_ms() > limit_ms)
			return false;
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(POLL_US);
	}
	return true;
}
