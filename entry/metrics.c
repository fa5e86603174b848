#include <string.h>

#include "entry/internal.h"

/* Refusals are counted by these reasons; others as "other". */
static const char *const reasons[] = {
    "bad_request",
    "key_reused",
    "key_expired",
    "key_malformed",
    "rate_limit",
    "queue_full",
    "overloaded",
    "deadline",
    "timeout",
    "cancelled",
    "no_quorum",
    "no_backend",
    "draining",
    "starting",
    "not_found",
    "other",
};

static counter_t *refusals[G_N_ELEMENTS(reasons)];

static counter_t *
labelled(const char *format, const char *value, const char *help)
{
	char *name = g_strdup_printf(format, value);
	counter_t *counter = counter_get(name, help);

	g_free(name);
	return counter;
}

static void
create_requests(metrics_t *metrics)
{
	static const char *const lanes[] = {"short", "batch"};
	static const char *const outcomes[] = {
	    "done", "did_not_run", "unknown"};

	for (int lane = 0; lane < LANE_COUNT; lane++) {
		for (int i = 0; i < 3; i++) {
			char *name = g_strdup_printf(
			    "requests_total{lane=\"%s\",outcome=\"%s\"}",
			    lanes[lane], outcomes[i]);

			metrics->requests[lane][i] = counter_get(
			    name, "Requests ended, by lane and outcome.");
			g_free(name);
		}
	}
}

/* Registers every counter and histogram of the entry task. */
void
metrics_create(metrics_t *metrics)
{
	create_requests(metrics);
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		refusals[i] = labelled("refusals_total{reason=\"%s\"}",
		    reasons[i], "Requests refused, by reason.");
	metrics->claims = counter_get("claims_total", "Claims proposed.");
	metrics->claims_refused =
	    counter_get("claims_refused_total", "Claims refused by the log.");
	metrics->retries = counter_get(
	    "retries_total", "Requests tried on another backend server.");
	metrics->retries_denied = counter_get("retries_denied_total",
	    "Retries refused because the budget was used up.");
	metrics->forwards = counter_get(
	    "forwards_total", "Requests passed on to another instance.");
	metrics->forwards_failed = counter_get(
	    "forwards_failed_total", "Requests passed on without success.");
	metrics->asks = counter_get(
	    "asks_total", "Questions to another instance about a request.");
	metrics->probes = counter_get(
	    "probes_total", "Questions to a backend server about a task.");
	metrics->quarantines =
	    counter_get("quarantines_total", "Quarantines of backend servers.");
	metrics->lease_ends = counter_get(
	    "lease_ends_total", "Leases of backend servers that ended.");
	metrics->reclassified = counter_get("reclassified_total",
	    "Short requests that ran too long and count as batch.");
	metrics->waiting[LANE_SHORT] = gauge_get(
	    "waiting{lane=\"short\"}", "Requests waiting for a slot.");
	metrics->waiting[LANE_BATCH] = gauge_get(
	    "waiting{lane=\"batch\"}", "Requests waiting for a slot.");
	metrics->queue_us[LANE_SHORT] = histogram_get("queue_short_seconds",
	    "Time from arrival to dispatch of short requests.");
	metrics->queue_us[LANE_BATCH] = histogram_get("queue_batch_seconds",
	    "Time from arrival to dispatch of batch requests.");
	metrics->latency_us[LANE_SHORT] = histogram_get("request_short_seconds",
	    "Time from arrival to answer of short requests.");
	metrics->latency_us[LANE_BATCH] = histogram_get("request_batch_seconds",
	    "Time from arrival to answer of batch requests.");
	metrics->claim_us =
	    histogram_get("claim_seconds", "Time to commit a claim.");
}

/* Counts a refusal. */
void
metrics_refusal(const char *reason)
{
	size_t i = 0;

	while (i < G_N_ELEMENTS(reasons) - 1 && strcmp(reasons[i], reason) != 0)
		i++;
	if (refusals[i] != NULL)
		counter_add(refusals[i], 1);
}
