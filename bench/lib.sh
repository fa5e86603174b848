# Functions shared by the benchmarks of whole systems.
# shellcheck shell=sh
. tests/lib.sh

# figure NAME VALUE UNIT [max|min BOUND]: prints one line of the report.
figure() {
	if [ $# -lt 5 ]; then
		echo "$1 $2 $3 - info"
		return
	fi
	awk -v name="$1" -v value="$2" -v unit="$3" -v kind="$4" -v bound="$5" \
	    'BEGIN {
		ok = kind == "max" ? value <= bound : value >= bound
		sign = kind == "max" ? "<=" : ">="
		print name, value, unit, sign bound, ok ? "ok" : "short"
	}'
}

# ratio A B: prints A / B with three decimals.
ratio() {
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.3f", b > 0 ? a / b : 0 }'
}

now_ms() {
	date +%s%3N
}

# start_fifo: the baseline in place of the system; sets URL.
start_fifo() {
	# shellcheck disable=SC2046
	set -- $("$BUILD/standin-ports" "$NET.210" 1)
	"$BUILD/standin-fifo" "$NET.210:$1" >"$WORK/fifo.log" 2>&1 &
	PIDS="$PIDS $!"
	URL=http://$NET.210:$1
}
