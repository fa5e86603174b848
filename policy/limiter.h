#pragma once

#include <stdint.h>

/* A token bucket per tenant.  Does no I/O; the current time is a parameter. */
typedef struct limiter_t limiter_t;

limiter_t *limiter_create(void);
void limiter_destroy(limiter_t *limiter);
int64_t limiter_take(limiter_t *limiter, const char *tenant, double rate_per_s,
    double burst, int64_t now_ms);
