#include "common/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/*
 * Fills err (which may be NULL) and returns code, a negative errno value, so
 * that a caller can write "return err_set(...)".  A NULL peer means that the
 * failure arose in this process.
 */
int
err_set(err_t *err, int code, const char *step, const char *peer,
    const char *format, ...)
{
	va_list args;

	if (err == NULL)
		return code;
	err->code = code;
	snprintf(err->step, sizeof(err->step), "%s", step);
	snprintf(
	    err->peer, sizeof(err->peer), "%s", peer != NULL ? peer : "local");
	va_start(args, format);
	vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
	return code;
}

/* Writes "step: peer: text (errno text)" into buffer and returns it. */
const char *
err_format(const err_t *err, char *buffer, int size)
{
	snprintf(buffer, (size_t)size, "%s: %s: %s (%s)", err->step, err->peer,
	    err->text, strerror(-err->code));
	return buffer;
}
