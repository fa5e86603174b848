#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The tasks of one stand-in backend server: slots, accelerators, leases and
 * fencing as docs/INTERFACES.md asks for.  Thread safe.
 */
typedef struct tasks_t tasks_t;

typedef struct {
	const char *worker;
	int slots;
	int accelerators;
	int ledger_fd; /* every start and end is appended here */
	bool fail_all;
} tasks_options_t;

tasks_t *tasks_create(const tasks_options_t *options);
void tasks_destroy(tasks_t *tasks);
/* Each fills *reply (a new reference) and returns the HTTP status. */
int tasks_put(tasks_t *tasks, const char *id, const json_t *body,
    json_t **reply, int *cut_after_bytes);
int tasks_get(tasks_t *tasks, const char *id, json_t **reply);
int tasks_list(tasks_t *tasks, json_t **reply);
int tasks_command(tasks_t *tasks, const char *id, const char *command,
    const json_t *body, json_t **reply);
bool tasks_fence(tasks_t *tasks, uint64_t fence, uint64_t *highest);
int tasks_running(tasks_t *tasks);
int tasks_max_running(tasks_t *tasks);
json_t *tasks_usage(tasks_t *tasks);
