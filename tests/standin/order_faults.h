#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults of the calls between a stand-in backend server and its leader. */

typedef enum {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL,
	ORDER_KINDS,
} order_kind_t;

typedef enum {
	BODY_WHOLE,
	BODY_CUT,        /* ends in the middle */
	BODY_TEXT,       /* no JSON */
	BODY_NO_RUNNING, /* without the list of running tasks */
	BODY_NO_ENDS,    /* without the list of ends */
} body_fault_t;

/* What happens to an order of one kind. */
typedef struct {
	int64_t late_ms; /* no answer, carried out this much later */
	bool is_lost;    /* carried out, the answer is lost */
	body_fault_t body;
	int count; /* orders left that meet the fault, below 0: all */
} order_fault_t;

typedef struct {
	order_fault_t orders[ORDER_KINDS];
	int64_t stop_ms; /* how long a stop takes */
	bool is_unheard; /* sends no announcements */
} order_faults_t;

/*
 * Reads {"start": FAULT, "stop": FAULT, "poll": FAULT, "stop_ms": N, "unheard":
 * true}, all optional; FAULT is {"late_ms": N, "lost": true, "body": "cut" |
 * "text" | "no_running" | "no_ends", "count": N}.  Returns false, with *faults
 * unchanged, when an item is not known.
 */
bool order_faults_read(order_faults_t *faults, const json_t *object);
const char *order_kind_name(order_kind_t kind);
/* How late the order that has arrived is carried out; 0: at once. */
int64_t order_faults_delay(order_faults_t *faults, order_kind_t kind);
/* What happens to the answer that is about to be given. */
order_fault_t order_faults_answer(order_faults_t *faults, order_kind_t kind);
/* The text of an answer with that fault; to be freed. */
char *order_faults_body(body_fault_t fault, json_t *body);
