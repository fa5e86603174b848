#pragma once

#include <jansson.h>

#include "common/findings.h"
#include "common/str.h"

/*
 * Checks a configuration before it is sent.  Does no I/O.
 *
 * Adds an error for each reason to refuse the document, found by the code that
 * instances use to accept it, and a warning for each entry that is accepted but
 * contradicts another one or has no effect.
 */
void config_review(const json_t *config, findings_t *findings);
/*
 * Adds a change for each difference, with what it does to jobs and requests;
 * those that can take something from running jobs come first.
 */
void config_compare(
    const json_t *current, const json_t *next, findings_t *findings);
/*
 * Reads a merge patch, or a whole document, checks the configuration that it
 * makes of base, and compares the two.
 */
void config_check_text(str_t text, const json_t *base, findings_t *findings);
