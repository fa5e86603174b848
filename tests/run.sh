#!/bin/sh
# Runs every unit test program and every scripted run under tests/cases.
# Usage: tests/run.sh BUILD.  Tests listed in KNOWN-RED.txt are run and printed
# but do not decide the verdict.
set -u
build=${1:-build}
passed=0
failed=0
known=0
export CHERVILHOLD_BUILD="$build"

# Tells whether a test is listed in KNOWN-RED.txt as "test: NAME".
is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

# Runs a scripted run and compares what it prints with its .expected file.
run_case() {
	script=$1
	expected=${script%.sh}.expected
	actual="$build/test-logs/$(basename "$script" .sh).out"
	sh "$script" >"$actual"
	rc=$?
	cat "$actual"
	[ "$rc" -eq 0 ] || return 1
	diff -u "$expected" "$actual"
}

# Runs one test and counts its result: verdict NAME COMMAND...
verdict() {
	name=$1
	shift
	log="$build/test-logs/$(echo "$name" | tr / _).log"
	if "$@" >"$log" 2>&1; then
		passed=$((passed + 1))
		echo "pass  $name"
	elif is_known_red "$name"; then
		known=$((known + 1))
		echo "KNOWN-RED  $name"
	else
		failed=$((failed + 1))
		echo "FAIL  $name"
		tail -n 40 "$log" | sed 's/^/      /'
	fi
}

mkdir -p "$build/test-logs"
for unit in "$build"/unit/test_*; do
	case $unit in *.d | *.o) continue ;; esac
	[ -x "$unit" ] && verdict "unit/$(basename "$unit")" "$unit"
done
for fuzzer in "$build"/fuzz/fuzz_*; do
	case $fuzzer in *.d | *.o) continue ;; esac
	[ -x "$fuzzer" ] && verdict "fuzz/$(basename "$fuzzer")" "$fuzzer"
done
for script in tests/cases/*.sh; do
	[ -f "$script" ] &&
	    verdict "cases/$(basename "$script" .sh)" run_case "$script"
done
[ "$known" -eq 0 ] || { echo "known red:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed, $known skipped"
[ "$failed" -eq 0 ]
