#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * How fast the error budgets of the objectives are used up.  Any task counts
 * events by objective_count; once a minute their increase is put into a bucket.
 */
#define OBJECTIVE_SERVICE_AT_PEAK "service_at_peak"
#define OBJECTIVE_HEAD_OF_LINE "head_of_line"
#define OBJECTIVE_GUARANTEES "guarantees"
#define OBJECTIVE_CONFIG_IN_FORCE "config_in_force"

typedef struct burn_t burn_t;

/* Counts n events; cause (of [a-z0-9_]) says why bad ones were bad. */
void objective_count(
    const char *objective, bool good, const char *cause, int64_t n);

burn_t *burn_create(int64_t now_ms);
void burn_destroy(burn_t *burn);
void burn_sample(burn_t *burn, int64_t now_ms);
json_t *burn_report(
    const burn_t *burn, const json_t *objectives, int64_t now_ms);
void burn_html(
    const burn_t *burn, const json_t *objectives, int64_t now_ms, GString *out);
