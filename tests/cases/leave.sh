# Guards against new work on a backend server 3 s after it said that it leaves.
. tests/lib.sh
start_today 1
start_workers lone d1 1
wait_for 10 "lone known" knows_workers i1 5
# Its owner uses it from the next announcement on.
gets_work() {
	call --count 40 --repeatable --prefix before --sleep-ms 10
	grep -q '^start lone' "$WORK/ran.ledger"
}
wait_for 10 "lone gets work" gets_work
kill -USR1 "$(field pid lone)"
# The 3 s count from the answer to the announcement.
left() {
	grep -q '^left lone$' "$WORK/worker-lone.ports"
}
wait_for 20 "lone's leave is answered" left
sleep 3
before=$(grep -c '^start lone' "$WORK/ran.ledger")
call --stages 200:2000 --repeatable --prefix after --sleep-ms 10
after=$(grep -c '^start lone' "$WORK/ran.ledger")
note "new work after 3 s: $((after - before))"
note "lost $(summary lost), wrong $(summary wrong)"
check_ledgers
