#include <string.h>

#include "common/loop_watch.h"
#include "sched/fleet_private.h"

/* What the leader does once a command is committed. */

static void
on_start_committed(fleet_t *fleet, const unit_name_t *name, uint32_t number)
{
	ledger_unit_t *unit = ledger_unit(fleet_ledger(fleet), name);
	run_t *run;

	if (unit == NULL || unit->state != UNIT_PLACED || unit->run != number)
		return;
	run = unit->leader_run;
	/* The start was proposed before this leadership began. */
	if (run == NULL)
		fleet_recover_run(fleet, unit);
	else if (run->number == number && !run->start_committed)
		run_on_start_committed(run);
}

static void
stop_runs_of(fleet_t *fleet, const char *job, const char *reason)
{
	for (guint i = fleet->runs->len; i-- > 0;) {
		run_t *run = g_ptr_array_index(fleet->runs, i);

		if (strcmp(run->job, job) == 0)
			run_stop(run, reason);
	}
}

static void
on_ends_committed(fleet_t *fleet, const fleet_events_t *events)
{
	for (u_int i = 0; i < events->ends.ends_len; i++) {
		const unit_end_t *end = &events->ends.ends_val[i];
		ledger_unit_t *unit =
		    ledger_unit(fleet_ledger(fleet), &end->unit);

		/* The ledger ignored the end: it is not of the placed run. */
		if (unit == NULL || unit->state == UNIT_PLACED)
			continue;
		run_supersede(unit->leader_run, end->run);
		unit_detach_run(unit);
		if (unit->job->failed && !unit->job->runs_stopped) {
			unit->job->runs_stopped = true;
			stop_runs_of(fleet, end->unit.job, "job_failed");
		}
	}
}

static void
on_events_committed(fleet_t *fleet, const fleet_events_t *events)
{
	on_ends_committed(fleet, events);
	for (u_int i = 0; i < events->starts.starts_len; i++) {
		const unit_start_t *start = &events->starts.starts_val[i];

		on_start_committed(fleet, &start->unit, start->run);
	}
}

/* Updates runs after a committed command; does nothing on followers. */
void
fleet_applied(fleet_t *fleet, const command_t *command)
{
	const gang_start_t *gang = &command->command_t_u.gang_start;

	if (!fleet->leading)
		return;
	loop_watch_enter("committed");
	switch (command->kind) {
	case COMMAND_FLEET_EVENTS:
		on_events_committed(fleet, &command->command_t_u.fleet_events);
		break;
	case COMMAND_GANG_START:
		on_start_committed(fleet, &gang->unit, gang->run);
		break;
	case COMMAND_BATCH_CANCEL:
		stop_runs_of(
		    fleet, command->command_t_u.batch_cancel, "cancelled");
		break;
	case COMMAND_DOMAIN_SERVICE:
		domains_on_committed(
		    fleet, &command->command_t_u.domain_service);
		break;
	case COMMAND_BATCH_SUBMIT:
	case COMMAND_FLEET_CONFIG:
		break;
	default:
		loop_watch_leave();
		return;
	}
	loop_watch_leave();
	fleet_schedule_work(fleet);
}
