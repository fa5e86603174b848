#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells faulty backend servers from faulty requests.  Evidence against a
 * backend server is a request that failed there and succeeded elsewhere.
 * Pure: the clock is passed in.
 */
typedef struct health_t health_t;

#define HEALTH_BLAME_AFTER                                \
	2 /* failed on that many: the request is to blame \
	   */

/* Where one request has failed; zero-initialised, ended by health_forget. */
typedef struct {
	char *failed_on[HEALTH_BLAME_AFTER];
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
void health_ended(health_t *health, const char *worker);
void health_forget(health_request_t *request);
bool health_is_quarantined(
    const health_t *health, const char *worker, int64_t now_ms);
int health_quarantine_count(const health_t *health);
