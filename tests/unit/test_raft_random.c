#include <stdio.h>
#include <stdlib.h>

#include "tests/unit/raft_sim.h"

#define DEFAULT_SEEDS 100
#define DEFAULT_STEPS 10000
#define SETTLE_MS 60000

/*
 * Runs a simulated system under random faults and checks it after every step.
 * Guards against lost or changed committed entries, two leaders in one term,
 * stale reads, two leases, and a system that does not recover after the faults.
 */
static void
run(uint32_t seed, int64_t steps)
{
	GRand *rand = g_rand_new_with_seed(seed);
	int voters = g_rand_int_range(rand, 3, 6);
	sim_t *sim = sim_create(
	    seed, voters, g_rand_int_range(rand, 1, 3), g_rand_boolean(rand));

	sim->faults = (sim_faults_t){
	    .loss = g_rand_int_range(rand, 0, 20),
	    .duplication = g_rand_int_range(rand, 0, 20),
	    /* Some beyond the election timeout. */
	    .max_delay_ms = g_rand_int_range(rand, 0, 5) == 0
				? g_rand_int_range(rand, 100, 1500)
				: g_rand_int_range(rand, 1, 100),
	    .max_sync_ms = g_rand_int_range(rand, 1, 100),
	    .crashes_per_10k = g_rand_int_range(rand, 0, 100),
	    .wipes_per_10k = g_rand_int_range(rand, 0, 40),
	    .pauses_per_10k = g_rand_int_range(rand, 0, 40),
	    .partitions_per_10k = g_rand_int_range(rand, 0, 100),
	    .changes_per_10k = g_rand_int_range(rand, 0, 200),
	    .snapshots_per_10k = g_rand_int_range(rand, 0, 200),
	    .proposals = g_rand_int_range(rand, 5, 50),
	    .reads = g_rand_int_range(rand, 5, 50),
	};
	/* Some snapshots take several chunks. */
	sim->snapshot_padding =
	    g_rand_int_range(rand, 0, 8) == 0 ? 600000 : 100;
	for (int i = 0; i < sim->node_count; i++) {
		sim->nodes[i].clock_rate =
		    g_rand_double_range(rand, 0.95, 1.05);
		sim->nodes[i].clock_offset_ms =
		    g_rand_int_range(rand, 0, 10000);
	}
	for (int64_t i = 0; i < steps; i++)
		sim_step(sim);
	sim_heal(sim);
	if (!sim_settle(sim, SETTLE_MS)) {
		printf("RAFT_SEED=%u: not settled %d ms after the faults\n",
		    seed, SETTLE_MS);
		sim_print(sim);
		exit(EXIT_FAILURE);
	}
	printf("seed %u: %d voters, %u entries, %d elections, %d wipes, "
	       "%d changes, %d installs, %d reads\n",
	    seed, voters, sim->committed->len, sim->elections, sim->wipes,
	    sim->changes, sim->installs, sim->reads_done);
	sim_destroy(sim);
	g_rand_free(rand);
}

/* RAFT_SEED selects a single seed, RAFT_STEPS the number of steps per seed. */
int
main(void)
{
	const char *seed = getenv("RAFT_SEED");
	const char *steps = getenv("RAFT_STEPS");
	int64_t count = steps != NULL ? atoll(steps) : DEFAULT_STEPS;

	if (seed != NULL) {
		run((uint32_t)strtoul(seed, NULL, 10), count);
		return EXIT_SUCCESS;
	}
	for (uint32_t i = 1; i <= DEFAULT_SEEDS; i++)
		run(i, count);
	return EXIT_SUCCESS;
}
