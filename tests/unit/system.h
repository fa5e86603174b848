#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/settings.h"

/*
 * The settings of several instances on 127.0.1.1, 127.0.1.2 and so on, named
 * i1, i2, ...  Their RPC ports are chosen by the kernel and stay reserved.
 */
typedef struct {
	size_t count;
	settings_t *settings[SETTINGS_MAX_PEERS];
	int reserved[SETTINGS_MAX_PEERS];
	char *folder; /* holds the data folders of the replicas; may be NULL */
} system_t;

typedef bool system_condition_t(void *ctx);

system_t *system_create(size_t count, size_t replicas, const char *more);
void system_destroy(system_t *system);
bool system_wait(struct ev_loop *loop, system_condition_t *met, void *ctx);
void system_remove_folder(const char *path);
