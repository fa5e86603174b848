#include <errno.h>
#include <string.h>

#include "state/machine_private.h"

#define SNAPSHOT_MAGIC 0x43485631 /* "CHV1" */
#define SNAPSHOT_FORMAT 2
#define MAX_CONFIG_BYTES 268435456 /* config.c accepts less */
#define INITIAL_BUFFER_BYTES 65536
#define MAX_SNAPSHOT_BYTES 0x40000000u /* 1 GiB; xdrmem sizes have 32 bits */

/* XDR filters: each one encodes, decodes and frees a record, see xdr(3). */

static bool_t
xdr_text(XDR *xdr, char **text)
{
	return xdr_string(xdr, text, BODY_MAX_LEN);
}

static bool_t
xdr_blob(XDR *xdr, char **data, size_t *len)
{
	u_int count = (u_int)*len;

	if (!xdr_bytes(xdr, data, &count, BODY_MAX_LEN))
		return FALSE;
	*len = count;
	return TRUE;
}

static bool_t
xdr_flag(XDR *xdr, bool *flag)
{
	bool_t value = *flag;

	if (!xdr_bool(xdr, &value))
		return FALSE;
	*flag = value != 0;
	return TRUE;
}

static bool_t
xdr_outcome(XDR *xdr, patch_outcome_t *outcome)
{
	return xdr_text(xdr, &outcome->id) && xdr_int(xdr, &outcome->code) &&
	       xdr_uint64_t(xdr, &outcome->base) &&
	       xdr_uint64_t(xdr, &outcome->version) &&
	       xdr_text(xdr, &outcome->text);
}

static bool_t
xdr_version(XDR *xdr, machine_version_t *version)
{
	return xdr_uint64_t(xdr, &version->number) &&
	       xdr_text(xdr, &version->patch_id) &&
	       xdr_text(xdr, &version->author) &&
	       xdr_int64_t(xdr, &version->time_ms) &&
	       xdr_text(xdr, &version->patch);
}

static bool_t
xdr_claim(XDR *xdr, claim_entry_t *entry)
{
	machine_claim_t *claim = &entry->claim;

	return xdr_int64_t(xdr, &entry->stamp_ms) &&
	       xdr_text(xdr, &claim->tenant) && xdr_text(xdr, &claim->key) &&
	       xdr_text(xdr, &claim->task) && xdr_text(xdr, &claim->worker) &&
	       xdr_text(xdr, &claim->instance) &&
	       xdr_uint64_t(xdr, &claim->digest) &&
	       xdr_claim_state_t(xdr, &claim->state) &&
	       xdr_int(xdr, &claim->http_status) &&
	       xdr_flag(xdr, &claim->answer_dropped) &&
	       xdr_blob(xdr, &claim->answer, &claim->answer_len) &&
	       xdr_int64_t(xdr, &claim->time_ms);
}

static bool_t
xdr_job_key(XDR *xdr, job_key_t *key)
{
	return xdr_int64_t(xdr, &key->stamp_ms) &&
	       xdr_text(xdr, &key->tenant) && xdr_text(xdr, &key->key) &&
	       xdr_text(xdr, &key->job) && xdr_uint64_t(xdr, &key->digest);
}

static bool_t
xdr_worker(XDR *xdr, machine_worker_t *worker)
{
	return xdr_text(xdr, &worker->id) && xdr_text(xdr, &worker->address) &&
	       xdr_int(xdr, &worker->port) && xdr_text(xdr, &worker->domain) &&
	       xdr_text(xdr, &worker->rack) && xdr_int(xdr, &worker->slots) &&
	       xdr_int(xdr, &worker->connections) &&
	       xdr_int(xdr, &worker->accelerators) &&
	       xdr_uint64_t(xdr, &worker->generation) &&
	       xdr_uint64_t(xdr, &worker->fence) &&
	       xdr_text(xdr, &worker->owner) && xdr_flag(xdr, &worker->leaving);
}

static bool_t
xdr_instance(XDR *xdr, machine_instance_t *instance)
{
	return xdr_text(xdr, &instance->id) &&
	       xdr_flag(xdr, &instance->alive) &&
	       xdr_flag(xdr, &instance->draining) &&
	       xdr_uint64_t(xdr, &instance->incarnation);
}

static bool_t
xdr_placer(XDR *xdr, machine_placer_t *placer)
{
	return xdr_text(xdr, &placer->domain) &&
	       xdr_text(xdr, &placer->instance) &&
	       xdr_uint64_t(xdr, &placer->epoch);
}

static bool_t
xdr_member(XDR *xdr, machine_member_t *member)
{
	return xdr_text(xdr, &member->worker) && xdr_text(xdr, &member->task) &&
	       xdr_uint64_t(xdr, &member->fence) &&
	       xdr_uint32_t(xdr, &member->accelerator_mask);
}

static bool_t
xdr_members(XDR *xdr, machine_job_t *job)
{
	u_int count = (u_int)job->placed_count;

	bool_t done = xdr_array(xdr, (char **)&job->members, &count,
	    MAX_MEMBERS, sizeof(machine_member_t), (xdrproc_t)xdr_member);

	/* Also set on failure, to free the members decoded so far. */
	job->placed_count = count;
	return done;
}

/* States are saved by name, so that states can be added to the chart. */
static bool_t
xdr_state(XDR *xdr, int *state)
{
	const chart_t *chart = chart_builtin("job");
	char name[64] = "";
	char *text = name;

	if (xdr->x_op == XDR_FREE)
		return TRUE;
	if (xdr->x_op == XDR_ENCODE)
		g_strlcpy(name, chart_state_name(chart, *state), sizeof(name));
	if (!xdr_string(xdr, &text, sizeof(name) - 1))
		return FALSE;
	*state = chart_state(chart, name);
	return *state >= 0;
}

static bool_t
xdr_job(XDR *xdr, job_entry_t *entry)
{
	machine_job_t *job = &entry->job;

	return xdr_text(xdr, &job->id) && xdr_text(xdr, &job->tenant) &&
	       xdr_text(xdr, &job->workspace) && xdr_text(xdr, &job->domain) &&
	       xdr_text(xdr, &job->key) && xdr_uint64_t(xdr, &job->digest) &&
	       xdr_int(xdr, &job->member_count) &&
	       xdr_int(xdr, &job->accelerators) &&
	       xdr_adjacency_t(xdr, &job->adjacency) &&
	       xdr_job_priority_t(xdr, &job->priority) &&
	       xdr_int64_t(xdr, &job->declared_ms) &&
	       xdr_int64_t(xdr, &job->deadline_ms) &&
	       xdr_int64_t(xdr, &job->submitted_ms) &&
	       xdr_int64_t(xdr, &job->started_ms) &&
	       xdr_int64_t(xdr, &job->ended_ms) &&
	       xdr_state(xdr, &job->state) &&
	       xdr_uint32_t(xdr, &job->attempt) &&
	       xdr_uint64_t(xdr, &job->epoch) &&
	       xdr_flag(xdr, &job->guaranteed) && xdr_members(xdr, job) &&
	       xdr_text(xdr, &job->reason) &&
	       xdr_uint64_t(xdr, &job->config_version) &&
	       xdr_blob(xdr, &job->body, &job->body_len) &&
	       xdr_blob(xdr, &job->result, &job->result_len) &&
	       xdr_uint64_t(xdr, &job->sequence) &&
	       xdr_flag(xdr, &entry->has_ended_attempt) &&
	       xdr_uint32_t(xdr, &entry->ended_attempt) &&
	       xdr_job_end_t(xdr, &entry->end);
}

/* The fields at the start of a snapshot, before the record lists. */
typedef struct {
	uint32_t magic;
	uint32_t format;
	uint64_t index;
	int64_t time_ms;
	int64_t min_key_stamp_ms;
	uint64_t config_version;
	uint64_t last_fence;
	uint64_t last_sequence;
	char *config;
} snapshot_header_t;

static bool_t
xdr_header(XDR *xdr, snapshot_header_t *header)
{
	return xdr_uint32_t(xdr, &header->magic) &&
	       xdr_uint32_t(xdr, &header->format) &&
	       header->magic == SNAPSHOT_MAGIC &&
	       header->format == SNAPSHOT_FORMAT &&
	       xdr_uint64_t(xdr, &header->index) &&
	       xdr_int64_t(xdr, &header->time_ms) &&
	       xdr_int64_t(xdr, &header->min_key_stamp_ms) &&
	       xdr_uint64_t(xdr, &header->config_version) &&
	       xdr_uint64_t(xdr, &header->last_fence) &&
	       xdr_uint64_t(xdr, &header->last_sequence) &&
	       xdr_string(xdr, &header->config, MAX_CONFIG_BYTES);
}

/* ---- save ---- */

typedef struct {
	GByteArray *out;
	guint used;
	int rc;
} writer_t;

/* Encodes one record, doubling the buffer until it fits. */
static void
encode(writer_t *writer, xdrproc_t proc, const void *record)
{
	XDR xdr;
	bool_t done;

	while (writer->rc == 0) {
		xdrmem_create(&xdr, (char *)writer->out->data + writer->used,
		    writer->out->len - writer->used, XDR_ENCODE);
		done = proc(&xdr, (void *)record);
		if (done)
			writer->used += xdr_getpos(&xdr);
		xdr_destroy(&xdr);
		if (done)
			return;
		if (writer->out->len >= MAX_SNAPSHOT_BYTES)
			writer->rc = -E2BIG;
		else
			g_byte_array_set_size(
			    writer->out, writer->out->len * 2);
	}
}

static void
encode_count(writer_t *writer, guint count)
{
	encode(writer, (xdrproc_t)xdr_u_int, &count);
}

static void
encode_tree(writer_t *writer, GTree *tree, xdrproc_t proc)
{
	encode_count(writer, (guint)g_tree_nnodes(tree));
	for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
	     node = g_tree_node_next(node))
		encode(writer, proc, g_tree_node_value(node));
}

static void
encode_config_history(writer_t *writer, const machine_t *machine)
{
	encode_count(writer, machine->versions->len);
	for (guint i = 0; i < machine->versions->len; i++)
		encode(writer, (xdrproc_t)xdr_version,
		    g_ptr_array_index(machine->versions, i));
	encode_count(writer, machine->outcome_order->length);
	for (GList *at = machine->outcome_order->head; at != NULL;
	     at = at->next)
		encode(writer, (xdrproc_t)xdr_outcome, at->data);
}

static void
encode_finished(writer_t *writer, const machine_t *machine)
{
	encode_count(writer, machine->finished->length);
	for (GList *at = machine->finished->head; at != NULL; at = at->next) {
		const job_entry_t *entry = at->data;

		encode(writer, (xdrproc_t)xdr_uint64_t, &entry->job.sequence);
	}
}

/*
 * Writes a snapshot of the whole state into out, replacing its content.  Equal
 * states give equal bytes.  Returns -E2BIG if it would exceed 1 GiB.
 */
int
machine_save(const machine_t *machine, GByteArray *out)
{
	writer_t writer = {.out = out};
	snapshot_header_t header = {
	    .magic = SNAPSHOT_MAGIC,
	    .format = SNAPSHOT_FORMAT,
	    .index = machine->index,
	    .time_ms = machine->time_ms,
	    .min_key_stamp_ms = machine->min_key_stamp_ms,
	    .config_version = machine->config_version,
	    .last_fence = machine->last_fence,
	    .last_sequence = machine->last_sequence,
	    .config = json_dumps(machine->config, JSON_COMPACT),
	};

	g_byte_array_set_size(out, INITIAL_BUFFER_BYTES);
	encode(&writer, (xdrproc_t)xdr_header, &header);
	encode_config_history(&writer, machine);
	encode_tree(&writer, machine->claims, (xdrproc_t)xdr_claim);
	encode_tree(&writer, machine->job_keys, (xdrproc_t)xdr_job_key);
	encode_tree(&writer, machine->workers, (xdrproc_t)xdr_worker);
	encode_tree(&writer, machine->instances, (xdrproc_t)xdr_instance);
	encode_tree(&writer, machine->placers, (xdrproc_t)xdr_placer);
	encode_tree(&writer, machine->job_order, (xdrproc_t)xdr_job);
	encode_finished(&writer, machine);
	encode(&writer, (xdrproc_t)ledger_xdr_save, machine->ledger);
	g_byte_array_set_size(out, writer.rc == 0 ? writer.used : 0);
	g_free(header.config);
	return writer.rc;
}

/* ---- load ---- */

/* Frees a record that was not inserted into the machine. */
static void
free_record(xdrproc_t proc, void *record)
{
	XDR xdr = {.x_op = XDR_FREE};

	proc(&xdr, record);
	g_free(record);
}

static bool
decode_header(XDR *xdr, machine_t *machine)
{
	snapshot_header_t header = {0};
	json_t *config;

	if (!xdr_header(xdr, &header)) {
		g_free(header.config);
		return false;
	}
	config = json_loads(header.config, JSON_REJECT_DUPLICATES, NULL);
	g_free(header.config);
	if (config == NULL)
		return false;
	machine_config_activate(machine, config, header.config_version);
	machine->index = header.index;
	machine->time_ms = header.time_ms;
	machine->min_key_stamp_ms = header.min_key_stamp_ms;
	machine->last_fence = header.last_fence;
	machine->last_sequence = header.last_sequence;
	return true;
}

static bool
insert_version(machine_t *machine, void *record)
{
	machine_version_add(machine, record);
	return true;
}

/* Rejects a duplicate patch id. */
static bool
insert_outcome(machine_t *machine, void *record)
{
	const patch_outcome_t *outcome = record;

	if (g_hash_table_contains(machine->outcomes, outcome->id))
		return false;
	machine_outcome_add(machine, record);
	return true;
}

static bool
insert_claim(machine_t *machine, void *record)
{
	machine_claims_insert(machine, record);
	return true;
}

static bool
insert_key(machine_t *machine, void *record)
{
	machine_jobs_insert_key(machine, record);
	return true;
}

static bool
insert_worker(machine_t *machine, void *record)
{
	machine_worker_t *worker = record;

	g_tree_replace(machine->workers, worker->id, worker);
	return true;
}

static bool
insert_instance(machine_t *machine, void *record)
{
	machine_instance_t *instance = record;

	g_tree_replace(machine->instances, instance->id, instance);
	return true;
}

static bool
insert_placer(machine_t *machine, void *record)
{
	machine_placer_t *placer = record;

	g_tree_replace(machine->placers, placer->domain, placer);
	return true;
}

/* Rejects a duplicate job id or sequence number. */
static bool
insert_job(machine_t *machine, void *record)
{
	const job_entry_t *entry = record;

	if (g_hash_table_contains(machine->jobs, entry->job.id) ||
	    g_tree_lookup(machine->job_order, entry) != NULL)
		return false;
	machine_jobs_insert(machine, record);
	return true;
}

/* The record lists after the header, in the order of machine_save. */
static const struct {
	xdrproc_t proc;
	size_t size;
	bool (*insert)(machine_t *machine, void *record);
} record_lists[] = {
    {(xdrproc_t)xdr_version, sizeof(machine_version_t), insert_version},
    {(xdrproc_t)xdr_outcome, sizeof(patch_outcome_t), insert_outcome},
    {(xdrproc_t)xdr_claim, sizeof(claim_entry_t), insert_claim},
    {(xdrproc_t)xdr_job_key, sizeof(job_key_t), insert_key},
    {(xdrproc_t)xdr_worker, sizeof(machine_worker_t), insert_worker},
    {(xdrproc_t)xdr_instance, sizeof(machine_instance_t), insert_instance},
    {(xdrproc_t)xdr_placer, sizeof(machine_placer_t), insert_placer},
    {(xdrproc_t)xdr_job, sizeof(job_entry_t), insert_job},
};

static bool
decode_finished(XDR *xdr, machine_t *machine)
{
	u_int count;

	if (!xdr_u_int(xdr, &count))
		return false;
	for (u_int i = 0; i < count; i++) {
		job_entry_t probe = {0};
		job_entry_t *entry;

		if (!xdr_uint64_t(xdr, &probe.job.sequence))
			return false;
		entry = g_tree_lookup(machine->job_order, &probe);
		if (entry == NULL ||
		    !chart_is_final(machine->job_chart, entry->job.state))
			return false;
		g_queue_push_tail(machine->finished, entry);
	}
	return true;
}

static bool
decode_snapshot(XDR *xdr, machine_t *machine)
{
	u_int count;

	if (!decode_header(xdr, machine))
		return false;
	for (size_t list = 0; list < G_N_ELEMENTS(record_lists); list++) {
		if (!xdr_u_int(xdr, &count))
			return false;
		for (u_int i = 0; i < count; i++) {
			void *record = g_malloc0(record_lists[list].size);

			if (record_lists[list].proc(xdr, record) &&
			    record_lists[list].insert(machine, record))
				continue;
			free_record(record_lists[list].proc, record);
			return false;
		}
	}
	return decode_finished(xdr, machine) &&
	       ledger_xdr_load(xdr, machine->ledger);
}

/*
 * Replaces the state by that of a snapshot.  Returns -EBADMSG and leaves the
 * machine unchanged if the bytes are not a valid snapshot of a known format.
 * The storage layer has already verified their checksum.
 */
int
machine_load(machine_t *machine, str_t bytes)
{
	machine_t *loaded = machine_create();
	machine_t old = *machine;
	XDR xdr;
	bool done;

	if (bytes.len > MAX_SNAPSHOT_BYTES) {
		machine_destroy(loaded);
		return -EBADMSG;
	}
	xdrmem_create(&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
	done = decode_snapshot(&xdr, loaded) && xdr_getpos(&xdr) == bytes.len;
	xdr_destroy(&xdr);
	if (done) {
		*machine = *loaded;
		*loaded = old;
	}
	machine_destroy(loaded);
	return done ? 0 : -EBADMSG;
}
