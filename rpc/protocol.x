/*
 * Messages between instances, as ONC RPC version 2 (RFC 5531) over TCP, and
 * the commands of the replicated log, which use the same XDR encoding.
 */

const PROTOCOL_VERSION_MIN = 3;
const PROTOCOL_VERSION_MAX = 3;
const NAME_MAX_LEN = 128;
const TEXT_MAX_LEN = 4096;
const BODY_MAX_LEN = 4194304;
const MAX_MEMBERS = 64;
const MAX_ANNOUNCED = 512;
const MAX_BATCH = 4096;
const MAX_JOB_TASKS = 100000;
const MAX_STEPS = 256;
const MAX_LABELS = 32;

typedef string name_t<NAME_MAX_LEN>;
typedef string text_t<TEXT_MAX_LEN>;
typedef opaque body_t<BODY_MAX_LEN>;

/* ---- replicated log ---- */

enum command_kind_t {
	COMMAND_NOOP = 0,
	COMMAND_PATCH = 1,
	COMMAND_CLAIM = 2,
	COMMAND_CLAIM_END = 3,
	COMMAND_WORKER_ADD = 4,
	COMMAND_WORKER_LEAVE = 5,
	COMMAND_WORKER_OWNER = 6,
	COMMAND_WORKER_REMOVE = 7,
	COMMAND_PLACER = 8,
	COMMAND_JOB_SUBMIT = 9,
	COMMAND_JOB_START = 10,
	COMMAND_JOB_GO = 11,
	COMMAND_JOB_END = 12,
	COMMAND_JOB_CANCEL = 13,
	COMMAND_INSTANCE = 14,
	COMMAND_REPLACE = 15,
	COMMAND_FLEET_CONFIG = 16,
	COMMAND_BATCH_SUBMIT = 17,
	COMMAND_BATCH_CANCEL = 18,
	COMMAND_FLEET_EVENTS = 19,
	COMMAND_DOMAIN_SERVICE = 20,
	COMMAND_GANG_START = 21
};

/* RFC 7396 merge patch against version base. */
struct patch_command_t {
	name_t id;
	unsigned hyper base;
	name_t author;
	hyper time_ms;
	body_t patch;
};

/* Made before a request that may not be repeated is dispatched. */
struct claim_command_t {
	name_t tenant;
	name_t key;
	unsigned hyper digest;
	name_t task;
	name_t worker;
	name_t instance;
	hyper time_ms;
};

enum claim_state_t {
	CLAIM_OPEN = 0,
	CLAIM_DONE = 1,
	CLAIM_DID_NOT_RUN = 2
};

/* Ends the claim made under this task id; ignored for any other task id. */
struct claim_end_command_t {
	name_t tenant;
	name_t key;
	name_t task;
	claim_state_t state;
	int http_status;
	body_t answer;
	bool answer_dropped;
	hyper time_ms;
};

struct worker_command_t {
	name_t id;
	name_t address;
	int port;
	name_t domain;
	name_t rack;
	int slots;
	int connections;
	int accelerators;
	unsigned hyper generation;
	name_t owner;
	hyper time_ms;
};

struct worker_owner_command_t {
	name_t id;
	name_t owner;
	unsigned hyper expected_fence;
};

struct placer_command_t {
	name_t domain;
	name_t instance;
	unsigned hyper expected_epoch;
};

enum job_priority_t {
	PRIORITY_OPPORTUNISTIC = 0,
	PRIORITY_GUARANTEED = 1,
	PRIORITY_URGENT = 2
};

enum adjacency_t {
	ADJACENT_ANY = 0,
	ADJACENT_DOMAIN = 1,
	ADJACENT_RACK = 2,
	ADJACENT_WORKER = 3
};

struct job_command_t {
	name_t id;
	name_t tenant;
	name_t workspace;
	name_t key;
	unsigned hyper digest;
	name_t domain;
	int members;
	int accelerators;
	adjacency_t adjacency;
	job_priority_t priority;
	hyper declared_ms;
	hyper deadline_ms;
	hyper time_ms;
	body_t body;
};

struct job_member_t {
	name_t worker;
	unsigned int accelerator_mask;
	name_t task;
	unsigned hyper fence;
};

struct job_start_command_t {
	name_t job;
	unsigned int attempt;
	name_t domain;
	unsigned hyper epoch;
	bool guaranteed;
	job_member_t members<MAX_MEMBERS>;
	hyper time_ms;
};

struct job_go_command_t {
	name_t job;
	unsigned int attempt;
	unsigned hyper epoch;
	hyper time_ms;
};

enum job_end_t {
	JOB_END_DONE = 0,
	JOB_END_FAILED = 1,
	JOB_END_ABORTED = 2,
	JOB_END_LOST = 3,
	JOB_END_RECLAIMED = 4,
	JOB_END_REFUSED = 5,
	JOB_END_STOPPED = 6
};

struct job_end_command_t {
	name_t job;
	unsigned int attempt;
	unsigned hyper epoch;
	job_end_t end;
	text_t reason;
	body_t result;
	hyper time_ms;
};

struct job_cancel_command_t {
	name_t job;
	name_t tenant;
	hyper time_ms;
};

/* What the leader sees of an instance; incarnation changes at each start. */
struct instance_command_t {
	name_t id;
	bool alive;
	bool draining;
	unsigned hyper incarnation;
	hyper time_ms;
};

/* ---- batch jobs: steps of tasks on registered workers ---- */

/* Resources in thousandths of a core, MB and whole accelerators. */
struct resources_t {
	int cpu_milli;
	int memory_mb;
	int accelerators;
};

/* Numbers of steps count from 0. */
struct step_spec_t {
	int count;
	resources_t shape;
	int estimate_ms;
	int depends_on<MAX_STEPS>;
	bool gang;
	bool same_rack;
	bool checkpoints;
	bool speculative;
	bool long_running;
	bool uses_leftover_cpu;
	int max_per_worker;
	int latency_target_ms;
	int miss_tolerance;
	name_t label;
	name_t data_rack;
	name_t image;
};

/* repeat_count 0: the steps run once, at once. */
struct batch_spec_t {
	body_t payload;
	step_spec_t steps<MAX_STEPS>;
	int repeat_count;
	hyper first_due_ms;
	hyper interval_ms;
};

struct fleet_queue_t {
	name_t name;
	name_t host;
	text_t path_prefix;
	name_t service;
	int priority;
	int max_attempts;
	int target_latency_ms;
	int stretch_milli;
	int timeout_ms;
	bool anonymous;
	bool needs_ticket;
	int ticket_valid_ms;
};

struct fleet_service_t {
	name_t name;
	bool guards_capacity;
	bool standby;
};

struct fleet_tenant_t {
	name_t name;
	text_t keys<MAX_BATCH>;
	int priority;
	int guaranteed_accelerators;
};

/* document is what the operator sent, for reading it back. */
struct fleet_config_t {
	unsigned hyper number;
	body_t document;
	fleet_queue_t queues<MAX_BATCH>;
	fleet_service_t services<MAX_BATCH>;
	fleet_tenant_t tenants<MAX_BATCH>;
};

struct batch_submit_t {
	name_t id;
	name_t queue;
	name_t tenant;
	hyper submitted_ms;
	batch_spec_t spec;
};

/* One incarnation of a worker; born differs after each of its starts. */
struct fleet_worker_t {
	name_t id;
	unsigned hyper born;
	name_t service;
	name_t address;
	int port;
	name_t domain;
	name_t rack;
	name_t labels<MAX_LABELS>;
	resources_t capacity;
	bool draining;
	bool gone;
};

/*
 * A unit is what is placed at once: a whole gang, or a single task.  Its number
 * is the index of its first task in the step.
 */
struct unit_name_t {
	name_t job;
	int occurrence;
	int step;
	int unit;
};

struct unit_place_t {
	name_t worker;
	unsigned hyper born;
};

struct unit_start_t {
	unit_name_t unit;
	unsigned int run;
	unit_place_t places<MAX_BATCH>;
};

/* Consecutive members of a unit on one incarnation of a worker. */
struct place_range_t {
	name_t worker;
	unsigned hyper born;
	int members;
};

typedef place_range_t place_ranges_t<MAX_JOB_TASKS>;

/* The start of a gang with more members than unit_start_t has places. */
struct gang_start_t {
	unit_name_t unit;
	unsigned int run;
	place_ranges_t places;
};

enum unit_result_t {
	UNIT_RESULT_DONE = 0,
	UNIT_RESULT_FAILED = 1,
	UNIT_RESULT_LOST = 2
};

/* final: the last attempt that the queue allows has failed. */
struct unit_end_t {
	unit_name_t unit;
	unsigned int run;
	unit_result_t result;
	bool final;
	text_t checkpoint;
};

/* What the leader has decided or seen since its last proposal. */
struct fleet_events_t {
	fleet_worker_t workers<MAX_BATCH>;
	unit_start_t starts<MAX_BATCH>;
	unit_end_t ends<MAX_BATCH>;
	name_t forgotten<MAX_BATCH>;
};

/* Takes a failure domain out of service, or back into it. */
struct domain_service_t {
	name_t domain;
	bool out_of_service;
};

/*
 * A unit in a snapshot.  The places of a gang with more members than fit are in
 * gang_places_t.
 */
struct unit_record_t {
	int state;
	unsigned int run;
	int failures;
	text_t checkpoint;
	unit_place_t places<MAX_BATCH>;
};

/* Units after those listed wait and have never run. */
struct batch_record_t {
	batch_submit_t submit;
	bool cancelled;
	bool failed;
	unit_record_t units<BODY_MAX_LEN>;
};

/* A batch_record_t for each job follows. */
struct fleet_snapshot_t {
	fleet_config_t config;
	fleet_worker_t workers<BODY_MAX_LEN>;
	unsigned int job_count;
};

/* Follows the jobs where there are any, or where more follows. */
struct retired_queues_t {
	fleet_queue_t queues<BODY_MAX_LEN>;
};

/* Follows retired_queues_t where there are any, or where more follows. */
struct domains_out_t {
	name_t domains<BODY_MAX_LEN>;
};

/* A gang with more members than unit_record_t has places; unit is its index. */
struct gang_record_t {
	name_t job;
	unsigned int unit;
	place_ranges_t places;
};

/* Follows domains_out_t where there are any. */
struct gang_places_t {
	gang_record_t gangs<BODY_MAX_LEN>;
};

union command_t switch (command_kind_t kind) {
case COMMAND_NOOP:
	void;
case COMMAND_PATCH:
	patch_command_t patch;
case COMMAND_CLAIM:
	claim_command_t claim;
case COMMAND_CLAIM_END:
	claim_end_command_t claim_end;
case COMMAND_WORKER_ADD:
	worker_command_t worker;
case COMMAND_WORKER_LEAVE:
	name_t worker_leave;
case COMMAND_WORKER_OWNER:
	worker_owner_command_t worker_owner;
case COMMAND_WORKER_REMOVE:
	worker_owner_command_t worker_remove;
case COMMAND_PLACER:
	placer_command_t placer;
case COMMAND_JOB_SUBMIT:
	job_command_t job;
case COMMAND_JOB_START:
	job_start_command_t job_start;
case COMMAND_JOB_GO:
	job_go_command_t job_go;
case COMMAND_JOB_END:
	job_end_command_t job_end;
case COMMAND_JOB_CANCEL:
	job_cancel_command_t job_cancel;
case COMMAND_INSTANCE:
	instance_command_t instance;
case COMMAND_REPLACE:
	name_t replace;
case COMMAND_FLEET_CONFIG:
	fleet_config_t fleet_config;
case COMMAND_BATCH_SUBMIT:
	batch_submit_t batch_submit;
case COMMAND_BATCH_CANCEL:
	name_t batch_cancel;
case COMMAND_FLEET_EVENTS:
	fleet_events_t fleet_events;
case COMMAND_DOMAIN_SERVICE:
	domain_service_t domain_service;
case COMMAND_GANG_START:
	gang_start_t gang_start;
};

/* Outcome of a command; code is 0 or a negative errno value. */
struct command_result_t {
	int code;
	unsigned hyper index;
	unsigned hyper config_version;
	body_t data;
	text_t text;
};

/* ---- raft ---- */

enum raft_kind_t {
	RAFT_PREVOTE = 0,
	RAFT_PREVOTE_REPLY = 1,
	RAFT_VOTE = 2,
	RAFT_VOTE_REPLY = 3,
	RAFT_APPEND = 4,
	RAFT_APPEND_REPLY = 5,
	RAFT_SNAPSHOT = 6,
	RAFT_SNAPSHOT_REPLY = 7
};

enum entry_kind_t {
	ENTRY_COMMAND = 0,
	ENTRY_MEMBERS = 1
};

struct raft_entry_t {
	unsigned hyper index;
	unsigned hyper term;
	entry_kind_t kind;
	body_t data;
};

enum member_role_t {
	MEMBER_LEARNER = 0,
	MEMBER_VOTER = 1
};

/* disk_id names the data folder; a new folder has a new one. */
struct raft_member_t {
	name_t id;
	member_role_t role;
	unsigned hyper disk_id;
};

struct raft_members_t {
	raft_member_t members<MAX_MEMBERS>;
};

struct raft_message_t {
	raft_kind_t kind;
	name_t from;
	name_t to;
	unsigned hyper term;
	unsigned hyper disk_id;
	unsigned hyper index;
	unsigned hyper log_term;
	unsigned hyper commit;
	unsigned hyper round;
	bool success;
	unsigned hyper offset;
	bool last_chunk;
	raft_entry_t entries<MAX_BATCH>;
	body_t data;
	raft_members_t members;
};

/* ---- procedures ---- */

/* How an instance is reached by the others. */
struct peer_info_t {
	name_t id;
	name_t address;
	int rpc_port;
	name_t domain;
	bool is_replica;
};

struct peer_list_t {
	peer_info_t peers<MAX_MEMBERS>;
};

struct hello_args_t {
	name_t instance;
	name_t domain;
	unsigned int version_min;
	unsigned int version_max;
	unsigned hyper incarnation;
	peer_info_t self;
};

/* peers: the replicas that the answering instance knows. */
struct hello_result_t {
	int code;
	unsigned int protocol_version;
	name_t instance;
	unsigned hyper incarnation;
	peer_info_t peers<MAX_MEMBERS>;
};

struct propose_args_t {
	body_t command;
	int deadline_ms;
};

/* leader is set when code is -EAGAIN because another instance leads. */
struct propose_result_t {
	int code;
	name_t leader;
	command_result_t result;
};

/* A caller's request passed on to the owner of a free slot. */
struct forward_args_t {
	name_t task;
	name_t tenant;
	name_t workspace;
	name_t key;
	bool repeatable;
	hyper declared_ms;
	int deadline_ms;
	int hops;
	unsigned hyper config_version;
	body_t body;
};

enum outcome_t {
	OUTCOME_DONE = 0,
	OUTCOME_DID_NOT_RUN = 1,
	OUTCOME_UNKNOWN = 2,
	OUTCOME_RUNNING = 3
};

struct forward_result_t {
	outcome_t outcome;
	int http_status;
	name_t worker;
	text_t reason;
	int retry_after_ms;
	body_t answer;
};

/*
 * Asks the instance that made a claim what became of the task, or, with
 * cancel, to cancel the request of that id.
 */
struct ask_args_t {
	name_t task;
	int wait_ms;
	bool cancel;
};

struct seen_item_t {
	name_t worker;
	unsigned hyper generation;
	int running;
	int age_ms;
	bool leaving;
	body_t usage;
};

/* sent_ms is of the sender's monotonic clock, age_ms counted until then. */
struct seen_args_t {
	unsigned hyper incarnation;
	hyper sent_ms;
	seen_item_t items<MAX_BATCH>;
};

/* Free slots by lane of the sender, for choosing where to forward. */
struct share_args_t {
	name_t instance;
	name_t domain;
	int short_free;
	int batch_free;
	int queued;
	bool draining;
};

enum batch_verb_t {
	BATCH_SUBMIT = 0,
	BATCH_STATUS = 1,
	BATCH_CANCEL = 2,
	BATCH_COUNT = 3,
	BATCH_LEADER = 4
};

enum batch_answer_t {
	BATCH_ACCEPTED = 0,
	BATCH_STATE = 1,
	BATCH_CANCELLED = 2,
	BATCH_PENDING_COUNT = 3,
	BATCH_NOT_LEADER = 4,
	BATCH_REFUSED = 5,
	BATCH_NO_QUEUE = 6,
	BATCH_NO_KEY = 7,
	BATCH_UNKNOWN_JOB = 8,
	BATCH_NO_CONFIG = 9,
	BATCH_INVALID = 10,
	BATCH_UNCERTAIN = 11
};

enum batch_state_t {
	BATCH_STATE_PENDING = 0,
	BATCH_STATE_ACTIVE = 1,
	BATCH_STATE_COMPLETED = 2,
	BATCH_STATE_FAILED = 3,
	BATCH_STATE_ABORTED = 4
};

/* A caller's call about a batch job, passed on to the leader. */
struct batch_call_t {
	batch_verb_t verb;
	text_t host;
	text_t path;
	text_t api_key;
	int deadline_ms;
	batch_spec_t spec;
};

/* leader is set with BATCH_NOT_LEADER when it is known; its id is empty else. */
struct batch_reply_t {
	batch_answer_t answer;
	peer_info_t leader;
	batch_state_t state;
	int pending_count;
	int retry_after_ms;
	text_t reason;
};

/* What a worker announces about itself. */
struct fleet_announcement_t {
	fleet_worker_t worker;
	unsigned hyper sequence; /* increases within an incarnation */
	hyper clock_ms;          /* worker's monotonic clock */
	int cold_left_ms;        /* how much longer it is slow, 0: warm */
};

/* Announcements that an instance that does not lead passes on. */
struct announce_args_t {
	fleet_announcement_t announcements<MAX_ANNOUNCED>;
};

enum announce_outcome_t {
	ANNOUNCE_RECORDED = 0,
	ANNOUNCE_NOT_LEADER = 1,
	ANNOUNCE_NOT_CONFIRMED = 2
};

/* In the order of the announcements. */
struct announce_result_t {
	announce_outcome_t outcomes<MAX_ANNOUNCED>;
};

program CHERVILHOLD_PROGRAM {
	version CHERVILHOLD_V1 {
		hello_result_t RPC_HELLO(hello_args_t) = 1;
		void RPC_PING(void) = 2;
		void RPC_RAFT(raft_message_t) = 3;
		propose_result_t RPC_PROPOSE(propose_args_t) = 4;
		forward_result_t RPC_FORWARD(forward_args_t) = 5;
		forward_result_t RPC_ASK(ask_args_t) = 6;
		void RPC_SEEN(seen_args_t) = 7;
		void RPC_SHARE(share_args_t) = 8;
		batch_reply_t RPC_BATCH(batch_call_t) = 9;
		void RPC_PEERS(peer_list_t) = 10;
		announce_result_t RPC_ANNOUNCE(announce_args_t) = 11;
	} = 1;
} = 0x20cc0001;
