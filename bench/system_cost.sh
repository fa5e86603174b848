# What one instance costs: CPU share, memory and bytes between instances of a
# leader, a follower and a learner, and the slopes per backend server, per task
# and per instance that docs/CAPACITY.md starts from.
. bench/lib.sh
SECONDS_MEASURED=8
TASKS=300
# The replicas are the same 3 in every layout; the other instances are learners.
LAYOUT_3="i1 i3 i5"
LAYOUT_5="i1 i2 i3 i4 i5"

# cpu_ticks PID, rss_kb PID
cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

rss_kb() {
	awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"
}

rpc_bytes() {
	http GET "http://$(field address "$1"):$(field operator "$1")/metrics" |
	    awk '/^chervilhold_rpc_.*bytes.*_total/ { n += $2 } END { print n }'
}

# cost NAME: one line a figure for the leader, a follower and a learner, all
# measured in the same seconds; keeps them as cpu_NAME_ROLE, and so on.
cost() {
	leader=$(leader_of i1)
	follower=i1
	[ "$leader" != i1 ] || follower=i3
	learner=""
	for id in $INSTANCES; do
		[ "$(field replica "$id")" = true ] || learner=$id
	done
	begin=$(now_ms)
	for id in $leader $follower $learner; do
		eval "ticks_$id=$(cpu_ticks "$(field pid "$id")")"
		eval "bytes_$id=$(rpc_bytes "$id")"
	done
	sleep $SECONDS_MEASURED
	for role in leader follower learner; do
		id=$(eval "echo \$$role")
		[ -n "$id" ] || continue
		ms=$(($(now_ms) - begin))
		ticks=$(($(cpu_ticks "$(field pid "$id")") - $(field ticks "$id")))
		bytes=$(($(rpc_bytes "$id") - $(field bytes "$id")))
		hz=$(getconf CLK_TCK)
		eval "cpu_$1_$role=$(ratio $((ticks * 100000)) $((hz * ms)))"
		eval "memory_$1_$role=$(ratio "$(rss_kb \
		    "$(field pid "$id")")" 1024)"
		eval "rpc_$1_$role=$(ratio $((bytes * 1000)) $((1024 * ms)))"
		figure "cost_$1_${role}_cpu" "$(field "cpu_$1" $role)" \
		    percent_of_core
		figure "cost_$1_${role}_memory" "$(field "memory_$1" $role)" \
		    MB max 64
		figure "cost_$1_${role}_rpc" "$(field "rpc_$1" $role)" KB/s
	done
}

# slope UNIT FROM TO COUNT: the change a unit between two measured states.
slope() {
	for role in leader follower learner; do
		# A system of 3 replicas has no learner.
		eval "[ -n \"\${cpu_$2_$role:-}\" ]" || continue
		for kind in cpu:percent_of_core memory:KB rpc:B/s; do
			scale=1024
			[ "${kind%:*}" != cpu ] || scale=1
			figure "cost_per_$1_${role}_${kind%:*}" "$(awk \
			    -v a="$(field "${kind%:*}_$2" $role)" \
			    -v b="$(field "${kind%:*}_$3" $role)" -v n="$4" \
			    -v s="$scale" \
			    'BEGIN { printf "%.4f", (b - a) * s / n }')" \
			    "${kind#*:}"
		done
	done
}

# add_workers PREFIX PER_DOMAIN
add_workers() {
	for domain in d1 d2 d3 d4; do
		start_workers "$1-$domain-" "$domain" "$2"
	done
}

# submit_tasks COUNT: jobs of one member that run for the whole measurement.
submit_tasks() {
	number=0
	while [ "$number" -lt "$1" ]; do
		http POST "$URL/v1/jobs" "{\"tenant\": \"t\",
		 \"workspace\": \"w\", \"members\": 1, \"accelerators\": 1,
		 \"priority\": \"opportunistic\",
		 \"domain\": \"d$((number % 4 + 1))\",
		 \"input\": {\"sleep_ms\": 600000}}" \
		    "Idempotency-Key: $(date +%s)000-cost$((10000 + number))" \
		    >/dev/null
		number=$((number + 1))
	done
}

running_tasks() {
	http GET "$(echo "http://$(field address i1):$(field operator \
	    i1)/v1/jobs")" | tr '{' '\n' | grep -c '"state": *"running"'
}

runs_tasks() {
	[ "$(running_tasks)" -ge "$1" ]
}

# start_layout ID...: a system of these instances of today's layout.
start_layout() {
	cleanup_system
	rm -rf "$WORK"/data-*
	define_today
	INSTANCES=$*
	start_balancer
	# shellcheck disable=SC2086
	start $INSTANCES
	for id in $INSTANCES; do
		wait_for 20 "$id ready" is_ready "$id"
	done
}

start_layout i1 i2 i3 i4 i5 i6 i7
cost 0_workers
add_workers w 12
wait_for 20 "workers" knows_workers i7 48
sleep 2
cost 48_workers
add_workers x 88
wait_for 30 "workers" knows_workers i7 400
sleep 2
cost 400_workers
submit_tasks $TASKS
wait_for 30 "tasks" runs_tasks $TASKS
cost 400_workers_tasks
slope worker 48_workers 400_workers 352
slope task 400_workers 400_workers_tasks $TASKS
# A stopped process of backend servers prints what its announcements took.
eval "kill -TERM \$pid_x_d1_"
eval "wait \$pid_x_d1_"
bytes_each=$(awk '$1 == "announcements" { printf "%.1f", $4 / $2 }' \
    "$WORK/worker-x-d1-.ports")
figure cost_announcement_of_a_worker "$bytes_each" B
figure cost_announcements_of_a_worker "$(ratio "$bytes_each" 1024)" KB/s max 5

# shellcheck disable=SC2086
start_layout $LAYOUT_3
add_workers y 12
wait_for 20 "workers" knows_workers i1 48
sleep 2
cost 3_instances
# shellcheck disable=SC2086
start_layout $LAYOUT_5
add_workers z 12
wait_for 20 "workers" knows_workers i1 48
sleep 2
cost 5_instances
slope instance 3_instances 48_workers 4
slope instance_5_to_7 5_instances 48_workers 2
