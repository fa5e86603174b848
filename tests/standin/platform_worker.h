#pragma once

#include <ev.h>
#include <jansson.h>

#include "common/err.h"
#include "entry/client.h"

/*
 * A stand-in backend server that speaks the platform's protocol: one address,
 * at which incarnations follow each other (life_t), with faults on its calls.
 */
typedef struct platform_worker_t platform_worker_t;

typedef struct {
	const char *address;
	int port;
	int number;
	int accelerators;
	int64_t hold_max_ms;
	const char *advertised; /* announced in place of address, or NULL */
	char **controls;        /* addresses of control instances */
	client_t *client;
} platform_worker_options_t;

platform_worker_t *platform_worker_create(
    struct ev_loop *loop, const platform_worker_options_t *options, err_t *err);
void platform_worker_destroy(platform_worker_t *worker);
/* Does what is due; called every few milliseconds. */
void platform_worker_turn(platform_worker_t *worker);
/* Announces itself to a control instance. */
void platform_worker_announce(platform_worker_t *worker);
/*
 * Carries out a command of a test; false when it is not known or not possible:
 *   faults   the faults from now on, see order_faults_read
 *   restart  crashes; comes back after down_ms, under its id or a new_id, with
 *            as many accelerators as before unless told otherwise
 *   leave    drains for drain_ms and deregisters; without an acknowledgement,
 *            or with ack_lost, it runs on for linger_ms
 */
bool platform_worker_command(
    platform_worker_t *worker, str_t command, const json_t *body);
