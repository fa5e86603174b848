#include "common/clock.h"

#include <time.h>

/*
 * Returns the monotonic clock in microseconds.  It counts the time in which the
 * machine was suspended; otherwise a leader that was suspended would take its
 * lease for longer than the others do.
 */
int64_t
clock_mono_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns the monotonic clock in milliseconds. */
int64_t
clock_mono_ms(void)
{
	return clock_mono_us() / CLOCK_US_PER_MS;
}

/* Returns milliseconds since 1970-01-01 UTC. */
int64_t
clock_real_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * CLOCK_MS_PER_S + now.tv_nsec / 1000000;
}
