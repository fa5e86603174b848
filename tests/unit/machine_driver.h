#pragma once

#include <glib.h>

#include "state/machine.h"

/* Helpers that build commands and apply them to a state machine under test. */

#define DRIVER_START_MS 1800000000000 /* time of the first command */

/* A machine under test; driver_apply frees the previous result. */
typedef struct {
	machine_t *machine;
	uint64_t index; /* log index of the last command */
	int64_t now_ms; /* time_ms of the next command */
	command_result_t result;
} driver_t;

void driver_open(driver_t *driver);
void driver_close(driver_t *driver);
int driver_apply(driver_t *driver, command_t *command);
int driver_patch(
    driver_t *driver, const char *id, uint64_t base, const char *patch);
int driver_claim(
    driver_t *driver, const char *key, const char *task, uint64_t digest);
int driver_claim_end(driver_t *driver, const char *key, const char *task,
    claim_state_t state, const char *answer, size_t len);
int driver_add_worker(
    driver_t *driver, const char *id, uint64_t generation, const char *owner);
int driver_move_worker(
    driver_t *driver, const char *id, const char *owner, uint64_t fence);
int driver_report_instance(driver_t *driver, const char *id, bool alive);
int driver_set_placer(
    driver_t *driver, const char *domain, const char *instance, uint64_t epoch);
int driver_submit(driver_t *driver, const char *id, const char *key,
    uint64_t digest, int members, int accelerators);
/*
 * Member i runs on the accelerators in mask of worker "w<i>" as task
 * "<job>.<attempt>.<i>".
 */
int driver_start(driver_t *driver, const char *job, uint32_t attempt,
    uint64_t epoch, bool guaranteed, int members, uint32_t mask);
int driver_go(
    driver_t *driver, const char *job, uint32_t attempt, uint64_t epoch);
int driver_end(driver_t *driver, const char *job, uint32_t attempt,
    uint64_t epoch, job_end_t end);
int driver_cancel(driver_t *driver, const char *job, const char *tenant);
/* Returns the data of the last result as text. */
str_t driver_data(const driver_t *driver);
GByteArray *driver_save(const driver_t *driver);
/* Replaces the machine by a new one loaded from its snapshot. */
void driver_reload(driver_t *driver);
