#include "common/counters.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* 16 buckets per doubling bound the error of a quantile to 1/16. */
#define BUCKETS_PER_OCTAVE 16
#define OCTAVES 40 /* up to 2^40 us, about 12 days */
#define BUCKET_COUNT (BUCKETS_PER_OCTAVE * OCTAVES)

struct counter_t {
	char *name;
	const char *help;
	_Atomic int64_t value;
	bool is_gauge;
};

struct histogram_t {
	char *name;
	const char *help;
	int64_t count;
	int64_t sum_us;
	int64_t buckets[BUCKET_COUNT];
};

static GPtrArray *counters;
static GPtrArray *histograms;
static GMutex registry_lock;

static counter_t *
counter_find_or_add(const char *name, const char *help, bool is_gauge)
{
	counter_t *counter;

	g_mutex_lock(&registry_lock);
	if (counters == NULL)
		counters = g_ptr_array_new();
	for (guint i = 0; i < counters->len; i++) {
		counter = g_ptr_array_index(counters, i);
		if (strcmp(counter->name, name) == 0)
			goto done;
	}
	counter = g_new0(counter_t, 1);
	counter->name = g_strdup(name);
	counter->help = help;
	counter->is_gauge = is_gauge;
	g_ptr_array_add(counters, counter);
done:
	g_mutex_unlock(&registry_lock);
	return counter;
}

/*
 * Returns the counter of that name, made on first use.  It lives as long as the
 * process.  The help text must outlive it too.
 */
counter_t *
counter_get(const char *name, const char *help)
{
	return counter_find_or_add(name, help, false);
}

/* Like counter_get for a value that can fall. */
counter_t *
gauge_get(const char *name, const char *help)
{
	return counter_find_or_add(name, help, true);
}

/* Adds n to the counter. */
void
counter_add(counter_t *counter, int64_t n)
{
	counter->value += n;
}

/* Sets a gauge. */
void
counter_set(counter_t *counter, int64_t value)
{
	counter->value = value;
}

/* Returns the present value. */
int64_t
counter_value(const counter_t *counter)
{
	return counter->value;
}

/* Returns a histogram outside the registry; ended by histogram_destroy. */
histogram_t *
histogram_create(void)
{
	return g_new0(histogram_t, 1);
}

/* Ends a histogram made by histogram_create. */
void
histogram_destroy(histogram_t *histogram)
{
	g_free(histogram);
}

/* Returns the registered histogram of that name, made on first use. */
histogram_t *
histogram_get(const char *name, const char *help)
{
	histogram_t *histogram;

	g_mutex_lock(&registry_lock);
	if (histograms == NULL)
		histograms = g_ptr_array_new();
	for (guint i = 0; i < histograms->len; i++) {
		histogram = g_ptr_array_index(histograms, i);
		if (strcmp(histogram->name, name) == 0)
			goto done;
	}
	histogram = histogram_create();
	histogram->name = g_strdup(name);
	histogram->help = help;
	g_ptr_array_add(histograms, histogram);
done:
	g_mutex_unlock(&registry_lock);
	return histogram;
}

/*
 * Maps a value to its bucket: values below BUCKETS_PER_OCTAVE have one each,
 * every later octave is cut into BUCKETS_PER_OCTAVE equal parts.
 */
static int
bucket_of(int64_t value)
{
	int octave;
	int index;

	if (value < BUCKETS_PER_OCTAVE)
		return value < 0 ? 0 : (int)value;
	octave = 63 - __builtin_clzll((unsigned long long)value) - 4;
	index = (int)(value >> octave) - BUCKETS_PER_OCTAVE;
	index += (octave + 1) * BUCKETS_PER_OCTAVE;
	return index < BUCKET_COUNT ? index : BUCKET_COUNT - 1;
}

/* Returns the largest value that falls into the bucket. */
static int64_t
bucket_upper(int index)
{
	int octave;

	if (index < BUCKETS_PER_OCTAVE)
		return index;
	octave = index / BUCKETS_PER_OCTAVE - 1;
	return ((int64_t)(index % BUCKETS_PER_OCTAVE + BUCKETS_PER_OCTAVE + 1)
		   << octave) -
	       1;
}

/* Counts one value, in microseconds. */
void
histogram_record(histogram_t *histogram, int64_t value_us)
{
	histogram->count++;
	histogram->sum_us += value_us;
	histogram->buckets[bucket_of(value_us)]++;
}

/*
 * Returns the upper bound of the bucket that holds the quantile (0..1), in
 * microseconds; 0 when nothing was recorded.
 */
int64_t
histogram_quantile(const histogram_t *histogram, double quantile)
{
	int64_t rank;
	int64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	rank = (int64_t)ceil(quantile * (double)histogram->count);
	if (rank < 1)
		rank = 1;
	for (int i = 0; i < BUCKET_COUNT; i++) {
		seen += histogram->buckets[i];
		if (seen >= rank)
			return bucket_upper(i);
	}
	return bucket_upper(BUCKET_COUNT - 1);
}

/* Returns how many values were recorded. */
int64_t
histogram_count(const histogram_t *histogram)
{
	return histogram->count;
}

/* Returns how many values lie in buckets wholly above value_us. */
int64_t
histogram_count_above(const histogram_t *histogram, int64_t value_us)
{
	int64_t count = 0;

	for (int i = bucket_of(value_us) + 1; i < BUCKET_COUNT; i++)
		count += histogram->buckets[i];
	return count;
}

/* Returns the mean in microseconds, 0 when nothing was recorded. */
double
histogram_mean(const histogram_t *histogram)
{
	if (histogram->count == 0)
		return 0;
	return (double)histogram->sum_us / (double)histogram->count;
}

/* Writes "# HELP" and "# TYPE" for the part of the name before its labels. */
static void
export_header(
    GString *out, const char *name, const char *help, const char *type)
{
	int base_len = (int)strcspn(name, "{");

	g_string_append_printf(
	    out, "# HELP chervilhold_%.*s %s\n", base_len, name, help);
	g_string_append_printf(
	    out, "# TYPE chervilhold_%.*s %s\n", base_len, name, type);
}

static void
export_histogram(GString *out, const histogram_t *histogram)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

	export_header(out, histogram->name, histogram->help, "summary");
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(out,
		    "chervilhold_%s{quantile=\"%g\"} %.6f\n", histogram->name,
		    quantiles[i],
		    (double)histogram_quantile(histogram, quantiles[i]) / 1e6);
	g_string_append_printf(out, "chervilhold_%s_sum %.6f\n",
	    histogram->name, (double)histogram->sum_us / 1e6);
	g_string_append_printf(out, "chervilhold_%s_count %lld\n",
	    histogram->name, (long long)histogram->count);
}

/*
 * Appends every counter and histogram in the Prometheus text format;
 * histograms as summaries in seconds.
 */
void
counters_export(GString *out)
{
	const char *last = "";

	g_mutex_lock(&registry_lock);
	for (guint i = 0; counters != NULL && i < counters->len; i++) {
		const counter_t *counter = g_ptr_array_index(counters, i);
		size_t base_len = strcspn(counter->name, "{");

		/* Series of one family share a single header. */
		if (strncmp(last, counter->name, base_len) != 0 ||
		    strcspn(last, "{") != base_len)
			export_header(out, counter->name, counter->help,
			    counter->is_gauge ? "gauge" : "counter");
		last = counter->name;
		g_string_append_printf(out, "chervilhold_%s %lld\n",
		    counter->name, (long long)counter->value);
	}
	for (guint i = 0; histograms != NULL && i < histograms->len; i++)
		export_histogram(out, g_ptr_array_index(histograms, i));
	g_mutex_unlock(&registry_lock);
}

/* Calls visit with the name and value of every counter and gauge. */
void
counters_each(
    void (*visit)(void *ctx, const char *name, int64_t value), void *ctx)
{
	g_mutex_lock(&registry_lock);
	for (guint i = 0; counters != NULL && i < counters->len; i++) {
		const counter_t *counter = g_ptr_array_index(counters, i);

		visit(ctx, counter->name, counter->value);
	}
	g_mutex_unlock(&registry_lock);
}

/* Sets every counter and histogram to zero; for tests. */
void
counters_reset(void)
{
	g_mutex_lock(&registry_lock);
	for (guint i = 0; counters != NULL && i < counters->len; i++)
		((counter_t *)g_ptr_array_index(counters, i))->value = 0;
	for (guint i = 0; histograms != NULL && i < histograms->len; i++) {
		histogram_t *histogram = g_ptr_array_index(histograms, i);

		histogram->count = 0;
		histogram->sum_us = 0;
		memset(histogram->buckets, 0, sizeof(histogram->buckets));
	}
	g_mutex_unlock(&registry_lock);
}
