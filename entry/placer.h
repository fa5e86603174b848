#pragma once

#include <ev.h>
#include <glib.h>

#include "common/err.h"
#include "common/settings.h"
#include "entry/client.h"
#include "state/replica.h"

/*
 * The task that makes and carries out the placement decisions of its failure
 * domain while this instance is the domain's active placer.
 */
typedef struct placer_t placer_t;

placer_t *placer_create(struct ev_loop *loop, const settings_t *settings,
    replica_t *replica, client_t *client, err_t *err);
void placer_destroy(placer_t *placer);
/* To be called after each applied command, in log order. */
void placer_applied(
    placer_t *placer, const command_t *command, const command_result_t *result);
/* Appends the reasons of a job; -ENOENT when this placer does not know it. */
int placer_explain(placer_t *placer, const char *job, GString *out);
