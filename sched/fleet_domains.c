#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "sched/fleet_round.h"

/*
 * Failure domains that the operator has taken out of service.  The ledger holds
 * which; from the commit on, no start goes to a worker there.  What runs there
 * may finish.
 */

/* An order of the operator that is being committed. */
typedef struct {
	char *domain;
	bool out_of_service;
	fleet_done_t *done;
	void *ctx;
} domain_call_t;

/* Creates the gauges. */
void
domains_init(fleet_t *fleet)
{
	fleet->domain_gauges =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->domains_out = gauge_get("fleet_domains_out_of_service",
	    "failure domains that the operator took out of service");
	fleet->tasks_out = gauge_get("fleet_tasks_out_of_service",
	    "on the leader: tasks on workers of those");
	fleet->guarantees_at_risk = gauge_get("fleet_guarantees_at_risk",
	    "on the leader: tenants whose guarantees the workers in service "
	    "cannot all hold");
}

/* Takes over from the ledger whether the worker's failure domain is out. */
void
domains_update_worker(worker_t *worker)
{
	worker->out_of_service = ledger_domain_is_out(
	    fleet_ledger(worker->fleet), worker->info.domain);
}

/*
 * Returns why the worker must get no start, not even a repeated one, as a
 * reason for logs; NULL if it may get starts.
 */
const char *
worker_no_start_reason(const worker_t *worker)
{
	if (worker->draining)
		return "worker_draining";
	return worker->out_of_service ? "domain_out_of_service" : NULL;
}

/* Sets a gauge for each failure domain that is or was out of service. */
static void
update_domain_gauges(fleet_t *fleet)
{
	GHashTable *out = ledger_domains_out(fleet_ledger(fleet));
	GHashTableIter iter;
	gpointer domain;
	gpointer gauge;

	g_hash_table_iter_init(&iter, out);
	while (g_hash_table_iter_next(&iter, &domain, NULL)) {
		char *name;

		if (g_hash_table_contains(fleet->domain_gauges, domain))
			continue;
		name = g_strdup_printf(
		    "fleet_domain_out_of_service{domain=\"%s\"}",
		    (char *)domain);
		g_hash_table_insert(fleet->domain_gauges, g_strdup(domain),
		    gauge_get(name, "1 while it is out of service"));
		g_free(name);
	}
	g_hash_table_iter_init(&iter, fleet->domain_gauges);
	while (g_hash_table_iter_next(&iter, &domain, &gauge))
		counter_set(gauge, g_hash_table_contains(out, domain));
}

/* Updates the gauges, on each instance. */
void
domains_update_gauges(fleet_t *fleet)
{
	guint domains =
	    g_hash_table_size(ledger_domains_out(fleet_ledger(fleet)));
	GHashTableIter iter;
	gpointer value;
	int64_t tasks = 0;

	counter_set(fleet->domains_out, domains);
	update_domain_gauges(fleet);
	g_hash_table_iter_init(&iter, fleet->workers);
	while (domains > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (worker->out_of_service)
			tasks += worker->members->len;
	}
	counter_set(fleet->tasks_out, tasks);
	if (!fleet->leading)
		counter_set(fleet->guarantees_at_risk, 0);
}

static int
accelerators_in_service(const fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer value;
	int sum = 0;

	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (worker->registered &&
		    worker_no_start_reason(worker) == NULL)
			sum += worker->info.capacity.accelerators;
	}
	return sum;
}

/* Logs the guarantees that are at risk, each with what there is for all. */
static void
log_guarantees(const fleet_config_t *config, int guaranteed, int in_service)
{
	for (u_int i = 0; i < config->tenants.tenants_len; i++) {
		const fleet_tenant_t *tenant = &config->tenants.tenants_val[i];

		if (tenant->guaranteed_accelerators > 0)
			evlog("guarantee_at_risk", "{s:s,s:i,s:i,s:i}",
			    "tenant", tenant->name, "guaranteed",
			    tenant->guaranteed_accelerators, "guaranteed_all",
			    guaranteed, "in_service", in_service);
	}
}

/*
 * Counts the tenants whose guarantees are at risk while failure domains are out
 * of service: all that have one, if the workers in service cannot hold them all
 * at once.  Logs them when that begins.
 */
void
domains_check_guarantees(fleet_t *fleet)
{
	const ledger_t *ledger = fleet_ledger(fleet);
	const fleet_config_t *config = ledger_config(ledger);
	bool all_in_service =
	    g_hash_table_size(ledger_domains_out(ledger)) == 0;
	int in_service = accelerators_in_service(fleet);
	int guaranteed = 0;
	int tenants = 0;

	for (u_int i = 0; i < config->tenants.tenants_len; i++) {
		const fleet_tenant_t *tenant = &config->tenants.tenants_val[i];

		guaranteed += tenant->guaranteed_accelerators;
		tenants += tenant->guaranteed_accelerators > 0;
	}
	if (all_in_service || guaranteed <= in_service)
		tenants = 0;
	if (tenants > 0 && counter_value(fleet->guarantees_at_risk) == 0)
		log_guarantees(config, guaranteed, in_service);
	counter_set(fleet->guarantees_at_risk, tenants);
}

/* Logs the failure domains out of service, for a new leader. */
void
domains_log(const fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer domain;

	g_hash_table_iter_init(&iter, ledger_domains_out(fleet_ledger(fleet)));
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		evlog("domain_is_out", "{s:s}", "domain", (char *)domain);
}

/*
 * Applies a committed order to the workers of the failure domain.  A worker
 * with tasks is polled, which tells whether starts without an answer arrived.
 */
void
domains_on_committed(fleet_t *fleet, const domain_service_t *command)
{
	GHashTableIter iter;
	gpointer value;
	int changed = 0;
	int tasks = 0;

	g_hash_table_iter_init(&iter, fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (strcmp(worker->info.domain, command->domain) != 0)
			continue;
		changed += worker->out_of_service != command->out_of_service;
		worker->out_of_service = command->out_of_service;
		worker->needs_poll |= worker->members->len > 0;
		tasks += (int)worker->members->len;
	}
	evlog(command->out_of_service ? "domain_out_of_service"
				      : "domain_in_service",
	    "{s:s,s:i,s:i}", "domain", command->domain, "workers_changed",
	    changed, "tasks", tasks);
}

/* ---- planning ---- */

/*
 * Notes the workers of the round that only their failure domain keeps from
 * taking units, and what is free there.
 */
void
domains_begin_round(round_t *round)
{
	round->out_of_service = g_array_new(FALSE, FALSE, sizeof(size_t));
	for (size_t i = 0; i < round->count; i++) {
		if (!round->workers[i]->out_of_service ||
		    round->workers[i]->draining)
			continue;
		g_array_append_val(round->out_of_service, i);
		round->out_of_service_accelerators +=
		    MAX(round->plan_workers[i].free.accelerators, 0);
	}
}

/*
 * Moves the plan_workers that are in service to the front and returns their
 * number.  The round is of no use for placing any more.
 */
size_t
domains_keep_in_service(round_t *round)
{
	size_t kept = 0;

	for (size_t i = 0; i < round->count; i++) {
		if (!round->workers[i]->out_of_service)
			round->plan_workers[kept++] = round->plan_workers[i];
	}
	return kept;
}

/* Whether the unit would fit on the workers out of service as they are now. */
bool
domains_could_hold(const round_t *round, const plan_unit_t *unit)
{
	int fitting = 0;

	if (unit->step->shape.accelerators * unit->members >
	    round->out_of_service_accelerators)
		return false;
	for (guint i = 0;
	     i < round->out_of_service->len && fitting < unit->members; i++) {
		size_t index = g_array_index(round->out_of_service, size_t, i);
		plan_worker_t worker = round->plan_workers[index];

		worker.usable = true;
		if (plan_is_eligible(&worker, unit))
			fitting +=
			    plan_members_that_fit(&worker, unit, &worker.free);
	}
	return fitting >= unit->members;
}

/* Logs, once for each job, that it waits for failure domains to be back. */
void
domains_log_wait(const round_t *round, const waiting_step_t *item)
{
	ledger_job_t *job = item->unit->job;
	char **names;
	char *domains;

	if (job->domain_wait_logged)
		return;
	job->domain_wait_logged = true;
	names = (char **)g_hash_table_get_keys_as_array(
	    ledger_domains_out(fleet_ledger(round->fleet)), NULL);
	domains = g_strjoinv(",", names);
	evlog("unit_waits", "{s:s,s:i,s:i,s:s,s:s}", "job", job->submit.id,
	    "step", item->unit->step, "unit", item->unit->first, "reason",
	    "out_of_service", "domains", domains);
	g_free(domains);
	g_free(names);
}

/* ---- orders of the operator ---- */

/* Whether a worker of the failure domain is registered, or was not long ago. */
bool
fleet_knows_domain(const fleet_t *fleet, const char *domain)
{
	ledger_t *ledger = fleet_ledger(fleet);
	GHashTableIter iter;
	gpointer value;

	if (ledger_domain_is_out(ledger, domain))
		return true;
	g_hash_table_iter_init(&iter, ledger_workers(ledger));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (strcmp(((const fleet_worker_t *)value)->domain, domain) ==
		    0)
			return true;
	}
	return false;
}

static void
on_service_committed(
    void *ctx, const err_t *err, const command_result_t *result)
{
	domain_call_t *call = ctx;

	if (err->code != 0)
		evlog("domain_order_failed", "{s:s,s:b,s:i,s:s}", "domain",
		    call->domain, "out_of_service", (int)call->out_of_service,
		    "code", err->code, "reason", err->text);
	call->done(call->ctx, err->code == 0 ? FLEET_OK : FLEET_NO_ANSWER);
	g_free(call->domain);
	g_free(call);
}

/*
 * Takes a failure domain out of service or back.  The order is proposed also if
 * it changes nothing, so that a deposed leader acknowledges none, and within
 * the term only: proposed anew by a later leader it could undo a later order.
 */
void
fleet_set_domain_service(fleet_t *fleet, const char *domain,
    bool out_of_service, fleet_done_t *done, void *ctx)
{
	command_t command = {.kind = COMMAND_DOMAIN_SERVICE};
	domain_call_t *call;

	if (!fleet_leads(fleet)) {
		done(ctx, FLEET_NOT_LEADER);
		return;
	}
	call = g_new0(domain_call_t, 1);
	*call = (domain_call_t){
	    .domain = g_strdup(domain),
	    .out_of_service = out_of_service,
	    .done = done,
	    .ctx = ctx,
	};
	command.command_t_u.domain_service = (domain_service_t){
	    .domain = call->domain, .out_of_service = out_of_service};
	replica_propose_in_term(
	    fleet->replica, &command, fleet->term, on_service_committed, call);
}
