# The replicated configuration: time to accept a patch beside a bare sync, until
# it is in force on every instance, without a leader after a kill, and to start
# after changes.
. bench/lib.sh

operator_url() {
	echo "http://$(field address "$1"):$(field operator "$1")"
}

# patcher OPTION...: runs the stand-in operators; figures in WORK/patcher.
patcher() {
	"$BUILD/standin-patcher" "$@" >"$WORK/patcher" || fail "patcher $*"
}

patched() {
	awk -v name="$1" '$1 == name { print $2 }' "$WORK/patcher"
}

# patch_until VERSION: brings the configuration to a version.
patch_until() {
	present=$(status_of i7 | json config_version)
	patcher --url "$(operator_url "$(leader_of i7)")" \
	    --prefix "to$1" --count $(($1 - present))
}

# start_up_ms ID: kills a replica and starts it again; prints the median time
# until it is ready of 3 starts.
start_up_ms() {
	for _ in 1 2 3; do
		kill_instance "$1"
		begin=$(now_ms)
		start "$1"
		while ! is_ready "$1"; do
			[ $(($(now_ms) - begin)) -lt 20000 ] || break
		done >/dev/null 2>&1
		echo $(($(now_ms) - begin))
	done >"$WORK/starts"
	sort -n "$WORK/starts" | sed -n 2p
}

# a_follower: a replica that is not the leader.
a_follower() {
	if [ "$(leader_of i7)" = i1 ]; then echo i3; else echo i1; fi
}

start_today 0
watched=""
for id in $INSTANCES; do
	watched="$watched --watch $(operator_url "$id")"
done

# The instance keeps its pid in a shell variable, so no subshell here.
restarted=$(a_follower)
start_up_ms "$restarted" >"$WORK/start_0"
start_0=$(cat "$WORK/start_0")
figure state_start_after_0 "$start_0" ms

patcher --url "$(operator_url "$(leader_of i7)")" --prefix alone \
    --count 300 --folder "$WORK"
figure state_patch_median "$(patched patch_median)" us
figure state_patch_p99 "$(patched patch_p99)" us
figure state_bare_sync_median "$(patched bare_sync_median)" us
figure state_bare_sync_p99 "$(patched bare_sync_p99)" us
figure state_round_trip_median "$(patched round_trip_median)" us
# The round trip is a read over the operator's own connection.
figure state_patch_to_2_syncs_and_round_trip "$(ratio \
    "$(patched patch_median)" $((2 * $(patched bare_sync_median) + \
    $(patched round_trip_median))))" ratio max 1

# shellcheck disable=SC2086
patcher --url "$(operator_url i7)" --prefix force --count 50 $watched
figure state_in_force_everywhere_max "$(ratio "$(patched in_force_max)" \
    1000)" ms max 5000
# 2,600 changes a day are one in 33 s; this is one in 0.3 s.
# shellcheck disable=SC2086
patcher --url "$(operator_url i7)" --prefix day --count 30 \
    --interval-ms 300 $watched
figure state_in_force_while_changing_max "$(ratio "$(patched in_force_max)" \
    1000)" ms max 13000

patcher --url "$(operator_url i1)" --url "$(operator_url i4)" \
    --url "$(operator_url i7)" --prefix race --operators 6 --count 50
figure state_race_of_6_median "$(patched race_median)" us
figure state_race_without_one_winner "$(patched rounds_without_one_winner)" \
    rounds max 0
figure state_race_resend_differs "$(patched resends_with_another_outcome)" \
    answers max 0

for changes in 1000 10000; do
	patch_until $changes
	restarted=$(a_follower)
	start_up_ms "$restarted" >"$WORK/start_$changes"
	start_ms=$(cat "$WORK/start_$changes")
	figure "state_start_after_$changes" "$start_ms" ms
	figure "state_start_after_${changes}_to_0" \
	    "$(ratio "$start_ms" "$start_0")" ratio max 2
done

# The longest patch of a run in which the leader is killed.
for run in 1 2 3; do
	leader=$(leader_of i7)
	"$BUILD/standin-patcher" --url "$(operator_url i7)" \
	    --prefix "kill$run" --count 150 --interval-ms 10 \
	    >"$WORK/patcher" 2>>"$WORK/patcher.log" &
	running=$!
	sleep 0.5
	kill_instance "$leader"
	wait "$running" || fail "patcher during the kill of a leader"
	patched patch_max >>"$WORK/kills"
	start "$leader"
	wait_for 20 "$leader ready" is_ready "$leader"
done
figure state_no_leader_after_kill_max "$(ratio "$(sort -n "$WORK/kills" |
    tail -n 1)" 1000)" ms max 2000
