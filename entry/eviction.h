#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Chooses which client of a listener makes room for others.  Load pattern: very
 * many clients that hold a connection or part of a body and send no more.  Does
 * no I/O and reads no clock.
 */
typedef struct {
	uint64_t source;   /* stands for the client's address */
	int64_t since_ms;  /* accepted, or in its present request since */
	size_t held_bytes; /* of an incomplete body or an unread answer */
	bool may_go;       /* no request of it is being served */
} eviction_candidate_t;

typedef enum {
	EVICT_FOR_CONNECTION,
	EVICT_FOR_BYTES,
} eviction_reason_t;

/*
 * Fills chosen with the indexes of at most max_chosen clients and returns their
 * number.  First come those of the source that takes most (connections or
 * bytes), and among them those that have been without a whole request for
 * longest.  Clients younger than before_ms are spared, as theirs may still be
 * on its way.
 */
size_t eviction_choose(const eviction_candidate_t *candidates, size_t count,
    eviction_reason_t reason, int64_t before_ms, size_t *chosen,
    size_t max_chosen);

/*
 * Whether a transfer is slower than any client inside the limits would be: it
 * has some seconds, and beyond these a rate that the slowest link exceeds.
 */
bool eviction_is_too_slow(size_t bytes, int64_t elapsed_ms);
/* The time that bytes take at the lowest rate. */
int64_t eviction_transfer_ms(size_t bytes);
