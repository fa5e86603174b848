# Guards against a leader that was paused and, when it goes on, sends orders
# under its old permission, though another instance leads meanwhile.  Backend
# servers refuse such orders by their fencing token and tell so.
. tests/platform.sh
platform_open 4 8
note "gang: $(platform_submit q 00000000000000aa 4 8 6000 true)"
wait_for 20 "it runs" platform_is q 00000000000000aa active
sleep 0.5
leader=$(sed -n 's/.*"event":"lead".*/&/p' "$WORK"/p[123].events | tail -n 1 |
    sed 's/.*"instance":"[0-9.]*\.\([123]\)".*/\1/')
platform_signal STOP "$leader"
has_new_leader() {
	[ "$(cat "$WORK"/p[123].events | grep -c '"event":"lead"')" -ge 2 ]
}
wait_for 20 "another leader" has_new_leader
# Longer than a waiting poll, so that the old leader's polls have timed out.
sleep 3.5
platform_signal CONT "$leader"
wait_for 20 "the gang" platform_is q 00000000000000aa completed
sleep 1
note "starts: $(grep -c 'start 00000000000000aa' "$WORK/workers.out")"
note "refused by their token: $(grep -c fenced "$WORK/workers.out")"
