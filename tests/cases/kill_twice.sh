# Guards against answers, patches or claims lost when the leader's successor is
# killed right after the leader, and when a second replica loses its disk right
# after the repair of the first one.
. tests/lib.sh
start_today 2
version=1
# Sends a patch until it has an answer; the version has to be the next one.
accept_patch() {
	answered() {
		patch_at i7 "{\"id\": \"$1\", \"base\": $version,
		 \"author\": \"ana\", \"patch\":
		 {\"tenants\": {\"$1\": {\"weight\": 2}}}}" >"$WORK/patch"
		[ "$(status)" = 200 ]
	}
	wait_for 30 "patch $1 is accepted" answered "$1"
	version=$((version + 1))
	[ "$(json version <"$WORK/patch")" = "$version" ] ||
	    fail "patch $1: $(cat "$WORK/patch")"
}
# Sends a request with the key of its name through any instance.
send_key() {
	http POST "$URL/v1/requests" "{\"tenant\": \"hall\",
	 \"input\": {\"tag\": \"$1\", \"echo\": \"answer of $1\"}}" \
	    "Idempotency-Key: $2" >"$WORK/answer-$1"
	[ "$(json outcome <"$WORK/answer-$1")" = done ]
}
accept_patch first
old_key=$(key oldclaim)
wait_for 20 "the first claim is answered" send_key old "$old_key"
call --stages 80:12000 --resend 6 --prefix twice --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
sleep 1
leader=$(leader_of i7)
kill_instance "$leader"
wait_for 20 "a successor" leader_is_not "$leader" i7
successor=$leader_now
kill_instance "$successor"
note "leader and successor are dead"
sleep 1
start "$leader" "$successor"
accept_patch second
for id in "$leader" "$successor"; do
	wait_for 20 "$id ready again" is_ready "$id"
done
for victim in i3 i5; do
	accept_patch "before$victim"
	kill_instance "$victim"
	rm -rf "$WORK/data-$victim"
	accept_patch "without$victim"
	start "$victim"
	wait_for 20 "$victim ready again" is_ready "$victim"
	cli i1 replace "$victim" >"$WORK/replace" 2>&1 || cat "$WORK/replace"
	wait_for 30 "$victim votes again" is_repaired "$victim"
	note "$victim votes again"
done
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong)"
for id in $INSTANCES; do
	wait_for 20 "$id at version $version" at_version "$id" "$version"
done
note "versions: $version"
cp "$WORK/answer-old" "$WORK/first-old"
wait_for 20 "the old key is answered" send_key old "$old_key"
note "old key: $(json result <"$WORK/answer-old"), ran $(events start old)"
[ "$(json request <"$WORK/answer-old")" = "$(json request \
    <"$WORK/first-old")" ] || note "another answer than the first one"
check_ledgers
