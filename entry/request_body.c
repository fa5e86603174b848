#include "entry/request_body.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* Returns the room for len bytes: doubled, so that appending stays linear. */
static size_t
room_for(size_t capacity, size_t len, size_t max_len)
{
	size_t room = MAX(capacity, REQUEST_BODY_STEP);

	while (room < len)
		room *= 2;
	return MAX(MIN(room, max_len), len);
}

int
request_body_append(
    request_body_t *body, const void *data, size_t len, size_t max_len)
{
	size_t needed = body->len + len;

	if (needed > body->capacity) {
		size_t room = room_for(body->capacity, needed, max_len);

		if (body->share != NULL &&
		    !mem_share_take(body->share, room - body->capacity))
			return -ENOBUFS;
		body->data = g_realloc(body->data, room);
		body->capacity = room;
	}
	memcpy(body->data + body->len, data, len);
	body->len = needed;
	return 0;
}

void
request_body_uncount(request_body_t *body)
{
	if (body->share != NULL)
		mem_share_give(body->share, body->capacity);
	body->share = NULL;
}

void
request_body_clear(request_body_t *body)
{
	if (body->share != NULL)
		mem_share_give(body->share, body->capacity);
	g_free(body->data);
	body->data = NULL;
	body->len = 0;
	body->capacity = 0;
}
