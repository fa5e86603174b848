#include "tests/unit/machine_driver.h"

#include <check.h>
#include <string.h>

#define TENANT "hall"

/* Initialises a driver with an empty machine. */
void
driver_open(driver_t *driver)
{
	memset(driver, 0, sizeof(*driver));
	driver->machine = machine_create();
	driver->now_ms = DRIVER_START_MS;
}

void
driver_close(driver_t *driver)
{
	machine_result_free(&driver->result);
	machine_destroy(driver->machine);
}

/* Applies a command at the next log index and returns its code. */
int
driver_apply(driver_t *driver, command_t *command)
{
	machine_result_free(&driver->result);
	machine_apply(
	    driver->machine, ++driver->index, command, &driver->result);
	return driver->result.code;
}

/* Applies a configuration patch by author "ana". */
int
driver_patch(driver_t *driver, const char *id, uint64_t base, const char *patch)
{
	command_t command = {.kind = COMMAND_PATCH};

	command.command_t_u.patch = (patch_command_t){
	    .id = (char *)id,
	    .base = base,
	    .author = "ana",
	    .time_ms = driver->now_ms,
	    .patch = {.body_t_len = (u_int)strlen(patch),
		.body_t_val = (char *)patch},
	};
	return driver_apply(driver, &command);
}

/* Claims a key for a task of instance i1 on worker w0. */
int
driver_claim(
    driver_t *driver, const char *key, const char *task, uint64_t digest)
{
	command_t command = {.kind = COMMAND_CLAIM};

	command.command_t_u.claim = (claim_command_t){
	    .tenant = TENANT,
	    .key = (char *)key,
	    .digest = digest,
	    .task = (char *)task,
	    .worker = "w0",
	    .instance = "i1",
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

/* Ends a claim with HTTP status 200. */
int
driver_claim_end(driver_t *driver, const char *key, const char *task,
    claim_state_t state, const char *answer, size_t len)
{
	command_t command = {.kind = COMMAND_CLAIM_END};

	command.command_t_u.claim_end = (claim_end_command_t){
	    .tenant = TENANT,
	    .key = (char *)key,
	    .task = (char *)task,
	    .state = state,
	    .http_status = 200,
	    .answer = {.body_t_len = (u_int)len, .body_t_val = (char *)answer},
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

/* Registers a worker with 8 accelerators in domain d1, rack r1. */
int
driver_add_worker(
    driver_t *driver, const char *id, uint64_t generation, const char *owner)
{
	command_t command = {.kind = COMMAND_WORKER_ADD};

	command.command_t_u.worker = (worker_command_t){
	    .id = (char *)id,
	    .address = "127.0.0.1",
	    .port = 9000,
	    .domain = "d1",
	    .rack = "r1",
	    .slots = 8,
	    .connections = 64,
	    .accelerators = 8,
	    .generation = generation,
	    .owner = (char *)owner,
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

/* Moves a worker to another owner; fence is the expected current one. */
int
driver_move_worker(
    driver_t *driver, const char *id, const char *owner, uint64_t fence)
{
	command_t command = {.kind = COMMAND_WORKER_OWNER};

	command.command_t_u.worker_owner = (worker_owner_command_t){
	    .id = (char *)id,
	    .owner = (char *)owner,
	    .expected_fence = fence,
	};
	return driver_apply(driver, &command);
}

/* Reports an instance as alive or lost. */
int
driver_report_instance(driver_t *driver, const char *id, bool alive)
{
	command_t command = {.kind = COMMAND_INSTANCE};

	command.command_t_u.instance = (instance_command_t){
	    .id = (char *)id,
	    .alive = alive,
	    .incarnation = 1,
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

/* Makes an instance the placer of a domain; epoch is the expected current one.
 */
int
driver_set_placer(
    driver_t *driver, const char *domain, const char *instance, uint64_t epoch)
{
	command_t command = {.kind = COMMAND_PLACER};

	command.command_t_u.placer = (placer_command_t){
	    .domain = (char *)domain,
	    .instance = (char *)instance,
	    .expected_epoch = epoch,
	};
	return driver_apply(driver, &command);
}

/* Submits a job with guaranteed priority to domain d1. */
int
driver_submit(driver_t *driver, const char *id, const char *key,
    uint64_t digest, int members, int accelerators)
{
	command_t command = {.kind = COMMAND_JOB_SUBMIT};

	command.command_t_u.job = (job_command_t){
	    .id = (char *)id,
	    .tenant = TENANT,
	    .workspace = "tours",
	    .key = (char *)key,
	    .digest = digest,
	    .domain = "d1",
	    .members = members,
	    .accelerators = accelerators,
	    .adjacency = ADJACENT_DOMAIN,
	    .priority = PRIORITY_GUARANTEED,
	    .declared_ms = 1000,
	    .time_ms = driver->now_ms,
	    .body = {.body_t_len = 2, .body_t_val = "{}"},
	};
	return driver_apply(driver, &command);
}

/* Starts an attempt with the workers' current fences. */
int
driver_start(driver_t *driver, const char *job, uint32_t attempt,
    uint64_t epoch, bool guaranteed, int members, uint32_t mask)
{
	command_t command = {.kind = COMMAND_JOB_START};
	job_member_t list[MAX_MEMBERS] = {0};
	int rc;

	for (int i = 0; i < members; i++) {
		const machine_worker_t *worker;

		list[i].worker = g_strdup_printf("w%d", i);
		list[i].task = g_strdup_printf("%s.%u.%d", job, attempt, i);
		list[i].accelerator_mask = mask;
		worker = machine_worker(driver->machine, list[i].worker);
		list[i].fence = worker != NULL ? worker->fence : 0;
	}
	command.command_t_u.job_start = (job_start_command_t){
	    .job = (char *)job,
	    .attempt = attempt,
	    .domain = "d1",
	    .epoch = epoch,
	    .guaranteed = guaranteed,
	    .members = {.members_len = (u_int)members, .members_val = list},
	    .time_ms = driver->now_ms,
	};
	rc = driver_apply(driver, &command);
	for (int i = 0; i < members; i++) {
		g_free(list[i].worker);
		g_free(list[i].task);
	}
	return rc;
}

/* Moves a started attempt to running. */
int
driver_go(driver_t *driver, const char *job, uint32_t attempt, uint64_t epoch)
{
	command_t command = {.kind = COMMAND_JOB_GO};

	command.command_t_u.job_go = (job_go_command_t){
	    .job = (char *)job,
	    .attempt = attempt,
	    .epoch = epoch,
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

int
driver_end(driver_t *driver, const char *job, uint32_t attempt, uint64_t epoch,
    job_end_t end)
{
	command_t command = {.kind = COMMAND_JOB_END};

	command.command_t_u.job_end = (job_end_command_t){
	    .job = (char *)job,
	    .attempt = attempt,
	    .epoch = epoch,
	    .end = end,
	    .reason = "test",
	    .result = {.body_t_len = 4, .body_t_val = "null"},
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

int
driver_cancel(driver_t *driver, const char *job, const char *tenant)
{
	command_t command = {.kind = COMMAND_JOB_CANCEL};

	command.command_t_u.job_cancel = (job_cancel_command_t){
	    .job = (char *)job,
	    .tenant = (char *)tenant,
	    .time_ms = driver->now_ms,
	};
	return driver_apply(driver, &command);
}

/* Returns the data of the last result. */
str_t
driver_data(const driver_t *driver)
{
	return (str_t){
	    driver->result.data.body_t_val, driver->result.data.body_t_len};
}

/* Returns a snapshot of the machine; the caller frees it. */
GByteArray *
driver_save(const driver_t *driver)
{
	GByteArray *bytes = g_byte_array_new();

	ck_assert_int_eq(machine_save(driver->machine, bytes), 0);
	return bytes;
}

/* Replaces the machine by a new one loaded from its snapshot. */
void
driver_reload(driver_t *driver)
{
	GByteArray *bytes = driver_save(driver);

	machine_destroy(driver->machine);
	driver->machine = machine_create();
	ck_assert_int_eq(machine_load(driver->machine,
			     (str_t){(char *)bytes->data, bytes->len}),
	    0);
	g_byte_array_unref(bytes);
}
