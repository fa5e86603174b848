# Guards against old terms, fences and leases that are used by a leader which
# was frozen while another failure domain was cut off.
. tests/lib.sh
WITH_RELAY=1
start_today 2
patch_at i2 '{"id": "before", "base": 1, "author": "ana", "patch":
 {"tenants": {"before": {"weight": 2}}}}' >"$WORK/before"
note "patch before: $(status)"
call --stages 60:22000 --resend 6 --prefix both --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
sleep 1
leader=$(leader_of i7)
case $leader in
i1) cut_off i3 i4 ;;
*) cut_off i1 i2 ;;
esac
signal_instance STOP "$leader"
# Longer than the leases of backend servers, reservations and members.
sleep 12
signal_instance CONT "$leader"
sleep 1
heal
for id in $INSTANCES; do
	wait_for 20 "$id has a leader" has_leader "$id"
	wait_for 20 "$id ready again" is_ready "$id"
done
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong)"
patched() {
	patch_at i7 '{"id": "after", "base": 2, "author": "ana", "patch":
	 {"tenants": {"after": {"weight": 2}}}}' >"$WORK/after"
	[ "$(status)" = 200 ]
}
wait_for 20 "a patch after the heal" patched
for id in $INSTANCES; do
	wait_for 20 "$id at version 3" at_version "$id" 3
done
note "version 3 is in force everywhere"
SUMMARY=$WORK/summary-healed
call --count 60 --prefix healed --sleep-ms 5 --deadline-ms 15000
note "after the heal: done $(summary done) of $(summary sent)"
check_ledgers
