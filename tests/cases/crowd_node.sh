# Guards against the same crowds at the product's own interface: callers' and
# operators' addresses of one instance.
. tests/lib.sh
. tests/crowd.sh
define_instance i1 d1 1 true
EXTRA_SETTINGS="\"memory_mb\": $MEMORY_MB,"
start_balancer
start i1
wait_for 20 "i1 ready" is_ready i1
start_workers w d1 2
wait_for 20 "i1 knows workers" knows_workers i1 2
node_pid=$(field pid i1)
mark_memory "$node_pid"
i1_is_ready() {
	is_ready i1
}
operator_is_served() {
	[ "$(worker_count i1)" = 2 ]
}
request_is_served() {
	http POST "$URL/v1/requests" '{"tenant": "hall", "repeatable": true}' \
	    >/dev/null
	[ "$(status)" = 200 ]
}
# attack_node PORT KIND [OPTION...]
attack_node() {
	node_port=$1
	node_kind=$2
	shift 2
	crowd_open "$(field address i1):$node_port" "$node_kind" "$@"
	check_process "$node_pid" "$node_kind"
	wait_for 60 "$node_kind: i1 is ready" i1_is_ready
	wait_for 60 "$node_kind: a request is served" request_is_served
	wait_for 60 "$node_kind: an operator is served" operator_is_served
	crowd_end
	wait_for 60 "$node_kind: a request afterwards" request_is_served
	check_process "$node_pid" "$node_kind, after"
}
for path in /v1/requests /v1/ready /none; do
	note "callers, $path"
	for kind in whole chunked objects members; do
		attack_node "$(field http i1)" "$kind" --path "$path"
	done
done
for path in /v1/config /none; do
	note "operators, $path"
	for kind in idle whole chunked objects members; do
		attack_node "$(field operator i1)" "$kind" --path "$path" \
		    --method PATCH
	done
done
check_ledgers
