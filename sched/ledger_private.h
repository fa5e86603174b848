#pragma once

#include "sched/ledger.h"

/* Private to sched/ledger*.c. */
struct ledger_t {
	fleet_config_t config;
	GHashTable *queues; /* name -> fleet_queue_t of config */
	/* name -> fleet_queue_t, removed from the configuration */
	GHashTable *retired_queues;
	GHashTable *jobs;        /* id -> ledger_job_t */
	GHashTable *workers;     /* id -> fleet_worker_t */
	GHashTable *domains_out; /* names, out of service */
	GQueue open;
	GQueue ended;
};

/* ledger_config.c */
void ledger_queue_free(void *data);
void ledger_retire_queue(ledger_t *ledger, const fleet_queue_t *queue);

/* ledger_units.c */
size_t ledger_unit_count_of(const step_spec_t *step);
void ledger_units_init(ledger_job_t *job);
void ledger_units_free(ledger_job_t *job);

ledger_job_t *ledger_job_create(ledger_t *ledger, batch_submit_t *submit);
void ledger_job_free(ledger_job_t *job);
void ledger_move_if_ended(ledger_t *ledger, ledger_job_t *job, bool had_ended);
void ledger_update_worker(ledger_t *ledger, fleet_worker_t *worker);
