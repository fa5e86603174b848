#include "tests/standin/order_faults.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[ORDER_KINDS] = {"start", "stop", "poll"};

static bool
read_body_fault(const char *text, body_fault_t *body)
{
	static const char *const names[] = {
	    "whole", "cut", "text", "no_running", "no_ends"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_strcmp0(names[i], text) == 0) {
			*body = (body_fault_t)i;
			return true;
		}
	}
	return false;
}

static bool
read_order_fault(const json_t *object, order_fault_t *fault)
{
	const char *key;
	json_t *value;

	*fault = (order_fault_t){.count = -1};
	json_object_foreach ((json_t *)object, key, value) {
		if (strcmp(key, "late_ms") == 0)
			fault->late_ms = json_integer_value(value);
		else if (strcmp(key, "lost") == 0)
			fault->is_lost = json_is_true(value);
		else if (strcmp(key, "count") == 0)
			fault->count = (int)json_integer_value(value);
		else if (strcmp(key, "body") != 0 ||
			 !read_body_fault(
			     json_string_value(value), &fault->body))
			return false;
	}
	return json_is_object(object);
}

static bool
read_item(order_faults_t *faults, const char *key, const json_t *value)
{
	for (int kind = 0; kind < ORDER_KINDS; kind++) {
		if (strcmp(key, kind_names[kind]) == 0)
			return read_order_fault(value, &faults->orders[kind]);
	}
	if (strcmp(key, "stop_ms") == 0)
		faults->stop_ms = json_integer_value(value);
	else if (strcmp(key, "unheard") == 0)
		faults->is_unheard = json_is_true(value);
	else
		return false;
	return true;
}

bool
order_faults_read(order_faults_t *faults, const json_t *object)
{
	order_faults_t read = {0};
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)object, key, value) {
		if (!read_item(&read, key, value))
			return false;
	}
	if (!json_is_object(object))
		return false;
	*faults = read;
	return true;
}

const char *
order_kind_name(order_kind_t kind)
{
	return kind_names[kind];
}

/* Whether the fault meets one more order. */
static bool
use_fault(order_fault_t *fault)
{
	if (fault->count == 0)
		return false;
	if (fault->count > 0)
		fault->count--;
	return true;
}

int64_t
order_faults_delay(order_faults_t *faults, order_kind_t kind)
{
	order_fault_t *fault = &faults->orders[kind];

	return fault->late_ms > 0 && use_fault(fault) ? fault->late_ms : 0;
}

order_fault_t
order_faults_answer(order_faults_t *faults, order_kind_t kind)
{
	order_fault_t *fault = &faults->orders[kind];
	bool is_set = fault->is_lost || fault->body != BODY_WHOLE;

	if (fault->late_ms > 0 || !is_set || !use_fault(fault))
		return (order_fault_t){0};
	return *fault;
}

char *
order_faults_body(body_fault_t fault, json_t *body)
{
	char *text;

	if (fault == BODY_TEXT)
		return strdup("temporarily unavailable");
	if (fault == BODY_NO_RUNNING)
		json_object_del(body, "running");
	if (fault == BODY_NO_ENDS)
		json_object_del(body, "finishedRuns");
	text = json_dumps(body, JSON_COMPACT);
	if (fault == BODY_CUT)
		text[strlen(text) / 2] = '\0';
	return text;
}
