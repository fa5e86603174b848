# Functions for scripted runs.  A script sources this file, which makes a
# scratch folder and removes it and every process the script started at exit.
# shellcheck shell=sh
set -u
BUILD=${CHERVILHOLD_BUILD:-build}
case $BUILD in /*) ;; *) BUILD=$PWD/$BUILD ;; esac
WORK=$(mktemp -d)
# Every run has a network of its own in 127.0.0.0/8, so that runs side by side
# do not meet.
NET=127.$(($$ % 200 + 20)).$(($$ / 200 % 250))
BALANCER=$NET.200
RELAY=$NET.201
WORKER_ADDRESS=$NET.100
# Below the range from which the kernel numbers outgoing connections: those of
# the instances' own addresses would take a port before its daemon listens.
RPC_PORT=16001
HTTP_PORT=16002
OPERATOR_PORT=16003
BALANCER_PORT=16011
BALANCER_ADMIN=16012
RELAY_PORT=16100
PIDS=""
INSTANCES=""

# is_running PID: whether it is a process that this shell has started.  The
# kernel gives the id of one that has ended to others, of other runs too.
is_running() {
	read -r _ _ state parent _ 2>/dev/null <"/proc/$1/stat" &&
	    [ "$parent" = $$ ] && [ "$state" != Z ]
}

# signal_own SIGNAL PID...: skips those that have ended.
signal_own() {
	own_signal=$1
	shift
	for pid in "$@"; do
		! is_running "$pid" || kill "-$own_signal" "$pid" 2>/dev/null
	done
}

# cleanup_system: ends every process that was started.
cleanup_system() {
	# shellcheck disable=SC2086
	signal_own CONT $PIDS
	# shellcheck disable=SC2086
	signal_own KILL $PIDS
	wait 2>/dev/null
	PIDS=""
}

cleanup() {
	cleanup_system
	if [ -n "${KEEP_WORK:-}" ]; then
		echo "kept $WORK" >&2
	else
		rm -rf "$WORK"
	fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# fail TEXT: shows the daemons' logs and ends the script as failed.
fail() {
	for log in "$WORK"/*.log; do
		[ -f "$log" ] || continue
		echo "--- $(basename "$log")"
		tail -n 12 "$log"
	done
	[ ! -s "$WORK/summary" ] || head -n 10 "$WORK/summary"
	echo "FAILED: $*"
	exit 1
}

# note TEXT: one line of the run's expected output.
note() {
	echo "$*"
}

# wait_for SECONDS TEXT COMMAND...: waits until the command succeeds.
wait_for() {
	limit=$(($(date +%s) + $1))
	what=$2
	shift 2
	while ! "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -le "$limit" ] || fail "timed out: $what"
		sleep 0.05
	done
}

# field NAME ID: prints a property of an instance.
field() {
	eval "printf '%s' \"\$${1}_$2\""
}

# define_instance ID DOMAIN LAST_OCTET REPLICA(true|false)
define_instance() {
	INSTANCES="$INSTANCES $1"
	eval "domain_$1=$2 address_$1=$NET.$3 replica_$1=$4"
	eval "rpc_$1=$RPC_PORT http_$1=$HTTP_PORT operator_$1=$OPERATOR_PORT"
}

# define_today: seven instances in four failure domains, three replicas.
define_today() {
	define_instance i1 d1 1 true
	define_instance i2 d1 2 false
	define_instance i3 d2 3 true
	define_instance i4 d2 4 false
	define_instance i5 d3 5 true
	define_instance i6 d3 6 false
	define_instance i7 d4 7 false
}

# start_relay: every RPC connection goes through a relay from now on; rules are
# set with cut, silence and heal.
start_relay() {
	: >"$WORK/rules"
	links=""
	port=$RELAY_PORT
	for from in $INSTANCES; do
		for to in $INSTANCES; do
			eval "relay_${from}_${to}=$port"
			links="$links --link $RELAY:$port=$(field address "$to"):$(
			    field rpc "$to"),$from,$to"
			port=$((port + 1))
		done
	done
	# shellcheck disable=SC2086
	"$BUILD/standin-relay" $links --control "$WORK/rules" \
	    >"$WORK/relay.log" 2>&1 &
	PIDS="$PIDS $!"
	USE_RELAY=1
}

# rule LINE...: adds rules in force at once.
rule() {
	for line in "$@"; do
		echo "$line" >>"$WORK/rules"
	done
	sleep 0.1 # the relay reads its rules every 20 ms
}

# cut A B: nothing passes between two instances, either way.
cut() {
	rule "cut $1 $2" "cut $2 $1"
}

# cut_off ID...: nothing passes between these instances and all others, from one
# moment on.
cut_off() {
	lines=""
	for inside in "$@"; do
		for outside in $INSTANCES; do
			case " $* " in *" $outside "*) continue ;; esac
			lines="${lines}cut $inside $outside
cut $outside $inside
"
		done
	done
	printf '%s' "$lines" >>"$WORK/rules"
	sleep 0.1 # the relay reads its rules every 20 ms
}

# heal: takes every rule back.
heal() {
	: >"$WORK/rules"
	sleep 0.1
}

# write_settings ID: writes WORK/ID.json.
write_settings() {
	roles='"entry", "placer"'
	folder=""
	if [ "$(field replica "$1")" = true ]; then
		roles="$roles, \"replica\""
		folder="$WORK/data-$1"
	fi
	{
		printf '{"instance": "%s", "address": "%s",\n' "$1" \
		    "$(field address "$1")"
		printf '"failure_domain": "%s", "roles": [%s],\n' \
		    "$(field domain "$1")" "$roles"
		printf '"data_folder": "%s",\n' "$folder"
		printf '"rpc_port": %s, "http_port": %s, "operator_port": %s,\n' \
		    "$(field rpc "$1")" "$(field http "$1")" \
		    "$(field operator "$1")"
		[ -z "${BALANCER_ADMIN:-}" ] ||
		    printf '"balancer_url": "http://%s:%s",\n' "$BALANCER" \
			"$BALANCER_ADMIN"
		printf '%s\n"peers": [\n' "${EXTRA_SETTINGS:-}"
		comma=""
		for peer in $INSTANCES; do
			address=$(field address "$peer")
			port=$(field rpc "$peer")
			if [ -n "${USE_RELAY:-}" ] && [ "$peer" != "$1" ]; then
				address=$RELAY
				port=$(field "relay_$1" "$peer")
			fi
			printf '%s{"id": "%s", "address": "%s", ' "$comma" \
			    "$peer" "$address"
			printf '"failure_domain": "%s", "replica": %s, ' \
			    "$(field domain "$peer")" "$(field replica "$peer")"
			printf '"rpc_port": %s, "http_port": %s, "operator_port": %s}' \
			    "$port" "$(field http "$peer")" \
			    "$(field operator "$peer")"
			comma=",
"
		done
		printf ']}\n'
	} >"$WORK/$1.json"
}

# start ID...: starts instances.
start() {
	for id in "$@"; do
		write_settings "$id"
		"$BUILD/chervilholdd" "$WORK/$id.json" >>"$WORK/$id.log" 2>&1 &
		eval "pid_$id=$!"
		PIDS="$PIDS $!"
	done
}

# signal_instance SIGNAL ID...
signal_instance() {
	signal=$1
	shift
	for id in "$@"; do
		kill "-$signal" "$(field pid "$id")"
	done
}

# await_exit ID: waits for an instance and returns its exit status.
await_exit() {
	wait "$(field pid "$1")" 2>/dev/null
}

# kill_instance ID...: kill -9 and wait.
kill_instance() {
	signal_instance KILL "$@"
	for id in "$@"; do
		await_exit "$id"
	done
}

# start_balancer: one balancer in front of every instance.
start_balancer() {
	targets=""
	for id in $INSTANCES; do
		targets="$targets --target $(field address "$id"):$(
		    field http "$id")"
	done
	# shellcheck disable=SC2086
	"$BUILD/standin-balancer" --listen "$BALANCER:$BALANCER_PORT" \
	    --admin "$BALANCER:$BALANCER_ADMIN" $targets >"$WORK/balancer.log" 2>&1 &
	PIDS="$PIDS $!"
	URL=http://$BALANCER:$BALANCER_PORT
}

# start_workers NAME DOMAIN COUNT [OPTION...]: one process of backend servers.
start_workers() {
	name=$1
	domain=$2
	count=$3
	shift 3
	"$BUILD/standin-worker" --balancer "$URL" --address "$WORKER_ADDRESS" \
	    --id "$name" --domain "$domain" --rack "$domain-r" --per-rack 6 \
	    --count "$count" --ledger "$WORK/ran.ledger" "$@" \
	    >"$WORK/worker-$name.ports" 2>"$WORK/worker-$name.log" &
	eval "pid_$(echo "$name" | tr -c "a-z0-9A-Z\n" _)=$!"
	PIDS="$PIDS $!"
}

# call [OPTION...]: runs the stand-in caller through the balancer and keeps its
# summary in WORK/summary.
call() {
	"$BUILD/standin-caller" --url "$URL" --ledger "$WORK/answers.ledger" \
	    --tenants hall,desk,north,south \
	    "$@" >"${SUMMARY:-$WORK/summary}" 2>>"$WORK/caller.log"
}

# summary NAME: a figure of the last call.
summary() {
	awk -v name="$1" '$1 == name { print $2 }' "${SUMMARY:-$WORK/summary}"
}

# http METHOD URL [BODY] [HEADER...]: prints the body; the status goes to
# WORK/status.
http() {
	method=$1
	target=$2
	body=${3:-}
	[ $# -lt 3 ] || shift
	shift 2
	"$BUILD/standin-http" "$method" "$target" "$body" "$@" \
	    2>"$WORK/status"
}

status() {
	cat "$WORK/status"
}

# cli ID ARGUMENT...: the operator's tool against an instance.
cli() {
	target=$1
	shift
	"$BUILD/chervilhold" --url "http://$(field address "$target"):$(
	    field operator "$target")" "$@"
}

# json PATH: prints one value of the JSON on standard input, as a.b.0.c.
json() {
	"$BUILD/standin-json" "$1"
}

# patch_at ID BODY: sends a patch of the configuration to an instance.
patch_at() {
	http PATCH "http://$(field address "$1"):$(field operator "$1")/v1/config" \
	    "$2"
}

# key NAME: an idempotency key of this moment; NAME has 8 to 64 letters.
key() {
	echo "$(date +%s)000-$1"
}

# submit KEY FIELDS: submits a job of tenant hall and prints its id.
submit() {
	http POST "$URL/v1/jobs" "{\"tenant\": \"hall\",
	 \"workspace\": \"tours\", $2}" "Idempotency-Key: $1" | json job
}

# job_state JOB
job_state() {
	http GET "$URL/v1/jobs/$1" | json state
}

# job_is JOB STATE
job_is() {
	[ "$(job_state "$1")" = "$2" ]
}

# events EVENT TAG: how often backend servers recorded it for a tag.
events() {
	awk -v event="$1" -v tag="$2" '$1 == event && $4 == tag { n++ }
	    END { print n + 0 }' "$WORK/ran.ledger"
}

# config_version ID: the version in force on an instance.
config_version() {
	status_of "$1" | json config_version
}

# at_version ID VERSION
at_version() {
	[ "$(config_version "$1")" = "$2" ]
}

# is_voter ID: whether instance i1 counts a replica as a voter.
is_voter() {
	status_of i1 | json members | tr '{' '\n' | grep "\"$1\"" |
	    grep -q voter
}

# is_repaired ID: whether a replica votes and the leader says that another one
# may be lost; its membership alone may still be that of the lost disk.
is_repaired() {
	leader_now=$(leader_of i1)
	[ -n "$leader_now" ] && is_voter "$1" &&
	    [ "$(status_of "$leader_now" | json safe_to_continue)" = true ]
}

# leader_is_not OLD ID: whether an instance knows of a leader other than OLD.
leader_is_not() {
	leader_now=$(leader_of "$2")
	[ -n "$leader_now" ] && [ "$leader_now" != "$1" ]
}

status_of() {
	http GET "http://$(field address "$1"):$(field operator "$1")/v1/status"
}

# is_ready ID: whether an instance takes requests.
is_ready() {
	http GET "http://$(field address "$1"):$(field http "$1")/v1/ready"
	[ "$(status)" = 200 ]
}

# noticed_silence ID PEER...: whether an instance has closed its connections to
# these peers for silence since the size of its log was put into log_mark.
noticed_silence() {
	watcher=$1
	shift
	for peer in "$@"; do
		tail -c "+$log_mark" "$WORK/$watcher.log" |
		    grep -q "rpc receive: $peer: peer is silent" || return 1
	done
}

leader_of() {
	status_of "$1" | json leader
}

has_leader() {
	[ -n "$(leader_of "$1")" ]
}

# worker_count ID: backend servers an instance knows of.
worker_count() {
	http GET "http://$(field address "$1"):$(field operator "$1")/v1/workers" |
	    json workers.#
}

knows_workers() {
	[ "$(worker_count "$1")" = "$2" ]
}

# start_today WORKERS_PER_DOMAIN: everything of today's layout, ready.
start_today() {
	define_today
	[ -z "${WITH_RELAY:-}" ] || start_relay
	start_balancer
	# shellcheck disable=SC2086
	start $INSTANCES
	for id in $INSTANCES; do
		wait_for 20 "$id ready" is_ready "$id"
	done
	[ "$1" -gt 0 ] || return 0
	for domain in d1 d2 d3 d4; do
		start_workers "w_${domain}_" "$domain" "$1"
	done
	for id in $INSTANCES; do
		wait_for 20 "$id knows workers" knows_workers "$id" $(($1 * 4))
	done
}

# check_ledgers: compares what callers were told with what really ran, and
# prints nothing when every promise was kept.
check_ledgers() {
	touch "$WORK/ran.ledger" "$WORK/answers.ledger"
	awk -f tests/check_ledgers.awk "$WORK/ran.ledger" \
	    "$WORK/answers.ledger" || fail "ledgers disagree"
}
