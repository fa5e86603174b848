# Guards the operator's tool against a real system: exit codes, a resend at
# another instance after the first one was killed, and drain and replace.
. tests/lib.sh
start_today 0
printf '{"tenants": {"hall": {"weight": 2}}}' >"$WORK/friday.json"
urls=
for id in i2 i3 i5; do
	urls="$urls http://$(field address "$id"):$(field operator "$id")"
done
export CHERVILHOLD_URL="${urls# }"
# Runs the tool and notes its exit code and the first line of its output.
tool() {
	"$BUILD/chervilhold" "$@" >"$WORK/out" 2>&1
	code=$?
	note "$1: $code $(head -n 1 "$WORK/out")"
}
tool plan "$WORK/friday.json"
tool apply "$WORK/friday.json" --id friday-1 --author ana --base 1
tool apply "$WORK/friday.json" --id friday-2 --author ben --base 1
kill_instance i2
tool apply "$WORK/friday.json" --id friday-1 --author ana --base 1
printf '{"tenants": {"hall": {"weight": 0}}}' >"$WORK/bad.json"
tool apply "$WORK/bad.json" --author ana
tool history
grep -q "friday-1" "$WORK/out" || fail "the history lacks friday-1"
tool status
grep -q "^config version: 2$" "$WORK/out" || fail "status lacks version 2"
tool workers
tool workspaces
tool jobs
tool burn
grep -q config_in_force "$WORK/out" || fail "burn lacks an objective"
tool explain none
tool drain i7
drains() {
	tool_out=$("$BUILD/chervilhold" status --json)
	printf '%s' "$tool_out" | tr -d ' \n' |
	    grep -q '"instance":"i7",[^}]*"draining":true'
}
wait_for 10 "i7 is seen to drain" drains
tool replace none
