# Guards against a graceful shutdown that cuts off requests in flight: instances
# are drained one after the other under load, the last one by an operator.
. tests/lib.sh
start_today 2
call --stages 100:12000 --prefix drain --sleep-ms 150 --deadline-ms 6000 &
caller=$!
sleep 1
for id in i2 i3 i6; do
	signal_instance TERM "$id"
	await_exit "$id"
	note "$id exit code $?"
	start "$id"
	wait_for 20 "$id ready again" is_ready "$id"
done
# The operator's drain ends the instance named, through any instance.
cli i1 drain i4 >/dev/null || fail "the drain of i4 was refused"
await_exit i4
note "i4 exit code $? after the operator's drain"
start i4
wait_for 20 "i4 ready again" is_ready i4
wait "$caller" || fail "the caller saw a wrong answer"
note "lost $(summary lost), unknown $(summary unknown)," \
    "wrong $(summary wrong)"
check_ledgers
