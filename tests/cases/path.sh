# Guards the whole path: one request and one gang go from a caller through
# separate processes to backend servers and back.
. tests/lib.sh
start_today 2

http POST "$URL/v1/requests" '{"tenant": "hall", "declared_ms": 50,
 "input": {"tag": "quote", "echo": "quote 17", "sleep_ms": 5}}' \
    "Idempotency-Key: $(date +%s)000-quote0001" >"$WORK/answer"
note "request: $(status) $(json outcome <"$WORK/answer")" \
    "$(json result <"$WORK/answer")"

http POST "$URL/v1/jobs" '{"tenant": "hall", "workspace": "tours",
 "members": 2, "accelerators": 8, "adjacency": "rack",
 "priority": "opportunistic", "domain": "d2",
 "input": {"tag": "gang", "echo": "plan", "sleep_ms": 300}}' \
    "Idempotency-Key: $(date +%s)000-gang00001" >"$WORK/job"
note "job: $(status) $(json state <"$WORK/job")"
job=$(json job <"$WORK/job")

job_is() {
	[ "$(http GET "$URL/v1/jobs/$job" | json state)" = "$1" ]
}
wait_for 20 "gang done" job_is done
http GET "$URL/v1/jobs/$job/result" >"$WORK/result"
note "gang: $(status) $(json outcome <"$WORK/result")" \
    "$(json results <"$WORK/result")"
note "members that ran: $(grep -c '^start .* gang$' "$WORK/ran.ledger")"
