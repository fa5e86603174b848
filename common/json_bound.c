#include "common/json_bound.h"

#include <stdint.h>

#include "common/mem_budget.h"

#define MAX_DEPTH 64
#define MAX_MEMBERS 10000 /* of one object; as many as tenants */
/* Allocations of jansson 2.14 on a machine of 64 bits, with their overhead. */
#define OBJECT_BYTES 320 /* with its first table of members */
#define ARRAY_BYTES 160  /* with its first table of items */
#define MEMBER_BYTES 112 /* beside its key, with the growth of the table */
#define ITEM_BYTES 24    /* with the growth of the table */
#define SCALAR_BYTES 48  /* a string beside its text */

/* Returns the index after the string that begins at a quote. */
static size_t
skip_string(str_t text, size_t at)
{
	for (at++; at < text.len && text.data[at] != '"'; at++) {
		if (text.data[at] == '\\')
			at++;
	}
	return at + 1;
}

static bool
begins_scalar(char c)
{
	return (c >= '0' && c <= '9') || c == '-' || c == 't' || c == 'f' ||
	       c == 'n';
}

static bool
is_of_scalar(char c)
{
	return begins_scalar(c) || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || c == '+' || c == '.';
}

static size_t
skip_scalar(str_t text, size_t at)
{
	while (at < text.len && is_of_scalar(text.data[at]))
		at++;
	return at;
}

size_t
json_tree_bytes(str_t text)
{
	int members[MAX_DEPTH + 1] = {0}; /* of the open object at each depth */
	size_t bytes = 0;
	size_t at = 0;
	int depth = 0;

	while (at < text.len) {
		size_t start = at;
		char c = text.data[at];

		if (c == '"') {
			at = skip_string(text, at);
			bytes += SCALAR_BYTES + (at - start);
			continue;
		}
		if (begins_scalar(c)) {
			at = skip_scalar(text, at);
			bytes += SCALAR_BYTES;
			continue;
		}
		if (c == '{')
			bytes += OBJECT_BYTES;
		else if (c == '[')
			bytes += ARRAY_BYTES;
		else if (c == ':')
			bytes += MEMBER_BYTES;
		else if (c == ',')
			bytes += ITEM_BYTES;
		if ((c == '{' || c == '[') && ++depth > MAX_DEPTH)
			return SIZE_MAX;
		if (c == '{' || c == '[')
			members[depth] = 0;
		if (c == ':' && ++members[depth] > MAX_MEMBERS)
			return SIZE_MAX;
		if ((c == '}' || c == ']') && depth > 0)
			depth--;
		at++;
	}
	return bytes;
}

/* The memory of a large tree goes back to the system once it is freed. */
json_t *
json_load_bounded(
    str_t text, size_t flags, size_t max_tree_bytes, json_error_t *error)
{
	size_t bytes = json_tree_bytes(text);

	if (bytes > max_tree_bytes) {
		if (error != NULL)
			*error = (json_error_t){
			    .line = -1, .text = "too many values"};
		return NULL;
	}
	mem_note_freed(bytes);
	return json_loadb(text.data, text.len, flags, error);
}
