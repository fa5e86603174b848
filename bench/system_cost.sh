# What one instance costs at rest and at 2,600 configuration changes a day
# (one in 33 s): CPU share, memory, bytes between instances.
. bench/lib.sh
SECONDS_MEASURED=10

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

# cost NAME: one line a figure for the leader, a follower and a learner.
cost() {
	leader=$(leader_of i7)
	follower=i1
	[ "$leader" != i1 ] || follower=i3
	for role in leader follower learner; do
		case $role in
		leader) id=$leader ;;
		follower) id=$follower ;;
		learner) id=i7 ;;
		esac
		ticks=$(cpu_ticks "$(field pid "$id")")
		bytes=$(rpc_bytes "$id")
		sleep $SECONDS_MEASURED
		ticks=$(($(cpu_ticks "$(field pid "$id")") - ticks))
		bytes=$(($(rpc_bytes "$id") - bytes))
		hz=$(getconf CLK_TCK)
		figure "cost_$1_${role}_cpu" \
		    "$(ratio $((ticks * 100)) $((hz * SECONDS_MEASURED)))" \
		    percent_of_core
		figure "cost_$1_${role}_memory" \
		    "$(ratio "$(rss_kb "$(field pid "$id")")" 1024)" MB max 64
		figure "cost_$1_${role}_rpc" \
		    "$(ratio "$bytes" $((1024 * SECONDS_MEASURED)))" KB/s
	done
}

start_today 0
cost idle_0_workers
for domain in d1 d2 d3 d4; do
	start_workers "w-$domain-" "$domain" 12
done
wait_for 20 "workers" knows_workers i7 48
cost idle_48_workers
