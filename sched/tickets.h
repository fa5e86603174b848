#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Caches the answers of an external adviser about which workers may run a step.
 * Load pattern: the adviser answers one query at a time and takes longer with
 * each worker named, while many steps wait.  A refusal is final.  A grant
 * stays, but its ticket is valid for one incarnation of the worker and expires.
 * Does no I/O and reads no clock.
 */
typedef struct tickets_t tickets_t;

tickets_t *tickets_create(void);
void tickets_destroy(tickets_t *tickets);
/* Removes all steps of a job; steps are named JOB.OCCURRENCE.STEP. */
void tickets_forget_job(tickets_t *tickets, const char *job);

/* Returns the step's valid ticket for an incarnation of a worker, or NULL. */
const char *tickets_find(const tickets_t *tickets, const char *step,
    const char *worker, uint64_t born, int64_t now_ms);
/*
 * Whether a query may yield a ticket: the worker is unknown, or its ticket has
 * expired or is for an earlier incarnation.
 */
bool tickets_worker_needs_query(const tickets_t *tickets, const char *step,
    const char *worker, uint64_t born, int64_t now_ms);
/* Whether a query about the step may be sent now. */
bool tickets_can_query_step(
    const tickets_t *tickets, const char *step, int64_t now_ms);
/* Record that a query was sent, and that it failed. */
void tickets_query_started(tickets_t *tickets, const char *step);
void tickets_query_failed(tickets_t *tickets, const char *step, int64_t now_ms);
/*
 * Record the answer to a query: first each grant, then the NULL-terminated list
 * of all workers it named.  Those without a grant count as refused.
 */
void tickets_grant(tickets_t *tickets, const char *step, const char *worker,
    uint64_t born, const char *ticket, int64_t valid_until_ms);
void tickets_query_done(
    tickets_t *tickets, const char *step, const char *const *workers);
