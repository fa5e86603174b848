#pragma once

#include <stdint.h>

/*
 * The event log: one JSON object a line on standard output, for decisions that
 * touch a request or change what the process believes.  Writing never blocks;
 * each kind has a budget of lines, and a line counts what was left out; the
 * counter evlog_dropped_total has the sum.
 */
void evlog_open(const char *instance);
/* format and arguments are those of json_pack for an object. */
void evlog(const char *kind, const char *format, ...);
