#pragma once

#include <ev.h>
#include <stdint.h>

#include "common/err.h"
#include "common/mem_budget.h"
#include "common/settings.h"
#include "state/replica.h"

/* The operator routes of docs/INTERFACES.md, on a listener of their own. */
typedef struct operator_t operator_t;

/* Appends the placer's latest reason for a job that waits; may append none. */
typedef void operator_explain_t(void *ctx, const char *job, GString *out);

operator_t *operator_create(struct ev_loop *loop, const settings_t *settings,
    replica_t *replica, mem_budget_t *memory, err_t *err);
void operator_destroy(operator_t *op);
void operator_set_explain(
    operator_t *op, operator_explain_t *explain, void *ctx);
/*
 * Sets what is called from the loop once an operator's drain of this instance
 * in this incarnation is in the log.
 */
void operator_set_drain(
    operator_t *op, uint64_t incarnation, void (*drain)(void *ctx), void *ctx);
/* To be called for each applied command: counts the objectives, drains. */
void operator_applied(
    operator_t *op, const command_t *command, const command_result_t *result);
uint16_t operator_port(const operator_t *op);
