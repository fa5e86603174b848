# Guards against a replica that comes back with an empty data folder and votes
# with a forgotten past, twice in a row on different replicas.
. tests/lib.sh
start_today 2
call --stages 100:9000 --resend 4 --prefix disk --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
for victim in i3 i5; do
	sleep 1
	kill_instance "$victim"
	rm -rf "$WORK/data-$victim"
	start "$victim"
	wait_for 20 "$victim ready again" is_ready "$victim"
	cli i1 replace "$victim" >"$WORK/replace" 2>&1 || cat "$WORK/replace"
	wait_for 20 "$victim votes again" is_repaired "$victim"
	note "$victim votes again"
done
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong)"
check_ledgers
