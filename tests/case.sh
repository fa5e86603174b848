# The function that runs a scripted run, for tests/run.sh and tests/mutants.
# shellcheck shell=sh

# run_case NAME OUTPUT: runs tests/cases/NAME.sh, keeps what it prints in the
# file OUTPUT and compares that with NAME.expected.
run_case() {
	sh "tests/cases/$1.sh" >"$2"
	case_rc=$?
	cat "$2"
	[ "$case_rc" -eq 0 ] || return 1
	diff -u "tests/cases/$1.expected" "$2"
}
