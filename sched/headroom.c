#include "sched/headroom.h"

#include <glib.h>
#include <string.h>

#define SLOT_MS 250
/* Headroom is what urgent jobs request in this time at the mean rate. */
#define COVERED_DEMAND_MS 1500
/* The rest of the capacity always stays open to batch work. */
#define MAX_SHARE_PERCENT 30
#define PERCENT 100
/* A new leader does not know the demand; it keeps the most for so long. */
#define UNKNOWN_MS 2000

/* Moves the window up to now_ms and clears the slots that it enters. */
static void
advance(headroom_t *headroom, int64_t now_ms)
{
	if (headroom->newest_start_ms == 0 ||
	    now_ms - headroom->newest_start_ms >= HEADROOM_SLOTS * SLOT_MS) {
		memset(headroom->demand, 0, sizeof(headroom->demand));
		headroom->newest_start_ms = now_ms;
		return;
	}
	while (now_ms - headroom->newest_start_ms >= SLOT_MS) {
		headroom->newest_start_ms += SLOT_MS;
		headroom->newest = (headroom->newest + 1) % HEADROOM_SLOTS;
		headroom->demand[headroom->newest] = 0;
	}
}

void
headroom_record(headroom_t *headroom, int accelerators, int64_t now_ms)
{
	advance(headroom, now_ms);
	headroom->demand[headroom->newest] += accelerators;
}

void
headroom_restart(headroom_t *headroom, int64_t now_ms)
{
	*headroom = (headroom_t){.unknown_until_ms = now_ms + UNKNOWN_MS};
}

int
headroom_target(headroom_t *headroom, int capacity, int64_t now_ms)
{
	int64_t most = (int64_t)capacity * MAX_SHARE_PERCENT / PERCENT;
	int64_t sum = 0;

	if (now_ms < headroom->unknown_until_ms)
		return (int)most;
	advance(headroom, now_ms);
	for (int i = 0; i < HEADROOM_SLOTS; i++)
		sum += headroom->demand[i];
	sum = sum * COVERED_DEMAND_MS / (HEADROOM_SLOTS * SLOT_MS);
	return (int)MIN(sum, most);
}
