#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/chart.h"
#include "common/log.h"
#include "common/settings.h"

/* Prints every problem on its own line. */
static void
print_problems(const GPtrArray *problems)
{
	for (guint i = 0; i < problems->len; i++)
		fprintf(stderr, "%s\n", (char *)g_ptr_array_index(problems, i));
}

int
main(int argc, char **argv)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	settings_t *settings;
	err_t err = {0};

	if (chart_check_builtin(&err) != 0) {
		log_err(LOG_ERR, &err);
		return EXIT_FAILURE;
	}
	if (argc != 2) {
		fprintf(stderr, "usage: chervilholdd SETTINGS\n");
		return EXIT_FAILURE;
	}
	settings = settings_load(argv[1], problems);
	print_problems(problems);
	g_ptr_array_unref(problems);
	if (settings == NULL)
		return EXIT_FAILURE;
	settings_destroy(settings);
	return EXIT_SUCCESS;
}
