#include "policy/limiter.h"

#include <glib.h>
#include <math.h>

typedef struct {
	double millitokens; /* stays exact at whole rates */
	int64_t filled_ms;
} bucket_t;

struct limiter_t {
	GHashTable *buckets;
};

/* Creates a limiter without buckets; each is full when it is first used. */
limiter_t *
limiter_create(void)
{
	limiter_t *limiter = g_new0(limiter_t, 1);

	limiter->buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limiter;
}

/* Ends a limiter. */
void
limiter_destroy(limiter_t *limiter)
{
	if (limiter == NULL)
		return;
	g_hash_table_unref(limiter->buckets);
	g_free(limiter);
}

/*
 * Takes one token of the tenant.  Returns 0, or how many ms to wait until there
 * is one.  The rate and the burst may change from call to call.
 */
int64_t
limiter_take(limiter_t *limiter, const char *tenant, double rate_per_s,
    double burst, int64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(limiter->buckets, tenant);
	int64_t passed_ms;

	if (bucket == NULL) {
		bucket = g_new0(bucket_t, 1);
		bucket->millitokens = burst * 1e3;
		bucket->filled_ms = now_ms;
		g_hash_table_insert(limiter->buckets, g_strdup(tenant), bucket);
	}
	passed_ms = MAX(now_ms - bucket->filled_ms, 0);
	bucket->millitokens = MIN(
	    burst * 1e3, bucket->millitokens + (double)passed_ms * rate_per_s);
	bucket->filled_ms = now_ms;
	if (bucket->millitokens >= 1e3) {
		bucket->millitokens -= 1e3;
		return 0;
	}
	if (rate_per_s <= 0)
		return G_MAXINT32;
	return (int64_t)ceil((1e3 - bucket->millitokens) / rate_per_s);
}
