# Functions for scripted runs with clients that do not behave, on a system whose
# machines are small.  What is checked does not depend on the machine's speed:
# that the process lives, its memory and descriptors, and that a request which
# behaves is answered.  These runs take place one at a time (tests/run.sh).
# shellcheck shell=sh

# Limits of each process, in its settings.
MEMORY_MB=64
DESCRIPTORS=512
# Descriptors that the platform keeps for itself.
KEPT_DESCRIPTORS=200
# A process may grow by half of its machine's memory.
GROWTH_KB=$((MEMORY_MB * 1024 / 2))
# Clients of one crowd, and what each sends.
CROWD=96
CROWD_BYTES=1000000
PLATFORM_LIMITS="\"limits\":{\"memoryMb\":$MEMORY_MB,\"maxFds\":$((
    DESCRIPTORS + KEPT_DESCRIPTORS))},"
# Freed memory that the sanitizer keeps is not the process's own use.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:quarantine_size_mb=1:thread_local_quarantine_size_kb=16"

# memory_of PID FIELD: kB, from the kernel's account of a process.
memory_of() {
	awk -v field="$2:" '$1 == field { print $2 }' "/proc/$1/status"
}

# mark_memory PID: growth counts from here on.
mark_memory() {
	eval "rss_$1=$(memory_of "$1" VmRSS)"
}

# is_sanitized PID: memory of a sanitizer is no part of the product.
is_sanitized() {
	grep -q libasan "/proc/$1/maps"
}

# memory_verdict PID
memory_verdict() {
	high=$(memory_of "$1" VmHWM)
	eval "grown=\$((high - rss_$1))"
	if [ "$grown" -gt "$GROWTH_KB" ]; then
		echo "memory over its bound"
	elif ! is_sanitized "$1" && [ "$high" -gt $((MEMORY_MB * 1024)) ]; then
		echo "more memory than the machine has"
	else
		echo "memory within its bound"
	fi
}

# check_process PID LABEL: notes whether it lives within its bounds.
check_process() {
	is_running "$1" || fail "$2: the process has ended"
	open=$(find "/proc/$1/fd" -type l | wc -l)
	verdict=$(memory_verdict "$1")
	eval "before=\$rss_$1"
	echo "$2: $before kB before, at most $(memory_of "$1" VmHWM) kB," \
	    "now $(memory_of "$1" VmRSS) kB, $open descriptors" >&2
	[ "$open" -le "$DESCRIPTORS" ] || verdict="$verdict, too many descriptors"
	note "$2: lives, $verdict"
}

# crowd_open ADDRESS KIND [OPTION...]: clients that stay until crowd_end.
crowd_open() {
	crowd_target=$1
	crowd_kind=$2
	shift 2
	: >"$WORK/crowd.out"
	"$BUILD/standin-crowd" --target "$crowd_target" --kind "$crowd_kind" \
	    --count "$CROWD" --bytes "$CROWD_BYTES" "$@" >>"$WORK/crowd.out" &
	CROWD_PID=$!
	PIDS="$PIDS $CROWD_PID"
	wait_for 120 "the crowd has sent all" grep -q quiet "$WORK/crowd.out"
}

crowd_end() {
	signal_own KILL "$CROWD_PID"
	wait "$CROWD_PID" 2>/dev/null
}

# job_id: a new id in JOB.
job_id() {
	JOBS=$((${JOBS:-0} + 1))
	JOB=$(printf '000000000000%04x' "$JOBS")
}

# job_is_taken: a job of an ordinary caller is accepted; the id stays the same
# when it has to be sent again.
job_is_taken() {
	[ "$(platform_submit q "$JOB" 1 1 100)" = 200 ]
}

# ordinary_job LABEL: hands a job in and waits for its end.
ordinary_job() {
	job_id
	wait_for 60 "$1: a job is taken" job_is_taken
	wait_for 60 "$1: its end" platform_is q "$JOB" completed
	note "$1: a job is taken and runs"
}

# small_platform_open: the platform, and a job of an earlier caller that goes on.
small_platform_open() {
	platform_open 2 8
	EARLIER=00000000000000ee
	[ "$(platform_submit q "$EARLIER" 1 1 8000)" = 200 ] ||
	    fail "the earlier job is not taken"
	for n in 1 2 3 4; do
		eval "mark_memory \$PID_p$n"
	done
}

# attack N PORT KIND [OPTION...]: a crowd at instance N; what is noted has to
# hold while the crowd stays and once it has gone.
attack() {
	attacked=$1
	attack_port=$2
	attack_kind=$3
	shift 3
	attack_label="$attack_kind at p$attacked"
	crowd_open "$NET.$attacked:$attack_port" "$attack_kind" "$@"
	eval "check_process \$PID_p$attacked '$attack_label'"
	"$while_attacked" "$attack_label, meanwhile"
	crowd_end
	ordinary_job "$attack_label, after"
	eval "check_process \$PID_p$attacked '$attack_label, after'"
}

# earlier_job: the job handed in before the crowds came.
earlier_job() {
	wait_for 60 "the earlier job" platform_is q "$EARLIER" completed
	note "the earlier job has run"
}
