#pragma once

#include "rpc/connection.h"
#include "rpc/endpoint.h"

/*
 * The outgoing half of an endpoint: one connection to each other instance, and
 * the calls made over it.
 */
typedef struct peer_t peer_t;

/* What the outgoing half needs of its endpoint. */
typedef struct {
	connection_set_t *connections;
	const settings_t *settings;
	uint64_t incarnation;
	GRand *random;
	void (*changed)(void *ctx, const char *peer, bool up);
	void *changed_ctx;
	endpoint_found_t *found;
	void *found_ctx;
	uint32_t next_xid;
	GSequence *deadlines; /* calls, the earliest deadline first */
	ev_timer deadline_timer;
	GQueue refused; /* calls that end in the next turn of the loop */
	ev_timer refused_timer;
	counter_t *connects;
	counter_t *up;
	counter_t *calls;
	counter_t *timeouts;
	counter_t *dropped;
	counter_t *late;
	counter_t *malformed;
} peer_set_t;

void peer_set_init(peer_set_t *set);
void peer_set_clear(peer_set_t *set);
peer_t *peer_create(peer_set_t *set, const settings_peer_t *settings);
void peer_destroy(peer_t *peer);
const char *peer_id(const peer_t *peer);
void peer_call(peer_set_t *set, peer_t *peer, uint32_t procedure, void *args,
    int64_t deadline_ms, endpoint_done_t *done, void *ctx);
int peer_send(peer_t *peer, uint32_t procedure, void *args);
bool peer_is_up(const peer_t *peer);
int64_t peer_last_received_ms(const peer_t *peer);
void peer_set_found(peer_set_t *set, const peer_info_t *peers, size_t count);
peer_info_t peer_self(const settings_t *settings);
void peer_heard(peer_t *peer, int64_t now_ms);
