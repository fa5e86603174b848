# Guards against work that runs twice or is lost when a backend server comes
# back with another generation and port in the middle of work.
. tests/lib.sh
start_today 2
call --stages 100:9000 --resend 6 --prefix again --sleep-ms 200 \
    --declared-ms 200 --deadline-ms 8000 &
caller=$!
ports() {
	http GET "http://$(field address i7):$(field operator i7)/v1/workers" |
	    tr '{' '\n' | grep -c "\"port\": *$1[,}]"
}
for round in 1 2; do
	sleep 2
	kill -KILL "$(field pid w_d1_)"
	start_workers w_d1_ d1 2
	new_ports() {
		for port in $(awk '{ print $2 }' "$WORK/worker-w_d1_.ports"); do
			[ "$(ports "$port")" = 1 ] || return 1
		done
		[ -s "$WORK/worker-w_d1_.ports" ]
	}
	wait_for 20 "restart $round is known" new_ports
	note "restart $round is known"
done
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong)"
ran_before=$(grep -c "^start w_d1_" "$WORK/ran.ledger")
SUMMARY=$WORK/summary-after
call --count 200 --prefix after --sleep-ms 50 --deadline-ms 15000
note "after: done $(summary done) of $(summary sent)"
[ "$(grep -c "^start w_d1_" "$WORK/ran.ledger")" -gt "$ran_before" ] ||
    note "the restarted backend servers got no work"
check_ledgers
