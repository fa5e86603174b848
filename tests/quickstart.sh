#!/bin/sh
# Starts today's layout (four failure domains, seven instances) with stand-ins,
# submits short requests and a gang, shows the answers and stops everything.
cd "$(dirname "$0")/.." || exit 1
CHERVILHOLD_BUILD=${1:-build}
. tests/lib.sh

echo "starting 7 instances in 4 failure domains and 48 stand-in workers"
start_today 12
echo "leader: $(leader_of i7)"

echo
echo "\$ a request that may not be repeated"
key="$(date +%s)000-quickstart"
body='{"tenant": "hall", "declared_ms": 50,
 "input": {"tag": "quote", "echo": "quote 17", "sleep_ms": 20}}'
http POST "$URL/v1/requests" "$body" "Idempotency-Key: $key"
echo
echo "\$ the same key again: the first answer, nothing runs twice"
http POST "$URL/v1/requests" "$body" "Idempotency-Key: $key"
echo

echo
echo "\$ 200 short requests"
call --count 200 --prefix short --sleep-ms 5 || fail "wrong answers"
grep -E '^(sent|done|did_not_run|unknown|lost|wrong|done_p)' "$WORK/summary"

echo
echo "\$ a gang of 4 members with 8 accelerators each in one rack"
http POST "$URL/v1/jobs" '{"tenant": "hall", "workspace": "tours",
 "members": 4, "accelerators": 8, "adjacency": "rack",
 "priority": "opportunistic",
 "input": {"tag": "gang", "echo": "plan", "sleep_ms": 500}}' \
    "Idempotency-Key: $(date +%s)000-quickgang" >"$WORK/job"
cat "$WORK/job"
echo
job=$(json job <"$WORK/job") || fail "the gang was not accepted"
job_is_done() {
	[ "$(http GET "$URL/v1/jobs/$job" | json state)" = "done" ]
}
wait_for 20 "the gang is done" job_is_done
http GET "$URL/v1/jobs/$job/result"
echo
check_ledgers
[ "$(summary done)" = 200 ] || fail "only $(summary done) of 200 answered"
echo
echo "\$ chervilhold status"
cli i1 status || fail "chervilhold status"
echo "quickstart: ok"
