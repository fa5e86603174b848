#include <stdlib.h>
#include <string.h>

#include "rpc/codec.h"
#include "sched/ledger_private.h"
#include "sched/places.h"

/*
 * A snapshot is a fleet_snapshot_t of rpc/protocol.x.  When saving, its records
 * point into the ledger; when loading, the ledger takes over their contents.
 */

/* Whether the unit's places are saved apart, as a unit_record_t is too small.
 */
static bool
is_large_gang(const ledger_unit_t *unit)
{
	return unit->members > MAX_BATCH;
}

static void
record_unit(const ledger_unit_t *unit, unit_record_t *record)
{
	bool has_places = unit->state == UNIT_PLACED && !is_large_gang(unit);

	*record = (unit_record_t){
	    .state = unit->state,
	    .run = unit->run,
	    .failures = unit->failures,
	    .checkpoint = unit->checkpoint,
	};
	if (!has_places)
		return;
	record->places.places_len = (u_int)unit->members;
	record->places.places_val = places_list(&unit->places);
}

static void
record_job(const ledger_job_t *job, batch_record_t *record)
{
	*record = (batch_record_t){
	    .submit = job->submit,
	    .cancelled = job->cancelled,
	    .failed = job->failed,
	};
	record->units.units_len = (u_int)job->unit_count;
	record->units.units_val = g_new0(unit_record_t, job->unit_count);
	for (size_t i = 0; i < job->unit_count; i++)
		record_unit(&job->units[i], &record->units.units_val[i]);
}

static void
record_jobs(ledger_t *ledger, fleet_snapshot_t *snapshot)
{
	const GQueue *const queues[] = {&ledger->ended, &ledger->open};
	u_int n = 0;

	snapshot->jobs.jobs_val =
	    g_new0(batch_record_t, g_hash_table_size(ledger->jobs));
	for (size_t q = 0; q < G_N_ELEMENTS(queues); q++) {
		for (GList *at = queues[q]->head; at != NULL; at = at->next)
			record_job(at->data, &snapshot->jobs.jobs_val[n++]);
	}
	snapshot->jobs.jobs_len = n;
}

static gint
compare_workers(gconstpointer a, gconstpointer b)
{
	return strcmp(
	    ((const fleet_worker_t *)a)->id, ((const fleet_worker_t *)b)->id);
}

/* Sorts the workers by id, so that equal ledgers encode to equal bytes. */
static void
record_workers(ledger_t *ledger, fleet_snapshot_t *snapshot)
{
	u_int count = g_hash_table_size(ledger->workers);
	GHashTableIter iter;
	gpointer worker;
	u_int n = 0;

	snapshot->workers.workers_len = count;
	snapshot->workers.workers_val = g_new0(fleet_worker_t, count);
	g_hash_table_iter_init(&iter, ledger->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		snapshot->workers.workers_val[n++] = *(fleet_worker_t *)worker;
	if (count > 0)
		qsort(snapshot->workers.workers_val, count,
		    sizeof(fleet_worker_t), compare_workers);
}

static gint
compare_queues(gconstpointer a, gconstpointer b)
{
	return strcmp(
	    ((const fleet_queue_t *)a)->name, ((const fleet_queue_t *)b)->name);
}

/* Encodes the retired queues, sorted by name. */
static bool_t
save_retired_queues(XDR *xdr, ledger_t *ledger)
{
	u_int count = g_hash_table_size(ledger->retired_queues);
	retired_queues_t retired = {{count, g_new0(fleet_queue_t, count)}};
	GHashTableIter iter;
	gpointer queue;
	bool_t done;
	u_int n = 0;

	g_hash_table_iter_init(&iter, ledger->retired_queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		retired.queues.queues_val[n++] = *(fleet_queue_t *)queue;
	if (count > 0)
		qsort(retired.queues.queues_val, count, sizeof(fleet_queue_t),
		    compare_queues);
	done = xdr_retired_queues_t(xdr, &retired);
	g_free(retired.queues.queues_val);
	return done;
}

/* Decodes the retired queues. */
static bool_t
load_retired_queues(XDR *xdr, ledger_t *ledger)
{
	retired_queues_t retired = {0};
	bool_t done;

	done = xdr_retired_queues_t(xdr, &retired);
	for (u_int i = 0; done && i < retired.queues.queues_len; i++)
		ledger_retire_queue(ledger, &retired.queues.queues_val[i]);
	codec_free((xdrproc_t)xdr_retired_queues_t, &retired);
	return done;
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const name_t *)a, *(const name_t *)b);
}

/* Encodes the failure domains out of service, sorted by name. */
static bool_t
save_domains_out(XDR *xdr, ledger_t *ledger)
{
	guint count;
	gpointer *names =
	    g_hash_table_get_keys_as_array(ledger->domains_out, &count);
	domains_out_t out = {{count, (name_t *)(void *)names}};
	bool_t done;

	if (count > 0)
		qsort(names, count, sizeof(name_t), compare_names);
	done = xdr_domains_out_t(xdr, &out);
	g_free(names);
	return done;
}

/* Decodes the failure domains out of service. */
static bool_t
load_domains_out(XDR *xdr, ledger_t *ledger)
{
	domains_out_t out = {0};
	bool_t done = xdr_domains_out_t(xdr, &out);

	for (u_int i = 0; done && i < out.domains.domains_len; i++)
		g_hash_table_add(
		    ledger->domains_out, g_strdup(out.domains.domains_val[i]));
	codec_free((xdrproc_t)xdr_domains_out_t, &out);
	return done;
}

/* Adds the placed large gangs of the jobs to records, which point to them. */
static void
record_gangs_of(const GQueue *jobs, GArray *records)
{
	for (const GList *at = jobs->head; at != NULL; at = at->next) {
		const ledger_job_t *job = at->data;

		for (size_t i = 0; i < job->unit_count; i++) {
			const ledger_unit_t *unit = &job->units[i];
			gang_record_t record = {
			    job->submit.id, (u_int)i, unit->places};

			if (unit->state == UNIT_PLACED && is_large_gang(unit))
				g_array_append_val(records, record);
		}
	}
}

static GArray *
record_gangs(ledger_t *ledger)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(gang_record_t));

	record_gangs_of(&ledger->ended, records);
	record_gangs_of(&ledger->open, records);
	return records;
}

static bool_t
save_gang_places(XDR *xdr, GArray *records)
{
	gang_places_t gangs = {
	    {records->len, (gang_record_t *)(void *)records->data}};

	return xdr_gang_places_t(xdr, &gangs);
}

/* Takes over the places; returns false if they do not match a unit. */
static bool
restore_gang(ledger_t *ledger, gang_record_t *record)
{
	const ledger_job_t *job = ledger_job(ledger, record->job);
	ledger_unit_t *unit;

	if (job == NULL || record->unit >= job->unit_count)
		return false;
	unit = &job->units[record->unit];
	if (unit->state != UNIT_PLACED || !is_large_gang(unit) ||
	    unit->places.place_ranges_t_len > 0 ||
	    places_members(&record->places) != unit->members)
		return false;
	unit->places = record->places;
	memset(&record->places, 0, sizeof(record->places));
	return true;
}

/* Decodes the places of the large gangs. */
static bool_t
load_gang_places(XDR *xdr, ledger_t *ledger)
{
	gang_places_t gangs = {0};
	bool_t done = xdr_gang_places_t(xdr, &gangs);

	for (u_int i = 0; done && i < gangs.gangs.gangs_len; i++)
		done = restore_gang(ledger, &gangs.gangs.gangs_val[i]);
	codec_free((xdrproc_t)xdr_gang_places_t, &gangs);
	return done;
}

/*
 * Encodes what follows the snapshot proper: parts in a fixed order, up to the
 * last one that is not empty.
 */
static bool_t
save_later_parts(XDR *xdr, ledger_t *ledger)
{
	GArray *gangs = record_gangs(ledger);
	bool has_gangs = gangs->len > 0;
	bool has_domains =
	    has_gangs || g_hash_table_size(ledger->domains_out) > 0;
	bool has_queues =
	    has_domains || g_hash_table_size(ledger->retired_queues) > 0;
	bool_t done;

	done = (!has_queues || save_retired_queues(xdr, ledger)) &&
	       (!has_domains || save_domains_out(xdr, ledger)) &&
	       (!has_gangs || save_gang_places(xdr, gangs));
	g_array_unref(gangs);
	return done;
}

/* Decodes those parts; an earlier snapshot ends before one of them. */
static bool_t
load_later_parts(XDR *xdr, ledger_t *ledger)
{
	if (xdr->x_handy > 0 && !load_retired_queues(xdr, ledger))
		return FALSE;
	if (xdr->x_handy > 0 && !load_domains_out(xdr, ledger))
		return FALSE;
	return xdr->x_handy == 0 || load_gang_places(xdr, ledger);
}

/* Frees the lists of places, whose names are the ledger's. */
static void
free_job_record(batch_record_t *record)
{
	for (u_int i = 0; i < record->units.units_len; i++)
		g_free(record->units.units_val[i].places.places_val);
	g_free(record->units.units_val);
}

/* Encodes the ledger; FALSE if the stream has no space left. */
bool_t
ledger_xdr_save(XDR *xdr, ledger_t *ledger)
{
	fleet_snapshot_t snapshot = {.config = ledger->config};
	bool_t done;

	record_workers(ledger, &snapshot);
	record_jobs(ledger, &snapshot);
	done = xdr_fleet_snapshot_t(xdr, &snapshot) &&
	       save_later_parts(xdr, ledger);
	for (u_int i = 0; i < snapshot.jobs.jobs_len; i++)
		free_job_record(&snapshot.jobs.jobs_val[i]);
	g_free(snapshot.jobs.jobs_val);
	g_free(snapshot.workers.workers_val);
	return done;
}

/* Takes over the record; returns false if it does not match the unit. */
static bool
restore_unit(ledger_unit_t *unit, unit_record_t *record)
{
	if (record->state < UNIT_WAITING || record->state > UNIT_FAILED ||
	    (record->state == UNIT_PLACED && !is_large_gang(unit) &&
		(int)record->places.places_len != unit->members))
		return false;
	unit->state = (unit_state_t)record->state;
	unit->run = record->run;
	unit->failures = record->failures;
	g_free(unit->checkpoint);
	unit->checkpoint = record->checkpoint;
	record->checkpoint = NULL;
	if (unit->state == UNIT_PLACED && !is_large_gang(unit))
		places_add_list(&unit->places, record->places.places_val,
		    record->places.places_len);
	return true;
}

/* Whether each placed unit of the jobs has its places. */
static bool
have_places(const GQueue *jobs)
{
	for (const GList *at = jobs->head; at != NULL; at = at->next) {
		const ledger_job_t *job = at->data;

		for (size_t i = 0; i < job->unit_count; i++) {
			const ledger_unit_t *unit = &job->units[i];

			if (unit->state == UNIT_PLACED &&
			    unit->places.place_ranges_t_len == 0)
				return false;
		}
	}
	return true;
}

static bool
restore_job(ledger_t *ledger, batch_record_t *record)
{
	const char *reason;
	ledger_job_t *job;
	u_int steps;

	if (record->submit.id == NULL ||
	    ledger_job(ledger, record->submit.id) != NULL ||
	    ledger_validate_spec(&record->submit.spec, &reason) != 0)
		return false;
	job = ledger_job_create(ledger, &record->submit);
	if (record->units.units_len != job->unit_count)
		return false;
	steps = job->submit.spec.steps.steps_len;
	for (size_t i = 0; i < job->unit_count; i++) {
		ledger_unit_t *unit = &job->units[i];

		if (!restore_unit(unit, &record->units.units_val[i]))
			return false;
		job->units_started += unit->run > 0;
		job->units_waiting -= unit->state != UNIT_WAITING;
		if (unit->state == UNIT_DONE) {
			job->units_left--;
			job->step_units_left[unit->occurrence * steps +
					     unit->step]--;
		}
	}
	job->cancelled = record->cancelled;
	job->failed = record->failed;
	ledger_move_if_ended(ledger, job, false);
	return true;
}

/*
 * Loads a snapshot into an empty ledger.  Returns FALSE if it is invalid; the
 * ledger may then be partly filled.
 */
bool_t
ledger_xdr_load(XDR *xdr, ledger_t *ledger)
{
	fleet_snapshot_t snapshot = {0};
	bool_t done = xdr_fleet_snapshot_t(xdr, &snapshot);

	if (done)
		ledger_apply_config(ledger, &snapshot.config);
	for (u_int i = 0; done && i < snapshot.workers.workers_len; i++)
		ledger_update_worker(ledger, &snapshot.workers.workers_val[i]);
	for (u_int i = 0; done && i < snapshot.jobs.jobs_len; i++)
		done = restore_job(ledger, &snapshot.jobs.jobs_val[i]);
	codec_free((xdrproc_t)xdr_fleet_snapshot_t, &snapshot);
	return done && load_later_parts(xdr, ledger) &&
	       have_places(&ledger->open) && have_places(&ledger->ended);
}
