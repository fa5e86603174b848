#pragma once

#include <stdint.h>

#define CLOCK_MS_PER_S 1000
#define CLOCK_US_PER_MS 1000

int64_t clock_mono_us(void);
int64_t clock_mono_ms(void);
int64_t clock_real_ms(void);
