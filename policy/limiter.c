#include "policy/limiter.h"

#include <glib.h>
#include <math.h>

typedef struct {
	double millitokens; /* exact for integer rates per second */
	int64_t refilled_ms;
} bucket_t;

struct limiter_t {
	GHashTable *buckets;
};

/* Creates a limiter.  A tenant's bucket is full on first use. */
limiter_t *
limiter_create(void)
{
	limiter_t *limiter = g_new0(limiter_t, 1);

	limiter->buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limiter;
}

void
limiter_destroy(limiter_t *limiter)
{
	if (limiter == NULL)
		return;
	g_hash_table_unref(limiter->buckets);
	g_free(limiter);
}

/*
 * Takes one token from the tenant's bucket.  Returns 0 on success, otherwise
 * the time in ms until a token is available, which is G_MAXINT32 if the rate is
 * not positive.  The rate and the burst (bucket size) may change between calls.
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
		bucket->refilled_ms = now_ms;
		g_hash_table_insert(limiter->buckets, g_strdup(tenant), bucket);
	}
	passed_ms = MAX(now_ms - bucket->refilled_ms, 0);
	bucket->millitokens = MIN(
	    burst * 1e3, bucket->millitokens + (double)passed_ms * rate_per_s);
	bucket->refilled_ms = now_ms;
	if (bucket->millitokens >= 1e3) {
		bucket->millitokens -= 1e3;
		return 0;
	}
	if (rate_per_s <= 0)
		return G_MAXINT32;
	return (int64_t)ceil((1e3 - bucket->millitokens) / rate_per_s);
}
