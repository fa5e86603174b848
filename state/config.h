#pragma once

#include <jansson.h>

#include "common/err.h"

#define CONFIG_MAX_PATCH_BYTES 262144 /* of one patch; limits the history */

/*
 * The configuration document:
 *
 * { "claim_window_ms": 86400000,
 *   "hardware": { "<domain>": { "racks": 2, "workers_per_rack": 6,
 *                               "accelerators_per_worker": 8 } },
 *   "tenants": { "<tenant>": { "weight": 1, "rate_per_s": 100, "burst": 200,
 *                              "queue": 500, "quota_accelerators": 64 } },
 *   "workspaces": { "<workspace>": { "tenant": "<tenant>",
 *       "guarantees": [ { "domain": "d1", "count": 1, "members": 2,
 *                         "accelerators": 8, "adjacency": "rack" } ] } },
 *   "objectives": { "<name>": { "target": 0.99, "threshold_ms": 500 } } }
 *
 * accelerators in a guarantee is for each member: it covers count * members *
 * accelerators in all.  adjacency is "any", "domain", "rack" or "worker" (see
 * adjacency_t).
 */
json_t *config_default(void);
/*
 * Returns the document after the merge patch (RFC 7396), NULL with err->text
 * "PATH: expected WHAT" if the patch or the resulting document is invalid.
 */
json_t *config_patch(const json_t *config, const json_t *patch, err_t *err);
/* Returns the document after the merge patch, without checking it. */
json_t *config_merge(const json_t *config, const json_t *patch);
/* Checks the document, except whether its guarantees fit the hardware. */
int config_check(const json_t *config, err_t *err);
/*
 * Checks that all guarantees fit together on the declared hardware.  Defined
 * in state/config_guarantees.c.
 */
int config_check_guarantees(const json_t *config, err_t *err);
