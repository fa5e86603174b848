# Guards against a leader that can send but not hear, and one that can hear but
# not send: each must stop leading, and no claim may be lost.
. tests/lib.sh
WITH_RELAY=1
start_today 2
for direction in out in; do
	leader=$(leader_of i7)
	for other in $INSTANCES; do
		[ "$other" != "$leader" ] || continue
		if [ "$direction" = out ]; then
			rule "cut $leader $other"
		else
			rule "cut $other $leader"
		fi
	done
	new_leader() {
		now=$(leader_of i7)
		[ -n "$now" ] && [ "$now" != "$leader" ]
	}
	wait_for 10 "a new leader after the cut $direction" new_leader
	call --count 60 --resend 4 --prefix "$direction" --sleep-ms 5
	note "cut $direction: wrong $(summary wrong), lost $(summary lost)"
	heal
	wait_for 10 "$leader ready again" is_ready "$leader"
done
check_ledgers
