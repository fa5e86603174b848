#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Distinguishes faulty backend servers from faulty requests.  A request that
 * failed on one backend server and succeeded on another is evidence against the
 * first.  Does no I/O; the current time is a parameter.
 */
typedef struct health_t health_t;

/* A request that failed on this many workers is considered faulty. */
#define HEALTH_FAULTY_AFTER_WORKERS 2

/*
 * The workers on which a request has failed.  Zero-initialise before use and
 * free with health_clear_request.
 */
typedef struct {
	char *failed_on[HEALTH_FAULTY_AFTER_WORKERS];
	int failures;
} health_request_t;

typedef enum {
	HEALTH_RETRY_ELSEWHERE,
	HEALTH_BLAME_REQUEST,
} health_verdict_t;

health_t *health_create(void);
void health_destroy(health_t *health);
void health_add(health_t *health, const char *worker, const char *domain);
void health_remove(health_t *health, const char *worker);
int health_rank(health_t *health, const char *worker,
    const health_request_t *request, int64_t now_ms);
void health_started(health_t *health, const char *worker, int64_t now_ms);
void health_succeeded(health_t *health, const char *worker,
    health_request_t *request, int64_t now_ms);
health_verdict_t health_failed(health_t *health, const char *worker,
    health_request_t *request, int64_t now_ms);
void health_unreachable(health_t *health, const char *worker, int64_t now_ms);
void health_inconclusive(health_t *health, const char *worker);
void health_clear_request(health_request_t *request);
bool health_is_quarantined(
    const health_t *health, const char *worker, int64_t now_ms);
int health_quarantine_count(const health_t *health);
