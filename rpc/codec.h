#pragma once

#include <glib.h>

#include "common/str.h"
#include "rpc/protocol.h"

/* Encodes and decodes one XDR value; see rpc/protocol.x for the types. */
int codec_encode(xdrproc_t proc, const void *value, GByteArray *out);
int codec_decode(xdrproc_t proc, str_t bytes, void *value);
void codec_free(xdrproc_t proc, void *value);
GByteArray *codec_encode_command(const command_t *command);
