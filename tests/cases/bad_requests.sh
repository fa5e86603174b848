# Guards against unclear or untrue answers to bad input, and harm to others.
. tests/lib.sh
start_today 1
post() {
	label=$1
	body=$2
	shift 2
	http POST "$URL/v1/requests" "$body" "$@" >"$WORK/bad"
	note "$label: $(status) $(json outcome <"$WORK/bad")" \
	    "$(json error <"$WORK/bad") $(json path <"$WORK/bad")"
}
stamp=$(date +%s)000
post "no JSON" '{"tenant": '
post "no tenant" '{"repeatable": true}'
post "unknown field" '{"tenant": "t", "repeatable": true, "colour": 1}'
post "bad type" '{"tenant": "t", "repeatable": "yes"}'
post "negative deadline" '{"tenant": "t", "repeatable": true, "deadline_ms": -1}'
post "bad name" '{"tenant": "a b", "repeatable": true}'
post "no key" '{"tenant": "t"}'
post "malformed key" '{"tenant": "t"}' "Idempotency-Key: abc"
post "old key" '{"tenant": "t"}' "Idempotency-Key: 1000-abcdefgh"
post "key from the future" '{"tenant": "t"}' \
    "Idempotency-Key: 9999999999999-abcdefgh"
post "first body" '{"tenant": "t", "input": {"echo": "a"}}' \
    "Idempotency-Key: $stamp-abcdefgh"
post "other body" '{"tenant": "t", "input": {"echo": "b"}}' \
    "Idempotency-Key: $stamp-abcdefgh"
http GET "$URL/v1/nothing" >"$WORK/bad"
note "no route: $(status) $(json error <"$WORK/bad")"
http PUT "$URL/v1/requests" '{}' >"$WORK/bad"
note "bad method: $(status) $(json error <"$WORK/bad")"
call --count 20 --prefix after --sleep-ms 5
note "others: done $(summary done) of $(summary sent)"
