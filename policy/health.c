#include "policy/health.h"

#include <glib.h>
#include <string.h>

#define QUARANTINE_MS 10000
#define QUARANTINE_MAX_MS 300000
/* Pieces of evidence since the last success that lead to quarantine. */
#define EVIDENCE_LIMIT 3
/*
 * A backend server that fails everything at once always has the most free
 * slots.  After this many failures in a row it is the last choice and rests
 * after each further failure.
 */
#define SUSPECT_AFTER 3
#define SUSPECT_REST_MS 1000

typedef struct {
	char *domain;
	int evidence;
	int failures_in_row;
	int64_t rest_until_ms;
	bool quarantined; /* until its trial request succeeds */
	bool on_trial;
	int64_t quarantine_ms; /* length of the latest */
	int64_t until_ms;
} worker_t;

struct health_t {
	GHashTable *workers;
	int quarantines;
};

static void
worker_free(void *data)
{
	worker_t *worker = data;

	g_free(worker->domain);
	g_free(worker);
}

/* Creates a table without workers. */
health_t *
health_create(void)
{
	health_t *health = g_new0(health_t, 1);

	health->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, worker_free);
	return health;
}

/* Ends the table. */
void
health_destroy(health_t *health)
{
	if (health == NULL)
		return;
	g_hash_table_unref(health->workers);
	g_free(health);
}

static worker_t *
find(const health_t *health, const char *id)
{
	return g_hash_table_lookup(health->workers, id);
}

/* Adds a worker; one that is known keeps its record. */
void
health_add(health_t *health, const char *worker, const char *domain)
{
	worker_t *added = find(health, worker);

	if (added != NULL)
		return;
	added = g_new0(worker_t, 1);
	added->domain = g_strdup(domain);
	g_hash_table_insert(health->workers, g_strdup(worker), added);
}

/* Removes a worker and its record. */
void
health_remove(health_t *health, const char *worker)
{
	g_hash_table_remove(health->workers, worker);
}

static bool
failed_on(const health_request_t *request, const char *worker)
{
	for (int i = 0; request != NULL && i < request->failures; i++) {
		if (strcmp(request->failed_on[i], worker) == 0)
			return true;
	}
	return false;
}

/*
 * Ranks a worker for a request (NULL for any): -1 not usable, 0 good, 1 last
 * choice.  A quarantined worker whose time is over ranks 0 for one trial
 * request, so that it comes back even while others have free slots.
 */
int
health_rank(health_t *health, const char *worker,
    const health_request_t *request, int64_t now_ms)
{
	const worker_t *found = find(health, worker);

	if (found == NULL)
		return 0;
	if (failed_on(request, worker))
		return -1;
	if (found->quarantined)
		return !found->on_trial && now_ms >= found->until_ms ? 0 : -1;
	if (now_ms < found->rest_until_ms)
		return -1;
	return found->failures_in_row >= SUSPECT_AFTER ? 1 : 0;
}

/* Notes that a request was dispatched to a worker. */
void
health_started(health_t *health, const char *worker, int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found != NULL && found->quarantined && now_ms >= found->until_ms)
		found->on_trial = true;
}

static bool
half_is_quarantined(const health_t *health, const char *domain)
{
	GHashTableIter iter;
	void *value;
	int all = 0;
	int quarantined = 0;

	g_hash_table_iter_init(&iter, health->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (strcmp(worker->domain, domain) != 0)
			continue;
		all++;
		quarantined += worker->quarantined;
	}
	return 2 * (quarantined + 1) > all;
}

static void
quarantine(health_t *health, worker_t *worker, int64_t now_ms)
{
	if (!worker->quarantined && half_is_quarantined(health, worker->domain))
		return;
	if (worker->quarantine_ms == 0 ||
	    now_ms - worker->until_ms > QUARANTINE_MAX_MS)
		worker->quarantine_ms = QUARANTINE_MS;
	else
		worker->quarantine_ms =
		    MIN(worker->quarantine_ms * 2, QUARANTINE_MAX_MS);
	worker->until_ms = now_ms + worker->quarantine_ms;
	worker->quarantined = true;
	worker->on_trial = false;
	worker->evidence = 0;
	health->quarantines++;
}

/*
 * Notes that a request succeeded on a worker; the workers where it failed
 * before are to blame.
 */
void
health_succeeded(health_t *health, const char *worker,
    health_request_t *request, int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found != NULL) {
		found->evidence = 0;
		found->failures_in_row = 0;
		found->rest_until_ms = 0;
		/* The length of the last quarantine is kept for a while: one
		 * success does not make a flapping server reliable. */
		if (found->on_trial || now_ms >= found->until_ms)
			found->quarantined = false;
		found->on_trial = false;
	}
	for (int i = 0; i < request->failures; i++) {
		worker_t *failed = find(health, request->failed_on[i]);

		if (failed == NULL || failed == found || failed->quarantined)
			continue;
		if (++failed->evidence >= EVIDENCE_LIMIT)
			quarantine(health, failed, now_ms);
	}
	health_forget(request);
}

/*
 * Notes that a request failed on a worker: the second worker it fails on shows
 * that the request itself is to blame.
 */
health_verdict_t
health_failed(health_t *health, const char *worker, health_request_t *request,
    int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found != NULL) {
		found->failures_in_row++;
		if (found->on_trial)
			quarantine(health, found, now_ms);
		else if (found->failures_in_row >= SUSPECT_AFTER)
			found->rest_until_ms = now_ms + SUSPECT_REST_MS;
	}
	if (!failed_on(request, worker) &&
	    request->failures < HEALTH_BLAME_AFTER)
		request->failed_on[request->failures++] = g_strdup(worker);
	return request->failures >= HEALTH_BLAME_AFTER ? HEALTH_BLAME_REQUEST
						       : HEALTH_RETRY_ELSEWHERE;
}

/*
 * Notes that no connection to a worker could be made.  That says nothing about
 * the request, which was not sent.
 */
void
health_unreachable(health_t *health, const char *worker, int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found == NULL)
		return;
	found->failures_in_row++;
	found->rest_until_ms = now_ms + SUSPECT_REST_MS;
	if (found->on_trial)
		quarantine(health, found, now_ms);
}

/* Notes that a request ended on a worker without a verdict, as when stopped. */
void
health_ended(health_t *health, const char *worker)
{
	worker_t *found = find(health, worker);

	if (found != NULL)
		found->on_trial = false;
}

/* Ends the record of a request. */
void
health_forget(health_request_t *request)
{
	for (int i = 0; i < request->failures; i++)
		g_free(request->failed_on[i]);
	memset(request, 0, sizeof(*request));
}

/* Tells whether a worker is in quarantine and not yet due for its trial. */
bool
health_is_quarantined(
    const health_t *health, const char *worker, int64_t now_ms)
{
	const worker_t *found = find(health, worker);

	return found != NULL && found->quarantined && now_ms < found->until_ms;
}

/* Returns how many quarantines were imposed since the start. */
int
health_quarantine_count(const health_t *health)
{
	return health->quarantines;
}
