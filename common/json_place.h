#pragma once

#include "common/str.h"

/*
 * Returns the line, counted from 1, on which the value of a JSON pointer
 * (RFC 6901) begins in a valid JSON text; that of the nearest value around it
 * if the text does not have it, and 0 if that is the whole text.
 */
int json_place_line(str_t text, const char *pointer);
