#pragma once

#include <ev.h>

/*
 * A task owns its sockets and its state and is reached only by messages.
 * Tasks on one loop run one at a time; a task created on the loop of another
 * thread runs there.
 */
typedef struct task_t task_t;

/* A message; the kinds are defined by the receiving task. */
typedef struct {
	int kind;
	void *body;
	void (*free_body)(void *body); /* may be NULL */
} task_message_t;

typedef void task_handler_t(void *ctx, task_message_t *message);

task_t *task_create(
    struct ev_loop *loop, const char *name, task_handler_t *handler, void *ctx);
void task_destroy(task_t *task);
void task_post(task_t *task, int kind, void *body, void (*free_body)(void *));
