#include "tests/unit/once/once.h"

/*
 * Simulated days as in test_once, with workers that restart under their id
 * while orders are executed late.  Orders name the id only, so a late start
 * that comes before the leader's first order to the next incarnation is
 * accepted there.
 */

static const fixed_days_t fixed_days[] = {
    /* An order for the incarnation before is carried out by the next. */
    {"late,rebirth", 1, 10},
    /* The same, although the run had ended before the restart. */
    {"late,rebirth", 78, 1},
    {ONCE_NETWORK ",crash,rebirth,return,drain,late_deregister,"
		  "lost_deregister,unhealthy,fail,cancel," ONCE_LEADERS,
	1, 15},
    /* The run is given up with the lease, and its late start is executed by an
     * incarnation behind a cut. */
    {ONCE_NETWORK ",crash,rebirth,return,drain,late_deregister,"
		  "lost_deregister,unhealthy,fail,cancel," ONCE_LEADERS,
	6774, 1},
    /* A worker lists an earlier run of a unit that waits, and the unit is
     * started elsewhere. */
    {ONCE_NETWORK ",crash,rebirth,return,drain,late_deregister,"
		  "lost_deregister,unhealthy,fail,cancel," ONCE_LEADERS,
	6989, 1},
    /* A start without an answer is executed by an incarnation before the
     * leader's first order to it. */
    {"late,rebirth", 396, 1},
    {ONCE_NETWORK ",crash,rebirth,return,drain,late_deregister,"
		  "lost_deregister,unhealthy,fail,cancel," ONCE_LEADERS,
	7169, 1},
    {ONCE_NETWORK ",crash,rebirth,return,drain,late_deregister,"
		  "lost_deregister,unhealthy,fail,cancel," ONCE_LEADERS,
	7366, 1},
};

int
main(void)
{
	return once_play(fixed_days, G_N_ELEMENTS(fixed_days));
}
