#include <string.h>

#include "state/config.h"
#include "tests/fuzz/fuzz.h"

static const char *const seeds[] = {
    "{\"tenants\":{\"hall\":{\"weight\":2,\"rate_per_s\":0.5,\"burst\":3,"
    "\"queue\":4,\"quota_accelerators\":5}}}",
    "{\"hardware\":{\"d1\":{\"racks\":3},\"d4\":null}}",
    "{\"tenants\":{\"a\":{}},\"workspaces\":{\"w\":{\"tenant\":\"a\","
    "\"guarantees\":[{\"domain\":\"d1\",\"count\":1,\"members\":2,"
    "\"accelerators\":8,\"adjacency\":\"rack\"}]}}}",
    "{\"objectives\":{\"guarantees\":{\"target\":0.9,\"threshold_ms\":1}}}",
};

/* Adds patches that are accepted. */
void
fuzz_seeds(GPtrArray *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

/*
 * Applies the input as a merge patch to the default document.  A document that
 * comes out has to pass the check again, and an error has to name what was
 * expected.
 */
int
fuzz_one(const uint8_t *data, size_t len)
{
	json_t *patch = json_loadb((const char *)data, len,
	    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	json_t *config = config_default();
	err_t err = {0};
	json_t *out;

	if (patch != NULL) {
		out = config_patch(config, patch, &err);
		if (out == NULL)
			g_assert_nonnull(strstr(err.text, ": expected "));
		else
			g_assert_cmpint(config_check(out, &err), ==, 0);
		if (out != NULL && config_check_guarantees(out, &err) != 0)
			g_assert_nonnull(strstr(err.text, ": expected "));
		json_decref(out);
	}
	json_decref(patch);
	json_decref(config);
	return 0;
}
