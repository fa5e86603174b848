#include "tests/unit/once/once.h"

/*
 * Simulated days on which no unit may run twice at the same time, or again
 * after an acknowledged success, or without a committed start; see
 * once_play for days chosen by hand.
 */

#define ONCE_ALL_BUT_LATE                                                  \
	"loss,answer_lost,slow,cut,cut_one_way,late_announce,crash,drain," \
	"late_deregister,lost_deregister,unhealthy,fail,cancel,freeze,"    \
	"isolate,kill,return,rebirth"

static const fixed_days_t fixed_days[] = {
    {"-", 1, 5},
    {ONCE_NETWORK ",crash,unhealthy,fail,cancel," ONCE_LEADERS, 1, 15},
    /* A run that a poll has listed is given up, as its start is sent again and
     * refused. */
    {"kill,unhealthy,slow", 719, 1},
    {ONCE_NETWORK ",crash,unhealthy,fail,cancel," ONCE_LEADERS, 2152, 1},
    {ONCE_NETWORK ",crash,unhealthy,fail,cancel," ONCE_LEADERS, 934, 1},
    /* A worker runs on until its deregistration is acknowledged. */
    {"drain", 1, 10},
    {"drain,late_deregister,lost_deregister", 1, 10},
    /* An answer of the incarnation before arrives after the announcement. */
    {"slow,rebirth", 11, 1},
    {"slow,rebirth", 50, 1},
    {"late_announce,rebirth,slow", 64, 1},
    /* A gang is done, and a member's start is sent again to a restarted
     * worker. */
    {"late_announce,rebirth,kill", 244, 1},
    {"freeze,rebirth,isolate", 107, 1},
    {"return,late", 92, 1},
    /* A poll without an answer is sent again and acknowledges ends of the next
     * incarnation that nobody has read. */
    {ONCE_ALL_BUT_LATE, 1001608, 1},
    {ONCE_ALL_BUT_LATE, 3001207, 1},
    {"loss,answer_lost,slow,cut,cut_one_way,rebirth", 994, 1},
    /* A late end counts together with the start of the next run. */
    {"cut,slow", 323, 1},
};

int
main(void)
{
	return once_play(fixed_days, G_N_ELEMENTS(fixed_days));
}
