#include "common/fd_budget.h"

#include <glib.h>
#include <sys/resource.h>

#define FILES 64
/* A peer that was cut off leaves a connection behind until it is noticed. */
#define MIN_PEERS 64
#define MAX_PEERS 512
#define PEERS_DIVISOR 12
/*
 * Workers keep a connection to one of several instances, but the leader keeps
 * one to each of them that waits for ends, and opens more for orders.
 */
#define LISTENERS_PERCENT 15
#define PERCENT 100
/* Used where the limit is unknown or absent. */
#define DEFAULT_LIMIT 1024
#define MAX_LIMIT 65536

int
fd_budget_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0)
		return DEFAULT_LIMIT;
	return (int)MIN(limit.rlim_cur, MAX_LIMIT);
}

fd_budget_t
fd_budget_share(int limit)
{
	fd_budget_t budget = {.files = FILES};
	int left;

	budget.peers = CLAMP(limit / PEERS_DIVISOR, MIN_PEERS, MAX_PEERS);
	left = MAX(limit, FD_BUDGET_MIN_LIMIT) - budget.files - budget.peers;
	budget.listeners = left * LISTENERS_PERCENT / PERCENT;
	budget.clients = left - budget.listeners;
	return budget;
}
