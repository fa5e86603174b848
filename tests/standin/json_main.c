/*
 * standin-json PATH: prints one value of the JSON on standard input.  A path is
 * made of keys and indices joined by dots; "#" is the length of a list.
 */
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
print_value(const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		puts(json_string_value(value));
		return;
	}
	text =
	    json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
	if (text != NULL)
		puts(text);
	free(text);
}

int
main(int argc, char **argv)
{
	json_t *root = json_loadf(stdin, JSON_DECODE_ANY, NULL);
	const json_t *value = root;
	char **keys = g_strsplit(argc == 2 ? argv[1] : "", ".", -1);
	bool counts = false;

	for (char **key = keys; *key != NULL && value != NULL; key++) {
		counts = strcmp(*key, "#") == 0;
		if (counts)
			break;
		value = json_is_array(value)
			    ? json_array_get(value, strtoul(*key, NULL, 10))
			    : json_object_get(value, *key);
	}
	if (counts)
		printf("%zu\n", json_array_size(value));
	else if (value != NULL)
		print_value(value);
	json_decref(root);
	g_strfreev(keys);
	return value != NULL ? EXIT_SUCCESS : EXIT_FAILURE;
}
