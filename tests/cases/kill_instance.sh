# Guards against lost, doubled or false answers when instances are killed under
# load, two in a row, one of them the leader.
. tests/lib.sh
start_today 3
call --stages 150:6000 --resend 4 --prefix kill --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
sleep 1
leader=$(leader_of i2)
kill_instance "$leader"
sleep 1.5
kill_instance i4
sleep 1
start "$leader" i4
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong), lost $(summary lost)"
[ "$(summary done)" -gt 400 ] || fail "only $(summary done) answered"
check_ledgers
wait_for 20 "$leader ready again" is_ready "$leader"
wait_for 20 "i4 ready again" is_ready i4
note "both instances are back"
