#pragma once

#include "common/counters.h"
#include "sched/crowding.h"
#include "sched/fleet.h"
#include "sched/headroom.h"
#include "sched/ledger.h"
#include "sched/order_queue.h"
#include "sched/order_window.h"
#include "sched/plan.h"
#include "sched/speed.h"
#include "sched/suspicion.h"
#include "sched/tickets.h"
#include "sched/waste.h"
#include "sched/worker_clock.h"

/* Priority of urgent queues; a higher number is less important. */
#define QUEUE_PRIORITY_URGENT 0
/* Time for a worker to answer a start, stop or pace order. */
#define ORDER_ANSWER_TIMEOUT_MS 700

/* Why a step that waits was passed over in a planning round. */
typedef enum {
	WAIT_ROOM,      /* no free place that fits */
	WAIT_HEADROOM,  /* the rest is kept free for urgent work */
	WAIT_RESERVED,  /* fits in a rack that is reserved for urgent work */
	WAIT_RACK,      /* fits, but not near its data or together */
	WAIT_TICKET,    /* no ticket for a worker with room */
	WAIT_EARLIER,   /* a step that needs no more was passed over */
	WAIT_RELEASING, /* keeps places while others are being freed */
	WAIT_NO_WORKER, /* no usable worker of its service and label */
	WAIT_OUT_OF_SERVICE, /* fits where the failure domain is out of service
			      */
	WAIT_NO_QUEUE,       /* its queue is not known */
	WAIT_REASONS,
} wait_reason_t;

/* Orders that wait for others, in the order in which they are sent. */
typedef enum {
	ORDER_CLASS_STOP,
	ORDER_CLASS_URGENT_START, /* of an urgent queue */
	ORDER_CLASS_START,
	ORDER_CLASSES,
} order_class_t;

typedef struct run_t run_t;
typedef struct member_t member_t;
typedef struct advice_query_t advice_query_t;
typedef struct fleet_batch_t fleet_batch_t;
typedef struct crowding_watch_t crowding_watch_t;

/* A task end that the worker has listed and that is not acknowledged. */
typedef struct {
	uint64_t number;
	char *job; /* NULL if no commit has to be awaited */
	unit_name_t unit;
	uint32_t run;
	bool late;             /* done, but the run was no longer tracked */
	int64_t hold_until_ms; /* not acknowledged before; 0: at once */
} pending_end_t;

/* The leader's in-memory state of one worker. */
typedef struct {
	fleet_t *fleet;
	fleet_worker_t info; /* owned copy */
	/* This incarnation was announced, or read from the ledger. */
	bool registered;
	uint64_t fence_epoch; /* of fleet_t when this incarnation was learned */
	int64_t last_announced_ms;
	int64_t cold_until_ms;          /* slow until then, 0: warm */
	uint64_t announcement_sequence; /* of the last announcement */
	worker_clock_t clock;
	int64_t lease_expiry_ms; /* local time by which its lease has expired */
	/* The last poll was answered; initially false if it is unknown. */
	bool reachable;
	/* Known from an earlier leader only; it has answered no poll of this
	 * one.
	 */
	bool unconfirmed;
	/* Same, by the present incarnation; initially false. */
	bool poll_confirmed;
	bool draining;
	bool out_of_service; /* its failure domain is */
	bool leaving;        /* deregistered, its tasks have not ended yet */
	bool polling;
	/* Poll soon and without waiting; run_tick sends no start until then. */
	bool needs_poll;
	uint64_t poll_sequence; /* fleet_next_sequence when the poll was sent */
	uint64_t poll_born;     /* incarnation that the poll was sent to */
	int64_t poll_sent_ms;
	int64_t poll_done_ms;
	int64_t next_poll_ms;
	uint64_t last_end_number; /* highest number of a listed end */
	bool more_ends;           /* than the last answer to a poll lists */
	uint64_t ackable_end;     /* highest end that may be acknowledged */
	uint64_t sent_ack;        /* acknowledged by the poll in flight */
	uint64_t confirmed_ack;   /* acknowledged by the last answered poll */
	GQueue pending_ends;      /* pending_end_t, by number */
	GPtrArray *members;       /* member_t that have not ended here */
	resources_t held;         /* by members */
	resources_t releasing;    /* by members of runs that release them */
	suspicion_t suspicion;
	speed_history_t speed;
	size_t plan_index; /* among the workers of the planning round */
	/* Its incarnation has ended; the next work timer retires it. */
	bool retire_pending;
	bool retired; /* removed, kept until nothing refers to it */
	int orders_in_flight;
	order_window_t window;                /* of its starts and stops */
	order_queue_t *queues[ORDER_CLASSES]; /* member_t, fleet_dispatch.c */
	int stray_stops;                      /* in flight */
	bool strays_left; /* stops of others had no room in the window */
} worker_t;

typedef enum {
	MEMBER_UNSENT, /* no start was sent */
	MEMBER_SENT,   /* start sent, arrival unknown */
	MEMBER_RUNNING,
	MEMBER_ENDED,
} member_state_t;

typedef enum {
	STOP_NONE,
	STOP_SENT,
	STOP_ANSWERED, /* the worker refuses later starts of the run */
} member_stop_t;

/* Since when the progress of a member is observed, see fleet_speed.c. */
typedef struct {
	uint64_t task; /* names the run of the task; 0: not observed */
	int percent;
	int64_t since_ms;
	int64_t seen_ms; /* the worker last said that it runs */
} progress_mark_t;

/*
 * One task of a run, placed on a worker. A job has steps, and a step has tasks.
 * The ledger groups the tasks of a step into units that are started together (a
 * gang or a single task), once for each occurrence of the job.
 */
struct member_t {
	run_t *run;
	worker_t *worker;   /* NULL once the member has ended */
	int index;          /* of the task in its step */
	guint worker_index; /* in worker_t.members */
	member_state_t state;
	member_stop_t stop;
	bool order_in_flight; /* a start or a stop is in flight */
	bool queued;          /* a start or a stop waits for others */
	order_class_t queue_class;
	GList queue_link; /* in worker_t.queues */
	/*
	 * Starts that got no answer. A copy of one may arrive at any later
	 * time, also at a later incarnation of the worker.
	 */
	int starts_unanswered;
	int64_t unanswered_ms; /* the last of them was sent */
	bool start_answered;   /* one was answered as carried out */
	/* fleet_next_sequence when a start or stop was last answered */
	uint64_t answer_sequence;
	uint64_t
	    listed_sequence; /* poll_sequence of the last poll that lists it */
	int64_t retry_ms;
	int percent;
	int64_t percent_ms; /* last increase of percent */
	int load;           /* see running_task_t */
	int pace;           /* share of full speed, in percent */
	progress_mark_t mark;
	char *checkpoint;
	bool checkpoint_was_long; /* one was left out, and logged */
	int64_t at_work_since_ms; /* seen at work by this leader, 0: not yet */
	int64_t saved_ms;         /* the checkpoint was learned */
	crowding_watch_t *crowding; /* see fleet_crowding.c; NULL: none yet */
};

/* One attempt to run a unit. */
struct run_t {
	fleet_t *fleet;
	ledger_unit_t *unit; /* NULL once the unit no longer refers to it */
	char *job;
	ledger_job_t
	    *owner; /* kept while a run that is not retired refers to it */
	unit_name_t name;
	const step_spec_t *step;
	resources_t shape;
	uint32_t number;
	int member_count;
	int members_left; /* that have not ended */
	member_t *members;
	bool start_committed;
	/* Its start is queued or proposed, so that its outcome is not known. */
	bool start_undecided;
	bool stopping; /* requested; sent once the start is committed */
	bool end_proposed;
	bool any_done; /* a member is done, which completes the unit */
	bool any_failed;
	bool releasing; /* stopping or done: its resources will be free soon */
	const char *stop_reason;
	int64_t wasted_core_ms; /* by its members that have ended */
	guint fleet_index;      /* in fleet_t.runs */
	int priority;           /* of the queue; lower is more important */
	crowding_kind_t crowding_kind; /* 0: not looked up yet */
	bool needs_ticket;
	int64_t created_ms; /* created, or adopted by this leader */
	int orders_in_flight;
	bool retired; /* removed, kept until nothing refers to it */
};

struct fleet_t {
	struct ev_loop *loop;
	replica_t *replica;
	fleet_timing_t timing;
	order_transport_t orders;
	headroom_t headroom;
	tickets_t *tickets;
	int64_t next_speed_fit_ms;    /* see fleet_speed.c */
	advice_query_t *advice_query; /* in flight */
	crowding_t *crowding;         /* NULL: interference is ignored */
	int64_t next_crowding_log_ms;
	uint64_t last_event_sequence; /* see fleet_next_sequence */
	bool leading;
	uint64_t term;
	uint64_t fence_epoch; /* incarnations whose end was seen in the term */
	int64_t leading_since_ms;
	GHashTable *workers; /* id -> worker_t */
	GPtrArray *retired_workers;
	GHashTable
	    *departing;  /* id -> born, until the departure is committed */
	GPtrArray *runs; /* run_t that are not retired */
	GPtrArray *retired_runs;
	GQueue leaves;             /* leave_t, see fleet_leave.c */
	GQueue member_orders;      /* member_order_t in flight */
	int orders_in_flight;      /* starts and stops */
	int64_t dispatch_since_us; /* the period of sending orders began */
	int64_t dispatch_spent_us; /* since then, on sending */
	GQueue batches;            /* fleet_batch_t to be proposed, in order */
	fleet_batch_t *proposal;   /* the batch in flight, or NULL */
	ev_timer tick;
	ev_timer work_timer;  /* one-shot: proposal and checks of workers */
	ev_timer plan_timer;  /* one-shot: planning round */
	int64_t next_plan_us; /* no planning round before then */
	GQueue pending_calls; /* pending_call_t */
	/* Time to the first start of a unit; the index is whether it is urgent.
	 */
	histogram_t *first_start_latency[2];
	histogram_t *order_latency; /* starts and stops that were answered */
	histogram_t *commit_latency;
	histogram_t *round_time; /* of planning rounds */
	counter_t *rounds_cut;   /* ended by their budget */
	counter_t *starts;
	counter_t *runs_refused; /* by the ledger */
	counter_t *events_left_out;
	counter_t *restarts_delayed;
	counter_t *checkpoints_left_out;
	counter_t *stops;
	counter_t *polls;
	counter_t *ends_done;
	counter_t *ends_failed;
	counter_t *ends_lost;
	counter_t *starts_unanswered;
	counter_t *strays;
	counter_t *overlaps; /* strays whose unit has another run in progress */
	counter_t *ends_uncounted;
	counter_t *foreign_announcements; /* of services not configured */
	counter_t *refused_no_room;
	counter_t *waits[WAIT_REASONS]; /* by wait_reason_t */
	counter_t *stills;
	int64_t next_still_ms;   /* when the next one may be logged */
	counter_t *slow_workers; /* gauge */
	counter_t *fast_workers; /* gauge */
	counter_t *speed_changes;
	counter_t *preempted;
	/* Members that ended without success, and their lost work. */
	counter_t *wasted_tasks[WASTE_CAUSES];
	counter_t *wasted_core_ms[WASTE_CAUSES];
	counter_t *crowding_samples;
	counter_t *crowding_passed_over;
	counter_t *crowding_kinds;
	counter_t *crowding_worst;
	counter_t *submitted;
	counter_t *rejected;
	counter_t *domains_out;    /* gauge: failure domains out of service */
	GHashTable *domain_gauges; /* of each that was: its name -> counter_t */
	counter_t *tasks_out;      /* gauge: tasks on workers there */
	counter_t *guarantees_at_risk; /* gauge: tenants */
	int64_t next_relocation_ms;    /* no task moves before then */
};

int64_t fleet_now_ms(void);
/*
 * Returns the next sequence number, which orders events within a millisecond.
 */
uint64_t fleet_next_sequence(fleet_t *fleet);
ledger_t *fleet_ledger(const fleet_t *fleet);
void fleet_schedule_work(fleet_t *fleet);
void fleet_step_down(fleet_t *fleet, const char *why);
void fleet_recover_run(fleet_t *fleet, ledger_unit_t *unit);

/* fleet_events.c */
bool fleet_event_start(fleet_t *fleet, run_t *run);
/* final: the queue allows no further attempt. */
void fleet_event_end(
    fleet_t *fleet, const run_t *run, unit_result_t result, bool final);
/* Queues a late completion of a run that is no longer tracked. */
void fleet_event_late_done(
    fleet_t *fleet, const unit_name_t *unit, uint32_t run);
void fleet_event_worker(fleet_t *fleet, const fleet_worker_t *worker,
    fleet_done_t *done, void *ctx);
void fleet_event_forget(fleet_t *fleet, const char *job);
void fleet_events_propose(fleet_t *fleet);
bool fleet_is_proposing_ends(const fleet_t *fleet);
void fleet_drop_proposal(fleet_t *fleet);
void fleet_events_clear(fleet_t *fleet, fleet_outcome_t outcome);

/* fleet_polls.c */
void worker_poll(worker_t *worker, int64_t now_ms);
void worker_tick(worker_t *worker, int64_t now_ms);

/* fleet_workers.c */
worker_t *fleet_find_worker(const fleet_t *fleet, const char *id);
worker_t *worker_create(fleet_t *fleet, const fleet_worker_t *info);
void worker_retire(worker_t *worker);
void fleet_reap_workers(fleet_t *fleet);
void worker_learn_incarnation(worker_t *worker, uint64_t born);
void worker_stop_runs(worker_t *worker, const char *reason);
void pending_end_free(void *data);
uint64_t worker_fence(const worker_t *worker);
int64_t worker_grant_lease(worker_t *worker, int64_t now_ms);
void worker_update_from_answer(
    worker_t *worker, uint64_t born, const order_answer_t *answer);
bool worker_is_usable(const worker_t *worker, int64_t now_ms);
bool worker_is_cold(const worker_t *worker);
int worker_speed_now(const worker_t *worker, int speed_percent, int64_t now_ms);

/* fleet_relocate.c */
void fleet_relocate(fleet_t *fleet, int64_t now_ms);

/* fleet_domains.c */
void domains_init(fleet_t *fleet);
void domains_update_worker(worker_t *worker);
void domains_check_guarantees(fleet_t *fleet);
void domains_update_gauges(fleet_t *fleet);
void domains_log(const fleet_t *fleet);
void domains_on_committed(fleet_t *fleet, const domain_service_t *command);
const char *worker_no_start_reason(const worker_t *worker);

/* fleet_leave.c */
void worker_depart(worker_t *worker, fleet_done_t *done, void *ctx);
bool fleet_has_departed(const fleet_t *fleet, const fleet_worker_t *info);
void fleet_acknowledge_leaves(fleet_t *fleet, int64_t now_ms);
void fleet_leaves_clear(fleet_t *fleet);

/* An order in flight that concerns one member. */
typedef struct {
	run_t *run;
	worker_t *worker;
	uint64_t born; /* incarnation of the worker that the order is for */
	int member;
	int percent; /* of a pace order */
	int64_t sent_us;
	GList link; /* in fleet_t.member_orders */
} member_order_t;

/* fleet_runs.c */
run_t *run_create(fleet_t *fleet, ledger_unit_t *unit, uint32_t number,
    const place_ranges_t *places);
/* The resources of the run count as soon to be free from now on. */
void run_release(run_t *run);
void run_drop(run_t *run);
void run_settle_start(run_t *run);
/* Once all members have ended, reports the end of the run and retires it. */
void run_retire_if_ended(run_t *run);
void run_after_member_end(run_t *run, const char *reason);
void fleet_reap_runs(fleet_t *fleet);
void unit_detach_run(ledger_unit_t *unit);
task_name_t member_task(const member_t *member);
/* Ends the member's part in its worker's accounts. */
void member_detach(member_t *member);
void member_note_begun(member_t *member);
void member_reported_running(
    member_t *member, const running_task_t *task, int64_t now_ms);
void member_ended(member_t *member, run_outcome_t how, const char *checkpoint);
void member_lost(member_t *member, const char *why);
void member_forget_stop(member_t *member);
bool member_may_still_start(const member_t *member);
bool member_may_start_later(const member_t *member, int64_t now_ms);
int64_t member_late_start_ms(const member_t *member);

/* fleet_orders.c */
member_order_t *member_order_begin(member_t *member);
void member_order_end(member_order_t *order);
void run_on_start_committed(run_t *run);
/*
 * Stops a run, which may be NULL, because its unit was completed by an earlier
 * one.
 */
void run_supersede(run_t *run, uint32_t ended_run);
void run_stop(run_t *run, const char *reason);
void run_tick(run_t *run, int64_t now_ms);
void member_send_start(member_t *member, int64_t now_ms);
void member_send_stop(member_t *member);
void member_not_started(member_t *member);
/* Frees orders whose transport was shut down without an answer. */
void fleet_drop_orders(fleet_t *fleet);

/* fleet_dispatch.c */
void member_start(member_t *member, int64_t now_ms);
void member_stop(member_t *member);
void member_unqueue(member_t *member);
void worker_dispatch(worker_t *worker, int64_t now_ms);
void worker_order_sent(worker_t *worker);
void worker_order_ended(worker_t *worker, bool answered);
bool worker_may_stop_stray(const worker_t *worker);

/* fleet_plan.c */
/* Returns false if the round ended with its budget. */
bool fleet_plan(fleet_t *fleet, int64_t now_ms);
bool fleet_can_ever_run(fleet_t *fleet, const char *service,
    const batch_spec_t *spec, const char **reason);

/* fleet_pace.c */
bool worker_has_interference(const worker_t *worker);
void worker_adjust_pace(worker_t *worker, int64_t now_ms);

/* fleet_crowding.c */
void fleet_crowding_init(fleet_t *fleet);
void worker_observe_crowding(worker_t *worker, int64_t now_ms);
int member_slowdown_percent(
    const member_t *member, const member_t *other, int64_t now_ms);

/* fleet_speed.c */
void fleet_speed_init(fleet_t *fleet);
void fleet_speed_forget(fleet_t *fleet);
void member_started(member_t *member, int64_t now_ms);
void member_progressed(member_t *member, int percent, int64_t now_ms);
void member_done(member_t *member, int64_t now_ms);

/* fleet_waste.c */
void fleet_waste_init(fleet_t *fleet);
int64_t member_unsaved_ms(const member_t *member, int64_t now_ms);
void member_record_waste(member_t *member, const char *how);

/* fleet_advice.c */
char *fleet_step_name(const char *job, int occurrence, int step);
void fleet_ask_advice(fleet_t *fleet, const char *job, const char *step,
    const plan_worker_t *workers, size_t count, const plan_unit_t *unit);
/* Frees the query whose transport was shut down without an answer. */
void fleet_drop_advice_query(fleet_t *fleet);

/* fleet_calls.c */
void fleet_calls_clear(fleet_t *fleet);
