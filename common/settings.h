#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SETTINGS_MAX_PEERS 64

/* One instance of the system as named in the settings. */
typedef struct {
	char *id;
	char *address; /* IP address, no host name */
	char *failure_domain;
	int64_t rpc_port;
	int64_t
	    http_port; /* callers and backend servers, through the balancer */
	int64_t operator_port;
	bool is_replica;
	bool is_founder; /* a voter of the first membership */
} settings_peer_t;

/* Checked settings of one daemon. */
typedef struct {
	char *instance;
	char *address;
	char *failure_domain;
	bool role_entry;
	bool role_placer;
	bool role_replica;
	char *data_folder;
	int64_t rpc_port;
	int64_t http_port;
	int64_t operator_port;
	char *balancer_url; /* told before a graceful shutdown; may be empty */
	char *operator_key_file;
	char *reader_key_file;
	int64_t drain_timeout_ms;
	int64_t election_timeout_ms;
	int64_t heartbeat_ms;
	int64_t snapshot_entries;
	int64_t snapshot_log_bytes;
	int64_t ping_interval_ms;
	int64_t silent_after_ms;
	int64_t worker_lease_ms;
	int64_t short_limit_ms;
	int64_t short_reserved_slots;
	int64_t max_body_bytes;
	int64_t max_connections;
	int64_t memory_mb; /* 0: what the machine or control group has */
	int64_t queue_limit;
	int64_t voters; /* 0: every replica votes */
	bool may_found; /* false: an empty data folder is a lost disk */
	char *log_level;
	settings_peer_t
	    peers[SETTINGS_MAX_PEERS]; /* the whole system, self too */
	size_t peer_count;
} settings_t;

/* Copies a peer that was found at run time; -ENOSPC when the table is full. */
int settings_add_peer(settings_t *settings, const settings_peer_t *peer);
const settings_peer_t *settings_peer(
    const settings_t *settings, const char *id);
char *settings_read_file(const char *path, gsize *len, GPtrArray *problems);
settings_t *settings_load(const char *path, GPtrArray *problems);
settings_t *settings_parse(
    const char *text, size_t len, const char *name, GPtrArray *problems);
void settings_destroy(settings_t *settings);
void settings_print(const settings_t *settings, GString *out);
void settings_print_reference(GString *out);
