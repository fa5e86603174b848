# Guards against a tenant that learns of, or cancels, another tenant's job by
# choosing the same id, and against a job that is acknowledged and never run.
. tests/platform.sh

# Two tenants, with a queue each.
platform_configure() {
	queue='"host":"h","service":"svc","timeoutMs":3000,"anonymous":false,
	    "targetLatencyMs":1000,"stretch":3.0,"priority":1,"maxAttempts":2'
	body="{\"version\":$1,\"services\":[{\"name\":\"svc\"}],\"routes\":[
	    {\"name\":\"a\",\"pathPrefix\":\"/a/\",$queue},
	    {\"name\":\"b\",\"pathPrefix\":\"/b/\",$queue}],\"tenants\":[
	    {\"name\":\"a\",\"apiKeys\":[\"key-of-tenant-a\"]},
	    {\"name\":\"b\",\"apiKeys\":[\"key-of-tenant-b\"]}]}"
	for n in 1 2 3; do
		platform_http POST "$NET.$n:$CONTROL" /api/config/replace \
		    "$body" >/dev/null
		[ "$(status)" != 200 ] || return 0
	done
	return 1
}

# send VERB TENANT QUEUE [BODY]: a call about the one job; prints the answer.
send() {
	platform_http "$1" "$NET.4:$FRONT" "/$3/00000000000000aa" "${4:-}" \
	    "Host: h" "Authorization: Bearer key-of-tenant-$2"
}

# call VERB TENANT QUEUE [BODY]: same; prints the status.
call() {
	send "$@" >/dev/null
	status
}

is_completed() {
	[ "$(send GET a a | json state)" = completed ]
}

job='{"spec":"2000","steps":[{"count":1,"cpu":1000,"memMb":10,"gpu":1,
    "estMs":2000}]}'
platform_open 1 8
note "tenant a hands in: $(call POST a a "$job")"
wait_for 20 "its start" has_run "start 00000000000000aa"
note "tenant b hands in: $(call POST b b "$job")"
note "tenant b asks: $(call GET b b)"
note "tenant b cancels: $(call DELETE b b)"
note "tenant b asks on the queue of a: $(call GET b a)"
note "tenant a asks on the queue of b: $(call GET a b)"
wait_for 20 "the end" is_completed
note "starts: $(grep -c 'start 00000000000000aa' "$WORK/workers.out")"
