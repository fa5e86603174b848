#include <string.h>

#include "platform/wire.h"
#include "rpc/codec.h"
#include "sched/guarantee.h"
#include "sched/ledger.h"
#include "sched/urgency.h"
#include "sched/worker_clock.h"
#include "tests/fuzz/fuzz.h"

/* Highest stretch of a queue, in thousandths. */
#define MAX_STRETCH_MILLI 10000000
#define MAX_ID_BYTES 64

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
    "{\"granted\":[[\"i-1\",\"t1\"],[\"i-2\",\"t2\"]],\"validMs\":900}",
};

/* Adds one accepted body of each kind. */
void
fuzz_seeds(GPtrArray *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

/* Computes with the highest figures that a job may carry. */
static void
check_times(batch_spec_t *spec)
{
	fleet_queue_t queue = {
	    .target_latency_ms = G_MAXINT, .stretch_milli = MAX_STRETCH_MILLI};
	int64_t *chain_ms = g_new0(int64_t, spec->steps.steps_len);
	int64_t path_ms = urgency_critical_paths(spec, chain_ms);
	int64_t last_ms =
	    spec->first_due_ms + spec->repeat_count * spec->interval_ms;

	g_assert_cmpint(path_ms, >=, 0);
	g_assert_cmpint(last_ms, >=, spec->first_due_ms);
	g_assert_cmpint(guarantee_peak_accelerators(spec), >=, 0);
	(void)urgency_times(&queue, path_ms, chain_ms[0], last_ms);
	g_free(chain_ms);
}

static void
check_job(str_t body)
{
	batch_spec_t spec;
	const char *reason = NULL;

	if (wire_read_job(body, &spec, &reason) != 0)
		g_assert_nonnull(reason);
	else if (ledger_validate_spec(&spec, &reason) == 0)
		check_times(&spec);
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
	worker_clock_t clock = {0};

	if (wire_read_announcement("i-1", body, &announcement) == 0) {
		g_assert_cmpint(announcement.worker.port, >, 0);
		g_assert_cmpint(announcement.worker.address[0], !=, '\0');
		worker_clock_update(&clock, announcement.clock_ms, 1);
		g_assert_cmpint(worker_clock_lower_bound(&clock, 2), >=, 0);
	}
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

/* The first part of the input is the id in the path of a call. */
static void
check_id(str_t input)
{
	fleet_announcement_t announcement;
	char *id = g_strndup(input.data, MIN(input.len, MAX_ID_BYTES));

	if (wire_read_announcement(id, str_from(seeds[2]), &announcement) == 0)
		g_assert_true(
		    g_utf8_validate(announcement.worker.id, -1, NULL));
	codec_free((xdrproc_t)xdr_fleet_worker_t, &announcement.worker);
	g_free(id);
}

static void
check_advice(str_t body)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	advice_answer_t answer = {0};

	wire_read_advice(root, &answer);
	g_assert_cmpint(answer.valid_ms, >=, 0);
	for (size_t i = 0; i < answer.count; i++)
		g_assert_nonnull(answer.grants[i].ticket);
	g_free(answer.grants);
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
	check_id(body);
	check_advice(body);
	return 0;
}
