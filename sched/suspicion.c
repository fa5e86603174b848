#include "sched/suspicion.h"

#include <glib.h>
#include <string.h>

/* Failures that quarantine a worker; repeated ones of one job count once. */
#define QUARANTINE_JOBS 2
/* For this time after a job failed on a worker, it is not placed there. */
#define JOB_EXCLUSION_MS 2000
#define QUARANTINE_MIN_MS 1000
#define QUARANTINE_MAX_MS 8000
/* A trial ends after this time even if no single task was waiting for it. */
#define TRIAL_MAX_MS 5000

static void
quarantine(suspicion_t *suspicion, int64_t now_ms)
{
	int64_t span_ms = MAX(suspicion->quarantine_ms, QUARANTINE_MIN_MS);

	suspicion->until_ms = now_ms + span_ms;
	suspicion->quarantine_ms = MIN(2 * span_ms, QUARANTINE_MAX_MS);
}

/*
 * Records a failed run.  failed_elsewhere says that the job failed on another
 * worker before, in which case the job may be at fault.  Consecutive failures
 * of one job count once, as the tasks of a job often fail together.  Returns
 * true if the worker is put into quarantine.
 */
bool
suspicion_record_failure(suspicion_t *suspicion, const char *job,
    bool failed_elsewhere, int64_t now_ms)
{
	suspicion_level_t level = suspicion_level(suspicion, now_ms);
	bool is_same_job = strcmp(suspicion->last_job, job) == 0;

	suspicion->failed_ms = now_ms;
	g_strlcpy(suspicion->last_job, job, SUSPICION_JOB_LEN);
	if (level == SUSPICION_QUARANTINE)
		return false;
	if (level == SUSPICION_NONE) {
		if (failed_elsewhere || is_same_job ||
		    ++suspicion->jobs < QUARANTINE_JOBS)
			return false;
	}
	quarantine(suspicion, now_ms);
	return true;
}

/*
 * Records a successful run.  One that started before the last failure is no
 * evidence of recovery and is ignored.
 */
void
suspicion_record_success(suspicion_t *suspicion, int64_t started_ms)
{
	if (started_ms < suspicion->failed_ms)
		return;
	if (suspicion->until_ms != 0)
		*suspicion = (suspicion_t){0};
	suspicion->jobs /= 2;
	suspicion->last_job[0] = '\0';
}

/* Records that the worker has reported itself as unhealthy. */
void
suspicion_record_unhealthy(suspicion_t *suspicion, int64_t now_ms)
{
	if (suspicion_level(suspicion, now_ms) != SUSPICION_QUARANTINE)
		quarantine(suspicion, now_ms);
}

/*
 * Whether the job was the last to fail on the worker, less than
 * JOB_EXCLUSION_MS ago, and no run has succeeded since.
 */
bool
suspicion_excludes_job(
    const suspicion_t *suspicion, const char *job, int64_t now_ms)
{
	return strcmp(suspicion->last_job, job) == 0 &&
	       now_ms - suspicion->failed_ms < JOB_EXCLUSION_MS;
}

/* Returns the restriction on new work for the worker at now_ms. */
suspicion_level_t
suspicion_level(const suspicion_t *suspicion, int64_t now_ms)
{
	if (suspicion->until_ms == 0 ||
	    now_ms >= suspicion->until_ms + TRIAL_MAX_MS)
		return SUSPICION_NONE;
	return now_ms < suspicion->until_ms ? SUSPICION_QUARANTINE
					    : SUSPICION_TRIAL;
}
