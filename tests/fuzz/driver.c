#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "tests/fuzz/fuzz.h"

#define ROUNDS 20000
#define LIMIT_MS 3000 /* slower targets run fewer rounds */
/* Number of rounds to run instead, however long they take. */
#define ROUNDS_VARIABLE "FUZZ_ROUNDS"
#define SEED 0x5eed
#define INPUT_MAX_BYTES 4096
#define MUTATIONS_MAX 8

static void
insert_random(GRand *rand, GByteArray *input)
{
	uint8_t bytes[16];
	guint at = (guint)g_rand_int_range(rand, 0, (gint32)input->len + 1);
	guint count = (guint)g_rand_int_range(rand, 1, sizeof(bytes) + 1);
	guint tail = input->len - at;

	for (guint i = 0; i < count; i++)
		bytes[i] = (uint8_t)g_rand_int(rand);
	g_byte_array_set_size(input, input->len + count);
	memmove(input->data + at + count, input->data + at, tail);
	memcpy(input->data + at, bytes, count);
}

/* Replaces a run of digits, or inserts, a value at the edge of a type. */
static void
insert_token(GRand *rand, GByteArray *input)
{
	static const char *const tokens[] = {"-1", "0", "2147483648",
	    "4294967297", "9007199254740993", "9223372036854775807",
	    "-9223372036854775808", "9223372036854775808", "1e300", "-0.5",
	    "null", "[[[[", "\\u0000", "\"\""};
	const char *token =
	    tokens[g_rand_int_range(rand, 0, G_N_ELEMENTS(tokens))];
	guint len = (guint)strlen(token);
	guint at = (guint)g_rand_int_range(rand, 0, (gint32)input->len + 1);
	guint tail;

	while (at < input->len && !g_ascii_isdigit(input->data[at]))
		at++;
	while (at < input->len && g_ascii_isdigit(input->data[at]))
		g_byte_array_remove_index(input, at);
	tail = input->len - at;
	g_byte_array_set_size(input, input->len + len);
	memmove(input->data + at + len, input->data + at, tail);
	memcpy(input->data + at, token, len);
}

/* Changes a byte, often to a value at the edge of a range. */
static void
change_byte(GRand *rand, GByteArray *input)
{
	static const uint8_t edges[] = {0, 1, 0x7f, 0x80, 0xff};
	guint at = (guint)g_rand_int_range(rand, 0, (gint32)input->len);
	guint edge = (guint)g_rand_int_range(rand, 0, G_N_ELEMENTS(edges));

	if (g_rand_boolean(rand))
		input->data[at] = edges[edge];
	else
		input->data[at] ^= (uint8_t)(1 << g_rand_int_range(rand, 0, 8));
}

static void
mutate(GRand *rand, GByteArray *input)
{
	int count = g_rand_int_range(rand, 0, MUTATIONS_MAX);

	while (count-- > 0) {
		if (input->len == 0 || g_rand_int_range(rand, 0, 4) == 0)
			insert_random(rand, input);
		else if (g_rand_int_range(rand, 0, 8) == 0)
			g_byte_array_set_size(
			    input, (guint)g_rand_int_range(
				       rand, 0, (gint32)input->len));
		else if (g_rand_int_range(rand, 0, 4) == 0)
			insert_token(rand, input);
		else
			change_byte(rand, input);
	}
	if (input->len > INPUT_MAX_BYTES)
		g_byte_array_set_size(input, INPUT_MAX_BYTES);
}

/* Runs the target on mutated inputs that are the same in every run. */
int
main(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GPtrArray *seeds =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	GByteArray *input = g_byte_array_new();
	const char *wanted = g_getenv(ROUNDS_VARIABLE);
	int64_t limit_ms =
	    wanted != NULL ? G_MAXINT64 : clock_mono_ms() + LIMIT_MS;
	int max_rounds = wanted != NULL ? atoi(wanted) : ROUNDS;
	int rounds = 0;

	/* Refused inputs may log; the log of thousands is of no use. */
	log_set_level(LOG_EMERG);
	if (fuzz_seeds != NULL)
		fuzz_seeds(seeds);
	while (rounds < max_rounds && clock_mono_ms() < limit_ms) {
		g_byte_array_set_size(input, 0);
		if (seeds->len > 0) {
			gsize len;
			const void *data =
			    g_bytes_get_data(g_ptr_array_index(seeds,
						 (guint)g_rand_int_range(rand,
						     0, (gint32)seeds->len)),
				&len);

			g_byte_array_append(input, data, (guint)len);
		}
		mutate(rand, input);
		if (fuzz_one(input->data, input->len) != 0) {
			printf("round %d of seed %#x failed\n", rounds, SEED);
			return EXIT_FAILURE;
		}
		rounds++;
	}
	printf("%d rounds\n", rounds);
	g_byte_array_unref(input);
	g_ptr_array_unref(seeds);
	g_rand_free(rand);
	return EXIT_SUCCESS;
}
