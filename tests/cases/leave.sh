# Guards against new work on a backend server 3 s after it said that it leaves.
. tests/lib.sh
start_today 1
start_workers lone d1 1
wait_for 10 "lone known" knows_workers i1 5
call --stages 200:1000 --repeatable --prefix before --sleep-ms 10
[ "$(grep -c '^start lone' "$WORK/ran.ledger")" -gt 0 ] ||
    fail "lone got no work before it left"
kill -USR1 "$(field pid lone)"
sleep 3
before=$(grep -c '^start lone' "$WORK/ran.ledger")
call --stages 200:2000 --repeatable --prefix after --sleep-ms 10
after=$(grep -c '^start lone' "$WORK/ran.ledger")
note "new work after 3 s: $((after - before))"
note "lost $(summary lost), wrong $(summary wrong)"
check_ledgers
