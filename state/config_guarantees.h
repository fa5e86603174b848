#pragma once

#include <glib.h>
#include <jansson.h>

#include "policy/cells.h"

/*
 * Returns the guarantees of a checked document that name the domain, in
 * document order, as an array of cells_guarantee_t; the names point into the
 * document.  The caller frees the array.
 */
GArray *config_guarantees(const json_t *config, const char *domain);
