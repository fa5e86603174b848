#include "common/task.h"

#include <glib.h>

struct task_t {
	struct ev_loop *loop;
	char *name;
	task_handler_t *handler;
	void *ctx;
	ev_async wakeup;
	GAsyncQueue *mailbox;
};

static void
message_free(void *data)
{
	task_message_t *message = data;

	if (message->free_body != NULL && message->body != NULL)
		message->free_body(message->body);
	g_free(message);
}

/* Handles the messages that were there at the start of this turn. */
static void
on_wakeup(struct ev_loop *loop, ev_async *watcher, int events)
{
	task_t *task = watcher->data;
	task_message_t *message;
	int budget = g_async_queue_length(task->mailbox);

	while (budget-- > 0) {
		message = g_async_queue_try_pop(task->mailbox);
		if (message == NULL)
			return;
		task->handler(task->ctx, message);
		message_free(message);
	}
	if (g_async_queue_length(task->mailbox) > 0)
		ev_async_send(loop, watcher);
}

/*
 * Creates a task on loop.  The handler runs on the loop's thread, once for each
 * message in the order of posting, and may take the body by setting it to NULL.
 */
task_t *
task_create(
    struct ev_loop *loop, const char *name, task_handler_t *handler, void *ctx)
{
	task_t *task = g_new0(task_t, 1);

	task->loop = loop;
	task->name = g_strdup(name);
	task->handler = handler;
	task->ctx = ctx;
	task->mailbox = g_async_queue_new_full(message_free);
	ev_async_init(&task->wakeup, on_wakeup);
	task->wakeup.data = task;
	ev_async_start(loop, &task->wakeup);
	return task;
}

/* Ends the task on its loop's thread; unread messages are freed. */
void
task_destroy(task_t *task)
{
	if (task == NULL)
		return;
	ev_async_stop(task->loop, &task->wakeup);
	g_async_queue_unref(task->mailbox);
	g_free(task->name);
	g_free(task);
}

/*
 * Posts a message from any thread.  The task owns body from now on and frees it
 * with free_body, unless the handler took it.
 */
void
task_post(task_t *task, int kind, void *body, void (*free_body)(void *))
{
	task_message_t *message = g_new0(task_message_t, 1);

	message->kind = kind;
	message->body = body;
	message->free_body = free_body;
	g_async_queue_push(task->mailbox, message);
	ev_async_send(task->loop, &task->wakeup);
}
