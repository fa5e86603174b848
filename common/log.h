#pragma once

#include <syslog.h>

#include "common/err.h"

void log_open(const char *program, const char *instance);
void log_set_level(int level);
void log_line(int level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void log_err(int level, const err_t *err);
