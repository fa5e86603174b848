#pragma once

/* A failed operation: what failed (step), against whom (peer) and why. */
typedef struct {
	int code; /* negative errno value, 0 when nothing failed */
	char step[32];
	char peer[64];
	char text[256];
} err_t;

int err_set(err_t *err, int code, const char *step, const char *peer,
    const char *format, ...) __attribute__((format(printf, 5, 6)));
const char *err_format(const err_t *err, char *buffer, int size);
