#pragma once

#include <check.h>

int unit_run(Suite *suite, enum fork_status fork_status);
