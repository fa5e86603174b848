#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells workers that fail what they start from jobs that fail by their own
 * fault.  Load pattern: the fleet is full, and a worker that fails everything
 * at once is the only one with room, so it draws every job that waits and uses
 * up its attempts.  Pure.
 */

#define SUSPICION_JOB_LEN 64

typedef enum {
	SUSPICION_NONE,
	SUSPICION_TRIAL, /* may get one task, to see whether it has recovered */
	SUSPICION_QUARANTINE,
} suspicion_level_t;

/* Evidence against one worker; zero-initialised. */
typedef struct {
	int jobs; /* that have failed here, halved by each success */
	char last_job[SUSPICION_JOB_LEN];
	int64_t failed_ms;     /* when one failed last */
	int64_t quarantine_ms; /* length of the next one */
	int64_t until_ms;      /* 0 outside of quarantine and trial */
} suspicion_t;

bool suspicion_failed(
    suspicion_t *suspicion, const char *job, bool again, int64_t now_ms);
void suspicion_succeeded(suspicion_t *suspicion, int64_t started_ms);
void suspicion_unhealthy(suspicion_t *suspicion, int64_t now_ms);
bool suspicion_bars(
    const suspicion_t *suspicion, const char *job, int64_t now_ms);
suspicion_level_t suspicion_level(const suspicion_t *suspicion, int64_t now_ms);
