#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "rpc/protocol.h"

/* How the arguments and the result of a procedure are encoded. */
typedef struct {
	const char *name;
	xdrproc_t args;
	size_t args_size;
	xdrproc_t result;
	size_t result_size;
	bool one_way; /* never answered */
} message_procedure_t;

/* A decoded header; body is the encoded arguments or result. */
typedef struct {
	uint32_t xid;
	bool is_call;
	uint32_t procedure; /* of a call */
	int code;           /* of a reply: 0 or a negative errno value */
	str_t body;
} message_t;

const message_procedure_t *message_procedure(uint32_t procedure);
int message_decode(str_t record, message_t *message);
GByteArray *message_call(
    uint32_t xid, uint32_t procedure, const void *args, int *code);
GByteArray *message_reply(uint32_t xid, uint32_t procedure, const void *result);
GByteArray *message_error(uint32_t xid, enum accept_stat status);
