#include "sched/ledger_private.h"
#include "sched/places.h"

/*
 * The units of a job.  They are kept in pages, which are made when one of their
 * units is first asked for, so that a task that waits for its turn takes next
 * to no memory.  A unit without a page waits and has never run.
 */

#define UNITS_PER_PAGE 64

size_t
ledger_unit_count_of(const step_spec_t *step)
{
	return step->gang ? 1 : (size_t)step->count;
}

static size_t
page_count(const ledger_job_t *job)
{
	return (job->unit_count + UNITS_PER_PAGE - 1) / UNITS_PER_PAGE;
}

/* Counts the units of the job, all of them waiting. */
void
ledger_units_init(ledger_job_t *job)
{
	const batch_spec_t *spec = &job->submit.spec;
	u_int steps = spec->steps.steps_len;

	job->step_first_unit = g_new(size_t, steps);
	for (u_int s = 0; s < steps; s++) {
		job->step_first_unit[s] = job->units_per_occurrence;
		job->units_per_occurrence +=
		    ledger_unit_count_of(&spec->steps.steps_val[s]);
	}
	job->unit_count = job->units_per_occurrence * job->occurrences;
	job->units_left = job->unit_count;
	job->units_waiting = job->unit_count;
	job->unit_pages = g_new0(ledger_unit_t *, page_count(job));
	job->step_units_left = g_new(int, job->occurrences *steps);
	for (int k = 0; k < job->occurrences; k++) {
		for (u_int s = 0; s < steps; s++)
			job->step_units_left[k * steps + s] =
			    (int)ledger_unit_count_of(
				&spec->steps.steps_val[s]);
	}
}

static void
unit_clear(ledger_unit_t *unit)
{
	places_clear(&unit->places);
	g_free(unit->checkpoint);
}

void
ledger_units_free(ledger_job_t *job)
{
	for (size_t p = 0; p < page_count(job); p++) {
		ledger_unit_t *page = job->unit_pages[p];

		for (size_t i = 0; page != NULL && i < UNITS_PER_PAGE; i++)
			unit_clear(&page[i]);
		g_free(page);
	}
	g_free(job->unit_pages);
	g_free(job->step_units_left);
	g_free(job->step_first_unit);
}

static void
unit_init(ledger_job_t *job, size_t index, ledger_unit_t *unit)
{
	size_t within = index % job->units_per_occurrence;
	u_int step = job->submit.spec.steps.steps_len - 1;
	const step_spec_t *spec;

	while (job->step_first_unit[step] > within)
		step--;
	spec = &job->submit.spec.steps.steps_val[step];
	*unit = (ledger_unit_t){
	    .job = job,
	    .occurrence = (int)(index / job->units_per_occurrence),
	    .step = (int)step,
	    .first = (int)(within - job->step_first_unit[step]),
	    .members = spec->gang ? spec->count : 1,
	    .checkpoint = g_strdup(""),
	};
}

static ledger_unit_t *
make_page(ledger_job_t *job, size_t first)
{
	ledger_unit_t *page = g_new0(ledger_unit_t, UNITS_PER_PAGE);
	size_t count = MIN(UNITS_PER_PAGE, job->unit_count - first);

	for (size_t i = 0; i < count; i++)
		unit_init(job, first + i, &page[i]);
	return page;
}

/* Returns the unit at an index below unit_count, or NULL if it has no page. */
ledger_unit_t *
ledger_known_unit(const ledger_job_t *job, size_t index)
{
	ledger_unit_t *page = job->unit_pages[index / UNITS_PER_PAGE];

	return page != NULL ? &page[index % UNITS_PER_PAGE] : NULL;
}

/* Returns the unit at an index below unit_count. */
ledger_unit_t *
ledger_unit_at(ledger_job_t *job, size_t index)
{
	size_t page = index / UNITS_PER_PAGE;

	if (job->unit_pages[page] == NULL)
		job->unit_pages[page] = make_page(job, page * UNITS_PER_PAGE);
	return &job->unit_pages[page][index % UNITS_PER_PAGE];
}

/*
 * Returns the first unit with a page from *index on, or NULL after the last
 * one, and sets *index to the index after it.  Every unit that has run has a
 * page.
 */
ledger_unit_t *
ledger_next_known_unit(const ledger_job_t *job, size_t *index)
{
	while (*index < job->unit_count) {
		ledger_unit_t *unit = ledger_known_unit(job, *index);

		if (unit != NULL) {
			++*index;
			return unit;
		}
		*index += UNITS_PER_PAGE - *index % UNITS_PER_PAGE;
	}
	return NULL;
}

/* Returns the index of the first unit of a step; count of them follow. */
size_t
ledger_step_units(
    const ledger_job_t *job, int occurrence, int step, size_t *count)
{
	*count = ledger_unit_count_of(&job->submit.spec.steps.steps_val[step]);
	return occurrence * job->units_per_occurrence +
	       job->step_first_unit[step];
}

/* Returns the unit that the task belongs to, or NULL. */
ledger_unit_t *
ledger_unit_of_task(ledger_job_t *job, int occurrence, int step, int index)
{
	size_t count;
	size_t first;

	if (occurrence < 0 || occurrence >= job->occurrences || step < 0 ||
	    step >= (int)job->submit.spec.steps.steps_len || index < 0 ||
	    index >= job->submit.spec.steps.steps_val[step].count)
		return NULL;
	first = ledger_step_units(job, occurrence, step, &count);
	return ledger_unit_at(job, count == 1 ? first : first + (size_t)index);
}
