# Functions for scripted runs on a stand-in of the users' platform: control
# instances p1 to p3, an entry instance p4 and backend servers, as processes.
# Whatever a script does, it fails when the backend servers ran what they must
# not (check_runs).
# shellcheck shell=sh
. tests/lib.sh
trap finish_platform EXIT

RPC=17000
FRONT=17521
READY=17523
CONTROL=17526
WORKERS=17600
# Commands for processes of backend servers: one port each, from here on.
COMMANDS=17590

# check_runs: complains about what the backend servers ran, over all of them and
# their incarnations; says nothing when all is well.
check_runs() {
	[ -n "$(ls "$WORK"/workers*.out 2>/dev/null)" ] || return 0
	cat "$WORK"/workers*.out >"$WORK/runs"
	awk -f tests/check_runs.awk "$WORK/runs"
}

# finish_platform: the end of a script.
finish_platform() {
	rc=$?
	check_runs || rc=1
	cleanup
	exit "$rc"
}

# platform_settings N ROLE: writes WORK/pN.json.
platform_settings() {
	serves=control_plane
	listen="\"control\":\"$NET.$1:$CONTROL\""
	if [ "$2" = entry ]; then
		serves=edge
		listen="\"front\":\"$NET.$1:$FRONT\",\"readiness\":\"$NET.$1:$READY\""
	fi
	mkdir -p "$WORK/p$1"
	cat >"$WORK/p$1.json" <<SETTINGS
{"ip":"$NET.$1","zone":"d$1","serves":["$serves"],"bootstrap":${BOOTSTRAP:-true},
 "internalPorts":[$RPC,$((RPC + 15))],"dataDir":"$WORK/p$1","heartbeatMs":500,
 "seeds":["$NET.1:$CONTROL","$NET.2:$CONTROL","$NET.3:$CONTROL"],
 "listen":{$listen},"faultTolerance":{"machines":1},${PLATFORM_LIMITS:-}
 "bounds":{"graceS":6,"holdMaxMs":${HOLD_MS:-5000},"status_s":120${BOUNDS:-}}}
SETTINGS
}

# platform_start N...: starts instances; their event logs are WORK/pN.events.
platform_start() {
	for n in "$@"; do
		"$BUILD/chervilholdd" --platform "$WORK/p$n.json" \
		    >>"$WORK/p$n.events" 2>>"$WORK/p$n.log" &
		PIDS="$PIDS $!"
		eval "PID_p$n=$!"
	done
}

# platform_signal SIGNAL N...
platform_signal() {
	signal=$1
	shift
	for n in "$@"; do
		eval "signal_own $signal \$PID_p$n"
	done
}

# platform_http METHOD ADDRESS PATH [BODY] [HEADER...]: as http of tests/lib.sh.
platform_http() {
	method=$1
	url=http://$2$3
	shift 3
	http "$method" "$url" "$@"
}

# is_entry_ready
is_entry_ready() {
	platform_http GET "$NET.4:$READY" /api/readyz >/dev/null
	[ "$(status)" = 200 ]
}

# platform_configure VERSION: two queues, /q/ and /urgent/.
platform_configure() {
	queue='"host":"h","service":"svc","timeoutMs":3000,"anonymous":true,
	    "targetLatencyMs":1000,"stretch":3.0'
	body="{\"version\":$1,\"services\":[{\"name\":\"svc\"}],\"routes\":[
	    {\"name\":\"q\",\"pathPrefix\":\"/q/\",\"priority\":1,
	     \"maxAttempts\":2,$queue},
	    {\"name\":\"urgent\",\"pathPrefix\":\"/urgent/\",\"priority\":0,
	     \"maxAttempts\":2,$queue}]}"
	for n in 1 2 3; do
		platform_http POST "$NET.$n:$CONTROL" /api/config/replace \
		    "$body" >/dev/null
		[ "$(status)" != 200 ] || return 0
	done
	return 1
}

# platform_workers COUNT ACCELERATORS
platform_workers() {
	"$BUILD/standin-platform_worker" --address "$WORKER_ADDRESS" \
	    --port "$WORKERS" --count "$1" --accelerators "$2" \
	    --control "$NET.1:$CONTROL" --control "$NET.2:$CONTROL" \
	    --control "$NET.3:$CONTROL" --commands "$COMMANDS" \
	    --hold-max-ms "${HOLD_MS:-5000}" >>"$WORK/workers.out" \
	    2>>"$WORK/workers.log" &
	PIDS="$PIDS $!"
	WORKERS_PID=$!
	wait_for 20 "backend servers" has_run "born w$(printf %02d $(($1 - 1)))/1"
}

# worker_command NUMBER COMMAND BODY: commands a backend server of
# platform_workers, see platform_worker.h of the stand-ins.
worker_command() {
	platform_http POST "$WORKER_ADDRESS:$COMMANDS" "/$1/$2" "$3" >/dev/null
	[ "$(status)" = 200 ] || fail "worker $1: $2 $3: $(status)"
}

# worker_faults NUMBER FAULTS: the faults of a backend server from now on, "{}"
# for none.
worker_faults() {
	worker_command "$1" faults "$2"
}

# worker_of TASK: the number of the backend server that started a task last.
worker_of() {
	awk -v task="$1" '$1 == "start" && $2 == task { worker = $4 }
	    END { print substr(worker, 2, 2) + 0 }' "$WORK/workers.out"
}

# has_run LINE: whether a backend server has printed a line that begins so.
has_run() {
	grep -q "^$1" "$WORK/workers.out"
}

# has_event EVENT: whether a control instance has logged an event.
has_event() {
	cat "$WORK"/p[123].events | grep -q "\"event\":\"$1\""
}

# platform_submit QUEUE ID TASKS ACCELERATORS SPEC [GANG]: prints the status.
platform_submit() {
	spec=$5
	[ "${6:-false}" = false ] || spec="$5 gang"
	platform_http POST "$NET.4:$FRONT" "/$1/$2" "{\"spec\":\"$spec\",\"steps\":[
	    {\"count\":$3,\"cpu\":1000,\"memMb\":10,\"gpu\":$4,\"estMs\":500,
	     \"gang\":${6:-false}}]}" "Host: h" >/dev/null
	status
}

# platform_state QUEUE ID
platform_state() {
	platform_http GET "$NET.4:$FRONT" "/$1/$2" "" "Host: h" | json state
}

# platform_is QUEUE ID STATE
platform_is() {
	[ "$(platform_state "$1" "$2")" = "$3" ]
}

# platform_open COUNT ACCELERATORS: everything, ready.
platform_open() {
	for n in 1 2 3; do
		platform_settings "$n" control
	done
	platform_settings 4 entry
	platform_start 1 2 3 4
	wait_for 20 "a configuration" platform_configure 1
	wait_for 20 "p4 ready" is_entry_ready
	platform_workers "$1" "$2"
}

# story ID: what the event logs say of a job, without times and processes.
story() {
	logs=""
	for n in 1 2 3 4; do
		logs="$logs --log $WORK/p$n.events"
	done
	# shellcheck disable=SC2086
	"$BUILD/chervilhold" trace "$1" $logs
}
