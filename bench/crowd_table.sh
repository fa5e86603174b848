#!/bin/sh
# What crowds of clients that do not behave do to an entry instance with 120 MB
# and to a control instance with 384 MB: resident memory at most and after, and
# whether one ordinary request was answered within 3 s, while the crowd stayed
# and 2 s after.  Usage: sh bench/crowd_table.sh BUILD CLIENTS.
set -u
cd "$(dirname "$0")/.." || exit 1
export CHERVILHOLD_BUILD="${1:-build}"
. tests/platform.sh
. tests/crowd.sh
CROWD=${2:-300}
ENTRY_LIMITS='"limits":{"memoryMb":120,"maxFds":3075},'
CONTROL_LIMITS='"limits":{"memoryMb":384,"maxFds":4096},'
ANSWER_S=3

# ordinary NAME: one request, answered in time or not.
ordinary() {
	case $1 in
	entry) set -- GET "http://$NET.4:$FRONT/q/" "" "Host: h" ;;
	ready) set -- GET "http://$NET.4:$READY/api/readyz" "" ;;
	control) set -- GET "http://$NET.1:$CONTROL/api/config/read" "" ;;
	esac
	timeout "$ANSWER_S" "$BUILD/standin-http" "$@" >/dev/null \
	    2>"$WORK/status"
	case $(status) in 200 | 307) echo answered ;; *) echo none ;; esac
}

# row INSTANCE PORT ORDINARY KIND PATH [OPTION...]
row() {
	eval "row_pid=\$PID_p$1"
	row_target=$NET.$1:$2
	row_ordinary=$3
	row_kind=$4
	row_path=$5
	shift 5
	is_running "$row_pid" || fail "the process has ended"
	echo 5 >"/proc/$row_pid/clear_refs" # begins a new VmHWM
	row_before=$(memory_of "$row_pid" VmRSS)
	crowd_open "$row_target" "$row_kind" --path "$row_path" "$@"
	row_during=$(ordinary "$row_ordinary")
	row_ready=$(ordinary ready)
	row_open=$(find "/proc/$row_pid/fd" -type l | wc -l)
	crowd_end
	sleep 2
	printf '%-8s %-8s %-28s %7d %7d %7d kB  %5d fds  %s, ready %s, after %s\n' \
	    "$row_ordinary" "$row_kind" "$row_path" "$row_before" \
	    "$(memory_of "$row_pid" VmHWM)" "$(memory_of "$row_pid" VmRSS)" \
	    "$row_open" "$row_during" "$row_ready" "$(ordinary "$row_ordinary")"
}

for n in 1 2 3; do
	PLATFORM_LIMITS=$CONTROL_LIMITS platform_settings "$n" control
done
PLATFORM_LIMITS=$ENTRY_LIMITS platform_settings 4 entry
platform_start 1 2 3 4
wait_for 20 "a configuration" platform_configure 1
wait_for 20 "p4 ready" is_entry_ready
platform_workers 2 8
EARLIER=00000000000000ee
wait_for 20 "a job is taken" test \
    "$(platform_submit q "$EARLIER" 1 1 30000)" = 200
job=/q/00000000000000ff
for kind in whole pieces chunked members objects over headers half slow idle; do
	row 4 "$FRONT" entry "$kind" "$job"
done
row 4 "$FRONT" entry ahead /q/ --method GET
row 4 "$FRONT" entry whole /none
row 4 "$READY" ready whole /api/readyz
row 4 "$READY" ready idle /api/readyz
for path in /api/config/replace /api/instances/i-1/heartbeat /none; do
	row 1 "$CONTROL" control whole "$path"
done
row 1 "$CONTROL" control members /api/config/replace
row 1 "$CONTROL" control idle /none
wait_for 120 "the earlier job" platform_is q "$EARLIER" completed
echo "the earlier job has run"
