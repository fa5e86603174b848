#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Feeds one input to the code under test; returns 0. */
int fuzz_one(const uint8_t *data, size_t len);
/* Adds valid inputs (GBytes) to start from; optional. */
void fuzz_seeds(GPtrArray *seeds) __attribute__((weak));
