#!/bin/sh
# Runs every benchmark; one line a figure: NAME VALUE UNIT TARGET ok|short|info.
# Usage: bench/run.sh BUILD [NAME...]
cd "$(dirname "$0")/.." || exit 1
build=${1:-build}
[ $# -eq 0 ] || shift
export CHERVILHOLD_BUILD="$build"
selected=$*

wanted() {
	[ -z "$selected" ] && return 0
	case " $selected " in *" $1 "*) return 0 ;; esac
	return 1
}

for program in "$build"/bench/bench_*; do
	case $program in *.d | *.o) continue ;; esac
	wanted "$(basename "$program")" && "$program"
done
for script in bench/system_*.sh; do
	wanted "$(basename "$script" .sh)" && sh "$script"
done
exit 0
