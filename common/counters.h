#pragma once

#include <glib.h>
#include <stdint.h>

/*
 * Counters, gauges and latency histograms of one process.  Each belongs to one
 * thread, which is the only one to change it; the registry is read on the main
 * thread.  Labels are part of the name, as in requests_total{lane="short"}.
 */
typedef struct counter_t counter_t;
typedef struct histogram_t histogram_t;

counter_t *counter_get(const char *name, const char *help);
counter_t *gauge_get(const char *name, const char *help);
void counter_add(counter_t *counter, int64_t n);
void counter_set(counter_t *counter, int64_t value);
int64_t counter_value(const counter_t *counter);

histogram_t *histogram_get(const char *name, const char *help);
histogram_t *histogram_create(void);
void histogram_destroy(histogram_t *histogram);
void histogram_record(histogram_t *histogram, int64_t value_us);
int64_t histogram_quantile(const histogram_t *histogram, double quantile);
int64_t histogram_count(const histogram_t *histogram);
int64_t histogram_count_above(const histogram_t *histogram, int64_t value_us);
double histogram_mean(const histogram_t *histogram);

void counters_export(GString *out);
void counters_each(
    void (*visit)(void *ctx, const char *name, int64_t value), void *ctx);
void counters_reset(void);
