# Guards against connections between instances that go silent for good while
# new ones work: they are replaced and no answer is lost.
. tests/lib.sh
WITH_RELAY=1
start_today 2
call --stages 100:6000 --resend 4 --prefix silent --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
sleep 1
rule "silence * *"
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong), lost $(summary lost)"
check_ledgers
for id in $INSTANCES; do
	wait_for 5 "$id has a leader" has_leader "$id"
done
call --count 50 --prefix later --sleep-ms 5
note "later: done $(summary done) of $(summary sent)"
