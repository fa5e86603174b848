#include "policy/placement_private.h"

#define HEALTH_CHECK_INTERVAL_MS 200

/*
 * A job that fails this often is considered faulty even if it could not be
 * tried on a second worker, as when a gang needs every worker.
 */
#define MAX_FAILED_ATTEMPTS 3

/* If this many workers of a rack are quarantined, a fault of the rack is
 * likely, and all its workers are taken out of use. */
#define RACK_FAULTY_AFTER_WORKERS 3

/* See placement.h. */
bool
placement_record_failure(
    placement_t *placement, const char *id, const char *worker, int64_t now_ms)
{
	pjob_t *job = placement_find(placement, id);

	if (job == NULL)
		return false;
	placement->health_checked_ms = 0;
	job->failed_attempts++;
	return health_failed(placement->health, worker, &job->failures,
		   now_ms) == HEALTH_BLAME_REQUEST ||
	       job->failed_attempts >= MAX_FAILED_ATTEMPTS;
}

/* Counts the workers of each rack that are in quarantine. */
static GHashTable *
quarantined_by_rack(const placement_t *placement, int64_t now_ms)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *worker;
	void *rack;

	g_hash_table_iter_init(&iter, placement->workers);
	while (g_hash_table_iter_next(&iter, &worker, &rack)) {
		int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, rack));

		if (health_is_quarantined(placement->health, worker, now_ms))
			g_hash_table_insert(
			    counts, rack, GINT_TO_POINTER(count + 1));
	}
	return counts;
}

/* Takes a worker out of use or returns it to use. */
static void
set_unusable(placement_t *placement, const char *worker, bool unusable)
{
	if (unusable ==
	    g_hash_table_contains(placement->unusable_workers, worker))
		return;
	if (unusable)
		g_hash_table_add(placement->unusable_workers, g_strdup(worker));
	else
		g_hash_table_remove(placement->unusable_workers, worker);
	cells_set_usable(placement->cells, worker, !unusable);
	placement->version++;
	placement->guaranteed_version++;
	placement->hardware_version++;
	placement_drop_reservations(placement);
}

/*
 * Updates which workers are usable from the health of workers and racks.  After
 * its quarantine a worker is used again; its next job is the trial.
 */
void
placement_check_health(placement_t *placement, int64_t now_ms)
{
	GHashTable *counts;
	GHashTableIter iter;
	void *worker;
	void *rack;

	if (health_quarantine_count(placement->health) == 0 ||
	    now_ms - placement->health_checked_ms < HEALTH_CHECK_INTERVAL_MS)
		return;
	placement->health_checked_ms = now_ms;
	counts = quarantined_by_rack(placement, now_ms);
	g_hash_table_iter_init(&iter, placement->workers);
	while (g_hash_table_iter_next(&iter, &worker, &rack)) {
		int in_rack =
		    GPOINTER_TO_INT(g_hash_table_lookup(counts, rack));

		set_unusable(placement, worker,
		    in_rack >= RACK_FAULTY_AFTER_WORKERS ||
			health_is_quarantined(
			    placement->health, worker, now_ms));
	}
	g_hash_table_unref(counts);
}
