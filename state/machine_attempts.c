#include <errno.h>
#include <string.h>

#include "state/machine_private.h"

/* Returns whether the current attempt of a job holds accelerators. */
bool
machine_job_is_placed(const machine_t *machine, const machine_job_t *job)
{
	return job->placed_count > 0 &&
	       !chart_is_final(machine->job_chart, job->state);
}

/* Adds delta to the counter of name; counters at 0 are removed. */
static void
add_to_counter(GHashTable *table, const char *name, int delta)
{
	int value = GPOINTER_TO_INT(g_hash_table_lookup(table, name)) + delta;

	if (value == 0)
		g_hash_table_remove(table, name);
	else
		g_hash_table_insert(
		    table, g_strdup(name), GINT_TO_POINTER(value));
}

/*
 * Adds (placed) or removes (not placed) an attempt's accelerators from those in
 * use on its workers and, if opportunistic, by its tenant.
 */
void
machine_account_attempt(
    machine_t *machine, const machine_job_t *job, bool placed)
{
	int accelerators = job->member_count * job->accelerators;

	for (size_t i = 0; i < job->placed_count; i++) {
		const machine_member_t *member = &job->members[i];
		uint32_t mask = GPOINTER_TO_UINT(g_hash_table_lookup(
		    machine->accelerators_in_use, member->worker));

		mask = placed ? mask | member->accelerator_mask
			      : mask & ~member->accelerator_mask;
		if (mask == 0)
			g_hash_table_remove(
			    machine->accelerators_in_use, member->worker);
		else
			g_hash_table_insert(machine->accelerators_in_use,
			    g_strdup(member->worker), GUINT_TO_POINTER(mask));
	}
	if (!job->guaranteed)
		add_to_counter(machine->opportunistic_in_use, job->tenant,
		    placed ? accelerators : -accelerators);
}

static void
free_members(machine_job_t *job)
{
	for (size_t i = 0; i < job->placed_count; i++) {
		g_free(job->members[i].worker);
		g_free(job->members[i].task);
	}
	g_free(job->members);
	job->members = NULL;
	job->placed_count = 0;
}

/* Records the end of a job; machine_jobs_expire removes the job later. */
void
machine_finish_job(machine_t *machine, job_entry_t *entry)
{
	machine_job_t *job = &entry->job;

	job->ended_ms = machine->time_ms;
	/* The body is needed only to run the job; the result is kept. */
	g_free(job->body);
	job->body = NULL;
	job->body_len = 0;
	g_queue_push_tail(machine->finished, entry);
}

/* Returns the job if its domain's placer is at the epoch, else NULL. */
static job_entry_t *
find_job_checking_epoch(const machine_t *machine, const char *id,
    uint64_t epoch, command_result_t *result)
{
	job_entry_t *entry = g_hash_table_lookup(machine->jobs, id);
	const machine_placer_t *placer;

	if (entry == NULL) {
		machine_fail(result, -ENOENT, "no job %s", id);
		return NULL;
	}
	placer = machine_placer(machine, entry->job.domain);
	if (placer == NULL || placer->epoch != epoch) {
		machine_fail(result, -ESTALE,
		    "domain %s is at epoch %" G_GUINT64_FORMAT
		    ", not %" G_GUINT64_FORMAT,
		    entry->job.domain, placer != NULL ? placer->epoch : 0,
		    epoch);
		return NULL;
	}
	return entry;
}

/* Returns whether a start command repeats that of the current attempt. */
static bool
is_same_start(const machine_job_t *job, const job_start_command_t *command)
{
	if (job->attempt != command->attempt || job->epoch != command->epoch ||
	    job->placed_count != command->members.members_len)
		return false;
	for (size_t i = 0; i < job->placed_count; i++) {
		const job_member_t *member = &command->members.members_val[i];

		if (strcmp(job->members[i].task, member->task) != 0 ||
		    strcmp(job->members[i].worker, member->worker) != 0 ||
		    job->members[i].accelerator_mask !=
			member->accelerator_mask)
			return false;
	}
	return true;
}

/* Rejects a member on an unusable worker or on accelerators in use. */
static int
check_member(const machine_t *machine, const machine_job_t *job,
    const job_member_t *member, command_result_t *result)
{
	const machine_worker_t *worker =
	    machine_worker(machine, member->worker);
	uint32_t mask = member->accelerator_mask;
	uint32_t in_use;

	if (worker == NULL || worker->leaving ||
	    strcmp(worker->domain, job->domain) != 0)
		return machine_fail(result, -ENODEV,
		    "worker %s is not available in domain %s", member->worker,
		    job->domain);
	if (worker->fence != member->fence)
		return machine_fail(result, -ESTALE,
		    "worker %s has fence %" G_GUINT64_FORMAT
		    ", not %" G_GUINT64_FORMAT,
		    member->worker, worker->fence, (uint64_t)member->fence);
	if (__builtin_popcount(mask) != job->accelerators ||
	    (worker->accelerators < 32 && mask >> worker->accelerators != 0))
		return machine_fail(result, -EINVAL,
		    "expected %d of %d accelerators of worker %s",
		    job->accelerators, worker->accelerators, member->worker);
	in_use = GPOINTER_TO_UINT(
	    g_hash_table_lookup(machine->accelerators_in_use, member->worker));
	if ((in_use & mask) != 0)
		return machine_fail(result, -EBUSY,
		    "accelerators %#x of worker %s are in use", in_use & mask,
		    member->worker);
	return 0;
}

/* Rejects a start with two members on the same accelerator. */
static int
check_overlap(const job_start_command_t *command, command_result_t *result)
{
	const job_member_t *members = command->members.members_val;

	for (u_int i = 0; i < command->members.members_len; i++) {
		for (u_int j = 0; j < i; j++) {
			if (strcmp(members[i].worker, members[j].worker) == 0 &&
			    (members[i].accelerator_mask &
				members[j].accelerator_mask) != 0)
				return machine_fail(result, -EINVAL,
				    "two members share accelerators of worker "
				    "%s",
				    members[i].worker);
		}
	}
	return 0;
}

/* Rejects an opportunistic attempt that would exceed its tenant's quota. */
static int
check_quota(const machine_t *machine, const machine_job_t *job,
    const job_start_command_t *command, command_result_t *result)
{
	const json_t *tenant = json_object_get(
	    json_object_get(machine->config, "tenants"), job->tenant);
	const json_t *quota = json_object_get(tenant, "quota_accelerators");
	int running = GPOINTER_TO_INT(
	    g_hash_table_lookup(machine->opportunistic_in_use, job->tenant));
	int wanted = job->member_count * job->accelerators;

	if (command->guaranteed || quota == NULL ||
	    running + wanted <= json_integer_value(quota))
		return 0;
	return machine_fail(result, -EDQUOT,
	    "tenant %s uses %d opportunistic accelerators of a quota of %d and "
	    "requests %d more",
	    job->tenant, running, (int)json_integer_value(quota), wanted);
}

static int
check_start(const machine_t *machine, const machine_job_t *job,
    const job_start_command_t *command, command_result_t *result)
{
	int rc;

	if (strcmp(job->domain, command->domain) != 0)
		return machine_fail(result, -EINVAL, "job %s is in domain %s",
		    job->id, job->domain);
	if (command->attempt != job->attempt + 1)
		return machine_fail(result, -ESTALE,
		    "job %s is at attempt %u; attempt %u cannot start", job->id,
		    job->attempt, command->attempt);
	if (command->members.members_len != (u_int)job->member_count)
		return machine_fail(result, -EINVAL,
		    "job %s expects %d members", job->id, job->member_count);
	rc = check_overlap(command, result);
	for (u_int i = 0; i < command->members.members_len && rc == 0; i++)
		rc = check_member(
		    machine, job, &command->members.members_val[i], result);
	return rc != 0 ? rc : check_quota(machine, job, command, result);
}

/* Rejects an event that the chart does not allow in the job's state. */
static int
reject_event(const machine_t *machine, const machine_job_t *job,
    const char *event, command_result_t *result)
{
	return machine_fail(result, -EALREADY,
	    "job %s is %s, which does not allow \"%s\"", job->id,
	    chart_state_name(machine->job_chart, job->state), event);
}

/*
 * Starts the next attempt of a waiting job: reserves the accelerators of the
 * given members.  Idempotent.
 * Codes: 0, -ENOENT, -ESTALE (epoch, attempt or a member's fence is not the
 * current one), -EALREADY (not waiting), -EINVAL, -ENODEV (worker leaving,
 * unknown or in another domain), -EBUSY (accelerators in use), -EDQUOT.
 */
void
machine_apply_job_start(machine_t *machine, const job_start_command_t *command,
    command_result_t *result)
{
	job_entry_t *entry = find_job_checking_epoch(
	    machine, command->job, command->epoch, result);
	machine_job_t *job;
	int state;

	if (entry == NULL)
		return;
	job = &entry->job;
	if (machine_job_is_placed(machine, job) && is_same_start(job, command))
		return;
	state = job->state;
	if (chart_step(machine->job_chart, &state, "start") != 0) {
		reject_event(machine, job, "start", result);
		return;
	}
	if (check_start(machine, job, command, result) != 0)
		return;
	free_members(job);
	job->state = state;
	job->attempt = command->attempt;
	job->epoch = command->epoch;
	job->guaranteed = command->guaranteed != 0;
	job->started_ms = 0;
	job->config_version = machine->config_version;
	machine_set_string(&job->reason, "");
	job->placed_count = command->members.members_len;
	job->members = g_new0(machine_member_t, job->placed_count);
	for (size_t i = 0; i < job->placed_count; i++) {
		const job_member_t *member = &command->members.members_val[i];

		job->members[i].worker = g_strdup(member->worker);
		job->members[i].task = g_strdup(member->task);
		job->members[i].fence = member->fence;
		job->members[i].accelerator_mask = member->accelerator_mask;
	}
	machine_account_attempt(machine, job, true);
}

/*
 * Moves a started attempt to running.  The epoch must be that of the start and
 * still be the current one of the domain.
 * Idempotent.  Codes: 0, -ENOENT, -ESTALE (epoch or attempt), -EALREADY (the
 * chart does not allow it).
 */
void
machine_apply_job_go(machine_t *machine, const job_go_command_t *command,
    command_result_t *result)
{
	job_entry_t *entry = find_job_checking_epoch(
	    machine, command->job, command->epoch, result);
	machine_job_t *job;

	if (entry == NULL)
		return;
	job = &entry->job;
	if (job->attempt != command->attempt || job->epoch != command->epoch) {
		machine_fail(result, -ESTALE,
		    "job %s is at attempt %u of epoch %" G_GUINT64_FORMAT,
		    job->id, job->attempt, job->epoch);
		return;
	}
	if (job->state == chart_state(machine->job_chart, "running"))
		return;
	if (chart_step(machine->job_chart, &job->state, "go") != 0) {
		reject_event(machine, job, "go", result);
		return;
	}
	job->started_ms = command->time_ms;
}

/* Returns the job chart's event for a kind of end. */
static const char *
end_event(job_end_t end)
{
	switch (end) {
	case JOB_END_DONE:
		return "finish";
	case JOB_END_FAILED:
		return "fail";
	case JOB_END_ABORTED:
		return "abort";
	case JOB_END_LOST:
		return "lose";
	case JOB_END_RECLAIMED:
		return "reclaim";
	case JOB_END_REFUSED:
		return "refuse";
	case JOB_END_STOPPED:
		return "stopped";
	}
	return "";
}

/*
 * Ends the current attempt of a job, or refuses a waiting job, under the
 * domain's current epoch, which may be later than that of the start.
 * Idempotent.  Codes: 0, -ENOENT, -ESTALE (epoch or attempt), -EALREADY (the
 * chart does not allow it).
 */
void
machine_apply_job_end(machine_t *machine, const job_end_command_t *command,
    command_result_t *result)
{
	job_entry_t *entry = find_job_checking_epoch(
	    machine, command->job, command->epoch, result);
	const char *event = end_event(command->end);
	machine_job_t *job;
	bool was_placed;

	if (entry == NULL)
		return;
	job = &entry->job;
	if (job->attempt != command->attempt) {
		machine_fail(result, -ESTALE, "job %s is at attempt %u",
		    job->id, job->attempt);
		return;
	}
	was_placed = machine_job_is_placed(machine, job);
	if (!was_placed && entry->has_ended_attempt &&
	    entry->end == command->end &&
	    entry->ended_attempt == command->attempt)
		return;
	if (chart_step(machine->job_chart, &job->state, event) != 0) {
		reject_event(machine, job, event, result);
		return;
	}
	entry->has_ended_attempt = true;
	entry->ended_attempt = command->attempt;
	entry->end = command->end;
	machine_set_string(&job->reason, command->reason);
	if (was_placed)
		machine_account_attempt(machine, job, false);
	if (!chart_is_final(machine->job_chart, job->state)) {
		free_members(job);
		return;
	}
	g_free(job->result);
	job->result_len = command->result.body_t_len;
	job->result = g_memdup2(command->result.body_t_val, job->result_len);
	machine_finish_job(machine, entry);
}
