#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One incarnation of a stand-in backend server that speaks the platform's
 * protocol: its clock, lease, fencing token, running tasks and ends.  It knows
 * nothing of other incarnations.  What it runs goes to standard output, for
 * tests/check_runs.awk.
 */
typedef struct life_t life_t;

typedef struct {
	const char *id;
	int number;           /* of the incarnation at this address, from 1 */
	int64_t clock_ms;     /* what its clock shows at the start */
	int64_t hold_max_ms;  /* longest lease */
	int64_t born_real_ms; /* no earlier incarnation has the same */
} life_options_t;

/* The answer to an order; body is NULL for a poll that is accepted. */
typedef struct {
	int status;
	json_t *body;
} order_reply_t;

life_t *life_create(const life_options_t *options);
/* Everything that runs ends unlisted; why is "crashed" or "left". */
void life_destroy(life_t *life, const char *why);
int64_t life_clock_ms(const life_t *life);
order_reply_t life_start(life_t *life, const json_t *order);
/* A running task is listed for stop_ms more. */
order_reply_t life_stop(life_t *life, const json_t *order, int64_t stop_ms);
/* Renews the lease and discards acknowledged ends. */
order_reply_t life_poll(life_t *life, const json_t *order);
order_reply_t life_refuse_incarnation(const life_t *life);
/* The answer to a poll, as of now. */
json_t *life_lists(const life_t *life);
bool life_has_ends(const life_t *life);
/* Ends the tasks that are due. */
void life_turn(life_t *life);
