#pragma once

#include "rpc/protocol.h"

/* Where the members of a unit are placed, as ranges in the order of members. */

void places_add(
    place_ranges_t *places, const char *worker, uint64_t born, int members);
void places_add_list(
    place_ranges_t *places, const unit_place_t *list, u_int count);
void places_copy(place_ranges_t *to, const place_ranges_t *from);
void places_clear(place_ranges_t *places);
int places_members(const place_ranges_t *places);
unit_place_t *places_list(const place_ranges_t *places);
