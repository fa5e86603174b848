#include <glib.h>

#include "state/election_seed.h"
#include "tests/unit/runner.h"

#define INSTANCES 4
#define START_SPREAD_MS 64

/*
 * Guards against equal seeds, with which participants split every vote.  When
 * the seed was the hash of the name xor the start time, instances with adjacent
 * addresses that started within milliseconds could get equal seeds.
 */
START_TEST(adjacent_addresses_differ)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint64_t start = 1796377171000;

	for (int i = 1; i <= INSTANCES; i++) {
		for (int ms = 0; ms < START_SPREAD_MS; ms++) {
			char name[32];
			uint32_t seed;

			g_snprintf(name, sizeof(name), "10.63.30.%d", i);
			seed = election_seed(name, start + (uint64_t)ms);
			ck_assert(!g_hash_table_contains(
			    seen, GUINT_TO_POINTER(seed)));
			g_hash_table_add(seen, GUINT_TO_POINTER(seed));
		}
	}
	g_hash_table_unref(seen);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("election_seed");
	TCase *tcase = tcase_create("election_seed");

	tcase_add_test(tcase, adjacent_addresses_differ);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
