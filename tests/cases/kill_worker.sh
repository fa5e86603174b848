# Guards against false answers when a backend server dies or freezes with work
# on it: the fate is unknown or the work did not run, never doubled.
. tests/lib.sh
start_today 2
start_workers lone d1 1
wait_for 10 "lone known" knows_workers i1 9
call --stages 150:5000 --resend 3 --prefix worker --sleep-ms 30 \
    --deadline-ms 4000 &
caller=$!
sleep 1
kill -KILL "$(field pid lone)"
start_workers frozen d2 1
sleep 1.5
kill -STOP "$(field pid frozen)"
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong), lost $(summary lost)"
[ "$(summary done)" -gt 500 ] || fail "only $(summary done) answered"
kill -CONT "$(field pid frozen)"
check_ledgers
