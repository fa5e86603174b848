# Guards the numbered configuration: of several operators that race on one
# version one wins, a resend gets the first outcome, also after the leader was
# killed, and the version is in force on every instance.
. tests/lib.sh
start_today 0
patch() {
	http PATCH "http://$(field address "$1"):$(field operator "$1")/v1/config" \
	    "$2"
}
patch i2 '{"id": "p1", "base": 1, "author": "ana", "patch":
 {"tenants": {"hall": {"weight": 2}}}}' >"$WORK/p1"
note "p1: $(status) $(json outcome <"$WORK/p1") $(json version <"$WORK/p1")"
patch i5 '{"id": "p2", "base": 1, "author": "ben", "patch":
 {"tenants": {"desk": {"weight": 2}}}}' >"$WORK/p2"
note "p2: $(status) $(json error <"$WORK/p2") $(json version <"$WORK/p2")"
for n in 1 2 3 4 5 6; do
	patch "i$n" "{\"id\": \"race-$n\", \"base\": 2, \"author\": \"op$n\",
	 \"patch\": {\"tenants\": {\"race\": {\"weight\": $n}}}}" \
	    >"$WORK/race-$n" &
	eval "race_$n=$!"
done
for n in 1 2 3 4 5 6; do
	wait "$(eval "echo \$race_$n")"
done
note "winners: $(cat "$WORK"/race-* | grep -c '"accepted"')"
leader=$(leader_of i7)
kill_instance "$leader"
wait_for 10 "new leader" has_leader i7
patch i7 '{"id": "p1", "base": 1, "author": "ana", "patch":
 {"tenants": {"hall": {"weight": 2}}}}' >"$WORK/again"
note "p1 again: $(status) $(json version <"$WORK/again")"
patch i7 '{"id": "p3", "base": 3, "author": "ana", "patch":
 {"tenants": {"hall": {"weight": "much"}}}}' >"$WORK/p3"
note "p3: $(status) $(json path <"$WORK/p3"): $(json text <"$WORK/p3")"
start "$leader"
for id in $INSTANCES; do
	at_version() {
		[ "$(status_of "$id" | json config_version)" = 3 ]
	}
	wait_for 10 "$id has version 3" at_version
done
note "version 3 is in force everywhere"
