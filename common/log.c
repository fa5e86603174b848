#include "common/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

static struct {
	char program[32];
	char instance[64];
	int level;
} log_state = {.program = "chervilholdd", .level = LOG_INFO};

/* Sets the program and instance names that start each line. */
void
log_open(const char *program, const char *instance)
{
	snprintf(log_state.program, sizeof(log_state.program), "%s", program);
	snprintf(
	    log_state.instance, sizeof(log_state.instance), "%s", instance);
}

/* Drops lines less severe than level (a syslog level, LOG_INFO by default). */
void
log_set_level(int level)
{
	log_state.level = level;
}

static const char *
level_name(int level)
{
	static const char *const names[] = {"emerg", "alert", "crit", "err",
	    "warning", "notice", "info", "debug"};

	return level >= 0 && level <= LOG_DEBUG ? names[level] : "info";
}

/*
 * Writes one syslog-style line to standard error: priority, time stamp in UTC,
 * program, process id, instance, level and text.  The line is written by one
 * call so that lines of several threads do not mix.
 */
void
log_line(int level, const char *format, ...)
{
	char text[1024];
	char stamp[32];
	struct timespec now;
	struct tm utc;
	va_list args;

	if (level > log_state.level)
		return;
	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	fprintf(stderr, "<%d>%s.%03ldZ %s[%d]: %s: %s: %s\n",
	    LOG_DAEMON | level, stamp, now.tv_nsec / 1000000, log_state.program,
	    (int)getpid(), log_state.instance, level_name(level), text);
}

/* Writes an error with its step and peer. */
void
log_err(int level, const err_t *err)
{
	char text[512];

	log_line(level, "%s", err_format(err, text, (int)sizeof(text)));
}
