#include "sched/suspicion.h"

#include <glib.h>
#include <string.h>

/* Jobs that fail on a worker before it is to blame. */
#define BLAME_JOBS 2
/* A job that can run nowhere else comes back after this. */
#define BAR_MS 2000
#define QUARANTINE_FIRST_MS 1000
#define QUARANTINE_LONGEST_MS 8000
/* A trial needs a single task; where none waits, it ends with time. */
#define TRIAL_LONGEST_MS 5000

static void
quarantine(suspicion_t *suspicion, int64_t now_ms)
{
	int64_t span_ms = MAX(suspicion->quarantine_ms, QUARANTINE_FIRST_MS);

	suspicion->until_ms = now_ms + span_ms;
	suspicion->quarantine_ms = MIN(2 * span_ms, QUARANTINE_LONGEST_MS);
}

/*
 * Notes a run that failed; again tells that it had failed elsewhere before, so
 * that the job may be to blame.  Counts each job once while nothing else has
 * failed or succeeded in between, as the tasks of one job often fail together.
 * True when the worker is put into quarantine.
 */
bool
suspicion_failed(
    suspicion_t *suspicion, const char *job, bool again, int64_t now_ms)
{
	suspicion_level_t level = suspicion_level(suspicion, now_ms);
	bool same = strcmp(suspicion->last_job, job) == 0;

	suspicion->failed_ms = now_ms;
	g_strlcpy(suspicion->last_job, job, SUSPICION_JOB_LEN);
	if (level == SUSPICION_QUARANTINE)
		return false;
	if (level == SUSPICION_NONE) {
		if (again || same || ++suspicion->jobs < BLAME_JOBS)
			return false;
	}
	quarantine(suspicion, now_ms);
	return true;
}

/*
 * Notes a run that was done.  One from before the last failure does not show
 * that the worker is well.
 */
void
suspicion_succeeded(suspicion_t *suspicion, int64_t started_ms)
{
	if (started_ms < suspicion->failed_ms)
		return;
	if (suspicion->until_ms != 0)
		*suspicion = (suspicion_t){0};
	suspicion->jobs /= 2;
	suspicion->last_job[0] = '\0';
}

/* Notes that the worker says itself that it is not healthy. */
void
suspicion_unhealthy(suspicion_t *suspicion, int64_t now_ms)
{
	if (suspicion_level(suspicion, now_ms) != SUSPICION_QUARANTINE)
		quarantine(suspicion, now_ms);
}

/* Whether this job failed there just now and nothing else ended since. */
bool
suspicion_bars(const suspicion_t *suspicion, const char *job, int64_t now_ms)
{
	return strcmp(suspicion->last_job, job) == 0 &&
	       now_ms - suspicion->failed_ms < BAR_MS;
}

/* What the worker may get at now_ms. */
suspicion_level_t
suspicion_level(const suspicion_t *suspicion, int64_t now_ms)
{
	if (suspicion->until_ms == 0 ||
	    now_ms >= suspicion->until_ms + TRIAL_LONGEST_MS)
		return SUSPICION_NONE;
	return now_ms < suspicion->until_ms ? SUSPICION_QUARANTINE
					    : SUSPICION_TRIAL;
}
