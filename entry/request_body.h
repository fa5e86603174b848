#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "common/mem_budget.h"

/*
 * The body of one request as it arrives.  Its room grows with the bytes that
 * have come, not with those announced, and is taken from a share of the
 * process's memory first.
 */
typedef struct {
	mem_share_t *share; /* NULL: not counted */
	char *data;
	size_t len;
	size_t capacity;
} request_body_t;

/* The room that the first bytes of a body take. */
#define REQUEST_BODY_STEP 4096

/* Appends bytes; -ENOBUFS, and nothing is added, if the share has no room.
 * max_len is the longest that the body can become. */
int request_body_append(
    request_body_t *body, const void *data, size_t len, size_t max_len);
/* Stops counting the bytes, which stay. */
void request_body_uncount(request_body_t *body);
/* Lets the bytes go. */
void request_body_clear(request_body_t *body);
