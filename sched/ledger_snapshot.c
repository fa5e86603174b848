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

/* Returns how many units there are up to the last one that has run. */
static size_t
recorded_unit_count(const ledger_job_t *job)
{
	const ledger_unit_t *unit;
	size_t count = 0;
	size_t index = 0;

	while ((unit = ledger_next_known_unit(job, &index)) != NULL) {
		if (unit->run > 0 || unit->state != UNIT_WAITING)
			count = index;
	}
	return count;
}

static void
record_units(const ledger_job_t *job, batch_record_t *record)
{
	size_t count = recorded_unit_count(job);

	record->units.units_len = (u_int)count;
	record->units.units_val = g_new0(unit_record_t, count);
	for (size_t i = 0; i < count; i++) {
		const ledger_unit_t *unit = ledger_known_unit(job, i);

		if (unit != NULL)
			record_unit(unit, &record->units.units_val[i]);
		else
			record->units.units_val[i].checkpoint = (char *)"";
	}
}

static bool_t
save_job(XDR *xdr, const ledger_job_t *job)
{
	batch_record_t record = {
	    .submit = job->submit,
	    .cancelled = job->cancelled,
	    .failed = job->failed,
	};
	bool_t done;

	record_units(job, &record);
	done = xdr_batch_record_t(xdr, &record);
	for (u_int i = 0; i < record.units.units_len; i++)
		g_free(record.units.units_val[i].places.places_val);
	g_free(record.units.units_val);
	return done;
}

static bool_t
save_jobs(XDR *xdr, const GQueue *jobs)
{
	for (const GList *at = jobs->head; at != NULL; at = at->next) {
		if (!save_job(xdr, at->data))
			return FALSE;
	}
	return TRUE;
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
		const ledger_unit_t *unit;
		size_t index = 0;

		while ((unit = ledger_next_known_unit(job, &index)) != NULL) {
			gang_record_t record = {
			    job->submit.id, (u_int)(index - 1), unit->places};

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
	ledger_job_t *job = ledger_job(ledger, record->job);
	ledger_unit_t *unit;

	if (job == NULL || record->unit >= job->unit_count)
		return false;
	unit = ledger_unit_at(job, record->unit);
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

/* Encodes the ledger; FALSE if the stream has no space left. */
bool_t
ledger_xdr_save(XDR *xdr, ledger_t *ledger)
{
	fleet_snapshot_t snapshot = {.config = ledger->config,
	    .job_count = g_hash_table_size(ledger->jobs)};
	bool_t done;

	record_workers(ledger, &snapshot);
	done = xdr_fleet_snapshot_t(xdr, &snapshot) &&
	       save_jobs(xdr, &ledger->ended) &&
	       save_jobs(xdr, &ledger->open) && save_later_parts(xdr, ledger);
	g_free(snapshot.workers.workers_val);
	return done;
}

/* Counts a unit that has run in its job. */
static void
count_restored(const ledger_unit_t *unit)
{
	ledger_job_t *job = unit->job;
	u_int steps = job->submit.spec.steps.steps_len;

	job->units_started += unit->run > 0;
	job->units_waiting -= unit->state != UNIT_WAITING;
	if (unit->state != UNIT_DONE)
		return;
	job->units_left--;
	job->step_units_left[unit->occurrence * steps + unit->step]--;
}

/* Whether a unit of that record waits and has never run. */
static bool
is_new(const unit_record_t *record)
{
	return record->state == UNIT_WAITING && record->run == 0;
}

/* Takes over the record; returns false if it does not match the unit. */
static bool
restore_unit(ledger_job_t *job, size_t index, unit_record_t *record)
{
	ledger_unit_t *unit;

	if (is_new(record))
		return true;
	if (record->state < UNIT_WAITING || record->state > UNIT_FAILED)
		return false;
	unit = ledger_unit_at(job, index);
	if (record->state == UNIT_PLACED && !is_large_gang(unit) &&
	    (int)record->places.places_len != unit->members)
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
	count_restored(unit);
	return true;
}

/* Whether each placed unit of the jobs has its places. */
static bool
have_places(const GQueue *jobs)
{
	for (const GList *at = jobs->head; at != NULL; at = at->next) {
		const ledger_job_t *job = at->data;
		const ledger_unit_t *unit;
		size_t index = 0;

		while ((unit = ledger_next_known_unit(job, &index)) != NULL) {
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

	if (record->submit.id == NULL ||
	    ledger_job(ledger, record->submit.id) != NULL ||
	    ledger_validate_spec(&record->submit.spec, &reason) != 0)
		return false;
	job = ledger_job_create(ledger, &record->submit);
	if (record->units.units_len > job->unit_count)
		return false;
	for (u_int i = 0; i < record->units.units_len; i++) {
		if (!restore_unit(job, i, &record->units.units_val[i]))
			return false;
	}
	job->cancelled = record->cancelled;
	job->failed = record->failed;
	ledger_move_if_ended(ledger, job, false);
	return true;
}

static bool_t
load_job(XDR *xdr, ledger_t *ledger)
{
	batch_record_t record = {0};
	bool_t done =
	    xdr_batch_record_t(xdr, &record) && restore_job(ledger, &record);

	codec_free((xdrproc_t)xdr_batch_record_t, &record);
	return done;
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
	for (u_int i = 0; done && i < snapshot.job_count; i++)
		done = load_job(xdr, ledger);
	codec_free((xdrproc_t)xdr_fleet_snapshot_t, &snapshot);
	return done && load_later_parts(xdr, ledger) &&
	       have_places(&ledger->open) && have_places(&ledger->ended);
}
