#pragma once

#include <glib.h>
#include <jansson.h>

#include "policy/cells.h"

/*
 * Returns the guarantees of a valid document in the given failure domain, in
 * document order, as an array of cells_guarantee_t.  The caller frees the
 * array; its strings belong to the document.
 */
GArray *config_guarantees(const json_t *config, const char *domain);
