#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/str.h"

/*
 * What a check of a document found: errors, warnings, and differences from
 * another version.  Each names its place by a JSON pointer (RFC 6901).
 */
typedef struct findings_t findings_t;

typedef enum {
	FINDING_ERROR,   /* the document would be refused */
	FINDING_WARNING, /* accepted, but an entry has no or another effect */
	FINDING_CHANGE,  /* differs from the version that it is compared with */
	FINDING_KINDS,
} finding_kind_t;

findings_t *findings_create(void);
void findings_destroy(findings_t *findings);
void findings_add(findings_t *findings, finding_kind_t kind,
    const char *pointer, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
size_t findings_count(const findings_t *findings, finding_kind_t kind);
/* Returns {"errors": [...], "warnings": [...], "changes": [...]}. */
json_t *findings_json(const findings_t *findings, str_t text);
/*
 * Prints a line for each finding and a summary, or all as JSON; text is the
 * document, name its file.
 */
void findings_print(
    const findings_t *findings, str_t text, const char *name, bool as_json);

/* Exit codes of programs that print findings. */
#define FINDINGS_EXIT_FINE 0
#define FINDINGS_EXIT_WARNINGS 1
#define FINDINGS_EXIT_ERRORS 2
#define FINDINGS_EXIT_UNREADABLE 3

int findings_exit_code(const findings_t *findings);
