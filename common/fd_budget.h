#pragma once

#include <stdint.h>

/*
 * Shares out the file descriptors of a process among its tasks, so that one of
 * them cannot take those that another needs: storage opens files while it runs
 * and fails for good when it cannot.
 */
typedef struct {
	int files;     /* storage, event loops, standard streams */
	int peers;     /* connections between instances */
	int listeners; /* connections accepted from callers and workers */
	int clients;   /* connections opened to workers */
} fd_budget_t;

/* Descriptors that the process may have open, from its resource limit. */
int fd_budget_limit(void);
/* limit must be at least FD_BUDGET_MIN_LIMIT, or the shares exceed it. */
fd_budget_t fd_budget_share(int limit);

#define FD_BUDGET_MIN_LIMIT 256
