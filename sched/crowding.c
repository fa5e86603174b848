#include "sched/crowding.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Interference changes within seconds. */
#define HALF_LIFE_MS 5000.0
/* Samples further apart are of different conditions. */
#define MAX_SAMPLE_GAP_MS 4000
/* Smaller changes of a share tell nothing. */
#define MIN_SHARE_CHANGE 0.02
/* Limits what one sample may claim, a factor of 4. */
#define MAX_LEVEL_CHANGE 1.4
/* Weight of the priors, in squared shares. */
#define PRESSURE_PRIOR 0.01
#define SENSITIVITY_PRIOR 0.01
#define PAIR_PRIOR 0.02
#define MAX_PRESSURE 5.0
#define MAX_SENSITIVITY 4.0
/* Evidence that suffices to act on. */
#define MIN_SAMPLES 4.0
#define MIN_STANDARD_ERRORS 3.0
#define PAIRS_PER_KIND 2
#define PERCENT 100
#define MAX_SLOWDOWN_PERCENT 1000

/* Weighted least squares through the origin, with forgetting. */
typedef struct {
	double xy;
	double xx;
	double residuals; /* sum of their squares */
	double samples;
} fit_t;

typedef struct {
	crowding_kind_t kind;
	char *name;
	int64_t seen_ms; /* made known or learned about */
	int64_t aged_ms; /* the fits hold for that time */
	fit_t pressure;
	fit_t sensitivity;
} entry_t;

/* How tasks of one kind react to neighbours of another one. */
typedef struct {
	crowding_kind_t kinds[2]; /* of the task, of its neighbour */
	int64_t aged_ms;
	fit_t fit;
} pair_t;

struct crowding_t {
	GHashTable *entries; /* kind -> entry_t */
	GHashTable *pairs;   /* kinds -> pair_t */
	size_t max_kinds;
};

static void
entry_free(void *data)
{
	entry_t *entry = data;

	g_free(entry->name);
	g_free(entry);
}

static guint
pair_hash(const void *key)
{
	return (guint)XXH3_64bits(key, sizeof(crowding_kind_t[2]));
}

static gboolean
pair_equal(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(crowding_kind_t[2])) == 0;
}

/* Creates an estimate that knows at most max_kinds kinds of task. */
crowding_t *
crowding_create(size_t max_kinds)
{
	crowding_t *crowding = g_new0(crowding_t, 1);

	crowding->entries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, entry_free);
	crowding->pairs =
	    g_hash_table_new_full(pair_hash, pair_equal, NULL, g_free);
	crowding->max_kinds = max_kinds;
	return crowding;
}

/* Frees the estimate; NULL is allowed. */
void
crowding_destroy(crowding_t *crowding)
{
	if (crowding == NULL)
		return;
	g_hash_table_unref(crowding->entries);
	g_hash_table_unref(crowding->pairs);
	g_free(crowding);
}

/* Returns how many kinds are known. */
size_t
crowding_size(const crowding_t *crowding)
{
	return g_hash_table_size(crowding->entries);
}

/* ---- kinds ---- */

/* Removes the kind that was not seen for the longest time. */
static void
remove_oldest(crowding_t *crowding)
{
	const entry_t *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, crowding->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;

		if (oldest == NULL || entry->seen_ms < oldest->seen_ms)
			oldest = entry;
	}
	if (oldest != NULL)
		g_hash_table_remove(crowding->entries, &oldest->kind);
}

static entry_t *
find_entry(const crowding_t *crowding, crowding_kind_t kind)
{
	return g_hash_table_lookup(crowding->entries, &kind);
}

/* Adds the kind if it is new; the one not seen for longest makes room. */
crowding_kind_t
crowding_kind(crowding_t *crowding, const char *name, int64_t now_ms)
{
	crowding_kind_t kind = MAX(XXH3_64bits(name, strlen(name)), 1);
	entry_t *entry = find_entry(crowding, kind);

	if (entry != NULL) {
		entry->seen_ms = now_ms;
		return kind;
	}
	if (crowding_size(crowding) >= crowding->max_kinds)
		remove_oldest(crowding);
	entry = g_new0(entry_t, 1);
	entry->kind = kind;
	entry->name = g_strdup(name);
	entry->seen_ms = now_ms;
	entry->aged_ms = now_ms;
	g_hash_table_insert(crowding->entries, &entry->kind, entry);
	return kind;
}

/* ---- fits ---- */

static fit_t
aged_fit(const fit_t *fit, double factor)
{
	return (fit_t){
	    .xy = fit->xy * factor,
	    .xx = fit->xx * factor,
	    .residuals = fit->residuals * factor,
	    .samples = fit->samples * factor,
	};
}

/* Returns the part of the evidence of an earlier time that is left by now. */
static double
age_factor(int64_t aged_ms, int64_t now_ms)
{
	int64_t age_ms = MAX(now_ms - aged_ms, 0);

	return exp2(-(double)age_ms / HALF_LIFE_MS);
}

static void
age_entry(entry_t *entry, int64_t now_ms)
{
	double factor = age_factor(entry->aged_ms, now_ms);

	entry->pressure = aged_fit(&entry->pressure, factor);
	entry->sensitivity = aged_fit(&entry->sensitivity, factor);
	entry->aged_ms = MAX(entry->aged_ms, now_ms);
	entry->seen_ms = MAX(entry->seen_ms, now_ms);
}

/* Returns the slope; without evidence it is that of the prior. */
static double
fit_slope(const fit_t *fit, double prior, double prior_weight, double max)
{
	double slope =
	    (fit->xy + prior * prior_weight) / (fit->xx + prior_weight);

	return CLAMP(slope, -max, max);
}

static void
fit_add(fit_t *fit, double x, double y, double slope)
{
	double residual = y - slope * x;

	fit->xy += x * y;
	fit->xx += x * x;
	fit->residuals += residual * residual;
	fit->samples += 1;
}

static double
pressure_of(const fit_t *fit)
{
	return fit_slope(fit, 0, PRESSURE_PRIOR, MAX_PRESSURE);
}

static double
sensitivity_of(const fit_t *fit)
{
	return MAX(fit_slope(fit, 1, SENSITIVITY_PRIOR, MAX_SENSITIVITY), 0);
}

/* Whether the slope is positive beyond what noise explains. */
static bool
slope_is_certain(const fit_t *fit, double slope)
{
	double variance;

	if (fit->samples < MIN_SAMPLES || fit->xx <= 0)
		return false;
	variance = fit->residuals / fit->samples / fit->xx;
	return slope > MIN_STANDARD_ERRORS * sqrt(variance);
}

static bool
pressure_is_certain(const fit_t *fit)
{
	return slope_is_certain(fit, pressure_of(fit));
}

static bool
sensitivity_is_certain(const fit_t *fit)
{
	return fit->xx > SENSITIVITY_PRIOR;
}

static fit_t
pressure_at(const entry_t *entry, int64_t now_ms)
{
	return aged_fit(&entry->pressure, age_factor(entry->aged_ms, now_ms));
}

static fit_t
sensitivity_at(const entry_t *entry, int64_t now_ms)
{
	return aged_fit(
	    &entry->sensitivity, age_factor(entry->aged_ms, now_ms));
}

/* ---- pairs ---- */

/* What is believed of a task and a neighbour. */
typedef struct {
	double slope; /* change of level for the share of a whole worker */
	double samples;
	bool certain; /* the evidence suffices to act on it */
} reaction_t;

static pair_t *
find_pair(
    const crowding_t *crowding, crowding_kind_t task, crowding_kind_t neighbour)
{
	crowding_kind_t kinds[2] = {task, neighbour};

	return g_hash_table_lookup(crowding->pairs, kinds);
}

static void
remove_oldest_pair(crowding_t *crowding)
{
	const pair_t *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, crowding->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pair_t *pair = value;

		if (oldest == NULL || pair->aged_ms < oldest->aged_ms)
			oldest = pair;
	}
	if (oldest != NULL)
		g_hash_table_remove(crowding->pairs, oldest->kinds);
}

/* Returns the pair with its evidence aged, adding it if it is not known. */
static pair_t *
touch_pair(crowding_t *crowding, crowding_kind_t task,
    crowding_kind_t neighbour, int64_t now_ms)
{
	pair_t *pair = find_pair(crowding, task, neighbour);

	if (pair == NULL) {
		if (g_hash_table_size(crowding->pairs) >=
		    crowding->max_kinds * PAIRS_PER_KIND)
			remove_oldest_pair(crowding);
		pair = g_new0(pair_t, 1);
		pair->kinds[0] = task;
		pair->kinds[1] = neighbour;
		g_hash_table_insert(crowding->pairs, pair->kinds, pair);
	}
	pair->fit = aged_fit(&pair->fit, age_factor(pair->aged_ms, now_ms));
	pair->aged_ms = MAX(pair->aged_ms, now_ms);
	return pair;
}

/*
 * Returns what is believed of a pair: what it has shown itself, with the
 * product of sensitivity and pressure as the prior.
 */
static reaction_t
reaction_of(const crowding_t *crowding, const entry_t *task,
    const entry_t *neighbour, int64_t now_ms)
{
	const pair_t *pair = find_pair(crowding, task->kind, neighbour->kind);
	fit_t sensitivity = sensitivity_at(task, now_ms);
	fit_t pressure = pressure_at(neighbour, now_ms);
	double product = sensitivity_of(&sensitivity) * pressure_of(&pressure);
	reaction_t reaction = {
	    .slope = product,
	    .samples = pressure.samples,
	    .certain = sensitivity_is_certain(&sensitivity) &&
		       pressure_is_certain(&pressure),
	};
	fit_t fit;

	if (pair == NULL)
		return reaction;
	fit = aged_fit(&pair->fit, age_factor(pair->aged_ms, now_ms));
	reaction.slope = fit_slope(&fit, product, PAIR_PRIOR, MAX_PRESSURE);
	if (fit.samples >= MIN_SAMPLES) {
		reaction.samples = fit.samples;
		reaction.certain = slope_is_certain(&fit, reaction.slope);
	}
	return reaction;
}

/* ---- learning ---- */

/* A neighbour that is known and whose share has changed. */
typedef struct {
	entry_t *entry;
	double change;
} change_t;

typedef struct {
	change_t items[2 * CROWDING_MAX_NEIGHBOURS];
	size_t count;
} changes_t;

static double
share_of(const crowding_sample_t *sample, crowding_kind_t kind)
{
	for (size_t i = 0; i < sample->count; i++) {
		if (sample->neighbours[i].kind == kind)
			return sample->neighbours[i].share;
	}
	return 0;
}

static void
add_change(const crowding_t *crowding, changes_t *changes, crowding_kind_t kind,
    double change)
{
	entry_t *entry = find_entry(crowding, kind);

	if (entry == NULL || fabs(change) < MIN_SHARE_CHANGE)
		return;
	changes->items[changes->count++] = (change_t){entry, change};
}

/* Collects the neighbours whose share differs between the samples. */
static void
find_changes(const crowding_t *crowding, const crowding_sample_t *before,
    const crowding_sample_t *after, changes_t *changes)
{
	changes->count = 0;
	for (size_t i = 0; i < after->count; i++) {
		crowding_kind_t kind = after->neighbours[i].kind;

		add_change(crowding, changes, kind,
		    after->neighbours[i].share - share_of(before, kind));
	}
	for (size_t i = 0; i < before->count; i++) {
		crowding_kind_t kind = before->neighbours[i].kind;

		if (share_of(after, kind) == 0)
			add_change(crowding, changes, kind,
			    -before->neighbours[i].share);
	}
}

/* Returns the change of level that the changes should have caused. */
static double
expected_change(const crowding_t *crowding, const entry_t *task,
    const changes_t *changes, int64_t now_ms)
{
	double sum = 0;

	for (size_t i = 0; i < changes->count; i++)
		sum +=
		    reaction_of(crowding, task, changes->items[i].entry, now_ms)
			.slope *
		    changes->items[i].change;
	return sum;
}

/*
 * Attributes to one neighbour the part of the change of level that the others
 * do not account for.
 */
static void
learn_from_neighbour(crowding_t *crowding, entry_t *task,
    const change_t *neighbour, double change, int64_t now_ms)
{
	entry_t *entry = neighbour->entry;
	pair_t *pair = touch_pair(crowding, task->kind, entry->kind, now_ms);
	reaction_t reaction = reaction_of(crowding, task, entry, now_ms);
	double sensitivity = sensitivity_of(&task->sensitivity);
	double pressure;

	age_entry(entry, now_ms);
	pressure = pressure_of(&entry->pressure);
	fit_add(&pair->fit, neighbour->change, change, reaction.slope);
	fit_add(&entry->pressure, sensitivity * neighbour->change, change,
	    pressure);
	fit_add(&task->sensitivity, pressure * neighbour->change, change,
	    sensitivity);
}

/* Attributes the change of level to each neighbour that has changed. */
bool
crowding_learn(crowding_t *crowding, crowding_kind_t kind,
    const crowding_sample_t *before, const crowding_sample_t *after)
{
	entry_t *task = find_entry(crowding, kind);
	int64_t now_ms = after->at_ms;
	double change = CLAMP(
	    after->level - before->level, -MAX_LEVEL_CHANGE, MAX_LEVEL_CHANGE);
	changes_t changes;

	if (task == NULL || before->at_ms == 0 ||
	    now_ms - before->at_ms > MAX_SAMPLE_GAP_MS)
		return false;
	find_changes(crowding, before, after, &changes);
	if (changes.count == 0)
		return false;
	age_entry(task, now_ms);
	for (size_t i = 0; i < changes.count; i++) {
		const change_t *neighbour = &changes.items[i];
		double own =
		    reaction_of(crowding, task, neighbour->entry, now_ms)
			.slope *
		    neighbour->change;
		double others =
		    expected_change(crowding, task, &changes, now_ms) - own;

		learn_from_neighbour(
		    crowding, task, neighbour, change - others, now_ms);
	}
	return true;
}

/* ---- reading ---- */

int
crowding_percent_of_level(double level)
{
	return (int)lround(
	    CLAMP(expm1(level) * PERCENT, 0, MAX_SLOWDOWN_PERCENT));
}

double
crowding_reaction(const crowding_t *crowding, crowding_kind_t kind,
    crowding_kind_t neighbour, int64_t now_ms)
{
	const entry_t *task = find_entry(crowding, kind);
	const entry_t *other = find_entry(crowding, neighbour);
	reaction_t reaction;

	if (task == NULL || other == NULL)
		return 0;
	reaction = reaction_of(crowding, task, other, now_ms);
	return reaction.certain ? reaction.slope : 0;
}

/*
 * Returns by how many percent a task is slowed down by neighbours of one kind
 * with that share of its worker; 0 without sufficient evidence.
 */
int
crowding_slowdown_percent(const crowding_t *crowding, crowding_kind_t kind,
    const crowding_neighbour_t *neighbour, int64_t now_ms)
{
	return crowding_percent_of_level(
	    crowding_reaction(crowding, kind, neighbour->kind, now_ms) *
	    neighbour->share);
}

/* See crowding.h; a cheap test before the pairs are looked at. */
bool
crowding_has_evidence(
    const crowding_t *crowding, crowding_kind_t kind, int64_t now_ms)
{
	const entry_t *entry = find_entry(crowding, kind);
	fit_t sensitivity;
	fit_t pressure;

	if (entry == NULL)
		return false;
	sensitivity = sensitivity_at(entry, now_ms);
	pressure = pressure_at(entry, now_ms);
	return sensitivity_is_certain(&sensitivity) ||
	       pressure.samples >= MIN_SAMPLES;
}

static crowding_row_t
make_row(const crowding_t *crowding, const pair_t *pair, int64_t now_ms)
{
	const entry_t *task = find_entry(crowding, pair->kinds[0]);
	const entry_t *neighbour = find_entry(crowding, pair->kinds[1]);
	reaction_t reaction;

	if (task == NULL || neighbour == NULL)
		return (crowding_row_t){0};
	reaction = reaction_of(crowding, task, neighbour, now_ms);
	return (crowding_row_t){
	    .task = task->name,
	    .neighbour = neighbour->name,
	    .slowdown_percent = crowding_percent_of_level(reaction.slope),
	    .samples = reaction.samples,
	    .certain = reaction.certain,
	};
}

/* Keeps the rows sorted by insertion. */
size_t
crowding_worst(const crowding_t *crowding, int64_t now_ms, crowding_row_t *rows,
    size_t max_rows)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, crowding->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		crowding_row_t row = make_row(crowding, value, now_ms);
		size_t i = count;

		if (!row.certain)
			continue;
		while (i > 0 &&
		       row.slowdown_percent > rows[i - 1].slowdown_percent) {
			if (i < max_rows)
				rows[i] = rows[i - 1];
			i--;
		}
		if (i < max_rows)
			rows[i] = row;
		count = MIN(count + 1, max_rows);
	}
	return count;
}
