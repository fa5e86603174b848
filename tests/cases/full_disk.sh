# Guards against patches that are lost or refused for good when one replica
# cannot write any more.  A limit of the file size stands for the full disk.
. tests/lib.sh
define_today
start_balancer
# shellcheck disable=SC2086
start i1 i2 i4 i5 i6 i7
write_settings i3
(
	ulimit -f 24 # blocks of 512 bytes
	exec "$BUILD/chervilholdd" "$WORK/i3.json" >>"$WORK/i3.log" 2>&1
) &
pid_i3=$!
PIDS="$PIDS $!"
for id in $INSTANCES; do
	wait_for 20 "$id ready" is_ready "$id"
done
text=$(printf '%1000s' '' | tr ' ' x)
fields=""
for n in 1 2 3 4 5 6 7 8 9 10; do
	fields="$fields, \"n$n-$(echo "$text" | cut -c 1-100)\": {\"weight\": 2}"
done
patch() {
	patch_at i7 "{\"id\": \"p$1\", \"base\": $1, \"author\": \"ana\",
	 \"patch\": {\"tenants\": {\"t$1\": {\"weight\": 2}$fields}}}" \
	    >"$WORK/patch"
	[ "$(status)" = 200 ]
}
base=1
while [ "$base" -le 60 ]; do
	wait_for 20 "patch $base" patch "$base"
	base=$((base + 1))
done
note "60 patches are accepted"
grep -q "File too large" "$WORK/i3.log" || fail "i3 did not meet its limit"
note "i3 met its limit"
for id in i1 i2 i4 i5 i6 i7; do
	wait_for 20 "$id at version 61" at_version "$id" 61
done
note "version 61 is in force on the others"
leader=$(leader_of i7)
[ "$leader" != i3 ] || note "i3 leads"
# Space is there again.
kill -KILL "$pid_i3" 2>/dev/null
wait "$pid_i3" 2>/dev/null
start i3
wait_for 30 "i3 ready again" is_ready i3
wait_for 20 "i3 at version 61" at_version i3 61
http GET "http://$(field address i3):$(field operator i3)/v1/config/history?from=1" \
    >"$WORK/history"
base=1
while [ "$base" -le 60 ]; do
	grep -q "\"patch_id\": *\"p$base\"" "$WORK/history" ||
	    note "patch p$base is lost"
	base=$((base + 1))
done
note "i3 has every patch"
