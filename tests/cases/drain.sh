# Guards against a graceful shutdown that cuts off requests in flight: instances
# are drained one after the other under load.
. tests/lib.sh
start_today 2
call --stages 100:9000 --prefix drain --sleep-ms 150 --deadline-ms 6000 &
caller=$!
sleep 1
for id in i2 i3 i6; do
	signal_instance TERM "$id"
	await_exit "$id"
	note "$id exit code $?"
	start "$id"
	wait_for 20 "$id ready again" is_ready "$id"
done
wait "$caller" || fail "the caller saw a wrong answer"
note "lost $(summary lost), unknown $(summary unknown)," \
    "wrong $(summary wrong)"
check_ledgers
