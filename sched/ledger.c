#include "sched/ledger.h"

#include <errno.h>
#include <string.h>

#include "rpc/codec.h"
#include "sched/ledger_private.h"
#include "sched/places.h"

/* Workers that have left and are remembered; a late announcement is seconds
 * old. */
#define MAX_DEPARTED 1024

/* ---- jobs ---- */

static int
occurrence_count(const batch_spec_t *spec)
{
	return MAX(spec->repeat_count, 1);
}

/*
 * Validates a job's steps.  Returns 0, or -EINVAL with a message in reason if
 * one is invalid.
 */
int
ledger_validate_spec(const batch_spec_t *spec, const char **reason)
{
	int64_t tasks = 0;

	*reason = "a job needs at least one step";
	if (spec->steps.steps_len == 0)
		return -EINVAL;
	for (u_int i = 0; i < spec->steps.steps_len; i++) {
		const step_spec_t *step = &spec->steps.steps_val[i];

		*reason = "a step needs at least one task";
		if (step->count <= 0)
			return -EINVAL;
		*reason = "resources must not be negative";
		if (step->shape.cpu_milli < 0 || step->shape.memory_mb < 0 ||
		    step->shape.accelerators < 0)
			return -EINVAL;
		*reason = "a step may depend on earlier steps only";
		for (u_int d = 0; d < step->depends_on.depends_on_len; d++) {
			int on = step->depends_on.depends_on_val[d];

			if (on < 0 || on >= (int)i)
				return -EINVAL;
		}
		tasks += step->count;
	}
	*reason = "too many tasks";
	if (spec->repeat_count < 0 ||
	    tasks > MAX_JOB_TASKS / occurrence_count(spec))
		return -EINVAL;
	*reason = "";
	return 0;
}

/* Tasks that run on leftover CPU reserve none of their own. */
static void
clear_leftover_cpu(batch_spec_t *spec)
{
	for (u_int s = 0; s < spec->steps.steps_len; s++) {
		step_spec_t *step = &spec->steps.steps_val[s];

		if (step->uses_leftover_cpu)
			step->shape.cpu_milli = 0;
	}
}

/* Adds an open job; takes over the contents of submit. */
ledger_job_t *
ledger_job_create(ledger_t *ledger, batch_submit_t *submit)
{
	ledger_job_t *job = g_new0(ledger_job_t, 1);

	job->submit = *submit;
	clear_leftover_cpu(&job->submit.spec);
	memset(submit, 0, sizeof(*submit));
	job->occurrences = occurrence_count(&job->submit.spec);
	ledger_units_init(job);
	job->link.data = job;
	g_hash_table_insert(ledger->jobs, job->submit.id, job);
	g_queue_push_tail_link(&ledger->open, &job->link);
	return job;
}

void
ledger_job_free(ledger_job_t *job)
{
	ledger_units_free(job);
	codec_free((xdrproc_t)xdr_batch_submit_t, &job->submit);
	g_free(job);
}

/* Returns the job with that id, or NULL. */
ledger_job_t *
ledger_job(const ledger_t *ledger, const char *id)
{
	return g_hash_table_lookup(ledger->jobs, id);
}

/* Returns the jobs that have not ended, oldest first. */
GQueue *
ledger_open_jobs(ledger_t *ledger)
{
	return &ledger->open;
}

/* Returns the jobs that have ended, in the order in which they ended. */
GQueue *
ledger_ended_jobs(ledger_t *ledger)
{
	return &ledger->ended;
}

bool
ledger_job_has_ended(const ledger_job_t *job)
{
	return job->cancelled || job->failed || job->units_left == 0;
}

/*
 * Moves a job to the list of ended jobs if it has ended; had_ended says whether
 * it is there already.
 */
void
ledger_move_if_ended(ledger_t *ledger, ledger_job_t *job, bool had_ended)
{
	if (had_ended || !ledger_job_has_ended(job))
		return;
	g_queue_unlink(&ledger->open, &job->link);
	g_queue_push_tail_link(&ledger->ended, &job->link);
}

/*
 * Whether a caller of that tenant may ask for the job.  Callers without a key,
 * as anonymous queues allow them, have the tenant "".
 */
bool
ledger_job_is_of(const ledger_job_t *job, const char *tenant)
{
	return job->submit.tenant[0] == '\0' || tenant[0] == '\0' ||
	       strcmp(job->submit.tenant, tenant) == 0;
}

batch_state_t
ledger_job_state(const ledger_job_t *job)
{
	if (job->units_left == 0)
		return BATCH_STATE_COMPLETED;
	if (job->cancelled)
		return BATCH_STATE_ABORTED;
	if (job->failed)
		return BATCH_STATE_FAILED;
	return job->units_started > 0 ? BATCH_STATE_ACTIVE
				      : BATCH_STATE_PENDING;
}

/*
 * Adds a job.  Returns 0 without a change if its id exists already, -EEXIST if
 * it does as another tenant's, -ESTALE if its queue was removed from the
 * configuration before the job was committed.
 */
int
ledger_apply_submit(ledger_t *ledger, batch_submit_t *command)
{
	const ledger_job_t *job = ledger_job(ledger, command->id);
	const char *reason;

	if (job != NULL)
		return ledger_job_is_of(job, command->tenant) ? 0 : -EEXIST;
	if (ledger->config.number > 0 &&
	    ledger_queue(ledger, command->queue) == NULL)
		return -ESTALE;
	if (ledger_validate_spec(&command->spec, &reason) != 0)
		return -EINVAL;
	ledger_job_create(ledger, command);
	return 0;
}

/*
 * Cancels a job.  Returns 0 without a change if it has ended already, -ENOENT
 * if it does not exist.
 */
int
ledger_apply_cancel(ledger_t *ledger, const char *id)
{
	ledger_job_t *job = ledger_job(ledger, id);

	if (job == NULL)
		return -ENOENT;
	if (ledger_job_has_ended(job))
		return 0;
	job->cancelled = true;
	ledger_move_if_ended(ledger, job, false);
	return 0;
}

/*
 * Counts a job as begun once a task of it was seen at work, not when its start
 * is decided: the start may not reach its worker for seconds.
 */
int
ledger_pending_count(const ledger_t *ledger, const char *queue)
{
	int count = 0;

	for (const GList *at = ledger->open.head; at != NULL; at = at->next) {
		const ledger_job_t *job = at->data;

		if (!job->begun && job->units_left == job->unit_count &&
		    strcmp(job->submit.queue, queue) == 0)
			count++;
	}
	return count;
}

/* ---- units ---- */

const step_spec_t *
ledger_step(const ledger_unit_t *unit)
{
	return &unit->job->submit.spec.steps.steps_val[unit->step];
}

/* Returns the named unit, or NULL. */
ledger_unit_t *
ledger_unit(const ledger_t *ledger, const unit_name_t *name)
{
	ledger_job_t *job = ledger_job(ledger, name->job);
	ledger_unit_t *unit;

	if (job == NULL)
		return NULL;
	unit =
	    ledger_unit_of_task(job, name->occurrence, name->step, name->unit);
	return unit != NULL && unit->first == name->unit ? unit : NULL;
}

bool
ledger_step_is_ready(const ledger_job_t *job, int occurrence, int step)
{
	const step_spec_t *spec = &job->submit.spec.steps.steps_val[step];
	u_int steps = job->submit.spec.steps.steps_len;

	for (u_int i = 0; i < spec->depends_on.depends_on_len; i++) {
		int on = spec->depends_on.depends_on_val[i];

		if (job->step_units_left[occurrence * steps + on] > 0)
			return false;
	}
	return true;
}

bool
ledger_unit_is_ready(const ledger_unit_t *unit)
{
	return ledger_step_is_ready(unit->job, unit->occurrence, unit->step);
}

int64_t
ledger_due_ms(const ledger_job_t *job, int occurrence)
{
	const batch_spec_t *spec = &job->submit.spec;

	if (spec->repeat_count <= 0)
		return 0;
	return spec->first_due_ms + occurrence * spec->interval_ms;
}

/* Places a waiting unit, unless its job has ended or the run is not the next.
 */
static void
start_unit(ledger_t *ledger, const unit_name_t *name, uint32_t run,
    const place_ranges_t *places)
{
	ledger_unit_t *unit = ledger_unit(ledger, name);

	if (unit == NULL || unit->state != UNIT_WAITING ||
	    run != unit->run + 1 || places_members(places) != unit->members ||
	    ledger_job_has_ended(unit->job))
		return;
	unit->state = UNIT_PLACED;
	unit->job->units_waiting--;
	unit->run = run;
	if (unit->run == 1)
		unit->job->units_started++;
	places_copy(&unit->places, places);
}

static void
apply_start(ledger_t *ledger, const unit_start_t *start)
{
	place_ranges_t places = {0};

	places_add_list(
	    &places, start->places.places_val, start->places.places_len);
	start_unit(ledger, &start->unit, start->run, &places);
	places_clear(&places);
}

/* Applies the start of a large gang. */
int
ledger_apply_gang_start(ledger_t *ledger, const gang_start_t *command)
{
	start_unit(ledger, &command->unit, command->run, &command->places);
	return 0;
}

static void
count_done(ledger_unit_t *unit)
{
	ledger_job_t *job = unit->job;
	u_int steps = job->submit.spec.steps.steps_len;

	job->units_left--;
	job->step_units_left[unit->occurrence * steps + unit->step]--;
}

/*
 * Whether an end applies to the unit: any end of its current run, or success of
 * an earlier run that was declared lost but did complete.
 */
static bool
accepts_end(const ledger_unit_t *unit, const unit_end_t *end)
{
	if (end->result == UNIT_RESULT_DONE && end->run <= unit->run)
		return unit->state == UNIT_PLACED ||
		       unit->state == UNIT_WAITING;
	return unit->state == UNIT_PLACED && unit->run == end->run;
}

static void
apply_end(ledger_t *ledger, const unit_end_t *end)
{
	ledger_unit_t *unit = ledger_unit(ledger, &end->unit);
	bool had_ended;

	if (unit == NULL || !accepts_end(unit, end))
		return;
	had_ended = ledger_job_has_ended(unit->job);
	places_clear(&unit->places);
	if (unit->state == UNIT_PLACED)
		unit->job->units_waiting++;
	unit->state = UNIT_WAITING;
	if (end->checkpoint[0] != '\0') {
		g_free(unit->checkpoint);
		unit->checkpoint = g_strdup(end->checkpoint);
	}
	if (end->result == UNIT_RESULT_FAILED)
		unit->failures++;
	if (end->result == UNIT_RESULT_DONE) {
		unit->state = UNIT_DONE;
		unit->job->units_waiting--;
		count_done(unit);
	} else if (end->final) {
		unit->state = UNIT_FAILED;
		unit->job->units_waiting--;
		unit->job->failed = true;
	}
	ledger_move_if_ended(ledger, unit->job, had_ended);
}

static void
free_worker(void *data)
{
	fleet_worker_t *worker = data;

	codec_free((xdrproc_t)xdr_fleet_worker_t, worker);
	g_free(worker);
}

/* Drops the departed workers that were born first, beyond MAX_DEPARTED. */
static void
limit_departed(ledger_t *ledger)
{
	const fleet_worker_t *oldest = NULL;
	GHashTableIter iter;
	gpointer value;
	int departed = 0;

	g_hash_table_iter_init(&iter, ledger->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fleet_worker_t *worker = value;

		if (!worker->gone)
			continue;
		departed++;
		if (oldest == NULL || worker->born < oldest->born ||
		    (worker->born == oldest->born &&
			strcmp(worker->id, oldest->id) < 0))
			oldest = worker;
	}
	if (departed > MAX_DEPARTED)
		g_hash_table_remove(ledger->workers, oldest->id);
}

/*
 * Adds or replaces a worker and takes over its contents.  One that is gone is
 * kept as such, so that a late announcement does not bring it back, unless
 * another incarnation has registered since.
 */
void
ledger_update_worker(ledger_t *ledger, fleet_worker_t *worker)
{
	const fleet_worker_t *known = ledger_worker(ledger, worker->id);
	fleet_worker_t *stored;

	if (worker->gone && known != NULL && known->born > worker->born)
		return;
	stored = g_new0(fleet_worker_t, 1);
	*stored = *worker;
	memset(worker, 0, sizeof(*worker));
	g_hash_table_replace(ledger->workers, stored->id, stored);
	if (stored->gone)
		limit_departed(ledger);
}

/* Removes a job that has ended and has no unit placed on workers. */
static void
forget_job(ledger_t *ledger, const char *id)
{
	ledger_job_t *job = ledger_job(ledger, id);
	const ledger_unit_t *unit;
	size_t index = 0;

	if (job == NULL || !ledger_job_has_ended(job))
		return;
	while ((unit = ledger_next_known_unit(job, &index)) != NULL) {
		if (unit->state == UNIT_PLACED)
			return;
	}
	g_queue_unlink(&ledger->ended, &job->link);
	g_hash_table_remove(ledger->jobs, id);
}

/*
 * Applies the leader's decisions and observations.  Ends are applied
 * first, as a unit must end before it can start again.
 */
int
ledger_apply_events(ledger_t *ledger, fleet_events_t *command)
{
	for (u_int i = 0; i < command->ends.ends_len; i++)
		apply_end(ledger, &command->ends.ends_val[i]);
	for (u_int i = 0; i < command->starts.starts_len; i++)
		apply_start(ledger, &command->starts.starts_val[i]);
	for (u_int i = 0; i < command->workers.workers_len; i++)
		ledger_update_worker(ledger, &command->workers.workers_val[i]);
	for (u_int i = 0; i < command->forgotten.forgotten_len; i++)
		forget_job(ledger, command->forgotten.forgotten_val[i]);
	return 0;
}

/* ---- workers ---- */

/* Returns the worker with that id, also one that is gone, or NULL. */
const fleet_worker_t *
ledger_worker(const ledger_t *ledger, const char *id)
{
	return g_hash_table_lookup(ledger->workers, id);
}

GHashTable *
ledger_workers(ledger_t *ledger)
{
	return ledger->workers;
}

/* ---- failure domains ---- */

/*
 * Takes a failure domain out of service or back.  Returns 0 also if it is so
 * already, so that a client that resends a command gets success again.
 */
int
ledger_apply_domain_service(ledger_t *ledger, const domain_service_t *command)
{
	if (command->out_of_service)
		g_hash_table_add(
		    ledger->domains_out, g_strdup(command->domain));
	else
		g_hash_table_remove(ledger->domains_out, command->domain);
	return 0;
}

bool
ledger_domain_is_out(const ledger_t *ledger, const char *domain)
{
	return g_hash_table_contains(ledger->domains_out, domain);
}

GHashTable *
ledger_domains_out(const ledger_t *ledger)
{
	return ledger->domains_out;
}

/* ---- life cycle ---- */

ledger_t *
ledger_create(void)
{
	ledger_t *ledger = g_new0(ledger_t, 1);

	ledger->queues = g_hash_table_new(g_str_hash, g_str_equal);
	ledger->retired_queues = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, ledger_queue_free);
	ledger->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)ledger_job_free);
	ledger->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_worker);
	ledger->domains_out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&ledger->open);
	g_queue_init(&ledger->ended);
	return ledger;
}

/* Frees a ledger; NULL is allowed. */
void
ledger_destroy(ledger_t *ledger)
{
	if (ledger == NULL)
		return;
	g_hash_table_unref(ledger->jobs);
	g_hash_table_unref(ledger->workers);
	g_hash_table_unref(ledger->queues);
	g_hash_table_unref(ledger->retired_queues);
	g_hash_table_unref(ledger->domains_out);
	codec_free((xdrproc_t)xdr_fleet_config_t, &ledger->config);
	g_free(ledger);
}
