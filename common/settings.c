#include "common/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <string.h>

#define PORT_MAX 65535
#define HOUR_MS 3600000

typedef enum {
	OPTION_STRING,
	OPTION_ADDRESS,
	OPTION_BOOL,
	OPTION_INTEGER,
	OPTION_ROLES,
	OPTION_PEERS,
} option_type_t;

/* One key: where it is kept, what it may hold and what it is for. */
typedef struct {
	const char *key;
	option_type_t type;
	size_t offset;
	bool required;
	const char *unit;
	int64_t min;
	int64_t max;
	int64_t default_integer;
	const char *default_string;
	const char *meaning;
} option_t;

#define AT(field) .offset = offsetof(settings_t, field)
#define PEER_AT(field) .offset = offsetof(settings_peer_t, field)
#define PORT .type = OPTION_INTEGER, .unit = "port", .min = 0, .max = PORT_MAX
#define MILLISECONDS(low, high, value)                                     \
	.type = OPTION_INTEGER, .unit = "ms", .min = (low), .max = (high), \
	.default_integer = (value)

static const option_t options[] = {
    {"instance", OPTION_STRING, AT(instance), .required = true,
	.meaning = "name of this instance"},
    {"address", OPTION_ADDRESS, AT(address), .required = true,
	.meaning = "IP address to listen on"},
    {"failure_domain", OPTION_STRING, AT(failure_domain), .required = true,
	.meaning = "failure domain of this instance"},
    {"roles", OPTION_ROLES, .required = true,
	.meaning = "any of \"entry\", \"placer\", \"replica\""},
    {"data_folder", OPTION_STRING, AT(data_folder), .default_string = "",
	.meaning = "folder of the durable state; replicas only"},
    {"rpc_port", AT(rpc_port), PORT, .required = true,
	.meaning = "port for the system's own processes"},
    {"http_port", AT(http_port), PORT, .required = true,
	.meaning = "port for callers and backend servers"},
    {"operator_port", AT(operator_port), PORT, .required = true,
	.meaning = "port for operators and metrics"},
    {"balancer_url", OPTION_STRING, AT(balancer_url), .default_string = "",
	.meaning = "told before a graceful shutdown"},
    {"operator_key_file", OPTION_STRING, AT(operator_key_file),
	.default_string = "",
	.meaning = "file with the key that may change things; "
		   "empty lets every operator"},
    {"reader_key_file", OPTION_STRING, AT(reader_key_file),
	.default_string = "",
	.meaning = "file with the key that may only read; "
		   "empty lets everybody read"},
    {"drain_timeout_ms", AT(drain_timeout_ms), MILLISECONDS(0, HOUR_MS, 30000),
	.meaning = "longest wait for work in flight at shutdown"},
    {"election_timeout_ms", AT(election_timeout_ms),
	MILLISECONDS(50, 60000, 500),
	.meaning = "shortest silence of a leader before an election"},
    {"heartbeat_ms", AT(heartbeat_ms), MILLISECONDS(5, 10000, 100),
	.meaning = "interval of a leader's heartbeats"},
    {"snapshot_entries", AT(snapshot_entries), .type = OPTION_INTEGER,
	.unit = "entries", .min = 16, .max = 10000000, .default_integer = 4096,
	.meaning = "log entries after which a snapshot is taken"},
    {"snapshot_log_bytes", AT(snapshot_log_bytes), .type = OPTION_INTEGER,
	.unit = "bytes", .min = 65536, .max = 1073741824,
	.default_integer = 16777216,
	.meaning = "bytes of log entries after which a snapshot is taken"},
    {"ping_interval_ms", AT(ping_interval_ms), MILLISECONDS(10, 60000, 500),
	.meaning = "interval of pings between instances"},
    {"silent_after_ms", AT(silent_after_ms), MILLISECONDS(20, 600000, 1500),
	.meaning = "silence after which a connection is given up"},
    {"worker_lease_ms", AT(worker_lease_ms), MILLISECONDS(100, 600000, 3000),
	.meaning = "lease of a backend server from its announcement"},
    {"short_limit_ms", AT(short_limit_ms), MILLISECONDS(1, HOUR_MS, 500),
	.meaning = "longest declared run time of a short request"},
    {"short_reserved_slots", AT(short_reserved_slots), .type = OPTION_INTEGER,
	.unit = "slots", .min = 0, .max = 64, .default_integer = 2,
	.meaning = "slots of each backend server kept from batch work"},
    {"max_body_bytes", AT(max_body_bytes), .type = OPTION_INTEGER,
	.unit = "bytes", .min = 1024, .max = 67108864,
	.default_integer = 1048576, .meaning = "longest accepted request body"},
    {"max_connections", AT(max_connections), .type = OPTION_INTEGER,
	.unit = "connections", .min = 8, .max = 65536, .default_integer = 4096,
	.meaning = "connections accepted by each HTTP listener"},
    {"memory_mb", AT(memory_mb), .type = OPTION_INTEGER, .unit = "MiB",
	.min = 0, .max = 1048576, .default_integer = 0,
	.meaning = "memory that the process may use, from which its bounds "
		   "for clients follow; 0 for all that the control group or "
		   "the machine has, 1024 at most"},
    {"queue_limit", AT(queue_limit), .type = OPTION_INTEGER, .unit = "requests",
	.min = 1, .max = 1000000, .default_integer = 2048,
	.meaning = "requests waiting in this instance at most"},
    {"voters", AT(voters), .type = OPTION_INTEGER, .unit = "replicas", .min = 0,
	.max = 63, .default_integer = 0,
	.meaning = "replicas that vote, the others stand by; 0 for all"},
    {"log_level", OPTION_STRING, AT(log_level), .default_string = "info",
	.meaning = "least severe syslog level written"},
    {"peers", OPTION_PEERS, .required = true,
	.meaning = "every instance of the system, this one too"},
};

static const option_t peer_options[] = {
    {"id", OPTION_STRING, PEER_AT(id), .required = true,
	.meaning = "name of the instance"},
    {"address", OPTION_ADDRESS, PEER_AT(address), .required = true,
	.meaning = "its IP address"},
    {"failure_domain", OPTION_STRING, PEER_AT(failure_domain), .required = true,
	.meaning = "its failure domain"},
    {"rpc_port", PEER_AT(rpc_port), PORT, .required = true,
	.meaning = "its RPC port"},
    {"http_port", PEER_AT(http_port), PORT, .required = true,
	.meaning = "its port for callers"},
    {"operator_port", PEER_AT(operator_port), PORT, .required = true,
	.meaning = "its port for operators"},
    {"replica", OPTION_BOOL, PEER_AT(is_replica),
	.meaning = "whether it votes and keeps a disk"},
};

typedef struct {
	const char *file;
	const char *text;
	size_t len;
	GPtrArray *problems;
} parser_t;

/*
 * Finds the line of a key for a message.  jansson keeps no positions, so this
 * searches the text for the quoted key; 0 when it does not appear as such.
 */
static int
line_of_key(const parser_t *parser, const char *key)
{
	char *quoted = g_strdup_printf("\"%s\"", key);
	const char *at =
	    g_strstr_len(parser->text, (gssize)parser->len, quoted);
	int line = 0;

	if (at != NULL) {
		line = 1;
		for (const char *p = parser->text; p < at; p++)
			line += *p == '\n';
	}
	g_free(quoted);
	return line;
}

static void report(parser_t *parser, const char *path, const char *key,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

static void
report(parser_t *parser, const char *path, const char *key, const char *format,
    ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(
	    parser->problems, g_strdup_printf("%s:%d: %s%s: %s", parser->file,
				  line_of_key(parser, key), path, key, text));
	g_free(text);
}

static bool
is_address(const char *text)
{
	unsigned char buffer[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, buffer) == 1 ||
	       inet_pton(AF_INET6, text, buffer) == 1;
}

static void
read_string(parser_t *parser, const char *path, const option_t *option,
    const json_t *value, char **field)
{
	if (!json_is_string(value)) {
		report(parser, path, option->key, "expected a string");
		return;
	}
	if (option->required && json_string_length(value) == 0) {
		report(parser, path, option->key, "must not be empty");
		return;
	}
	if (option->type == OPTION_ADDRESS &&
	    !is_address(json_string_value(value))) {
		report(parser, path, option->key,
		    "expected an IP address, found \"%s\"",
		    json_string_value(value));
		return;
	}
	g_free(*field);
	*field = g_strdup(json_string_value(value));
}

static void
read_integer(parser_t *parser, const char *path, const option_t *option,
    const json_t *value, int64_t *field)
{
	if (!json_is_integer(value)) {
		report(parser, path, option->key,
		    "expected a whole number (%s)", option->unit);
		return;
	}
	if (json_integer_value(value) < option->min ||
	    json_integer_value(value) > option->max) {
		report(parser, path, option->key,
		    "%lld is outside %lld..%lld %s",
		    (long long)json_integer_value(value),
		    (long long)option->min, (long long)option->max,
		    option->unit);
		return;
	}
	*field = json_integer_value(value);
}

static void
read_roles(parser_t *parser, const json_t *value, settings_t *settings)
{
	const json_t *item;
	const char *role;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) == 0) {
		report(parser, "", "roles", "expected a list of role names");
		return;
	}
	json_array_foreach (value, i, item) {
		role = json_string_value(item);
		if (g_strcmp0(role, "entry") == 0)
			settings->role_entry = true;
		else if (g_strcmp0(role, "placer") == 0)
			settings->role_placer = true;
		else if (g_strcmp0(role, "replica") == 0)
			settings->role_replica = true;
		else
			report(parser, "", "roles",
			    "unknown role \"%s\"; expected entry, placer or "
			    "replica",
			    role != NULL ? role : "(not a string)");
	}
}

static void read_peers(
    parser_t *parser, const json_t *value, settings_t *settings);

static void
read_option(parser_t *parser, const char *path, const option_t *option,
    const json_t *value, void *base)
{
	void *field = (char *)base + option->offset;

	switch (option->type) {
	case OPTION_STRING:
	case OPTION_ADDRESS:
		read_string(parser, path, option, value, field);
		break;
	case OPTION_BOOL:
		if (json_is_boolean(value))
			*(bool *)field = json_is_true(value);
		else
			report(parser, path, option->key,
			    "expected true or false");
		break;
	case OPTION_INTEGER:
		read_integer(parser, path, option, value, field);
		break;
	case OPTION_ROLES:
		read_roles(parser, value, base);
		break;
	case OPTION_PEERS:
		read_peers(parser, value, base);
		break;
	}
}

static const option_t *
find_option(const option_t *table, size_t count, const char *key)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(table[i].key, key) == 0)
			return &table[i];
	}
	return NULL;
}

static void
set_defaults(const option_t *table, size_t count, void *base)
{
	for (size_t i = 0; i < count; i++) {
		void *field = (char *)base + table[i].offset;

		if (table[i].type == OPTION_INTEGER)
			*(int64_t *)field = table[i].default_integer;
		else if (table[i].default_string != NULL)
			*(char **)field = g_strdup(table[i].default_string);
	}
}

/* Reads every key of an object by the table and reports what is wrong. */
static void
read_object(parser_t *parser, const char *path, const option_t *table,
    size_t count, const json_t *object, void *base)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)object, key, value) {
		const option_t *option = find_option(table, count, key);

		if (option == NULL)
			report(parser, path, key, "unknown key");
		else
			read_option(parser, path, option, value, base);
	}
	for (size_t i = 0; i < count; i++) {
		if (table[i].required &&
		    json_object_get(object, table[i].key) == NULL)
			report(parser, path, table[i].key, "missing (%s)",
			    table[i].meaning);
	}
}

static void
read_peers(parser_t *parser, const json_t *value, settings_t *settings)
{
	const json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) == 0 ||
	    json_array_size(value) > SETTINGS_MAX_PEERS) {
		report(parser, "", "peers",
		    "expected a list of 1 to %d objects", SETTINGS_MAX_PEERS);
		return;
	}
	json_array_foreach (value, i, item) {
		char *path = g_strdup_printf("peers[%zu].", i);

		settings->peer_count = i + 1;
		if (json_is_object(item))
			read_object(parser, path, peer_options,
			    G_N_ELEMENTS(peer_options), item,
			    &settings->peers[i]);
		else
			report(parser, path, "peers", "expected an object");
		settings->peers[i].is_founder = settings->peers[i].is_replica;
		g_free(path);
	}
}

/* Reports contradictions between keys that are fine one by one. */
static void
check_together(parser_t *parser, const settings_t *settings)
{
	const settings_peer_t *self = NULL;

	for (size_t i = 0; i < settings->peer_count; i++) {
		const settings_peer_t *peer = &settings->peers[i];

		if (g_strcmp0(peer->id, settings->instance) == 0)
			self = peer;
		for (size_t j = 0; j < i; j++) {
			if (peer->id != NULL &&
			    g_strcmp0(peer->id, settings->peers[j].id) == 0)
				report(parser, "", "peers",
				    "instance \"%s\" is listed twice",
				    peer->id);
		}
	}
	if (settings->instance != NULL && self == NULL)
		report(parser, "", "peers",
		    "instance \"%s\" itself is not listed", settings->instance);
	if (self != NULL && self->is_replica != settings->role_replica)
		report(parser, "", "roles",
		    "replica role and peers disagree on \"%s\"", self->id);
	if (self != NULL &&
	    g_strcmp0(self->failure_domain, settings->failure_domain) != 0)
		report(parser, "", "failure_domain",
		    "settings and peers disagree on \"%s\"", self->id);
	if (settings->role_replica && settings->data_folder[0] == '\0')
		report(parser, "", "data_folder",
		    "a replica needs a folder for its state");
	if (settings->heartbeat_ms * 3 > settings->election_timeout_ms)
		report(parser, "", "heartbeat_ms",
		    "must be at most a third of election_timeout_ms");
	if (settings->ping_interval_ms * 2 > settings->silent_after_ms)
		report(parser, "", "ping_interval_ms",
		    "must be at most half of silent_after_ms");
}

/*
 * Reads settings from JSON text; name stands for the file in messages.  Adds
 * one allocated string for each problem to problems and returns NULL if there
 * is any.
 */
settings_t *
settings_parse(
    const char *text, size_t len, const char *name, GPtrArray *problems)
{
	parser_t parser = {name, text, len, problems};
	settings_t *settings;
	json_error_t error;
	json_t *root;
	guint before = problems->len;

	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
	if (root == NULL) {
		g_ptr_array_add(
		    problems, g_strdup_printf("%s:%d:%d: %s", name, error.line,
				  error.column, error.text));
		return NULL;
	}
	settings = g_new0(settings_t, 1);
	set_defaults(options, G_N_ELEMENTS(options), settings);
	settings->may_found = true;
	if (json_is_object(root)) {
		read_object(&parser, "", options, G_N_ELEMENTS(options), root,
		    settings);
		check_together(&parser, settings);
	} else {
		g_ptr_array_add(problems,
		    g_strdup_printf("%s:1: expected an object", name));
	}
	json_decref(root);
	if (problems->len > before) {
		settings_destroy(settings);
		return NULL;
	}
	return settings;
}

/* Returns the text of a file, or NULL and adds the reason to problems. */
char *
settings_read_file(const char *path, gsize *len, GPtrArray *problems)
{
	GError *error = NULL;
	char *text;

	if (g_file_get_contents(path, &text, len, &error))
		return text;
	g_ptr_array_add(problems, g_strdup(error->message));
	g_error_free(error);
	return NULL;
}

/* Like settings_parse for a file. */
settings_t *
settings_load(const char *path, GPtrArray *problems)
{
	settings_t *settings;
	gsize len;
	char *text = settings_read_file(path, &len, problems);

	if (text == NULL)
		return NULL;
	settings = settings_parse(text, len, path, problems);
	g_free(text);
	return settings;
}

/* Returns the entry of an instance, NULL when it is unknown. */
const settings_peer_t *
settings_peer(const settings_t *settings, const char *id)
{
	for (size_t i = 0; i < settings->peer_count; i++) {
		if (g_strcmp0(settings->peers[i].id, id) == 0)
			return &settings->peers[i];
	}
	return NULL;
}

int
settings_add_peer(settings_t *settings, const settings_peer_t *peer)
{
	settings_peer_t *added;

	if (settings->peer_count == SETTINGS_MAX_PEERS)
		return -ENOSPC;
	added = &settings->peers[settings->peer_count];
	*added = *peer;
	added->id = g_strdup(peer->id);
	added->address = g_strdup(peer->address);
	added->failure_domain = g_strdup(peer->failure_domain);
	settings->peer_count++;
	return 0;
}

static void
free_strings(const option_t *table, size_t count, void *base)
{
	for (size_t i = 0; i < count; i++) {
		if (table[i].type == OPTION_STRING ||
		    table[i].type == OPTION_ADDRESS)
			g_free(*(char **)((char *)base + table[i].offset));
	}
}

/* Ends settings; NULL is allowed. */
void
settings_destroy(settings_t *settings)
{
	if (settings == NULL)
		return;
	for (size_t i = 0; i < settings->peer_count; i++)
		free_strings(peer_options, G_N_ELEMENTS(peer_options),
		    &settings->peers[i]);
	free_strings(options, G_N_ELEMENTS(options), settings);
	g_free(settings);
}

static json_t *
object_of(const option_t *table, size_t count, const void *base)
{
	json_t *object = json_object();

	for (size_t i = 0; i < count; i++) {
		const void *field = (const char *)base + table[i].offset;
		json_t *value = NULL;

		if (table[i].type == OPTION_INTEGER)
			value = json_integer(*(const int64_t *)field);
		else if (table[i].type == OPTION_BOOL)
			value = json_boolean(*(const bool *)field);
		else if (table[i].type == OPTION_STRING ||
			 table[i].type == OPTION_ADDRESS)
			value = json_string(*(char *const *)field);
		if (value != NULL)
			json_object_set_new(object, table[i].key, value);
	}
	return object;
}

/* Appends the settings with every default filled in, as JSON. */
void
settings_print(const settings_t *settings, GString *out)
{
	json_t *object = object_of(options, G_N_ELEMENTS(options), settings);
	json_t *roles = json_array();
	json_t *peers = json_array();
	char *text;

	if (settings->role_entry)
		json_array_append_new(roles, json_string("entry"));
	if (settings->role_placer)
		json_array_append_new(roles, json_string("placer"));
	if (settings->role_replica)
		json_array_append_new(roles, json_string("replica"));
	json_object_set_new(object, "roles", roles);
	for (size_t i = 0; i < settings->peer_count; i++)
		json_array_append_new(
		    peers, object_of(peer_options, G_N_ELEMENTS(peer_options),
			       &settings->peers[i]));
	json_object_set_new(object, "peers", peers);
	text = json_dumps(object, JSON_INDENT(2));
	g_string_append(out, text);
	g_string_append_c(out, '\n');
	free(text);
	json_decref(object);
}

static void
print_table(const option_t *table, size_t count, GString *out)
{
	g_string_append(out, "| key | unit | range | default | meaning |\n"
			     "|---|---|---|---|---|\n");
	for (size_t i = 0; i < count; i++) {
		const option_t *option = &table[i];

		g_string_append_printf(out, "| `%s` | %s | ", option->key,
		    option->unit != NULL ? option->unit : "");
		if (option->type == OPTION_INTEGER)
			g_string_append_printf(out, "%lld..%lld | ",
			    (long long)option->min, (long long)option->max);
		else
			g_string_append(out, " | ");
		if (option->required)
			g_string_append(out, "required");
		else if (option->type == OPTION_INTEGER)
			g_string_append_printf(
			    out, "%lld", (long long)option->default_integer);
		else if (option->default_string != NULL)
			g_string_append_printf(
			    out, "\"%s\"", option->default_string);
		g_string_append_printf(out, " | %s |\n", option->meaning);
	}
}

/* Appends the reference page of the settings in Markdown. */
void
settings_print_reference(GString *out)
{
	g_string_append(out,
	    "# Settings\n\nMade by `chervilholdd --settings-reference`.\n\n");
	print_table(options, G_N_ELEMENTS(options), out);
	g_string_append(out, "\nEach entry of `peers`:\n\n");
	print_table(peer_options, G_N_ELEMENTS(peer_options), out);
}
