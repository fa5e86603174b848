#!/bin/sh
# Checks that the tests notice faults put in on purpose.  Copies the tracked
# tree to a scratch directory, builds it, runs the named tests unpatched, then
# applies each tests/mutants/*.patch in turn and runs its test, which must fail.
# The first lines of a patch are "# test: unit/NAME" or "# test: cases/NAME" and
# optionally "# env: VARIABLE=VALUE ...".  Arguments choose patches by name.
# Succeeds only when every fault is caught and the unpatched tree passes.
set -u
cd "$(dirname "$0")/../.." || exit 1
scratch=$(mktemp -d "${TMPDIR:-/tmp}/chervilhold-mutants-XXXXXX") || exit 1
trap 'rm -rf "$scratch"' EXIT
trap 'exit 1' HUP INT TERM
jobs=${JOBS:-4}
# Far above the longest test; a fault can make a test wait for ever.
limit_s=300
missed=0

git ls-files -z | xargs -0 cp --parents -t "$scratch" || exit 1
patches=""
for patch in "$scratch"/tests/mutants/*.patch; do
	name=$(basename "$patch" .patch)
	if [ $# -eq 0 ] || printf '%s\n' "$@" | grep -qx "$name"; then
		patches="$patches $patch"
	fi
done
cd "$scratch" || exit 1

# Prints the value of a "# KEY: value" line of a patch.
header() {
	sed -n "s/^# $1: //p" "$2" | head -n 1
}

build() {
	make -j"$jobs" BUILD=build all units >build.log 2>&1
}

# Runs a test, as unit/NAME or cases/NAME, with additional environment.
run_test() {
	case $1 in
	unit/*) env $2 timeout "$limit_s" "build/$1" ;;
	cases/*) env $2 CHERVILHOLD_BUILD=build timeout "$limit_s" \
	    sh -c '. tests/case.sh; run_case "$1" case.out' _ \
	    "${1#cases/}" ;;
	*) echo "unknown test $1"; return 0 ;;
	esac >test.log 2>&1
}

build || { tail -n 40 build.log; echo "the unpatched tree does not build"; exit 1; }
for patch in $patches; do
	printf '%s|%s\n' "$(header test "$patch")" "$(header env "$patch")"
done | sort -u >tests.txt
while IFS='|' read -r test env <&3; do
	if ! run_test "$test" "$env"; then
		tail -n 40 test.log
		echo "unpatched: $test fails"
		exit 1
	fi
done 3<tests.txt

for patch in $patches; do
	name=$(basename "$patch" .patch)
	if ! patch -s -p1 --dry-run <"$patch" >/dev/null; then
		echo "MISSED $name (does not apply)"
		missed=$((missed + 1))
		continue
	fi
	patch -s -p1 --no-backup-if-mismatch <"$patch" || exit 1
	if ! build; then
		tail -n 20 build.log
		echo "MISSED $name (does not build)"
		missed=$((missed + 1))
	elif run_test "$(header test "$patch")" "$(header env "$patch")"; then
		echo "MISSED $name"
		missed=$((missed + 1))
	else
		echo "caught $name"
	fi
	patch -s -R -p1 --no-backup-if-mismatch <"$patch" || exit 1
done
[ "$missed" -eq 0 ]
