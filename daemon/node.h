#pragma once

#include <ev.h>

#include "common/err.h"
#include "common/settings.h"

/* One running instance: every task of the process, joined. */
typedef struct node_t node_t;

node_t *node_create(
    struct ev_loop *loop, const settings_t *settings, err_t *err);
void node_drain(node_t *node);
int node_exit_code(const node_t *node);
void node_destroy(node_t *node);
