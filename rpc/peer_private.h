#pragma once

#include "rpc/message.h"
#include "rpc/peer.h"

typedef struct {
	peer_t *peer; /* NULL when the call was refused at once */
	uint32_t xid;
	uint32_t procedure;
	int64_t deadline_ms;
	GSequenceIter *position;
	GByteArray *bytes; /* until it is handed to the connection */
	connection_ticket_t ticket;
	bool handed_over;
	endpoint_done_t *done;
	void *ctx;
	err_t err;
} peer_call_t;

struct peer_t {
	peer_set_t *set;
	const settings_peer_t *settings;
	connection_t *connection;
	bool up;
	int64_t up_since_ms;
	bool reported_down;
	bool reported_refusal;
	uint32_t hello_xid;
	uint32_t ping_xid;
	int64_t backoff_ms;
	int64_t last_received_ms;
	ev_timer redial;
	GHashTable *calls; /* every call that has not ended, by xid */
	GQueue waiting;    /* calls made while HELLO is outstanding */
	size_t waiting_bytes;
};

uint32_t peer_next_xid(peer_set_t *set, const peer_t *peer);
void peer_calls_start(peer_t *peer);
GList *peer_calls_detach(peer_t *peer);
void peer_calls_end(peer_t *peer, GList *calls, const char *text);
int peer_calls_reply(peer_t *peer, const message_t *message);
