#include <string.h>

#include "entry/fields.h"
#include "tests/fuzz/fuzz.h"

/* A field of each kind that bodies of callers and backend servers have. */
typedef struct {
	const char *name;
	const char *address;
	bool flag;
	int64_t number;
	int choice;
	json_t *object;
	json_t *any;
} body_t;

static const char *const choices[] = {"any", "domain", "rack", "worker", NULL};

static const field_t table[] = {
    {"id", FIELD_NAME, offsetof(body_t, name), .required = true},
    {"address", FIELD_ADDRESS, offsetof(body_t, address), .required = false},
    {"repeatable", FIELD_BOOL, offsetof(body_t, flag), .required = false},
    {"members", FIELD_INTEGER, offsetof(body_t, number), .min = 1, .max = 64},
    {"adjacency", FIELD_CHOICE, offsetof(body_t, choice), .choices = choices},
    {"usage", FIELD_OBJECT, offsetof(body_t, object), .required = false},
    {"input", FIELD_ANY, offsetof(body_t, any), .required = false},
};

static const char *const seeds[] = {
    "{\"id\":\"w_d1_01\",\"address\":\"127.0.0.1\",\"members\":64,"
    "\"usage\":{\"t\":{\"cpu_ms\":1}}}",
    "{\"id\":\"hall\",\"repeatable\":true,\"adjacency\":\"rack\","
    "\"input\":{\"echo\":[1,2,{\"a\":\"\\u00e4\"}]}}",
};

/* Adds bodies that are accepted. */
void
fuzz_seeds(GPtrArray *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

/*
 * Guards against a body that is accepted with a value outside of its range, and
 * one that is refused without saying why.
 */
int
fuzz_one(const uint8_t *data, size_t len)
{
	str_t body = {(const char *)data, len};
	field_problem_t problem = {0};
	body_t out = {.number = 1};
	json_t *root =
	    fields_read(body, table, G_N_ELEMENTS(table), &out, &problem);

	if (root == NULL) {
		g_assert_cmpstr(problem.text, !=, "");
		return 0;
	}
	g_assert_nonnull(out.name);
	g_assert_true(fields_is_name((str_t){out.name, strlen(out.name)}));
	g_assert_cmpint(out.number, >=, 1);
	g_assert_cmpint(out.number, <=, 64);
	g_assert_cmpint(out.choice, >=, 0);
	g_assert_cmpint(out.choice, <, 4);
	(void)fields_raw(body, "input");
	json_decref(root);
	return 0;
}
