#include "daemon/check_config.h"

#include <glib.h>
#include <stdio.h>

#include "platform/config_check.h"

static bool
read_file(const char *path, char **data, str_t *text)
{
	GError *error = NULL;
	gsize len;

	if (!g_file_get_contents(path, data, &len, &error)) {
		fprintf(stderr, "chervilholdd: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	*text = (str_t){*data, len};
	return true;
}

int
check_config(const char *path, const char *against, bool as_json)
{
	findings_t *findings;
	char *data = NULL;
	char *other_data = NULL;
	str_t text;
	str_t other = {NULL, 0};
	int code = FINDINGS_EXIT_UNREADABLE;

	if (!read_file(path, &data, &text) ||
	    (against != NULL && !read_file(against, &other_data, &other)))
		goto out;
	findings = findings_create();
	if (platform_check_config(text, other, findings)) {
		findings_print(findings, text, path, as_json);
		code = findings_exit_code(findings);
	} else {
		fprintf(
		    stderr, "chervilholdd: %s is no configuration\n", against);
	}
	findings_destroy(findings);
out:
	g_free(data);
	g_free(other_data);
	return code;
}
