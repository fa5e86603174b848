# Guards against a backend server that fails everything quickly and so attracts
# the work of the others.
. tests/lib.sh
start_today 2
start_workers bad d1 1 --fail-all
wait_for 10 "bad known" knows_workers i1 9
call --stages 200:4000 --repeatable --prefix bad --sleep-ms 5
failed=$(grep -c '^failed bad' "$WORK/ran.ledger")
[ "$failed" -lt 60 ] || fail "the faulty backend server ran $failed of 800"
[ "$(summary done)" -gt 760 ] || fail "only $(summary done) of 800 done"
note "the faulty backend server was avoided"
check_ledgers
