#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* Exit codes; documented in docs/chervilhold.1. */
typedef enum {
	EXIT_OK = 0,
	EXIT_REFUSED = 1,
	EXIT_USAGE = 2,
	EXIT_UNREACHABLE = 3,
	EXIT_CONFLICT = 4,
} exit_code_t;

/* What the options say; fields of other subcommands stay unset. */
typedef struct {
	char **urls;
	gboolean urls_by_default; /* neither option nor environment */
	char *key_file;
	char *key;
	gboolean json;
	gint64 base; /* -1: the version in force */
	char *id;
	char *author;
	gboolean check_only;
	gint64 from;
	char *state;
	char *tenant;
	char *html;
	char **logs;
	char *against;
} options_t;

/* One column of a table: its title and the member of each object. */
typedef struct {
	const char *title;
	const char *member;
} column_t;

/*
 * Makes one call at the first instance that answers.  Every call is idempotent,
 * so that a lost answer is followed by the same call at the next instance.
 * *status is 0 when none answered.  The caller frees *body.
 */
void call_server(const options_t *options, const char *method, const char *path,
    const char *request, long *status, char **body);

/* Prints an answer as JSON, or reports that it is none. */
int print_json(const char *body);
void print_table(const json_t *list, const column_t *columns, size_t count);
/* Prints "title: value" lines. */
void print_members(const json_t *object, const column_t *columns, size_t count);
/* Returns the exit code for an answer and explains it when it is no success. */
int report_failure(const char *what, long status, const char *body);

typedef int subcommand_t(const options_t *options, const char *argument);

subcommand_t command_apply;
subcommand_t command_plan;
subcommand_t command_status;
subcommand_t command_explain;
subcommand_t command_jobs;
subcommand_t command_workers;
subcommand_t command_workspaces;
subcommand_t command_history;
subcommand_t command_drain;
subcommand_t command_replace;
subcommand_t command_burn;
subcommand_t command_version;
subcommand_t command_trace;
subcommand_t command_check;
