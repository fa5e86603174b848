#pragma once

#include <stdint.h>

/*
 * Returns the seed for a participant's random election timeouts.  Participants
 * with equal seeds time out together and split every vote.
 */
uint32_t election_seed(const char *instance, uint64_t incarnation);
