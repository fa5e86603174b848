# Guards against workers that all keep a connection to the leader: with as many
# workers as descriptors no operator would get through.  Each control instance
# takes announcements and names itself for the next ones.
. tests/platform.sh
for n in 1 2 3; do
	platform_settings "$n" control
done
platform_settings 4 entry
platform_start 1 2 3 4
wait_for 20 "a configuration" platform_configure 1
wait_for 20 "p4 ready" is_entry_ready
# announce N ID SEQUENCE: announces a worker at instance pN.
announce() {
	platform_http POST "$NET.$1:$CONTROL" "/api/instances/$2/heartbeat" \
	    "{\"service\":\"svc\",\"addr\":\"$WORKER_ADDRESS:$WORKERS\",
	    \"zone\":\"d1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",
	    \"capacity\":{\"cpu\":64000,\"memMb\":64000,\"gpu\":8},
	    \"labels\":[\"a\",\"r1\"],\"clockMs\":1000,\"seq\":$3,\"born\":7}" |
	    json heartbeatAddr >"$WORK/next"
	[ "$(status)" = 200 ]
}
for n in 1 2 3; do
	wait_for 20 "an announcement at p$n" announce "$n" "w$n" 1
	[ "$(cat "$WORK/next")" = "$NET.$n:$CONTROL" ] ||
	    fail "p$n names $(cat "$WORK/next")"
	note "p$n takes an announcement and names itself"
done
for n in 1 2 3; do
	platform_http POST "$NET.$n:$CONTROL" /api/instances/w9/heartbeat "{" \
	    >/dev/null
	note "malformed at p$n: $(status)"
done
leader=$(sed -n 's/.*"event":"lead".*/&/p' "$WORK"/p[123].events | tail -n 1 |
    sed 's/.*"instance":"[0-9.]*\.\([123]\)".*/\1/')
note "known to the leader: $(grep -c '"event":"worker",' \
    "$WORK/p$leader.events")"
# Without a majority an announcement is not confirmed.
for n in 1 2 3; do
	[ "$n" = "$leader" ] || other=$n
done
for n in 1 2 3; do
	[ "$n" = "$other" ] || platform_signal KILL "$n"
done
unconfirmed() {
	! announce "$other" w8 1
}
wait_for 20 "a refusal" unconfirmed
note "without a majority: not acknowledged"
