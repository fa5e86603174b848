#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Distinguishes faulty workers from faulty jobs and quarantines the former.
 * Load pattern: the fleet is full, and a worker that fails every run at once is
 * the only one with free resources, so it attracts all waiting jobs and uses up
 * their attempts.  Does no I/O and reads no clock.
 */

#define SUSPICION_JOB_LEN 64

typedef enum {
	SUSPICION_NONE,
	SUSPICION_TRIAL, /* may get one task, to test whether it has recovered
			  */
	SUSPICION_QUARANTINE,
} suspicion_level_t;

/* Failure history of one worker; zero-initialised. */
typedef struct {
	int jobs; /* failures that count, halved by each success */
	char last_job[SUSPICION_JOB_LEN]; /* "" after a success */
	int64_t failed_ms;                /* time of the last failure */
	int64_t quarantine_ms; /* of the next quarantine, 0: the minimum */
	int64_t until_ms;      /* end of the last quarantine, 0: none */
} suspicion_t;

bool suspicion_record_failure(suspicion_t *suspicion, const char *job,
    bool failed_elsewhere, int64_t now_ms);
void suspicion_record_success(suspicion_t *suspicion, int64_t started_ms);
void suspicion_record_unhealthy(suspicion_t *suspicion, int64_t now_ms);
bool suspicion_excludes_job(
    const suspicion_t *suspicion, const char *job, int64_t now_ms);
suspicion_level_t suspicion_level(const suspicion_t *suspicion, int64_t now_ms);
