# Guards against more than the 64 connections and 8 slots of a backend server in
# use by all instances together, with slow requests and a gang.
. tests/lib.sh
start_today 2
call --stages 200:6000 --sleep-ms 450 --declared-ms 450 --deadline-ms 4000 \
    --prefix slow --tenants hall,desk &
caller=$!
sleep 1
job=$(http POST "$URL/v1/jobs" '{"tenant": "hall", "workspace": "tours",
 "members": 2, "accelerators": 8, "adjacency": "rack",
 "priority": "urgent", "domain": "d1",
 "input": {"tag": "gang", "sleep_ms": 2000}}' \
    "Idempotency-Key: $(date +%s)000-gang00001" | json job)
job_is() {
	[ "$(http GET "$URL/v1/jobs/$1" | json state)" = "$2" ]
}
wait_for 30 "the gang ends" job_is "$job" done
wait "$caller" || fail "the caller saw a wrong answer"
# highest NAME: the highest of a figure over all backend servers.
highest() {
	cat "$WORK"/worker-*.ports | while read -r _ port; do
		http GET "http://$WORKER_ADDRESS:$port/standin" | json "$1"
	done | sort -n | tail -n 1
}
connections=$(highest max_connections)
running=$(highest max_running)
[ "$connections" -ge 1 ] && [ "$connections" -le 64 ] ||
	    fail "$connections connections"
[ "$running" -ge 1 ] && [ "$running" -le 8 ] || fail "$running tasks"
note "at most 64 connections and 8 tasks"
note "lost $(summary lost), wrong $(summary wrong)"
check_ledgers
