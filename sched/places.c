#include "sched/places.h"

#include <glib.h>
#include <string.h>

#include "rpc/codec.h"

/*
 * Adds members after the last ones; extends the last range where it is of the
 * same incarnation of the same worker.
 */
void
places_add(
    place_ranges_t *places, const char *worker, uint64_t born, int members)
{
	u_int count = places->place_ranges_t_len;
	place_range_t *last;

	if (count > 0) {
		last = &places->place_ranges_t_val[count - 1];
		if (last->born == born && strcmp(last->worker, worker) == 0) {
			last->members += members;
			return;
		}
	}
	places->place_ranges_t_val =
	    g_renew(place_range_t, places->place_ranges_t_val, count + 1);
	places->place_ranges_t_val[count] =
	    (place_range_t){g_strdup(worker), born, members};
	places->place_ranges_t_len++;
}

/* Adds one member for each place of the list. */
void
places_add_list(place_ranges_t *places, const unit_place_t *list, u_int count)
{
	for (u_int i = 0; i < count; i++)
		places_add(places, list[i].worker, list[i].born, 1);
}

/* Copies places into an empty list. */
void
places_copy(place_ranges_t *to, const place_ranges_t *from)
{
	u_int count = from->place_ranges_t_len;

	to->place_ranges_t_len = count;
	to->place_ranges_t_val = g_new0(place_range_t, count);
	for (u_int i = 0; i < count; i++) {
		to->place_ranges_t_val[i] = from->place_ranges_t_val[i];
		to->place_ranges_t_val[i].worker =
		    g_strdup(from->place_ranges_t_val[i].worker);
	}
}

void
places_clear(place_ranges_t *places)
{
	codec_free((xdrproc_t)xdr_place_ranges_t, places);
	memset(places, 0, sizeof(*places));
}

/*
 * Returns the number of members, or -1 if a range is empty or there are more
 * than a job may have.
 */
int
places_members(const place_ranges_t *places)
{
	int members = 0;

	for (u_int i = 0; i < places->place_ranges_t_len; i++) {
		int more = places->place_ranges_t_val[i].members;

		if (more <= 0 || more > MAX_JOB_TASKS - members)
			return -1;
		members += more;
	}
	return members;
}

/*
 * Returns one place for each member, NULL if there is none.  The caller frees
 * the array; the names in it are those of places.
 */
unit_place_t *
places_list(const place_ranges_t *places)
{
	unit_place_t *list = g_new0(unit_place_t, places_members(places));
	int n = 0;

	for (u_int i = 0; i < places->place_ranges_t_len; i++) {
		const place_range_t *range = &places->place_ranges_t_val[i];

		for (int k = 0; k < range->members; k++)
			list[n++] = (unit_place_t){range->worker, range->born};
	}
	return list;
}
