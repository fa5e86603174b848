#include <check.h>
#include <stdlib.h>

#include "entry/fields.h"
#include "tests/unit/runner.h"

/* Guards against a value that is passed on in part, or the wrong one. */
START_TEST(raw_values)
{
	static const char body[] =
	    " { \"a\" : {\"input\":1,\"x\":\"}\\\"\"} ,\"n\":-1.5e3,"
	    "\"s\":\"q\\\\\",\"input\":[1,{\"b\":[\"]\"]} ,2],\"t\":true}";
	static const struct {
		const char *key;
		const char *value;
	} expected[] = {
	    {"a", "{\"input\":1,\"x\":\"}\\\"\"}"},
	    {"n", "-1.5e3"},
	    {"s", "\"q\\\\\""},
	    {"input", "[1,{\"b\":[\"]\"]} ,2]"},
	    {"t", "true"},
	};

	for (size_t i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
		str_t found = fields_raw(str_from(body), expected[i].key);

		ck_assert_msg(str_equal(found, str_from(expected[i].value)),
		    "%s: found %.*s", expected[i].key, STR_ARG(found));
	}
	ck_assert_ptr_null(fields_raw(str_from(body), "x").data);
	ck_assert_ptr_null(fields_raw(STR_LIT("{}"), "x").data);
	ck_assert_ptr_null(fields_raw(STR_LIT("{\"\\u0078\":1}"), "x").data);
}
END_TEST

/* Guards against reading past the end of a body that is cut anywhere. */
START_TEST(raw_values_cut)
{
	static const char body[] = "{\"a\":{\"b\":[1,\"\\\"\"]},\"c\":null}";

	for (size_t len = 0; len < sizeof(body); len++) {
		char *copy = malloc(len + 1);

		for (size_t i = 0; i < len; i++)
			copy[i] = body[i];
		fields_raw((str_t){copy, len}, "c");
		free(copy);
	}
}
END_TEST

typedef struct {
	const char *name;
	int64_t count;
} given_t;

/* Guards against accepting a body that is wrong in one place. */
START_TEST(one_problem)
{
	static const field_t table[] = {
	    {"name", FIELD_NAME, offsetof(given_t, name), .required = true},
	    {"count", FIELD_INTEGER, offsetof(given_t, count), .min = 1,
		.max = 5},
	};
	static const struct {
		const char *body;
		const char *path;
	} cases[] = {
	    {"{\"name\":\"a\",\"count\":6}", "/count"},
	    {"{\"name\":\"a\",\"count\":1.0}", "/count"},
	    {"{\"name\":\"a b\"}", "/name"},
	    {"{\"name\":\"\"}", "/name"},
	    {"{\"count\":1}", "/name"},
	    {"{\"name\":\"a\",\"other\":1}", "/other"},
	    {"[]", ""},
	    {"{\"name\":\"a\",\"name\":\"b\"}", ""},
	};
	field_problem_t problem;
	given_t given = {0};
	json_t *root;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ck_assert_ptr_null(fields_read(
		    str_from(cases[i].body), table, 2, &given, &problem));
		ck_assert_str_eq(problem.path, cases[i].path);
		ck_assert_str_ne(problem.text, "");
	}
	root = fields_read(STR_LIT("{\"name\":\"a.b:c-d_1\",\"count\":5}"),
	    table, 2, &given, &problem);
	ck_assert_ptr_nonnull(root);
	ck_assert_str_eq(given.name, "a.b:c-d_1");
	ck_assert_int_eq(given.count, 5);
	json_decref(root);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fields");
	TCase *tcase = tcase_create("fields");

	tcase_add_test(tcase, raw_values);
	tcase_add_test(tcase, raw_values_cut);
	tcase_add_test(tcase, one_problem);
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_NOFORK);
}
