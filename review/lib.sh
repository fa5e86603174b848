# Functions of the scripts review/N/run.sh.  A script sets CASE to its folder and
# sources this file: a small deployment as processes on loopback addresses,
# control instances 1 to 3 and an entry instance 4, started as the deploy file
# says, with stand-ins for backend servers and clients.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# shellcheck shell=sh
set -u
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
# A network of its own in 127.0.0.0/8 for each run; ports below the range from
# which the kernel numbers outgoing connections.
NET=127.$(($$ % 200 + 20)).$(($$ / 200 % 250))
RPC=17000
FRONT=17521
READY=17523
CONTROL=17526
WORKERS=17600
COMMANDS=17590
WORKER_ADDRESS=$NET.100
PROXY=$NET.200
# Bounds of the users' sites.
HOLD_MS=6000
BEAT_MS=500
LOGGED="lead|step_down|worker|worker_.*|config|config_invalid|place|run_stop|run_end|task_lost|start_refused|commit"
PIDS=""

now() {
	date -u +%H:%M:%S.%3N
}

# record TEXT: a line of the record, also shown.
record() {
	echo "$(now) $*" | tee -a "$RECORD"
}

# is_running PID: whether it is a process that this shell has started.
is_running() {
	read -r _ _ state parent _ 2>/dev/null <"/proc/$1/stat" &&
	    [ "$parent" = $$ ] && [ "$state" != Z ]
}

# signal_own SIGNAL PID...
signal_own() {
	own_signal=$1
	shift
	for pid in "$@"; do
		! is_running "$pid" || kill "-$own_signal" "$pid" 2>/dev/null
	done
}

cleanup() {
	# shellcheck disable=SC2086
	signal_own CONT $PIDS
	# shellcheck disable=SC2086
	signal_own KILL $PIDS
	wait 2>/dev/null
	if [ -n "${KEEP_WORK:-}" ]; then
		echo "kept $WORK" >&2
	else
		rm -rf "$WORK"
	fi
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# cannot_run TEXT
cannot_run() {
	record "CANNOT RUN: $*"
	tail -n 5 "$WORK"/*.log 2>/dev/null
	exit 2
}

# broken TEXT, held TEXT: the result.
broken() {
	finish_record
	record "BROKEN: $*"
	exit 1
}

held() {
	finish_record
	record "HELD: $*"
	exit 0
}

# finish_record: what the backend servers ran goes into the record too.
finish_record() {
	{
		echo "--- what the backend servers ran (EVENT TASK RUN" \
		    "SERVER/LIFE MS HOW, MS of one steady clock)"
		cat "$WORK"/workers*.out 2>/dev/null
		echo "--- modes of the links"
		cat "$WORK/proxy.out" 2>/dev/null
		echo "--- what the control instances logged (in part)"
		for n in 1 2 3; do
			grep -hE "\"event\":\"($LOGGED)\"" "$WORK/p$n.events"
		done | sort
	} >>"$RECORD"
}

# wait_for SECONDS TEXT COMMAND...
wait_for() {
	limit=$(($(date +%s) + $1))
	what=$2
	shift 2
	while ! "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -le "$limit" ] || cannot_run "timed out: $what"
		sleep 0.05
	done
}

# http METHOD ADDRESS PATH [BODY [HEADER...]]: prints the body; the status goes
# to WORK/status, 0 without an answer.
http() {
	method=$1
	url=http://$2$3
	body=${4:-}
	if [ $# -gt 4 ]; then shift 4; else shift $#; fi
	target/standin-http "$method" "$url" "$body" "$@" 2>"$WORK/status"
}

status() {
	cat "$WORK/status"
}

# call NAME METHOD ADDRESS PATH [BODY [HEADER...]]: as http, into the record.
call() {
	call_name=$1
	shift
	answer=$(http "$@")
	record "$call_name: $1 $3 ${4:-} -> $(status) $answer"
}

json() {
	target/standin-json "$1"
}

# settings N ROLE
settings() {
	serves=control_plane
	class=core
	listen="\"control\":\"$NET.$1:$CONTROL\""
	folder="\"dataDir\":\"$WORK/p$1\","
	if [ "$2" = entry ]; then
		serves=edge
		class=edge
		listen="\"front\":\"$NET.$1:$FRONT\",\"readiness\":\"$NET.$1:$READY\""
		folder=""
	fi
	mkdir -p "$WORK/p$1"
	cat >"$WORK/p$1.json" <<SETTINGS
{"nodeName":"$class-$1","role":"$2","machineClass":"$class",
 "ip":"$NET.$1","zone":"z$1","region":"r","serves":["$serves"],
 "bootstrap":true,"countsAsLoss":true,"internalPorts":[$RPC,$((RPC + 15))],
 $folder"heartbeatMs":$BEAT_MS,"discovery":"registration","entry":"vip",
 "seeds":["$NET.1:$CONTROL","$NET.2:$CONTROL","$NET.3:$CONTROL"],
 "listen":{$listen},"faultTolerance":{"machines":1,"zones":1,"regions":0},
 "limits":{"maxFds":4096,"memoryMb":256},
 "bounds":{"graceS":6,"holdMaxMs":$HOLD_MS,"status_s":120,"contactMs":3000,
  "ackMs":4000,"drainMs":2000,"reclaimMs":2700}}
SETTINGS
}

# start N...: starts instances with the command of the deploy file.
start() {
	for n in "$@"; do
		target/chervilholdd --platform "$WORK/p$n.json" \
		    >>"$WORK/p$n.events" 2>>"$WORK/p$n.log" &
		PIDS="$PIDS $!"
		eval "PID_$n=$!"
	done
}

# route NAME PREFIX [FIELDS]: one route of a configuration.
route() {
	printf '{"name":"%s","host":"h.example","pathPrefix":"%s",
	 "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,
	 "priority":1,"service":"svc","maxAttempts":3,"stretch":3.0,
	 "anonymous":true}' "$1" "$2"
}

# configuration VERSION ROUTES: a whole configuration.
configuration() {
	printf '{"version":%s,"routes":[%s],
	 "services":[{"name":"svc","healthPath":"/healthz","maxConns":64,
	  "protocol":"h1","tls":false,"admissionCheck":true,"standby":false}],
	 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
	  "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}' "$1" "$2"
}

# configure VERSION ROUTES: sends it to each control instance until one
# acknowledges it, as an operator does who follows no redirect.
configure() {
	for n in 1 2 3; do
		http POST "$NET.$n:$CONTROL" /api/config/replace \
		    "$(configuration "$1" "$2" | tr -d '\n\t')" >/dev/null
		[ "$(status)" != 200 ] || return 0
	done
	return 1
}

is_ready() {
	http GET "$NET.$1:$READY" /api/readyz >/dev/null
	[ "$(status)" = 200 ]
}

# leader: the number of the control instance that leads, empty if none does.
leader() {
	for n in 1 2 3; do
		http GET "$NET.$n:$CONTROL" /api/config/read >/dev/null
		if [ "$(status)" = 200 ]; then
			echo "$n"
			return
		fi
	done
}

# start_proxy [NAME LISTEN TARGET]...: links, see standin/proxy.c.
start_proxy() {
	: >"$WORK/rules"
	target/review/proxy "$WORK/rules" "$@" >"$WORK/proxy.out" \
	    2>"$WORK/proxy.log" &
	PIDS="$PIDS $!"
}

# links LINE...: the modes of links from now on; all others pass.
links() {
	: >"$WORK/rules.new"
	for line in "$@"; do
		echo "$line" >>"$WORK/rules.new"
	done
	mv "$WORK/rules.new" "$WORK/rules"
	sleep 0.05
}

# start_workers COUNT ACCELERATORS [OPTION...]: backend servers 0, 1, ...
start_workers() {
	worker_count=$1
	accelerators=$2
	shift 2
	[ $# -gt 0 ] || set -- --control "$NET.1:$CONTROL" \
	    --control "$NET.2:$CONTROL" --control "$NET.3:$CONTROL"
	target/standin-platform_worker --address "$WORKER_ADDRESS" \
	    --port "$WORKERS" --count "$worker_count" \
	    --accelerators "$accelerators" --commands "$COMMANDS" \
	    --hold-max-ms "$HOLD_MS" "$@" >>"$WORK/workers.out" \
	    2>>"$WORK/workers.log" &
	PIDS="$PIDS $!"
	WORKERS_PID=$!
	wait_for 20 "backend servers" \
	    has_run "born w$(printf %02d $((worker_count - 1)))/1"
}

# has_run LINE: whether a backend server has printed a line that begins so.
has_run() {
	grep -q "^$1" "$WORK/workers.out"
}

# worker_command NUMBER COMMAND BODY
worker_command() {
	call "server $1 is told" POST "$WORKER_ADDRESS:$COMMANDS" "/$1/$2" "$3"
	[ "$(status)" = 200 ] || cannot_run "server $1: $2 $3"
}

# submit NAME PREFIX ID BODY: a client hands a job in through entry instance 4.
submit() {
	call "$1" POST "$NET.4:$FRONT" "$2$3" "$4" "Host: h.example" \
	    "X-Deadline-Ms: 3000"
}

# state PREFIX ID: what a client is told of a job.
state() {
	http GET "$NET.4:$FRONT" "$1$2" "" "Host: h.example" \
	    "X-Deadline-Ms: 3000" | json state
}

is_state() {
	[ "$(state "$1" "$2")" = "$3" ]
}

# open_control ROUTES: instances 1 to 4 with a first configuration.
open_control() {
	[ -x target/chervilholdd ] && [ -x target/standin-platform_worker ] &&
	    [ -x target/review/proxy ] ||
	    cannot_run "build first: the deploy file's build, review/build.sh"
	for n in 1 2 3; do
		settings "$n" control
	done
	settings 4 entry
	start 1 2 3 4
	wait_for 20 "a configuration" configure 1 "$1"
	record "operator: version 1 is acknowledged"
	wait_for 20 "the entry instance" is_ready 4
}

: >"$RECORD"
cd "$CASE/../.." || exit 2
record "TROUBLE=$TROUBLE"
