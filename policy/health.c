#include "policy/health.h"

#include <glib.h>
#include <string.h>

/* Durations of the first and of the longest quarantine; each further one is
 * twice as long. */
#define QUARANTINE_MIN_MS 10000
#define QUARANTINE_MAX_MS 300000
/* A worker is quarantined after this many requests that failed on it and then
 * succeeded elsewhere, without a success of its own in between. */
#define QUARANTINE_EVIDENCE 3
/*
 * A backend server that fails every request immediately always has the most
 * free slots.  After this many consecutive failures it is used only if no other
 * one is available, and gets no request for SUSPECT_BACKOFF_MS after each
 * failure.
 */
#define SUSPECT_AFTER 3
#define SUSPECT_BACKOFF_MS 1000

typedef struct {
	char *domain;
	/* requests that failed here and succeeded elsewhere since the last
	 * success here */
	int evidence_count;
	int consecutive_failures;
	int64_t backoff_until_ms;
	bool quarantined;          /* cleared when a trial request succeeds */
	bool on_trial;             /* the trial request is running */
	int64_t quarantine_ms;     /* duration of the latest quarantine */
	int64_t quarantine_end_ms; /* end of the latest quarantine */
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

/* Creates an empty record of workers' health. */
health_t *
health_create(void)
{
	health_t *health = g_new0(health_t, 1);

	health->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, worker_free);
	return health;
}

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

/* Adds a worker; does nothing if the worker exists. */
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
 * Ranks a worker for a request (NULL for any request): -1 not usable, 0
 * healthy, 1 only if there is no other.  After its quarantine a worker ranks 0
 * for one trial request, so that it is used again even if others have free
 * slots.
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
		return !found->on_trial && now_ms >= found->quarantine_end_ms
			   ? 0
			   : -1;
	if (now_ms < found->backoff_until_ms)
		return -1;
	return found->consecutive_failures >= SUSPECT_AFTER ? 1 : 0;
}

/* Records that a request was dispatched to a worker. */
void
health_started(health_t *health, const char *worker, int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found != NULL && found->quarantined &&
	    now_ms >= found->quarantine_end_ms)
		found->on_trial = true;
}

/* Returns whether one more quarantine would exceed half of the domain. */
static bool
would_exceed_half(const health_t *health, const char *domain)
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

/* Quarantines a worker; the duration doubles if the last one was recent. */
static void
quarantine(health_t *health, worker_t *worker, int64_t now_ms)
{
	if (!worker->quarantined && would_exceed_half(health, worker->domain))
		return;
	if (worker->quarantine_ms == 0 ||
	    now_ms - worker->quarantine_end_ms > QUARANTINE_MAX_MS)
		worker->quarantine_ms = QUARANTINE_MIN_MS;
	else
		worker->quarantine_ms =
		    MIN(worker->quarantine_ms * 2, QUARANTINE_MAX_MS);
	worker->quarantine_end_ms = now_ms + worker->quarantine_ms;
	worker->quarantined = true;
	worker->on_trial = false;
	worker->evidence_count = 0;
	health->quarantines++;
}

/*
 * Records that a request succeeded on a worker, which is evidence against the
 * workers on which it failed before.  Clears the request's record.
 */
void
health_succeeded(health_t *health, const char *worker,
    health_request_t *request, int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found != NULL) {
		found->evidence_count = 0;
		found->consecutive_failures = 0;
		found->backoff_until_ms = 0;
		/* Keeps quarantine_ms, so that a flapping server is quarantined
		 * longer next time despite this success. */
		if (found->on_trial || now_ms >= found->quarantine_end_ms)
			found->quarantined = false;
		found->on_trial = false;
	}
	for (int i = 0; i < request->failures; i++) {
		worker_t *failed = find(health, request->failed_on[i]);

		if (failed == NULL || failed == found || failed->quarantined)
			continue;
		if (++failed->evidence_count >= QUARANTINE_EVIDENCE)
			quarantine(health, failed, now_ms);
	}
	health_clear_request(request);
}

/*
 * Records that a request failed on a worker.  A request that has failed on
 * HEALTH_FAULTY_AFTER_WORKERS workers is itself considered faulty.
 */
health_verdict_t
health_failed(health_t *health, const char *worker, health_request_t *request,
    int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found != NULL) {
		found->consecutive_failures++;
		if (found->on_trial)
			quarantine(health, found, now_ms);
		else if (found->consecutive_failures >= SUSPECT_AFTER)
			found->backoff_until_ms = now_ms + SUSPECT_BACKOFF_MS;
	}
	if (!failed_on(request, worker) &&
	    request->failures < HEALTH_FAULTY_AFTER_WORKERS)
		request->failed_on[request->failures++] = g_strdup(worker);
	return request->failures >= HEALTH_FAULTY_AFTER_WORKERS
		   ? HEALTH_BLAME_REQUEST
		   : HEALTH_RETRY_ELSEWHERE;
}

/*
 * Records that a connection to a worker failed.  This is no evidence against
 * the request, which was not sent.
 */
void
health_unreachable(health_t *health, const char *worker, int64_t now_ms)
{
	worker_t *found = find(health, worker);

	if (found == NULL)
		return;
	found->consecutive_failures++;
	found->backoff_until_ms = now_ms + SUSPECT_BACKOFF_MS;
	if (found->on_trial)
		quarantine(health, found, now_ms);
}

/* Records the end of a request that neither succeeded nor failed, as when it
 * was stopped. */
void
health_inconclusive(health_t *health, const char *worker)
{
	worker_t *found = find(health, worker);

	if (found != NULL)
		found->on_trial = false;
}

/* Frees and clears the record of a request. */
void
health_clear_request(health_request_t *request)
{
	for (int i = 0; i < request->failures; i++)
		g_free(request->failed_on[i]);
	memset(request, 0, sizeof(*request));
}

/* Returns whether a worker is in quarantine and not yet due for its trial. */
bool
health_is_quarantined(
    const health_t *health, const char *worker, int64_t now_ms)
{
	const worker_t *found = find(health, worker);

	return found != NULL && found->quarantined &&
	       now_ms < found->quarantine_end_ms;
}

/* Returns the number of quarantines since health_create. */
int
health_quarantine_count(const health_t *health)
{
	return health->quarantines;
}
