#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed, length-counted string; need not end in NUL. */
typedef struct {
	const char *data;
	size_t len;
} str_t;

#define STR_LIT(literal) ((str_t){(literal), sizeof(literal) - 1})

/* For printf with "%.*s". */
#define STR_ARG(s) (int)(s).len, (s).data

str_t str_from(const char *text);
bool str_equal(str_t a, str_t b);
bool str_starts(str_t s, str_t prefix);
bool str_cut(str_t s, char separator, str_t *head, str_t *tail);
int str_copy(str_t s, char *buffer, size_t size);
int str_to_int64(str_t s, long long *value);
bool str_split_address(str_t s, str_t *address, uint16_t *port);
