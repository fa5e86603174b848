#include <errno.h>
#include <string.h>

#include "entry/operator_private.h"

#define MIN_KEY_LEN 16
#define BEARER "Bearer "

/* Reads one key file without its line end; an empty path leaves *key NULL. */
static int
read_key(const char *path, char **key, err_t *err)
{
	GError *error = NULL;
	char *text = NULL;
	int rc;

	if (path == NULL || path[0] == '\0')
		return 0;
	if (!g_file_get_contents(path, &text, NULL, &error)) {
		rc = err_set(
		    err, -EACCES, "key file", NULL, "%s", error->message);
		g_error_free(error);
		return rc;
	}
	g_strchomp(text);
	if (strlen(text) < MIN_KEY_LEN) {
		g_free(text);
		return err_set(err, -EINVAL, "key file", NULL,
		    "%s: expected a key of at least %d characters", path,
		    MIN_KEY_LEN);
	}
	*key = text;
	return 0;
}

/* Reads the key files of the settings; the keys are never logged. */
int
operator_read_keys(operator_t *op, err_t *err)
{
	int rc =
	    read_key(op->settings->operator_key_file, &op->operator_key, err);

	if (rc != 0)
		return rc;
	return read_key(op->settings->reader_key_file, &op->reader_key, err);
}

/* Compares in a time that depends on the length of the given key only. */
static bool
is_key(const char *key, str_t given)
{
	volatile unsigned char difference = 0;
	size_t len;

	if (key == NULL)
		return false;
	len = strlen(key);
	for (size_t i = 0; i < given.len; i++)
		difference |= (unsigned char)(given.data[i] ^ key[i % len]);
	return difference == 0 && given.len == len;
}

/*
 * Checks the Authorization header.  Reading needs either key when a reader key
 * is set, changing needs the operator key when that is set.  Answers 401 or 403
 * and returns false when the key does not suffice.
 */
bool
operator_check_key(operator_t *op, http_request_t *request, bool needs_operator)
{
	const char *needed = needs_operator ? op->operator_key : op->reader_key;
	str_t header = http_header(request, "Authorization");
	str_t bearer = str_from(BEARER);
	str_t given = {NULL, 0};
	bool is_operator;
	bool is_reader;

	if (needed == NULL)
		return true;
	if (header.data != NULL && str_starts(header, bearer)) {
		given.data = header.data + bearer.len;
		given.len = header.len - bearer.len;
	}
	if (given.len == 0) {
		http_add_header(request, "WWW-Authenticate", "Bearer");
		http_answer_error(request, 401, "refused", "no_key", "", 0,
		    "expected the header Authorization: Bearer KEY");
		return false;
	}
	is_operator = is_key(op->operator_key, given);
	is_reader = is_key(op->reader_key, given);
	if (is_operator || (is_reader && !needs_operator))
		return true;
	http_answer_error(request, 403, "refused", "wrong_key", "", 0, "%s",
	    is_reader ? "this route needs the operator key" : "unknown key");
	return false;
}
