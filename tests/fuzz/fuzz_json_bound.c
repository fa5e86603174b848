#include <stdlib.h>
#include <string.h>

#include "common/json_bound.h"
#include "tests/fuzz/fuzz.h"

static const char *const seeds[] = {
    "{\"a\":[{},{},[],\"\\u00e4\",-1.5e10,true,null],\"b\":{\"c\":\"\"}}",
    "[[[{\"x\":0,\"y\":[0,0,0,0,0,0,0,0,0,0]}]]]",
    "{\"1\":0,\"2\":0,\"3\":0,\"4\":0,\"5\":0,\"6\":0,\"7\":0,\"8\":0,\"9\":0}",
};

static size_t allocated;

static void *
count_malloc(size_t size)
{
	size_t *block = malloc(size + 2 * sizeof(size_t));

	block[0] = size;
	allocated += size;
	return block + 2;
}

static void
count_free(void *at)
{
	size_t *block = at;

	if (at == NULL)
		return;
	allocated -= block[-2];
	free(block - 2);
}

void
fuzz_seeds(GPtrArray *out)
{
	json_set_alloc_funcs(count_malloc, count_free);
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_ptr_array_add(
		    out, g_bytes_new_static(seeds[i], strlen(seeds[i])));
}

/* Guards against a text whose tree takes more than was estimated. */
int
fuzz_one(const uint8_t *data, size_t len)
{
	str_t text = {(const char *)data, len};
	size_t estimate = json_tree_bytes(text);
	json_t *root = json_load_bounded(text, 0, estimate, NULL);

	if (root != NULL)
		g_assert_cmpuint(allocated, <=, estimate);
	json_decref(root);
	g_assert_cmpuint(allocated, ==, 0);
	return 0;
}
