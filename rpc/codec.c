#include "rpc/codec.h"

#include <errno.h>
#include <limits.h>

/* Above the largest snapshot of the state machine that is expected. */
#define ENCODED_MAX_BYTES (1024 * 1024 * 1024)

/*
 * Appends the XDR form of value to out; nothing when proc is NULL.  Strings
 * must not be NULL.  Returns 0, -EINVAL when a field is outside the limits of
 * rpc/protocol.x or -EMSGSIZE; out is unchanged on error.
 */
int
codec_encode(xdrproc_t proc, const void *value, GByteArray *out)
{
	guint start = out->len;
	u_long size;
	XDR xdrs;
	bool_t ok;

	if (proc == NULL)
		return 0;
	size = xdr_sizeof(proc, (void *)value);
	if (size == 0)
		return -EINVAL;
	if (size > ENCODED_MAX_BYTES - start)
		return -EMSGSIZE;
	g_byte_array_set_size(out, start + (guint)size);
	xdrmem_create(
	    &xdrs, (char *)out->data + start, (u_int)size, XDR_ENCODE);
	ok = proc(&xdrs, (void *)value);
	xdr_destroy(&xdrs);
	if (!ok) {
		g_byte_array_set_size(out, start);
		return -EINVAL;
	}
	return 0;
}

/*
 * Decodes bytes, which must hold exactly one value, into value, which must be
 * zeroed.  The result is freed with codec_free.  Returns 0 or -EBADMSG; nothing
 * is left to free then.
 */
int
codec_decode(xdrproc_t proc, str_t bytes, void *value)
{
	bool_t ok;
	XDR xdrs;

	if (bytes.len > UINT_MAX)
		return -EBADMSG;
	if (proc == NULL)
		return bytes.len == 0 ? 0 : -EBADMSG;
	xdrmem_create(&xdrs, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
	ok = proc(&xdrs, value) && xdr_getpos(&xdrs) == bytes.len;
	xdr_destroy(&xdrs);
	if (!ok) {
		xdr_free(proc, value);
		return -EBADMSG;
	}
	return 0;
}

/* Frees what codec_decode allocated inside value, not value itself. */
void
codec_free(xdrproc_t proc, void *value)
{
	if (proc != NULL)
		xdr_free(proc, value);
}

/* Returns the command as bytes for the log, NULL when it breaks a limit. */
GByteArray *
codec_encode_command(const command_t *command)
{
	GByteArray *out = g_byte_array_new();

	if (codec_encode((xdrproc_t)xdr_command_t, command, out) != 0) {
		g_byte_array_unref(out);
		return NULL;
	}
	return out;
}
