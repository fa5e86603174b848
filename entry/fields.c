#include "entry/fields.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "common/json_bound.h"

#define MAX_NAME_LEN 128
/* Of a decoded body; one of 1 MiB with values of 6 characters takes as much. */
#define MAX_TREE_BYTES (16 * 1024 * 1024)

/* Tells whether text is a name as docs/INTERFACES.md defines it. */
bool
fields_is_name(str_t text)
{
	if (text.len < 1 || text.len > MAX_NAME_LEN)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isalnum(text.data[i]) &&
		    (text.data[i] == '\0' ||
			strchr("._:-", text.data[i]) == NULL))
			return false;
	}
	return true;
}

static bool
is_address(const char *text)
{
	unsigned char buffer[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, buffer) == 1 ||
	       inet_pton(AF_INET6, text, buffer) == 1;
}

static bool fail(field_problem_t *problem, const char *key, const char *format,
    ...) __attribute__((format(printf, 3, 4)));

static bool
fail(field_problem_t *problem, const char *key, const char *format, ...)
{
	va_list args;

	g_snprintf(problem->path, sizeof(problem->path), "/%s", key);
	va_start(args, format);
	g_vsnprintf(problem->text, sizeof(problem->text), format, args);
	va_end(args);
	return false;
}

static bool
read_text(
    const field_t *field, json_t *value, void *slot, field_problem_t *problem)
{
	const char *text = json_string_value(value);
	str_t bytes = {text, json_string_length(value)};

	if (field->kind == FIELD_NAME &&
	    (text == NULL || !fields_is_name(bytes)))
		return fail(problem, field->key,
		    "expected 1 to %d of [A-Za-z0-9._:-]", MAX_NAME_LEN);
	if (field->kind == FIELD_ADDRESS && (text == NULL || !is_address(text)))
		return fail(problem, field->key, "expected an IP address");
	*(const char **)slot = text;
	return true;
}

static bool
read_choice(const field_t *field, const json_t *value, int *slot,
    field_problem_t *problem)
{
	const char *text = json_string_value(value);
	char *list;

	for (int i = 0; text != NULL && field->choices[i] != NULL; i++) {
		if (strcmp(text, field->choices[i]) == 0) {
			*slot = i;
			return true;
		}
	}
	list = g_strjoinv(", ", (char **)field->choices);
	fail(problem, field->key, "expected one of %s", list);
	g_free(list);
	return false;
}

static bool
read_field(
    const field_t *field, json_t *value, void *out, field_problem_t *problem)
{
	void *slot = (char *)out + field->offset;

	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_ADDRESS:
		return read_text(field, value, slot, problem);
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return fail(
			    problem, field->key, "expected true or false");
		*(bool *)slot = json_is_true(value);
		return true;
	case FIELD_INTEGER:
		if (!json_is_integer(value) ||
		    json_integer_value(value) < field->min ||
		    json_integer_value(value) > field->max)
			return fail(problem, field->key, "expected %lld..%lld",
			    (long long)field->min, (long long)field->max);
		*(int64_t *)slot = json_integer_value(value);
		return true;
	case FIELD_CHOICE:
		return read_choice(field, value, slot, problem);
	case FIELD_OBJECT:
		if (!json_is_object(value))
			return fail(problem, field->key, "expected an object");
		*(json_t **)slot = value;
		return true;
	case FIELD_ANY:
		*(json_t **)slot = value;
		return true;
	}
	return false;
}

static const field_t *
find_field(const field_t *table, size_t count, const char *key)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(table[i].key, key) == 0)
			return &table[i];
	}
	return NULL;
}

/*
 * Reads an object into the struct out, whose defaults are set before.  Texts
 * and JSON values in out are borrowed from the returned object.  Returns NULL
 * with the first problem; unknown keys are one.
 */
json_t *
fields_read(str_t body, const field_t *table, size_t count, void *out,
    field_problem_t *problem)
{
	json_error_t error;
	json_t *root = json_load_bounded(
	    body, JSON_REJECT_DUPLICATES, MAX_TREE_BYTES, &error);
	const char *key;
	json_t *value;

	memset(problem, 0, sizeof(*problem));
	if (!json_is_object(root)) {
		g_snprintf(problem->text, sizeof(problem->text), "%.100s",
		    root == NULL ? error.text : "expected an object");
		goto refuse;
	}
	json_object_foreach (root, key, value) {
		const field_t *field = find_field(table, count, key);

		if (field == NULL) {
			fail(problem, key, "unknown field");
			goto refuse;
		}
		if (!read_field(field, value, out, problem))
			goto refuse;
	}
	for (size_t i = 0; i < count; i++) {
		if (table[i].required &&
		    json_object_get(root, table[i].key) == NULL) {
			fail(problem, table[i].key, "missing");
			goto refuse;
		}
	}
	return root;
refuse:
	json_decref(root);
	return NULL;
}

static const char *
skip_space(const char *at, const char *end)
{
	while (at < end && g_ascii_isspace(*at))
		at++;
	return at;
}

/* Returns the end of the string that begins at its opening quote. */
static const char *
skip_string(const char *at, const char *end)
{
	for (at++; at < end && *at != '"'; at++) {
		if (*at == '\\')
			at++;
	}
	return MIN(at + 1, end);
}

static const char *
skip_value(const char *at, const char *end)
{
	int depth = 0;

	while (at < end) {
		if (*at == '"') {
			at = skip_string(at, end);
			if (depth == 0)
				return at;
			continue;
		}
		if (*at == '{' || *at == '[')
			depth++;
		else if ((*at == '}' || *at == ']') && --depth <= 0)
			return depth == 0 ? at + 1 : at;
		else if (depth == 0 && (*at == ',' || g_ascii_isspace(*at)))
			return at;
		at++;
	}
	return at;
}

/*
 * Returns the text of a member's value in a body that fields_read or jansson
 * accepted as an object; NULL data when it has none of that key.  A key that is
 * written with escapes is not found.  Passing a value on as text saves printing
 * it again.
 */
str_t
fields_raw(str_t body, const char *key)
{
	const char *end = body.data + body.len;
	const char *at = skip_space(body.data, end) + 1;
	size_t key_len = strlen(key);

	for (;;) {
		const char *name = skip_space(at, end);
		const char *value;
		bool is_found;

		if (name >= end || *name != '"')
			return (str_t){NULL, 0};
		at = skip_string(name, end);
		is_found = (size_t)(at - name) == key_len + 2 &&
			   memcmp(name + 1, key, key_len) == 0;
		value = skip_space(skip_space(at, end) + 1, end);
		at = skip_value(value, end);
		if (is_found)
			return (str_t){value, (size_t)(at - value)};
		at = skip_space(at, end) + 1;
	}
}
