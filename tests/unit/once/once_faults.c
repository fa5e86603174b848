#include "tests/unit/once/once.h"

/* Draws the faults of a day: in series, overlapping, of the chosen kinds. */

#define FIRST_FAULT_US (4 * ONCE_US_PER_S)

const char *const once_kind_names[KIND_COUNT] = {
    [KIND_LOSS] = "loss",
    [KIND_ANSWER_LOST] = "answer_lost",
    [KIND_LATE] = "late",
    [KIND_SLOW] = "slow",
    [KIND_CUT] = "cut",
    [KIND_CUT_ONE_WAY] = "cut_one_way",
    [KIND_CRASH] = "crash",
    [KIND_REBIRTH] = "rebirth",
    [KIND_RETURN] = "return",
    [KIND_DRAIN] = "drain",
    [KIND_LATE_ANNOUNCE] = "late_announce",
    [KIND_LATE_DEREGISTER] = "late_deregister",
    [KIND_LOST_DEREGISTER] = "lost_deregister",
    [KIND_UNHEALTHY] = "unhealthy",
    [KIND_FREEZE] = "freeze",
    [KIND_ISOLATE] = "isolate",
    [KIND_KILL] = "kill",
    [KIND_FAIL] = "fail",
    [KIND_CANCEL] = "cancel",
};

typedef struct {
	world_t *world;
	once_kind_t kind;
	double chance; /* of a network fault from now on */
} fault_t;

static int
any_slot(world_t *world)
{
	return (int)once_between(world, 0, world->slots);
}

/* ---- what a fault does ---- */

static void
cut_slot(world_t *world, int instance, int slot, bool to, bool from)
{
	int64_t until_us = world->now_us + once_between(world, ONCE_US_PER_S,
					       10 * ONCE_US_PER_S);

	story_add(world, NULL,
	    world->lives[slot] != NULL ? world->lives[slot]->id : "",
	    "slot %d is cut off from i%d until %.3f:%s%s", slot, instance,
	    (double)until_us / ONCE_US_PER_S, to ? " orders" : "",
	    from ? " answers" : "");
	if (to)
		world->cut_to_us[instance][slot] = until_us;
	if (from)
		world->cut_from_us[instance][slot] = until_us;
}

/* Cuts some workers off from one instance or from all. */
static void
cut(world_t *world, bool one_way)
{
	int count = (int)once_between(world, 1, world->slots / 2);
	bool to = !one_way || once_chance(world, 0.5);
	bool from = !one_way || !to;
	bool all = once_chance(world, 0.7);
	int only = (int)once_between(world, 0, ONCE_INSTANCES);

	for (int n = 0; n < count; n++) {
		int slot = any_slot(world);

		for (int i = 0; i < ONCE_INSTANCES; i++) {
			if (all || i == only)
				cut_slot(world, i, slot, to, from);
		}
	}
}

static instance_t *
leader_or_any(world_t *world)
{
	int index = world->leader;

	if (index == ONCE_NO_OWNER || once_chance(world, 0.2))
		index = (int)once_between(world, 0, ONCE_INSTANCES);
	return &world->instances[index];
}

static void
hit_worker(world_t *world, once_kind_t kind)
{
	int slot = any_slot(world);
	life_t *life = world->lives[slot];

	if (life == NULL)
		return;
	if (kind == KIND_DRAIN)
		life_drain(life);
	else if (kind == KIND_UNHEALTHY)
		life->unhealthy_until_us =
		    world->now_us +
		    once_between(world, ONCE_US_PER_S / 10, 3 * ONCE_US_PER_S);
	else
		slot_restart(world, slot, kind,
		    once_between(world, ONCE_US_PER_S / 20,
			once_chance(world, 0.7) ? ONCE_US_PER_S
						: 5 * ONCE_US_PER_S));
}

static void
on_fault(void *ctx, bool dropped)
{
	fault_t *fault = ctx;
	world_t *world = fault->world;
	int64_t short_us =
	    once_between(world, ONCE_US_PER_S / 5, 5 * ONCE_US_PER_S);

	if (dropped)
		goto done;
	switch (fault->kind) {
	case KIND_CUT:
	case KIND_CUT_ONE_WAY:
		cut(world, fault->kind == KIND_CUT_ONE_WAY);
		break;
	case KIND_CRASH:
	case KIND_REBIRTH:
	case KIND_RETURN:
	case KIND_DRAIN:
	case KIND_UNHEALTHY:
		hit_worker(world, fault->kind);
		break;
	case KIND_FREEZE:
		instance_freeze(leader_or_any(world), short_us);
		break;
	case KIND_ISOLATE:
		instance_isolate(leader_or_any(world), short_us);
		break;
	case KIND_KILL:
		instance_kill(leader_or_any(world));
		break;
	default:
		world->chance[fault->kind] = fault->chance;
		break;
	}
done:
	g_free(fault);
}

/* ---- when ---- */

static void
add_fault(world_t *world, once_kind_t kind, int64_t at_us, double chance)
{
	fault_t *fault = g_new0(fault_t, 1);

	*fault = (fault_t){world, kind, chance};
	loop_at(world, MIN(at_us, world->faults_end_us), ONCE_NO_OWNER,
	    on_fault, fault);
}

static int64_t
any_time(world_t *world)
{
	return once_between(world, FIRST_FAULT_US, world->faults_end_us);
}

/* Some periods in which a network fault has a chance with each message. */
static void
plan_periods(world_t *world, once_kind_t kind)
{
	int count = (int)once_between(world, 1, 5);

	for (int n = 0; n < count; n++) {
		int64_t at_us = any_time(world);
		double chance =
		    0.02 + g_rand_double(world->rand) *
			       (once_chance(world, 0.5) ? 0.1 : 0.6);

		add_fault(world, kind, at_us, chance);
		add_fault(world, kind,
		    at_us +
			once_between(world, ONCE_US_PER_S, 12 * ONCE_US_PER_S),
		    0);
	}
	/* The day ends without network faults. */
	add_fault(world, kind, world->faults_end_us, 0);
}

/* Some series of faults that happen at a time. */
static void
plan_series(world_t *world, once_kind_t kind, int max_length)
{
	int count = (int)once_between(world, 1, 4);

	for (int n = 0; n < count; n++) {
		int64_t at_us = any_time(world);
		int length = (int)once_between(world, 1, max_length + 1);

		for (int i = 0; i < length; i++) {
			add_fault(world, kind, at_us, 0);
			at_us += once_between(
			    world, ONCE_US_PER_S / 20, 3 * ONCE_US_PER_S);
		}
	}
}

/* Plans the faults of all chosen kinds. */
void
faults_plan(world_t *world)
{
	for (int kind = 0; kind < KIND_COUNT; kind++) {
		if (!world->kinds[kind])
			continue;
		switch (kind) {
		case KIND_LOSS:
		case KIND_ANSWER_LOST:
		case KIND_LATE:
		case KIND_SLOW:
		case KIND_LATE_ANNOUNCE:
		case KIND_LATE_DEREGISTER:
		case KIND_LOST_DEREGISTER:
			plan_periods(world, (once_kind_t)kind);
			break;
		case KIND_CRASH:
		case KIND_REBIRTH:
		case KIND_RETURN:
		case KIND_DRAIN:
		case KIND_UNHEALTHY:
			plan_series(world, (once_kind_t)kind, 12);
			break;
		case KIND_FAIL:
		case KIND_CANCEL:
			break;
		default:
			plan_series(world, (once_kind_t)kind, 4);
			break;
		}
	}
}
