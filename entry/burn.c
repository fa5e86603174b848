#include "entry/burn.h"

#include <string.h>

#include "common/counters.h"
#include "entry/burn_private.h"

#define GOOD_PREFIX "objective_good_total{objective=\""
#define BAD_PREFIX "objective_bad_total{objective=\""
#define CAUSE_PART "\",cause=\""
/* Burn rates that use 2 % of a 30 day budget in 1 h and 5 % in 6 h. */
#define PAGE_RATE 14.4
#define TICKET_RATE 6.0

static const struct {
	const char *name;
	int minutes;
} windows[] = {
    {"5m", 5},
    {"1h", 60},
    {"6h", 360},
    {"3d", BURN_MINUTES},
};

/* Counts n events of an objective, with the cause when they were bad. */
void
objective_count(const char *objective, bool good, const char *cause, int64_t n)
{
	char *name;

	if (n <= 0)
		return;
	name = good ? g_strdup_printf(GOOD_PREFIX "%s\"}", objective)
		    : g_strdup_printf(
			  BAD_PREFIX "%s" CAUSE_PART "%s\"}", objective, cause);
	counter_add(counter_get(name, good ? "Events within an objective."
					   : "Events outside an objective."),
	    n);
	g_free(name);
}

static void
series_free(void *data)
{
	series_t *series = data;

	g_ptr_array_unref(series->causes);
	g_free(series);
}

/* Returns an empty record that starts now. */
burn_t *
burn_create(int64_t now_ms)
{
	burn_t *burn = g_new0(burn_t, 1);

	burn->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, series_free);
	burn->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	burn->minute = now_ms / BURN_MINUTE_MS;
	return burn;
}

/* Frees the record; NULL is allowed. */
void
burn_destroy(burn_t *burn)
{
	if (burn == NULL)
		return;
	g_hash_table_unref(burn->series);
	g_hash_table_unref(burn->seen);
	g_free(burn);
}

static series_t *
series_of(burn_t *burn, const char *objective)
{
	series_t *series = g_hash_table_lookup(burn->series, objective);

	if (series == NULL) {
		series = g_new0(series_t, 1);
		series->causes = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(burn->series, g_strdup(objective), series);
	}
	return series;
}

/* Returns the number of a cause; further causes share the last number. */
static guint
cause_of(series_t *series, const char *cause)
{
	for (guint i = 0; i < series->causes->len; i++) {
		if (strcmp(g_ptr_array_index(series->causes, i), cause) == 0)
			return i;
	}
	if (series->causes->len == BURN_MAX_CAUSES)
		return BURN_MAX_CAUSES - 1;
	g_ptr_array_add(series->causes,
	    g_strdup(
		series->causes->len == BURN_MAX_CAUSES - 1 ? "other" : cause));
	return series->causes->len - 1;
}

/* Returns by how much a counter has grown since the last sample. */
static int64_t
growth(burn_t *burn, const char *name, int64_t value)
{
	int64_t *seen = g_hash_table_lookup(burn->seen, name);
	int64_t delta;

	if (seen == NULL) {
		seen = g_new0(int64_t, 1);
		g_hash_table_insert(burn->seen, g_strdup(name), seen);
	}
	delta = value - *seen;
	*seen = value;
	return MAX(delta, 0);
}

static void
add_counter(void *ctx, const char *name, int64_t value)
{
	burn_t *burn = ctx;
	bool good = g_str_has_prefix(name, GOOD_PREFIX);
	bucket_t *bucket;
	series_t *series;
	const char *cause;
	char *objective;
	int64_t delta;

	if (!good && !g_str_has_prefix(name, BAD_PREFIX))
		return;
	delta = growth(burn, name, value);
	if (delta == 0)
		return;
	name += good ? strlen(GOOD_PREFIX) : strlen(BAD_PREFIX);
	objective = g_strndup(name, strcspn(name, "\""));
	series = series_of(burn, objective);
	g_free(objective);
	bucket = &series->buckets[burn->minute % BURN_MINUTES];
	if (good) {
		bucket->good += (uint32_t)delta;
		return;
	}
	cause = strstr(name, CAUSE_PART);
	cause = cause != NULL ? cause + strlen(CAUSE_PART) : "unknown\"";
	objective = g_strndup(cause, strcspn(cause, "\""));
	bucket->bad[cause_of(series, objective)] += (uint32_t)delta;
	g_free(objective);
}

/* Empties the buckets between the last sample and now. */
static void
advance(burn_t *burn, int64_t minute)
{
	GHashTableIter iter;
	void *value;

	if (minute - burn->minute > BURN_MINUTES)
		burn->minute = minute - BURN_MINUTES;
	while (burn->minute < minute) {
		burn->minute++;
		g_hash_table_iter_init(&iter, burn->series);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			series_t *series = value;

			memset(&series->buckets[burn->minute % BURN_MINUTES], 0,
			    sizeof(bucket_t));
		}
	}
}

/*
 * Puts the increase of all counters since the last call into the bucket of the
 * present minute; to be called at least once a minute.
 */
void
burn_sample(burn_t *burn, int64_t now_ms)
{
	advance(burn, now_ms / BURN_MINUTE_MS);
	counters_each(add_counter, burn);
}

/* Sums the events of the minutes (last - minutes, last]. */
void
burn_sum(const series_t *series, int64_t last, int minutes, sum_t *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (int64_t m = last; m > last - minutes && m >= 0; m--) {
		const bucket_t *bucket = &series->buckets[m % BURN_MINUTES];

		sum->good += bucket->good;
		for (int cause = 0; cause < BURN_MAX_CAUSES; cause++) {
			sum->bad += bucket->bad[cause];
			sum->by_cause[cause] += bucket->bad[cause];
		}
	}
}

/* Returns the share of bad events over the share that the target allows. */
double
burn_rate(const sum_t *sum, double target)
{
	int64_t total = sum->good + sum->bad;

	if (total == 0 || target >= 1)
		return 0;
	return (double)sum->bad / (double)total / (1 - target);
}

/* Names the cause of most bad events, "" without any. */
static const char *
worst_cause(const series_t *series, const sum_t *sum)
{
	guint worst = 0;

	for (guint i = 1; i < series->causes->len; i++) {
		if (sum->by_cause[i] > sum->by_cause[worst])
			worst = i;
	}
	if (series->causes->len == 0 || sum->by_cause[worst] == 0)
		return "";
	return g_ptr_array_index(series->causes, worst);
}

/* Builds the report of one objective. */
static json_t *
report_objective(const series_t *series, int64_t minute, const char *name,
    const json_t *objective)
{
	double target = json_number_value(json_object_get(objective, "target"));
	double rates[G_N_ELEMENTS(windows)] = {0};
	json_t *list = json_object();
	const char *cause = "";
	sum_t sum = {0};
	const char *alert = "none";

	for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
		if (series != NULL)
			burn_sum(series, minute, windows[i].minutes, &sum);
		rates[i] = burn_rate(&sum, target);
		json_object_set_new(list, windows[i].name,
		    json_pack("{s:I, s:I, s:f}", "good", (json_int_t)sum.good,
			"bad", (json_int_t)sum.bad, "burn_rate", rates[i]));
	}
	if (series != NULL)
		cause = worst_cause(series, &sum);
	/* The short window shows that it still burns. */
	if (rates[0] > PAGE_RATE && rates[1] > PAGE_RATE)
		alert = "page";
	else if (rates[1] > TICKET_RATE && rates[2] > TICKET_RATE)
		alert = "ticket";
	return json_pack("{s:s, s:f, s:s, s:s, s:o}", "objective", name,
	    "target", target, "alert", alert, "worst_cause", cause, "windows",
	    list);
}

/*
 * Returns {"objectives": [...]} with good and bad events and the burn rate of
 * each window, and the cause with most bad events in the longest window.
 */
json_t *
burn_report(const burn_t *burn, const json_t *objectives, int64_t now_ms)
{
	json_t *list = json_array();
	const char *name;
	json_t *objective;

	json_object_foreach ((json_t *)objectives, name, objective) {
		json_array_append_new(list,
		    report_objective(g_hash_table_lookup(burn->series, name),
			burn->minute, name, objective));
	}
	return json_pack(
	    "{s:I, s:o}", "time_ms", (json_int_t)now_ms, "objectives", list);
}
