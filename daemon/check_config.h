#pragma once

#include <stdbool.h>

/*
 * Checks a configuration of the platform before it is sent and prints what was
 * found.  against is the file of the version to compare it with, or NULL.
 * Returns an exit code of common/findings.h.
 */
int check_config(const char *path, const char *against, bool as_json);
