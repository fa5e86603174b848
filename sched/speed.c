#include "sched/speed.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define PERCENT 100
/* Observations count for so long. */
#define EVIDENCE_MS 120000
/* Weight of those that it takes to judge a worker: one may be a straggler. */
#define MIN_WEIGHT 4
/*
 * A slow or fast worker counts as usual again below the limit by this
 * logarithm: log(1.2).
 */
#define RECOVERY 0.182
/* A kind tells something if that many workers have tasks of it. */
#define MIN_WORKERS 3
/*
 * Largest logarithm by which three quarters of the tasks of a family differ
 * from the mean of their kind on the same worker: log(1.25).  Those of other
 * families are of unequal length.
 */
#define MAX_DEVIATION 0.223
/* Tasks on workers with several of a kind that it takes to tell so. */
#define MIN_DEVIATIONS 12
/* The estimates settle quickly, as they begin with the last ones. */
#define ITERATIONS 5
#define MAX_SPEED_PERCENT 1000

/* An observation of the workers that are compared. */
typedef struct {
	uint64_t family;
	uint64_t kind;
	size_t worker;
	double log_ms;
	int weight;
} entry_t;

/* The inputs and state of one fit. */
typedef struct {
	speed_history_t *const *histories;
	size_t count;
	entry_t *entries; /* sorted by family, kind and worker */
	size_t entry_count;
	GArray *ratios; /* double, logarithms; by worker, SPEED_OBSERVATIONS */
	guint *ratio_count; /* by worker */
	int *weight;        /* by worker */
	double *scratch;    /* of entry_count */
} fit_t;

/* Records an observation in place of that of the same task, or of the oldest.
 */
void
speed_observe(speed_history_t *history, const speed_observation_t *observation)
{
	speed_observation_t *slot = &history->observations[0];

	for (size_t i = 0; i < SPEED_OBSERVATIONS; i++) {
		speed_observation_t *other = &history->observations[i];

		if (other->task == observation->task) {
			slot = other;
			break;
		}
		if (other->seen_ms < slot->seen_ms)
			slot = other;
	}
	*slot = *observation;
}

/* ---- medians ---- */

static int
compare_doubles(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

/* Sorts the values, of which there is at least one. */
static double
median(double *values, size_t count)
{
	qsort(values, count, sizeof(*values), compare_doubles);
	if (count % 2 == 1)
		return values[count / 2];
	return (values[count / 2 - 1] + values[count / 2]) / 2;
}

/* ---- kinds ---- */

static int
compare_entries(const void *a, const void *b)
{
	const entry_t *first = a;
	const entry_t *second = b;

	if (first->family != second->family)
		return first->family < second->family ? -1 : 1;
	if (first->kind != second->kind)
		return first->kind < second->kind ? -1 : 1;
	return (first->worker > second->worker) -
	       (first->worker < second->worker);
}

/* Returns the end of the entries from first that are of one family. */
static size_t
family_end(const fit_t *fit, size_t first)
{
	size_t end = first;

	while (end < fit->entry_count &&
	       fit->entries[end].family == fit->entries[first].family)
		end++;
	return end;
}

static bool
is_same_kind(const entry_t *entry, const entry_t *other)
{
	return entry->family == other->family && entry->kind == other->kind;
}

/* Returns the end of the entries from first that are of one kind. */
static size_t
kind_end(const fit_t *fit, size_t first)
{
	size_t end = first;

	while (end < fit->entry_count &&
	       is_same_kind(&fit->entries[end], &fit->entries[first]))
		end++;
	return end;
}

/* Returns the end of those of one kind that are of one worker. */
static size_t
worker_end(const fit_t *fit, size_t first, size_t end)
{
	size_t at = first;

	while (at < end &&
	       is_same_kind(&fit->entries[at], &fit->entries[first]) &&
	       fit->entries[at].worker == fit->entries[first].worker)
		at++;
	return at;
}

/*
 * Appends how much the tasks of one worker differ from their mean, which does
 * not depend on its speed; the less there are, the closer they are to it.
 */
static size_t
add_deviations(fit_t *fit, size_t first, size_t end, size_t count)
{
	double tasks = (double)(end - first);
	double mean = 0;

	if (end - first < 2)
		return count;
	for (size_t i = first; i < end; i++)
		mean += fit->entries[i].log_ms / tasks;
	for (size_t i = first; i < end; i++)
		fit->scratch[count++] = fabs(fit->entries[i].log_ms - mean) *
					sqrt(tasks / (tasks - 1));
	return count;
}

/* Whether tasks of one kind are of about equal length in the family. */
static bool
is_even_family(fit_t *fit, size_t first, size_t end)
{
	size_t count = 0;

	if (fit->entries[first].weight == SPEED_WEIGHT_GANG)
		return true;
	for (size_t at = first; at < end;) {
		size_t next = worker_end(fit, at, end);

		count = add_deviations(fit, at, next, count);
		at = next;
	}
	if (count < MIN_DEVIATIONS)
		return false;
	qsort(fit->scratch, count, sizeof(*fit->scratch), compare_doubles);
	return fit->scratch[count * 3 / 4] <= MAX_DEVIATION;
}

/* Whether several workers have tasks of the kind. */
static bool
is_spread(const fit_t *fit, size_t first, size_t end)
{
	size_t workers = 0;

	for (size_t at = first; at < end; workers++)
		at = worker_end(fit, at, end);
	return workers >= MIN_WORKERS;
}

/* Keeps the entries of kinds that tell something about workers. */
static void
drop_kinds(fit_t *fit)
{
	size_t kept = 0;
	size_t family = 0; /* the next one begins here */
	bool is_even = false;
	size_t next;

	for (size_t first = 0; first < fit->entry_count; first = next) {
		if (first == family) {
			family = family_end(fit, first);
			is_even = is_even_family(fit, first, family);
		}
		next = kind_end(fit, first);
		if (!is_even || !is_spread(fit, first, next))
			continue;
		memmove(&fit->entries[kept], &fit->entries[first],
		    (next - first) * sizeof(entry_t));
		kept += next - first;
	}
	fit->entry_count = kept;
}

/* ---- the fit ---- */

static bool
is_recent(const speed_observation_t *observation, int64_t now_ms)
{
	return observation->task != 0 &&
	       now_ms - observation->seen_ms < EVIDENCE_MS;
}

static void
add_entries(fit_t *fit, size_t worker, int64_t now_ms)
{
	speed_history_t *history = fit->histories[worker];

	for (size_t i = 0; i < SPEED_OBSERVATIONS; i++) {
		const speed_observation_t *observation =
		    &history->observations[i];

		if (!is_recent(observation, now_ms))
			continue;
		fit->entries[fit->entry_count++] = (entry_t){
		    .family = observation->family,
		    .kind = observation->kind,
		    .worker = worker,
		    .log_ms = log((double)MAX(observation->full_ms, 1)),
		    .weight = observation->weight,
		};
	}
}

/* Stores what each entry of a kind says of its worker. */
static void
add_ratios(fit_t *fit, size_t first, size_t end)
{
	double length;

	for (size_t i = first; i < end; i++)
		fit->scratch[i - first] =
		    fit->entries[i].log_ms +
		    fit->histories[fit->entries[i].worker]->log_speed;
	length = median(fit->scratch, end - first);
	for (size_t i = first; i < end; i++) {
		size_t worker = fit->entries[i].worker;
		guint at = fit->ratio_count[worker]++;

		g_array_index(
		    fit->ratios, double, worker *SPEED_OBSERVATIONS + at) =
		    length - fit->entries[i].log_ms;
		fit->weight[worker] += fit->entries[i].weight;
	}
}

/* Makes the median of the workers with evidence the usual speed. */
static void
centre(fit_t *fit)
{
	double *speeds = g_new(double, fit->count + 1);
	size_t count = 0;
	double usual;

	for (size_t i = 0; i < fit->count; i++) {
		if (fit->weight[i] > 0)
			speeds[count++] = fit->histories[i]->log_speed;
	}
	usual = count > 0 ? median(speeds, count) : 0;
	for (size_t i = 0; i < fit->count; i++) {
		if (fit->weight[i] > 0)
			fit->histories[i]->log_speed -= usual;
	}
	g_free(speeds);
}

/* Estimates the lengths of the kinds from the speeds, and these from them. */
static void
iterate(fit_t *fit)
{
	memset(fit->ratio_count, 0, fit->count * sizeof(*fit->ratio_count));
	memset(fit->weight, 0, fit->count * sizeof(*fit->weight));
	for (size_t first = 0; first < fit->entry_count;) {
		size_t end = kind_end(fit, first);

		add_ratios(fit, first, end);
		first = end;
	}
	for (size_t i = 0; i < fit->count; i++) {
		double *ratios =
		    &g_array_index(fit->ratios, double, i *SPEED_OBSERVATIONS);

		if (fit->ratio_count[i] > 0)
			fit->histories[i]->log_speed =
			    median(ratios, fit->ratio_count[i]);
	}
	centre(fit);
}

/* Whether three quarters of what is known of a worker is on one side. */
static bool
is_agreed(const double *ratios, guint count, double limit)
{
	guint beyond = 0;

	for (guint i = 0; i < count; i++)
		beyond += limit < 0 ? ratios[i] < limit : ratios[i] > limit;
	return beyond * 4 >= count * 3;
}

/* Whether anything was observed that still counts. */
static bool
has_evidence(const speed_history_t *history, int64_t now_ms)
{
	for (size_t i = 0; i < SPEED_OBSERVATIONS; i++) {
		if (is_recent(&history->observations[i], now_ms))
			return true;
	}
	return false;
}

/*
 * Judges a worker: it is slow or fast beyond the limit, with hysteresis.  One
 * that cannot be compared now stays what it was while its evidence counts.
 */
static void
judge(const fit_t *fit, size_t worker, int slow_percent, int64_t now_ms)
{
	speed_history_t *history = fit->histories[worker];
	const double *ratios =
	    &g_array_index(fit->ratios, double, worker *SPEED_OBSERVATIONS);
	double speed = history->log_speed;
	double limit = -log((double)slow_percent / PERCENT);

	if (!has_evidence(history, now_ms)) {
		history->log_speed = 0;
		history->percent = 0;
	}
	if (fit->weight[worker] < MIN_WEIGHT)
		return;
	if (history->percent > 0)
		limit -= MIN(limit, RECOVERY);
	else if (!is_agreed(ratios, fit->ratio_count[worker],
		     speed < 0 ? -limit : limit))
		limit = INFINITY;
	history->percent = 0;
	if (fabs(speed) > limit)
		history->percent = (int)CLAMP(
		    exp(speed) * PERCENT, 1, (double)MAX_SPEED_PERCENT);
}

void
speed_fit(speed_history_t *const *histories, size_t count, int slow_percent,
    int64_t now_ms)
{
	size_t most = count * SPEED_OBSERVATIONS;
	fit_t fit = {
	    .histories = histories,
	    .count = count,
	    .entries = g_new(entry_t, most + 1),
	    .ratios = g_array_sized_new(
		FALSE, FALSE, sizeof(double), (guint)most + 1),
	    .ratio_count = g_new0(guint, count + 1),
	    .weight = g_new0(int, count + 1),
	    .scratch = g_new(double, most + 1),
	};

	g_array_set_size(fit.ratios, (guint)most);
	for (size_t i = 0; i < count; i++)
		add_entries(&fit, i, now_ms);
	qsort(fit.entries, fit.entry_count, sizeof(entry_t), compare_entries);
	drop_kinds(&fit);
	for (int i = 0; i < ITERATIONS; i++)
		iterate(&fit);
	for (size_t i = 0; i < count; i++)
		judge(&fit, i, slow_percent, now_ms);
	g_free(fit.entries);
	g_array_unref(fit.ratios);
	g_free(fit.ratio_count);
	g_free(fit.weight);
	g_free(fit.scratch);
}
