# Functions for the scripts of review/11 to review/15: a small deployment as
# processes on loopback addresses. Four control machines in four zones, of which
# three are seeds, two entry machines, and 12 backend servers of 8 accelerators
# (tests/standin/platform_worker.c). A script is run in the root of the repository.
# shellcheck shell=sh
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$HERE/record.txt
WORK=$(mktemp -d)
# A network of its own in 127.0.0.0/8, and ports below those that the kernel
# gives to outgoing connections.
NET=127.$(($$ % 200 + 20)).$(($$ / 200 % 250))
RPC=17000
FRONT=17521
READY=17523
CONTROL=17526
WORKERS=17600
# Keys of the tenants hall, with a guarantee of 24 accelerators, and shop.
KEY=d4a3hwrr6x73d3zji9n7
SHOP_KEY=3hh2b9wu3fexd9dnn2ct
CORES="1 2 3 4"
ENTRIES="5 6"
SERVERS=12
PIDS=""
ENDING=0

now_ms() {
	date +%s%3N
}

# record TEXT: one line of record.txt, with milliseconds since the start.
record() {
	echo "$(($(now_ms) - START_MS)) $*" >>"$RECORD"
}

is_own() {
	read -r _ _ own_state own_parent _ 2>/dev/null <"/proc/$1/stat" &&
	    [ "$own_parent" = $$ ] && [ "$own_state" != Z ]
}

signal_own() {
	own_signal=$1
	shift
	for own in "$@"; do
		! is_own "$own" || kill "-$own_signal" "$own" 2>/dev/null
	done
}

finish() {
	rc=$?
	[ "$ENDING" = 0 ] || exit "$rc"
	ENDING=1
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
	exit "$rc"
}
trap finish EXIT
trap 'exit 2' INT TERM
START_MS=$(now_ms)
: >"$RECORD"

# cannot_run TEXT
cannot_run() {
	record "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# broken TEXT / held TEXT: the verdict.
broken() {
	record "BROKEN: $*"
	echo "BROKEN: $*"
	exit 1
}

held() {
	record "held: $*"
	echo "held: $*"
	exit 0
}

# wait_for SECONDS TEXT COMMAND...
wait_for() {
	until_s=$(($(date +%s) + $1))
	what=$2
	shift 2
	while ! "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -le "$until_s" ] || cannot_run "$what"
		sleep 0.1
	done
}

# settings N CLASS: as the platform fills deploy/settings.json, {{.|json}}.
settings() {
	zone=z$((($1 - 1) % 4 + 1))
	class=core serves=control_plane role=control counts=true memory=256 share=0.5
	listen="\"control\":\"$NET.$1:$CONTROL\""
	disk="\"dataDir\":\"$WORK/p$1\","
	if [ "$2" = edge ]; then
		class=edge serves=edge role=entry counts=false memory=260 share=0.25
		listen="\"front\":\"$NET.$1:$FRONT\",\"readiness\":\"$NET.$1:$READY\""
		disk=""
	fi
	mkdir -p "$WORK/p$1"
	cat >"$WORK/p$1.json" <<SETTINGS
{"nodeName":"$class-$1","role":"$role","machineClass":"$class",
 "serves":["$serves"],"ip":"$NET.$1","zone":"$zone","region":"r",
 "internalPorts":[$RPC,$((RPC + 15))],$disk
 "seeds":["$NET.1:$CONTROL","$NET.2:$CONTROL","$NET.3:$CONTROL"],
 "bootstrap":${BOOTSTRAP:-true},"countsAsLoss":$counts,
 "discovery":"registration","entry":"vip","heartbeatMs":1500,
 "contracts":["base","drain","config","cost","recover","sched","tenants"],
 "config_mode":"highest","orders":"invocation",
 "zones":{"z1":"r","z2":"r","z3":"r","z4":"r"},"listen":{$listen},
 "limits":{"cpuShare":$share,"cores":1,"memoryMb":$memory,"maxFds":4096,
  "linkMbps":1000.0,"diskMb":128},
 "faultTolerance":{"machines":1,"zones":1,"regions":0},
 "bounds":{"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,
  "lossSlackMs":200,"configApplyMs":2000,"maxStretchMs":5000,"recoverS":12,
  "holdMaxMs":6000,"stopMs":400,"gangMs":3000,"cancel_ms":3000,
  "visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,
  "reclaimMs":2900,"leaseMs":3000}}
SETTINGS
}

# start_machine N...: the command of the deploy file.
start_machine() {
	for machine in "$@"; do
		target/chervilholdd --platform "$WORK/p$machine.json" \
		    >>"$WORK/p$machine.events" 2>>"$WORK/p$machine.log" &
		PIDS="$PIDS $!"
		eval "pid_$machine=$!"
	done
}

pid_of() {
	eval "echo \$pid_$1"
}

# http METHOD ADDRESS PATH [BODY [HEADER...]]: prints "STATUS BODY".
http() {
	http_method=$1
	http_url=http://$2$3
	shift 3
	[ $# -gt 0 ] || set -- ""
	http_out=$(mktemp "$WORK/http.XXXXXX")
	build/standin-http "$http_method" "$http_url" "$@" >"$http_out" \
	    2>"$http_out.status"
	echo "$(cat "$http_out.status") $(cat "$http_out")"
	rm -f "$http_out" "$http_out.status"
}

# client METHOD ENTRY PATH [BODY [KEY]]: a client's call at an entry machine.
client() {
	http "$1" "$NET.$2:$FRONT" "$3" "${4:-}" "Host: desk.example" \
	    "Authorization: Bearer ${5:-$KEY}" "X-Deadline-Ms: 3000"
}

# configure VERSION: the operator's call, at each control machine in turn.
configure() {
	route='"host":"desk.example","kind":"non_idempotent","service":"svc",
	    "timeoutMs":3000,"stretch":3.0,"anonymous":false'
	config="{\"version\":$1,\"routes\":[
	    {\"name\":\"quote\",\"pathPrefix\":\"/quote/\",\"priority\":0,
	     \"maxAttempts\":2,\"targetLatencyMs\":250,$route},
	    {\"name\":\"batch\",\"pathPrefix\":\"/batch/\",\"priority\":1,
	     \"maxAttempts\":3,\"targetLatencyMs\":1000,$route}],
	    \"services\":[{\"name\":\"svc\",\"healthPath\":\"/healthz\",
	     \"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,
	     \"admissionCheck\":true,\"standby\":false}],
	    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,
	     \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},
	    \"tenants\":[{\"name\":\"hall\",\"apiKeys\":[\"$KEY\"],
	     \"priority\":1,\"guaranteed\":{\"gpu\":24}},
	    {\"name\":\"shop\",\"apiKeys\":[\"$SHOP_KEY\"],
	     \"priority\":1,\"guaranteed\":{\"gpu\":8}}]}"
	for core in $CORES; do
		answer=$(http POST "$NET.$core:$CONTROL" /api/config/replace \
		    "$config")
		case $answer in 200*) return 0 ;; esac
	done
	return 1
}

is_ready() {
	case $(http GET "$NET.$1:$READY" /api/readyz) in
	200*) return 0 ;;
	esac
	return 1
}

# job TASKS MS [STEPS]: the body of a job whose tasks take so many milliseconds,
# with so many steps, one after the other.
job() {
	steps=""
	step=0
	while [ "$step" -lt "${3:-1}" ]; do
		after=""
		[ "$step" = 0 ] || after=",\"dependsOn\":[$((step - 1))]"
		steps="$steps${steps:+,}{\"count\":$1,\"cpu\":1000,\"memMb\":10,
		    \"gpu\":1,\"estMs\":$2$after}"
		step=$((step + 1))
	done
	echo "{\"spec\":\"$2\",\"steps\":[$steps]}"
}

# state QUEUE ID: prints the answer to a GET, at any entry machine.
state() {
	for entry in $ENTRIES; do
		answer=$(client GET "$entry" "/$1/$2")
		case $answer in
		200* | 410*)
			echo "$answer"
			return
			;;
		esac
	done
	echo "$answer"
}

is_state() {
	case $(state "$1" "$2") in
	*"\"$3\""*) return 0 ;;
	esac
	return 1
}

all_born() {
	[ "$(grep -c '^born' "$WORK/servers.out")" -ge "$SERVERS" ]
}

# open_system: starts everything and shows that an ordinary job runs.
open_system() {
	for binary in target/chervilholdd build/standin-http \
	    build/standin-platform_worker; do
		[ -x "$binary" ] || cannot_run "$binary is not built"
	done
	for core in $CORES; do
		settings "$core" core
	done
	for entry in $ENTRIES; do
		settings "$entry" edge
	done
	# shellcheck disable=SC2086
	start_machine $CORES $ENTRIES
	wait_for 20 "no configuration is acknowledged" configure 1
	for entry in $ENTRIES; do
		wait_for 20 "an entry machine is not ready" is_ready "$entry"
	done
	# shellcheck disable=SC2046
	build/standin-platform_worker --address "$NET.100" --port "$WORKERS" \
	    --count "$SERVERS" --accelerators 8 --hold-max-ms 6000 \
	    $(for core in $CORES; do echo "--control $NET.$core:$CONTROL"; done) \
	    >>"$WORK/servers.out" 2>>"$WORK/servers.log" &
	PIDS="$PIDS $!"
	wait_for 20 "backend servers" all_born
	client POST 5 /quote/00000000000000e0 "$(job 2 200)" >/dev/null
	wait_for 20 "the first job" is_state quote 00000000000000e0 completed
	record "the system serves: the first job is completed"
}

# record_runs: appends what the backend servers ran to record.txt.
record_runs() {
	echo "what the backend servers ran (EVENT TASK RUN SERVER MS ...):" \
	    >>"$RECORD"
	grep -E '^(start|end|ack|lapse|gone) ' "$WORK/servers.out" |
	    grep -E "${1:-.}" | tail -n "${2:-400}" >>"$RECORD"
}

# The memory of a control machine: its memoryMb. A process that uses more is killed,
# and started again after a short delay (DEPLOY.md).
MEMORY_KB=$((256 * 1024))

# memory_kb PID FIELD
memory_kb() {
	awk -v field="$2:" '$1 == field { print $2 }' "/proc/$1/status" 2>/dev/null
}

# guard: what the platform does with the memory of a process.
guard() {
	for core in $CORES; do
		pid=$(pid_of "$core")
		eval "restart=\${restart_$core:-0}"
		if [ "$restart" != 0 ]; then
			[ "$(now_ms)" -ge "$restart" ] || continue
			BOOTSTRAP=false settings "$core" core
			start_machine "$core"
			eval "restart_$core=0"
			record "core-$core: started again"
			continue
		fi
		used=$(memory_kb "$pid" VmRSS)
		[ "${used:-0}" -le "$MEMORY_KB" ] && continue
		record "core-$core: uses $used kB, more than its machine has: killed"
		signal_own KILL "$pid"
		eval "ends_$core=\$((\${ends_$core:-0} + 1))"
		eval "restart_$core=$(($(now_ms) + 1000))"
	done
}

guard_for() {
	guard_until=$(($(now_ms) + $1))
	while [ "$(now_ms)" -lt "$guard_until" ]; do
		guard
		sleep 0.1
	done
}

# ends_of N: how often a control process was killed for its memory.
ends_of() {
	eval "echo \"\${ends_$1:-0}\""
}

# judge_memory ANSWER: the verdict, of the answer to a GET of an accepted job.
judge_memory() {
	many=0
	some=0
	for core in $CORES; do
		[ "$(ends_of "$core")" -lt 3 ] || many=$((many + 1))
		[ "$(ends_of "$core")" -lt 1 ] || some=$((some + 1))
	done
	record "ends for want of memory: core-1 $(ends_of 1), core-2 $(ends_of 2)," \
	    "core-3 $(ends_of 3), core-4 $(ends_of 4)"
	case $1 in
	200*) ;;
	*) broken "LOST: an accepted job gets no answer;" \
		"$some of 4 control processes ended over memoryMb" ;;
	esac
	[ "$many" -lt 2 ] ||
	    broken "Fault: $many of 4 control processes ended 3 times over memoryMb"
	held "the control processes ended over memoryMb less often than the rule has it"
}
