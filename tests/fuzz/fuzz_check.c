#include <string.h>

#include "platform/config_check.h"
#include "platform/wire.h"
#include "rpc/codec.h"
#include "state/config.h"
#include "state/config_check.h"
#include "tests/fuzz/fuzz.h"

static const char *const seeds[] = {
    "{\"tenants\":{\"hall\":{\"weight\":2,\"rate_per_s\":0.5,\"burst\":3,"
    "\"queue\":4,\"quota_accelerators\":5}},\"claim_window_ms\":90000}",
    "{\"hardware\":{\"d1\":{\"racks\":3},\"d4\":null}}",
    "{\"tenants\":{\"a\":{\"quota_accelerators\":1}},\"workspaces\":{\"w\":{"
    "\"tenant\":\"a\",\"guarantees\":[{\"domain\":\"d1\",\"count\":1,"
    "\"members\":2,\"accelerators\":8,\"adjacency\":\"rack\"}]}}}",
    "{\"objectives\":{\"guarantees\":{\"target\":0.9},\"x\":{\"target\":0.9}}}",
    "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":"
    "\"/q/"
    "\",\"service\":\"s\",\"timeoutMs\":9,\"stretch\":1.5},{\"name\":\"t\","
    "\"host\":\"h\",\"pathPrefix\":\"/q/"
    "a\",\"service\":\"s\",\"timeoutMs\":9}],"
    "\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"a\",\"apiKeys\":["
    "\"k\"],\"guaranteed\":{\"gpu\":8}},{\"name\":\"b\",\"apiKeys\":[\"l\"]}]}",
};

void
fuzz_seeds(GPtrArray *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

/* Whether an instance would accept the patch. */
static bool
is_accepted(str_t text, const json_t *config)
{
	json_t *patch = json_loadb(text.data, text.len,
	    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	json_t *out = NULL;
	err_t err = {0};
	bool accepted;

	if (patch != NULL)
		out = config_patch(config, patch, &err);
	accepted = out != NULL && config_check_guarantees(out, &err) == 0;
	json_decref(out);
	json_decref(patch);
	return accepted;
}

/* Whether an instance on the platform would accept the document. */
static bool
is_accepted_on_platform(str_t text)
{
	fleet_config_t config;
	char *reason;
	bool accepted = wire_read_config(text, &config, &reason) == 0;

	codec_free((xdrproc_t)xdr_fleet_config_t, &config);
	g_free(reason);
	return accepted;
}

static void
check_own(str_t text)
{
	json_t *config = config_default();
	findings_t *findings = findings_create();

	config_check_text(text, config, findings);
	g_assert_cmpint(findings_count(findings, FINDING_ERROR) == 0, ==,
	    is_accepted(text, config));
	json_decref(findings_json(findings, text));
	findings_destroy(findings);
	json_decref(config);
}

static void
check_platform(str_t text)
{
	findings_t *findings = findings_create();

	platform_check_config(text, text, findings);
	g_assert_cmpint(findings_count(findings, FINDING_ERROR) == 0, ==,
	    is_accepted_on_platform(text));
	json_decref(findings_json(findings, text));
	findings_destroy(findings);
}

/* Guards against a check that passes what is refused, or the reverse. */
int
fuzz_one(const uint8_t *data, size_t len)
{
	str_t text = {(const char *)data, len};

	check_own(text);
	check_platform(text);
	return 0;
}
