#pragma once

#include <jansson.h>
#include <stddef.h>

#include "common/str.h"

/*
 * Decoding of JSON from writers that are not trusted: what the decoded tree
 * will take is estimated from the text first.  Load pattern: texts of legal
 * length that consist of very many short members.  Does no I/O.
 */

/* Upper bound of the bytes that the tree of a text takes; SIZE_MAX when it is
 * nested too deeply or an object has more than 1,024 members, whose table would
 * take long to build. */
size_t json_tree_bytes(str_t text);
/* json_loadb with a bound on the tree; NULL, with the reason in error unless
 * that is NULL, when it is exceeded. */
json_t *json_load_bounded(
    str_t text, size_t flags, size_t max_tree_bytes, json_error_t *error);
