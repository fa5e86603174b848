#include "rpc/message.h"

#include <errno.h>
#include <limits.h>

#include "rpc/codec.h"
#include "rpc/record.h"

/* A header without credentials needs 40 bytes. */
#define HEADER_MAX_BYTES 128
#define DIRECTION_OFFSET 4
#define DIRECTION_END 8

#define ARGS(type) .args = (xdrproc_t)xdr_##type, .args_size = sizeof(type)
#define RESULT(type) \
	.result = (xdrproc_t)xdr_##type, .result_size = sizeof(type)
#define NO_ARGS .args = NULL, .args_size = 1
#define NO_RESULT .result = NULL, .result_size = 1

static const message_procedure_t procedures[] = {
    [RPC_HELLO] = {"HELLO", ARGS(hello_args_t), RESULT(hello_result_t)},
    [RPC_PING] = {"PING", NO_ARGS, NO_RESULT},
    [RPC_RAFT] = {"RAFT", ARGS(raft_message_t), NO_RESULT, .one_way = true},
    [RPC_PROPOSE] = {"PROPOSE", ARGS(propose_args_t), RESULT(propose_result_t)},
    [RPC_FORWARD] = {"FORWARD", ARGS(forward_args_t), RESULT(forward_result_t)},
    [RPC_ASK] = {"ASK", ARGS(ask_args_t), RESULT(forward_result_t)},
    [RPC_SEEN] = {"SEEN", ARGS(seen_args_t), NO_RESULT, .one_way = true},
    [RPC_SHARE] = {"SHARE", ARGS(share_args_t), NO_RESULT, .one_way = true},
    [RPC_BATCH] = {"BATCH", ARGS(batch_call_t), RESULT(batch_reply_t)},
    [RPC_ANNOUNCE] = {"ANNOUNCE", ARGS(announce_args_t),
	RESULT(announce_result_t)},
    [RPC_PEERS] = {"PEERS", ARGS(peer_list_t), NO_RESULT, .one_way = true},
};

/* Returns the procedure of that number, NULL when there is none. */
const message_procedure_t *
message_procedure(uint32_t procedure)
{
	if (procedure >= G_N_ELEMENTS(procedures) ||
	    procedures[procedure].name == NULL)
		return NULL;
	return &procedures[procedure];
}

/* Stops libtirpc's codec of the reply header before the result. */
static bool_t
no_result(XDR *xdrs, ...)
{
	return TRUE;
}

static int
decode_call(XDR *xdrs, message_t *message)
{
	struct rpc_msg header = {0};
	bool_t ok = xdr_callmsg(xdrs, &header);

	/* Credentials are not used, but the decoder allocates them. */
	mem_free(header.rm_call.cb_cred.oa_base, 0);
	mem_free(header.rm_call.cb_verf.oa_base, 0);
	if (!ok || header.rm_call.cb_prog != CHERVILHOLD_PROGRAM)
		return -EBADMSG;
	message->xid = header.rm_xid;
	message->is_call = true;
	message->procedure = header.rm_call.cb_proc;
	return 0;
}

static int
code_of_status(enum accept_stat status)
{
	switch (status) {
	case SUCCESS:
		return 0;
	case PROC_UNAVAIL:
	case PROG_UNAVAIL:
		return -ENOSYS;
	case PROG_MISMATCH:
		return -EPROTONOSUPPORT;
	case GARBAGE_ARGS:
		return -EINVAL;
	default:
		return -EREMOTEIO;
	}
}

static int
decode_reply(XDR *xdrs, message_t *message)
{
	struct rpc_msg header = {0};
	bool_t ok;

	header.acpted_rply.ar_results.proc = no_result;
	ok = xdr_replymsg(xdrs, &header);
	if (header.rm_reply.rp_stat == MSG_ACCEPTED)
		mem_free(header.acpted_rply.ar_verf.oa_base, 0);
	if (!ok)
		return -EBADMSG;
	message->xid = header.rm_xid;
	message->is_call = false;
	message->code = -EACCES;
	if (header.rm_reply.rp_stat == MSG_ACCEPTED)
		message->code = code_of_status(header.acpted_rply.ar_stat);
	return 0;
}

/* Reads the header of a record.  Returns 0 or -EBADMSG. */
int
message_decode(str_t record, message_t *message)
{
	const char *data = record.data;
	bool is_call;
	u_int used;
	XDR xdrs;
	int code;

	*message = (message_t){0};
	if (record.len < DIRECTION_END || record.len > UINT_MAX)
		return -EBADMSG;
	is_call = data[DIRECTION_END - 1] == CALL;
	xdrmem_create(&xdrs, (char *)data, (u_int)record.len, XDR_DECODE);
	code = is_call ? decode_call(&xdrs, message)
		       : decode_reply(&xdrs, message);
	used = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (code != 0)
		return code;
	message->body = (str_t){data + used, record.len - used};
	return 0;
}

/*
 * Returns the record of a call; NULL with *code set to -EINVAL for an unknown
 * procedure or arguments outside the protocol's limits, or to -EMSGSIZE.
 */
GByteArray *
message_call(uint32_t xid, uint32_t procedure, const void *args, int *code)
{
	const message_procedure_t *entry = message_procedure(procedure);
	struct rpc_msg header = {.rm_xid = xid, .rm_direction = CALL};
	char buffer[HEADER_MAX_BYTES];
	GByteArray *out;
	guint start;
	XDR xdrs;

	if (entry == NULL) {
		*code = -EINVAL;
		return NULL;
	}
	header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header.rm_call.cb_prog = CHERVILHOLD_PROGRAM;
	/* Versions are agreed on by HELLO; this field stays the same. */
	header.rm_call.cb_vers = CHERVILHOLD_V1;
	header.rm_call.cb_proc = procedure;
	xdrmem_create(&xdrs, buffer, sizeof(buffer), XDR_ENCODE);
	xdr_callmsg(&xdrs, &header);
	out = g_byte_array_new();
	start = record_begin(out);
	g_byte_array_append(out, (uint8_t *)buffer, xdr_getpos(&xdrs));
	xdr_destroy(&xdrs);
	*code = codec_encode(entry->args, args, out);
	if (*code == 0)
		*code = record_end(out, start);
	if (*code != 0) {
		g_byte_array_unref(out);
		return NULL;
	}
	return out;
}

static guint
append_reply_header(GByteArray *out, uint32_t xid, enum accept_stat status)
{
	struct rpc_msg header = {.rm_xid = xid, .rm_direction = REPLY};
	char buffer[HEADER_MAX_BYTES];
	guint start;
	XDR xdrs;

	header.rm_reply.rp_stat = MSG_ACCEPTED;
	header.acpted_rply.ar_stat = status;
	header.acpted_rply.ar_results.proc = no_result;
	xdrmem_create(&xdrs, buffer, sizeof(buffer), XDR_ENCODE);
	xdr_replymsg(&xdrs, &header);
	start = record_begin(out);
	g_byte_array_append(out, (uint8_t *)buffer, xdr_getpos(&xdrs));
	xdr_destroy(&xdrs);
	return start;
}

/* Returns the record of a reply, NULL when the result breaks a limit. */
GByteArray *
message_reply(uint32_t xid, uint32_t procedure, const void *result)
{
	const message_procedure_t *entry = message_procedure(procedure);
	GByteArray *out = g_byte_array_new();
	guint start = append_reply_header(out, xid, SUCCESS);

	if (codec_encode(entry->result, result, out) != 0 ||
	    record_end(out, start) != 0) {
		g_byte_array_unref(out);
		return NULL;
	}
	return out;
}

/* Returns the record of a reply without a result. */
GByteArray *
message_error(uint32_t xid, enum accept_stat status)
{
	GByteArray *out = g_byte_array_new();

	record_end(out, append_reply_header(out, xid, status));
	return out;
}
