#include <jansson.h>
#include <string.h>

#include "common/evlog.h"
#include "sched/fleet_private.h"

/* Few workers a question: the adviser takes longer with each. */
#define MAX_ASKED 30
/* Workers named for each member that still needs a place. */
#define ASKED_PER_MEMBER 3
#define ADVICE_ANSWER_MS 5000

/* A question under way. */
struct question_t {
	fleet_t *fleet;
	char *job;
	char *step;
	GPtrArray *workers; /* ids, NULL-terminated */
	GArray *born;
};

/* The adviser's name of a step: JOB.OCCURRENCE.STEP. */
char *
fleet_step_name(const char *job, int occurrence, int step)
{
	return g_strdup_printf("%s.%d.%d", job, occurrence, step);
}

static void
question_free(question_t *question)
{
	g_free(question->job);
	g_free(question->step);
	g_ptr_array_unref(question->workers);
	g_array_unref(question->born);
	g_free(question);
}

static bool
is_still_wanted(const question_t *question)
{
	const ledger_job_t *job =
	    ledger_job(fleet_ledger(question->fleet), question->job);

	return job != NULL && !ledger_job_has_ended(job);
}

static uint64_t
born_of(const question_t *question, const char *worker)
{
	for (guint i = 0; i < question->born->len; i++) {
		if (strcmp(g_ptr_array_index(question->workers, i), worker) ==
		    0)
			return g_array_index(question->born, uint64_t, i);
	}
	return 0;
}

static void
take_grants(question_t *question, const advice_answer_t *answer)
{
	tickets_t *tickets = question->fleet->tickets;
	int64_t until_ms = fleet_now_ms() + answer->valid_ms;

	for (size_t i = 0; i < answer->count; i++)
		tickets_grant(tickets, question->step, answer->grants[i].worker,
		    born_of(question, answer->grants[i].worker),
		    answer->grants[i].ticket, until_ms);
	tickets_answered(tickets, question->step,
	    (const char *const *)question->workers->pdata);
}

static void
on_advised(void *ctx, const advice_answer_t *answer)
{
	question_t *question = ctx;
	fleet_t *fleet = question->fleet;

	evlog("advice", "{s:s,s:i,s:i,s:b}", "step", question->step, "asked",
	    (int)question->born->len, "granted", (int)answer->count, "answered",
	    (int)answer->answered);
	if (answer->answered)
		take_grants(question, answer);
	else
		tickets_not_answered(
		    fleet->tickets, question->step, fleet_now_ms());
	if (!is_still_wanted(question))
		tickets_forget_job(fleet->tickets, question->job);
	fleet->question = NULL;
	question_free(question);
	fleet_kick(fleet);
}

static void
name_worker(question_t *question, const fleet_worker_t *info)
{
	g_ptr_array_add(question->workers, g_strdup(info->id));
	g_array_append_val(question->born, info->born);
}

/* Names workers with room that the adviser has not refused. */
static void
choose_workers(question_t *question, const plan_worker_t *workers, size_t count,
    const plan_unit_t *unit)
{
	guint most =
	    MIN((guint)unit->members * ASKED_PER_MEMBER + ASKED_PER_MEMBER,
		MAX_ASKED);
	int64_t now_ms = fleet_now_ms();

	for (size_t i = 0; i < count && question->born->len < most; i++) {
		const fleet_worker_t *info = workers[i].worker;

		if (plan_may_hold(&workers[i], unit) &&
		    plan_fit(&workers[i].free, &unit->step->shape) > 0 &&
		    tickets_is_worth_asking(question->fleet->tickets,
			question->step, info->id, info->born, now_ms))
			name_worker(question, info);
	}
}

/* Asks the adviser which workers may run the step, if that may help. */
void
fleet_ask_advice(fleet_t *fleet, const char *job, const char *step,
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit)
{
	question_t *question;

	if (fleet->orders.advise == NULL ||
	    !tickets_may_ask(fleet->tickets, step, fleet_now_ms()))
		return;
	question = g_new0(question_t, 1);
	question->fleet = fleet;
	question->job = g_strdup(job);
	question->step = g_strdup(step);
	question->workers = g_ptr_array_new_with_free_func(g_free);
	question->born = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	choose_workers(question, workers, count, unit);
	g_ptr_array_add(question->workers, NULL);
	if (question->born->len == 0) {
		question_free(question);
		return;
	}
	tickets_asked(fleet->tickets, step);
	fleet->question = question;
	fleet->orders.advise(fleet->orders.ctx, step,
	    (const char *const *)question->workers->pdata, ADVICE_ANSWER_MS,
	    on_advised, question);
}

void
fleet_drop_question(fleet_t *fleet)
{
	if (fleet->question != NULL)
		question_free(fleet->question);
	fleet->question = NULL;
}
