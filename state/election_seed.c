#include "state/election_seed.h"

#include <string.h>
#include <xxhash.h>

/*
 * Hashes the instance name with its start time (incarnation), so that instances
 * with similar names that start within milliseconds get unrelated seeds.
 */
uint32_t
election_seed(const char *instance, uint64_t incarnation)
{
	return (uint32_t)XXH64(instance, strlen(instance), incarnation);
}
