# Guards against work that a frozen instance does with an outdated term or fence
# once it wakes up.
. tests/lib.sh
start_today 3
call --stages 120:9000 --resend 4 --prefix freeze --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
sleep 1
leader=$(leader_of i2)
signal_instance STOP "$leader"
sleep 6
signal_instance CONT "$leader"
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong)"
[ "$(summary done)" -gt 400 ] || fail "only $(summary done) answered"
check_ledgers
wait_for 20 "$leader ready again" is_ready "$leader"
for id in $INSTANCES; do
	wait_for 10 "$id has a leader" has_leader "$id"
done
note "every instance has a leader"
