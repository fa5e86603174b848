#include <string.h>

#include "state/machine.h"
#include "tests/fuzz/fuzz.h"

static void
apply(machine_t *machine, uint64_t index, command_t command)
{
	command_result_t result;

	machine_apply(machine, index, &command, &result);
	machine_result_free(&result);
}

/* Adds a snapshot with one record of each kind. */
void
fuzz_seeds(GPtrArray *seeds)
{
	machine_t *machine = machine_create();
	GByteArray *bytes = g_byte_array_new();
	job_member_t member = {"w0", 1, "j1.1.0", 1};
	job_start_command_t start = {
	    .job = "j1",
	    .attempt = 1,
	    .domain = "d1",
	    .epoch = 1,
	    .members = {1, &member},
	};
	command_t command = {.kind = COMMAND_PATCH};

	command.command_t_u.patch =
	    (patch_command_t){"p1", 1, "ana", 1000, {14, "{\"tenants\":{}}"}};
	apply(machine, 1, command);
	command = (command_t){.kind = COMMAND_WORKER_ADD};
	command.command_t_u.worker = (worker_command_t){
	    "w0", "127.0.0.1", 1, "d1", "r1", 8, 64, 8, 1, "i1", 1000};
	apply(machine, 2, command);
	command = (command_t){.kind = COMMAND_PLACER};
	command.command_t_u.placer = (placer_command_t){"d1", "i1", 0};
	apply(machine, 3, command);
	command = (command_t){.kind = COMMAND_JOB_SUBMIT};
	command.command_t_u.job =
	    (job_command_t){"j1", "hall", "tours", "1000-abcdefgh", 1, "d1", 1,
		1, ADJACENT_ANY, PRIORITY_GUARANTEED, 1, 0, 1000, {2, "{}"}};
	apply(machine, 4, command);
	command = (command_t){.kind = COMMAND_JOB_START};
	command.command_t_u.job_start = start;
	apply(machine, 5, command);
	command = (command_t){.kind = COMMAND_CLAIM};
	command.command_t_u.claim = (claim_command_t){
	    "hall", "1000-abcdefgh", 1, "t1", "w0", "i1", 1000};
	apply(machine, 6, command);
	command = (command_t){.kind = COMMAND_INSTANCE};
	command.command_t_u.instance =
	    (instance_command_t){"i1", TRUE, FALSE, 1, 1000};
	apply(machine, 7, command);
	g_assert_cmpint(machine_save(machine, bytes), ==, 0);
	g_ptr_array_add(seeds, g_byte_array_free_to_bytes(bytes));
	machine_destroy(machine);
}

/*
 * Loads the input.  A snapshot that is accepted has to be saved again as
 * bytes that are accepted, too.
 */
int
fuzz_one(const uint8_t *data, size_t len)
{
	machine_t *machine = machine_create();
	GByteArray *bytes = g_byte_array_new();

	if (machine_load(machine, (str_t){(const char *)data, len}) == 0) {
		g_assert_cmpint(machine_save(machine, bytes), ==, 0);
		g_assert_cmpint(
		    machine_load(machine,
			(str_t){(const char *)bytes->data, bytes->len}),
		    ==, 0);
	}
	g_byte_array_unref(bytes);
	machine_destroy(machine);
	return 0;
}
