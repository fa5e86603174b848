#pragma once

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sched/fleet.h"
#include "state/machine.h"

/*
 * Simulation of the batch scheduler in virtual time: three instances with the
 * real fleet and state machine, a simulated replicated log and network, and
 * workers that follow the published protocol. A day is determined by its seed
 * and the kinds of faults. It ends with the first unit that runs twice.
 */

#define ONCE_INSTANCES 3
#define ONCE_MAX_SLOTS 16
#define ONCE_ACCELERATORS 8 /* of a worker */
#define ONCE_LEASE_MS 6000
#define ONCE_MAX_LEASE_MS 6000 /* a worker shortens longer ones */
#define ONCE_ANNOUNCE_MS 1500
#define ONCE_NO_OWNER (-1)
#define ONCE_US_PER_MS INT64_C(1000)
#define ONCE_US_PER_S INT64_C(1000000)

/* Kinds of faults; once_kind_names has their names. */
typedef enum {
	KIND_LOSS,            /* orders do not arrive */
	KIND_ANSWER_LOST,     /* orders are carried out, the answer is lost */
	KIND_LATE,            /* no answer, carried out 2 to 12 s later */
	KIND_SLOW,            /* orders and answers take up to 0.9 s */
	KIND_CUT,             /* workers unreachable in both directions */
	KIND_CUT_ONE_WAY,     /* in one direction */
	KIND_CRASH,           /* workers restart with a new id */
	KIND_REBIRTH,         /* workers restart under their id */
	KIND_RETURN,          /* or under an older id, at any address */
	KIND_DRAIN,           /* workers drain and deregister */
	KIND_LATE_ANNOUNCE,   /* announcements arrive seconds later */
	KIND_LATE_DEREGISTER, /* deregistrations arrive seconds later */
	KIND_LOST_DEREGISTER, /* or get no answer */
	KIND_UNHEALTHY,       /* workers refuse orders as unhealthy */
	KIND_FREEZE,          /* leaders are suspended */
	KIND_ISOLATE,         /* leaders are cut off from their peers */
	KIND_KILL,            /* leaders are killed and replaced */
	KIND_FAIL,            /* tasks fail */
	KIND_CANCEL,          /* jobs are cancelled */
	KIND_COUNT
} once_kind_t;

extern const char *const once_kind_names[KIND_COUNT];

typedef struct world_t world_t;
typedef struct instance_t instance_t;
typedef struct life_t life_t;

/* An event's function; dropped: its instance is gone, release ctx only. */
typedef void event_fn_t(void *ctx, bool dropped);

/* A job of one step: a gang or independent tasks. */
typedef struct {
	char *id;
	bool gang;
	int count;
	int accelerators;
	int64_t duration_us;
	const char *queue;
	bool committed;
} job_t;

/* What is observed of a unit at the workers. */
typedef struct {
	char *key;
	GPtrArray *present;    /* task_t on workers that are up */
	int64_t noted_done_us; /* earliest done that was acknowledged, or 0 */
	int64_t last_start_us;
	uint32_t committed_run;
} unit_t;

/* A task on a worker. */
typedef struct {
	uint64_t serial;
	life_t *life;
	job_t *job;
	unit_t *unit;
	int index;
	uint32_t run;
	bool stopping;
	int64_t started_us;
} task_t;

/* An end that is not acknowledged. */
typedef struct {
	uint64_t number;
	job_t *job;
	unit_t *unit;
	int index;
	uint32_t run;
	run_outcome_t how;
	int64_t at_us;
	int lapses; /* of the worker's lease, up to this end */
} end_t;

/* One incarnation of a worker. */
struct life_t {
	world_t *world;
	int slot;
	char *id;
	uint64_t born;
	bool up;
	int64_t started_us;
	double clock_rate;
	int64_t clock_base_ms;
	int64_t lease_end_ms;
	bool lease_valid;
	int lapses;
	uint64_t fence;
	uint64_t next_end;
	uint64_t sequence;  /* of the last announcement */
	GPtrArray *tasks;   /* task_t */
	GArray *ends;       /* end_t */
	GHashTable *memory; /* task name -> highest run stopped or ended */
	GPtrArray *waiting; /* polls that wait for an end */
	int64_t unhealthy_until_us;
	bool draining;
	bool deregistering;
};

struct instance_t {
	world_t *world;
	int index;
	int generation;
	bool alive;
	bool frozen;
	bool isolated;
	bool believes; /* that it leads */
	uint64_t term;
	size_t term_start; /* log length to apply before it is caught up */
	int64_t lease_until_us;
	int64_t resumed_ms;
	int64_t isolated_since_us;
	size_t applied;
	GQueue held;    /* events while frozen */
	GQueue pending; /* proposals */
	machine_t *machine;
	fleet_t *fleet;
};

struct world_t {
	GRand *rand;
	bool kinds[KIND_COUNT];
	double chance[KIND_COUNT]; /* at this time, of network faults */
	bool recording;
	int64_t now_us;
	uint64_t event_sequence;
	int timer_ids;
	GSequence *events;
	int current; /* instance whose code runs */
	instance_t instances[ONCE_INSTANCES];
	GPtrArray *log;
	int leader; /* elected instance, or ONCE_NO_OWNER */
	uint64_t term;
	int64_t election_us; /* not before */
	int slots;
	life_t *lives[ONCE_MAX_SLOTS]; /* NULL while the slot is empty */
	GPtrArray *all_lives;
	int life_count;
	/* Cut until then, by instance and slot. */
	int64_t cut_to_us[ONCE_INSTANCES][ONCE_MAX_SLOTS];
	int64_t cut_from_us[ONCE_INSTANCES][ONCE_MAX_SLOTS];
	GHashTable *jobs;  /* id -> job_t */
	GHashTable *units; /* key -> unit_t */
	GHashTable *tasks; /* serial -> task_t */
	uint64_t task_serial;
	int starts;
	int deregistrations;
	int64_t faults_end_us;
	GPtrArray *story;
	char *failure; /* NULL while no check has failed */
	char *failed_job;
};

extern world_t *once_world; /* the one that runs */

/* once_loop.c */
void loop_at(
    world_t *world, int64_t at_us, int owner, event_fn_t *fn, void *ctx);
void loop_after(world_t *world, int64_t delay_us, event_fn_t *fn, void *ctx);
void loop_run(world_t *world, int64_t until_us);
void loop_release(world_t *world, instance_t *instance);
void loop_clear(world_t *world);
/* Random numbers of the day: in [low, high), and with a probability. */
int64_t once_between(world_t *world, int64_t low, int64_t high);
bool once_chance(world_t *world, double probability);

/* once_story.c */
void story_add(world_t *world, const char *job, const char *worker,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
void story_print(const world_t *world);
void story_clear(world_t *world);

/* once_replica.c */
void replica_world_start(world_t *world);
void replica_world_stop(world_t *world);
void instance_start(instance_t *instance);
void instance_kill(instance_t *instance);
void instance_freeze(instance_t *instance, int64_t duration_us);
void instance_isolate(instance_t *instance, int64_t duration_us);
/* Commits a client's command; tries again while there is no leader. */
void client_propose(world_t *world, GByteArray *bytes);

/* once_orders.c */
order_transport_t orders_transport(instance_t *instance);
typedef struct order_t order_t;
void order_answer_poll(order_t *order);
void order_abort(order_t *order);

/* once_worker.c */
life_t *life_create(world_t *world, int slot, const char *id);
void life_free(void *data);
void life_end(life_t *life, const char *why);
int64_t life_clock_ms(const life_t *life);
order_outcome_t life_start_task(life_t *life, uint64_t fence, job_t *job,
    int index, uint32_t run, int64_t lease_end_ms);
order_outcome_t life_stop_task(
    life_t *life, uint64_t fence, job_t *job, int index, uint32_t run);
order_outcome_t life_poll(
    life_t *life, uint64_t fence, uint64_t acknowledged, int64_t lease_end_ms);

/* once_tasks.c */
void task_begin(life_t *life, job_t *job, int index, uint32_t run);
void task_stop(task_t *task);
void task_end(task_t *task, run_outcome_t how);
void task_remove(task_t *task, run_outcome_t how);
void task_free(void *data);

/* once_presence.c: announcements, drains and deregistrations. */
void life_announce_regularly(life_t *life);
void life_drain(life_t *life);
void slot_start(world_t *world, int slot);
/* kind: crash, rebirth or return, which decides about the next id. */
void slot_restart(world_t *world, int slot, once_kind_t kind, int64_t down_us);

/* once_check.c */
unit_t *check_unit(world_t *world, const job_t *job, int index);
void check_started(task_t *task);
void check_acknowledged(life_t *life, const end_t *end);
void check_committed(world_t *world, const command_t *command);
void check_runs_owned(world_t *world, const fleet_t *fleet);
void check_fail(world_t *world, const char *job, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
void unit_free(void *data);

/* once_faults.c */
void faults_plan(world_t *world);

/* once_load.c */
void load_plan(world_t *world);
void load_configure(world_t *world);
void job_free(void *data);

/* once_world.c */
typedef struct {
	char *failure; /* NULL: every check passed; the caller frees it */
	int units;
	int completed;
	int starts;
} once_result_t;

once_result_t once_run_day(
    guint32 seed, const bool kinds[KIND_COUNT], bool recording);

/* once_play.c */
#define ONCE_NETWORK "loss,answer_lost,late,slow,cut,cut_one_way,late_announce"
#define ONCE_LEADERS "freeze,isolate,kill"

typedef struct {
	const char *kinds;
	guint32 seed; /* of the first day */
	int days;
} fixed_days_t;

int once_play(const fixed_days_t *fixed, size_t count);
