#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "state/config.h"
#include "tests/unit/runner.h"

/* Patches the default document; err->text is "" if the patch is accepted. */
static void
patch_default(const char *text, err_t *err)
{
	json_t *config = config_default();
	json_t *patch = json_loads(text, JSON_DECODE_ANY, NULL);
	json_t *out;

	ck_assert_ptr_nonnull(patch);
	memset(err, 0, sizeof(*err));
	out = config_patch(config, patch, err);
	ck_assert((out == NULL) == (err->text[0] != '\0'));
	json_decref(out);
	json_decref(patch);
	json_decref(config);
}

static const struct {
	const char *patch;
	const char *text; /* error text, "" if accepted */
} validation_cases[] = {
    {"{}", ""},
    {"{\"tenants\":{\"hall\":{\"weight\":2,\"rate_per_s\":0.5}}}", ""},
    {"{\"hardware\":{\"d4\":null}}", ""},
    {"3", ": expected a JSON object as merge patch"},
    {"{\"tenants\":null}", "/tenants: expected a value"},
    {"{\"tenants\":[]}", "/tenants: expected an object"},
    {"{\"colour\":1}",
	"/colour: expected one of claim_window_ms hardware tenants workspaces "
	"objectives"},
    {"{\"tenants\":{\"a\":{\"a/b~\":1}}}",
	"/tenants/a/a~1b~0: expected one of weight rate_per_s burst queue "
	"quota_accelerators"},
    {"{\"tenants\":{\"a\":{\"*\":1}}}",
	"/tenants/a/*: expected one of weight rate_per_s burst queue "
	"quota_accelerators"},
    {"{\"tenants\":{\"a b\":{}}}",
	"/tenants/a b: expected a name of 1..128 of [A-Za-z0-9._:-]"},
    {"{\"tenants\":{\"a\":{\"weight\":1.5}}}",
	"/tenants/a/weight: expected an integer 1..1000"},
    {"{\"tenants\":{\"a\":{\"rate_per_s\":0}}}",
	"/tenants/a/rate_per_s: expected a number 0.001..1000000"},
    {"{\"claim_window_ms\":59999}",
	"/claim_window_ms: expected an integer 60000..604800000"},
    {"{\"hardware\":{\"d1\":{\"racks\":1024,\"workers_per_rack\":1024}}}",
	"/hardware/d1/racks: expected at most 4096 workers in a domain"},
    {"{\"workspaces\":{\"w\":{\"tenant\":\"x\"}}}",
	"/workspaces/w/tenant: expected the name of a tenant"},
    {"{\"workspaces\":{\"w\":{}}}", "/workspaces/w/tenant: expected a value"},
    {"{\"tenants\":{\"a\":{}},\"workspaces\":{\"w\":{\"tenant\":\"a\","
     "\"guarantees\":[{\"domain\":\"d9\",\"count\":1,\"members\":1,"
     "\"accelerators\":1,\"adjacency\":\"any\"}]}}}",
	"/workspaces/w/guarantees/0/domain: expected a failure domain named "
	"in /hardware"},
    {"{\"tenants\":{\"a\":{}},\"workspaces\":{\"w\":{\"tenant\":\"a\","
     "\"guarantees\":[{\"domain\":\"d1\",\"count\":1,\"members\":65,"
     "\"accelerators\":1,\"adjacency\":\"any\"}]}}}",
	"/workspaces/w/guarantees/0/members: expected an integer 1..64"},
    {"{\"tenants\":{\"a\":{}},\"workspaces\":{\"w\":{\"tenant\":\"a\","
     "\"guarantees\":[{\"domain\":\"d1\",\"count\":1,\"members\":1,"
     "\"accelerators\":1,\"adjacency\":\"near\"}]}}}",
	"/workspaces/w/guarantees/0/adjacency: expected any, domain, rack or "
	"worker"},
    {"{\"objectives\":{\"service_at_peak\":{\"target\":1}}}",
	"/objectives/service_at_peak/target: expected a number "
	"0.5..0.999999"},
};

/* Guards against invalid values that are accepted and errors without a path. */
START_TEST(config_validation)
{
	err_t err;

	patch_default(validation_cases[_i].patch, &err);
	ck_assert_str_eq(err.text, validation_cases[_i].text);
}
END_TEST

/* Guards against a merge that deviates from RFC 7396 or changes its input. */
START_TEST(merge_patch_semantics)
{
	json_t *config = config_default();
	json_t *patch =
	    json_loads("{\"tenants\":{\"a\":{\"weight\":2,\"queue\":null}},"
		       "\"hardware\":{\"d4\":null,\"d1\":{\"racks\":3}}}",
		0, NULL);
	json_t *out = config_patch(config, patch, NULL);
	json_t *want = json_loads("{\"weight\":2}", 0, NULL);

	ck_assert_ptr_nonnull(out);
	ck_assert(json_equal(
	    json_object_get(json_object_get(out, "tenants"), "a"), want));
	ck_assert_ptr_null(
	    json_object_get(json_object_get(out, "hardware"), "d4"));
	/* The original document is unchanged. */
	ck_assert_ptr_nonnull(
	    json_object_get(json_object_get(config, "hardware"), "d4"));
	ck_assert_int_eq(
	    json_integer_value(json_object_get(
		json_object_get(json_object_get(config, "hardware"), "d1"),
		"racks")),
	    2);
	json_decref(want);
	json_decref(out);
	json_decref(patch);
	json_decref(config);
}
END_TEST

/* Checks guarantees in d1: 2 racks of 6 workers with 8 accelerators each. */
static int
check_guarantees(const char *guarantees, err_t *err)
{
	json_t *config = config_default();
	char *text = g_strdup_printf("{\"tenants\":{\"a\":{}},\"workspaces\":{"
				     "\"w\":{\"tenant\":\"a\","
				     "\"guarantees\":[%s]}}}",
	    guarantees);
	json_t *patch = json_loads(text, 0, NULL);
	json_t *out = config_patch(config, patch, err);
	int rc;

	ck_assert_msg(out != NULL, "%s", err->text);
	rc = config_check_guarantees(out, err);
	json_decref(out);
	json_decref(patch);
	json_decref(config);
	g_free(text);
	return rc;
}

#define GUARANTEE(count, members, accelerators, adjacency)              \
	"{\"domain\":\"d1\",\"count\":" #count ",\"members\":" #members \
	",\"accelerators\":" #accelerators ",\"adjacency\":\"" adjacency "\"}"

static const struct {
	const char *guarantees;
	const char *text; /* error text, "" if they fit */
} guarantee_cases[] = {
    {GUARANTEE(12, 1, 8, "worker"), ""},
    {GUARANTEE(2, 6, 8, "rack"), ""},
    {GUARANTEE(13, 1, 8, "worker"),
	"/workspaces/w/guarantees/0: expected a guarantee that fits d1: fits "
	"with count 1 lower (2 racks of 6 x 8 accelerators, 0 guarantees come "
	"first)"},
    {GUARANTEE(1, 7, 8, "rack"),
	"/workspaces/w/guarantees/0: expected a guarantee that fits d1: fits "
	"with 1 member fewer (2 racks of 6 x 8 accelerators, 0 guarantees come "
	"first)"},
    {GUARANTEE(1, 12, 8, "domain") "," GUARANTEE(1, 1, 1, "any"),
	"/workspaces/w/guarantees/1: expected a guarantee that fits d1: fits "
	"with 1 worker more in one rack (2 racks of 6 x 8 accelerators, 1 "
	"guarantees come first)"},
    {GUARANTEE(1, 1, 9, "worker"),
	"/workspaces/w/guarantees/0: expected a guarantee that fits d1: fits "
	"with the guarantee removed (2 racks of 6 x 8 accelerators, 0 "
	"guarantees come first)"},
};

/*
 * Guards against guarantees that are accepted but do not fit, and against an
 * error that names the wrong guarantee or a larger change than needed.
 */
START_TEST(guarantees_fit)
{
	const char *want = guarantee_cases[_i].text;
	err_t err = {0};
	int rc = check_guarantees(guarantee_cases[_i].guarantees, &err);

	ck_assert_int_eq(rc == 0, want[0] == '\0');
	ck_assert_str_eq(err.text, want);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("config");

	tcase_add_loop_test(
	    tcase, config_validation, 0, (int)G_N_ELEMENTS(validation_cases));
	tcase_add_test(tcase, merge_patch_semantics);
	tcase_add_loop_test(
	    tcase, guarantees_fit, 0, (int)G_N_ELEMENTS(guarantee_cases));
	suite_add_tcase(suite, tcase);
	return unit_run(suite, CK_FORK_GETENV);
}
