#include "sched/fleet_private.h"

/* Counts the work that is thrown away, by cause. */

/* Creates the counters. */
void
fleet_waste_init(fleet_t *fleet)
{
	for (int i = 0; i < WASTE_CAUSES; i++) {
		const char *cause = waste_cause_name((waste_cause_t)i);
		char *stopped = g_strdup_printf(
		    "fleet_thrown_away_tasks_total{reason=\"%s\"}", cause);
		char *core_ms = g_strdup_printf(
		    "fleet_thrown_away_core_ms_total{reason=\"%s\"}", cause);

		fleet->wasted_tasks[i] = counter_get(
		    stopped, i == 0 ? "tasks that ended without success" : "");
		fleet->wasted_core_ms[i] = counter_get(core_ms,
		    i == 0 ? "their work since the last checkpoint" : "");
		g_free(stopped);
		g_free(core_ms);
	}
}

/* Returns how long the member has worked since its last checkpoint. */
int64_t
member_unsaved_ms(const member_t *member, int64_t now_ms)
{
	if (member->at_work_since_ms == 0)
		return 0;
	return now_ms - MAX(member->at_work_since_ms, member->saved_ms);
}

/*
 * Counts what the member did for nothing.  how tells its end; it counts only
 * where nothing had stopped the run before.  What a leader did not see at work
 * is not counted.
 */
void
member_record_waste(member_t *member, const char *how)
{
	run_t *run = member->run;
	const char *reason = run->stop_reason != NULL ? run->stop_reason : how;
	waste_cause_t cause = waste_cause(reason);
	int64_t core_ms;

	if (run->any_done || member->at_work_since_ms == 0)
		return;
	counter_add(run->fleet->wasted_tasks[cause], 1);
	core_ms = waste_core_ms(
	    &run->shape, 1, member_unsaved_ms(member, fleet_now_ms()));
	counter_add(run->fleet->wasted_core_ms[cause], core_ms);
	run->wasted_core_ms += core_ms;
}
