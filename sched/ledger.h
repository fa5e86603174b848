#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "rpc/protocol.h"
#include "sched/restart_delay.h"

/*
 * The replicated state of batch jobs: configuration, workers, jobs and the
 * units of their steps.  Deterministic, without I/O and without a clock.
 */
typedef struct ledger_t ledger_t;

typedef enum {
	UNIT_WAITING,
	UNIT_PLACED, /* the start of its current run is committed */
	UNIT_DONE,
	UNIT_FAILED, /* failed as often as its queue allows */
} unit_state_t;

typedef struct ledger_job_t ledger_job_t;

/* The unit of scheduling: a whole gang, or a single task. */
typedef struct {
	ledger_job_t *job;
	int occurrence;
	int step;
	int first;   /* index of its first task in the step */
	int members; /* number of its tasks */
	unit_state_t state;
	uint32_t run; /* number of the latest run, 0 before the first */
	int failures;
	char *checkpoint;      /* "" without one */
	place_ranges_t places; /* of its members while placed, else empty */
	void *leader_run; /* the leader's run_t of the current run, or NULL */
	restart_delay_t restart; /* kept by the leader only */
} ledger_unit_t;

struct ledger_job_t {
	batch_submit_t submit;
	bool cancelled;
	bool failed;
	int occurrences;
	ledger_unit_t **unit_pages; /* see ledger_units.c */
	size_t unit_count;
	size_t units_left; /* not done */
	size_t units_started;
	size_t units_waiting;        /* in UNIT_WAITING */
	size_t units_per_occurrence; /* of all steps */
	size_t *step_first_unit;     /* by step, within an occurrence */
	int *step_units_left; /* units not done, by occurrence and step */
	/* Kept by the leader only; monotonic times, 0: not yet. */
	int64_t submitted_mono_ms; /* submitted */
	int64_t still_since_ms;    /* a unit's turn has come, none is at work */
	int64_t ended_ms;          /* the leader noticed the end */
	int64_t removal_proposed_ms; /* its removal was last proposed */
	int64_t hold_until_ms;   /* none of its units is placed until then */
	int runs;                /* run_t that refer to it */
	bool covered;            /* urgent and within its tenant's guarantee */
	bool begun;              /* a task of it was seen at work */
	bool runs_stopped;       /* because it has failed */
	bool domain_wait_logged; /* that it waits for a failure domain */
	GList link;              /* in the list of open or of ended jobs */
};

ledger_t *ledger_create(void);
void ledger_destroy(ledger_t *ledger);

/*
 * Each returns 0 or a negative errno value.  It may move the contents out of
 * command and zero it; the caller frees command in either case.
 */
int ledger_apply_config(ledger_t *ledger, fleet_config_t *command);
int ledger_apply_submit(ledger_t *ledger, batch_submit_t *command);
int ledger_apply_cancel(ledger_t *ledger, const char *id);
int ledger_apply_events(ledger_t *ledger, fleet_events_t *command);
int ledger_apply_gang_start(ledger_t *ledger, const gang_start_t *command);
int ledger_apply_domain_service(
    ledger_t *ledger, const domain_service_t *command);

bool_t ledger_xdr_save(XDR *xdr, ledger_t *ledger);
bool_t ledger_xdr_load(XDR *xdr, ledger_t *ledger);

const fleet_config_t *ledger_config(const ledger_t *ledger);
const fleet_queue_t *ledger_queue(const ledger_t *ledger, const char *name);
bool ledger_has_service(const ledger_t *ledger, const char *name);
const fleet_queue_t *ledger_route(
    const ledger_t *ledger, str_t host, str_t path);
const fleet_tenant_t *ledger_tenant_of_key(
    const ledger_t *ledger, const char *key);

ledger_job_t *ledger_job(const ledger_t *ledger, const char *id);
GQueue *ledger_open_jobs(ledger_t *ledger);
GQueue *ledger_ended_jobs(ledger_t *ledger);
ledger_unit_t *ledger_unit(const ledger_t *ledger, const unit_name_t *name);
ledger_unit_t *ledger_unit_of_task(
    ledger_job_t *job, int occurrence, int step, int index);
ledger_unit_t *ledger_unit_at(ledger_job_t *job, size_t index);
ledger_unit_t *ledger_known_unit(const ledger_job_t *job, size_t index);
ledger_unit_t *ledger_next_known_unit(const ledger_job_t *job, size_t *index);
bool ledger_job_is_of(const ledger_job_t *job, const char *tenant);
batch_state_t ledger_job_state(const ledger_job_t *job);
bool ledger_job_has_ended(const ledger_job_t *job);
/* On the leader: how many open jobs of a queue have not begun. */
int ledger_pending_count(const ledger_t *ledger, const char *queue);
const step_spec_t *ledger_step(const ledger_unit_t *unit);
size_t ledger_step_units(
    const ledger_job_t *job, int occurrence, int step, size_t *count);
/* Whether the steps that the step, or the unit, depends on are done. */
bool ledger_step_is_ready(const ledger_job_t *job, int occurrence, int step);
bool ledger_unit_is_ready(const ledger_unit_t *unit);
/* Unix time in milliseconds before which no unit must start, or 0. */
int64_t ledger_due_ms(const ledger_job_t *job, int occurrence);

const fleet_worker_t *ledger_worker(const ledger_t *ledger, const char *id);
GHashTable *ledger_workers(ledger_t *ledger); /* id -> fleet_worker_t */
/* Whether the operator has taken the failure domain out of service. */
bool ledger_domain_is_out(const ledger_t *ledger, const char *domain);
/* The set of the names of those. */
GHashTable *ledger_domains_out(const ledger_t *ledger);
int ledger_validate_spec(const batch_spec_t *spec, const char **reason);
