# Functions for the scripts of review/6 to review/10: a small deployment of the
# users' platform as processes on loopback addresses, with the commands of the
# deploy file.  Four control instances (seeds: the first three), two entry
# instances, and backend servers from the project's stand-in.
# shellcheck shell=sh
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
BIN=$PWD/target
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
WORK=$(mktemp -d) || exit 2
# Every run has a network of its own in 127.0.0.0/8.
NET=127.$(($$ % 200 + 30)).$(($$ / 200 % 250))
RPC=17000
FRONT=17521
READY=17523
CONTROL=17526
WORKERS=17600
COMMANDS=17590
CONTROLS="1 2 3 4"
ENTRIES="11 12"
MEMORY_MB=256
PIDS=""
: >"$RECORD"

# record TEXT: one line of the record, with the seconds since the start.
START=$(date +%s)
record() {
	echo "$(($(date +%s) - START)) s: $*" >>"$RECORD"
}

# is_ours PID: whether it is a living process that this shell has started.
is_ours() {
	read -r _ _ state parent _ 2>/dev/null <"/proc/$1/stat" &&
	    [ "$parent" = $$ ] && [ "$state" != Z ]
}

finish() {
	for pid in $PIDS; do
		! is_ours "$pid" || kill -CONT "$pid" 2>/dev/null
		! is_ours "$pid" || kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if [ -n "${KEEP_WORK:-}" ]; then
		echo "kept $WORK"
	else
		rm -rf "$WORK"
	fi
}
trap finish EXIT
trap 'exit 2' INT TERM

# cannot_run TEXT, broken TEXT, held TEXT: the three ends of a script.
cannot_run() {
	record "the case could not run: $*"
	echo "could not run: $*"
	exit 2
}

broken() {
	record "RULE BROKEN: $*"
	echo "broken: $*"
	exit 1
}

held() {
	record "the rule held: $*"
	echo "held: $*"
	exit 0
}

# write_settings N ROLE(control|entry): WORK/N.json, as the platform fills in
# the template of the deploy file.
write_settings() {
	serves=control_plane
	counts=true
	listen="\"control\":\"$NET.$1:$CONTROL\""
	if [ "$2" = entry ]; then
		serves=edge
		counts=false
		listen="\"front\":\"$NET.$1:$FRONT\",\"readiness\":\"$NET.$1:$READY\""
	fi
	mkdir -p "$WORK/disk$1"
	cat >"$WORK/$1.json" <<SETTINGS
{"nodeName":"n$1","role":"$2","serves":["$serves"],"ip":"$NET.$1",
 "zone":"z$(($1 % 10))","region":"r","internalPorts":[$RPC,$((RPC + 15))],
 "seeds":["$NET.1:$CONTROL","$NET.2:$CONTROL","$NET.3:$CONTROL"],
 "bootstrap":true,"countsAsLoss":$counts,"dataDir":"$WORK/disk$1",
 "discovery":"registration","entry":"vip","heartbeatMs":1500,
 "contracts":["base","drain","config","cost","recover","sched","tenants"],
 "config_mode":"highest","orders":"invocation",
 "zones":{"z1":"r","z2":"r","z3":"r","z4":"r"},"listen":{$listen},
 "limits":{"cpuShare":0.5,"cores":1,"memoryMb":$MEMORY_MB,"maxFds":4096},
 "faultTolerance":{"machines":1,"zones":1,"regions":0},
 "bounds":{"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
  "graceS":6,"configApplyMs":2000,"recoverS":12,"holdMaxMs":6000,"stopMs":400,
  "gangMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,
  "finish_s":14,"status_s":120,"reclaimMs":2900}}
SETTINGS
}

# start_instance N: the command of the deploy file.
start_instance() {
	"$BIN/chervilholdd" --platform "$WORK/$1.json" \
	    >>"$WORK/$1.events" 2>>"$WORK/$1.log" &
	PIDS="$PIDS $!"
	eval "PID_$1=$!"
}

pid_of() {
	eval "echo \$PID_$1"
}

# call METHOD ADDRESS PATH BODY [HEADER...]: sets STATUS and ANSWER.
call() {
	verb=$1
	url=http://$2$3
	text=$4
	shift 4
	ANSWER=$("$BIN/standin-http" "$verb" "$url" "$text" "$@" \
	    2>"$WORK/status")
	STATUS=$(cat "$WORK/status")
}

# wait_until SECONDS COMMAND...: false when the time is over.
wait_until() {
	limit=$(($(date +%s) + $1))
	shift
	while ! "$@"; do
		[ "$(date +%s)" -lt "$limit" ] || return 1
		sleep 0.1
	done
}

# configure_once DOCUMENT: an operator's order, to one control after the other.
configure_once() {
	for control in $CONTROLS; do
		call POST "$NET.$control:$CONTROL" /api/config/replace "$1"
		[ "$STATUS" != 200 ] || return 0
	done
	return 1
}

is_ready() {
	call GET "$NET.$1:$READY" /api/readyz ""
	[ "$STATUS" = 200 ]
}

# configuration VERSION: tenants a and b with a key each; route /a/ of tenant a
# and /b/ of tenant b, both to the one service.
configuration() {
	terms='"host":"h.example","kind":"non_idempotent","timeoutMs":3000,
	    "targetLatencyMs":1000,"maxAttempts":3,"stretch":3.0,
	    "service":"svc","anonymous":false'
	echo "{\"version\":$1,
	 \"routes\":[{\"name\":\"ra\",\"pathPrefix\":\"/a/\",\"priority\":1,$terms},
	  {\"name\":\"rb\",\"pathPrefix\":\"/b/\",\"priority\":1,$terms}],
	 \"services\":[{\"name\":\"svc\",\"healthPath\":\"/healthz\",
	  \"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,
	  \"admissionCheck\":true,\"standby\":false}],
	 \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,
	  \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},
	 \"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"key-of-tenant-a\"],
	  \"priority\":1,\"guaranteed\":{\"gpu\":0}},
	  {\"name\":\"b\",\"apiKeys\":[\"key-of-tenant-b\"],
	  \"priority\":1,\"guaranteed\":{\"gpu\":0}}]}"
}

# start_workers COUNT ACCELERATORS: 64 cores and 64,000 MB each.
start_workers() {
	[ "$1" -gt 0 ] || return 0
	controls=""
	for control in $CONTROLS; do
		controls="$controls --control $NET.$control:$CONTROL"
	done
	# shellcheck disable=SC2086
	"$BIN/standin-platform_worker" --address "$NET.100" --port $WORKERS \
	    --count "$1" --accelerators "$2" --commands $COMMANDS \
	    --hold-max-ms 6000 $controls \
	    >"$WORK/workers.out" 2>"$WORK/workers.log" &
	PIDS="$PIDS $!"
}

# start_worker NUMBER OUTPUT OPTION...: one more backend server.
start_worker() {
	number=$1
	output=$2
	shift 2
	"$BIN/standin-platform_worker" --address "$NET.100" --port $WORKERS \
	    --first "$number" --count 1 --accelerators 8 \
	    --commands $((COMMANDS - number)) --hold-max-ms 6000 "$@" \
	    >"$output" 2>>"$WORK/workers.log" &
	PIDS="$PIDS $!"
}

# start_behind_relay NUMBER OUTPUT: one more backend server; all calls from and to
# it pass through a relay.
start_behind_relay() {
	name=w0$1
	at=$((WORKERS + $1))
	: >"$WORK/rules"
	: >"$2"
	links="--link $NET.101:$at=$NET.100:$at,core,$name"
	detours=""
	for control in $CONTROLS; do
		at=$NET.101:$((18000 + control))
		links="$links --link $at=$NET.$control:${CONTROL},$name,core"
		detours="$detours --control $at"
	done
	# shellcheck disable=SC2086
	"$BIN/standin-relay" $links --control "$WORK/rules" \
	    >"$WORK/relay.log" 2>&1 &
	PIDS="$PIDS $!"
	# shellcheck disable=SC2086
	start_worker "$1" "$2" --advertise "$NET.101" $detours
}

# cut_off NUMBER, heal: nothing passes between that backend server and the
# control instances; everything does.
cut_off() {
	printf 'cut core w0%s\ncut w0%s core\n' "$1" "$1" >"$WORK/rules"
	record "backend server $1 is cut off from all control instances"
}

heal() {
	: >"$WORK/rules"
	record "the cut ends"
}

# start_deployment WORKERS ACCELERATORS: everything, ready to take jobs.
start_deployment() {
	for program in chervilholdd standin-http standin-json \
	    standin-platform_worker standin-relay; do
		[ -x "$BIN/$program" ] || cannot_run "$BIN/$program is missing"
	done
	for control in $CONTROLS; do
		write_settings "$control" control
		start_instance "$control"
	done
	for entry in $ENTRIES; do
		write_settings "$entry" entry
		start_instance "$entry"
	done
	wait_until 20 configure_once "$(configuration 1)" ||
	    cannot_run "no configuration was acknowledged"
	record "configuration 1 acknowledged"
	for entry in $ENTRIES; do
		wait_until 20 is_ready "$entry" ||
		    cannot_run "entry instance $entry is not ready"
	done
	start_workers "$1" "$2"
	# Each announces itself every 0.5 s.
	sleep 2
	record "$1 backend servers with $2 accelerators each announce themselves"
}

# next_entry: ENTRY is the instance to which the balancer sends the next call.
TURN=0
next_entry() {
	TURN=$((TURN + 1))
	# shellcheck disable=SC2086
	set -- $ENTRIES
	shift $((TURN % $#))
	ENTRY=$1
}

# submit TENANT ID BODY: a client that sends again after no answer, 502 or 504
# and, later, after 429 or 503; true once it was accepted.
submit() {
	for attempt in 1 2 3 4 5; do
		next_entry
		call POST "$NET.$ENTRY:$FRONT" "/$1/$2" "$3" \
		    "Host: h.example" "Authorization: Bearer key-of-tenant-$1" \
		    "X-Deadline-Ms: 3000"
		record "POST /$1/$2 (tenant $1, attempt $attempt) ->" \
		    "$STATUS $ANSWER"
		case $STATUS in 2??) return 0 ;; 4?[0-8]) return 1 ;; esac
		sleep 1
	done
	return 1
}

# look TENANT ID: asks for a job's state, at each entry until one answers 200 or
# 410; sets STATUS and STATE.
look() {
	for entry in $ENTRIES; do
		call GET "$NET.$entry:$FRONT" "/$1/$2" "" "Host: h.example" \
		    "Authorization: Bearer key-of-tenant-$1" \
		    "X-Deadline-Ms: 3000"
		STATE=$(echo "$ANSWER" | "$BIN/standin-json" state)
		case $STATUS in 200 | 410) return 0 ;; esac
	done
}

# is_state TENANT ID STATE
is_state() {
	look "$1" "$2"
	[ "$STATUS" = 200 ] && [ "$STATE" = "$3" ]
}

# starts ID: how many starts of the job's tasks the backend servers carried out.
starts() {
	grep -c "^start $1" "$WORK/workers.out"
}

# record_runs: what the backend servers ran, at most 200 lines.
record_runs() {
	record "$(grep -c '^start' "$WORK/workers.out") starts in all; the first:"
	grep -E '^(start|end)' "$WORK/workers.out" | head -n 200 >>"$RECORD"
}

# submit_small N...: submits small jobs aN of tenant a, one after the other;
# ACCEPTED has the ids of those that were accepted.
submit_small() {
	ACCEPTED=""
	for number in "$@"; do
		! submit a "00000000000000a$number" "$small_job" ||
		    ACCEPTED="$ACCEPTED 00000000000000a$number"
	done
}

# check_small: UNSERVED has the accepted small jobs that are not completed.
check_small() {
	UNSERVED=""
	for id in $ACCEPTED; do
		look a "$id"
		record "GET /a/$id -> $STATUS $ANSWER; $(starts "$id") of its" \
		    "tasks were started"
		[ "$STATUS $STATE" = "200 completed" ] ||
		    UNSERVED="$UNSERVED $id"
	done
}

# record_step_downs: how often leaders gave up their term, and why.
record_step_downs() {
	record "times that a leader stepped down, by reason:"
	cat "$WORK"/*.events | grep '"step_down"' |
	    sed 's/.*"reason":"//; s/".*//' | sort | uniq -c >>"$RECORD"
}

# small_job: two tasks of half a second on one core.
small_job='{"spec":"500","steps":[{"count":2,"cpu":1000,"memMb":100,
 "estMs":500}]}'
