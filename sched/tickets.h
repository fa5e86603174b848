#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What an outside adviser has said of the workers that may run a step.  Load
 * pattern: the adviser answers one call at a time and takes longer with each
 * worker named, while many steps wait.  Which workers may run a step does not
 * change; a ticket for one incarnation of a worker does expire.  Pure.
 */
typedef struct tickets_t tickets_t;

tickets_t *tickets_create(void);
void tickets_destroy(tickets_t *tickets);
/* Forgets all steps of a job; steps are named JOB.OCCURRENCE.STEP. */
void tickets_forget_job(tickets_t *tickets, const char *job);

/* The ticket of an incarnation of a worker for a step, NULL without a valid
 * one. */
const char *tickets_find(const tickets_t *tickets, const char *step,
    const char *worker, uint64_t born, int64_t now_ms);
/* Whether asking about the worker may bring a ticket. */
bool tickets_is_worth_asking(const tickets_t *tickets, const char *step,
    const char *worker, uint64_t born, int64_t now_ms);
/* Whether a question about the step may be sent now. */
bool tickets_may_ask(
    const tickets_t *tickets, const char *step, int64_t now_ms);
void tickets_asked(tickets_t *tickets, const char *step);
void tickets_not_answered(tickets_t *tickets, const char *step, int64_t now_ms);
/* Ends a question: first the grants, then the workers it was about. */
void tickets_grant(tickets_t *tickets, const char *step, const char *worker,
    uint64_t born, const char *ticket, int64_t valid_until_ms);
void tickets_answered(
    tickets_t *tickets, const char *step, const char *const *workers);
