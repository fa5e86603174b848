#include "tests/unit/runner.h"

#include <stdlib.h>

/* Runs a suite and returns the exit status of its program. */
int
unit_run(Suite *suite, enum fork_status fork_status)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_set_fork_status(runner, fork_status);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
