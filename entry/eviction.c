#include "entry/eviction.h"

#include <glib.h>
#include <stdlib.h>

#include "common/clock.h"

/* Callers give up after 3 s; a pause of theirs or ours may come on top. */
#define TRANSFER_GRACE_MS 10000
/* A tenth of the slowest link that is supported, 1.5 Mbit/s. */
#define MIN_BYTES_PER_S 18000

static bool
is_eligible(const eviction_candidate_t *candidate, eviction_reason_t reason,
    int64_t before_ms)
{
	return candidate->may_go && candidate->since_ms < before_ms &&
	       (reason == EVICT_FOR_CONNECTION || candidate->held_bytes > 0);
}

/* What each source takes, by its address in the candidates. */
static GHashTable *
weigh_sources(const eviction_candidate_t *candidates, size_t count,
    eviction_reason_t reason)
{
	GHashTable *weights = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (size_t i = 0; i < count; i++) {
		const uint64_t *source = &candidates[i].source;
		size_t weight =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(weights, source));

		weight +=
		    reason == EVICT_FOR_BYTES ? candidates[i].held_bytes : 1;
		g_hash_table_insert(
		    weights, (gpointer)source, GSIZE_TO_POINTER(weight));
	}
	return weights;
}

/* An eligible client and what its source takes. */
typedef struct {
	size_t index;
	size_t weight;
	int64_t since_ms;
} ranked_t;

static int
compare_ranked(const void *a, const void *b)
{
	const ranked_t *left = a;
	const ranked_t *right = b;

	if (left->weight != right->weight)
		return left->weight > right->weight ? -1 : 1;
	if (left->since_ms != right->since_ms)
		return left->since_ms < right->since_ms ? -1 : 1;
	return left->index < right->index ? -1 : left->index > right->index;
}

size_t
eviction_choose(const eviction_candidate_t *candidates, size_t count,
    eviction_reason_t reason, int64_t before_ms, size_t *chosen,
    size_t max_chosen)
{
	GHashTable *weights = weigh_sources(candidates, count, reason);
	ranked_t *ranked = g_new(ranked_t, count + 1);
	size_t eligible = 0;

	for (size_t i = 0; i < count; i++) {
		if (!is_eligible(&candidates[i], reason, before_ms))
			continue;
		ranked[eligible++] = (ranked_t){
		    .index = i,
		    .weight = GPOINTER_TO_SIZE(
			g_hash_table_lookup(weights, &candidates[i].source)),
		    .since_ms = candidates[i].since_ms,
		};
	}
	qsort(ranked, eligible, sizeof(*ranked), compare_ranked);
	eligible = MIN(eligible, max_chosen);
	for (size_t i = 0; i < eligible; i++)
		chosen[i] = ranked[i].index;
	g_free(ranked);
	g_hash_table_unref(weights);
	return eligible;
}

bool
eviction_is_too_slow(size_t bytes, int64_t elapsed_ms)
{
	int64_t late_ms = elapsed_ms - TRANSFER_GRACE_MS;

	return late_ms > 0 &&
	       (int64_t)bytes < late_ms * MIN_BYTES_PER_S / CLOCK_MS_PER_S;
}

int64_t
eviction_transfer_ms(size_t bytes)
{
	return (int64_t)bytes * CLOCK_MS_PER_S / MIN_BYTES_PER_S;
}
