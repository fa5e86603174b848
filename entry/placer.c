#include "entry/placer.h"

#include <errno.h>
#include <string.h>
#include <syslog.h>

#include "common/chart.h"
#include "common/clock.h"
#include "common/log.h"
#include "entry/placer_private.h"

#define CLAIM_INTERVAL_MS 500
#define MAX_DECISIONS_PER_TICK 256

const machine_t *
placer_machine(const placer_t *placer)
{
	return replica_machine(placer->replica);
}

/* Translates a unix time into the clock of the placement. */
static int64_t
to_mono(int64_t real_ms)
{
	return clock_mono_ms() + real_ms - clock_real_ms();
}

static placement_job_t
describe(const machine_job_t *job)
{
	return (placement_job_t){
	    .id = job->id,
	    .tenant = job->tenant,
	    .workspace = job->workspace,
	    .members = job->member_count,
	    .accelerators = job->accelerators,
	    .adjacency = job->adjacency,
	    .priority = job->priority,
	    .declared_ms = job->declared_ms,
	    .deadline_ms = job->deadline_ms > 0 ? to_mono(job->deadline_ms) : 0,
	    .submitted_ms = to_mono(job->submitted_ms),
	    .sequence = job->sequence,
	};
}

static bool
job_is(const machine_job_t *job, const char *state)
{
	const chart_t *chart = chart_builtin("job");

	return job->state == chart_state(chart, state);
}

static bool
is_own_domain(const placer_t *placer, const char *domain)
{
	return strcmp(domain, placer->settings->failure_domain) == 0;
}

static bool
load_worker(void *ctx, const machine_worker_t *worker)
{
	placer_t *placer = ctx;

	if (!is_own_domain(placer, worker->domain))
		return true;
	if (worker->leaving)
		placement_remove_worker(placer->placement, worker->id);
	else
		placement_add_worker(placer->placement, worker->id,
		    worker->rack, worker->accelerators, worker->slots);
	return true;
}

static adjacency_t
adjacency_of(const char *name)
{
	static const char *const names[] = {
	    [ADJACENT_ANY] = "any",
	    [ADJACENT_DOMAIN] = "domain",
	    [ADJACENT_RACK] = "rack",
	    [ADJACENT_WORKER] = "worker",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_strcmp0(name, names[i]) == 0)
			return (adjacency_t)i;
	}
	return ADJACENT_DOMAIN;
}

/* Adds the guarantees of one workspace in this domain. */
static void
collect_guarantees(const placer_t *placer, const char *workspace,
    const json_t *list, GArray *out)
{
	const json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		cells_guarantee_t guarantee = {
		    .workspace = workspace,
		    .count =
			(int)json_integer_value(json_object_get(item, "count")),
		    .members = (int)json_integer_value(
			json_object_get(item, "members")),
		    .accelerators = (int)json_integer_value(
			json_object_get(item, "accelerators")),
		    .adjacency = adjacency_of(
			json_string_value(json_object_get(item, "adjacency"))),
		};
		const char *domain =
		    json_string_value(json_object_get(item, "domain"));

		if (domain != NULL && is_own_domain(placer, domain))
			g_array_append_val(out, guarantee);
	}
}

/*
 * Puts tenants and guarantees of the present configuration into effect.  The
 * configuration was checked against the declared hardware; with less than that
 * present, guarantees are left out until the rest fits, the last first.
 */
static void
load_config(placer_t *placer)
{
	json_t *config = (json_t *)machine_config(placer_machine(placer));
	GArray *guarantees =
	    g_array_new(FALSE, FALSE, sizeof(cells_guarantee_t));
	const char *name;
	json_t *value;
	guint left_out = 0;

	placer->config_changed = false;
	json_object_foreach (json_object_get(config, "tenants"), name, value) {
		json_t *weight = json_object_get(value, "weight");

		placement_set_tenant(placer->placement, name,
		    weight != NULL ? (int)json_integer_value(weight) : 1,
		    (int)json_integer_value(
			json_object_get(value, "quota_accelerators")));
	}
	json_object_foreach (json_object_get(config, "workspaces"), name, value)
		collect_guarantees(placer, name,
		    json_object_get(value, "guarantees"), guarantees);
	while (placement_set_guarantees(placer->placement,
		   (cells_guarantee_t *)(void *)guarantees->data,
		   guarantees->len, NULL) != 0 &&
	       guarantees->len > 0) {
		g_array_set_size(guarantees, guarantees->len - 1);
		left_out++;
	}
	/* Logged on change only: workers come one by one after a start. */
	if (left_out != placer->left_out)
		log_line(LOG_NOTICE,
		    "domain %s: %u guarantees do not fit the present hardware",
		    placer->settings->failure_domain, left_out);
	placer->left_out = left_out;
	g_array_unref(guarantees);
}

/* Takes over one job that is placed already. */
static bool
load_placed(void *ctx, const machine_job_t *job)
{
	placer_t *placer = ctx;
	cells_place_t places[MAX_MEMBERS];
	placement_job_t described = describe(job);

	if (!is_own_domain(placer, job->domain) || job->placed_count == 0 ||
	    job->placed_count > MAX_MEMBERS ||
	    chart_is_final(chart_builtin("job"), job->state))
		return true;
	for (size_t m = 0; m < job->placed_count; m++) {
		g_strlcpy(places[m].worker, job->members[m].worker,
		    sizeof(places[m].worker));
		places[m].accelerator_mask = job->members[m].accelerator_mask;
	}
	/* With a worker gone the attempt is settled all the same. */
	placement_restore(placer->placement, &described, job->guaranteed,
	    places, clock_mono_ms());
	placer_attempt_resume(placer, job);
	return true;
}

static bool
load_waiting(void *ctx, const machine_job_t *job)
{
	placer_t *placer = ctx;
	placement_job_t described = describe(job);

	if (is_own_domain(placer, job->domain) && job_is(job, "waiting"))
		placement_submit(placer->placement, &described);
	return true;
}

/* Begins to decide for the domain under the present epoch. */
static void
activate(placer_t *placer, uint64_t epoch)
{
	const machine_t *machine = placer_machine(placer);

	placer->epoch = epoch;
	placer->placement = placement_create();
	machine_each_worker(machine, load_worker, placer);
	machine_each_job(machine, load_placed, placer);
	load_config(placer);
	machine_each_job(machine, load_waiting, placer);
	log_line(LOG_NOTICE,
	    "placer of domain %s under epoch %" G_GUINT64_FORMAT,
	    placer->settings->failure_domain, epoch);
}

/* Leaves the domain to another placer, which settles what is open. */
static void
deactivate(placer_t *placer)
{
	if (placer->epoch == 0)
		return;
	log_line(LOG_NOTICE, "no longer placer of domain %s",
	    placer->settings->failure_domain);
	placer->epoch = 0;
	g_hash_table_remove_all(placer->attempts);
	g_hash_table_remove_all(placer->checkpoints);
	placer_proposals_abandon(placer);
	placement_destroy(placer->placement);
	placer->placement = NULL;
}

typedef struct claim_t {
	placer_t *placer; /* NULL when that has gone */
} claim_t;

static void
on_claimed(void *ctx, const err_t *err, const command_result_t *result)
{
	claim_t *claim = ctx;
	placer_t *placer = claim->placer;
	const machine_placer_t *present;

	g_free(claim);
	if (placer == NULL)
		return;
	placer->claiming = false;
	placer->claim = NULL;
	if (err->code != 0 || result == NULL || result->code != 0)
		return;
	present = machine_placer(
	    placer_machine(placer), placer->settings->failure_domain);
	if (present == NULL ||
	    strcmp(present->instance, placer->settings->instance) != 0)
		return;
	deactivate(placer);
	activate(placer, present->epoch);
}

/* Whether the domain has no placer that decides. */
static bool
is_vacant(const placer_t *placer, const machine_placer_t *present)
{
	const machine_t *machine = placer_machine(placer);
	const machine_instance_t *instance;

	/* Its own claim of an earlier life, or one whose answer was lost. */
	if (present == NULL ||
	    strcmp(present->instance, placer->settings->instance) == 0)
		return true;
	instance = machine_instance(machine, present->instance);
	return instance != NULL && (!instance->alive || instance->draining);
}

/* Claims the role when the domain has no live placer. */
static void
claim_if_vacant(placer_t *placer, int64_t now_ms)
{
	const machine_t *machine = placer_machine(placer);
	const machine_placer_t *present =
	    machine_placer(machine, placer->settings->failure_domain);
	const machine_instance_t *self =
	    machine_instance(machine, placer->settings->instance);
	command_t command = {
	    .kind = COMMAND_PLACER,
	    .command_t_u.placer =
		{
		    .domain = placer->settings->failure_domain,
		    .instance = placer->settings->instance,
		    .expected_epoch = present != NULL ? present->epoch : 0,
		},
	};

	if (placer->claiming || !replica_is_confirmed(placer->replica) ||
	    now_ms - placer->claim_ms < CLAIM_INTERVAL_MS ||
	    (self != NULL && (!self->alive || self->draining)) ||
	    !is_vacant(placer, present))
		return;
	placer->claiming = true;
	placer->claim_ms = now_ms;
	placer->claim = g_new0(claim_t, 1);
	placer->claim->placer = placer;
	replica_propose(placer->replica, &command, PLACER_PROPOSE_MS,
	    on_claimed, placer->claim);
}

/* Calls every member of an attempt beside the gang protocol. */
static void
call_all(attempt_t *attempt, extra_t extra)
{
	for (int m = 0; m < attempt->count; m++)
		placer_call(attempt, m, GANG_POLL, extra);
}

/* Carries out one decision about a job that runs. */
static void
carry_out(
    placer_t *placer, const placement_decision_t *decision, int64_t now_ms)
{
	attempt_t *attempt =
	    g_hash_table_lookup(placer->attempts, decision->job);

	if (attempt == NULL)
		return;
	switch (decision->kind) {
	case PLACEMENT_CHECKPOINT:
		gang_suspend_renewals(attempt->gang);
		call_all(attempt, EXTRA_CHECKPOINT);
		break;
	case PLACEMENT_MIGRATE:
		call_all(attempt, EXTRA_CHECKPOINT);
		break;
	case PLACEMENT_THROTTLE:
		call_all(attempt, EXTRA_THROTTLE);
		break;
	case PLACEMENT_STOP:
	case PLACEMENT_LEASES_EXPIRED:
		gang_reclaim(attempt->gang, "reclaimed", now_ms);
		break;
	case PLACEMENT_START:
	case PLACEMENT_REFUSE:
		break;
	}
}

/*
 * Takes the decisions that are due.  Without a confirmed state no attempt
 * starts; running ones go on.
 */
static void
decide(placer_t *placer, int64_t now_ms)
{
	placement_decision_t decision;

	if (!replica_is_confirmed(placer->replica))
		return;
	for (int n = 0; n < MAX_DECISIONS_PER_TICK &&
			placement_decide(placer->placement, now_ms, &decision);
	     n++) {
		if (decision.kind == PLACEMENT_START)
			placer_attempt_start(placer, &decision);
		else if (decision.kind == PLACEMENT_REFUSE)
			placer_propose_refusal(
			    placer, decision.job, decision.reason);
		else
			carry_out(placer, &decision, now_ms);
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	placer_t *placer = timer->data;
	int64_t now_ms = clock_mono_ms();
	GHashTableIter iter;
	void *value;

	if (placer->epoch == 0) {
		claim_if_vacant(placer, now_ms);
		return;
	}
	g_hash_table_iter_init(&iter, placer->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		gang_tick(((attempt_t *)value)->gang, now_ms);
	placer_reap(placer, now_ms);
	if (placer->config_changed)
		load_config(placer);
	decide(placer, now_ms);
}

/* Creates the task; it claims the role as soon as that is vacant. */
placer_t *
placer_create(struct ev_loop *loop, const settings_t *settings,
    replica_t *replica, client_t *client, err_t *err)
{
	placer_t *placer;

	if (settings->failure_domain == NULL ||
	    settings->failure_domain[0] == '\0') {
		err_set(err, -EINVAL, "placer", NULL,
		    "settings name no failure domain");
		return NULL;
	}
	placer = g_new0(placer_t, 1);
	placer->loop = loop;
	placer->settings = settings;
	placer->replica = replica;
	placer->client = client;
	placer->attempts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, placer_attempt_destroy);
	placer->checkpoints = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	placer->proposals = g_hash_table_new(NULL, NULL);
	ev_timer_init(&placer->timer, on_tick,
	    PLACER_TICK_MS / (double)CLOCK_MS_PER_S,
	    PLACER_TICK_MS / (double)CLOCK_MS_PER_S);
	placer->timer.data = placer;
	ev_timer_start(loop, &placer->timer);
	return placer;
}

void
placer_destroy(placer_t *placer)
{
	if (placer == NULL)
		return;
	ev_timer_stop(placer->loop, &placer->timer);
	if (placer->claim != NULL)
		placer->claim->placer = NULL;
	deactivate(placer);
	g_hash_table_unref(placer->proposals);
	g_hash_table_unref(placer->checkpoints);
	g_hash_table_unref(placer->attempts);
	g_free(placer);
}

/* Follows a change of a job in the log. */
void
placer_job_changed(placer_t *placer, const char *id)
{
	const machine_job_t *job = machine_job(placer_machine(placer), id);
	attempt_t *attempt = g_hash_table_lookup(placer->attempts, id);
	const chart_t *chart = chart_builtin("job");

	if (job == NULL || !is_own_domain(placer, job->domain))
		return;
	if (attempt != NULL) {
		gang_job_state_changed(attempt->gang,
		    chart_state_name(chart, job->state), clock_mono_ms());
	} else if (job_is(job, "waiting")) {
		load_waiting(placer, job);
	} else if (chart_is_final(chart, job->state)) {
		placement_ended(placer->placement, id, PLACEMENT_CANCELLED,
		    clock_mono_ms());
	}
}

/* Follows a worker that came, changed, leaves or is gone. */
static void
worker_changed(placer_t *placer, const char *id)
{
	const machine_worker_t *worker =
	    machine_worker(placer_machine(placer), id);
	GHashTableIter iter;
	void *value;

	if (worker != NULL) {
		load_worker(placer, worker);
		placer->config_changed |= placer->left_out > 0;
		return;
	}
	placement_remove_worker(placer->placement, id);
	g_hash_table_iter_init(&iter, placer->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		for (int m = 0; m < attempt->count; m++) {
			if (strcmp(attempt->members[m].worker, id) == 0)
				gang_worker_lost(
				    attempt->gang, m, clock_mono_ms());
		}
	}
}

/* Leaves the role when the log gives it to another or a later epoch. */
static void
placer_changed(placer_t *placer)
{
	const machine_placer_t *present = machine_placer(
	    placer_machine(placer), placer->settings->failure_domain);

	if (present == NULL || present->epoch != placer->epoch)
		deactivate(placer);
}

/* See placer.h.  Commands that had no effect are harmless. */
void
placer_applied(
    placer_t *placer, const command_t *command, const command_result_t *result)
{
	if (placer == NULL || placer->epoch == 0)
		return;
	switch (command->kind) {
	case COMMAND_PLACER:
		placer_changed(placer);
		break;
	case COMMAND_PATCH:
		placer->config_changed = true;
		break;
	case COMMAND_WORKER_ADD:
		worker_changed(placer, command->command_t_u.worker.id);
		break;
	case COMMAND_WORKER_LEAVE:
		worker_changed(placer, command->command_t_u.worker_leave);
		break;
	case COMMAND_WORKER_REMOVE:
		worker_changed(placer, command->command_t_u.worker_remove.id);
		break;
	case COMMAND_JOB_SUBMIT:
		placer_job_changed(placer, command->command_t_u.job.id);
		break;
	case COMMAND_JOB_START:
		placer_job_changed(placer, command->command_t_u.job_start.job);
		break;
	case COMMAND_JOB_GO:
		placer_job_changed(placer, command->command_t_u.job_go.job);
		break;
	case COMMAND_JOB_END:
		placer_job_changed(placer, command->command_t_u.job_end.job);
		break;
	case COMMAND_JOB_CANCEL:
		placer_job_changed(placer, command->command_t_u.job_cancel.job);
		break;
	default:
		break;
	}
}

/* See placer.h. */
int
placer_explain(placer_t *placer, const char *job, GString *out)
{
	if (placer == NULL || placer->placement == NULL)
		return -ENOENT;
	return placement_explain(placer->placement, job, clock_mono_ms(), out);
}
