#include <string.h>

#include "platform/wire.h"
#include "rpc/codec.h"
#include "tests/fuzz/fuzz.h"

static const char *const seeds[] = {
    "{\"spec\":\"s\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
    "\"estMs\":900,\"dataRack\":\"r1-3\"},{\"count\":2,\"cpu\":1,\"gang\":true,"
    "\"rackLocal\":true,\"dependsOn\":[0],\"checkpointing\":true}],"
    "\"repeatCount\":2,\"firstMs\":5,\"intervalMs\":7}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":"
    "\"/p/\",\"timeoutMs\":3000,\"service\":\"s\",\"stretch\":1.5,"
    "\"priority\":1,\"maxAttempts\":3}],\"services\":[{\"name\":\"s\","
    "\"admissionCheck\":true}],\"tenants\":[{\"name\":\"t\",\"apiKeys\":"
    "[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":72}}]}",
    "{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":"
    "\"ready\",\"capacity\":{\"cpu\":1,\"memMb\":2,\"gpu\":0},\"labels\":"
    "[\"a\",\"r1\"],\"clockMs\":4,\"seq\":4,\"born\":9}",
    "{\"clockMs\":1,\"born\":2,\"running\":[[\"5c0e.0.1.17\",2,\"c\",41]],"
    "\"finishedRuns\":[[58,\"5c0e.0.1.9\",1,\"done\",\"\"]]}",
};

/* Adds one accepted body of each kind. */
void
fuzz_seeds(GPtrArray *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

static void
check_job(str_t body)
{
	batch_spec_t spec;
	const char *reason = NULL;

	if (wire_read_job(body, &spec, &reason) != 0)
		g_assert_nonnull(reason);
	codec_free((xdrproc_t)xdr_batch_spec_t, &spec);
}

static void
check_config(str_t body)
{
	fleet_config_t config;
	char *reason;

	if (wire_read_config(body, &config, &reason) != 0)
		g_assert_nonnull(reason);
	else
		g_assert_cmpuint(config.document.body_t_len, ==, body.len);
	g_free(reason);
	codec_free((xdrproc_t)xdr_fleet_config_t, &config);
}

static void
check_announcement(str_t body)
{
	fleet_announcement_t announcement;

	if (wire_read_announcement("i-1", body, &announcement) == 0)
		g_assert_cmpint(announcement.worker.port, >, 0);
	codec_free((xdrproc_t)xdr_fleet_worker_t, &announcement.worker);
}

static void
check_lists(const order_answer_t *answer)
{
	uint64_t last_number = 0;

	for (size_t i = 0; i < answer->running_count; i++) {
		const running_task_t *task = &answer->running[i];

		g_assert_nonnull(task->task.job);
		g_assert_cmpuint(task->run, >=, 1);
		g_assert_cmpint(task->percent, >=, 0);
		g_assert_cmpint(task->percent, <=, 100);
		g_assert_cmpint(task->load, >=, 0);
	}
	for (size_t i = 0; i < answer->ended_count; i++) {
		g_assert_nonnull(answer->ended[i].task.job);
		g_assert_cmpuint(answer->ended[i].number, >, last_number);
		last_number = answer->ended[i].number;
	}
}

static void
check_poll(str_t body)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	wire_poll_t poll = {0};

	if (wire_read_poll(root, &poll) == 0)
		check_lists(&poll.answer);
	wire_poll_clear(&poll);
	json_decref(root);
}

/*
 * Guards against a body from another writer that crashes a decoder, is refused
 * without a reason, or leaves memory behind.
 */
int
fuzz_one(const uint8_t *data, size_t len)
{
	str_t body = {(const char *)data, len};

	check_job(body);
	check_config(body);
	check_announcement(body);
	check_poll(body);
	return 0;
}
