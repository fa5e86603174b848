#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Reads the JSON objects of docs/INTERFACES.md by a table of fields. */

typedef enum {
	FIELD_NAME,    /* const char *, [A-Za-z0-9._:-]{1,128} */
	FIELD_ADDRESS, /* const char *, IP address */
	FIELD_BOOL,    /* bool */
	FIELD_INTEGER, /* int64_t, min..max */
	FIELD_CHOICE,  /* int, index into choices */
	FIELD_OBJECT,  /* json_t * */
	FIELD_ANY,     /* json_t * */
} field_kind_t;

typedef struct {
	const char *key;
	field_kind_t kind;
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	const char *const *choices; /* ends with NULL */
} field_t;

/* What is wrong with a body. */
typedef struct {
	char path[64];
	char text[128];
} field_problem_t;

json_t *fields_read(str_t body, const field_t *table, size_t count, void *out,
    field_problem_t *problem);
str_t fields_raw(str_t body, const char *key);
bool fields_is_name(str_t text);
